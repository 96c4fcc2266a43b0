//! The catalogue of log events.

use std::collections::HashSet;

use ebonypass_node::event::Event;

const CATALOGUE: &str = include_str!("../../../docs/events.md");

/// Guards against an event that operators cannot look up, and against a number used twice.
#[test]
fn documented_events() {
    let mut numbers = HashSet::new();
    for event in Event::ALL {
        assert!(numbers.insert(event.number()), "{event:?}");
        let line = format!("| E{} | {} | {} |", event.number(), event.level(), event.text());
        assert!(CATALOGUE.contains(&line), "docs/events.md lacks: {line}");
    }
}
