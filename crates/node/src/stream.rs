//! Streams of the QUIC connections between entries.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use quinn::{RecvStream, SendStream};
use smol::io::{AsyncRead, AsyncReadExt};

use crate::peer::Error;
use crate::wire::{self, Frame, encode};

/// The receiving half of a stream.
///
/// Reading fails if the peer resets the stream, if the connection is lost, or if the stream ends
/// before the stated length.
#[derive(Debug)]
pub struct Reader {
    stream: RecvStream,
    /// Bytes not yet received, if the length is stated.
    remaining: Option<u64>,
}

impl Reader {
    pub(crate) const fn new(stream: RecvStream) -> Reader {
        Reader { stream, remaining: None }
    }
}

impl AsyncRead for Reader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let polled = self.stream.poll_read(context, bytes).map_err(io::Error::other);
        if let (Poll::Ready(Ok(len)), Some(remaining)) = (&polled, &mut self.remaining) {
            *remaining = remaining.saturating_sub(*len as u64);
            if *len == 0 && !bytes.is_empty() && *remaining > 0 {
                return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
            }
        }
        polled
    }
}

/// A bidirectional stream with one request and its reply. Dropping it before [`Exchange::finish`]
/// resets it, which the peer sees as [`Error::Lost`].
#[derive(Debug)]
pub struct Exchange {
    send: SendStream,
    recv: Reader,
}

impl Exchange {
    pub(crate) const fn new(send: SendStream, recv: Reader) -> Exchange {
        Exchange { send, recv }
    }

    /// Sends a frame.
    pub async fn send(&mut self, frame: &Frame) -> Result<(), Error> {
        let bytes = encode(frame).map_err(|_| Error::Lost)?;
        self.send.write_all(&bytes).await.map_err(|_| Error::Lost)
    }

    /// Sends part of a body.
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

    /// Marks the end of the sent data. The receiving direction stays open.
    pub fn finish(&mut self) -> Result<(), Error> {
        self.send.finish().map_err(|_| Error::Lost)
    }

    /// Aborts the sending direction; the peer's reads fail.
    pub fn reset(&mut self) {
        // An error means that the stream has ended already.
        let _ = self.send.reset(1u8.into());
    }

    /// Waits until the peer stops reading the reply or the connection is lost.
    pub async fn stopped(&mut self) {
        let _ = self.send.stopped().await;
    }

    /// Returns the receiving half, to read a body of `length` bytes or up to the end of the stream.
    pub fn into_reader(self, length: Option<u64>) -> Reader {
        Reader { remaining: length, ..self.recv }
    }
}
