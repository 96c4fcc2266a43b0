//! Seats: leased slices of link caps, kept in the store under `seats/<region>`.
//!
//! A seat runs on its holder's clock, from before the store write that took or renewed it, or from
//! before the question that a majority answered with promises. Each seat has one vote, which its
//! holder casts. Beyond the design page these rules are needed:
//!
//! - Majorities are counted over all seats of the region, free ones included. Otherwise two
//!   majorities over different numbers of holders may have no seat in common.
//! - Only a holder whose own seat is in force promises. A seat that may have been taken over could
//!   promise while its new holder consents.
//! - A new holder does not consent during its first [`TAKEOVER_DELAY`](crate::lease::TAKEOVER_DELAY): the former holder of its seat
//!   may have promised just before.
//! - A consent stops later promises for the same stored state, until the stored state has changed.
//!   Otherwise a promise could follow a consent before the write of the taker takes effect.
//! - A consent counts only if the store still shows the voter in the epoch in which it consented,
//!   in the version on which the taker's write is conditional.
//! - A process votes for a seat that an earlier process of the same VM holds, from [`TAKEOVER_DELAY`](crate::lease::TAKEOVER_DELAY)
//!   after its own start on. Without this rule a majority of holders that restart together would
//!   block each seat for ever, because their VMs never leave the VM list. It relies on a process
//!   starting only after its predecessor has ended; the bound peer address sees to that.
//! - Attempts to write carry numbers that are used once, see [`crate::lease`].
//!
//! Why no seat has two holders in force: a taker's write comes [`TAKEOVER_DELAY`](crate::lease::TAKEOVER_DELAY) after the last store
//! renewal. If the holder was extended by promises, some seat both promised and consented. If one
//! process cast both votes, its book excludes them. If the seat changed hands in between, either
//! the new holder consented, and then the promise has run out by the waiting time above, or the old
//! one did, and then the stored epoch of its vote no longer matches.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::lease::{CONFLICT_BACKOFF, LEASE_DURATION, NO_REPLY_BACKOFF, RENEW_INTERVAL, Record};
use crate::object::{ReadReply, Versioned, WriteReply};
use crate::quorum::{Canvass, Round};
use crate::roster::{Process, Roster};
use crate::time::{Instant, Span};
use crate::vote::{Book, Consent, Promise, SeatMessage, SeatVersion, TakeoverRequest};

/// Rest of a lease below which the holder asks for promises: one renewal has failed by then.
pub const EXTEND_THRESHOLD: Span = Span::from_secs(6);

/// The pause between two rounds of questions.
pub const ROUND_INTERVAL: Span = Span::from_secs(1);

/// The age of the last answer of the store up to which a write may be conditional on it.
pub const MAX_READ_AGE_FOR_WRITE: Span = Span::from_millis(200);

/// The largest number of seats of a region. The stored list stays far below the 1 MB of a value.
pub const MAX_SEATS: usize = 1_024;

/// How recent the last answer of the store must be for a take-over.
pub const MAX_READ_AGE_FOR_TAKEOVER: Span = Span::from_secs(1);

/// The value of the store object `seats/<region>`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seats {
    /// One element for each seat. Their number never changes once the object exists.
    pub seats: Vec<Record>,
}

/// What to do next. The outcome of a store call goes to [`SeatHolder::handle_read`] or
/// [`SeatHolder::handle_write`], exactly once; a call that is given up counts as silent, and its late
/// answer is dropped.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Read the region's seats.
    Read,
    /// Write the region's seats.
    Write {
        /// The version that the object must have, 0 for absent.
        if_version: u64,
        /// The new value.
        seats: Seats,
    },
    /// Send a frame to the entry called `to`.
    Send {
        /// The entry.
        to: String,
        /// The frame.
        message: SeatMessage,
    },
}

/// A seat that this process holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldSeat {
    /// The seat and its last confirmed state.
    pub seat_version: SeatVersion,
    /// When it ends on this process's clock.
    pub until: Instant,
    /// When this process learned that it holds the seat.
    pub since: Instant,
}

