//! Chooses where a machine gets the store's objects from.
//!
//! Calls to the store are priced and its rates grow more slowly than the fleet, so few machines
//! call it. The machines of a region have an order: strong ones first, then by the hash of their
//! names. The first one calls the store, the first one of each data centre polls a machine that
//! calls the store, and the others poll the first one of their data centre. No machine then serves
//! more than the machines of its data centre and one for each other data centre of its region.
//!
//! A machine that does not answer is skipped. A machine that answers without a current copy is
//! skipped as a source, but machines behind it wait for their turn before they call the store:
//! otherwise an outage makes each machine of the region call it at once.

use std::cmp::Reverse;
use std::net::IpAddr;

use xxhash_rust::xxh3::xxh3_64;

use crate::gossip::Peer;
use crate::time::{Instant, Span};

/// Time for which a machine that did not answer is not polled again.
pub const UNREACHABLE_AVOID_TIME: Span = Span::from_secs(3);
/// Time for which a machine without a current copy is not polled again. It may get one soon.
pub const STALE_AVOID_TIME: Span = Span::from_millis(400);
/// Time for which a machine without a current source waits before it calls the store, for each
/// machine that precedes it in the order and is not known to be unreachable.
pub const CALL_DELAY_PER_POSITION: Span = Span::from_millis(250);
/// Time for which a new process asks other machines for a copy before it calls the store. Machines
/// that start together find each other meanwhile.
pub const START_DELAY: Span = Span::from_millis(400);
/// The same at the first start of the whole fleet, when no machine has a copy.
pub const FIRST_START_DELAY: Span = Span::from_millis(2_000);
/// Machines of a data centre or a region that are asked before the search goes on elsewhere.
const MAX_CANDIDATES: usize = 3;
/// Machines between the store and a machine, at most. Machines that poll each other in a circle find
/// out by it: each answer counts one more.
const MAX_HOPS: u8 = 5;
/// Polls in a row without an answer after which a machine takes itself for cut off from the others
/// and calls the store at once.
const ISOLATED_AFTER: usize = 3;
/// Bounds of the pause after a failed store call, before it is multiplied by the machines of the
/// region, which together call about as often as one would alone: failed calls are priced too.
const MIN_BACKOFF: Span = Span::from_millis(100);
const MAX_BACKOFF: Span = Span::from_millis(400);

/// Time after the last answer from which a machine does not count as one that calls the store. A
/// watch is answered within 1.5 s.
pub const CONTACT_EXPIRY: Span = Span::from_secs(2);

/// The store's answers to one machine.
#[derive(Debug, Clone, Copy, Default)]
pub struct Contact {
    /// Since when the machine has called the store and every call has succeeded.
    since: Option<Instant>,
    answered_at: Instant,
}

impl Contact {
    /// Records a call that succeeded.
    pub fn record_answer(&mut self, now: Instant) {
        // Nothing is known of the time in which the machine did not call the store.
        if !self.is_calling(now) {
            self.since = None;
        }
        self.since.get_or_insert(now);
        self.answered_at = now;
    }

    /// Records a call that failed.
    pub fn record_failure(&mut self) {
        self.since = None;
    }

    /// The last success.
    pub fn answered_at(&self) -> Instant {
        self.answered_at
    }

    /// For how long every call has succeeded; zero for a machine that does not call the store.
    pub fn uptime(&self, now: Instant) -> Span {
        let since = self.since.filter(|_| self.is_calling(now));
        since.map_or(Span::ZERO, |since| now.since(since))
    }

    fn is_calling(&self, now: Instant) -> bool {
        now.since(self.answered_at) < CONTACT_EXPIRY
    }
}

/// Why a poll of a machine failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// It did not answer.
    Unreachable,
    /// It answered that its copy is no longer current.
    Stale,
    /// It has started lately and has no copy yet.
    Empty,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Call the store.
    CallStore,
    /// Poll the machine at this address.
    Poll(IpAddr),
    /// Nothing for now.
    Wait,
}

/// The live machines as one of them sees them.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// The machine that chooses.
    pub own: &'a Peer,
    /// The other live machines of its region.
    pub region: &'a [&'a Peer],
    /// The live machines of other regions.
    pub elsewhere: &'a [&'a Peer],
}

/// Sort key of a machine in the order of its region.
pub fn order(peer: &Peer) -> (Reverse<u8>, u64) {
    (Reverse(peer.strength), xxh3_64(peer.name.as_bytes()))
}

#[derive(Debug)]
struct Avoided {
    address: IpAddr,
    fault: Fault,
    until: Instant,
}

/// Chooses the source for the objects of one kind.
#[derive(Debug)]
pub struct Selector {
    avoided: Vec<Avoided>,
    /// When a poll failed first since the last current copy; none while there is a source.
    starved_since: Option<Instant>,
    /// Polls without an answer since the last answer.
    unanswered: usize,
    /// Whether the process has never had a copy.
    is_new: bool,
    /// Whether the last source was the store.
    is_calling: bool,
    next_call: Instant,
    /// Pause after the next failed store call, before it is multiplied.
    backoff: Span,
}

impl Selector {
    /// Creates a selector for a process that starts now and asks other machines for `delay` before
    /// it calls the store.
    pub fn new(now: Instant, delay: Span) -> Selector {
        Selector {
            avoided: Vec::new(),
            starved_since: Some(now + delay),
            unanswered: 0,
            is_new: true,
            is_calling: false,
            next_call: now + delay,
            backoff: MIN_BACKOFF,
        }
    }

