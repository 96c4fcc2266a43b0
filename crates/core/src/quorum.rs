//! Votes of seat holders: lease extension by promises, and takeover by consents.
//!
//! [`crate::seat`] lists the rules and why they are safe.

use crate::lease::{LEASE_DURATION, Record, TAKEOVER_DELAY};
use crate::roster::{Process, Roster};
use crate::seat::{
    self, Action, EXTEND_THRESHOLD, MAX_READ_AGE_FOR_TAKEOVER, Observed, ROUND_INTERVAL,
};
use crate::time::Instant;
use crate::vote::{self, Consent, ExtendRequest, Promise, SeatVersion, TakeoverRequest, Vote};

/// A round of requests for promises.
#[derive(Debug)]
pub(crate) struct ExtensionRound {
    number: u64,
    pub(crate) started_at: Instant,
    seat_versions: Vec<SeatVersion>,
    count: vote::Count,
}

/// A round of requests for consents.
#[derive(Debug)]
pub(crate) struct ConsentRound {
    seat_version: SeatVersion,
    votes: Vec<Vote>,
    requested_at: Instant,
}

impl ConsentRound {
    /// Adds each vote once, because a retried request gets the same votes again.
    fn add(&mut self, votes: &[Vote]) {
        for vote in votes {
            if !self.votes.contains(vote) {
                self.votes.push(*vote);
            }
        }
    }
}

impl seat::Holder {
    /// Requests promises if the seats have not been renewed in the store in time.
    pub(crate) fn start_extension_round(&mut self, now: Instant) {
        let Some(first_expiry) = self.held_seats.iter().map(|held_seat| held_seat.until).min()
        else {
            return;
        };
        let is_recent = self
            .extension_round
            .as_ref()
            .is_some_and(|round| now < round.started_at + ROUND_INTERVAL);
        if is_recent || now + EXTEND_THRESHOLD < first_expiry {
            return;
        }
        self.last_extension_round += 1;
        let seat_versions: Vec<SeatVersion> =
            self.held_seats.iter().map(|held_seat| held_seat.seat_version).collect();
        let process = self.process.clone();
        let votes = self.promise(now, &process, &seat_versions).unwrap_or_default();
        let mut count = vote::Count::new(self.seat_count());
        votes.iter().for_each(|vote| count.add(usize::from(vote.seat)));
        let message = vote::Message::Extend(ExtendRequest {
            round: self.last_extension_round,
            seat_versions: seat_versions.clone(),
        });
        self.send_to_holders(&message);
        self.extension_round = Some(ExtensionRound {
            number: self.last_extension_round,
            started_at: now,
            seat_versions,
            count,
        });
        self.extend_if_majority();
    }

    pub(crate) fn handle_promise(&mut self, promise: &Promise) {
        let Some(round) = self.extension_round.as_mut() else { return };
        if round.number == promise.round {
            promise.votes.iter().for_each(|vote| round.count.add(usize::from(vote.seat)));
            self.extend_if_majority();
        }
    }

    /// Extends the leases of the seats in the round once a majority has promised.
    fn extend_if_majority(&mut self) {
        let Some(round) = self.extension_round.as_ref().filter(|round| round.count.is_majority())
        else {
            return;
        };
        for held_seat in &mut self.held_seats {
            let is_same = |seat_version: &SeatVersion| {
                seat_version.seat == held_seat.seat_version.seat
                    && seat_version.epoch == held_seat.seat_version.epoch
            };
            if round.seat_versions.iter().any(is_same) {
                held_seat.until = held_seat.until.max(round.started_at + LEASE_DURATION);
            }
        }
    }

    /// Votes with each seat in force, if a promise to `holder` is allowed.
    pub(crate) fn promise(
        &mut self,
        now: Instant,
        holder: &Process,
        seat_versions: &[SeatVersion],
    ) -> Option<Vec<Vote>> {
        let in_force = self.held_seats.iter().filter(|held_seat| now < held_seat.until);
        let votes: Vec<Vote> = in_force.map(|held_seat| vote_for(held_seat.seat_version)).collect();
        let seats = &self.observed.as_ref()?.seats;
        let is_allowed =
            !votes.is_empty() && self.vote_state.promise(now, holder, seat_versions, seats);
        is_allowed.then_some(votes)
    }

    /// Votes with each seat that may vote on a takeover, if the consent is allowed.
    pub(crate) fn consent(&mut self, now: Instant, seat_version: SeatVersion) -> Option<Vec<Vote>> {
        let seats = &self.observed.as_ref()?.seats;
        let is_holder = self
            .held_seats
            .iter()
            .any(|held_seat| held_seat.seat_version.seat == seat_version.seat);
        let eligible =
            self.held_seats.iter().filter(|held_seat| now >= held_seat.held_since + TAKEOVER_DELAY);
        let mut votes: Vec<Vote> =
            eligible.map(|held_seat| vote_for(held_seat.seat_version)).collect();
        if now >= self.started_at + TAKEOVER_DELAY {
            votes.extend(seats.iter().enumerate().filter_map(|(seat, record)| {
                let holder = record.holder.as_ref()?;
                let is_predecessor = holder.name == self.process.name && *holder != self.process;
                is_predecessor.then_some(Vote { seat: seat as u16, epoch: record.epoch })
            }));
        }
        let is_allowed =
            !is_holder && !votes.is_empty() && self.vote_state.consent(now, seat_version, seats);
        is_allowed.then_some(votes)
    }

