//! Attempts: dispatch, execution at the target, and the report back to the entry. Counts violations
//! of the invariants.

use ebonypass_core::id::{RegionId, ServiceId, TargetId};
use ebonypass_core::outcome::Outcome;
use ebonypass_core::pool::Report;

use crate::model::{Attempt, EMPTY_MESSAGE_BYTES, Event, LEAVE_LIMIT, Model};
use crate::server::AttemptIndex;
use crate::strategy::{AttemptKey, Strategy};

impl<S: Strategy> Model<'_, S> {
    pub(crate) fn dispatch(&mut self, key: AttemptKey, target: TargetId) {
        let request = self.requests[key.request.0 as usize];
        let Some(from) = request.forwarded_to.or(request.entry) else { return };
        self.count_dispatch(key, target);
        let index = self.attempts.len() as AttemptIndex;
        self.attempts.push(Attempt {
            key,
            target,
            from,
            started: None,
            ended: None,
            report: None,
            has_reached_entry: false,
        });
        self.attempts_by_request[key.request.0 as usize].push(index);
        let bytes = self.arrival(key.request).request_bytes;
        match self.transmit(from.centre, self.document.targets[target].centre, bytes) {
            Some(at) => self.schedule(at, Event::TargetReached(index)),
            None => self.send_report(index, Report::Unsent),
        }
    }

    /// Counts the dispatch and the invariants that it violates.
    fn count_dispatch(&mut self, key: AttemptKey, target: TargetId) {
        let arrival = self.arrival(key.request);
        let earlier = &self.attempts_by_request[key.request.0 as usize];
        let is_settled = |attempt: &Attempt| {
            attempt.has_reached_entry
                && matches!(attempt.report, Some(Report::Shed | Report::Unsent))
        };
        let may_have_run = earlier.iter().any(|&index| !is_settled(&self.attempts[index as usize]));
        let is_open = earlier.iter().any(|&index| !self.attempts[index as usize].has_reached_entry);
        self.tally.record_dispatch(arrival, is_open);
        if may_have_run && !arrival.idempotent {
            self.violations.duplicate_dispatches += 1;
        }
        let leaving = self.servers[target].leaving_since;
        if leaving.is_some_and(|since| self.now > since + LEAVE_LIMIT) {
            self.violations.dispatched_to_leaving += 1;
        }
    }

    pub(crate) fn cancel(&mut self, key: AttemptKey) {
        let attempts = &self.attempts_by_request[key.request.0 as usize];
        let found = attempts.iter().find(|&&index| self.attempts[index as usize].key == key);
        let Some(&index) = found else { return };
        let attempt = self.attempts[index as usize];
        let centre = self.document.targets[attempt.target].centre;
        let at = self.transmit(attempt.from.centre, centre, EMPTY_MESSAGE_BYTES);
        if let Some(at) = at {
            self.schedule(at, Event::CancelReached(index));
        }
    }

    pub(crate) fn handle_cancel(&mut self, index: AttemptIndex) {
        let attempt = self.attempts[index as usize];
        if self.servers[attempt.target].cancel(self.now, index) {
            let report = if attempt.started.is_some() { Report::Lost } else { Report::Shed };
            self.send_report(index, report);
            self.start_queued(attempt.target);
        }
    }

    pub(crate) fn handle_target_reached(&mut self, index: AttemptIndex) {
        let target = self.attempts[index as usize].target;
        let server = &mut self.servers[target];
        if server.is_down {
            self.send_report(index, Report::Unsent);
        } else if server.leaving_since.is_some() {
            self.send_report(index, Report::Shed);
        } else {
            server.push(index);
            self.check_region_overload(index);
            self.start_queued(target);
        }
    }

    /// Counts an attempt from another region if the targets of this region now hold more attempts
    /// than they have slots.
    fn check_region_overload(&mut self, index: AttemptIndex) {
        let attempt = self.attempts[index as usize];
        let target = &self.document.targets[attempt.target];
        let region = self.region(target.centre);
        if self.region(self.arrival(attempt.key.request).centre) == region {
            return;
        }
        let (held, slots) = self.held_and_slots(target.service, region);
        if held > slots {
            self.violations.region_overloads += 1;
        }
    }

    /// Returns the running and queued attempts, and the slots, of the targets that are up.
    fn held_and_slots(&self, service: ServiceId, region: RegionId) -> (u32, u32) {
        let pool = self.document.targets.iter().filter(|(_, target)| {
            target.service == service && self.region(target.centre) == region
        });
        let servers = pool.map(|(key, _)| &self.servers[key]).filter(|server| !server.is_down);
        servers.fold((0, 0), |(held, slots), server| (held + server.held(), slots + server.slots))
    }

    fn start_queued(&mut self, target: TargetId) {
        while self.servers[target].has_free_slot()
            && let Some(index) = self.servers[target].pop()
        {
            let request = self.attempts[index as usize].key.request;
            let arrival = self.arrival(request);
            if self.now > arrival.deadline {
                self.send_report(index, Report::Shed);
                continue;
            }
            let finish = self.servers[target].start(self.now, index, arrival.service_time);
            self.attempts[index as usize].started = Some(self.now);
            self.schedule(finish, Event::Finished(index));
            if self.requests[request.0 as usize].outcome == Some(Outcome::NotRun) {
                self.count_wrong_not_run(request);
            }
        }
    }

    pub(crate) fn handle_finished(&mut self, index: AttemptIndex) {
        let target = self.attempts[index as usize].target;
        if self.servers[target].finish(self.now, index) {
            self.attempts[index as usize].ended = Some(self.now);
            self.send_report(index, Report::Answered);
            self.start_queued(target);
        }
    }

    /// Sends the result of an attempt to the entry that dispatched it.
    pub(crate) fn send_report(&mut self, index: AttemptIndex, report: Report) {
        let attempt = &mut self.attempts[index as usize];
        attempt.report = Some(report);
        let (request, from, target) = (attempt.key.request, attempt.from, attempt.target);
        let bytes = if report == Report::Answered {
            self.arrival(request).reply_bytes
        } else {
            EMPTY_MESSAGE_BYTES
        };
        let at = self.transmit(self.document.targets[target].centre, from.centre, bytes);
        self.schedule(at.unwrap_or(self.now), Event::Reported(index));
    }

    pub(crate) fn handle_report(&mut self, index: AttemptIndex) {
        let Attempt { key, target, from, report: Some(report), .. } = self.attempts[index as usize]
        else {
            return;
        };
        self.attempts[index as usize].has_reached_entry = true;
        if self.is_alive(from) {
            self.call_strategy(|strategy, now, commands| {
                strategy.handle_report(now, key, target, report, commands)
            });
        }
    }
}
