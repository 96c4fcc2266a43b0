//! Distribution of versions of the policy document.

mod explore;

use ebonypass_core::id::EntryId;
use ebonypass_core::time::{Instant, Span};
use ebonypass_core::version::{
    Action, FETCH_TIMEOUT, Follower, PEER_COLLECT_TIME, PEER_FALLBACK_DELAY, RETRY_DELAY, Source,
    WATCH_TIMEOUT,
};
use explore::{Clock, Decision, Store, explore, take_message};

const PEER: EntryId = EntryId(1);
const OTHER: EntryId = EntryId(2);
const START: Instant = Instant::from_micros(1_000_000);
const FIRST_READ: Action = Action::Watch { after: 0, wait: Span::ZERO };

fn actions<D>(follower: &mut Follower<D>, now: Instant) -> Vec<Action> {
    std::iter::from_fn(|| follower.next_action(now)).collect()
}

/// A process that has version 5 in force.
fn with_version_5(is_watcher: bool) -> Follower<u64> {
    let mut follower = Follower::new(START, [PEER, OTHER]);
    follower.set_watcher(is_watcher);
    follower.handle_document(START, Source::Store, 5, 5);
    assert_eq!(follower.next_action(START), Some(Action::Apply { version: 5 }));
    follower
}

// While the store replies, a starting process must not wait for its peers.
#[test]
fn start_with_store_up() {
    let mut follower = Follower::new(START, [PEER]);
    assert_eq!(actions(&mut follower, START), [FIRST_READ]);
    follower.handle_document(START, Source::Store, 7, 7);
    assert_eq!(actions(&mut follower, START), [Action::Apply { version: 7 }]);
}

// While the store is down, the first reply of a peer may be old: the newest must come into force.
#[test]
fn start_with_store_down() {
    let mut follower = Follower::new(START, [PEER, OTHER]);
    assert_eq!(actions(&mut follower, START), [FIRST_READ]);
    let asked = START + PEER_FALLBACK_DELAY;
    let fetch = |peer| Action::Fetch { peer, version: 0 };
    assert_eq!(actions(&mut follower, asked), [fetch(PEER), fetch(OTHER)]);
    follower.handle_document(asked, Source::Peer(PEER), 6, 6);
    follower.handle_document(asked, Source::Peer(OTHER), 7, 7);
    assert_eq!(follower.version(), 0);
    let adopted = asked + PEER_COLLECT_TIME;
    assert!(actions(&mut follower, adopted).contains(&Action::Apply { version: 7 }));
}

// After an error of the store, peers must be asked at once, without the fallback delay.
#[test]
fn start_with_store_error() {
    let mut follower = Follower::<u64>::new(START, [PEER]);
    assert_eq!(actions(&mut follower, START), [FIRST_READ]);
    follower.handle_store_failure(START);
    assert_eq!(actions(&mut follower, START), [Action::Fetch { peer: PEER, version: 0 }]);
}

// A document older than a version that a peer announced must not come into force.
#[test]
fn older_than_announced() {
    let mut follower = Follower::new(START, [PEER, OTHER]);
    follower.handle_store_failure(START);
    follower.handle_announced_version(START, PEER, 8);
    actions(&mut follower, START);
    follower.handle_document(START, Source::Peer(OTHER), 7, 7);
    actions(&mut follower, START + PEER_COLLECT_TIME);
    assert_eq!(follower.version(), 0);
    follower.handle_document(START + PEER_COLLECT_TIME, Source::Store, 7, 7);
    assert_eq!(follower.version(), 0);
    follower.handle_document(START + PEER_COLLECT_TIME, Source::Store, 8, 8);
    assert_eq!(follower.version(), 8);
}

// If a peer does not deliver the version that it announced, another peer must be asked.
#[test]
fn fetch_from_another_peer() {
    let mut follower = with_version_5(false);
    follower.handle_announced_version(START, PEER, 6);
    follower.handle_announced_version(START, OTHER, 6);
    let fetch = |peer| Action::Fetch { peer, version: 6 };
    assert_eq!(actions(&mut follower, START), [fetch(PEER)]);
    follower.handle_fetch_failure(START, PEER);
    assert_eq!(actions(&mut follower, START), [fetch(OTHER)]);
    let late = START + FETCH_TIMEOUT.max(RETRY_DELAY);
    assert_eq!(actions(&mut follower, late), [fetch(PEER)]);
}

// A wake-up time in the past would make the process spin while a fetch is in flight.
#[test]
fn wake_time() {
    let mut follower = with_version_5(false);
    assert_eq!(follower.wake_at(), Instant::MAX);
    follower.handle_announced_version(START, PEER, 6);
    actions(&mut follower, START);
    assert_eq!(follower.wake_at(), START + FETCH_TIMEOUT);
}

