//! The spread of load over targets when many gateways choose at the same time. The tests guard
//! against targets that are overloaded in turn while others are idle, against caches that lose their
//! objects to an even spread, and against reports that are lost, late or false.
//!
//! With the feature off, the busiest target has about twice the mean load in these simulations. The
//! goals are at most 1.3 times, and at most one rejection by a target in 100 requests.

mod fleet;

use ebonypass_core::balance::{Ledger, MAX_REPORT_BYTES, Rejection, Report, Rotation, target_key};
use ebonypass_core::balancer::{Balancer, Config, Load, Query, RegionSet, TargetSpec};
use ebonypass_core::gossip::ROUND_INTERVAL;
use ebonypass_core::time::{Instant, Span};
use fleet::{Fault, Figures, Fleet, Reports};
use test_case::test_case;

const MAX_SPREAD: f64 = 1.3;
const MAX_REJECTED: f64 = 0.01;
const SEEDS: [u64; 3] = [1, 2, 3];
const ALL_REPORTS: Reports = Reports::Delivered { loss: 0.0, delay: Span::ZERO };

/// A load that the targets can serve if most work finds its object cached.
fn fleet(gateways: usize) -> Fleet {
    Fleet {
        gateways,
        targets: 60,
        slots: 9,
        objects: 80,
        skew: 0.6,
        cache: 20,
        work_ms: 1_500.0,
        objective_ms: 1_500,
        load: 0.8,
        duration_s: 32,
        seed: 1,
        reports: ALL_REPORTS,
        fault: Fault::None,
    }
}

/// Mean figures of all seeds.
fn run(fleet: Fleet) -> Figures {
    let mut mean = Figures::default();
    for seed in SEEDS {
        let figures = Fleet { seed, ..fleet }.run();
        let count = SEEDS.len() as f64;
        mean.spread += figures.spread / count;
        mean.window_spread += figures.window_spread / count;
        mean.rejected += figures.rejected / count;
        mean.served += figures.served / count;
        mean.uncached += figures.uncached / count;
        mean.report_bytes += figures.report_bytes / count;
    }
    println!("{fleet:?}\n{mean:?}");
    mean
}

/// Targets must be loaded evenly without a loss to clients, with few gateways and with many.
#[test_case(fleet(12); "12 gateways")]
#[test_case(fleet(30); "30 gateways")]
#[test_case(Fleet { work_ms: 700.0, slots: 6, ..fleet(12) }; "12 gateways, short work")]
#[test_case(Fleet { work_ms: 2_700.0, objective_ms: 4_000, ..fleet(30) }; "30 gateways, long work")]
fn evenly_loaded(fleet: Fleet) {
    let on = run(fleet);
    let off = run(Fleet { reports: Reports::Off, ..fleet });
    assert!(on.spread <= MAX_SPREAD, "{on:?}");
    assert!(on.rejected <= MAX_REJECTED, "{on:?}");
    assert!(on.spread < off.spread - 0.5, "{on:?}, off: {off:?}");
    assert!(on.rejected <= off.rejected, "{on:?}, off: {off:?}");
    assert!(on.served > off.served + 0.01, "{on:?}, off: {off:?}");
}

/// A few objects with most of the requests must get more than two targets.
#[test]
fn popular_objects() {
    let fleet = Fleet { skew: 1.0, ..fleet(12) };
    let on = run(fleet);
    assert!(on.spread <= MAX_SPREAD && on.rejected <= MAX_REJECTED, "{on:?}");
    let off = run(Fleet { reports: Reports::Off, ..fleet });
    assert!(on.served > off.served, "{on:?}, off: {off:?}");
}

/// Where caches have no room for copies, an even spread must not evict objects that are needed.
#[test]
fn scarce_caches() {
    let fleet = Fleet { targets: 36, slots: 6, objects: 200, cache: 14, load: 0.5, ..fleet(12) };
    let on = run(fleet);
    let off = run(Fleet { reports: Reports::Off, ..fleet });
    assert!(on.served > off.served - 0.01, "{on:?}, off: {off:?}");
    assert!(on.rejected <= MAX_REJECTED, "{on:?}");
}

/// Above capacity, requests must be refused by gateways and not by targets, and the work must not
/// become uncached.
#[test]
fn overload() {
    let fleet = Fleet { load: 1.2, ..fleet(12) };
    let on = run(fleet);
    let off = run(Fleet { reports: Reports::Off, ..fleet });
    assert!(on.rejected <= MAX_REJECTED, "{on:?}");
    assert!(on.served > off.served, "{on:?}, off: {off:?}");
    assert!(on.uncached < 0.05, "{on:?}");
}

