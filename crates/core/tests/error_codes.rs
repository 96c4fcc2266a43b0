//! The table of error codes in docs/errors.md.

use std::collections::BTreeSet;

use ebonypass_core::fault;
use ebonypass_core::outcome::{Outcome, Reason};

const TABLE: &str = include_str!("../../../docs/errors.md");

/// Guards against codes that are missing from the table, listed twice or unknown: operators look
/// codes up there.
#[test]
fn table_complete() {
    let faults = fault::Code::ALL.iter().map(|code| code.number());
    let reasons = Reason::ALL.iter().map(|reason| reason.code());
    let codes: Vec<u16> = faults.chain(reasons).collect();
    let expected: BTreeSet<String> = codes.iter().map(|code| format!("EP-{code:04}")).collect();
    assert_eq!(expected.len(), codes.len(), "two errors share a code");
    let rows = TABLE.lines().filter_map(|line| line.strip_prefix("| EP-"));
    let listed: Vec<String> = rows.map(|row| format!("EP-{}", &row[..4])).collect();
    assert_eq!(listed.len(), expected.len());
    assert_eq!(listed.into_iter().collect::<BTreeSet<_>>(), expected);
}

/// Guards against messages in the table that differ from those in the replies.
#[test]
fn messages_match() {
    for reason in Reason::ALL {
        let row = format!("| EP-{:04} | {} |", reason.code(), reason.message());
        assert!(TABLE.contains(&row), "missing: {row}");
    }
}

/// Guards against a code outside the range of its outcome: codes below 3000 mean "not run", on which
/// callers rely for retries.
#[test]
fn code_decides_outcome() {
    for reason in Reason::ALL {
        let expected = if reason.code() < 3000 { Outcome::NotRun } else { Outcome::Unknown };
        assert_eq!(reason.outcome(), expected);
    }
}
