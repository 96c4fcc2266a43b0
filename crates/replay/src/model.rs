//! The discrete-event loop: targets, links, delays and lagging measurements round a strategy.
//!
//! Of the network it models delays and caps only. It checks the promises with its own records and
//! does not ask the strategy what it did.

use std::collections::VecDeque;

use ebonypass_core::id::{Arena, CentreId, Key, RegionId, TargetId};
use ebonypass_core::outcome::Outcome;
use ebonypass_core::policy::Document;
use ebonypass_core::pool::{Report, State};
use ebonypass_core::time::{Instant, Span};

use crate::agenda::Agenda;
use crate::link::Links;
use crate::server::{AttemptIndex, Server};
use crate::strategy::{AttemptKey, Command, Inquiry, LoadReport, RequestId, Strategy, local_delay};
use crate::tally::{Checks, Tally};
use crate::trace::{Arrival, Trace};

/// Time between two samples of load and state.
pub const SAMPLE_INTERVAL: Span = Span::from_millis(100);

/// Age of a load report when a strategy gets it.
pub const LOAD_LAG: Span = Span::from_millis(500);

/// Age of the VM list when a strategy gets it.
pub const LIST_LAG: Span = Span::from_secs(1);

/// A dispatch to a target later than this after its leave breaks P6.
pub const LEAVE_LIMIT: Span = Span::from_secs(5);

/// Bytes of a reply without an answer.
pub(crate) const REFUSAL_BYTES: u64 = 200;

/// A run stops at this time after the last record, whatever is still open.
const GRACE: Span = Span::from_secs(120);

#[derive(Debug, Clone, Copy)]
pub(crate) enum Event {
    Arrive(RequestId),
    Incident(usize),
    Entered(RequestId, CentreId),
    Forwarded(RequestId, CentreId),
    Returned(RequestId, Outcome),
    Reached(AttemptIndex),
    Finished(AttemptIndex),
    CancelReached(AttemptIndex),
    Reported(AttemptIndex),
    SlowEnd(TargetId),
    Recover(CentreId),
    Sample,
    Wake,
    End,
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct Request {
    /// The entry that the client uses.
    pub(crate) entry: Option<Place>,
    /// The entry of another region that it was forwarded to.
    pub(crate) holder: Option<Place>,
    pub(crate) told: Option<Outcome>,
    pub(crate) is_wrong: bool,
}

/// The entries of a data centre, in one of their lives.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Place {
    pub(crate) centre: CentreId,
    pub(crate) life: u32,
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct Attempt {
    pub(crate) key: AttemptKey,
    pub(crate) target: TargetId,
    pub(crate) from: Place,
    pub(crate) started: Option<Instant>,
    pub(crate) ended: Option<Instant>,
    pub(crate) report: Option<Report>,
    pub(crate) is_delivered: bool,
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct Centre {
    pub(crate) life: u32,
    pub(crate) down_until: Option<Instant>,
}

/// What the measurements showed at one time.
#[derive(Debug)]
pub(crate) struct Sample {
    pub(crate) at: Instant,
    pub(crate) loads: Vec<Option<LoadReport>>,
    pub(crate) states: Vec<State>,
}

/// A run of one trace with one strategy.
#[derive(Debug)]
pub struct Model<'a, S> {
    pub(crate) document: &'a Document,
    pub(crate) trace: &'a Trace,
    pub(crate) strategy: S,
    pub(crate) agenda: Agenda<Event>,
    pub(crate) now: Instant,
    pub(crate) servers: Arena<TargetId, Server>,
    pub(crate) slow_until: Vec<Instant>,
    pub(crate) centres: Arena<CentreId, Centre>,
    pub(crate) alive: Vec<bool>,
    pub(crate) silent_until: [Instant; 2],
    pub(crate) links: Links,
    pub(crate) requests: Vec<Request>,
    pub(crate) attempts: Vec<Attempt>,
    /// Attempts by request.
    pub(crate) dispatched: Vec<Vec<AttemptIndex>>,
    pub(crate) samples: VecDeque<Sample>,
    pub(crate) told_states: Vec<State>,
    pub(crate) open: usize,
    /// Events to come other than wake-ups.
    pub(crate) pending: usize,
    pub(crate) wake: Option<Instant>,
    pub(crate) commands: Vec<Command>,
    pub(crate) tally: Tally,
    pub(crate) checks: Checks,
}

/// Plays `trace` against `strategy` and returns what was counted.
pub fn run_trace(document: &Document, trace: &Trace, strategy: impl Strategy) -> Tally {
    Model::new(document, trace, strategy).run()
}

impl<'a, S: Strategy> Model<'a, S> {
    /// A run that has not started.
    pub fn new(document: &'a Document, trace: &'a Trace, strategy: S) -> Model<'a, S> {
        let mut servers = Arena::new();
        for target in document.targets.values() {
            servers.push(Server::new(target.slots));
        }
        let mut centres = Arena::new();
        for _ in document.centres.values() {
            centres.push(Centre { life: 0, down_until: None });
        }
        let request = Request { entry: None, holder: None, told: None, is_wrong: false };
        let links = Links::new(document, strategy.paces_links());
        Model {
            document,
            trace,
            strategy,
            agenda: Agenda::new(),
            now: Instant::ZERO,
            slow_until: vec![Instant::ZERO; servers.len()],
            told_states: vec![State::Ready; servers.len()],
            servers,
            alive: vec![true; centres.len()],
            centres,
            silent_until: [Instant::ZERO; 2],
            links,
            requests: vec![request; trace.arrivals.len()],
            attempts: Vec::new(),
            dispatched: vec![Vec::new(); trace.arrivals.len()],
            samples: VecDeque::new(),
            open: 0,
            pending: 0,
            wake: None,
            commands: Vec::new(),
            tally: Tally::new(document, trace),
            checks: Checks::default(),
        }
    }

