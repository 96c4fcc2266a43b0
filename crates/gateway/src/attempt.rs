//! Sends a request to one target, and reads and validates the reply.

use std::rc::Rc;
use std::time::SystemTime;

use ebonypass_core::availability::State;
use ebonypass_core::balancer::{self, Choice};
use ebonypass_core::id::TargetId;
use ebonypass_core::time::Span;
use ebonypass_node::clock;
use ebonypass_node::event::Event;
use ebonypass_platform::header::{self, ReplyMetadata, RetryAfter};
use http_body::Body as HttpBody;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri, header as http_header};
use serde_json::json;
use smol::Timer;

use crate::body::{Body, Rest, Source};
use crate::budget::{Memory, Reservation, Transfer};
use crate::connection::{
    Connection, Error as ConnectionError, LARGE_REPLY_BYTES, error_with_source,
};
use crate::gateway::Gateway;
use crate::payload::{Collector, Payload};
use crate::pool;
use crate::request::Job;
use crate::request::access::may_send;

/// Reply bytes buffered before the head is forwarded. A reply that is truncated within them can be
/// retried or reported as failed; a longer one is streamed.
const MAX_BUFFERED_REPLY_BYTES: usize = 256 << 10;

/// A reply larger than this is read in larger parts.
const SMALL_REPLY_BYTES: usize = 8 << 10;

/// A target's reply, fully buffered or with a streamed rest.
pub(crate) struct Reply {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) metadata: ReplyMetadata,
    pub(crate) body: Body,
}

/// The result of one attempt.
pub(crate) enum Outcome {
    /// A valid reply that can be forwarded.
    Reply(Box<Reply>),
    /// The target reported that it did not run the request.
    NotRun(balancer::Outcome),
    /// The connection could not be opened.
    Unreachable(String),
    /// Nothing was sent, for a reason unrelated to the target's health.
    Unsent(String),
    /// No valid reply arrived; the request may have run.
    Lost(String),
}

impl Outcome {
    /// The outcome that updates the balancer's view of the target.
    pub(crate) fn balancer_outcome(&self) -> balancer::Outcome {
        match self {
            Outcome::Reply(reply) if reply.status.is_server_error() => balancer::Outcome::Lost,
            Outcome::Reply(_) => balancer::Outcome::Answered,
            Outcome::NotRun(outcome) => *outcome,
            Outcome::Unreachable(_) => balancer::Outcome::Unreachable,
            Outcome::Unsent(_) => balancer::Outcome::Cancelled,
            Outcome::Lost(_) => balancer::Outcome::Lost,
        }
    }
}

/// Sends a request to one target and reads its reply, reusing an idle connection if possible.
pub(crate) async fn send_attempt(
    gateway: &Rc<Gateway>,
    job: &Job,
    choice: &Choice,
    transfer: Transfer,
) -> Outcome {
    let target = choice.target;
    let (name, address) = {
        let state = gateway.state();
        let spec = &state.balancer.target(target).spec;
        (spec.id.clone(), spec.address)
    };
    let checkout = match gateway.pool.checkout(target, address).await {
        Ok(checkout) => checkout,
        Err(error) => return Outcome::Unreachable(error),
    };
    if let pool::Origin::New(connect) = checkout.origin {
        gateway.metrics.connects.inc();
        gateway.state().balancer.record_round_trip(target, connect);
    }
    if !gateway.state().balancer.may_send(clock::now(), target) {
        return Outcome::Unsent(
            "the target stopped taking requests while the connection was opened".to_owned(),
        );
    }
    if !may_send(gateway, job) {
        return Outcome::Unsent(
            "the tenant of the request changed while the connection was opened".to_owned(),
        );
    }
    let mut request = Request::new(job.body.clone());
    *request.method_mut() = job.method.clone();
    *request.uri_mut() = origin_form(&job.uri);
    *request.headers_mut() = job.headers.clone();
    let time_left = job.deadline.since(clock::now());
    header::set_target_headers(&mut request, time_left, &name);
    let is_reused = matches!(checkout.origin, pool::Origin::Reused(_));
    let mut connection = checkout.connection;
    let start = clock::now();
    let response = match connection.send(request).await {
        Ok(response) => response,
        Err(ConnectionError::Unsent(error)) => return Outcome::Unsent(error),
        Err(ConnectionError::Lost(error)) => {
            let elapsed = clock::now().since(start);
            if gateway.pool.record_loss(target, checkout.origin, elapsed) {
                let fields = json!({ "target": name, "ms": elapsed.as_millis(), "error": error });
                gateway.log.record(Event::ConnectionsSuspect, fields);
            }
            return Outcome::Lost(error);
        }
    };
    read_reply(gateway, job, choice, (connection, is_reused), response, transfer).await
}

