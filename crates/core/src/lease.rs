//! The lease of the steward, stored under `lease/steward`. The steward is the one entry that applies
//! planned traffic shifts. The leases of seats ([`crate::seat`]) have the same records and times.
//!
//! Rules:
//!
//! - A lease is measured on its holder's clock, from before the write that acquired or renewed it.
//!   The holder checks [`Lease::epoch`] before each action, so that a pause of the process cannot
//!   prolong the lease.
//! - A candidate acquires a free lease at once. It takes over a held one if the record has been
//!   unchanged for [`TAKEOVER_DELAY`] on the candidate's clock, counted from when it first read it.
//! - Each write carries a number that its writer uses once. If the reply is lost, the number in the
//!   record tells which write took effect, and the lease counts from the start of that write. If
//!   two writes had the same content, it could count from the later one and last too long.
//! - Each acquisition increments the epoch; renewals and the release keep it. Receivers of what the
//!   holder sends keep a [`Fence`] and reject older epochs.

use serde::{Deserialize, Serialize};
use serde_with::{NoneAsEmptyString, serde_as};

use crate::object::{ReadReply, Versioned, WriteReply};
use crate::roster::Process;
use crate::time::{Instant, Span};

/// The duration of a lease.
pub const LEASE_DURATION: Span = Span::from_secs(10);

/// The interval between renewals: two may fail before the lease expires. Also the interval at which a
/// candidate reads the record while another process holds the lease.
pub const RENEW_INTERVAL: Span = Span::from_secs(3);

/// Allows for clocks whose rates differ by 1% over one lease, and for 50 ms of scheduling delay.
pub const CLOCK_MARGIN: Span = Span::from_millis(150);

/// How long a record must be unchanged before another process takes over the lease.
pub const TAKEOVER_DELAY: Span =
    Span::from_millis(LEASE_DURATION.as_millis() + CLOCK_MARGIN.as_millis());

/// The backoff before the record is read again after a conflict.
pub const CONFLICT_BACKOFF: Span = Span::from_millis(50);

/// The backoff after a store call without a reply.
pub const NO_REPLY_BACKOFF: Span = Span::from_millis(500);

/// The stored state of a lease.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The holder, `None` if the lease is free.
    #[serde_as(as = "NoneAsEmptyString")]
    pub holder: Option<Process>,
    /// Increases with each acquisition.
    pub epoch: u64,
    /// The number that the writer gave to the write, be it a renewal, an acquisition or a release.
    pub renewal: u64,
}

/// A store call to make. The outcome goes to [`Lease::handle_read`] or [`Lease::handle_write`],
/// exactly once. The caller reports a call that timed out as `NoReply` and discards its late reply.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Read the record.
    Read,
    /// Write the record.
    Write {
        /// The expected object version, 0 if the object must be absent.
        if_version: u64,
        /// The new value.
        record: Record,
    },
}

/// A period in which a process may act as the holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Term {
    /// The epoch of the lease.
    pub epoch: u64,
    /// The end of the lease on the holder's clock.
    pub until: Instant,
}

/// The record as last read or written.
#[derive(Debug)]
struct Observed {
    version: u64,
    record: Option<Record>,
    unchanged_since: Instant,
}

/// A write that may have taken effect.
#[derive(Debug, Clone)]
struct PendingWrite {
    started_at: Instant,
    if_version: u64,
    record: Record,
}

#[derive(Debug)]
enum StoreCall {
    None,
    Read,
    Write(PendingWrite),
}

/// The state of the lease as one process knows it, and the store calls of that process.
#[derive(Debug)]
pub struct Lease {
    process: Process,
    is_candidate: bool,
    is_releasing: bool,
    term: Option<Term>,
    observed: Option<Observed>,
    /// Whether the record must be read before the next write.
    needs_read: bool,
    next_call_at: Instant,
    store_call: StoreCall,
    /// Writes without a reply that may still take effect. A confirmed write is among them only until
    /// `observe` has found it in the record.
    unresolved_writes: Vec<PendingWrite>,
    /// The number of this process's last write.
    last_write_number: u64,
}

impl Lease {
    /// The state of `process` before it has read the record.
    pub const fn new(process: Process) -> Lease {
        Lease {
            process,
            is_candidate: false,
            is_releasing: false,
            term: None,
            observed: None,
            needs_read: true,
            next_call_at: Instant::ZERO,
            store_call: StoreCall::None,
            unresolved_writes: Vec::new(),
            last_write_number: 0,
        }
    }

    /// Sets whether this process tries to acquire the lease. A holder keeps renewing it regardless.
    pub const fn set_candidate(&mut self, is_candidate: bool) {
        self.is_candidate = is_candidate;
    }

    /// Releases the lease for a planned stop and ends the candidacy for good. The next actions remove
    /// the holder from the record.
    pub const fn release(&mut self, now: Instant) {
        self.is_releasing = true;
        self.term = None;
        self.next_call_at = now;
    }

    /// The epoch under which this process may act at `now`.
    pub fn epoch(&self, now: Instant) -> Option<u64> {
        self.term.filter(|term| now < term.until).map(|term| term.epoch)
    }

    /// The last confirmed term, which may have expired.
    pub const fn term(&self) -> Option<Term> {
        self.term
    }

