//! Reports, checkpoints and deadlines: how a job goes on and how it is closed.

use crate::choice::{PlaceId, place_bit};
use crate::cost::Cost;
use crate::job::{Flight, JobId, Phase};
use crate::outcome::Reason;
use crate::pool::{Action, Attempt, Pool, Report, Ticket, Verdict};
use crate::suspect::STAGE_POINTS;
use crate::time::{Instant, Span};

/// The checkpoint at which an attempt is hedged, and that of a probe.
const HEDGE_STAGE: u8 = 2;
const PROBE_HEDGE_STAGE: u8 = 1;

/// Turns that an idle flow keeps, as jobs of the shortest kind on each slot.
const CREDIT_PER_SLOT: u64 = 2;

impl Pool {
    /// Takes in what became of an attempt.
    pub fn report(
        &mut self,
        now: Instant,
        ticket: Ticket,
        attempt: Attempt,
        report: Report,
    ) -> Verdict {
        self.now = now;
        let Some(id) = self.jobs.find(ticket) else { return Verdict::Ignored };
        let Some(flight) = self.jobs[id].take_flight(attempt) else { return Verdict::Ignored };
        self.end_flight(now, id, &flight, report);
        if self.jobs[id].phase == Phase::Closed {
            self.release_if_done(id);
            return Verdict::Ignored;
        }
        if report == Report::Answered {
            self.close(id);
            return Verdict::Settled;
        }
        let record = &mut self.jobs[id];
        // A full target that refused a job ahead may take it once it has a free slot.
        if !(flight.is_prefetched && report == Report::Shed) {
            record.tried |= place_bit(flight.place);
        }
        record.may_have_run |= report == Report::Lost;
        if record.is_flying() {
            self.arm(id);
        } else {
            self.retry(id, report);
        }
        Verdict::Pending
    }

    /// Goes on with a job whose last attempt in flight has failed.
    fn retry(&mut self, id: JobId, report: Report) {
        let record = &self.jobs[id];
        let may_retry = record.attempts < self.config.attempt_limit
            && match report {
                Report::Lost => record.job.idempotent && self.retry_budget.take(),
                _ => true,
            };
        if !may_retry {
            self.close_unanswered(id, Reason::Shed);
        } else if self.places.ready_slots() == 0 {
            self.close_unanswered(id, Reason::NoTarget);
        } else {
            let record = &mut self.jobs[id];
            record.phase = Phase::Queued;
            record.wants_hedge = false;
            self.queue.push_front(record.lane, id);
            self.arm(id);
        }
    }

    /// Takes an attempt off its target and learns from how it ended.
    fn end_flight(&mut self, now: Instant, id: JobId, flight: &Flight, report: Report) {
        let time = now.since(flight.started);
        let (cost, lane) = (self.jobs[id].cost, self.jobs[id].lane);
        let is_suspect = self.places.is_suspect(flight.place);
        self.places.end(flight.place, flight.is_long);
        self.start_prefetched(now, flight);
        if flight.is_prefetched && !matches!(report, Report::Lost | Report::Unsent) {
            let is_refused = report == Report::Shed && !flight.is_cancelled;
            self.end_prefetched(flight.place, is_refused);
            return;
        }
        // Time on a straggler is not the flow's fault, so the expected time stays charged.
        if !is_suspect {
            self.queue.settle(lane, flight.charged, time);
        }
        if flight.is_probe {
            let is_good = report == Report::Answered && time <= self.costs[cost].p99();
            self.places.end_probe(now, flight.place, is_good);
        }
        let is_newly_suspect = match report {
            Report::Answered => {
                if !is_suspect {
                    self.costs.learn(cost, time);
                }
                self.places.answer(now, flight.place, time, &self.costs[cost])
            }
            Report::Lost | Report::Unsent if !flight.is_cancelled => {
                self.places.suspect_failed(now, flight.place)
            }
            Report::Shed if !flight.is_cancelled => {
                self.places.shed(now, flight.place);
                if self.places.ready_slots() == 0 {
                    self.refuse_all();
                }
                false
            }
            _ => {
                // A cancelled attempt took at least this long. Leaving out the losers of hedges would
                // make the kind look shorter with each hedge; one cancelled early says nothing.
                if !is_suspect && report == Report::Lost && time >= self.costs[cost].p90() {
                    self.costs.learn(cost, time);
                }
                false
            }
        };
        if is_newly_suspect {
            self.hedge_all(flight.place);
        }
        let per_slot = self.costs.shortest().times(CREDIT_PER_SLOT);
        self.queue.set_credit(per_slot.times(self.places.ready_slots().into()));
    }

