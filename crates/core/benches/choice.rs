//! Choice of a target by object, with few targets and with as many as a large fleet has, with and
//! without shared load.

#![allow(missing_docs, reason = "criterion's macros generate public items")]

use std::collections::HashMap;
use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use ebonypass_core::balance::{Report, target_key};
use ebonypass_core::balancer::{Balancer, Config, Load, Query, RegionSet, TargetSpec};
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

/// Switches shared load on, with reports of 20 gateways and figures of all targets.
fn share_load(balancer: &mut Balancer, targets: usize) {
    balancer.set_shared_load(true);
    for index in 0..targets {
        let id = balancer.find_target(&format!("t-{index}")).unwrap();
        let load = Load { running: 2, waiting: (index % 4) as u32, work_time_percent: 100 };
        balancer.record_load(Instant::ZERO, id, load);
    }
    for gateway in 0..20 {
        let keys = (0..targets).step_by(1 + gateway % 3);
        let counts = keys.map(|index| (1, target_key(&format!("t-{index}"))));
        let report = Report::new(1, counts.collect());
        balancer.record_load_report(Instant::ZERO, &format!("vm-{gateway}"), &report).unwrap();
    }
}

fn choice(criterion: &mut Criterion) {
    choices(criterion, "choice", false);
    choices(criterion, "choice_shared", true);
}

fn choices(criterion: &mut Criterion, name: &str, is_shared: bool) {
    let mut group = criterion.benchmark_group(name);
    for targets in [12, 402] {
        let mut balancer = balancer(targets);
        if is_shared {
            share_load(&mut balancer, targets);
        }
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