    /// The next store call, if one is due.
    pub fn next_action(&mut self, now: Instant) -> Option<Action> {
        if !matches!(self.store_call, StoreCall::None)
            || now < self.next_call_at
            || !self.needs_store()
        {
            return None;
        }
        let record = if self.needs_read { None } else { self.next_record(now) };
        let Some(record) = record else {
            self.store_call = StoreCall::Read;
            return Some(Action::Read);
        };
        let if_version = self.observed.as_ref().map_or(0, |observed| observed.version);
        self.last_write_number = record.renewal;
        self.store_call =
            StoreCall::Write(PendingWrite { started_at: now, if_version, record: record.clone() });
        Some(Action::Write { if_version, record })
    }

    /// The earliest time at which [`Lease::next_action`] may return an action.
    pub fn wake_at(&self) -> Instant {
        match self.store_call {
            StoreCall::None if self.needs_store() => self.next_call_at,
            _ => Instant::MAX,
        }
    }

    /// Handles the reply to a read.
    pub fn handle_read(&mut self, now: Instant, read: ReadReply<Record>) {
        if !matches!(self.store_call, StoreCall::Read) {
            return;
        }
        self.store_call = StoreCall::None;
        let (version, record) = match read {
            ReadReply::Found(Versioned { version, value }) => (version, Some(value)),
            ReadReply::Absent => (0, None),
            ReadReply::NoReply => return self.read_again_at(now + NO_REPLY_BACKOFF),
        };
        self.observe(now, version, record);
        // If nothing can be written now, the record is read again later.
        self.needs_read = self.next_record(now).is_none();
        self.next_call_at = if self.needs_read { now + RENEW_INTERVAL } else { now };
    }

    /// Handles the reply to a write.
    pub fn handle_write(&mut self, now: Instant, reply: WriteReply) {
        if !matches!(self.store_call, StoreCall::Write(_)) {
            return;
        }
        let StoreCall::Write(pending) = std::mem::replace(&mut self.store_call, StoreCall::None)
        else {
            return;
        };
        match reply {
            WriteReply::Written(version) => {
                let record = pending.record.clone();
                self.unresolved_writes.push(pending);
                self.observe(now, version, Some(record));
                self.next_call_at = now + RENEW_INTERVAL;
            }
            WriteReply::Conflict(_) => self.read_again_at(now + CONFLICT_BACKOFF),
            WriteReply::NoReply => {
                self.unresolved_writes.push(pending);
                self.read_again_at(now + NO_REPLY_BACKOFF);
            }
        }
    }

    /// Whether this process calls the store: as a candidate, as the holder, or to learn whether a
    /// write took effect. Other processes don't, since reads by all would exhaust the store's rate.
    fn needs_store(&self) -> bool {
        let record = self.observed.as_ref().and_then(|observed| observed.record.as_ref());
        let is_holder = record.is_some_and(|record| record.holder.as_ref() == Some(&self.process));
        (self.is_candidate && !self.is_releasing) || is_holder || !self.unresolved_writes.is_empty()
    }

    fn read_again_at(&mut self, at: Instant) {
        self.needs_read = true;
        self.next_call_at = at;
    }

    /// Records the state of the record at `now`. If a write of this process led to it, the term counts
    /// from the start of that write.
    fn observe(&mut self, now: Instant, version: u64, record: Option<Record>) {
        if let Some(record) = &record {
            let written = self.unresolved_writes.iter().find(|pending| pending.record == *record);
            if let Some(PendingWrite { started_at, .. }) = written
                && record.holder.is_some()
                && !self.is_releasing
            {
                self.term = Some(Term { epoch: record.epoch, until: *started_at + LEASE_DURATION });
            }
        }
        // Writes conditional on another version can no longer take effect.
        self.unresolved_writes.retain(|pending| pending.if_version == version);
        if self.observed.as_ref().is_none_or(|observed| observed.version != version) {
            self.observed = Some(Observed { version, record, unchanged_since: now });
        }
    }

    /// The next record to write at `now`, if any.
    fn next_record(&self, now: Instant) -> Option<Record> {
        let observed = self.observed.as_ref()?;
        let renewal = self.last_write_number + 1;
        let holder = Some(self.process.clone());
        let Some(record) = &observed.record else {
            let may_acquire = self.is_candidate && !self.is_releasing;
            return may_acquire.then_some(Record { holder, epoch: 1, renewal });
        };
        if record.holder == holder {
            let holder = holder.filter(|_| !self.is_releasing);
            return Some(Record { holder, epoch: record.epoch, renewal });
        }
        let is_available =
            record.holder.is_none() || now.since(observed.unchanged_since) >= TAKEOVER_DELAY;
        let may_take_over = is_available && self.is_candidate && !self.is_releasing;
        may_take_over.then_some(Record { holder, epoch: record.epoch + 1, renewal })
    }
}

/// The highest epoch that a receiver has accepted.
#[derive(Debug, Clone, Copy, Default)]
pub struct Fence(u64);

impl Fence {
    /// Whether a message of `epoch` is accepted. Once it is, messages of older epochs are rejected.
    pub fn accept(&mut self, epoch: u64) -> bool {
        let is_accepted = epoch >= self.0;
        self.0 = self.0.max(epoch);
        is_accepted
    }

    /// The highest epoch accepted, 0 for none.
    pub const fn epoch(self) -> u64 {
        self.0
    }
}
