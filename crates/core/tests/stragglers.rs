//! Targets that become slow or fail.

mod common;

use common::{Driver, Times, at, flow, ready};
use ebonypass_core::id::TargetId;
use ebonypass_core::outcome::{Outcome, Reason};
use ebonypass_core::pool::{Action, Config, Job, Load, Pool, Report, Spec, State};
use test_case::test_case;

const MEAN_US: f64 = 4_000.0;
const DEADLINE_US: u64 = 40_000;

/// Offers 70% of the capacity of four targets for ten seconds; target 0 is `factor` times slower
/// in each second half of two seconds.
fn run(slots: u32, factor: u64, idempotent_percent: u64) -> Driver {
    let mut driver = Driver::new(4, slots);
    let mut times = Times::new(3);
    let gap_us = MEAN_US / f64::from(4 * slots) / 0.7;
    let (mut next, mut turn) = (0, 0);
    while next < 10_000_000 {
        driver.run_until(at(next));
        driver.slowdown[0] = if next % 2_000_000 < 1_000_000 { 1 } else { factor };
        let idempotent = turn % 100 < idempotent_percent;
        let service_us = times.service_us(MEAN_US);
        let _ = driver.offer(flow(0, u16::from(idempotent)), DEADLINE_US, idempotent, service_us);
        turn = (turn + 37) % 100;
        next += times.exponential_us(gap_us);
    }
    driver.run_until(at(11_000_000));
    driver
}

/// Guards against a tail that follows the straggler, late answers and hedges beyond their budget.
#[test_case(3, 90; "three slots")]
#[test_case(8, 90; "eight slots")]
#[test_case(5, 100; "all idempotent")]
fn slow_target(slots: u32, idempotent_percent: u64) {
    let calm = run(slots, 1, idempotent_percent);
    let slow = run(slots, 10, idempotent_percent);
    let (calm_us, slow_us) = (calm.quantile_us(flow(0, 1), 999), slow.quantile_us(flow(0, 1), 999));
    assert!(slow_us <= calm_us * 2, "p99.9 {slow_us} us, without stragglers {calm_us} us");
    let late = slow.count(flow(0, 1), Outcome::Unknown);
    assert!(late * 1000 <= slow.done.len(), "{late} of {} late", slow.done.len());
    // Three of four targets have room for the whole load, if little of it.
    let refused = slow.count(flow(0, 1), Outcome::NotRun);
    assert!(refused * 200 <= slow.done.len(), "{refused} of {} refused", slow.done.len());
    assert!(slow.hedges * 20 <= slow.dispatches, "{} of {}", slow.hedges, slow.dispatches);
}

/// Guards against non-idempotent work on a suspect: at most what was sent before the first sign.
#[test]
fn firm_work_elsewhere() {
    let slow = run(3, 10, 50);
    let missed = slow.count(flow(0, 0), Outcome::Unknown);
    let firm: u64 = slow.firm.iter().sum();
    // Three slots in each of five slow seconds, and as many again for late signs.
    assert!(missed <= 30, "{missed} of {firm} missed");
}

/// Guards against a pool that stays shut after errors when no idempotent work can probe it.
#[test]
fn nothing_to_probe() {
    let mut pool = Pool::new(Config::default());
    pool.set_target(at(0), TargetId(0), ready(1));
    let job = |deadline_us| Job { flow: flow(0, 0), deadline: at(deadline_us), idempotent: false };
    let ticket = pool.offer(at(0), job(100_000)).unwrap();
    let Some(Action::Dispatch { attempt, .. }) = pool.next_action(at(0)) else { panic!() };
    pool.report(at(0), ticket, attempt, Report::Lost);
    assert_eq!(pool.next_action(at(0)), Some(Action::Fail { ticket, reason: Reason::TargetLost }));
    pool.offer(at(0), job(10_000_000)).unwrap();
    assert_eq!(pool.next_action(at(0)), None);
    let wake_at = pool.wake_at().unwrap();
    assert_eq!(pool.next_action(wake_at), None);
    let wake_at = pool.wake_at().unwrap();
    assert!(wake_at <= at(2_000_000));
    assert!(matches!(pool.next_action(wake_at), Some(Action::Dispatch { .. })));
}

