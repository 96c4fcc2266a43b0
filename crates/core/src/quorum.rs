//! Majorities of seat holders: extension by promises, and consents to a take-over.
//!
//! The rules and their reasons are in [`crate::seat`].

use crate::lease::{LEASE_DURATION, Record, TAKEOVER_DELAY};
use crate::roster::{Process, Roster};
use crate::seat::{
    Action, EXTEND_THRESHOLD, MAX_READ_AGE_FOR_TAKEOVER, ROUND_INTERVAL, SeatHolder, Seen,
};
use crate::time::Instant;
use crate::vote::{
    Consent, Count, ExtendRequest, Promise, SeatMessage, SeatVersion, TakeoverRequest, Vote,
};

/// Questions for promises that are under way.
#[derive(Debug)]
pub(crate) struct Round {
    number: u64,
    pub(crate) start: Instant,
    seat_versions: Vec<SeatVersion>,
    count: Count,
}

/// Questions for consents that are under way.
#[derive(Debug)]
pub(crate) struct Canvass {
    seat_version: SeatVersion,
    votes: Vec<Vote>,
    asked_at: Instant,
}

impl Canvass {
    /// Adds each vote once, since repeated questions bring the same answers.
    fn add(&mut self, votes: &[Vote]) {
        for vote in votes {
            if !self.votes.contains(vote) {
                self.votes.push(*vote);
            }
        }
    }
}

impl SeatHolder {
    /// Asks for promises if the store has not renewed the seats in time.
    pub(crate) fn start_round(&mut self, now: Instant) {
        let Some(first) = self.held_seats.iter().map(|held_seat| held_seat.until).min() else {
            return;
        };
        let is_asked = self.round.as_ref().is_some_and(|round| now < round.start + ROUND_INTERVAL);
        if is_asked || now + EXTEND_THRESHOLD < first {
            return;
        }
        self.rounds += 1;
        let seat_versions: Vec<SeatVersion> =
            self.held_seats.iter().map(|held_seat| held_seat.seat_version).collect();
        let own = self.own.clone();
        let votes = self.promise(now, &own, &seat_versions).unwrap_or_default();
        let mut count = Count::new(self.seat_count());
        votes.iter().for_each(|vote| count.add(usize::from(vote.seat)));
        let message = SeatMessage::Extend(ExtendRequest {
            round: self.rounds,
            seat_versions: seat_versions.clone(),
        });
        self.send_to_holders(&message);
        self.round = Some(Round { number: self.rounds, start: now, seat_versions, count });
        self.end_round();
    }

    pub(crate) fn handle_promise(&mut self, promise: &Promise) {
        let Some(round) = self.round.as_mut() else { return };
        if round.number == promise.round {
            promise.votes.iter().for_each(|vote| round.count.add(usize::from(vote.seat)));
            self.end_round();
        }
    }

    /// Extends the seats of the round if a majority has promised.
    fn end_round(&mut self) {
        let Some(round) = self.round.as_ref().filter(|round| round.count.is_majority()) else {
            return;
        };
        for held_seat in &mut self.held_seats {
            let is_same = |seat_version: &SeatVersion| {
                seat_version.seat == held_seat.seat_version.seat
                    && seat_version.epoch == held_seat.seat_version.epoch
            };
            if round.seat_versions.iter().any(is_same) {
                held_seat.until = held_seat.until.max(round.start + LEASE_DURATION);
            }
        }
    }

    /// The votes of this process for a promise, if it gives one.
    pub(crate) fn promise(
        &mut self,
        now: Instant,
        holder: &Process,
        seat_versions: &[SeatVersion],
    ) -> Option<Vec<Vote>> {
        let in_force = self.held_seats.iter().filter(|held_seat| now < held_seat.until);
        let votes: Vec<Vote> = in_force.map(|held_seat| vote_of(held_seat.seat_version)).collect();
        let seats = &self.seen.as_ref()?.seats;
        let is_given = !votes.is_empty() && self.book.promise(now, holder, seat_versions, seats);
        is_given.then_some(votes)
    }

    /// The votes of this process for a consent, if it gives one.
    pub(crate) fn consent(&mut self, now: Instant, seat_version: SeatVersion) -> Option<Vec<Vote>> {
        let seats = &self.seen.as_ref()?.seats;
        let is_own = self
            .held_seats
            .iter()
            .any(|held_seat| held_seat.seat_version.seat == seat_version.seat);
        let settled =
            self.held_seats.iter().filter(|held_seat| now >= held_seat.since + TAKEOVER_DELAY);
        let mut votes: Vec<Vote> =
            settled.map(|held_seat| vote_of(held_seat.seat_version)).collect();
        if now >= self.started + TAKEOVER_DELAY {
            votes.extend(seats.iter().enumerate().filter_map(|(seat, stored)| {
                let holder = stored.holder.as_ref()?;
                let is_earlier = holder.name == self.own.name && *holder != self.own;
                is_earlier.then_some(Vote { seat: seat as u16, epoch: stored.epoch })
            }));
        }
        let is_given = !is_own && !votes.is_empty() && self.book.consent(now, seat_version, seats);
        is_given.then_some(votes)
    }

