//! Limits on callers' connections.
//!
//! The HTTP library has no limit on the time that a caller takes to send a request or to read a
//! reply, and closes a connection without a reply when a head is too long. So each connection is
//! wrapped here.

use std::borrow::Cow;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use ebonypass_core::outcome::Reason;
use ebonypass_node::event::{Event, note};
use smol::Timer;
use smol::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use trillium::Transport;
use trillium_server_common::Acceptor;

use crate::metric::{LimitLabels, Metrics};
use crate::reply::OUTCOME;
use crate::settings::Limits;

/// The end of a head.
const HEAD_END: &[u8; 4] = b"\r\n\r\n";

/// The start of a reply that comes before the request is whole.
const INTERIM: &[u8] = b"HTTP/1.1 1";

/// Wraps connections of callers, and refuses those above the limit.
#[derive(Debug, Clone)]
pub(crate) struct Gate {
    limits: Limits,
    gauges: Metrics,
    open: Arc<AtomicUsize>,
    /// Whether each reply has to state its outcome.
    has_outcomes: bool,
}

impl Gate {
    pub(crate) fn new(limits: Limits, gauges: Metrics) -> Gate {
        Gate { limits, gauges, open: Arc::default(), has_outcomes: false }
    }

    /// Replaces the library's own refusals, which do not state their outcome.
    pub(crate) fn with_outcomes(self) -> Gate {
        Gate { has_outcomes: true, ..self }
    }

    fn count(&self, limit: &'static str, peer: Option<SocketAddr>) {
        let count = self.gauges.limited.get_or_create(&LimitLabels { limit }).inc();
        // The first of each power of two is logged, so that a flood of refusals does not fill the
        // log.
        let total = count + 1;
        if total.is_power_of_two() {
            match peer {
                Some(peer) => note(Event::CallerLimited, format_args!("{limit} {total}: {peer}")),
                None => note(Event::CallerLimited, format_args!("{limit} {total}")),
            }
        }
    }
}

impl<T: Transport> Acceptor<T> for Gate {
    type Output = Guard<T>;
    type Error = &'static str;

    async fn accept(&self, mut stream: T) -> Result<Guard<T>, &'static str> {
        let open = self.open.fetch_add(1, Ordering::Relaxed);
        if open >= self.limits.callers {
            self.open.fetch_sub(1, Ordering::Relaxed);
            self.count("callers", stream.peer_addr().ok().flatten());
            let reply = refusal("503 Service Unavailable", Reason::QueueFull);
            // The caller may have gone already.
            let _ = stream.write_all(reply.as_bytes()).await;
            return Err("too many callers");
        }
        let idle = Duration::from_millis(self.limits.idle_timeout_ms);
        Ok(Guard {
            stream,
            gate: self.clone(),
            phase: Phase::Idle,
            timer: Timer::after(idle),
            refusal: Vec::new(),
            is_stalled: false,
        })
    }

    fn is_secure(&self) -> bool {
        false
    }
}

/// A reply of the connection itself, before the library has read a request.
fn refusal(status: &str, reason: Reason) -> String {
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

/// Whether `bytes` are the start of a refusal that the library makes of a malformed head. Replies of
/// the handlers state their outcome.
fn is_bare_refusal(bytes: &[u8]) -> bool {
    let outcome = OUTCOME.as_bytes();
    bytes.starts_with(b"HTTP/1.1 4")
        && !bytes.windows(outcome.len()).any(|part| part.eq_ignore_ascii_case(outcome))
}

/// What a connection is waiting for.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Phase {
    /// The first byte of a request.
    Idle,
    /// The rest of a head, of which `len` bytes have come; the last ones match `matched` bytes of
    /// [`HEAD_END`].
    Head { len: usize, matched: usize },
    /// The rest of a body, or the reply.
    Body,
    /// A refusal to be written, and the end of the connection.
    Refused,
}

/// A caller's connection.
#[derive(Debug)]
pub(crate) struct Guard<T> {
    stream: T,
    gate: Gate,
    phase: Phase,
    timer: Timer,
    refusal: Vec<u8>,
    is_stalled: bool,
}

impl<T: Transport> Guard<T> {
    fn set_timer(&mut self, ms: u64) {
        self.timer.set_after(Duration::from_millis(ms));
    }

