//! Versions in force at processes.

mod explore;

use ebonypass_core::id::EntryId;
use ebonypass_core::time::{Instant, Span};
use ebonypass_core::version::{
    Action, FETCH_TIMEOUT, Follower, PEER_WAIT, RETRY_PAUSE, STORE_PATIENCE, Source, WATCH_WAIT,
};
use explore::{Clock, Store, Word, draw, explore};

const PEER: EntryId = EntryId(1);
const OTHER: EntryId = EntryId(2);
const START: Instant = Instant::from_micros(1_000_000);
const FIRST_READ: Action = Action::Watch { after: 0, wait: Span::ZERO };

fn actions<D>(follower: &mut Follower<D>, now: Instant) -> Vec<Action> {
    std::iter::from_fn(|| follower.next_action(now)).collect()
}

/// A process that has version 5 in force.
fn settled(is_watcher: bool) -> Follower<u64> {
    let mut follower = Follower::new(START, [PEER, OTHER]);
    follower.set_watcher(is_watcher);
    follower.note_document(START, Source::Store, 5, 5);
    assert_eq!(follower.next_action(START), Some(Action::Apply { version: 5 }));
    follower
}

// With the store up, a fresh process must not wait for its peers.
#[test]
fn store_up() {
    let mut follower = Follower::new(START, [PEER]);
    assert_eq!(actions(&mut follower, START), [FIRST_READ]);
    follower.note_document(START, Source::Store, 7, 7);
    assert_eq!(actions(&mut follower, START), [Action::Apply { version: 7 }]);
}

// With the store down, the first answer of a peer may be an old one.
#[test]
fn store_down() {
    let mut follower = Follower::new(START, [PEER, OTHER]);
    assert_eq!(actions(&mut follower, START), [FIRST_READ]);
    let asked = START + STORE_PATIENCE;
    let fetch = |peer| Action::Fetch { peer, version: 0 };
    assert_eq!(actions(&mut follower, asked), [fetch(PEER), fetch(OTHER)]);
    follower.note_document(asked, Source::Peer(PEER), 6, 6);
    follower.note_document(asked, Source::Peer(OTHER), 7, 7);
    assert_eq!(follower.version(), 0);
    let done = asked + PEER_WAIT;
    assert!(actions(&mut follower, done).contains(&Action::Apply { version: 7 }));
}

// An error of the store is known at once; peers must be asked without the patience.
#[test]
fn store_failure() {
    let mut follower = Follower::<u64>::new(START, [PEER]);
    assert_eq!(actions(&mut follower, START), [FIRST_READ]);
    follower.note_store_failure(START);
    assert_eq!(actions(&mut follower, START), [Action::Fetch { peer: PEER, version: 0 }]);
}

// A version that a peer announced counts as seen: an older document must not come into force.
#[test]
fn announced_version() {
    let mut follower = Follower::new(START, [PEER, OTHER]);
    follower.note_store_failure(START);
    follower.note_announced_version(START, PEER, 8);
    actions(&mut follower, START);
    follower.note_document(START, Source::Peer(OTHER), 7, 7);
    actions(&mut follower, START + PEER_WAIT);
    assert_eq!(follower.version(), 0);
    follower.note_document(START + PEER_WAIT, Source::Store, 7, 7);
    assert_eq!(follower.version(), 0);
    follower.note_document(START + PEER_WAIT, Source::Store, 8, 8);
    assert_eq!(follower.version(), 8);
}

// A peer that announces a version and does not give it must not stop the fetching.
#[test]
fn other_peer() {
    let mut follower = settled(false);
    follower.note_announced_version(START, PEER, 6);
    follower.note_announced_version(START, OTHER, 6);
    let fetch = |peer| Action::Fetch { peer, version: 6 };
    assert_eq!(actions(&mut follower, START), [fetch(PEER)]);
    follower.note_fetch_failure(START, PEER);
    assert_eq!(actions(&mut follower, START), [fetch(OTHER)]);
    let late = START + FETCH_TIMEOUT.max(RETRY_PAUSE);
    assert_eq!(actions(&mut follower, late), [fetch(PEER)]);
}

