//! What a target is like, and the faults that it can be given.

use serde::{Deserialize, Serialize};

/// How long a target works on a kind.
#[derive(Debug, Clone, PartialEq)]
pub struct KindCost {
    /// The kind's name.
    pub name: String,
    /// Mean service time in microseconds.
    pub service_us: u64,
}

/// What a target is like without faults.
#[derive(Debug, Clone)]
pub struct Shape {
    /// The target's name.
    pub name: String,
    /// The service that it runs.
    pub service: String,
    /// Requests that run at once.
    pub slots: u32,
    /// Requests that may wait for a slot.
    pub queue: u32,
    /// Service times.
    pub kinds: Vec<KindCost>,
    /// Largest relative deviation from the mean service time, 0 to 1.
    pub variation: f64,
    /// Seed of the deviations.
    pub seed: u64,
    /// Requests after the start that are slower.
    pub cold_requests: u32,
    /// Factor by which they are slower.
    pub cold_factor: f64,
}

/// Which health a target reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Health {
    /// 200.
    #[default]
    Up,
    /// 503, whatever the target can do.
    Down,
    /// No answer until the client gives up or the fault ends.
    Silent,
}

/// Faults that `POST /fault` sets. Fields that are not given are off.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Factor on service times; 0 is none.
    pub straggle_factor: f64,
    /// Milliseconds for which the factor applies.
    pub straggle_ms: u64,
    /// Part of the requests that are shed, in percent.
    pub shed_percent: u32,
    /// Whether the target is leaving. It still runs what reaches it, so that a dispatch to a
    /// leaving target shows in the record.
    pub leave: bool,
    /// The health that is reported.
    pub health: Health,
    /// Milliseconds by which the load report lags.
    pub load_lag_ms: u64,
    /// A wrong number of busy slots for the load report.
    pub load_busy: Option<u32>,
    /// Number of next replies that are cut in the middle.
    pub cut_replies: u32,
    /// Number of next requests that run but get no reply.
    pub lose_replies: u32,
}