/// The URI in origin form: path and query only.
fn origin_form(uri: &Uri) -> Uri {
    uri.path_and_query().map_or_else(Uri::default, |path| Uri::from(path.clone()))
}

/// Reads and validates a target's reply.
async fn read_reply(
    gateway: &Rc<Gateway>,
    job: &Job,
    choice: &Choice,
    (connection, is_reused): (Connection, bool),
    response: Response<Incoming>,
    transfer: Transfer,
) -> Outcome {
    let (parts, mut rest) = response.into_parts();
    if !is_final_status(parts.status) {
        return Outcome::Lost(format!("{} is no status of a reply", parts.status.as_u16()));
    }
    let metadata = header::scan_reply_metadata(parts.status, &parts.headers, SystemTime::now());
    let target = choice.target;
    record_availability(gateway, choice, &metadata);
    if let Some(load) = metadata.load {
        gateway.state().balancer.record_load(clock::now(), target, load);
    }
    // On a connection that was used before, a reply without an id may be a late copy of an earlier
    // one.
    let is_mismatched = metadata
        .id
        .as_ref()
        .map_or(metadata.has_signature || is_reused, |id| *id != job.metadata.id);
    if is_mismatched {
        return Outcome::Lost("the reply is for another request".to_owned());
    }
    let mut source = Source { connection, memory: None };
    let (start, reservation, is_whole) = match read_start(gateway, &mut rest, &mut source).await {
        Ok(start) => start,
        Err(_) if metadata.is_not_run => return Outcome::NotRun(balancer::Outcome::Shed),
        Err(error) => return Outcome::Lost(error_with_source(&error)),
    };
    if metadata.is_not_run {
        put_back(gateway, target, source, metadata.idle_timeout);
        return Outcome::NotRun(if metadata.is_misdirected {
            balancer::Outcome::Gone
        } else {
            balancer::Outcome::Shed
        });
    }
    let is_valid = metadata.has_signature && !metadata.is_encoded;
    if parts.status.is_success() && !is_valid {
        return Outcome::Lost("the reply has no target signature or is content-encoded".to_owned());
    }
    if !job.route.idempotent && promises_not_run(parts.status) {
        return Outcome::Lost(format!("{} without saying that it did not run", parts.status));
    }
    let mut headers = header::end_to_end_headers(&parts.headers);
    if job.method == Method::HEAD
        && let Some(length) = parts.headers.get(http_header::CONTENT_LENGTH)
    {
        headers.insert(http_header::CONTENT_LENGTH, length.clone());
    }
    let body = if is_whole {
        let is_reusable = !is_closing(&parts.headers);
        if is_reusable {
            put_back(gateway, target, source, metadata.idle_timeout);
        }
        Body::held(start, Memory::new(Some(reservation), Some(transfer)))
    } else {
        let time_left = job.deadline.since(clock::now());
        let deadline = Timer::after(clock::duration(time_left));
        let start = (start, reservation);
        Body::Stream(Box::new(Rest::new(gateway, start, rest, source, deadline, transfer)))
    };
    Outcome::Reply(Box::new(Reply { status: parts.status, headers, metadata, body }))
}

