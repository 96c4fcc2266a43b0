//! Distribution of versions of the policy document.
//!
//! Versions are the store's object versions. A [`Follower`] in each process decides which document
//! is in force and from where to fetch a newer one. Rules:
//!
//! - A document older than the highest version known from any source never comes into force. A
//!   version that a peer only announced counts too: the process waits for that document or a newer
//!   one.
//! - A process without a document reads the store, and asks its peers if the store does not reply.
//!   A document from the store comes into force at once. Of the peers' documents the newest comes
//!   into force, [`PEER_COLLECT_TIME`] after the first peer was asked.

use serde::{Deserialize, Serialize};

use crate::id::EntryId;
use crate::object::Versioned;
use crate::time::{Instant, Span};

/// How long a process without a document waits for the store before it asks its peers as well.
pub const PEER_FALLBACK_DELAY: Span = Span::from_millis(500);

/// How long a process without a document collects replies from its peers.
pub const PEER_COLLECT_TIME: Span = Span::from_secs(2);

/// How long the store holds a watch request open. With the reply's delay this stays below the 16 s
/// in which a change must be in force everywhere, so that even a watch that is lost unnoticed does
/// not exceed that limit.
pub const WATCH_TIMEOUT: Span = Span::from_secs(10);

/// How long a process waits for a peer's document before it asks another peer.
pub const FETCH_TIMEOUT: Span = Span::from_secs(1);

/// The delay before a source is asked again after a call without a usable document.
pub const RETRY_DELAY: Span = Span::from_secs(1);

/// How long a process that is not a watcher asks its peers for an announced version before it reads
/// the store. Peers reply in milliseconds, and reads by the whole fleet would exhaust the store's
/// read rate.
pub const STORE_FALLBACK_DELAY: Span = Span::from_secs(4);

/// Asks a peer for its policy document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The lowest acceptable version, 0 for any.
    pub version: u64,
}

/// The reply to a [`Request`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// The version in force at the sender, 0 if it has none.
    pub version: u64,
    /// The text of the policy document.
    pub text: String,
}

/// What a process should do next about its policy document.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Read the store's document, waiting up to `wait` for one newer than `after`. Report the
    /// result with [`Follower::handle_document`], [`Follower::handle_invalid_document`],
    /// [`Follower::handle_store_unchanged`] or [`Follower::handle_store_failure`].
    Watch {
        /// The version in force, 0 for none.
        after: u64,
        /// The longest wait, zero for an immediate reply.
        wait: Span,
    },
    /// Ask `peer` for its document. Report the result with [`Follower::handle_document`],
    /// [`Follower::handle_invalid_document`] or [`Follower::handle_fetch_failure`].
    Fetch {
        /// The peer to ask.
        peer: EntryId,
        /// The lowest acceptable version.
        version: u64,
    },
    /// Apply the new document in [`Follower::current`].
    Apply {
        /// The version that came into force.
        version: u64,
    },
}

/// Where a document came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The store.
    Store,
    /// Another entry.
    Peer(EntryId),
}

/// The state of calls to one source, of which at most one is in flight.
#[derive(Debug, Clone, Copy)]
enum Call {
    /// No call is in flight; the next may start at `next_at`.
    Idle { next_at: Instant },
    /// A call is in flight; it counts as lost at `expires_at`.
    InFlight { expires_at: Instant },
}

