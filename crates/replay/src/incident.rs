//! Slow and leaving targets, failed data centres and silent sources.

use ebonypass_core::id::{CentreId, Key, TargetId};
use ebonypass_core::outcome::Outcome;
use ebonypass_core::pool::Report;
use ebonypass_core::time::Span;

use crate::model::{Event, Model};
use crate::strategy::{CLIENT_DELAY, RequestId, Strategy};
use crate::trace::Incident;

impl<S: Strategy> Model<'_, S> {
    pub(crate) fn incident(&mut self, incident: Incident) {
        match incident {
            Incident::Slow { target, factor, lasting } => {
                self.slow_until[target.index()] = self.now + lasting;
                self.add(self.now + lasting, Event::SlowEnd(target));
                self.set_factor(target, factor);
            }
            Incident::Leave(target) => {
                self.servers[target].leaving_since.get_or_insert(self.now);
            }
            Incident::Fail { centre, lasting } => self.fail(centre, lasting),
            Incident::Silence { source, lasting } => {
                let until = &mut self.silent_until[source as usize];
                *until = (*until).max(self.now + lasting);
            }
        }
    }

    pub(crate) fn set_factor(&mut self, target: TargetId, factor: f64) {
        for (attempt, finish) in self.servers[target].set_factor(self.now, factor) {
            self.add(finish, Event::Finished(attempt));
        }
    }

    fn fail(&mut self, centre: CentreId, lasting: Span) {
        let until = self.now + lasting;
        let state = &mut self.centres[centre];
        state.down_until = state.down_until.max(Some(until));
        state.life += 1;
        self.alive[centre.index()] = false;
        self.add(until, Event::Recover(centre));
        self.strategy.fail(self.now, centre);
        for index in 0..self.servers.len() {
            let target = TargetId::from_index(index);
            if self.document.targets[target].centre == centre {
                self.servers[target].is_down = true;
                for attempt in self.servers[target].clear(self.now) {
                    self.send_report(attempt, Report::Lost);
                }
            }
        }
        self.lose_requests(centre);
    }

    /// Tells clients and entries of other regions that the entries of `centre` are gone.
    fn lose_requests(&mut self, centre: CentreId) {
        for index in 0..self.requests.len() {
            let state = self.requests[index];
            let request = RequestId(index as u32);
            let Some(entry) = state.entry.filter(|_| state.told.is_none()) else { continue };
            if entry.centre == centre {
                self.tell(request, Outcome::Unknown, self.now + CLIENT_DELAY);
            } else if state.holder.is_some_and(|holder| holder.centre == centre) {
                self.requests[index].holder = None;
                let at = self.travel(centre, entry.centre, 0).unwrap_or(self.now);
                self.add(at, Event::Returned(request, Outcome::Unknown));
            }
        }
    }

    pub(crate) fn recover(&mut self, centre: CentreId) {
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
        self.strategy.recover(self.now, centre);
    }
}
