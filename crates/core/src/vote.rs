//! Promises and consents that a seat holder gives to others.
//!
//! A promise to a holder and a consent to the take-over of its seat exclude each other. A promise
//! ends by itself. A consent holds until the seat's stored state has moved on, because the write
//! that it allows may take effect at any later time.

use serde::{Deserialize, Serialize};

use crate::lease::{Record, TAKEOVER_DELAY};
use crate::roster::Process;
use crate::time::Instant;

/// One stored state of a seat. Each write gives a seat another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SeatVersion {
    /// The position in the region's list.
    pub seat: u16,
    /// Grows with each change of holder.
    pub epoch: u64,
    /// The number that the holder gave to the write.
    pub renewal: u64,
}

/// The vote that belongs to a seat, cast by its holder of one epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vote {
    /// The position in the region's list.
    pub seat: u16,
    /// The epoch in which the voter holds the seat.
    pub epoch: u64,
}

/// The frame by which a holder asks the others not to consent to a take-over of its seats.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ExtendRequest {
    /// Tells replies of different rounds apart.
    pub round: u64,
    /// The holder's seats.
    pub seat_versions: Vec<SeatVersion>,
}

/// The frame that answers [`ExtendRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Promise {
    /// The round of the question.
    pub round: u64,
    /// The seats that the sender holds.
    pub votes: Vec<Vote>,
}

/// The frame by which a process asks the holders to let it take a seat over.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct TakeoverRequest {
    /// The seat in the state in which it is to be taken.
    pub seat_version: SeatVersion,
}

/// The frame that answers [`TakeoverRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Consent {
    /// The state of the seat that may be taken.
    pub seat_version: SeatVersion,
    /// The seats that the sender votes for.
    pub votes: Vec<Vote>,
}

/// A frame between entries of one region.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum SeatMessage {
    /// A holder asks for promises.
    Extend(ExtendRequest),
    /// A promise.
    Promise(Promise),
    /// A process asks for consents.
    Takeover(TakeoverRequest),
    /// A consent.
    Consent(Consent),
}

/// What one process has promised and consented to.
#[derive(Debug, Default)]
pub(crate) struct Book {
    ballots: Vec<Ballot>,
}

#[derive(Debug, Clone, Copy)]
struct Ballot {
    promised_until: Instant,
    /// Epoch and renewal of the newest state that may be taken.
    consented: Option<(u64, u64)>,
}

impl Book {
    /// Promises not to consent to a take-over of the `seat_versions` of `holder` for one lease time.
    /// `seats` is the newest stored state that is known here. All or none are promised.
    pub(crate) fn promise(
        &mut self,
        now: Instant,
        holder: &Process,
        seat_versions: &[SeatVersion],
        seats: &[Record],
    ) -> bool {
        let may_promise = seat_versions.iter().all(|seat_version| {
            let Some(known) = seats.get(usize::from(seat_version.seat)) else { return false };
            let is_own = known.epoch == seat_version.epoch && known.holder.as_ref() == Some(holder);
            let is_newer = known.epoch < seat_version.epoch;
            let renewal =
                if is_own { seat_version.renewal.max(known.renewal) } else { seat_version.renewal };
            let consented = self.ballot(seat_version.seat).consented;
            (is_own || is_newer) && consented < Some((seat_version.epoch, renewal))
        });
        if may_promise {
            for seat_version in seat_versions {
                let ballot = self.ballot(seat_version.seat);
                ballot.promised_until = ballot.promised_until.max(now + TAKEOVER_DELAY);
            }
        }
        may_promise
    }

    /// Consents to a take-over of a seat in the state `seat_version`.
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
        let ballot = self.ballot(seat_version.seat);
        if now < ballot.promised_until {
            return false;
        }
        ballot.consented = ballot.consented.max(Some((seat_version.epoch, seat_version.renewal)));
        true
    }

    fn ballot(&mut self, seat: u16) -> &mut Ballot {
        let index = usize::from(seat);
        if self.ballots.len() <= index {
            let fresh = Ballot { promised_until: Instant::ZERO, consented: None };
            self.ballots.resize(index + 1, fresh);
        }
        &mut self.ballots[index]
    }
}

/// The votes of one round, one for each seat of the region.
#[derive(Debug)]
pub(crate) struct Count {
    has_voted: Vec<bool>,
}

impl Count {
    /// No votes of `seats` seats.
    pub(crate) fn new(seats: usize) -> Count {
        Count { has_voted: vec![false; seats] }
    }

    /// Counts the vote of `seat`, once.
    pub(crate) fn add(&mut self, seat: usize) {
        if let Some(has_voted) = self.has_voted.get_mut(seat) {
            *has_voted = true;
        }
    }

    /// Whether more than half of the seats have voted. Free seats count as seats without a vote, so
    /// that any two majorities have a seat in common.
    pub(crate) fn is_majority(&self) -> bool {
        let votes = self.has_voted.iter().filter(|&&has_voted| has_voted).count();
        votes * 2 > self.has_voted.len()
    }
}
