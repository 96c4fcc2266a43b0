//! A driver of one pool under a virtual clock, with targets that answer after a given time.

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

pub const fn at(us: u64) -> Instant {
    Instant::from_micros(us)
}

/// What became of one request.
#[derive(Debug, Clone, Copy)]
pub struct Done {
    pub flow: Flow,
    pub arrived: Instant,
    pub ended: Instant,
    pub outcome: Outcome,
}

impl Done {
    pub fn latency_us(&self) -> u64 {
        self.ended.since(self.arrived).as_micros()
    }
}

struct Request {
    job: Job,
    arrived: Instant,
    service_us: u64,
}

type End = Reverse<(Instant, u64, u32)>;

pub struct Driver {
    pub pool: Pool,
    pub now: Instant,
    /// By target: how many times longer than its service time a request takes.
    pub slowdown: Vec<u64>,
    pub done: Vec<Done>,
    pub dispatches: u64,
    pub hedges: u64,
    /// Dispatches of non-idempotent work by target.
    pub firm: Vec<u64>,
    pub in_flight: Vec<u32>,
    requests: HashMap<Ticket, Request>,
    flights: HashMap<u64, (Ticket, Attempt, TargetId, bool)>,
    ends: BinaryHeap<End>,
    next_flight: u64,
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
            done: Vec::new(),
            dispatches: 0,
            hedges: 0,
            firm: vec![0; targets as usize],
            in_flight: vec![0; targets as usize],
            requests: HashMap::new(),
            flights: HashMap::new(),
            ends: BinaryHeap::new(),
            next_flight: 0,
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
                self.pump();
            }
            Err(reason) => {
                let outcome = reason.outcome();
                self.done.push(Done { flow, arrived, ended: arrived, outcome });
            }
        }
        offered
    }

    /// Lets time pass up to `until`, with all answers and timers in between.
    pub fn run_until(&mut self, until: Instant) {
        loop {
            let end = self.ends.peek().map(|Reverse((at, ..))| *at);
            let next = end.into_iter().chain(self.pool.wake_at()).min();
            match next {
                Some(next) if next <= until => self.now = self.now.max(next),
                _ => break,
            }
            while let Some(&Reverse((at, flight, _))) = self.ends.peek() {
                if at > self.now {
                    break;
                }
                self.ends.pop();
                self.finish(flight, Report::Answered);
            }
            self.pump();
        }
        self.now = self.now.max(until);
    }

    fn finish(&mut self, flight: u64, report: Report) {
        let Some((ticket, attempt, target, _)) = self.flights.remove(&flight) else { return };
        self.in_flight[target.0 as usize] -= 1;
        if self.pool.report(self.now, ticket, attempt, report) == Verdict::Settled {
            self.settle(ticket, Outcome::Answered);
        }
    }

    fn settle(&mut self, ticket: Ticket, outcome: Outcome) {
        let request = self.requests.remove(&ticket).expect("a ticket is closed once");
        let (flow, arrived) = (request.job.flow, request.arrived);
        self.done.push(Done { flow, arrived, ended: self.now, outcome });
    }

    fn pump(&mut self) {
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
                    let mut flights = self.flights.iter();
                    let found = flights.find(|(_, f)| f.0 == ticket && f.1 == attempt);
                    if let Some(flight) = found.map(|(&flight, _)| flight) {
                        self.finish(flight, Report::Lost);
                    }
                }
                Action::Refuse { ticket, reason } | Action::Fail { ticket, reason } => {
                    self.settle(ticket, reason.outcome());
                }
            }
        }
    }

    fn send(&mut self, ticket: Ticket, attempt: Attempt, target: TargetId) {
        let request = &self.requests[&ticket];
        let place = target.0 as usize;
        self.in_flight[place] += 1;
        self.firm[place] += u64::from(!request.job.idempotent);
        let service_us = request.service_us * self.slowdown[place];
        let end = self.now + Span::from_micros(service_us);
        let flight = self.next_flight;
        self.next_flight += 1;
        self.flights.insert(flight, (ticket, attempt, target, request.job.idempotent));
        self.ends.push(Reverse((end, flight, target.0)));
    }

    /// The latency that `per_mille` of the answered requests of `flow` do not exceed.
    pub fn quantile_us(&self, flow: Flow, per_mille: usize) -> u64 {
        let of_flow = self.done.iter().filter(|done| done.flow == flow);
        let answered = of_flow.filter(|done| done.outcome == Outcome::Answered);
        let mut latencies: Vec<u64> = answered.map(Done::latency_us).collect();
        latencies.sort_unstable();
        latencies[(latencies.len() * per_mille).div_ceil(1000) - 1]
    }

    pub fn count(&self, flow: Flow, outcome: Outcome) -> usize {
        let of_flow = self.done.iter().filter(|done| done.flow == flow);
        of_flow.filter(|done| done.outcome == outcome).count()
    }
}

/// Exponential times with the given mean, from a seed.
pub struct Times(fastrand::Rng);

impl Times {
    pub fn new(seed: u64) -> Times {
        Times(fastrand::Rng::with_seed(seed))
    }

    pub fn exponential_us(&mut self, mean_us: f64) -> u64 {
        (-mean_us * (1.0 - self.0.f64()).ln()).ceil() as u64
    }

    /// Half the mean and an exponential half: the spread of an ordinary service time.
    pub fn service_us(&mut self, mean_us: f64) -> u64 {
        (mean_us / 2.0) as u64 + self.exponential_us(mean_us / 2.0)
    }
}
