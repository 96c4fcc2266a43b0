//! Samples of load and target state, delivered to the strategy with a lag or, while their source is
//! silent, not at all.

use ebonypass_core::id::{Key, TargetId};
use ebonypass_core::pool::State;
use ebonypass_core::time::{Instant, Span};

use crate::model::{Event, LOAD_LAG, Model, SAMPLE_INTERVAL, Sample, VM_LIST_LAG};
use crate::server::Server;
use crate::strategy::{LoadReport, Strategy};
use crate::trace::Source;

impl<S: Strategy> Model<'_, S> {
    /// Takes a sample, delivers the earlier samples that are due, and ticks the strategy.
    pub(crate) fn take_sample(&mut self, last_record_at: Instant) {
        let sample = self.measure();
        self.tally.record_busy_slots(self.document, &self.servers);
        self.samples.push_back(sample);
        self.deliver_loads();
        self.deliver_states();
        let mut commands = std::mem::take(&mut self.commands);
        self.strategy.tick(self.now, &self.links, &mut commands);
        self.execute_commands(commands);
        while self.samples.front().is_some_and(|sample| sample.at + VM_LIST_LAG <= self.now) {
            self.samples.pop_front();
        }
        if self.now <= last_record_at || self.open_requests > 0 {
            self.schedule(self.now + SAMPLE_INTERVAL, Event::Sample);
        }
    }

    fn measure(&self) -> Sample {
        let load = |server: &Server| {
            (!server.is_down).then_some(LoadReport {
                busy: server.busy(),
                queued: server.queued(),
                is_leaving: server.leaving_since.is_some(),
            })
        };
        let state = |server: &Server| match (server.is_down, server.leaving_since) {
            (true, _) => State::Gone,
            (false, Some(_)) => State::Leaving,
            (false, None) => State::Ready,
        };
        Sample {
            at: self.now,
            loads: self.servers.values().map(load).collect(),
            states: self.servers.values().map(state).collect(),
        }
    }

    fn is_silent(&self, source: Source) -> bool {
        self.now < self.silent_until[source as usize]
    }

    fn due_sample(&self, lag: Span) -> Option<&Sample> {
        self.samples.iter().find(|sample| sample.at + lag == self.now)
    }

    fn deliver_loads(&mut self) {
        if self.is_silent(Source::Load) {
            return;
        }
        let Some(loads) = self.due_sample(LOAD_LAG).map(|sample| sample.loads.clone()) else {
            return;
        };
        for (index, load) in loads.into_iter().enumerate() {
            let Some(load) = load else { continue };
            let target = TargetId::from_index(index);
            self.call_strategy(|strategy, now, commands| {
                strategy.handle_load(now, target, load, commands)
            });
        }
    }

    fn deliver_states(&mut self) {
        if self.is_silent(Source::Vms) {
            return;
        }
        let Some(states) = self.due_sample(VM_LIST_LAG).map(|sample| sample.states.clone()) else {
            return;
        };
        for (index, state) in states.into_iter().enumerate() {
            if self.last_states[index] != state {
                self.last_states[index] = state;
                let target = TargetId::from_index(index);
                self.call_strategy(|strategy, now, commands| {
                    strategy.handle_state(now, target, state, commands)
                });
            }
        }
    }
}
