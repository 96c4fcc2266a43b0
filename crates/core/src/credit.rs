//! Credit: concurrent requests that a region takes from another one.
//!
//! The owner of a pool grants credit out of slots that are free by its own evidence. Without credit
//! no request leaves its region, so a region cannot be overloaded by decisions made elsewhere (P2).
//! As with loans of link rate, credit answers a question and its lifetime counts from when the
//! question was sent, so that a delayed message does not prolong it.

use serde::{Deserialize, Serialize};

use crate::id::{EntryId, RegionId};
use crate::time::{Instant, Span};

/// How long a credit lasts. Short, because slots that are granted and not used are idle.
pub const CREDIT_LIFETIME: Span = Span::from_secs(1);

/// Covers a borrower's clock that is 1% slow (10 ms), and the way of a request that starts at the
/// last moment (35 ms between the farthest regions), with some reserve.
pub const CREDIT_MARGIN: Span = Span::from_millis(60);

/// The frame that asks for credit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CreditRequest {
    /// Grows with each question of the sender.
    pub round: u64,
    /// The service's name; the pool is the one of the receiver's region.
    pub service: String,
    /// Concurrent requests that would be of use.
    pub count: u32,
}

/// The frame that answers [`CreditRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Credit {
    /// The round of the question.
    pub round: u64,
    /// The service's name.
    pub service: String,
    /// The region of the pool.
    pub region: String,
    /// Concurrent requests, those that are already under way included.
    pub count: u32,
    /// How long new requests may start, from when the question was sent.
    pub lifetime: Span,
}

#[derive(Debug, Clone, Copy)]
struct Grant {
    to: EntryId,
    count: u32,
    until: Instant,
}

/// What the owner of one pool has granted.
#[derive(Debug, Default)]
pub struct Granter {
    grants: Vec<Grant>,
    /// Requests under way, by the entry that sent them.
    running: Vec<(EntryId, u32)>,
}

impl Granter {
    /// Nothing granted.
    pub fn new() -> Granter {
        Granter::default()
    }

    /// The concurrent requests granted to `to`, which asked for `count`, until [`CREDIT_LIFETIME`] after it
    /// asked. `free` is the number of slots that are confirmed free and not kept for the region's
    /// own work.
    pub fn grant(&mut self, now: Instant, to: EntryId, count: u32, free: u32) -> u32 {
        self.grants.retain(|grant| now < grant.until);
        let others: u32 = self.others(to).map(|other| self.unused(other)).sum();
        let count = count.min(free.saturating_sub(others) + self.running(to));
        if count > 0 {
            self.grants.push(Grant { to, count, until: now + CREDIT_LIFETIME + CREDIT_MARGIN });
        }
        count
    }

    /// Whether any entry holds credit or has requests under way.
    pub fn has_outstanding(&self, now: Instant) -> bool {
        !self.running.is_empty() || self.grants.iter().any(|grant| now < grant.until)
    }

    /// Takes in that a request of `from` has started.
    pub fn start(&mut self, from: EntryId) {
        match self.running.iter_mut().find(|(entry, _)| *entry == from) {
            Some((_, running)) => *running += 1,
            None => self.running.push((from, 1)),
        }
    }

    /// Takes in that a request of `from` has ended.
    pub fn end(&mut self, from: EntryId) {
        if let Some((_, running)) = self.running.iter_mut().find(|(entry, _)| *entry == from) {
            *running = running.saturating_sub(1);
        }
        self.running.retain(|(_, running)| *running > 0);
    }

    /// Entries other than `to` with grants, each once.
    fn others(&self, to: EntryId) -> impl Iterator<Item = EntryId> {
        let grants = self.grants.iter().enumerate();
        let first = grants.filter(|(index, grant)| {
            !self.grants[..*index].iter().any(|earlier| earlier.to == grant.to)
        });
        first.map(|(_, grant)| grant.to).filter(move |&other| other != to)
    }

