//! Discrete-event simulation of clients, targets, links and delayed measurements, driven by a
//! strategy.
//!
//! The network model covers only delays and bandwidth caps. Invariants are checked against the
//! model's own state, independently of the strategy.

use std::collections::VecDeque;

use ebonypass_core::id::{Arena, CentreId, Key, RegionId, TargetId};
use ebonypass_core::outcome::Outcome;
use ebonypass_core::policy::Document;
use ebonypass_core::pool::{Report, State};
use ebonypass_core::time::{Instant, Span};

use crate::event;
use crate::link::Links;
use crate::server::{AttemptIndex, Server};
use crate::strategy::{
    AttemptKey, Command, LoadReport, RequestId, RequestMetadata, Strategy, local_delay,
};
use crate::tally::{Tally, Violations};
use crate::trace::{Arrival, Trace};

/// Interval between samples of load and state.
pub const SAMPLE_INTERVAL: Span = Span::from_millis(100);

/// Delay before a strategy receives a load report.
pub const LOAD_LAG: Span = Span::from_millis(500);

/// Delay before a strategy receives a change of the VM list.
pub const VM_LIST_LAG: Span = Span::from_secs(1);

/// A dispatch to a target later than this after it started to leave violates rule P6.
pub const LEAVE_LIMIT: Span = Span::from_secs(5);

/// Size of a message without a body: a refusal, a cancellation, or any reply but an answer.
pub(crate) const EMPTY_MESSAGE_BYTES: u64 = 200;

/// A run stops this long after the last record, even if requests are still open.
const GRACE_PERIOD: Span = Span::from_secs(120);

#[derive(Debug, Clone, Copy)]
pub(crate) enum Event {
    /// A client sends a request.
    Arrival(RequestId),
    /// An incident of the trace, by index.
    Incident(usize),
    /// A request reaches the entry in a data centre.
    EntryReached(RequestId, CentreId),
    /// A forwarded request reaches the entry of another region.
    Forwarded(RequestId, CentreId),
    /// The outcome of a forwarded request reaches the entry that forwarded it.
    Returned(RequestId, Outcome),
    /// A dispatch reaches its target.
    TargetReached(AttemptIndex),
    /// An attempt finishes, unless it was rescheduled or cancelled.
    Finished(AttemptIndex),
    /// A cancellation reaches the target.
    CancelReached(AttemptIndex),
    /// The result of an attempt reaches the entry.
    Reported(AttemptIndex),
    SlowdownEnd(TargetId),
    Recover(CentreId),
    Sample,
    Wake,
    /// The last arrival, which ends the measurement of utilisation.
    End,
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestState {
    /// The entry that the client is connected to.
    pub(crate) entry: Option<Incarnation>,
    /// The entry of another region that handles the request now.
    pub(crate) forwarded_to: Option<Incarnation>,
    /// The outcome sent to the client.
    pub(crate) outcome: Option<Outcome>,
    /// Whether the request is counted in `wrong_not_run`.
    pub(crate) is_counted_as_wrong_not_run: bool,
}

/// The entries of a data centre from one failure to the next. A failure ends the requests that they
/// hold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Incarnation {
    pub(crate) centre: CentreId,
    pub(crate) generation: u32,
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct Attempt {
    pub(crate) key: AttemptKey,
    pub(crate) target: TargetId,
    pub(crate) from: Incarnation,
    pub(crate) started: Option<Instant>,
    pub(crate) ended: Option<Instant>,
    /// The result, set when it is sent to the entry.
    pub(crate) report: Option<Report>,
    /// Whether `report` has reached the entry.
    pub(crate) has_reached_entry: bool,
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct Centre {
    pub(crate) generation: u32,
    pub(crate) down_until: Option<Instant>,
}

/// Load and state of all targets at one time.
#[derive(Debug)]
pub(crate) struct Sample {
    pub(crate) at: Instant,
    /// Load by target, `None` for targets that are down.
    pub(crate) loads: Vec<Option<LoadReport>>,
    pub(crate) states: Vec<State>,
}

/// A run of one trace with one strategy.
#[derive(Debug)]
pub struct Model<'a, S> {
    pub(crate) document: &'a Document,
    pub(crate) trace: &'a Trace,
    pub(crate) strategy: S,
    pub(crate) events: event::Queue<Event>,
    pub(crate) now: Instant,
    pub(crate) servers: Arena<TargetId, Server>,
    pub(crate) slow_until: Vec<Instant>,
    pub(crate) centres: Arena<CentreId, Centre>,
    /// Whether the entries are alive, by data centre.
    pub(crate) alive: Vec<bool>,
    /// End of the silence of each [`Source`](crate::trace::Source).
    pub(crate) silent_until: [Instant; 2],
    pub(crate) links: Links,
    pub(crate) requests: Vec<RequestState>,
    pub(crate) attempts: Vec<Attempt>,
    /// Attempts, indexed by request.
    pub(crate) attempts_by_request: Vec<Vec<AttemptIndex>>,
    pub(crate) samples: VecDeque<Sample>,
    /// Target states last delivered to the strategy.
    pub(crate) last_states: Vec<State>,
    pub(crate) open_requests: usize,
    /// Scheduled events, not counting wake-ups.
    pub(crate) pending_events: usize,
    pub(crate) next_wake: Option<Instant>,
    pub(crate) commands: Vec<Command>,
    pub(crate) tally: Tally,
    pub(crate) violations: Violations,
}

/// Replays `trace` with `strategy` and returns the counts.
pub fn run_trace(document: &Document, trace: &Trace, strategy: impl Strategy) -> Tally {
    Model::new(document, trace, strategy).run()
}

impl<'a, S: Strategy> Model<'a, S> {
    /// Prepares a run.
    pub fn new(document: &'a Document, trace: &'a Trace, strategy: S) -> Model<'a, S> {
        let mut servers = Arena::new();
        for target in document.targets.values() {
            servers.push(Server::new(target.slots));
        }
        let mut centres = Arena::new();
        for _ in document.centres.values() {
            centres.push(Centre { generation: 0, down_until: None });
        }
        let request = RequestState {
            entry: None,
            forwarded_to: None,
            outcome: None,
            is_counted_as_wrong_not_run: false,
        };
        let links = Links::new(document, strategy.paces_links());
        Model {
            document,
            trace,
            strategy,
            events: event::Queue::new(),
            now: Instant::ZERO,
            slow_until: vec![Instant::ZERO; servers.len()],
            last_states: vec![State::Ready; servers.len()],
            servers,
            alive: vec![true; centres.len()],
            centres,
            silent_until: [Instant::ZERO; 2],
            links,
            requests: vec![request; trace.arrivals.len()],
            attempts: Vec::new(),
            attempts_by_request: vec![Vec::new(); trace.arrivals.len()],
            samples: VecDeque::new(),
            open_requests: 0,
            pending_events: 0,
            next_wake: None,
            commands: Vec::new(),
            tally: Tally::new(document, trace),
            violations: Violations::default(),
        }
    }