// Only watchers may watch: reads by every process would exhaust the store's read rate.
#[test]
fn only_watchers_watch() {
    assert_eq!(actions(&mut with_version_5(false), START), []);
    let watch = Action::Watch { after: 5, wait: WATCH_TIMEOUT };
    assert_eq!(actions(&mut with_version_5(true), START), [watch]);
}

// An invalid document must neither come into force nor be fetched again and again.
#[test]
fn invalid_document() {
    let mut follower = with_version_5(false);
    follower.handle_announced_version(START, PEER, 6);
    actions(&mut follower, START);
    follower.handle_invalid_document(START, Source::Peer(PEER), 6);
    assert_eq!(follower.version(), 5);
    assert_eq!(actions(&mut follower, START + RETRY_DELAY), []);
    assert_eq!(follower.wake_at(), Instant::MAX);
}

const PROCESSES: usize = 4;

enum Message {
    Read { to: Address },
    Fetch { from: Address, at: usize },
    Document { to: Address, source: Source, version: u64 },
    NoReply { to: Address, source: Source },
    Heartbeat { to: usize, from: usize, version: u64 },
}

/// Names one run of a process. Replies to earlier runs are dropped.
#[derive(Clone, Copy, PartialEq)]
struct Address {
    process: usize,
    generation: u32,
}

struct Process {
    clock: Clock,
    follower: Follower<u64>,
    generation: u32,
    is_paused: bool,
    /// The highest version that was delivered to it.
    highest_delivered: u64,
    /// Each version that came into force, with `highest_delivered` at that time.
    applied: Vec<(u64, u64)>,
}

impl Process {
    fn new(number: usize, generation: u32, real: Instant) -> Process {
        let clock = Clock::new(number);
        let peers = (0..PROCESSES).filter(|&peer| peer != number);
        let peers = peers.map(|peer| EntryId(peer as u32));
        let mut follower = Follower::new(clock.read(real), peers);
        follower.set_watcher(number < 2);
        Process {
            clock,
            follower,
            generation,
            is_paused: false,
            highest_delivered: 0,
            applied: Vec::new(),
        }
    }

    /// Records the version in force if it changed.
    fn record(&mut self) {
        let version = self.follower.version();
        if version != self.applied.last().map_or(0, |last| last.0) {
            self.applied.push((version, self.highest_delivered));
        }
    }
}

struct Simulation {
    real: Instant,
    store: Store<()>,
    processes: Vec<Process>,
    in_flight: Vec<Message>,
    /// Injects the fault that a process accepts every document that arrives.
    accepts_any_version: bool,
}

impl Simulation {
    fn new(accepts_any_version: bool) -> Simulation {
        let real = START;
        let processes = (0..PROCESSES).map(|number| Process::new(number, 0, real)).collect();
        Simulation {
            real,
            store: Store::new(),
            processes,
            in_flight: Vec::new(),
            accepts_any_version,
        }
    }

    fn step(&mut self, decision: Decision) {
        let process = decision.index(PROCESSES);
        match decision.kind(16) {
            0 | 1 => self.real = self.real + decision.duration(Span::from_secs(5)),
            2..=5 => self.poll(process),
            6..=9 => {
                if let Some(message) = take_message(&mut self.in_flight, decision) {
                    self.deliver(message);
                }
            }
            10 => drop(take_message(&mut self.in_flight, decision)),
            11 | 12 => self.announce(process, decision.second_index(PROCESSES)),
            13 => {
                self.store.put(self.store.version, ());
            }
            14 if decision.second_index(4) == 0 => self.store.is_down ^= true,
            14 => self.processes[process].is_paused ^= true,
            _ if decision.second_index(4) == 0 => {
                let generation = self.processes[process].generation + 1;
                self.processes[process] = Process::new(process, generation, self.real);
            }
            _ => {}
        }
    }

    fn poll(&mut self, number: usize) {
        let process = &mut self.processes[number];
        if process.is_paused {
            return;
        }
        let now = process.clock.read(self.real);
        let address = Address { process: number, generation: process.generation };
        while let Some(action) = process.follower.next_action(now) {
            match action {
                Action::Watch { .. } => self.in_flight.push(Message::Read { to: address }),
                Action::Fetch { peer, .. } => {
                    self.in_flight.push(Message::Fetch { from: address, at: peer.0 as usize });
                }
                Action::Apply { version } => assert_eq!(version, process.follower.version()),
            }
        }
        process.record();
    }

