//! Settings of the console. console.example.toml explains each field.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use ebonypass_node::settings::{Check, Fault, Log, check_name, check_range};
use serde::Deserialize;

/// Tokens are at least this long: 32 hexadecimal digits hold 128 bits.
const MIN_TOKEN: usize = 32;

/// Settings of the console.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Where operators connect.
    #[serde(default = "default_listen")]
    pub listen: SocketAddr,
    /// Whether a proxy with TLS stands in front. Needed to listen elsewhere than on loopback.
    #[serde(default)]
    pub behind_tls: bool,
    /// The store.
    pub store: SocketAddr,
    /// Minutes after which an idle session ends.
    #[serde(default = "default_idle")]
    pub idle_minutes: u64,
    /// Who may log in.
    #[serde(rename = "operator")]
    pub operators: Vec<Operator>,
    /// Logs.
    #[serde(default)]
    pub log: Log,
}

/// A person who may log in.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// The name that submissions carry.
    pub name: String,
    /// The file with the token.
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
            let message = "tokens would cross the network unencrypted; see behind_tls";
            return Err(Fault::new("listen", message));
        }
        if self.store.port() == 0 {
            return Err(Fault::new("store", "port 0"));
        }
        check_range("idle_minutes", self.idle_minutes, 1..=1_440)?;
        if self.operators.is_empty() {
            return Err(Fault::new("operator", "at least one is needed"));
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
        if self.token.len() < MIN_TOKEN {
            let message = format!("the token has fewer than {MIN_TOKEN} characters");
            return Err(Fault::new("operator.token_file", message));
        }
        Ok(())
    }
}
