//! Invariants of the pool under random sequences of calls.

mod common;

use std::collections::HashMap;

use common::{at_us, flow};
use ebonypass_core::id::TargetId;
use ebonypass_core::outcome::Outcome;
use ebonypass_core::pool::{
    Action, Attempt, Config, Job, Load, Pool, Report, Spec, State, Ticket, Verdict,
};
use ebonypass_core::time::Instant;
use proptest::prelude::*;

const TARGETS: u32 = 3;
/// The target for which prefetch is on.
const PREFETCHING: TargetId = TargetId(0);

#[derive(Debug, Clone)]
enum Step {
    Offer { member: u16, kind: u16, deadline_us: u64 },
    Report { pick: usize, report: Report },
    Abandon { pick: usize },
    SetTarget { target: u32, slots: u32, state: State },
    Load { target: u32, busy: u32, queued: u32 },
    SetOwnRegionOnly { is_own_region_only: bool },
    Advance { us: u64 },
    RunActions,
}

fn any_step() -> impl Strategy<Value = Step> {
    let report = prop_oneof![
        8 => Just(Report::Answered),
        1 => Just(Report::Shed),
        1 => Just(Report::Unsent),
        1 => Just(Report::Lost),
    ];
    let state =
        prop_oneof![3 => Just(State::Ready), 1 => Just(State::Leaving), 1 => Just(State::Gone)];
    prop_oneof![
        8 => (0..3u16, 0..4u16, 100..200_000u64)
            .prop_map(|(member, kind, deadline_us)| Step::Offer { member, kind, deadline_us }),
        8 => (any::<usize>(), report).prop_map(|(pick, report)| Step::Report { pick, report }),
        1 => any::<usize>().prop_map(|pick| Step::Abandon { pick }),
        1 => (0..TARGETS, 1..4u32, state)
            .prop_map(|(target, slots, state)| Step::SetTarget { target, slots, state }),
        1 => (0..TARGETS, 0..4u32, 0..4u32)
            .prop_map(|(target, busy, queued)| Step::Load { target, busy, queued }),
        1 => any::<bool>().prop_map(|is_own_region_only| Step::SetOwnRegionOnly { is_own_region_only }),
        4 => (1..30_000u64).prop_map(|us| Step::Advance { us }),
        8 => Just(Step::RunActions),
    ]
}

#[derive(Debug, Default)]
struct JobModel {
    idempotent: bool,
    /// Attempts that a target may have started.
    may_have_run: u32,
    in_flight: u32,
    attempts: u8,
    is_closed: bool,
}

/// A driver that keeps its own record of jobs and attempts and checks each action against it.
struct Model {
    pool: Pool,
    now: Instant,
    specs: HashMap<u32, Spec>,
    is_own_region_only: bool,
    in_flight: HashMap<u32, u32>,
    jobs: HashMap<Ticket, JobModel>,
    attempts: Vec<(Ticket, Attempt, TargetId)>,
}

impl Model {
    fn set_target(&mut self, target: u32, spec: Spec) {
        self.specs.insert(target, spec);
        self.pool.set_target(self.now, TargetId(target), spec);
    }

    fn run_actions(&mut self) {
        while let Some(action) = self.pool.next_action(self.now) {
            match action {
                Action::Dispatch { ticket, attempt, target } => self.send(ticket, attempt, target),
                Action::Hedge { ticket, attempt, target } => {
                    assert!(self.jobs[&ticket].idempotent);
                    self.send(ticket, attempt, target);
                }
                Action::Cancel { ticket, .. } => assert!(self.jobs[&ticket].is_closed),
                Action::Refuse { ticket, reason } => {
                    assert_eq!(reason.outcome(), Outcome::NotRun);
                    assert_eq!(
                        self.jobs[&ticket].may_have_run, 0,
                        "refused as not run, but an attempt may have run"
                    );
                    self.close(ticket);
                }
                Action::Fail { ticket, reason } => {
                    assert_eq!(reason.outcome(), Outcome::Unknown);
                    self.close(ticket);
                }
            }
        }
        assert!(
            self.pool.wake_at().is_none_or(|at| at > self.now),
            "wake_at has passed: the driver would spin"
        );
    }

