//! Streaming reader of the reply bodies of targets.

use std::io::{self, ErrorKind};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use futures_lite::AsyncRead;
use smol::Timer;
use trillium_client::ResponseBody;

use crate::target::Framing;

/// How long a target may send nothing within a body.
const STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Reads the body of a reply.
///
/// Errors: `UnexpectedEof` if the body ends before its length, `TimedOut` if the target sends
/// nothing for 30 s.
pub struct Reader {
    body: ResponseBody<'static>,
    /// Bytes already read from `body` that are returned first.
    buffered: Vec<u8>,
    /// How many bytes of `buffered` have been returned.
    returned: usize,
    /// Body bytes not yet read, if the length is known.
    remaining: Option<u64>,
    timer: Timer,
}

impl Reader {
    pub(crate) fn new(body: ResponseBody<'static>, framing: Framing) -> Reader {
        let remaining = match framing {
            Framing::Length(length) => Some(length),
            Framing::Chunked => None,
        };
        let body = body.with_max_len(u64::MAX);
        Reader {
            body,
            buffered: Vec::new(),
            returned: 0,
            remaining,
            timer: Timer::after(STALL_TIMEOUT),
        }
    }

    /// Puts back `bytes`, which were read from here, so that the next reads return them again.
    pub(crate) fn put_back(&mut self, bytes: Vec<u8>) {
        self.buffered = bytes;
        self.returned = 0;
    }

    fn read_buffered(&mut self, bytes: &mut [u8]) -> usize {
        let unreturned = &self.buffered[self.returned..];
        let len = unreturned.len().min(bytes.len());
        bytes[..len].copy_from_slice(&unreturned[..len]);
        self.returned += len;
        if self.returned == self.buffered.len() {
            self.buffered = Vec::new();
            self.returned = 0;
        }
        len
    }

    fn record_read(&mut self, len: usize) -> io::Result<usize> {
        self.timer.set_after(STALL_TIMEOUT);
        let Some(remaining) = &mut self.remaining else { return Ok(len) };
        *remaining = remaining.saturating_sub(len as u64);
        if len == 0 && *remaining > 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        Ok(len)
    }
}

impl AsyncRead for Reader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if bytes.is_empty() {
            return Poll::Ready(Ok(0));
        }
        if !self.buffered.is_empty() {
            return Poll::Ready(Ok(self.read_buffered(bytes)));
        }
        match Pin::new(&mut self.body).poll_read(context, bytes) {
            Poll::Ready(Ok(len)) => Poll::Ready(self.record_read(len)),
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => {
                let stalled = Pin::new(&mut self.timer).poll(context).is_ready();
                if stalled { Poll::Ready(Err(ErrorKind::TimedOut.into())) } else { Poll::Pending }
            }
        }
    }
}
