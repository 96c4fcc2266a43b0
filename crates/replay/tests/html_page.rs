//! The HTML page.

mod common;

use common::{arrive, arrive_with_reply, policy, trace};
use ebonypass_replay::plot::render_page;
use ebonypass_replay::registry::run_strategy;
use ebonypass_replay::report::Report;
use test_case::test_case;

fn render(lines: &[String]) -> String {
    let (document, trace) = (policy(), trace(lines));
    let tally = run_strategy(&document, &trace, "round-robin").expect("the strategy exists");
    let report = Report::new(&document, "round-robin", &tally);
    render_page(&document, &report, &tally).expect("the page is rendered")
}

/// The page contains every plot with its curves and no external resources.
#[test]
fn complete_page() {
    let lines = [
        r#"{"at_us":0,"leave":{"target":"hall-near-1-01"}}"#.to_owned(),
        arrive(10_000, 1, "desk", "read", "near-1", 4_000),
        arrive_with_reply(2_000_000, 2, "hall", "read", "near-1", 4_000, 50_000),
    ];
    let page = render(&lines);
    assert_eq!(page.matches("<svg").count(), 3);
    for part in ["north/desk/read", "near to far", "far to near", "hall", "duplicate_dispatches 0"]
    {
        assert!(page.contains(part), "{part}");
    }
    for external in ["src=", "href=", "url("] {
        assert!(!page.contains(external), "{external}");
    }
}

/// A trace without requests, or without traffic between regions, still gives all plots.
#[test_case(&[]; "empty trace")]
#[test_case(&[arrive(0, 1, "desk", "read", "near-1", 4_000)]; "one region")]
fn minimal_page(lines: &[String]) {
    assert_eq!(render(lines).matches("<svg").count(), 3);
}
