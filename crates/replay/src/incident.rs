//! Incidents: slow and leaving targets, failed data centres, silent measurement sources.

use ebonypass_core::id::{CentreId, Key, TargetId};
use ebonypass_core::outcome::Outcome;
use ebonypass_core::pool::Report;
use ebonypass_core::time::Span;

use crate::model::{Event, Model};
use crate::strategy::{CLIENT_DELAY, RequestId, Strategy};
use crate::trace::Incident;

impl<S: Strategy> Model<'_, S> {
    pub(crate) fn handle_incident(&mut self, incident: Incident) {
        match incident {
            Incident::Slow { target, factor, duration } => {
                self.slow_until[target.index()] = self.now + duration;
                self.schedule(self.now + duration, Event::SlowdownEnd(target));
                self.set_slowdown(target, factor);
            }
            Incident::Leave(target) => {
                self.servers[target].leaving_since.get_or_insert(self.now);
            }
            Incident::Fail { centre, duration } => self.fail_centre(centre, duration),
            Incident::Silence { source, duration } => {
                let until = &mut self.silent_until[source as usize];
                *until = (*until).max(self.now + duration);
            }
        }
    }

    pub(crate) fn set_slowdown(&mut self, target: TargetId, factor: f64) {
        for (attempt, finish) in self.servers[target].set_slowdown(self.now, factor) {
            self.schedule(finish, Event::Finished(attempt));
        }
    }

    fn fail_centre(&mut self, centre: CentreId, duration: Span) {
        let until = self.now + duration;
        let state = &mut self.centres[centre];
        state.down_until = state.down_until.max(Some(until));
        state.generation += 1;
        self.alive[centre.index()] = false;
        self.schedule(until, Event::Recover(centre));
        self.strategy.handle_failure(self.now, centre);
        for index in 0..self.servers.len() {
            let target = TargetId::from_index(index);
            if self.document.targets[target].centre == centre {
                self.servers[target].is_down = true;
                for attempt in self.servers[target].clear(self.now) {
                    self.send_report(attempt, Report::Lost);
                }
            }
        }
        self.fail_requests(centre);
    }

    /// Ends the requests held by the entries of `centre`: their clients, and the entries of other
    /// regions that forwarded requests to them, get the outcome "unknown".
    fn fail_requests(&mut self, centre: CentreId) {
        for index in 0..self.requests.len() {
            let state = self.requests[index];
            let request = RequestId(index as u32);
            let Some(entry) = state.entry.filter(|_| state.outcome.is_none()) else { continue };
            if entry.centre == centre {
                self.close_request(request, Outcome::Unknown, self.now + CLIENT_DELAY);
            } else if state.forwarded_to.is_some_and(|remote| remote.centre == centre) {
                self.requests[index].forwarded_to = None;
                let at = self.transmit(centre, entry.centre, 0).unwrap_or(self.now);
                self.schedule(at, Event::Returned(request, Outcome::Unknown));
            }
        }
    }

    pub(crate) fn recover_centre(&mut self, centre: CentreId) {
        if self.centres[centre].down_until.is_some_and(|until| until > self.now) {
            return;
        }
        self.centres[centre].down_until = None;
        self.alive[centre.index()] = true;
        for index in 0..self.servers.len() {
            let target = TargetId::from_index(index);
            if self.document.targets[target].centre == centre {
                self.servers[target].is_down = false;
            }
        }
        self.strategy.handle_recovery(self.now, centre);
    }
}
