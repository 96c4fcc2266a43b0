//! Seats: leased, equal shares of the link caps of a region, stored under `seats/<region>`.
//!
//! A lease of a seat is measured on its holder's clock, from before the store write that acquired
//! or renewed it. While the store is unreachable, a majority of holders can extend the lease by
//! promises; it then counts from before the request for them. Each seat has one vote, cast by its
//! holder. No seat has two holders in force, given these rules:
//!
//! - Majorities are counted over all seats of the region, including free ones. Two majorities over
//!   different sets of holders may have no seat in common.
//! - Only a holder whose own seat is in force promises. A holder whose seat may have been taken
//!   over could promise while the new holder consents.
//! - A new holder does not consent for [`TAKEOVER_DELAY`](crate::lease::TAKEOVER_DELAY) after it
//!   acquired the seat: the previous holder may have promised just before.
//! - A consent blocks promises for the same stored state until that state has changed. Otherwise a
//!   promise could follow a consent before the takeover's write takes effect.
//! - A consent counts only if the version on which the takeover's write is conditional still has
//!   the voter in the epoch in which it consented.
//! - A process also votes for a seat held by an earlier process of the same VM, once
//!   [`TAKEOVER_DELAY`](crate::lease::TAKEOVER_DELAY) has passed since its own start. Otherwise a
//!   majority of holders that restart together would block every seat forever, because their VMs
//!   never leave the VM list. This relies on a process starting only after its predecessor has
//!   ended, which holds because both bind the same peer address.
//! - Each write carries a number that its writer uses once, see [`crate::lease`].
//!
//! Why these suffice: a takeover's write comes at least
//! [`TAKEOVER_DELAY`](crate::lease::TAKEOVER_DELAY) after the last renewal in the store. If the
//! holder was extended by promises, the two majorities share a seat that both promised and
//! consented. One process cannot have cast both votes, because its vote state excludes that. If
//! that seat changed hands in between, either the new holder consented, and the promise has expired
//! by the delay above, or the old holder did, and the stored epoch no longer matches its vote.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::lease::{CONFLICT_BACKOFF, LEASE_DURATION, NO_REPLY_BACKOFF, RENEW_INTERVAL, Record};
use crate::object::{ReadReply, Versioned, WriteReply};
use crate::quorum::{ConsentRound, ExtensionRound};
use crate::roster::{Process, Roster};
use crate::time::{Instant, Span};
use crate::vote::{self, Consent, Promise, SeatVersion, TakeoverRequest};

/// Remaining lease time below which the holder asks for promises: one renewal has failed by then.
pub const EXTEND_THRESHOLD: Span = Span::from_secs(6);

/// The minimum time between two rounds of vote requests.
pub const ROUND_INTERVAL: Span = Span::from_secs(1);

/// The maximum age of the last store read for a write that is conditional on its version.
pub const MAX_READ_AGE_FOR_WRITE: Span = Span::from_millis(200);

/// The maximum number of seats per region. The record list stays far below the 1 MB of a value.
pub const MAX_SEATS: usize = 1_024;

/// The maximum age of the last store read for a takeover.
pub const MAX_READ_AGE_FOR_TAKEOVER: Span = Span::from_secs(1);

/// The value of the store object `seats/<region>`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seats {
    /// One record per seat. The length never changes once the object exists.
    pub seats: Vec<Record>,
}

/// The next operation to carry out. The outcome of each store call must be passed exactly once to
/// [`Holder::handle_read`] or [`Holder::handle_write`]. A call that timed out is reported as
/// `NoReply` and its late reply is discarded.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Read the region's seats.
    Read,
    /// Write the region's seats.
    Write {
        /// The expected object version, 0 if the object must be absent.
        if_version: u64,
        /// The new value.
        seats: Seats,
    },
    /// Send a message to the entry named `to`.
    Send {
        /// The name of the receiving entry.
        to: String,
        /// The message.
        message: vote::Message,
    },
}

/// A seat that this process holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Held {
    /// The seat's last confirmed state.
    pub seat_version: SeatVersion,
    /// The end of the lease on this process's clock.
    pub until: Instant,
    /// When this process learned that it holds the seat.
    pub held_since: Instant,
}