/// Lost or late reports must not make the load less even than the targets' own figures allow.
#[test_case(12, 0.3, 0, MAX_SPREAD; "some lost")]
#[test_case(12, 1.0, 0, MAX_SPREAD; "all lost")]
#[test_case(12, 0.0, 1_000, MAX_SPREAD; "late")]
#[test_case(30, 0.3, 1_000, 1.4; "some lost and others late, 30 gateways")]
fn impaired_reports(gateways: usize, loss: f64, delay_ms: u64, max_spread: f64) {
    let reports = Reports::Delivered { loss, delay: Span::from_millis(delay_ms) };
    let figures = run(Fleet { reports, ..fleet(gateways) });
    assert!(figures.spread <= max_spread, "{figures:?}");
    assert!(figures.rejected <= MAX_REJECTED, "{figures:?}");
    assert!(figures.served > 0.9, "{figures:?}");
}

/// A target or gateway that reports false figures, or a gateway that stops, must not cost clients
/// more than a target would that is lost.
#[test_case(Fault::IdleTarget, MAX_SPREAD; "idle target")]
#[test_case(Fault::FullTarget, MAX_SPREAD; "full target")]
#[test_case(Fault::FalseGateway, MAX_SPREAD; "false gateway")]
#[test_case(Fault::DeadGateway, MAX_SPREAD; "dead gateway")]
fn faults(fault: Fault, max_spread: f64) {
    let figures = run(Fleet { fault, ..fleet(12) });
    assert!(figures.spread <= max_spread, "{figures:?}");
    assert!(figures.rejected <= MAX_REJECTED, "{figures:?}");
    assert!(figures.served > 0.9, "{figures:?}");
}

fn full_report(targets: usize) -> Report {
    let counts =
        (0..targets).map(|index| (1 + (index % 200) as u8, target_key(&index.to_string())));
    Report::new(7, counts.collect())
}

/// A report must fit into a datagram, and leaves out the smallest counts.
#[test]
fn report_size() {
    for targets in [0, 1, 40, 400, 4_000] {
        let report = full_report(targets);
        let bytes = postcard::to_stdvec(&report).unwrap();
        assert!(bytes.len() <= MAX_REPORT_BYTES && bytes.len() <= report.wire_bytes(), "{targets}");
        assert_eq!(postcard::from_bytes::<Report>(&bytes).unwrap(), report);
    }
    let least = full_report(4_000).counts().map(|(_, count)| count).min();
    assert!(least > Some(1), "the largest counts are left out");
}

/// No machine may send more than 2 KB a second, whatever the number of gateways, and each
/// gateway that gets reports at all must get one within the announced interval.
#[test_case(1, 10)]
#[test_case(11, 40)]
#[test_case(30, 20)]
#[test_case(99, 10)]
#[test_case(299, 400)]
fn report_bytes(gateways: usize, targets: usize) {
    let mut rotation = Rotation::default();
    let report = full_report(targets);
    let (mut sent, mut rounds_since) = (0, vec![0_usize; gateways]);
    let mut reached = 0;
    let rounds = 1_000;
    for round in 0..rounds {
        let (interval, turns) = rotation.next(gateways, report.wire_bytes());
        let turns: Vec<usize> = turns.collect();
        sent += turns.len() * report.wire_bytes();
        rounds_since.iter_mut().for_each(|rounds| *rounds += 1);
        for turn in turns {
            reached = reached.max(turn + 1);
            assert!(round < gateways || rounds_since[turn] <= usize::from(interval), "{round}");
            rounds_since[turn] = 0;
        }
    }
    assert!(reached == gateways || reached * report.wire_bytes() > 5_000, "{reached}");
    let seconds = ROUND_INTERVAL.as_millis() as f64 * rounds as f64 / 1e3;
    let bytes_per_s = sent as f64 / seconds;
    assert!(bytes_per_s <= 2_048.0, "{bytes_per_s} bytes a second");
}

/// A late report must not replace a newer one, a process that restarts must be heard, and the
/// counts of a gateway that is gone must expire.
#[test]
fn report_order() {
    let key = target_key("t");
    let report = |round, count| Report::new(round, vec![(count, key)]);
    let mut ledger = Ledger::default();
    let now = Instant::from_micros(1);
    assert_eq!(ledger.record(now, 1, &report(5, 3)), Ok(vec![(key, 3)]));
    assert_eq!(ledger.record(now, 1, &report(4, 9)), Err(Rejection::Outdated));
    assert_eq!(ledger.record(now, 1, &report(5, 9)), Err(Rejection::Outdated));
    assert_eq!(ledger.record(now, 1, &report(6, 2)), Ok(vec![(key, 2), (key, -3)]));
    assert_eq!(ledger.record(now, 2, &report(u32::MAX, 1)), Ok(vec![(key, 1)]));
    assert_eq!(ledger.record(now, 2, &report(0, 1)), Ok(vec![(key, 1), (key, -1)]));
    assert_eq!(ledger.expire(now + Span::from_millis(1_199)), vec![]);
    let mut removed = ledger.expire(now + Span::from_millis(1_200));
    removed.sort_unstable();
    assert_eq!(removed, vec![(key, -2), (key, -1)]);
    assert!(ledger.is_empty());
}

