//! A table that maps client networks to data centres, with a granularity of IPv4 /24 blocks.
//!
//! A page covers a /16 and has a bitmap and a packed list of values. Two million blocks fit in
//! about 7 MB, and a look-up reads one page and one value. A binary search of a sorted list of that
//! size would need 21 dependent reads.

use std::net::Ipv4Addr;

use serde::{Deserialize, Serialize};

use crate::id::CentreId;
use crate::policy;

/// The number of blocks in a page: the /24s of a /16.
const BLOCKS_PER_PAGE: usize = 256;
/// The number of pages in the IPv4 address space.
const PAGE_COUNT: usize = 1 << 16;

/// The data centre of each block of a page, unpacked for editing.
type Cells = [Option<CentreId>; BLOCKS_PER_PAGE];

/// An IPv4 /24, stored as the first 24 bits of its addresses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Block(u32);

impl Block {
    /// The block that contains `address`.
    pub fn new(address: Ipv4Addr) -> Block {
        Block(u32::from(address) >> 8)
    }

    /// The index of the page that contains the block.
    const fn page(self) -> usize {
        (self.0 >> 8) as usize
    }

    /// The index of the block within its page.
    const fn cell(self) -> usize {
        (self.0 & 0xff) as usize
    }
}

/// A change of one block, as part of a delta between two tables.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The block.
    pub block: Block,
    /// Its new data centre, if any.
    pub centre: Option<CentreId>,
}

/// The packed blocks of a /16.
#[derive(Debug, Clone, Copy)]
struct Page {
    /// A bitmap of the blocks that have a value in `Table::centres`.
    present: [u64; 4],
    /// The index of the first of those values.
    first: u32,
    /// The data centre of all blocks if `present` is empty. Otherwise none.
    uniform: Option<CentreId>,
}

impl Page {
    const EMPTY: Page = Page { present: [0; 4], first: 0, uniform: None };

    fn is_present(&self, cell: usize) -> bool {
        self.present[cell / 64] >> (cell % 64) & 1 == 1
    }

    /// The number of values that precede the value of `cell`.
    fn rank(&self, cell: usize) -> usize {
        let word = cell / 64;
        let lower_bits = self.present[word] & ((1 << (cell % 64)) - 1);
        let before: u32 = self.present[..word].iter().map(|bits| bits.count_ones()).sum();
        (before + lower_bits.count_ones()) as usize
    }

    /// The number of values.
    fn len(&self) -> usize {
        self.present.iter().map(|bits| bits.count_ones() as usize).sum()
    }
}

/// A map from client blocks to data centres.
#[derive(Debug, Clone)]
pub struct Table {
    pages: Vec<Page>,
    centres: Vec<CentreId>,
}

impl Table {
    /// An empty table.
    pub fn new() -> Table {
        Table { pages: vec![Page::EMPTY; PAGE_COUNT], centres: Vec::new() }
    }

    /// A table of a policy's networks. Where they overlap, the longest prefix wins.
    pub fn from_blocks(blocks: &[policy::Block]) -> Table {
        let mut blocks = blocks.to_vec();
        blocks.sort_by_key(|block| block.prefix);
        let mut table = Table::new();
        let split = blocks.partition_point(|block| block.prefix <= 16);
        let (whole_pages, within_page) = blocks.split_at_mut(split);
        for block in whole_pages {
            let first = Block::new(block.network).page();
            let count = 1 << (16 - block.prefix);
            for page in &mut table.pages[first..first + count] {
                page.uniform = Some(block.centre);
            }
        }
        // The stable sort keeps shorter prefixes first in a page, so longer ones overwrite them.
        within_page.sort_by_key(|block| Block::new(block.network).page());
        let page_of = |block: &policy::Block| Block::new(block.network).page();
        let groups = within_page.chunk_by(|a, b| page_of(a) == page_of(b));
        table.edit_pages(groups.map(|group| (page_of(&group[0]), group)), |cells, group| {
            for block in group {
                let first = Block::new(block.network).cell();
                cells[first..first + (1 << (24 - block.prefix))].fill(Some(block.centre));
            }
        });
        table
    }

    /// The data centre of the block that contains `address`.
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

    /// Applies `changes`. If a block changes more than once, its last change wins.
    pub fn apply(&mut self, changes: &[Change]) {
        let mut changes = changes.to_vec();
        // The stable sort preserves the order of changes of the same block.
        changes.sort_by_key(|change| change.block);
        let groups = changes.chunk_by(|a, b| a.block.page() == b.block.page());
        self.edit_pages(groups.map(|group| (group[0].block.page(), group)), |cells, group| {
            for change in group {
                cells[change.block.cell()] = change.centre;
            }
        });
    }

    /// The changes that turn this table into `newer`.
    pub fn delta(&self, newer: &Table) -> Vec<Change> {
        let mut changes = Vec::new();
        for page in 0..PAGE_COUNT {
            if self.is_equal_page(newer, page) {
                continue;
            }
            let (old, new) = (self.unpack_cells(page), newer.unpack_cells(page));
            for cell in 0..BLOCKS_PER_PAGE {
                if old[cell] != new[cell] {
                    let block = Block((page * BLOCKS_PER_PAGE + cell) as u32);
                    changes.push(Change { block, centre: new[cell] });
                }
            }
        }
        changes
    }

    /// The memory that the table occupies, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.pages.capacity() * size_of::<Page>() + self.centres.capacity() * size_of::<CentreId>()
    }

    /// Whether a page has the same representation in both tables. Equal blocks may differ in it.
    fn is_equal_page(&self, other: &Table, index: usize) -> bool {
        let (page, other_page) = (&self.pages[index], &other.pages[index]);
        page.present == other_page.present
            && page.uniform == other_page.uniform
            && self.values(page) == other.values(other_page)
    }

    /// The values of `page`.
    fn values(&self, page: &Page) -> &[CentreId] {
        let first = page.first as usize;
        &self.centres[first..first + page.len()]
    }

    /// Unpacks a page.
    fn unpack_cells(&self, index: usize) -> Cells {
        let page = &self.pages[index];
        let mut cells = [page.uniform; BLOCKS_PER_PAGE];
        let mut next_index = page.first as usize;
        for (cell, value) in cells.iter_mut().enumerate() {
            if page.is_present(cell) {
                *value = Some(self.centres[next_index]);
                next_index += 1;
            }
        }
        cells
    }

    /// Edits pages, given in ascending order, and rebuilds the list of values in one pass.
    fn edit_pages<E: Copy>(
        &mut self,
        edits: impl Iterator<Item = (usize, E)>,
        edit_cells: impl Fn(&mut Cells, E),
    ) {
        let mut edits = edits.peekable();
        let mut centres = Vec::with_capacity(self.centres.len());
        for index in 0..PAGE_COUNT {
            let first = centres.len() as u32;
            if let Some((_, edit)) = edits.next_if(|(page, _)| *page == index) {
                let mut cells = self.unpack_cells(index);
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

impl Default for Table {
    fn default() -> Table {
        Table::new()
    }
}

/// Packs `cells` into a page and appends its values to `centres`.
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