/// The region's seats as last read or written.
#[derive(Debug)]
pub(crate) struct Observed {
    pub(crate) version: u64,
    pub(crate) seats: Vec<Record>,
    /// Since when each record has been observed unchanged.
    pub(crate) unchanged_since: Vec<Instant>,
    pub(crate) read_at: Instant,
}

/// A write that may have taken effect.
#[derive(Debug)]
struct PendingWrite {
    started_at: Instant,
    if_version: u64,
    seats: Vec<Record>,
}

#[derive(Debug)]
enum StoreCall {
    None,
    Read,
    Write(PendingWrite),
}

/// The state of a region's seats as one process knows it, with its store calls and votes.
#[derive(Debug)]
pub struct Holder {
    pub(crate) process: Process,
    initial_seat_count: usize,
    pub(crate) desired_seats: usize,
    pub(crate) started_at: Instant,
    keep_seats_until: Instant,
    pub(crate) held_seats: Vec<Held>,
    pub(crate) observed: Option<Observed>,
    pub(crate) vote_state: vote::State,
    pub(crate) extension_round: Option<ExtensionRound>,
    pub(crate) last_extension_round: u64,
    pub(crate) consent_round: Option<ConsentRound>,
    store_call: StoreCall,
    /// Writes without a reply that may still take effect, and a confirmed one while it is handled.
    unresolved_writes: Vec<PendingWrite>,
    /// The number of this process's last write.
    last_write_number: u64,
    pub(crate) needs_read: bool,
    pub(crate) next_call_at: Instant,
    renew_at: Instant,
    pub(crate) actions: VecDeque<Action>,
}

impl Holder {
    /// The state of `process`, started at `now` in a region with `initial_seat_count` seats. An
    /// object that already exists in the store takes precedence over this count.
    pub fn new(now: Instant, process: Process, initial_seat_count: usize) -> Holder {
        Holder {
            process,
            initial_seat_count,
            desired_seats: 0,
            started_at: now,
            keep_seats_until: now,
            held_seats: Vec::new(),
            observed: None,
            vote_state: vote::State::default(),
            extension_round: None,
            last_extension_round: 0,
            consent_round: None,
            store_call: StoreCall::None,
            unresolved_writes: Vec::new(),
            last_write_number: 0,
            needs_read: true,
            next_call_at: now,
            renew_at: now,
            actions: VecDeque::new(),
        }
    }

    /// Sets how many seats this process should hold. Surplus seats are released.
    pub const fn set_desired_seats(&mut self, desired_seats: usize) {
        self.desired_seats = desired_seats;
    }

    /// Prevents the release of seats before `until`, because their rate is lent.
    pub fn keep_seats_until(&mut self, until: Instant) {
        self.keep_seats_until = self.keep_seats_until.max(until);
    }

    /// The seats that this process holds, including expired ones.
    pub fn held_seats(&self) -> &[Held] {
        &self.held_seats
    }

    /// The number of seats in force at `now`, and when the first of them expires.
    pub fn in_force(&self, now: Instant) -> (usize, Instant) {
        let in_force = self.held_seats.iter().filter(|held_seat| now < held_seat.until);
        let first_expiry = in_force.clone().map(|held_seat| held_seat.until).min();
        (in_force.count(), first_expiry.unwrap_or(Instant::MAX))
    }

    /// The number of seats in the region.
    pub fn seat_count(&self) -> usize {
        self.observed.as_ref().map_or(self.initial_seat_count, |observed| observed.seats.len())
    }

    /// The earliest time at which [`Holder::next_action`] may return an action.
    pub fn wake_at(&self) -> Instant {
        if !self.actions.is_empty() {
            return Instant::ZERO;
        }
        let is_idle = matches!(self.store_call, StoreCall::None) && self.needs_store();
        let store_call_at = if is_idle { self.next_call_at } else { Instant::MAX };
        let extend_at =
            self.held_seats.iter().map(|held_seat| held_seat.until - EXTEND_THRESHOLD).min();
        let next_round_at = self
            .extension_round
            .as_ref()
            .map_or(Instant::ZERO, |round| round.started_at + ROUND_INTERVAL);
        store_call_at.min(extend_at.map_or(Instant::MAX, |at| at.max(next_round_at)))
    }

