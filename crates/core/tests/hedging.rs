//! Hedges: second attempts of idempotent work on another target.

mod common;

use common::{Driver, RandomTimes, at_us, flow, ready};
use ebonypass_core::id::TargetId;
use ebonypass_core::pool::{Action, Attempt, Config, Job, Pool, Report, Ticket, Verdict};
use ebonypass_core::time::Instant;
use test_case::test_case;

const SERVICE_US: u64 = 4_000;

/// A pool that has learned that its kinds take 4 ms, and the current time in microseconds.
fn pool_with_known_kinds(targets: u32) -> (Pool, u64) {
    let mut pool = Pool::new(Config::default());
    for target in 0..targets {
        pool.set_target(at_us(0), TargetId(target), ready(2));
    }
    let mut now_us = 0;
    for round in 0..400 {
        let (ticket, attempt, _) = dispatch(&mut pool, now_us, round % 2 == 0);
        now_us += SERVICE_US;
        assert_eq!(pool.report(at_us(now_us), ticket, attempt, Report::Answered), Verdict::Settled);
    }
    (pool, now_us)
}

fn dispatch(pool: &mut Pool, now_us: u64, idempotent: bool) -> (Ticket, Attempt, TargetId) {
    let deadline = at_us(now_us + 400_000);
    let job = Job { flow: flow(0, u16::from(idempotent)), deadline, idempotent };
    let ticket = pool.offer(at_us(now_us), job).unwrap();
    match pool.next_action(at_us(now_us)) {
        Some(Action::Dispatch { ticket: sent, attempt, target }) if sent == ticket => {
            (ticket, attempt, target)
        }
        action => panic!("expected a dispatch, got {action:?}"),
    }
}

/// The first action that a timer causes, and its time.
fn next_timed_action(pool: &mut Pool) -> (Instant, Action) {
    loop {
        let now = pool.wake_at().expect("no timer is set");
        if let Some(action) = pool.next_action(now) {
            return (now, action);
        }
    }
}

/// Guards against a request that waits for a straggler without a hedge, a losing attempt that keeps
/// its slot, and a second reply. Either attempt may win.
#[test_case(0; "first attempt wins")]
#[test_case(1; "hedge wins")]
fn losing_attempt_cancelled(winner: usize) {
    let (mut pool, now_us) = pool_with_known_kinds(2);
    let (ticket, attempt, target) = dispatch(&mut pool, now_us, true);
    let (now, action) = next_timed_action(&mut pool);
    let Action::Hedge { ticket: hedged, attempt: second, target: other } = action else {
        panic!("expected a hedge, got {action:?}");
    };
    assert!(hedged == ticket && second != attempt && other != target);
    assert!(now < at_us(now_us + 4 * SERVICE_US));
    let sent = [(attempt, target), (second, other)];
    let (won, lost) = (sent[winner], sent[1 - winner]);
    assert_eq!(pool.report(now, ticket, won.0, Report::Answered), Verdict::Settled);
    let cancel = Action::Cancel { ticket, attempt: lost.0, target: lost.1 };
    assert_eq!(pool.next_action(now), Some(cancel));
    assert_eq!(pool.report(now, ticket, lost.0, Report::Answered), Verdict::Ignored);
    assert_eq!(pool.next_action(now), None);
}

/// Guards against learned slot times that shrink because attempts are cancelled when callers go away
/// early. The next hedge would then come too soon.
#[test]
fn early_cancels_not_learned() {
    let (mut pool, mut now_us) = pool_with_known_kinds(2);
    for _ in 0..1_000 {
        let (ticket, attempt, target) = dispatch(&mut pool, now_us, true);
        now_us += 100;
        pool.abandon(at_us(now_us), ticket);
        let cancel = Action::Cancel { ticket, attempt, target };
        assert_eq!(pool.next_action(at_us(now_us)), Some(cancel));
        assert_eq!(pool.report(at_us(now_us), ticket, attempt, Report::Lost), Verdict::Ignored);
    }
    dispatch(&mut pool, now_us, true);
    let (now, action) = next_timed_action(&mut pool);
    assert!(matches!(action, Action::Hedge { .. }), "{action:?}");
    assert!(now >= at_us(now_us + SERVICE_US));
}

/// Guards against a hedge of non-idempotent work that is slow.
#[test]
fn non_idempotent_not_hedged() {
    let (mut pool, now_us) = pool_with_known_kinds(2);
    let (ticket, ..) = dispatch(&mut pool, now_us, false);
    let (now, action) = next_timed_action(&mut pool);
    assert!(matches!(action, Action::Fail { ticket: failed, .. } if failed == ticket));
    assert_eq!(now, at_us(now_us + 400_000));
}

/// Guards against the outcome "not run" for a job of which one attempt was lost, and so may have run,
/// and all later ones were shed.
#[test]
fn lost_attempt_may_have_run() {
    let (mut pool, now_us) = pool_with_known_kinds(3);
    let (ticket, attempt, _) = dispatch(&mut pool, now_us, true);
    pool.report(at_us(now_us), ticket, attempt, Report::Lost);
    loop {
        let (now, action) = match pool.next_action(at_us(now_us)) {
            Some(action) => (at_us(now_us), action),
            None => next_timed_action(&mut pool),
        };
        match action {
            Action::Dispatch { ticket, attempt, .. } => {
                pool.report(now, ticket, attempt, Report::Shed);
            }
            action => {
                assert!(matches!(action, Action::Fail { .. }), "{action:?}");
                return;
            }
        }
    }
}

/// Guards against more hedges than 5% of the dispatches when the targets are slow one after another.
#[test_case(0.5; "half load")]
#[test_case(0.9; "nearly full")]
fn hedge_budget_kept(load: f64) {
    let mut driver = Driver::new(4, 3);
    let mut times = RandomTimes::new(5);
    let mut next_us = 0;
    while next_us < 10_000_000 {
        driver.run_until(at_us(next_us));
        driver.slowdown.fill(1);
        driver.slowdown[(next_us / 250_000 % 4) as usize] = 10;
        let service_us = times.service_us(SERVICE_US as f64);
        let _ = driver.offer(flow(0, 0), 40_000, true, service_us);
        next_us += times.exponential_us(SERVICE_US as f64 / 12.0 / load);
        assert!(driver.hedges * 20 <= driver.dispatches);
    }
    assert!(driver.hedges > 0);
}
