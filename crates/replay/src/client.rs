//! Requests on their way between clients and entries, and what the clients are told.

use ebonypass_core::id::{CentreId, Key};
use ebonypass_core::outcome::Outcome;
use ebonypass_core::pool::Report;
use ebonypass_core::time::Instant;

use crate::model::{Event, Model, REFUSAL_BYTES};
use crate::strategy::{CLIENT_DELAY, RequestId, Strategy};

impl<S: Strategy> Model<'_, S> {
    pub(crate) fn arrive(&mut self, request: RequestId) {
        self.open += 1;
        self.tally.arrived(self.arrival(request));
        self.send_to_entry(request);
    }

    fn send_to_entry(&mut self, request: RequestId) {
        let inquiry = self.inquiry(request);
        let bytes = self.arrival(request).request_bytes;
        let centre = self.strategy.entry(&inquiry, &self.alive);
        match centre.and_then(|centre| Some((centre, self.travel(inquiry.centre, centre, bytes)?)))
        {
            Some((centre, at)) => self.add(at + CLIENT_DELAY, Event::Entered(request, centre)),
            None => self.tell(request, Outcome::NotRun, self.now + CLIENT_DELAY),
        }
    }

    pub(crate) fn entered(&mut self, request: RequestId, centre: CentreId) {
        if !self.alive[centre.index()] {
            self.send_to_entry(request);
            return;
        }
        self.requests[request.0 as usize].entry = Some(self.place(centre));
        let inquiry = self.inquiry(request);
        self.decide(|strategy, now, out| strategy.arrive(now, centre, &inquiry, out));
    }

    pub(crate) fn forwarded(&mut self, request: RequestId, centre: CentreId) {
        let state = self.requests[request.0 as usize];
        let Some(entry) = state.entry.filter(|_| state.told.is_none()) else { return };
        if state.holder.is_none_or(|holder| holder.centre != centre) {
            return;
        }
        if !self.alive[centre.index()] {
            self.requests[request.0 as usize].holder = None;
            let at = self.travel(centre, entry.centre, REFUSAL_BYTES).unwrap_or(self.now);
            self.add(at, Event::Returned(request, Outcome::NotRun));
            return;
        }
        self.requests[request.0 as usize].holder = Some(self.place(centre));
        let inquiry = self.inquiry(request);
        self.decide(|strategy, now, out| strategy.forwarded(now, centre, &inquiry, out));
    }

    pub(crate) fn returned(&mut self, request: RequestId, outcome: Outcome) {
        if self.requests[request.0 as usize].told.is_some() {
            return;
        }
        let inquiry = self.inquiry(request);
        self.decide(|strategy, now, out| strategy.returned(now, &inquiry, outcome, out));
    }

    pub(crate) fn forward(&mut self, request: RequestId, to: CentreId) {
        let Some(entry) = self.requests[request.0 as usize].entry else { return };
        let bytes = self.arrival(request).request_bytes;
        match self.travel(entry.centre, to, bytes) {
            Some(at) => {
                self.requests[request.0 as usize].holder = Some(self.place(to));
                self.add(at, Event::Forwarded(request, to));
            }
            None => self.add(self.now, Event::Returned(request, Outcome::NotRun)),
        }
    }

    pub(crate) fn give_back(&mut self, request: RequestId, outcome: Outcome) {
        let state = self.requests[request.0 as usize];
        let (Some(entry), Some(holder)) = (state.entry, state.holder) else { return };
        if state.told.is_some() {
            return;
        }
        self.requests[request.0 as usize].holder = None;
        let bytes = self.reply_bytes(request, outcome);
        if let Some(at) = self.travel(holder.centre, entry.centre, bytes) {
            self.add(at, Event::Returned(request, outcome));
        }
    }

    fn reply_bytes(&self, request: RequestId, outcome: Outcome) -> u64 {
        if outcome == Outcome::Answered { self.arrival(request).reply_bytes } else { REFUSAL_BYTES }
    }

    pub(crate) fn finish(&mut self, request: RequestId, outcome: Outcome) {
        let state = self.requests[request.0 as usize];
        let Some(entry) = state.entry.filter(|_| state.told.is_none()) else { return };
        let centre = self.arrival(request).centre;
        let bytes = self.reply_bytes(request, outcome);
        let at = self.travel(entry.centre, centre, bytes).unwrap_or(self.now);
        self.tell(request, outcome, at + CLIENT_DELAY);
    }

    /// Closes the request: its client learns `outcome` at `at`.
    pub(crate) fn tell(&mut self, request: RequestId, outcome: Outcome, at: Instant) {
        self.open -= 1;
        self.requests[request.0 as usize].told = Some(outcome);
        let attempts = self.dispatched[request.0 as usize].iter();
        let mut attempts = attempts.map(|&index| &self.attempts[index as usize]);
        let has_started = attempts.clone().any(|attempt| attempt.started.is_some());
        let winner = attempts
            .find(|attempt| attempt.is_delivered && attempt.report == Some(Report::Answered));
        let used = winner.and_then(|attempt| Some((attempt.started?, attempt.ended?)));
        self.tally.told(self.arrival(request), outcome, at, used);
        if outcome == Outcome::Answered && winner.is_none() {
            self.checks.wrong_answered += 1;
        }
        if outcome == Outcome::NotRun && has_started {
            self.note_wrong(request);
        }
    }

    /// Counts a request that ran although its client was told that it did not.
    pub(crate) fn note_wrong(&mut self, request: RequestId) {
        let state = &mut self.requests[request.0 as usize];
        if !state.is_wrong {
            state.is_wrong = true;
            self.checks.wrong_not_run += 1;
        }
    }
}
