//! Cost of parsing a policy document as the number of data centres grows.

use std::fmt::Write;
use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use ebonypass_core::scan::scan_document;

/// A document with `centres` data centres in 30 regions and a service with targets in each of them.
fn document(centres: usize) -> String {
    let mut text = String::from("schema = 1\n[[member]]\nname = \"m\"\n");
    for region in 0..30 {
        let _ = writeln!(text, "[[region]]\nname = \"r{region}\"");
    }
    for centre in 0..centres {
        let _ =
            writeln!(text, "[[data_centre]]\nname = \"d{centre}\"\nregion = \"r{}\"", centre % 30);
        let _ = writeln!(
            text,
            "[[block]]\ncidr = \"10.{}.{}.0/24\"\ndata_centre = \"d{centre}\"",
            centre / 256,
            centre % 256
        );
    }
    text.push_str(
        "[[service]]\nname = \"s\"\nmembers = [\"m\"]\nslots = 3\nconnections = 400\ntargets = { ",
    );
    for centre in 0..centres {
        let _ = write!(text, "{}d{centre} = 4", if centre == 0 { "" } else { ", " });
    }
    text.push_str(" }\n[[service.kind]]\nname = \"k\"\nidempotent = true\ndeadline_ms = 500\n");
    text
}

fn bench_scan(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("scan_document");
    group.sample_size(10);
    for centres in [100, 350, 1_400] {
        let text = document(centres);
        println!("{centres} data centres: {} bytes", text.len());
        group.bench_with_input(BenchmarkId::from_parameter(centres), &text, |bencher, text| {
            bencher.iter(|| black_box(scan_document(text)).is_ok());
        });
    }
}

criterion_group!(benches, bench_scan);
criterion_main!(benches);
