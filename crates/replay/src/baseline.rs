//! Baselines: each entry dispatches at once, and the targets' queues hold what waits.

use ebonypass_core::id::{Arena, CentreId, Key, RegionId, TargetId};
use ebonypass_core::outcome::Outcome;
use ebonypass_core::policy::Document;
use ebonypass_core::pool::{Report, State};
use ebonypass_core::time::Instant;

use crate::strategy::{
    AttemptKey, Command, LoadReport, RequestMetadata, Strategy, nearest_centre, pool_targets,
};

/// The most dispatches of one request that was refused before it ran.
const ATTEMPT_LIMIT: u16 = 4;

/// Entries of a data centre.
const ENTRIES_PER_CENTRE: usize = 2;

/// How a baseline picks among the targets that may take work.
pub trait Picker {
    /// One of `targets`, which is not empty.
    fn pick(
        &mut self,
        centre: CentreId,
        metadata: &RequestMetadata,
        targets: &[TargetId],
    ) -> TargetId;

    /// A request was sent to `target` by the entries in `at`.
    fn record_dispatch(
        &mut self,
        _centre: CentreId,
        _metadata: &RequestMetadata,
        _target: TargetId,
    ) {
    }

    /// What was sent is over.
    fn record_end(&mut self, _centre: CentreId, _metadata: &RequestMetadata, _target: TargetId) {}

    /// A lagging load report.
    fn record_load(&mut self, _target: TargetId, _load: LoadReport) {}
}

/// The targets of a pool in turn, by data centre of the entry.
#[derive(Debug)]
pub struct RoundRobin {
    /// Dispatches so far by data centre of the entry and service.
    offsets: Vec<usize>,
    services: usize,
}

/// The target with the least reported load for its slots; equal ones in turn.
#[derive(Debug)]
pub struct LeastLoaded {
    load: Arena<TargetId, u32>,
    offset: usize,
}

/// The target with the fewest requests in flight from the same entry; equal ones in turn.
#[derive(Debug)]
pub struct Independent {
    /// Requests in flight by entry and target.
    in_flight: Vec<Vec<u32>>,
    offsets: Vec<usize>,
}

/// Entries that dispatch at once to a target that `P` picks.
#[derive(Debug)]
pub struct Dispatcher<'a, P> {
    document: &'a Document,
    picker: P,
    states: Vec<State>,
    pools: Vec<Vec<Vec<TargetId>>>,
    /// Where each request entered and its inquiry, by request.
    requests: Vec<Option<(CentreId, RequestMetadata)>>,
}

impl RoundRobin {
    /// Turns for the entries of `document`.
    pub fn new(document: &Document) -> RoundRobin {
        let services = document.services.len();
        RoundRobin { offsets: vec![0; services * document.centres.len()], services }
    }
}

impl Picker for RoundRobin {
    fn pick(
        &mut self,
        centre: CentreId,
        metadata: &RequestMetadata,
        targets: &[TargetId],
    ) -> TargetId {
        let offset = &mut self.offsets[centre.index() * self.services + metadata.service.index()];
        *offset += 1;
        targets[(*offset - 1) % targets.len()]
    }
}

impl LeastLoaded {
    /// No load known.
    pub fn new(document: &Document) -> LeastLoaded {
        let mut load = Arena::new();
        for _ in document.targets.values() {
            load.push(0);
        }
        LeastLoaded { load, offset: 0 }
    }
}

impl Picker for LeastLoaded {
    fn pick(
        &mut self,
        _centre: CentreId,
        _metadata: &RequestMetadata,
        targets: &[TargetId],
    ) -> TargetId {
        self.offset += 1;
        least_loaded(targets, self.offset, |target| self.load[target])
    }

    fn record_load(&mut self, target: TargetId, load: LoadReport) {
        self.load[target] = load.busy + load.queued;
    }
}

impl Independent {
    /// Nothing in flight.
    pub fn new(document: &Document) -> Independent {
        let entries = document.centres.len() * ENTRIES_PER_CENTRE;
        Independent {
            in_flight: vec![vec![0; document.targets.len()]; entries],
            offsets: vec![0; entries],
        }
    }

    /// Clients of a data centre spread over its entries.
    fn entry(centre: CentreId, metadata: &RequestMetadata) -> usize {
        centre.index() * ENTRIES_PER_CENTRE + metadata.request.0 as usize % ENTRIES_PER_CENTRE
    }
}

impl Picker for Independent {
    fn pick(
        &mut self,
        centre: CentreId,
        metadata: &RequestMetadata,
        targets: &[TargetId],
    ) -> TargetId {
        let entry = Independent::entry(centre, metadata);
        self.offsets[entry] += 1;
        least_loaded(targets, self.offsets[entry], |target| self.in_flight[entry][target.index()])
    }

