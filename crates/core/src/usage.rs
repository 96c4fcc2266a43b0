//! Recent slot usage of each flow, and the fair share that a waiting flow can expect.

use crate::id::{Arena, Key};
use crate::queue::LaneId;
use crate::time::{Instant, Span};

/// Time constant of the exponential decay.
const DECAY_TIME: Span = Span::from_millis(200);
/// Computed values are cached for this long, since a computation reads the usage of all flows.
const SHARE_LIFETIME: Span = Span::from_millis(1);

#[derive(Debug, Clone, Copy, Default)]
struct DecayedUse {
    /// Slot time in microseconds, weighted by e^-(age / `DECAY_TIME`).
    slot_time_us: f64,
    updated_at: Instant,
}

impl DecayedUse {
    fn decayed_us(&self, now: Instant) -> f64 {
        let age = now.since(self.updated_at).as_micros() as f64;
        self.slot_time_us * (-age / DECAY_TIME.as_micros() as f64).exp()
    }
}

/// Recent slot usage by lane.
#[derive(Debug, Default)]
pub(crate) struct Usage {
    uses: Arena<LaneId, DecayedUse>,
    fair_share: f64,
    fair_share_until: Instant,
    wanted_slots: Vec<f64>,
    slots_used: f64,
    slots_used_until: Instant,
}

impl Usage {
    /// Adds entries up to `lane`.
    pub(crate) fn reserve(&mut self, lane: LaneId) {
        while self.uses.len() <= lane.index() {
            self.uses.push(DecayedUse::default());
        }
    }

    /// Adds the expected slot time of a dispatch.
    pub(crate) fn add(&mut self, now: Instant, lane: LaneId, time: Span) {
        let slot_time_us = self.uses[lane].decayed_us(now) + time.as_micros() as f64;
        self.uses[lane] = DecayedUse { slot_time_us, updated_at: now };
    }

    /// The slots that a lane with waiting jobs can expect when `slots` are shared max-min fairly.
    /// `wanted` returns the slots that a backlogged lane can use, and `None` for any other lane, which
    /// is assumed to keep its recent usage.
    pub(crate) fn fair_share(
        &mut self,
        now: Instant,
        slots: f64,
        wanted: impl Fn(LaneId) -> Option<f64>,
    ) -> f64 {
        if now >= self.fair_share_until {
            self.fair_share = self.compute_fair_share(now, slots, wanted);
            self.fair_share_until = now + SHARE_LIFETIME;
        }
        self.fair_share
    }

    /// The recent slot usage of the lanes that `includes` selects. The result is cached for
    /// `SHARE_LIFETIME`, also if another call selects other lanes.
    pub(crate) fn slots_used(&mut self, now: Instant, includes: impl Fn(LaneId) -> bool) -> f64 {
        if now >= self.slots_used_until {
            let uses = self.uses.iter().filter(|(lane, _)| includes(*lane));
            let sum_us: f64 = uses.map(|(_, used)| used.decayed_us(now)).sum();
            self.slots_used = sum_us / DECAY_TIME.as_micros() as f64;
            self.slots_used_until = now + SHARE_LIFETIME;
        }
        self.slots_used
    }

    fn compute_fair_share(
        &mut self,
        now: Instant,
        slots: f64,
        wanted: impl Fn(LaneId) -> Option<f64>,
    ) -> f64 {
        self.wanted_slots.clear();
        for (lane, used) in self.uses.iter() {
            let recent = || used.decayed_us(now) / DECAY_TIME.as_micros() as f64;
            self.wanted_slots.push(wanted(lane).unwrap_or_else(recent));
        }
        // Recent usage lags, so a lane that begins to wait can expect at least an equal part.
        let min_share = slots / (self.wanted_slots.len() as f64 + 1.0);
        let mut left = slots;
        let mut unsatisfied = self.wanted_slots.len() as f64;
        loop {
            let level = left / unsatisfied.max(1.0);
            let satisfied = self.wanted_slots.extract_if(.., |wanted| *wanted < level);
            let (count, sum) =
                satisfied.fold((0.0, 0.0), |(count, sum), one| (count + 1.0, sum + one));
            if count == 0.0 {
                return level.max(min_share);
            }
            left -= sum;
            unsatisfied -= count;
        }
    }
}
