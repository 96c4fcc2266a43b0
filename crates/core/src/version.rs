//! Versions of the policy document.
//!
//! The store's object version orders documents. A [`Follower`] decides at one process which
//! document is in force and what to fetch from whom, by these rules:
//!
//! - A version below one that the process has seen, from any source, never comes into force. This
//!   also holds for a version that a peer only announced: a process that knows of a newer document
//!   waits for it.
//! - A fresh process asks the store, and the peers when the store does not answer. It takes the
//!   newest answer of the peers [`PEER_WAIT`] after it asked them; the store's answer counts at once.

use serde::{Deserialize, Serialize};

use crate::id::EntryId;
use crate::object::Held;
use crate::time::{Instant, Span};

/// How long a fresh process waits for the store before it asks its peers too.
pub const STORE_PATIENCE: Span = Span::from_millis(500);

/// How long a fresh process collects the answers of its peers.
pub const PEER_WAIT: Span = Span::from_secs(2);

/// How long one watch waits at the store. With the reply's delay it stays below the 16 s in which a
/// change has to be in force everywhere, so that a watch that was lost unnoticed costs no promise.
pub const WATCH_WAIT: Span = Span::from_secs(10);

/// How long a process waits for a peer's document before it asks another peer.
pub const FETCH_TIMEOUT: Span = Span::from_secs(1);

/// The pause after a call that brought nothing.
pub const RETRY_PAUSE: Span = Span::from_secs(1);

/// How long a process that is not a watcher tries its peers for an announced version before it
/// reads the store itself. Peers answer in milliseconds, and reads of a whole fleet would use up
/// the store's read rate.
pub const BEHIND_PATIENCE: Span = Span::from_secs(4);

/// The frame that asks a peer for its policy document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchRequest {
    /// The lowest version that is of use, 0 for any.
    pub version: u64,
}

/// The frame that answers [`FetchRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FetchReply {
    /// The version in force at the sender, 0 if it has none.
    pub version: u64,
    /// The text of the policy document.
    pub text: String,
}

/// What a process should do next about its policy document.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Read the store's document, waiting up to `wait` for one newer than `after`. The outcome goes
    /// to [`Follower::note_document`], [`Follower::note_invalid_document`] or [`Follower::note_store_unchanged`].
    Watch {
        /// The version in force, 0 for none.
        after: u64,
        /// The longest wait, zero for an immediate answer.
        wait: Span,
    },
    /// Ask `peer` for its document. The outcome goes to [`Follower::note_document`],
    /// [`Follower::note_invalid_document`] or [`Follower::note_fetch_failure`].
    Fetch {
        /// The peer.
        peer: EntryId,
        /// The lowest version that is of use.
        version: u64,
    },
    /// [`Follower::current`] has changed.
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

/// One call that may be under way.
#[derive(Debug, Clone, Copy)]
enum Call {
    /// None is; the next one may start at this time.
    Idle { from: Instant },
    /// One is; it counts as lost at this time.
    Busy { until: Instant },
}