    fn record_dispatch(&mut self, centre: CentreId, metadata: &RequestMetadata, target: TargetId) {
        self.in_flight[Independent::entry(centre, metadata)][target.index()] += 1;
    }

    fn record_end(&mut self, centre: CentreId, metadata: &RequestMetadata, target: TargetId) {
        let count = &mut self.in_flight[Independent::entry(centre, metadata)][target.index()];
        *count = count.saturating_sub(1);
    }
}

/// The target of least `load`; among equal ones the first from position `turn`.
fn least_loaded(targets: &[TargetId], offset: usize, load: impl Fn(TargetId) -> u32) -> TargetId {
    let count = targets.len();
    let rotated = (0..count).map(|step| targets[(offset + step) % count]);
    rotated.min_by_key(|&target| load(target)).expect("there is a target")
}

impl<'a, P: Picker> Dispatcher<'a, P> {
    /// Entries without requests.
    pub fn new(document: &'a Document, picker: P) -> Dispatcher<'a, P> {
        let regions: Vec<RegionId> = document.regions.iter().map(|(key, _)| key).collect();
        let pools = document.services.iter().map(|(service, _)| {
            regions.iter().map(|&region| pool_targets(document, service, region)).collect()
        });
        Dispatcher {
            document,
            picker,
            states: vec![State::Ready; document.targets.len()],
            pools: pools.collect(),
            requests: Vec::new(),
        }
    }

    /// Targets that may take work: those of the entry's region, or else those of any region.
    fn candidates(&self, centre: CentreId, metadata: &RequestMetadata) -> Vec<TargetId> {
        let pools = &self.pools[metadata.service.index()];
        let is_ready = |target: &TargetId| self.states[target.index()] == State::Ready;
        let local = &pools[self.document.region_of(centre).index()];
        let ready: Vec<TargetId> = local.iter().copied().filter(is_ready).collect();
        if !ready.is_empty() {
            return ready;
        }
        pools.iter().flatten().copied().filter(is_ready).collect()
    }

    fn dispatch(
        &mut self,
        centre: CentreId,
        metadata: &RequestMetadata,
        number: u16,
        out: &mut Vec<Command>,
    ) {
        let request = metadata.request;
        let targets = self.candidates(centre, metadata);
        if targets.is_empty() || number >= ATTEMPT_LIMIT {
            out.push(Command::Reply { request, outcome: Outcome::NotRun });
            return;
        }
        let target = self.picker.pick(centre, metadata, &targets);
        self.picker.record_dispatch(centre, metadata, target);
        out.push(Command::Dispatch { key: AttemptKey { request, number }, target });
    }
}

impl<P: Picker> Strategy for Dispatcher<'_, P> {
    fn choose_entry(&mut self, metadata: &RequestMetadata, alive: &[bool]) -> Option<CentreId> {
        nearest_centre(self.document, metadata.centre, alive)
    }

    fn handle_request(
        &mut self,
        _now: Instant,
        centre: CentreId,
        metadata: &RequestMetadata,
        out: &mut Vec<Command>,
    ) {
        let index = metadata.request.0 as usize;
        if self.requests.len() <= index {
            self.requests.resize(index + 1, None);
        }
        self.requests[index] = Some((centre, *metadata));
        self.dispatch(centre, metadata, 0, out);
    }

    fn handle_report(
        &mut self,
        now: Instant,
        key: AttemptKey,
        target: TargetId,
        report: Report,
        out: &mut Vec<Command>,
    ) {
        let Some((centre, metadata)) = self.requests[key.request.0 as usize] else { return };
        self.picker.record_end(centre, &metadata, target);
        let request = key.request;
        match report {
            Report::Answered => out.push(Command::Reply { request, outcome: Outcome::Answered }),
            Report::Lost => out.push(Command::Reply { request, outcome: Outcome::Unknown }),
            Report::Shed | Report::Unsent if now >= metadata.deadline => {
                out.push(Command::Reply { request, outcome: Outcome::NotRun })
            }
            Report::Shed | Report::Unsent => self.dispatch(centre, &metadata, key.number + 1, out),
        }
    }

    fn handle_load(
        &mut self,
        _now: Instant,
        target: TargetId,
        load: LoadReport,
        _out: &mut Vec<Command>,
    ) {
        self.picker.record_load(target, load);
        if load.is_leaving {
            self.states[target.index()] = State::Leaving;
        }
    }

    fn handle_state(
        &mut self,
        _now: Instant,
        target: TargetId,
        state: State,
        _out: &mut Vec<Command>,
    ) {
        self.states[target.index()] = state;
    }
}
