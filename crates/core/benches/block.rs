//! Cost of look-ups and updates in tables of up to two million client blocks.

use std::hint::black_box;
use std::net::Ipv4Addr;

use criterion::{Criterion, criterion_group, criterion_main};
use ebonypass_core::block::{self, Block, Change};
use ebonypass_core::id::CentreId;

/// Number of distinct addresses looked up: too many for their entries to stay in the CPU caches.
const ADDRESSES: usize = 1 << 20;

fn random_table(random: &mut fastrand::Rng, blocks: usize) -> block::Table {
    let changes: Vec<Change> = (0..blocks)
        .map(|_| Change {
            block: Block::new(Ipv4Addr::from(random.u32(..))),
            centre: Some(CentreId(random.u16(..1_400))),
        })
        .collect();
    let mut table = block::Table::new();
    table.apply(&changes);
    table
}

fn bench_table(criterion: &mut Criterion) {
    for blocks in [125_000, 500_000, 2_000_000] {
        let mut random = fastrand::Rng::with_seed(7);
        let table = random_table(&mut random, blocks);
        println!("{blocks} blocks: {} bytes", table.memory_bytes());
        let addresses: Vec<Ipv4Addr> =
            (0..ADDRESSES).map(|_| Ipv4Addr::from(random.u32(..))).collect();
        let mut next = 0;
        criterion.bench_function(&format!("find/{blocks}"), |bencher| {
            bencher.iter(|| {
                next = (next + 1) % ADDRESSES;
                black_box(table.find(addresses[next]))
            });
        });
        let change =
            Change { block: Block::new(Ipv4Addr::new(10, 0, 0, 0)), centre: Some(CentreId(1)) };
        let mut updated = table.clone();
        criterion.bench_function(&format!("apply/{blocks}"), |bencher| {
            bencher.iter(|| updated.apply(black_box(&[change])));
        });
    }
}

criterion_group!(benches, bench_table);
criterion_main!(benches);
