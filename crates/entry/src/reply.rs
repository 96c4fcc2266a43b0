//! Replies to callers.

use ebonypass_core::outcome::{Outcome, Reason};
use ebonypass_node::event::{Event, emit};
use ebonypass_node::target::{Body, Reply};
use futures_lite::AsyncRead;
use trillium::{Conn, Status};

use crate::metric::{Metrics, ReplyLabels};

/// Reply header: the outcome.
pub(crate) const OUTCOME_HEADER: &str = "ebonypass-outcome";
/// Reply header: the code of the reason, if there is no answer.
pub(crate) const CODE_HEADER: &str = "ebonypass-code";

/// Reply header: the state of the earlier request that used the same key.
pub(crate) const PRIOR_HEADER: &str = "ebonypass-prior";

/// Replies with `status`, `reason` and its outcome.
pub(crate) fn refuse(conn: Conn, metrics: &Metrics, status: Status, reason: Reason) -> Conn {
    let outcome = reason.outcome().as_str();
    let earlier =
        metrics.replies.get_or_create(&ReplyLabels { outcome, code: reason.code() }).inc();
    // Caller errors are logged at each power of two, so that a faulty caller does not flood the
    // log.
    if status.is_client_error() && (earlier + 1).is_power_of_two() {
        emit(Event::CallerRefused, format_args!("{reason}, {} so far", earlier + 1));
    }
    conn.with_status(status)
        .with_response_header(OUTCOME_HEADER, outcome)
        .with_response_header(CODE_HEADER, format!("EP-{:04}", reason.code()))
        .with_response_header("content-type", "text/plain; charset=utf-8")
        .with_body(format!("{reason}\n"))
        .halt()
}

/// Passes on a target's reply.
pub(crate) fn answer<B>(mut conn: Conn, metrics: &Metrics, reply: Reply<B>) -> Conn
where
    B: AsyncRead + Send + 'static,
{
    let outcome = Outcome::Answered.as_str();
    metrics.replies.get_or_create(&ReplyLabels { outcome, code: 0 }).inc();
    for (name, value) in reply.head.headers {
        conn.response_headers_mut().append(name, value);
    }
    let body = match reply.body {
        Body::Buffered(bytes) => bytes.into(),
        Body::Streamed { length, reader } => trillium::Body::new_streaming(reader, length),
    };
    conn.with_status(reply.head.status)
        .with_response_header(OUTCOME_HEADER, outcome)
        .with_body(body)
        .halt()
}

/// The HTTP status of a run request that was refused or failed.
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
