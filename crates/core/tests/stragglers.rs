//! Targets that become slow, fail or leave.

mod common;

use common::{Driver, RandomTimes, at_us, flow, ready};
use ebonypass_core::id::TargetId;
use ebonypass_core::outcome::{Outcome, Reason};
use ebonypass_core::pool::{Action, Config, Job, Load, Pool, Report, Spec, State};
use test_case::test_case;

const MEAN_US: f64 = 4_000.0;
const DEADLINE_US: u64 = 40_000;

/// Offers 70% of the capacity of four targets for ten seconds; target 0 is `factor` times slower
/// in each second half of two seconds.
fn run_with_slow_target(slots: u32, factor: u64, idempotent_percent: u64) -> Driver {
    let mut driver = Driver::new(4, slots);
    let mut times = RandomTimes::new(3);
    let gap_us = MEAN_US / f64::from(4 * slots) / 0.7;
    let (mut next_us, mut percent) = (0, 0);
    while next_us < 10_000_000 {
        driver.run_until(at_us(next_us));
        driver.slowdown[0] = if next_us % 2_000_000 < 1_000_000 { 1 } else { factor };
        let idempotent = percent % 100 < idempotent_percent;
        let service_us = times.service_us(MEAN_US);
        let _ = driver.offer(flow(0, u16::from(idempotent)), DEADLINE_US, idempotent, service_us);
        percent = (percent + 37) % 100;
        next_us += times.exponential_us(gap_us);
    }
    driver.run_until(at_us(11_000_000));
    driver
}

/// Guards against a tail latency that follows one slow target, unknown outcomes, needless refusals
/// and more hedges than 5% of the dispatches.
#[test_case(3, 90; "three slots")]
#[test_case(8, 90; "eight slots")]
#[test_case(5, 100; "all idempotent")]
fn slow_target(slots: u32, idempotent_percent: u64) {
    let healthy = run_with_slow_target(slots, 1, idempotent_percent);
    let slow = run_with_slow_target(slots, 10, idempotent_percent);
    let (healthy_us, slow_us) =
        (healthy.quantile_us(flow(0, 1), 999), slow.quantile_us(flow(0, 1), 999));
    assert!(slow_us <= healthy_us * 2, "p99.9 {slow_us} us, all healthy {healthy_us} us");
    let late = slow.count(flow(0, 1), Outcome::Unknown);
    assert!(late * 1000 <= slow.completed.len(), "{late} of {} late", slow.completed.len());
    // Three of the four targets can just serve the whole load.
    let refused = slow.count(flow(0, 1), Outcome::NotRun);
    assert!(refused * 200 <= slow.completed.len(), "{refused} of {} refused", slow.completed.len());
    assert!(
        slow.hedges * 20 <= slow.dispatches,
        "{} hedges for {} dispatches",
        slow.hedges,
        slow.dispatches
    );
}

/// Guards against non-idempotent work on a suspect. Only what was sent before the target became one
/// may miss its deadline.
#[test]
fn non_idempotent_work_avoids_suspects() {
    let slow = run_with_slow_target(3, 10, 50);
    let unknown = slow.count(flow(0, 0), Outcome::Unknown);
    let non_idempotent_sends: u64 = slow.non_idempotent_sends.iter().sum();
    // Three slots in each of five slow periods, and as many again for late detection.
    assert!(unknown <= 30, "{unknown} of {non_idempotent_sends} may have run");
}

/// Guards against a target that stays a suspect for ever after an error, because the pool has no
/// idempotent work to probe it with.
#[test]
fn suspect_readmitted_without_probe() {
    let mut pool = Pool::new(Config::default());
    pool.set_target(at_us(0), TargetId(0), ready(1));
    let job =
        |deadline_us| Job { flow: flow(0, 0), deadline: at_us(deadline_us), idempotent: false };
    let ticket = pool.offer(at_us(0), job(100_000)).unwrap();
    let Some(Action::Dispatch { attempt, .. }) = pool.next_action(at_us(0)) else { panic!() };
    pool.report(at_us(0), ticket, attempt, Report::Lost);
    assert_eq!(
        pool.next_action(at_us(0)),
        Some(Action::Fail { ticket, reason: Reason::TargetLost })
    );
    pool.offer(at_us(0), job(10_000_000)).unwrap();
    assert_eq!(pool.next_action(at_us(0)), None);
    let wake_at = pool.wake_at().unwrap();
    assert_eq!(pool.next_action(wake_at), None);
    let wake_at = pool.wake_at().unwrap();
    assert!(wake_at <= at_us(2_000_000));
    assert!(matches!(pool.next_action(wake_at), Some(Action::Dispatch { .. })));
}