    /// Runs to the end and returns the counts.
    pub fn run(mut self) -> Tally {
        let last_record_at = self.schedule_trace();
        while let Some((at, event)) = self.events.pop() {
            if at > last_record_at + GRACE_PERIOD {
                break;
            }
            if !matches!(event, Event::Wake) {
                self.pending_events -= 1;
            }
            self.now = at;
            self.handle_event(event, last_record_at);
            if self.open_requests == 0 && self.pending_events == 0 {
                break;
            }
            self.schedule_wake();
        }
        self.tally.finish(self.document, &self.links, self.violations, self.open_requests);
        self.tally
    }

    /// Schedules the records of the trace and returns the time of the last one.
    fn schedule_trace(&mut self) -> Instant {
        for (index, (at, _)) in self.trace.incidents.iter().enumerate() {
            self.schedule(*at, Event::Incident(index));
        }
        for (index, arrival) in self.trace.arrivals.iter().enumerate() {
            self.schedule(arrival.at, Event::Arrival(RequestId(index as u32)));
        }
        self.schedule(Instant::ZERO, Event::Sample);
        self.schedule(self.trace.end(), Event::End);
        let incident = self.trace.incidents.last().map_or(Instant::ZERO, |(at, _)| *at);
        self.trace.end().max(incident)
    }

    pub(crate) fn schedule(&mut self, at: Instant, event: Event) {
        self.pending_events += usize::from(!matches!(event, Event::Wake));
        self.events.push(at, event);
    }

