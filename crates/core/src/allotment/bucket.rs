//! A token bucket.

use crate::time::Instant;

/// A token bucket that fills with time.
#[derive(Debug, Clone, Copy)]
pub(super) struct Bucket {
    pub(super) level: f64,
    filled_at: Instant,
}

impl Bucket {
    pub(super) fn new(now: Instant, level: f64) -> Bucket {
        Bucket { level, filled_at: now }
    }

    /// Adds the tokens of the time since the last call, up to `capacity`.
    pub(super) fn fill(&mut self, now: Instant, rate_per_s: f64, capacity: f64) {
        let elapsed_s = now.since(self.filled_at).as_micros() as f64 / 1e6;
        self.level = (self.level + rate_per_s * elapsed_s).min(capacity);
        self.filled_at = self.filled_at.max(now);
    }

    /// Takes up to `count` whole tokens. Returns how many.
    pub(super) fn take(&mut self, count: u16) -> u16 {
        // The margin absorbs rounding errors of the level.
        let taken = ((self.level + 1e-6).max(0.0) as u64).min(count.into()) as u16;
        self.level -= f64::from(taken);
        taken
    }
}