    /// Requests that `entry` may still start. It may still use an older, larger grant.
    fn unused(&self, entry: EntryId) -> u32 {
        let grants = self.grants.iter().filter(|grant| grant.to == entry);
        let largest = grants.map(|grant| grant.count).max().unwrap_or(0);
        largest.saturating_sub(self.running(entry))
    }

    /// Requests of `entry` under way.
    pub fn running(&self, entry: EntryId) -> u32 {
        let found = self.running.iter().find(|(other, _)| *other == entry);
        found.map_or(0, |&(_, running)| running)
    }
}

/// The credit that one entry has with one pool of another region.
#[derive(Debug, Clone, Copy, Default)]
pub struct CreditBalance {
    round: u64,
    asked_at: Instant,
    count: u32,
    until: Instant,
    running: u32,
}

impl CreditBalance {
    /// No credit.
    pub fn new() -> CreditBalance {
        CreditBalance::default()
    }

    /// Starts a question and returns its round. Answers to earlier ones no longer count.
    pub const fn request(&mut self, now: Instant) -> u64 {
        self.round += 1;
        self.asked_at = now;
        self.round
    }

    /// Takes in the answer to a question.
    pub fn handle_credit(&mut self, round: u64, count: u32, lifetime: Span) {
        if round == self.round {
            self.count = count;
            self.until = self.asked_at + lifetime.min(CREDIT_LIFETIME);
        }
    }

    /// Requests that may start at `now`.
    pub fn available(&self, now: Instant) -> u32 {
        if now < self.until { self.count.saturating_sub(self.running) } else { 0 }
    }

    /// Starts a request if credit is left.
    pub fn try_start(&mut self, now: Instant) -> bool {
        let is_covered = self.available(now) > 0;
        self.running += u32::from(is_covered);
        is_covered
    }

    /// Takes in that a request has ended.
    pub const fn end(&mut self) {
        self.running = self.running.saturating_sub(1);
    }
}

/// Another region as a place for a request of this region.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RemoteRegion {
    /// The region.
    pub region: RegionId,
    /// The share of this region's requests that the plan sends there, in percent.
    pub percent: u32,
    /// Requests that may start there now, see [`CreditBalance::left`].
    pub available: u32,
    /// Whether an answer from there can arrive before the deadline.
    pub is_in_time: bool,
    /// The time that a request and its reply spend on the way.
    pub round_trip: Span,
}

/// Where a request goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Destination {
    /// To the pool of this region.
    Home,
    /// To the pool of another region; the caller takes credit there.
    Remote(RegionId),
    /// Nowhere: this region cannot serve it in time and no other one has confirmed capacity.
    Refused,
}

/// Chooses the place of a request that came to its own region. Requests that another region sent
/// here stay here. `roll` is a random number below 100, `home_wait` is the expected wait for a slot
/// of this region, nothing if it cannot answer in time, and `remotes` are ordered by preference.
///
/// The planned share comes first. Of the rest, a request goes to the first region with credit whose
/// round trip is shorter than the wait at home, since a slot that is free there serves it sooner.
pub fn choose_destination(
    roll: u32,
    home_wait: Option<Span>,
    remotes: &[RemoteRegion],
) -> Destination {
    let has_room = |remote: &&RemoteRegion| remote.available > 0 && remote.is_in_time;
    let mut below = 0;
    let planned = remotes.iter().find(|remote| {
        below += remote.percent;
        roll < below
    });
    if let Some(remote) = planned.filter(has_room) {
        return Destination::Remote(remote.region);
    }
    let is_sooner = |remote: &&RemoteRegion| home_wait.is_none_or(|wait| wait > remote.round_trip);
    let sooner = remotes.iter().filter(has_room).find(is_sooner);
    let otherwise = if home_wait.is_some() { Destination::Home } else { Destination::Refused };
    sooner.map_or(otherwise, |remote| Destination::Remote(remote.region))
}
