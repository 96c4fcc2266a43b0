//! `ebonypass explain` on log lines that gateways wrote during a benchmark (incident inc-8ae1 of
//! windelrunde-ebp). Guards against failed requests whose cause the logs do not show.

use std::process::{Command, Output};

use test_case::test_case;

const LOG: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/logs/incident.jsonl");

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_ebonypass")).args(arguments).output().unwrap()
}

fn stdout_text(arguments: &[&str]) -> String {
    String::from_utf8(run(arguments).stdout).unwrap()
}

#[test_case("b3d6beed0fda4961", "Not run: the earliest of 4 targets of wumi81a was expected to answer in 1311 ms, and 862 ms were left."; "refused as not run")]
#[test_case("95b873db6ea8cba2", "Unknown outcome: target i-75a12bf571 had not answered 1200 ms after it got the request, 183 ms were expected."; "timed out")]
#[test_case("1c7646ecb45b6a00", "Unknown outcome: at target i-648e0432b3 the attempt ended with \"lost: connection closed before message completed\"."; "lost")]
#[test_case("5dbd98f91fee7260", "Answered late by target i-442be90774, which took 339 ms where 390 ms were expected, 0 ms of them for a slot; 2 attempts."; "answered late")]
fn last_line_explains_the_outcome(request: &str, reason: &str) {
    let arguments = ["explain", request, LOG];
    assert_eq!(run(&arguments).status.code(), Some(0));
    assert_eq!(stdout_text(&arguments).lines().last(), Some(reason));
}

#[test]
fn each_attempt_is_listed() {
    let text = stdout_text(&["explain", "5dbd98f91fee7260", LOG]);
    assert!(text.contains("attempt 1:") && text.contains("Connection refused"), "{text}");
    assert!(text.contains("attempt 2:") && text.contains("i-442be90774"), "{text}");
}

#[test_case(&["explain", "unknown", LOG], 1; "no line names the request")]
#[test_case(&["explain", "unknown", "/nonexistent"], 2; "no such file")]
fn exit_code_without_events(arguments: &[&str], code: i32) {
    assert_eq!(run(arguments).status.code(), Some(code));
}
