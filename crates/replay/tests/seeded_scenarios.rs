//! The scenario generator, and determinism of runs.

mod common;

use std::collections::HashMap;

use ebonypass_core::scan::scan_document;
use ebonypass_replay::registry::run_strategy;
use ebonypass_replay::report::Report;
use ebonypass_replay::scenario::{NAMES, make_scenario, scenario_policy};
use ebonypass_replay::trace::{Line, resolve_lines};
use test_case::test_case;

/// The same trace, policy and strategy give the same report. Guards against iteration over hash maps
/// and other sources of nondeterminism.
#[test_case("ebonypass"; "ebonypass")]
#[test_case("round-robin"; "round robin")]
#[test_case("least-loaded"; "least loaded")]
#[test_case("independent"; "independent")]
fn same_report(strategy: &str) {
    let name = "mixed-faults";
    let document = scan_document(scenario_policy(name)).expect("the policy is valid");
    let report = || {
        let lines = make_scenario(name, 7, 10).expect("the scenario exists");
        let trace = resolve_lines(&document, &lines).expect("the trace is valid");
        let tally = run_strategy(&document, &trace, strategy).expect("the strategy exists");
        Report::new(&document, strategy, &tally)
    };
    assert_eq!(report(), report());
}

/// Every scenario gives a trace that is valid under its policy, and another seed gives another trace.
#[test]
fn every_scenario() {
    for name in NAMES {
        let document = scan_document(scenario_policy(name)).expect("the policy is valid");
        let lines = make_scenario(name, 1, 3).expect("the scenario exists");
        let trace = resolve_lines(&document, &lines).expect("the trace is valid");
        assert!(trace.arrivals.len() > 1_000, "{name}");
        assert_ne!(lines, make_scenario(name, 2, 3).expect("the scenario exists"), "{name}");
    }
}

/// A variant omits records of its scenario and is otherwise identical.
#[test_case("windelrunde-night", "windelrunde-night-no-exports"; "exports")]
#[test_case("podilato-day", "podilato-day-no-stragglers"; "stragglers")]
#[test_case("equal-turns-kind", "equal-turns-kind-alone"; "kind")]
#[test_case("equal-turns-member", "equal-turns-member-alone"; "member")]
fn derived_variant(name: &str, variant: &str) {
    let all_lines = count_lines(&make_scenario(name, 1, 5).expect("the scenario exists"));
    let variant_lines = count_lines(&make_scenario(variant, 1, 5).expect("the scenario exists"));
    assert!(variant_lines.len() < all_lines.len());
    for (line, count) in &variant_lines {
        assert!(all_lines.get(line) >= Some(count), "{line}");
    }
}

/// Counts equal lines, ignoring the request ID, which depends on the other streams.
fn count_lines(lines: &[Line]) -> HashMap<String, usize> {
    let mut counts = HashMap::new();
    for line in lines {
        let mut line = line.clone();
        if let Some(arrive) = &mut line.arrive {
            arrive.id = 0;
        }
        *counts
            .entry(serde_json::to_string(&line).expect("the line is serialised"))
            .or_insert(0) += 1;
    }
    counts
}

/// The offered load is the stated fraction of the slots, within the noise of a short trace.
#[test_case("windelrunde-night", "rounds", 0.75, 30; "night")]
#[test_case("podilato-day", "stock-view", 0.70, 20; "day")]
#[test_case("overload-1.3", "ledgers", 1.30, 20; "overload")]
fn offered_load(name: &str, service: &str, expected: f64, seconds: u64) {
    let document = scan_document(scenario_policy(name)).expect("the policy is valid");
    let lines = make_scenario(name, 1, seconds).expect("the scenario exists");
    let service_us: u64 = lines
        .iter()
        .filter_map(|line| line.arrive.as_ref())
        .filter(|arrive| arrive.service == service)
        .map(|arrive| arrive.service_us)
        .sum();
    let service = document.service(service).expect("the service exists");
    let targets = document.targets.values().filter(|target| target.service == service);
    let slots: u32 = targets.map(|target| target.slots).sum();
    let load = service_us as f64 / (f64::from(slots) * seconds as f64 * 1e6);
    assert!((load / expected - 1.0).abs() < 0.05, "{load}");
}

/// The error for an unknown name lists the known names.
#[test]
fn unknown_scenario() {
    let error = make_scenario("windelrunde-noon", 1, 1).expect_err("the scenario is unknown");
    assert!(error.to_string().contains("windelrunde-night"), "{error}");
}
