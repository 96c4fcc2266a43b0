//! Points and lengths of time, in whole microseconds.

use std::ops::{Add, AddAssign, Sub};

use serde::{Deserialize, Serialize};

/// A point on a process's own monotonic clock, in microseconds from an arbitrary start.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Instant(u64);

/// A length of time in microseconds.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Span(u64);

impl Instant {
    /// The start of the clock.
    pub const ZERO: Instant = Instant(0);
    /// A point that no clock reaches.
    pub const MAX: Instant = Instant(u64::MAX);

    /// The point `us` microseconds after the start of the clock.
    pub const fn from_micros(us: u64) -> Instant {
        Instant(us)
    }

    /// Microseconds from the start of the clock.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The time from `earlier` to `self`, zero if `earlier` is the later one.
    pub const fn since(self, earlier: Instant) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Span {
    /// No time at all.
    pub const ZERO: Span = Span(0);
    /// The longest length of time.
    pub const MAX: Span = Span(u64::MAX);

    /// A length of `us` microseconds.
    pub const fn from_micros(us: u64) -> Span {
        Span(us)
    }

    /// A length of `ms` milliseconds.
    pub const fn from_millis(ms: u64) -> Span {
        Span(ms * 1_000)
    }

    /// A length of `s` seconds.
    pub const fn from_secs(s: u64) -> Span {
        Span(s * 1_000_000)
    }

    /// The length in microseconds.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The length in whole milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// `self` times `factor`, saturating.
    pub const fn times(self, factor: u64) -> Span {
        Span(self.0.saturating_mul(factor))
    }
}

impl Add<Span> for Instant {
    type Output = Instant;

    fn add(self, span: Span) -> Instant {
        Instant(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Instant {
    type Output = Instant;

    fn sub(self, span: Span) -> Instant {
        Instant(self.0.saturating_sub(span.0))
    }
}

impl Add for Span {
    type Output = Span;

    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}

impl Sub for Span {
    type Output = Span;

    fn sub(self, other: Span) -> Span {
        Span(self.0.saturating_sub(other.0))
    }
}

impl AddAssign for Span {
    fn add_assign(&mut self, other: Span) {
        *self = *self + other;
    }
}
