//! Dispatches, probes and hedges.

use crate::choice::{TargetIndex, target_bit};
use crate::id::TargetId;
use crate::job::{ActiveAttempt, JobId, Phase, Record};
use crate::outcome::Reason;
use crate::pool::{Action, Attempt, Pool, Ticket};
use crate::queue::LaneId;
use crate::time::{Instant, Span};

/// Slots kept free for short kinds, as a multiple of their recent use.
const SHORT_KIND_HEADROOM: f64 = 1.3;
/// Another long job may start while at least this many long jobs wait for each one in flight, even
/// if it takes slots from the headroom of short kinds.
const WAITING_PER_LONG_IN_FLIGHT: u32 = 2;

impl Pool {
    /// Dispatches the next waiting job in fair order, if a target has a slot for it.
    pub(crate) fn next_dispatch(&mut self, now: Instant) -> Option<Action> {
        if self.queue.len() == 0 || !self.targets.has_free_slot() {
            return None;
        }
        let (lane, target_index) = self.choose_next_lane(now)?;
        let id = self.queue[lane].head();
        if self.is_too_late(now, id) {
            self.queue.remove(id);
            self.close_unanswered(id, Reason::DeadlinePassed);
            return self.pending_actions.pop_front();
        }
        Some(self.dispatch(now, lane, target_index, false))
    }

    /// The backlogged lane with the smallest start tag whose first job finds a target, and the target.
    fn choose_next_lane(&mut self, now: Instant) -> Option<(LaneId, TargetIndex)> {
        // For a first attempt, which most are, the choice depends only on whether the kind is long.
        let short = self.targets.choose(now, false, 0);
        let may_start_long = self.may_start_long(now);
        let long = may_start_long.then(|| self.targets.choose(now, true, 0)).flatten();
        let mut best: Option<(u64, LaneId, TargetIndex)> = None;
        for &lane in self.queue.backlogged() {
            let tag = self.queue.start_tag(lane);
            if best.is_some_and(|(best, ..)| best <= tag) {
                continue;
            }
            let is_long = self.costs[self.queue[lane].cost()].is_long();
            let target_index = match self.jobs[self.queue[lane].head()].tried_targets {
                _ if is_long && !may_start_long => None,
                0 if is_long => long,
                0 => short,
                tried_targets => self.targets.choose(now, is_long, tried_targets),
            };
            if let Some(target_index) = target_index {
                best = Some((tag, lane, target_index));
            }
        }
        best.map(|(_, lane, target_index)| (lane, target_index))
    }

    /// Whether a job of a long kind may start: long kinds leave free the slots that short kinds are
    /// likely to need, unless so many long jobs wait that those in flight cannot keep up.
    fn may_start_long(&mut self, now: Instant) -> bool {
        let (queue, costs) = (&self.queue, &self.costs);
        let is_long = |lane: LaneId| costs[queue[lane].cost()].is_long();
        let waiting = queue.backlogged().iter().filter(|&&lane| is_long(lane));
        let waiting: u32 = waiting.map(|&lane| queue[lane].len()).sum();
        let in_flight = self.targets.long_in_flight();
        if waiting == 0 || in_flight * WAITING_PER_LONG_IN_FLIGHT <= waiting {
            return waiting > 0;
        }
        let short_use = self.usage.slots_used(now, |lane| !is_long(lane));
        let spare = f64::from(self.targets.usable_slots()) - short_use * SHORT_KIND_HEADROOM;
        f64::from(in_flight + 1) <= spare
    }

    /// Whether the answer is more likely to come after the deadline than before it.
    pub(crate) fn is_too_late(&self, now: Instant, id: JobId) -> bool {
        let record = &self.jobs[id];
        now + self.costs[record.cost].median() > record.job.deadline
    }

    /// Dispatches the first idempotent job of a short kind to a suspect that is due for a probe. The
    /// hedge budget must allow a hedge, since the probe needs one if the target is still slow.
    pub(crate) fn next_probe(&mut self, now: Instant) -> Option<Action> {
        if !self.targets.has_suspect() || self.queue.len() == 0 {
            return None;
        }
        let is_last_resort = self.targets.usable_slots() == 0;
        if !is_last_resort && !self.hedge_budget.can_withdraw() {
            return None;
        }
        let target_index = self.targets.choose_probe_target(now)?;
        let lanes = self.queue.backlogged().iter().copied();
        let eligible = lanes.filter(|&lane| is_last_resort || self.can_probe(now, lane));
        let eligible = eligible.filter(|&lane| self.jobs[self.queue[lane].head()].job.idempotent);
        let lane = eligible.min_by_key(|&lane| self.queue.start_tag(lane))?;
        Some(self.dispatch(now, lane, target_index, true))
    }

