//! Suspects: targets that seem to be slow or to have failed, and the probes that readmit them.

use crate::choice::{self, TargetIndex};
use crate::cost::Cost;
use crate::time::{Instant, Span};

/// Suspicion points for an unanswered attempt at each checkpoint: the 90th percentile, the 99th, and
/// two and three times the 99th of its kind. Each is about -ln of the probability that an attempt on
/// a healthy target gets there.
pub(crate) const CHECKPOINT_POINTS: [u32; 4] = [2, 3, 5, 5];
/// Suspicion points that an answer within the 90th percentile takes away.
const FAST_ANSWER_POINTS: u32 = 2;
/// Points that make a target a suspect. For a healthy target the sum is a random walk with negative
/// drift that reaches 14 about once in 30,000 answers (an estimate).
const SUSPECT_POINTS: u32 = 14;
/// Average slowdown, the slot time over the kind's mean in 1/256, above which a target is a suspect.
const SUSPECT_SLOWDOWN_256THS: u32 = 256 * 5 / 2;
/// Slowdowns are clamped to this, so that one answer does not dominate the average.
const MAX_SLOWDOWN_256THS: u32 = 256 * 4;
/// Answers before the average is used.
const MIN_SLOWDOWN_SAMPLES: u32 = 8;
/// Successful probes in a row that readmit a suspect.
const PROBES_TO_READMIT: u32 = 2;
/// Bounds of the time between two probes, which doubles after each failed one.
const MIN_PROBE_INTERVAL: Span = Span::from_millis(20);
const MAX_PROBE_INTERVAL: Span = Span::from_millis(160);
/// An idle suspect whose probe has been due for this long is readmitted without one.
pub(crate) const MAX_PROBE_DELAY: Span = Span::from_secs(1);

/// The probing of a target that is a suspect.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Suspicion {
    pub(crate) probe_at: Instant,
    pub(crate) interval: Span,
    pub(crate) successful_probes: u32,
    pub(crate) is_probing: bool,
}

impl choice::Targets {
    /// A suspect that is due for a probe.
    pub(crate) fn choose_probe_target(&self, now: Instant) -> Option<TargetIndex> {
        if self.suspects == 0 || self.reserved_slots() > 0 {
            return None;
        }
        let due = self.table.iter().filter(|(_, target)| {
            let is_due = |s: Suspicion| !s.is_probing && now >= s.probe_at;
            target.is_ready() && target.has_slot(false) && target.suspicion.is_some_and(is_due)
        });
        due.min_by_key(|(_, target)| (target.in_flight, target.last_attempt_number))
            .map(|(index, _)| index)
    }

    /// Records that an unanswered attempt has passed a checkpoint. Returns whether the target has
    /// become a suspect.
    pub(crate) fn record_checkpoint(
        &mut self,
        now: Instant,
        index: TargetIndex,
        checkpoint_index: u8,
    ) -> bool {
        let target = &mut self.table[index];
        target.suspicion_points += CHECKPOINT_POINTS[usize::from(checkpoint_index)];
        let exceeds_limit = target.suspicion_points >= SUSPECT_POINTS;
        exceeds_limit && self.suspect_as_slow(now, index)
    }

    /// Records an answer after `time` to a job of a kind with `cost`. Returns whether the target has
    /// become a suspect.
    pub(crate) fn record_answer(
        &mut self,
        now: Instant,
        index: TargetIndex,
        time: Span,
        cost: &Cost,
    ) -> bool {
        let target = &mut self.table[index];
        target.last_answer_at = Some(now);
        target.backoff = Span::ZERO;
        target.sheds_in_a_row = 0;
        if time <= cost.p90() {
            target.suspicion_points = target.suspicion_points.saturating_sub(FAST_ANSWER_POINTS);
        }
        if !cost.is_reliable() {
            return false;
        }
        let slowdown_256ths = time.as_micros().saturating_mul(256) / cost.mean().as_micros().max(1);
        let slowdown_256ths = slowdown_256ths.min(MAX_SLOWDOWN_256THS.into()) as u32;
        target.slowdown_256ths = (target.slowdown_256ths * 7 + slowdown_256ths) / 8;
        target.slowdown_samples = target.slowdown_samples.saturating_add(1);
        let exceeds_limit = target.slowdown_256ths > SUSPECT_SLOWDOWN_256THS
            && target.slowdown_samples >= MIN_SLOWDOWN_SAMPLES;
        exceeds_limit && self.suspect_as_slow(now, index)
    }

    /// Makes a target a suspect after an error. Returns whether it has become one.
    pub(crate) fn suspect_after_error(&mut self, now: Instant, index: TargetIndex) -> bool {
        self.mark_suspect(now, index)
    }

    /// Makes a slow target a suspect, unless less than half of the slots would remain usable: then
    /// it is more likely that the learned slot times are wrong than that so many targets are slow.
    fn suspect_as_slow(&mut self, now: Instant, index: TargetIndex) -> bool {
        let remaining = self.usable_slots.saturating_sub(self.table[index].spec.slots);
        remaining > 0 && remaining * 2 >= self.ready_slots && self.mark_suspect(now, index)
    }

    fn mark_suspect(&mut self, now: Instant, index: TargetIndex) -> bool {
        let target = &mut self.table[index];
        if target.suspicion.is_some() || !target.is_ready() {
            return false;
        }
        target.suspicion = Some(Suspicion {
            probe_at: now + MIN_PROBE_INTERVAL,
            interval: MIN_PROBE_INTERVAL,
            successful_probes: 0,
            is_probing: false,
        });
        self.recount();
        true
    }

    /// Records how a probe ended.
    pub(crate) fn record_probe(&mut self, now: Instant, index: TargetIndex, is_success: bool) {
        let target = &mut self.table[index];
        let Some(suspicion) = &mut target.suspicion else { return };
        suspicion.is_probing = false;
        if !is_success {
            suspicion.successful_probes = 0;
            suspicion.interval = suspicion.interval.times(2).min(MAX_PROBE_INTERVAL);
            suspicion.probe_at = now + suspicion.interval;
            return;
        }
        suspicion.successful_probes += 1;
        suspicion.probe_at = now;
        if suspicion.successful_probes >= PROBES_TO_READMIT {
            self.clear_suspicion(index);
        }
    }

    /// Readmits idle suspects whose probe is overdue because the pool has no job that could probe
    /// them. The next slow or failed attempt makes such a target a suspect again.
    pub(crate) fn readmit_idle_suspects(&mut self, now: Instant) {
        if self.suspects == 0 {
            return;
        }
        for position in 0..self.table.len() {
            let index = TargetIndex(position as u32);
            let target = &self.table[index];
            let is_due = |s: Suspicion| !s.is_probing && now >= s.probe_at + MAX_PROBE_DELAY;
            if target.in_flight == 0 && target.suspicion.is_some_and(is_due) {
                self.clear_suspicion(index);
            }
        }
    }

    fn clear_suspicion(&mut self, index: TargetIndex) {
        let target = &mut self.table[index];
        target.suspicion = None;
        target.suspicion_points = 0;
        target.slowdown_256ths = 256;
        target.slowdown_samples = 0;
        self.recount();
    }
}
