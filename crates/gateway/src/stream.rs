//! The stream of an outgoing connection, which limits what its peer can make this process read.

use std::cell::{Cell, RefCell};
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use futures_lite::{AsyncRead, AsyncWrite};
use hyper::rt::{Read, ReadBufCursor, Write};
use smol::net::TcpStream;

/// Reads in a row after which other tasks run. hyper reads informational replies in a loop for as
/// long as there are any.
const MAX_READS_IN_A_ROW: u32 = 4;
/// Reads for the head of one reply, informational ones included, at most. A read takes up to
/// [`MAX_READ_BYTES`], and a head is seldom longer than one.
const MAX_HEAD_READS: u32 = 200;
/// Limit on the bytes read at once while a large reply is received, and on the head of a reply.
pub const MAX_READ_BYTES: usize = 32 << 10;
/// Limit on the bytes read at once otherwise. hyper holds up to three reads that were not passed on,
/// and doubles its buffer once a read of 8 KiB fills it.
pub const SMALL_READ_BYTES: usize = (8 << 10) - 1;

thread_local! {
    /// Where bytes are read to before they are copied: hyper's own buffer cannot be read to
    /// without unsafe code.
    static SCRATCH: RefCell<Vec<u8>> = RefCell::new(vec![0; MAX_READ_BYTES]);
}

/// Limit on the bytes read at once.
#[derive(Debug, Clone)]
pub struct ReadLimit(Rc<Cell<usize>>);

impl Default for ReadLimit {
    fn default() -> ReadLimit {
        ReadLimit(Rc::new(Cell::new(SMALL_READ_BYTES)))
    }
}

impl ReadLimit {
    /// Sets the limit.
    pub fn set(&self, bytes: usize) {
        self.0.set(bytes.min(MAX_READ_BYTES));
    }
}

/// Whether a reply's head is awaited, and the reads that it has taken.
#[derive(Debug, Clone, Default)]
pub struct HeadLimit(Rc<Cell<Option<u32>>>);

impl HeadLimit {
    /// Starts to count reads, for a request that is sent now.
    pub fn start(&self) {
        self.0.set(Some(0));
    }

    /// Ends the count; the head has arrived.
    pub fn end(&self) {
        self.0.set(None);
    }

    /// Counts a read. Returns whether there were too many.
    fn is_exceeded(&self) -> bool {
        self.0.set(self.0.get().map(|reads| reads + 1));
        self.0.get().is_some_and(|reads| reads > MAX_HEAD_READS)
    }
}

/// Whether the last write of a connection was blocked.
///
/// After a blocked write hyper tries to flush once more. If the socket takes all bytes then, it
/// returns without a registered waker although the message goes on, and the connection stands still.
/// So a write that succeeds after a blocked one wakes the connection's task again.
#[derive(Debug, Default)]
pub struct Blockage {
    is_blocked: bool,
}

impl Blockage {
    /// Records the result of a write.
    pub fn record<T>(&mut self, result: &Poll<T>, context: &Context<'_>) {
        if std::mem::replace(&mut self.is_blocked, result.is_pending()) && result.is_ready() {
            context.waker().wake_by_ref();
        }
    }
}

/// A TCP stream with limits on reads.
#[derive(Debug)]
pub struct Stream {
    socket: TcpStream,
    reads_in_a_row: u32,
    head_limit: HeadLimit,
    read_limit: ReadLimit,
    blockage: Blockage,
}

impl Stream {
    /// Wraps a connected stream.
    pub fn new(socket: TcpStream, head_limit: HeadLimit, read_limit: ReadLimit) -> Stream {
        let blockage = Blockage::default();
        Stream { socket, reads_in_a_row: 0, head_limit, read_limit, blockage }
    }
}

impl Read for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let stream = self.get_mut();
        if stream.reads_in_a_row >= MAX_READS_IN_A_ROW {
            stream.reads_in_a_row = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let result = SCRATCH.with_borrow_mut(|scratch| {
            let room = buffer.remaining().min(stream.read_limit.0.get());
            let read = Pin::new(&mut stream.socket).poll_read(context, &mut scratch[..room]);
            buffer.put_slice(&scratch[..ready!(read)?]);
            Poll::Ready(Ok(()))
        });
        if result.is_pending() {
            stream.reads_in_a_row = 0;
            return result;
        }
        stream.reads_in_a_row += 1;
        if stream.head_limit.is_exceeded() {
            let error = io::Error::new(io::ErrorKind::InvalidData, "the reply's head has no end");
            return Poll::Ready(Err(error));
        }
        result
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
        stream.blockage.record(&result, context);
        result
    }

    /// Without vectored writes hyper copies bodies into a buffer that it never shrinks, and a
    /// connection that is kept would keep it.
    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().socket).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().socket).poll_close(context)
    }
}