    fn count(&self, limit: &'static str) {
        self.gate.count(limit, self.stream.peer_addr().ok().flatten());
    }

    fn note_read(&mut self, bytes: &[u8]) {
        if self.phase == Phase::Idle {
            self.set_timer(self.gate.limits.head_timeout_ms);
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
                if len + at + 1 > self.gate.limits.head_bytes {
                    self.refuse("head", "431 Request Header Fields Too Large");
                }
                return;
            }
        }
        let len = len + bytes.len();
        self.phase = Phase::Head { len, matched };
        if len > self.gate.limits.head_bytes {
            self.refuse("head", "431 Request Header Fields Too Large");
        }
    }

    fn refuse(&mut self, limit: &'static str, status: &str) {
        self.count(limit);
        self.refusal = refusal(status, Reason::HeadMalformed).into_bytes();
        self.phase = Phase::Refused;
        self.set_timer(self.gate.limits.idle_timeout_ms);
    }

    /// Writes what is left of the refusal, and then gives the end of the stream.
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

    /// What follows from the end of the time that the phase allows.
    fn expire(&mut self) -> Poll<io::Result<usize>> {
        match self.phase {
            Phase::Idle => {
                self.count("idle");
                Poll::Ready(Ok(0))
            }
            Phase::Head { .. } => {
                self.refuse("time", "408 Request Timeout");
                Poll::Pending
            }
            Phase::Body | Phase::Refused => {
                self.count("time");
                Poll::Ready(Err(ErrorKind::TimedOut.into()))
            }
        }
    }
}

/// A timer as a future, whose output does not matter.
trait PollTimer {
    fn poll_timer(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()>;
}

impl PollTimer for Timer {
    fn poll_timer(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        std::future::Future::poll(self, context).map(drop_instant)
    }
}

const fn drop_instant(_: std::time::Instant) {}

impl<T: Transport> AsyncRead for Guard<T> {
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
                    self.note_read(&bytes[..len]);
                }
                if self.phase == Phase::Refused {
                    return self.poll_refusal(context);
                }
                Poll::Ready(Ok(len))
            }
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => {
                ready!(Pin::new(&mut self.timer).poll_timer(context));
                match self.expire() {
                    Poll::Pending => self.poll_refusal(context),
                    expired => expired,
                }
            }
        }
    }
}

impl<T: Transport> AsyncWrite for Guard<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.gate.has_outcomes && is_bare_refusal(bytes) {
            self.refuse("malformed", "400 Bad Request");
        }
        if self.phase == Phase::Refused {
            // The refusal stands in for what the library writes.
            ready!(self.poll_refusal(context))?;
            return Poll::Ready(Ok(bytes.len()));
        }
        match Pin::new(&mut self.stream).poll_write(context, bytes) {
            Poll::Pending => {
                // The timer ran for the request; a caller that does not read gets its own time.
                if !std::mem::replace(&mut self.is_stalled, true) {
                    let idle = self.gate.limits.idle_timeout_ms;
                    self.set_timer(idle);
                }
                ready!(Pin::new(&mut self.timer).poll_timer(context));
                self.count("stall");
                Poll::Ready(Err(ErrorKind::TimedOut.into()))
            }
            Poll::Ready(Ok(len)) => {
                self.is_stalled = false;
                if !bytes.starts_with(INTERIM) {
                    self.phase = Phase::Idle;
                    let idle = self.gate.limits.idle_timeout_ms;
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

impl<T: Transport> Transport for Guard<T> {
    fn peer_addr(&self) -> io::Result<Option<SocketAddr>> {
        self.stream.peer_addr()
    }

    fn set_nodelay(&mut self, nodelay: bool) -> io::Result<()> {
        self.stream.set_nodelay(nodelay)
    }

    fn negotiated_alpn(&self) -> Option<Cow<'_, [u8]>> {
        // Keeps the library from looking for HTTP/2, whose streams would escape these limits.
        Some(Cow::Borrowed(b"http/1.1"))
    }
}

impl<T> Drop for Guard<T> {
    fn drop(&mut self) {
        self.gate.open.fetch_sub(1, Ordering::Relaxed);
    }
}
