//! Prefetch: a distant target gets one request more than it has slots, which it queues itself.
//!
//! Otherwise a slot of a target in another data centre stays idle for a round trip between two
//! requests, 3 ms within a region. While all slots are in use and jobs wait, such a target gets one
//! job ahead.
//!
//! The target then holds more requests than slots, and work of other regions added to that would
//! overload this region. So nothing is prefetched while the pool holds such work or has granted credit;
//! [`Pool::free_slots`] is zero while a prefetched job has not started; and if such work arrives
//! without credit, one slot stays free for each prefetched job.

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
    active: Option<(JobId, Attempt)>,
}

impl Pool {
    /// Sets whether `target`, which [`Pool::set_target`] has added, may get a job ahead. The target
    /// must queue requests that arrive while all its slots are in use.
    pub fn set_prefetch(&mut self, now: Instant, target: TargetId, is_enabled: bool) {
        self.now = now;
        if let Some(index) = self.targets.targets.find(|known| known.id == target) {
            self.targets.targets[index].prefetch.is_enabled = is_enabled;
        }
    }

    /// Sets whether the pool serves its own region only: it holds no work of clients of other
    /// regions and has granted no credit. It counts as shared until this is called, and must
    /// be told before work of another region is offered.
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
        self.targets.targets[target_index].prefetch.active = Some((id, active.attempt));
        self.targets.prefetched += 1;
        self.arm(id);
        Some(action)
    }

    /// Whether the first job of `lane` is short, has no failed attempt and can be answered in time.
    fn can_prefetch(&self, now: Instant, lane: LaneId) -> bool {
        let id = self.queue[lane].head();
        let cost = &self.costs[self.queue[lane].cost()];
        cost.is_known()
            && !cost.is_long()
            && self.jobs[id].tried_targets == 0
            && !self.is_too_late(now, id)
    }

    /// Handles that `ended` has freed a slot of its target, where a prefetched job starts now.
    pub(crate) fn start_prefetched(&mut self, now: Instant, ended: &ActiveAttempt) {
        let pending = &mut self.targets.targets[ended.target_index].prefetch.active;
        if ended.is_prefetched {
            *pending = None;
            self.targets.prefetched -= 1;
            return;
        }
        let Some((id, attempt)) = pending.take() else { return };
        self.targets.prefetched -= 1;
        let active_attempts = self.jobs[id].active_attempts.iter_mut().flatten();
        for active in active_attempts.filter(|active| active.attempt == attempt) {
            active.is_prefetched = false;
            active.started_at = now;
        }
        self.arm(id);
    }

    /// Handles the end of a prefetched attempt that was not known to have started. Its duration says
    /// nothing; a target that refuses it has no queue.
    pub(crate) fn end_prefetched(&mut self, target_index: TargetIndex, is_refused: bool) {
        self.targets.targets[target_index].prefetch.is_enabled &= !is_refused;
    }
}

impl choice::Targets {
    /// The target to prefetch to: the one with the fewest suspicion points, then chosen longest ago.
    fn choose_prefetch_target(&self, now: Instant) -> Option<TargetIndex> {
        let eligible = self.targets.iter().filter(|(_, target)| {
            let Prefetch { is_enabled, active } = target.prefetch;
            let is_full = target.in_flight == target.spec.slots;
            is_enabled && active.is_none() && is_full && target.accepts_prefetch(now)
        });
        eligible
            .min_by_key(|(_, target)| (target.suspicion_points, target.last_chosen))
            .map(|(id, _)| id)
    }

    /// Slots that stay free for prefetched jobs that have not started.
    pub(crate) fn reserved_slots(&self) -> u32 {
        if self.is_own_region_only { 0 } else { self.prefetched }
    }
}
