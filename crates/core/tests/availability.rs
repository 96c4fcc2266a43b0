//! What is known of a target. Guards against a target that is used again in a lifetime in which it has
//! said that it leaves, whatever arrives late, twice, out of order or not at all.

use ebonypass_core::availability::{Availability, Entry, Lifetime, MAX_REFUSAL, State, Update};
use ebonypass_core::time::{Instant, Span};
use proptest::prelude::*;
use test_case::test_case;

fn at(ms: u64) -> Instant {
    Instant::ZERO + Span::from_millis(ms)
}

fn lifetime(start_unix_ms: u64) -> Lifetime {
    let start_unix_ms = (start_unix_ms > 0).then_some(start_unix_ms);
    Lifetime { start_unix_ms, address: "10.0.0.1:80".parse().unwrap() }
}

/// An entry of the lifetime that started at `start`; 0 if it does not say.
fn entry(start: u64, sequence: u64, is_leaving: bool) -> Entry {
    Entry { lifetime: lifetime(start), sequence, is_leaving, cold_time_left: Span::ZERO }
}

#[derive(Debug, Clone, Copy)]
enum Event {
    /// An entry: start, sequence, whether it says that the target is leaving.
    Entry(u64, u64, bool),
    Removal,
    /// A reply of the lifetime that says that the target is leaving.
    Leaving(u64),
    /// A reply of the lifetime that turns this machine away for two seconds.
    Refusal(u64),
    Misdirection(u64),
    /// A second passes.
    Second,
}

use Event::{Leaving, Misdirection, Refusal, Removal, Second};

fn apply(known: &mut Availability, now: &mut Instant, event: Event) {
    match event {
        Event::Entry(start, sequence, is_leaving) => {
            known.record_entry(*now, entry(start, sequence, is_leaving));
        }
        Removal => {
            known.record_removal();
        }
        Leaving(start) => {
            known.record_leaving(lifetime(start));
        }
        Refusal(start) => known.record_refusal(*now, lifetime(start), Span::from_secs(2)),
        Misdirection(start) => known.record_misdirection(lifetime(start)),
        Second => *now = *now + Span::from_secs(1),
    }
}

#[test_case(&[], State::Usable; "nothing but its entry")]
#[test_case(&[Event::Entry(5, 11, true)], State::Leaving; "an entry that drains")]
#[test_case(&[Event::Entry(5, 11, true), Event::Entry(5, 12, false)], State::Leaving; "a later check-in does not take it back")]
#[test_case(&[Event::Entry(5, 12, true), Event::Entry(5, 11, false)], State::Leaving; "a late check-in does not take it back")]
#[test_case(&[Leaving(5), Event::Entry(5, 30, false)], State::Leaving; "its entry does not know yet")]
#[test_case(&[Leaving(5), Removal, Event::Entry(5, 31, false)], State::Leaving; "listed again in the same lifetime")]
#[test_case(&[Leaving(5), Event::Entry(6, 1, false)], State::Usable; "a new lifetime starts clean")]
#[test_case(&[Refusal(5), Event::Entry(6, 1, false)], State::Usable; "a new lifetime was not asked")]
#[test_case(&[Misdirection(5), Event::Entry(6, 1, false)], State::Usable; "a new lifetime at the address")]
#[test_case(&[Event::Entry(6, 1, false), Leaving(5)], State::Usable; "a late reply of the lifetime before")]
#[test_case(&[Event::Entry(6, 1, false), Refusal(5), Misdirection(5)], State::Usable; "more late replies")]
#[test_case(&[Event::Entry(6, 1, true), Event::Entry(5, 99, false)], State::Leaving; "a late entry of the lifetime before")]
#[test_case(&[Removal], State::Gone; "removed")]
#[test_case(&[Removal, Event::Entry(5, 10, false)], State::Usable; "listed again after it lapsed")]
#[test_case(&[Removal, Event::Entry(5, 9, false)], State::Gone; "a late check-in lists nothing")]
#[test_case(&[Misdirection(5)], State::Gone; "another target at its address")]
#[test_case(&[Refusal(5)], State::Refusing(at(2_000)); "turned away")]
#[test_case(&[Refusal(5), Second, Refusal(5)], State::Refusing(at(3_000)); "the later end counts")]
#[test_case(&[Refusal(5), Second, Second], State::Usable; "the time is over")]
#[test_case(&[Refusal(5), Leaving(5)], State::Leaving; "the state that allows least")]
fn states(events: &[Event], expected: State) {
    let mut now = Instant::ZERO;
    let mut known = Availability::new(now, entry(5, 10, false));
    events.iter().for_each(|event| apply(&mut known, &mut now, *event));
    assert_eq!(known.state(now), expected);
}

