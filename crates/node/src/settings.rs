//! TOML settings of the programs.
//!
//! A program defines its settings as a struct that implements [`Check`] and reads them with
//! [`load`]. Each fault names the field it concerns.

use std::fmt;
use std::fs;
use std::path::{Path, PathBuf};

use log::LevelFilter;
use serde::Deserialize;
use serde::de::DeserializeOwned;

/// An invalid setting.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The field with its table, as in `tls.key`; empty if the fault concerns no single field.
    pub field: String,
    /// What is wrong.
    pub message: String,
}

impl Fault {
    /// A fault in `field`.
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

/// Settings with rules that their types do not express.
pub trait Check {
    /// Resolves relative paths against `base_dir`, and returns the first fault found.
    fn check(&mut self, base_dir: &Path) -> Result<(), Fault>;
}

/// Reads and checks the settings file `path`. Relative paths in it start at its directory.
///
/// Errors: the file cannot be read, or has a fault; the first one is returned.
pub fn load<S: DeserializeOwned + Check>(path: &Path) -> Result<S, Fault> {
    let text = fs::read_to_string(path)
        .map_err(|error| Fault::new("", format!("{}: {error}", path.display())))?;
    scan(&text, path.parent().unwrap_or(Path::new("")))
}

/// Reads and checks the settings in `text`. Relative paths in it start at `base_dir`.
///
/// Errors: the first fault found.
pub fn scan<S: DeserializeOwned + Check>(text: &str, base_dir: &Path) -> Result<S, Fault> {
    let mut settings: S = toml::from_str(text).map_err(|error| {
        let offset = error.span().map_or(0, |span| span.start);
        Fault::new(scan_field(text, offset, error.message()), error.message().to_owned())
    })?;
    settings.check(base_dir)?;
    Ok(settings)
}

/// The field that `message` names, or else the one on the line at byte `offset` of `text`.
fn scan_field(text: &str, offset: usize, message: &str) -> String {
    let table = scan_table(text, offset);
    let named = ["missing field `", "unknown field `"]
        .iter()
        .find_map(|prefix| message.strip_prefix(prefix)?.split('`').next());
    let line_start = text[..offset].rfind('\n').map_or(0, |end| end + 1);
    let line = text[line_start..].lines().next().unwrap_or_default();
    let key = line.split_once('=').map_or("", |(field, _)| field.trim());
    match (table, named.unwrap_or(key)) {
        ("", field) => field.to_owned(),
        (table, "") => table.to_owned(),
        (table, field) => format!("{table}.{field}"),
    }
}

/// The table that contains byte `offset` of `text`.
fn scan_table(text: &str, offset: usize) -> &str {
    let end = text[offset..].find('\n').map_or(text.len(), |end| offset + end);
    let headers = text[..end].lines().rev().map(str::trim);
    let header = headers.into_iter().find(|line| line.starts_with('['));
    header.map_or("", |line| line.trim_matches(['[', ']']))
}

/// The `[tls]` table: paths of PEM files.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tls {
    /// Certificates of the trusted certificate authorities.
    pub authority: PathBuf,
    /// This process's certificate chain.
    pub certificate: PathBuf,
    /// The private key of the certificate.
    pub key: PathBuf,
}

impl Check for Tls {
    fn check(&mut self, base_dir: &Path) -> Result<(), Fault> {
        let files = [
            ("tls.authority", &mut self.authority),
            ("tls.certificate", &mut self.certificate),
            ("tls.key", &mut self.key),
        ];
        for (field, path) in files {
            *path = base_dir.join(&*path);
            if !path.is_file() {
                return Err(Fault::new(field, format!("{} is not a file", path.display())));
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
    /// The file to append to; if absent, the log goes to the standard error stream.
    pub file: Option<PathBuf>,
}

impl Default for Log {
    fn default() -> Log {
        Log { level: "info".to_owned(), file: None }
    }
}

impl Log {
    /// The minimum level as a logger filter.
    pub fn level_filter(&self) -> LevelFilter {
        self.level.parse().unwrap_or(LevelFilter::Info)
    }
}

impl Check for Log {
    fn check(&mut self, base_dir: &Path) -> Result<(), Fault> {
        if !["error", "warn", "info", "debug"].contains(&self.level.as_str()) {
            return Err(Fault::new("log.level", "not one of error, warn, info, debug"));
        }
        self.file = self.file.take().map(|file| base_dir.join(file));
        Ok(())
    }
}

/// Checks that `name` can be used in object keys, host names and headers: 1 to 48 characters of
/// `a-z`, `0-9` and inner `-`.
pub fn check_name(field: &str, name: &str) -> Result<(), Fault> {
    let is_allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    let has_outer_hyphen = name.starts_with('-') || name.ends_with('-');
    if name.is_empty() || name.len() > 48 || has_outer_hyphen || !name.bytes().all(is_allowed) {
        return Err(Fault::new(
            field,
            format!("{name:?} is not 1 to 48 characters of a-z, 0-9 and inner -"),
        ));
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
