//! Handles a caller's request: reads it, forwards it to targets with retries, and returns the
//! reply.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use ebonypass_core::balancer::{self, Attempt, Backlog, Choice, Query, Refusal, RegionSet};
use ebonypass_core::id::{ServiceId, TargetId};
use ebonypass_core::outcome::Reason;
use ebonypass_core::time::{Instant, Span};
use ebonypass_node::clock;
use ebonypass_node::event::Event;
use ebonypass_platform::header::{self, RequestMetadata};
use futures_lite::future;
use http_body::Body as HttpBody;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri, header as http_header};
use serde_json::{Value, json};
use xxhash_rust::xxh3::xxh3_64;

use crate::attempt::{Outcome, Reply, send_attempt};
use crate::body::Body;
use crate::budget::Reservation;
use crate::gateway::{Gateway, Phase};
use crate::metric::{Ending, RequestLabels, RouteLabels};

/// Requests time out this long before the caller's own deadline, so that the error reply arrives in
/// time.
const DEADLINE_MARGIN: Span = Span::from_millis(25);
/// How long a body waits for memory that other bodies use. A caller gives up a request that is not
/// read within a second.
const MAX_BODY_WAIT: Span = Span::from_millis(500);
/// Limit on targets tried per request, including those that refuse it.
const MAX_TARGETS: usize = 4;
/// Bounds of the Retry-After time, before jitter. A time that targets have asked for may be longer.
const MIN_RETRY_AFTER: Span = Span::from_millis(150);
const MAX_RETRY_AFTER: Span = Span::from_millis(2_000);

/// A request that has been read and matched to a route.
pub(crate) struct Job {
    pub(crate) metadata: RequestMetadata,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Memory of the body.
    _reservation: Reservation,
    pub(crate) route: MatchedRoute,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
}

/// Parameters of the matched route, as of the request's arrival.
pub(crate) struct MatchedRoute {
    pub(crate) name: String,
    pub(crate) version: u64,
    pub(crate) service: ServiceId,
    pub(crate) service_name: String,
    pub(crate) idempotent: bool,
    pub(crate) attempt_limit: u32,
    pub(crate) latency_objective: Span,
    pub(crate) allowed_regions: RegionSet,
    pub(crate) object: Option<u64>,
    pub(crate) timeout: Span,
}

/// The result of a request: the reply, the error reason if the gateway made it, and logged
/// attempts.
struct Completion {
    reason: Option<Reason>,
    response: Response<Body>,
    attempts: Vec<Value>,
}

/// Counts an attempt at its target until it finishes. Dropped when the caller disconnects, it
/// reports the attempt as cancelled.
struct AttemptGuard {
    gateway: Rc<Gateway>,
    attempt: Option<Attempt>,
}

impl AttemptGuard {
    fn new(gateway: &Rc<Gateway>, choice: &Choice) -> AttemptGuard {
        let attempt = gateway.state().balancer.start_attempt(clock::now(), choice);
        AttemptGuard { gateway: gateway.clone(), attempt: Some(attempt) }
    }