/// Targets that state no start are told apart by address, and by counts that start anew.
#[test_case(&[Event::Entry(0, 1, false)], State::Usable; "a restart while in use")]
#[test_case(&[Leaving(0), Removal, Event::Entry(0, 1, false)], State::Usable; "a restart after it left")]
#[test_case(&[Event::Entry(0, 12, true), Event::Entry(0, 11, false)], State::Leaving; "a late check-in")]
fn states_without_a_start(events: &[Event], expected: State) {
    let mut now = Instant::ZERO;
    let mut known = Availability::new(now, entry(0, 10, false));
    events.iter().for_each(|event| apply(&mut known, &mut now, *event));
    assert_eq!(known.state(now), expected);
}

#[test]
fn a_wrong_time_is_bounded() {
    let mut known = Availability::new(at(0), entry(5, 1, false));
    known.record_refusal(at(0), lifetime(5), Span::MAX);
    assert_eq!(known.state(at(0)), State::Refusing(at(0) + MAX_REFUSAL));
    assert_eq!(known.state(at(0) + MAX_REFUSAL), State::Usable);
}

#[test]
fn a_cold_target_that_refuses() {
    let mut known = Availability::new(at(0), entry(5, 1, false));
    let cold = Entry { cold_time_left: Span::from_secs(3), ..entry(5, 2, false) };
    assert_eq!(known.record_entry(at(0), cold), Update::Applied);
    known.record_refusal(at(0), lifetime(5), Span::from_secs(1));
    assert_eq!(known.state(at(0)), State::Refusing(at(1_000)));
    assert_eq!(known.state(at(1_000)), State::Cold(at(3_000)));
    assert_eq!(known.state(at(3_000)), State::Usable);
}

/// Checks after an event what must hold whatever came before. `left` has the starts of lifetimes
/// that are known to leave.
fn check(known: &Availability, now: Instant, before: Lifetime, left: &[u64]) {
    let start = known.lifetime().start_unix_ms;
    assert!(start >= before.start_unix_ms, "went back to an earlier lifetime");
    let is_left = left.contains(&start.unwrap_or(0));
    let state = known.state(now);
    assert!(!is_left || matches!(state, State::Leaving | State::Gone), "{state:?} after it left");
    assert!(is_left || state != State::Leaving, "leaving without a word of this lifetime");
}

/// Runs `events`, checking after each.
fn run(events: impl IntoIterator<Item = Event>) {
    let mut now = Instant::ZERO;
    let mut known = Availability::new(now, entry(5, 10, false));
    let mut left = Vec::new();
    for event in events {
        let before = known.lifetime();
        let before_start = before.start_unix_ms.unwrap_or(0);
        match event {
            Event::Entry(start, _, true) if start >= before_start => left.push(start),
            Leaving(start) if start == before_start => left.push(start),
            _ => {}
        }
        apply(&mut known, &mut now, event);
        check(&known, now, before, &left);
    }
}

const EVENTS: [Event; 11] = [
    Event::Entry(5, 11, false),
    Event::Entry(5, 12, true),
    Event::Entry(6, 1, false),
    Event::Entry(6, 2, true),
    Event::Entry(6, 3, false),
    Leaving(5),
    Leaving(6),
    Refusal(5),
    Misdirection(6),
    Removal,
    Second,
];

#[test]
fn all_short_sequences() {
    let count = EVENTS.len().pow(5);
    for number in 0..count {
        let digit = |place: u32| EVENTS[number / EVENTS.len().pow(place) % EVENTS.len()];
        run((0..5).map(digit));
    }
}

fn any_event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (4..9u64, 0..20u64, any::<bool>()).prop_map(|(start, seq, gone)| Event::Entry(start, seq, gone)),
        1 => (4..9u64).prop_map(Leaving),
        1 => (4..9u64).prop_map(Refusal),
        1 => (4..9u64).prop_map(Misdirection),
        1 => Just(Removal),
        1 => Just(Second),
    ]
}

proptest! {
    #[test]
    fn any_sequence(events in proptest::collection::vec(any_event(), 0..60)) {
        run(events);
    }
}