impl Call {
    /// When the next call may start.
    const fn next_start_at(self) -> Instant {
        match self {
            Call::Idle { next_at } => next_at,
            Call::InFlight { expires_at } => expires_at,
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Peer {
    entry: EntryId,
    /// The highest version that it announced.
    version: u64,
    call: Call,
    /// Whether it was asked in the current round, while this process has no document.
    is_asked_this_round: bool,
}

/// Tracks the policy document in one process.
#[derive(Debug)]
pub struct Follower<D> {
    current: Option<Versioned<D>>,
    /// While no document is in force: the newest one received from peers.
    candidate: Option<Versioned<D>>,
    has_pending_apply: bool,
    is_watcher: bool,
    /// The highest version known from any source.
    highest_seen: u64,
    /// When `highest_seen` last rose above the version in force.
    behind_since: Instant,
    /// The highest version that this process found invalid.
    highest_invalid: u64,
    store_call: Call,
    peers: Vec<Peer>,
    /// While no document is in force: when to start asking peers.
    ask_peers_at: Instant,
    /// While no document is in force: when the candidate comes into force.
    adopt_at: Option<Instant>,
}

impl<D> Follower<D> {
    /// A process without a document that starts at `now` with `peers` from its settings.
    pub fn new(now: Instant, peers: impl IntoIterator<Item = EntryId>) -> Follower<D> {
        let mut follower = Follower {
            current: None,
            candidate: None,
            has_pending_apply: false,
            is_watcher: false,
            highest_seen: 0,
            behind_since: now,
            highest_invalid: 0,
            store_call: Call::Idle { next_at: now },
            peers: Vec::new(),
            ask_peers_at: now + PEER_FALLBACK_DELAY,
            adopt_at: None,
        };
        for entry in peers {
            follower.peer_mut(entry);
        }
        follower
    }

    /// The document in force.
    pub const fn current(&self) -> Option<&Versioned<D>> {
        self.current.as_ref()
    }

    /// The version in force, 0 for none.
    pub fn version(&self) -> u64 {
        self.current.as_ref().map_or(0, |held| held.version)
    }

    /// The highest version known from any source.
    pub const fn highest_seen(&self) -> u64 {
        self.highest_seen
    }

    /// Sets whether this process watches the store for its data centre.
    pub const fn set_watcher(&mut self, is_watcher: bool) {
        self.is_watcher = is_watcher;
    }

    /// Handles the version that `peer` announced in a heartbeat.
    pub fn handle_announced_version(&mut self, now: Instant, peer: EntryId, version: u64) {
        let known = self.peer_mut(peer);
        known.version = known.version.max(version);
        self.raise_highest_seen(now, version);
    }

    /// Handles a valid document.
    pub fn handle_document(&mut self, now: Instant, source: Source, version: u64, document: D) {
        self.finish_call(now, source, Span::ZERO);
        if version < self.highest_seen || version <= self.version().max(self.highest_invalid) {
            // The reply is stale, so delay the next call to this source.
            self.finish_call(now, source, RETRY_DELAY);
            return;
        }
        self.raise_highest_seen(now, version);
        let held = Versioned { version, value: document };
        if self.current.is_some() || source == Source::Store {
            self.apply(held);
        } else {
            self.candidate = Some(held);
        }
    }

    /// Handles a document that this program finds invalid, for example because its schema is newer.
    /// The document in force stays.
    pub fn handle_invalid_document(&mut self, now: Instant, source: Source, version: u64) {
        self.finish_call(now, source, RETRY_DELAY);
        self.highest_invalid = self.highest_invalid.max(version);
        self.raise_highest_seen(now, version);
    }

    /// Handles a reply of the store that it has no newer document.
    pub fn handle_store_unchanged(&mut self, now: Instant) {
        let delay = if self.current.is_some() { Span::ZERO } else { RETRY_DELAY };
        self.store_call = Call::Idle { next_at: now + delay };
    }

    /// Handles a store call that failed or got no reply.
    pub fn handle_store_failure(&mut self, now: Instant) {
        self.store_call = Call::Idle { next_at: now + RETRY_DELAY };
        self.ask_peers_at = self.ask_peers_at.min(now);
    }

    /// Handles a fetch that failed, got no reply, or brought no acceptable document.
    pub fn handle_fetch_failure(&mut self, now: Instant, peer: EntryId) {
        self.finish_call(now, Source::Peer(peer), RETRY_DELAY);
    }

    /// The next action at `now`. Call this until it returns `None`.
    pub fn next_action(&mut self, now: Instant) -> Option<Action> {
        if self.current.is_none() {
            self.adopt_candidate(now);
        }
        if self.has_pending_apply {
            self.has_pending_apply = false;
            return Some(Action::Apply { version: self.version() });
        }
        self.next_store_call(now).or_else(|| self.next_peer_call(now))
    }

    /// When [`Follower::next_action`] may next return an action, unless an event comes first.
    pub fn wake_at(&self) -> Instant {
        let mut wake_at = Instant::MAX;
        if self.is_watcher || self.current.is_none() {
            wake_at = wake_at.min(self.store_call.next_start_at());
        }
        if self.current.is_none() {
            wake_at = wake_at.min(self.adopt_at.unwrap_or(self.ask_peers_at));
        }
        if self.is_behind() {
            wake_at = wake_at.min(
                (self.behind_since + STORE_FALLBACK_DELAY).max(self.store_call.next_start_at()),
            );
            // Wait for a fetch in flight, if any. Peers without the version are not asked.
            let sources = self.peers.iter().filter(|peer| peer.version >= self.highest_seen);
            let calls = sources.map(|peer| peer.call);
            let in_flight = calls.clone().filter(|call| matches!(call, Call::InFlight { .. }));
            let next =
                in_flight.map(Call::next_start_at).max().or(calls.map(Call::next_start_at).min());
            wake_at = wake_at.min(next.unwrap_or(Instant::MAX));
        }
        wake_at
    }

    fn next_store_call(&mut self, now: Instant) -> Option<Action> {
        let is_overdue = self.is_behind() && now >= self.behind_since + STORE_FALLBACK_DELAY;
        let is_wanted = self.is_watcher || self.current.is_none() || is_overdue;
        if !is_wanted || now < self.store_call.next_start_at() {
            return None;
        }
        // The first read does not wait at the store, so that a failed store is noticed quickly.
        let wait = if self.current.is_some() { WATCH_TIMEOUT } else { Span::ZERO };
        self.store_call = Call::InFlight { expires_at: now + wait + PEER_COLLECT_TIME };
        Some(Action::Watch { after: self.version(), wait })
    }

    fn next_peer_call(&mut self, now: Instant) -> Option<Action> {
        let asks_all = self.current.is_none() && now >= self.ask_peers_at;
        if asks_all {
            self.adopt_at.get_or_insert(now + PEER_COLLECT_TIME);
        }
        let is_behind = self.is_behind();
        let highest_seen = self.highest_seen;
        let is_in_flight =
            |peer: &Peer| matches!(peer.call, Call::InFlight { expires_at } if now < expires_at);
        let is_fetching =
            self.peers.iter().any(|peer| peer.version >= highest_seen && is_in_flight(peer));
        let peer = self.peers.iter_mut().find(|peer| {
            let has_highest = is_behind && !is_fetching && peer.version >= highest_seen;
            let is_wanted = (asks_all && !peer.is_asked_this_round) || has_highest;
            is_wanted && now >= peer.call.next_start_at()
        })?;
        peer.is_asked_this_round = true;
        peer.call = Call::InFlight { expires_at: now + FETCH_TIMEOUT };
        Some(Action::Fetch { peer: peer.entry, version: highest_seen })
    }

    fn adopt_candidate(&mut self, now: Instant) {
        if self.adopt_at.is_none_or(|adopt_at| now < adopt_at) {
            return;
        }
        match self.candidate.take() {
            Some(held) if held.version >= self.highest_seen => self.apply(held),
            _ => {
                // No peer had an acceptable document, so start another round.
                self.adopt_at = None;
                self.peers.iter_mut().for_each(|peer| peer.is_asked_this_round = false);
            }
        }
    }

    fn apply(&mut self, held: Versioned<D>) {
        self.candidate = None;
        self.adopt_at = None;
        self.current = Some(held);
        self.has_pending_apply = true;
    }

    fn is_behind(&self) -> bool {
        self.highest_seen > self.version().max(self.highest_invalid)
    }

    fn raise_highest_seen(&mut self, now: Instant, version: u64) {
        if !self.is_behind() {
            self.behind_since = now;
        }
        self.highest_seen = self.highest_seen.max(version);
    }

    fn finish_call(&mut self, now: Instant, source: Source, delay: Span) {
        let call = Call::Idle { next_at: now + delay };
        match source {
            Source::Store => self.store_call = call,
            Source::Peer(entry) => self.peer_mut(entry).call = call,
        }
    }

    fn peer_mut(&mut self, entry: EntryId) -> &mut Peer {
        let known = self.peers.iter().position(|peer| peer.entry == entry);
        let index = known.unwrap_or_else(|| {
            let call = Call::Idle { next_at: Instant::ZERO };
            self.peers.push(Peer { entry, version: 0, call, is_asked_this_round: false });
            self.peers.len() - 1
        });
        &mut self.peers[index]
    }
}
