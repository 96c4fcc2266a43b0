//! The scenario generator, and that runs repeat.

mod common;

use std::collections::HashMap;

use ebonypass_core::scan::scan_document;
use ebonypass_replay::choice::run_strategy;
use ebonypass_replay::report::Report;
use ebonypass_replay::scenario::{NAMES, make_scenario, scenario_policy};
use ebonypass_replay::trace::{Line, resolve_lines};
use test_case::test_case;

/// The same trace, policy and strategy give the same report; guards against iteration over hash
/// maps and other sources of chance.
#[test_case("ebonypass"; "ebonypass")]
#[test_case("round-robin"; "round robin")]
#[test_case("least-loaded"; "least loaded")]
#[test_case("independent"; "independent")]
fn same_report(strategy: &str) {
    let name = "mixed-faults";
    let document = scan_document(scenario_policy(name)).expect("valid");
    let report = || {
        let lines = make_scenario(name, 7, 10).expect("made");
        let trace = resolve_lines(&document, &lines).expect("valid");
        let tally = run_strategy(&document, &trace, strategy).expect("it exists");
        Report::new(&document, strategy, &tally)
    };
    assert_eq!(report(), report());
}

/// Every scenario gives a trace that its policy accepts, and another seed gives another trace.
#[test]
fn every_scenario() {
    for name in NAMES {
        let document = scan_document(scenario_policy(name)).expect("valid");
        let lines = make_scenario(name, 1, 3).expect("made");
        let trace = resolve_lines(&document, &lines).expect("valid");
        assert!(trace.arrivals.len() > 1_000, "{name}");
        assert_ne!(lines, make_scenario(name, 2, 3).expect("made"), "{name}");
    }
}

/// A variant differs from its scenario in what it leaves out and in nothing else.
#[test_case("windelrunde-night", "windelrunde-night-no-exports"; "exports")]
#[test_case("podilato-day", "podilato-day-no-stragglers"; "stragglers")]
#[test_case("equal-turns-kind", "equal-turns-kind-alone"; "kind")]
#[test_case("equal-turns-member", "equal-turns-member-alone"; "member")]
fn derived_variant(name: &str, variant: &str) {
    let whole = counted(&make_scenario(name, 1, 5).expect("made"));
    let part = counted(&make_scenario(variant, 1, 5).expect("made"));
    assert!(part.len() < whole.len());
    for (line, count) in &part {
        assert!(whole.get(line) >= Some(count), "{line}");
    }
}

/// Lines without the number of the request, which depends on the other streams.
fn counted(lines: &[Line]) -> HashMap<String, usize> {
    let mut counts = HashMap::new();
    for line in lines {
        let mut line = line.clone();
        if let Some(arrive) = &mut line.arrive {
            arrive.id = 0;
        }
        *counts.entry(serde_json::to_string(&line).expect("written")).or_insert(0) += 1;
    }
    counts
}

/// The offered work is the stated part of the slots, within the noise of a short trace.
#[test_case("windelrunde-night", "rounds", 0.75, 30; "night")]
#[test_case("podilato-day", "stock-view", 0.70, 20; "day")]
#[test_case("overload-1.3", "ledgers", 1.30, 20; "overload")]
fn offered_load(name: &str, service: &str, expected: f64, seconds: u64) {
    let document = scan_document(scenario_policy(name)).expect("valid");
    let lines = make_scenario(name, 1, seconds).expect("made");
    let work: u64 = lines
        .iter()
        .filter_map(|line| line.arrive.as_ref())
        .filter(|arrive| arrive.service == service)
        .map(|arrive| arrive.service_us)
        .sum();
    let service = document.service(service).expect("it exists");
    let targets = document.targets.values().filter(|target| target.service == service);
    let slots: u32 = targets.map(|target| target.slots).sum();
    let load = work as f64 / (f64::from(slots) * seconds as f64 * 1e6);
    assert!((load / expected - 1.0).abs() < 0.05, "{load}");
}

/// An unknown name is refused with the list of names.
#[test]
fn unknown_scenario() {
    let error = make_scenario("windelrunde-noon", 1, 1).expect_err("refused");
    assert!(error.to_string().contains("windelrunde-night"), "{error}");
}
