//! Settings of the gateway.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;

use ebonypass_core::allotment::Tolerance;
use ebonypass_core::time::Span;
use ebonypass_node::settings::{Check, Fault, check_range};
use serde::Deserialize;
use serde_with::{DurationSecondsWithFrac, serde_as};
use std::time::Duration;

/// Settings of one gateway process. `gateway.example.toml` documents them.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Unique name of this machine.
    pub name: String,
    /// Address of this machine.
    pub address: IpAddr,
    /// Data centre of this machine.
    pub data_centre: String,
    /// Region of this machine.
    pub region: String,
    /// Region of each data centre.
    pub regions: HashMap<String, String>,
    /// Listen addresses and ports.
    pub listen: Listen,
    /// The platform's store.
    pub store: Store,
    /// Machines that a new process contacts first.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole fleet starts for the first time, so that no machine has any state yet.
    #[serde(default, rename = "first_start")]
    pub is_first_start: bool,
    /// Resource limits of the process.
    pub limits: Limits,
    /// Time limits set by the platform.
    pub times: Times,
    /// Limits that apply to all machines together.
    pub shared: FleetLimits,
    /// How far the requests of a tenant may exceed its quota.
    #[serde(default)]
    pub quota: Quota,
}

/// Listen addresses and ports.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Requests of callers.
    pub callers: SocketAddr,
    /// Readiness checks.
    pub readiness: SocketAddr,
    /// Lookups of callers.
    pub lookups: SocketAddr,
    /// Port for messages between machines, UDP and TCP; the same on all machines.
    pub mesh_port: u16,
    /// Port for metrics, at `/metrics`.
    pub metrics_port: u16,
}

/// The platform's store.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// Address of the store.
    pub address: SocketAddr,
}

/// Resource limits of the process.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Memory limit in MB.
    pub memory_mb: u64,
    /// Limit on file descriptors.
    pub descriptors: usize,
    /// Share of a processor core.
    pub cpu_share: f64,
    /// Bandwidth of the machine's link in Mbit/s.
    pub link_mbps: f64,
}

/// Share of a core of a machine of strength 1.
const CPU_SHARE_PER_STRENGTH: f64 = 0.1;
/// Bandwidth of a machine of strength 1 in Mbit/s.
const LINK_MBPS_PER_STRENGTH: f64 = 10.0;

/// Share of the memory limit that request bodies may take together. The rest is for the copies of
/// the store's objects, replies, connections and logs.
const BODY_SHARE: f64 = 0.4;

impl Limits {
    /// Bytes that the request bodies in flight may take together.
    pub fn body_budget(&self) -> usize {
        ((self.memory_mb << 20) as f64 * BODY_SHARE) as usize
    }

    /// How much work the machine can take, in units of the weakest machine. The scarcer of
    /// processor and link decides.
    pub fn strength(&self) -> u8 {
        let by_cpu = self.cpu_share / CPU_SHARE_PER_STRENGTH;
        let by_link = self.link_mbps / LINK_MBPS_PER_STRENGTH;
        by_cpu.min(by_link).round().clamp(1.0, f64::from(u8::MAX)) as u8
    }
}

/// Time limits set by the platform.
#[serde_as]
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Times {
    /// Time from the stop signal to the kill.
    #[serde(rename = "grace_s")]
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub grace: Duration,
    /// The longest time for which callers may cache a lookup reply.
    #[serde(rename = "lookup_s")]
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub lookup: Duration,
}

/// Limits that apply to all machines together.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetLimits {
    /// Retries sent to a service, as a fraction of its requests.
    #[serde(rename = "repeat_ratio")]
    pub retry_ratio: f64,
    /// Additional retries per window.
    #[serde(rename = "repeat_allowance")]
    pub retry_allowance: f64,
    /// Length of the window in seconds.
    #[serde(rename = "repeat_window_s")]
    pub retry_window_s: f64,
    /// Factor on the configured request rate of a cold target.
    pub cold_factor: f64,
    /// Additional requests per second to a cold target.
    pub cold_allowance: f64,
}

impl FleetLimits {
    /// The window over which retries are counted.
    pub fn retry_window(&self) -> Span {
        Span::from_millis((self.retry_window_s * 1e3) as u64)
    }
}

/// How far the requests of a tenant may exceed its quota: in any window, by all machines together,
/// (rate x window + burst) x (1 + overshoot) + allowance may be sent.
#[derive(Debug, Clone, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Quota {
    /// Length of the window in seconds.
    pub window_s: f64,
    /// Share of the quota.
    pub overshoot: f64,
    /// Requests.
    pub allowance: f64,
}

impl Default for Quota {
    fn default() -> Quota {
        Quota { window_s: 5.0, overshoot: 0.1, allowance: 20.0 }
    }
}

impl Quota {
    /// The figures as the decisions take them.
    pub fn tolerance(&self) -> Tolerance {
        Tolerance {
            window: Span::from_millis((self.window_s * 1e3) as u64),
            overshoot: self.overshoot,
            allowance: self.allowance,
        }
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
            return Err(Fault::new("listen.metrics_port", "equals listen.mesh_port"));
        }
        check_range("limits.memory_mb", self.limits.memory_mb, 32..=1 << 20)?;
        check_range("limits.descriptors", self.limits.descriptors, 64..=1 << 20)?;
        check_range("limits.cpu_share", self.limits.cpu_share, 0.001..=1_024.0)?;
        check_range("limits.link_mbps", self.limits.link_mbps, 0.1..=1e6)?;
        check_range("shared.repeat_ratio", self.shared.retry_ratio, 0.0..=1.0)?;
        check_range("shared.repeat_allowance", self.shared.retry_allowance, 0.0..=1e6)?;
        check_range("shared.repeat_window_s", self.shared.retry_window_s, 0.1..=3_600.0)?;
        check_range("shared.cold_factor", self.shared.cold_factor, 0.0..=100.0)?;
        check_range("shared.cold_allowance", self.shared.cold_allowance, 0.0..=1e6)?;
        check_range("quota.window_s", self.quota.window_s, 0.1..=3_600.0)?;
        check_range("quota.overshoot", self.quota.overshoot, 0.0..=1.0)?;
        check_range("quota.allowance", self.quota.allowance, 0.0..=1e6)
    }
}
