//! Age of measurements.

use ebonypass_core::evidence::{Evidence, FULL};
use ebonypass_core::id::SourceId;
use ebonypass_core::time::{Instant, Span};
use test_case::test_case;

const INTERVAL: Span = Span::from_millis(500);

fn at_ms(ms: u64) -> Instant {
    Instant::from_micros(ms * 1_000)
}

// A report that counts in full for too long hides a target that has stopped answering.
#[test_case(0, FULL, 40; "just heard")]
#[test_case(1_000, FULL, 40; "two intervals")]
#[test_case(3_000, FULL / 2, 70; "half way")]
#[test_case(5_000, 0, 100; "ten intervals")]
#[test_case(60_000, 0, 100; "a minute")]
fn decay(age_ms: u64, weight: u32, tempered: u32) {
    let mut evidence = Evidence::new(INTERVAL);
    let source = evidence.add(at_ms(0));
    assert_eq!(evidence.weight(at_ms(age_ms), source), weight);
    assert_eq!(evidence.temper(at_ms(age_ms), source, 40, 100), tempered);
}

/// Sources whose last reports came at the given times.
fn heard(times_ms: &[u64]) -> Evidence {
    let mut evidence = Evidence::new(INTERVAL);
    for &ms in times_ms {
        evidence.add(at_ms(ms));
    }
    evidence
}

// A common silence must freeze; single failures must not, or a failed target would keep its work.
#[test_case(&[9_900, 9_900, 9_900, 9_900], false; "all heard")]
#[test_case(&[5_000, 9_900, 9_900, 9_900], false; "one silent")]
#[test_case(&[5_000, 5_100, 9_900, 9_900], false; "half of them")]
#[test_case(&[5_000, 5_100, 5_900, 9_900], true; "most at once")]
#[test_case(&[1_000, 3_000, 5_000, 9_900], false; "one after the other")]
#[test_case(&[5_000, 5_000, 5_000, 5_000], true; "all at once")]
#[test_case(&[5_000, 5_000], false; "too few to tell")]
fn common_silence(times_ms: &[u64], is_frozen: bool) {
    assert_eq!(heard(times_ms).is_frozen(at_ms(10_000)), is_frozen);
}

// The freeze must end with the reports, and stopped targets must not keep it up.
#[test]
fn thaw() {
    let mut evidence = heard(&[5_000, 5_000, 5_000, 5_000, 9_900]);
    assert!(evidence.is_frozen(at_ms(10_000)));
    evidence.note_report(at_ms(10_000), SourceId(0));
    evidence.note_report(at_ms(10_000), SourceId(1));
    assert!(!evidence.is_frozen(at_ms(10_000)));
    let mut evidence = heard(&[5_000, 5_000, 5_000, 9_900, 9_900]);
    evidence.close(SourceId(0));
    assert!(!evidence.is_frozen(at_ms(10_000)));
}
