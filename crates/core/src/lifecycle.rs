//! Reports, checkpoints and deadlines of jobs: retries, and the closing of jobs.

use crate::choice::{TargetIndex, target_bit};
use crate::cost::Cost;
use crate::job::{ActiveAttempt, JobId, Phase};
use crate::outcome::Reason;
use crate::pool::{Action, Attempt, Pool, Report, Ticket, Verdict};
use crate::suspect::CHECKPOINT_POINTS;
use crate::time::{Instant, Span};

/// Checkpoints after which an ordinary attempt and a probe are hedged.
const HEDGE_CHECKPOINT: u8 = 2;
const PROBE_HEDGE_CHECKPOINT: u8 = 1;

/// Burst allowance of a flow, in jobs of the shortest kind for each slot.
const BURST_JOBS_PER_SLOT: u64 = 2;

impl Pool {
    /// Records how an attempt ended and returns what that means for its job.
    pub fn report(
        &mut self,
        now: Instant,
        ticket: Ticket,
        attempt: Attempt,
        report: Report,
    ) -> Verdict {
        self.now = now;
        let Some(id) = self.jobs.find(ticket) else { return Verdict::Ignored };
        let Some(active) = self.jobs[id].take_active(attempt) else { return Verdict::Ignored };
        self.finish_attempt(now, id, &active, report);
        if self.jobs[id].phase == Phase::Closed {
            self.release_if_done(id);
            return Verdict::Ignored;
        }
        if report == Report::Answered {
            self.close(id);
            return Verdict::Settled;
        }
        let record = &mut self.jobs[id];
        // A full target that refused a prefetched job may take it once it has a free slot.
        if !(active.is_prefetched && report == Report::Shed) {
            record.tried_targets |= target_bit(active.target_index);
        }
        record.may_have_run |= report == Report::Lost;
        if record.has_active_attempt() {
            self.arm_timer(id);
        } else {
            self.retry_or_close(id, report);
        }
        Verdict::Pending
    }

    /// Queues a job again whose last attempt in flight has failed, or closes it.
    fn retry_or_close(&mut self, id: JobId, report: Report) {
        let record = &self.jobs[id];
        let may_retry = record.attempts < self.config.attempt_limit
            && match report {
                Report::Lost => record.job.idempotent && self.retry_budget.try_withdraw(),
                _ => true,
            };
        if !may_retry {
            self.close_unanswered(id, Reason::Shed);
        } else if self.targets.ready_slots() == 0 {
            self.close_unanswered(id, Reason::NoTarget);
        } else {
            let record = &mut self.jobs[id];
            record.phase = Phase::Queued;
            record.is_hedge_requested = false;
            self.queue.push_front(record.lane, id);
            self.arm_timer(id);
        }
    }

    /// Frees the slot of an attempt and updates target, kind and flow by how the attempt ended.
    fn finish_attempt(&mut self, now: Instant, id: JobId, active: &ActiveAttempt, report: Report) {
        let time = now.since(active.started_at);
        let (cost, lane) = (self.jobs[id].cost, self.jobs[id].lane);
        let is_suspect = self.targets.is_suspect(active.target_index);
        self.targets.end_attempt(active.target_index, active.is_long);
        self.update_prefetch(now, active);
        if active.is_prefetched && !matches!(report, Report::Lost | Report::Unsent) {
            let is_refused = report == Report::Shed && !active.is_cancelled;
            // It may have waited at the target, so its duration doesn't show the slot time.
            self.disable_prefetch_if(active.target_index, is_refused);
            return;
        }
        // A slow target is not the flow's fault, so the flow stays charged the expected time.
        if !is_suspect {
            self.queue.correct_charge(lane, active.charged, time);
        }
        if active.is_probe {
            let is_success = report == Report::Answered && time <= self.costs[cost].p99();
            self.targets.record_probe(now, active.target_index, is_success);
        }
        let is_newly_suspect = match report {
            Report::Answered => {
                if !is_suspect {
                    self.costs.record(cost, time);
                }
                self.targets.record_answer(now, active.target_index, time, &self.costs[cost])
            }
            Report::Lost | Report::Unsent if !active.is_cancelled => {
                self.targets.suspect_after_error(now, active.target_index)
            }
            Report::Shed if !active.is_cancelled => {
                self.targets.record_shed(now, active.target_index);
                if self.targets.ready_slots() == 0 {
                    self.refuse_all_queued();
                }
                false
            }
            _ => {
                // A cancelled attempt would have taken at least this long. Ignoring the losers of
                // hedges would bias the learned time low; one cancelled early says nothing.
                if !is_suspect && report == Report::Lost && time >= self.costs[cost].p90() {
                    self.costs.record(cost, time);
                }
                false
            }
        };
        if is_newly_suspect {
            self.hedge_all_on(active.target_index);
        }
        let allowance_per_slot = self.costs.shortest().times(BURST_JOBS_PER_SLOT);
        self.queue.set_burst_allowance(allowance_per_slot.times(self.targets.ready_slots().into()));
    }

    /// Requests hedges of all jobs in flight on a target that became a suspect.
    fn hedge_all_on(&mut self, target_index: TargetIndex) {
        for id in self.jobs.ids() {
            if self.jobs[id].active_attempts().any(|active| active.target_index == target_index) {
                self.request_hedge(id);
            }
        }
    }

