//! The table that maps client blocks to data centres.
//!
//! The unit is a /24 of IPv4. Two million blocks fit in about 7 MB, and a look-up touches one
//! page and one value: a sorted list of the same size needs 21 dependent reads.

use std::net::Ipv4Addr;

use serde::{Deserialize, Serialize};

use crate::id::CentreId;
use crate::policy;

/// Blocks of a page: the /24s of one /16.
const PAGE_BLOCKS: usize = 256;
/// Pages of the IPv4 address space.
const PAGES: usize = 1 << 16;

/// The data centre of each /24 of a /16 while it is edited.
type Cells = [Option<CentreId>; PAGE_BLOCKS];

/// A /24 of IPv4: the first 24 bits of its addresses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Block(u32);

impl Block {
    /// The block that holds `address`.
    pub fn new(address: Ipv4Addr) -> Block {
        Block(u32::from(address) >> 8)
    }

    /// The page that holds the block.
    const fn page(self) -> usize {
        (self.0 >> 8) as usize
    }

    /// The position within the page.
    const fn cell(self) -> usize {
        (self.0 & 0xff) as usize
    }
}

/// One entry of a delta between two tables.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The block that changes.
    pub block: Block,
    /// Its data centre from now on, or none.
    pub centre: Option<CentreId>,
}

/// The /24s of a /16.
#[derive(Debug, Clone, Copy)]
struct Page {
    /// One bit for each block with a value of its own in `BlockTable::centres`.
    present: [u64; 4],
    /// Position of the first of those values.
    first: u32,
    /// The data centre of all blocks, if no bit of `present` is set.
    uniform: Option<CentreId>,
}

impl Page {
    const EMPTY: Page = Page { present: [0; 4], first: 0, uniform: None };

    fn is_present(&self, cell: usize) -> bool {
        self.present[cell / 64] >> (cell % 64) & 1 == 1
    }

    /// The number of values before that of `cell`.
    fn rank(&self, cell: usize) -> usize {
        let word = cell / 64;
        let below = self.present[word] & ((1 << (cell % 64)) - 1);
        let before: u32 = self.present[..word].iter().map(|bits| bits.count_ones()).sum();
        (before + below.count_ones()) as usize
    }

    /// The number of values.
    fn len(&self) -> usize {
        self.present.iter().map(|bits| bits.count_ones() as usize).sum()
    }
}

/// A map from client blocks to data centres.
#[derive(Debug, Clone)]
pub struct BlockTable {
    pages: Vec<Page>,
    centres: Vec<CentreId>,
}

impl BlockTable {
    /// An empty table.
    pub fn new() -> BlockTable {
        BlockTable { pages: vec![Page::EMPTY; PAGES], centres: Vec::new() }
    }

    /// The table of a policy's blocks, where the longest prefix wins.
    pub fn from_blocks(blocks: &[policy::Block]) -> BlockTable {
        let mut blocks = blocks.to_vec();
        blocks.sort_by_key(|block| block.prefix);
        let mut table = BlockTable::new();
        let split = blocks.partition_point(|block| block.prefix <= 16);
        let (wide, narrow) = blocks.split_at_mut(split);
        for block in wide {
            let first = Block::new(block.network).page();
            let count = 1 << (16 - block.prefix);
            for page in &mut table.pages[first..first + count] {
                page.uniform = Some(block.centre);
            }
        }
        // A stable sort keeps longer prefixes behind shorter ones within a page.
        narrow.sort_by_key(|block| Block::new(block.network).page());
        let page_of = |block: &policy::Block| Block::new(block.network).page();
        let groups = narrow.chunk_by(|a, b| page_of(a) == page_of(b));
        table.rewrite(groups.map(|group| (page_of(&group[0]), group)), |cells, group| {
            for block in group {
                let first = Block::new(block.network).cell();
                cells[first..first + (1 << (24 - block.prefix))].fill(Some(block.centre));
            }
        });
        table
    }