// A wake-up time in the past would keep a process busy while it waits for a fetch.
#[test]
fn wake_time() {
    let mut follower = settled(false);
    assert_eq!(follower.wake_at(), Instant::MAX);
    follower.note_announced_version(START, PEER, 6);
    actions(&mut follower, START);
    assert_eq!(follower.wake_at(), START + FETCH_TIMEOUT);
}

// Reads of every process would use up the store's read rate: only watchers watch.
#[test]
fn watchers_watch() {
    assert_eq!(actions(&mut settled(false), START), []);
    let watch = Action::Watch { after: 5, wait: WATCH_WAIT };
    assert_eq!(actions(&mut settled(true), START), [watch]);
}

// A document that is not valid here must neither come into force nor be fetched for ever.
#[test]
fn invalid_document() {
    let mut follower = settled(false);
    follower.note_announced_version(START, PEER, 6);
    actions(&mut follower, START);
    follower.note_invalid_document(START, Source::Peer(PEER), 6);
    assert_eq!(follower.version(), 5);
    assert_eq!(actions(&mut follower, START + RETRY_PAUSE), []);
    assert_eq!(follower.wake_at(), Instant::MAX);
}

const PROCESSES: usize = 4;

enum Message {
    Read { to: Address },
    Fetch { from: Address, at: usize },
    Document { to: Address, source: Source, version: u64 },
    Silence { to: Address, source: Source },
    Status { to: usize, from: usize, version: u64 },
}

/// A process of one generation: replies to its predecessors do not reach it.
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
    /// The newest version that the explorer has shown to it.
    shown: u64,
    /// Versions as they came into force.
    applied: Vec<(u64, u64)>,
}

impl Process {
    fn new(number: usize, generation: u32, real: Instant) -> Process {
        let clock = Clock::new(number);
        let peers = (0..PROCESSES).filter(|&peer| peer != number);
        let peers = peers.map(|peer| EntryId(peer as u32));
        let mut follower = Follower::new(clock.read(real), peers);
        follower.set_watcher(number < 2);
        Process { clock, follower, generation, is_paused: false, shown: 0, applied: Vec::new() }
    }

    /// Adds the version in force if it changed.
    fn record(&mut self) {
        let version = self.follower.version();
        if version != self.applied.last().map_or(0, |last| last.0) {
            self.applied.push((version, self.shown));
        }
    }
}

struct World {
    real: Instant,
    store: Store<()>,
    processes: Vec<Process>,
    bag: Vec<Message>,
    /// Breaks the rule on purpose: a process takes whatever document arrives.
    takes_any: bool,
}

impl World {
    fn new(takes_any: bool) -> World {
        let real = START;
        let processes = (0..PROCESSES).map(|number| Process::new(number, 0, real)).collect();
        World { real, store: Store::new(), processes, bag: Vec::new(), takes_any }
    }

