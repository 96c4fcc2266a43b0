//! Streams between entries.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use quinn::{RecvStream, SendStream};
use smol::io::{AsyncRead, AsyncReadExt};

use crate::peer::Error;
use crate::wire::{self, Frame, encode};

/// What the other side sends over one stream. Reading fails if it is reset or the connection is
/// lost, and if it ends before the stated length.
#[derive(Debug)]
pub struct Incoming {
    stream: RecvStream,
    /// Bytes that have to come, if stated.
    rest: Option<u64>,
}

impl Incoming {
    pub(crate) const fn new(stream: RecvStream) -> Incoming {
        Incoming { stream, rest: None }
    }
}

impl AsyncRead for Incoming {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let polled = self.stream.poll_read(context, bytes).map_err(io::Error::other);
        if let (Poll::Ready(Ok(len)), Some(rest)) = (&polled, &mut self.rest) {
            *rest = rest.saturating_sub(*len as u64);
            if *len == 0 && !bytes.is_empty() && *rest > 0 {
                return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
            }
        }
        polled
    }
}

/// One stream with a question or request and its answer. Dropping it before [`Exchange::finish`]
/// resets it, which the other side sees as a loss.
#[derive(Debug)]
pub struct Exchange {
    send: SendStream,
    recv: Incoming,
}

impl Exchange {
    pub(crate) const fn new(send: SendStream, recv: Incoming) -> Exchange {
        Exchange { send, recv }
    }

    /// Sends a frame.
    pub async fn send(&mut self, frame: &Frame) -> Result<(), Error> {
        let bytes = encode(frame).map_err(|_| Error::Lost)?;
        self.send.write_all(&bytes).await.map_err(|_| Error::Lost)
    }

    /// Sends bytes of a body.
    pub async fn write(&mut self, bytes: &[u8]) -> Result<(), Error> {
        self.send.write_all(bytes).await.map_err(|_| Error::Lost)
    }

    /// Reads the next frame.
    pub async fn read(&mut self) -> Result<Frame, Error> {
        wire::read(&mut self.recv).await.ok().flatten().ok_or(Error::Lost)
    }

    /// Reads `length` bytes of a body.
    pub async fn read_body(&mut self, length: usize) -> Result<Vec<u8>, Error> {
        let mut body = vec![0; length];
        self.recv.read_exact(&mut body).await.map_err(|_| Error::Lost)?;
        Ok(body)
    }

    /// Ends the own direction whole. The other direction stays open.
    pub fn finish(&mut self) -> Result<(), Error> {
        self.send.finish().map_err(|_| Error::Lost)
    }

    /// Ends the own direction as a loss.
    pub fn reset(&mut self) {
        // The stream may have ended already, which is as good.
        let _ = self.send.reset(1u8.into());
    }

    /// Waits until the other side no longer wants the answer, or is gone.
    pub async fn stopped(&mut self) {
        let _ = self.send.stopped().await;
    }

    /// The answer's direction alone, to read a body of `length` bytes, or to its end.
    pub fn into_reader(self, length: Option<u64>) -> Incoming {
        Incoming { rest: length, ..self.recv }
    }
}
