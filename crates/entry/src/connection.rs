//! Limits on callers' connections.
//!
//! The HTTP library doesn't limit the time that a caller takes to send a request or read a reply,
//! and closes a connection without a reply when a request head is too long. So each connection is
//! wrapped in [`Limited`].

use std::borrow::Cow;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use ebonypass_core::outcome::Reason;
use ebonypass_node::event::{Event, emit};
use smol::Timer;
use smol::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use trillium::Transport;
use trillium_server_common::Acceptor;

use crate::metric::{LimitLabels, Metrics};
use crate::reply::OUTCOME_HEADER;
use crate::settings::Limits;

/// The end of a request head.
const HEAD_END: &[u8; 4] = b"\r\n\r\n";

/// The start of an interim (1xx) reply, after which the rest of the request follows.
const INTERIM_STATUS: &[u8] = b"HTTP/1.1 1";

/// Accepts callers' connections up to a limit and wraps each in [`Limited`].
#[derive(Debug, Clone)]
pub(crate) struct Limiter {
    limits: Limits,
    metrics: Metrics,
    open_connections: Arc<AtomicUsize>,
    /// Whether each reply must have an outcome header.
    has_outcome_headers: bool,
}

impl Limiter {
    pub(crate) fn new(limits: Limits, metrics: Metrics) -> Limiter {
        Limiter { limits, metrics, open_connections: Arc::default(), has_outcome_headers: false }
    }

    /// Replaces the library's own error replies, which have no outcome header.
    pub(crate) fn with_outcome_headers(self) -> Limiter {
        Limiter { has_outcome_headers: true, ..self }
    }

    fn count_limited(&self, limit: &'static str, peer: Option<SocketAddr>) {
        let earlier = self.metrics.limited.get_or_create(&LimitLabels { limit }).inc();
        // Logged at each power of two, so that many refusals do not flood the log.
        let total = earlier + 1;
        if total.is_power_of_two() {
            match peer {
                Some(peer) => emit(Event::CallerLimited, format_args!("{limit} {total}: {peer}")),
                None => emit(Event::CallerLimited, format_args!("{limit} {total}")),
            }
        }
    }
}

impl<T: Transport> Acceptor<T> for Limiter {
    type Output = Limited<T>;
    type Error = &'static str;

    async fn accept(&self, mut stream: T) -> Result<Limited<T>, &'static str> {
        let open = self.open_connections.fetch_add(1, Ordering::Relaxed);
        if open >= self.limits.callers {
            self.open_connections.fetch_sub(1, Ordering::Relaxed);
            self.count_limited("callers", stream.peer_addr().ok().flatten());
            let reply = refusal_reply("503 Service Unavailable", Reason::QueueFull);
            // The caller may have closed the connection.
            let _ = stream.write_all(reply.as_bytes()).await;
            return Err("too many callers");
        }
        let idle = Duration::from_millis(self.limits.idle_timeout_ms);
        Ok(Limited {
            stream,
            limiter: self.clone(),
            phase: Phase::Idle,
            timer: Timer::after(idle),
            refusal: Vec::new(),
            is_write_stalled: false,
        })
    }

    fn is_secure(&self) -> bool {
        false
    }
}

/// A complete reply that refuses a request which the library has not read.
fn refusal_reply(status: &str, reason: Reason) -> String {
    let body = format!("{reason}\n");
    format!(
        "HTTP/1.1 {status}\r\nebonypass-outcome: {}\r\nebonypass-code: EP-{:04}\r\n\
         content-type: text/plain; charset=utf-8\r\ncontent-length: {}\r\n\
         connection: close\r\n\r\n{body}",
        reason.outcome().as_str(),
        reason.code(),
        body.len(),
    )
}

/// Whether `bytes` start a reply of the library to a malformed head. The handlers' replies have an
/// outcome header.
fn is_library_refusal(bytes: &[u8]) -> bool {
    let outcome = OUTCOME_HEADER.as_bytes();
    bytes.starts_with(b"HTTP/1.1 4")
        && !bytes.windows(outcome.len()).any(|part| part.eq_ignore_ascii_case(outcome))
}

/// What a connection waits for.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Phase {
    /// The first byte of a request.
    Idle,
    /// The rest of a head: `len` bytes were read, the last of which match the first `matched` bytes
    /// of [`HEAD_END`].
    Head { len: usize, matched: usize },
    /// The rest of a body, or the reply.
    Body,
    /// Sending a refusal, after which the connection ends.
    Refused,
}

/// A caller's connection with limits on sizes and times.
#[derive(Debug)]
pub(crate) struct Limited<T> {
    stream: T,
    limiter: Limiter,
    phase: Phase,
    timer: Timer,
    refusal: Vec<u8>,
    is_write_stalled: bool,
}

impl<T: Transport> Limited<T> {
    fn set_timer(&mut self, ms: u64) {
        self.timer.set_after(Duration::from_millis(ms));
    }

    fn count_limited(&self, limit: &'static str) {
        self.limiter.count_limited(limit, self.stream.peer_addr().ok().flatten());
    }

