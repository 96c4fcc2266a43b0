//! Budget of the memory that request bodies and replies take.
//!
//! A body that makes no progress while others need its memory loses its reservation; docs/design/
//! client-memory.md lists what is counted.

mod transfer;
mod window;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use ebonypass_core::time::{Instant, Span};
use ebonypass_node::clock;
use event_listener::Event as Signal;
use futures_lite::future;

pub use self::transfer::{Transfer, Transfers};
pub use self::window::{Window, Windows};
use crate::footprint::UPLOAD_BYTES;

/// Reservations of this size or less may exceed the limit, so that large ones cannot keep them out.
///
/// A request with the largest head and a body of 16 KiB.
const SMALL_BYTES: usize = UPLOAD_BYTES + (32 << 10);
/// A body makes progress each time it has received this many bytes. A hundred uploads that share a
/// link of 10 Mbit/s receive five times as much within the default stall time.
const PROGRESS_BYTES: usize = 1 << 10;
/// How often a waiting request looks for bodies that have stalled meanwhile.
const STALL_POLL_INTERVAL: Span = Span::from_millis(50);

/// Sizes and times of a [`Budget`].
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Bytes that all bodies may take together.
    pub total: usize,
    /// Bytes that small reservations may take in addition.
    pub small: usize,
    /// Bytes up to which replies may be read ahead, so that requests find memory.
    pub replies: usize,
    /// Bytes that enlarged receive buffers may take in addition.
    pub windows: usize,
    /// Requests that may be at targets, or whose replies may be unfinished, at once.
    pub transfers: usize,
    /// Requests without any memory that may wait for it at once.
    pub waiting: usize,
    /// Time without progress after which a body may lose its reservation.
    pub stall: Span,
}

/// Bytes that all bodies may take together.
#[derive(Debug)]
pub struct Budget {
    /// Enlarged receive buffers, which have a share of their own.
    pub windows: Rc<Windows>,
    /// Requests at targets, which have a share of their own.
    pub transfers: Rc<Transfers>,
    limits: Limits,
    used: Cell<usize>,
    peak: Cell<usize>,
    released: Signal,
    waiting: Cell<usize>,
    next_id: Cell<u64>,
    readers: RefCell<BTreeMap<u64, Reader>>,
}

/// A body that is being received.
#[derive(Debug)]
struct Reader {
    progress_at: Instant,
    received: usize,
    reserved: usize,
    /// Whether the gateway itself makes the body wait.
    is_waiting: bool,
    evicted: Rc<Eviction>,
}

/// Tells a body's reader that the reservation was withdrawn.
#[derive(Debug, Default)]
pub struct Eviction {
    is_set: Cell<bool>,
    signal: Signal,
}

impl Eviction {
    /// Whether the reservation was withdrawn.
    pub fn is_set(&self) -> bool {
        self.is_set.get()
    }

    /// Waits until the reservation is withdrawn.
    pub async fn wait(&self) {
        loop {
            let listener = self.signal.listen();
            if self.is_set.get() {
                return;
            }
            listener.await;
        }
    }
}

/// A part of the budget, given back when dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Rc<Budget>,
    bytes: usize,
    reader: Option<u64>,
}

/// Memory of a reply that is kept until its last byte has been written.
#[derive(Debug, Default)]
pub struct Memory {
    _reservation: Option<Reservation>,
    _transfer: Option<Transfer>,
}

impl Memory {
    /// Combines what a reply holds.
    pub fn new(reservation: Option<Reservation>, transfer: Option<Transfer>) -> Memory {
        Memory { _reservation: reservation, _transfer: transfer }
    }
}

impl Budget {
    /// Creates an unused budget.
    pub fn new(limits: Limits) -> Rc<Budget> {
        Rc::new(Budget {
            windows: Windows::new(limits.windows),
            transfers: Transfers::new(limits.transfers),
            limits,
            used: Cell::new(0),
            peak: Cell::new(0),
            released: Signal::new(),
            waiting: Cell::new(0),
            next_id: Cell::new(0),
            readers: RefCell::default(),
        })
    }

    /// An empty reservation for a reply.
    pub fn reservation(self: &Rc<Self>) -> Reservation {
        Reservation { budget: self.clone(), bytes: 0, reader: None }
    }

    /// An empty reservation for a request body that is about to be received.
    pub fn reservation_for_reader(self: &Rc<Self>) -> (Reservation, Rc<Eviction>) {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let evicted: Rc<Eviction> = Rc::default();
        let reader = Reader {
            progress_at: clock::now(),
            received: 0,
            reserved: 0,
            is_waiting: false,
            evicted: evicted.clone(),
        };
        self.readers.borrow_mut().insert(id, reader);
        (Reservation { budget: self.clone(), bytes: 0, reader: Some(id) }, evicted)
    }

    /// Bytes that all bodies may take together.
    pub fn total(&self) -> usize {
        self.limits.total
    }

    /// Bytes in use.
    pub fn used(&self) -> usize {
        self.used.get()
    }

    /// The most bytes that were in use at once.
    pub fn peak(&self) -> usize {
        self.peak.get()
    }

