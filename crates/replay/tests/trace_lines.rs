//! Reading traces.

mod common;

use common::{arrive, document};
use ebonypass_replay::trace::{Line, open_trace, scan_trace, write_trace};
use test_case::test_case;

const GOOD: &str = r#"{"at_us":5,"arrive":{"id":1,"member":"north","service":"desk","kind":"read","dc":"near-1","service_us":4000,"request_bytes":400,"reply_bytes":2000,"deadline_us":500000,"idempotent":true}}"#;

/// Each kind of record of the format is accepted.
#[test_case(GOOD; "arrive")]
#[test_case(r#"{"at_us":5,"slow":{"target":"desk-near-1-01","factor":10.0,"for_us":2000000}}"#; "slow")]
#[test_case(r#"{"at_us":5,"leave":{"target":"desk-near-1-01"}}"#; "leave")]
#[test_case(r#"{"at_us":5,"fail":{"dc":"far-1","for_us":30000000}}"#; "fail")]
#[test_case(r#"{"at_us":5,"silence":{"source":"load","for_us":60000000}}"#; "silence")]
fn good_line(line: &str) {
    let trace = scan_trace(&document(), line.as_bytes()).expect("valid");
    assert_eq!(trace.arrivals.len() + trace.incidents.len(), 1);
}

/// A bad line is refused with its number and a reason; guards against records that are dropped.
#[test_case("{", "EOF"; "syntax")]
#[test_case("", "EOF"; "empty line")]
#[test_case(r#"{"at_us":5}"#, "exactly one"; "no event")]
#[test_case(r#"{"at_us":5,"leave":{"target":"desk-near-1-01"},"fail":{"dc":"far-1","for_us":1}}"#, "exactly one"; "two events")]
#[test_case(r#"{"at_us":4,"leave":{"target":"desk-near-1-01"}}"#, "earlier"; "out of order")]
#[test_case(r#"{"at_us":5,"leave":{"target":"desk-north-01"}}"#, "no target"; "unknown target")]
#[test_case(r#"{"at_us":5,"leave":{"target":"desk-near-1-00"}}"#, "no target"; "target zero")]
#[test_case(r#"{"at_us":5,"slow":{"target":"desk-near-1-01","factor":0.0,"for_us":1}}"#, "factor"; "factor")]
#[test_case(r#"{"at_us":5,"fail":{"dc":"moon-1","for_us":1}}"#, "no data centre"; "unknown centre")]
#[test_case(r#"{"at_us":5,"silence":{"source":"rumour","for_us":1}}"#, "unknown variant"; "unknown source")]
#[test_case(r#"{"at_us":5,"leave":{"target":"desk-near-1-01"},"note":1}"#, "unknown field"; "unknown field")]
#[test_case(r#"{"at_us":-5,"leave":{"target":"desk-near-1-01"}}"#, "invalid value"; "negative time")]
#[test_case(GOOD, "twice"; "repeated id")]
#[test_case(&GOOD.replace("\"id\":1", "\"id\":2").replace("desk", "moon"), "no service"; "unknown service")]
#[test_case(&GOOD.replace("\"id\":1", "\"id\":2").replace("read", "sing"), "no kind"; "unknown kind")]
#[test_case(&GOOD.replace("\"id\":1", "\"id\":2").replace("north", "west"), "no member"; "unknown member")]
#[test_case(&GOOD.replace("\"id\":1", "\"id\":2").replace("north", "south"), "may not call"; "member not allowed")]
#[test_case(&GOOD.replace("\"id\":1", "\"id\":2").replace("true", "false"), "idempotent"; "contradicts the policy")]
#[test_case(&GOOD.replace("\"id\":1", "\"id\":2").replace("4000", "0"), "service_us"; "no work")]
fn bad_line(line: &str, reason: &str) {
    let text = format!("{GOOD}\n{line}\n");
    let bad_lines = scan_trace(&document(), text.as_bytes()).expect_err("refused");
    assert_eq!(bad_lines.len(), 1, "{bad_lines:?}");
    assert_eq!(bad_lines[0].number, 2);
    assert!(bad_lines[0].reason.contains(reason), "{}", bad_lines[0]);
}

/// Every bad line is listed, not only the first.
#[test]
fn all_bad() {
    let text = format!("{{\n{GOOD}\nnull\n");
    let bad_lines = scan_trace(&document(), text.as_bytes()).expect_err("refused");
    let numbers: Vec<usize> = bad_lines.iter().map(|bad_line| bad_line.number).collect();
    assert_eq!(numbers, [1, 3]);
}

/// A number beyond the policy's count is taken modulo the count.
#[test_case("hall-far-1-01", "hall-far-1-01"; "first")]
#[test_case("hall-far-1-03", "hall-far-1-01"; "third of two")]
#[test_case("hall-far-1-12", "hall-far-1-02"; "twelfth of two")]
fn wrapped_number(named: &str, expected: &str) {
    let document = document();
    let line = format!(r#"{{"at_us":5,"leave":{{"target":"{named}"}}}}"#);
    let trace = scan_trace(&document, line.as_bytes()).expect("valid");
    let expected = document.target(expected).expect("it exists");
    assert_eq!(trace.incidents[0].1, ebonypass_replay::trace::Incident::Leave(expected));
}

/// What is written is read back, plain and compressed.
#[test_case("jsonl"; "plain")]
#[test_case("jsonl.gz"; "compressed")]
fn file_trip(extension: &str) {
    let text = arrive(5, 1, "desk", "read", "near-1", 4_000);
    let line: Line = serde_json::from_str(&text).expect("valid");
    let name = format!("trace-lines-{}.{extension}", std::process::id());
    let path = std::env::temp_dir().join(name);
    write_trace(&path, &[line]).expect("written");
    let reader = open_trace(&path).expect("opened");
    let trace = scan_trace(&document(), reader).expect("valid");
    std::fs::remove_file(&path).expect("removed");
    assert_eq!(trace, common::trace(&[text]));
}
