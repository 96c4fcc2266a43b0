//! Evacuations across a restore of the store. Guards against requests to a data centre whose
//! evacuation the store has forgotten, and against evacuations that come back from the past.

use std::collections::HashSet;

use ebonypass_core::era::HOLD_TIME;
use ebonypass_core::evacuation::Evacuations;
use ebonypass_core::time::{Instant, Span};

const LATER: Span = Span::from_millis(1);

fn start() -> Instant {
    Instant::ZERO + Span::from_secs(100)
}

fn set(names: &[&str]) -> HashSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn evacuations(listed: &[&str], ended: &[&str]) -> Evacuations {
    let mut evacuations = Evacuations::default();
    for name in listed.iter().chain(ended) {
        evacuations.record(name, true);
    }
    ended.iter().for_each(|name| evacuations.record(name, false));
    evacuations
}

#[test]
fn missing_evacuation() {
    let mut evacuations = evacuations(&["a"], &[]);
    evacuations.restore(start(), set(&[]));
    assert_eq!(evacuations.in_force(), set(&["a"]));
    assert!(!evacuations.end_hold(start() + LATER));
    assert!(evacuations.end_hold(start() + HOLD_TIME));
    assert_eq!(evacuations.in_force(), set(&[]));
}

#[test]
fn reappearing_evacuation() {
    let mut evacuations = evacuations(&[], &["a"]);
    evacuations.restore(start(), set(&["a"]));
    assert_eq!(evacuations.in_force(), set(&[]));
    assert!(evacuations.end_hold(start() + HOLD_TIME));
    assert_eq!(evacuations.in_force(), set(&["a"]));
}

/// The operator may evacuate a data centre after the restore and before the list is read.
#[test]
fn unknown_evacuation() {
    let mut evacuations = evacuations(&[], &["a"]);
    evacuations.restore(start(), set(&["b"]));
    assert_eq!(evacuations.in_force(), set(&["b"]));
}

/// What is written in the new era takes effect at once.
#[test]
fn writes_during_hold() {
    let mut evacuations = evacuations(&["kept", "both"], &["back"]);
    evacuations.restore(start(), set(&["back", "both"]));
    evacuations.record("back", true);
    evacuations.record("both", false);
    evacuations.record("kept", true);
    evacuations.record("kept", false);
    assert_eq!(evacuations.in_force(), set(&["back"]));
    evacuations.end_hold(start() + HOLD_TIME);
    assert_eq!(evacuations.in_force(), set(&["back"]));
}

/// A second restore within the hold starts the hold anew, and what the first one forgot stays in
/// force.
#[test]
fn second_restore() {
    let mut evacuations = evacuations(&["a"], &["b"]);
    evacuations.restore(start(), set(&["b"]));
    let second = start() + Span::from_secs(3);
    evacuations.restore(second, set(&["b"]));
    assert!(!evacuations.end_hold(start() + HOLD_TIME));
    assert_eq!(evacuations.in_force(), set(&["a"]));
    assert!(evacuations.end_hold(second + HOLD_TIME));
    assert_eq!(evacuations.in_force(), set(&["b"]));
}

#[test]
fn ended_hold() {
    let mut evacuations = evacuations(&["a"], &[]);
    evacuations.restore(start(), set(&[]));
    evacuations.end_hold(start() + HOLD_TIME);
    assert!(!evacuations.end_hold(start() + HOLD_TIME + LATER), "there is no hold any more");
    evacuations.restore(start() + HOLD_TIME + LATER, set(&["a"]));
    assert_eq!(evacuations.in_force(), set(&[]), "it had ended before the second restore");
}

/// A process that has just started learns from another machine what the store has forgotten, and
/// keeps it no longer than any hold.
#[test]
fn passed_on() {
    let mut source = evacuations(&["a", "b"], &[]);
    source.restore(start(), set(&["b"]));
    let (left, names) = source.kept(start() + LATER).unwrap();
    assert!(left < HOLD_TIME);
    let mut copy = evacuations(&["b"], &[]);
    copy.keep(start(), Span::MAX, names);
    assert_eq!(copy.in_force(), set(&["a", "b"]));
    assert!(copy.end_hold(start() + HOLD_TIME));
    assert_eq!(copy.in_force(), set(&["b"]));
    assert_eq!(copy.kept(start()), None);
}
