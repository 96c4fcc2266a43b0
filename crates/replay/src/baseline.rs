//! Baseline strategies: entries dispatch every request immediately, and requests wait in the queues
//! of the targets.

use ebonypass_core::id::{Arena, CentreId, Key, RegionId, TargetId};
use ebonypass_core::outcome::Outcome;
use ebonypass_core::policy::Document;
use ebonypass_core::pool::{Report, State};
use ebonypass_core::time::Instant;

use crate::strategy::{
    AttemptKey, Command, LoadReport, RequestMetadata, Strategy, nearest_centre, pool_targets,
};

/// Maximum number of dispatches of a request that targets refuse.
const ATTEMPT_LIMIT: u16 = 4;

/// Number of entries in each data centre.
const ENTRIES_PER_CENTRE: usize = 2;

/// Load-balancing policy of a baseline.
pub trait Picker {
    /// Picks one of `targets`, which is not empty.
    fn pick(
        &mut self,
        centre: CentreId,
        metadata: &RequestMetadata,
        targets: &[TargetId],
    ) -> TargetId;

    /// The entries in `centre` dispatched a request to `target`.
    fn record_dispatch(
        &mut self,
        _centre: CentreId,
        _metadata: &RequestMetadata,
        _target: TargetId,
    ) {
    }

    /// A dispatched request ended.
    fn record_end(&mut self, _centre: CentreId, _metadata: &RequestMetadata, _target: TargetId) {}

    /// A load report arrived.
    fn record_load(&mut self, _target: TargetId, _load: LoadReport) {}
}

/// Round robin over the targets of a pool, separately for each data centre.
#[derive(Debug)]
pub struct RoundRobin {
    /// Number of dispatches by data centre of the entry and by service.
    offsets: Vec<usize>,
    services: usize,
}

/// Picks the target with the least reported load; ties are broken by rotation.
#[derive(Debug)]
pub struct LeastLoaded {
    load: Arena<TargetId, u32>,
    offset: usize,
}

/// Picks the target with the fewest requests in flight from the same entry; ties are broken by
/// rotation.
#[derive(Debug)]
pub struct Independent {
    /// Requests in flight by entry and target.
    in_flight: Vec<Vec<u32>>,
    offsets: Vec<usize>,
}

/// Entries that dispatch each request immediately to a target picked by `P`.
#[derive(Debug)]
pub struct Dispatcher<'a, P> {
    document: &'a Document,
    picker: P,
    states: Vec<State>,
    /// Targets by service and region.
    pools: Vec<Vec<Vec<TargetId>>>,
    /// Data centre of the entry and metadata, indexed by request.
    requests: Vec<Option<(CentreId, RequestMetadata)>>,
}

impl RoundRobin {
    /// Creates the counters for `document`.
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
    /// Assumes that all targets of `document` are idle.
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
    /// Creates the counters for `document`, with nothing in flight.
    pub fn new(document: &Document) -> Independent {
        let entries = document.centres.len() * ENTRIES_PER_CENTRE;
        Independent {
            in_flight: vec![vec![0; document.targets.len()]; entries],
            offsets: vec![0; entries],
        }
    }

    /// Returns the index of the entry; requests of a data centre are spread over its entries.
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

/// Returns the target with the least `load`; of equal ones the first from position `offset` on.
fn least_loaded(targets: &[TargetId], offset: usize, load: impl Fn(TargetId) -> u32) -> TargetId {
    let count = targets.len();
    let rotated = (0..count).map(|step| targets[(offset + step) % count]);
    rotated.min_by_key(|&target| load(target)).expect("the target list is not empty")
}

impl<'a, P: Picker> Dispatcher<'a, P> {
    /// Creates entries without requests.
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

    /// Returns the ready targets of the entry's region or, if there are none, of all regions.
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
