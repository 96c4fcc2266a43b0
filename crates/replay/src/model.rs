//! The discrete-event loop: targets, links, delays and lagging measurements round a strategy.
//!
//! Of the network it models delays and caps only. It checks the promises with its own records and
//! does not ask the strategy what it did.

use std::collections::VecDeque;

use ebonypass_core::id::{Arena, CentreId, Key, RegionId, ServiceId, TargetId};
use ebonypass_core::outcome::Outcome;
use ebonypass_core::policy::Document;
use ebonypass_core::pool::{Report, State};
use ebonypass_core::time::{Instant, Span};

use crate::agenda::Agenda;
use crate::baseline::{Direct, Independent, LeastLoaded, RoundRobin};
use crate::link::Links;
use crate::server::{AttemptIndex, Server};
use crate::steer::Steer;
use crate::strategy::{
    AttemptKey, CLIENT_DELAY, Command, Inquiry, LoadReport, RequestId, Strategy, local_delay,
};
use crate::tally::{Checks, Tally};
use crate::trace::{Arrival, Incident, Source, Trace};

/// Time between two samples of load and state.
pub const SAMPLE_INTERVAL: Span = Span::from_millis(100);

/// Age of a load report when a strategy gets it.
pub const LOAD_LAG: Span = Span::from_millis(500);

/// Age of the VM list when a strategy gets it.
pub const LIST_LAG: Span = Span::from_secs(1);

/// A dispatch to a target later than this after its leave breaks P6.
pub const LEAVE_LIMIT: Span = Span::from_secs(5);

/// Bytes of a reply without an answer.
const REFUSAL_BYTES: u64 = 200;

/// A run stops at this time after the last record, whatever is still open.
const GRACE: Span = Span::from_secs(120);

#[derive(Debug, Clone, Copy)]
enum Event {
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
struct Request {
    /// The entry that the client uses.
    entry: Option<Place>,
    /// The entry of another region that it was forwarded to.
    holder: Option<Place>,
    told: Option<Outcome>,
    is_wrong: bool,
}

/// The entries of a data centre, in one of their lives.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Place {
    centre: CentreId,
    life: u32,
}

#[derive(Debug, Clone, Copy)]
struct Attempt {
    key: AttemptKey,
    target: TargetId,
    from: Place,
    started: Option<Instant>,
    ended: Option<Instant>,
    report: Option<Report>,
    is_delivered: bool,
}

#[derive(Debug, Clone, Copy)]
struct Centre {
    life: u32,
    down_until: Option<Instant>,
}

/// What the measurements showed at one time.
#[derive(Debug)]
struct Sample {
    at: Instant,
    loads: Vec<Option<LoadReport>>,
    states: Vec<State>,
}

