//! A driver of one pool with a virtual clock and simulated targets that answer after a given time.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use ebonypass_core::id::{KindId, MemberId, TargetId};
use ebonypass_core::outcome::{Outcome, Reason};
use ebonypass_core::pool::{
    Action, Attempt, Config, Flow, Job, Pool, Report, Spec, State, Ticket, Verdict,
};
use ebonypass_core::time::{Instant, Span};

pub const fn flow(member: u16, kind: u16) -> Flow {
    Flow { member: MemberId(member), kind: KindId(kind) }
}

pub const fn ready(slots: u32) -> Spec {
    Spec { slots, state: State::Ready }
}

pub const fn at_us(us: u64) -> Instant {
    Instant::from_micros(us)
}

/// A finished request and its outcome.
#[derive(Debug, Clone, Copy)]
pub struct Completed {
    pub flow: Flow,
    pub arrived: Instant,
    pub ended: Instant,
    pub outcome: Outcome,
}

impl Completed {
    pub fn latency_us(&self) -> u64 {
        self.ended.since(self.arrived).as_micros()
    }
}

struct Request {
    job: Job,
    arrived: Instant,
    service_us: u64,
}

/// When an attempt ends, its number and its target; reversed for a min-heap.
type AttemptEnd = Reverse<(Instant, u64, u32)>;

pub struct Driver {
    pub pool: Pool,
    pub now: Instant,
    /// Factor on the service time, by target.
    pub slowdown: Vec<u64>,
    pub completed: Vec<Completed>,
    pub dispatches: u64,
    pub hedges: u64,
    /// Attempts of non-idempotent work, by target.
    pub non_idempotent_sends: Vec<u64>,
    pub in_flight: Vec<u32>,
    requests: HashMap<Ticket, Request>,
    attempts: HashMap<u64, (Ticket, Attempt, TargetId, bool)>,
    attempt_ends: BinaryHeap<AttemptEnd>,
    next_attempt_number: u64,
}

impl Driver {
    pub fn new(targets: u32, slots: u32) -> Driver {
        let mut pool = Pool::new(Config::default());
        for target in 0..targets {
            pool.set_target(Instant::ZERO, TargetId(target), ready(slots));
        }
        Driver {
            pool,
            now: Instant::ZERO,
            slowdown: vec![1; targets as usize],
            completed: Vec::new(),
            dispatches: 0,
            hedges: 0,
            non_idempotent_sends: vec![0; targets as usize],
            in_flight: vec![0; targets as usize],
            requests: HashMap::new(),
            attempts: HashMap::new(),
            attempt_ends: BinaryHeap::new(),
            next_attempt_number: 0,
        }
    }

    /// Offers a request that a healthy target answers after `service_us`.
    pub fn offer(
        &mut self,
        flow: Flow,
        deadline_us: u64,
        idempotent: bool,
        service_us: u64,
    ) -> Result<Ticket, Reason> {
        let arrived = self.now;
        let job = Job { flow, deadline: arrived + Span::from_micros(deadline_us), idempotent };
        let offered = self.pool.offer(self.now, job);
        match offered {
            Ok(ticket) => {
                self.requests.insert(ticket, Request { job, arrived, service_us });
                self.run_actions();
            }
            Err(reason) => {
                let outcome = reason.outcome();
                self.completed.push(Completed { flow, arrived, ended: arrived, outcome });
            }
        }
        offered
    }

    /// Advances the clock to `until` and handles all answers and timers on the way.
    pub fn run_until(&mut self, until: Instant) {
        loop {
            let end = self.attempt_ends.peek().map(|Reverse((at, ..))| *at);
            let next = end.into_iter().chain(self.pool.wake_at()).min();
            match next {
                Some(next) if next <= until => self.now = self.now.max(next),
                _ => break,
            }
            while let Some(&Reverse((at, number, _))) = self.attempt_ends.peek() {
                if at > self.now {
                    break;
                }
                self.attempt_ends.pop();
                self.end_attempt(number, Report::Answered);
            }
            self.run_actions();
        }
        self.now = self.now.max(until);
    }

    fn end_attempt(&mut self, number: u64, report: Report) {
        let Some((ticket, attempt, target, _)) = self.attempts.remove(&number) else { return };
        self.in_flight[target.0 as usize] -= 1;
        if self.pool.report(self.now, ticket, attempt, report) == Verdict::Settled {
            self.complete(ticket, Outcome::Answered);
        }
    }

    fn complete(&mut self, ticket: Ticket, outcome: Outcome) {
        let request = self.requests.remove(&ticket).expect("unknown or closed ticket");
        let (flow, arrived) = (request.job.flow, request.arrived);
        self.completed.push(Completed { flow, arrived, ended: self.now, outcome });
    }

    fn run_actions(&mut self) {
        while let Some(action) = self.pool.next_action(self.now) {
            match action {
                Action::Dispatch { ticket, attempt, target } => {
                    self.dispatches += 1;
                    self.send(ticket, attempt, target);
                }
                Action::Hedge { ticket, attempt, target } => {
                    self.hedges += 1;
                    self.send(ticket, attempt, target);
                }
                Action::Cancel { ticket, attempt, .. } => {
                    let mut attempts = self.attempts.iter();
                    let found = attempts.find(|(_, f)| f.0 == ticket && f.1 == attempt);
                    if let Some(number) = found.map(|(&number, _)| number) {
                        self.end_attempt(number, Report::Lost);
                    }
                }
                Action::Refuse { ticket, reason } | Action::Fail { ticket, reason } => {
                    self.complete(ticket, reason.outcome());
                }
            }
        }
    }

    fn send(&mut self, ticket: Ticket, attempt: Attempt, target: TargetId) {
        let request = &self.requests[&ticket];
        let index = target.0 as usize;
        self.in_flight[index] += 1;
        self.non_idempotent_sends[index] += u64::from(!request.job.idempotent);
        let service_us = request.service_us * self.slowdown[index];
        let end = self.now + Span::from_micros(service_us);
        let number = self.next_attempt_number;
        self.next_attempt_number += 1;
        self.attempts.insert(number, (ticket, attempt, target, request.job.idempotent));
        self.attempt_ends.push(Reverse((end, number, target.0)));
    }

    /// The latency that `per_mille` of the answered requests of `flow` do not exceed.
    pub fn quantile_us(&self, flow: Flow, per_mille: usize) -> u64 {
        let in_flow = self.completed.iter().filter(|completed| completed.flow == flow);
        let answered = in_flow.filter(|completed| completed.outcome == Outcome::Answered);
        let mut latencies: Vec<u64> = answered.map(Completed::latency_us).collect();
        latencies.sort_unstable();
        latencies[(latencies.len() * per_mille).div_ceil(1000) - 1]
    }

    pub fn count(&self, flow: Flow, outcome: Outcome) -> usize {
        let in_flow = self.completed.iter().filter(|completed| completed.flow == flow);
        in_flow.filter(|completed| completed.outcome == outcome).count()
    }
}

/// A seeded generator of random times.
pub struct RandomTimes(fastrand::Rng);

impl RandomTimes {
    pub fn new(seed: u64) -> RandomTimes {
        RandomTimes(fastrand::Rng::with_seed(seed))
    }

    pub fn exponential_us(&mut self, mean_us: f64) -> u64 {
        (-mean_us * (1.0 - self.0.f64()).ln()).ceil() as u64
    }

    /// A service time: half the mean plus an exponential time with the other half as its mean.
    pub fn service_us(&mut self, mean_us: f64) -> u64 {
        (mean_us / 2.0) as u64 + self.exponential_us(mean_us / 2.0)
    }
}
