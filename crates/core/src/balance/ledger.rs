//! The last report of each gateway.

use std::collections::HashMap;

use super::report::Report;
use crate::gossip::ROUND_INTERVAL;
use crate::time::{Instant, Span};

/// A report counts for this many times the announced interval, so that two lost ones in a row leave
/// no gap: 1.2 s with one report in each round.
const INTERVALS_KEPT: u64 = 3;

/// A report with more requests than this many times the mean of at least [`MIN_OTHERS`] others, and
/// more than [`MIN_MAX_TOTAL`] besides, does not count: a gateway that reports all targets as full
/// would keep the others from all of them.
const MAX_TOTAL_RATIO: u64 = 8;
const MIN_MAX_TOTAL: u64 = 200;
const MIN_OTHERS: usize = 2;

/// Why a report does not count.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// Load is not shared.
    Off,
    /// A newer report of the same gateway has arrived.
    Outdated,
    /// It has many more requests than those of the other gateways.
    Implausible,
}

/// The last reports of the other gateways of the region.
#[derive(Debug, Default)]
pub struct Ledger {
    reports: HashMap<u64, KeptReport>,
    /// Sum of the intervals of all reports.
    intervals: u64,
    /// Sum of the counts of all reports.
    total: u64,
}

#[derive(Debug)]
struct KeptReport {
    round: u32,
    received_at: Instant,
    expires_at: Instant,
    interval: u64,
    total: u64,
    counts: Vec<([u8; 2], u8)>,
}

impl Ledger {
    /// Keeps a report of `machine`, instead of the earlier one. Returns the changes of the targets'
    /// sums.
    ///
    /// Errors: the report does not count.
    pub fn record(
        &mut self,
        now: Instant,
        machine: u64,
        report: &Report,
    ) -> Result<Vec<([u8; 2], i32)>, Rejection> {
        let earlier = self.reports.get(&machine);
        let advance = earlier.map(|kept| report.round().wrapping_sub(kept.round).cast_signed());
        if advance.is_some_and(|advance| advance <= 0) {
            return Err(Rejection::Outdated);
        }
        let others = self.reports.len() - usize::from(earlier.is_some());
        let others_total = self.total - earlier.map_or(0, |kept| kept.total);
        let total = report.counts().map(|(_, count)| u64::from(count)).sum();
        let max_total = others_total * MAX_TOTAL_RATIO / others.max(1) as u64 + MIN_MAX_TOTAL;
        if others >= MIN_OTHERS && total > max_total {
            return Err(Rejection::Implausible);
        }
        let interval = u64::from(report.interval.max(1));
        let kept = KeptReport {
            round: report.round(),
            received_at: now,
            expires_at: now + ROUND_INTERVAL.times(interval * INTERVALS_KEPT),
            interval,
            total,
            counts: report.counts().collect(),
        };
        let added = kept.counts.iter().map(|&(key, count)| (key, i32::from(count)));
        let mut changes: Vec<([u8; 2], i32)> = added.collect();
        self.intervals += interval;
        self.total += total;
        if let Some(earlier) = self.reports.insert(machine, kept) {
            self.intervals -= earlier.interval;
            self.total -= earlier.total;
            changes.extend(earlier.removal());
        }
        Ok(changes)
    }

    /// Removes reports that have expired. Returns the changes of the targets' sums.
    pub fn expire(&mut self, now: Instant) -> Vec<([u8; 2], i32)> {
        let mut changes = Vec::new();
        for (_, kept) in self.reports.extract_if(|_, kept| now >= kept.expires_at) {
            self.intervals -= kept.interval;
            self.total -= kept.total;
            changes.extend(kept.removal());
        }
        changes
    }

    /// Whether no report is kept.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    /// The number of gateways whose report is kept.
    pub fn len(&self) -> usize {
        self.reports.len()
    }

    /// Mean number of rounds between two reports of a gateway; 1 without reports.
    pub fn interval(&self) -> f64 {
        if self.reports.is_empty() { 1.0 } else { self.intervals as f64 / self.len() as f64 }
    }

    /// The age of the oldest report that is kept.
    pub fn age(&self, now: Instant) -> Span {
        let ages = self.reports.values().map(|kept| now.since(kept.received_at));
        ages.max().unwrap_or(Span::ZERO)
    }
}

impl KeptReport {
    fn removal(&self) -> impl Iterator<Item = ([u8; 2], i32)> {
        self.counts.iter().map(|&(key, count)| (key, -i32::from(count)))
    }
}
