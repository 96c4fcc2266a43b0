//! Each invariant check detects a strategy that deliberately violates the invariant.

mod common;

use common::{arrive, arrive_with_reply, policy, replay_with};
use ebonypass_core::id::{CentreId, TargetId};
use ebonypass_core::outcome::Outcome;
use ebonypass_core::pool::Report;
use ebonypass_core::time::{Instant, Span};
use ebonypass_replay::strategy::{AttemptKey, Command, RequestMetadata, Strategy};
use test_case::test_case;

/// The fault of a strategy.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    /// No fault: every check must count 0.
    None,
    /// Dispatches each request twice.
    DispatchesTwice,
    /// Dispatches a request again after the first attempt was lost.
    RetriesLost,
    /// Replies "not run" right after the dispatch.
    NotRunEarly,
    /// Replies "not run" after the attempt was lost.
    NotRunAfterLoss,
    /// Replies "answered" right after the dispatch.
    AnsweredEarly,
    /// Never replies.
    NeverReplies,
}

/// Dispatches every request to the same target.
struct SingleTarget {
    target: TargetId,
    fault: Fault,
}

impl SingleTarget {
    fn new(target: &str, fault: Fault) -> SingleTarget {
        SingleTarget { target: policy().target(target).expect("the target exists"), fault }
    }

    fn dispatch(&self, metadata: &RequestMetadata, number: u16, out: &mut Vec<Command>) {
        let key = AttemptKey { request: metadata.request, number };
        out.push(Command::Dispatch { key, target: self.target });
    }
}

impl Strategy for SingleTarget {
    fn choose_entry(&mut self, metadata: &RequestMetadata, _alive: &[bool]) -> Option<CentreId> {
        Some(metadata.centre)
    }

    fn handle_request(
        &mut self,
        _now: Instant,
        _centre: CentreId,
        metadata: &RequestMetadata,
        out: &mut Vec<Command>,
    ) {
        let request = metadata.request;
        self.dispatch(metadata, 0, out);
        match self.fault {
            Fault::DispatchesTwice => self.dispatch(metadata, 1, out),
            Fault::NotRunEarly => out.push(Command::Reply { request, outcome: Outcome::NotRun }),
            Fault::AnsweredEarly => {
                out.push(Command::Reply { request, outcome: Outcome::Answered })
            }
            _ => {}
        }
    }

    fn handle_report(
        &mut self,
        _now: Instant,
        key: AttemptKey,
        target: TargetId,
        report: Report,
        out: &mut Vec<Command>,
    ) {
        let request = key.request;
        let outcome = match (self.fault, report) {
            (Fault::NeverReplies, _) => return,
            (Fault::RetriesLost, Report::Lost) if key.number == 0 => {
                let key = AttemptKey { request, number: 1 };
                out.push(Command::Dispatch { key, target });
                return;
            }
            (Fault::NotRunAfterLoss, Report::Lost) => Outcome::NotRun,
            (_, Report::Answered) => Outcome::Answered,
            (_, Report::Lost) => Outcome::Unknown,
            (_, Report::Shed | Report::Unsent) => Outcome::NotRun,
        };
        out.push(Command::Reply { request, outcome });
    }
}