/// Guards against new work on a target that leaves, and against jobs that wait while no target may
/// take work.
#[test_case(State::Leaving; "leaving")]
#[test_case(State::Gone; "gone")]
fn no_work_after_leaving(state: State) {
    let mut driver = Driver::new(2, 1);
    for _ in 0..4 {
        driver.offer(flow(0, 0), 1_000_000, true, 4_000).unwrap();
    }
    driver.pool.set_target(at_us(0), TargetId(0), Spec { slots: 1, state });
    driver.run_until(at_us(5_000));
    assert_eq!(driver.in_flight, [0, 1]);
    driver.pool.set_target(at_us(5_000), TargetId(1), Spec { slots: 1, state });
    let refused = driver.pool.next_action(at_us(5_000));
    assert!(matches!(refused, Some(Action::Refuse { reason: Reason::NoTarget, .. })));
}

/// Guards against repeated dispatches to a leaving target that sheds while the VM list is stale and
/// load reports are missing.
#[test]
fn shedding_target_ejected() {
    let mut pool = Pool::new(Config::default());
    for target in 0..2 {
        pool.set_target(at_us(0), TargetId(target), ready(4));
    }
    let mut shed = 0;
    for ms in 0..5_000 {
        let now = at_us(ms * 1_000);
        if ms % 100 == 0 {
            // The VM list lags and still shows the target as ready.
            pool.set_target(now, TargetId(1), ready(4));
        }
        let deadline = at_us(ms * 1_000 + 40_000);
        pool.offer(now, Job { flow: flow(0, 0), deadline, idempotent: true }).unwrap();
        while let Some(action) = pool.next_action(now) {
            let Action::Dispatch { ticket, attempt, target } = action else { continue };
            let has_left = target == TargetId(1);
            shed += u32::from(has_left);
            let report = if has_left { Report::Shed } else { Report::Answered };
            pool.report(now, ticket, attempt, report);
        }
    }
    assert!(shed <= 8, "{shed} sent to the target that left");
    pool.record_load(at_us(5_000_000), TargetId(1), Load { busy: 0, queued: 0 });
    assert_eq!(pool.next_action(at_us(5_000_000)), None);
    let deadline = at_us(6_000_000);
    let mut targets = Vec::new();
    for _ in 0..2 {
        let now = at_us(5_200_000);
        pool.offer(now, Job { flow: flow(0, 0), deadline, idempotent: true }).unwrap();
        let Some(Action::Dispatch { ticket, attempt, target }) = pool.next_action(now) else {
            panic!("expected a dispatch");
        };
        pool.report(now, ticket, attempt, Report::Answered);
        targets.push(target);
    }
    assert!(targets.contains(&TargetId(1)), "a target that reports again gets work");
}

/// Guards against a pool that makes all targets suspects when all slow down alike: then the learned
/// slot times are wrong, not the targets.
#[test]
fn common_slowdown_tolerated() {
    let mut driver = Driver::new(4, 3);
    let mut times = RandomTimes::new(9);
    let mut next_us = 0;
    while next_us < 20_000_000 {
        driver.run_until(at_us(next_us));
        driver.slowdown.fill(if next_us < 5_000_000 { 1 } else { 3 });
        let service_us = times.service_us(MEAN_US);
        let _ = driver.offer(flow(0, 0), 20 * DEADLINE_US, true, service_us);
        next_us += times.exponential_us(MEAN_US / 12.0 / 0.25);
    }
    driver.run_until(at_us(21_000_000));
    let answered = driver.count(flow(0, 0), Outcome::Answered);
    assert!(
        answered * 100 >= driver.completed.len() * 99,
        "{answered} of {} answered",
        driver.completed.len()
    );
    assert!(driver.hedges * 20 <= driver.dispatches);
}

/// Guards against work that is sent to a leaving target more than 5 s after its first shed
/// while the VM list and the load reports are missing, also under little load.
#[test_case(1; "every ms")]
#[test_case(100; "every 100 ms")]
#[test_case(1_000; "every second")]
fn shedding_target_ejected_in_time(gap_ms: u64) {
    let mut pool = Pool::new(Config::default());
    for target in 0..2 {
        pool.set_target(at_us(0), TargetId(target), ready(4));
    }
    let mut first_shed = None;
    for now_ms in (0..30_000).step_by(gap_ms as usize) {
        let now = at_us(now_ms * 1_000);
        let deadline = at_us(now_ms * 1_000 + 40_000);
        pool.offer(now, Job { flow: flow(0, 0), deadline, idempotent: true }).unwrap();
        while let Some(action) = pool.next_action(now) {
            let Action::Dispatch { ticket, attempt, target } = action else { continue };
            let has_left = target == TargetId(1);
            if has_left {
                let first_ms = *first_shed.get_or_insert(now_ms);
                assert!(
                    now_ms <= first_ms + 5_000,
                    "sent {} ms after the first shed",
                    now_ms - first_ms
                );
            }
            let report = if has_left { Report::Shed } else { Report::Answered };
            pool.report(now, ticket, attempt, report);
        }
    }
    assert!(first_shed.is_some());
}