    fn finish(mut self, outcome: balancer::Outcome) {
        if let Some(attempt) = self.attempt.take() {
            self.gateway.state().balancer.finish_attempt(clock::now(), attempt, outcome);
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if let Some(attempt) = self.attempt.take() {
            self.gateway.state().balancer.finish_attempt(
                clock::now(),
                attempt,
                balancer::Outcome::Cancelled,
            );
        }
    }
}

/// Counts a request as in flight. Dropped before the end, it records the request as abandoned.
struct InFlightGuard {
    gateway: Rc<Gateway>,
    id: String,
    arrived: Instant,
    is_finished: bool,
}

impl InFlightGuard {
    fn new(gateway: &Rc<Gateway>, arrived: Instant) -> InFlightGuard {
        gateway.in_flight.set(gateway.in_flight.get() + 1);
        gateway.arrivals.set(gateway.arrivals.get() + 1);
        InFlightGuard { gateway: gateway.clone(), id: String::new(), arrived, is_finished: false }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.gateway.in_flight.set(self.gateway.in_flight.get() - 1);
        if !self.is_finished {
            let age = clock::now().since(self.arrived);
            let fields = json!({ "request": self.id, "ms": age.as_millis() });
            self.gateway.log.record(Event::RequestAbandoned, fields);
            let labels = labels(String::new(), Ending::Abandoned, None);
            self.gateway.metrics.requests.get_or_create(&labels).inc();
        }
    }
}

fn labels(route: String, ending: Ending, reason: Option<Reason>) -> RequestLabels {
    RequestLabels { route, ending, code: reason.map_or(0, Reason::code) }
}

/// The HTTP status of the gateway's own reply for `reason`. 400, 404, 413 and 503 tell the caller
/// that the request did not run.
fn reply_status(reason: Reason) -> StatusCode {
    match reason {
        Reason::UnknownService => StatusCode::NOT_FOUND,
        Reason::HeadMalformed => StatusCode::BAD_REQUEST,
        Reason::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Reason::DeadlinePassedRunning => StatusCode::GATEWAY_TIMEOUT,
        Reason::TargetLost | Reason::ReplyTruncated => StatusCode::BAD_GATEWAY,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn failure_ending(reason: Reason) -> Ending {
    match reason {
        Reason::DeadlinePassedRunning | Reason::TargetLost | Reason::ReplyTruncated => {
            Ending::Failed
        }
        _ => Ending::Refused,
    }
}

/// An error reply made by the gateway, without a body.
fn error_reply(reason: Reason, retry_after: Option<Span>) -> Response<Body> {
    let mut response = Response::new(Body::Whole(None));
    *response.status_mut() = reply_status(reason);
    if response.status() == StatusCode::SERVICE_UNAVAILABLE {
        // Jitter keeps callers that were refused together from retrying together.
        let retry_after = retry_after.unwrap_or(MIN_RETRY_AFTER).max(MIN_RETRY_AFTER);
        let jitter = fastrand::u64(0..=retry_after.min(MAX_RETRY_AFTER).as_micros() / 2);
        let (name, value) = header::retry_after_header(retry_after + Span::from_micros(jitter));
        response.headers_mut().insert(name, value);
    }
    response
}

/// Handles a caller's request, and records how it ended.
pub async fn handle(gateway: Rc<Gateway>, request: Request<Incoming>) -> Response<Body> {
    let arrived = clock::now();
    let mut in_flight = InFlightGuard::new(&gateway, arrived);
    let (parts, body) = request.into_parts();
    let metadata = header::scan_request_metadata(&parts.headers);
    if let Ok(metadata) = &metadata {
        in_flight.id.clone_from(&metadata.id);
    }
    let id = in_flight.id.clone();
    let mut route = String::new();
    let mut latency_objective = Span::MAX;
    let completion = match read_request(&gateway, metadata, parts, body, arrived).await {
        Ok(job) => {
            route.clone_from(&job.route.name);
            latency_objective = job.route.latency_objective;
            forward(&gateway, job).await
        }
        Err(reason) => Completion {
            reason: Some(reason),
            response: error_reply(reason, None),
            attempts: Vec::new(),
        },
    };
    in_flight.is_finished = true;
    let age = clock::now().since(arrived);
    record_completion(&gateway, &id, &route, latency_objective, age, &completion);
    let mut response = completion.response;
    if let Some((name, value)) = header::request_id_header(&id) {
        response.headers_mut().insert(name, value);
    }
    if gateway.phase.get() > Phase::Serving {
        let close = http_header::HeaderValue::from_static("close");
        response.headers_mut().insert(http_header::CONNECTION, close);
    }
    response
}

fn record_completion(
    gateway: &Gateway,
    id: &str,
    route: &str,
    latency_objective: Span,
    age: Span,
    completion: &Completion,
) {
    let is_late = age > latency_objective;
    let ending = match completion.reason {
        Some(reason) => failure_ending(reason),
        None if is_late => Ending::Late,
        None => Ending::Answered,
    };
    let metrics = &gateway.metrics;
    metrics.requests.get_or_create(&labels(route.to_owned(), ending, completion.reason)).inc();
    let latency = metrics.latency.get_or_create(&RouteLabels { route: route.to_owned() });
    latency.observe(age.as_micros() as f64 / 1e6);
    let is_ordinary = ending == Ending::Answered && completion.attempts.len() <= 1;
    if is_ordinary && !gateway.log.should_sample() {
        return;
    }
    let event = match ending {
        Ending::Refused => Event::RequestRefused,
        Ending::Failed => Event::RequestFailed,
        _ => Event::RequestAnswered,
    };
    let fields = json!({
        "request": id,
        "route": route,
        "status": completion.response.status().as_u16(),
        "code": completion.reason.map(Reason::code),
        "ms": age.as_millis(),
        "late": is_late,
        "attempts": completion.attempts,
    });
    gateway.log.record(event, fields);
}

/// Reads a request and matches it to a route.
async fn read_request(
    gateway: &Rc<Gateway>,
    metadata: Result<RequestMetadata, header::Error>,
    parts: Parts,
    body: Incoming,
    arrived: Instant,
) -> Result<Job, Reason> {
    let metadata = metadata.map_err(|_| Reason::HeadMalformed)?;
    if gateway.phase.get() >= Phase::Refusing {
        return Err(Reason::Stopping);
    }
    let route = resolve_route(gateway, &parts, &metadata)?;
    let time_left = metadata
        .time_left
        .map_or(route.timeout, |left| (left - DEADLINE_MARGIN).min(route.timeout));
    let deadline = arrived + time_left;
    let limit = gateway.state().limits.body_bytes;
    let stated = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if stated > limit {
        return Err(Reason::BodyTooLarge);
    }
    let timer = async {
        gateway.wait_for_deadline(deadline).await;
        Err(Reason::DeadlinePassed)
    };
    let wait_end = deadline.min(clock::now() + MAX_BODY_WAIT);
    let body = async {
        let reservation = gateway.bodies.reserve(stated, wait_end).await;
        read_body(body, limit, stated, reservation.ok_or(Reason::QueueFull)?).await
    };
    let (body, reservation) = future::or(body, timer).await?;
    if gateway.phase.get() >= Phase::Refusing {
        return Err(Reason::Stopping);
    }
    let headers = header::end_to_end_headers(&parts.headers);
    let (method, uri) = (parts.method, parts.uri);
    Ok(Job {
        metadata,
        method,
        uri,
        headers,
        body,
        _reservation: reservation,
        route,
        arrived,
        deadline,
    })
}

/// Reads a body of at most `limit` bytes, of which `stated` are announced and reserved.
async fn read_body(
    body: Incoming,
    limit: usize,
    stated: usize,
    mut reservation: Reservation,
) -> Result<(Bytes, Reservation), Reason> {
    let mut body = Limited::new(body, limit);
    let mut bytes = Vec::with_capacity(stated);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            let is_long = error.downcast_ref::<LengthLimitError>().is_some();
            if is_long { Reason::BodyTooLarge } else { Reason::HeadMalformed }
        })?;
        if let Ok(data) = frame.into_data() {
            if !reservation.grow(bytes.len() + data.len()) {
                return Err(Reason::QueueFull);
            }
            bytes.extend_from_slice(&data);
        }
    }
    Ok((Bytes::from(bytes), reservation))
}