/// Guards against new work on a target that leaves, and against jobs that wait for no target.
#[test_case(State::Leaving; "leaving")]
#[test_case(State::Gone; "gone")]
fn no_new_work(state: State) {
    let mut driver = Driver::new(2, 1);
    for _ in 0..4 {
        driver.offer(flow(0, 0), 1_000_000, true, 4_000).unwrap();
    }
    driver.pool.set_target(at(0), TargetId(0), Spec { slots: 1, state });
    driver.run_until(at(5_000));
    assert_eq!(driver.in_flight, [0, 1]);
    driver.pool.set_target(at(5_000), TargetId(1), Spec { slots: 1, state });
    let refused = driver.pool.next_action(at(5_000));
    assert!(matches!(refused, Some(Action::Refuse { reason: Reason::NoTarget, .. })));
}

/// Guards against requests that are sent to a leaving target again and again while the VM list and
/// the load reports are silent.
#[test]
fn unseen_leave() {
    let mut pool = Pool::new(Config::default());
    for target in 0..2 {
        pool.set_target(at(0), TargetId(target), ready(4));
    }
    let mut shed = 0;
    for ms in 0..5_000 {
        let now = at(ms * 1_000);
        if ms % 100 == 0 {
            // The lagging VM list repeats itself.
            pool.set_target(now, TargetId(1), ready(4));
        }
        let deadline = at(ms * 1_000 + 40_000);
        pool.offer(now, Job { flow: flow(0, 0), deadline, idempotent: true }).unwrap();
        while let Some(action) = pool.next_action(now) {
            let Action::Dispatch { ticket, attempt, target } = action else { continue };
            let is_left = target == TargetId(1);
            shed += u32::from(is_left);
            let report = if is_left { Report::Shed } else { Report::Answered };
            pool.report(now, ticket, attempt, report);
        }
    }
    assert!(shed <= 8, "{shed} sent to the target that left");
    pool.note_load(at(5_000_000), TargetId(1), Load { busy: 0, queued: 0 });
    assert_eq!(pool.next_action(at(5_000_000)), None);
    let deadline = at(6_000_000);
    let mut targets = Vec::new();
    for _ in 0..2 {
        let now = at(5_200_000);
        pool.offer(now, Job { flow: flow(0, 0), deadline, idempotent: true }).unwrap();
        let Some(Action::Dispatch { ticket, attempt, target }) = pool.next_action(now) else {
            panic!("no dispatch");
        };
        pool.report(now, ticket, attempt, Report::Answered);
        targets.push(target);
    }
    assert!(targets.contains(&TargetId(1)), "a target that reports again gets work");
}

/// Guards against a pool that shuts itself when all targets slow down alike: its learned slot times
/// are wrong then, not the targets.
#[test]
fn all_slow() {
    let mut driver = Driver::new(4, 3);
    let mut times = Times::new(9);
    let mut next = 0;
    while next < 20_000_000 {
        driver.run_until(at(next));
        driver.slowdown.fill(if next < 5_000_000 { 1 } else { 3 });
        let service_us = times.service_us(MEAN_US);
        let _ = driver.offer(flow(0, 0), 20 * DEADLINE_US, true, service_us);
        next += times.exponential_us(MEAN_US / 12.0 / 0.25);
    }
    driver.run_until(at(21_000_000));
    let answered = driver.count(flow(0, 0), Outcome::Answered);
    assert!(answered * 100 >= driver.done.len() * 99, "{answered} of {}", driver.done.len());
    assert!(driver.hedges * 20 <= driver.dispatches);
}

/// Guards against work that is sent to a leaving target more than 5 s after its first refusal (P6)
/// while the VM list and the load reports are silent, also when there is little work.
#[test_case(1; "every ms")]
#[test_case(100; "every 100 ms")]
#[test_case(1_000; "every second")]
fn closed_in_time(gap_ms: u64) {
    let mut pool = Pool::new(Config::default());
    for target in 0..2 {
        pool.set_target(at(0), TargetId(target), ready(4));
    }
    let mut first_shed = None;
    for now_ms in (0..30_000).step_by(gap_ms as usize) {
        let now = at(now_ms * 1_000);
        let deadline = at(now_ms * 1_000 + 40_000);
        pool.offer(now, Job { flow: flow(0, 0), deadline, idempotent: true }).unwrap();
        while let Some(action) = pool.next_action(now) {
            let Action::Dispatch { ticket, attempt, target } = action else { continue };
            let is_left = target == TargetId(1);
            if is_left {
                let first_ms = *first_shed.get_or_insert(now_ms);
                assert!(now_ms <= first_ms + 5_000, "sent {} ms after", now_ms - first_ms);
            }
            let report = if is_left { Report::Shed } else { Report::Answered };
            pool.report(now, ticket, attempt, report);
        }
    }
    assert!(first_shed.is_some());
}
