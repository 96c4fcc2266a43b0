//! The queue and the targets of one pool: a service's targets in one region.
//!
//! The module does no I/O. Its caller, the driver, offers jobs, polls for [`Action`]s, carries them
//! out and reports how each attempt ended:
//!
//! 1. Call [`Pool::set_target`] for each target before the first offer and on each change.
//! 2. After each call that takes `&mut self`, and at [`Pool::wake_at`], call
//!    [`Pool::next_action`] until it returns `None`.
//! 3. Report each attempt of a `Dispatch` or `Hedge` exactly once, also after a `Cancel`, after the
//!    ticket was closed and when the target is gone. The slot counts as used until then.
//! 4. Exactly one of [`Verdict::Settled`], [`Action::Refuse`], [`Action::Fail`] and
//!    [`Pool::abandon`] closes a ticket.
//! 5. `now` never decreases from one call to the next.

use std::collections::VecDeque;

use crate::budget::Budget;
use crate::choice;
use crate::cost::Costs;
use crate::id::{KindId, MemberId, TargetId};
use crate::job::{Jobs, Phase};
use crate::outcome::Reason;
use crate::queue::Queue;
use crate::time::{Instant, Span};
use crate::timer::Timers;
use crate::usage::Usage;

/// The unit of fair scheduling: requests of one kind from one member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Flow {
    /// The member that sends the requests.
    pub member: MemberId,
    /// The kind of work.
    pub kind: KindId,
}

/// A request as the pool sees it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Job {
    /// The flow that is charged for it.
    pub flow: Flow,
    /// When the answer must be complete.
    pub deadline: Instant,
    /// Whether running it twice has the same effect as running it once.
    pub idempotent: bool,
}

/// A handle of a job that the pool holds. Positions are reused; the generation tells a stale ticket
/// from a current one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Ticket {
    /// Position in the pool's table of jobs.
    pub(crate) index: u32,
    /// Number of earlier jobs in that position, wrapping.
    pub(crate) generation: u32,
}

/// The number of an attempt of one job, from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Attempt(pub u8);

/// What the driver has to do next.
#[derive(Debug, Clone, Copy, PartialEq)]
#[expect(missing_docs, reason = "the fields are explained by their types")]
pub enum Action {
    /// Send the job to the target.
    Dispatch { ticket: Ticket, attempt: Attempt, target: TargetId },
    /// Send a second copy of an idempotent job to another target.
    Hedge { ticket: Ticket, attempt: Attempt, target: TargetId },
    /// Tell the target that the reply to this attempt is no longer wanted.
    Cancel { ticket: Ticket, attempt: Attempt, target: TargetId },
    /// Tell the caller that the job was not run. The ticket is closed.
    Refuse { ticket: Ticket, reason: Reason },
    /// Tell the caller that the job may have run. The ticket is closed.
    Fail { ticket: Ticket, reason: Reason },
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Report {
    /// A complete answer came.
    Answered,
    /// The target refused the request before running it.
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
    /// The job is still open. An action for it follows now or later.
    Pending,
}

/// Whether a target may take work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It takes new work.
    Ready,
    /// It finishes the requests that it holds and takes no new ones.
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

/// A target's own load report, which lags and may be wrong.
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
    /// The most attempts of one job, hedges included.
    pub attempt_limit: u8,
    /// Hedges, in percent of dispatches.
    pub hedge_percent: u32,
    /// Second dispatches of lost idempotent jobs, in percent of dispatches.
    pub retry_percent: u32,
}

impl Default for Config {
    fn default() -> Config {
        Config { queue_limit: 4096, attempt_limit: 4, hedge_percent: 5, retry_percent: 10 }
    }
}

/// The assumed cost of a kind before the first measurement: the time to the deadline over this
/// divisor, at most the maximum. A higher estimate would refuse work only because its cost is
/// unknown.
const INITIAL_COST_DIVISOR: u64 = 10;
const MAX_INITIAL_COST: Span = Span::from_millis(20);

/// Retries of lost jobs that are allowed at once, so that no idempotent job fails when a target dies
/// under little traffic.
const RETRY_BURST: u32 = 10;

/// Jobs for which memory is allocated at the start. The tables grow with the largest number of jobs
/// held at once and never shrink.
const INITIAL_CAPACITY: usize = 256;

/// The queue and the targets of one pool.
#[derive(Debug)]
pub struct Pool {
    pub(crate) config: Config,
    pub(crate) now: Instant,
    pub(crate) jobs: Jobs,
    pub(crate) costs: Costs,
    pub(crate) queue: Queue,
    pub(crate) usage: Usage,
    pub(crate) targets: choice::Targets,
    pub(crate) timers: Timers,
    pub(crate) hedge_budget: Budget,
    pub(crate) retry_budget: Budget,
    /// Jobs that wait for a second attempt. Entries that no longer need one are skipped.
    pub(crate) hedge_queue: VecDeque<Ticket>,
    pub(crate) pending_actions: VecDeque<Action>,
}

