//! Requests that wait for a slot while a service has too little room.
//!
//! `ebonypass_core::pressure` decides who waits and who goes next; this module wakes them.

use std::collections::HashMap;
use std::rc::Rc;

use ebonypass_core::id::{ServiceId, TargetId};
use ebonypass_core::pressure::{Queue, Waiter, WaiterId};
use ebonypass_core::time::Instant;
use event_listener::Event as Signal;

use crate::gateway::Gateway;

/// The waiting requests of this machine.
#[derive(Debug, Default)]
pub struct Waiting {
    /// Their order.
    pub queue: Queue,
    signals: HashMap<WaiterId, Rc<Signal>>,
}

/// A place in the queue, given back when dropped.
#[derive(Debug)]
pub(crate) struct Place {
    gateway: Rc<Gateway>,
    id: WaiterId,
    signal: Rc<Signal>,
}

impl Place {
    /// Adds a request to the queue.
    pub(crate) fn new(gateway: &Rc<Gateway>, waiter: Waiter) -> Place {
        let signal: Rc<Signal> = Rc::default();
        let mut waiting = gateway.waiting.borrow_mut();
        let id = waiting.queue.push(waiter);
        waiting.signals.insert(id, signal.clone());
        Place { gateway: gateway.clone(), id, signal }
    }

    /// Waits until a slot may be free for the request.
    pub(crate) async fn wait_for_slot(&self) {
        self.signal.listen().await;
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut waiting = self.gateway.waiting.borrow_mut();
        waiting.queue.remove(self.id);
        waiting.signals.remove(&self.id);
    }
}

impl Gateway {
    /// Wakes the request that should try for the slot of `target` that a request of this machine has
    /// left.
    pub(crate) fn release_slot(&self, now: Instant, service: ServiceId, target: TargetId) {
        let mut waiting = self.waiting.borrow_mut();
        let next = waiting.queue.release(now, service, target);
        if let Some(signal) = next.and_then(|id| waiting.signals.get(&id)) {
            signal.notify(1);
        }
    }
}
