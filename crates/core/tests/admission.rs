//! Admission control: refusal of jobs that cannot be answered in time.

mod common;

use common::{Driver, RandomTimes, at_us, flow};
use ebonypass_core::outcome::{Outcome, Reason};
use ebonypass_core::pool::Job;
use ebonypass_core::time::Span;
use test_case::test_case;

const SECONDS: u64 = 20;
const MEAN_US: f64 = 4_000.0;

/// Offers `load` times the capacity of `targets` targets in `flows` equal flows.
fn overload(targets: u32, slots: u32, load: f64, flows: u16, deadline_us: u64) -> Driver {
    let mut driver = Driver::new(targets, slots);
    let mut times = RandomTimes::new(11);
    let gap_us = MEAN_US / f64::from(targets * slots) / load;
    let mut next_us = 0;
    let mut count = 0;
    while next_us < SECONDS * 1_000_000 {
        driver.run_until(at_us(next_us));
        let service_us = times.service_us(MEAN_US);
        let _ = driver.offer(flow(count % flows, 0), deadline_us, count % 2 == 0, service_us);
        count = (count + 1) % (flows * 2);
        next_us += times.exponential_us(gap_us);
    }
    driver
}

/// Guards against lost goodput, late answers and late refusals under 1.3 times the capacity.
#[test_case(4, 3, 1, 40_000; "one flow")]
#[test_case(4, 3, 3, 40_000; "three flows")]
#[test_case(4, 3, 8, 40_000; "eight flows")]
#[test_case(5, 8, 3, 40_000; "forty slots")]
#[test_case(4, 3, 3, 400_000; "late deadlines")]
fn goodput_over_capacity(targets: u32, slots: u32, flows: u16, deadline_us: u64) {
    let driver = overload(targets, slots, 1.3, flows, deadline_us);
    let answered =
        driver.completed.iter().filter(|completed| completed.outcome == Outcome::Answered);
    let capacity = (SECONDS as f64 * 1e6 / MEAN_US * f64::from(targets * slots)) as usize;
    let goodput = answered.filter(|completed| completed.latency_us() <= deadline_us).count();
    assert!(goodput * 100 >= capacity * 97, "{goodput} of {capacity} answered in time");
    let refused = driver.completed.iter().filter(|completed| completed.outcome == Outcome::NotRun);
    let late = refused.clone().filter(|completed| completed.latency_us() > 10_000).count();
    let refused = refused.count();
    assert!(late * 1000 <= refused, "{late} of {refused} refused later than 10 ms");
}

/// Guards against refusals of work that the pool has capacity for.
#[test_case(0.5, 40_000; "half load")]
#[test_case(0.7, 40_000; "ordinary load")]
#[test_case(0.7, 20_000; "tight deadline")]
fn no_refusals_under_capacity(load: f64, deadline_us: u64) {
    let driver = overload(4, 3, load, 3, deadline_us);
    let refused =
        driver.completed.iter().filter(|completed| completed.outcome == Outcome::NotRun).count();
    assert!(
        refused * 1000 <= driver.completed.len(),
        "{refused} of {} refused",
        driver.completed.len()
    );
}

/// Guards against a wrong prediction of the wait, which a driver compares with the round trip time to
/// another region.
#[test]
fn expected_wait() {
    let mut driver = overload(4, 3, 0.3, 1, 400_000);
    driver.run_until(at_us((SECONDS + 1) * 1_000_000));
    let now = driver.now;
    assert_eq!(driver.pool.expected_wait(now, flow(0, 0)).as_micros(), 0);
    for _ in 0..60 {
        driver.offer(flow(0, 0), 400_000, true, MEAN_US as u64).unwrap();
    }
    // 48 jobs wait for 12 slots of 4 ms.
    let wait_us = driver.pool.expected_wait(now, flow(0, 0)).as_micros();
    assert!((12_000..=20_000).contains(&wait_us), "{wait_us} us");
}

/// Guards against a pool that grants credit and then refuses the job sent for it, which costs the
/// caller a round trip.
#[test]
fn job_with_credit() {
    let mut driver = overload(4, 3, 0.3, 1, 400_000);
    driver.run_until(at_us((SECONDS + 1) * 1_000_000));
    let now = driver.now;
    let job = |left_us| Job {
        flow: flow(0, 0),
        deadline: now + Span::from_micros(left_us),
        idempotent: true,
    };
    while driver.pool.offer(now, job(400_000)).is_ok() {}
    assert!(driver.pool.offer_with_credit(now, job(400_000)).is_ok());
    let wait_us = driver.pool.expected_wait(now, flow(0, 0)).as_micros();
    assert_eq!(driver.pool.offer_with_credit(now, job(wait_us)), Err(Reason::DeadlineTooClose));
}
