//! The tokens that this machine holds and asks for.

use std::collections::VecDeque;
use std::net::IpAddr;

use super::Limit;
use super::bucket::Bucket;
use crate::time::{Instant, Span};

/// Time over which the local rate of a tenant is averaged, in seconds.
const RATE_TIME_S: f64 = 1.0;
/// Time for which tokens are kept ahead of need, in seconds.
const AHEAD_S: f64 = 0.3;
/// The longest wait of an ask whose owner has no token. It doubles from [`MIN_BACKOFF`] so that a
/// tenant beyond its quota causes few messages.
const MAX_BACKOFF: Span = Span::from_millis(200);
const MIN_BACKOFF: Span = Span::from_millis(50);
/// Time after the loss of contact at which the owners on the other side certainly count this
/// machine as out of reach. Until then it uses only [`EARLY_SHARE`] of its share.
const ADAPTION_TIME: Span = Span::from_secs(4);
const EARLY_SHARE: f64 = 0.5;
/// Part of the machine's share of the burst that it uses without contact.
const STANDALONE_BURST: f64 = 0.4;

/// A machine's ask that has no answer yet.
#[derive(Debug, Clone, Copy)]
pub(super) struct OpenAsk {
    pub(super) to: IpAddr,
    /// When it was last sent.
    pub(super) sent_at: Instant,
    /// How often it was sent to the same machine.
    pub(super) tries: u32,
}

/// What a machine without contact may use of each quota.
#[derive(Debug, Clone, Copy)]
pub(super) struct Part {
    /// When the contact with the fleet was lost.
    pub(super) lost_at: Instant,
    /// Tokens at that time.
    pub(super) start: f64,
    /// Tokens per second, whatever the quota.
    pub(super) rate_per_s: f64,
    /// Share of the quota.
    pub(super) share: f64,
}

/// One tenant's quota as this machine uses it.
#[derive(Debug)]
pub(super) struct Account {
    pub(super) limit: Limit,
    /// Tokens with the time when they expire, the earliest first.
    leases: VecDeque<(Instant, u16)>,
    /// Tokens that expired unused since the last ask.
    expired: u16,
    rate_per_s: f64,
    rate_at: Instant,
    /// Requests that wait for a token.
    pub(super) waiting: u16,
    pub(super) open_ask: Option<OpenAsk>,
    /// The next ask is not sent before.
    pub(super) next_ask_at: Instant,
    /// When the owner expects to have a token.
    pub(super) denied_until: Instant,
    backoff: Span,
    /// The machine that answered last as the owner, and until when it is asked first.
    pub(super) owner: Option<(IpAddr, Instant)>,
    /// Position in the order of the machine to ask.
    pub(super) position: usize,
    /// Machines that passed the last ask on.
    pub(super) hops: u32,
    pub(super) is_fallback: bool,
    /// Tokens without an owner, since the time when the contact was lost.
    standalone: Option<(Instant, Bucket)>,
}

impl Account {
    pub(super) fn new(now: Instant, limit: Limit) -> Account {
        Account {
            limit,
            leases: VecDeque::new(),
            expired: 0,
            rate_per_s: 0.0,
            rate_at: now,
            waiting: 0,
            open_ask: None,
            next_ask_at: now,
            denied_until: now,
            backoff: Span::ZERO,
            owner: None,
            position: 0,
            hops: 0,
            is_fallback: false,
            standalone: None,
        }
    }

    /// Counts an arrival.
    pub(super) fn record_arrival(&mut self, now: Instant) {
        let elapsed_s = now.since(self.rate_at).as_micros() as f64 / 1e6;
        self.rate_per_s = self.rate_per_s * (-elapsed_s / RATE_TIME_S).exp() + 1.0 / RATE_TIME_S;
        self.rate_at = now;
    }

    /// Tokens to keep ahead of need. None for a tenant with rare requests.
    fn ahead(&self) -> u16 {
        (self.rate_per_s * AHEAD_S).min(self.limit.rate_per_s * AHEAD_S) as u16
    }

    fn expire(&mut self, now: Instant) {
        while let Some(&(expiry, count)) = self.leases.front() {
            if expiry > now {
                return;
            }
            self.leases.pop_front();
            self.expired = self.expired.saturating_add(count);
        }
    }

    fn held(&self) -> u16 {
        self.leases.iter().map(|(_, count)| *count).sum()
    }

    /// Takes one leased token.
    pub(super) fn take(&mut self, now: Instant) -> bool {
        self.expire(now);
        let Some((_, count)) = self.leases.front_mut() else { return false };
        *count -= 1;
        if *count == 0 {
            self.leases.pop_front();
        }
        true
    }

    /// Further tokens to ask for, if fewer than half are left.
    pub(super) fn wanted(&self) -> u16 {
        let (ahead, held) = (self.ahead(), self.held());
        if held * 2 > ahead { 0 } else { ahead - held }
    }

    /// The number of expired tokens to return, which is then forgotten.
    pub(super) fn take_expired(&mut self, now: Instant) -> u16 {
        self.expire(now);
        std::mem::take(&mut self.expired)
    }

    /// Adds tokens.
    pub(super) fn add(&mut self, expiry: Instant, count: u16) {
        self.backoff = Span::ZERO;
        let position = self.leases.partition_point(|(other, _)| *other <= expiry);
        self.leases.insert(position, (expiry, count));
    }

    /// Records tokens that arrived after their expiry.
    pub(super) fn add_expired(&mut self, count: u16) {
        self.expired = self.expired.saturating_add(count);
    }

    /// Records that the owner has no token for `wait`.
    pub(super) fn deny(&mut self, now: Instant, wait: Span) {
        self.backoff = self.backoff.times(2).clamp(MIN_BACKOFF, MAX_BACKOFF);
        self.next_ask_at = now + wait.max(self.backoff);
        self.denied_until = now + wait;
    }

    /// Whether several asks in a row were denied.
    pub(super) fn is_exhausted(&self, now: Instant) -> bool {
        self.backoff == MAX_BACKOFF && now < self.next_ask_at
    }

    /// Takes one token of this machine's own part of the quota, if there is one.
    pub(super) fn take_standalone(&mut self, now: Instant, part: &Part) -> bool {
        let mut bucket = match self.standalone {
            Some((at, bucket)) if at == part.lost_at => bucket,
            _ => Bucket::new(part.lost_at, part.start),
        };
        let burst = self.limit.burst * part.share * STANDALONE_BURST;
        let capacity = (1.0 + burst).max(part.start);
        let adapted_at = part.lost_at + ADAPTION_TIME;
        let rate = self.limit.rate_per_s * part.share;
        bucket.fill(now.min(adapted_at), rate * EARLY_SHARE + part.rate_per_s, capacity);
        if now > adapted_at {
            bucket.fill(now, rate + part.rate_per_s, capacity);
        }
        let is_taken = bucket.take(1) == 1;
        self.standalone = Some((part.lost_at, bucket));
        is_taken
    }
}
