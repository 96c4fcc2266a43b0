//! Short traces whose results are calculated by hand.

mod common;

use common::{arrive, arrive_with_reply, replay};
use ebonypass_replay::report::Report;
use test_case::test_case;

const STRATEGIES: [&str; 4] = ["ebonypass", "round-robin", "least-loaded", "independent"];

fn line(at_us: u64, incident: &str) -> String {
    format!(r#"{{"at_us":{at_us},{incident}}}"#)
}

/// Compares the highest latency of the replay, to 0.1% because histograms keep three significant
/// digits.
fn assert_max_latency(report: &Report, expected_us: u64) {
    let found_us = report.total.max_us;
    assert!(found_us.abs_diff(expected_us) <= expected_us / 1_000 + 1, "{found_us} us\n{report}");
}

/// The latency is 4 ms of service, 1 ms each way between client and entry and, if the client's data
/// centre has no target, 1.5 ms each way to the other data centre.
#[test_case("near-1", 6_000; "same data centre")]
#[test_case("near-2", 9_000; "other data centre")]
fn one_request(dc: &str, expected_us: u64) {
    for strategy in STRATEGIES {
        let report = replay(strategy, &[arrive(0, 1, "hall", "read", dc, 4_000)]);
        assert_max_latency(&report, expected_us);
        assert_eq!((report.total.answered, report.total.late), (1, 0), "{strategy}");
    }
}

/// Three requests of 4 ms arrive at a target with two slots. The third starts when the first
/// finishes: 2 ms between client and entry, 4 ms in the queue, 4 ms of service. `ebonypass` treats
/// a kind of unknown cost as long and gives it at most one of the two slots (docs/design.md, D2),
/// so the third request waits 8 ms.
#[test_case("ebonypass", 14_000; "ebonypass")]
#[test_case("round-robin", 10_000; "round robin")]
#[test_case("least-loaded", 10_000; "least loaded")]
#[test_case("independent", 10_000; "independent")]
fn busy_slots(strategy: &str, expected_us: u64) {
    let lines: Vec<String> =
        (0..3).map(|id| arrive(0, id, "hall", "write", "near-1", 4_000)).collect();
    assert_max_latency(&replay(strategy, &lines), expected_us);
}

/// The target becomes ten times slower when 2 ms of the service time of 4 ms are left. With 2 ms
/// between client and entry the latency is 2 + 2 + 20 ms if it stays slow. If it is slow for 10 ms,
/// it does 1 ms of the work in that time: 2 + 2 + 10 + 1 ms.
#[test_case(1_000_000, 24_000; "until the end")]
#[test_case(10_000, 15_000; "for a while")]
fn slow_target(for_us: u64, expected_us: u64) {
    let slow = format!(r#""slow":{{"target":"hall-near-1-01","factor":10.0,"for_us":{for_us}}}"#);
    let lines = [arrive(0, 1, "hall", "write", "near-1", 4_000), line(3_000, &slow)];
    for strategy in STRATEGIES {
        assert_max_latency(&replay(strategy, &lines), expected_us);
    }
}

/// An answer after the deadline of 500 ms counts as late. `round-robin` waits for the answer of a
/// request that takes 600 ms plus 2 ms between client and entry. `ebonypass` may also reply
/// "unknown" before that, but never "not run".
#[test]
fn late_answer() {
    let lines = [arrive(0, 1, "hall", "write", "near-1", 600_000)];
    let report = replay("round-robin", &lines);
    assert_eq!((report.total.answered, report.total.late), (1, 1));
    assert_max_latency(&report, 602_000);
    let report = replay("ebonypass", &lines);
    assert_eq!(report.total.unknown + report.total.late, 1);
    assert_eq!(report.wrong_not_run, 0);
}

/// A target refuses a request whose deadline passed while it was queued.
#[test]
fn expired_in_queue() {
    let lines: Vec<String> =
        (0..3).map(|id| arrive(0, id, "hall", "write", "near-1", 600_000)).collect();
    let report = replay("round-robin", &lines);
    assert_eq!((report.total.late, report.total.not_run), (2, 1));
    assert_eq!(report.wrong_not_run, 0);
}

/// A leaving target finishes the attempts that it holds and refuses new ones, which the entry then
/// dispatches to another target.
#[test]
fn leaving_target() {
    let leave = r#""leave":{"target":"desk-near-1-01"}"#;
    for strategy in STRATEGIES {
        let lines = [
            arrive(0, 1, "desk", "write", "near-1", 50_000),
            arrive(0, 2, "desk", "write", "near-1", 50_000),
            line(10_000, leave),
            arrive(100_000, 3, "desk", "write", "near-1", 4_000),
            arrive(200_000, 4, "desk", "write", "near-1", 4_000),
        ];
        let report = replay(strategy, &lines);
        assert_eq!(report.total.answered, 4, "{strategy}\n{report}");
        assert_eq!(report.duplicate_dispatches, 0);
    }
}

/// Requests that run in a failing data centre end as "unknown", never as "not run". The strategies
/// dispatch one request to each of two data centres, of which one fails. Only the two entries of
/// `independent` in `near-2`, which get one request each and start their rotation at the same
/// position, dispatch both to the target in `near-2`, which stays up.
#[test_case("ebonypass", 1, 1; "ebonypass")]
#[test_case("round-robin", 1, 1; "round robin")]
#[test_case("least-loaded", 1, 1; "least loaded")]
#[test_case("independent", 2, 0; "independent")]
fn failed_centre(strategy: &str, answered: u64, unknown: u64) {
    let lines = [
        arrive(0, 1, "desk", "write", "near-2", 100_000),
        arrive(0, 2, "desk", "write", "near-2", 100_000),
        line(50_000, r#""fail":{"dc":"near-1","for_us":1000000}"#),
    ];
    let report = replay(strategy, &lines);
    assert_eq!((report.total.answered, report.total.unknown), (answered, unknown), "{report}");
    assert_eq!(report.wrong_not_run, 0);
}

/// Clients of a failed region use the entries of the other region: 1 ms plus 20 ms each way and 4
/// ms of service.
#[test]
fn failed_region() {
    let fail = r#""fail":{"dc":"far-1","for_us":5000000}"#;
    for strategy in STRATEGIES {
        let lines = [line(0, fail), arrive(1_000_000, 1, "hall", "read", "far-1", 4_000)];
        assert_max_latency(&replay(strategy, &lines), 46_000);
    }
}

/// The only target in the region leaves, so the request crosses the link: 1 ms plus 20 ms each way
/// and 4 ms of service. It arrives after 2 s, because the VM list shows the leaving target after 1
/// s. The reply of 2,000 bytes uses 0.02 of the 100,000 bytes that the link may carry in 100 ms.
#[test]
fn remote_target() {
    let lines = [
        line(0, r#""leave":{"target":"hall-near-1-01"}"#),
        arrive(2_000_000, 1, "hall", "read", "near-1", 4_000),
    ];
    for strategy in STRATEGIES {
        let report = replay(strategy, &lines);
        assert_max_latency(&report, 46_000);
        assert_eq!(report.region_overloads, 0);
        let link = report.links.iter().find(|link| link.from == "far").expect("the link");
        assert!((link.highest - 0.02).abs() < 1e-9, "{link:?}");
    }
}

/// A reply of 150,000 bytes exceeds the 100,000 that the link may carry in 100 ms. Entries of
/// `ebonypass` limit their sending rate so that the cap holds; the baselines do not.
#[test_case("ebonypass", 0; "ebonypass")]
#[test_case("round-robin", 1; "round robin")]
fn paced_reply(strategy: &str, violations: u64) {
    let lines = [
        line(0, r#""leave":{"target":"hall-near-1-01"}"#),
        arrive_with_reply(2_000_000, 1, "hall", "read", "near-1", 4_000, 150_000),
    ];
    let report = replay(strategy, &lines);
    assert_eq!(report.total.answered, 1);
    assert_eq!(report.link_cap_violations, violations, "{report}");
}

/// For 3 s, entries receive no load reports and no VM list, so they notice a leaving target only
/// when it refuses a request. The requests are still answered, by another target. `independent` is
/// left out, because its entries dispatch these requests to the other target first.
#[test]
fn silent_sources() {
    for strategy in ["ebonypass", "round-robin", "least-loaded"] {
        let lines = [
            line(0, r#""silence":{"source":"load","for_us":3000000}"#),
            line(0, r#""silence":{"source":"vms","for_us":3000000}"#),
            line(100_000, r#""leave":{"target":"desk-near-1-01"}"#),
            arrive(2_000_000, 1, "desk", "write", "near-1", 4_000),
            arrive(2_100_000, 2, "desk", "write", "near-1", 4_000),
        ];
        let report = replay(strategy, &lines);
        assert_eq!(report.total.answered, 2, "{strategy}\n{report}");
        assert!(report.total.dispatches_per_request > 1.0, "{strategy}\n{report}");
    }
}

/// Utilisation and goodput are fractions of the slot time between the start of the trace and the
/// last arrival. The first request occupies a slot for 50 ms; the second starts after the last
/// arrival and does not count.
#[test]
fn utilisation() {
    let lines = [
        arrive(0, 1, "desk", "write", "near-1", 50_000),
        arrive(101_000, 2, "desk", "write", "near-1", 400_000),
    ];
    for strategy in STRATEGIES {
        let report = replay(strategy, &lines);
        let desk = report.services.iter().find(|row| row.service == "desk").expect("the service");
        // 50 ms of slot time, out of 101 ms in each of three slots.
        assert!((desk.utilisation - 50.0 / 303.0).abs() < 1e-6, "{strategy} {desk:?}");
        assert!((desk.goodput - 50.0 / 303.0).abs() < 1e-6, "{strategy} {desk:?}");
    }
}

/// Guards against requests that wait or are refused in an overloaded region although another region
/// has granted credit, its permission to forward requests to it. For 63 s, requests of 50 ms arrive
/// in region `near` every 21 ms, a fifth faster than its two slots serve them, while `far` is idle.
/// A request is forwarded if its expected wait exceeds the round trip of 40 ms; it then takes 92 ms
/// with the 2 ms between client and entry. The estimate of the wait may be short by one service
/// time, so a request that stays takes up to 142 ms. In the first second the cost of the kind is
/// unknown and there is no credit; later nothing is refused.
#[test]
fn overloaded_region() {
    let lines: Vec<String> =
        (0..3_000).map(|id| arrive(id * 21_000, id, "hall", "read", "near-1", 50_000)).collect();
    let (first_second, report) = (replay("ebonypass", &lines[..48]), replay("ebonypass", &lines));
    assert!(report.total.p50_us <= 92_000, "{report}");
    assert!(report.total.p99_us <= 142_000, "{report}");
    assert_eq!(report.total.not_run, first_second.total.not_run, "{report}");
    assert_eq!(report.total.answered + report.total.not_run, 3_000, "{report}");
    assert_eq!((report.total.late, report.region_overloads), (0, 0));
    assert_eq!(report.link_cap_violations, 0);
}
