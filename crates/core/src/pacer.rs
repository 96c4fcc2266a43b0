//! Token bucket that paces bytes.
//!
//! Tokens accumulate at the rate up to the burst and are discarded when the rate expires, so the
//! bytes granted in any window are at most the rate in force integrated over the window plus the
//! burst at its start. Increasing rate or burst adds no tokens. Several pacers whose rates and
//! bursts sum to a limit at each instant therefore keep to that limit together, also while rate
//! moves between them.

use crate::time::{Instant, Span};

/// Tokens per byte. A token is a microsecond times a byte per second, because rates are in bytes
/// per second and time is in microseconds.
const TOKENS_PER_BYTE: u64 = 1_000_000;

/// A rate and a burst.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Rate {
    /// Bytes per second, at most 10^12.
    pub bytes_per_s: u64,
    /// Bytes that may be sent at once after an idle period, at most 10^12.
    pub burst_bytes: u64,
}

impl Rate {
    /// The rate at which nothing may be sent.
    pub const ZERO: Rate = Rate { bytes_per_s: 0, burst_bytes: 0 };
}

/// A token bucket whose rate is in force until a given instant.
#[derive(Debug, Clone)]
pub struct Pacer {
    rate: Rate,
    until: Instant,
    /// See [`TOKENS_PER_BYTE`] for the unit.
    tokens: u64,
    refilled_at: Instant,
}

impl Pacer {
    /// An empty bucket that grants nothing yet.
    pub const fn new(now: Instant) -> Pacer {
        Pacer { rate: Rate::ZERO, until: Instant::ZERO, tokens: 0, refilled_at: now }
    }

    /// Sets the rate that is in force from `now` (inclusive) to `until` (exclusive).
    pub fn set_rate(&mut self, now: Instant, rate: Rate, until: Instant) {
        self.refill(now);
        self.rate = rate;
        self.until = until;
        self.tokens = self.tokens.min(rate.burst_bytes * TOKENS_PER_BYTE);
    }

    /// The rate in force at `now`.
    pub fn rate(&self, now: Instant) -> Rate {
        if now < self.until { self.rate } else { Rate::ZERO }
    }

    /// Takes up to `bytes` and returns how many may be sent now. The caller must send them at once
    /// or discard the grant: bytes sent later are not covered by the limit.
    pub fn take(&mut self, now: Instant, bytes: u64) -> u64 {
        self.refill(now);
        let granted = bytes.min(self.tokens / TOKENS_PER_BYTE);
        self.tokens -= granted * TOKENS_PER_BYTE;
        granted
    }

    /// When `bytes` can be taken at once. `None` if the rate ends before or the burst is smaller.
    pub fn ready_at(&mut self, now: Instant, bytes: u64) -> Option<Instant> {
        self.refill(now);
        if bytes > self.rate.burst_bytes || now >= self.until {
            return None;
        }
        let missing = (bytes * TOKENS_PER_BYTE).saturating_sub(self.tokens);
        if missing == 0 {
            return Some(now);
        }
        if self.rate.bytes_per_s == 0 {
            return None;
        }
        let at = now + Span::from_micros(missing.div_ceil(self.rate.bytes_per_s));
        (at < self.until).then_some(at)
    }

    /// Adds the tokens accumulated up to `now`. A clock that went back adds none.
    fn refill(&mut self, now: Instant) {
        if now >= self.until {
            self.tokens = 0;
        } else {
            let added =
                self.rate.bytes_per_s.saturating_mul(now.since(self.refilled_at).as_micros());
            let capacity = self.rate.burst_bytes * TOKENS_PER_BYTE;
            self.tokens = self.tokens.saturating_add(added).min(capacity);
        }
        self.refilled_at = self.refilled_at.max(now);
    }
}
