//! Second attempts of idempotent work.

mod common;

use common::{Driver, Times, at, flow, ready};
use ebonypass_core::id::TargetId;
use ebonypass_core::pool::{Action, Attempt, Config, Job, Pool, Report, Ticket, Verdict};
use ebonypass_core::time::Instant;
use test_case::test_case;

const SERVICE_US: u64 = 4_000;

/// A pool that has learned that its kinds take 4 ms, and the time now.
fn taught(targets: u32) -> (Pool, u64) {
    let mut pool = Pool::new(Config::default());
    for target in 0..targets {
        pool.set_target(at(0), TargetId(target), ready(2));
    }
    let mut now_us = 0;
    for turn in 0..400 {
        let (ticket, attempt, _) = send(&mut pool, now_us, turn % 2 == 0);
        now_us += SERVICE_US;
        assert_eq!(pool.report(at(now_us), ticket, attempt, Report::Answered), Verdict::Settled);
    }
    (pool, now_us)
}

fn send(pool: &mut Pool, now_us: u64, idempotent: bool) -> (Ticket, Attempt, TargetId) {
    let deadline = at(now_us + 400_000);
    let job = Job { flow: flow(0, u16::from(idempotent)), deadline, idempotent };
    let ticket = pool.offer(at(now_us), job).unwrap();
    match pool.next_action(at(now_us)) {
        Some(Action::Dispatch { ticket: sent, attempt, target }) if sent == ticket => {
            (ticket, attempt, target)
        }
        action => panic!("{action:?}"),
    }
}

/// The first action that comes without a further call, and its time.
fn next_after(pool: &mut Pool) -> (Instant, Action) {
    loop {
        let now = pool.wake_at().expect("something is due");
        if let Some(action) = pool.next_action(now) {
            return (now, action);
        }
    }
}

/// Guards against requests that wait for a straggler to the end, losers that keep their slot, and
/// second replies. Either attempt may win.
#[test_case(0; "first attempt wins")]
#[test_case(1; "hedge wins")]
fn loser_cancelled(winner: usize) {
    let (mut pool, now_us) = taught(2);
    let (ticket, attempt, target) = send(&mut pool, now_us, true);
    let (now, action) = next_after(&mut pool);
    let Action::Hedge { ticket: hedged, attempt: second, target: other } = action else {
        panic!("{action:?}");
    };
    assert!(hedged == ticket && second != attempt && other != target);
    assert!(now < at(now_us + 4 * SERVICE_US));
    let sent = [(attempt, target), (second, other)];
    let (won, lost) = (sent[winner], sent[1 - winner]);
    assert_eq!(pool.report(now, ticket, won.0, Report::Answered), Verdict::Settled);
    let cancel = Action::Cancel { ticket, attempt: lost.0, target: lost.1 };
    assert_eq!(pool.next_action(now), Some(cancel));
    assert_eq!(pool.report(now, ticket, lost.0, Report::Answered), Verdict::Ignored);
    assert_eq!(pool.next_action(now), None);
}

/// Guards against slot times that shrink because callers go away early.
#[test]
fn early_goodbyes() {
    let (mut pool, mut now_us) = taught(2);
    for _ in 0..1_000 {
        let (ticket, attempt, target) = send(&mut pool, now_us, true);
        now_us += 100;
        pool.abandon(at(now_us), ticket);
        let cancel = Action::Cancel { ticket, attempt, target };
        assert_eq!(pool.next_action(at(now_us)), Some(cancel));
        assert_eq!(pool.report(at(now_us), ticket, attempt, Report::Lost), Verdict::Ignored);
    }
    send(&mut pool, now_us, true);
    let (now, action) = next_after(&mut pool);
    assert!(matches!(action, Action::Hedge { .. }), "{action:?}");
    assert!(now >= at(now_us + SERVICE_US));
}

/// Guards against a second dispatch of non-idempotent work that is merely slow.
#[test]
fn firm_work() {
    let (mut pool, now_us) = taught(2);
    let (ticket, ..) = send(&mut pool, now_us, false);
    let (now, action) = next_after(&mut pool);
    assert!(matches!(action, Action::Fail { ticket: failed, .. } if failed == ticket));
    assert_eq!(now, at(now_us + 400_000));
}

/// Guards against a "not run" for a job whose lost attempt may have run.
#[test]
fn lost_then_shed() {
    let (mut pool, now_us) = taught(3);
    let (ticket, attempt, _) = send(&mut pool, now_us, true);
    pool.report(at(now_us), ticket, attempt, Report::Lost);
    loop {
        let (now, action) = match pool.next_action(at(now_us)) {
            Some(action) => (at(now_us), action),
            None => next_after(&mut pool),
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

/// Guards against hedges beyond their budget when every target is slow in turn.
#[test_case(0.5; "half load")]
#[test_case(0.9; "nearly full")]
fn budget_kept(load: f64) {
    let mut driver = Driver::new(4, 3);
    let mut times = Times::new(5);
    let mut next = 0;
    while next < 10_000_000 {
        driver.run_until(at(next));
        driver.slowdown.fill(1);
        driver.slowdown[(next / 250_000 % 4) as usize] = 10;
        let service_us = times.service_us(SERVICE_US as f64);
        let _ = driver.offer(flow(0, 0), 40_000, true, service_us);
        next += times.exponential_us(SERVICE_US as f64 / 12.0 / load);
        assert!(driver.hedges * 20 <= driver.dispatches);
    }
    assert!(driver.hedges > 0);
}
