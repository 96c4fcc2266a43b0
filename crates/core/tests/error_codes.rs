//! The table of error codes in the docs.

use std::collections::BTreeSet;

use ebonypass_core::fault::FaultCode;
use ebonypass_core::outcome::{Outcome, Reason};

const TABLE: &str = include_str!("../../../docs/errors.md");

/// Operators look codes up in the table, so each code stands there once, and no other does.
#[test]
fn complete_table() {
    let faults = FaultCode::ALL.iter().map(|code| code.number());
    let reasons = Reason::ALL.iter().map(|reason| reason.code());
    let codes: Vec<u16> = faults.chain(reasons).collect();
    let expected: BTreeSet<String> = codes.iter().map(|code| format!("EP-{code:04}")).collect();
    assert_eq!(expected.len(), codes.len(), "two errors share a code");
    let rows = TABLE.lines().filter_map(|line| line.strip_prefix("| EP-"));
    let listed: Vec<String> = rows.map(|row| format!("EP-{}", &row[..4])).collect();
    assert_eq!(listed.len(), expected.len());
    assert_eq!(listed.into_iter().collect::<BTreeSet<_>>(), expected);
}

/// The table's wording is that of the replies.
#[test]
fn same_wording() {
    for reason in Reason::ALL {
        let row = format!("| EP-{:04} | {} |", reason.code(), reason.message());
        assert!(TABLE.contains(&row), "missing: {row}");
    }
}

/// Callers act on the outcome, so the thousands digit decides it.
#[test]
fn outcome_ranges() {
    for reason in Reason::ALL {
        let expected = if reason.code() < 3000 { Outcome::NotRun } else { Outcome::Unknown };
        assert_eq!(reason.outcome(), expected);
    }
}