    fn handle_event(&mut self, event: Event, last_record_at: Instant) {
        match event {
            Event::Arrival(request) => self.handle_arrival(request),
            Event::Incident(index) => self.handle_incident(self.trace.incidents[index].1),
            Event::EntryReached(request, centre) => self.handle_entry_reached(request, centre),
            Event::Forwarded(request, centre) => self.handle_forwarded(request, centre),
            Event::Returned(request, outcome) => self.handle_returned(request, outcome),
            Event::TargetReached(attempt) => self.handle_target_reached(attempt),
            Event::Finished(attempt) => self.handle_finished(attempt),
            Event::CancelReached(attempt) => self.handle_cancel(attempt),
            Event::Reported(attempt) => self.handle_report(attempt),
            Event::SlowdownEnd(target) if self.slow_until[target.index()] <= self.now => {
                self.set_slowdown(target, 1.0);
            }
            Event::SlowdownEnd(_) => {}
            Event::Recover(centre) => self.recover_centre(centre),
            Event::Sample => self.take_sample(last_record_at),
            Event::Wake => self.handle_wake(),
            Event::End => self.handle_end(),
        }
    }

    pub(crate) fn arrival(&self, request: RequestId) -> &'a Arrival {
        &self.trace.arrivals[request.0 as usize]
    }

    pub(crate) fn metadata(&self, request: RequestId) -> RequestMetadata {
        let arrival = self.arrival(request);
        RequestMetadata {
            request,
            member: arrival.member,
            service: arrival.service,
            kind: arrival.kind,
            centre: arrival.centre,
            deadline: arrival.deadline,
            idempotent: arrival.idempotent,
        }
    }

    pub(crate) fn current_incarnation(&self, centre: CentreId) -> Incarnation {
        Incarnation { centre, generation: self.centres[centre].generation }
    }

    pub(crate) fn is_alive(&self, incarnation: Incarnation) -> bool {
        self.alive[incarnation.centre.index()]
            && self.current_incarnation(incarnation.centre) == incarnation
    }

    pub(crate) fn region(&self, centre: CentreId) -> RegionId {
        self.document.region_of(centre)
    }

    /// Sends `bytes` between data centres and returns when they arrive, `None` without a link.
    pub(crate) fn transmit(&mut self, from: CentreId, to: CentreId, bytes: u64) -> Option<Instant> {
        let (from_region, to_region) = (self.region(from), self.region(to));
        if from_region == to_region {
            return Some(self.now + local_delay(from, to));
        }
        self.links.send(self.now, from_region, to_region, bytes)
    }

    /// Calls the strategy and executes its commands.
    pub(crate) fn call_strategy(&mut self, call: impl FnOnce(&mut S, Instant, &mut Vec<Command>)) {
        let mut commands = std::mem::take(&mut self.commands);
        call(&mut self.strategy, self.now, &mut commands);
        self.execute_commands(commands);
    }

    /// Executes `commands` and keeps the buffer for reuse.
    pub(crate) fn execute_commands(&mut self, mut commands: Vec<Command>) {
        for command in commands.drain(..) {
            self.execute(command);
        }
        self.commands = commands;
    }

    fn execute(&mut self, command: Command) {
        match command {
            Command::Dispatch { key, target } => self.dispatch(key, target),
            Command::Cancel { key } => self.cancel(key),
            Command::Forward { request, to } => self.forward(request, to),
            Command::Return { request, outcome } => self.return_outcome(request, outcome),
            Command::Reply { request, outcome } => self.reply(request, outcome),
        }
    }

    fn handle_wake(&mut self) {
        if self.next_wake == Some(self.now) {
            self.next_wake = None;
            self.call_strategy(|strategy, now, commands| strategy.wake(now, commands));
        }
    }

    /// Schedules a wake-up if the strategy asks for one earlier than the one scheduled. Wake-ups
    /// are at least 1 us in the future, so a strategy that keeps asking for the present time cannot
    /// stop the clock.
    fn schedule_wake(&mut self) {
        let Some(at) = self.strategy.wake_at() else { return };
        let at = at.max(self.now + Span::from_micros(1));
        if self.next_wake.is_none_or(|planned| at < planned) {
            self.next_wake = Some(at);
            self.schedule(at, Event::Wake);
        }
    }

    fn handle_end(&mut self) {
        for index in 0..self.servers.len() {
            let target = TargetId::from_index(index);
            let busy_us = self.servers[target].busy_us_until(self.now);
            self.tally.add_busy_time(self.document.targets[target].service, busy_us);
        }
    }
}