    /// Handles all timers up to `now`.
    pub(crate) fn handle_due_timers(&mut self, now: Instant) {
        while let Some((at, id)) = self.timers.first() {
            if at > now {
                return;
            }
            self.handle_timer(now, id);
        }
    }

    fn handle_timer(&mut self, now: Instant, id: JobId) {
        match self.jobs[id].phase {
            Phase::Queued => {
                self.queue.remove(id);
                self.close_unanswered(id, Reason::DeadlinePassed);
            }
            Phase::Running if now >= self.jobs[id].job.deadline => {
                self.close_unanswered(id, Reason::DeadlinePassedRunning);
            }
            Phase::Running => {
                self.pass_checkpoints(now, id);
                self.arm_timer(id);
            }
            Phase::Free | Phase::Closed => self.timers.clear(id),
        }
    }

    /// Moves the attempts of a job past the checkpoints that are due at `now`.
    fn pass_checkpoints(&mut self, now: Instant, id: JobId) {
        for index in 0..self.jobs[id].active_attempts.len() {
            let Some(mut active) = self.jobs[id].active_attempts[index] else { continue };
            let cost = self.jobs[id].cost;
            while next_checkpoint(&self.costs[cost], &active).is_some_and(|at| at <= now) {
                let is_newly_suspect = self.targets.record_checkpoint(
                    now,
                    active.target_index,
                    active.checkpoints_passed,
                );
                active.checkpoints_passed += 1;
                let hedge_checkpoint =
                    if active.is_probe { PROBE_HEDGE_CHECKPOINT } else { HEDGE_CHECKPOINT };
                self.jobs[id].active_attempts[index] = Some(active);
                if active.checkpoints_passed == hedge_checkpoint
                    || self.targets.is_suspect(active.target_index)
                {
                    self.request_hedge(id);
                }
                if is_newly_suspect {
                    self.hedge_all_on(active.target_index);
                }
            }
        }
    }

    /// Sets the timer of a job to its next checkpoint or its deadline.
    pub(crate) fn arm_timer(&mut self, id: JobId) {
        let record = &self.jobs[id];
        let cost = &self.costs[record.cost];
        let deadline = record.job.deadline;
        let at = match record.phase {
            // After this time, the answer is more likely to come late than in time.
            Phase::Queued => deadline - cost.median(),
            Phase::Running => {
                let next = record
                    .active_attempts()
                    .filter_map(|active| next_checkpoint(cost, active))
                    .min();
                next.map_or(deadline, |next| next.min(deadline))
            }
            Phase::Free | Phase::Closed => return,
        };
        self.timers.set(id, at);
    }

    /// Closes a job that has no answer: refused if no attempt can have run, failed otherwise.
    pub(crate) fn close_unanswered(&mut self, id: JobId, reason: Reason) {
        let ticket = self.jobs.ticket(id);
        let record = &self.jobs[id];
        let action = if record.has_active_attempt() {
            Action::Fail { ticket, reason: Reason::DeadlinePassedRunning }
        } else if record.may_have_run {
            Action::Fail { ticket, reason: Reason::TargetLost }
        } else {
            Action::Refuse { ticket, reason }
        };
        self.pending_actions.push_back(action);
        self.close(id);
    }

    /// Closes a job. Attempts in flight are cancelled if the job is idempotent; otherwise they run to
    /// their end, since a cancellation could leave the work half done.
    pub(crate) fn close(&mut self, id: JobId) {
        let ticket = self.jobs.ticket(id);
        let record = &mut self.jobs[id];
        record.phase = Phase::Closed;
        if record.job.idempotent {
            for active in record.active_attempts.iter_mut().flatten() {
                active.is_cancelled = true;
                let target = self.targets.target_id(active.target_index);
                let attempt = active.attempt;
                self.pending_actions.push_back(Action::Cancel { ticket, attempt, target });
            }
        }
        self.timers.clear(id);
        self.release_if_done(id);
    }

    fn release_if_done(&mut self, id: JobId) {
        if !self.jobs[id].has_active_attempt() {
            self.jobs.release(id);
        }
    }

    /// Refuses all waiting jobs, since no target is left that may take work.
    pub(crate) fn refuse_all_queued(&mut self) {
        while let Some(&lane) = self.queue.backlogged().first() {
            let id = self.queue[lane].head();
            self.queue.remove(id);
            self.close_unanswered(id, Reason::NoTarget);
        }
    }
}

/// When an attempt passes its next checkpoint: the 90th percentile, the 99th percentile, and two and
/// three times the 99th percentile of its kind. An unknown kind has no checkpoints.
fn next_checkpoint(cost: &Cost, active: &ActiveAttempt) -> Option<Instant> {
    let is_past_last = usize::from(active.checkpoints_passed) >= CHECKPOINT_POINTS.len();
    if is_past_last || active.is_cancelled || active.is_prefetched || !cost.is_known() {
        return None;
    }
    let age: Span = match active.checkpoints_passed {
        0 => cost.p90(),
        1 => cost.p99(),
        passed => cost.p99().times(u64::from(passed)),
    };
    Some(active.started_at + age)
}
