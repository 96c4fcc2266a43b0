//! Reads reply bodies of targets.

use std::io::{self, ErrorKind};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use futures_lite::AsyncRead;
use smol::Timer;
use trillium_client::ResponseBody;

use crate::target::Framing;

/// How long a target may send nothing in the middle of a body.
const STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Reads the body of a reply. It fails if the body is cut short or stalls.
pub struct Reader {
    body: ResponseBody<'static>,
    /// Bytes that were read before and are given out again.
    unread: Vec<u8>,
    given: usize,
    /// Bytes that are still to come, if the length is known.
    rest: Option<u64>,
    timer: Timer,
}

impl Reader {
    pub(crate) fn new(body: ResponseBody<'static>, framing: Framing) -> Reader {
        let rest = match framing {
            Framing::Length(length) => Some(length),
            Framing::Chunks => None,
        };
        let body = body.with_max_len(u64::MAX);
        Reader { body, unread: Vec::new(), given: 0, rest, timer: Timer::after(STALL_TIMEOUT) }
    }

    /// Gives `bytes`, which were read from here, out again before the rest.
    pub(crate) fn unread(&mut self, bytes: Vec<u8>) {
        self.unread = bytes;
        self.given = 0;
    }

    fn give_unread(&mut self, bytes: &mut [u8]) -> usize {
        let rest = &self.unread[self.given..];
        let len = rest.len().min(bytes.len());
        bytes[..len].copy_from_slice(&rest[..len]);
        self.given += len;
        if self.given == self.unread.len() {
            self.unread = Vec::new();
            self.given = 0;
        }
        len
    }

    fn note_read(&mut self, len: usize) -> io::Result<usize> {
        self.timer.set_after(STALL_TIMEOUT);
        let Some(rest) = &mut self.rest else { return Ok(len) };
        *rest = rest.saturating_sub(len as u64);
        if len == 0 && *rest > 0 {
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
        if !self.unread.is_empty() {
            return Poll::Ready(Ok(self.give_unread(bytes)));
        }
        match Pin::new(&mut self.body).poll_read(context, bytes) {
            Poll::Ready(Ok(len)) => Poll::Ready(self.note_read(len)),
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => {
                let stalled = Pin::new(&mut self.timer).poll(context).is_ready();
                if stalled { Poll::Ready(Err(ErrorKind::TimedOut.into())) } else { Poll::Pending }
            }
        }
    }
}
