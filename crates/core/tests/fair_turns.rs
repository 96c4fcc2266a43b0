//! Equal turns of members and kinds.

mod common;

use common::{Driver, Times, at, flow};
use ebonypass_core::outcome::Outcome;
use ebonypass_core::pool::{Action, Job};
use test_case::test_case;

const SLOTS: f64 = 12.0;

/// One stream of requests.
struct Stream {
    member: u16,
    kind: u16,
    mean_us: f64,
    /// Part of the pool's capacity that it offers.
    part: f64,
    deadline_us: u64,
}

const fn stream(member: u16, kind: u16, mean_us: f64, part: f64) -> Stream {
    Stream { member, kind, mean_us, part, deadline_us: 400_000 }
}

/// Runs the streams for `seconds` on four targets of three slots.
fn run(streams: &[Stream], seconds: u64) -> Driver {
    let mut driver = Driver::new(4, 3);
    let mut times = Times::new(7);
    let mut next: Vec<u64> = vec![0; streams.len()];
    loop {
        let turn = (0..streams.len()).min_by_key(|&index| next[index]).unwrap();
        let Stream { member, kind, mean_us, part, deadline_us } = streams[turn];
        if next[turn] > seconds * 1_000_000 {
            return driver;
        }
        driver.run_until(at(next[turn]));
        let service_us = times.service_us(mean_us);
        let _ = driver.offer(flow(member, kind), deadline_us, true, service_us);
        next[turn] += times.exponential_us(mean_us / part / SLOTS);
    }
}

/// Guards against a member or kind that takes others' turns by offering five times its share.
#[test_case(stream(1, 0, 4_000.0, 2.5); "greedy member")]
#[test_case(stream(0, 1, 4_000.0, 2.5); "greedy kind")]
#[test_case(stream(1, 1, 8_000.0, 2.5); "greedy member with longer work")]
fn greedy_neighbour(greedy: Stream) {
    let modest = flow(0, 0);
    let alone = run(&[stream(0, 0, 4_000.0, 0.4)], 20);
    let both = run(&[stream(0, 0, 4_000.0, 0.4), greedy], 20);
    let (alone_count, both_count) =
        (alone.count(modest, Outcome::Answered), both.count(modest, Outcome::Answered));
    assert!(both_count * 100 >= alone_count * 98, "{both_count} of {alone_count} answered");
    let (alone_us, both_us) = (alone.quantile_us(modest, 990), both.quantile_us(modest, 990));
    assert!(both_us * 10 <= alone_us * 13, "p99 {both_us} us, alone {alone_us} us");
}

/// Guards against short work that waits behind exports fifty times as long.
#[test]
fn exports_at_night() {
    let short = flow(0, 0);
    let exports = Stream { deadline_us: 60_000_000, ..stream(0, 1, 200_000.0, 0.15) };
    let without = run(&[stream(0, 0, 4_000.0, 0.6)], 60);
    let with = run(&[stream(0, 0, 4_000.0, 0.6), exports], 60);
    let (without_us, with_us) = (without.quantile_us(short, 990), with.quantile_us(short, 990));
    assert!(with_us * 2 <= without_us * 3, "p99 {with_us} us, without exports {without_us} us");
    let exported = with.count(flow(0, 1), Outcome::Answered) as f64;
    let offered = 60.0 * SLOTS * 0.15 / 0.2;
    assert!(exported >= offered * 0.9, "{exported} exports of about {offered}");
}

/// Guards against long or unknown kinds that hold more than a third of the slots, or all slots of
/// one target.
#[test]
fn long_limit() {
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
    driver.run_until(at(100_000));
    for kind in 0..2 {
        for _ in 0..8 {
            driver.offer(flow(1, kind), 1_000_000, kind == 0, 4_000).unwrap();
        }
    }
    assert_eq!(driver.in_flight, [3, 3, 3, 3]);
}

/// Guards against one flow that fills the whole queue.
#[test]
fn queue_room() {
    let mut driver = Driver::new(1, 1);
    let offer = |driver: &mut Driver, member| {
        let deadline = at(u64::MAX / 2);
        let now = driver.now;
        driver.pool.offer(now, Job { flow: flow(member, 0), deadline, idempotent: true })
    };
    while offer(&mut driver, 0).is_ok() {}
    assert!(offer(&mut driver, 1).is_ok());
    let action = driver.pool.next_action(driver.now);
    assert!(matches!(action, Some(Action::Dispatch { .. })));
}
