//! The documentation of the log events.

use std::collections::HashSet;

use ebonypass_node::event::Event;

const EVENT_DOCS: &str = include_str!("../../../docs/events.md");

/// Every event is listed in docs/events.md, and no two events share a number.
#[test]
fn documented_events() {
    let mut numbers = HashSet::new();
    for event in Event::ALL {
        assert!(numbers.insert(event.number()), "{event:?} reuses a number");
        let line = format!("| E{} | {} | {} |", event.number(), event.level(), event.text());
        assert!(EVENT_DOCS.contains(&line), "missing in docs/events.md: {line}");
    }
}
