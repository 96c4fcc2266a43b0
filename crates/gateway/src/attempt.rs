//! One attempt: a request is sent to a target, and its reply is read and checked.

use std::rc::Rc;

use bytes::Bytes;
use ebonypass_core::fleet::{Choice, Report};
use ebonypass_core::id::TargetId;
use ebonypass_node::clock;
use ebonypass_node::event::Event;
use ebonypass_platform::header::{self, Marks};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri, header as http_header};
use serde_json::json;

use crate::body::Body;
use crate::exchange::{Connection, Error as ExchangeError, describe};
use crate::gateway::Gateway;
use crate::request::Job;
use crate::upstream::Origin;

/// Bytes of a reply that are read before its head is passed on. A reply that breaks off within them
/// is repeated or failed; a longer one is passed on as it comes.
const WHOLE_BYTES: usize = 256 << 10;

/// A target's whole reply, or its start.
pub(crate) struct Reply {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) marks: Marks,
    pub(crate) body: Body,
}

/// What became of one attempt.
pub(crate) enum Outcome {
    /// A reply that can be passed on.
    Reply(Box<Reply>),
    /// The target said that it did not run the request.
    NotRun(Report),
    /// No connection could be made.
    Unreachable(String),
    /// No byte was sent, for a reason that says nothing about the target.
    Unsent(String),
    /// The request may have run.
    Lost(String),
}

impl Outcome {
    /// What the outcome says about the target.
    pub(crate) fn report(&self) -> Report {
        match self {
            Outcome::Reply(reply) if reply.status.is_server_error() => Report::Lost,
            Outcome::Reply(_) => Report::Answered,
            Outcome::NotRun(report) => *report,
            Outcome::Unreachable(_) => Report::Unreachable,
            Outcome::Unsent(_) => Report::Cancelled,
            Outcome::Lost(_) => Report::Lost,
        }
    }
}

/// Sends a request to one target and reads its reply.
pub(crate) async fn attempt(gateway: &Rc<Gateway>, job: &Job, choice: &Choice) -> Outcome {
    let target = choice.target;
    let (name, address) = {
        let state = gateway.state();
        let spec = &state.fleet.target(target).spec;
        (spec.id.clone(), spec.address)
    };
    let lease = match gateway.upstream.open(target, address).await {
        Ok(lease) => lease,
        Err(error) => return Outcome::Unreachable(error),
    };
    if let Origin::Made(connect) = lease.origin {
        gateway.metrics.connects.inc();
        gateway.state().fleet.note_way(target, connect);
    }
    if !gateway.state().fleet.may_send(target) {
        return Outcome::Unsent("target left while connecting".to_owned());
    }
    let mut request = Request::new(Full::new(job.body.clone()));
    *request.method_mut() = job.method.clone();
    *request.uri_mut() = origin_form(&job.uri);
    *request.headers_mut() = job.headers.clone();
    let left = job.deadline.since(clock::now());
    header::address(&mut request, left, &name);
    let mut connection = lease.connection;
    let start = clock::now();
    let response = match connection.send(request).await {
        Ok(response) => response,
        Err(ExchangeError::Unsent(error)) => return Outcome::Unsent(error),
        Err(ExchangeError::Lost(error)) => {
            let time = clock::now().since(start);
            if gateway.upstream.note_loss(target, lease.origin, time) {
                let fields = json!({ "target": name, "ms": time.as_millis(), "error": error });
                gateway.log.note(Event::ConnectionsSuspect, fields);
            }
            return Outcome::Lost(error);
        }
    };
    receive(gateway, job, target, connection, response).await
}

/// The path and query, as a request to a target names its resource.
fn origin_form(uri: &Uri) -> Uri {
    uri.path_and_query().map_or_else(Uri::default, |path| Uri::from(path.clone()))
}

/// Reads and checks a target's reply.
async fn receive(
    gateway: &Rc<Gateway>,
    job: &Job,
    target: TargetId,
    connection: Connection,
    response: Response<Incoming>,
) -> Outcome {
    let (parts, mut rest) = response.into_parts();
    let marks = header::scan_marks(parts.status, &parts.headers);
    if let Some(load) = marks.load {
        gateway.state().fleet.note_load(clock::now(), target, load);
    }
    let is_foreign = marks.id.as_ref().map_or(marks.has_digest, |id| *id != job.call.id);
    if is_foreign {
        return Outcome::Lost("the reply belongs to another request".to_owned());
    }
    let (start, is_whole) = match read_start(&mut rest).await {
        Ok(start) => start,
        Err(_) if marks.is_not_run => return Outcome::NotRun(Report::Shed),
        Err(error) => return Outcome::Lost(describe(&error)),
    };
    if marks.is_not_run {
        gateway.upstream.keep(target, connection, marks.idle);
        return Outcome::NotRun(if marks.is_misplaced { Report::Gone } else { Report::Shed });
    }
    let is_sound = marks.has_digest && !marks.is_encoded;
    if parts.status.is_success() && !is_sound {
        return Outcome::Lost("the reply bears no digest".to_owned());
    }
    let mut headers = header::forwarded(&parts.headers);
    if job.method == Method::HEAD
        && let Some(length) = parts.headers.get(http_header::CONTENT_LENGTH)
    {
        headers.insert(http_header::CONTENT_LENGTH, length.clone());
    }
    let body = if is_whole {
        let is_kept = !is_closing(&parts.headers);
        if is_kept {
            gateway.upstream.keep(target, connection, marks.idle);
        }
        Body::whole(start)
    } else {
        Body::Stream { start: Some(start), rest, _connection: connection }
    };
    Outcome::Reply(Box::new(Reply { status: parts.status, headers, marks, body }))
}

fn is_closing(headers: &HeaderMap) -> bool {
    let values = headers.get_all(http_header::CONNECTION).iter();
    values
        .filter_map(|value| value.to_str().ok())
        .any(|value| value.to_ascii_lowercase().contains("close"))
}

/// Reads the start of a body, and whether that is all of it.
async fn read_start(body: &mut Incoming) -> Result<(Bytes, bool), hyper::Error> {
    let mut start: Vec<Bytes> = Vec::new();
    let mut length = 0;
    while length < WHOLE_BYTES {
        let Some(frame) = body.frame().await else {
            return Ok((join(start), true));
        };
        if let Ok(data) = frame?.into_data() {
            length += data.len();
            start.push(data);
        }
    }
    Ok((join(start), false))
}

fn join(mut parts: Vec<Bytes>) -> Bytes {
    match parts.len() {
        0 => Bytes::new(),
        1 => parts.remove(0),
        _ => Bytes::from(parts.concat()),
    }
}