#[derive(Debug)]
pub(crate) struct Seen {
    pub(crate) version: u64,
    pub(crate) seats: Vec<Record>,
    /// Since when each seat has been seen unchanged.
    pub(crate) since: Vec<Instant>,
    pub(crate) read_at: Instant,
}

#[derive(Debug)]
struct Attempt {
    start: Instant,
    if_version: u64,
    seats: Vec<Record>,
}

#[derive(Debug)]
enum Call {
    None,
    Read,
    Write(Attempt),
}

/// The seats of one region as one of its processes sees them.
#[derive(Debug)]
pub struct SeatHolder {
    pub(crate) own: Process,
    seats: usize,
    pub(crate) wanted: usize,
    pub(crate) started: Instant,
    keep_seats_until: Instant,
    pub(crate) held_seats: Vec<HeldSeat>,
    pub(crate) seen: Option<Seen>,
    pub(crate) book: Book,
    pub(crate) round: Option<Round>,
    pub(crate) rounds: u64,
    pub(crate) canvass: Option<Canvass>,
    call: Call,
    attempts: Vec<Attempt>,
    renewal: u64,
    pub(crate) is_stale: bool,
    pub(crate) next_at: Instant,
    renew_at: Instant,
    pub(crate) queue: VecDeque<Action>,
}

impl SeatHolder {
    /// The view of process `own`, started at `now`, of a region with `seats` seats. An existing
    /// object in the store decides over `seats`.
    pub fn new(now: Instant, own: Process, seats: usize) -> SeatHolder {
        SeatHolder {
            own,
            seats,
            wanted: 0,
            started: now,
            keep_seats_until: now,
            held_seats: Vec::new(),
            seen: None,
            book: Book::default(),
            round: None,
            rounds: 0,
            canvass: None,
            call: Call::None,
            attempts: Vec::new(),
            renewal: 0,
            is_stale: true,
            next_at: now,
            renew_at: now,
            queue: VecDeque::new(),
        }
    }

    /// States how many seats this process should hold. Seats above that are released.
    pub const fn set_desired_seats(&mut self, wanted: usize) {
        self.wanted = wanted;
    }

    /// Keeps all seats until `until`, because rate was lent against them.
    pub fn keep_seats_until(&mut self, until: Instant) {
        self.keep_seats_until = self.keep_seats_until.max(until);
    }

    /// The seats that this process holds, also those that have ended.
    pub fn held_seats(&self) -> &[HeldSeat] {
        &self.held_seats
    }

    /// The number of seats in force at `now`, and when the first of them ends.
    pub fn in_force(&self, now: Instant) -> (usize, Instant) {
        let held_seats = self.held_seats.iter().filter(|held_seat| now < held_seat.until);
        let ends = held_seats.clone().map(|held_seat| held_seat.until).min();
        (held_seats.count(), ends.unwrap_or(Instant::MAX))
    }

    /// The number of seats in the region.
    pub fn seat_count(&self) -> usize {
        self.seen.as_ref().map_or(self.seats, |seen| seen.seats.len())
    }

    /// When [`SeatHolder::next_action`] may next have something to do.
    pub fn wake_at(&self) -> Instant {
        if !self.queue.is_empty() {
            return Instant::ZERO;
        }
        let is_idle = matches!(self.call, Call::None) && self.is_active();
        let store = if is_idle { self.next_at } else { Instant::MAX };
        let ends = self.held_seats.iter().map(|held_seat| held_seat.until - EXTEND_THRESHOLD).min();
        let paused =
            self.round.as_ref().map_or(Instant::ZERO, |round| round.start + ROUND_INTERVAL);
        store.min(ends.map_or(Instant::MAX, |ends| ends.max(paused)))
    }

    /// The next thing to do at `now`, if any. Call it until it returns `None`.
    pub fn next_action(&mut self, now: Instant, roster: &Roster) -> Option<Action> {
        if self.queue.is_empty() {
            self.start_round(now);
            self.start_canvass(now, roster);
            self.start_call(now, roster);
        }
        self.queue.pop_front()
    }

