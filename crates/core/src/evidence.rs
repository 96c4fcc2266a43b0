//! Age of measurements.
//!
//! Silence is not health. A measurement counts in full while it is fresh, then ever less, until only
//! the cautious assumption is left. When most sources fall silent at the same time, the way that
//! measurements take has failed rather than what they measure. Decisions that move traffic are then
//! frozen, because caution about every target at once would itself move all traffic.

use crate::id::{Arena, SourceId};
use crate::time::{Instant, Span};

/// The weight of a fresh measurement.
pub const FULL: u32 = 1_000;

/// Reports that may be missing while the last one still counts in full.
pub const FRESH_REPORTS: u64 = 2;

/// Reports that are missing when a source counts as silent.
pub const SILENT_REPORTS: u64 = 4;

/// Reports that are missing when the last one counts for nothing.
pub const STALE_REPORTS: u64 = 10;

/// How far apart the last reports of sources may be that fell silent at the same time, in reports.
pub const TOGETHER_REPORTS: u64 = 2;

/// Sources below which no share of them says anything about a common cause.
pub const SOURCES_MIN: usize = 3;

#[derive(Debug, Clone, Copy)]
struct Source {
    heard_at: Instant,
    is_open: bool,
}

/// The sources of measurements of one process, all with the same interval between reports.
#[derive(Debug)]
pub struct Evidence {
    interval: Span,
    sources: Arena<SourceId, Source>,
    /// Sorted last reports of the silent sources, kept to save the allocation.
    silent: Vec<Instant>,
}

impl Evidence {
    /// No sources yet; each will report once in `interval`.
    pub const fn new(interval: Span) -> Evidence {
        Evidence { interval, sources: Arena::new(), silent: Vec::new() }
    }

    /// Adds a source. It counts as just heard, so that it gets the time to report.
    pub fn add(&mut self, now: Instant) -> SourceId {
        self.sources.push(Source { heard_at: now, is_open: true })
    }

    /// Takes in that `source` has reported.
    pub fn note_report(&mut self, now: Instant, source: SourceId) {
        let source = &mut self.sources[source];
        source.heard_at = source.heard_at.max(now);
        source.is_open = true;
    }

    /// Removes `source`, which left as planned; its silence says nothing. A later report adds it
    /// again.
    pub fn close(&mut self, source: SourceId) {
        self.sources[source].is_open = false;
    }

    /// The time since the last report of `source`.
    pub fn age(&self, now: Instant, source: SourceId) -> Span {
        now.since(self.sources[source].heard_at)
    }

    /// How much the last report of `source` counts, from 0 to [`FULL`].
    pub fn weight(&self, now: Instant, source: SourceId) -> u32 {
        let age = self.age(now, source).as_micros();
        let fresh = self.interval.times(FRESH_REPORTS).as_micros();
        let stale = self.interval.times(STALE_REPORTS).as_micros();
        let left = stale.saturating_sub(age).min(stale - fresh);
        (left * u64::from(FULL) / (stale - fresh).max(1)) as u32
    }

    /// The `measured` value of `source`, moved towards the `cautious` one by its age.
    pub fn temper(&self, now: Instant, source: SourceId, measured: u32, cautious: u32) -> u32 {
        let weight = u64::from(self.weight(now, source));
        let rest = u64::from(FULL) - weight;
        let sum = u64::from(measured) * weight + u64::from(cautious) * rest;
        (sum / u64::from(FULL)) as u32
    }

    /// Whether `source` has missed too many reports.
    pub fn is_silent(&self, now: Instant, source: SourceId) -> bool {
        self.age(now, source) >= self.interval.times(SILENT_REPORTS)
    }

    /// Whether more than half of the sources fell silent at the same time and still are.
    pub fn is_frozen(&mut self, now: Instant) -> bool {
        let limit = self.interval.times(SILENT_REPORTS);
        let open = self.sources.values().filter(|source| source.is_open);
        let count = open.clone().count();
        let silent = open.map(|source| source.heard_at).filter(|&at| now.since(at) >= limit);
        self.silent.clear();
        self.silent.extend(silent);
        self.silent.sort_unstable();
        let together = largest_group(&self.silent, self.interval.times(TOGETHER_REPORTS));
        count >= SOURCES_MIN && together * 2 > count
    }
}

/// The largest number of the sorted `times` that lie within `width`.
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
