//! Baselines: each entry dispatches at once, and the targets' queues hold what waits.

use ebonypass_core::id::{Arena, CentreId, Key, RegionId, TargetId};
use ebonypass_core::outcome::Outcome;
use ebonypass_core::policy::Document;
use ebonypass_core::pool::{Report, State};
use ebonypass_core::time::Instant;

use crate::strategy::{
    AttemptKey, Command, Inquiry, LoadReport, Strategy, nearest_centre, pool_targets,
};

/// The most dispatches of one request that was refused before it ran.
const ATTEMPT_LIMIT: u16 = 4;

/// Entries of a data centre.
const ENTRIES: usize = 2;

/// How a baseline picks among the targets that may take work.
pub trait Pick {
    /// One of `targets`, which is not empty.
    fn pick(&mut self, at: CentreId, inquiry: &Inquiry, targets: &[TargetId]) -> TargetId;

    /// A request was sent to `target` by the entries in `at`.
    fn sent(&mut self, _at: CentreId, _inquiry: &Inquiry, _target: TargetId) {}

    /// What was sent is over.
    fn over(&mut self, _at: CentreId, _inquiry: &Inquiry, _target: TargetId) {}

    /// A lagging load report.
    fn note_load(&mut self, _target: TargetId, _load: LoadReport) {}
}

/// The targets of a pool in turn, by data centre of the entry.
#[derive(Debug)]
pub struct RoundRobin {
    /// Dispatches so far by data centre of the entry and service.
    turns: Vec<usize>,
    services: usize,
}

/// The target with the least reported load for its slots; equal ones in turn.
#[derive(Debug)]
pub struct LeastLoaded {
    load: Arena<TargetId, u32>,
    turn: usize,
}

/// The target with the fewest requests in flight from the same entry; equal ones in turn.
#[derive(Debug)]
pub struct Independent {
    /// Requests in flight by entry and target.
    in_flight: Vec<Vec<u32>>,
    turns: Vec<usize>,
}

/// Entries that dispatch at once to a target that `P` picks.
#[derive(Debug)]
pub struct Direct<'a, P> {
    document: &'a Document,
    pick: P,
    states: Vec<State>,
    pools: Vec<Vec<Vec<TargetId>>>,
    /// Where each request entered and its inquiry, by request.
    entered: Vec<Option<(CentreId, Inquiry)>>,
}

impl RoundRobin {
    /// Turns for the entries of `document`.
    pub fn new(document: &Document) -> RoundRobin {
        let services = document.services.len();
        RoundRobin { turns: vec![0; services * document.centres.len()], services }
    }
}

impl Pick for RoundRobin {
    fn pick(&mut self, at: CentreId, inquiry: &Inquiry, targets: &[TargetId]) -> TargetId {
        let turn = &mut self.turns[at.index() * self.services + inquiry.service.index()];
        *turn += 1;
        targets[(*turn - 1) % targets.len()]
    }
}

impl LeastLoaded {
    /// No load known.
    pub fn new(document: &Document) -> LeastLoaded {
        let mut load = Arena::new();
        for _ in document.targets.values() {
            load.push(0);
        }
        LeastLoaded { load, turn: 0 }
    }
}

impl Pick for LeastLoaded {
    fn pick(&mut self, _at: CentreId, _inquiry: &Inquiry, targets: &[TargetId]) -> TargetId {
        self.turn += 1;
        least(targets, self.turn, |target| self.load[target])
    }

    fn note_load(&mut self, target: TargetId, load: LoadReport) {
        self.load[target] = load.busy + load.queued;
    }
}

impl Independent {
    /// Nothing in flight.
    pub fn new(document: &Document) -> Independent {
        let entries = document.centres.len() * ENTRIES;
        Independent {
            in_flight: vec![vec![0; document.targets.len()]; entries],
            turns: vec![0; entries],
        }
    }

    /// Clients of a data centre spread over its entries.
    fn entry(at: CentreId, inquiry: &Inquiry) -> usize {
        at.index() * ENTRIES + inquiry.request.0 as usize % ENTRIES
    }
}

impl Pick for Independent {
    fn pick(&mut self, at: CentreId, inquiry: &Inquiry, targets: &[TargetId]) -> TargetId {
        let entry = Independent::entry(at, inquiry);
        self.turns[entry] += 1;
        least(targets, self.turns[entry], |target| self.in_flight[entry][target.index()])
    }

