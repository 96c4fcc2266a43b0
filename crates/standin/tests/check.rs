//! The comparison finds each broken promise and nothing else.

use ebonypass_core::outcome::Outcome;
use ebonypass_core::scan::scan_document;
use ebonypass_standin::check::{Drained, Evidence, Finding, Violations};
use ebonypass_standin::report::{Attempt, KindReport, Report, Request};
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

fn check(idempotent: bool, outcomes: &[Outcome], runs: Vec<Run>) -> Finding {
    let kind = KindReport {
        service: "swaps".to_owned(),
        kind: "log".to_owned(),
        idempotent,
        answered: 1,
        ..KindReport::default()
    };
    let report = Report {
        member: "windelrunde".to_owned(),
        kinds: vec![kind],
        not_started: 0,
        requests: vec![request(outcomes)],
    };
    let policy = scan_document(POLICY).expect("a valid policy");
    let subject = "zurich-1".to_owned();
    let drained = Some(Drained { subject, from_ms: 10_000, until_ms: 60_000 });
    Evidence { policy, reports: vec![report], runs, drained }.check()
}

const HOME: &str = "swaps-zurich-1-01";
const OTHER: &str = "swaps-zurich-1-02";
use Outcome::{Answered, NotRun, Unknown};

fn none() -> Violations {
    Violations::default()
}

#[test_case(&[Answered], vec![run(HOME, 0, 500)], none(); "answered")]
#[test_case(&[NotRun], vec![], none(); "not run")]
#[test_case(&[Unknown, Unknown], vec![run(HOME, 0, 500)], none(); "repeated key")]
#[test_case(&[Answered], vec![run(HOME, 0, 500), run(OTHER, 0, 501)],
    Violations { duplicate_runs: 1, ..none() }; "duplicate run")]
#[test_case(&[Unknown, Answered], vec![run(HOME, 0, 500), run(OTHER, 1, 501)],
    Violations { duplicate_runs: 1, ..none() }; "duplicate by a repeated key")]
#[test_case(&[NotRun], vec![run(HOME, 0, 500)],
    Violations { wrong_not_run: 1, ..none() }; "wrong not run")]
#[test_case(&[Unknown, NotRun], vec![run(HOME, 0, 500)],
    Violations { not_run_after_run: 1, ..none() }; "not run after a run")]
#[test_case(&[Answered], vec![],
    Violations { answer_without_run: 1, ..none() }; "answer without a run")]
#[test_case(&[Unknown], vec![run(HOME, 0, 9_500)],
    Violations { cut_by_drain: 1, ..none() }; "cut by the drain")]
#[test_case(&[Unknown], vec![run(HOME, 0, 8_000)], none(); "ended before the drain")]
#[test_case(&[Unknown], vec![run("swaps-geneva-1-01", 0, 9_500)], none(); "not drained")]
#[test_case(&[Answered], vec![run(HOME, 0, 14_000)], none(); "in the grace")]
#[test_case(&[Answered], vec![run(HOME, 0, 15_001)],
    Violations { run_at_drained: 1, ..none() }; "after the grace")]
#[test_case(&[Answered], vec![run(HOME, 0, 60_000)], none(); "after the drain")]
fn each_violation(outcomes: &[Outcome], runs: Vec<Run>, expected: Violations) {
    let finding = check(false, outcomes, runs);
    assert_eq!(finding.rows[0].violations, expected);
    let shown_only = Violations { not_run_after_run: 0, ..expected } == none();
    assert_eq!(finding.is_kept(), shown_only);
    assert_eq!(finding.broken().is_empty(), shown_only);
}

/// Idempotent work may run twice.
#[test]
fn idempotent_twice() {
    let runs = vec![run(HOME, 0, 500), run(OTHER, 0, 501)];
    assert!(check(true, &[Answered], runs).is_kept());
}

/// 1 Mbit/s is 12,500 bytes in 100 ms: one reply fills the window, a second byte breaks the cap.
#[test_case("swaps-geneva-1-01", 12_500, 0, 1.0; "full")]
#[test_case("swaps-geneva-1-01", 12_501, 1, 1.000_08; "above the cap")]
#[test_case("swaps-zurich-1-01", 12_501, 0, 0.0; "inside the region")]
fn link_cap(target: &str, reply_bytes: u64, violations: u64, highest_use: f64) {
    let run = Run { reply_bytes, ..run(target, 0, 500) };
    let finding = check(true, &[Answered], vec![run]);
    assert_eq!(finding.link_violations, violations);
    assert!((finding.highest_use - highest_use).abs() < 1e-9, "{}", finding.highest_use);
    assert_eq!(finding.is_kept(), violations == 0);
}
