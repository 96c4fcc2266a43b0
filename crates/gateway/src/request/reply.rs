//! The gateway's own replies, and the record of how each request ended.

use ebonypass_core::outcome::Reason;
use ebonypass_core::time::Span;
use ebonypass_node::clock;
use ebonypass_node::event::Event;
use ebonypass_platform::header;
use hyper::{Response, StatusCode};
use serde_json::json;

use super::{Completion, Summary};
use crate::body::Body;
use crate::gateway::Gateway;
use crate::metric::{Ending, RequestLabels, RouteLabels, TenantLabels};

/// Bounds of the Retry-After time, before jitter. A time that targets have asked for may be longer.
const MIN_RETRY_AFTER: Span = Span::from_millis(150);
pub(super) const MAX_RETRY_AFTER: Span = Span::from_millis(2_000);

pub(super) fn labels(route: String, ending: Ending, reason: Option<Reason>) -> RequestLabels {
    RequestLabels { route, ending, code: reason.map_or(0, Reason::code) }
}

/// The HTTP status of the gateway's own reply for `reason`. 400, 401, 404, 413, 429 and 503 tell
/// the caller that the request did not run.
fn reply_status(reason: Reason) -> StatusCode {
    match reason {
        Reason::UnknownService => StatusCode::NOT_FOUND,
        Reason::CredentialUnknown => StatusCode::UNAUTHORIZED,
        Reason::AllotmentExhausted => StatusCode::TOO_MANY_REQUESTS,
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
    if reason == Reason::CredentialUnknown {
        let (name, value) = header::challenge_header();
        response.headers_mut().insert(name, value);
    }
    let has_retry_time = [StatusCode::SERVICE_UNAVAILABLE, StatusCode::TOO_MANY_REQUESTS];
    if has_retry_time.contains(&response.status()) {
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
    summary: &Summary,
    age: Span,
    completion: &Completion,
) {
    let is_late = age > summary.latency_objective;
    let ending = match completion.reason {
        Some(reason) => failure_ending(reason),
        None if is_late => Ending::Late,
        None => Ending::Answered,
    };
    let (metrics, route) = (&gateway.metrics, &summary.route);
    count_tenant(gateway, summary.tenant.as_deref(), ending, completion.reason);
    metrics.requests.get_or_create(&labels(route.clone(), ending, completion.reason)).inc();
    let latency = metrics.latency.get_or_create(&RouteLabels { route: route.clone() });
    latency.observe(age.as_micros() as f64 / 1e6);
    let is_ordinary = ending == Ending::Answered && completion.attempts.len() <= 1;
    if is_ordinary && !gateway.log.should_sample() {
        return;
    }
    // Callers without a valid key must not fill the log.
    let is_tenant_refusal = completion.reason.is_some_and(Reason::is_tenant_refusal);
    if is_tenant_refusal && !gateway.log.may_record_tenant_refusal(clock::now()) {
        return;
    }
    let event = match ending {
        Ending::Refused => Event::RequestRefused,
        Ending::Failed => Event::RequestFailed,
        _ => Event::RequestAnswered,
    };
    let mut fields = json!({
        "request": summary.id,
        "route": route,
        "status": completion.response.status().as_u16(),
        "code": completion.reason.map(Reason::code),
        "ms": age.as_millis(),
        "late": is_late,
        "attempts": completion.attempts,
    });
    if let Some(tenant) = &summary.tenant {
        fields["tenant"] = tenant.as_str().into();
        fields["priority"] = summary.priority.into();
    }
    gateway.log.record(event, fields);
}

/// Counts a finished request of a tenant.
pub(super) fn count_tenant(
    gateway: &Gateway,
    tenant: Option<&str>,
    ending: Ending,
    reason: Option<Reason>,
) {
    if let Some(tenant) = tenant {
        let code = reason.map_or(0, Reason::code);
        let labels = TenantLabels { tenant: tenant.to_owned(), ending, code };
        gateway.metrics.tenant_requests.get_or_create(&labels).inc();
    }
}
