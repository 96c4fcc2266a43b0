//! TOML settings of the programs.
//!
//! A program describes its settings as a struct that implements [`Check`] and reads them with
//! [`load`]. Each fault names its field.

use std::fmt;
use std::fs;
use std::path::{Path, PathBuf};

use log::LevelFilter;
use serde::Deserialize;
use serde::de::DeserializeOwned;

/// A setting that is not acceptable.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The field with its table, as in `tls.key`; empty if the fault has no field.
    pub field: String,
    /// What is wrong.
    pub message: String,
}

impl Fault {
    /// A fault of `field`.
    pub fn new(field: impl Into<String>, message: impl Into<String>) -> Fault {
        Fault { field: field.into(), message: message.into() }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.field.is_empty() {
            return write!(f, "settings: {}", self.message);
        }
        write!(f, "setting {}: {}", self.field, self.message)
    }
}

impl std::error::Error for Fault {}

/// Settings that can check what their types do not say.
pub trait Check {
    /// The first fault, if any. Relative paths are resolved against `folder`.
    fn check(&mut self, folder: &Path) -> Result<(), Fault>;
}

/// Reads and checks the settings in the file `path`. Relative paths in it start at its folder.
///
/// Errors: the file cannot be read, or the first fault in it.
pub fn load<S: DeserializeOwned + Check>(path: &Path) -> Result<S, Fault> {
    let text = fs::read_to_string(path)
        .map_err(|error| Fault::new("", format!("{}: {error}", path.display())))?;
    scan(&text, path.parent().unwrap_or(Path::new("")))
}

/// Reads and checks settings in `text`. Relative paths in it start at `folder`.
pub fn scan<S: DeserializeOwned + Check>(text: &str, folder: &Path) -> Result<S, Fault> {
    let mut settings: S = toml::from_str(text).map_err(|error| {
        let at = error.span().map_or(0, |span| span.start);
        Fault::new(scan_field(text, at, error.message()), error.message().to_owned())
    })?;
    settings.check(folder)?;
    Ok(settings)
}

/// The field at byte `at` of `text`, or the one that `message` names.
fn scan_field(text: &str, at: usize, message: &str) -> String {
    let table = scan_table(text, at);
    let named = ["missing field `", "unknown field `"]
        .iter()
        .find_map(|start| message.strip_prefix(start)?.split('`').next());
    let start = text[..at].rfind('\n').map_or(0, |end| end + 1);
    let line = text[start..].lines().next().unwrap_or_default();
    let written = line.split_once('=').map_or("", |(field, _)| field.trim());
    match (table, named.unwrap_or(written)) {
        ("", field) => field.to_owned(),
        (table, "") => table.to_owned(),
        (table, field) => format!("{table}.{field}"),
    }
}

/// The table that byte `at` of `text` lies in.
fn scan_table(text: &str, at: usize) -> &str {
    let end = text[at..].find('\n').map_or(text.len(), |end| at + end);
    let headers = text[..end].lines().rev().map(str::trim);
    let header = headers.into_iter().find(|line| line.starts_with('['));
    header.map_or("", |line| line.trim_matches(['[', ']']))
}

/// The `[tls]` table: files in PEM form.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tls {
    /// The authorities whose certificates are accepted.
    pub authority: PathBuf,
    /// The own certificate.
    pub certificate: PathBuf,
    /// The own private key.
    pub key: PathBuf,
}

impl Check for Tls {
    fn check(&mut self, folder: &Path) -> Result<(), Fault> {
        let files = [
            ("tls.authority", &mut self.authority),
            ("tls.certificate", &mut self.certificate),
            ("tls.key", &mut self.key),
        ];
        for (field, path) in files {
            *path = folder.join(&*path);
            if !path.is_file() {
                return Err(Fault::new(field, format!("no file {}", path.display())));
            }
        }
        Ok(())
    }
}

/// The optional `[log]` table.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// `error`, `warn`, `info` or `debug`.
    pub level: String,
    /// The file that lines are added to; the standard error stream when absent.
    pub file: Option<PathBuf>,
}

impl Default for Log {
    fn default() -> Log {
        Log { level: "info".to_owned(), file: None }
    }
}

impl Log {
    /// The level as the logger takes it.
    pub fn filter(&self) -> LevelFilter {
        self.level.parse().unwrap_or(LevelFilter::Info)
    }
}

impl Check for Log {
    fn check(&mut self, folder: &Path) -> Result<(), Fault> {
        if !["error", "warn", "info", "debug"].contains(&self.level.as_str()) {
            return Err(Fault::new("log.level", "not one of error, warn, info, debug"));
        }
        self.file = self.file.take().map(|file| folder.join(file));
        Ok(())
    }
}

/// Checks that `name` fits object keys, host names and headers: `a-z`, `0-9` and inner `-`.
pub fn check_name(field: &str, name: &str) -> Result<(), Fault> {
    let fits = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    let edge = name.starts_with('-') || name.ends_with('-');
    if name.is_empty() || name.len() > 48 || edge || !name.bytes().all(fits) {
        return Err(Fault::new(field, format!("{name:?} is not a name of a-z, 0-9 and inner -")));
    }
    Ok(())
}

/// Checks that `value` lies in `range`.
pub fn check_range<T: PartialOrd + fmt::Display>(
    field: &str,
    value: T,
    range: std::ops::RangeInclusive<T>,
) -> Result<(), Fault> {
    if range.contains(&value) {
        return Ok(());
    }
    let (start, end) = range.into_inner();
    Err(Fault::new(field, format!("{value} is not between {start} and {end}")))
}
