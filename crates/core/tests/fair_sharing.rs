//! Fair sharing of slots between members and kinds.

mod common;

use common::{Driver, RandomTimes, at_us, flow};
use ebonypass_core::outcome::Outcome;
use ebonypass_core::pool::{Action, Job};
use test_case::test_case;

const SLOTS: f64 = 12.0;

/// The requests of one flow.
struct Load {
    member: u16,
    kind: u16,
    mean_us: f64,
    /// Offered load as a fraction of the pool's capacity.
    capacity_share: f64,
    deadline_us: u64,
}

const fn load(member: u16, kind: u16, mean_us: f64, capacity_share: f64) -> Load {
    Load { member, kind, mean_us, capacity_share, deadline_us: 400_000 }
}

/// Runs the loads for `seconds` on four targets of three slots.
fn run(loads: &[Load], seconds: u64) -> Driver {
    let mut driver = Driver::new(4, 3);
    let mut times = RandomTimes::new(7);
    let mut next_us: Vec<u64> = vec![0; loads.len()];
    loop {
        let index = (0..loads.len()).min_by_key(|&index| next_us[index]).unwrap();
        let Load { member, kind, mean_us, capacity_share, deadline_us } = loads[index];
        if next_us[index] > seconds * 1_000_000 {
            return driver;
        }
        driver.run_until(at_us(next_us[index]));
        let service_us = times.service_us(mean_us);
        let _ = driver.offer(flow(member, kind), deadline_us, true, service_us);
        next_us[index] += times.exponential_us(mean_us / capacity_share / SLOTS);
    }
}

/// Guards against a member or kind that takes slots from others by offering five times its share.
#[test_case(load(1, 0, 4_000.0, 2.5); "overloading member")]
#[test_case(load(0, 1, 4_000.0, 2.5); "overloading kind")]
#[test_case(load(1, 1, 8_000.0, 2.5); "overloading member with longer work")]
fn overloading_flow_contained(overloading: Load) {
    let modest = flow(0, 0);
    let alone = run(&[load(0, 0, 4_000.0, 0.4)], 20);
    let both = run(&[load(0, 0, 4_000.0, 0.4), overloading], 20);
    let (alone_count, both_count) =
        (alone.count(modest, Outcome::Answered), both.count(modest, Outcome::Answered));
    assert!(both_count * 100 >= alone_count * 98, "{both_count} of {alone_count} answered");
    let (alone_us, both_us) = (alone.quantile_us(modest, 990), both.quantile_us(modest, 990));
    assert!(both_us * 10 <= alone_us * 13, "p99 {both_us} us, alone {alone_us} us");
}

/// Guards against short work that waits behind exports that take fifty times as long, and against
/// exports that starve.
#[test]
fn long_jobs_delay_short_ones_little() {
    let short = flow(0, 0);
    let exports = Load { deadline_us: 60_000_000, ..load(0, 1, 200_000.0, 0.15) };
    let without_exports = run(&[load(0, 0, 4_000.0, 0.6)], 60);
    let with_exports = run(&[load(0, 0, 4_000.0, 0.6), exports], 60);
    let (without_us, with_us) =
        (without_exports.quantile_us(short, 990), with_exports.quantile_us(short, 990));
    assert!(with_us * 2 <= without_us * 3, "p99 {with_us} us, without exports {without_us} us");
    let exported = with_exports.count(flow(0, 1), Outcome::Answered) as f64;
    let offered = 60.0 * SLOTS * 0.15 / 0.2;
    assert!(exported >= offered * 0.9, "{exported} exports of about {offered}");
}

/// Guards against long or unknown kinds that use more than a third of the slots or all slots of one
/// target.
#[test]
fn long_kinds_limited() {
    let mut driver = Driver::new(4, 3);
    for _ in 0..50 {
        driver.offer(flow(0, 1), 60_000_000, true, 1_000_000).unwrap();
    }
    assert_eq!(driver.in_flight.iter().sum::<u32>(), 4);
    assert!(driver.in_flight.iter().all(|&count| count < 3));
}

/// Guards against idle slots while jobs of known short kinds wait.
#[test]
fn no_idle_slots() {
    let mut driver = Driver::new(4, 3);
    for kind in 0..2 {
        for _ in 0..8 {
            driver.offer(flow(0, kind), 1_000_000, kind == 0, 4_000).unwrap();
        }
    }
    driver.run_until(at_us(100_000));
    for kind in 0..2 {
        for _ in 0..8 {
            driver.offer(flow(1, kind), 1_000_000, kind == 0, 4_000).unwrap();
        }
    }
    assert_eq!(driver.in_flight, [3, 3, 3, 3]);
}

/// Guards against one flow that fills the whole queue, so that others are refused.
#[test]
fn queue_share_limited() {
    let mut driver = Driver::new(1, 1);
    let offer = |driver: &mut Driver, member| {
        let deadline = at_us(u64::MAX / 2);
        let now = driver.now;
        driver.pool.offer(now, Job { flow: flow(member, 0), deadline, idempotent: true })
    };
    while offer(&mut driver, 0).is_ok() {}
    assert!(offer(&mut driver, 1).is_ok());
    let action = driver.pool.next_action(driver.now);
    assert!(matches!(action, Some(Action::Dispatch { .. })));
}
