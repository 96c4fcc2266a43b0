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
use ebonypass_node::wire::{Forward, Frame, Hello, Outcome, encode};
use ebonypass_node::{clock, peer};
use futures_lite::{AsyncRead, AsyncReadExt, future};

use crate::afar::Visit;
use crate::driver::Answer;
use crate::egress::{Egress, MAX_CHUNK_BYTES};
use crate::run::InFlight;
use crate::state::Entry;

/// How long after the deadline the other entry is waited for. It answers at the deadline.
const PATIENCE: Span = Span::from_millis(500);

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
    /// Whether the client belongs to another region and came here because its own is gone.
    pub(crate) is_visit: bool,
    /// The links and the region to which it goes, if that is another one.
    pub(crate) way: Option<(&'a Egress, &'a str)>,
}

/// Sends the bytes of `body`, at the pace of the link if they leave the region.
async fn send_body(
    exchange: &mut Exchange,
    way: Option<(&Egress, &str)>,
    mut body: &[u8],
) -> Result<(), peer::Error> {
    let Some((border, region)) = way else { return exchange.write(body).await };
    while !body.is_empty() {
        let granted = border.acquire(region, body.len().min(MAX_CHUNK_BYTES)).await;
        let (now, rest) = body.split_at(granted);
        exchange.write(now).await?;
        body = rest;
    }
    Ok(())
}

/// Waits until a head of `frame` may leave the region.
async fn pace_head(way: Option<(&Egress, &str)>, frame: &Frame) {
    let Some((border, region)) = way else { return };
    let mut rest = encode(frame).map_or(0, |bytes| bytes.len());
    while rest > 0 {
        rest -= border.acquire(region, rest).await;
    }
}

/// Sends a request to another entry and gives its answer. An error says whether a byte was sent.
pub(crate) async fn forward<R>(
    link: &Link,
    parcel: Parcel<'_>,
) -> Result<Answer<Rest<R>>, peer::Error> {
    let span = TraceSpan::new(parcel.trace, "forward");
    let result = attempt(link, &parcel, span.context()).await;
    span.close(match &result {
        Ok(_) => "answered",
        Err(peer::Error::Unsent) => "unsent",
        Err(peer::Error::Lost) => "lost",
    });
    result
}

async fn attempt<R>(
    link: &Link,
    parcel: &Parcel<'_>,
    trace: Trace,
) -> Result<Answer<Rest<R>>, peer::Error> {
    let head = Frame::Forward(forward_head(parcel, trace));
    let paced = async {
        pace_head(parcel.way, &head).await;
        Ok(())
    };
    // Nothing has been sent while the head waits for the link.
    let timer = async {
        clock::sleep_until(parcel.deadline).await;
        Err(peer::Error::Unsent)
    };
    future::or(paced, timer).await?;
    let timer = async {
        clock::sleep_until(parcel.deadline + PATIENCE).await;
        Err(peer::Error::Lost)
    };
    future::or(exchange(link, parcel, &head), timer).await
}

fn forward_head(parcel: &Parcel<'_>, trace: Trace) -> Forward {
    let request = parcel.request;
    Forward {
        member: parcel.member.to_owned(),
        service: request.service.clone(),
        kind: request.kind.clone(),
        left: parcel.deadline.since(clock::now()),
        trace: trace.to_string(),
        content_type: request.content_type.clone(),
        length: request.body.len() as u32,
        is_remote: parcel.way.is_some(),
        is_visit: parcel.is_visit,
    }
}

async fn exchange<R>(
    link: &Link,
    parcel: &Parcel<'_>,
    head: &Frame,
) -> Result<Answer<Rest<R>>, peer::Error> {
    let mut exchange = link.open(head).await?;
    send_body(&mut exchange, parcel.way, &parcel.request.body).await?;
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
    from: &Hello,
    head: Forward,
    mut exchange: Exchange,
) {
    let _in_flight = InFlight::new(&entry.metrics);
    let _visit =
        head.is_remote.then(|| Visit::new(&**entry, &from.process, &head.service)).flatten();
    let region = other_region(entry, from);
    let way = region.as_deref().map(|region| (&entry.egress, region));
    entry.metrics.forwarded.inc();
    let answer = match offer(entry, head, &mut exchange).await {
        Ok(Some(answer)) => answer,
        // The other side has gone, so nobody waits for an answer.
        Ok(None) => return,
        Err(reason) => Answer::Failed(reason),
    };
    // A failure means that the other side has gone or the body was cut; the dropped stream is reset.
    if send_answer(&mut exchange, way, answer).await.is_err() {
        exchange.reset();
    }
}

/// The name of the region of `from`, if it is not the own one.
fn other_region<S: Store, T: Target>(entry: &Entry<S, T>, from: &Hello) -> Option<String> {
    let view = entry.view().ok()?;
    let own = view.region_of(&entry.settings.data_centre)?;
    let other = view.region_of(&from.data_centre).filter(|region| *region != own)?;
    Some(view.document.regions[other].name.clone())
}

async fn offer<S: Store, T: Target>(
    entry: &Arc<Entry<S, T>>,
    head: Forward,
    exchange: &mut Exchange,
) -> Result<Option<Answer<T::Reader>>, Reason> {
    let view = entry.view()?;
    let terms = view.request_policy(&head.member, &head.service, &head.kind)?;
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
    let driver = entry.pool(&request.service);
    if head.is_visit {
        driver.note_visit(job.deadline);
    }
    let waiting = driver.offer(job, request, trace, head.is_remote)?;
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
    way: Option<(&Egress, &str)>,
    answer: Answer<R>,
) -> Result<(), peer::Error> {
    let reply = match answer {
        Answer::Failed(reason) => {
            let head = Frame::Outcome(Outcome::Failed(reason));
            pace_head(way, &head).await;
            exchange.send(&head).await?;
            return exchange.finish();
        }
        Answer::Answered(reply) => reply,
    };
    let length = match &reply.body {
        Body::Whole(bytes) => Some(bytes.len() as u64),
        Body::Stream { length, .. } => *length,
    };
    let Head { status, headers } = reply.head;
    let head = Frame::Outcome(Outcome::Answered { status, headers, length });
    pace_head(way, &head).await;
    exchange.send(&head).await?;
    match reply.body {
        Body::Whole(bytes) => send_body(exchange, way, &bytes).await?,
        Body::Stream { mut reader, .. } => {
            let mut chunk = vec![0; MAX_CHUNK_BYTES];
            loop {
                let len = reader.read(&mut chunk).await.map_err(|_| peer::Error::Lost)?;
                if len == 0 {
                    break;
                }
                send_body(exchange, way, &chunk[..len]).await?;
            }
        }
    }
    exchange.finish()
}
