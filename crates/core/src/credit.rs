//! Credit: the number of concurrent requests that a region accepts from another one.
//!
//! The owner of a pool grants credit from slots that it knows to be free. Without credit no request
//! leaves its region, so decisions made elsewhere cannot overload a region. As with
//! loans of link rate, the lifetime of credit counts from when it was requested, so that a delayed
//! message does not prolong it.

use serde::{Deserialize, Serialize};

use crate::id::{EntryId, RegionId};
use crate::time::{Instant, Span};

/// The lifetime of credit. Short, because slots that are granted but not used stay idle.
pub const CREDIT_LIFETIME: Span = Span::from_secs(1);

/// Allows for a requester's clock that is 1% slow (10 ms) and for the one-way latency of a request
/// that starts just before expiry (35 ms between the most distant regions), with some reserve.
pub const CREDIT_MARGIN: Span = Span::from_millis(60);

/// A request for credit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Increases with each request of the sender.
    pub round: u64,
    /// The service's name. The pool is that of the receiver's region.
    pub service: String,
    /// The number of concurrent requests that the sender could use.
    pub count: u32,
}

/// The reply to a [`Request`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Credit {
    /// The round of the credit request.
    pub round: u64,
    /// The service's name.
    pub service: String,
    /// The name of the pool's region.
    pub region: String,
    /// The number of concurrent requests, including those already in flight.
    pub count: u32,
    /// How long new requests may start, counted from when the credit request was sent.
    pub lifetime: Span,
}

#[derive(Debug, Clone, Copy)]
struct Grant {
    to: EntryId,
    count: u32,
    until: Instant,
}

/// The credit that the owner of one pool has granted.
#[derive(Debug, Default)]
pub struct Granter {
    grants: Vec<Grant>,
    /// The number of requests in flight from each entry.
    running: Vec<(EntryId, u32)>,
}

impl Granter {
    /// A granter without grants.
    pub fn new() -> Granter {
        Granter::default()
    }

    /// Grants `to`, which requested `count`, a number of concurrent requests and returns it. The
    /// grant lasts until [`CREDIT_LIFETIME`] after the credit request. `free` is the number of
    /// slots that are confirmed free and not reserved for the region's own requests.
    pub fn grant(&mut self, now: Instant, to: EntryId, count: u32, free: u32) -> u32 {
        self.grants.retain(|grant| now < grant.until);
        let reserved: u32 = self.other_entries(to).map(|other| self.unused(other)).sum();
        let count = count.min(free.saturating_sub(reserved) + self.running(to));
        if count > 0 {
            self.grants.push(Grant { to, count, until: now + CREDIT_LIFETIME + CREDIT_MARGIN });
        }
        count
    }

    /// Whether any entry holds credit or has requests in flight.
    pub fn has_outstanding(&self, now: Instant) -> bool {
        !self.running.is_empty() || self.grants.iter().any(|grant| now < grant.until)
    }

    /// Records that a request from `from` has started.
    pub fn start(&mut self, from: EntryId) {
        match self.running.iter_mut().find(|(entry, _)| *entry == from) {
            Some((_, running)) => *running += 1,
            None => self.running.push((from, 1)),
        }
    }

    /// Records that a request from `from` has ended.
    pub fn end(&mut self, from: EntryId) {
        if let Some((_, running)) = self.running.iter_mut().find(|(entry, _)| *entry == from) {
            *running = running.saturating_sub(1);
        }
        self.running.retain(|(_, running)| *running > 0);
    }

    /// The entries other than `to` that have grants, each once.
    fn other_entries(&self, to: EntryId) -> impl Iterator<Item = EntryId> {
        let grants = self.grants.iter().enumerate();
        let distinct = grants.filter(|(index, grant)| {
            !self.grants[..*index].iter().any(|earlier| earlier.to == grant.to)
        });
        distinct.map(|(_, grant)| grant.to).filter(move |&other| other != to)
    }

