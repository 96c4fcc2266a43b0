//! The queue and the targets of one pool: a service's targets in one region.
//!
//! The caller of this module, the driver, does the sending. It offers jobs, pulls [`Action`]s,
//! carries them out, and reports what became of each attempt:
//!
//! 1. Call [`Pool::set_target`] for each target before the first offer and on each change.
//! 2. After each call that takes `&mut self`, and at [`Pool::wake_at`], call
//!    [`Pool::next_action`] until it returns `None`.
//! 3. Report each attempt of a `Dispatch` or `Hedge` exactly once, also after a `Cancel`, after the
//!    ticket was closed and when the target is gone. The slot counts as used until then.
//! 4. A ticket is closed by [`Verdict::Settled`], [`Action::Refuse`], [`Action::Fail`] or
//!    [`Pool::abandon`], by exactly one of them. A closed ticket is never closed again.
//! 5. `now` never decreases from one call to the next.

use std::collections::VecDeque;

use crate::id::{KindId, MemberId, TargetId};
use crate::outcome::Reason;
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
    Refuse { ticket: Ticket, reason: Reason },
    /// Tell the requester that the job may have run. The ticket is closed.
    Fail { ticket: Ticket, reason: Reason },
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

/// Settings of a pool.
#[derive(Debug, Clone, Copy)]
pub struct Config {
    /// The most jobs that wait at once.
    pub queue_limit: usize,
    /// The most attempts of one job.
    pub attempt_limit: u8,
}

impl Default for Config {
    fn default() -> Config {
        Config { queue_limit: 4096, attempt_limit: 4 }
    }
}

/// The queue and the targets of one pool.
#[derive(Debug)]
pub struct Pool {
    config: Config,
    records: Vec<Record>,
    free: Vec<u32>,
    queues: Vec<(Flow, VecDeque<u32>)>,
    turn: usize,
    queued: usize,
    targets: Vec<Slots>,
    outbox: VecDeque<Action>,
}

#[derive(Debug)]
struct Record {
    job: Job,
    generation: u32,
    phase: Phase,
    attempts: u8,
    shed_by: Option<TargetId>,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Phase {
    Free,
    Queued,
    Running(TargetId),
    /// Closed, but the target has not answered yet.
    Closed(TargetId),
}

#[derive(Debug)]
struct Slots {
    target: TargetId,
    spec: Spec,
    in_flight: u32,
}

impl Pool {
    /// An empty pool without targets.
    pub fn new(config: Config) -> Pool {
        Pool {
            config,
            records: Vec::new(),
            free: Vec::new(),
            queues: Vec::new(),
            turn: 0,
            queued: 0,
            targets: Vec::new(),
            outbox: VecDeque::new(),
        }
    }

    /// Takes a job into the queue. An error means that it is not run.
    pub fn offer(&mut self, now: Instant, job: Job) -> Result<Ticket, Reason> {
        if now >= job.deadline {
            return Err(Reason::DeadlineTooClose);
        }
        if !self.targets.iter().any(|slots| slots.spec.state == State::Ready) {
            return Err(Reason::NoTarget);
        }
        if self.queued >= self.config.queue_limit {
            return Err(Reason::QueueFull);
        }
        let index = self.free.pop().unwrap_or(self.records.len() as u32);
        if index as usize == self.records.len() {
            let record =
                Record { job, generation: 0, phase: Phase::Queued, attempts: 0, shed_by: None };
            self.records.push(record);
        }
        let record = &mut self.records[index as usize];
        record.job = job;
        record.phase = Phase::Queued;
        record.attempts = 0;
        record.shed_by = None;
        let ticket = Ticket { index, generation: record.generation };
        self.queue(job.flow).push_back(index);
        self.queued += 1;
        Ok(ticket)
    }

    /// The next thing to do, if any.
    pub fn next_action(&mut self, now: Instant) -> Option<Action> {
        self.expire(now);
        if let Some(action) = self.outbox.pop_front() {
            return Some(action);
        }
        for step in 0..self.queues.len() {
            let flow = (self.turn + step) % self.queues.len();
            let Some(&index) = self.queues[flow].1.front() else { continue };
            let shed_by = self.records[index as usize].shed_by;
            let Some(place) = self.place(shed_by) else { continue };
            self.queues[flow].1.pop_front();
            self.queued -= 1;
            self.turn = flow + 1;
            self.targets[place].in_flight += 1;
            let target = self.targets[place].target;
            let record = &mut self.records[index as usize];
            record.phase = Phase::Running(target);
            let attempt = Attempt(record.attempts);
            record.attempts += 1;
            let ticket = Ticket { index, generation: record.generation };
            return Some(Action::Dispatch { ticket, attempt, target });
        }
        None
    }

