//! Retry or failure of a job for each way in which its attempt can end.

use ebonypass_core::id::{KindId, MemberId, TargetId};
use ebonypass_core::outcome::Reason;
use ebonypass_core::pool::{Action, Config, Flow, Job, Pool, Report, Spec, State, Ticket, Verdict};
use ebonypass_core::time::Instant;
use test_case::test_case;

fn two_targets() -> Pool {
    let mut pool = Pool::new(Config::default());
    for target in 0..2 {
        let spec = Spec { slots: 1, state: State::Ready };
        pool.set_target(Instant::ZERO, TargetId(target), spec);
    }
    pool
}

fn offer_job(pool: &mut Pool, idempotent: bool) -> Ticket {
    let flow = Flow { member: MemberId(0), kind: KindId(0) };
    let deadline = Instant::from_micros(1_000_000);
    pool.offer(Instant::ZERO, Job { flow, deadline, idempotent }).unwrap()
}

/// Guards against a second dispatch of non-idempotent work that may have run, and against no retry
/// on another target where that is safe.
#[test_case(true, Report::Shed, true; "idempotent shed")]
#[test_case(true, Report::Unsent, true; "idempotent unsent")]
#[test_case(true, Report::Lost, true; "idempotent lost")]
#[test_case(false, Report::Shed, true; "non idempotent shed")]
#[test_case(false, Report::Unsent, true; "non idempotent unsent")]
#[test_case(false, Report::Lost, false; "non idempotent lost")]
fn retried_if_safe(idempotent: bool, report: Report, is_retried: bool) {
    let mut pool = two_targets();
    let ticket = offer_job(&mut pool, idempotent);
    let now = Instant::from_micros(10);
    let Some(Action::Dispatch { attempt, target: first, .. }) = pool.next_action(now) else {
        panic!("expected a dispatch");
    };
    assert_eq!(pool.report(now, ticket, attempt, report), Verdict::Pending);
    match pool.next_action(now) {
        Some(Action::Dispatch { ticket: again, target, .. }) => {
            assert!(is_retried);
            assert_eq!(again, ticket);
            assert_ne!(target, first);
        }
        action => {
            assert!(!is_retried);
            assert_eq!(action, Some(Action::Fail { ticket, reason: Reason::TargetLost }));
        }
    }
    assert_eq!(pool.next_action(now), None);
}
