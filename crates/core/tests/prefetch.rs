//! Jobs that are sent ahead to targets in another data centre.

mod common;

use common::{at, flow, ready};
use ebonypass_core::id::TargetId;
use ebonypass_core::pool::{Action, Attempt, Config, Job, Pool, Report, Ticket};
use test_case::test_case;

const SERVICE_US: u64 = 4_000;
const NEAR: TargetId = TargetId(0);
const DISTANT: TargetId = TargetId(1);

type Sent = (Ticket, Attempt, TargetId);

fn offer(pool: &mut Pool, now_us: u64) {
    let job = Job { flow: flow(0, 0), deadline: at(now_us + 400_000), idempotent: false };
    pool.offer(at(now_us), job).unwrap();
}

fn sent(pool: &mut Pool, now_us: u64) -> Vec<Sent> {
    let actions = std::iter::from_fn(|| pool.next_action(at(now_us)));
    let dispatch = |action| match action {
        Action::Dispatch { ticket, attempt, target } => (ticket, attempt, target),
        action => panic!("{action:?}"),
    };
    actions.map(dispatch).collect()
}

/// A pool of a near and a distant target of two slots each that has learned that work takes 4 ms,
/// with all slots in use and four waiting jobs. Returns the attempts in flight and the time.
fn full(is_own_region_only: bool) -> (Pool, Vec<Sent>, u64) {
    let mut pool = Pool::new(Config::default());
    for target in [NEAR, DISTANT] {
        pool.set_target(at(0), target, ready(2));
    }
    pool.set_prefetch(at(0), DISTANT, true);
    let mut now_us = 0;
    for _ in 0..400 {
        offer(&mut pool, now_us);
        let flights = sent(&mut pool, now_us);
        now_us += SERVICE_US;
        for (ticket, attempt, _) in flights {
            pool.report(at(now_us), ticket, attempt, Report::Answered);
        }
    }
    pool.set_own_region_only(at(now_us), is_own_region_only);
    (0..8).for_each(|_| offer(&mut pool, now_us));
    let flights = sent(&mut pool, now_us);
    (pool, flights, now_us)
}

fn count(flights: &[Sent], target: TargetId) -> usize {
    flights.iter().filter(|flight| flight.2 == target).count()
}

fn end(pool: &mut Pool, flights: &mut Vec<Sent>, index: usize, now_us: u64, report: Report) {
    let (ticket, attempt, _) = flights.remove(index);
    pool.report(at(now_us), ticket, attempt, report);
}

/// Guards against slots that stay empty for the way to a target, against more than one job ahead,
/// and against any while work of other regions may come (P2).
#[test_case(true, 3; "own region only")]
#[test_case(false, 2; "other regions too")]
fn sent_ahead(is_own_region_only: bool, expected: usize) {
    let (_, flights, _) = full(is_own_region_only);
    assert_eq!((count(&flights, NEAR), count(&flights, DISTANT)), (2, expected));
}

/// Guards against credit for slots that a prefetched job is about to take (P2).
#[test]
fn unconfirmed() {
    let (mut pool, mut flights, now_us) = full(true);
    let now_us = now_us + SERVICE_US;
    while let Some(index) = flights.iter().position(|flight| flight.2 == NEAR) {
        end(&mut pool, &mut flights, index, now_us, Report::Answered);
    }
    flights.extend(sent(&mut pool, now_us));
    for _ in 0..2 {
        let index = flights.iter().position(|flight| flight.2 == NEAR).expect("in flight");
        end(&mut pool, &mut flights, index, now_us, Report::Answered);
    }
    flights.extend(sent(&mut pool, now_us));
    assert_eq!((count(&flights, NEAR), count(&flights, DISTANT)), (1, 3));
    assert_eq!(pool.free_slots(at(now_us)), 0);
    end(&mut pool, &mut flights, 0, now_us, Report::Answered);
    assert_eq!(pool.free_slots(at(now_us)), 1);
}

/// Guards against work of another region that comes on top of a prefetched job: the targets would
/// hold more requests than they have slots (P2).
#[test]
fn slot_kept() {
    let (mut pool, mut flights, now_us) = full(true);
    pool.set_own_region_only(at(now_us), false);
    let now_us = now_us + SERVICE_US;
    while !flights.is_empty() {
        end(&mut pool, &mut flights, 0, now_us, Report::Answered);
        flights.extend(sent(&mut pool, now_us));
        assert!(flights.len() <= 4, "{} in flight on 4 slots", flights.len());
    }
}

/// Guards against jobs that are sent ahead to a target without a queue again and again, and against
/// a target and a job that wait for each other after such a refusal.
#[test]
fn refused_ahead() {
    let (mut pool, mut flights, now_us) = full(true);
    let last = flights.len() - 1;
    assert_eq!(flights[last].2, DISTANT);
    end(&mut pool, &mut flights, last, now_us, Report::Shed);
    assert_eq!(sent(&mut pool, now_us), []);
    let index = flights.iter().position(|flight| flight.2 == DISTANT).expect("in flight");
    end(&mut pool, &mut flights, index, now_us, Report::Answered);
    assert_eq!(count(&sent(&mut pool, now_us), DISTANT), 1);
}

/// Guards against the wait at the target being learned as the cost of the work: the kind would seem
/// to take longer the more is sent ahead.
#[test]
fn wait_not_learned() {
    let (mut pool, mut flights, mut now_us) = full(true);
    for _ in 0..400 {
        // Each target runs two jobs at a time, so the one sent ahead is answered a service later.
        now_us += SERVICE_US;
        for target in [NEAR, DISTANT] {
            for _ in 0..2 {
                let index =
                    flights.iter().position(|flight| flight.2 == target).expect("in flight");
                end(&mut pool, &mut flights, index, now_us, Report::Answered);
            }
        }
        (0..4).for_each(|_| offer(&mut pool, now_us));
        flights.extend(sent(&mut pool, now_us));
    }
    // Four jobs wait for four slots, of which the first becomes free after a quarter of a service.
    let wait_us = pool.expected_wait(at(now_us), flow(0, 0)).as_micros();
    assert_eq!(wait_us, SERVICE_US + SERVICE_US / 4);
}
