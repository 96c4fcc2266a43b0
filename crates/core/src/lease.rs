//! The steward lease, kept in the store under `lease/steward`.
//!
//! Rules:
//!
//! - A lease runs on its holder's clock, from the moment before the write that took or renewed it.
//!   The holder asks [`Lease::epoch`] before each effect, so a pause ends the lease by itself.
//! - Another process takes it when the record has been unchanged for [`TAKEOVER_DELAY`] on its own
//!   clock, counted from when it read the record.
//! - Each write carries a number that its writer uses once. When a reply is lost, the number in the
//!   record tells which write took effect, and the lease counts from the start of that write. Two
//!   attempts with the same content could not be told apart, and the later start would be too late.
//! - Each change of holder raises the epoch. Receivers keep a [`Fence`] and refuse older epochs.

use serde::{Deserialize, Serialize};
use serde_with::{NoneAsEmptyString, serde_as};

use crate::object::{ReadReply, Versioned, WriteReply};
use crate::roster::Process;
use crate::time::{Instant, Span};

/// How long a lease lasts.
pub const LEASE_DURATION: Span = Span::from_secs(10);

/// The time between renewals: two of them may fail before the lease ends.
pub const RENEW_INTERVAL: Span = Span::from_secs(3);

/// Covers clocks that differ in rate by 1% over one lease, and 50 ms for scheduling.
pub const CLOCK_MARGIN: Span = Span::from_millis(150);

/// How long a record has to be unchanged before another process takes the lease.
pub const TAKEOVER_DELAY: Span =
    Span::from_millis(LEASE_DURATION.as_millis() + CLOCK_MARGIN.as_millis());

/// The pause before a record is read again after a conflict.
pub const CONFLICT_BACKOFF: Span = Span::from_millis(50);

/// The pause after a call without answer.
pub const NO_REPLY_BACKOFF: Span = Span::from_millis(500);

/// The stored state of a lease.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Who holds it, if anybody.
    #[serde_as(as = "NoneAsEmptyString")]
    pub holder: Option<Process>,
    /// Grows with each change of holder.
    pub epoch: u64,
    /// The number that the holder gave to the write.
    pub renewal: u64,
}

/// A store call to make. The outcome goes to [`Lease::handle_read`] or [`Lease::handle_write`], exactly
/// once; a call that is given up counts as silent, and its late answer is dropped.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Read the record.
    Read,
    /// Write the record.
    Write {
        /// The version that the object must have, 0 for absent.
        if_version: u64,
        /// The new value.
        record: Record,
    },
}

/// The time in which a process may act as the holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Term {
    /// The epoch of the lease.
    pub epoch: u64,
    /// The end on the holder's clock.
    pub until: Instant,
}

#[derive(Debug)]
struct Seen {
    version: u64,
    record: Option<Record>,
    since: Instant,
}

/// A write whose outcome is not known.
#[derive(Debug, Clone)]
struct Attempt {
    start: Instant,
    if_version: u64,
    record: Record,
}

#[derive(Debug)]
enum Call {
    None,
    Read,
    Write(Attempt),
}

/// One process's view of the lease.
#[derive(Debug)]
pub struct Lease {
    own: Process,
    is_candidate: bool,
    is_closing: bool,
    term: Option<Term>,
    seen: Option<Seen>,
    /// Whether the record has to be read before the next write.
    is_stale: bool,
    next_at: Instant,
    call: Call,
    attempts: Vec<Attempt>,
    /// The number of the last write.
    renewal: u64,
}

impl Lease {
    /// The view of process `own`, which knows nothing yet.
    pub const fn new(own: Process) -> Lease {
        Lease {
            own,
            is_candidate: false,
            is_closing: false,
            term: None,
            seen: None,
            is_stale: true,
            next_at: Instant::ZERO,
            call: Call::None,
            attempts: Vec::new(),
            renewal: 0,
        }
    }

    /// States whether this process should try to get the lease. A holder keeps it regardless.
    pub const fn set_candidate(&mut self, is_candidate: bool) {
        self.is_candidate = is_candidate;
    }

    /// Gives the lease up, for a planned stop. The following actions free the record.
    pub const fn release(&mut self, now: Instant) {
        self.is_closing = true;
        self.term = None;
        self.next_at = now;
    }

    /// The epoch under which this process may act at `now`.
    pub fn epoch(&self, now: Instant) -> Option<u64> {
        self.term.filter(|term| now < term.until).map(|term| term.epoch)
    }

    /// The last term that was confirmed, which may be over.
    pub const fn term(&self) -> Option<Term> {
        self.term
    }

