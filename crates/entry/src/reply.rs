//! Replies to callers.

use ebonypass_core::outcome::{Outcome, Reason};
use ebonypass_node::event::{Event, note};
use ebonypass_node::target::{Body, Reply};
use futures_lite::AsyncRead;
use trillium::{Conn, Status};

use crate::metric::{Metrics, ReplyLabels};

/// The reply header with the outcome.
pub(crate) const OUTCOME: &str = "ebonypass-outcome";
/// The reply header with the code.
pub(crate) const CODE: &str = "ebonypass-code";

/// The reply header that tells what is known of the first use of a request key.
pub(crate) const PRIOR: &str = "ebonypass-prior";

/// A reply without an answer: `reason` and its outcome, with `status`.
pub(crate) fn refuse(conn: Conn, gauges: &Metrics, status: Status, reason: Reason) -> Conn {
    let outcome = reason.outcome().as_str();
    let count = gauges.replies.get_or_create(&ReplyLabels { outcome, code: reason.code() }).inc();
    // Faults of the caller are logged at each power of two, so that a faulty caller does not fill
    // the log.
    if status.is_client_error() && (count + 1).is_power_of_two() {
        note(Event::CallerRefused, format_args!("{reason}, {} so far", count + 1));
    }
    conn.with_status(status)
        .with_response_header(OUTCOME, outcome)
        .with_response_header(CODE, format!("EP-{:04}", reason.code()))
        .with_response_header("content-type", "text/plain; charset=utf-8")
        .with_body(format!("{reason}\n"))
        .halt()
}

/// The target's reply.
pub(crate) fn answer<B>(mut conn: Conn, gauges: &Metrics, reply: Reply<B>) -> Conn
where
    B: AsyncRead + Send + 'static,
{
    let outcome = Outcome::Answered.as_str();
    gauges.replies.get_or_create(&ReplyLabels { outcome, code: 0 }).inc();
    for (name, value) in reply.head.headers {
        conn.response_headers_mut().append(name, value);
    }
    let body = match reply.body {
        Body::Whole(bytes) => bytes.into(),
        Body::Stream { length, reader } => trillium::Body::new_streaming(reader, length),
    };
    conn.with_status(reply.head.status)
        .with_response_header(OUTCOME, outcome)
        .with_body(body)
        .halt()
}

/// The status of a run request that was refused or failed.
pub(crate) fn run_status(reason: Reason) -> Status {
    match reason {
        Reason::UnknownService | Reason::UnknownMember | Reason::UnknownKind => Status::NotFound,
        Reason::UnknownBlock | Reason::MemberNotAllowed => Status::NotFound,
        Reason::KeyMissing | Reason::KeyMalformed | Reason::HeadMalformed => Status::BadRequest,
        Reason::BodyTooLarge => Status::PayloadTooLarge,
        Reason::KeyRepeated => Status::Conflict,
        reason if reason.outcome() == Outcome::Unknown => Status::BadGateway,
        _ => Status::ServiceUnavailable,
    }
}
