//! Dispatches, probes and hedges.

use crate::choice::{PlaceId, place_bit};
use crate::id::TargetId;
use crate::job::{Flight, JobId, Phase, Record};
use crate::outcome::Reason;
use crate::pool::{Action, Attempt, Pool, Ticket};
use crate::queue::LaneId;
use crate::time::{Instant, Span};

/// Slots kept for the short kinds, as a multiple of what they used lately.
const SHORT_HEADROOM: f64 = 1.3;
/// Waiting long jobs for each one in flight that make it one more in flight.
const LONG_PRESSURE: u32 = 2;

impl Pool {
    /// Sends the waiting job whose turn it is, if a target has a slot for it.
    pub(crate) fn next_dispatch(&mut self, now: Instant) -> Option<Action> {
        if self.queue.len() == 0 || !self.places.has_free_slot() {
            return None;
        }
        let (lane, place) = self.next_turn(now)?;
        let id = self.queue[lane].head();
        if self.is_too_late(now, id) {
            self.queue.remove(id);
            self.close_unanswered(id, Reason::DeadlinePassed);
            return self.outbox.pop_front();
        }
        Some(self.dispatch(now, lane, place, false))
    }

    /// The waiting lane with the smallest tag whose first job has a place, and that place.
    fn next_turn(&mut self, now: Instant) -> Option<(LaneId, PlaceId)> {
        // Most jobs were tried nowhere yet; for these the choice depends on the length only.
        let short = self.places.choose(now, false, 0);
        let may_start_long = self.may_start_long(now);
        let long = may_start_long.then(|| self.places.choose(now, true, 0)).flatten();
        let mut best: Option<(u64, LaneId, PlaceId)> = None;
        for &lane in self.queue.waiting() {
            let tag = self.queue.tag(lane);
            if best.is_some_and(|(best, ..)| best <= tag) {
                continue;
            }
            let is_long = self.costs[self.queue[lane].cost()].is_long();
            let place = match self.jobs[self.queue[lane].head()].tried {
                _ if is_long && !may_start_long => None,
                0 if is_long => long,
                0 => short,
                tried => self.places.choose(now, is_long, tried),
            };
            if let Some(place) = place {
                best = Some((tag, lane, place));
            }
        }
        best.map(|(_, lane, place)| (lane, place))
    }

    /// Whether a job of a long kind may start: the slots that the short kinds are likely to need
    /// stay free of long kinds, unless so many long jobs wait that the slots in use cannot keep up.
    fn may_start_long(&mut self, now: Instant) -> bool {
        let (queue, costs) = (&self.queue, &self.costs);
        let is_long = |lane: LaneId| costs[queue[lane].cost()].is_long();
        let waiting = queue.waiting().iter().filter(|&&lane| is_long(lane));
        let waiting: u32 = waiting.map(|&lane| queue[lane].len()).sum();
        let in_flight = self.places.long_in_flight();
        if waiting == 0 || in_flight * LONG_PRESSURE <= waiting {
            return waiting > 0;
        }
        let short_use = self.demand.total(now, |lane| !is_long(lane));
        let spare = f64::from(self.places.usable_slots()) - short_use * SHORT_HEADROOM;
        f64::from(in_flight + 1) <= spare
    }

    /// Whether the answer would more likely come after the deadline than before it.
    pub(crate) fn is_too_late(&self, now: Instant, id: JobId) -> bool {
        let record = &self.jobs[id];
        now + self.costs[record.cost].median() > record.job.deadline
    }

