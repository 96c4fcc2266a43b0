//! Forwards requests from one entry to another.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use ebonypass_core::outcome::Reason;
use ebonypass_core::pool::Job;
use ebonypass_core::time::{Instant, Span};
use ebonypass_node::peer::Link;
use ebonypass_node::store::Store;
use ebonypass_node::stream::{Exchange, Reader};
use ebonypass_node::target::{Body, Head, MAX_BUFFERED_REPLY_BYTES, Reply, Request, Target};
use ebonypass_node::trace::{Context as Trace, Span as TraceSpan};
use ebonypass_node::wire::{Forward, Frame, Hello, Outcome, encode};
use ebonypass_node::{clock, peer};
use futures_lite::{AsyncRead, AsyncReadExt, future};

use crate::driver::Answer;
use crate::egress::{Egress, MAX_CHUNK_BYTES};
use crate::remote::Inbound;
use crate::run::InFlight;
use crate::state::Entry;

/// Time after the deadline for the reply to arrive. The other entry sends it at the deadline.
const REPLY_GRACE: Span = Span::from_millis(500);

/// Reads the body of a streamed reply.
pub(crate) enum BodyReader<R> {
    /// From a target.
    Target(R),
    /// From another entry.
    Entry(Reader),
}

impl<R: AsyncRead + Unpin> AsyncRead for BodyReader<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        match &mut *self {
            BodyReader::Target(reader) => Pin::new(reader).poll_read(context, bytes),
            BodyReader::Entry(reader) => Pin::new(reader).poll_read(context, bytes),
        }
    }
}

/// A request to forward.
pub(crate) struct Outbound<'a> {
    pub(crate) member: &'a str,
    pub(crate) request: &'a Request,
    pub(crate) deadline: Instant,
    pub(crate) trace: Trace,
    /// Whether the client belongs to another region, and came here because its own is down.
    pub(crate) is_failover: bool,
    /// The links and the name of the destination region, if that is another one.
    pub(crate) route: Option<(&'a Egress, &'a str)>,
}

/// Sends `body`, at the rate of the link if it leaves the region.
async fn send_body(
    exchange: &mut Exchange,
    route: Option<(&Egress, &str)>,
    mut body: &[u8],
) -> Result<(), peer::Error> {
    let Some((egress, region)) = route else { return exchange.write(body).await };
    while !body.is_empty() {
        let granted = egress.acquire(region, body.len().min(MAX_CHUNK_BYTES)).await;
        let (chunk, rest) = body.split_at(granted);
        exchange.write(chunk).await?;
        body = rest;
    }
    Ok(())
}

/// Waits until the link's rate permits sending `frame` out of the region.
async fn pace_head(route: Option<(&Egress, &str)>, frame: &Frame) {
    let Some((egress, region)) = route else { return };
    let mut remaining = encode(frame).map_or(0, |bytes| bytes.len());
    while remaining > 0 {
        remaining -= egress.acquire(region, remaining).await;
    }
}

/// Forwards a request to another entry and returns its answer. The error tells whether the request
/// may have been sent.
pub(crate) async fn forward<R>(
    link: &Link,
    outbound: Outbound<'_>,
) -> Result<Answer<BodyReader<R>>, peer::Error> {
    let span = TraceSpan::new(outbound.trace, "forward");
    let result = forward_until_deadline(link, &outbound, span.context()).await;
    span.close(match &result {
        Ok(_) => "answered",
        Err(peer::Error::Unsent) => "unsent",
        Err(peer::Error::Lost) => "lost",
    });
    result
}

async fn forward_until_deadline<R>(
    link: &Link,
    outbound: &Outbound<'_>,
    trace: Trace,
) -> Result<Answer<BodyReader<R>>, peer::Error> {
    let head = Frame::Forward(forward_head(outbound, trace));
    let paced = async {
        pace_head(outbound.route, &head).await;
        Ok(())
    };
    // Nothing is sent while the head waits for its turn on the link.
    let timer = async {
        clock::sleep_until(outbound.deadline).await;
        Err(peer::Error::Unsent)
    };
    future::or(paced, timer).await?;
    let timer = async {
        clock::sleep_until(outbound.deadline + REPLY_GRACE).await;
        Err(peer::Error::Lost)
    };
    future::or(send_request(link, outbound, &head), timer).await
}

fn forward_head(outbound: &Outbound<'_>, trace: Trace) -> Forward {
    let request = outbound.request;
    Forward {
        member: outbound.member.to_owned(),
        service: request.service.clone(),
        kind: request.kind.clone(),
        time_left: outbound.deadline.since(clock::now()),
        trace: trace.to_string(),
        content_type: request.content_type.clone(),
        length: request.body.len() as u32,
        is_remote: outbound.route.is_some(),
        is_failover: outbound.is_failover,
    }
}

