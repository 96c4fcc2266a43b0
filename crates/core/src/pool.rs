//! The queue and the targets of one pool: a service's targets in one region.
//!
//! The caller of this module does the sending. It offers jobs, pulls [`Action`]s, carries them
//! out, and reports what became of each attempt.

use crate::id::{KindId, MemberId, TargetId};
use crate::time::Instant;

/// A stream of like work that gets its own turn: one kind of one member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Flow {
    /// The member that asks.
    pub member: MemberId,
    /// The kind of work.
    pub kind: KindId,
}

/// A request as the pool sees it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Job {
    /// Whose turn it uses.
    pub flow: Flow,
    /// When the answer must be complete.
    pub deadline: Instant,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
}

/// A job that the pool holds. Tickets are reused; the generation tells old from new.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Ticket {
    /// Position in the pool's table of jobs.
    pub(crate) index: u32,
    /// Number of earlier jobs in that position.
    pub(crate) generation: u32,
}

/// The number of an attempt of one job, from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Attempt(pub u8);

/// What the caller of the pool has to do next.
#[derive(Debug, Clone, Copy, PartialEq)]
#[expect(missing_docs, reason = "the fields are explained by their types")]
pub enum Action {
    /// Send the job to the target.
    Dispatch { ticket: Ticket, attempt: Attempt, target: TargetId },
    /// Send a second copy of an idempotent job to another target.
    Hedge { ticket: Ticket, attempt: Attempt, target: TargetId },
    /// Tell the target that the reply of this attempt is no longer wanted.
    Cancel { ticket: Ticket, attempt: Attempt, target: TargetId },
    /// Tell the requester that the job was not run. The ticket is closed.
    Refuse { ticket: Ticket, reason: crate::outcome::Reason },
    /// Tell the requester that the job may have run. The ticket is closed.
    Fail { ticket: Ticket, reason: crate::outcome::Reason },
}

/// What became of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Report {
    /// The target answered completely.
    Answered,
    /// The target said that it refused before running.
    Shed,
    /// No byte of the request reached the target.
    Unsent,
    /// The request was sent, and no complete answer came.
    Lost,
}

/// What a report means for the job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The reply of this attempt is the job's reply. The ticket is closed.
    Settled,
    /// The job was settled before; the reply is dropped.
    Ignored,
    /// The job goes on. An action for it follows now or later.
    Pending,
}

/// Whether a target may take work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It may.
    Ready,
    /// It finishes what it has.
    Leaving,
    /// It no longer exists.
    Gone,
}

/// What is known of a target from the policy and the VM list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Spec {
    /// Number of requests that it runs at once.
    pub slots: u32,
    /// Whether it may take work.
    pub state: State,
}

/// A target's own load report, which lags and may mislead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Slots in use.
    pub busy: u32,
    /// Requests that wait at the target.
    pub queued: u32,
}