    /// Whether the first job of `lane` is short, and its deadline leaves time for a hedge.
    fn can_probe(&self, now: Instant, lane: LaneId) -> bool {
        let cost = &self.costs[self.queue[lane].cost()];
        let left = self.jobs[self.queue[lane].head()].job.deadline.since(now);
        !cost.is_long() && cost.p90() + cost.median() < left
    }

    pub(crate) fn dispatch(
        &mut self,
        now: Instant,
        lane: LaneId,
        target_index: TargetIndex,
        is_probe: bool,
    ) -> Action {
        let charge = self.costs[self.queue[lane].cost()].mean();
        let id = self.queue.pop(lane, charge);
        self.usage.add(now, lane, charge);
        self.hedge_budget.deposit();
        self.retry_budget.deposit();
        let (ticket, attempt, target) = self.start_attempt(now, id, target_index, charge, is_probe);
        Action::Dispatch { ticket, attempt, target }
    }

    /// Dispatches a second attempt of the job that has waited longest for one.
    pub(crate) fn next_hedge(&mut self, now: Instant) -> Option<Action> {
        if !self.hedge_budget.can_withdraw() || !self.targets.has_free_slot() {
            return None;
        }
        for _ in 0..self.hedge_queue.len() {
            let ticket = *self.hedge_queue.front()?;
            let Some((id, active)) = self.hedge_candidate(ticket) else {
                self.hedge_queue.pop_front();
                continue;
            };
            // While jobs wait, a hedge takes a slot from one of them, so only suspects justify it.
            let is_due = self.queue.len() == 0 || self.targets.is_suspect(active.target_index);
            let avoid = target_bit(active.target_index);
            let target_index =
                is_due.then(|| self.targets.choose(now, active.is_long, avoid)).flatten();
            let Some(target_index) = target_index else {
                self.hedge_queue.rotate_left(1);
                continue;
            };
            self.hedge_queue.pop_front();
            self.jobs[id].is_hedge_requested = false;
            if target_index == active.target_index || self.is_too_late(now, id) {
                continue;
            }
            self.hedge_budget.try_withdraw();
            let (ticket, attempt, target) =
                self.start_attempt(now, id, target_index, Span::ZERO, false);
            return Some(Action::Hedge { ticket, attempt, target });
        }
        None
    }

    /// The job of a ticket in the hedge queue and its only attempt in flight, unless the job no
    /// longer needs a hedge.
    fn hedge_candidate(&self, ticket: Ticket) -> Option<(JobId, ActiveAttempt)> {
        let id = self.jobs.find(ticket)?;
        let record = &self.jobs[id];
        let is_candidate = record.phase == Phase::Running && record.is_hedge_requested;
        let mut active_attempts = record.active_attempts();
        let active = *active_attempts.next()?;
        (is_candidate && active_attempts.next().is_none()).then_some((id, active))
    }

    /// Adds a job to the hedge queue, if it may have a second attempt and has none.
    pub(crate) fn request_hedge(&mut self, id: JobId) {
        let limit = self.config.attempt_limit;
        let record = &mut self.jobs[id];
        let may_hedge = record.phase == Phase::Running
            && record.job.idempotent
            && !record.is_hedge_requested
            && record.active_attempts().count() == 1
            && record.attempts < limit;
        if may_hedge {
            record.is_hedge_requested = true;
            if self.hedge_queue.len() == self.hedge_queue.capacity() {
                self.prune_hedge_queue();
            }
            self.hedge_queue.push_back(self.jobs.ticket(id));
        }
    }

    /// Removes jobs that no longer need a hedge, so that the queue stays bounded while the budget is
    /// empty.
    fn prune_hedge_queue(&mut self) {
        let mut hedge_queue = std::mem::take(&mut self.hedge_queue);
        hedge_queue.retain(|&ticket| self.hedge_candidate(ticket).is_some());
        self.hedge_queue = hedge_queue;
    }

    fn start_attempt(
        &mut self,
        now: Instant,
        id: JobId,
        target_index: TargetIndex,
        charged: Span,
        is_probe: bool,
    ) -> (Ticket, Attempt, TargetId) {
        let record: &mut Record = &mut self.jobs[id];
        let is_long = self.costs[record.cost].is_long();
        let attempt = Attempt(record.attempts);
        record.phase = Phase::Running;
        record.add_active(ActiveAttempt {
            attempt,
            target_index,
            started_at: now,
            charged,
            checkpoints_passed: 0,
            is_long,
            is_probe,
            is_cancelled: false,
            is_prefetched: false,
        });
        self.targets.start_attempt(target_index, is_long, is_probe);
        self.arm_timer(id);
        (self.jobs.ticket(id), attempt, self.targets.target_id(target_index))
    }
}