    fn track_head(&mut self, bytes: &[u8]) {
        if self.phase == Phase::Idle {
            self.set_timer(self.limiter.limits.head_timeout_ms);
            self.phase = Phase::Head { len: 0, matched: 0 };
        }
        let Phase::Head { len, mut matched } = self.phase else { return };
        for (at, &byte) in bytes.iter().enumerate() {
            matched = match byte {
                _ if byte == HEAD_END[matched] => matched + 1,
                b'\r' => 1,
                _ => 0,
            };
            if matched == HEAD_END.len() {
                self.phase = Phase::Body;
                if len + at + 1 > self.limiter.limits.head_bytes {
                    self.refuse("head", "431 Request Header Fields Too Large");
                }
                return;
            }
        }
        let len = len + bytes.len();
        self.phase = Phase::Head { len, matched };
        if len > self.limiter.limits.head_bytes {
            self.refuse("head", "431 Request Header Fields Too Large");
        }
    }

    fn refuse(&mut self, limit: &'static str, status: &str) {
        self.count_limited(limit);
        self.refusal = refusal_reply(status, Reason::HeadMalformed).into_bytes();
        self.phase = Phase::Refused;
        self.set_timer(self.limiter.limits.idle_timeout_ms);
    }

    /// Writes the rest of the refusal, then reports the end of the stream.
    fn poll_refusal(&mut self, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
        while !self.refusal.is_empty() {
            if Pin::new(&mut self.timer).poll_timer(context).is_ready() {
                return Poll::Ready(Err(ErrorKind::TimedOut.into()));
            }
            let written = ready!(Pin::new(&mut self.stream).poll_write(context, &self.refusal))?;
            self.refusal.drain(..written);
        }
        Poll::Ready(Ok(0))
    }

    /// Handles a timeout in the current phase.
    fn handle_timeout(&mut self) -> Poll<io::Result<usize>> {
        match self.phase {
            Phase::Idle => {
                self.count_limited("idle");
                Poll::Ready(Ok(0))
            }
            Phase::Head { .. } => {
                self.refuse("time", "408 Request Timeout");
                Poll::Pending
            }
            Phase::Body | Phase::Refused => {
                self.count_limited("time");
                Poll::Ready(Err(ErrorKind::TimedOut.into()))
            }
        }
    }
}

/// Polls a timer and discards its output.
trait PollTimer {
    fn poll_timer(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()>;
}

impl PollTimer for Timer {
    fn poll_timer(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        std::future::Future::poll(self, context).map(discard)
    }
}

const fn discard(_: std::time::Instant) {}

impl<T: Transport> AsyncRead for Limited<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.phase == Phase::Refused {
            return self.poll_refusal(context);
        }
        match Pin::new(&mut self.stream).poll_read(context, bytes) {
            Poll::Ready(Ok(len)) => {
                if len > 0 {
                    self.track_head(&bytes[..len]);
                }
                if self.phase == Phase::Refused {
                    return self.poll_refusal(context);
                }
                Poll::Ready(Ok(len))
            }
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => {
                ready!(Pin::new(&mut self.timer).poll_timer(context));
                match self.handle_timeout() {
                    Poll::Pending => self.poll_refusal(context),
                    expired => expired,
                }
            }
        }
    }
}

impl<T: Transport> AsyncWrite for Limited<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.limiter.has_outcome_headers && is_library_refusal(bytes) {
            self.refuse("malformed", "400 Bad Request");
        }
        if self.phase == Phase::Refused {
            // The refusal replaces what the library writes.
            ready!(self.poll_refusal(context))?;
            return Poll::Ready(Ok(bytes.len()));
        }
        match Pin::new(&mut self.stream).poll_write(context, bytes) {
            Poll::Pending => {
                // The timer was set for the request; a caller that does not read gets a new one.
                if !std::mem::replace(&mut self.is_write_stalled, true) {
                    let idle = self.limiter.limits.idle_timeout_ms;
                    self.set_timer(idle);
                }
                ready!(Pin::new(&mut self.timer).poll_timer(context));
                self.count_limited("stall");
                Poll::Ready(Err(ErrorKind::TimedOut.into()))
            }
            Poll::Ready(Ok(len)) => {
                self.is_write_stalled = false;
                if !bytes.starts_with(INTERIM_STATUS) {
                    self.phase = Phase::Idle;
                    let idle = self.limiter.limits.idle_timeout_ms;
                    self.set_timer(idle);
                }
                Poll::Ready(Ok(len))
            }
            error => error,
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}

impl<T: Transport> Transport for Limited<T> {
    fn peer_addr(&self) -> io::Result<Option<SocketAddr>> {
        self.stream.peer_addr()
    }

    fn set_nodelay(&mut self, nodelay: bool) -> io::Result<()> {
        self.stream.set_nodelay(nodelay)
    }

    fn negotiated_alpn(&self) -> Option<Cow<'_, [u8]>> {
        // Prevents HTTP/2 detection: these limits would not apply to its streams.
        Some(Cow::Borrowed(b"http/1.1"))
    }
}

impl<T> Drop for Limited<T> {
    fn drop(&mut self) {
        self.limiter.open_connections.fetch_sub(1, Ordering::Relaxed);
    }
}