    /// The next action at `now`, if any. Call it until it returns `None`.
    pub fn next_action(&mut self, now: Instant, roster: &Roster) -> Option<Action> {
        if self.actions.is_empty() {
            self.start_extension_round(now);
            self.start_consent_round(now, roster);
            self.start_store_call(now, roster);
        }
        self.actions.pop_front()
    }

    /// Handles a message from `from` and returns the reply, if any.
    pub fn handle_message(
        &mut self,
        now: Instant,
        from: &Process,
        message: &vote::Message,
    ) -> Option<vote::Message> {
        match message {
            vote::Message::Extend(request) => {
                let votes = self.promise(now, from, &request.seat_versions)?;
                Some(vote::Message::Promise(Promise { round: request.round, votes }))
            }
            vote::Message::Promise(promise) => {
                self.handle_promise(promise);
                None
            }
            vote::Message::Takeover(TakeoverRequest { seat_version }) => {
                let votes = self.consent(now, *seat_version)?;
                Some(vote::Message::Consent(Consent { seat_version: *seat_version, votes }))
            }
            vote::Message::Consent(consent) => {
                self.handle_consent(now, consent);
                None
            }
        }
    }

    /// Handles the reply to a read.
    pub fn handle_read(&mut self, now: Instant, read: ReadReply<Seats>) {
        if !matches!(self.store_call, StoreCall::Read) {
            return;
        }
        self.store_call = StoreCall::None;
        match read {
            ReadReply::Found(Versioned { version, value }) if self.has_valid_length(&value) => {
                self.observe(now, version, value.seats);
            }
            ReadReply::Absent => {
                let free = Record { holder: None, epoch: 0, renewal: 0 };
                self.observe(now, 0, vec![free; self.initial_seat_count]);
            }
            ReadReply::Found(_) | ReadReply::NoReply => {
                return self.read_again_at(now + NO_REPLY_BACKOFF);
            }
        }
        self.needs_read = false;
        self.next_call_at = now;
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
        let seats = pending.seats.clone();
        match reply {
            WriteReply::Written(version) => {
                self.unresolved_writes.push(pending);
                self.observe(now, version, seats);
                self.next_call_at = now + RENEW_INTERVAL;
            }
            WriteReply::Conflict(_) => self.read_again_at(now + CONFLICT_BACKOFF),
            WriteReply::NoReply => {
                self.unresolved_writes.push(pending);
                self.read_again_at(now + NO_REPLY_BACKOFF);
            }
        }
    }

    /// Whether this process has to access the store: it wants a seat, or it or an earlier process
    /// of its VM holds one. Polling by all processes would exhaust the store's read rate.
    fn needs_store(&self) -> bool {
        let Some(observed) = &self.observed else { return true };
        let is_holder = observed.seats.iter().any(|record| {
            record.holder.as_ref().is_some_and(|holder| holder.name == self.process.name)
        });
        self.desired_seats > 0 || is_holder || !self.unresolved_writes.is_empty()
    }

    fn read_again_at(&mut self, at: Instant) {
        self.needs_read = true;
        self.next_call_at = at;
    }

    /// Whether the list has a permitted length that has not changed. If the number of seats
    /// changed, processes that had read the old list and the new one could exceed the cap together.
    fn has_valid_length(&self, value: &Seats) -> bool {
        let known = self.observed.as_ref().map(|observed| observed.seats.len());
        let length = value.seats.len();
        (1..=MAX_SEATS).contains(&length) && known.is_none_or(|known| known == length)
    }

    /// Updates the held seats and the observed state from the stored records.
    fn observe(&mut self, now: Instant, version: u64, seats: Vec<Record>) {
        if self.observed.as_ref().is_some_and(|observed| version < observed.version) {
            return;
        }
        self.held_seats.retain(|held_seat| {
            let record = &seats[usize::from(held_seat.seat_version.seat)];
            record.holder.as_ref() == Some(&self.process)
                && record.epoch == held_seat.seat_version.epoch
        });
        for (seat, record) in seats.iter().enumerate() {
            if record.holder.as_ref() == Some(&self.process) {
                self.confirm_held_seat(now, seat, record);
            }
        }
        // Writes conditional on another version can no longer take effect.
        self.unresolved_writes.retain(|pending| pending.if_version == version);
        let unchanged_since = seats.iter().enumerate().map(|(seat, record)| match &self.observed {
            Some(observed) if observed.seats[seat] == *record => observed.unchanged_since[seat],
            _ => now,
        });
        let unchanged_since = unchanged_since.collect();
        self.observed = Some(Observed { version, seats, unchanged_since, read_at: now });
    }

