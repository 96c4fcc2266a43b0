//! Promises and consents of seat holders, and the messages that carry them.
//!
//! A promise to a holder and a consent to the takeover of its seat exclude each other. A promise
//! expires. A consent holds until the seat's stored state has changed, because the write that it
//! permits may take effect at any later time.

use serde::{Deserialize, Serialize};

use crate::lease::{Record, TAKEOVER_DELAY};
use crate::roster::Process;
use crate::time::Instant;

/// Identifies a stored state of a seat. Each write of the seat changes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SeatVersion {
    /// The position in the region's list.
    pub seat: u16,
    /// Increases with each change of holder.
    pub epoch: u64,
    /// The number that the holder assigned to the write.
    pub renewal: u64,
}

/// The vote of a seat, cast by its holder in one epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vote {
    /// The position in the region's list.
    pub seat: u16,
    /// The epoch in which the voter holds the seat.
    pub epoch: u64,
}

/// Asks the other holders not to consent to a takeover of the sender's seats.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ExtendRequest {
    /// Matches replies to the round.
    pub round: u64,
    /// The sender's seats.
    pub seat_versions: Vec<SeatVersion>,
}

/// The reply to an [`ExtendRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Promise {
    /// The round of the request.
    pub round: u64,
    /// The seats that the sender holds.
    pub votes: Vec<Vote>,
}

/// Asks the holders to let the sender take over a seat.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct TakeoverRequest {
    /// The seat and the state from which it is to be taken over.
    pub seat_version: SeatVersion,
}

/// The reply to a [`TakeoverRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Consent {
    /// The seat and the state from which it may be taken over.
    pub seat_version: SeatVersion,
    /// The seats with which the sender votes.
    pub votes: Vec<Vote>,
}

/// A message between the entries of one region.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Requests promises.
    Extend(ExtendRequest),
    /// A promise.
    Promise(Promise),
    /// Requests consents.
    Takeover(TakeoverRequest),
    /// A consent.
    Consent(Consent),
}

/// The promises and consents that one process has given.
#[derive(Debug, Default)]
pub(crate) struct State {
    seats: Vec<SeatVotes>,
}

#[derive(Debug, Clone, Copy)]
struct SeatVotes {
    promised_until: Instant,
    /// Epoch and renewal of the newest state for which a takeover was consented to.
    consented: Option<(u64, u64)>,
}

impl State {
    /// Promises not to consent to a takeover of the `seat_versions` of `holder` for
    /// [`TAKEOVER_DELAY`]. `seats` is the newest stored state known to this process. All or none
    /// are promised.
    pub(crate) fn promise(
        &mut self,
        now: Instant,
        holder: &Process,
        seat_versions: &[SeatVersion],
        seats: &[Record],
    ) -> bool {
        let may_promise = seat_versions.iter().all(|seat_version| {
            let Some(known) = seats.get(usize::from(seat_version.seat)) else { return false };
            let is_holder =
                known.epoch == seat_version.epoch && known.holder.as_ref() == Some(holder);
            let is_newer_epoch = known.epoch < seat_version.epoch;
            let renewal = if is_holder {
                seat_version.renewal.max(known.renewal)
            } else {
                seat_version.renewal
            };
            let consented = self.seat_votes(seat_version.seat).consented;
            (is_holder || is_newer_epoch) && consented < Some((seat_version.epoch, renewal))
        });
        if may_promise {
            for seat_version in seat_versions {
                let seat_votes = self.seat_votes(seat_version.seat);
                seat_votes.promised_until = seat_votes.promised_until.max(now + TAKEOVER_DELAY);
            }
        }
        may_promise
    }

    /// Consents to a takeover of a seat from the state `seat_version`.
    pub(crate) fn consent(
        &mut self,
        now: Instant,
        seat_version: SeatVersion,
        seats: &[Record],
    ) -> bool {
        let known = seats.get(usize::from(seat_version.seat));
        if known.is_none_or(|known| known.epoch > seat_version.epoch) {
            return false;
        }
        let seat_votes = self.seat_votes(seat_version.seat);
        if now < seat_votes.promised_until {
            return false;
        }
        seat_votes.consented =
            seat_votes.consented.max(Some((seat_version.epoch, seat_version.renewal)));
        true
    }

    fn seat_votes(&mut self, seat: u16) -> &mut SeatVotes {
        let index = usize::from(seat);
        if self.seats.len() <= index {
            let empty = SeatVotes { promised_until: Instant::ZERO, consented: None };
            self.seats.resize(index + 1, empty);
        }
        &mut self.seats[index]
    }
}

/// The votes of one round, at most one per seat of the region.
#[derive(Debug)]
pub(crate) struct Count {
    has_voted: Vec<bool>,
}

impl Count {
    /// A count for `seats` seats, without votes.
    pub(crate) fn new(seats: usize) -> Count {
        Count { has_voted: vec![false; seats] }
    }

    /// Counts the vote of `seat` once.
    pub(crate) fn add(&mut self, seat: usize) {
        if let Some(has_voted) = self.has_voted.get_mut(seat) {
            *has_voted = true;
        }
    }

    /// Whether more than half of the seats have voted. Free seats count as not having voted, so
    /// that any two majorities share a seat.
    pub(crate) fn is_majority(&self) -> bool {
        let votes = self.has_voted.iter().filter(|&&has_voted| has_voted).count();
        votes * 2 > self.has_voted.len()
    }
}
