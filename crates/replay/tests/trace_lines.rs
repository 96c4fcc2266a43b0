//! Reading and writing traces.

mod common;

use common::{arrive, policy};
use ebonypass_replay::trace::{Line, open_trace, scan_trace, write_trace};
use test_case::test_case;

const VALID: &str = r#"{"at_us":5,"arrive":{"id":1,"member":"north","service":"desk","kind":"read","dc":"near-1","service_us":4000,"request_bytes":400,"reply_bytes":2000,"deadline_us":500000,"idempotent":true}}"#;

/// Each kind of line is accepted.
#[test_case(VALID; "arrive")]
#[test_case(r#"{"at_us":5,"slow":{"target":"desk-near-1-01","factor":10.0,"for_us":2000000}}"#; "slow")]
#[test_case(r#"{"at_us":5,"leave":{"target":"desk-near-1-01"}}"#; "leave")]
#[test_case(r#"{"at_us":5,"fail":{"dc":"far-1","for_us":30000000}}"#; "fail")]
#[test_case(r#"{"at_us":5,"silence":{"source":"load","for_us":60000000}}"#; "silence")]
fn valid_line(line: &str) {
    let trace = scan_trace(&policy(), line.as_bytes()).expect("the line is valid");
    assert_eq!(trace.arrivals.len() + trace.incidents.len(), 1);
}

/// An invalid line is reported with its number and a reason. Guards against dropping it silently.
#[test_case("{", "EOF"; "syntax")]
#[test_case("", "EOF"; "empty line")]
#[test_case(r#"{"at_us":5}"#, "exactly one"; "no kind of line")]
#[test_case(r#"{"at_us":5,"leave":{"target":"desk-near-1-01"},"fail":{"dc":"far-1","for_us":1}}"#, "exactly one"; "two kinds of line")]
#[test_case(r#"{"at_us":4,"leave":{"target":"desk-near-1-01"}}"#, "earlier"; "out of order")]
#[test_case(r#"{"at_us":5,"leave":{"target":"desk-north-01"}}"#, "no target"; "unknown target")]
#[test_case(r#"{"at_us":5,"leave":{"target":"desk-near-1-00"}}"#, "no target"; "target zero")]
#[test_case(r#"{"at_us":5,"slow":{"target":"desk-near-1-01","factor":0.0,"for_us":1}}"#, "factor"; "factor")]
#[test_case(r#"{"at_us":5,"fail":{"dc":"moon-1","for_us":1}}"#, "no data centre"; "unknown centre")]
#[test_case(r#"{"at_us":5,"silence":{"source":"rumour","for_us":1}}"#, "unknown variant"; "unknown source")]
#[test_case(r#"{"at_us":5,"leave":{"target":"desk-near-1-01"},"note":1}"#, "unknown field"; "unknown field")]
#[test_case(r#"{"at_us":-5,"leave":{"target":"desk-near-1-01"}}"#, "invalid value"; "negative time")]
#[test_case(VALID, "twice"; "repeated id")]
#[test_case(&VALID.replace("\"id\":1", "\"id\":2").replace("desk", "moon"), "no service"; "unknown service")]
#[test_case(&VALID.replace("\"id\":1", "\"id\":2").replace("read", "sing"), "no kind"; "unknown kind")]
#[test_case(&VALID.replace("\"id\":1", "\"id\":2").replace("north", "west"), "no member"; "unknown member")]
#[test_case(&VALID.replace("\"id\":1", "\"id\":2").replace("north", "south"), "may not call"; "member not allowed")]
#[test_case(&VALID.replace("\"id\":1", "\"id\":2").replace("true", "false"), "idempotent"; "contradicts the policy")]
#[test_case(&VALID.replace("\"id\":1", "\"id\":2").replace("4000", "0"), "service_us"; "zero service time")]
fn invalid_line(line: &str, reason: &str) {
    let text = format!("{VALID}\n{line}\n");
    let invalid_lines = scan_trace(&policy(), text.as_bytes()).expect_err("the trace is invalid");
    assert_eq!(invalid_lines.len(), 1, "{invalid_lines:?}");
    assert_eq!(invalid_lines[0].number, 2);
    assert!(invalid_lines[0].reason.contains(reason), "{}", invalid_lines[0]);
}

/// Every invalid line is reported, not only the first.
#[test]
fn all_invalid_lines() {
    let text = format!("{{\n{VALID}\nnull\n");
    let invalid_lines = scan_trace(&policy(), text.as_bytes()).expect_err("the trace is invalid");
    let numbers: Vec<usize> =
        invalid_lines.iter().map(|invalid_line| invalid_line.number).collect();
    assert_eq!(numbers, [1, 3]);
}

/// A target number beyond the number of targets wraps around, so that a trace can be replayed
/// against a policy with fewer targets. `hall` has two targets in `far-1`.
#[test_case("hall-far-1-01", "hall-far-1-01"; "first")]
#[test_case("hall-far-1-03", "hall-far-1-01"; "third of two")]
#[test_case("hall-far-1-12", "hall-far-1-02"; "twelfth of two")]
fn wrapped_number(name: &str, expected: &str) {
    let document = policy();
    let line = format!(r#"{{"at_us":5,"leave":{{"target":"{name}"}}}}"#);
    let trace = scan_trace(&document, line.as_bytes()).expect("the line is valid");
    let expected = document.target(expected).expect("the target exists");
    assert_eq!(trace.incidents[0].1, ebonypass_replay::trace::Incident::Leave(expected));
}

/// A written trace is read back unchanged, plain and compressed.
#[test_case("jsonl"; "plain")]
#[test_case("jsonl.gz"; "compressed")]
fn file_round_trip(extension: &str) {
    let text = arrive(5, 1, "desk", "read", "near-1", 4_000);
    let line: Line = serde_json::from_str(&text).expect("the line is valid");
    let name = format!("trace-lines-{}.{extension}", std::process::id());
    let path = std::env::temp_dir().join(name);
    write_trace(&path, &[line]).expect("the trace is written");
    let reader = open_trace(&path).expect("the trace is opened");
    let trace = scan_trace(&policy(), reader).expect("the line is valid");
    std::fs::remove_file(&path).expect("the file is removed");
    assert_eq!(trace, common::trace(&[text]));
}
