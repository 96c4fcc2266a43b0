//! Monotonic and wall clock, and timers.

use std::sync::LazyLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ebonypass_core::time::{Instant, Span};
use smol::Timer;

static START: LazyLock<std::time::Instant> = LazyLock::new(std::time::Instant::now);

/// The current time on the process's monotonic clock, which starts at zero on first use.
pub fn now() -> Instant {
    Instant::from_micros(START.elapsed().as_micros() as u64)
}

/// Seconds since the Unix epoch. Compared only with the scheduled times in the policy document.
pub fn unix_s() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_secs())
}

/// Converts `span` to a standard library duration.
pub const fn duration(span: Span) -> Duration {
    Duration::from_micros(span.as_micros())
}

/// Waits until `at`; returns at once if it has passed.
pub async fn sleep_until(at: Instant) {
    Timer::after(duration(at.since(now()))).await;
}

/// Waits for `span`.
pub async fn sleep(span: Span) {
    Timer::after(duration(span)).await;
}
