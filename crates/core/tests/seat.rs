//! Seats and loans: checks the sum of the rates in force over random interleavings.

mod explore;

use ebonypass_core::seat::Seats;
use explore::region::{Coverage, Simulation};
use explore::vm::BrokenRule;
use explore::{Decision, explore};
use test_case::test_case;

// Operators' tools read the stored form.
#[test]
fn stored_form() {
    let text = "[[seats]]\nholder = \"zurich-1-a.k3f9\"\nepoch = 7\nrenewal = 12\n";
    let seats: Seats = toml::from_str(text).unwrap();
    assert_eq!(toml::to_string(&seats).unwrap(), text);
}

const CASES: u32 = 600;
const STEPS: usize = 500;

fn run(decisions: &[Decision], broken_rule: BrokenRule) -> Result<Coverage, String> {
    // Small regions reach a majority with few votes, so rare interleavings occur more often.
    let seats = [1, 2, 3, 3, 4, 5][decisions[0].index(6)];
    let mut simulation = Simulation::new(broken_rule, seats);
    for &decision in decisions {
        simulation.step(decision);
        simulation.check()?;
    }
    Ok(simulation.coverage)
}

// More rate in force than the cap overloads a link.
#[test]
fn rate_sum() {
    let total = std::cell::Cell::new(Coverage::default());
    let outcome = explore(CASES, STEPS, |decisions| {
        let coverage = run(decisions, BrokenRule::None)?;
        let Coverage { takeovers, extensions, loans } = total.get();
        total.set(Coverage {
            takeovers: takeovers + coverage.takeovers,
            extensions: extensions + coverage.extensions,
            loans: loans + coverage.loans,
        });
        Ok(())
    });
    outcome.unwrap();
    // The runs must reach takeovers, extensions and loans often enough to test the rules.
    let coverage = total.get();
    println!("{coverage:?}");
    assert!(
        coverage.takeovers > 300 && coverage.extensions > 300 && coverage.loans > 300,
        "{coverage:?}"
    );
}

// `rate_sum` must detect a violation of each rule.
#[test_case(BrokenRule::Expiry; "expiry")]
#[test_case(BrokenRule::Consents; "consents")]
#[test_case(BrokenRule::Raise; "early raise")]
#[test_case(BrokenRule::Receipt; "from receipt")]
#[test_case(BrokenRule::Promises; "promises")]
fn detects_broken_rule(broken_rule: BrokenRule) {
    let violation =
        explore(CASES, STEPS, |decisions| run(decisions, broken_rule).map(drop)).unwrap_err();
    assert!(violation.contains("rates in force"), "{violation}");
}
