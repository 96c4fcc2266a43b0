//! Settings of an entry. docs/settings.md explains each field.

use std::net::SocketAddr;
use std::path::Path;

use ebonypass_node::settings::{Check, Fault, Log, Tls, check_name, check_range};
use serde::Deserialize;

/// Settings of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The entry's name, unique in the deployment and equal to the name in its certificate.
    pub name: String,
    /// The data centre it runs in, by its name in the policy.
    pub data_centre: String,
    /// The address for callers.
    pub caller_listen: SocketAddr,
    /// The address for other entries.
    pub peer_listen: SocketAddr,
    /// The address for metrics and health checks.
    pub admin_listen: SocketAddr,
    /// The address of the store.
    pub store: SocketAddr,
    /// Peers to connect to in addition to those of the VM list.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// The files with the keys and certificates.
    pub tls: Tls,
    /// The level and file of the log.
    #[serde(default)]
    pub log: Log,
    /// Limits on callers.
    #[serde(default)]
    pub limits: Limits,
}

/// Limits on the memory and connections that callers can make an entry use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum total size of the request bodies in memory, in bytes.
    pub held_bytes: usize,
    /// Maximum number of open caller connections.
    pub callers: usize,
    /// Maximum number of request keys in memory. Each is kept for up to 20 minutes.
    pub keys: usize,
    /// How long a caller may take to send a request, from its first byte, in milliseconds.
    pub head_timeout_ms: u64,
    /// How long a connection may be idle between requests, in milliseconds.
    pub idle_timeout_ms: u64,
    /// The longest deadline that a caller may give, in milliseconds.
    pub deadline_ms: u64,
    /// How long a stopping entry still accepts requests, in milliseconds. Callers cache look-ups
    /// for 5 s.
    pub leave_ms: u64,
    /// How long a stopping entry waits for requests in flight after that, in milliseconds.
    pub stop_ms: u64,
}

impl Limits {
    /// The default limits.
    pub const DEFAULT: Limits = Limits {
        head_bytes: 16 * 1024,
        body_bytes: 1024 * 1024,
        held_bytes: 64 * 1024 * 1024,
        callers: 4_096,
        keys: 500_000,
        head_timeout_ms: 5_000,
        idle_timeout_ms: 60_000,
        deadline_ms: 600_000,
        leave_ms: 6_000,
        stop_ms: 600_000,
    };
}

impl Default for Limits {
    fn default() -> Limits {
        Limits::DEFAULT
    }
}

impl Check for Settings {
    fn check(&mut self, folder: &Path) -> Result<(), Fault> {
        check_name("name", &self.name)?;
        check_name("data_centre", &self.data_centre)?;
        if self.store.port() == 0 {
            return Err(Fault::new("store", "port 0 is not allowed"));
        }
        if self.peers.iter().any(|peer| peer.port() == 0) {
            return Err(Fault::new("peers", "port 0 is not allowed"));
        }
        if self.peers.contains(&self.peer_listen) {
            return Err(Fault::new("peers", "contains this entry's own peer_listen"));
        }
        let listeners = [
            ("caller_listen", self.caller_listen),
            ("peer_listen", self.peer_listen),
            ("admin_listen", self.admin_listen),
        ];
        for (index, (field, address)) in listeners.iter().enumerate() {
            let is_duplicate = listeners[..index].iter().any(|(_, other)| other == address);
            if is_duplicate && address.port() != 0 {
                return Err(Fault::new(
                    *field,
                    format!("{address} is already used by another listener"),
                ));
            }
        }
        self.tls.check(folder)?;
        self.log.check(folder)?;
        self.limits.check()
    }
}

impl Limits {
    fn check(&self) -> Result<(), Fault> {
        check_range("limits.head_bytes", self.head_bytes, 1_024..=1024 * 1024)?;
        check_range("limits.body_bytes", self.body_bytes, 0..=64 * 1024 * 1024)?;
        check_range("limits.held_bytes", self.held_bytes, self.body_bytes..=1 << 40)?;
        check_range("limits.callers", self.callers, 1..=1_000_000)?;
        check_range("limits.keys", self.keys, 1..=100_000_000)?;
        check_range("limits.head_timeout_ms", self.head_timeout_ms, 10..=600_000)?;
        check_range("limits.idle_timeout_ms", self.idle_timeout_ms, 10..=3_600_000)?;
        check_range("limits.deadline_ms", self.deadline_ms, 1..=86_400_000)?;
        check_range("limits.leave_ms", self.leave_ms, 0..=600_000)?;
        check_range("limits.stop_ms", self.stop_ms, 0..=86_400_000)
    }
}