fn fail_line(at_us: u64) -> String {
    format!(r#"{{"at_us":{at_us},"fail":{{"dc":"near-2","for_us":1000}}}}"#)
}

/// A non-idempotent request is dispatched again although it may have run.
#[test_case(Fault::None, "write", 0; "sound")]
#[test_case(Fault::DispatchesTwice, "write", 1; "dispatched twice")]
#[test_case(Fault::DispatchesTwice, "read", 0; "dispatched twice but idempotent")]
#[test_case(Fault::RetriesLost, "write", 1; "retried after a loss")]
fn duplicate_dispatches(fault: Fault, kind: &str, expected: u64) {
    let lines = [arrive(0, 1, "desk", kind, "near-1", 50_000), fail_line(20_000)];
    let report = replay_with(SingleTarget::new("desk-near-2-01", fault), &lines);
    assert_eq!(report.duplicate_dispatches, expected, "{report}");
}

/// A request ran, or runs later, although the client was told "not run".
#[test_case(Fault::None, 0; "sound")]
#[test_case(Fault::NotRunEarly, 1; "not run before it ran")]
#[test_case(Fault::NotRunAfterLoss, 1; "not run after a loss")]
fn wrong_not_run(fault: Fault, expected: u64) {
    let lines = [arrive(0, 1, "desk", "write", "near-1", 50_000), fail_line(20_000)];
    let report = replay_with(SingleTarget::new("desk-near-2-01", fault), &lines);
    assert_eq!(report.wrong_not_run, expected, "{report}");
}

/// A client is told "answered" without an answer, or gets no reply.
#[test_case(Fault::None, 0, 0; "sound")]
#[test_case(Fault::AnsweredEarly, 1, 0; "answered early")]
#[test_case(Fault::NeverReplies, 0, 1; "no reply")]
fn missing_answer(fault: Fault, wrong: u64, open: u64) {
    let lines = [arrive(0, 1, "desk", "read", "near-1", 4_000)];
    let report = replay_with(SingleTarget::new("desk-near-1-01", fault), &lines);
    assert_eq!((report.wrong_answered, report.open), (wrong, open), "{report}");
}

/// A dispatch more than 5 s after the target started to leave.
#[test_case(4_900_000, 0; "in time")]
#[test_case(5_100_000, 1; "too late")]
fn dispatched_to_leaving(at_us: u64, expected: u64) {
    let lines = [
        r#"{"at_us":0,"leave":{"target":"desk-near-1-01"}}"#.to_owned(),
        arrive(at_us, 1, "desk", "read", "near-1", 4_000),
    ];
    let report = replay_with(SingleTarget::new("desk-near-1-01", Fault::None), &lines);
    assert_eq!(report.dispatched_to_leaving, expected, "{report}");
}

/// A request from another region finds no free slot. Requests of the same region do not count.
#[test_case("near-1", 2, 0; "two on two slots")]
#[test_case("near-1", 3, 1; "three on two slots")]
#[test_case("far-1", 3, 0; "own region")]
fn region_overloads(dc: &str, requests: u64, expected: u64) {
    let lines: Vec<String> =
        (0..requests).map(|id| arrive(0, id, "hall", "read", dc, 50_000)).collect();
    // The other target of the region is full, so two slots are left.
    let strategy = SingleTarget::new("hall-far-1-01", Fault::None);
    let report = replay_with(Prefilled(strategy), &lines);
    assert_eq!(report.region_overloads, expected, "{report}");
}

/// Fills the two slots of the other target of the region before the first request.
struct Prefilled(SingleTarget);

impl Strategy for Prefilled {
    fn choose_entry(&mut self, metadata: &RequestMetadata, alive: &[bool]) -> Option<CentreId> {
        self.0.choose_entry(metadata, alive)
    }

    fn handle_request(
        &mut self,
        now: Instant,
        centre: CentreId,
        metadata: &RequestMetadata,
        out: &mut Vec<Command>,
    ) {
        if metadata.request.0 == 0 {
            let target = policy().target("hall-far-1-02").expect("the target exists");
            for number in 10..12 {
                let key = AttemptKey { request: metadata.request, number };
                out.push(Command::Dispatch { key, target });
            }
        }
        self.0.handle_request(now, centre, metadata, out);
    }

    fn handle_report(
        &mut self,
        now: Instant,
        key: AttemptKey,
        target: TargetId,
        report: Report,
        out: &mut Vec<Command>,
    ) {
        self.0.handle_report(now, key, target, report, out);
    }
}

/// More bytes within 100 ms than the cap allows, with gaps just below and at the window length.
#[test_case(60_000, 50_000, 1; "within the window")]
#[test_case(60_000, 99_000, 1; "at the end of the window")]
#[test_case(60_000, 100_000, 0; "in the next window")]
#[test_case(50_000, 50_000, 0; "exactly the cap")]
fn link_cap_violations(reply_bytes: u64, gap_us: u64, expected: u64) {
    let lines = [
        arrive_with_reply(0, 1, "hall", "read", "near-1", 4_000, reply_bytes),
        arrive_with_reply(gap_us, 2, "hall", "read", "near-1", 4_000, reply_bytes),
    ];
    let report = replay_with(SingleTarget::new("hall-far-1-01", Fault::None), &lines);
    assert_eq!(report.link_cap_violations, expected, "{report}");
}

/// A strategy that always asks for a wake-up in the past does not stop the clock.
#[test]
fn repeated_wake() {
    struct ConstantWake(SingleTarget);
    impl Strategy for ConstantWake {
        fn choose_entry(&mut self, metadata: &RequestMetadata, alive: &[bool]) -> Option<CentreId> {
            self.0.choose_entry(metadata, alive)
        }
        fn handle_request(
            &mut self,
            now: Instant,
            centre: CentreId,
            metadata: &RequestMetadata,
            out: &mut Vec<Command>,
        ) {
            self.0.handle_request(now, centre, metadata, out);
        }
        fn handle_report(
            &mut self,
            now: Instant,
            key: AttemptKey,
            target: TargetId,
            report: Report,
            out: &mut Vec<Command>,
        ) {
            self.0.handle_report(now, key, target, report, out);
        }
        fn wake_at(&self) -> Option<Instant> {
            Some(Instant::ZERO + Span::from_micros(1))
        }
    }
    let lines = [arrive(0, 1, "desk", "read", "near-1", 4_000)];
    let report =
        replay_with(ConstantWake(SingleTarget::new("desk-near-1-01", Fault::None)), &lines);
    assert_eq!(report.total.answered, 1);
}