    /// Requests consents to a takeover if this process lacks a seat and one appears abandoned.
    pub(crate) fn start_consent_round(&mut self, now: Instant, roster: &Roster) {
        let Some(observed) = &self.observed else { return };
        if now >= observed.read_at + MAX_READ_AGE_FOR_TAKEOVER
            || self.held_seats.len() >= self.desired_seats
        {
            return;
        }
        let Some(seat_version) = self.find_abandoned_seat(now, observed, roster) else {
            self.consent_round = None;
            return;
        };
        let current =
            self.consent_round.as_ref().filter(|round| round.seat_version == seat_version);
        if current.is_some_and(|round| now < round.requested_at + ROUND_INTERVAL) {
            return;
        }
        let votes = self.consent(now, seat_version).unwrap_or_default();
        let previous = self.consent_round.take().filter(|round| round.seat_version == seat_version);
        let mut round =
            previous.unwrap_or(ConsentRound { seat_version, votes: Vec::new(), requested_at: now });
        round.requested_at = now;
        round.add(&votes);
        self.consent_round = Some(round);
        self.send_to_holders(&vote::Message::Takeover(TakeoverRequest { seat_version }));
    }

    /// The first seat of another process that has been unchanged for [`TAKEOVER_DELAY`]. Seats of
    /// VMs that have left the VM list take precedence.
    fn find_abandoned_seat(
        &self,
        now: Instant,
        observed: &Observed,
        roster: &Roster,
    ) -> Option<SeatVersion> {
        let candidates = observed.seats.iter().enumerate().filter(|(seat, record)| {
            let is_other = record.holder.as_ref().is_some_and(|holder| *holder != self.process);
            is_other && now >= observed.unchanged_since[*seat] + TAKEOVER_DELAY
        });
        let (seat, record) =
            candidates.min_by_key(|(_, record)| !is_holder_gone(record, roster))?;
        Some(SeatVersion { seat: seat as u16, epoch: record.epoch, renewal: record.renewal })
    }

    pub(crate) fn handle_consent(&mut self, now: Instant, consent: &Consent) {
        let Some(round) = self.consent_round.as_mut() else { return };
        if round.seat_version != consent.seat_version {
            return;
        }
        round.add(&consent.votes);
        self.next_call_at = if self.needs_read { self.next_call_at } else { now };
    }

    /// The seat that this process may take over with the consent of a majority.
    pub(crate) fn approved_takeover(&self, now: Instant, roster: &Roster) -> Option<usize> {
        let observed = self.observed.as_ref()?;
        let ConsentRound { seat_version, votes, .. } = self.consent_round.as_ref()?;
        let seat = usize::from(seat_version.seat);
        let record = observed.seats.get(seat)?;
        let is_same = record.epoch == seat_version.epoch && record.renewal == seat_version.renewal;
        if !is_same
            || record.holder.is_none()
            || now < observed.unchanged_since[seat] + TAKEOVER_DELAY
        {
            return None;
        }
        let mut count = vote::Count::new(observed.seats.len());
        for vote in votes {
            let voter = observed.seats.get(usize::from(vote.seat));
            if voter.is_some_and(|voter| voter.holder.is_some() && voter.epoch == vote.epoch) {
                count.add(usize::from(vote.seat));
            }
        }
        for (seat, record) in observed.seats.iter().enumerate() {
            if is_holder_gone(record, roster) {
                count.add(seat);
            }
        }
        count.is_majority().then_some(seat)
    }

    /// Queues `message` for each other seat holder, once per entry name.
    fn send_to_holders(&mut self, message: &vote::Message) {
        let Some(observed) = &self.observed else { return };
        let holders = observed.seats.iter().filter_map(|record| record.holder.as_ref());
        let mut names: Vec<&String> = holders.map(|holder| &holder.name).collect();
        names.sort_unstable();
        names.dedup();
        names.retain(|name| **name != self.process.name);
        let sends = names
            .into_iter()
            .map(|name| Action::Send { to: name.clone(), message: message.clone() });
        self.actions.extend(sends);
    }
}

/// Whether the holder's VM has been missing from the VM list for long enough that its promises have
/// expired.
fn is_holder_gone(record: &Record, roster: &Roster) -> bool {
    let Some(holder) = &record.holder else { return false };
    let absence = roster.entry(&holder.name).and_then(|entry| roster.absence(entry));
    absence.is_some_and(|absence| absence >= TAKEOVER_DELAY)
}

const fn vote_for(seat_version: SeatVersion) -> Vote {
    Vote { seat: seat_version.seat, epoch: seat_version.epoch }
}
