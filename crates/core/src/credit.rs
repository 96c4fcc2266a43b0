//! Credit: the number of concurrent requests that a region accepts from an entry of another region.
//!
//! The entry that owns a [pool](crate::pool) grants credit for slots that it knows to be free.
//! Without credit no request leaves its home region, the one in which it arrived, so decisions made
//! elsewhere cannot overload a region. As with [loans of link rate](crate::share), the lifetime of
//! credit counts from when it was requested, so that a delayed message does not prolong it.

use serde::{Deserialize, Serialize};

use crate::id::{EntryId, RegionId};
use crate::time::{Instant, Span};

/// The lifetime of credit. It is short because slots that are granted but not used stay idle.
pub const CREDIT_LIFETIME: Span = Span::from_secs(1);

/// How much longer than its lifetime the granter reserves credit. Allows for a requester's clock that
/// is 1% slow (10 ms) and for the one-way latency of a request that starts just before expiry (35 ms
/// between the most distant regions), with some reserve.
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
    /// The number of the sender's requests that may be in flight at once, including those that are.
    pub count: u32,
    /// The time for which new requests may start, counted from when the credit request was sent.
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
    /// The number of requests in flight from each entry, at least 1.
    in_flight: Vec<(EntryId, u32)>,
}

impl Granter {
    /// A granter without grants.
    pub fn new() -> Granter {
        Granter::default()
    }

    /// Grants entry `to` at most `count` concurrent requests and returns the number granted. They stay
    /// reserved for [`CREDIT_LIFETIME`] and [`CREDIT_MARGIN`] from `now`, when the credit request was
    /// received. `free` is the number of slots that are confirmed free and not reserved for the
    /// region's own requests.
    pub fn grant(&mut self, now: Instant, to: EntryId, count: u32, free: u32) -> u32 {
        self.grants.retain(|grant| now < grant.until);
        let unused_by_others: u32 = self.other_entries(to).map(|other| self.unused(other)).sum();
        // Requests of `to` in flight count towards its credit, and their slots are not among the free.
        let count = count.min(free.saturating_sub(unused_by_others) + self.in_flight(to));
        if count > 0 {
            self.grants.push(Grant { to, count, until: now + CREDIT_LIFETIME + CREDIT_MARGIN });
        }
        count
    }

    /// Whether any entry holds credit or has requests in flight.
    pub fn has_outstanding(&self, now: Instant) -> bool {
        !self.in_flight.is_empty() || self.grants.iter().any(|grant| now < grant.until)
    }

    /// Counts a request from entry `from` that has started.
    pub fn record_start(&mut self, from: EntryId) {
        match self.in_flight.iter_mut().find(|(entry, _)| *entry == from) {
            Some((_, in_flight)) => *in_flight += 1,
            None => self.in_flight.push((from, 1)),
        }
    }

    /// Counts a request from entry `from` that has ended.
    pub fn record_end(&mut self, from: EntryId) {
        if let Some((_, in_flight)) = self.in_flight.iter_mut().find(|(entry, _)| *entry == from) {
            *in_flight = in_flight.saturating_sub(1);
        }
        self.in_flight.retain(|(_, in_flight)| *in_flight > 0);
    }

    /// The entries other than `to` that have grants, each once.
    fn other_entries(&self, to: EntryId) -> impl Iterator<Item = EntryId> {
        let grants = self.grants.iter().enumerate();
        let distinct = grants.filter(|(index, grant)| {
            !self.grants[..*index].iter().any(|earlier| earlier.to == grant.to)
        });
        distinct.map(|(_, grant)| grant.to).filter(move |&other| other != to)
    }

    /// The number of requests that `entry` may still start. The largest of its grants counts, since the
    /// reply with the latest one may not have arrived.
    fn unused(&self, entry: EntryId) -> u32 {
        let grants = self.grants.iter().filter(|grant| grant.to == entry);
        let largest = grants.map(|grant| grant.count).max().unwrap_or(0);
        largest.saturating_sub(self.in_flight(entry))
    }

    /// The number of requests from `entry` in flight.
    pub fn in_flight(&self, entry: EntryId) -> u32 {
        let found = self.in_flight.iter().find(|(other, _)| *other == entry);
        found.map_or(0, |&(_, in_flight)| in_flight)
    }
}

/// The credit that one entry has with one pool of another region.
#[derive(Debug, Clone, Copy, Default)]
pub struct Balance {
    round: u64,
    requested_at: Instant,
    count: u32,
    until: Instant,
    in_flight: u32,
}

impl Balance {
    /// A balance without credit.
    pub fn new() -> Balance {
        Balance::default()
    }

    /// Records that a credit request is sent at `now` and returns its round. Replies to earlier rounds
    /// are ignored.
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
        if now < self.until { self.count.saturating_sub(self.in_flight) } else { 0 }
    }

    /// Counts a request that starts, if credit is available for it. Returns whether it is.
    pub fn try_start(&mut self, now: Instant) -> bool {
        let has_credit = self.available(now) > 0;
        self.in_flight += u32::from(has_credit);
        has_credit
    }

    /// Counts a request that has ended.
    pub const fn record_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }
}

/// A region other than the home region as a candidate for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RemoteRegion {
    /// The region.
    pub region: RegionId,
    /// The percentage of the home region's requests that the [shift plan](crate::shift) sends there.
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
    /// The pool of the home region.
    Home,
    /// The pool of another region. The caller still has to call [`Balance::try_start`].
    Remote(RegionId),
    /// No destination: neither the home region nor another one with credit can reply in time.
    Refused,
}

/// Chooses the destination of a request in its home region. Requests that were forwarded from there
/// are not forwarded again. `random_percent` is a random number below 100, `home_wait` is the
/// expected wait for a slot in the home region, `None` if it cannot reply in time, and `remotes` are
/// ordered by preference.
///
/// A planned shift takes precedence if its region has credit and can reply in time. Otherwise the
/// request goes to the first such region whose round trip time is shorter than the wait in the home
/// region, since a free slot there serves it sooner. If the home region cannot reply in time, any
/// such region will do.
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
    let is_preferable =
        |remote: &&RemoteRegion| home_wait.is_none_or(|wait| wait > remote.round_trip);
    let preferable = remotes.iter().filter(is_available).find(is_preferable);
    let fallback = if home_wait.is_some() { Destination::Home } else { Destination::Refused };
    preferable.map_or(fallback, |remote| Destination::Remote(remote.region))
}
