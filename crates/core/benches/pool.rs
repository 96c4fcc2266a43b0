//! Benchmark of the decisions of a pool in steady state.
//!
//! One iteration is one request: offer, dispatch and report, with all `next_action` calls that a
//! driver makes, so at least three decisions.

use std::collections::VecDeque;
use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use ebonypass_core::id::{KindId, MemberId, TargetId};
use ebonypass_core::pool::{Action, Attempt, Config, Flow, Job, Pool, Report, Spec, State, Ticket};
use ebonypass_core::time::{Instant, Span};

const SERVICE_US: u64 = 4_000;

/// A pool of `targets` targets with three slots each, and the attempts in flight.
struct Load {
    pool: Pool,
    now_ns: u64,
    gap_ns: u64,
    request_number: u64,
    flows: u64,
    /// Tickets, attempts and end times in nanoseconds.
    attempts: VecDeque<(Ticket, Attempt, u64)>,
}

impl Load {
    /// Offers `percent` of the capacity in `flows` flows.
    fn new(targets: u32, flows: u64, percent: u64) -> Load {
        let mut pool = Pool::new(Config::default());
        for target in 0..targets {
            let spec = Spec { slots: 3, state: State::Ready };
            pool.set_target(Instant::ZERO, TargetId(target), spec);
        }
        // Nanoseconds, so that short gaps stay exact.
        let gap_ns = SERVICE_US * 1_000 * 100 / u64::from(targets * 3) / percent;
        let attempts = VecDeque::with_capacity(4096);
        let mut load = Load { pool, now_ns: 0, gap_ns, request_number: 0, flows, attempts };
        for _ in 0..100_000 {
            load.step();
        }
        load
    }

    /// Reports the attempts that have ended and offers the next request.
    fn step(&mut self) {
        self.now_ns += self.gap_ns;
        self.request_number += 1;
        while self.attempts.front().is_some_and(|attempt| attempt.2 <= self.now_ns) {
            let Some((ticket, attempt, end_ns)) = self.attempts.pop_front() else { break };
            let at = Instant::from_micros(end_ns / 1_000);
            black_box(self.pool.report(at, ticket, attempt, Report::Answered));
            self.run_actions(at);
        }
        let now = Instant::from_micros(self.now_ns / 1_000);
        let flow = self.request_number % self.flows;
        let flow = Flow { member: MemberId((flow / 4) as u16), kind: KindId((flow % 4) as u16) };
        let deadline = now + Span::from_micros(SERVICE_US * 10);
        let _ = black_box(self.pool.offer(now, Job { flow, deadline, idempotent: true }));
        self.run_actions(now);
    }

    fn run_actions(&mut self, now: Instant) {
        while let Some(action) = self.pool.next_action(now) {
            if let Action::Dispatch { ticket, attempt, .. }
            | Action::Hedge { ticket, attempt, .. } = action
            {
                let end_us = now.as_micros() + SERVICE_US;
                self.attempts.push_back((ticket, attempt, end_us * 1_000));
            }
        }
    }
}

fn request(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("request");
    for (targets, flows, percent) in
        [(4, 4, 70), (4, 4, 130), (16, 64, 70), (16, 64, 130), (64, 256, 130)]
    {
        let name = format!("{targets} targets, {flows} flows, {percent}%");
        let mut load = Load::new(targets, flows, percent);
        group.bench_function(BenchmarkId::from_parameter(name), |bencher| {
            bencher.iter(|| load.step());
        });
    }
    group.finish();
}

criterion_group!(benches, request);
criterion_main!(benches);
