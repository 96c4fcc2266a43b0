//! The client block table.

use std::collections::HashMap;
use std::net::Ipv4Addr;

use ebonypass_core::block::{self, Block, Change};
use ebonypass_core::id::CentreId;
use ebonypass_core::policy;
use proptest::prelude::*;
use test_case::test_case;

fn policy_block(network: [u8; 4], prefix: u8, centre: u16) -> policy::Block {
    policy::Block { network: Ipv4Addr::from(network), prefix, centre: CentreId(centre) }
}

/// A shorter prefix must not hide a longer one.
#[test_case([10, 1, 2, 3], Some(1); "shorter than a page")]
#[test_case([10, 2, 0, 9], Some(2); "whole page")]
#[test_case([10, 2, 128, 1], Some(3); "half page")]
#[test_case([10, 2, 130, 255], Some(4); "single block")]
#[test_case([10, 2, 131, 0], Some(3); "next block")]
#[test_case([11, 0, 0, 0], None; "outside")]
#[test_case([192, 0, 2, 77], Some(5); "page with one block")]
#[test_case([192, 0, 3, 77], None; "next to the only block")]
fn longest_prefix(address: [u8; 4], centre: Option<u16>) {
    // Longest first, because the order in the document must not matter.
    let table = block::Table::from_blocks(&[
        policy_block([10, 2, 130, 0], 24, 4),
        policy_block([192, 0, 2, 0], 24, 5),
        policy_block([10, 2, 128, 0], 17, 3),
        policy_block([10, 2, 0, 0], 16, 2),
        policy_block([10, 0, 0, 0], 8, 1),
    ]);
    assert_eq!(table.find(Ipv4Addr::from(address)), centre.map(CentreId));
}

/// Two million scattered blocks must fit in the specified 24 MB.
#[test]
fn memory_limit() {
    let mut random = fastrand::Rng::with_seed(1);
    let changes = (0..2_000_000).map(|_| Change {
        block: Block::new(Ipv4Addr::from(random.u32(..))),
        centre: Some(CentreId(random.u16(..1_400))),
    });
    let mut table = block::Table::new();
    table.apply(&changes.collect::<Vec<_>>());
    assert!(table.memory_bytes() <= 24_000_000, "{} bytes", table.memory_bytes());
}

proptest! {
    // Each case iterates over the whole address space about ten times.
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// After any changes the table must equal a plain map. Guards against off-by-one errors in the
    /// packed values.
    #[test]
    fn random_deltas(batches in prop::collection::vec(
        prop::collection::vec((0_u32..1_200, prop::option::of(0_u16..4)), 0..40), 1..6,
    )) {
        let mut table = block::Table::new();
        let mut model = HashMap::new();
        for batch in batches {
            let address = |number: u32| Ipv4Addr::from((0x0a01_0000 + number) << 8 >> 8 << 8);
            let changes: Vec<Change> = batch
                .iter()
                .map(|&(number, centre)| Change {
                    block: Block::new(address(number)),
                    centre: centre.map(CentreId),
                })
                .collect();
            let before = table.clone();
            table.apply(&changes);
            for (number, centre) in batch {
                model.insert(Block::new(address(number)), (address(number), centre.map(CentreId)));
            }
            for (address, centre) in model.values() {
                prop_assert_eq!(table.find(*address), *centre);
            }
            let mut updated = before.clone();
            updated.apply(&before.delta(&table));
            prop_assert!(updated.delta(&table).is_empty());
        }
    }
}
