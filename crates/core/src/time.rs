//! Points in time and durations, in whole microseconds.

use std::ops::{Add, AddAssign, Sub};

use serde::{Deserialize, Serialize};

/// A time on a process's monotonic clock, in microseconds from an arbitrary start.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Instant(u64);

/// A duration in microseconds.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Span(u64);

impl Instant {
    /// The start of the clock.
    pub const ZERO: Instant = Instant(0);
    /// The latest time, which no clock reaches.
    pub const MAX: Instant = Instant(u64::MAX);

    /// The time `us` microseconds after the start of the clock.
    pub const fn from_micros(us: u64) -> Instant {
        Instant(us)
    }

    /// Microseconds since the start of the clock.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The time elapsed since `earlier`, zero if `earlier` is later.
    pub const fn since(self, earlier: Instant) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Span {
    /// Zero duration.
    pub const ZERO: Span = Span(0);
    /// The longest duration.
    pub const MAX: Span = Span(u64::MAX);

    /// A duration of `us` microseconds.
    pub const fn from_micros(us: u64) -> Span {
        Span(us)
    }

    /// A duration of `ms` milliseconds.
    pub const fn from_millis(ms: u64) -> Span {
        Span(ms * 1_000)
    }

    /// A duration of `s` seconds.
    pub const fn from_secs(s: u64) -> Span {
        Span(s * 1_000_000)
    }

    /// The duration in microseconds.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The duration in whole milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// `self` multiplied by `factor`, saturating.
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
