//! How much of the slots each flow has used lately, and the share that a waiting flow can expect.

use crate::id::{Arena, Key};
use crate::queue::LaneId;
use crate::time::{Instant, Span};

/// The time over which use is averaged.
const WINDOW: Span = Span::from_millis(200);
/// A computed share stays in use for this long, since it reads the use of all flows.
const SHARE_LIFETIME: Span = Span::from_millis(1);

#[derive(Debug, Clone, Copy, Default)]
struct Use {
    /// Slot time in microseconds, weighted by e^-(age / `WINDOW`).
    weight_us: f64,
    at: Instant,
}

impl Use {
    fn at(&self, now: Instant) -> f64 {
        let age = now.since(self.at).as_micros() as f64;
        self.weight_us * (-age / WINDOW.as_micros() as f64).exp()
    }
}

/// Recent use by flow.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    uses: Arena<LaneId, Use>,
    level: f64,
    level_until: Instant,
    scratch: Vec<f64>,
    total: f64,
    total_until: Instant,
}

impl Demand {
    /// Makes room for `lane`.
    pub(crate) fn enter(&mut self, lane: LaneId) {
        while self.uses.len() <= lane.index() {
            self.uses.push(Use::default());
        }
    }

    /// Adds the slot time of a dispatch.
    pub(crate) fn add(&mut self, now: Instant, lane: LaneId, time: Span) {
        let weight_us = self.uses[lane].at(now) + time.as_micros() as f64;
        self.uses[lane] = Use { weight_us, at: now };
    }

    /// The slots that a flow with waiting jobs can expect when `slots` are shared max-min fairly.
    /// `wanted` gives the slots that a waiting flow can use, and `None` for one that does not wait
    /// and so keeps to its recent use.
    pub(crate) fn share(
        &mut self,
        now: Instant,
        slots: f64,
        wanted: impl Fn(LaneId) -> Option<f64>,
    ) -> f64 {
        if now >= self.level_until {
            self.level = self.compute(now, slots, wanted);
            self.level_until = now + SHARE_LIFETIME;
        }
        self.level
    }

    /// The slots that the lanes for which `counts` holds have used lately.
    pub(crate) fn total(&mut self, now: Instant, counts: impl Fn(LaneId) -> bool) -> f64 {
        if now >= self.total_until {
            let uses = self.uses.iter().filter(|(lane, _)| counts(*lane));
            let sum_us: f64 = uses.map(|(_, used)| used.at(now)).sum();
            self.total = sum_us / WINDOW.as_micros() as f64;
            self.total_until = now + SHARE_LIFETIME;
        }
        self.total
    }

    fn compute(&mut self, now: Instant, slots: f64, wanted: impl Fn(LaneId) -> Option<f64>) -> f64 {
        self.scratch.clear();
        for (lane, used) in self.uses.iter() {
            let recent = || used.at(now) / WINDOW.as_micros() as f64;
            self.scratch.push(wanted(lane).unwrap_or_else(recent));
        }
        // Recent use lags, so a flow that begins to wait is never promised less than an equal part.
        let least = slots / (self.scratch.len() as f64 + 1.0);
        let mut left = slots;
        let mut unmet = self.scratch.len() as f64;
        loop {
            let level = left / unmet.max(1.0);
            let met = self.scratch.extract_if(.., |wanted| *wanted < level);
            let (count, sum) = met.fold((0.0, 0.0), |(count, sum), one| (count + 1.0, sum + one));
            if count == 0.0 {
                return level.max(least);
            }
            left -= sum;
            unmet -= count;
        }
    }
}
