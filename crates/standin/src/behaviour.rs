//! Behaviour of a simulated target: its configuration and injected faults.

use serde::{Deserialize, Serialize};

/// The service time of one request kind.
#[derive(Debug, Clone, PartialEq)]
pub struct Kind {
    /// The kind's name.
    pub name: String,
    /// Mean service time in microseconds.
    pub mean_service_us: u64,
}

/// Configuration of a target without faults.
#[derive(Debug, Clone)]
pub struct Config {
    /// The target's name.
    pub name: String,
    /// The service that it runs.
    pub service: String,
    /// Requests that can run concurrently.
    pub slots: u32,
    /// Requests that may wait for a slot.
    pub queue_capacity: u32,
    /// The request kinds that the target accepts.
    pub kinds: Vec<Kind>,
    /// Largest relative deviation from the mean service time, from 0 to 1.
    pub variation: f64,
    /// Seed of the deviations.
    pub seed: u64,
    /// Number of first requests that are slowed down, as on a cold start.
    pub cold_requests: u32,
    /// Factor on the service times of these requests.
    pub cold_factor: f64,
}

/// How a target replies to health checks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Health {
    /// Status 200.
    #[default]
    Up,
    /// Status 503; requests are still accepted.
    Down,
    /// No reply: the check is held until the client disconnects or the server stops.
    Silent,
}

/// Faults that `POST /fault` sets. Omitted fields are reset to "no fault".
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Factor on service times; 0 leaves them unchanged.
    pub straggle_factor: f64,
    /// Time for which the factor applies, in milliseconds.
    pub straggle_ms: u64,
    /// Percentage of requests that are shed.
    pub shed_percent: u32,
    /// Whether the target announces that it will stop. It still runs requests, so that a dispatch
    /// to a leaving target shows in its log.
    pub leave: bool,
    /// The reply to health checks.
    pub health: Health,
    /// Delay of load reports in milliseconds.
    pub load_lag_ms: u64,
    /// The number of busy slots to report instead of the actual one.
    pub load_busy: Option<u32>,
    /// Number of upcoming replies that are truncated in the middle.
    pub cut_replies: u32,
    /// Number of upcoming requests that run but get no reply.
    pub lose_replies: u32,
}
