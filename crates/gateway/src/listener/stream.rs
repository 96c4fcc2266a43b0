//! The stream of an incoming connection, which records progress.

use std::cell::RefCell;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use futures_lite::{AsyncRead, AsyncWrite};
use hyper::rt::{Read, ReadBufCursor, Write};
use smol::net::TcpStream;

use super::table::Place;
use crate::stream::Blockage;

/// Limit on the bytes read at once with an enlarged receive buffer.
const MAX_READ_BYTES: usize = 16 << 10;
/// Limit on the bytes read at once otherwise: hyper doubles its buffer once a read fills it.
const SMALL_READ_BYTES: usize = (8 << 10) - 1;

thread_local! {
    /// Where bytes are read to before they are copied: hyper's own buffer cannot be read to
    /// without unsafe code.
    static SCRATCH: RefCell<Vec<u8>> = RefCell::new(vec![0; MAX_READ_BYTES]);
}

/// A TCP stream that records progress in the table of connections.
#[derive(Debug)]
pub struct Stream {
    socket: TcpStream,
    place: Rc<Place>,
    blockage: Blockage,
}

impl Stream {
    /// Wraps the socket of `place`.
    pub fn new(place: Rc<Place>) -> Stream {
        Stream { socket: place.socket(), place, blockage: Blockage::default() }
    }
}

impl Read for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let stream = self.get_mut();
        SCRATCH.with_borrow_mut(|scratch| {
            let limit = if stream.place.is_wide() { MAX_READ_BYTES } else { SMALL_READ_BYTES };
            let room = buffer.remaining().min(limit);
            let read = Pin::new(&mut stream.socket).poll_read(context, &mut scratch[..room]);
            let length = ready!(read)?;
            buffer.put_slice(&scratch[..length]);
            stream.place.record_read(length);
            Poll::Ready(Ok(()))
        })
    }
}

impl Write for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let stream = self.get_mut();
        let result = Pin::new(&mut stream.socket).poll_write(context, bytes);
        stream.place.record_write(result.is_pending());
        stream.blockage.record(&result, context);
        result
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let stream = self.get_mut();
        let result = Pin::new(&mut stream.socket).poll_write_vectored(context, slices);
        stream.place.record_write(result.is_pending());
        stream.blockage.record(&result, context);
        result
    }

    /// Without vectored writes hyper copies replies into a buffer that it never shrinks.
    fn is_write_vectored(&self) -> bool {
        true
    }

    /// Called when hyper has written all that it held.
    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.place.record_flush();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().socket).poll_close(context)
    }
}
