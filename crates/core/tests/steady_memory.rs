//! Allocations of a pool in steady state.

// The allocator counts for the whole process, so this file has one test only.

use std::alloc::System;

use ebonypass_core::id::{KindId, MemberId, TargetId};
use ebonypass_core::pool::{
    Action, Attempt, Config, Flow, Job, Load, Pool, Report, Spec, State, Ticket,
};
use ebonypass_core::time::{Instant, Span};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const ROUNDS: u64 = 20_000;

/// Runs requests of four flows through overload, hedges, sheds and lost attempts.
fn run(
    pool: &mut Pool,
    attempts: &mut Vec<(Ticket, Attempt, Instant)>,
    rounds: std::ops::Range<u64>,
) {
    for round in rounds {
        let now = Instant::from_micros(round * 250);
        let flow = Flow { member: MemberId((round % 4) as u16), kind: KindId((round % 2) as u16) };
        let deadline = now + Span::from_millis(40);
        let _ = pool.offer(now, Job { flow, deadline, idempotent: round % 2 == 0 });
        let mut index = 0;
        while index < attempts.len() {
            if attempts[index].2 > now {
                index += 1;
                continue;
            }
            let (ticket, attempt, _) = attempts.swap_remove(index);
            let report = match round % 500 {
                0 => Report::Lost,
                1 => Report::Shed,
                _ => Report::Answered,
            };
            pool.report(now, ticket, attempt, report);
        }
        pool.record_load(now, TargetId((round % 4) as u32), Load { busy: 3, queued: 0 });
        while let Some(action) = pool.next_action(now) {
            if let Action::Dispatch { ticket, attempt, .. }
            | Action::Hedge { ticket, attempt, .. } = action
            {
                let service = if round % 50 == 0 { 40_000 } else { 2_000 + round * 7 % 2_500 };
                attempts.push((ticket, attempt, now + Span::from_micros(service)));
            }
        }
    }
}

/// Guards against allocations per request, which cost time in each decision.
#[test]
fn no_allocation() {
    let mut pool = Pool::new(Config::default());
    for target in 0..4 {
        let spec = Spec { slots: 3, state: State::Ready };
        pool.set_target(Instant::ZERO, TargetId(target), spec);
    }
    let mut attempts = Vec::with_capacity(64);
    run(&mut pool, &mut attempts, 0..ROUNDS);
    let region = Region::new(ALLOCATOR);
    run(&mut pool, &mut attempts, ROUNDS..3 * ROUNDS);
    let change = region.change();
    assert_eq!(
        change.allocations + change.reallocations,
        0,
        "allocations in {} requests",
        2 * ROUNDS
    );
}
