//! The report of a simulated caller.

use ebonypass_core::outcome::Outcome;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// The largest latency that is recorded; larger ones are counted as this one.
const MAX_LATENCY_US: u64 = 120_000_000;

/// A caller's report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The member.
    pub member: String,
    /// Totals by kind.
    pub kinds: Vec<Totals>,
    /// Requests that were not started because too many were in flight.
    pub not_started: u64,
    /// Every request that was sent, with its attempts.
    pub requests: Vec<Request>,
}

/// Totals of one request kind.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Totals {
    /// The service.
    pub service: String,
    /// The kind's name.
    pub kind: String,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Requests that were sent, not counting retries.
    pub sent: u64,
    /// Requests whose last outcome is "answered".
    pub answered: u64,
    /// Requests whose last outcome is "not run".
    pub not_run: u64,
    /// Requests whose last outcome is "unknown", including lost and truncated replies.
    pub unknown: u64,
    /// Answered requests whose reply arrived after the deadline or has status 504.
    pub late: u64,
    /// Requests for which no entry could be reached. They are not in `sent`.
    pub unreachable: u64,
    /// Replies that looked complete but had unexpected content.
    pub wrong: u64,
    /// Replies that were detectably truncated.
    pub cut: u64,
    /// Median latency of answered requests in microseconds.
    pub p50_us: u64,
    /// 99th percentile of the latency of answered requests in microseconds.
    pub p99_us: u64,
}

/// A request and its attempts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The request key, or the caller's own identifier of an idempotent request.
    pub key: String,
    /// The service.
    pub service: String,
    /// The kind's name.
    pub kind: String,
    /// The client block.
    pub block: String,
    /// Attempts in order of their start.
    pub attempts: Vec<Attempt>,
}

/// An attempt and its outcome.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// The outcome. It is unknown if the reply was lost or truncated.
    pub outcome: Outcome,
    /// The reply's code, or a description of the error.
    pub detail: String,
    /// Start as Unix time in milliseconds.
    pub start_ms: u64,
    /// End as Unix time in milliseconds.
    pub end_ms: u64,
}

/// Accumulates the totals of one kind.
#[derive(Debug)]
pub struct Tally {
    /// The totals so far, without percentiles.
    pub totals: Totals,
    latency: Histogram<u64>,
}

impl Tally {
    /// Creates a tally of a kind of which nothing was sent.
    pub fn new(service: &str, kind: &str, idempotent: bool) -> Tally {
        let (service, kind) = (service.to_owned(), kind.to_owned());
        let totals = Totals { service, kind, idempotent, ..Totals::default() };
        let latency = Histogram::new_with_max(MAX_LATENCY_US, 3).expect("valid bounds");
        Tally { totals, latency }
    }

    /// Counts a request by its last outcome.
    pub fn count_outcome(&mut self, outcome: Outcome) {
        self.totals.sent += 1;
        match outcome {
            Outcome::Answered => self.totals.answered += 1,
            Outcome::NotRun => self.totals.not_run += 1,
            Outcome::Unknown => self.totals.unknown += 1,
        }
    }

    /// Records the latency of an answered request.
    pub fn record_latency(&mut self, latency_us: u64) {
        self.latency.saturating_record(latency_us);
    }

    /// Returns the totals with percentiles.
    pub fn finish(self) -> Totals {
        Totals {
            p50_us: self.latency.value_at_quantile(0.5),
            p99_us: self.latency.value_at_quantile(0.99),
            ..self.totals
        }
    }
}