    fn announce(&mut self, from: usize, to: usize) {
        let version = self.processes[from].follower.version();
        if from != to {
            self.in_flight.push(Message::Heartbeat { to, from, version });
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Read { to } => {
                let (source, version) = (Source::Store, self.store.version);
                let has_no_reply = self.store.is_down || version == 0;
                self.in_flight.push(match has_no_reply {
                    true => Message::NoReply { to, source },
                    false => Message::Document { to, source, version },
                });
            }
            Message::Fetch { from, at } => {
                let source = Source::Peer(EntryId(at as u32));
                self.in_flight.push(match self.processes[at].follower.version() {
                    0 => Message::NoReply { to: from, source },
                    version => Message::Document { to: from, source, version },
                });
            }
            Message::Document { to, source, version } => {
                let accepts_any_version = self.accepts_any_version;
                let Some((process, now)) = self.running(to) else { return };
                process.highest_delivered = process.highest_delivered.max(version);
                process.follower.handle_document(now, source, version, version);
                match accepts_any_version {
                    true => process.applied.push((version, process.highest_delivered)),
                    false => process.record(),
                }
            }
            Message::NoReply { to, source } => {
                let Some((process, now)) = self.running(to) else { return };
                match source {
                    Source::Store => process.follower.handle_store_failure(now),
                    Source::Peer(peer) => process.follower.handle_fetch_failure(now, peer),
                }
            }
            Message::Heartbeat { to, from, version } => {
                let generation = self.processes[to].generation;
                let to = Address { process: to, generation };
                let Some((process, now)) = self.running(to) else { return };
                process.highest_delivered = process.highest_delivered.max(version);
                process.follower.handle_announced_version(now, EntryId(from as u32), version);
            }
        }
    }

    fn running(&mut self, to: Address) -> Option<(&mut Process, Instant)> {
        let process = &mut self.processes[to.process];
        let now = process.clock.read(self.real);
        let is_running = process.generation == to.generation && !process.is_paused;
        is_running.then_some((process, now))
    }

    fn check(&self) -> Result<(), String> {
        for (number, process) in self.processes.iter().enumerate() {
            let applied = &process.applied;
            if applied.windows(2).any(|pair| pair[1].0 <= pair[0].0) {
                return Err(format!("process {number} went back to an older version: {applied:?}"));
            }
            if applied.iter().any(|&(version, highest_delivered)| version < highest_delivered) {
                return Err(format!(
                    "process {number} applied a version older than one delivered to it: {applied:?}"
                ));
            }
            let current = process.follower.current();
            if current.is_some_and(|held| held.version != held.value) {
                return Err(format!(
                    "process {number} has another document under its version: {current:?}"
                ));
            }
        }
        Ok(())
    }

    /// Ends all faults, writes a new version and runs every process for `seconds`.
    fn recover(&mut self, seconds: u64) {
        self.store.is_down = false;
        self.store.put(self.store.version, ());
        self.processes.iter_mut().for_each(|process| process.is_paused = false);
        for _ in 0..seconds * 4 {
            self.real = self.real + Span::from_millis(250);
            for number in 0..PROCESSES {
                self.poll(number);
                (0..PROCESSES).for_each(|to| self.announce(number, to));
            }
            // Twice, so that replies to calls of this round arrive within it.
            for _ in 0..2 {
                let messages = std::mem::take(&mut self.in_flight);
                messages.into_iter().for_each(|message| self.deliver(message));
            }
        }
    }
}

fn run(decisions: &[Decision], accepts_any_version: bool) -> Result<(), String> {
    let mut simulation = Simulation::new(accepts_any_version);
    for &decision in decisions {
        simulation.step(decision);
        simulation.check()?;
    }
    // A new version must be in force everywhere within 16 s.
    simulation.recover(16);
    simulation.check()?;
    let newest = simulation.store.version;
    let versions = simulation.processes.iter().map(|process| process.follower.version());
    let versions: Vec<u64> = versions.collect();
    if versions.iter().any(|&version| version != newest) {
        return Err(format!("versions {versions:?} are in force, but the store has {newest}"));
    }
    Ok(())
}

// Versions must never go back, and all processes must reach the newest one within 16 s, under
// message loss, reordering, clock drift, pauses, restarts and store outages.
#[test]
fn versions_converge() {
    explore(400, 300, |decisions| run(decisions, false)).unwrap();
}

// Checks that the property test detects processes that accept older documents.
#[test]
fn detects_accepting_older_versions() {
    let fault = explore(400, 300, |decisions| run(decisions, true)).unwrap_err();
    assert!(
        fault.contains("went back to an older") || fault.contains("older than one delivered"),
        "{fault}"
    );
}
