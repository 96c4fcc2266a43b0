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
//! - A new holder does not consent during its first [`TAKE_AFTER`](crate::lease::TAKE_AFTER): the former holder of its seat
//!   may have promised just before.
//! - A consent stops later promises for the same stored state, until the stored state has changed.
//!   Otherwise a promise could follow a consent before the write of the taker takes effect.
//! - A consent counts only if the store still shows the voter in the epoch in which it consented,
//!   in the version on which the taker's write is conditional.
//! - A process votes for a seat that an earlier process of the same VM holds, from [`TAKE_AFTER`](crate::lease::TAKE_AFTER)
//!   after its own start on. Without this rule a majority of holders that restart together would
//!   block each seat for ever, because their VMs never leave the VM list. It relies on a process
//!   starting only after its predecessor has ended; the bound peer address sees to that.
//! - Attempts to write carry numbers that are used once, see [`crate::lease`].
//!
//! Why no seat has two holders in force: a taker's write comes [`TAKE_AFTER`](crate::lease::TAKE_AFTER) after the last store
//! renewal. If the holder was extended by promises, some seat both promised and consented. If one
//! process cast both votes, its book excludes them. If the seat changed hands in between, either
//! the new holder consented, and then the promise has run out by the waiting time above, or the old
//! one did, and then the stored epoch of its vote no longer matches.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::lease::{CONFLICT_PAUSE, LEASE, RENEW, Record, SILENCE_PAUSE};
use crate::object::{Held, Read, Reply};
use crate::quorum::{Canvass, Round};
use crate::roster::{Process, Roster};
use crate::time::{Instant, Span};
use crate::vote::{Book, Consent, Message, Promise, TakeOver, Tenure};

/// Rest of a lease below which the holder asks for promises: one renewal has failed by then.
pub const EXTEND_BELOW: Span = Span::from_secs(6);

/// The pause between two rounds of questions.
pub const ROUND_PAUSE: Span = Span::from_secs(1);

/// The age of the last answer of the store up to which a write may be conditional on it.
pub const RECENT_READ: Span = Span::from_millis(200);

/// The largest number of seats of a region. The stored list stays far below the 1 MB of a value.
pub const SEATS_MAX: usize = 1_024;

/// How recent the last answer of the store must be for a take-over.
pub const FRESH_READ: Span = Span::from_secs(1);

/// The value of the store object `seats/<region>`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seats {
    /// One element for each seat. Their number never changes once the object exists.
    pub seats: Vec<Record>,
}

/// What to do next. The outcome of a store call goes to [`Holder::note_read`] or
/// [`Holder::note_write`], exactly once; a call that is given up counts as silent, and its late
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
        message: Message,
    },
}