/// Whether a reply with this status ends a request. The HTTP library accepts statuses up to 999 and
/// hands over 101, which no request asks for.
fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Whether a caller takes a reply with this status for a statement that the request did not run.
fn promises_not_run(status: StatusCode) -> bool {
    let statuses = [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ];
    statuses.contains(&status)
}

/// Records what the head of a reply says of whether its target takes requests.
fn record_availability(gateway: &Gateway, choice: &Choice, metadata: &ReplyMetadata) {
    let (target, lifetime) = (choice.target, choice.lifetime);
    let name = || gateway.state().balancer.target(target).spec.id.clone();
    if metadata.is_leaving && gateway.state().balancer.record_leaving(target, lifetime) {
        gateway.pool.close_target(target);
        gateway.log.record(Event::TargetLeaving, json!({ "target": name(), "source": "reply" }));
    }
    match &metadata.retry_after {
        Some(RetryAfter::Wait(wait)) if *wait > Span::ZERO => {
            gateway.state().balancer.record_refusal(clock::now(), target, lifetime, *wait);
            let fields = json!({ "target": name(), "wait_ms": wait.as_millis() });
            gateway.log.record(Event::TargetRefusing, fields);
        }
        Some(RetryAfter::Malformed(text)) => {
            let fields = json!({ "target": name(), "malformed": text });
            gateway.log.record(Event::TargetRefusing, fields);
        }
        Some(RetryAfter::Wait(_)) | None => {}
    }
}

/// Keeps a connection for further requests, unless its target takes none in this lifetime.
fn put_back(gateway: &Gateway, target: TargetId, source: Source, idle_timeout: Option<Span>) {
    if source.memory.is_some() {
        source.connection.set_large_reply(false);
    }
    let state = gateway.state().balancer.target(target).availability().state(clock::now());
    if !matches!(state, State::Leaving | State::Gone) {
        gateway.pool.put_back(target, source.connection, idle_timeout);
    }
}

fn is_closing(headers: &HeaderMap) -> bool {
    let values = headers.get_all(http_header::CONNECTION).iter();
    values
        .filter_map(|value| value.to_str().ok())
        .any(|value| value.to_ascii_lowercase().contains("close"))
}

/// Reads up to about [`MAX_BUFFERED_REPLY_BYTES`] of a body, or less if there is no memory for it.
/// The flag is true if the body is complete.
async fn read_start(
    gateway: &Gateway,
    body: &mut Incoming,
    source: &mut Source,
) -> Result<(Payload, Reservation, bool), hyper::Error> {
    let mut reservation = gateway.bodies.reservation();
    let mut start = Collector::default();
    if body.size_hint().lower() > SMALL_REPLY_BYTES as u64 {
        read_large_parts(source, &reservation);
    }
    while start.length() < MAX_BUFFERED_REPLY_BYTES {
        let Some(frame) = body.frame().await else {
            return Ok((start.finish(), reservation, true));
        };
        if let Ok(data) = frame?.into_data() {
            let capacity = start.capacity_with(data.len(), usize::MAX);
            let is_free = reservation.try_grow_reply(capacity);
            start.push(&data, usize::MAX);
            // What was read without a reservation is covered by the `Transfer`.
            if !is_free {
                break;
            }
            if source.memory.is_none() && start.length() > SMALL_REPLY_BYTES {
                read_large_parts(source, &reservation);
            }
        }
    }
    let is_whole = body.is_end_stream();
    Ok((start.finish(), reservation, is_whole))
}

/// Reads a large reply in larger parts if there is memory for them.
fn read_large_parts(source: &mut Source, reservation: &Reservation) {
    let mut memory = reservation.sibling();
    if memory.try_grow_reply(LARGE_REPLY_BYTES) {
        source.connection.set_large_reply(true);
        source.memory = Some(memory);
    }
}