fn resolve_route(
    gateway: &Gateway,
    parts: &Parts,
    metadata: &RequestMetadata,
) -> Result<MatchedRoute, Reason> {
    let host = parts.headers.get(http_header::HOST).and_then(|host| host.to_str().ok());
    let host = host.or(parts.uri.host()).ok_or(Reason::HeadMalformed)?;
    let host = host.split(':').next().unwrap_or(host);
    let mut state = gateway.state();
    if state.version == 0 {
        return Err(Reason::NoPolicy);
    }
    let version = state.version;
    let entry = state.route_table.find(host, parts.uri.path()).ok_or(Reason::UnknownService)?;
    let service_name = entry.next_service().to_owned();
    let route = &entry.route;
    let object = metadata.affinity_key.as_ref().filter(|_| route.has_affinity);
    let mut matched = MatchedRoute {
        name: route.name.clone(),
        version,
        service: ServiceId(0),
        service_name,
        idempotent: route.idempotent,
        attempt_limit: route.attempt_limit,
        latency_objective: route.latency_objective,
        allowed_regions: RegionSet::ANY,
        object: object.map(|object| xxh3_64(object.as_bytes())),
        timeout: route.timeout,
    };
    let allowed_regions = route.allowed_regions.clone();
    matched.allowed_regions = state.balancer.region_set(&allowed_regions);
    matched.service = state.balancer.service_id(&matched.service_name);
    let now = clock::now();
    state.retry_budget(now, &gateway.settings, matched.service).record_request(now);
    Ok(matched)
}

/// Sends a request to targets until one answers, or until its deadline, attempt limit or retry
/// budget allows no more.
async fn forward(gateway: &Rc<Gateway>, job: Job) -> Completion {
    let mut tried: Vec<TargetId> = Vec::new();
    let mut attempts: Vec<Value> = Vec::new();
    let mut runs = 0;
    // The latest reply or failure of a target that may have run the request.
    let mut last: Option<Result<Box<Reply>, Reason>> = None;
    let (reason, retry_after) = loop {
        let choice = match choose_target(gateway, &job, &tried) {
            Ok(choice) => choice,
            Err(Refusal::NoTarget) if tried.is_empty() => break (Reason::NoTarget, None),
            Err(Refusal::NoTarget) => break (Reason::Shed, None),
            Err(Refusal::TurnedAway(wait)) => {
                attempts.push(turned_away_fields(&job, wait));
                let reason = if tried.is_empty() { Reason::NoTarget } else { Reason::Shed };
                break (reason, Some(wait));
            }
            Err(Refusal::Full(full)) => {
                attempts.push(refusal_fields(&job, full));
                break (Reason::DeadlineTooClose, Some(full.retry_after.min(MAX_RETRY_AFTER)));
            }
        };
        tried.push(choice.target);
        let start = clock::now();
        let guard = AttemptGuard::new(gateway, &choice);
        let timer = async {
            gateway.wait_for_deadline(job.deadline).await;
            None
        };
        let attempt = async { Some(send_attempt(gateway, &job, &choice).await) };
        let outcome = future::or(attempt, timer).await;
        guard.finish(
            outcome.as_ref().map_or(balancer::Outcome::TimedOut, Outcome::balancer_outcome),
        );
        // An attempt that sent nothing does not make the next one a retry.
        let was_sent = !matches!(outcome, Some(Outcome::Unreachable(_) | Outcome::Unsent(_)));
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

fn choose_target(gateway: &Gateway, job: &Job, tried: &[TargetId]) -> Result<Choice, Refusal> {
    let now = clock::now();
    let query = Query {
        service: job.route.service,
        route: xxh3_64(job.route.name.as_bytes()),
        object: job.route.object,
        allowed_regions: job.route.allowed_regions,
        tried,
        latency_objective: job.route.latency_objective,
        time_left: job.deadline.since(now),
    };
    gateway.state().balancer.choose(now, &query)
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

/// How often a stopping process checks for requests in flight.
pub const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);