    /// The number of requests that `entry` may still start. It may be using an older, larger grant.
    fn unused(&self, entry: EntryId) -> u32 {
        let grants = self.grants.iter().filter(|grant| grant.to == entry);
        let largest = grants.map(|grant| grant.count).max().unwrap_or(0);
        largest.saturating_sub(self.running(entry))
    }

    /// The number of requests from `entry` in flight.
    pub fn running(&self, entry: EntryId) -> u32 {
        let found = self.running.iter().find(|(other, _)| *other == entry);
        found.map_or(0, |&(_, running)| running)
    }
}

/// The credit that one entry has with one pool of another region.
#[derive(Debug, Clone, Copy, Default)]
pub struct Balance {
    round: u64,
    requested_at: Instant,
    count: u32,
    until: Instant,
    running: u32,
}

impl Balance {
    /// A balance without credit.
    pub fn new() -> Balance {
        Balance::default()
    }

    /// Starts a credit request and returns its round. Replies to earlier rounds are ignored.
    pub const fn request(&mut self, now: Instant) -> u64 {
        self.round += 1;
        self.requested_at = now;
        self.round
    }

    /// Handles the reply to a credit request.
    pub fn handle_credit(&mut self, round: u64, count: u32, lifetime: Span) {
        if round == self.round {
            self.count = count;
            self.until = self.requested_at + lifetime.min(CREDIT_LIFETIME);
        }
    }

    /// The number of requests that may start at `now`.
    pub fn available(&self, now: Instant) -> u32 {
        if now < self.until { self.count.saturating_sub(self.running) } else { 0 }
    }

    /// Starts a request if credit is available, and returns whether it did.
    pub fn try_start(&mut self, now: Instant) -> bool {
        let has_credit = self.available(now) > 0;
        self.running += u32::from(has_credit);
        has_credit
    }

    /// Records that a request has ended.
    pub const fn end(&mut self) {
        self.running = self.running.saturating_sub(1);
    }
}

/// Another region as a candidate for a request of this region.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RemoteRegion {
    /// The region.
    pub region: RegionId,
    /// The percentage of this region's requests that the shift plan sends there.
    pub percent: u32,
    /// The number of requests that may start there now, see [`Balance::available`].
    pub available: u32,
    /// Whether a reply from there can arrive before the deadline.
    pub is_in_time: bool,
    /// The network round trip time.
    pub round_trip: Span,
}

/// The destination of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Destination {
    /// The pool of this region.
    Home,
    /// The pool of another region. The caller takes credit for it.
    Remote(RegionId),
    /// No destination: this region cannot serve the request in time and no other region has
    /// confirmed capacity.
    Refused,
}

/// Chooses the destination of a request that arrived in its own region. Requests forwarded by
/// another region stay here. `random_percent` is a random number below 100, `home_wait` is the
/// expected wait for a slot in this region, `None` if it cannot reply in time, and `remotes` are
/// ordered by preference.
///
/// Planned shifts take precedence. Any other request goes to the first region with credit whose
/// round trip time is shorter than the wait in this region, since a free slot there serves it
/// sooner.
pub fn choose_destination(
    random_percent: u32,
    home_wait: Option<Span>,
    remotes: &[RemoteRegion],
) -> Destination {
    let is_available = |remote: &&RemoteRegion| remote.available > 0 && remote.is_in_time;
    let mut cumulative_percent = 0;
    let planned = remotes.iter().find(|remote| {
        cumulative_percent += remote.percent;
        random_percent < cumulative_percent
    });
    if let Some(remote) = planned.filter(is_available) {
        return Destination::Remote(remote.region);
    }
    let is_faster = |remote: &&RemoteRegion| home_wait.is_none_or(|wait| wait > remote.round_trip);
    let faster = remotes.iter().filter(is_available).find(is_faster);
    let fallback = if home_wait.is_some() { Destination::Home } else { Destination::Refused };
    faster.map_or(fallback, |remote| Destination::Remote(remote.region))
}