    /// Asks for hedges of all jobs that are in flight on a target that became a suspect.
    fn hedge_all(&mut self, place: PlaceId) {
        for id in self.jobs.ids() {
            if self.jobs[id].flights().any(|flight| flight.place == place) {
                self.want_hedge(id);
            }
        }
    }

    /// Handles all timers up to `now`.
    pub(crate) fn fire_due(&mut self, now: Instant) {
        while let Some((at, id)) = self.timers.first() {
            if at > now {
                return;
            }
            self.fire(now, id);
        }
    }

    fn fire(&mut self, now: Instant, id: JobId) {
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
                self.arm(id);
            }
            Phase::Free | Phase::Closed => self.timers.clear(id),
        }
    }

    /// Moves the attempts of a job past the checkpoints that lie before `now`.
    fn pass_checkpoints(&mut self, now: Instant, id: JobId) {
        for slot in 0..self.jobs[id].flights.len() {
            let Some(mut flight) = self.jobs[id].flights[slot] else { continue };
            let cost = self.jobs[id].cost;
            while checkpoint(&self.costs[cost], &flight).is_some_and(|at| at <= now) {
                let is_newly_suspect = self.places.strike(now, flight.place, flight.stage);
                flight.stage += 1;
                let hedge_stage = if flight.is_probe { PROBE_HEDGE_STAGE } else { HEDGE_STAGE };
                self.jobs[id].flights[slot] = Some(flight);
                if flight.stage == hedge_stage || self.places.is_suspect(flight.place) {
                    self.want_hedge(id);
                }
                if is_newly_suspect {
                    self.hedge_all(flight.place);
                }
            }
        }
    }

    /// Sets the timer of a job to the next time at which something is due for it.
    pub(crate) fn arm(&mut self, id: JobId) {
        let record = &self.jobs[id];
        let cost = &self.costs[record.cost];
        let deadline = record.job.deadline;
        let at = match record.phase {
            // From this time on, the answer would more likely come late than in time.
            Phase::Queued => deadline - cost.median(),
            Phase::Running => {
                let next = record.flights().filter_map(|flight| checkpoint(cost, flight)).min();
                next.map_or(deadline, |next| next.min(deadline))
            }
            Phase::Free | Phase::Closed => return,
        };
        self.timers.set(id, at);
    }

    /// Closes a job that has no answer: as not run if no attempt can have run.
    pub(crate) fn close_unanswered(&mut self, id: JobId, reason: Reason) {
        let ticket = self.jobs.ticket(id);
        let record = &self.jobs[id];
        let action = if record.is_flying() {
            Action::Fail { ticket, reason: Reason::DeadlinePassedRunning }
        } else if record.may_have_run {
            Action::Fail { ticket, reason: Reason::TargetLost }
        } else {
            Action::Refuse { ticket, reason }
        };
        self.outbox.push_back(action);
        self.close(id);
    }

    /// Closes a job. Idempotent attempts in flight are cancelled; others run to their end, since a
    /// cancellation would leave the work half done.
    pub(crate) fn close(&mut self, id: JobId) {
        let ticket = self.jobs.ticket(id);
        let record = &mut self.jobs[id];
        record.phase = Phase::Closed;
        if record.job.idempotent {
            for flight in record.flights.iter_mut().flatten() {
                flight.is_cancelled = true;
                let target = self.places.target(flight.place);
                let attempt = flight.attempt;
                self.outbox.push_back(Action::Cancel { ticket, attempt, target });
            }
        }
        self.timers.clear(id);
        self.release_if_done(id);
    }

    fn release_if_done(&mut self, id: JobId) {
        if !self.jobs[id].is_flying() {
            self.jobs.release(id);
        }
    }

    /// Closes all waiting jobs, since no target is left that may take work.
    pub(crate) fn refuse_all(&mut self) {
        while let Some(&lane) = self.queue.waiting().first() {
            let id = self.queue[lane].head();
            self.queue.remove(id);
            self.close_unanswered(id, Reason::NoTarget);
        }
    }
}

/// When an attempt passes its next checkpoint: the 90th and the 99th percentile of its kind,
/// twice and three times the latter. There is none for a kind that is still unknown.
fn checkpoint(cost: &Cost, flight: &Flight) -> Option<Instant> {
    let is_last = usize::from(flight.stage) >= STAGE_POINTS.len();
    if is_last || flight.is_cancelled || flight.is_prefetched || !cost.is_known() {
        return None;
    }
    let age: Span = match flight.stage {
        0 => cost.p90(),
        1 => cost.p99(),
        stage => cost.p99().times(u64::from(stage)),
    };
    Some(flight.started + age)
}
