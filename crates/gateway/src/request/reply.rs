//! The gateway's own replies, and the record of how each request ended.

use ebonypass_core::outcome::Reason;
use ebonypass_core::time::Span;
use ebonypass_node::event::Event;
use ebonypass_platform::header;
use hyper::{Response, StatusCode};
use serde_json::json;

use super::Completion;
use crate::body::Body;
use crate::gateway::Gateway;
use crate::metric::{Ending, RequestLabels, RouteLabels};

/// Bounds of the Retry-After time, before jitter. A time that targets have asked for may be longer.
const MIN_RETRY_AFTER: Span = Span::from_millis(150);
pub(super) const MAX_RETRY_AFTER: Span = Span::from_millis(2_000);

pub(super) fn labels(route: String, ending: Ending, reason: Option<Reason>) -> RequestLabels {
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
pub(super) fn error_reply(reason: Reason, retry_after: Option<Span>) -> Response<Body> {
    let mut response = Response::new(Body::empty());
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

pub(super) fn record_completion(
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