    /// Takes in a frame of `from` and returns the answer, if any.
    pub fn handle_message(
        &mut self,
        now: Instant,
        from: &Process,
        message: &SeatMessage,
    ) -> Option<SeatMessage> {
        match message {
            SeatMessage::Extend(extend) => {
                let votes = self.promise(now, from, &extend.seat_versions)?;
                Some(SeatMessage::Promise(Promise { round: extend.round, votes }))
            }
            SeatMessage::Promise(promise) => {
                self.handle_promise(promise);
                None
            }
            SeatMessage::Takeover(TakeoverRequest { seat_version }) => {
                let votes = self.consent(now, *seat_version)?;
                Some(SeatMessage::Consent(Consent { seat_version: *seat_version, votes }))
            }
            SeatMessage::Consent(consent) => {
                self.handle_consent(now, consent);
                None
            }
        }
    }

    /// Takes in the answer to a read.
    pub fn handle_read(&mut self, now: Instant, read: ReadReply<Seats>) {
        if !matches!(self.call, Call::Read) {
            return;
        }
        self.call = Call::None;
        match read {
            ReadReply::Found(Versioned { version, value }) if self.is_usable(&value) => {
                self.see(now, version, value.seats);
            }
            ReadReply::Absent => {
                let free = Record { holder: None, epoch: 0, renewal: 0 };
                self.see(now, 0, vec![free; self.seats]);
            }
            ReadReply::Found(_) | ReadReply::NoReply => return self.retry(now + NO_REPLY_BACKOFF),
        }
        self.is_stale = false;
        self.next_at = now;
    }

    /// Takes in the answer to a write.
    pub fn handle_write(&mut self, now: Instant, reply: WriteReply) {
        if !matches!(self.call, Call::Write(_)) {
            return;
        }
        let Call::Write(attempt) = std::mem::replace(&mut self.call, Call::None) else { return };
        let seats = attempt.seats.clone();
        match reply {
            WriteReply::Written(version) => {
                self.attempts.push(attempt);
                self.see(now, version, seats);
                self.next_at = now + RENEW_INTERVAL;
            }
            WriteReply::Conflict(_) => self.retry(now + CONFLICT_BACKOFF),
            WriteReply::NoReply => {
                self.attempts.push(attempt);
                self.retry(now + NO_REPLY_BACKOFF);
            }
        }
    }

    /// Whether the stored seats concern this process: it wants one, or it or an earlier process of
    /// its VM holds one. Reads of a whole fleet would use up the store's read rate.
    fn is_active(&self) -> bool {
        let Some(seen) = &self.seen else { return true };
        let is_named = seen.seats.iter().any(|stored| {
            stored.holder.as_ref().is_some_and(|holder| holder.name == self.own.name)
        });
        self.wanted > 0 || is_named || !self.attempts.is_empty()
    }

    fn retry(&mut self, at: Instant) {
        self.is_stale = true;
        self.next_at = at;
    }

    /// Whether the list has a sensible length, the same one as before: with another number of
    /// seats the shares of processes that have read the old and the new list would not fit.
    fn is_usable(&self, value: &Seats) -> bool {
        let known = self.seen.as_ref().map(|seen| seen.seats.len());
        let count = value.seats.len();
        (1..=MAX_SEATS).contains(&count) && known.is_none_or(|known| known == count)
    }

    /// Takes in the stored state.
    fn see(&mut self, now: Instant, version: u64, seats: Vec<Record>) {
        if self.seen.as_ref().is_some_and(|seen| version < seen.version) {
            return;
        }
        self.held_seats.retain(|held_seat| {
            let stored = &seats[usize::from(held_seat.seat_version.seat)];
            stored.holder.as_ref() == Some(&self.own)
                && stored.epoch == held_seat.seat_version.epoch
        });
        for (seat, stored) in seats.iter().enumerate() {
            if stored.holder.as_ref() == Some(&self.own) {
                self.confirm(now, seat, stored);
            }
        }
        // The condition of the other attempts no longer holds once the version has changed.
        self.attempts.retain(|attempt| attempt.if_version == version);
        let since = seats.iter().enumerate().map(|(seat, stored)| match &self.seen {
            Some(seen) if seen.seats[seat] == *stored => seen.since[seat],
            _ => now,
        });
        let since = since.collect();
        self.seen = Some(Seen { version, seats, since, read_at: now });
    }

