//! Token bucket: expiry, burst and the bytes granted over any window.

use ebonypass_core::pacer::{Pacer, Rate};
use ebonypass_core::time::{Instant, Span};
use proptest::prelude::*;
use test_case::test_case;

const WINDOW: Span = Span::from_millis(100);

fn at_ms(ms: u64) -> Instant {
    Instant::from_micros(ms * 1_000)
}

fn rate(bytes_per_s: u64, burst_bytes: u64) -> Rate {
    Rate { bytes_per_s, burst_bytes }
}

// An expired rate must stop sending even if tokens are left.
#[test_case(99, 100; "before expiry")]
#[test_case(100, 0; "at expiry")]
#[test_case(101, 0; "after expiry")]
fn lease_expiry(ms: u64, granted: u64) {
    let mut pacer = Pacer::new(at_ms(0));
    pacer.set_rate(at_ms(0), rate(10_000, 100), at_ms(100));
    assert_eq!(pacer.take(at_ms(ms), 1_000), granted);
}

// Tokens from before an expiry must not be usable under the next rate.
#[test]
fn no_tokens_after_expiry() {
    let mut pacer = Pacer::new(at_ms(0));
    pacer.set_rate(at_ms(0), rate(10_000, 100), at_ms(100));
    pacer.set_rate(at_ms(150), rate(10_000, 100), at_ms(300));
    assert_eq!(pacer.take(at_ms(150), 1_000), 0);
    assert_eq!(pacer.take(at_ms(155), 1_000), 50);
}

// A lender that keeps tokens above its reduced burst would exceed the sum of the bursts.
#[test]
fn lower_burst() {
    let mut pacer = Pacer::new(at_ms(0));
    pacer.set_rate(at_ms(0), rate(10_000, 100), at_ms(1_000));
    pacer.set_rate(at_ms(500), rate(10_000, 40), at_ms(1_000));
    assert_eq!(pacer.take(at_ms(500), 1_000), 40);
}

// A clock that goes back must not count time twice.
#[test]
fn clock_back() {
    let mut pacer = Pacer::new(at_ms(0));
    pacer.set_rate(at_ms(0), rate(10_000, 100), at_ms(1_000));
    assert_eq!(pacer.take(at_ms(10), 1_000), 100);
    assert_eq!(pacer.take(at_ms(5), 1_000), 0);
    assert_eq!(pacer.take(at_ms(10), 1_000), 0);
}

#[test_case(40, Some(at_ms(4)); "waits for tokens")]
#[test_case(0, Some(at_ms(0)); "nothing to send")]
#[test_case(101, None; "above the burst")]
#[test_case(100, None; "after the expiry")]
fn ready_time(bytes: u64, at: Option<Instant>) {
    let mut pacer = Pacer::new(at_ms(0));
    pacer.set_rate(at_ms(0), rate(10_000, 100), at_ms(10));
    assert_eq!(pacer.ready_at(at_ms(0), bytes), at);
}

/// The time since the previous event in microseconds, and either bytes to take or a rate with its
/// lifetime in microseconds.
#[derive(Debug, Clone, Copy)]
enum Event {
    Take(u64, u64),
    Set(u64, Rate, u64),
}

fn event() -> impl Strategy<Value = Event> {
    let gap = prop_oneof![0..500u64, 0..60_000u64];
    let set = (gap.clone(), 0..600_000_000u64, 0..2_000_000u64, 0..200_000u64)
        .prop_map(|(gap, bytes, burst, until)| Event::Set(gap, rate(bytes, burst), until));
    prop_oneof![8 => (gap, 0..3_000_000u64).prop_map(|(gap, bytes)| Event::Take(gap, bytes)), 1 => set]
}

/// Bytes sent at an instant, and the sum that the rates allowed since the start.
struct Sent {
    at: Instant,
    bytes: u64,
    /// The rate in force integrated since the start, in microseconds times bytes per second.
    allowed: u128,
    burst: u64,
}

/// Whether some window of at most 100 ms holds more bytes than its rate and burst allow.
fn exceeds(sent: &[Sent]) -> bool {
    (0..sent.len()).any(|first| {
        let mut bytes = 0;
        sent[first..].iter().take_while(|later| later.at.since(sent[first].at) < WINDOW).any(
            |later| {
                bytes += later.bytes;
                let by_rate = (later.allowed - sent[first].allowed) / 1_000_000;
                u128::from(bytes) > by_rate + u128::from(sent[first].burst) + 1
            },
        )
    })
}

/// Runs `events`; `take` is the pacer under test.
fn run(events: &[Event], mut take: impl FnMut(&mut Pacer, Instant, u64) -> u64) -> Vec<Sent> {
    let mut now = at_ms(1);
    let mut pacer = Pacer::new(now);
    let mut allowed = 0;
    let mut until = now;
    let mut current = Rate::ZERO;
    let mut sent = Vec::new();
    for &event in events {
        let (Event::Take(gap, _) | Event::Set(gap, ..)) = event;
        let next = now + Span::from_micros(gap);
        let in_force = next.min(until).since(now.min(until)).as_micros();
        allowed += u128::from(current.bytes_per_s) * u128::from(in_force);
        now = next;
        match event {
            Event::Take(_, bytes) => {
                let burst = if now < until { current.burst_bytes } else { 0 };
                let bytes = take(&mut pacer, now, bytes);
                sent.push(Sent { at: now, bytes, allowed, burst });
            }
            Event::Set(_, rate, for_us) => {
                current = rate;
                until = now + Span::from_micros(for_us);
                pacer.set_rate(now, rate, until);
            }
        }
    }
    sent
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    // More bytes in a window than rate and burst allow would exceed the cap of a link.
    #[test]
    fn window_sums(events in proptest::collection::vec(event(), 1..120)) {
        prop_assert!(!exceeds(&run(&events, Pacer::take)));
    }
}

// `window_sums` must detect a pacer that does not deduct what it granted.
#[test]
fn detects_undeducted_grants() {
    let events = [Event::Set(0, rate(1_000_000, 1_000), 50_000), Event::Take(2_000, 1_000)];
    let events = [events[0], events[1], Event::Take(10, 1_000)];
    assert!(!exceeds(&run(&events, Pacer::take)));
    assert!(exceeds(&run(&events, |pacer, now, bytes| pacer.clone().take(now, bytes))));
}