/// A report that would mark all targets as full must not count, and one of a gateway with several
/// times the demand of the others must.
#[test]
fn implausible_report() {
    let report = |count| {
        let counts = (0..100).map(|index: u32| (count, target_key(&index.to_string())));
        Report::new(1, counts.collect())
    };
    let mut ledger = Ledger::default();
    let now = Instant::from_micros(1);
    assert!(ledger.record(now, 1, &report(1)).is_ok());
    assert!(ledger.record(now, 2, &report(1)).is_ok());
    assert_eq!(ledger.record(now, 3, &report(36)), Err(Rejection::Implausible));
    assert!(ledger.record(now, 4, &report(6)).is_ok());
    assert_eq!(ledger.len(), 3);
}

fn balancer(targets: usize) -> Balancer {
    let centre_regions = [("c".to_owned(), "r".to_owned())].into();
    let config = Config { machine: "vm-1".to_owned(), region: "r".to_owned(), centre_regions };
    let mut balancer = Balancer::new(config);
    for index in 0..targets {
        let spec = TargetSpec {
            id: index.to_string(),
            service: "s".to_owned(),
            address: "10.0.0.1:80".parse().unwrap(),
            centre: "c".to_owned(),
            slots: 3,
            is_leaving: false,
            cold_time_left: Span::ZERO,
            start_unix_ms: None,
            sequence: 1,
        };
        balancer.upsert_target(Instant::ZERO, spec);
    }
    balancer
}

fn query(balancer: &mut Balancer, object: u64) -> Query<'static> {
    Query {
        service: balancer.service_id("s"),
        route: 1,
        object: Some(object),
        allowed_regions: RegionSet::ANY,
        tried: &[],
        latency_objective: Span::from_millis(400),
        time_left: Span::from_millis(2_000),
    }
}

/// While the feature is off, reports must change nothing, and neither may its earlier use.
#[test]
fn switched_off() {
    let mut untouched = balancer(12);
    let mut switched = balancer(12);
    let counts = |index: u32| (9, target_key(&index.to_string()));
    let report = Report::new(1, (0..6).map(counts).collect());
    assert_eq!(switched.record_load_report(Instant::ZERO, "vm-2", &report), Err(Rejection::Off));
    switched.set_shared_load(true);
    switched.record_load_report(Instant::ZERO, "vm-2", &report).unwrap();
    switched.set_shared_load(false);
    for ms in 0..400 {
        let now = Instant::ZERO + Span::from_millis(ms);
        let choices = [&mut untouched, &mut switched].map(|balancer| {
            let query = query(balancer, ms % 20);
            let choice = balancer.choose(now, &query).ok()?;
            balancer.start_attempt(now, &choice);
            let load = Load { running: 2, waiting: (ms % 3) as u32, work_time_percent: 100 };
            balancer.record_load(now, choice.target, load);
            Some(choice)
        });
        assert_eq!(choices[0], choices[1], "after {ms} ms");
    }
}

/// A gateway that refuses all requests gets no figures of targets. It must try again soon after an
/// overload by other regions, of which it hears only from the targets.
#[test]
fn past_overload() {
    let mut balancer = balancer(1);
    balancer.set_shared_load(true);
    let id = balancer.find_target("0").unwrap();
    let query = query(&mut balancer, 1);
    let at = |ms| Instant::ZERO + Span::from_millis(ms);
    for round in 0..500 {
        let report = Report::new(round, Vec::new());
        balancer.record_load_report(at(u64::from(round)), "vm-2", &report).unwrap();
        let load = Load { running: 3, waiting: 30, work_time_percent: 100 };
        balancer.record_load(at(u64::from(round)), id, load);
    }
    assert!(balancer.choose(at(500), &query).is_err());
    balancer.record_load_report(at(5_900), "vm-2", &Report::new(500, Vec::new())).unwrap();
    assert!(balancer.choose(at(6_000), &query).is_ok());
}

/// If the targets that keep an object fail, its requests must go to others, which are as busy as
/// the targets of a loaded service are.
#[test]
fn failed_copies() {
    let mut balancer = balancer(6);
    balancer.set_shared_load(true);
    let mut query = query(&mut balancer, 1);
    for index in 0..6 {
        let id = balancer.find_target(&index.to_string()).unwrap();
        balancer.record_load(
            Instant::ZERO,
            id,
            Load { running: 1, waiting: 0, work_time_percent: 100 },
        );
    }
    let mut tried = Vec::new();
    for _ in 0..6 {
        let choice = balancer.choose(Instant::ZERO, &Query { tried: &tried, ..query }).unwrap();
        tried.push(choice.target);
    }
    query.tried = &tried;
    assert!(balancer.choose(Instant::ZERO, &query).is_err());
}