    /// Sends the first idempotent job of a short kind to a suspect that is due for a probe. The
    /// hedge budget must have room, since the probe is hedged if the target is still slow.
    pub(crate) fn next_probe(&mut self, now: Instant) -> Option<Action> {
        if !self.places.has_suspect() || self.queue.len() == 0 {
            return None;
        }
        let is_last_resort = self.places.usable_slots() == 0;
        if !is_last_resort && !self.hedge_budget.has_room() {
            return None;
        }
        let place = self.places.choose_probe(now)?;
        let lanes = self.queue.waiting().iter().copied();
        let fit = lanes.filter(|&lane| is_last_resort || self.can_probe(now, lane));
        let fit = fit.filter(|&lane| self.jobs[self.queue[lane].head()].job.idempotent);
        let lane = fit.min_by_key(|&lane| self.queue.tag(lane))?;
        Some(self.dispatch(now, lane, place, true))
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
        place: PlaceId,
        is_probe: bool,
    ) -> Action {
        let charge = self.costs[self.queue[lane].cost()].mean();
        let id = self.queue.pop(lane, charge);
        self.demand.add(now, lane, charge);
        self.hedge_budget.earn();
        self.retry_budget.earn();
        let (ticket, attempt, target) = self.launch(now, id, place, charge, is_probe);
        Action::Dispatch { ticket, attempt, target }
    }

    /// Sends a second attempt for the job that has waited longest for one.
    pub(crate) fn next_hedge(&mut self, now: Instant) -> Option<Action> {
        if !self.hedge_budget.has_room() || !self.places.has_free_slot() {
            return None;
        }
        for _ in 0..self.hedges.len() {
            let ticket = *self.hedges.front()?;
            let Some((id, flight)) = self.hedge_wish(ticket) else {
                self.hedges.pop_front();
                continue;
            };
            // While jobs wait, a second attempt of a merely unlucky one would cost another its turn.
            let is_due = self.queue.len() == 0 || self.places.is_suspect(flight.place);
            let avoid = place_bit(flight.place);
            let place = is_due.then(|| self.places.choose(now, flight.is_long, avoid)).flatten();
            let Some(place) = place else {
                self.hedges.rotate_left(1);
                continue;
            };
            self.hedges.pop_front();
            self.jobs[id].wants_hedge = false;
            if place == flight.place || self.is_too_late(now, id) {
                continue;
            }
            self.hedge_budget.take();
            let (ticket, attempt, target) = self.launch(now, id, place, Span::ZERO, false);
            return Some(Action::Hedge { ticket, attempt, target });
        }
        None
    }

    /// The job of a ticket in the list of hedges and its only attempt in flight, unless the job
    /// no longer needs a hedge.
    fn hedge_wish(&self, ticket: Ticket) -> Option<(JobId, Flight)> {
        let id = self.jobs.find(ticket)?;
        let record = &self.jobs[id];
        let is_wish = record.phase == Phase::Running && record.wants_hedge;
        let mut flights = record.flights();
        let flight = *flights.next()?;
        (is_wish && flights.next().is_none()).then_some((id, flight))
    }

    /// Puts a job on the list of hedges, if it may have a second attempt and has none.
    pub(crate) fn want_hedge(&mut self, id: JobId) {
        let limit = self.config.attempt_limit;
        let record = &mut self.jobs[id];
        let may_hedge = record.phase == Phase::Running
            && record.job.idempotent
            && !record.wants_hedge
            && record.flights().count() == 1
            && record.attempts < limit;
        if may_hedge {
            record.wants_hedge = true;
            if self.hedges.len() == self.hedges.capacity() {
                self.prune_hedges();
            }
            self.hedges.push_back(self.jobs.ticket(id));
        }
    }

    /// Removes jobs that no longer need a hedge from the list, which would grow otherwise while
    /// the budget is empty.
    fn prune_hedges(&mut self) {
        let mut hedges = std::mem::take(&mut self.hedges);
        hedges.retain(|&ticket| self.hedge_wish(ticket).is_some());
        self.hedges = hedges;
    }

    fn launch(
        &mut self,
        now: Instant,
        id: JobId,
        place: PlaceId,
        charged: Span,
        is_probe: bool,
    ) -> (Ticket, Attempt, TargetId) {
        let record: &mut Record = &mut self.jobs[id];
        let is_long = self.costs[record.cost].is_long();
        let attempt = Attempt(record.attempts);
        record.phase = Phase::Running;
        record.add_flight(Flight {
            attempt,
            place,
            started: now,
            charged,
            stage: 0,
            is_long,
            is_probe,
            is_cancelled: false,
            is_prefetched: false,
        });
        self.places.start(place, is_long, is_probe);
        self.arm(id);
        (self.jobs.ticket(id), attempt, self.places.target(place))
    }
}
