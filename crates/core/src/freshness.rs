//! Freshness of measurements.
//!
//! A source that stops reporting is not assumed to be healthy. A report has its full weight while it
//! is fresh; then the weight falls linearly to zero, where only the cautious value is left. When most
//! sources fall silent at the same time, the path of the reports has failed rather than the sources.
//! Decisions that move traffic are then frozen, because the cautious value for all targets at once
//! would itself move all traffic.

use crate::id::{Arena, SourceId};
use crate::time::{Instant, Span};

/// The weight of a fresh report.
pub const FULL_WEIGHT: u32 = 1_000;

/// Age, in report intervals, up to which a report has its full weight.
pub const FRESH_INTERVALS: u64 = 2;

/// Age of the last report, in report intervals, from which a source counts as silent.
pub const SILENT_INTERVALS: u64 = 4;

/// Age, in report intervals, from which a report has no weight.
pub const STALE_INTERVALS: u64 = 10;

/// Sources fell silent at the same time if their last reports are at most this many report intervals
/// apart.
pub const SIMULTANEOUS_INTERVALS: u64 = 2;

/// The fewest sources from which a common cause of silence is inferred.
pub const MIN_SOURCES: usize = 3;

#[derive(Debug, Clone, Copy)]
struct Source {
    last_report_at: Instant,
    is_active: bool,
}

/// The sources of measurements of one process, all with the same interval between reports.
#[derive(Debug)]
pub struct Tracker {
    interval: Span,
    sources: Arena<SourceId, Source>,
    /// Sorted times of the last reports of silent sources, kept to save the allocation.
    silent_since: Vec<Instant>,
}

impl Tracker {
    /// A tracker without sources. Each source is expected to report once in `interval`.
    pub const fn new(interval: Span) -> Tracker {
        Tracker { interval, sources: Arena::new(), silent_since: Vec::new() }
    }

    /// Adds a source. It counts as having reported at `now`.
    pub fn add(&mut self, now: Instant) -> SourceId {
        self.sources.push(Source { last_report_at: now, is_active: true })
    }

    /// Records a report of `source`.
    pub fn record_report(&mut self, now: Instant, source: SourceId) {
        let source = &mut self.sources[source];
        source.last_report_at = source.last_report_at.max(now);
        source.is_active = true;
    }

    /// Marks `source` as stopped on purpose, so that its silence is ignored until its next report.
    pub fn deactivate(&mut self, source: SourceId) {
        self.sources[source].is_active = false;
    }

    /// The time since the last report of `source`.
    pub fn age(&self, now: Instant, source: SourceId) -> Span {
        now.since(self.sources[source].last_report_at)
    }

    /// The weight of the last report of `source`, from 0 to [`FULL_WEIGHT`].
    pub fn weight(&self, now: Instant, source: SourceId) -> u32 {
        let age = self.age(now, source).as_micros();
        let fresh = self.interval.times(FRESH_INTERVALS).as_micros();
        let stale = self.interval.times(STALE_INTERVALS).as_micros();
        let left = stale.saturating_sub(age).min(stale - fresh);
        (left * u64::from(FULL_WEIGHT) / (stale - fresh).max(1)) as u32
    }

    /// The average of `measured` and `cautious`, weighted by the weight of the last report of
    /// `source`.
    pub fn weighted_value(
        &self,
        now: Instant,
        source: SourceId,
        measured: u32,
        cautious: u32,
    ) -> u32 {
        let weight = u64::from(self.weight(now, source));
        let rest = u64::from(FULL_WEIGHT) - weight;
        let sum = u64::from(measured) * weight + u64::from(cautious) * rest;
        (sum / u64::from(FULL_WEIGHT)) as u32
    }

    /// Whether the last report of `source` is at least [`SILENT_INTERVALS`] old.
    pub fn is_silent(&self, now: Instant, source: SourceId) -> bool {
        self.age(now, source) >= self.interval.times(SILENT_INTERVALS)
    }

    /// Whether more than half of the active sources fell silent at the same time and still are.
    pub fn is_frozen(&mut self, now: Instant) -> bool {
        let limit = self.interval.times(SILENT_INTERVALS);
        let active = self.sources.values().filter(|source| source.is_active);
        let count = active.clone().count();
        let silent_since =
            active.map(|source| source.last_report_at).filter(|&at| now.since(at) >= limit);
        self.silent_since.clear();
        self.silent_since.extend(silent_since);
        self.silent_since.sort_unstable();
        let simultaneous =
            largest_group(&self.silent_since, self.interval.times(SIMULTANEOUS_INTERVALS));
        count >= MIN_SOURCES && simultaneous * 2 > count
    }
}

/// The largest number of the sorted `times` that lie within `width` of each other.
fn largest_group(times: &[Instant], width: Span) -> usize {
    let mut first = 0;
    let mut largest = 0;
    for (last, &time) in times.iter().enumerate() {
        while time.since(times[first]) > width {
            first += 1;
        }
        largest = largest.max(last + 1 - first);
    }
    largest
}
