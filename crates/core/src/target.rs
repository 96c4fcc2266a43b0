//! One target as this machine sees it: its registry entry, and measurements of its load and health.

use std::net::SocketAddr;

use crate::availability::{Availability, Entry, Lifetime, State};
use crate::balance::Estimate;
use crate::id::ServiceId;
use crate::time::{Instant, Span};
use crate::window;

/// Requests per slot that may wait at a target before it counts as full.
pub(crate) const MAX_WAITING_PER_SLOT: f64 = 3.0;
/// Half-life of the measured slowdown and the failure score.
const EVIDENCE_HALF_LIFE_MS: f64 = 3_000.0;
/// Time constant of the decay of a load report.
const LOAD_TIME_CONSTANT_MS: f64 = 1_000.0;
/// Time constant of the decay of the reported slowdown, which is due to noisy neighbours of the
/// target and changes several times a second.
const REPORTED_SLOWDOWN_TIME_CONSTANT_MS: f64 = 250.0;
/// Attempts of this machine in flight at a target that has turned it away, until one is answered.
const MAX_RETURNING: usize = 1;
/// A target is overdue if an attempt there has taken this many times as long as expected.
const OVERDUE_FACTOR: f64 = 4.0;

/// The registry entry of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetSpec {
    /// Unique name of the target.
    pub id: String,
    /// Name of its service.
    pub service: String,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Name of its data centre.
    pub centre: String,
    /// Number of requests that it runs at once.
    pub slots: u32,
    /// Whether it is draining and takes no new work.
    pub is_leaving: bool,
    /// The time from now for which it stays cold.
    pub cold_time_left: Span,
    /// Its start in Unix milliseconds, if it reports it.
    pub start_unix_ms: Option<u64>,
    /// Number of the check-in, which grows until the target starts again.
    pub sequence: u64,
}

impl TargetSpec {
    /// What the entry says of the target's availability.
    pub(crate) fn entry(&self) -> Entry {
        Entry {
            lifetime: Lifetime { start_unix_ms: self.start_unix_ms, address: self.address },
            sequence: self.sequence,
            is_leaving: self.is_leaving,
            cold_time_left: self.cold_time_left,
        }
    }
}

/// The load that a target reports with its replies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Requests that are running.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Current duration of work as a percentage of the usual one.
    pub work_time_percent: u32,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A complete reply arrived.
    Answered,
    /// The target refused the request before running it.
    Shed,
    /// The address no longer belongs to the target.
    Gone,
    /// No connection could be established.
    Unreachable,
    /// The request was sent, but no complete reply arrived.
    Lost,
    /// The reply did not arrive in time.
    TimedOut,
    /// The attempt was cancelled, which says nothing about the target.
    Cancelled,
}

/// An attempt of this machine in flight at a target.
#[derive(Debug)]
pub(crate) struct RunningAttempt {
    pub(crate) number: u64,
    /// The target's lifetime when it was chosen.
    pub(crate) lifetime: Lifetime,
    pub(crate) start: Instant,
    pub(crate) expected_ms: f64,
    pub(crate) route: u64,
    pub(crate) is_cached: bool,
    pub(crate) is_queued: bool,
}

/// A target and what has been measured of it.
#[derive(Debug)]
pub struct Target {
    /// Its registry entry.
    pub spec: TargetSpec,
    pub(crate) service: ServiceId,
    pub(crate) hash_seed: u64,
    /// Key in load reports.
    pub(crate) key: [u8; 2],
    pub(crate) is_remote: bool,
    pub(crate) availability: Availability,
    pub(crate) region: usize,
    /// Whether it has turned this machine away and not answered a request since.
    pub(crate) is_returning: bool,
    pub(crate) running: Vec<RunningAttempt>,
    pub(crate) other_requests: f64,
    pub(crate) other_requests_at: Instant,
    /// Requests of other machines by the reports of the region's gateways.
    pub(crate) shared: Estimate,
    pub(crate) reported_slowdown: f64,
    pub(crate) reported_slowdown_at: Instant,
    pub(crate) measured_slowdown: f64,
    pub(crate) measured_slowdown_at: Instant,
    pub(crate) failure_score: f64,
    pub(crate) failure_score_at: Instant,
    pub(crate) round_trip_ms: Option<f64>,
    pub(crate) cold_requests: window::Sliding,
}

impl Target {
    /// Whether it takes new work at `now`.
    pub fn is_usable(&self, now: Instant) -> bool {
        matches!(self.availability.state(now), State::Usable | State::Cold(_))
    }

    /// What is known of its availability.
    pub fn availability(&self) -> &Availability {
        &self.availability
    }

    /// Whether one more attempt of this machine may run there after it was turned away.
    pub(crate) fn may_return(&self) -> bool {
        !self.is_returning || self.running.len() < MAX_RETURNING
    }

    /// Number of attempts of this machine in flight there.
    pub fn in_flight(&self) -> usize {
        self.running.len()
    }

    /// Requests that it runs and queues at most.
    pub(crate) fn capacity(&self) -> f64 {
        f64::from(self.spec.slots.max(1)) * (1.0 + MAX_WAITING_PER_SLOT)
    }

    pub(crate) fn is_cold(&self, now: Instant) -> bool {
        self.availability.is_cold(now)
    }

    /// Factor on work times: the larger of the measured and the reported slowdown.
    pub(crate) fn slowdown(&self, now: Instant) -> f64 {
        let own = 1.0
            + (self.measured_slowdown - 1.0).max(0.0)
                * evidence_weight(now, self.measured_slowdown_at);
        let reported_slowdown = 1.0
            + (self.reported_slowdown - 1.0)
                * decay(now, self.reported_slowdown_at, REPORTED_SLOWDOWN_TIME_CONSTANT_MS);
        own.max(reported_slowdown)
    }

    pub(crate) fn failure_score(&self, now: Instant) -> f64 {
        self.failure_score * evidence_weight(now, self.failure_score_at)
    }

    pub(crate) fn add_failure(&mut self, now: Instant, points: f64) {
        self.failure_score = (self.failure_score(now) + points).min(8.0);
        self.failure_score_at = now;
    }

    /// Requests of other machines: the last report, which fades into `usual`.
    pub(crate) fn other_requests(&self, now: Instant, usual: f64) -> f64 {
        let weight = decay(now, self.other_requests_at, LOAD_TIME_CONSTANT_MS);
        weight * self.other_requests + (1.0 - weight) * usual
    }

    pub(crate) fn is_overdue(&self, now: Instant) -> bool {
        let is_overdue =
            |run: &RunningAttempt| as_ms(now.since(run.start)) > run.expected_ms * OVERDUE_FACTOR;
        self.running.iter().any(is_overdue)
    }
}

/// The weight at `now` of a measurement from `at`, which falls to 1/e after `time_constant_ms`.
pub(crate) fn decay(now: Instant, at: Instant, time_constant_ms: f64) -> f64 {
    (-(now.since(at).as_micros() as f64 / 1e3) / time_constant_ms).exp()
}

/// The weight at `now` of evidence from `at` about a target's health.
pub(crate) fn evidence_weight(now: Instant, at: Instant) -> f64 {
    decay(now, at, EVIDENCE_HALF_LIFE_MS / std::f64::consts::LN_2)
}

pub(crate) fn span_from_ms(ms: f64) -> Span {
    Span::from_micros((ms * 1e3) as u64)
}

pub(crate) fn as_ms(span: Span) -> f64 {
    span.as_micros() as f64 / 1e3
}
