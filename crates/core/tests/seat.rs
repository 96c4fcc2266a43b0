//! Seats and lending: the sum of the rates in force over explored interleavings.

mod explore;

use ebonypass_core::seat::Seats;
use explore::region::{Seen, World};
use explore::vm::Broken;
use explore::{Decision, explore};
use test_case::test_case;

// The stored form is part of the interface to operators' tools.
#[test]
fn stored_form() {
    let text = "[[seats]]\nholder = \"zurich-1-a.k3f9\"\nepoch = 7\nrenewal = 12\n";
    let seats: Seats = toml::from_str(text).unwrap();
    assert_eq!(toml::to_string(&seats).unwrap(), text);
}

const CASES: u32 = 600;
const STEPS: usize = 500;

fn run(decisions: &[Decision], broken: Broken) -> Result<Seen, String> {
    // Small regions reach a majority with few votes, so that rare interleavings come up more often.
    let seats = [1, 2, 3, 3, 4, 5][decisions[0].index(6)];
    let mut world = World::new(broken, seats);
    for &decision in decisions {
        world.step(decision);
        world.check()?;
    }
    Ok(world.seen)
}

// More rate in force than the cap overloads a link (P1).
#[test]
fn rate_sum() {
    let total = std::cell::Cell::new(Seen::default());
    let outcome = explore(CASES, STEPS, |decisions| {
        let seen = run(decisions, Broken::Nothing)?;
        let Seen { take_overs, extensions, loans } = total.get();
        total.set(Seen {
            take_overs: take_overs + seen.take_overs,
            extensions: extensions + seen.extensions,
            loans: loans + seen.loans,
        });
        Ok(())
    });
    outcome.unwrap();
    // The explorer must reach what the rules are about.
    let seen = total.get();
    println!("{seen:?}");
    assert!(seen.take_overs > 300 && seen.extensions > 300 && seen.loans > 300, "{seen:?}");
}

// Shows that `rate_sum` sees each rule that is broken.
#[test_case(Broken::Expiry; "expiry")]
#[test_case(Broken::Consents; "consents")]
#[test_case(Broken::Raise; "early raise")]
#[test_case(Broken::Receipt; "from receipt")]
#[test_case(Broken::Promises; "promises")]
fn broken_rule(broken: Broken) {
    let fault = explore(CASES, STEPS, |decisions| run(decisions, broken).map(drop)).unwrap_err();
    assert!(fault.contains("rates in force"), "{fault}");
}
