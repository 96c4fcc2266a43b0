//! The process's clocks.

use std::sync::LazyLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ebonypass_core::time::{Instant, Span};
use smol::Timer;

static START: LazyLock<std::time::Instant> = LazyLock::new(std::time::Instant::now);

/// The present on the process's monotonic clock, which starts at its first use.
pub fn now() -> Instant {
    Instant::from_micros(START.elapsed().as_micros() as u64)
}

/// Seconds of Unix time. Only planned times of the policy are compared with it.
pub fn unix_s() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |age| age.as_secs())
}

/// The standard form of `span`.
pub const fn duration(span: Span) -> Duration {
    Duration::from_micros(span.as_micros())
}

/// Waits until `at`.
pub async fn sleep_until(at: Instant) {
    Timer::after(duration(at.since(now()))).await;
}

/// Waits for `span`.
pub async fn sleep(span: Span) {
    Timer::after(duration(span)).await;
}
