//! Reply bodies sent to callers.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use bytes::Bytes;
use event_listener::Event as Signal;
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use smol::{Task, Timer};

use crate::budget::{Memory, Reservation, Transfer};
use crate::connection::Connection;
use crate::gateway::Gateway;
use crate::payload::{MAX_SEGMENT_BYTES, Payload};

/// Memory of a piece that is read ahead, beside its bytes.
const PIECE_OVERHEAD: usize = 64;

/// Why a streamed body ended early.
#[derive(Debug)]
pub enum Error {
    /// The target's reply is invalid or its connection ended.
    Target(hyper::Error),
    /// The request's deadline passed.
    DeadlinePassed,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Target(error) => error.fmt(f),
            Error::DeadlinePassed => f.write_str("the deadline passed during the reply"),
        }
    }
}

impl std::error::Error for Error {}

/// A reply body. An error while streaming closes the caller's connection, so a truncated body never
/// looks complete.
#[derive(Debug)]
pub enum Body {
    /// A body in memory.
    Whole {
        /// What is left to send.
        payload: Payload,
        /// Memory of the body, if it is counted.
        memory: Memory,
    },
    /// A buffered prefix, followed by the streamed rest.
    Stream(Box<Rest>),
}

/// A reply body that is passed on while it arrives.
#[derive(Debug)]
pub struct Rest {
    /// The prefix, until it is sent.
    start: Payload,
    /// Memory of the prefix.
    reservation: Reservation,
    ahead: Rc<ReadAhead>,
    /// Bytes that are not sent yet, if the target announced its length.
    left: Option<u64>,
    /// Ends the body at the request's deadline: a target may send without end.
    deadline: Timer,
    transfer: Option<Transfer>,
    _reader: Task<()>,
}

/// A target's connection on which the rest of a reply arrives.
#[derive(Debug)]
pub struct Source {
    /// The connection.
    pub connection: Connection,
    /// Memory for reading a large reply in larger parts.
    pub memory: Option<Reservation>,
}

/// A piece that was read ahead.
#[derive(Debug)]
struct Piece {
    bytes: Bytes,
    /// Bytes that are reserved for it.
    reserved: usize,
}

/// The part of a target's body that was read and is not sent yet.
#[derive(Debug)]
struct ReadAhead {
    pieces: RefCell<VecDeque<Piece>>,
    reservation: RefCell<Reservation>,
    end: RefCell<Option<Result<(), hyper::Error>>>,
    has_ended: Cell<bool>,
    /// The caller's connection, if it waits for a piece.
    waker: RefCell<Option<Waker>>,
    drained: Signal,
    /// Bytes that are read ahead at most.
    limit: usize,
}

impl ReadAhead {
    /// Reads the rest of a target's body, ahead of the caller as far as replies may take memory.
    async fn fill(&self, mut body: Incoming, source: Source) {
        let end = loop {
            match body.frame().await {
                None => break Ok(()),
                Some(Err(error)) => break Err(error),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data()
                        && !data.is_empty()
                    {
                        for part in data.chunks(MAX_SEGMENT_BYTES) {
                            self.push(part).await;
                        }
                    }
                }
            }
        };
        drop(source);
        *self.end.borrow_mut() = Some(end);
        self.has_ended.set(true);
        self.wake();
    }

    /// Adds a piece once there is memory for it, or once all former ones are sent. One piece is
    /// covered by the [`Transfer`].
    async fn push(&self, data: &[u8]) {
        let size = data.len() + PIECE_OVERHEAD;
        let reserved = loop {
            let drained = self.drained.listen();
            let held = self.reservation.borrow().bytes();
            let is_allowed = held + size <= self.limit;
            if is_allowed && self.reservation.borrow_mut().try_grow_reply(held + size) {
                break size;
            }
            if self.pieces.borrow().is_empty() {
                break 0;
            }
            drained.await;
        };
        // A copy, since a piece may be a small part of hyper's read buffer and would keep it.
        let bytes = Bytes::copy_from_slice(data);
        self.pieces.borrow_mut().push_back(Piece { bytes, reserved });
        self.wake();
    }

    fn wake(&self) {
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }

    fn poll_piece(&self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, Error>>> {
        if let Some(piece) = self.pieces.borrow_mut().pop_front() {
            self.reservation.borrow_mut().shrink(piece.reserved);
            self.drained.notify(usize::MAX);
            return Poll::Ready(Some(Ok(piece.bytes)));
        }
        if self.has_ended.get() {
            let end = self.end.borrow_mut().take();
            return Poll::Ready(end.and_then(Result::err).map(|error| Err(Error::Target(error))));
        }
        *self.waker.borrow_mut() = Some(context.waker().clone());
        Poll::Pending
    }
}

