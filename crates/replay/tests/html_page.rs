//! The HTML report.

mod common;

use common::{arrive, document, sized, trace};
use ebonypass_replay::plot::render_page;
use ebonypass_replay::registry::run_strategy;
use ebonypass_replay::report::Report;
use test_case::test_case;

fn page(lines: &[String]) -> String {
    let (document, trace) = (document(), trace(lines));
    let tally = run_strategy(&document, &trace, "round-robin").expect("it exists");
    let report = Report::new(&document, "round-robin", &tally);
    render_page(&document, &report, &tally).expect("drawn")
}

/// The page has each plot with its curves and loads nothing from elsewhere.
#[test]
fn whole_page() {
    let lines = [
        r#"{"at_us":0,"leave":{"target":"hall-near-1-01"}}"#.to_owned(),
        arrive(10_000, 1, "desk", "read", "near-1", 4_000),
        sized(2_000_000, 2, "hall", "read", "near-1", 4_000, 50_000),
    ];
    let page = page(&lines);
    assert_eq!(page.matches("<svg").count(), 3);
    for part in ["north/desk/read", "near to far", "far to near", "hall", "duplicate_dispatches 0"]
    {
        assert!(page.contains(part), "{part}");
    }
    for outside in ["src=", "href=", "url("] {
        assert!(!page.contains(outside), "{outside}");
    }
}

/// A trace without requests or traffic between regions still gives a page.
#[test_case(&[]; "empty trace")]
#[test_case(&[arrive(0, 1, "desk", "read", "near-1", 4_000)]; "one region")]
fn small_page(lines: &[String]) {
    assert_eq!(page(lines).matches("<svg").count(), 3);
}