    /// Records that this process holds `seat`. The lease counts from the start of the write that
    /// took effect; without such a write its start is unknown and the seat is not used.
    fn confirm_held_seat(&mut self, now: Instant, seat: usize, record: &Record) {
        let pending = self.unresolved_writes.iter().find(|pending| pending.seats[seat] == *record);
        let Some(started_at) = pending.map(|pending| pending.started_at) else { return };
        let seat_version =
            SeatVersion { seat: seat as u16, epoch: record.epoch, renewal: record.renewal };
        let until = started_at + LEASE_DURATION;
        self.renew_at = started_at + RENEW_INTERVAL;
        match self
            .held_seats
            .iter_mut()
            .find(|held_seat| usize::from(held_seat.seat_version.seat) == seat)
        {
            Some(held_seat) => {
                held_seat.seat_version = seat_version;
                held_seat.until = held_seat.until.max(until);
            }
            None => self.held_seats.push(Held { seat_version, until, held_since: now }),
        }
    }

    fn start_store_call(&mut self, now: Instant, roster: &Roster) {
        if !matches!(self.store_call, StoreCall::None)
            || now < self.next_call_at
            || !self.needs_store()
        {
            return;
        }
        let read_at = self.observed.as_ref().map_or(Instant::ZERO, |observed| observed.read_at);
        // Other holders write the same object, so a write based on an old read would conflict.
        if self.needs_read || now >= read_at + MAX_READ_AGE_FOR_WRITE {
            self.store_call = StoreCall::Read;
            self.actions.push_back(Action::Read);
            return;
        }
        let Some((if_version, seats)) = self.next_write(now, roster) else {
            let renew_at = if self.held_seats.is_empty() { Instant::MAX } else { self.renew_at };
            self.next_call_at = renew_at.min(read_at + RENEW_INTERVAL);
            return;
        };
        self.drop_released(&seats);
        let value = Seats { seats: seats.clone() };
        self.store_call = StoreCall::Write(PendingWrite { started_at: now, if_version, seats });
        self.actions.push_back(Action::Write { if_version, seats: value });
    }

    /// The next conditional write at `now`, if any: the expected version and the new value.
    fn next_write(&mut self, now: Instant, roster: &Roster) -> Option<(u64, Vec<Record>)> {
        let takeover = self.approved_takeover(now, roster);
        let observed = self.observed.as_ref()?;
        let mut seats = observed.seats.clone();
        let renewal = self.last_write_number + 1;
        let is_own = |record: &Record| record.holder.as_ref() == Some(&self.process);
        let mut held_count = seats.iter().filter(|record| is_own(record)).count();
        let mut is_due = held_count > 0 && now >= self.renew_at;
        for (seat, record) in seats.iter_mut().enumerate() {
            if record.holder.as_ref() == Some(&self.process) {
                let is_surplus = held_count > self.desired_seats && now >= self.keep_seats_until;
                if is_surplus {
                    record.holder = None;
                    held_count -= 1;
                    is_due = true;
                }
                record.renewal = renewal;
            } else if held_count < self.desired_seats
                && (record.holder.is_none() || takeover == Some(seat))
            {
                let holder = Some(self.process.clone());
                *record = Record { holder, epoch: record.epoch + 1, renewal };
                held_count += 1;
                is_due = true;
            }
        }
        is_due.then(|| {
            self.last_write_number = renewal;
            (observed.version, seats)
        })
    }

    /// Stops using the seats that `seats` releases, before it is written.
    fn drop_released(&mut self, seats: &[Record]) {
        let own = Some(&self.process);
        self.held_seats.retain(|held_seat| {
            seats[usize::from(held_seat.seat_version.seat)].holder.as_ref() == own
        });
    }
}
