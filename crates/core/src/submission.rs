//! Submissions of policy documents.
//!
//! A [`Submission`] takes one operator's change into the store and finds out what became of it, by
//! these rules:
//!
//! - It writes once, on condition that the document it read is still the current one.
//! - Without a clear reply it reads back. A document that replaced the one it read settles the
//!   write for good, because the condition can no longer hold. An unchanged document settles
//!   nothing, because the write may still be on its way.
//! - Each envelope lists its predecessors, so that a submission that won and was replaced before it
//!   was read back is told from one that lost.

use serde::{Deserialize, Serialize};

use crate::object::{Held, Read, Reply};
use crate::time::{Instant, Span};

/// How long an unclear submission reads back.
pub const SETTLE_LIMIT: Span = Span::from_secs(30);

/// The pause between two reads of an unclear submission.
pub const SETTLE_PAUSE: Span = Span::from_millis(500);

/// Predecessors that an envelope lists. At the stated 14,000 changes a day this covers about
/// 100 s, three times [`SETTLE_LIMIT`].
pub const EARLIER_MAX: usize = 16;

/// The value of the store object `policy/current`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// Unique for each submission.
    pub submission: String,
    /// Who submitted it.
    pub operator: String,
    /// The policy document.
    pub text: String,
    /// The submissions before this one, newest first, at most [`EARLIER_MAX`].
    #[serde(default)]
    pub earlier: Vec<SubmissionRef>,
}

/// Who made one submission.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmissionRef {
    /// The submission id.
    pub submission: String,
    /// The operator.
    pub operator: String,
}

/// What a submission should do next.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Read `policy/current`; the outcome goes to [`Submission::note_read`].
    Read,
    /// Write `policy/current`; the outcome goes to [`Submission::note_write`].
    Write {
        /// The version that the store must have, 0 for absent.
        if_version: u64,
        /// The value.
        envelope: Envelope,
    },
    /// Nothing before this time.
    Wait(Instant),
    /// It is over.
    Done(Outcome),
}

/// What became of a submission.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// It was written, and may have been replaced since.
    Accepted,
    /// It was not written and never will be.
    Refused {
        /// Who replaced the document that this submission was based on.
        winner: SubmissionRef,
    },
    /// The store could not be read; nothing was written.
    Unreachable,
    /// It may have been written, or may still be.
    Unknown,
}

#[derive(Debug, Clone, PartialEq)]
enum Phase {
    Start,
    Write,
    ReadBack { at: Instant, until: Instant },
    Over(Outcome),
}

/// One operator's change on its way into the store.
#[derive(Debug)]
pub struct Submission {
    envelope: Envelope,
    base: Option<Held<SubmissionRef>>,
    /// The version that the operator's change was made from, if known.
    expected: Option<u64>,
    phase: Phase,
}

impl Submission {
    /// A change by `author` to the document `text`.
    pub fn new(author: SubmissionRef, text: String) -> Submission {
        let SubmissionRef { submission, operator } = author;
        let envelope = Envelope { submission, operator, text, earlier: Vec::new() };
        Submission { envelope, base: None, expected: None, phase: Phase::Start }
    }

    /// Refuses the change unless the store still holds `version`, from which it was made. Without
    /// this an operator could undo another's change that came in while the text was edited.
    pub fn with_base(self, version: u64) -> Submission {
        Submission { expected: Some(version), ..self }
    }

    /// What to do at `now`.
    pub fn next_step(&self, now: Instant) -> Step {
        match &self.phase {
            Phase::Start => Step::Read,
            Phase::Write => Step::Write {
                if_version: self.base.as_ref().map_or(0, |base| base.version),
                envelope: self.envelope.clone(),
            },
            Phase::ReadBack { at, .. } if now < *at => Step::Wait(*at),
            Phase::ReadBack { .. } => Step::Read,
            Phase::Over(settled) => Step::Done(settled.clone()),
        }
    }

    /// Takes in the answer to a read.
    pub fn note_read(&mut self, now: Instant, read: Read<Envelope>) {
        match self.phase {
            Phase::Start => self.start(read),
            Phase::ReadBack { until, .. } => {
                let settled = match read {
                    Read::Found(held) => self.settle(&held),
                    Read::Absent | Read::Silent => None,
                };
                self.phase = match settled {
                    Some(settled) => Phase::Over(settled),
                    None if now >= until => Phase::Over(Outcome::Unknown),
                    None => Phase::ReadBack { at: now + SETTLE_PAUSE, until },
                };
            }
            Phase::Write | Phase::Over(_) => {}
        }
    }

    /// Takes in the answer to the write.
    pub fn note_write(&mut self, now: Instant, reply: Reply) {
        if self.phase != Phase::Write {
            return;
        }
        self.phase = match reply {
            Reply::Written(_) => Phase::Over(Outcome::Accepted),
            // A conflict can be the reply to a repeat of a write that took effect.
            Reply::Conflict(_) | Reply::Silent => {
                Phase::ReadBack { at: now, until: now + SETTLE_LIMIT }
            }
        };
    }

    fn start(&mut self, read: Read<Envelope>) {
        self.phase = match read {
            Read::Silent => Phase::Over(Outcome::Unreachable),
            Read::Absent => Phase::Write,
            Read::Found(Held { version, value })
                if self.expected.is_some_and(|expected| expected != version) =>
            {
                let winner =
                    SubmissionRef { submission: value.submission, operator: value.operator };
                Phase::Over(Outcome::Refused { winner })
            }
            Read::Found(Held { version, value }) => {
                let author =
                    SubmissionRef { submission: value.submission, operator: value.operator };
                self.envelope.earlier = value.earlier;
                self.envelope.earlier.insert(0, author.clone());
                self.envelope.earlier.truncate(EARLIER_MAX);
                self.base = Some(Held { version, value: author });
                Phase::Write
            }
        };
    }

    /// What the document that was read back says about the write, if anything.
    fn settle(&self, found: &Held<Envelope>) -> Option<Outcome> {
        let Envelope { submission, operator, earlier, .. } = &found.value;
        if self.base.as_ref().is_some_and(|base| base.version == found.version) {
            return None;
        }
        let newest = SubmissionRef { submission: submission.clone(), operator: operator.clone() };
        let line: Vec<&SubmissionRef> = std::iter::once(&newest).chain(earlier).collect();
        if line.iter().any(|author| author.submission == self.envelope.submission) {
            return Some(Outcome::Accepted);
        }
        let winner = match &self.base {
            Some(base) => {
                let base = line.iter().position(|author| **author == base.value);
                base.and_then(|base| base.checked_sub(1))
            }
            // A full list may have lost the first submission.
            None => (earlier.len() < EARLIER_MAX).then(|| line.len() - 1),
        };
        Some(match winner {
            Some(index) => Outcome::Refused { winner: line[index].clone() },
            None => Outcome::Unknown,
        })
    }
}