/// A run of one trace with one strategy.
#[derive(Debug)]
pub struct Model<'a, S> {
    document: &'a Document,
    trace: &'a Trace,
    strategy: S,
    agenda: Agenda<Event>,
    now: Instant,
    servers: Arena<TargetId, Server>,
    slow_until: Vec<Instant>,
    centres: Arena<CentreId, Centre>,
    alive: Vec<bool>,
    silent_until: [Instant; 2],
    links: Links,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    /// Attempts by request.
    dispatched: Vec<Vec<AttemptIndex>>,
    samples: VecDeque<Sample>,
    told_states: Vec<State>,
    open: usize,
    /// Events to come other than wake-ups.
    pending: usize,
    wake: Option<Instant>,
    commands: Vec<Command>,
    tally: Tally,
    checks: Checks,
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

    fn add(&mut self, at: Instant, event: Event) {
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

    fn arrival(&self, request: RequestId) -> &'a Arrival {
        &self.trace.arrivals[request.0 as usize]
    }

    fn inquiry(&self, request: RequestId) -> Inquiry {
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

    fn place(&self, centre: CentreId) -> Place {
        Place { centre, life: self.centres[centre].life }
    }

    fn is_alive(&self, place: Place) -> bool {
        self.alive[place.centre.index()] && self.place(place.centre) == place
    }

    fn region(&self, centre: CentreId) -> RegionId {
        self.document.region_of(centre)
    }

    /// Sends `bytes` between data centres and returns when they arrive; nothing without a link.
    fn travel(&mut self, from: CentreId, to: CentreId, bytes: u64) -> Option<Instant> {
        let (here, there) = (self.region(from), self.region(to));
        if here == there {
            return Some(self.now + local_delay(from, to));
        }
        self.links.send(self.now, here, there, bytes)
    }

    fn arrive(&mut self, request: RequestId) {
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

    fn entered(&mut self, request: RequestId, centre: CentreId) {
        if !self.alive[centre.index()] {
            self.send_to_entry(request);
            return;
        }
        self.requests[request.0 as usize].entry = Some(self.place(centre));
        let inquiry = self.inquiry(request);
        self.decide(|strategy, now, out| strategy.arrive(now, centre, &inquiry, out));
    }

    fn forwarded(&mut self, request: RequestId, centre: CentreId) {
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

    fn returned(&mut self, request: RequestId, outcome: Outcome) {
        if self.requests[request.0 as usize].told.is_some() {
            return;
        }
        let inquiry = self.inquiry(request);
        self.decide(|strategy, now, out| strategy.returned(now, &inquiry, outcome, out));
    }

    /// Lets the strategy decide and carries out what it says.
    fn decide(&mut self, ask: impl FnOnce(&mut S, Instant, &mut Vec<Command>)) {
        let mut commands = std::mem::take(&mut self.commands);
        ask(&mut self.strategy, self.now, &mut commands);
        self.execute_all(commands);
    }

    /// Carries out `commands` and keeps the buffer.
    fn execute_all(&mut self, mut commands: Vec<Command>) {
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

    fn dispatch(&mut self, key: AttemptKey, target: TargetId) {
        let request = self.requests[key.request.0 as usize];
        let Some(from) = request.holder.or(request.entry) else { return };
        self.check_dispatch(key, target);
        let index = self.attempts.len() as AttemptIndex;
        self.attempts.push(Attempt {
            key,
            target,
            from,
            started: None,
            ended: None,
            report: None,
            is_delivered: false,
        });
        self.dispatched[key.request.0 as usize].push(index);
        let bytes = self.arrival(key.request).request_bytes;
        match self.travel(from.centre, self.document.targets[target].centre, bytes) {
            Some(at) => self.add(at, Event::Reached(index)),
            None => self.send_report(index, Report::Unsent),
        }
    }

    /// Counts the dispatch, and what it breaks.
    fn check_dispatch(&mut self, key: AttemptKey, target: TargetId) {
        let arrival = self.arrival(key.request);
        let earlier = &self.dispatched[key.request.0 as usize];
        let is_settled = |attempt: &Attempt| {
            attempt.is_delivered && matches!(attempt.report, Some(Report::Shed | Report::Unsent))
        };
        let may_have_run = earlier.iter().any(|&index| !is_settled(&self.attempts[index as usize]));
        let is_open = earlier.iter().any(|&index| !self.attempts[index as usize].is_delivered);
        self.tally.dispatched(arrival, is_open);
        if may_have_run && !arrival.idempotent {
            self.checks.duplicate_dispatches += 1;
        }
        let leaving = self.servers[target].leaving_since;
        if leaving.is_some_and(|since| self.now > since + LEAVE_LIMIT) {
            self.checks.dispatched_to_leaving += 1;
        }
    }

    fn cancel(&mut self, key: AttemptKey) {
        let attempts = &self.dispatched[key.request.0 as usize];
        let found = attempts.iter().find(|&&index| self.attempts[index as usize].key == key);
        let Some(&index) = found else { return };
        let attempt = self.attempts[index as usize];
        let centre = self.document.targets[attempt.target].centre;
        let at = self.travel(attempt.from.centre, centre, REFUSAL_BYTES);
        if let Some(at) = at {
            self.add(at, Event::CancelReached(index));
        }
    }

    fn cancel_reached(&mut self, index: AttemptIndex) {
        let attempt = self.attempts[index as usize];
        if self.servers[attempt.target].cancel(self.now, index) {
            let report = if attempt.started.is_some() { Report::Lost } else { Report::Shed };
            self.send_report(index, report);
            self.start_waiting(attempt.target);
        }
    }

    fn forward(&mut self, request: RequestId, to: CentreId) {
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

    fn give_back(&mut self, request: RequestId, outcome: Outcome) {
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

    fn finish(&mut self, request: RequestId, outcome: Outcome) {
        let state = self.requests[request.0 as usize];
        let Some(entry) = state.entry.filter(|_| state.told.is_none()) else { return };
        let centre = self.arrival(request).centre;
        let bytes = self.reply_bytes(request, outcome);
        let at = self.travel(entry.centre, centre, bytes).unwrap_or(self.now);
        self.tell(request, outcome, at + CLIENT_DELAY);
    }

    /// Closes the request: its client learns `outcome` at `at`.
    fn tell(&mut self, request: RequestId, outcome: Outcome, at: Instant) {
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
    fn note_wrong(&mut self, request: RequestId) {
        let state = &mut self.requests[request.0 as usize];
        if !state.is_wrong {
            state.is_wrong = true;
            self.checks.wrong_not_run += 1;
        }
    }

    fn reached(&mut self, index: AttemptIndex) {
        let target = self.attempts[index as usize].target;
        let server = &mut self.servers[target];
        if server.is_down {
            self.send_report(index, Report::Unsent);
        } else if server.leaving_since.is_some() {
            self.send_report(index, Report::Shed);
        } else {
            server.push(index);
            self.check_region(index);
            self.start_waiting(target);
        }
    }

    /// Counts an attempt from another region that makes its target's region hold more attempts
    /// than slots.
    fn check_region(&mut self, index: AttemptIndex) {
        let attempt = self.attempts[index as usize];
        let target = &self.document.targets[attempt.target];
        let region = self.region(target.centre);
        if self.region(self.arrival(attempt.key.request).centre) == region {
            return;
        }
        let (held, slots) = self.held(target.service, region);
        if held > slots {
            self.checks.region_overloads += 1;
        }
    }

    /// Attempts held and slots of the targets that are up.
    fn held(&self, service: ServiceId, region: RegionId) -> (u32, u32) {
        let pool = self.document.targets.iter().filter(|(_, target)| {
            target.service == service && self.region(target.centre) == region
        });
        let servers = pool.map(|(key, _)| &self.servers[key]).filter(|server| !server.is_down);
        servers.fold((0, 0), |(held, slots), server| (held + server.held(), slots + server.slots))
    }

    fn start_waiting(&mut self, target: TargetId) {
        while self.servers[target].has_free_slot()
            && let Some(index) = self.servers[target].pop()
        {
            let request = self.attempts[index as usize].key.request;
            let arrival = self.arrival(request);
            if self.now > arrival.deadline {
                self.send_report(index, Report::Shed);
                continue;
            }
            let finish = self.servers[target].start(self.now, index, arrival.work);
            self.attempts[index as usize].started = Some(self.now);
            self.add(finish, Event::Finished(index));
            if self.requests[request.0 as usize].told == Some(Outcome::NotRun) {
                self.note_wrong(request);
            }
        }
    }

    fn finished(&mut self, index: AttemptIndex) {
        let target = self.attempts[index as usize].target;
        if self.servers[target].finish(self.now, index) {
            self.attempts[index as usize].ended = Some(self.now);
            self.send_report(index, Report::Answered);
            self.start_waiting(target);
        }
    }

    /// Sends what became of an attempt to the entry that dispatched it.
    fn send_report(&mut self, index: AttemptIndex, report: Report) {
        let attempt = &mut self.attempts[index as usize];
        attempt.report = Some(report);
        let (request, from, target) = (attempt.key.request, attempt.from, attempt.target);
        let bytes = if report == Report::Answered {
            self.arrival(request).reply_bytes
        } else {
            REFUSAL_BYTES
        };
        let at = self.travel(self.document.targets[target].centre, from.centre, bytes);
        self.add(at.unwrap_or(self.now), Event::Reported(index));
    }

    fn reported(&mut self, index: AttemptIndex) {
        let Attempt { key, target, from, report: Some(report), .. } = self.attempts[index as usize]
        else {
            return;
        };
        self.attempts[index as usize].is_delivered = true;
        if self.is_alive(from) {
            self.decide(|strategy, now, out| strategy.report(now, key, target, report, out));
        }
    }

    fn incident(&mut self, incident: Incident) {
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

    fn set_factor(&mut self, target: TargetId, factor: f64) {
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

    fn recover(&mut self, centre: CentreId) {
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

    /// Takes a sample, delivers the old ones that are due, and ticks the strategy.
    fn sample(&mut self, last: Instant) {
        let sample = self.measure();
        self.tally.sampled(self.document, &self.servers);
        self.samples.push_back(sample);
        self.deliver_loads();
        self.deliver_states();
        let mut commands = std::mem::take(&mut self.commands);
        self.strategy.tick(self.now, &self.links, &mut commands);
        self.execute_all(commands);
        while self.samples.front().is_some_and(|sample| sample.at + LIST_LAG <= self.now) {
            self.samples.pop_front();
        }
        if self.now <= last || self.open > 0 {
            self.add(self.now + SAMPLE_INTERVAL, Event::Sample);
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
            self.decide(|strategy, now, out| strategy.note_load(now, target, load, out));
        }
    }

    fn deliver_states(&mut self) {
        if self.is_silent(Source::Vms) {
            return;
        }
        let Some(states) = self.due_sample(LIST_LAG).map(|sample| sample.states.clone()) else {
            return;
        };
        for (index, state) in states.into_iter().enumerate() {
            if self.told_states[index] != state {
                self.told_states[index] = state;
                let target = TargetId::from_index(index);
                self.decide(|strategy, now, out| strategy.note_state(now, target, state, out));
            }
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

/// Names of the strategies.
pub const STRATEGIES: [&str; 4] = ["ebonypass", "round-robin", "least-loaded", "independent"];

/// Plays `trace` against the strategy called `name`.
pub fn run_strategy(document: &Document, trace: &Trace, name: &str) -> anyhow::Result<Tally> {
    Ok(match name {
        "ebonypass" => run_trace(document, trace, Steer::new(document)),
        "round-robin" => {
            run_trace(document, trace, Direct::new(document, RoundRobin::new(document)))
        }
        "least-loaded" => {
            run_trace(document, trace, Direct::new(document, LeastLoaded::new(document)))
        }
        "independent" => {
            run_trace(document, trace, Direct::new(document, Independent::new(document)))
        }
        _ => anyhow::bail!("no strategy is called \"{name}\"; there are {}", STRATEGIES.join(", ")),
    })
}
