//! Distribution of versions of the policy document.

mod explore;

use ebonypass_core::id::EntryId;
use ebonypass_core::time::{Instant, Span};
use ebonypass_core::version::{
    Action, FETCH_TIMEOUT, Follower, PEER_COLLECT_TIME, PEER_FALLBACK_DELAY, RETRY_DELAY, Source,
    WATCH_TIMEOUT,
};
use explore::{Clock, Decision, Store, explore, take_message};

const FIRST_PEER: EntryId = EntryId(1);
const SECOND_PEER: EntryId = EntryId(2);
const START: Instant = Instant::from_micros(1_000_000);
const FIRST_WATCH: Action = Action::Watch { after: 0, wait: Span::ZERO };

/// Takes all actions that are due.
fn take_actions<D>(follower: &mut Follower<D>, now: Instant) -> Vec<Action> {
    std::iter::from_fn(|| follower.next_action(now)).collect()
}

/// A process that has version 5 in force. In these tests, a document is just its version.
fn with_version_5(is_watcher: bool) -> Follower<u64> {
    let mut follower = Follower::new(START, [FIRST_PEER, SECOND_PEER]);
    follower.set_watcher(is_watcher);
    follower.handle_document(START, Source::Store, 5, 5);
    assert_eq!(follower.next_action(START), Some(Action::Apply { version: 5 }));
    follower
}

// While the store replies, a starting process must not wait for its peers.
#[test]
fn start_with_store_up() {
    let mut follower = Follower::new(START, [FIRST_PEER]);
    assert_eq!(take_actions(&mut follower, START), [FIRST_WATCH]);
    follower.handle_document(START, Source::Store, 7, 7);
    assert_eq!(take_actions(&mut follower, START), [Action::Apply { version: 7 }]);
}

// While the store is down, the first reply of a peer may be old: the newest must come into force.
#[test]
fn start_with_store_down() {
    let mut follower = Follower::new(START, [FIRST_PEER, SECOND_PEER]);
    assert_eq!(take_actions(&mut follower, START), [FIRST_WATCH]);
    let fetched_at = START + PEER_FALLBACK_DELAY;
    let fetch = |peer| Action::Fetch { peer, version: 0 };
    assert_eq!(take_actions(&mut follower, fetched_at), [fetch(FIRST_PEER), fetch(SECOND_PEER)]);
    follower.handle_document(fetched_at, Source::Peer(FIRST_PEER), 6, 6);
    follower.handle_document(fetched_at, Source::Peer(SECOND_PEER), 7, 7);
    assert_eq!(follower.version(), 0);
    let collected_at = fetched_at + PEER_COLLECT_TIME;
    assert!(take_actions(&mut follower, collected_at).contains(&Action::Apply { version: 7 }));
}

// After an error of the store, peers must be asked at once, without the fallback delay.
#[test]
fn start_with_store_error() {
    let mut follower = Follower::<u64>::new(START, [FIRST_PEER]);
    assert_eq!(take_actions(&mut follower, START), [FIRST_WATCH]);
    follower.handle_store_failure(START);
    assert_eq!(
        take_actions(&mut follower, START),
        [Action::Fetch { peer: FIRST_PEER, version: 0 }]
    );
}

// A document older than a version that a peer announced must not come into force.
#[test]
fn older_than_announced() {
    let mut follower = Follower::new(START, [FIRST_PEER, SECOND_PEER]);
    follower.handle_store_failure(START);
    follower.handle_announced_version(START, FIRST_PEER, 8);
    take_actions(&mut follower, START);
    follower.handle_document(START, Source::Peer(SECOND_PEER), 7, 7);
    take_actions(&mut follower, START + PEER_COLLECT_TIME);
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
    follower.handle_announced_version(START, FIRST_PEER, 6);
    follower.handle_announced_version(START, SECOND_PEER, 6);
    let fetch = |peer| Action::Fetch { peer, version: 6 };
    assert_eq!(take_actions(&mut follower, START), [fetch(FIRST_PEER)]);
    follower.handle_fetch_failure(START, FIRST_PEER);
    assert_eq!(take_actions(&mut follower, START), [fetch(SECOND_PEER)]);
    // By now, the other fetch has timed out and the delay before a retry is over.
    let late = START + FETCH_TIMEOUT.max(RETRY_DELAY);
    assert_eq!(take_actions(&mut follower, late), [fetch(FIRST_PEER)]);
}

