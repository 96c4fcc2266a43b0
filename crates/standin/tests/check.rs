//! The check reports each violated guarantee and nothing else.

use ebonypass_core::outcome::Outcome;
use ebonypass_core::scan::scan_document;
use ebonypass_standin::check::{Drain, Input, Summary, Violations};
use ebonypass_standin::report::{Attempt, Report, Request, Totals};
use ebonypass_standin::run::Run;
use test_case::test_case;

const POLICY: &str = r#"
schema = 1
member = [{ name = "windelrunde" }]
region = [{ name = "zurich" }, { name = "geneva" }]
data_centre = [{ name = "zurich-1", region = "zurich" }, { name = "geneva-1", region = "geneva" }]
link = [
    { from = "zurich", to = "geneva", cap_mbit = 1, delay_us = 0 },
    { from = "geneva", to = "zurich", cap_mbit = 1, delay_us = 0 },
]
block = [{ cidr = "10.1.0.0/16", data_centre = "zurich-1" }]

[[service]]
name = "swaps"
members = ["windelrunde"]
slots = 3
connections = 400
targets = { zurich-1 = 2, geneva-1 = 2 }
kind = [{ name = "log", idempotent = false, deadline_ms = 1000 }]
"#;

fn run(target: &str, attempt: u32, at_ms: u64) -> Run {
    Run {
        target: target.to_owned(),
        id: format!("{target}-{at_ms}"),
        key: "a.1.2/n".to_owned(),
        attempt,
        kind: "log".to_owned(),
        at_ms,
        request_bytes: 400,
        reply_bytes: 12_500,
    }
}

fn request(outcomes: &[Outcome]) -> Request {
    let attempt = |&outcome| Attempt { outcome, detail: String::new(), start_ms: 0, end_ms: 550 };
    Request {
        key: "a.1.2/n".to_owned(),
        service: "swaps".to_owned(),
        kind: "log".to_owned(),
        block: "10.1.7.0/24".to_owned(),
        attempts: outcomes.iter().map(attempt).collect(),
    }
}

fn check(idempotent: bool, outcomes: &[Outcome], runs: Vec<Run>) -> Summary {
    let kind = Totals {
        service: "swaps".to_owned(),
        kind: "log".to_owned(),
        idempotent,
        answered: 1,
        ..Totals::default()
    };
    let report = Report {
        member: "windelrunde".to_owned(),
        kinds: vec![kind],
        not_started: 0,
        requests: vec![request(outcomes)],
    };
    let policy = scan_document(POLICY).expect("the policy is valid");
    let subject = "zurich-1".to_owned();
    let drain = Some(Drain { subject, from_ms: 10_000, until_ms: 60_000 });
    Input { policy, reports: vec![report], runs, drain }.check()
}

const TARGET: &str = "swaps-zurich-1-01";
const OTHER_TARGET: &str = "swaps-zurich-1-02";
use Outcome::{Answered, NotRun, Unknown};

fn no_violations() -> Violations {
    Violations::default()
}

#[test_case(&[Answered], vec![run(TARGET, 0, 500)], no_violations(); "answered")]
#[test_case(&[NotRun], vec![], no_violations(); "not run")]
#[test_case(&[Unknown, Unknown], vec![run(TARGET, 0, 500)], no_violations(); "retried, ran once")]
#[test_case(&[Answered], vec![run(TARGET, 0, 500), run(OTHER_TARGET, 0, 501)],
    Violations { duplicate_runs: 1, ..no_violations() }; "duplicate run")]
#[test_case(&[Unknown, Answered], vec![run(TARGET, 0, 500), run(OTHER_TARGET, 1, 501)],
    Violations { duplicate_runs: 1, ..no_violations() }; "duplicate run by a retry")]
#[test_case(&[NotRun], vec![run(TARGET, 0, 500)],
    Violations { wrong_not_run: 1, ..no_violations() }; "wrong not run")]
#[test_case(&[Unknown, NotRun], vec![run(TARGET, 0, 500)],
    Violations { not_run_after_run: 1, ..no_violations() }; "not run after a run")]
#[test_case(&[Answered], vec![],
    Violations { answer_without_run: 1, ..no_violations() }; "answer without a run")]
#[test_case(&[Unknown], vec![run(TARGET, 0, 9_500)],
    Violations { interrupted_by_drain: 1, ..no_violations() }; "interrupted by the drain")]
#[test_case(&[Unknown], vec![run(TARGET, 0, 8_000)], no_violations(); "ended before the drain")]
#[test_case(&[Unknown], vec![run("swaps-geneva-1-01", 0, 9_500)], no_violations(); "not drained")]
#[test_case(&[Answered], vec![run(TARGET, 0, 14_000)], no_violations(); "in the grace period")]
#[test_case(&[Answered], vec![run(TARGET, 0, 15_001)],
    Violations { run_at_drained: 1, ..no_violations() }; "after the grace period")]
#[test_case(&[Answered], vec![run(TARGET, 0, 60_000)], no_violations(); "after the drain")]
fn violation_counts(outcomes: &[Outcome], runs: Vec<Run>, expected: Violations) {
    let summary = check(false, outcomes, runs);
    assert_eq!(summary.rows[0].violations, expected);
    let must_pass = Violations { not_run_after_run: 0, ..expected } == no_violations();
    assert_eq!(summary.has_passed(), must_pass);
    assert_eq!(summary.failures().is_empty(), must_pass);
}

/// Idempotent requests may run more than once.
#[test]
fn idempotent_duplicate() {
    let runs = vec![run(TARGET, 0, 500), run(OTHER_TARGET, 0, 501)];
    assert!(check(true, &[Answered], runs).has_passed());
}

/// At 1 Mbit/s a window of 100 ms holds 12,500 bytes; one byte more exceeds the cap.
#[test_case("swaps-geneva-1-01", 12_500, 0, 1.0; "at the cap")]
#[test_case("swaps-geneva-1-01", 12_501, 1, 1.000_08; "above the cap")]
#[test_case("swaps-zurich-1-01", 12_501, 0, 0.0; "inside the region")]
fn link_cap(target: &str, reply_bytes: u64, violations: u64, peak_utilisation: f64) {
    let run = Run { reply_bytes, ..run(target, 0, 500) };
    let summary = check(true, &[Answered], vec![run]);
    assert_eq!(summary.link_violations, violations);
    assert!(
        (summary.peak_utilisation - peak_utilisation).abs() < 1e-9,
        "{}",
        summary.peak_utilisation
    );
    assert_eq!(summary.has_passed(), violations == 0);
}