impl Call {
    /// When the next call may start.
    const fn free_at(self) -> Instant {
        match self {
            Call::Idle { from } => from,
            Call::Busy { until } => until,
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Peer {
    entry: EntryId,
    /// The highest version it announced.
    version: u64,
    call: Call,
    /// Whether the fresh process has asked it in this round.
    is_asked: bool,
}

/// Follows the policy document at one process.
#[derive(Debug)]
pub struct Follower<D> {
    current: Option<Held<D>>,
    /// A fresh process's best answer so far.
    candidate: Option<Held<D>>,
    is_changed: bool,
    is_watcher: bool,
    /// The highest version seen from any source.
    seen: u64,
    /// Since when `seen` has been above the version in force.
    behind_since: Instant,
    /// The highest version that was not valid here.
    invalid: u64,
    store: Call,
    peers: Vec<Peer>,
    /// When a fresh process starts to ask its peers.
    ask_at: Instant,
    /// When a fresh process takes its candidate.
    take_at: Option<Instant>,
}

impl<D> Follower<D> {
    /// A fresh process at `now` that knows `peers` from its settings.
    pub fn new(now: Instant, peers: impl IntoIterator<Item = EntryId>) -> Follower<D> {
        let mut follower = Follower {
            current: None,
            candidate: None,
            is_changed: false,
            is_watcher: false,
            seen: 0,
            behind_since: now,
            invalid: 0,
            store: Call::Idle { from: now },
            peers: Vec::new(),
            ask_at: now + STORE_PATIENCE,
            take_at: None,
        };
        for entry in peers {
            follower.peer(entry);
        }
        follower
    }

    /// The document in force.
    pub const fn current(&self) -> Option<&Held<D>> {
        self.current.as_ref()
    }

    /// The version in force, 0 for none.
    pub fn version(&self) -> u64 {
        self.current.as_ref().map_or(0, |held| held.version)
    }

    /// The highest version seen from any source.
    pub const fn highest_seen(&self) -> u64 {
        self.seen
    }

    /// States whether this process is a store watcher of its data centre.
    pub const fn set_watcher(&mut self, is_watcher: bool) {
        self.is_watcher = is_watcher;
    }

    /// Takes in the version that `peer` announced in a heartbeat.
    pub fn note_announced_version(&mut self, now: Instant, peer: EntryId, version: u64) {
        let known = self.peer(peer);
        known.version = known.version.max(version);
        self.note_seen(now, version);
    }

    /// Takes in a valid document.
    pub fn note_document(&mut self, now: Instant, source: Source, version: u64, document: D) {
        self.end_call(now, source, Span::ZERO);
        if version < self.seen || version <= self.version().max(self.invalid) {
            // A stale answer: do not ask the same source again at once.
            self.end_call(now, source, RETRY_PAUSE);
            return;
        }
        self.note_seen(now, version);
        let held = Held { version, value: document };
        if self.current.is_some() || source == Source::Store {
            self.apply(held);
        } else {
            self.candidate = Some(held);
        }
    }

    /// Takes in a document that is not valid here, for example because its schema is newer than
    /// this program. The document in force stays.
    pub fn note_invalid_document(&mut self, now: Instant, source: Source, version: u64) {
        self.end_call(now, source, RETRY_PAUSE);
        self.invalid = self.invalid.max(version);
        self.note_seen(now, version);
    }

    /// The store answered that it has no newer document.
    pub fn note_store_unchanged(&mut self, now: Instant) {
        let pause = if self.current.is_some() { Span::ZERO } else { RETRY_PAUSE };
        self.store = Call::Idle { from: now + pause };
    }

    /// The store did not answer, or with an error.
    pub fn note_store_failure(&mut self, now: Instant) {
        self.store = Call::Idle { from: now + RETRY_PAUSE };
        self.ask_at = self.ask_at.min(now);
    }

    /// The peer did not answer, or has no document of use.
    pub fn note_fetch_failure(&mut self, now: Instant, peer: EntryId) {
        self.end_call(now, Source::Peer(peer), RETRY_PAUSE);
    }

    /// The next thing to do at `now`, if any. Call it until it returns `None`.
    pub fn next_action(&mut self, now: Instant) -> Option<Action> {
        if self.current.is_none() {
            self.take_candidate(now);
        }
        if self.is_changed {
            self.is_changed = false;
            return Some(Action::Apply { version: self.version() });
        }
        self.next_store_call(now).or_else(|| self.next_peer_call(now))
    }

    /// When [`Follower::next_action`] may next have something to do.
    pub fn wake_at(&self) -> Instant {
        let mut at = Instant::MAX;
        if self.is_watcher || self.current.is_none() {
            at = at.min(self.store.free_at());
        }
        if self.current.is_none() {
            at = at.min(self.take_at.unwrap_or(self.ask_at));
        }
        if self.is_behind() {
            at = at.min((self.behind_since + BEHIND_PATIENCE).max(self.store.free_at()));
            // A fetch under way is waited for; peers without the version are not asked.
            let useful = self.peers.iter().filter(|peer| peer.version >= self.seen);
            let calls = useful.map(|peer| peer.call);
            let busy = calls.clone().filter(|call| matches!(call, Call::Busy { .. }));
            let next = busy.map(Call::free_at).max().or(calls.map(Call::free_at).min());
            at = at.min(next.unwrap_or(Instant::MAX));
        }
        at
    }

    fn next_store_call(&mut self, now: Instant) -> Option<Action> {
        let is_overdue = self.is_behind() && now >= self.behind_since + BEHIND_PATIENCE;
        let is_wanted = self.is_watcher || self.current.is_none() || is_overdue;
        if !is_wanted || now < self.store.free_at() {
            return None;
        }
        // A first read must not wait at the store, so that a silent store shows at once.
        let wait = if self.current.is_some() { WATCH_WAIT } else { Span::ZERO };
        self.store = Call::Busy { until: now + wait + PEER_WAIT };
        Some(Action::Watch { after: self.version(), wait })
    }

    fn next_peer_call(&mut self, now: Instant) -> Option<Action> {
        let is_fresh = self.current.is_none() && now >= self.ask_at;
        if is_fresh {
            self.take_at.get_or_insert(now + PEER_WAIT);
        }
        let is_behind = self.is_behind();
        let seen = self.seen;
        let is_busy = |peer: &Peer| matches!(peer.call, Call::Busy { until } if now < until);
        let is_fetching = self.peers.iter().any(|peer| peer.version >= seen && is_busy(peer));
        let peer = self.peers.iter_mut().find(|peer| {
            let is_useful = is_behind && !is_fetching && peer.version >= seen;
            let is_wanted = (is_fresh && !peer.is_asked) || is_useful;
            is_wanted && now >= peer.call.free_at()
        })?;
        peer.is_asked = true;
        peer.call = Call::Busy { until: now + FETCH_TIMEOUT };
        Some(Action::Fetch { peer: peer.entry, version: seen })
    }

    fn take_candidate(&mut self, now: Instant) {
        if self.take_at.is_none_or(|at| now < at) {
            return;
        }
        match self.candidate.take() {
            Some(held) if held.version >= self.seen => self.apply(held),
            _ => {
                // No answer was of use: another round.
                self.take_at = None;
                self.peers.iter_mut().for_each(|peer| peer.is_asked = false);
            }
        }
    }

    fn apply(&mut self, held: Held<D>) {
        self.candidate = None;
        self.take_at = None;
        self.current = Some(held);
        self.is_changed = true;
    }

    fn is_behind(&self) -> bool {
        self.seen > self.version().max(self.invalid)
    }

    fn note_seen(&mut self, now: Instant, version: u64) {
        if !self.is_behind() {
            self.behind_since = now;
        }
        self.seen = self.seen.max(version);
    }

    fn end_call(&mut self, now: Instant, source: Source, pause: Span) {
        let call = Call::Idle { from: now + pause };
        match source {
            Source::Store => self.store = call,
            Source::Peer(entry) => self.peer(entry).call = call,
        }
    }

    fn peer(&mut self, entry: EntryId) -> &mut Peer {
        let known = self.peers.iter().position(|peer| peer.entry == entry);
        let index = known.unwrap_or_else(|| {
            let call = Call::Idle { from: Instant::ZERO };
            self.peers.push(Peer { entry, version: 0, call, is_asked: false });
            self.peers.len() - 1
        });
        &mut self.peers[index]
    }
}
