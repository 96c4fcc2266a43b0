//! Sliding-window limits on repeats and on requests to cold targets.

use std::collections::VecDeque;

use crate::time::{Instant, Span};

/// Counts events over a sliding window.
#[derive(Debug, Clone)]
pub struct SlidingWindow {
    length: Span,
    events: VecDeque<Instant>,
}

impl SlidingWindow {
    /// No events yet.
    pub const fn new(length: Span) -> SlidingWindow {
        SlidingWindow { length, events: VecDeque::new() }
    }

    /// Counts an event at `now`.
    pub fn record(&mut self, now: Instant) {
        self.expire(now);
        self.events.push_back(now);
    }

    /// The events of the last window.
    pub fn count(&mut self, now: Instant) -> usize {
        self.expire(now);
        self.events.len()
    }

    fn expire(&mut self, now: Instant) {
        while self.events.front().is_some_and(|&at| now.since(at) >= self.length) {
            self.events.pop_front();
        }
    }
}

/// RetryBudget that one machine may send to a service: a share of its own requests and a share of the
/// fleet's fixed allowance. The shares of all machines add up to the fleet's limit.
#[derive(Debug)]
pub struct RetryBudget {
    requests: SlidingWindow,
    retries: SlidingWindow,
    percent: usize,
    allowance: usize,
}

impl RetryBudget {
    /// `percent` of the requests of the last `length`, and `allowance` more.
    pub fn new(length: Span, percent: usize, allowance: usize) -> RetryBudget {
        let (requests, retries) = (SlidingWindow::new(length), SlidingWindow::new(length));
        RetryBudget { requests, retries, percent, allowance }
    }

    /// Changes the part of the fleet's fixed allowance.
    pub fn set_allowance(&mut self, allowance: usize) {
        self.allowance = allowance;
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: Instant) {
        self.requests.record(now);
    }

    /// RetryBudget that are left.
    pub fn remaining(&mut self, now: Instant) -> usize {
        let limit = self.requests.count(now) * self.percent / 100 + self.allowance;
        limit.saturating_sub(self.retries.count(now))
    }

    /// Takes one repeat, if it is allowed.
    pub fn try_take(&mut self, now: Instant) -> bool {
        let has_room = self.remaining(now) > 0;
        if has_room {
            self.retries.record(now);
        }
        has_room
    }
}
