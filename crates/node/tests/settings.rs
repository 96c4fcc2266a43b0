//! Parsing and validation of settings.

use std::path::Path;

use ebonypass_node::settings::{Check, Fault, Log, check_name, check_range, scan};
use serde::Deserialize;
use test_case::test_case;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Sample {
    name: String,
    port: u16,
    #[serde(default)]
    log: Log,
}

impl Check for Sample {
    fn check(&mut self, base_dir: &Path) -> Result<(), Fault> {
        check_name("name", &self.name)?;
        check_range("port", self.port, 1..=65_000)?;
        self.log.check(base_dir)
    }
}

const VALID: &str = "name = \"a\"\nport = 7\n[log]\nlevel = \"warn\"\n";

/// Each fault names its field, so that an operator can find it in the file.
#[test_case("port = 7", "port = \"x\"", "port"; "wrong type")]
#[test_case("port = 7", "", "port"; "missing")]
#[test_case("port = 7", "port = 7\nprot = 7", "prot"; "unknown")]
#[test_case("port = 7", "port = 0", "port"; "range")]
#[test_case("name = \"a\"", "name = \"A b\"", "name"; "bad name")]
#[test_case("level = \"warn\"", "level = 3", "log.level"; "nested type")]
#[test_case("level = \"warn\"", "levle = \"warn\"", "log.levle"; "nested unknown")]
#[test_case("level = \"warn\"", "level = \"loud\"", "log.level"; "nested value")]
#[test_case("port = 7", "port = ", "port"; "syntax")]
fn named_fault(valid: &str, faulty: &str, field: &str) {
    assert!(scan::<Sample>(VALID, Path::new("")).is_ok());
    let fault = scan::<Sample>(&VALID.replace(valid, faulty), Path::new("")).expect_err("fault");
    assert_eq!(fault.field, field, "{fault}");
}

/// Relative paths start at the directory of the settings file, not at the working directory.
#[test]
fn relative_path() {
    let text = VALID.replace("level = \"warn\"", "file = \"a.log\"");
    let sample: Sample = scan(&text, Path::new("/etc/ebonypass")).expect("valid settings");
    assert_eq!(sample.log.file.as_deref(), Some(Path::new("/etc/ebonypass/a.log")));
}

proptest::proptest! {
    /// Arbitrary text gives settings or a fault, never a panic.
    #[test]
    fn arbitrary_text(text in "(\\[?[a-z.]{1,6}\\]?( = (\"[a-zé]{0,3}\"|[0-9-]{1,3}|))?\n?){0,6}") {
        let _ = scan::<Sample>(&text, Path::new(""));
    }
}
