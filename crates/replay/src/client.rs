//! The path of a request through the model: from the client to an entry, optionally to the entry of
//! another region, and back to the client. Outcomes are checked against the attempts when a request
//! closes.

use ebonypass_core::id::{CentreId, Key};
use ebonypass_core::outcome::Outcome;
use ebonypass_core::pool::Report;
use ebonypass_core::time::Instant;

use crate::model::{EMPTY_MESSAGE_BYTES, Event, Model};
use crate::strategy::{CLIENT_DELAY, RequestId, Strategy};

impl<S: Strategy> Model<'_, S> {
    /// Handles [`Event::Arrival`]: the client sends the request.
    pub(crate) fn handle_arrival(&mut self, request: RequestId) {
        self.open_requests += 1;
        self.tally.record_arrival(self.arrival(request));
        self.send_to_entry(request);
    }

    /// Sends the request to the entry that the strategy chooses. If none is reachable, the request
    /// ends as "not run".
    fn send_to_entry(&mut self, request: RequestId) {
        let metadata = self.metadata(request);
        let bytes = self.arrival(request).request_bytes;
        let centre = self.strategy.choose_entry(&metadata, &self.alive);
        match centre
            .and_then(|centre| Some((centre, self.transmit(metadata.centre, centre, bytes)?)))
        {
            Some((centre, at)) => {
                self.schedule(at + CLIENT_DELAY, Event::EntryReached(request, centre))
            }
            None => self.close_request(request, Outcome::NotRun, self.now + CLIENT_DELAY),
        }
    }

    /// Handles [`Event::EntryReached`]: passes the request to the strategy, or sends it to another
    /// entry if this one has failed meanwhile.
    pub(crate) fn handle_entry_reached(&mut self, request: RequestId, centre: CentreId) {
        if !self.alive[centre.index()] {
            self.send_to_entry(request);
            return;
        }
        self.requests[request.0 as usize].entry = Some(self.current_incarnation(centre));
        let metadata = self.metadata(request);
        self.call_strategy(|strategy, now, commands| {
            strategy.handle_request(now, centre, &metadata, commands)
        });
    }

    /// Handles [`Event::Forwarded`] at the entry in `centre`: passes the request to the strategy,
    /// or returns "not run" to the forwarding entry if this one has failed.
    pub(crate) fn handle_forwarded(&mut self, request: RequestId, centre: CentreId) {
        let state = self.requests[request.0 as usize];
        let Some(entry) = state.entry.filter(|_| state.outcome.is_none()) else { return };
        if state.forwarded_to.is_none_or(|remote| remote.centre != centre) {
            return;
        }
        if !self.alive[centre.index()] {
            self.requests[request.0 as usize].forwarded_to = None;
            let at = self.transmit(centre, entry.centre, EMPTY_MESSAGE_BYTES).unwrap_or(self.now);
            self.schedule(at, Event::Returned(request, Outcome::NotRun));
            return;
        }
        self.requests[request.0 as usize].forwarded_to = Some(self.current_incarnation(centre));
        let metadata = self.metadata(request);
        self.call_strategy(|strategy, now, commands| {
            strategy.handle_forwarded(now, centre, &metadata, commands)
        });
    }

    /// Handles [`Event::Returned`] at the entry that forwarded the request: passes the outcome to
    /// the strategy.
    pub(crate) fn handle_returned(&mut self, request: RequestId, outcome: Outcome) {
        if self.requests[request.0 as usize].outcome.is_some() {
            return;
        }
        let metadata = self.metadata(request);
        self.call_strategy(|strategy, now, commands| {
            strategy.handle_returned(now, &metadata, outcome, commands)
        });
    }

    /// Executes [`Command::Forward`](crate::strategy::Command::Forward): sends the request from its
    /// entry to the one in `to`. Without a link it returns "not run" at once.
    pub(crate) fn forward(&mut self, request: RequestId, to: CentreId) {
        let Some(entry) = self.requests[request.0 as usize].entry else { return };
        let bytes = self.arrival(request).request_bytes;
        match self.transmit(entry.centre, to, bytes) {
            Some(at) => {
                self.requests[request.0 as usize].forwarded_to = Some(self.current_incarnation(to));
                self.schedule(at, Event::Forwarded(request, to));
            }
            None => self.schedule(self.now, Event::Returned(request, Outcome::NotRun)),
        }
    }

    /// Executes [`Command::Return`](crate::strategy::Command::Return): sends the outcome from the
    /// entry that the request was forwarded to back to the entry that forwarded it.
    pub(crate) fn return_outcome(&mut self, request: RequestId, outcome: Outcome) {
        let state = self.requests[request.0 as usize];
        let (Some(entry), Some(remote)) = (state.entry, state.forwarded_to) else { return };
        if state.outcome.is_some() {
            return;
        }
        self.requests[request.0 as usize].forwarded_to = None;
        let bytes = self.reply_bytes(request, outcome);
        if let Some(at) = self.transmit(remote.centre, entry.centre, bytes) {
            self.schedule(at, Event::Returned(request, outcome));
        }
    }

    fn reply_bytes(&self, request: RequestId, outcome: Outcome) -> u64 {
        if outcome == Outcome::Answered {
            self.arrival(request).reply_bytes
        } else {
            EMPTY_MESSAGE_BYTES
        }
    }

    /// Executes [`Command::Reply`](crate::strategy::Command::Reply): sends the outcome from the
    /// client's entry to the client.
    pub(crate) fn reply(&mut self, request: RequestId, outcome: Outcome) {
        let state = self.requests[request.0 as usize];
        let Some(entry) = state.entry.filter(|_| state.outcome.is_none()) else { return };
        let centre = self.arrival(request).centre;
        let bytes = self.reply_bytes(request, outcome);
        let at = self.transmit(entry.centre, centre, bytes).unwrap_or(self.now);
        self.close_request(request, outcome, at + CLIENT_DELAY);
    }

    /// Closes the request and records `outcome`, which the client receives at `at`, now or later.
    /// Counts outcomes that contradict the attempts.
    pub(crate) fn close_request(&mut self, request: RequestId, outcome: Outcome, at: Instant) {
        self.open_requests -= 1;
        self.requests[request.0 as usize].outcome = Some(outcome);
        let attempts = self.attempts_by_request[request.0 as usize].iter();
        let mut attempts = attempts.map(|&index| &self.attempts[index as usize]);
        let has_started = attempts.clone().any(|attempt| attempt.started.is_some());
        let answered_attempt = attempts
            .find(|attempt| attempt.has_reached_entry && attempt.report == Some(Report::Answered));
        let slot_interval =
            answered_attempt.and_then(|attempt| Some((attempt.started?, attempt.ended?)));
        self.tally.record_reply(self.arrival(request), outcome, at, slot_interval);
        if outcome == Outcome::Answered && answered_attempt.is_none() {
            self.violations.wrong_answered += 1;
        }
        if outcome == Outcome::NotRun && has_started {
            self.count_wrong_not_run(request);
        }
    }

    /// Counts a request that ran although the client was told "not run", once per request.
    pub(crate) fn count_wrong_not_run(&mut self, request: RequestId) {
        let state = &mut self.requests[request.0 as usize];
        if !state.is_counted_as_wrong_not_run {
            state.is_counted_as_wrong_not_run = true;
            self.violations.wrong_not_run += 1;
        }
    }
}
