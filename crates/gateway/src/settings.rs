//! Settings of the gateway.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;

use ebonypass_core::allotment::Tolerance;
use ebonypass_core::balance::Preference;
use ebonypass_core::time::Span;
use ebonypass_node::settings::{Check, Fault, check_range};
use serde::Deserialize;
use serde_with::{DurationSecondsWithFrac, serde_as};
use std::time::Duration;

use crate::footprint::Plan;
use crate::{budget, listener};

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
    /// Choice of targets where load is shared.
    #[serde(default)]
    pub balance: Balance,
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
    /// Connections at once.
    #[serde(default)]
    pub connections: Connections,
    /// Send and receive buffer in KiB of a connection that transfers a large body.
    #[serde(default = "default_socket_buffer_kb")]
    pub socket_buffer_kb: usize,
    /// KiB of one reply that are read ahead of its caller, at most.
    #[serde(default = "default_read_ahead_kb")]
    pub read_ahead_kb: usize,
    /// Time in ms after which a body without progress may lose its memory to others.
    #[serde(default = "default_body_stall_ms")]
    pub body_stall_ms: u64,
    /// Time in ms after which a connection without progress may be closed for another one.
    #[serde(default = "default_connection_stall_ms")]
    pub connection_stall_ms: u64,
}

/// Limits on the connections of each listener at once.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Connections {
    /// Callers; by default half of the descriptors, and at most 7 for each MB of memory.
    pub callers: Option<usize>,
    /// Lookups; by default a sixteenth of the descriptors, and at most one for 2 MB of memory.
    pub lookups: Option<usize>,
    /// Readiness checks; by default a 64th of the descriptors, and at most one for 4 MB of memory.
    pub readiness: Option<usize>,
    /// Metrics; by default a 64th of the descriptors, and at most one for 4 MB of memory.
    pub metrics: Option<usize>,
    /// Messages between machines; by default a sixteenth of the descriptors, and at most one for 2 MB of
    /// memory.
    pub mesh: Option<usize>,
}

/// A window of 64 KiB covers 10 Mbit/s over 40 ms, the longest round trip between regions.
fn default_socket_buffer_kb() -> usize {
    64
}

/// Replies on the platform have up to 540 kB. A target may send without end, so one reply must not
/// take all memory for replies.
fn default_read_ahead_kb() -> usize {
    1_024
}

/// Less than the time that a body waits for memory, so that it gets that of one that has stalled.
fn default_body_stall_ms() -> u64 {
    400
}

fn default_connection_stall_ms() -> u64 {
    1_000
}

/// Share of a core of a machine of strength 1.
const CPU_SHARE_PER_STRENGTH: f64 = 0.1;
/// Bandwidth of a machine of strength 1 in Mbit/s.
const LINK_MBPS_PER_STRENGTH: f64 = 10.0;

impl Limits {
    /// The limits that follow from memory and descriptors.
    pub fn plan(&self) -> Plan {
        Plan::new(self.memory_mb, self.descriptors)
    }

    /// Send and receive buffer in bytes of a connection that transfers a large body.
    pub fn socket_buffer(&self) -> usize {
        self.socket_buffer_kb << 10
    }

    /// Bytes of one reply that are read ahead of its caller, at most.
    pub fn read_ahead(&self) -> usize {
        self.read_ahead_kb << 10
    }

    /// Limits on the memory of bodies.
    pub fn body_limits(&self) -> budget::Limits {
        self.plan().body_limits(Span::from_millis(self.body_stall_ms))
    }

    /// Limits on connections. Each listener takes at least one.
    pub fn connection_limits(&self) -> listener::Limits {
        let stated = &self.connections;
        let stated =
            [stated.callers, stated.lookups, stated.readiness, stated.metrics, stated.mesh];
        let defaults = self.plan().connections();
        listener::Limits {
            connections: std::array::from_fn(|at| stated[at].unwrap_or(defaults[at]).max(1)),
            head_bytes: self.plan().head_bytes(),
            stall: Span::from_millis(self.connection_stall_ms),
            socket_buffer: self.socket_buffer(),
        }
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

/// Choice of targets where load is shared.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Balance {
    /// What to prefer where an even load and cached objects are at odds.
    #[serde(default)]
    pub prefer: Preference,
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
        let limits = &self.limits;
        check_range("limits.socket_buffer_kb", limits.socket_buffer_kb, 16..=16 << 10)?;
        check_range("limits.read_ahead_kb", limits.read_ahead_kb, 0..=1 << 20)?;
        check_range("limits.body_stall_ms", limits.body_stall_ms, 10..=600_000)?;
        check_range("limits.connection_stall_ms", limits.connection_stall_ms, 10..=600_000)?;
        for (field, stated) in [
            ("limits.connections.callers", limits.connections.callers),
            ("limits.connections.lookups", limits.connections.lookups),
            ("limits.connections.readiness", limits.connections.readiness),
            ("limits.connections.metrics", limits.connections.metrics),
            ("limits.connections.mesh", limits.connections.mesh),
        ] {
            if let Some(stated) = stated {
                check_range(field, stated, 1..=limits.descriptors)?;
            }
        }
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
