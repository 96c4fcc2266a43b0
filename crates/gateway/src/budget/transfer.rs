//! Permits for requests at targets.

use std::cell::Cell;
use std::rc::Rc;

use ebonypass_core::time::Instant;
use ebonypass_node::clock;
use event_listener::Event as Signal;
use futures_lite::future;

use super::STALL_POLL_INTERVAL;

/// Limits how many requests may be at targets, or have unfinished replies, at once. This bounds what
/// they take beside the bytes that are counted.
#[derive(Debug)]
pub struct Transfers {
    limit: usize,
    count: Cell<usize>,
    ended: Signal,
}

/// Permission to send a request to a target, from before it is sent until its reply has been
/// written to the caller.
#[derive(Debug)]
pub struct Transfer {
    transfers: Rc<Transfers>,
}

impl Transfers {
    /// Permits `limit` requests.
    pub fn new(limit: usize) -> Rc<Transfers> {
        Rc::new(Transfers { limit, count: Cell::new(0), ended: Signal::new() })
    }

    /// Permission to send a request to a target, if there is one now.
    pub fn try_start(self: &Rc<Self>) -> Option<Transfer> {
        self.has_room().then(|| {
            self.count.set(self.count.get() + 1);
            Transfer { transfers: self.clone() }
        })
    }

    /// Waits until a request may be sent to a target. Calls `make_room` at intervals; returns false
    /// if none may be sent before `end`.
    pub async fn wait(&self, end: Instant, make_room: impl Fn()) -> bool {
        loop {
            let ended = self.ended.listen();
            if self.has_room() {
                return true;
            }
            let now = clock::now();
            if now >= end {
                return false;
            }
            make_room();
            future::or(ended, clock::sleep_until(end.min(now + STALL_POLL_INTERVAL))).await;
        }
    }

    /// Requests that are at targets or whose replies are unfinished.
    pub fn count(&self) -> usize {
        self.count.get()
    }

    fn has_room(&self) -> bool {
        self.count.get() < self.limit
    }
}

impl Drop for Transfer {
    fn drop(&mut self) {
        let transfers = &self.transfers;
        transfers.count.set(transfers.count.get() - 1);
        transfers.ended.notify(1);
    }
}