    fn step(&mut self, word: Word) {
        let process = word.pick(PROCESSES);
        match word.op(16) {
            0 | 1 => self.real = self.real + word.span(Span::from_secs(5)),
            2..=5 => self.poll(process),
            6..=9 => {
                if let Some(message) = draw(&mut self.bag, word) {
                    self.deliver(message);
                }
            }
            10 => drop(draw(&mut self.bag, word)),
            11 | 12 => self.announce(process, word.other(PROCESSES)),
            13 => {
                self.store.put(self.store.version, ());
            }
            14 if word.other(4) == 0 => self.store.is_down ^= true,
            14 => self.processes[process].is_paused ^= true,
            _ if word.other(4) == 0 => {
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
        let here = Address { process: number, generation: process.generation };
        while let Some(action) = process.follower.next_action(now) {
            match action {
                Action::Watch { .. } => self.bag.push(Message::Read { to: here }),
                Action::Fetch { peer, .. } => {
                    self.bag.push(Message::Fetch { from: here, at: peer.0 as usize });
                }
                Action::Apply { version } => assert_eq!(version, process.follower.version()),
            }
        }
        process.record();
    }

    fn announce(&mut self, from: usize, to: usize) {
        let version = self.processes[from].follower.version();
        if from != to {
            self.bag.push(Message::Status { to, from, version });
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Read { to } => {
                let (source, version) = (Source::Store, self.store.version);
                let is_silent = self.store.is_down || version == 0;
                self.bag.push(match is_silent {
                    true => Message::Silence { to, source },
                    false => Message::Document { to, source, version },
                });
            }
            Message::Fetch { from, at } => {
                let source = Source::Peer(EntryId(at as u32));
                self.bag.push(match self.processes[at].follower.version() {
                    0 => Message::Silence { to: from, source },
                    version => Message::Document { to: from, source, version },
                });
            }
            Message::Document { to, source, version } => {
                let takes_any = self.takes_any;
                let Some((process, now)) = self.awake(to) else { return };
                process.shown = process.shown.max(version);
                process.follower.note_document(now, source, version, version);
                match takes_any {
                    true => process.applied.push((version, process.shown)),
                    false => process.record(),
                }
            }
            Message::Silence { to, source } => {
                let Some((process, now)) = self.awake(to) else { return };
                match source {
                    Source::Store => process.follower.note_store_failure(now),
                    Source::Peer(peer) => process.follower.note_fetch_failure(now, peer),
                }
            }
            Message::Status { to, from, version } => {
                let generation = self.processes[to].generation;
                let to = Address { process: to, generation };
                let Some((process, now)) = self.awake(to) else { return };
                process.shown = process.shown.max(version);
                process.follower.note_announced_version(now, EntryId(from as u32), version);
            }
        }
    }

    fn awake(&mut self, to: Address) -> Option<(&mut Process, Instant)> {
        let process = &mut self.processes[to.process];
        let now = process.clock.read(self.real);
        let is_here = process.generation == to.generation && !process.is_paused;
        is_here.then_some((process, now))
    }

    fn check(&self) -> Result<(), String> {
        for (number, process) in self.processes.iter().enumerate() {
            let applied = &process.applied;
            if applied.windows(2).any(|pair| pair[1].0 <= pair[0].0) {
                return Err(format!("process {number} went back: {applied:?}"));
            }
            if applied.iter().any(|&(version, shown)| version < shown) {
                return Err(format!("process {number} ignored what it had seen: {applied:?}"));
            }
            let current = process.follower.current();
            if current.is_some_and(|held| held.version != held.value) {
                return Err(format!("process {number} mixed up {current:?}"));
            }
        }
        Ok(())
    }

    /// Ends all faults and lets every process run for `seconds`.
    fn heal(&mut self, seconds: u64) {
        self.store.is_down = false;
        self.store.put(self.store.version, ());
        self.processes.iter_mut().for_each(|process| process.is_paused = false);
        for _ in 0..seconds * 4 {
            self.real = self.real + Span::from_millis(250);
            for number in 0..PROCESSES {
                self.poll(number);
                (0..PROCESSES).for_each(|to| self.announce(number, to));
            }
            // Replies to calls that start in this round arrive in it too.
            for _ in 0..2 {
                let arrived = std::mem::take(&mut self.bag);
                arrived.into_iter().for_each(|message| self.deliver(message));
            }
        }
    }
}

fn run(words: &[Word], takes_any: bool) -> Result<(), String> {
    let mut world = World::new(takes_any);
    for &word in words {
        world.step(word);
        world.check()?;
    }
    // P8: in force everywhere within 16 s.
    world.heal(16);
    world.check()?;
    let newest = world.store.version;
    let versions = world.processes.iter().map(|process| process.follower.version());
    let versions: Vec<u64> = versions.collect();
    if versions.iter().any(|&version| version != newest) {
        return Err(format!("{versions:?} in force, the store has {newest}"));
    }
    Ok(())
}

// A version that goes back, or differs for good, breaks P8.
#[test]
fn version_order() {
    explore(400, 300, |words| run(words, false)).unwrap();
}

// Shows that `version_order` sees a process that takes older documents.
#[test]
fn broken_order() {
    let fault = explore(400, 300, |words| run(words, true)).unwrap_err();
    assert!(fault.contains("went back") || fault.contains("had seen"), "{fault}");
}