// A wake-up time in the past would make the process spin while a fetch is in flight.
#[test]
fn wake_at_fetch_timeout() {
    let mut follower = with_version_5(false);
    assert_eq!(follower.wake_at(), Instant::MAX);
    follower.handle_announced_version(START, FIRST_PEER, 6);
    take_actions(&mut follower, START);
    assert_eq!(follower.wake_at(), START + FETCH_TIMEOUT);
}

// Processes that are not watchers must not read: all of them together would exhaust the store's read
// rate.
#[test]
fn only_watchers_watch() {
    assert_eq!(take_actions(&mut with_version_5(false), START), []);
    let watch = Action::Watch { after: 5, wait: WATCH_TIMEOUT };
    assert_eq!(take_actions(&mut with_version_5(true), START), [watch]);
}

// An invalid document must neither come into force nor be fetched again and again.
#[test]
fn invalid_document() {
    let mut follower = with_version_5(false);
    follower.handle_announced_version(START, FIRST_PEER, 6);
    take_actions(&mut follower, START);
    follower.handle_invalid_document(START, Source::Peer(FIRST_PEER), 6);
    assert_eq!(follower.version(), 5);
    assert_eq!(take_actions(&mut follower, START + RETRY_DELAY), []);
    assert_eq!(follower.wake_at(), Instant::MAX);
}

const PROCESSES: usize = 4;

/// The reply to a `Read` of the store goes to `to`, the reply to a `Fetch` from `peer` goes to `from`.
enum Message {
    Read { to: Address },
    Fetch { from: Address, peer: usize },
    Document { to: Address, source: Source, version: u64 },
    NoReply { to: Address, source: Source },
    Heartbeat { to: usize, from: usize, version: u64 },
}

/// Names one run of a process. Replies to earlier runs are dropped.
#[derive(Clone, Copy, PartialEq)]
struct Address {
    process: usize,
    incarnation: u32,
}

struct Process {
    clock: Clock,
    follower: Follower<u64>,
    incarnation: u32,
    is_paused: bool,
    /// The highest version that was delivered or announced to it.
    highest_seen: u64,
    /// Each version that came into force, with `highest_seen` at that time.
    applied: Vec<(u64, u64)>,
}

impl Process {
    fn new(number: usize, incarnation: u32, real_time: Instant) -> Process {
        let clock = Clock::new(number);
        let peers = (0..PROCESSES).filter(|&peer| peer != number);
        let peers = peers.map(|peer| EntryId(peer as u32));
        let mut follower = Follower::new(clock.read(real_time), peers);
        // Two processes read the store. The others get new versions from their peers.
        follower.set_watcher(number < 2);
        Process {
            clock,
            follower,
            incarnation,
            is_paused: false,
            highest_seen: 0,
            applied: Vec::new(),
        }
    }

    /// Records the version in force if it changed.
    fn record_version(&mut self) {
        let version = self.follower.version();
        if version != self.applied.last().map_or(0, |last| last.0) {
            self.applied.push((version, self.highest_seen));
        }
    }
}

struct Simulation {
    real_time: Instant,
    store: Store<()>,
    processes: Vec<Process>,
    in_flight: Vec<Message>,
    /// Whether each document that arrives is recorded as applied, as if the process had accepted it.
    accepts_any_version: bool,
}

impl Simulation {
    fn new(accepts_any_version: bool) -> Simulation {
        let real_time = START;
        let processes = (0..PROCESSES).map(|number| Process::new(number, 0, real_time)).collect();
        Simulation {
            real_time,
            store: Store::new(),
            processes,
            in_flight: Vec::new(),
            accepts_any_version,
        }
    }