    /// The next step.
    pub fn next_step(&mut self, now: Instant, view: &View<'_>) -> Step {
        self.avoided.retain(|avoided| now < avoided.until);
        if now >= self.next_call && self.has_turn(now, view) {
            return Step::CallStore;
        }
        let own = order(view.own);
        let precedes = |peer: &Peer| order(peer) < own;
        let reaches_store = |peer: &Peer| peer.heartbeat.store_up_ds > 0;
        let has_copy = |peer: &Peer| self.is_new && peer.heartbeat.is_ready;
        let is_neighbour = |peer: &Peer| peer.centre == view.own.centre && precedes(peer);
        if self.is_new && now < self.next_call {
            let source = self.first(view.region, |peer| reaches_store(peer) || has_copy(peer));
            let source = source.or_else(|| self.first(view.elsewhere, has_copy));
            return source.map_or(Step::Wait, Step::Poll);
        }
        let source = self
            .first(view.region, is_neighbour)
            .or_else(|| self.first(view.region, reaches_store))
            .or_else(|| self.first(view.elsewhere, reaches_store))
            .or_else(|| self.first(view.region, precedes))
            .or_else(|| self.first(view.elsewhere, has_copy));
        source.map_or(Step::Wait, Step::Poll)
    }

    /// The first of the `peers` that meet a condition and are not avoided, if it is among the first
    /// [`MAX_CANDIDATES`] that may be reachable.
    fn first(&self, peers: &[&Peer], is_candidate: impl Fn(&Peer) -> bool) -> Option<IpAddr> {
        let candidates = peers.iter().filter(|peer| is_candidate(peer));
        let mut candidates: Vec<&&Peer> =
            candidates.filter(|peer| self.fault(peer) != Some(Fault::Unreachable)).collect();
        candidates.sort_unstable_by_key(|peer| order(peer));
        let mut candidates = candidates.into_iter().take(MAX_CANDIDATES);
        candidates.find(|peer| self.fault(peer).is_none()).map(|peer| peer.address)
    }

    /// Whether it is this machine's turn to call the store.
    fn has_turn(&self, now: Instant, view: &View<'_>) -> bool {
        if self.unanswered >= ISOLATED_AFTER {
            return true;
        }
        let own = order(view.own);
        let precedes =
            |peer: &&&Peer| self.fault(peer) != Some(Fault::Unreachable) && order(peer) < own;
        if self.is_calling {
            let has_source =
                |peer: &&Peer| peer.heartbeat.store_up_ds > 0 && self.fault(peer).is_none();
            return !view.region.iter().filter(precedes).any(has_source);
        }
        let position = view.region.iter().filter(precedes).count() as u64;
        let waited = self.starved_since.map_or(Span::ZERO, |since| now.since(since));
        position == 0 || waited >= CALL_DELAY_PER_POSITION.times(position)
    }

    fn fault(&self, peer: &Peer) -> Option<Fault> {
        let avoided = self.avoided.iter().find(|avoided| avoided.address == peer.address);
        avoided.map(|avoided| avoided.fault)
    }

    /// Records that the machine at `address` answered a poll, and that there are `hops` machines
    /// between it and the store. Returns whether the answer shows that the copy is current.
    pub fn record_answer(&mut self, now: Instant, address: IpAddr, hops: u8) -> bool {
        // A machine that calls the store leaves that only to another one that does.
        let is_current = if self.is_calling { hops == 0 } else { hops < MAX_HOPS };
        if is_current {
            self.record_source();
        } else {
            self.record_fault(now, address, Fault::Stale);
        }
        is_current
    }

    fn record_source(&mut self) {
        self.starved_since = None;
        self.unanswered = 0;
        self.is_new = false;
        self.is_calling = false;
    }

    /// Records a failed poll.
    pub fn record_fault(&mut self, now: Instant, address: IpAddr, fault: Fault) {
        let time = match fault {
            Fault::Unreachable => {
                self.unanswered += 1;
                UNREACHABLE_AVOID_TIME
            }
            Fault::Stale => {
                self.unanswered = 0;
                STALE_AVOID_TIME
            }
            Fault::Empty => Span::ZERO,
        };
        self.starved_since.get_or_insert(now);
        self.avoided.retain(|avoided| avoided.address != address);
        self.avoided.push(Avoided { address, fault, until: now + time });
    }

    /// Records a store call that succeeded.
    pub fn record_call(&mut self) {
        self.record_source();
        self.is_calling = true;
        self.backoff = MIN_BACKOFF;
    }

    /// Records a store call that failed, and delays the next one. `jitter` is between 0 and 1;
    /// `machines` is the number of live machines of the region.
    pub fn record_failed_call(&mut self, now: Instant, machines: usize, jitter: f64) {
        self.starved_since.get_or_insert(now);
        self.is_calling = false;
        let pause = self.backoff.times(machines.max(1) as u64).as_micros() as f64;
        self.next_call = now + Span::from_micros((pause * (0.5 + jitter / 2.0)) as u64);
        self.backoff = self.backoff.times(2).min(MAX_BACKOFF);
    }

    /// Ends the pause after a failed call: the store has answered this machine for another kind.
    pub fn end_pause(&mut self, now: Instant) {
        self.next_call = now;
        self.backoff = MIN_BACKOFF;
    }
}
