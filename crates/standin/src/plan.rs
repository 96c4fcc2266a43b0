//! The load plan of a simulated caller.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use anyhow::{Context, ensure};
use serde::Deserialize;
use serde_with::{DurationMilliSeconds, DurationSeconds, serde_as};

/// Settings of `standin-caller`. docs/standin-caller.toml is an example.
#[serde_as]
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The member that the caller belongs to.
    pub member: String,
    /// Caller addresses of the bootstrap entries.
    pub entries: Vec<SocketAddr>,
    /// Client blocks, drawn with equal probability.
    pub blocks: Vec<String>,
    /// Mean rate in requests per second.
    pub rate: f64,
    /// Time during which requests are started.
    #[serde(rename = "seconds")]
    #[serde_as(as = "DurationSeconds<u64>")]
    pub duration: Duration,
    /// Limit on requests in flight. Requests beyond it are not sent.
    #[serde(default = "default_open")]
    pub max_open: usize,
    /// Percentage of the non-idempotent requests with an unknown outcome that are retried with the
    /// same key.
    #[serde(default)]
    pub resend_percent: u8,
    /// Seed of arrival times, random choices and request keys. Callers of a member with equal
    /// seeds send equal keys.
    pub seed: u64,
    /// The file to which the report is written.
    pub report: PathBuf,
    /// The request kinds that are sent.
    #[serde(rename = "kind")]
    pub kinds: Vec<Kind>,
}

/// A kind of request.
#[serde_as]
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// The service.
    pub service: String,
    /// The kind's name.
    pub kind: String,
    /// Share of the requests relative to the weights of the other kinds.
    pub weight: u32,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Time after the request's start within which a reply is needed.
    #[serde(rename = "deadline_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub deadline: Duration,
    /// Length of the request body in bytes.
    pub request_bytes: usize,
    /// Length of the reply body in bytes.
    pub reply_bytes: usize,
}

const fn default_open() -> usize {
    2_000
}

impl Plan {
    /// Parses and validates a plan. Fails if the TOML is malformed or a value is out of range.
    pub fn scan(text: &str) -> anyhow::Result<Plan> {
        let plan: Plan = toml::from_str(text).context("cannot parse the plan")?;
        ensure!(!plan.entries.is_empty(), "entries: at least one is required");
        ensure!(!plan.blocks.is_empty(), "blocks: at least one is required");
        ensure!(
            plan.rate > 0.0 && plan.rate <= 20_000.0,
            "rate: must be above 0 and at most 20000"
        );
        ensure!(plan.duration <= Duration::from_secs(3_600), "seconds: must be at most 3600");
        ensure!(plan.resend_percent <= 100, "resend_percent: must be at most 100");
        ensure!(
            plan.kinds.iter().any(|kind| kind.weight > 0),
            "kind: at least one weight must be above 0"
        );
        Ok(plan)
    }
}
