//! Whether one target may be used, from everything that is known of it.
//!
//! A target speaks of itself in its registry entry, which may arrive late, out of order or by way of
//! another machine, and in its replies. docs/design.md lists which source sets and ends each state.
//! Within a lifetime of the target the order of events does not matter for whether it is leaving,
//! and a new lifetime starts without the evidence of the one before.

use std::net::SocketAddr;

use crate::time::{Instant, Span};

/// Limit on the time for which a target can turn this machine away by one reply. A wrong value must
/// not keep a target out of use for good.
pub const MAX_REFUSAL: Span = Span::from_secs(600);

/// One lifetime of a target, from one start to the next under the same name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lifetime {
    /// Its start in Unix milliseconds, if it reports it.
    pub start_unix_ms: Option<u64>,
    /// Its address, which tells lifetimes apart that report no start.
    pub address: SocketAddr,
}

impl Lifetime {
    /// How `self` follows `known`.
    fn order_after(self, known: Lifetime) -> Order {
        match (known.start_unix_ms, self.start_unix_ms) {
            (Some(known), Some(start)) if start < known => Order::Earlier,
            (Some(known), Some(start)) if start > known => Order::Later,
            (Some(_), Some(_)) => Order::Same,
            _ if self.address == known.address => Order::Same,
            _ => Order::Later,
        }
    }
}

enum Order {
    Earlier,
    Same,
    Later,
}

/// What a registry entry says of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    /// The lifetime of which it speaks.
    pub lifetime: Lifetime,
    /// Number of the check-in, which grows within a lifetime.
    pub sequence: u64,
    /// Whether the target is draining.
    pub is_leaving: bool,
    /// The time from now for which it stays cold.
    pub cold_time_left: Span,
}

/// What an entry changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Update {
    /// The target has started anew.
    Restarted,
    /// The entry continues the known lifetime.
    Applied,
    /// The entry is older than what is known. It counts only if it says that the target is leaving.
    Outdated,
}

/// Whether a target may be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It takes requests.
    Usable,
    /// It takes few requests until the given time.
    Cold(Instant),
    /// It wants no requests from this machine until the given time.
    Refusing(Instant),
    /// It takes no new requests in this lifetime.
    Leaving,
    /// It is not in the registry, or its address belongs to another target.
    Gone,
}

/// What is known of one target.
#[derive(Debug)]
pub struct Availability {
    lifetime: Lifetime,
    sequence: u64,
    is_listed: bool,
    is_leaving: bool,
    is_misdirected: bool,
    cold_until: Instant,
    refusing_until: Instant,
}

impl Availability {
    /// What the first entry of a target says.
    pub fn new(now: Instant, entry: Entry) -> Availability {
        Availability {
            lifetime: entry.lifetime,
            sequence: entry.sequence,
            is_listed: true,
            is_leaving: entry.is_leaving,
            is_misdirected: false,
            cold_until: now + entry.cold_time_left,
            refusing_until: Instant::ZERO,
        }
    }

    /// The known lifetime.
    pub fn lifetime(&self) -> Lifetime {
        self.lifetime
    }

    /// Records an entry that the registry holds, from the registry or from another machine.
    pub fn record_entry(&mut self, now: Instant, entry: Entry) -> Update {
        let order = entry.lifetime.order_after(self.lifetime);
        let has_restarted = match order {
            Order::Earlier => return Update::Outdated,
            Order::Later => true,
            Order::Same => self.has_restarted(entry),
        };
        if has_restarted {
            *self = Availability::new(now, entry);
            return Update::Restarted;
        }
        self.is_leaving |= entry.is_leaving;
        if entry.sequence < self.sequence {
            return Update::Outdated;
        }
        self.is_listed = true;
        self.is_misdirected &= entry.lifetime.address == self.lifetime.address;
        self.lifetime = entry.lifetime;
        self.sequence = entry.sequence;
        self.cold_until = now + entry.cold_time_left;
        Update::Applied
    }

    /// Records an entry of the first list after the registry was restored from an older snapshot. It
    /// counts only if it is later than what is known; one that states no start may be of an earlier
    /// lifetime. A live target checks in again soon, and its new entry counts as usual.
    pub fn record_restored_entry(&mut self, now: Instant, entry: Entry) -> Update {
        let has_starts =
            entry.lifetime.start_unix_ms.is_some() && self.lifetime.start_unix_ms.is_some();
        match entry.lifetime.order_after(self.lifetime) {
            Order::Later if has_starts => self.record_entry(now, entry),
            Order::Same if entry.sequence > self.sequence => self.record_entry(now, entry),
            Order::Same => {
                self.is_leaving |= entry.is_leaving;
                Update::Outdated
            }
            Order::Earlier | Order::Later => Update::Outdated,
        }
    }

    /// Whether an entry that states no start is of a later lifetime: its count of check-ins has
    /// started anew. It is taken for a late check-in if the listed target is leaving.
    fn has_restarted(&self, entry: Entry) -> bool {
        let may_be_late = self.is_leaving && self.is_listed;
        entry.lifetime.start_unix_ms.is_none() && entry.sequence < self.sequence && !may_be_late
    }

    /// Records that the registry holds no valid entry any more. Returns whether it held one before.
    pub fn record_removal(&mut self) -> bool {
        std::mem::replace(&mut self.is_listed, false)
    }

    /// Records that a reply of `lifetime` says that the target is leaving. Returns whether this was
    /// unknown.
    pub fn record_leaving(&mut self, lifetime: Lifetime) -> bool {
        lifetime == self.lifetime && !std::mem::replace(&mut self.is_leaving, true)
    }

    /// Records that a reply of `lifetime` turns this machine away for `wait`, at most
    /// [`MAX_REFUSAL`]. Of several times the latest end counts.
    pub fn record_refusal(&mut self, now: Instant, lifetime: Lifetime, wait: Span) {
        if lifetime == self.lifetime {
            self.refusing_until = self.refusing_until.max(now + wait.min(MAX_REFUSAL));
        }
    }

    /// Records that another target replied at the address of `lifetime`.
    pub fn record_misdirection(&mut self, lifetime: Lifetime) {
        self.is_misdirected |= lifetime == self.lifetime;
    }

    /// Whether the registry lists the target.
    pub fn is_listed(&self) -> bool {
        self.is_listed
    }

    /// Whether the target stays cold at `now`.
    pub fn is_cold(&self, now: Instant) -> bool {
        now < self.cold_until
    }

    /// When the target stops to turn this machine away, or did last.
    pub fn refusing_until(&self) -> Instant {
        self.refusing_until
    }

    /// The state at `now`. Of several, the one that allows least.
    pub fn state(&self, now: Instant) -> State {
        if !self.is_listed || self.is_misdirected {
            State::Gone
        } else if self.is_leaving {
            State::Leaving
        } else if now < self.refusing_until {
            State::Refusing(self.refusing_until)
        } else if self.is_cold(now) {
            State::Cold(self.cold_until)
        } else {
            State::Usable
        }
    }
}
