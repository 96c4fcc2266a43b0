//! Submission of policy documents to the store.
//!
//! A [`Submission`] writes one operator's change and determines its outcome. Rules:
//!
//! - It writes once, on condition that the store still has the version that it read.
//! - Without a definite reply it reads back. If the store has another version than the one read
//!   first, the outcome is final, because the write's condition can no longer hold. If the version
//!   is unchanged, the outcome is open, because the write may still be in flight.
//! - Each envelope lists earlier submissions. A submission that was accepted and then replaced
//!   before it was read back can thus be told from one that lost.

use serde::{Deserialize, Serialize};

use crate::object::{ReadReply, Versioned, WriteReply};
use crate::time::{Instant, Span};

/// How long a submission with an open outcome keeps reading back.
pub const READ_BACK_LIMIT: Span = Span::from_secs(30);

/// The interval between reads while the outcome is open.
pub const READ_BACK_INTERVAL: Span = Span::from_millis(500);

/// The number of earlier submissions that an envelope lists. At the specified 14,000 changes a day
/// this covers about 100 s, three times [`READ_BACK_LIMIT`].
pub const MAX_EARLIER: usize = 16;

/// The value of the store object `policy/current`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The unique id of the submission.
    pub submission: String,
    /// Who submitted it.
    pub operator: String,
    /// The text of the policy document.
    pub text: String,
    /// The submissions before this one, newest first, at most [`MAX_EARLIER`].
    #[serde(default)]
    pub earlier: Vec<Id>,
}

/// The id and the operator of a submission.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Id {
    /// The submission id.
    pub submission: String,
    /// The operator.
    pub operator: String,
}

/// What a submission should do next.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Read `policy/current` and report the result with [`Submission::handle_read`].
    Read,
    /// Write `policy/current` and report the result with [`Submission::handle_write`].
    Write {
        /// The version that the store must have for the write to succeed, 0 for none.
        if_version: u64,
        /// The value to write.
        envelope: Envelope,
    },
    /// Wait until this time.
    Wait(Instant),
    /// The submission has ended.
    Done(Outcome),
}

/// The outcome of a submission.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// It was written. It may have been replaced since.
    Accepted,
    /// It was not written and will not be.
    Refused {
        /// The submission that replaced the document on which this one was based.
        winner: Id,
    },
    /// The store could not be read. Nothing was written.
    Unreachable,
    /// It may have been written, or may yet be.
    Unknown,
}

#[derive(Debug, Clone, PartialEq)]
enum Phase {
    Start,
    Write,
    ReadBack { next_at: Instant, give_up_at: Instant },
    Done(Outcome),
}

/// The state of one operator's submission.
#[derive(Debug)]
pub struct Submission {
    envelope: Envelope,
    /// The submission in the store when it was first read, with its version.
    base: Option<Versioned<Id>>,
    /// The version on which the operator's change is based, if known.
    expected_version: Option<u64>,
    phase: Phase,
}

impl Submission {
    /// A submission of the document `text`.
    pub fn new(id: Id, text: String) -> Submission {
        let Id { submission, operator } = id;
        let envelope = Envelope { submission, operator, text, earlier: Vec::new() };
        Submission { envelope, base: None, expected_version: None, phase: Phase::Start }
    }

    /// Sets the version on which the change is based; the submission is refused if the store has
    /// another. Otherwise an operator could undo a change that was accepted during the editing.
    pub fn with_base(self, version: u64) -> Submission {
        Submission { expected_version: Some(version), ..self }
    }

    /// The next step at `now`.
    pub fn next_step(&self, now: Instant) -> Step {
        match &self.phase {
            Phase::Start => Step::Read,
            Phase::Write => Step::Write {
                if_version: self.base.as_ref().map_or(0, |base| base.version),
                envelope: self.envelope.clone(),
            },
            Phase::ReadBack { next_at, .. } if now < *next_at => Step::Wait(*next_at),
            Phase::ReadBack { .. } => Step::Read,
            Phase::Done(outcome) => Step::Done(outcome.clone()),
        }
    }

    /// Handles the result of a read.
    pub fn handle_read(&mut self, now: Instant, read: ReadReply<Envelope>) {
        match self.phase {
            Phase::Start => self.handle_first_read(read),
            Phase::ReadBack { give_up_at, .. } => {
                let outcome = match read {
                    ReadReply::Found(held) => self.outcome_from(&held),
                    ReadReply::Absent | ReadReply::NoReply => None,
                };
                self.phase = match outcome {
                    Some(outcome) => Phase::Done(outcome),
                    None if now >= give_up_at => Phase::Done(Outcome::Unknown),
                    None => Phase::ReadBack { next_at: now + READ_BACK_INTERVAL, give_up_at },
                };
            }
            Phase::Write | Phase::Done(_) => {}
        }
    }

    /// Handles the result of the write.
    pub fn handle_write(&mut self, now: Instant, reply: WriteReply) {
        if self.phase != Phase::Write {
            return;
        }
        self.phase = match reply {
            WriteReply::Written(_) => Phase::Done(Outcome::Accepted),
            // A conflict can be the reply to a retry of a write that took effect.
            WriteReply::Conflict(_) | WriteReply::NoReply => {
                Phase::ReadBack { next_at: now, give_up_at: now + READ_BACK_LIMIT }
            }
        };
    }

    fn handle_first_read(&mut self, read: ReadReply<Envelope>) {
        self.phase = match read {
            ReadReply::NoReply => Phase::Done(Outcome::Unreachable),
            ReadReply::Absent => Phase::Write,
            ReadReply::Found(Versioned { version, value })
                if self.expected_version.is_some_and(|expected| expected != version) =>
            {
                let winner = Id { submission: value.submission, operator: value.operator };
                Phase::Done(Outcome::Refused { winner })
            }
            ReadReply::Found(Versioned { version, value }) => {
                let id = Id { submission: value.submission, operator: value.operator };
                self.envelope.earlier = value.earlier;
                self.envelope.earlier.insert(0, id.clone());
                self.envelope.earlier.truncate(MAX_EARLIER);
                self.base = Some(Versioned { version, value: id });
                Phase::Write
            }
        };
    }

    /// Derives the outcome from the document that was read back. `None` while it is open.
    fn outcome_from(&self, found: &Versioned<Envelope>) -> Option<Outcome> {
        let Envelope { submission, operator, earlier, .. } = &found.value;
        if self.base.as_ref().is_some_and(|base| base.version == found.version) {
            return None;
        }
        let newest = Id { submission: submission.clone(), operator: operator.clone() };
        let history: Vec<&Id> = std::iter::once(&newest).chain(earlier).collect();
        if history.iter().any(|id| id.submission == self.envelope.submission) {
            return Some(Outcome::Accepted);
        }
        let winner_index = match &self.base {
            Some(base) => {
                let base_index = history.iter().position(|id| **id == base.value);
                base_index.and_then(|index| index.checked_sub(1))
            }
            // If the list is full, the first submission may have dropped out of it.
            None => (earlier.len() < MAX_EARLIER).then(|| history.len() - 1),
        };
        Some(match winner_index {
            Some(index) => Outcome::Refused { winner: history[index].clone() },
            None => Outcome::Unknown,
        })
    }
}
