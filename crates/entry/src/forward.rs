//! Requests on their way between entries.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use ebonypass_core::outcome::Reason;
use ebonypass_core::pool::Job;
use ebonypass_core::time::{Instant, Span};
use ebonypass_node::peer::Link;
use ebonypass_node::store::Store;
use ebonypass_node::stream::{Exchange, Incoming};
use ebonypass_node::target::{Body, Head, Reply, Request, Target, WHOLE_REPLY};
use ebonypass_node::trace::{Context as Trace, Span as TraceSpan};
use ebonypass_node::wire::{Forward, Frame, Outcome};
use ebonypass_node::{clock, peer};
use futures_lite::{AsyncRead, AsyncReadExt, future};

use crate::driver::Answer;
use crate::run::InFlight;
use crate::state::Entry;

/// How long after the deadline the other entry is waited for. It answers at the deadline.
const PATIENCE: Span = Span::from_millis(500);

/// Bytes of a streamed body that are passed on at once.
const CHUNK: usize = 16 * 1024;

/// The rest of a long reply, from a target or from another entry.
pub(crate) enum Rest<R> {
    /// From a target.
    Target(R),
    /// From another entry.
    Entry(Incoming),
}

impl<R: AsyncRead + Unpin> AsyncRead for Rest<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        match &mut *self {
            Rest::Target(reader) => Pin::new(reader).poll_read(context, bytes),
            Rest::Entry(reader) => Pin::new(reader).poll_read(context, bytes),
        }
    }
}

/// A request that is to be forwarded.
pub(crate) struct Parcel<'a> {
    pub(crate) member: &'a str,
    pub(crate) request: &'a Request,
    pub(crate) deadline: Instant,
    pub(crate) trace: Trace,
    pub(crate) is_remote: bool,
}

/// Sends a request to another entry and gives its answer. An error says whether a byte was sent.
pub(crate) async fn forward<R>(
    link: &Link,
    parcel: Parcel<'_>,
) -> Result<Answer<Rest<R>>, peer::Error> {
    let span = TraceSpan::new(parcel.trace, "forward");
    let until = parcel.deadline + PATIENCE;
    let exchange = exchange(link, &parcel, span.context());
    let timer = async {
        clock::sleep_until(until).await;
        Err(peer::Error::Lost)
    };
    let result = future::or(exchange, timer).await;
    span.close(match &result {
        Ok(_) => "answered",
        Err(peer::Error::Unsent) => "unsent",
        Err(peer::Error::Lost) => "lost",
    });
    result
}

async fn exchange<R>(
    link: &Link,
    parcel: &Parcel<'_>,
    trace: Trace,
) -> Result<Answer<Rest<R>>, peer::Error> {
    let request = parcel.request;
    let head = Forward {
        member: parcel.member.to_owned(),
        service: request.service.clone(),
        kind: request.kind.clone(),
        left: parcel.deadline.since(clock::now()),
        trace: trace.to_string(),
        content_type: request.content_type.clone(),
        length: request.body.len() as u32,
        is_remote: parcel.is_remote,
    };
    let mut exchange = link.open(&Frame::Forward(head)).await?;
    exchange.write(&request.body).await?;
    exchange.finish()?;
    let (head, length) = match exchange.read().await? {
        Frame::Outcome(Outcome::Failed(reason)) => return Ok(Answer::Failed(reason)),
        Frame::Outcome(Outcome::Answered { status, headers, length }) => {
            (Head { status, headers }, length)
        }
        _ => return Err(peer::Error::Lost),
    };
    let mut reader = exchange.into_reader(length);
    let body = match length {
        Some(length) if length <= WHOLE_REPLY => {
            let mut bytes = vec![0; length as usize];
            reader.read_exact(&mut bytes).await.map_err(|_| peer::Error::Lost)?;
            Body::Whole(bytes)
        }
        length => Body::Stream { length, reader: Rest::Entry(reader) },
    };
    Ok(Answer::Answered(Reply { head, body }))
}

/// Serves a request that another entry has forwarded. It is not forwarded again.
pub(crate) async fn serve_forward<S: Store, T: Target>(
    entry: &Arc<Entry<S, T>>,
    head: Forward,
    mut exchange: Exchange,
) {
    let _in_flight = InFlight::new(&entry.gauges);
    entry.gauges.forwarded.inc();
    let answer = match offer(entry, head, &mut exchange).await {
        Ok(Some(answer)) => answer,
        // The other side has gone, so nobody waits for an answer.
        Ok(None) => return,
        Err(reason) => Answer::Failed(reason),
    };
    // A failure means that the other side has gone or the body was cut; the dropped stream is reset.
    if send_answer(&mut exchange, answer).await.is_err() {
        exchange.reset();
    }
}

async fn offer<S: Store, T: Target>(
    entry: &Arc<Entry<S, T>>,
    head: Forward,
    exchange: &mut Exchange,
) -> Result<Option<Answer<T::Reader>>, Reason> {
    let view = entry.view()?;
    let terms = view.terms(&head.member, &head.service, &head.kind)?;
    if head.length as usize > entry.settings.limits.body_bytes {
        return Err(Reason::BodyTooLarge);
    }
    let Ok(body) = exchange.read_body(head.length as usize).await else { return Ok(None) };
    let trace = Trace::from_header(Some(&head.trace));
    let request = Arc::new(Request {
        service: head.service,
        kind: head.kind,
        idempotent: terms.idempotent,
        body,
        content_type: head.content_type,
    });
    let job =
        Job { flow: terms.flow, deadline: clock::now() + head.left, idempotent: terms.idempotent };
    let waiting = entry.pool(&request.service).offer(job, request, trace)?;
    // When the other side goes away, dropping `waiting` tells the pool.
    let answer = async { Some(waiting.answer().await) };
    let stopped = async {
        exchange.stopped().await;
        None
    };
    Ok(future::or(answer, stopped).await)
}

async fn send_answer<R: AsyncRead + Unpin>(
    exchange: &mut Exchange,
    answer: Answer<R>,
) -> Result<(), peer::Error> {
    let reply = match answer {
        Answer::Failed(reason) => {
            exchange.send(&Frame::Outcome(Outcome::Failed(reason))).await?;
            return exchange.finish();
        }
        Answer::Answered(reply) => reply,
    };
    let length = match &reply.body {
        Body::Whole(bytes) => Some(bytes.len() as u64),
        Body::Stream { length, .. } => *length,
    };
    let Head { status, headers } = reply.head;
    let head = Outcome::Answered { status, headers, length };
    exchange.send(&Frame::Outcome(head)).await?;
    match reply.body {
        Body::Whole(bytes) => exchange.write(&bytes).await?,
        Body::Stream { mut reader, .. } => {
            let mut chunk = vec![0; CHUNK];
            loop {
                let len = reader.read(&mut chunk).await.map_err(|_| peer::Error::Lost)?;
                if len == 0 {
                    break;
                }
                exchange.write(&chunk[..len]).await?;
            }
        }
    }
    exchange.finish()
}