    /// The data centre of the block that holds `address`.
    pub fn find(&self, address: Ipv4Addr) -> Option<CentreId> {
        let block = Block::new(address);
        let page = &self.pages[block.page()];
        let cell = block.cell();
        if page.is_present(cell) {
            Some(self.centres[page.first as usize + page.rank(cell)])
        } else {
            page.uniform
        }
    }

    /// Applies a delta. Later changes of a block win over earlier ones.
    pub fn apply(&mut self, changes: &[Change]) {
        let mut changes = changes.to_vec();
        // The sort is stable, so the order of the changes of a block is kept.
        changes.sort_by_key(|change| change.block);
        let groups = changes.chunk_by(|a, b| a.block.page() == b.block.page());
        self.rewrite(groups.map(|group| (group[0].block.page(), group)), |cells, group| {
            for change in group {
                cells[change.block.cell()] = change.centre;
            }
        });
    }

    /// The delta that makes this table equal to `newer`.
    pub fn delta(&self, newer: &BlockTable) -> Vec<Change> {
        let mut changes = Vec::new();
        for page in 0..PAGES {
            if self.is_same_page(newer, page) {
                continue;
            }
            let (old, new) = (self.cells(page), newer.cells(page));
            for cell in 0..PAGE_BLOCKS {
                if old[cell] != new[cell] {
                    let block = Block((page * PAGE_BLOCKS + cell) as u32);
                    changes.push(Change { block, centre: new[cell] });
                }
            }
        }
        changes
    }

    /// Bytes of memory that the table holds.
    pub fn memory_bytes(&self) -> usize {
        self.pages.capacity() * size_of::<Page>() + self.centres.capacity() * size_of::<CentreId>()
    }

    /// Whether a page has the same form and values in both tables.
    fn is_same_page(&self, other: &BlockTable, index: usize) -> bool {
        let (page, theirs) = (&self.pages[index], &other.pages[index]);
        page.present == theirs.present
            && page.uniform == theirs.uniform
            && self.values(page) == other.values(theirs)
    }

    /// The values that belong to `page`.
    fn values(&self, page: &Page) -> &[CentreId] {
        let first = page.first as usize;
        &self.centres[first..first + page.len()]
    }

    /// The cells of one page.
    fn cells(&self, index: usize) -> Cells {
        let page = &self.pages[index];
        let mut cells = [page.uniform; PAGE_BLOCKS];
        let mut next = page.first as usize;
        for (cell, value) in cells.iter_mut().enumerate() {
            if page.is_present(cell) {
                *value = Some(self.centres[next]);
                next += 1;
            }
        }
        cells
    }

    /// Edits some pages, in ascending order, and rebuilds the list of values in one pass.
    fn rewrite<E: Copy>(
        &mut self,
        edits: impl Iterator<Item = (usize, E)>,
        edit_cells: impl Fn(&mut Cells, E),
    ) {
        let mut edits = edits.peekable();
        let mut centres = Vec::with_capacity(self.centres.len());
        for index in 0..PAGES {
            let first = centres.len() as u32;
            if let Some((_, edit)) = edits.next_if(|(page, _)| *page == index) {
                let mut cells = self.cells(index);
                edit_cells(&mut cells, edit);
                self.pages[index] = pack_cells(&cells, &mut centres);
            } else {
                centres.extend_from_slice(self.values(&self.pages[index]));
            }
            self.pages[index].first = first;
        }
        centres.shrink_to_fit();
        self.centres = centres;
    }
}

impl Default for BlockTable {
    fn default() -> BlockTable {
        BlockTable::new()
    }
}

/// Makes a page of `cells` and appends its values to `centres`.
fn pack_cells(cells: &Cells, centres: &mut Vec<CentreId>) -> Page {
    if cells.iter().all(|cell| *cell == cells[0]) {
        return Page { uniform: cells[0], ..Page::EMPTY };
    }
    let mut page = Page::EMPTY;
    for (cell, centre) in cells.iter().enumerate() {
        if let Some(centre) = centre {
            page.present[cell / 64] |= 1 << (cell % 64);
            centres.push(*centre);
        }
    }
    page
}
