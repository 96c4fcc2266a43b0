//! Checks of the settings file.

use std::path::Path;

use ebonypass_entry::settings::{Limits, Settings};
use ebonypass_node::settings::scan;
use ebonypass_node::tls;
use test_case::test_case;

const EXAMPLE: &str = include_str!("../entry.example.toml");
const DOCUMENTED: &str = include_str!("../../../docs/settings.md");

/// Creates a folder with the key and certificate files of the example.
fn folder(name: &str) -> std::path::PathBuf {
    let path = std::env::temp_dir().join(format!(
        "ebonypass-settings-{name}-{}-{:?}",
        std::process::id(),
        std::thread::current().id()
    ));
    drop(std::fs::remove_dir_all(&path));
    std::fs::create_dir_all(&path).expect("folder");
    let authority = tls::new_authority().expect("authority");
    authority.write(&path, "authority").expect("write");
    tls::issue(&authority, "zurich-1-a").expect("issue").write(&path, "zurich-1-a").expect("write");
    path
}

/// The example is valid, and its limits are the defaults.
#[test]
fn example_file() {
    let settings: Settings = scan(EXAMPLE, &folder("example")).expect("valid");
    assert_eq!(settings.limits, Limits::default());
}

/// Each field of the example is explained in docs/settings.md.
#[test]
fn documented_fields() {
    for line in EXAMPLE.lines().filter(|line| !line.starts_with('#')) {
        if let Some((field, _)) = line.split_once(" = ") {
            assert!(DOCUMENTED.contains(&format!("`{field}`")), "docs/settings.md lacks {field}");
        }
    }
}

/// The error for an invalid value names the field.
#[test_case("name = \"zurich-1-a\"", "name = \"Zurich\"", "name"; "name")]
#[test_case("data_centre = \"zurich-1\"", "data_centre = \"\"", "data_centre"; "centre")]
#[test_case("\"127.0.0.1:7000\"", "\"localhost\"", "caller_listen"; "address")]
#[test_case("\"127.0.0.1:7100\"", "\"127.0.0.1:7000\"", "peer_listen"; "same address")]
#[test_case("\"127.0.0.1:6000\"", "\"127.0.0.1:0\"", "store"; "port")]
#[test_case("[\"127.0.0.1:7101\"]", "[\"127.0.0.1:0\"]", "peers"; "peer port")]
#[test_case("[\"127.0.0.1:7101\"]", "[\"127.0.0.1:7100\"]", "peers"; "own address")]
#[test_case("key = \"zurich-1-a.key\"", "key = \"none.key\"", "tls.key"; "no key file")]
#[test_case("key = \"zurich-1-a.key\"", "", "tls.key"; "no key")]
#[test_case("level = \"info\"", "level = \"all\"", "log.level"; "level")]
#[test_case("callers = 4096", "callers = 0", "limits.callers"; "callers")]
#[test_case("body_bytes = 1048576", "body_bytes = 67108865", "limits.body_bytes"; "body")]
#[test_case("held_bytes = 67108864", "held_bytes = 1048575", "limits.held_bytes"; "held")]
#[test_case("head_timeout_ms = 5000", "head_timeout_ms = -1", "limits.head_timeout_ms"; "negative")]
#[test_case("stop_ms = 600000", "stop_s = 600", "limits.stop_s"; "unknown")]
fn fault_names_field(from: &str, to: &str, field: &str) {
    assert!(EXAMPLE.contains(from));
    let text = EXAMPLE.replace(from, to);
    let fault = scan::<Settings>(&text, &folder("fault")).expect_err("faulty");
    assert_eq!(fault.field, field, "{fault}");
}

/// A missing key file is an error of the settings.
#[test]
fn missing_files() {
    let fault = scan::<Settings>(EXAMPLE, Path::new("/nowhere")).expect_err("faulty");
    assert_eq!(fault.field, "tls.authority");
}
