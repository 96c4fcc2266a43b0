//! Entries of targets in a registry that was restored from an older snapshot. Guards against
//! requests to a target that has left, because an old entry shows it as ready.

use ebonypass_core::availability::{Availability, Entry, Lifetime, State, Update};
use ebonypass_core::time::{Instant, Span};
use test_case::test_case;

const NOW: Instant = Instant::from_micros(9_000_000);

/// An entry of the lifetime that started at `start`, 0 if it does not say, at the address 10.0.0.N.
fn entry(start: u64, last_byte: u8, sequence: u64, is_leaving: bool) -> Entry {
    let address = format!("10.0.0.{last_byte}:80").parse().unwrap();
    let lifetime = Lifetime { start_unix_ms: (start > 0).then_some(start), address };
    Entry { lifetime, sequence, is_leaving, cold_time_left: Span::ZERO }
}

#[test_case(entry(5, 1, 10, false), entry(5, 1, 10, false); "its last check-in")]
#[test_case(entry(5, 1, 10, false), entry(5, 1, 7, false); "an earlier check-in")]
#[test_case(entry(5, 1, 10, false), entry(4, 1, 90, false); "an earlier start")]
#[test_case(entry(0, 1, 10, false), entry(0, 1, 7, false); "an earlier check-in without a start")]
#[test_case(entry(0, 1, 10, false), entry(0, 2, 90, false); "another address without a start")]
fn old_entries(known: Entry, restored: Entry) {
    let mut gone = Availability::new(NOW, known);
    gone.record_removal();
    assert_eq!(gone.record_restored_entry(NOW, restored), Update::Outdated);
    assert_eq!(gone.state(NOW), State::Gone);
    let mut leaving = Availability::new(NOW, Entry { is_leaving: true, ..known });
    leaving.record_restored_entry(NOW, restored);
    assert_eq!(leaving.state(NOW), State::Leaving);
    let mut usable = Availability::new(NOW, known);
    usable.record_restored_entry(NOW, restored);
    assert_eq!((usable.state(NOW), usable.lifetime()), (State::Usable, known.lifetime));
}

#[test_case(entry(5, 1, 10, false), entry(5, 1, 11, false), Update::Applied; "a later check-in")]
#[test_case(entry(5, 1, 10, false), entry(6, 1, 1, false), Update::Restarted; "a later start")]
fn new_entries(known: Entry, restored: Entry, update: Update) {
    let mut gone = Availability::new(NOW, known);
    gone.record_removal();
    assert_eq!(gone.record_restored_entry(NOW, restored), update);
    assert_eq!(gone.state(NOW), State::Usable);
}

/// An old entry may still say that the target leaves in its lifetime.
#[test]
fn leaving_entry() {
    let mut known = Availability::new(NOW, entry(5, 1, 10, false));
    known.record_restored_entry(NOW, entry(5, 1, 7, true));
    assert_eq!(known.state(NOW), State::Leaving);
}

/// The next check-in of a live target counts as usual.
#[test]
fn next_check_in() {
    let mut gone = Availability::new(NOW, entry(0, 1, 10, false));
    gone.record_removal();
    gone.record_restored_entry(NOW, entry(0, 1, 2, false));
    assert_eq!(gone.record_entry(NOW, entry(0, 1, 3, false)), Update::Restarted);
    assert_eq!(gone.state(NOW), State::Usable);
}
