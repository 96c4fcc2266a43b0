//! Prefetch: jobs that are sent to a distant target before it has a free slot, and wait there.

mod common;

use common::{at_us, flow, ready};
use ebonypass_core::id::TargetId;
use ebonypass_core::pool::{Action, Attempt, Config, Job, Pool, Report, Ticket};
use test_case::test_case;

const SERVICE_US: u64 = 4_000;
const NEAR: TargetId = TargetId(0);
const DISTANT: TargetId = TargetId(1);

type Dispatched = (Ticket, Attempt, TargetId);

fn offer(pool: &mut Pool, now_us: u64) {
    let job = Job { flow: flow(0, 0), deadline: at_us(now_us + 400_000), idempotent: false };
    pool.offer(at_us(now_us), job).unwrap();
}

fn dispatched(pool: &mut Pool, now_us: u64) -> Vec<Dispatched> {
    let actions = std::iter::from_fn(|| pool.next_action(at_us(now_us)));
    let dispatch = |action| match action {
        Action::Dispatch { ticket, attempt, target } => (ticket, attempt, target),
        action => panic!("expected a dispatch, got {action:?}"),
    };
    actions.map(dispatch).collect()
}

/// A pool of a near and a distant target of two slots each that has learned that work takes 4 ms,
/// with all slots in use and four waiting jobs. Returns the attempts in flight and the time.
fn full_pool(is_own_region_only: bool) -> (Pool, Vec<Dispatched>, u64) {
    let mut pool = Pool::new(Config::default());
    for target in [NEAR, DISTANT] {
        pool.set_target(at_us(0), target, ready(2));
    }
    pool.set_prefetch(at_us(0), DISTANT, true);
    let mut now_us = 0;
    for _ in 0..400 {
        offer(&mut pool, now_us);
        let attempts = dispatched(&mut pool, now_us);
        now_us += SERVICE_US;
        for (ticket, attempt, _) in attempts {
            pool.report(at_us(now_us), ticket, attempt, Report::Answered);
        }
    }
    pool.set_own_region_only(at_us(now_us), is_own_region_only);
    (0..8).for_each(|_| offer(&mut pool, now_us));
    let attempts = dispatched(&mut pool, now_us);
    (pool, attempts, now_us)
}

fn count(attempts: &[Dispatched], target: TargetId) -> usize {
    attempts.iter().filter(|attempt| attempt.2 == target).count()
}

fn report(
    pool: &mut Pool,
    attempts: &mut Vec<Dispatched>,
    index: usize,
    now_us: u64,
    report: Report,
) {
    let (ticket, attempt, _) = attempts.remove(index);
    pool.report(at_us(now_us), ticket, attempt, report);
}

/// Guards against slots that stay idle for a round trip, more than one prefetched job for a target,
/// and prefetched jobs while work of other regions may arrive.
#[test_case(true, 3; "own region only")]
#[test_case(false, 2; "other regions too")]
fn one_prefetched_job(is_own_region_only: bool, expected: usize) {
    let (_, attempts, _) = full_pool(is_own_region_only);
    assert_eq!((count(&attempts, NEAR), count(&attempts, DISTANT)), (2, expected));
}

/// Guards against credit for a slot that a prefetched job is about to take.
#[test]
fn prefetched_slots_not_confirmed() {
    let (mut pool, mut attempts, now_us) = full_pool(true);
    let now_us = now_us + SERVICE_US;
    while let Some(index) = attempts.iter().position(|attempt| attempt.2 == NEAR) {
        report(&mut pool, &mut attempts, index, now_us, Report::Answered);
    }
    attempts.extend(dispatched(&mut pool, now_us));
    for _ in 0..2 {
        let index =
            attempts.iter().position(|attempt| attempt.2 == NEAR).expect("no attempt in flight");
        report(&mut pool, &mut attempts, index, now_us, Report::Answered);
    }
    attempts.extend(dispatched(&mut pool, now_us));
    assert_eq!((count(&attempts, NEAR), count(&attempts, DISTANT)), (1, 3));
    assert_eq!(pool.free_slots(at_us(now_us)), 0);
    report(&mut pool, &mut attempts, 0, now_us, Report::Answered);
    assert_eq!(pool.free_slots(at_us(now_us)), 1);
}

/// Guards against work of another region in addition to a prefetched job: the targets would hold
/// more requests than they have slots.
#[test]
fn slot_reserved() {
    let (mut pool, mut attempts, now_us) = full_pool(true);
    pool.set_own_region_only(at_us(now_us), false);
    let now_us = now_us + SERVICE_US;
    while !attempts.is_empty() {
        report(&mut pool, &mut attempts, 0, now_us, Report::Answered);
        attempts.extend(dispatched(&mut pool, now_us));
        assert!(attempts.len() <= 4, "{} in flight on 4 slots", attempts.len());
    }
}

/// Guards against repeated prefetches to a target that has no queue, and against a job that never
/// gets a slot at a target because that target has refused to queue it.
#[test]
fn prefetch_refused() {
    let (mut pool, mut attempts, now_us) = full_pool(true);
    let last = attempts.len() - 1;
    assert_eq!(attempts[last].2, DISTANT);
    report(&mut pool, &mut attempts, last, now_us, Report::Shed);
    assert_eq!(dispatched(&mut pool, now_us), []);
    let index =
        attempts.iter().position(|attempt| attempt.2 == DISTANT).expect("no attempt in flight");
    report(&mut pool, &mut attempts, index, now_us, Report::Answered);
    assert_eq!(count(&dispatched(&mut pool, now_us), DISTANT), 1);
}

/// Guards against learning the wait at the target as part of the slot time: the kind would seem to
/// take longer the more jobs are prefetched.
#[test]
fn wait_at_target_not_learned() {
    let (mut pool, mut attempts, mut now_us) = full_pool(true);
    for _ in 0..400 {
        // Each target runs two jobs at a time, so the prefetched one is answered a service time later.
        now_us += SERVICE_US;
        for target in [NEAR, DISTANT] {
            for _ in 0..2 {
                let index = attempts
                    .iter()
                    .position(|attempt| attempt.2 == target)
                    .expect("no attempt in flight");
                report(&mut pool, &mut attempts, index, now_us, Report::Answered);
            }
        }
        (0..4).for_each(|_| offer(&mut pool, now_us));
        attempts.extend(dispatched(&mut pool, now_us));
    }
    // Four jobs wait for four slots, of which the first becomes free after a quarter of 4 ms.
    let wait_us = pool.expected_wait(at_us(now_us), flow(0, 0)).as_micros();
    assert_eq!(wait_us, SERVICE_US + SERVICE_US / 4);
}
