//! Costs that grow with the fleet: reading a policy document and choosing an entry.

use std::fmt::Write;
use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use ebonypass_core::parse::parse_document;

/// A document with `sites` data centres in 30 regions, each with one service placed in it.
fn document(sites: usize) -> String {
    let mut text = String::from("schema = 1\n[[member]]\nname = \"m\"\n");
    for region in 0..30 {
        let _ = writeln!(text, "[[region]]\nname = \"r{region}\"");
    }
    for site in 0..sites {
        let _ = writeln!(text, "[[data_centre]]\nname = \"d{site}\"\nregion = \"r{}\"", site % 30);
        let _ = writeln!(
            text,
            "[[block]]\ncidr = \"10.{}.{}.0/24\"\ndata_centre = \"d{site}\"",
            site / 256,
            site % 256
        );
    }
    text.push_str(
        "[[service]]\nname = \"s\"\nmembers = [\"m\"]\nslots = 3\nconnections = 400\ntargets = { ",
    );
    for site in 0..sites {
        let _ = write!(text, "{}d{site} = 4", if site == 0 { "" } else { ", " });
    }
    text.push_str(" }\n[[service.kind]]\nname = \"k\"\nidempotent = true\ndeadline_ms = 500\n");
    text
}

fn bench_scan(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("parse_document");
    group.sample_size(10);
    for sites in [100, 350, 1_400] {
        let text = document(sites);
        println!("{sites} sites: {} bytes", text.len());
        group.bench_with_input(BenchmarkId::from_parameter(sites), &text, |bencher, text| {
            bencher.iter(|| black_box(parse_document(text)).is_ok());
        });
    }
}

criterion_group!(benches, bench_scan);
criterion_main!(benches);
