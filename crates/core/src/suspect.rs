//! Suspects: targets that seem to straggle or to have failed, and the probes that re-admit them.

use crate::choice::{PoolTargets, TargetIndex};
use crate::cost::Cost;
use crate::time::{Instant, Span};

/// Evidence points of an unanswered attempt that passes the 90th and the 99th percentile of its
/// kind, twice and three times the latter: about -ln of the chance that a healthy one does.
pub(crate) const CHECKPOINT_POINTS: [u32; 4] = [2, 3, 5, 5];
/// Points that an answer within the 90th percentile takes away.
const FAST_ANSWER_POINTS: u32 = 2;
/// Points that make a target a suspect. For a healthy target the sum is a random walk that falls
/// on average and reaches 14 about once in 30,000 answers (estimated, not measured).
const SUSPECT_POINTS: u32 = 14;
/// Average of slot time over the kind's mean, in 1/256, that makes a target a suspect.
const SUSPECT_SLOWDOWN_256THS: u32 = 256 * 5 / 2;
/// Ratios above this are clamped, so that one answer does not rule the average.
const MAX_SLOWDOWN_256THS: u32 = 256 * 4;
/// Answers before the average says anything.
const MIN_SLOWDOWN_SAMPLES: u32 = 8;
/// Probes in a row that re-admit a suspect.
const PROBES_TO_READMIT: u32 = 2;
/// Bounds of the time between two probes, which doubles after each bad one.
const MIN_PROBE_INTERVAL: Span = Span::from_millis(20);
const MAX_PROBE_INTERVAL: Span = Span::from_millis(160);
/// A suspect that is due for a probe for this long is re-admitted without one.
pub(crate) const MAX_PROBE_DELAY: Span = Span::from_secs(1);
/// Why a target is a suspect, and what probes have shown.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Suspicion {
    pub(crate) probe_at: Instant,
    pub(crate) interval: Span,
    pub(crate) successful_probes: u32,
    pub(crate) is_probing: bool,
}

impl PoolTargets {
    /// A suspect that is due for a probe.
    pub(crate) fn choose_probe_target(&self, now: Instant) -> Option<TargetIndex> {
        if self.suspects == 0 || self.reserved_slots() > 0 {
            return None;
        }
        let due = self.targets.iter().filter(|(_, target)| {
            let is_due = |s: Suspicion| !s.is_probing && now >= s.probe_at;
            target.is_ready() && target.has_slot(false) && target.suspicion.is_some_and(is_due)
        });
        due.min_by_key(|(_, target)| (target.in_flight, target.last_chosen)).map(|(index, _)| index)
    }

    /// Takes in that an unanswered attempt has passed checkpoint `stage`. Returns whether the
    /// target has become a suspect.
    pub(crate) fn record_checkpoint(
        &mut self,
        now: Instant,
        index: TargetIndex,
        checkpoint_index: u8,
    ) -> bool {
        let target = &mut self.targets[index];
        target.suspicion_points += CHECKPOINT_POINTS[usize::from(checkpoint_index)];
        let exceeds_limit = target.suspicion_points >= SUSPECT_POINTS;
        exceeds_limit && self.suspect_as_slow(now, index)
    }

    /// Takes in an answer that took `time` for a kind that costs `cost`. Returns whether the
    /// target has become a suspect.
    pub(crate) fn record_answer(
        &mut self,
        now: Instant,
        index: TargetIndex,
        time: Span,
        cost: &Cost,
    ) -> bool {
        let target = &mut self.targets[index];
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

    /// Makes a target a suspect after an error.
    pub(crate) fn suspect_after_error(&mut self, now: Instant, index: TargetIndex) -> bool {
        self.mark_suspect(now, index)
    }

    /// Makes a slow target a suspect, unless less than half of the slots would remain: then the
    /// learned slot times are more likely to be wrong than the targets.
    fn suspect_as_slow(&mut self, now: Instant, index: TargetIndex) -> bool {
        let remaining = self.usable_slots.saturating_sub(self.targets[index].spec.slots);
        remaining > 0 && remaining * 2 >= self.ready_slots && self.mark_suspect(now, index)
    }

    fn mark_suspect(&mut self, now: Instant, index: TargetIndex) -> bool {
        let target = &mut self.targets[index];
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

    /// Takes in how a probe ended.
    pub(crate) fn record_probe(&mut self, now: Instant, index: TargetIndex, is_success: bool) {
        let target = &mut self.targets[index];
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

    /// Re-admits idle suspects that have been due for a probe for long: the pool has no job that
    /// could probe them. The next slow or failed attempt makes such a target a suspect again.
    pub(crate) fn readmit_idle_suspects(&mut self, now: Instant) {
        if self.suspects == 0 {
            return;
        }
        for position in 0..self.targets.len() {
            let index = TargetIndex(position as u32);
            let target = &self.targets[index];
            let is_due = |s: Suspicion| !s.is_probing && now >= s.probe_at + MAX_PROBE_DELAY;
            if target.in_flight == 0 && target.suspicion.is_some_and(is_due) {
                self.clear_suspicion(index);
            }
        }
    }

    fn clear_suspicion(&mut self, index: TargetIndex) {
        let target = &mut self.targets[index];
        target.suspicion = None;
        target.suspicion_points = 0;
        target.slowdown_256ths = 256;
        target.slowdown_samples = 0;
        self.recount();
    }
}
