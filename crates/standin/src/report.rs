//! What a caller saw.

use ebonypass_core::outcome::Outcome;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// The longest latency that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 120_000_000;

/// A caller's report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The member.
    pub member: String,
    /// Sums by kind.
    pub kinds: Vec<KindReport>,
    /// Requests that were not started because too many were open.
    pub not_started: u64,
    /// Every request that was sent, with its attempts.
    pub requests: Vec<Request>,
}

/// Sums of one kind.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct KindReport {
    /// The service.
    pub service: String,
    /// The kind's name.
    pub kind: String,
    /// Whether a request may run twice.
    pub idempotent: bool,
    /// Requests that were sent, without repeats.
    pub sent: u64,
    /// Requests whose last outcome is an answer.
    pub answered: u64,
    /// Requests whose last outcome is "not run".
    pub not_run: u64,
    /// Requests whose last outcome is "unknown", or whose reply was lost or cut.
    pub unknown: u64,
    /// Answered requests whose answer came after the deadline.
    pub late: u64,
    /// Requests for which no entry could be reached. They are not in `sent`.
    pub unreachable: u64,
    /// Replies that looked complete but were not the right bytes.
    pub wrong: u64,
    /// Replies that were cut and looked so.
    pub cut: u64,
    /// Median latency of answers in microseconds.
    pub p50_us: u64,
    /// 99th percentile of the latency of answers in microseconds.
    pub p99_us: u64,
}

/// A request and what became of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The request key, or the caller's own number of an idempotent request.
    pub key: String,
    /// The service.
    pub service: String,
    /// The kind's name.
    pub kind: String,
    /// The client block.
    pub block: String,
    /// Attempts in order. The last one has the last outcome.
    pub attempts: Vec<Attempt>,
}

/// One attempt and what became of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// The outcome. A lost or cut reply is unknown.
    pub outcome: Outcome,
    /// The reply's code or the error.
    pub detail: String,
    /// Start in milliseconds of Unix time.
    pub start_ms: u64,
    /// End in milliseconds of Unix time.
    pub end_ms: u64,
}

/// Sums of one kind that are still growing.
#[derive(Debug)]
pub struct Tally {
    /// The sums so far, without percentiles.
    pub report: KindReport,
    latency: Histogram<u64>,
}

impl Tally {
    /// Sums of a kind of which nothing was sent.
    pub fn new(service: &str, kind: &str, idempotent: bool) -> Tally {
        let (service, kind) = (service.to_owned(), kind.to_owned());
        let report = KindReport { service, kind, idempotent, ..KindReport::default() };
        let latency = Histogram::new_with_max(MAX_LATENCY_US, 3).expect("valid bounds");
        Tally { report, latency }
    }

    /// Counts the last outcome of a request.
    pub fn count(&mut self, outcome: Outcome) {
        self.report.sent += 1;
        match outcome {
            Outcome::Answered => self.report.answered += 1,
            Outcome::NotRun => self.report.not_run += 1,
            Outcome::Unknown => self.report.unknown += 1,
        }
    }

    /// Counts the latency of an answer.
    pub fn record(&mut self, latency_us: u64) {
        self.latency.saturating_record(latency_us);
    }

    /// The sums with percentiles.
    pub fn close(self) -> KindReport {
        KindReport {
            p50_us: self.latency.value_at_quantile(0.5),
            p99_us: self.latency.value_at_quantile(0.99),
            ..self.report
        }
    }
}
