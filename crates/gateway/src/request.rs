//! The path of a request: from a caller to a target and back.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use ebonypass_core::balancer::{
    Attempt, AttemptOutcome, Backlog, Choice, Query, Refusal, RegionSet,
};
use ebonypass_core::id::{ServiceId, TargetId};
use ebonypass_core::outcome::Reason;
use ebonypass_core::time::{Instant, Span};
use ebonypass_node::clock;
use ebonypass_node::event::Event;
use ebonypass_platform::header::{self, Call};
use futures_lite::future;
use http_body::Body as HttpBody;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri, header as http_header};
use serde_json::{Value, json};
use xxhash_rust::xxh3::xxh3_64;

use crate::attempt::{Outcome, Reply, attempt};
use crate::body::Body;
use crate::gateway::{Gateway, Phase};
use crate::metric::{Ending, RequestLabels, RouteLabels};

/// A reply of our own leaves this long before the caller stops waiting, so that it arrives in time.
const CALLER_MARGIN: Span = Span::from_millis(25);
/// Targets that one request is sent to at most, those that refuse it included.
const SEND_LIMIT: usize = 4;
/// Bounds of the time after which a refused caller is asked to come back.
const FIRST_RETURN: Span = Span::from_millis(150);
const LAST_RETURN: Span = Span::from_millis(2_000);

/// What a request needs to be sent to a target.
pub(crate) struct Job {
    pub(crate) call: Call,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) terms: Terms,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
}

/// The terms of the route, as of the request's arrival.
pub(crate) struct Terms {
    pub(crate) route: String,
    pub(crate) version: u64,
    pub(crate) service: ServiceId,
    pub(crate) service_name: String,
    pub(crate) idempotent: bool,
    pub(crate) attempt_limit: u32,
    pub(crate) aim: Span,
    pub(crate) homes: RegionSet,
    pub(crate) object: Option<u64>,
    pub(crate) timeout: Span,
}

/// The end of a request.
struct End {
    reason: Option<Reason>,
    response: Response<Body>,
    attempts: Vec<Value>,
}

/// An attempt that is counted at its target until it ends, also when the caller goes away.
struct Count {
    gateway: Rc<Gateway>,
    attempt: Option<Attempt>,
}

impl Count {
    fn new(gateway: &Rc<Gateway>, choice: &Choice) -> Count {
        let attempt = gateway.state().fleet.start_attempt(clock::now(), choice);
        Count { gateway: gateway.clone(), attempt: Some(attempt) }
    }

    fn close(mut self, report: AttemptOutcome) {
        if let Some(attempt) = self.attempt.take() {
            self.gateway.state().fleet.finish_attempt(clock::now(), attempt, report);
        }
    }
}

impl Drop for Count {
    fn drop(&mut self) {
        if let Some(attempt) = self.attempt.take() {
            self.gateway.state().fleet.finish_attempt(
                clock::now(),
                attempt,
                AttemptOutcome::Cancelled,
            );
        }
    }
}

/// A request that is counted as in flight, and noted as abandoned if it is dropped.
struct Handling {
    gateway: Rc<Gateway>,
    id: String,
    arrived: Instant,
    is_ended: bool,
}

impl Handling {
    fn new(gateway: &Rc<Gateway>, arrived: Instant) -> Handling {
        gateway.in_flight.set(gateway.in_flight.get() + 1);
        gateway.arrivals.set(gateway.arrivals.get() + 1);
        Handling { gateway: gateway.clone(), id: String::new(), arrived, is_ended: false }
    }
}

impl Drop for Handling {
    fn drop(&mut self) {
        self.gateway.in_flight.set(self.gateway.in_flight.get() - 1);
        if !self.is_ended {
            let age = clock::now().since(self.arrived);
            let fields = json!({ "request": self.id, "ms": age.as_millis() });
            self.gateway.log.note(Event::RequestAbandoned, fields);
            let labels = labels(String::new(), Ending::Abandoned, None);
            self.gateway.metrics.requests.get_or_create(&labels).inc();
        }
    }
}

fn labels(route: String, ending: Ending, reason: Option<Reason>) -> RequestLabels {
    RequestLabels { route, ending, code: reason.map_or(0, Reason::code) }
}

