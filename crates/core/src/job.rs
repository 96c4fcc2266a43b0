//! The jobs that a pool holds, in an arena with a free list.

use crate::choice::TargetIndex;
use crate::cost::CostId;
use crate::id::{Arena, Key, key};
use crate::pool::{Attempt, Job, Ticket};
use crate::queue::LaneId;
use crate::time::{Instant, Span};

key! {
    /// A position in the table of jobs, reused after a job is released.
    JobId(u32)
}

/// The state of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The position holds no job.
    Free,
    /// It waits for a slot.
    Queued,
    /// At least one attempt is in flight.
    Running,
    /// The ticket is closed, and the report of an attempt is still to come.
    Closed,
}

/// An attempt that was dispatched and not reported yet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ActiveAttempt {
    pub(crate) attempt: Attempt,
    pub(crate) target_index: TargetIndex,
    pub(crate) started_at: Instant,
    /// Slot time that the flow was charged at the dispatch.
    pub(crate) charged: Span,
    /// Checkpoints that it has passed unanswered.
    pub(crate) checkpoints_passed: u8,
    /// Whether it counts towards the limit on long kinds.
    pub(crate) is_long: bool,
    /// Whether it probes a suspect.
    pub(crate) is_probe: bool,
    /// Whether the pool no longer wants its reply.
    pub(crate) is_cancelled: bool,
    /// Whether it was sent to a full target and, as far as is known, still waits there for a slot.
    pub(crate) is_prefetched: bool,
}

/// A job and its attempts.
#[derive(Debug)]
pub(crate) struct Record {
    pub(crate) job: Job,
    pub(crate) lane: LaneId,
    pub(crate) cost: CostId,
    pub(crate) phase: Phase,
    /// Attempts so far, hedges included.
    pub(crate) attempts: u8,
    /// The first attempt and its hedge: no job has more than two attempts in flight.
    pub(crate) active_attempts: [Option<ActiveAttempt>; 2],
    /// Bit set ([`target_bit`](crate::choice::target_bit)) of the targets on which an attempt failed.
    pub(crate) tried_targets: u64,
    /// Whether an attempt was lost, so that the outcome "not run" would be wrong.
    pub(crate) may_have_run: bool,
    /// Whether the job is in the pool's hedge queue.
    pub(crate) is_hedge_requested: bool,
    generation: u32,
}

impl Record {
    /// The attempts in flight.
    pub(crate) fn active_attempts(&self) -> impl Iterator<Item = &ActiveAttempt> {
        self.active_attempts.iter().flatten()
    }

    /// Whether an attempt is in flight.
    pub(crate) fn has_active_attempt(&self) -> bool {
        self.active_attempts.iter().any(Option::is_some)
    }

    /// Adds an attempt. The job has at most one in flight.
    pub(crate) fn add_active(&mut self, active: ActiveAttempt) {
        let free = self.active_attempts.iter_mut().find(|active| active.is_none());
        debug_assert!(free.is_some());
        if let Some(free) = free {
            *free = Some(active);
        }
        self.attempts += 1;
    }

    /// Removes the attempt with number `attempt`, if it is in flight.
    pub(crate) fn take_active(&mut self, attempt: Attempt) -> Option<ActiveAttempt> {
        let is_match =
            |active: &Option<ActiveAttempt>| active.is_some_and(|f| f.attempt == attempt);
        self.active_attempts.iter_mut().find(|active| is_match(active))?.take()
    }
}

/// The table of jobs.
#[derive(Debug)]
pub(crate) struct Jobs {
    records: Arena<JobId, Record>,
    free: Vec<JobId>,
}

impl Jobs {
    /// An empty table with capacity for `capacity` jobs.
    pub(crate) fn with_capacity(capacity: usize) -> Jobs {
        Jobs { records: Arena::with_capacity(capacity), free: Vec::with_capacity(capacity) }
    }

    /// Adds a job in phase `Queued`.
    pub(crate) fn insert(&mut self, job: Job, lane: LaneId, cost: CostId) -> JobId {
        let record = Record {
            job,
            lane,
            cost,
            phase: Phase::Queued,
            attempts: 0,
            active_attempts: [None; 2],
            tried_targets: 0,
            may_have_run: false,
            is_hedge_requested: false,
            generation: 0,
        };
        let Some(id) = self.free.pop() else { return self.records.push(record) };
        let generation = self.records[id].generation;
        self.records[id] = Record { generation, ..record };
        id
    }

    /// Frees the position and invalidates its ticket.
    pub(crate) fn release(&mut self, id: JobId) {
        let record = &mut self.records[id];
        debug_assert!(record.phase != Phase::Free && !record.has_active_attempt());
        record.phase = Phase::Free;
        record.generation = record.generation.wrapping_add(1);
        self.free.push(id);
    }

    /// The ticket of a job.
    pub(crate) fn ticket(&self, id: JobId) -> Ticket {
        Ticket { index: id.0, generation: self.records[id].generation }
    }

    /// The job of a ticket, unless the ticket is stale.
    pub(crate) fn find(&self, ticket: Ticket) -> Option<JobId> {
        let id = JobId(ticket.index);
        let record = self.records.get(id)?;
        let is_current = record.phase != Phase::Free && record.generation == ticket.generation;
        is_current.then_some(id)
    }

    /// All positions.
    pub(crate) fn ids(&self) -> impl Iterator<Item = JobId> + use<> {
        (0..self.records.len()).map(JobId::from_index)
    }
}

impl std::ops::Index<JobId> for Jobs {
    type Output = Record;

    fn index(&self, id: JobId) -> &Record {
        &self.records[id]
    }
}

impl std::ops::IndexMut<JobId> for Jobs {
    fn index_mut(&mut self, id: JobId) -> &mut Record {
        &mut self.records[id]
    }
}