    /// The next store call, if one is due.
    pub fn next_action(&mut self, now: Instant) -> Option<Action> {
        if !matches!(self.call, Call::None) || now < self.next_at || !self.is_active() {
            return None;
        }
        let planned = if self.is_stale { None } else { self.plan(now) };
        let Some(record) = planned else {
            self.call = Call::Read;
            return Some(Action::Read);
        };
        let if_version = self.seen.as_ref().map_or(0, |seen| seen.version);
        self.renewal = record.renewal;
        self.call = Call::Write(Attempt { start: now, if_version, record: record.clone() });
        Some(Action::Write { if_version, record })
    }

    /// When [`Lease::next_action`] may next have something to do.
    pub fn wake_at(&self) -> Instant {
        match self.call {
            Call::None if self.is_active() => self.next_at,
            _ => Instant::MAX,
        }
    }

    /// Takes in the answer to a read.
    pub fn handle_read(&mut self, now: Instant, read: ReadReply<Record>) {
        if !matches!(self.call, Call::Read) {
            return;
        }
        self.call = Call::None;
        let (version, record) = match read {
            ReadReply::Found(Versioned { version, value }) => (version, Some(value)),
            ReadReply::Absent => (0, None),
            ReadReply::NoReply => return self.retry(now + NO_REPLY_BACKOFF),
        };
        self.see(now, version, record);
        self.is_stale = self.plan(now).is_none();
        self.next_at = if self.is_stale { now + RENEW_INTERVAL } else { now };
    }

    /// Takes in the answer to a write.
    pub fn handle_write(&mut self, now: Instant, reply: WriteReply) {
        if !matches!(self.call, Call::Write(_)) {
            return;
        }
        let Call::Write(attempt) = std::mem::replace(&mut self.call, Call::None) else { return };
        match reply {
            WriteReply::Written(version) => {
                let record = attempt.record.clone();
                self.attempts.push(attempt);
                self.see(now, version, Some(record));
                self.next_at = now + RENEW_INTERVAL;
            }
            WriteReply::Conflict(_) => self.retry(now + CONFLICT_BACKOFF),
            WriteReply::NoReply => {
                self.attempts.push(attempt);
                self.retry(now + NO_REPLY_BACKOFF);
            }
        }
    }

    /// Whether the record concerns this process. Reads of a whole fleet would use up the store's
    /// read rate.
    fn is_active(&self) -> bool {
        let record = self.seen.as_ref().and_then(|seen| seen.record.as_ref());
        let is_own = record.is_some_and(|record| record.holder.as_ref() == Some(&self.own));
        (self.is_candidate && !self.is_closing) || is_own || !self.attempts.is_empty()
    }

    fn retry(&mut self, at: Instant) {
        self.is_stale = true;
        self.next_at = at;
    }

    fn see(&mut self, now: Instant, version: u64, record: Option<Record>) {
        if let Some(record) = &record {
            let started = self.attempts.iter().find(|attempt| attempt.record == *record);
            if let Some(Attempt { start, .. }) = started
                && record.holder.is_some()
                && !self.is_closing
            {
                self.term = Some(Term { epoch: record.epoch, until: *start + LEASE_DURATION });
            }
        }
        // The condition of the other attempts no longer holds once the version has changed.
        self.attempts.retain(|attempt| attempt.if_version == version);
        if self.seen.as_ref().is_none_or(|seen| seen.version != version) {
            self.seen = Some(Seen { version, record, since: now });
        }
    }

    /// The record to write at `now`, if any.
    fn plan(&self, now: Instant) -> Option<Record> {
        let seen = self.seen.as_ref()?;
        let renewal = self.renewal + 1;
        let holder = Some(self.own.clone());
        let Some(record) = &seen.record else {
            let may_claim = self.is_candidate && !self.is_closing;
            return may_claim.then_some(Record { holder, epoch: 1, renewal });
        };
        if record.holder == holder {
            let holder = holder.filter(|_| !self.is_closing);
            return Some(Record { holder, epoch: record.epoch, renewal });
        }
        let is_free = record.holder.is_none() || now.since(seen.since) >= TAKEOVER_DELAY;
        let may_take = is_free && self.is_candidate && !self.is_closing;
        may_take.then_some(Record { holder, epoch: record.epoch + 1, renewal })
    }
}

/// The highest epoch that a receiver has seen.
#[derive(Debug, Clone, Copy, Default)]
pub struct Fence(u64);

impl Fence {
    /// Whether a message of `epoch` is accepted; if so, older ones are refused from now on.
    pub fn admit(&mut self, epoch: u64) -> bool {
        let is_admitted = epoch >= self.0;
        self.0 = self.0.max(epoch);
        is_admitted
    }

    /// The highest epoch seen, 0 for none.
    pub const fn epoch(self) -> u64 {
        self.0
    }
}
