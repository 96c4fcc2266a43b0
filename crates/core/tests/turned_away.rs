//! The standard load on targets that turn machines away for a time. Guards against requests that
//! reach them all the same, against the load that moves to the others, and against machines that all
//! return at the end of the time.

mod simulation;

use std::collections::{HashMap, HashSet};

use ebonypass_core::time::Span;
use simulation::{Placement, Simulation, Summary};
use test_case::test_case;

const TARGETS: usize = 12;
const SLOTS: usize = 3;
const MACHINES: usize = 12;
/// Requests that may run and wait at a target: with three waiting for each slot it counts as full,
/// and each machine may have one on its way that the others do not know of.
const MAX_HELD: usize = SLOTS * 4 + MACHINES;
/// Until then work times are not learned, and queues are longer without any refusal.
const LEARNED_AFTER_S: u64 = 3;
const SECOND: u64 = 1_000_000;
/// Half of the targets turn machines away in this time, and all of them in the next.
const HALF: (u64, u64) = (4 * SECOND, 6 * SECOND);
const ALL: (u64, u64) = (9 * SECOND, 11 * SECOND);
/// After the latter the targets return one by one, this long after each other.
const STEP: u64 = SECOND / 4;

fn load(seed: u64) -> Simulation {
    Simulation {
        machines: MACHINES,
        targets: TARGETS,
        objects: 240,
        requests_per_s: 72.0,
        work_ms: 540.0,
        latency_objective_ms: 400,
        duration_s: 20,
        seed,
    }
}

/// When the target takes requests again, if it takes none now.
fn refusal_end(target: usize, us: u64) -> Option<u64> {
    let all_end = ALL.1 + STEP * target as u64;
    if (HALF.0..HALF.1).contains(&us) && target < TARGETS / 2 {
        Some(HALF.1)
    } else if (ALL.0..all_end).contains(&us) {
        Some(all_end)
    } else {
        None
    }
}

fn run(seed: u64, placement: Placement) -> Summary {
    load(seed).run_with(placement, |target, us| {
        refusal_end(target, us).map(|end| Span::from_micros(end - us))
    })
}

#[test_case(1, Placement::ByObject)]
#[test_case(2, Placement::ByObject)]
#[test_case(3, Placement::BySlots)]
fn half_then_all(seed: u64, placement: Placement) {
    let summary = run(seed, placement);
    let mut within: HashMap<(usize, usize, u64), usize> = HashMap::new();
    for &(us, target, machine) in &summary.arrivals {
        if let Some(end) = refusal_end(target, us) {
            *within.entry((target, machine, end)).or_default() += 1;
        }
    }
    // The first request learns of it; replies take no time here.
    assert!(within.values().all(|&count| count == 1), "{within:?}");
    for (second, peak) in &summary.peaks {
        let is_learned = *second >= LEARNED_AFTER_S;
        assert!(!is_learned || *peak <= MAX_HELD, "{peak} held by a target in second {second}");
    }
    let returned = summary.arrivals.iter().filter(|(us, ..)| *us > 15 * SECOND);
    let targets: HashSet<usize> = returned.map(|(_, target, _)| *target).collect();
    assert_eq!(targets.len(), TARGETS, "all targets are used again");
}

/// All targets return at the same moment, and the callers that were refused come back.
#[test_case(4, Placement::ByObject)]
#[test_case(5, Placement::BySlots)]
fn no_herd(seed: u64, placement: Placement) {
    let end = 6 * SECOND;
    let refuse = |_: usize, us: u64| {
        let is_refusing = (4 * SECOND..end).contains(&us);
        is_refusing.then(|| Span::from_micros(end - us))
    };
    let summary = load(seed).run_with(placement, refuse);
    for (second, peak) in summary.peaks.iter().filter(|(second, _)| **second >= end / SECOND) {
        assert!(*peak <= MAX_HELD, "{peak} held by a target in second {second}");
    }
}
