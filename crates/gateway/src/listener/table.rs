//! Open incoming connections, and the limits on them.
//!
//! When a limit is reached, the connection that has made no progress for longest is closed, and
//! first those that are within a head or have not sent a request yet. A connection whose request is
//! running is never closed for another one.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::rc::Rc;

use ebonypass_core::time::{Instant, Span};
use ebonypass_node::clock;
use smol::net::TcpStream;
use socket2::SockRef;

use crate::budget::{Memory, Window};
use crate::footprint::{CALLER_RECEIVE_BUFFER, CALLER_UNREAD, OTHER_RECEIVE_BUFFER};
use crate::limit::{Limit, Tally};

/// Bytes that arrive this soon after a reply may be the rest of a body that the reply refused. They
/// do not start the time for the next head.
const DRAIN_TIME: Span = Span::from_millis(1);

/// What a listener is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// Requests of callers.
    Callers,
    /// Lookups of callers.
    Lookups,
    /// Readiness checks.
    Readiness,
    /// Metrics.
    Metrics,
    /// Messages between machines.
    Mesh,
}

impl Purpose {
    /// Number of purposes.
    pub const COUNT: usize = 5;

    /// Receive buffer of a new connection.
    pub(super) fn receive_buffer(self) -> usize {
        match self {
            Purpose::Callers => CALLER_RECEIVE_BUFFER,
            _ => OTHER_RECEIVE_BUFFER,
        }
    }
}

/// Limits of a [`Table`].
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Connections by purpose, in the order of [`Purpose`].
    pub connections: [usize; Purpose::COUNT],
    /// Bytes of unfinished heads, of all connections together.
    pub head_bytes: usize,
    /// Time without progress after which a connection may be closed for another one.
    pub stall: Span,
    /// Receive and send buffer of a connection that transfers a large body.
    pub socket_buffer: usize,
}

/// One incoming connection.
#[derive(Debug)]
pub struct Entry {
    purpose: Purpose,
    socket: TcpStream,
    progress_at: Cell<Instant>,
    head_since: Cell<Option<Instant>>,
    head_bytes: Cell<usize>,
    /// Memory of the enlarged receive buffer, while there is one.
    window: RefCell<Option<Window>>,
    /// Memory of the last reply, until it has been written.
    unwritten: RefCell<Memory>,
    is_busy: Cell<bool>,
    /// When the last request ended, if there was one.
    finished_at: Cell<Option<Instant>>,
    is_write_blocked: Cell<bool>,
    is_body_unread: Cell<bool>,
    is_closing: Cell<bool>,
}

/// All incoming connections.
#[derive(Debug)]
pub struct Table {
    limits: Limits,
    tally: Rc<Tally>,
    next_id: Cell<u64>,
    counts: [Cell<usize>; Purpose::COUNT],
    head_bytes: Cell<usize>,
    entries: RefCell<BTreeMap<u64, Rc<Entry>>>,
}

/// The place of a connection in the table, until dropped.
#[derive(Debug)]
pub struct Place {
    table: Rc<Table>,
    id: u64,
    entry: Rc<Entry>,
}

impl Table {
    /// Creates an empty table.
    pub fn new(limits: Limits, tally: Rc<Tally>) -> Rc<Table> {
        Rc::new(Table {
            limits,
            tally,
            next_id: Cell::new(0),
            counts: Default::default(),
            head_bytes: Cell::new(0),
            entries: RefCell::default(),
        })
    }

    /// Open connections.
    pub fn count(&self) -> usize {
        self.counts.iter().map(Cell::get).sum()
    }

    /// Limit on the connections of a listener.
    pub fn limit(&self, purpose: Purpose) -> usize {
        self.limits.connections[purpose as usize]
    }

    /// Adds a connection. None if there are too many.
    pub fn admit(self: &Rc<Self>, purpose: Purpose, socket: TcpStream) -> Option<Place> {
        let count = &self.counts[purpose as usize];
        if count.get() >= self.limits.connections[purpose as usize] {
            // The closed connection gives its place back once its task has run.
            self.close_longest_stalled(|entry| entry.purpose == purpose);
            self.tally.add(Limit::Connections);
            return None;
        }
        count.set(count.get() + 1);
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let entry = Rc::new(Entry {
            purpose,
            socket,
            progress_at: Cell::new(clock::now()),
            head_since: Cell::new(None),
            head_bytes: Cell::new(0),
            window: RefCell::default(),
            unwritten: RefCell::default(),
            is_busy: Cell::new(false),
            finished_at: Cell::new(None),
            is_write_blocked: Cell::new(false),
            is_body_unread: Cell::new(false),
            is_closing: Cell::new(false),
        });
        self.entries.borrow_mut().insert(id, entry.clone());
        Some(Place { table: self.clone(), id, entry })
    }

    /// Closes the connections whose heads have taken longer than `head_timeout`.
    pub fn close_slow_heads(&self, head_timeout: Span) {
        let now = clock::now();
        for entry in self.entries.borrow().values() {
            let since = entry.head_since.get();
            if since.is_some_and(|since| now.since(since) >= head_timeout) && entry.close() {
                self.tally.add(Limit::HeadTime);
            }
        }
    }