impl Rest {
    /// A body of which `start` was read, and `body` is to come from `source`.
    pub fn new(
        gateway: &Gateway,
        (start, reservation): (Payload, Reservation),
        body: Incoming,
        source: Source,
        deadline: Timer,
        transfer: Transfer,
    ) -> Rest {
        let left = body.size_hint().exact().map(|rest| rest + start.left() as u64);
        let ahead = Rc::new(ReadAhead {
            pieces: RefCell::default(),
            reservation: RefCell::new(reservation.sibling()),
            end: RefCell::default(),
            has_ended: Cell::new(false),
            waker: RefCell::default(),
            drained: Signal::new(),
            limit: gateway.settings.limits.read_ahead(),
        });
        let reader = ahead.clone();
        let reader = gateway.executor.spawn(async move { reader.fill(body, source).await });
        let transfer = Some(transfer);
        Rest { start, reservation, ahead, left, deadline, transfer, _reader: reader }
    }

    fn poll_piece(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, Error>>> {
        if Pin::new(&mut self.deadline).poll(context).is_ready() {
            return Poll::Ready(Some(Err(Error::DeadlinePassed)));
        }
        if let Some(bytes) = self.start.next_segment() {
            if self.start.is_empty() {
                self.reservation.shrink(usize::MAX);
            }
            return Poll::Ready(Some(Ok(bytes)));
        }
        self.ahead.poll_piece(context)
    }
}

impl Body {
    /// Creates a body in memory.
    pub fn whole(bytes: impl Into<Bytes>) -> Body {
        Body::Whole { payload: Payload::from(bytes.into()), memory: Memory::default() }
    }

    /// Creates a body of which the memory is counted.
    pub fn held(payload: Payload, memory: Memory) -> Body {
        Body::Whole { payload, memory }
    }

    /// Creates an empty body.
    pub fn empty() -> Body {
        Body::Whole { payload: Payload::default(), memory: Memory::default() }
    }

    /// Takes what must be kept until the last byte has been written.
    pub fn take_memory(&mut self) -> Memory {
        match self {
            Body::Whole { memory, .. } => std::mem::take(memory),
            Body::Stream(rest) => Memory::new(None, rest.transfer.take()),
        }
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        match self.get_mut() {
            Body::Whole { payload, .. } => {
                Poll::Ready(payload.next_segment().map(|bytes| Ok(Frame::data(bytes))))
            }
            Body::Stream(stream) => stream.poll_piece(context).map(|piece| {
                let piece = piece?;
                if let (Ok(bytes), Some(left)) = (&piece, &mut stream.left) {
                    *left = left.saturating_sub(bytes.len() as u64);
                }
                Some(piece.map(Frame::data))
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Body::Whole { payload, .. } => payload.is_empty(),
            Body::Stream(stream) => {
                let has_ended = matches!(*stream.ahead.end.borrow(), Some(Ok(())));
                let is_sent = stream.start.is_empty() && stream.ahead.pieces.borrow().is_empty();
                has_ended && is_sent
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Whole { payload, .. } => SizeHint::with_exact(payload.left() as u64),
            Body::Stream(stream) => stream.left.map_or_else(SizeHint::new, SizeHint::with_exact),
        }
    }
}