    fn sent(&mut self, at: CentreId, inquiry: &Inquiry, target: TargetId) {
        self.in_flight[Independent::entry(at, inquiry)][target.index()] += 1;
    }

    fn over(&mut self, at: CentreId, inquiry: &Inquiry, target: TargetId) {
        let count = &mut self.in_flight[Independent::entry(at, inquiry)][target.index()];
        *count = count.saturating_sub(1);
    }
}

/// The target of least `load`; among equal ones the first from position `turn`.
fn least(targets: &[TargetId], turn: usize, load: impl Fn(TargetId) -> u32) -> TargetId {
    let count = targets.len();
    let rotated = (0..count).map(|step| targets[(turn + step) % count]);
    rotated.min_by_key(|&target| load(target)).expect("there is a target")
}

impl<'a, P: Pick> Direct<'a, P> {
    /// Entries without requests.
    pub fn new(document: &'a Document, pick: P) -> Direct<'a, P> {
        let regions: Vec<RegionId> = document.regions.iter().map(|(key, _)| key).collect();
        let pools = document.services.iter().map(|(service, _)| {
            regions.iter().map(|&region| pool_targets(document, service, region)).collect()
        });
        Direct {
            document,
            pick,
            states: vec![State::Ready; document.targets.len()],
            pools: pools.collect(),
            entered: Vec::new(),
        }
    }

    /// Targets that may take work: those of the entry's region, or else those of any region.
    fn candidates(&self, at: CentreId, inquiry: &Inquiry) -> Vec<TargetId> {
        let pools = &self.pools[inquiry.service.index()];
        let is_ready = |target: &TargetId| self.states[target.index()] == State::Ready;
        let home = &pools[self.document.region_of(at).index()];
        let ready: Vec<TargetId> = home.iter().copied().filter(is_ready).collect();
        if !ready.is_empty() {
            return ready;
        }
        pools.iter().flatten().copied().filter(is_ready).collect()
    }

    fn send(&mut self, at: CentreId, inquiry: &Inquiry, number: u16, out: &mut Vec<Command>) {
        let request = inquiry.request;
        let targets = self.candidates(at, inquiry);
        if targets.is_empty() || number >= ATTEMPT_LIMIT {
            out.push(Command::Finish { request, outcome: Outcome::NotRun });
            return;
        }
        let target = self.pick.pick(at, inquiry, &targets);
        self.pick.sent(at, inquiry, target);
        out.push(Command::Dispatch { key: AttemptKey { request, number }, target });
    }
}

impl<P: Pick> Strategy for Direct<'_, P> {
    fn entry(&mut self, inquiry: &Inquiry, alive: &[bool]) -> Option<CentreId> {
        nearest_centre(self.document, inquiry.centre, alive)
    }

    fn arrive(&mut self, _now: Instant, at: CentreId, inquiry: &Inquiry, out: &mut Vec<Command>) {
        let index = inquiry.request.0 as usize;
        if self.entered.len() <= index {
            self.entered.resize(index + 1, None);
        }
        self.entered[index] = Some((at, *inquiry));
        self.send(at, inquiry, 0, out);
    }

    fn report(
        &mut self,
        now: Instant,
        key: AttemptKey,
        target: TargetId,
        report: Report,
        out: &mut Vec<Command>,
    ) {
        let Some((at, inquiry)) = self.entered[key.request.0 as usize] else { return };
        self.pick.over(at, &inquiry, target);
        let request = key.request;
        match report {
            Report::Answered => out.push(Command::Finish { request, outcome: Outcome::Answered }),
            Report::Lost => out.push(Command::Finish { request, outcome: Outcome::Unknown }),
            Report::Shed | Report::Unsent if now >= inquiry.deadline => {
                out.push(Command::Finish { request, outcome: Outcome::NotRun })
            }
            Report::Shed | Report::Unsent => self.send(at, &inquiry, key.number + 1, out),
        }
    }

    fn note_load(
        &mut self,
        _now: Instant,
        target: TargetId,
        load: LoadReport,
        _out: &mut Vec<Command>,
    ) {
        self.pick.note_load(target, load);
        if load.is_leaving {
            self.states[target.index()] = State::Leaving;
        }
    }

    fn note_state(
        &mut self,
        _now: Instant,
        target: TargetId,
        state: State,
        _out: &mut Vec<Command>,
    ) {
        self.states[target.index()] = state;
    }
}