    /// Asks for consents to take a seat over, if this process wants one and one looks abandoned.
    pub(crate) fn start_canvass(&mut self, now: Instant, roster: &Roster) {
        let Some(seen) = &self.seen else { return };
        if now >= seen.read_at + MAX_READ_AGE_FOR_TAKEOVER || self.held_seats.len() >= self.wanted {
            return;
        }
        let Some(seat_version) = self.abandoned(now, seen, roster) else {
            self.canvass = None;
            return;
        };
        let asked = self.canvass.as_ref().filter(|canvass| canvass.seat_version == seat_version);
        if asked.is_some_and(|canvass| now < canvass.asked_at + ROUND_INTERVAL) {
            return;
        }
        let votes = self.consent(now, seat_version).unwrap_or_default();
        let same = self.canvass.take().filter(|canvass| canvass.seat_version == seat_version);
        let mut canvass =
            same.unwrap_or(Canvass { seat_version, votes: Vec::new(), asked_at: now });
        canvass.asked_at = now;
        canvass.add(&votes);
        self.canvass = Some(canvass);
        self.send_to_holders(&SeatMessage::Takeover(TakeoverRequest { seat_version }));
    }

    /// The first seat of another process that has been unchanged for long enough, those of VMs
    /// that have gone first.
    fn abandoned(&self, now: Instant, seen: &Seen, roster: &Roster) -> Option<SeatVersion> {
        let candidates = seen.seats.iter().enumerate().filter(|(seat, stored)| {
            let is_other = stored.holder.as_ref().is_some_and(|holder| *holder != self.own);
            is_other && now >= seen.since[*seat] + TAKEOVER_DELAY
        });
        let (seat, stored) = candidates.min_by_key(|(_, stored)| !is_gone(stored, roster))?;
        Some(SeatVersion { seat: seat as u16, epoch: stored.epoch, renewal: stored.renewal })
    }

    pub(crate) fn handle_consent(&mut self, now: Instant, consent: &Consent) {
        let Some(canvass) = self.canvass.as_mut() else { return };
        if canvass.seat_version != consent.seat_version {
            return;
        }
        canvass.add(&consent.votes);
        self.next_at = if self.is_stale { self.next_at } else { now };
    }

    /// The seat that a majority has consented to give to this process.
    pub(crate) fn won_seat(&self, now: Instant, roster: &Roster) -> Option<usize> {
        let seen = self.seen.as_ref()?;
        let Canvass { seat_version, votes, .. } = self.canvass.as_ref()?;
        let seat = usize::from(seat_version.seat);
        let stored = seen.seats.get(seat)?;
        let is_same = stored.epoch == seat_version.epoch && stored.renewal == seat_version.renewal;
        if !is_same || stored.holder.is_none() || now < seen.since[seat] + TAKEOVER_DELAY {
            return None;
        }
        let mut count = Count::new(seen.seats.len());
        for vote in votes {
            let voter = seen.seats.get(usize::from(vote.seat));
            if voter.is_some_and(|voter| voter.holder.is_some() && voter.epoch == vote.epoch) {
                count.add(usize::from(vote.seat));
            }
        }
        for (seat, stored) in seen.seats.iter().enumerate() {
            if is_gone(stored, roster) {
                count.add(seat);
            }
        }
        count.is_majority().then_some(seat)
    }

    /// Queues `message` for each other process that holds a seat, once for each name.
    fn send_to_holders(&mut self, message: &SeatMessage) {
        let Some(seen) = &self.seen else { return };
        let holders = seen.seats.iter().filter_map(|stored| stored.holder.as_ref());
        let mut names: Vec<&String> = holders.map(|holder| &holder.name).collect();
        names.sort_unstable();
        names.dedup();
        names.retain(|name| **name != self.own.name);
        let sends = names
            .into_iter()
            .map(|name| Action::Send { to: name.clone(), message: message.clone() });
        self.queue.extend(sends);
    }
}

/// Whether the VM of the holder has been off the VM list for so long that all that the holder
/// promised has ended.
fn is_gone(stored: &Record, roster: &Roster) -> bool {
    let Some(holder) = &stored.holder else { return false };
    let absence = roster.entry(&holder.name).and_then(|entry| roster.absence(entry));
    absence.is_some_and(|absence| absence >= TAKEOVER_DELAY)
}

const fn vote_of(seat_version: SeatVersion) -> Vote {
    Vote { seat: seat_version.seat, epoch: seat_version.epoch }
}
