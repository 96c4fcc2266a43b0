//! The requests of other machines at one target.

use crate::time::Instant;

/// Weight of one figure of the target in the correction. With 0.3, the busiest target of the
/// simulations had 1.31 times the mean instead of 1.28.
const SAMPLE_WEIGHT: f64 = 0.5;
/// Time constant with which the correction of one target falls to that of its service. With 3 s, the
/// simulations gave 1.35 to 1.40 instead of 1.26, since the requests of other regions at a target
/// last longer than that.
const EXCESS_TIME_CONSTANT_MS: f64 = 10_000.0;
/// Time constant of the mean of the reported sum.
const MEAN_TIME_CONSTANT_MS: f64 = 2_000.0;
/// Weight of the last sum against its mean. All gateways see the same sums, and go to the target
/// with the lowest one together.
const SUM_WEIGHT: f64 = 0.5;
/// The part of the reported sum that a target's own figures cannot correct away: a target that
/// always reports no load must not attract all requests. With 0.25, its load in the simulations was
/// more than twice the mean.
const MIN_SHARE: f64 = 0.75;

/// What is usual at the targets of a service.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usual {
    /// Mean excess of the targets' own figures over the reports.
    pub excess: f64,
    /// Weight of excesses, from 1 to 0. It falls while no target sends figures: a gateway that
    /// refuses all requests because of an overload gets none.
    pub weight: f64,
}

/// What is known of the requests of other machines at one target.
#[derive(Debug, Clone, Copy)]
pub struct Estimate {
    /// Sum of the other gateways' reports, and its mean at `mean_at`.
    sum: i32,
    mean: f64,
    mean_at: Instant,
    /// What the target's own figures were above that sum: requests of other regions, or less than
    /// none if a gateway reports too many.
    excess: f64,
    excess_at: Instant,
}

/// Weight at `now` of a value from `at`. A close substitute for the exponential that costs less,
/// since there are two for each target in each choice.
fn fade(now: Instant, at: Instant, time_constant_ms: f64) -> f64 {
    let x = now.since(at).as_micros() as f64 / 1e3 / time_constant_ms;
    1.0 / (1.0 + x + x * x / 2.0 + x * x * x / 6.0)
}

impl Estimate {
    /// Nothing reported yet.
    pub const fn new() -> Estimate {
        Estimate {
            sum: 0,
            mean: 0.0,
            mean_at: Instant::ZERO,
            excess: 0.0,
            excess_at: Instant::ZERO,
        }
    }

    /// Adds a change of the sum of the reports.
    pub fn add(&mut self, now: Instant, change: i32) {
        self.mean = self.mean_sum(now);
        self.mean_at = now;
        self.sum += change;
    }

    /// Removes what the target's own figures said, which belongs to an earlier lifetime.
    pub fn reset(&mut self) {
        self.excess = 0.0;
        self.excess_at = Instant::ZERO;
    }

    /// Records that the target counted `others` requests of other machines. Returns the excess over
    /// the reports. No more than `limit` fit into the target.
    pub fn record(&mut self, now: Instant, others: f64, usual: Usual, limit: f64) -> f64 {
        let sample = others.min(limit) - f64::from(self.sum).clamp(0.0, limit);
        let before = self.excess(now, usual);
        self.excess = before + SAMPLE_WEIGHT * (sample - before);
        self.excess_at = now;
        sample
    }

    /// Requests of other machines, at most `limit`.
    pub fn others(&self, now: Instant, usual: Usual, limit: f64) -> f64 {
        let sum = SUM_WEIGHT * f64::from(self.sum) + (1.0 - SUM_WEIGHT) * self.mean_sum(now);
        let sum = sum.clamp(0.0, limit);
        let others = sum + self.excess(now, usual) * usual.weight;
        others.clamp(self.min_others(limit), limit)
    }

    /// The part of the reported requests that no figure of the target corrects away.
    pub fn min_others(&self, limit: f64) -> f64 {
        f64::from(self.sum).clamp(0.0, limit) * MIN_SHARE
    }

    fn mean_sum(&self, now: Instant) -> f64 {
        let sum = f64::from(self.sum);
        sum + (self.mean - sum) * fade(now, self.mean_at, MEAN_TIME_CONSTANT_MS)
    }

    fn excess(&self, now: Instant, usual: Usual) -> f64 {
        let weight = fade(now, self.excess_at, EXCESS_TIME_CONSTANT_MS);
        weight * self.excess + (1.0 - weight) * usual.excess
    }
}

impl Default for Estimate {
    fn default() -> Estimate {
        Estimate::new()
    }
}
