//! Settings of the console. console.example.toml explains each field.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use ebonypass_node::settings::{Check, Fault, Log, check_name, check_range};
use serde::Deserialize;

/// Minimum length of a token: 32 hexadecimal digits encode 128 bits.
const MIN_TOKEN_BYTES: usize = 32;

/// Settings of the console.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The address that operators connect to.
    #[serde(default = "default_listen")]
    pub listen: SocketAddr,
    /// Whether a proxy in front terminates TLS. Required to listen on another than a loopback
    /// address.
    #[serde(default)]
    pub behind_tls: bool,
    /// The address of the store.
    pub store: SocketAddr,
    /// Idle timeout of sessions, in minutes.
    #[serde(default = "default_idle")]
    pub idle_minutes: u64,
    /// The operators that may log in.
    #[serde(rename = "operator")]
    pub operators: Vec<Operator>,
    /// Level and file of the log.
    #[serde(default)]
    pub log: Log,
}

/// An operator that may log in.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// The name recorded with submissions.
    pub name: String,
    /// The file that contains the token.
    pub token_file: PathBuf,
    /// The token, read from the file.
    #[serde(skip)]
    pub token: String,
}

fn default_listen() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 8088))
}

const fn default_idle() -> u64 {
    60
}

impl Check for Settings {
    fn check(&mut self, folder: &Path) -> Result<(), Fault> {
        if !self.listen.ip().is_loopback() && !self.behind_tls {
            let message =
                "tokens would be sent unencrypted; set behind_tls if a proxy terminates TLS";
            return Err(Fault::new("listen", message));
        }
        if self.store.port() == 0 {
            return Err(Fault::new("store", "the port must not be 0"));
        }
        check_range("idle_minutes", self.idle_minutes, 1..=1_440)?;
        if self.operators.is_empty() {
            return Err(Fault::new("operator", "at least one operator is required"));
        }
        for operator in &mut self.operators {
            operator.check(folder)?;
        }
        self.log.check(folder)
    }
}

impl Check for Operator {
    fn check(&mut self, folder: &Path) -> Result<(), Fault> {
        check_name("operator.name", &self.name)?;
        let path = folder.join(&self.token_file);
        let text = fs::read_to_string(&path).map_err(|error| {
            Fault::new("operator.token_file", format!("{}: {error}", path.display()))
        })?;
        self.token = text.trim().to_owned();
        if self.token.len() < MIN_TOKEN_BYTES {
            let message = format!("the token has fewer than {MIN_TOKEN_BYTES} characters");
            return Err(Fault::new("operator.token_file", message));
        }
        Ok(())
    }
}
