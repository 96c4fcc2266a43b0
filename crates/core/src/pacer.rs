//! Token bucket that paces bytes.
//!
//! Tokens grow with the rate up to the burst and are never carried over an expiry, so the bytes
//! granted over any window are at most the rate in force summed over the window plus the burst at
//! its start. Raising rate or burst adds no tokens. Several pacers whose rates and bursts sum to a
//! limit at each instant therefore keep to that limit together, also while rate moves between them.

use crate::time::{Instant, Span};

/// Microseconds in a second: the tokens of one byte, because rates are in bytes a second and time is
/// in microseconds.
const BYTE: u64 = 1_000_000;

/// A rate with the bytes that may be sent at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Rate {
    /// Bytes a second, at most 10^12.
    pub bytes_per_s: u64,
    /// Bytes that may be sent at once after a time without sending, at most 10^12.
    pub burst_bytes: u64,
}

impl Rate {
    /// Nothing may be sent.
    pub const ZERO: Rate = Rate { bytes_per_s: 0, burst_bytes: 0 };
}

/// A token bucket whose rate is in force until a given instant.
#[derive(Debug, Clone)]
pub struct Pacer {
    rate: Rate,
    until: Instant,
    /// Microseconds times bytes a second, see [`BYTE`].
    tokens: u64,
    at: Instant,
}

impl Pacer {
    /// An empty bucket that grants nothing yet.
    pub const fn new(now: Instant) -> Pacer {
        Pacer { rate: Rate::ZERO, until: Instant::ZERO, tokens: 0, at: now }
    }

    /// Sets the rate that is in force from `now` on and before `until`.
    pub fn set_rate(&mut self, now: Instant, rate: Rate, until: Instant) {
        self.refill(now);
        self.rate = rate;
        self.until = until;
        self.tokens = self.tokens.min(rate.burst_bytes * BYTE);
    }

    /// The rate in force at `now`.
    pub fn rate(&self, now: Instant) -> Rate {
        if now < self.until { self.rate } else { Rate::ZERO }
    }

    /// Takes up to `bytes` and returns how many may be sent now. The caller sends them at once or
    /// gives them up: bytes that are sent later than they were granted are not covered.
    pub fn take(&mut self, now: Instant, bytes: u64) -> u64 {
        self.refill(now);
        let granted = bytes.min(self.tokens / BYTE);
        self.tokens -= granted * BYTE;
        granted
    }

    /// When `bytes` can be taken at once, unless the rate ends before or the burst is smaller.
    pub fn ready_at(&mut self, now: Instant, bytes: u64) -> Option<Instant> {
        self.refill(now);
        if bytes > self.rate.burst_bytes || now >= self.until {
            return None;
        }
        let missing = (bytes * BYTE).saturating_sub(self.tokens);
        if missing == 0 {
            return Some(now);
        }
        if self.rate.bytes_per_s == 0 {
            return None;
        }
        let at = now + Span::from_micros(missing.div_ceil(self.rate.bytes_per_s));
        (at < self.until).then_some(at)
    }

    /// Brings the tokens up to `now`. A clock that went back adds nothing.
    fn refill(&mut self, now: Instant) {
        if now >= self.until {
            self.tokens = 0;
        } else {
            let grown = self.rate.bytes_per_s.saturating_mul(now.since(self.at).as_micros());
            let full = self.rate.burst_bytes * BYTE;
            self.tokens = self.tokens.saturating_add(grown).min(full);
        }
        self.at = self.at.max(now);
    }
}
