//! Settings of the gateway.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;

use ebonypass_core::time::Span;
use ebonypass_node::settings::{Check, Fault, check_range};
use serde::Deserialize;
use serde_with::{DurationMilliSeconds, serde_as};
use std::time::Duration;

/// Settings of one gateway process. `gateway.example.toml` documents them.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this machine, which no other machine has.
    pub name: String,
    /// Address of this machine.
    pub address: IpAddr,
    /// Data centre of this machine.
    pub data_centre: String,
    /// Region of this machine.
    pub region: String,
    /// Region of each data centre.
    pub regions: HashMap<String, String>,
    /// Where the process listens.
    pub listen: Listen,
    /// The platform's store.
    pub store: Store,
    /// Machines that a new process asks first.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time, so that no machine knows anything yet.
    #[serde(default, rename = "first_start")]
    pub is_first_start: bool,
    /// What the process may use.
    pub limits: Limits,
    /// Times that the process keeps to.
    pub times: Times,
    /// Limits that all machines keep to together.
    pub shared: FleetLimits,
}

/// Where the process listens.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Requests of callers.
    pub callers: SocketAddr,
    /// Readiness checks.
    pub readiness: SocketAddr,
    /// Look-ups of callers.
    pub lookups: SocketAddr,
    /// Messages between machines, over UDP and TCP; the same port on all machines.
    pub mesh_port: u16,
    /// Metrics, at `/metrics`.
    pub metrics_port: u16,
}

/// The platform's store.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// Where it listens.
    pub address: SocketAddr,
}

/// What the process may use.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Memory in MB.
    pub memory_mb: u64,
    /// File descriptors.
    pub descriptors: usize,
}

/// Times that the process keeps to.
#[serde_as]
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Times {
    /// From a request to stop to the kill.
    #[serde(rename = "grace_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub grace: Duration,
    /// The longest time that callers keep the answer of a look-up.
    #[serde(rename = "lookup_ms")]
    #[serde_as(as = "DurationMilliSeconds<f64>")]
    pub lookup: Duration,
}

/// Limits that all machines keep to together.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetLimits {
    /// Repeats sent to a service, as a part of its requests.
    pub repeat_ratio: f64,
    /// Repeats beyond that, in one window.
    pub repeat_allowance: f64,
    /// Length of the window in seconds.
    pub repeat_window_s: f64,
    /// Factor on the requests that a cold target stands.
    pub cold_factor: f64,
    /// Requests a second beyond that.
    pub cold_allowance: f64,
}

impl FleetLimits {
    /// The window of repeats.
    pub fn retry_window(&self) -> Span {
        Span::from_millis((self.repeat_window_s * 1e3) as u64)
    }
}

impl Check for Settings {
    fn check(&mut self, _folder: &Path) -> Result<(), Fault> {
        if self.name.is_empty() {
            return Err(Fault::new("name", "is empty"));
        }
        if self.regions.get(&self.data_centre) != Some(&self.region) {
            let message = format!("{:?} is not the region of {:?}", self.region, self.data_centre);
            return Err(Fault::new("region", message));
        }
        if self.listen.mesh_port == self.listen.metrics_port {
            return Err(Fault::new("listen.metrics_port", "is the mesh port"));
        }
        check_range("limits.memory_mb", self.limits.memory_mb, 32..=1 << 20)?;
        check_range("limits.descriptors", self.limits.descriptors, 64..=1 << 20)?;
        check_range("shared.repeat_ratio", self.shared.repeat_ratio, 0.0..=1.0)?;
        check_range("shared.repeat_allowance", self.shared.repeat_allowance, 0.0..=1e6)?;
        check_range("shared.repeat_window_s", self.shared.repeat_window_s, 0.1..=3_600.0)?;
        check_range("shared.cold_factor", self.shared.cold_factor, 0.0..=100.0)?;
        check_range("shared.cold_allowance", self.shared.cold_allowance, 0.0..=1e6)
    }
}
