//! One target as a machine sees it: its entry, and the evidence of its load and health.

use std::net::SocketAddr;

use crate::id::ServiceId;
use crate::time::{Instant, Span};
use crate::window::SlidingWindow;

/// Time after which a target's measured pace and failures count half.
const EVIDENCE_HALF_LIFE_MS: f64 = 3_000.0;
/// Time after which a load report counts a third.
const LOAD_LIFETIME_MS: f64 = 1_000.0;
/// Time after which the report on a target's neighbours counts a third; it changes several times a
/// second.
const NOISE_LIFETIME_MS: f64 = 250.0;
/// A target whose oldest attempt has taken this many times as long as expected is overdue.
const OVERDUE: f64 = 4.0;

/// What is known of a target from the registry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetSpec {
    /// The target's identity, which no other target has.
    pub id: String,
    /// Name of its service.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Name of its data centre.
    pub centre: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub is_leaving: bool,
    /// How long it stays cold from now on.
    pub cold_for: Span,
    /// Unix milliseconds of its start, if it tells them.
    pub start_unix_ms: Option<u64>,
}

/// A target's own report of its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// How long work takes at this moment, in percent of the usual time.
    pub work_time_percent: u32,
}

/// What became of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A complete reply came.
    Answered,
    /// The target refused before running.
    Shed,
    /// The target does not exist any more at its address.
    Gone,
    /// No connection could be made.
    Unreachable,
    /// The request was sent, and no complete reply came.
    Lost,
    /// The reply did not come in time.
    TimedOut,
    /// The attempt was given up before its end, which says nothing about the target.
    Cancelled,
}

/// An attempt of this machine that runs at a target.
#[derive(Debug)]
pub(crate) struct Running {
    pub(crate) number: u64,
    pub(crate) start: Instant,
    pub(crate) expected_ms: f64,
    pub(crate) route: u64,
    pub(crate) is_cached: bool,
    pub(crate) is_queued: bool,
}

/// A target.
#[derive(Debug)]
pub struct Target {
    /// What the registry says of it.
    pub spec: TargetSpec,
    pub(crate) service: ServiceId,
    pub(crate) seed: u64,
    pub(crate) is_far: bool,
    pub(crate) is_listed: bool,
    pub(crate) is_misplaced: bool,
    pub(crate) region: usize,
    pub(crate) cold_until: Instant,
    pub(crate) running: Vec<Running>,
    pub(crate) others: f64,
    pub(crate) others_at: Instant,
    pub(crate) noise: f64,
    pub(crate) noise_at: Instant,
    pub(crate) pace: f64,
    pub(crate) pace_at: Instant,
    pub(crate) failures: f64,
    pub(crate) failures_at: Instant,
    pub(crate) way_ms: Option<f64>,
    pub(crate) cold_starts: SlidingWindow,
}

impl Target {
    /// Whether the registry lists it and it takes new work.
    pub fn is_usable(&self) -> bool {
        self.is_listed && !self.is_misplaced && !self.spec.is_leaving
    }

    /// Attempts of this machine that run there.
    pub fn in_flight(&self) -> usize {
        self.running.len()
    }

    pub(crate) fn is_cold(&self, now: Instant) -> bool {
        now < self.cold_until
    }

    pub(crate) fn pace(&self, now: Instant) -> f64 {
        let own = 1.0 + (self.pace - 1.0).max(0.0) * half_life(now, self.pace_at);
        let noise = 1.0 + (self.noise - 1.0) * fade(now, self.noise_at, NOISE_LIFETIME_MS);
        own.max(noise)
    }

    pub(crate) fn failures(&self, now: Instant) -> f64 {
        self.failures * half_life(now, self.failures_at)
    }

    pub(crate) fn fail(&mut self, now: Instant, points: f64) {
        self.failures = (self.failures(now) + points).min(8.0);
        self.failures_at = now;
    }

    pub(crate) fn others(&self, now: Instant, usual: f64) -> f64 {
        let weight = fade(now, self.others_at, LOAD_LIFETIME_MS);
        weight * self.others + (1.0 - weight) * usual
    }

    pub(crate) fn is_overdue(&self, now: Instant) -> bool {
        let late = |run: &Running| as_ms(now.since(run.start)) > run.expected_ms * OVERDUE;
        self.running.iter().any(late)
    }
}

/// The weight of something that counts a third after `lifetime_ms`.
pub(crate) fn fade(now: Instant, at: Instant, lifetime_ms: f64) -> f64 {
    (-(now.since(at).as_micros() as f64 / 1e3) / lifetime_ms).exp()
}

/// The weight of evidence about a target's health.
pub(crate) fn half_life(now: Instant, at: Instant) -> f64 {
    fade(now, at, EVIDENCE_HALF_LIFE_MS / std::f64::consts::LN_2)
}

/// A time of `ms` milliseconds.
pub(crate) fn span_ms(ms: f64) -> Span {
    Span::from_micros((ms * 1e3) as u64)
}

/// A time in milliseconds.
pub(crate) fn as_ms(span: Span) -> f64 {
    span.as_micros() as f64 / 1e3
}
