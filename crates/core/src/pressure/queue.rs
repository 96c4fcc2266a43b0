//! Requests that wait at a gateway for a slot.

use rustc_hash::FxHashMap;

use crate::id::{Arena, ServiceId, TargetId, key};
use crate::time::{Instant, Span};

key! {
    /// A flow: the requests of one tenant on one route.
    FlowId(u32)
}

/// A waiting request moves up one rank for each period of this length, so that none is starved
/// by more urgent ones.
const AGING_PERIOD: Span = Span::from_millis(1_500);
/// Time constant of the measured rate at which slots become free.
const RATE_TIME_CONSTANT_MS: f64 = 1_000.0;

/// Handle of a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct WaiterId(u64);

/// A waiting request.
#[derive(Debug, Clone, Copy)]
pub struct Waiter {
    /// Its service.
    pub service: ServiceId,
    /// The target that is best for it.
    pub target: TargetId,
    /// Its flow.
    pub flow: FlowId,
    /// Rank of its tenant and route; 0 goes first.
    pub rank: u16,
    /// When it was held first.
    pub since: Instant,
    /// The latest start that meets its latency objective.
    pub latest_start: Instant,
}

/// Position in the order: the smallest goes first.
type Turn = (u64, bool, u64, Instant);

#[derive(Debug)]
struct Entry {
    id: WaiterId,
    waiter: Waiter,
}

/// Slots of a service that this machine's requests have left.
#[derive(Debug, Clone, Copy, Default)]
struct Rate {
    per_s: f64,
    at: Instant,
}

/// The waiting requests of all services of one machine.
///
/// They go by rank, then those first that still meet their objective, then by turns of their
/// flows: the flow that has been given the least time goes first.
#[derive(Debug, Default)]
pub struct Queue {
    entries: Vec<Entry>,
    count: u64,
    flows: FxHashMap<u64, FlowId>,
    /// The time given to each flow, in microseconds of virtual time.
    given: Arena<FlowId, u64>,
    virtual_time_us: u64,
    rates: FxHashMap<ServiceId, Rate>,
}

impl Queue {
    /// Creates an empty queue.
    pub fn new() -> Queue {
        Queue::default()
    }

    /// The number of waiting requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The flow with this hash of tenant and route.
    pub fn flow(&mut self, hash: u64) -> FlowId {
        *self.flows.entry(hash).or_insert_with(|| self.given.push(0))
    }

    /// Records that a request of `flow` that takes `work` was sent.
    pub fn record_sent(&mut self, flow: FlowId, work: Span) {
        let start_us = self.given[flow].max(self.virtual_time_us);
        self.given[flow] = start_us + work.as_micros();
        // Flows that had nothing to send do not save up turns.
        let waiting = self.entries.iter().map(|entry| self.given[entry.waiter.flow]);
        self.virtual_time_us = self.virtual_time_us.max(waiting.min().unwrap_or(start_us));
    }

    /// Adds a request.
    pub fn push(&mut self, waiter: Waiter) -> WaiterId {
        self.count += 1;
        let id = WaiterId(self.count);
        self.entries.push(Entry { id, waiter });
        id
    }

    /// Removes a request that is sent, refused or abandoned.
    pub fn remove(&mut self, id: WaiterId) {
        if let Some(index) = self.entries.iter().position(|entry| entry.id == id) {
            self.entries.swap_remove(index);
        }
    }

    /// Records that a request of this machine has left a slot of `target`, and returns the waiting
    /// request that should try for it.
    pub fn release(
        &mut self,
        now: Instant,
        service: ServiceId,
        target: TargetId,
    ) -> Option<WaiterId> {
        let rate = self.rates.entry(service).or_default();
        let weight = (-(now.since(rate.at).as_micros() as f64 / 1e3) / RATE_TIME_CONSTANT_MS).exp();
        rate.per_s = rate.per_s * weight + 1e3 / RATE_TIME_CONSTANT_MS;
        rate.at = now;
        let waiting = self.entries.iter().filter(|entry| entry.waiter.target == target);
        waiting.min_by_key(|entry| self.turn(now, &entry.waiter)).map(|entry| entry.id)
    }

    /// The waiting requests of the service of `waiter` that go before it.
    pub fn ahead(&self, now: Instant, waiter: &Waiter) -> usize {
        let turn = self.turn(now, waiter);
        let entries = self.entries.iter().map(|entry| &entry.waiter);
        entries
            .filter(|other| other.service == waiter.service && self.turn(now, other) < turn)
            .count()
    }

    /// The time that the waiting requests which go before `waiter` need, by the rate at which slots
    /// have become free. Zero while none waits for the same target.
    pub fn wait(&self, now: Instant, waiter: &Waiter) -> Span {
        let turn = self.turn(now, waiter);
        let entries = self.entries.iter().map(|entry| &entry.waiter);
        let is_contended = entries
            .filter(|other| other.target == waiter.target)
            .any(|other| self.turn(now, other) < turn);
        if !is_contended {
            return Span::ZERO;
        }
        let per_s = self.rates.get(&waiter.service).map_or(0.0, |rate| rate.per_s).max(1.0);
        Span::from_micros((self.ahead(now, waiter) as f64 / per_s * 1e6) as u64)
    }

    fn turn(&self, now: Instant, waiter: &Waiter) -> Turn {
        let steps = now.since(waiter.since).as_micros() / AGING_PERIOD.as_micros();
        let is_late = now > waiter.latest_start;
        (
            u64::from(waiter.rank).saturating_sub(steps),
            is_late,
            self.given[waiter.flow],
            waiter.since,
        )
    }
}
