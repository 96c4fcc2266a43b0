//! Sliding-window limits on retries and on requests to cold targets.

use std::collections::VecDeque;

use crate::time::{Instant, Span};

/// Counts the events within the last `length`.
#[derive(Debug, Clone)]
pub struct Sliding {
    length: Span,
    events: VecDeque<Instant>,
}

impl Sliding {
    /// Creates a window of `length` without events.
    pub const fn new(length: Span) -> Sliding {
        Sliding { length, events: VecDeque::new() }
    }

    /// Records an event at `now`.
    pub fn record(&mut self, now: Instant) {
        self.drop_expired(now);
        self.events.push_back(now);
    }

    /// The number of events in the window that ends at `now`.
    pub fn count(&mut self, now: Instant) -> usize {
        self.drop_expired(now);
        self.events.len()
    }

    fn drop_expired(&mut self, now: Instant) {
        while self.events.front().is_some_and(|&at| now.since(at) >= self.length) {
            self.events.pop_front();
        }
    }
}

/// The retries that one machine may send to a service: a share of its own requests and its part of
/// the fleet-wide allowance. The budgets of all machines add up to the fleet-wide limit.
#[derive(Debug)]
pub struct RetryBudget {
    requests: Sliding,
    retries: Sliding,
    percent: usize,
    allowance: usize,
}

impl RetryBudget {
    /// Creates a budget of `percent` of the requests in the last `length`, and `allowance` more.
    pub fn new(length: Span, percent: usize, allowance: usize) -> RetryBudget {
        let (requests, retries) = (Sliding::new(length), Sliding::new(length));
        RetryBudget { requests, retries, percent, allowance }
    }

    /// Sets this machine's part of the fleet-wide allowance.
    pub fn set_allowance(&mut self, allowance: usize) {
        self.allowance = allowance;
    }

    /// Records a request.
    pub fn record_request(&mut self, now: Instant) {
        self.requests.record(now);
    }

    /// The number of retries that may be sent now.
    pub fn remaining(&mut self, now: Instant) -> usize {
        let limit = self.requests.count(now) * self.percent / 100 + self.allowance;
        limit.saturating_sub(self.retries.count(now))
    }

    /// Takes one retry from the budget. Returns whether one was left.
    pub fn try_take(&mut self, now: Instant) -> bool {
        let has_room = self.remaining(now) > 0;
        if has_room {
            self.retries.record(now);
        }
        has_room
    }
}