/// A seat that this process holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Slot {
    /// The seat and its last confirmed state.
    pub tenure: Tenure,
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
pub struct Holder {
    pub(crate) own: Process,
    seats: usize,
    pub(crate) wanted: usize,
    pub(crate) started: Instant,
    keep_until: Instant,
    pub(crate) slots: Vec<Slot>,
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

impl Holder {
    /// The view of process `own`, started at `now`, of a region with `seats` seats. An existing
    /// object in the store decides over `seats`.
    pub fn new(now: Instant, own: Process, seats: usize) -> Holder {
        Holder {
            own,
            seats,
            wanted: 0,
            started: now,
            keep_until: now,
            slots: Vec::new(),
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
    pub const fn set_wanted(&mut self, wanted: usize) {
        self.wanted = wanted;
    }

    /// Keeps all seats until `until`, because rate was lent against them.
    pub fn keep_until(&mut self, until: Instant) {
        self.keep_until = self.keep_until.max(until);
    }

    /// The seats that this process holds, also those that have ended.
    pub fn slots(&self) -> &[Slot] {
        &self.slots
    }

    /// The number of seats in force at `now`, and when the first of them ends.
    pub fn in_force(&self, now: Instant) -> (usize, Instant) {
        let slots = self.slots.iter().filter(|slot| now < slot.until);
        let ends = slots.clone().map(|slot| slot.until).min();
        (slots.count(), ends.unwrap_or(Instant::MAX))
    }

    /// The number of seats in the region.
    pub fn seats(&self) -> usize {
        self.seen.as_ref().map_or(self.seats, |seen| seen.seats.len())
    }

    /// When [`Holder::next_action`] may next have something to do.
    pub fn wake_at(&self) -> Instant {
        if !self.queue.is_empty() {
            return Instant::ZERO;
        }
        let is_idle = matches!(self.call, Call::None) && self.is_active();
        let store = if is_idle { self.next_at } else { Instant::MAX };
        let ends = self.slots.iter().map(|slot| slot.until - EXTEND_BELOW).min();
        let paused = self.round.as_ref().map_or(Instant::ZERO, |round| round.start + ROUND_PAUSE);
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
    pub fn note_message(
        &mut self,
        now: Instant,
        from: &Process,
        message: &Message,
    ) -> Option<Message> {
        match message {
            Message::Extend(extend) => {
                let votes = self.promise(now, from, &extend.tenures)?;
                Some(Message::Promise(Promise { round: extend.round, votes }))
            }
            Message::Promise(promise) => {
                self.note_promise(promise);
                None
            }
            Message::TakeOver(TakeOver { tenure }) => {
                let votes = self.consent(now, *tenure)?;
                Some(Message::Consent(Consent { tenure: *tenure, votes }))
            }
            Message::Consent(consent) => {
                self.note_consent(now, consent);
                None
            }
        }
    }

    /// Takes in the answer to a read.
    pub fn note_read(&mut self, now: Instant, read: Read<Seats>) {
        if !matches!(self.call, Call::Read) {
            return;
        }
        self.call = Call::None;
        match read {
            Read::Found(Held { version, value }) if self.is_usable(&value) => {
                self.see(now, version, value.seats);
            }
            Read::Absent => {
                let free = Record { holder: None, epoch: 0, renewal: 0 };
                self.see(now, 0, vec![free; self.seats]);
            }
            Read::Found(_) | Read::Silent => return self.retry(now + SILENCE_PAUSE),
        }
        self.is_stale = false;
        self.next_at = now;
    }

    /// Takes in the answer to a write.
    pub fn note_write(&mut self, now: Instant, reply: Reply) {
        if !matches!(self.call, Call::Write(_)) {
            return;
        }
        let Call::Write(attempt) = std::mem::replace(&mut self.call, Call::None) else { return };
        let seats = attempt.seats.clone();
        match reply {
            Reply::Written(version) => {
                self.attempts.push(attempt);
                self.see(now, version, seats);
                self.next_at = now + RENEW;
            }
            Reply::Conflict(_) => self.retry(now + CONFLICT_PAUSE),
            Reply::Silent => {
                self.attempts.push(attempt);
                self.retry(now + SILENCE_PAUSE);
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
        (1..=SEATS_MAX).contains(&count) && known.is_none_or(|known| known == count)
    }

    /// Takes in the stored state.
    fn see(&mut self, now: Instant, version: u64, seats: Vec<Record>) {
        if self.seen.as_ref().is_some_and(|seen| version < seen.version) {
            return;
        }
        self.slots.retain(|slot| {
            let stored = &seats[usize::from(slot.tenure.seat)];
            stored.holder.as_ref() == Some(&self.own) && stored.epoch == slot.tenure.epoch
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
        let tenure = Tenure { seat: seat as u16, epoch: stored.epoch, renewal: stored.renewal };
        let until = start + LEASE;
        self.renew_at = start + RENEW;
        match self.slots.iter_mut().find(|slot| usize::from(slot.tenure.seat) == seat) {
            Some(slot) => {
                slot.tenure = tenure;
                slot.until = slot.until.max(until);
            }
            None => self.slots.push(Slot { tenure, until, since: now }),
        }
    }

    fn start_call(&mut self, now: Instant, roster: &Roster) {
        if !matches!(self.call, Call::None) || now < self.next_at || !self.is_active() {
            return;
        }
        let read_at = self.seen.as_ref().map_or(Instant::ZERO, |seen| seen.read_at);
        // Other holders write the same object, so an older version would only conflict.
        if self.is_stale || now >= read_at + RECENT_READ {
            self.call = Call::Read;
            self.queue.push_back(Action::Read);
            return;
        }
        let Some((if_version, seats)) = self.plan(now, roster) else {
            let renew_at = if self.slots.is_empty() { Instant::MAX } else { self.renew_at };
            self.next_at = renew_at.min(read_at + RENEW);
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
                let is_surplus = held > self.wanted && now >= self.keep_until;
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
        self.slots.retain(|slot| seats[usize::from(slot.tenure.seat)].holder.as_ref() == own);
    }
}
