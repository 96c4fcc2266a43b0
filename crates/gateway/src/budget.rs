//! Budget of the memory that request bodies take.

use std::cell::Cell;
use std::rc::Rc;

use ebonypass_core::time::Instant;
use ebonypass_node::clock;
use event_listener::Event as Signal;
use futures_lite::future;

/// Bodies of this size or less are always admitted, so that large ones cannot keep them out. As
/// many as there may be connections take a few tens of megabytes.
const SMALL_BODY_BYTES: usize = 16 << 10;

/// Bytes that all request bodies may take together.
#[derive(Debug)]
pub struct Budget {
    limit: usize,
    used: Cell<usize>,
    peak: Cell<usize>,
    released: Signal,
}

/// A part of the budget, given back when dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Rc<Budget>,
    bytes: usize,
}

impl Budget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Rc<Budget> {
        Rc::new(Budget { limit, used: Cell::new(0), peak: Cell::new(0), released: Signal::new() })
    }

    /// Reserves `bytes`. None if they are not free before `deadline`.
    pub async fn reserve(self: &Rc<Self>, bytes: usize, deadline: Instant) -> Option<Reservation> {
        let mut reservation = Reservation { budget: self.clone(), bytes: 0 };
        loop {
            let released = self.released.listen();
            if reservation.grow(bytes) {
                return Some(reservation);
            }
            if bytes > self.limit || clock::now() >= deadline {
                return None;
            }
            future::or(released, clock::sleep_until(deadline)).await;
        }
    }

    /// Bytes in use.
    pub fn used(&self) -> usize {
        self.used.get()
    }

    /// The most bytes that were in use at once.
    pub fn peak(&self) -> usize {
        self.peak.get()
    }
}

impl Reservation {
    /// Enlarges the reservation to `bytes`. Returns whether it covers them.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let missing = bytes.saturating_sub(self.bytes);
        let used = self.budget.used.get() + missing;
        if missing > 0 && bytes > SMALL_BODY_BYTES && used > self.budget.limit {
            return false;
        }
        self.bytes += missing;
        self.budget.used.set(used);
        self.budget.peak.set(used.max(self.budget.peak.get()));
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.used.set(self.budget.used.get() - self.bytes);
        self.budget.released.notify(usize::MAX);
    }
}