    /// Closes the connection of the caller that has not read its reply for longest, if there is one
    /// that has stalled.
    pub fn close_stalled_reader(&self) {
        self.close_longest_stalled(|entry| {
            entry.purpose == Purpose::Callers && entry.is_write_blocked.get()
        });
    }

    fn close_longest_stalled(&self, includes: impl Fn(&Entry) -> bool) {
        let now = clock::now();
        let entries = self.entries.borrow();
        let stalled = entries.values().filter(|entry| {
            includes(entry)
                && !entry.is_closing.get()
                && (!entry.is_busy.get() || entry.is_write_blocked.get())
                && now.since(entry.progress_at.get()) >= self.limits.stall
        });
        if let Some(entry) = stalled.min_by_key(|entry| (entry.is_kept(), entry.progress_at.get()))
            && entry.close()
        {
            self.tally.add(Limit::Evicted);
        }
    }
}

impl Entry {
    /// Whether the connection is between two requests, as that of an ordinary caller.
    fn is_kept(&self) -> bool {
        self.finished_at.get().is_some()
            && self.head_since.get().is_none()
            && !self.is_write_blocked.get()
    }

    /// Closes the connection. Returns whether it was open.
    fn close(&self) -> bool {
        let was_open = !self.is_closing.replace(true);
        if was_open {
            // The peer may have closed the connection already.
            let _ = self.socket.shutdown(Shutdown::Both);
        }
        was_open
    }
}

impl Place {
    /// The socket of the connection.
    pub fn socket(&self) -> TcpStream {
        self.entry.socket.clone()
    }

    /// What the connection is for.
    pub fn purpose(&self) -> Purpose {
        self.entry.purpose
    }

    /// Whether the last request was refused and may have left a part of its body unread.
    pub fn is_body_unread(&self) -> bool {
        self.entry.is_body_unread.get()
    }

    /// Records whether the last request may have left a part of its body unread.
    pub fn set_body_unread(&self, is_body_unread: bool) {
        self.entry.is_body_unread.set(is_body_unread);
    }

    /// Records received bytes.
    pub fn record_read(&self, bytes: usize) {
        let entry = &self.entry;
        entry.progress_at.set(clock::now());
        if entry.is_busy.get() {
            return;
        }
        let now = clock::now();
        let is_drained =
            entry.finished_at.get().is_some_and(|finished| now.since(finished) < DRAIN_TIME);
        if entry.head_since.get().is_none() && !is_drained {
            entry.head_since.set(Some(now));
        }
        entry.head_bytes.set(entry.head_bytes.get() + bytes);
        let table = &self.table;
        table.head_bytes.set(table.head_bytes.get() + bytes);
        if table.head_bytes.get() > table.limits.head_bytes {
            table.close_longest_stalled(|entry| entry.head_bytes.get() > 0);
        }
    }

    /// Whether the receive buffer is enlarged.
    pub fn is_wide(&self) -> bool {
        self.entry.window.borrow().is_some()
    }

    /// Enlarges the receive buffer for a large body. `memory` covers what may then be unread.
    pub fn widen(&self, memory: Window) {
        self.entry.window.replace(Some(memory));
        self.set_receive_buffer(self.table.limits.socket_buffer);
    }

    /// Gives the memory of an enlarged receive buffer back if others may need it and the buffer is
    /// not in use: a client may have sent more than the body.
    fn narrow(&self) {
        let is_needed = self.entry.window.borrow().as_ref().is_some_and(Window::is_scarce);
        if !is_needed {
            return;
        }
        self.set_receive_buffer(CALLER_RECEIVE_BUFFER);
        let mut bytes = [MaybeUninit::uninit(); CALLER_UNREAD + 1];
        let unread = SockRef::from(&self.entry.socket).peek(&mut bytes);
        if unread.is_ok_and(|unread| unread > CALLER_UNREAD) {
            return;
        }
        self.entry.window.take();
    }

    /// Records a write: whether the socket took bytes.
    pub fn record_write(&self, is_blocked: bool) {
        self.entry.is_write_blocked.set(is_blocked);
        if !is_blocked {
            self.entry.progress_at.set(clock::now());
        }
    }

    /// Keeps the memory of a reply until all of it has been written.
    pub fn keep_until_written(&self, memory: Memory) {
        self.entry.unwritten.replace(memory);
    }

    /// Records that all replies so far have been written.
    pub fn record_flush(&self) {
        self.entry.unwritten.take();
    }

    /// Records that the head of a request is complete.
    pub fn start_request(&self) {
        self.end_head();
        self.entry.is_busy.set(true);
    }

    /// Records that the reply has been handed to the connection.
    pub fn finish_request(&self) {
        self.entry.is_busy.set(false);
        let now = clock::now();
        self.entry.progress_at.set(now);
        self.entry.finished_at.set(Some(now));
        self.narrow();
    }

    fn end_head(&self) {
        self.entry.head_since.set(None);
        let bytes = self.entry.head_bytes.take();
        self.table.head_bytes.set(self.table.head_bytes.get() - bytes);
    }

    fn set_receive_buffer(&self, bytes: usize) {
        // A connection that keeps its buffer works, if slowly.
        let _ = SockRef::from(&self.entry.socket).set_recv_buffer_size(bytes);
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.end_head();
        let count = &self.table.counts[self.entry.purpose as usize];
        count.set(count.get() - 1);
        self.table.entries.borrow_mut().remove(&self.id);
    }
}