    fn send(&mut self, ticket: Ticket, attempt: Attempt, target: TargetId) {
        let spec = self.specs[&target.0];
        assert_eq!(spec.state, State::Ready, "dispatched to a target that is not ready");
        let in_flight = self.in_flight.entry(target.0).or_default();
        *in_flight += 1;
        let prefetched = u32::from(self.is_own_region_only && target == PREFETCHING);
        assert!(*in_flight <= spec.slots + prefetched, "more attempts in flight than slots");
        let job_model = self.jobs.get_mut(&ticket).expect("unknown ticket");
        assert!(!job_model.is_closed);
        assert_eq!(attempt.0, job_model.attempts, "attempt number out of order");
        job_model.attempts += 1;
        job_model.in_flight += 1;
        job_model.may_have_run += 1;
        assert!(
            job_model.idempotent || job_model.may_have_run == 1,
            "non-idempotent work sent twice"
        );
        self.attempts.push((ticket, attempt, target));
    }

    fn report(&mut self, pick: usize, report: Report) {
        if self.attempts.is_empty() {
            return;
        }
        let (ticket, attempt, target) = self.attempts.swap_remove(pick % self.attempts.len());
        *self.in_flight.get_mut(&target.0).expect("attempts in flight on the target") -= 1;
        let job_model = self.jobs.get_mut(&ticket).expect("unknown ticket");
        job_model.in_flight -= 1;
        if matches!(report, Report::Shed | Report::Unsent) {
            job_model.may_have_run -= 1;
        }
        let was_closed = job_model.is_closed;
        let verdict = self.pool.report(self.now, ticket, attempt, report);
        let expected = match report {
            _ if was_closed => Verdict::Ignored,
            Report::Answered => Verdict::Settled,
            _ => Verdict::Pending,
        };
        assert_eq!(verdict, expected);
        if verdict == Verdict::Settled {
            self.close(ticket);
        }
        // A second report of the same attempt must not touch the job that now has the position.
        let again = self.pool.report(self.now, ticket, attempt, Report::Answered);
        assert_eq!(again, Verdict::Ignored);
    }

    fn close(&mut self, ticket: Ticket) {
        let job_model = self.jobs.get_mut(&ticket).expect("unknown ticket");
        assert!(!std::mem::replace(&mut job_model.is_closed, true), "ticket closed twice");
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Offer { member, kind, deadline_us } => {
                let idempotent = kind % 2 == 0;
                let deadline = at_us(self.now.as_micros() + deadline_us);
                let job = Job { flow: flow(member, kind), deadline, idempotent };
                if let Ok(ticket) = self.pool.offer(self.now, job) {
                    let job_model = JobModel { idempotent, ..JobModel::default() };
                    assert!(self.jobs.insert(ticket, job_model).is_none(), "ticket issued twice");
                }
            }
            Step::Report { pick, report } => self.report(pick, report),
            Step::Abandon { pick } => {
                let open = self.jobs.iter().filter(|(_, job)| !job.is_closed);
                let mut open: Vec<Ticket> = open.map(|(&ticket, _)| ticket).collect();
                open.sort_by_key(|ticket| format!("{ticket:?}"));
                if !open.is_empty() {
                    let ticket = open[pick % open.len()];
                    self.pool.abandon(self.now, ticket);
                    self.close(ticket);
                }
            }
            Step::SetTarget { target, slots, state } => {
                self.set_target(target, Spec { slots, state });
            }
            Step::Load { target, busy, queued } => {
                self.pool.record_load(self.now, TargetId(target), Load { busy, queued });
            }
            Step::SetOwnRegionOnly { is_own_region_only } => {
                self.is_own_region_only = is_own_region_only;
                self.pool.set_own_region_only(self.now, is_own_region_only);
            }
            Step::Advance { us } => self.now = at_us(self.now.as_micros() + us),
            Step::RunActions => self.run_actions(),
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, ..ProptestConfig::default() })]

    /// Guards against second attempts of non-idempotent work, dispatches to full or leaving targets,
    /// jobs that are closed twice or never, wrong "not run" outcomes and confused tickets.
    #[test]
    fn invariants_hold(steps in prop::collection::vec(any_step(), 1..400)) {
        let mut model = Model {
            pool: Pool::new(Config { queue_limit: 64, ..Config::default() }),
            now: Instant::ZERO,
            specs: HashMap::new(),
            is_own_region_only: false,
            in_flight: HashMap::new(),
            jobs: HashMap::new(),
            attempts: Vec::new(),
        };
        for target in 0..TARGETS {
            model.set_target(target, common::ready(2));
        }
        model.pool.set_prefetch(Instant::ZERO, PREFETCHING, true);
        for step in steps {
            model.step(step);
        }
        model.run_actions();
        while !model.attempts.is_empty() {
            model.report(0, Report::Answered);
            model.run_actions();
        }
        model.now = at_us(model.now.as_micros() + 1_000_000);
        model.run_actions();
        prop_assert!(model.jobs.values().all(|job| job.is_closed), "a ticket was never closed");
    }
}
