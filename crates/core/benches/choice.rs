//! Choice of a target by object, with few targets and with as many as a large fleet has.

#![allow(missing_docs, reason = "criterion's macros generate public items")]

use std::collections::HashMap;
use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use ebonypass_core::balancer::{Balancer, Config, Query, RegionSet, TargetSpec};
use ebonypass_core::time::{Instant, Span};

fn balancer(targets: usize) -> Balancer {
    let regions: HashMap<String, String> =
        (0..9).map(|index| (format!("c-{index}"), format!("r-{}", index / 3))).collect();
    let mut balancer = Balancer::new(Config {
        machine: "vm-1".to_owned(),
        region: "r-0".to_owned(),
        centre_regions: regions,
    });
    for index in 0..targets {
        balancer.upsert_target(
            Instant::ZERO,
            TargetSpec {
                id: format!("t-{index}"),
                service: "s".to_owned(),
                address: "10.0.0.1:80".parse().unwrap(),
                centre: format!("c-{}", index % 9),
                slots: 3,
                is_leaving: false,
                cold_time_left: Span::ZERO,
                start_unix_ms: Some(1),
                sequence: 1,
            },
        );
    }
    balancer
}

fn choice(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("choice");
    for targets in [12, 402] {
        let mut balancer = balancer(targets);
        let service = balancer.service_id("s");
        let mut object = 0;
        group.bench_function(BenchmarkId::from_parameter(targets), |bencher| {
            bencher.iter(|| {
                object += 1;
                let query = Query {
                    service,
                    route: 1,
                    object: Some(object),
                    allowed_regions: RegionSet::ANY,
                    tried: &[],
                    latency_objective: Span::from_millis(400),
                    time_left: Span::from_millis(2_000),
                };
                black_box(balancer.choose(Instant::ZERO, &query)).is_ok()
            });
        });
    }
    group.finish();
}

criterion_group!(benches, choice);
criterion_main!(benches);