/// The status that a caller gets for `reason`. Those of requests that have not run promise that.
fn status(reason: Reason) -> StatusCode {
    match reason {
        Reason::UnknownService => StatusCode::NOT_FOUND,
        Reason::HeadMalformed => StatusCode::BAD_REQUEST,
        Reason::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Reason::DeadlinePassedRunning => StatusCode::GATEWAY_TIMEOUT,
        Reason::TargetLost | Reason::ReplyTruncated => StatusCode::BAD_GATEWAY,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn ending(reason: Reason) -> Ending {
    match reason {
        Reason::DeadlinePassedRunning | Reason::TargetLost | Reason::ReplyTruncated => {
            Ending::Failed
        }
        _ => Ending::Refused,
    }
}

/// A reply of our own, without a body.
fn own_reply(reason: Reason, wait: Option<Span>) -> Response<Body> {
    let mut response = Response::new(Body::Whole(None));
    *response.status_mut() = status(reason);
    if response.status() == StatusCode::SERVICE_UNAVAILABLE {
        // Callers that were refused together must not come back together.
        let wait = wait.unwrap_or(FIRST_RETURN).max(FIRST_RETURN).min(LAST_RETURN);
        let spread = fastrand::u64(0..=wait.as_micros() / 2);
        let (name, value) = header::retry_after(wait + Span::from_micros(spread));
        response.headers_mut().insert(name, value);
    }
    response
}

/// Handles a request of a caller.
pub async fn handle(gateway: Rc<Gateway>, request: Request<Incoming>) -> Response<Body> {
    let arrived = clock::now();
    let mut handling = Handling::new(&gateway, arrived);
    let (parts, body) = request.into_parts();
    let call = header::scan_call(&parts.headers);
    if let Ok(call) = &call {
        handling.id.clone_from(&call.id);
    }
    let id = handling.id.clone();
    let mut route = String::new();
    let mut aim = Span::MAX;
    let end = match read(&gateway, call, parts, body, arrived).await {
        Ok(job) => {
            route.clone_from(&job.terms.route);
            aim = job.terms.aim;
            run(&gateway, job).await
        }
        Err(reason) => {
            End { reason: Some(reason), response: own_reply(reason, None), attempts: Vec::new() }
        }
    };
    handling.is_ended = true;
    let age = clock::now().since(arrived);
    note_end(&gateway, &id, &route, aim, age, &end);
    let mut response = end.response;
    if let Some((name, value)) = header::reply_id(&id) {
        response.headers_mut().insert(name, value);
    }
    if gateway.phase.get() > Phase::Serving {
        let close = http_header::HeaderValue::from_static("close");
        response.headers_mut().insert(http_header::CONNECTION, close);
    }
    response
}

fn note_end(gateway: &Gateway, id: &str, route: &str, aim: Span, age: Span, end: &End) {
    let is_late = age > aim;
    let ending = match end.reason {
        Some(reason) => ending(reason),
        None if is_late => Ending::Late,
        None => Ending::Answered,
    };
    let metrics = &gateway.metrics;
    metrics.requests.get_or_create(&labels(route.to_owned(), ending, end.reason)).inc();
    let latency = metrics.latency.get_or_create(&RouteLabels { route: route.to_owned() });
    latency.observe(age.as_micros() as f64 / 1e6);
    let is_plain = ending == Ending::Answered && end.attempts.len() <= 1;
    if is_plain && !gateway.log.is_sampled() {
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
        "status": end.response.status().as_u16(),
        "code": end.reason.map(Reason::code),
        "ms": age.as_millis(),
        "late": is_late,
        "attempts": end.attempts,
    });
    gateway.log.note(event, fields);
}

/// Reads and checks a request.
async fn read(
    gateway: &Rc<Gateway>,
    call: Result<Call, header::Malformed>,
    parts: Parts,
    body: Incoming,
    arrived: Instant,
) -> Result<Job, Reason> {
    let call = call.map_err(|_| Reason::HeadMalformed)?;
    if gateway.phase.get() >= Phase::Refusing {
        return Err(Reason::Stopping);
    }
    let terms = find_terms(gateway, &parts, &call)?;
    let left = call.left.map_or(terms.timeout, |left| (left - CALLER_MARGIN).min(terms.timeout));
    let deadline = arrived + left;
    let limit = gateway.state().limits.body_bytes;
    if body.size_hint().lower() > limit as u64 {
        return Err(Reason::BodyTooLarge);
    }
    let timer = async {
        clock::sleep_until(deadline).await;
        Err(Reason::DeadlinePassed)
    };
    let body = async {
        let body = Limited::new(body, limit).collect().await;
        body.map(|body| body.to_bytes()).map_err(|error| {
            let is_long = error.downcast_ref::<LengthLimitError>().is_some();
            if is_long { Reason::BodyTooLarge } else { Reason::HeadMalformed }
        })
    };
    let body = future::or(body, timer).await?;
    let headers = header::forwarded(&parts.headers);
    let (method, uri) = (parts.method, parts.uri);
    Ok(Job { call, method, uri, headers, body, terms, arrived, deadline })
}

fn find_terms(gateway: &Gateway, parts: &Parts, call: &Call) -> Result<Terms, Reason> {
    let host = parts.headers.get(http_header::HOST).and_then(|host| host.to_str().ok());
    let host = host.or(parts.uri.host()).ok_or(Reason::HeadMalformed)?;
    let host = host.split(':').next().unwrap_or(host);
    let mut state = gateway.state();
    if state.version == 0 {
        return Err(Reason::NoPolicy);
    }
    let version = state.version;
    let entry = state.table.find(host, parts.uri.path()).ok_or(Reason::UnknownService)?;
    let service_name = entry.next_service().to_owned();
    let route = &entry.route;
    let object = call.object.as_ref().filter(|_| route.has_affinity);
    let mut terms = Terms {
        route: route.name.clone(),
        version,
        service: ServiceId(0),
        service_name,
        idempotent: route.idempotent,
        attempt_limit: route.attempt_limit,
        aim: route.latency_objective,
        homes: RegionSet::ANY,
        object: object.map(|object| xxh3_64(object.as_bytes())),
        timeout: route.timeout,
    };
    let homes = route.allowed_regions.clone();
    terms.homes = state.fleet.region_set(&homes);
    terms.service = state.fleet.service_id(&terms.service_name);
    let now = clock::now();
    state.repeats(now, &gateway.settings, terms.service).record_request(now);
    Ok(terms)
}

/// Sends a request to targets until one answers or there is nothing more to try.
async fn run(gateway: &Rc<Gateway>, job: Job) -> End {
    let mut tried: Vec<TargetId> = Vec::new();
    let mut attempts: Vec<Value> = Vec::new();
    let mut runs = 0;
    // The last reply or failure of a target that may have run the request.
    let mut last: Option<Result<Box<Reply>, Reason>> = None;
    let (reason, wait) = loop {
        let choice = match next_choice(gateway, &job, &tried) {
            Ok(choice) => choice,
            Err(Refusal::NoTarget) if tried.is_empty() => break (Reason::NoTarget, None),
            Err(Refusal::NoTarget) => break (Reason::Shed, None),
            Err(Refusal::Full(full)) => {
                attempts.push(note_refusal(&job, full));
                break (Reason::DeadlineTooClose, Some(full.retry_after));
            }
        };
        tried.push(choice.target);
        let start = clock::now();
        let count = Count::new(gateway, &choice);
        let timer = async {
            clock::sleep_until(job.deadline).await;
            None
        };
        let attempt = async { Some(attempt(gateway, &job, &choice).await) };
        let outcome = future::or(attempt, timer).await;
        count.close(outcome.as_ref().map_or(AttemptOutcome::TimedOut, Outcome::report));
        // A request that did not leave this machine is no repeat when it goes to another target.
        let has_arrived = !matches!(outcome, Some(Outcome::Unreachable(_) | Outcome::Unsent(_)));
        attempts.push(note_attempt(gateway, &job, &choice, start, outcome.as_ref()));
        match outcome {
            None => break (Reason::DeadlinePassedRunning, None),
            Some(Outcome::Reply(reply)) => {
                runs += 1;
                let is_fault = reply.status.is_server_error();
                last = Some(Ok(reply));
                if !is_fault || !job.terms.idempotent {
                    break (Reason::TargetLost, None);
                }
            }
            Some(Outcome::Lost(_)) => {
                runs += 1;
                last = Some(Err(Reason::TargetLost));
                if !job.terms.idempotent {
                    break (Reason::TargetLost, None);
                }
            }
            Some(Outcome::NotRun(_) | Outcome::Unreachable(_) | Outcome::Unsent(_)) => {}
        }
        if runs >= job.terms.attempt_limit || tried.len() >= SEND_LIMIT {
            break (Reason::Shed, None);
        }
        if has_arrived && !take_repeat(gateway, &job) {
            break (Reason::Shed, None);
        }
    };
    match last {
        Some(Ok(reply)) => End { reason: None, response: pass_on(*reply), attempts },
        Some(Err(lost)) => {
            let reason = if reason == Reason::DeadlinePassedRunning { reason } else { lost };
            End { reason: Some(reason), response: own_reply(reason, None), attempts }
        }
        None => End { reason: Some(reason), response: own_reply(reason, wait), attempts },
    }
}

fn next_choice(gateway: &Gateway, job: &Job, tried: &[TargetId]) -> Result<Choice, Refusal> {
    let now = clock::now();
    let query = Query {
        service: job.terms.service,
        route: xxh3_64(job.terms.route.as_bytes()),
        object: job.terms.object,
        allowed_regions: job.terms.homes,
        tried,
        latency_objective: job.terms.aim,
        time_left: job.deadline.since(now),
    };
    gateway.state().fleet.choose(now, &query)
}

/// The line of a refusal in the log of its request.
fn note_refusal(job: &Job, full: Backlog) -> Value {
    json!({
        "service": job.terms.service_name,
        "config": job.terms.version,
        "targets": full.target_count,
        "expected_ms": full.expected_latency.as_millis(),
        "left_ms": full.time_left.as_millis(),
        "wait_ms": full.retry_after.as_millis(),
        "result": "no slot in time",
    })
}

/// Takes one repeat from the budget that all machines share.
fn take_repeat(gateway: &Gateway, job: &Job) -> bool {
    let now = clock::now();
    let mut state = gateway.state();
    let has_room = state.repeats(now, &gateway.settings, job.terms.service).try_take(now);
    if has_room {
        gateway.metrics.repeats.inc();
    }
    has_room
}

/// The line of one attempt in the log of its request.
fn note_attempt(
    gateway: &Gateway,
    job: &Job,
    choice: &Choice,
    start: Instant,
    outcome: Option<&Outcome>,
) -> Value {
    let result = match outcome {
        None => "timeout".to_owned(),
        Some(Outcome::Reply(reply)) => format!("status {}", reply.status.as_u16()),
        Some(Outcome::NotRun(report)) => format!("not run: {report:?}"),
        Some(Outcome::Unreachable(error)) => format!("not reached: {error}"),
        Some(Outcome::Unsent(error)) => format!("not sent: {error}"),
        Some(Outcome::Lost(error)) => format!("lost: {error}"),
    };
    let state = gateway.state();
    json!({
        "target": state.fleet.target(choice.target).spec.id,
        "service": job.terms.service_name,
        "config": job.terms.version,
        "after_ms": start.since(job.arrived).as_millis(),
        "ms": clock::now().since(start).as_millis(),
        "expected_wait_ms": choice.expected_wait.as_millis(),
        "expected_ms": choice.expected_latency.as_millis(),
        "position": choice.position,
        "kept": choice.is_cached,
        "result": result,
    })
}

/// A target's reply as the caller gets it.
fn pass_on(reply: Reply) -> Response<Body> {
    debug_assert!(!reply.marks.is_not_run);
    let mut response = Response::new(reply.body);
    *response.status_mut() = reply.status;
    *response.headers_mut() = reply.headers;
    response
}

/// Time between two looks at the requests in flight of a stopping process.
pub const STOP_INTERVAL: Duration = Duration::from_millis(20);