    /// Runs to the end and returns what was counted.
    pub fn run(mut self) -> Tally {
        let last = self.plan();
        while let Some((at, event)) = self.agenda.take() {
            if at > last + GRACE {
                break;
            }
            if !matches!(event, Event::Wake) {
                self.pending -= 1;
            }
            self.now = at;
            self.play(event, last);
            if self.open == 0 && self.pending == 0 {
                break;
            }
            self.schedule_wake();
        }
        self.tally.close(self.document, &self.links, self.checks, self.open);
        self.tally
    }

    /// Adds the records of the trace and returns the time of the last one.
    fn plan(&mut self) -> Instant {
        for (index, (at, _)) in self.trace.incidents.iter().enumerate() {
            self.add(*at, Event::Incident(index));
        }
        for (index, arrival) in self.trace.arrivals.iter().enumerate() {
            self.add(arrival.at, Event::Arrive(RequestId(index as u32)));
        }
        self.add(Instant::ZERO, Event::Sample);
        self.add(self.trace.end(), Event::End);
        let incident = self.trace.incidents.last().map_or(Instant::ZERO, |(at, _)| *at);
        self.trace.end().max(incident)
    }

    pub(crate) fn add(&mut self, at: Instant, event: Event) {
        self.pending += usize::from(!matches!(event, Event::Wake));
        self.agenda.add(at, event);
    }

    fn play(&mut self, event: Event, last: Instant) {
        match event {
            Event::Arrive(request) => self.arrive(request),
            Event::Incident(index) => self.incident(self.trace.incidents[index].1),
            Event::Entered(request, centre) => self.entered(request, centre),
            Event::Forwarded(request, centre) => self.forwarded(request, centre),
            Event::Returned(request, outcome) => self.returned(request, outcome),
            Event::Reached(attempt) => self.reached(attempt),
            Event::Finished(attempt) => self.finished(attempt),
            Event::CancelReached(attempt) => self.cancel_reached(attempt),
            Event::Reported(attempt) => self.reported(attempt),
            Event::SlowEnd(target) if self.slow_until[target.index()] <= self.now => {
                self.set_factor(target, 1.0);
            }
            Event::SlowEnd(_) => {}
            Event::Recover(centre) => self.recover(centre),
            Event::Sample => self.sample(last),
            Event::Wake => self.woken(),
            Event::End => self.end(),
        }
    }

    pub(crate) fn arrival(&self, request: RequestId) -> &'a Arrival {
        &self.trace.arrivals[request.0 as usize]
    }

    pub(crate) fn inquiry(&self, request: RequestId) -> Inquiry {
        let arrival = self.arrival(request);
        Inquiry {
            request,
            member: arrival.member,
            service: arrival.service,
            kind: arrival.kind,
            centre: arrival.centre,
            deadline: arrival.deadline,
            idempotent: arrival.idempotent,
        }
    }

    pub(crate) fn place(&self, centre: CentreId) -> Place {
        Place { centre, life: self.centres[centre].life }
    }

    pub(crate) fn is_alive(&self, place: Place) -> bool {
        self.alive[place.centre.index()] && self.place(place.centre) == place
    }

    pub(crate) fn region(&self, centre: CentreId) -> RegionId {
        self.document.region_of(centre)
    }

    /// Sends `bytes` between data centres and returns when they arrive; nothing without a link.
    pub(crate) fn travel(&mut self, from: CentreId, to: CentreId, bytes: u64) -> Option<Instant> {
        let (here, there) = (self.region(from), self.region(to));
        if here == there {
            return Some(self.now + local_delay(from, to));
        }
        self.links.send(self.now, here, there, bytes)
    }

    /// Lets the strategy decide and carries out what it says.
    pub(crate) fn decide(&mut self, ask: impl FnOnce(&mut S, Instant, &mut Vec<Command>)) {
        let mut commands = std::mem::take(&mut self.commands);
        ask(&mut self.strategy, self.now, &mut commands);
        self.execute_all(commands);
    }

    /// Carries out `commands` and keeps the buffer.
    pub(crate) fn execute_all(&mut self, mut commands: Vec<Command>) {
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
            Command::Return { request, outcome } => self.give_back(request, outcome),
            Command::Finish { request, outcome } => self.finish(request, outcome),
        }
    }

    fn woken(&mut self) {
        if self.wake == Some(self.now) {
            self.wake = None;
            self.decide(|strategy, now, out| strategy.wake(now, out));
        }
    }

    /// Adds a wake-up if the strategy asks for an earlier one than is planned. A strategy that
    /// asks for the present again and again is woken once a microsecond, so that time goes on.
    fn schedule_wake(&mut self) {
        let Some(at) = self.strategy.wake_at() else { return };
        let at = at.max(self.now + Span::from_micros(1));
        if self.wake.is_none_or(|planned| at < planned) {
            self.wake = Some(at);
            self.add(at, Event::Wake);
        }
    }

    fn end(&mut self) {
        for index in 0..self.servers.len() {
            let target = TargetId::from_index(index);
            let busy_us = self.servers[target].busy_until(self.now);
            self.tally.used(self.document.targets[target].service, busy_us);
        }
    }
}
