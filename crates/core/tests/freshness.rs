//! Weights of measurements by their age, and the freeze on moves of traffic when many sources fall
//! silent. A source is one that reports measurements, such as a target.

use ebonypass_core::freshness::{self, FULL_WEIGHT};
use ebonypass_core::id::SourceId;
use ebonypass_core::time::{Instant, Span};
use test_case::test_case;

const INTERVAL: Span = Span::from_millis(500);

fn at_ms(ms: u64) -> Instant {
    Instant::from_micros(ms * 1_000)
}

/// Guards against old reports with too much weight, which hide a target that has stopped answering.
/// The measured value is 40, the cautious one 100.
#[test_case(0, FULL_WEIGHT, 40; "just reported")]
#[test_case(1_000, FULL_WEIGHT, 40; "two intervals")]
#[test_case(3_000, FULL_WEIGHT / 2, 70; "half way from fresh to stale")]
#[test_case(5_000, 0, 100; "ten intervals")]
#[test_case(60_000, 0, 100; "a minute")]
fn weight_falls_with_age(age_ms: u64, weight: u32, weighted_value: u32) {
    let mut tracker = freshness::Tracker::new(INTERVAL);
    let source = tracker.add(at_ms(0));
    assert_eq!(tracker.weight(at_ms(age_ms), source), weight);
    assert_eq!(tracker.weighted_value(at_ms(age_ms), source, 40, 100), weighted_value);
}

/// A tracker of sources whose last reports came at the given times.
fn tracker_with_reports_at(times_ms: &[u64]) -> freshness::Tracker {
    let mut tracker = freshness::Tracker::new(INTERVAL);
    for &ms in times_ms {
        tracker.add(at_ms(ms));
    }
    tracker
}

/// Guards against moves of traffic when the path of the reports has failed, and against a freeze of
/// such moves after independent failures, which would leave work on a failed target.
#[test_case(&[9_900, 9_900, 9_900, 9_900], false; "all reporting")]
#[test_case(&[5_000, 9_900, 9_900, 9_900], false; "one silent")]
#[test_case(&[5_000, 5_100, 9_900, 9_900], false; "half silent")]
#[test_case(&[5_000, 5_100, 5_900, 9_900], true; "most silent at once")]
#[test_case(&[1_000, 3_000, 5_000, 9_900], false; "silent one after the other")]
#[test_case(&[5_000, 5_000, 5_000, 5_000], true; "all silent at once")]
#[test_case(&[5_000, 5_000], false; "too few sources")]
fn simultaneous_silence_freezes(times_ms: &[u64], is_frozen: bool) {
    assert_eq!(tracker_with_reports_at(times_ms).is_frozen(at_ms(10_000)), is_frozen);
}

/// Guards against a freeze that outlasts the silence, and against one caused by sources that were
/// stopped on purpose. Ids of sources count from 0 in the order in which they were added.
#[test]
fn freeze_ends_with_reports() {
    let mut tracker = tracker_with_reports_at(&[5_000, 5_000, 5_000, 5_000, 9_900]);
    assert!(tracker.is_frozen(at_ms(10_000)));
    tracker.record_report(at_ms(10_000), SourceId(0));
    tracker.record_report(at_ms(10_000), SourceId(1));
    assert!(!tracker.is_frozen(at_ms(10_000)));
    let mut tracker = tracker_with_reports_at(&[5_000, 5_000, 5_000, 9_900, 9_900]);
    tracker.deactivate(SourceId(0));
    assert!(!tracker.is_frozen(at_ms(10_000)));
}
