//! Sends a request to targets until one answers.

use std::rc::Rc;

use ebonypass_core::balancer::{self, Attempt, Backlog, Choice, Refusal};
use ebonypass_core::id::{ServiceId, TargetId};
use ebonypass_core::outcome::Reason;
use ebonypass_core::time::{Instant, Span};
use ebonypass_node::clock;
use futures_lite::future;
use hyper::Response;
use serde_json::{Value, json};

use super::access::check_again;
use super::place::{Unplaced, place};
use super::reply::{MAX_RETRY_AFTER, error_reply};
use super::{Completion, Job};
use crate::attempt::{Outcome, Reply, send_attempt};
use crate::body::Body;
use crate::gateway::Gateway;
use crate::limit::Limit;

/// Limit on targets tried per request, including those that refuse it.
const MAX_TARGETS: usize = 4;

/// How long a request waits while the replies of others are unfinished. A caller gives up a request
/// that is not read within a second.
const MAX_TRANSFER_WAIT: Span = Span::from_millis(500);

/// Counts an attempt at its target until it finishes. Dropped when the caller disconnects, it
/// reports the attempt as cancelled.
struct AttemptGuard {
    gateway: Rc<Gateway>,
    service: ServiceId,
    target: TargetId,
    attempt: Option<Attempt>,
}

impl AttemptGuard {
    fn new(gateway: &Rc<Gateway>, service: ServiceId, choice: &Choice) -> AttemptGuard {
        let attempt = Some(gateway.state().balancer.start_attempt(clock::now(), choice));
        AttemptGuard { gateway: gateway.clone(), service, target: choice.target, attempt }
    }

    fn finish(mut self, outcome: balancer::Outcome) {
        self.end(outcome);
    }

