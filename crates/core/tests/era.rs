//! The order of what the store has said. Guards against a machine that takes a state which the store
//! has lost for a newer one, and against one that ignores a new store for ever.

use ebonypass_core::era::{Era, REPLACED_AFTER, Sighting, Stamp, Tracker};
use ebonypass_core::time::{Instant, Span};
use proptest::prelude::*;
use test_case::test_case;

fn at(ms: u64) -> Instant {
    Instant::ZERO + Span::from_millis(ms)
}

fn stamp(era: u64, revision: u64) -> Stamp {
    Stamp::new(Era::new(era), revision)
}

#[test_case(stamp(1, 900), stamp(2, 3); "a restore moves revisions backwards")]
#[test_case(stamp(2, 3), stamp(2, 4); "revisions order an era")]
#[test_case(stamp(0, 900), stamp(1, 1); "a store that states no era comes first")]
fn later_stamps(earlier: Stamp, later: Stamp) {
    assert!(earlier < later);
}

#[test_case("17", stamp(0, 17); "no era")]
#[test_case("3.17", stamp(3, 17); "an era")]
fn stamp_texts(text: &str, expected: Stamp) {
    assert_eq!(text.parse(), Ok(expected));
    assert_eq!(expected.to_string(), text);
}

#[test_case(""; "nothing")]
#[test_case("1.2.3"; "three numbers")]
#[test_case("-1.2"; "a negative era")]
#[test_case("1."; "no revision")]
#[test_case("99999999999999999999.1"; "a number too large")]
fn odd_stamps(text: &str) {
    assert!(text.parse::<Stamp>().is_err());
}

/// A machine that has just started follows the first era that it sees.
#[test]
fn first_sighting() {
    let mut tracker = Tracker::default();
    assert_eq!(tracker.record(at(0), Era::new(7)), Sighting::Current);
    assert_eq!(tracker.era(), Era::new(7));
}

#[test]
fn higher_eras() {
    let mut tracker = Tracker::default();
    tracker.record(at(0), Era::new(1));
    assert_eq!(tracker.record(at(1), Era::new(2)), Sighting::Raised(Era::new(1)));
    assert_eq!(tracker.record(at(2), Era::new(3)), Sighting::Raised(Era::new(2)));
    assert_eq!(tracker.record(at(3), Era::new(3)), Sighting::Current);
}

#[test]
fn late_messages() {
    let mut tracker = Tracker::default();
    tracker.record(at(0), Era::new(2));
    for ms in [1, 2_000, 9_999] {
        assert_eq!(tracker.record(at(ms), Era::new(1)), Sighting::Outdated, "after {ms} ms");
    }
    assert_eq!(tracker.era(), Era::new(2));
}

/// Old messages that come now and then, while the followed era is seen too, never count.
#[test]
fn mixed_sightings() {
    let mut tracker = Tracker::default();
    tracker.record(at(0), Era::new(2));
    for second in 0..60 {
        assert_eq!(tracker.record(at(second * 1_000), Era::new(1)), Sighting::Outdated);
        if second % 9 == 8 {
            assert_eq!(tracker.record(at(second * 1_000 + 1), Era::new(2)), Sighting::Current);
        }
    }
}

#[test]
fn new_store() {
    let mut tracker = Tracker::default();
    tracker.record(at(0), Era::new(5));
    // The time counts from the first lower era, not from the last reply of the old store.
    assert_eq!(tracker.record(at(20_000), Era::new(1)), Sighting::Outdated);
    let end = at(20_000) + REPLACED_AFTER;
    assert_eq!(tracker.record(end, Era::new(1)), Sighting::Replaced(Era::new(5)));
    assert_eq!(tracker.record(end, Era::new(1)), Sighting::Current);
}

proptest! {
    /// Whatever arrives, a machine goes back to a lower era only after nothing else was seen for
    /// long enough, and an outdated message changes nothing.
    #[test]
    fn eras_rise(sightings in prop::collection::vec((0u64..4, 0u64..4_000), 1..60)) {
        let mut tracker = Tracker::default();
        let mut now = Instant::ZERO;
        let mut followed_at = now;
        for (index, (era, ms)) in sightings.into_iter().enumerate() {
            now = now + Span::from_millis(ms);
            let before = tracker.era();
            let sighting = tracker.record(now, Era::new(era));
            let after = tracker.era();
            match sighting {
                Sighting::Current => prop_assert!(index == 0 || after == before),
                Sighting::Raised(old) => prop_assert!(old == before && after > before),
                Sighting::Outdated => prop_assert!(after == before && Era::new(era) < before),
                Sighting::Replaced(old) => {
                    prop_assert!(old == before && after < before);
                    prop_assert!(now.since(followed_at) >= REPLACED_AFTER);
                }
            }
            if sighting != Sighting::Outdated {
                prop_assert_eq!(after, Era::new(era));
                followed_at = now;
            }
        }
    }
}
