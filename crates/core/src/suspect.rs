//! Suspects: targets that seem to straggle or to have failed, and the probes that re-admit them.

use crate::choice::{PlaceId, Places};
use crate::cost::Cost;
use crate::time::{Instant, Span};

/// Evidence points of an unanswered attempt that passes the 90th and the 99th percentile of its
/// kind, twice and three times the latter: about -ln of the chance that a healthy one does.
pub(crate) const STAGE_POINTS: [u32; 4] = [2, 3, 5, 5];
/// Points that an answer within the 90th percentile takes away.
const RELIEF_POINTS: u32 = 2;
/// Points that make a target a suspect. For a healthy target the sum is a random walk that falls
/// on average and reaches 14 about once in 30,000 answers (estimated, not measured).
const SUSPECT_POINTS: u32 = 14;
/// Average of slot time over the kind's mean, in 1/256, that makes a target a suspect.
const SUSPECT_RATIO: u32 = 256 * 5 / 2;
/// Ratios above this are clamped, so that one answer does not rule the average.
const MAX_RATIO: u32 = 256 * 4;
/// Answers before the average says anything.
const RATIO_SAMPLES: u32 = 8;
/// Probes in a row that re-admit a suspect.
const GOOD_PROBES: u32 = 2;
/// Bounds of the time between two probes, which doubles after each bad one.
const FIRST_PROBE: Span = Span::from_millis(20);
const LAST_PROBE: Span = Span::from_millis(160);
/// A suspect that is due for a probe for this long is re-admitted without one.
pub(crate) const PROBE_PATIENCE: Span = Span::from_secs(1);
/// Why a target is a suspect, and what probes have shown.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Suspicion {
    pub(crate) probe_at: Instant,
    pub(crate) interval: Span,
    pub(crate) good_probes: u32,
    pub(crate) is_probing: bool,
}

impl Places {
    /// A suspect that is due for a probe.
    pub(crate) fn choose_probe(&self, now: Instant) -> Option<PlaceId> {
        if self.suspects == 0 || self.reserve() > 0 {
            return None;
        }
        let due = self.places.iter().filter(|(_, place)| {
            let is_due = |s: Suspicion| !s.is_probing && now >= s.probe_at;
            place.is_ready() && place.has_slot(false) && place.suspicion.is_some_and(is_due)
        });
        due.min_by_key(|(_, place)| (place.in_flight, place.last_choice)).map(|(id, _)| id)
    }

    /// Takes in that an unanswered attempt has passed checkpoint `stage`. Returns whether the
    /// target has become a suspect.
    pub(crate) fn strike(&mut self, now: Instant, id: PlaceId, stage: u8) -> bool {
        let place = &mut self.places[id];
        place.points += STAGE_POINTS[usize::from(stage)];
        let is_over = place.points >= SUSPECT_POINTS;
        is_over && self.suspect_slow(now, id)
    }

    /// Takes in an answer that took `time` for a kind that costs `cost`. Returns whether the
    /// target has become a suspect.
    pub(crate) fn answer(&mut self, now: Instant, id: PlaceId, time: Span, cost: &Cost) -> bool {
        let place = &mut self.places[id];
        place.last_answer = Some(now);
        place.rest = Span::ZERO;
        place.sheds = 0;
        if time <= cost.p90() {
            place.points = place.points.saturating_sub(RELIEF_POINTS);
        }
        if !cost.is_settled() {
            return false;
        }
        let ratio = time.as_micros().saturating_mul(256) / cost.mean().as_micros().max(1);
        let ratio = ratio.min(MAX_RATIO.into()) as u32;
        place.ratio = (place.ratio * 7 + ratio) / 8;
        place.answers = place.answers.saturating_add(1);
        let is_over = place.ratio > SUSPECT_RATIO && place.answers >= RATIO_SAMPLES;
        is_over && self.suspect_slow(now, id)
    }

    /// Makes a target a suspect after an error.
    pub(crate) fn suspect_failed(&mut self, now: Instant, id: PlaceId) -> bool {
        self.suspect(now, id)
    }

    /// Makes a slow target a suspect, unless less than half of the slots would remain: then the
    /// learned slot times are more likely to be wrong than the targets.
    fn suspect_slow(&mut self, now: Instant, id: PlaceId) -> bool {
        let remaining = self.usable_slots.saturating_sub(self.places[id].spec.slots);
        remaining > 0 && remaining * 2 >= self.ready_slots && self.suspect(now, id)
    }

    fn suspect(&mut self, now: Instant, id: PlaceId) -> bool {
        let place = &mut self.places[id];
        if place.suspicion.is_some() || !place.is_ready() {
            return false;
        }
        place.suspicion = Some(Suspicion {
            probe_at: now + FIRST_PROBE,
            interval: FIRST_PROBE,
            good_probes: 0,
            is_probing: false,
        });
        self.recount();
        true
    }

    /// Takes in how a probe ended.
    pub(crate) fn end_probe(&mut self, now: Instant, id: PlaceId, is_good: bool) {
        let place = &mut self.places[id];
        let Some(suspicion) = &mut place.suspicion else { return };
        suspicion.is_probing = false;
        if !is_good {
            suspicion.good_probes = 0;
            suspicion.interval = suspicion.interval.times(2).min(LAST_PROBE);
            suspicion.probe_at = now + suspicion.interval;
            return;
        }
        suspicion.good_probes += 1;
        suspicion.probe_at = now;
        if suspicion.good_probes >= GOOD_PROBES {
            self.clear(id);
        }
    }

    /// Re-admits idle suspects that have been due for a probe for long: the pool has no job that
    /// could probe them. The next slow or failed attempt makes such a target a suspect again.
    pub(crate) fn readmit_idle(&mut self, now: Instant) {
        if self.suspects == 0 {
            return;
        }
        for index in 0..self.places.len() {
            let id = PlaceId(index as u32);
            let place = &self.places[id];
            let is_due = |s: Suspicion| !s.is_probing && now >= s.probe_at + PROBE_PATIENCE;
            if place.in_flight == 0 && place.suspicion.is_some_and(is_due) {
                self.clear(id);
            }
        }
    }

    fn clear(&mut self, id: PlaceId) {
        let place = &mut self.places[id];
        place.suspicion = None;
        place.points = 0;
        place.ratio = 256;
        place.answers = 0;
        self.recount();
    }
}