    fn step(&mut self, decision: Decision) {
        let process = decision.index(PROCESSES);
        match decision.kind(16) {
            0 | 1 => self.real_time = self.real_time + decision.duration(Span::from_secs(5)),
            2..=5 => self.poll(process),
            6..=9 => {
                if let Some(message) = take_message(&mut self.in_flight, decision) {
                    self.deliver(message);
                }
            }
            // A message is lost.
            10 => drop(take_message(&mut self.in_flight, decision)),
            11 | 12 => self.announce(process, decision.second_index(PROCESSES)),
            // A new version is published.
            13 => {
                self.store.put(self.store.version, ());
            }
            14 if decision.second_index(4) == 0 => self.store.is_down ^= true,
            14 => self.processes[process].is_paused ^= true,
            // The process restarts.
            _ if decision.second_index(4) == 0 => {
                let incarnation = self.processes[process].incarnation + 1;
                self.processes[process] = Process::new(process, incarnation, self.real_time);
            }
            _ => {}
        }
    }

    fn poll(&mut self, number: usize) {
        let process = &mut self.processes[number];
        if process.is_paused {
            return;
        }
        let now = process.clock.read(self.real_time);
        let address = Address { process: number, incarnation: process.incarnation };
        while let Some(action) = process.follower.next_action(now) {
            match action {
                Action::Watch { .. } => self.in_flight.push(Message::Read { to: address }),
                Action::Fetch { peer, .. } => {
                    self.in_flight.push(Message::Fetch { from: address, peer: peer.0 as usize });
                }
                Action::Apply { version } => assert_eq!(version, process.follower.version()),
            }
        }
        process.record_version();
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
                let is_unanswered = self.store.is_down || version == 0;
                self.in_flight.push(match is_unanswered {
                    true => Message::NoReply { to, source },
                    false => Message::Document { to, source, version },
                });
            }
            Message::Fetch { from, peer } => {
                let source = Source::Peer(EntryId(peer as u32));
                self.in_flight.push(match self.processes[peer].follower.version() {
                    0 => Message::NoReply { to: from, source },
                    version => Message::Document { to: from, source, version },
                });
            }
            Message::Document { to, source, version } => {
                let accepts_any_version = self.accepts_any_version;
                let Some((process, now)) = self.receiver(to) else { return };
                process.highest_seen = process.highest_seen.max(version);
                process.follower.handle_document(now, source, version, version);
                match accepts_any_version {
                    true => process.applied.push((version, process.highest_seen)),
                    false => process.record_version(),
                }
            }
            Message::NoReply { to, source } => {
                let Some((process, now)) = self.receiver(to) else { return };
                match source {
                    Source::Store => process.follower.handle_store_failure(now),
                    Source::Peer(peer) => process.follower.handle_fetch_failure(now, peer),
                }
            }
            Message::Heartbeat { to, from, version } => {
                let incarnation = self.processes[to].incarnation;
                let to = Address { process: to, incarnation };
                let Some((process, now)) = self.receiver(to) else { return };
                process.highest_seen = process.highest_seen.max(version);
                process.follower.handle_announced_version(now, EntryId(from as u32), version);
            }
        }
    }

    /// The receiver of a message and its time, unless it has restarted or is paused.
    fn receiver(&mut self, to: Address) -> Option<(&mut Process, Instant)> {
        let process = &mut self.processes[to.process];
        let now = process.clock.read(self.real_time);
        let is_running = process.incarnation == to.incarnation && !process.is_paused;
        is_running.then_some((process, now))
    }

    fn check(&self) -> Result<(), String> {
        for (number, process) in self.processes.iter().enumerate() {
            let applied = &process.applied;
            if applied.windows(2).any(|pair| pair[1].0 <= pair[0].0) {
                return Err(format!("process {number} went back to an older version: {applied:?}"));
            }
            if applied.iter().any(|&(version, highest_seen)| version < highest_seen) {
                return Err(format!(
                    "process {number} applied a version older than one delivered to it: {applied:?}"
                ));
            }
            let current = process.follower.current();
            if current.is_some_and(|held| held.version != held.value) {
                return Err(format!(
                    "process {number} has a document that is not of its version: {current:?}"
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
            self.real_time = self.real_time + Span::from_millis(250);
            for number in 0..PROCESSES {
                self.poll(number);
                (0..PROCESSES).for_each(|to| self.announce(number, to));
            }
            // Twice, so that calls made in this 250 ms step also get their replies in it.
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
    // A new version must be in force everywhere within 16 s, see `WATCH_TIMEOUT`.
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
    let violation = explore(400, 300, |decisions| run(decisions, true)).unwrap_err();
    assert!(
        violation.contains("went back to an older")
            || violation.contains("older than one delivered"),
        "{violation}"
    );
}