    /// Withdraws the reservations that have made no progress for longest until `bytes` will be
    /// free.
    pub fn evict_stalled(&self, bytes: usize) {
        let now = clock::now();
        let mut readers = self.readers.borrow_mut();
        let is_stalled = |reader: &Reader| {
            !reader.is_waiting && now.since(reader.progress_at) >= self.limits.stall
        };
        // Evicted readers release their memory as soon as their tasks run.
        let leaving = readers.values().filter(|reader| reader.evicted.is_set.get());
        let mut freed: usize = leaving.map(|reader| reader.reserved).sum();
        while freed < bytes {
            let stalled = readers.values_mut().filter(|reader| !reader.evicted.is_set.get());
            let oldest =
                stalled.filter(|reader| is_stalled(reader)).min_by_key(|reader| reader.progress_at);
            let Some(reader) = oldest else { break };
            reader.evicted.is_set.set(true);
            reader.evicted.signal.notify(usize::MAX);
            freed += reader.reserved.max(1);
        }
    }

    /// Whether `bytes` of a reservation, `missing` of them new, fit.
    fn fits(&self, bytes: usize, missing: usize) -> bool {
        missing == 0 || self.shortage(bytes, missing) == 0
    }

    /// How many bytes have to be given back before `bytes` of a reservation, `missing` of them new,
    /// fit.
    fn shortage(&self, bytes: usize, missing: usize) -> usize {
        let small = if bytes <= SMALL_BYTES { self.limits.small } else { 0 };
        (self.used.get() + missing).saturating_sub(self.limits.total + small)
    }
}

impl Reservation {
    /// An empty reservation of the same budget.
    pub fn sibling(&self) -> Reservation {
        self.budget.reservation()
    }

    /// Enlarges the reservation to `bytes`, withdrawing those of stalled bodies if necessary.
    /// Returns whether it covers them before `deadline`.
    pub async fn grow(&mut self, bytes: usize, deadline: Instant) -> bool {
        if self.try_grow(bytes) {
            return true;
        }
        if bytes > self.budget.limits.total {
            return false;
        }
        // A request that holds no memory yet is not counted while it waits.
        let is_first = self.bytes == 0;
        if is_first && self.budget.waiting.get() >= self.budget.limits.waiting {
            return false;
        }
        let _waiting = is_first.then(|| Waiting::new(&self.budget));
        self.set_waiting(true);
        let mut evict_at = clock::now();
        let is_grown = loop {
            let released = self.budget.released.listen();
            if self.try_grow(bytes) {
                break true;
            }
            let now = clock::now();
            if now >= deadline {
                break false;
            }
            if now >= evict_at {
                self.budget.evict_stalled(self.budget.shortage(bytes, bytes - self.bytes));
                evict_at = now + STALL_POLL_INTERVAL;
            }
            future::or(released, clock::sleep_until(deadline.min(evict_at))).await;
        };
        self.set_waiting(false);
        is_grown
    }

    /// Enlarges the reservation to `bytes` if they are free now.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let missing = bytes.saturating_sub(self.bytes);
        let is_free = self.budget.fits(bytes, missing);
        if is_free {
            self.add(missing);
        }
        is_free
    }

    /// Enlarges the reservation of a reply to `bytes` if replies may take them now.
    pub fn try_grow_reply(&mut self, bytes: usize) -> bool {
        let missing = bytes.saturating_sub(self.bytes);
        let is_free = self.budget.used.get() + missing <= self.budget.limits.replies
            || bytes <= SMALL_BYTES && self.budget.fits(bytes, missing);
        if is_free {
            self.add(missing);
        }
        is_free
    }

    /// Adds bytes that are held already, whether or not they are free.
    fn add(&mut self, bytes: usize) {
        self.bytes += bytes;
        let used = self.budget.used.get() + bytes;
        self.budget.used.set(used);
        self.budget.peak.set(used.max(self.budget.peak.get()));
        self.update_reader(|reader, reserved| reader.reserved = reserved);
    }

    /// Gives back a part.
    pub fn shrink(&mut self, bytes: usize) {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        self.budget.used.set(self.budget.used.get() - bytes);
        self.budget.released.notify(usize::MAX);
        self.update_reader(|reader, reserved| reader.reserved = reserved);
    }

    /// Bytes reserved.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Records that the body has `length` bytes by now.
    pub fn record_received(&mut self, length: usize) {
        self.update_reader(|reader, _| {
            if length >= reader.received + PROGRESS_BYTES {
                reader.received = length;
                reader.progress_at = clock::now();
            }
        });
    }

    /// Ends the reception: the reservation is no longer withdrawn.
    pub fn complete(&mut self) {
        if let Some(id) = self.reader.take() {
            self.budget.readers.borrow_mut().remove(&id);
        }
    }

    fn set_waiting(&mut self, is_waiting: bool) {
        self.update_reader(|reader, _| {
            reader.is_waiting = is_waiting;
            reader.progress_at = clock::now();
        });
    }

    fn update_reader(&mut self, update: impl FnOnce(&mut Reader, usize)) {
        let Some(id) = self.reader else { return };
        if let Some(reader) = self.budget.readers.borrow_mut().get_mut(&id) {
            update(reader, self.bytes);
        }
    }
}

/// Counts a request that waits for its first memory.
struct Waiting(Rc<Budget>);

impl Waiting {
    fn new(budget: &Rc<Budget>) -> Waiting {
        budget.waiting.set(budget.waiting.get() + 1);
        Waiting(budget.clone())
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.0.waiting.set(self.0.waiting.get() - 1);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.complete();
        self.budget.used.set(self.budget.used.get() - self.bytes);
        self.budget.released.notify(usize::MAX);
    }
}