    /// Takes in what became of an attempt.
    pub fn report(
        &mut self,
        _now: Instant,
        ticket: Ticket,
        attempt: Attempt,
        report: Report,
    ) -> Verdict {
        let Some(record) = self.records.get_mut(ticket.index as usize) else {
            return Verdict::Ignored;
        };
        if record.generation != ticket.generation || attempt.0 + 1 != record.attempts {
            return Verdict::Ignored;
        }
        let (target, is_closed) = match record.phase {
            Phase::Running(target) => (target, false),
            Phase::Closed(target) => (target, true),
            Phase::Free | Phase::Queued => return Verdict::Ignored,
        };
        let may_retry = record.attempts < self.config.attempt_limit;
        let (job, index) = (record.job, ticket.index);
        if let Some(slots) = self.targets.iter_mut().find(|slots| slots.target == target) {
            slots.in_flight -= 1;
        }
        if is_closed {
            self.release(index);
            return Verdict::Ignored;
        }
        match report {
            Report::Answered => {
                self.release(index);
                return Verdict::Settled;
            }
            Report::Lost if !job.idempotent => {
                self.outbox.push_back(Action::Fail { ticket, reason: Reason::TargetLost });
                self.release(index);
            }
            Report::Lost if !may_retry => {
                self.outbox.push_back(Action::Fail { ticket, reason: Reason::TargetLost });
                self.release(index);
            }
            _ if !may_retry => {
                self.outbox.push_back(Action::Refuse { ticket, reason: Reason::Shed });
                self.release(index);
            }
            _ => {
                let record = &mut self.records[index as usize];
                record.phase = Phase::Queued;
                record.shed_by = Some(target);
                self.queue(job.flow).push_front(index);
                self.queued += 1;
            }
        }
        Verdict::Pending
    }

    /// Closes the ticket: its caller went away.
    pub fn abandon(&mut self, _now: Instant, ticket: Ticket) {
        let Some(record) = self.records.get_mut(ticket.index as usize) else { return };
        if record.generation != ticket.generation {
            return;
        }
        match record.phase {
            Phase::Queued => {
                let flow = record.job.flow;
                self.queue(flow).retain(|&index| index != ticket.index);
                self.queued -= 1;
                self.release(ticket.index);
            }
            Phase::Running(target) => {
                record.phase = Phase::Closed(target);
                if record.job.idempotent {
                    let attempt = Attempt(record.attempts - 1);
                    self.outbox.push_back(Action::Cancel { ticket, attempt, target });
                }
            }
            Phase::Free | Phase::Closed(_) => {}
        }
    }

    /// The next time at which [`Pool::next_action`] may have something to say.
    pub fn wake_at(&self) -> Option<Instant> {
        let open = self.records.iter();
        let open = open.filter(|record| matches!(record.phase, Phase::Queued | Phase::Running(_)));
        open.map(|record| record.job.deadline).min()
    }

    /// Adds or changes a target.
    pub fn set_target(&mut self, _now: Instant, target: TargetId, spec: Spec) {
        match self.targets.iter_mut().find(|slots| slots.target == target) {
            Some(slots) => slots.spec = spec,
            None => self.targets.push(Slots { target, spec, in_flight: 0 }),
        }
    }

    /// Takes in a target's own load report, which is used as a hint only.
    pub fn note_load(&mut self, _now: Instant, _target: TargetId, _load: Load) {}

    /// Free slots of targets that may take work.
    pub fn free_slots(&self, _now: Instant) -> u32 {
        let ready = self.targets.iter().filter(|slots| slots.spec.state == State::Ready);
        ready.map(|slots| slots.spec.slots.saturating_sub(slots.in_flight)).sum()
    }

    fn queue(&mut self, flow: Flow) -> &mut VecDeque<u32> {
        let found = self.queues.iter().position(|queue| queue.0 == flow);
        let index = found.unwrap_or(self.queues.len());
        if found.is_none() {
            self.queues.push((flow, VecDeque::new()));
        }
        &mut self.queues[index].1
    }

    /// The target with a free slot that has the fewest requests in flight.
    fn place(&self, shed_by: Option<TargetId>) -> Option<usize> {
        let is_only = self.targets.iter().filter(|s| s.spec.state == State::Ready).count() == 1;
        let usable = self.targets.iter().enumerate().filter(|(_, slots)| {
            slots.spec.state == State::Ready
                && slots.in_flight < slots.spec.slots
                && (is_only || shed_by != Some(slots.target))
        });
        usable.min_by_key(|(_, slots)| slots.in_flight).map(|(place, _)| place)
    }

    fn release(&mut self, index: u32) {
        let record = &mut self.records[index as usize];
        record.phase = Phase::Free;
        record.generation = record.generation.wrapping_add(1);
        self.free.push(index);
    }

    fn expire(&mut self, now: Instant) {
        for index in 0..self.records.len() as u32 {
            let record = &mut self.records[index as usize];
            if now < record.job.deadline {
                continue;
            }
            let ticket = Ticket { index, generation: record.generation };
            match record.phase {
                Phase::Queued => {
                    let flow = record.job.flow;
                    self.queue(flow).retain(|&other| other != index);
                    self.queued -= 1;
                    self.release(index);
                    let reason = Reason::DeadlinePassed;
                    self.outbox.push_back(Action::Refuse { ticket, reason });
                }
                Phase::Running(target) => {
                    record.phase = Phase::Closed(target);
                    let reason = Reason::DeadlinePassedRunning;
                    self.outbox.push_back(Action::Fail { ticket, reason });
                    if record.job.idempotent {
                        let attempt = Attempt(record.attempts - 1);
                        self.outbox.push_back(Action::Cancel { ticket, attempt, target });
                    }
                }
                Phase::Free | Phase::Closed(_) => {}
            }
        }
    }
}
