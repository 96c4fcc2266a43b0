//! The commands of `ebonypass`, their output and exit codes.

mod common;

use common::{POLICY, Server, TempFolder, run, stdout_text, submit};
use test_case::test_case;

/// Scripts rely on the exit code to distinguish wrong usage from a refusal.
#[test_case(&["check"], 2; "missing file name")]
#[test_case(&["check", "/nonexistent"], 2; "missing file")]
#[test_case(&["launch"], 2; "unknown command")]
#[test_case(&["--help"], 0; "help")]
#[test_case(&["submit", "--help"], 0; "help of a command")]
#[test_case(&["status", "--store", "127.0.0.1:1"], 4; "no store")]
#[test_case(&["status", "--store", "nowhere"], 2; "bad address")]
fn exit_code(arguments: &[&str], expected: i32) {
    let output = run(arguments);
    assert_eq!(output.status.code(), Some(expected), "{output:?}");
}

/// A fault is printed with its file, line and code, as text and as JSON.
#[test]
fn faulty_document() {
    let folder = TempFolder::new();
    let file = folder.write("policy.toml", &POLICY.replace("slots = 3", "slots = 0"));
    let file = file.to_str().expect("a path");
    let output = run(["check", file]);
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(1));
    assert!(text.contains("policy.toml:21: line 21: EP-1006"), "{text}");
    let output = run(["check", file, "--json"]);
    let json: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(json["faults"][0]["line"], 21);
    assert_eq!(json["faults"][0]["code"], "EP-1006");
}

/// A document with faults is never written to the store.
#[test]
fn faulty_document_is_not_submitted() {
    let (server, folder) = (Server::start(), TempFolder::new());
    let valid = folder.write("good.toml", POLICY);
    let faulty = folder.write("bad.toml", &POLICY.replace("slots = 3", "slots = 0"));
    assert_eq!(submit(&server, &valid, "anna", &[]).status.code(), Some(0));
    assert_eq!(submit(&server, &faulty, "anna", &[]).status.code(), Some(1));
    let status = stdout_text(&run(["status", "--store", &server.address.to_string()]));
    assert!(status.starts_with("version 1,"), "{status}");
    server.close();
}

/// The second of two changes with the same base version is refused, and the output names the
/// operator whose change was accepted.
#[test]
fn conflict_names_the_winner() {
    let (server, folder) = (Server::start(), TempFolder::new());
    let file = folder.write("policy.toml", POLICY);
    submit(&server, &file, "anna", &[]);
    assert_eq!(submit(&server, &file, "bert", &["--base", "1"]).status.code(), Some(0));
    let output = submit(&server, &file, "cleo", &["--base", "1", "--json"]);
    assert_eq!(output.status.code(), Some(3));
    let json: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(json["winner"]["operator"], "bert");
    server.close();
}

/// Guards against a second write when the reply to the first is lost after it took effect.
#[test]
fn lost_reply_does_not_write_twice() {
    let (server, folder) = (Server::start(), TempFolder::new());
    let file = folder.write("policy.toml", POLICY);
    server.set_fault(r#"{"lose_replies":1}"#);
    let output = submit(&server, &file, "anna", &[]);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let status = stdout_text(&run(["status", "--store", &server.address.to_string()]));
    assert!(status.starts_with("version 1,"), "{status}");
    server.close();
}

/// An outage of the store has another exit code than a refusal.
#[test]
fn store_outage_is_unreachable() {
    let (server, folder) = (Server::start(), TempFolder::new());
    let file = folder.write("policy.toml", POLICY);
    server.set_fault(r#"{"outage":true}"#);
    assert_eq!(submit(&server, &file, "anna", &[]).status.code(), Some(4));
    server.close();
}

/// Adding and removing a drain keeps the rest of the text, also its comments.
#[test]
fn drain_keeps_the_text() {
    let (server, folder) = (Server::start(), TempFolder::new());
    let file = folder.write("policy.toml", POLICY);
    submit(&server, &file, "anna", &[]);
    let store = server.address.to_string();
    let base = ["--store", &store, "--operator", "anna"];
    let drain = |subject: &'static str| {
        let arguments = ["drain", subject, "--from", "2026-12-05T02:00:00Z"];
        run(arguments.iter().chain(&["--until", "2026-12-05T03:00:00Z"]).chain(&base))
    };
    assert_eq!(drain("zurich-1").status.code(), Some(0));
    assert_eq!(drain("zurich-9").status.code(), Some(1));
    // Draining both data centres at once would leave the service without a target.
    assert_eq!(drain("zurich-2").status.code(), Some(1));
    let diff = run(["diff", file.to_str().expect("a path"), "--store", &store]);
    assert!(
        stdout_text(&diff).contains("-data_centre = \"zurich-1\"\n-from = 2026-12-05T02:00:00Z")
    );
    let undrain = |subject| run(["undrain", subject].iter().chain(&base)).status.code();
    assert_eq!(undrain("zurich-1"), Some(0));
    assert_eq!(undrain("zurich-1"), Some(1));
    let json = run(["diff", file.to_str().expect("a path"), "--store", &store, "--json"]);
    let json: serde_json::Value = serde_json::from_slice(&json.stdout).expect("JSON");
    assert_eq!((&json["same"], &json["version"]), (&true.into(), &3.into()));
    server.close();
}

/// An existing authority is never overwritten, because every issued certificate depends on it.
#[test]
fn authority_is_not_overwritten() {
    let folder = TempFolder::new();
    let path = folder.0.to_str().expect("a path");
    assert_eq!(run(["keys", "issue", path, "zurich-1-a"]).status.code(), Some(2));
    assert_eq!(run(["keys", "new-authority", path]).status.code(), Some(0));
    assert_eq!(run(["keys", "new-authority", path]).status.code(), Some(1));
    assert_eq!(run(["keys", "issue", path, "zurich-1-a"]).status.code(), Some(0));
    let key = std::fs::read_to_string(folder.0.join("zurich-1-a.key")).expect("a key file");
    assert!(key.contains("PRIVATE KEY"));
}
