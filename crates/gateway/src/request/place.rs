//! Finds a target for a request, and lets the request wait while there is too little room.

use std::rc::Rc;

use ebonypass_core::balancer::{Choice, Query, Refusal};
use ebonypass_core::id::TargetId;
use ebonypass_core::pressure::{self, Estimate, FlowId, Verdict, Waiter};
use ebonypass_core::time::{Instant, Span};
use ebonypass_node::clock;
use futures_lite::future;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::Job;
use crate::gateway::Gateway;
use crate::metric::RouteLabels;
use crate::waiting::Place;

/// How often a waiting request looks for another target: those that it knows may be taken by other
/// machines.
const RECHECK_INTERVAL: Span = Span::from_millis(150);

/// Why a request was given no target.
#[derive(Debug, Clone, Copy)]
pub(super) enum Unplaced {
    /// No target can run it.
    Refused(Refusal),
    /// It would miss its deadline behind those that go first. It may come back after this time.
    Crowded(Span),
    /// The tenant's quota is used up. It may come back after this time.
    OverQuota(Span),
    /// The process stops.
    Stopping,
}

/// Chooses a target for a request. Where the configuration asks for it, the first attempt waits
/// until there is room for it.
pub(super) async fn place(
    gateway: &Rc<Gateway>,
    job: &mut Job,
    tried: &[TargetId],
) -> Result<Choice, Unplaced> {
    let may_wait = tried.is_empty() && gateway.state().features.pressure;
    let mut has_waited = false;
    loop {
        let choice = choose_target(gateway, job, tried).map_err(Unplaced::Refused)?;
        if !may_wait {
            return Ok(choice);
        }
        let now = clock::now();
        if has_waited && gateway.cutoff.get() <= now {
            return Err(Unplaced::Stopping);
        }
        let waiter = waiter(gateway, job, &choice);
        match decide(gateway, now, job, &choice, &waiter) {
            Verdict::Send => {
                let work = choice.expected_work_time;
                let token = job.token.take_again(job.deadline).await;
                token.map_err(Unplaced::OverQuota)?;
                gateway.waiting.borrow_mut().queue.record_sent(waiter.flow, work);
                return Ok(choice);
            }
            Verdict::Refuse(wait) => {
                return Err(Unplaced::Crowded(pressure::retry_after(wait, job.route.priority)));
            }
            Verdict::Hold(end) => {
                if !std::mem::replace(&mut has_waited, true) {
                    let labels = RouteLabels { route: job.route.name.clone() };
                    gateway.metrics.waits.get_or_create(&labels).inc();
                }
                job.token.give_back();
                let place = Place::new(gateway, waiter);
                let end = end.min(now + RECHECK_INTERVAL).min(job.deadline);
                future::or(place.wait_for_slot(), gateway.wait_for_deadline(end)).await;
            }
        }
    }
}

fn decide(gateway: &Gateway, now: Instant, job: &Job, choice: &Choice, waiter: &Waiter) -> Verdict {
    let request = pressure::Request {
        arrived: job.arrived,
        objective: job.arrived + job.route.latency_objective,
        deadline: job.deadline,
    };
    let estimate = Estimate { wait: choice.expected_wait, latency: choice.expected_latency };
    let queue_wait = gateway.waiting.borrow().queue.wait(now, waiter);
    pressure::decide(now, &request, estimate, queue_wait, job.route.is_most_urgent)
}

fn waiter(gateway: &Gateway, job: &Job, choice: &Choice) -> Waiter {
    let objective = job.arrived + job.route.latency_objective;
    Waiter {
        service: job.route.service,
        target: choice.target,
        flow: flow(gateway, job),
        rank: job.access.rank(job.route.priority),
        since: job.arrived,
        latest_start: objective - choice.expected_work_time,
    }
}

/// The flow of the request: its tenant and route.
fn flow(gateway: &Gateway, job: &Job) -> FlowId {
    let tenant = job.access.owner.as_ref().map_or("", |owner| &owner.name);
    let hash = xxh3_64_with_seed(tenant.as_bytes(), xxh3_64(job.route.name.as_bytes()));
    gateway.waiting.borrow_mut().queue.flow(hash)
}

fn choose_target(gateway: &Gateway, job: &Job, tried: &[TargetId]) -> Result<Choice, Refusal> {
    let now = clock::now();
    let query = Query {
        service: job.route.service,
        route: xxh3_64(job.route.name.as_bytes()),
        object: job.route.object,
        allowed_regions: job.access.allowed_regions(job.route.allowed_regions),
        tried,
        latency_objective: job.route.latency_objective,
        time_left: job.deadline.since(now),
    };
    gateway.state().balancer.choose(now, &query)
}
