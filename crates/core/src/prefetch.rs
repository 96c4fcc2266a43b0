//! Prefetch: while all slots are in use and jobs wait, a distant target gets one request more than it
//! has slots. The request waits in the target's own queue.
//!
//! Without prefetch, a slot of a target in another data centre stays idle for a round trip between
//! two requests, 3 ms within a region.
//!
//! The target then holds more requests than slots, and work of other regions added to that would
//! overload this region. Therefore:
//!
//! - Nothing is prefetched while the pool holds work of other regions or has granted
//!   [credit](crate::credit), the permission to send such work.
//! - [`Pool::free_slots`] is zero while a prefetched job has not started.
//! - If work of other regions arrives without credit, one slot stays free for each prefetched job
//!   that has not started.

use crate::choice::{self, TargetIndex};
use crate::id::TargetId;
use crate::job::{ActiveAttempt, JobId};
use crate::pool::{Action, Attempt, Pool};
use crate::queue::LaneId;
use crate::time::Instant;

/// The prefetch state of a target.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Prefetch {
    is_enabled: bool,
    /// The prefetched attempt that has not started.
    pending: Option<(JobId, Attempt)>,
}

impl Pool {
    /// Sets whether `target`, which [`Pool::set_target`] has added, may get one request more than it
    /// has slots. The target must queue requests that arrive while all its slots are in use.
    pub fn set_prefetch(&mut self, now: Instant, target: TargetId, is_enabled: bool) {
        self.now = now;
        if let Some(index) = self.targets.table.find(|known| known.id == target) {
            self.targets.table[index].prefetch.is_enabled = is_enabled;
        }
    }

    /// Tells the pool whether it serves its own region only: it holds no work of clients of other
    /// regions and has granted no credit. Until the first call, the pool assumes that it serves
    /// others too. Call this with `false` before offering work of another region.
    pub fn set_own_region_only(&mut self, now: Instant, is_own_region_only: bool) {
        self.now = now;
        self.targets.is_own_region_only = is_own_region_only;
    }

    /// Dispatches the next waiting job of a short kind to a target without a free slot.
    pub(crate) fn next_prefetch(&mut self, now: Instant) -> Option<Action> {
        if !self.targets.is_own_region_only || self.queue.len() == 0 || self.targets.has_free_slot()
        {
            return None;
        }
        let target_index = self.targets.choose_prefetch_target(now)?;
        let lanes = self.queue.backlogged().iter().copied();
        let eligible = lanes.filter(|&lane| self.can_prefetch(now, lane));
        let lane = eligible.min_by_key(|&lane| self.queue.start_tag(lane))?;
        let id = self.queue[lane].head();
        let action = self.dispatch(now, lane, target_index, false);
        let active = self.jobs[id].active_attempts.iter_mut().flatten().next()?;
        active.is_prefetched = true;
        self.targets.table[target_index].prefetch.pending = Some((id, active.attempt));
        self.targets.unstarted_prefetches += 1;
        self.arm_timer(id);
        Some(action)
    }

    /// Whether the first job of `lane` is of a short kind with a known slot time, has no failed attempt
    /// and can be answered in time.
    fn can_prefetch(&self, now: Instant, lane: LaneId) -> bool {
        let id = self.queue[lane].head();
        let cost = &self.costs[self.queue[lane].cost()];
        cost.is_known()
            && !cost.is_long()
            && self.jobs[id].tried_targets == 0
            && !self.is_too_late(now, id)
    }

    /// Updates the prefetched attempt of a target after attempt `ended` has freed a slot there: it
    /// starts now, unless it is `ended` itself.
    pub(crate) fn update_prefetch(&mut self, now: Instant, ended: &ActiveAttempt) {
        let pending = &mut self.targets.table[ended.target_index].prefetch.pending;
        if ended.is_prefetched {
            *pending = None;
            self.targets.unstarted_prefetches -= 1;
            return;
        }
        let Some((id, attempt)) = pending.take() else { return };
        self.targets.unstarted_prefetches -= 1;
        let active_attempts = self.jobs[id].active_attempts.iter_mut().flatten();
        for active in active_attempts.filter(|active| active.attempt == attempt) {
            active.is_prefetched = false;
            active.started_at = now;
        }
        self.arm_timer(id);
    }

    /// Disables prefetch to a target that has refused a prefetched attempt, since it has no queue.
    pub(crate) fn disable_prefetch_if(&mut self, target_index: TargetIndex, is_refused: bool) {
        self.targets.table[target_index].prefetch.is_enabled &= !is_refused;
    }
}

impl choice::Targets {
    /// The target to prefetch to: the one with the fewest suspicion points, among equals the one whose
    /// latest attempt is the oldest.
    fn choose_prefetch_target(&self, now: Instant) -> Option<TargetIndex> {
        let eligible = self.table.iter().filter(|(_, target)| {
            let Prefetch { is_enabled, pending } = target.prefetch;
            let is_full = target.in_flight == target.spec.slots;
            is_enabled && pending.is_none() && is_full && target.accepts_prefetch(now)
        });
        eligible
            .min_by_key(|(_, target)| (target.suspicion_points, target.last_attempt_number))
            .map(|(index, _)| index)
    }

    /// Slots that stay free for prefetched jobs that have not started; none while the pool serves its
    /// own region only.
    pub(crate) fn reserved_slots(&self) -> u32 {
        if self.is_own_region_only { 0 } else { self.unstarted_prefetches }
    }
}
