//! The commands of `ebonypass` and their exit codes.

mod common;

use common::{Folder, POLICY, Server, printed, run, submit};
use test_case::test_case;

/// Scripts rely on the exit code to tell a wrong call from a refused one.
#[test_case(&["check"], 2; "missing file name")]
#[test_case(&["check", "/nonexistent"], 2; "missing file")]
#[test_case(&["launch"], 2; "unknown command")]
#[test_case(&["--help"], 0; "help")]
#[test_case(&["submit", "--help"], 0; "help of a command")]
#[test_case(&["status", "--store", "127.0.0.1:1"], 4; "no store")]
#[test_case(&["status", "--store", "nowhere"], 2; "bad address")]
fn exit_code(words: &[&str], expected: i32) {
    let output = run(words);
    assert_eq!(output.status.code(), Some(expected), "{output:?}");
}

/// A fault is shown with file, line and code, as text and as JSON.
#[test]
fn faulty_document() {
    let folder = Folder::new();
    let file = folder.file("policy.toml", &POLICY.replace("slots = 3", "slots = 0"));
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

/// A faulty document never reaches the store.
#[test]
fn refused_whole() {
    let (server, folder) = (Server::start(), Folder::new());
    let good = folder.file("good.toml", POLICY);
    let bad = folder.file("bad.toml", &POLICY.replace("slots = 3", "slots = 0"));
    assert_eq!(submit(&server, &good, "anna", &[]).status.code(), Some(0));
    assert_eq!(submit(&server, &bad, "anna", &[]).status.code(), Some(1));
    let status = printed(&run(["status", "--store", &server.address.to_string()]));
    assert!(status.starts_with("version 1,"), "{status}");
    server.close();
}

/// The second of two changes made from the same version is refused and learns who won.
#[test]
fn named_winner() {
    let (server, folder) = (Server::start(), Folder::new());
    let file = folder.file("policy.toml", POLICY);
    submit(&server, &file, "anna", &[]);
    assert_eq!(submit(&server, &file, "bert", &["--base", "1"]).status.code(), Some(0));
    let output = submit(&server, &file, "cleo", &["--base", "1", "--json"]);
    assert_eq!(output.status.code(), Some(3));
    let json: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(json["winner"]["operator"], "bert");
    server.close();
}

/// A reply that is lost after the write took effect must not lead to a second write.
#[test]
fn lost_reply() {
    let (server, folder) = (Server::start(), Folder::new());
    let file = folder.file("policy.toml", POLICY);
    server.fault(r#"{"lose_replies":1}"#);
    let output = submit(&server, &file, "anna", &[]);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let status = printed(&run(["status", "--store", &server.address.to_string()]));
    assert!(status.starts_with("version 1,"), "{status}");
    server.close();
}

/// An outage is told from a refusal.
#[test]
fn store_outage() {
    let (server, folder) = (Server::start(), Folder::new());
    let file = folder.file("policy.toml", POLICY);
    server.fault(r#"{"outage":true}"#);
    assert_eq!(submit(&server, &file, "anna", &[]).status.code(), Some(4));
    server.close();
}

/// A drain is added to the text in force and removed from it; comments stay.
#[test]
fn drain_text() {
    let (server, folder) = (Server::start(), Folder::new());
    let file = folder.file("policy.toml", POLICY);
    submit(&server, &file, "anna", &[]);
    let store = server.address.to_string();
    let base = ["--store", &store, "--operator", "anna"];
    let drain = |subject: &'static str| {
        let words = ["drain", subject, "--from", "2026-12-05T02:00:00Z"];
        run(words.iter().chain(&["--until", "2026-12-05T03:00:00Z"]).chain(&base))
    };
    assert_eq!(drain("zurich-1").status.code(), Some(0));
    assert_eq!(drain("zurich-9").status.code(), Some(1));
    // Both data centres at once would leave the service without a target.
    assert_eq!(drain("zurich-2").status.code(), Some(1));
    let diff = run(["diff", file.to_str().expect("a path"), "--store", &store]);
    assert!(printed(&diff).contains("-data_centre = \"zurich-1\"\n-from = 2026-12-05T02:00:00Z"));
    let undrain = |subject| run(["undrain", subject].iter().chain(&base)).status.code();
    assert_eq!(undrain("zurich-1"), Some(0));
    assert_eq!(undrain("zurich-1"), Some(1));
    let json = run(["diff", file.to_str().expect("a path"), "--store", &store, "--json"]);
    let json: serde_json::Value = serde_json::from_slice(&json.stdout).expect("JSON");
    assert_eq!((&json["same"], &json["version"]), (&true.into(), &3.into()));
    server.close();
}

/// An authority is never overwritten: every certificate depends on it.
#[test]
fn kept_authority() {
    let folder = Folder::new();
    let path = folder.0.to_str().expect("a path");
    assert_eq!(run(["keys", "issue", path, "zurich-1-a"]).status.code(), Some(2));
    assert_eq!(run(["keys", "new-authority", path]).status.code(), Some(0));
    assert_eq!(run(["keys", "new-authority", path]).status.code(), Some(1));
    assert_eq!(run(["keys", "issue", path, "zurich-1-a"]).status.code(), Some(0));
    let key = std::fs::read_to_string(folder.0.join("zurich-1-a.key")).expect("a key");
    assert!(key.contains("PRIVATE KEY"));
}