impl Pool {
    /// A pool without jobs and targets.
    pub fn new(config: Config) -> Pool {
        Pool {
            config,
            now: Instant::ZERO,
            jobs: Jobs::with_capacity(INITIAL_CAPACITY),
            costs: Costs::default(),
            queue: Queue::with_capacity(INITIAL_CAPACITY),
            usage: Usage::default(),
            targets: choice::Targets::default(),
            timers: Timers::with_capacity(INITIAL_CAPACITY),
            hedge_budget: Budget::new(config.hedge_percent, 1),
            retry_budget: Budget::new(config.retry_percent, RETRY_BURST).filled(),
            hedge_queue: VecDeque::with_capacity(INITIAL_CAPACITY),
            pending_actions: VecDeque::with_capacity(INITIAL_CAPACITY),
        }
    }

    /// Queues a job.
    ///
    /// # Errors
    ///
    /// The reason why the job is refused; it is not run then.
    pub fn offer(&mut self, now: Instant, job: Job) -> Result<Ticket, Reason> {
        self.enqueue(now, job, false)
    }

    /// Queues a job for which this pool has granted credit. Unlike [`Pool::offer`], it doesn't refuse
    /// a long wait that meets the deadline: another region sent the job here instead of queueing it.
    pub fn offer_with_credit(&mut self, now: Instant, job: Job) -> Result<Ticket, Reason> {
        self.enqueue(now, job, true)
    }

    fn enqueue(&mut self, now: Instant, job: Job, has_credit: bool) -> Result<Ticket, Reason> {
        self.now = now;
        if now >= job.deadline {
            return Err(Reason::DeadlineTooClose);
        }
        if self.targets.ready_slots() == 0 {
            return Err(Reason::NoTarget);
        }
        let time_left = job.deadline.since(now);
        let initial_cost =
            Span::from_micros(time_left.as_micros() / INITIAL_COST_DIVISOR).min(MAX_INITIAL_COST);
        let cost = self.costs.get_or_insert(job.flow.kind, initial_cost);
        let lane = self.queue.get_or_insert(job.flow, cost);
        self.usage.reserve(lane);
        self.check_admission(now, &job, lane, cost, has_credit)?;
        let id = self.jobs.insert(job, lane, cost);
        self.queue.push_back(lane, id);
        self.arm_timer(id);
        Ok(self.jobs.ticket(id))
    }

    /// The next action to carry out, if any.
    pub fn next_action(&mut self, now: Instant) -> Option<Action> {
        self.now = now;
        self.handle_due_timers(now);
        if let Some(action) = self.pending_actions.pop_front() {
            return Some(action);
        }
        self.targets.expire_ejections(now);
        self.targets.readmit_idle_suspects(now);
        let hedge = self.next_hedge(now);
        let probe = hedge.or_else(|| self.next_probe(now));
        let dispatch = probe.or_else(|| self.next_dispatch(now));
        dispatch.or_else(|| self.next_prefetch(now))
    }

    /// Closes a ticket whose caller went away. The attempts in flight must still be reported.
    pub fn abandon(&mut self, now: Instant, ticket: Ticket) {
        self.now = now;
        let closes_ticket = |action: &Action| match *action {
            Action::Refuse { ticket: closed, .. } | Action::Fail { ticket: closed, .. } => {
                closed == ticket
            }
            _ => false,
        };
        self.pending_actions.retain(|action| !closes_ticket(action));
        let Some(id) = self.jobs.find(ticket) else { return };
        match self.jobs[id].phase {
            Phase::Queued => {
                self.queue.remove(id);
                self.close(id);
            }
            Phase::Running => self.close(id),
            Phase::Free | Phase::Closed => {}
        }
    }

    /// The next time at which [`Pool::next_action`] may return an action without another call before.
    /// It is later than the time of the last call.
    pub fn wake_at(&self) -> Option<Instant> {
        let timer_at = self.timers.first().map(|(at, _)| at);
        let has_backlog = self.queue.len() > 0;
        let target_wake_at = has_backlog.then(|| self.targets.wake_at(self.now)).flatten();
        timer_at.into_iter().chain(target_wake_at).min()
    }

    /// Adds or changes a target.
    pub fn set_target(&mut self, now: Instant, target: TargetId, spec: Spec) {
        self.now = now;
        self.targets.set_target(target, spec);
        // When a target becomes slow, each of its attempts in flight may need a hedge.
        self.hedge_budget.set_burst(self.targets.ready_slots().max(1));
        if self.targets.ready_slots() == 0 {
            self.refuse_all_queued();
        }
    }

    /// Records a target's own load report, which is used as a hint only.
    pub fn record_load(&mut self, now: Instant, target: TargetId, load: Load) {
        self.now = now;
        self.targets.record_load(now, target, load);
    }

    /// Free slots that the pool's own measurements confirm, less the jobs that wait for them.
    pub fn free_slots(&self, now: Instant) -> u32 {
        if self.targets.unstarted_prefetches > 0 {
            return 0;
        }
        self.targets.confirmed_slots(now).saturating_sub(self.queue.len() as u32)
    }

    /// How long a job of `flow` offered now is expected to wait for a slot; zero for a flow that the
    /// pool has not seen. A driver can compare it with the round trip time to another region.
    pub fn expected_wait(&mut self, now: Instant, flow: Flow) -> Span {
        self.now = now;
        match self.queue.find(flow) {
            Some(lane) => self.predict_wait(now, lane, self.queue[lane].cost()),
            None => Span::ZERO,
        }
    }

    /// The number of jobs that wait for a slot.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }
}