    /// Takes in that this process holds `seat`, if one of its own attempts says since when.
    fn confirm(&mut self, now: Instant, seat: usize, stored: &Record) {
        let attempt = self.attempts.iter().find(|attempt| attempt.seats[seat] == *stored);
        let Some(start) = attempt.map(|attempt| attempt.start) else { return };
        let seat_version =
            SeatVersion { seat: seat as u16, epoch: stored.epoch, renewal: stored.renewal };
        let until = start + LEASE_DURATION;
        self.renew_at = start + RENEW_INTERVAL;
        match self
            .held_seats
            .iter_mut()
            .find(|held_seat| usize::from(held_seat.seat_version.seat) == seat)
        {
            Some(held_seat) => {
                held_seat.seat_version = seat_version;
                held_seat.until = held_seat.until.max(until);
            }
            None => self.held_seats.push(HeldSeat { seat_version, until, since: now }),
        }
    }

    fn start_call(&mut self, now: Instant, roster: &Roster) {
        if !matches!(self.call, Call::None) || now < self.next_at || !self.is_active() {
            return;
        }
        let read_at = self.seen.as_ref().map_or(Instant::ZERO, |seen| seen.read_at);
        // Other holders write the same object, so an older version would only conflict.
        if self.is_stale || now >= read_at + MAX_READ_AGE_FOR_WRITE {
            self.call = Call::Read;
            self.queue.push_back(Action::Read);
            return;
        }
        let Some((if_version, seats)) = self.plan(now, roster) else {
            let renew_at = if self.held_seats.is_empty() { Instant::MAX } else { self.renew_at };
            self.next_at = renew_at.min(read_at + RENEW_INTERVAL);
            return;
        };
        self.drop_released(&seats);
        let value = Seats { seats: seats.clone() };
        self.call = Call::Write(Attempt { start: now, if_version, seats });
        self.queue.push_back(Action::Write { if_version, seats: value });
    }

    /// The value to write at `now`, if any, and the version on which it is conditional.
    fn plan(&mut self, now: Instant, roster: &Roster) -> Option<(u64, Vec<Record>)> {
        let taken = self.won_seat(now, roster);
        let seen = self.seen.as_ref()?;
        let mut seats = seen.seats.clone();
        let renewal = self.renewal + 1;
        let is_own = |stored: &Record| stored.holder.as_ref() == Some(&self.own);
        let mut held = seats.iter().filter(|stored| is_own(stored)).count();
        let mut is_due = held > 0 && now >= self.renew_at;
        for (seat, stored) in seats.iter_mut().enumerate() {
            if stored.holder.as_ref() == Some(&self.own) {
                let is_surplus = held > self.wanted && now >= self.keep_seats_until;
                if is_surplus {
                    stored.holder = None;
                    held -= 1;
                    is_due = true;
                }
                stored.renewal = renewal;
            } else if held < self.wanted && (stored.holder.is_none() || taken == Some(seat)) {
                let holder = Some(self.own.clone());
                *stored = Record { holder, epoch: stored.epoch + 1, renewal };
                held += 1;
                is_due = true;
            }
        }
        is_due.then(|| {
            self.renewal = renewal;
            (seen.version, seats)
        })
    }

    /// Stops using the seats that `seats` no longer gives to this process, before it is written.
    fn drop_released(&mut self, seats: &[Record]) {
        let own = Some(&self.own);
        self.held_seats.retain(|held_seat| {
            seats[usize::from(held_seat.seat_version.seat)].holder.as_ref() == own
        });
    }
}