    fn end(&mut self, outcome: balancer::Outcome) {
        if let Some(attempt) = self.attempt.take() {
            let now = clock::now();
            self.gateway.state().balancer.finish_attempt(now, attempt, outcome);
            self.gateway.release_slot(now, self.service, self.target);
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.end(balancer::Outcome::Cancelled);
    }
}

/// Sends a request to targets until one answers, or until its deadline, attempt limit or retry
/// budget allows no more.
pub(super) async fn forward(gateway: &Rc<Gateway>, mut job: Job) -> Completion {
    let mut tried: Vec<TargetId> = Vec::new();
    let mut attempts: Vec<Value> = Vec::new();
    let mut runs = 0;
    let mut has_sent = false;
    // The latest reply or failure of a target that may have run the request.
    let mut last: Option<Result<Box<Reply>, Reason>> = None;
    let transfer_end = job.deadline.min(clock::now() + MAX_TRANSFER_WAIT);
    let (reason, retry_after) = loop {
        if let Err(reason) = check_again(gateway, &mut job) {
            // A target has seen the request and has not run it, or `last` says how it ended.
            break (if has_sent { Reason::Shed } else { reason }, None);
        }
        if !wait_for_transfer(gateway, transfer_end).await {
            gateway.tally.add(Limit::Transfers);
            let reason = if has_sent { Reason::Shed } else { Reason::QueueFull };
            break (reason, Some(MAX_TRANSFER_WAIT));
        }
        let choice = match place(gateway, &mut job, &tried).await {
            Ok(choice) => choice,
            Err(unplaced) => {
                let (reason, retry_after, fields) = refuse(&job, unplaced, tried.is_empty());
                attempts.extend(fields);
                break (reason, retry_after);
            }
        };
        let Some(transfer) = gateway.bodies.transfers.try_start() else {
            // Others took the last one while this request waited for a target.
            continue;
        };
        tried.push(choice.target);
        let start = clock::now();
        let was_used = job.token.start_attempt();
        let guard = AttemptGuard::new(gateway, job.route.service, &choice);
        let timer = async {
            gateway.wait_for_deadline(job.deadline).await;
            None
        };
        let attempt = async { Some(send_attempt(gateway, &job, &choice, transfer).await) };
        let outcome = future::or(attempt, timer).await;
        guard.finish(
            outcome.as_ref().map_or(balancer::Outcome::TimedOut, Outcome::balancer_outcome),
        );
        // An attempt that sent nothing does not make the next one a retry.
        let was_sent = !matches!(outcome, Some(Outcome::Unreachable(_) | Outcome::Unsent(_)));
        has_sent |= was_sent;
        if !was_sent || matches!(outcome, Some(Outcome::NotRun(_))) {
            job.token.undo_attempt(was_used);
        }
        attempts.push(attempt_fields(gateway, &job, &choice, start, outcome.as_ref()));
        match outcome {
            None => break (Reason::DeadlinePassedRunning, None),
            Some(Outcome::Reply(reply)) => {
                runs += 1;
                let is_fault = reply.status.is_server_error();
                last = Some(Ok(reply));
                if !is_fault || !job.route.idempotent {
                    break (Reason::TargetLost, None);
                }
            }
            Some(Outcome::Lost(_)) => {
                runs += 1;
                last = Some(Err(Reason::TargetLost));
                if !job.route.idempotent {
                    break (Reason::TargetLost, None);
                }
            }
            Some(Outcome::NotRun(_) | Outcome::Unreachable(_) | Outcome::Unsent(_)) => {}
        }
        if runs >= job.route.attempt_limit || tried.len() >= MAX_TARGETS {
            break (Reason::Shed, None);
        }
        if was_sent && !take_retry(gateway, &job) {
            break (Reason::Shed, None);
        }
    };
    match last {
        Some(Ok(reply)) => Completion { reason: None, response: into_response(*reply), attempts },
        Some(Err(failure)) => {
            let reason = if reason == Reason::DeadlinePassedRunning { reason } else { failure };
            Completion { reason: Some(reason), response: error_reply(reason, None), attempts }
        }
        None => Completion {
            reason: Some(reason),
            response: error_reply(reason, retry_after),
            attempts,
        },
    }
}

/// Waits until a request may be sent to a target. Callers that do not read their replies give way.
async fn wait_for_transfer(gateway: &Gateway, end: Instant) -> bool {
    let make_room = || gateway.connections.close_stalled_reader();
    gateway.bodies.transfers.wait(end, make_room).await
}

/// The reason of a refusal, when the request may come back, and log fields.
fn refuse(job: &Job, unplaced: Unplaced, is_first: bool) -> (Reason, Option<Span>, Option<Value>) {
    let without_target = if is_first { Reason::NoTarget } else { Reason::Shed };
    match unplaced {
        Unplaced::Refused(Refusal::NoTarget) => (without_target, None, None),
        Unplaced::Refused(Refusal::TurnedAway(wait)) => {
            (without_target, Some(wait), Some(turned_away_fields(job, wait)))
        }
        Unplaced::Refused(Refusal::Full(full)) => {
            let wait = full.retry_after.min(MAX_RETRY_AFTER);
            (Reason::DeadlineTooClose, Some(wait), Some(refusal_fields(job, full)))
        }
        Unplaced::Crowded(wait) => {
            let wait = wait.min(MAX_RETRY_AFTER);
            (Reason::DeadlineTooClose, Some(wait), Some(crowded_fields(job, wait)))
        }
        Unplaced::OverQuota(wait) => (Reason::AllotmentExhausted, Some(wait), None),
        Unplaced::Stopping => (Reason::Stopping, None, None),
    }
}

/// Log fields of a request refused because of the requests that wait before it.
fn crowded_fields(job: &Job, wait: Span) -> Value {
    json!({
        "service": job.route.service_name,
        "config": job.route.version,
        "priority": job.route.priority,
        "wait_ms": wait.as_millis(),
        "result": "too many requests wait before it",
    })
}

/// Log fields of a request refused because no target has a free slot in time.
fn refusal_fields(job: &Job, full: Backlog) -> Value {
    json!({
        "service": job.route.service_name,
        "config": job.route.version,
        "targets": full.target_count,
        "expected_ms": full.expected_latency.as_millis(),
        "left_ms": full.time_left.as_millis(),
        "wait_ms": full.retry_after.as_millis(),
        "result": "no slot in time",
    })
}

/// Log fields of a request refused because all targets have turned this machine away.
fn turned_away_fields(job: &Job, wait: Span) -> Value {
    json!({
        "service": job.route.service_name,
        "config": job.route.version,
        "wait_ms": wait.as_millis(),
        "result": "turned away by all targets",
    })
}

/// Takes one retry from this machine's share of the fleet's retry budget.
fn take_retry(gateway: &Gateway, job: &Job) -> bool {
    let now = clock::now();
    let mut state = gateway.state();
    let is_allowed = state.retry_budget(now, &gateway.settings, job.route.service).try_take(now);
    if is_allowed {
        gateway.metrics.retries.inc();
    }
    is_allowed
}

/// Log fields of one attempt.
fn attempt_fields(
    gateway: &Gateway,
    job: &Job,
    choice: &Choice,
    start: Instant,
    outcome: Option<&Outcome>,
) -> Value {
    let result = match outcome {
        None => "timeout".to_owned(),
        Some(Outcome::Reply(reply)) => format!("status {}", reply.status.as_u16()),
        Some(Outcome::NotRun(outcome)) => format!("not run: {outcome:?}"),
        Some(Outcome::Unreachable(error)) => format!("not reached: {error}"),
        Some(Outcome::Unsent(error)) => format!("not sent: {error}"),
        Some(Outcome::Lost(error)) => format!("lost: {error}"),
    };
    let state = gateway.state();
    json!({
        "target": state.balancer.target(choice.target).spec.id,
        "service": job.route.service_name,
        "config": job.route.version,
        "after_ms": start.since(job.arrived).as_millis(),
        "ms": clock::now().since(start).as_millis(),
        "expected_wait_ms": choice.expected_wait.as_millis(),
        "expected_ms": choice.expected_latency.as_millis(),
        "position": choice.position,
        "kept": choice.is_cached,
        "result": result,
    })
}

/// Converts a target's reply into the reply to the caller.
fn into_response(reply: Reply) -> Response<Body> {
    debug_assert!(!reply.metadata.is_not_run);
    let mut response = Response::new(reply.body);
    *response.status_mut() = reply.status;
    *response.headers_mut() = reply.headers;
    response
}
