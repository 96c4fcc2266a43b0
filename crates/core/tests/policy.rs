//! Parsing, validating and formatting policy documents.

use ebonypass_core::date::UnixTime;
use ebonypass_core::fault;
use ebonypass_core::format::format_document;
use ebonypass_core::scan::scan_document;
use test_case::test_case;

const VALID: &str = r#"
schema = 1

[[member]]
name = "windelrunde"

[[region]]
name = "zurich"

[[region]]
name = "geneva"
seats = 2

[[data_centre]]
name = "zurich-1"
region = "zurich"

[[data_centre]]
name = "geneva-1"
region = "geneva"

[[link]]
from = "zurich"
to = "geneva"
cap_mbit = 4000
delay_us = 20000

[[service]]
name = "rounds"
members = ["windelrunde"]
slots = 3
connections = 400
targets = { zurich-1 = 2, geneva-1 = 2 }

[[service.kind]]
name = "lookup"
idempotent = true
deadline_ms = 500

[[service.shift]]
from = "zurich"
to = "geneva"
percent = 20

[[drain]]
data_centre = "zurich-1"
from = 2026-12-05T02:00:00Z
until = 2026-12-05T04:00:00+01:00

[[block]]
cidr = "10.1.0.0/16"
data_centre = "zurich-1"
"#;

/// Guards against references that resolve to the wrong entry and drain times in the wrong offset.
#[test]
fn valid_document() {
    let document = scan_document(VALID).expect("valid");
    let service = document.service("rounds").expect("service");
    assert_eq!(document.targets.len(), 4);
    let target = document.target("rounds-geneva-1-02").expect("target");
    assert_eq!(document.targets[target].service, service);
    assert_eq!(
        document.regions[document.region_of(document.targets[target].centre)].name,
        "geneva"
    );
    assert_eq!(document.links[0].cap_bytes_per_s(), 500_000_000);
    // 2026-12-05T02:00:00Z and 03:00:00Z.
    assert_eq!(
        (document.drains[0].from_s, document.drains[0].until_s),
        (1_796_436_000, 1_796_439_600)
    );
    assert!(
        document.is_drained(document.target("rounds-zurich-1-01").expect("target"), 1_796_436_000)
    );
    assert!(!document.is_drained(target, 1_796_436_000));
}

/// Formatting must keep all values: the console rewrites what an operator wrote.
#[test]
fn format_round_trip() {
    let document = scan_document(VALID).expect("valid");
    let text = format_document(&document);
    assert_eq!(scan_document(&text).expect("formatted text is valid"), document);
    assert_eq!(format_document(&scan_document(&text).expect("valid")), text);
}

#[test_case(0, "1970-01-01T00:00:00Z"; "epoch")]
#[test_case(951_782_400, "2000-02-29T00:00:00Z"; "leap day")]
#[test_case(4_107_542_399, "2100-02-28T23:59:59Z"; "century")]
fn unix_time_display(seconds: u64, expected: &str) {
    assert_eq!(UnixTime(seconds).to_string(), expected);
}

/// Each fault is reported with its code and line, so that no invalid document comes into force.
#[test_case("schema = 1", "schema = 2", fault::Code::Schema, 2; "schema")]
#[test_case("seats = 2", "seats = 0", fault::Code::OutOfRange, 12; "seats")]
#[test_case("seats = 2", "seat = 2", fault::Code::UnknownField, 12; "unknown field")]
#[test_case("cap_mbit = 4000", "", fault::Code::MissingField, 22; "missing field")]
#[test_case("cap_mbit = 4000", "cap_mbit = -1", fault::Code::OutOfRange, 25; "negative")]
#[test_case("cap_mbit = 4000", "cap_mbit = \"4\"", fault::Code::WrongType, 25; "wrong type")]
#[test_case("name = \"geneva\"", "name = \"zurich\"", fault::Code::Duplicate, 11; "duplicate")]
#[test_case("name = \"lookup\"", "name = \"Look up\"", fault::Code::BadName, 36; "bad name")]
#[test_case("to = \"geneva\"\ncap", "to = \"lugano\"\ncap", fault::Code::UnknownName, 24; "unknown name")]
#[test_case("percent = 20", "percent = 101", fault::Code::OutOfRange, 43; "percent")]
#[test_case("from = \"zurich\"\nto = \"geneva\"\npercent", "from = \"geneva\"\nto = \"zurich\"\npercent", fault::Code::MissingLink, 40; "missing link")]
#[test_case("until = 2026-12-05T04", "until = 2026-12-05T03", fault::Code::BadDrain, 45; "bad drain")]
#[test_case("until = 2026-12-05T04:00:00+01:00", "until = 2026-12-05", fault::Code::WrongType, 48; "no time")]
#[test_case(", geneva-1 = 2", "", fault::Code::NoTargetLeft, 45; "no target left")]
#[test_case("10.1.0.0/16", "10.1.0.1/16", fault::Code::BadBlock, 51; "host bits")]
#[test_case("10.1.0.0/16", "10.1.0.0/25", fault::Code::BadBlock, 51; "long prefix")]
#[test_case("[[member]]", "[[member]", fault::Code::Syntax, 4; "syntax")]
fn fault_code_and_line(from: &str, to: &str, code: fault::Code, line: u32) {
    assert!(VALID.contains(from));
    let faults = scan_document(&VALID.replacen(from, to, 1)).expect_err("invalid");
    let reported: Vec<_> = faults.iter().map(|fault| (fault.code, fault.line)).collect();
    assert!(reported.contains(&(code, line)), "{faults:#?}");
}

/// Parsing must not stop at the first fault: an operator sees all of them at once.
#[test]
fn reports_all_faults() {
    let text = VALID.replace("seats = 2", "seats = 0").replace("slots = 3", "slots = true");
    let faults = scan_document(&text).expect_err("invalid");
    let codes: Vec<_> = faults.iter().map(|fault| fault.code).collect();
    assert!(
        codes.contains(&fault::Code::OutOfRange) && codes.contains(&fault::Code::WrongType),
        "{faults:#?}"
    );
}

/// A document over the store's size limit must be rejected before it is submitted.
#[test]
fn rejects_too_large() {
    let text = format!("{VALID}\n#{}", "x".repeat(1_000_000));
    let faults = scan_document(&text).expect_err("too large");
    assert_eq!(faults[0].code, fault::Code::TooLarge);
}

proptest::proptest! {
    /// Parsing arbitrary text must not panic.
    #[test]
    fn arbitrary_text(text in "(\\[\\[?[a-z_.]{1,8}\\]\\]?\n|[a-z_]{1,8} = (\"[a-z/.0-9]{0,9}\"|[0-9-]{1,9}|\\{\\}|\\[\\])\n){0,12}") {
        let _ = scan_document(&text);
    }
}