async fn send_request<R>(
    link: &Link,
    outbound: &Outbound<'_>,
    head: &Frame,
) -> Result<Answer<BodyReader<R>>, peer::Error> {
    let mut exchange = link.open_stream(head).await?;
    send_body(&mut exchange, outbound.route, &outbound.request.body).await?;
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
        Some(length) if length <= MAX_BUFFERED_REPLY_BYTES => {
            let mut bytes = vec![0; length as usize];
            reader.read_exact(&mut bytes).await.map_err(|_| peer::Error::Lost)?;
            Body::Buffered(bytes)
        }
        length => Body::Streamed { length, reader: BodyReader::Entry(reader) },
    };
    Ok(Answer::Answered(Reply { head, body }))
}

/// Serves a request that another entry forwarded. It is not forwarded again.
pub(crate) async fn serve_forward<S: Store, T: Target>(
    entry: &Arc<Entry<S, T>>,
    from: &Hello,
    head: Forward,
    mut exchange: Exchange,
) {
    let _in_flight = InFlight::new(&entry.metrics);
    let _inbound =
        head.is_remote.then(|| Inbound::new(&**entry, &from.process, &head.service)).flatten();
    let region = remote_region(entry, from);
    let route = region.as_deref().map(|region| (&entry.egress, region));
    entry.metrics.forwarded.inc();
    let answer = match run_in_pool(entry, head, &mut exchange).await {
        Ok(Some(answer)) => answer,
        // The other entry has cancelled the request.
        Ok(None) => return,
        Err(reason) => Answer::Failed(reason),
    };
    // Sending fails if the other entry has gone or the target's body was truncated. The reset keeps
    // the reply from looking complete.
    if send_answer(&mut exchange, route, answer).await.is_err() {
        exchange.reset();
    }
}

/// The name of the region of `from`, if it differs from this entry's.
fn remote_region<S: Store, T: Target>(entry: &Entry<S, T>, from: &Hello) -> Option<String> {
    let view = entry.view().ok()?;
    let local = view.region_of(&entry.settings.data_centre)?;
    let remote = view.region_of(&from.data_centre).filter(|region| *region != local)?;
    Some(view.document.regions[remote].name.clone())
}

/// Runs a forwarded request in the local pool. `Ok(None)` if the other entry has gone.
async fn run_in_pool<S: Store, T: Target>(
    entry: &Arc<Entry<S, T>>,
    head: Forward,
    exchange: &mut Exchange,
) -> Result<Option<Answer<T::Reader>>, Reason> {
    let view = entry.view()?;
    let policy = view.request_policy(&head.member, &head.service, &head.kind)?;
    if head.length as usize > entry.settings.limits.body_bytes {
        return Err(Reason::BodyTooLarge);
    }
    let Ok(body) = exchange.read_body(head.length as usize).await else { return Ok(None) };
    let trace = Trace::from_header(Some(&head.trace));
    let request = Arc::new(Request {
        service: head.service,
        kind: head.kind,
        idempotent: policy.idempotent,
        body,
        content_type: head.content_type,
    });
    let job = Job {
        flow: policy.flow,
        deadline: clock::now() + head.time_left,
        idempotent: policy.idempotent,
    };
    let driver = entry.pool(&request.service);
    if head.is_failover {
        driver.record_failover(job.deadline);
    }
    let handle = driver.offer(job, request, trace, head.is_remote)?;
    // If the other entry goes away, dropping `handle` abandons the request in the pool.
    let answer = async { Some(handle.answer().await) };
    let stopped = async {
        exchange.stopped().await;
        None
    };
    Ok(future::or(answer, stopped).await)
}

async fn send_answer<R: AsyncRead + Unpin>(
    exchange: &mut Exchange,
    route: Option<(&Egress, &str)>,
    answer: Answer<R>,
) -> Result<(), peer::Error> {
    let reply = match answer {
        Answer::Failed(reason) => {
            let head = Frame::Outcome(Outcome::Failed(reason));
            pace_head(route, &head).await;
            exchange.send(&head).await?;
            return exchange.finish();
        }
        Answer::Answered(reply) => reply,
    };
    let length = match &reply.body {
        Body::Buffered(bytes) => Some(bytes.len() as u64),
        Body::Streamed { length, .. } => *length,
    };
    let Head { status, headers } = reply.head;
    let head = Frame::Outcome(Outcome::Answered { status, headers, length });
    pace_head(route, &head).await;
    exchange.send(&head).await?;
    match reply.body {
        Body::Buffered(bytes) => send_body(exchange, route, &bytes).await?,
        Body::Streamed { mut reader, .. } => {
            let mut chunk = vec![0; MAX_CHUNK_BYTES];
            loop {
                let len = reader.read(&mut chunk).await.map_err(|_| peer::Error::Lost)?;
                if len == 0 {
                    break;
                }
                send_body(exchange, route, &chunk[..len]).await?;
            }
        }
    }
    exchange.finish()
}
