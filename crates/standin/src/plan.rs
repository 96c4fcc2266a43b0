//! What a stand-in caller is to send.

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
    /// The member in whose name the caller asks.
    pub member: String,
    /// Caller addresses of entries.
    pub entries: Vec<SocketAddr>,
    /// Client blocks, used in equal parts.
    pub blocks: Vec<String>,
    /// Requests a second, on average.
    pub rate: f64,
    /// Time in which requests are started.
    #[serde(rename = "seconds")]
    #[serde_as(as = "DurationSeconds<u64>")]
    pub length: Duration,
    /// The most requests that are open at once. Requests beyond it are not sent.
    #[serde(default = "default_open")]
    pub max_open: usize,
    /// Part of the non-idempotent requests with unknown outcome that are sent again with the same
    /// key, in percent.
    #[serde(default)]
    pub resend_percent: u8,
    /// Seed of arrivals, choices and request keys. Callers with equal seeds use equal keys.
    pub seed: u64,
    /// Where the report is written.
    pub report: PathBuf,
    /// What is sent.
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
    /// Share of the requests, relative to the other kinds.
    pub weight: u32,
    /// Whether a request may run twice.
    pub idempotent: bool,
    /// Time from the request's start within which it wants an answer.
    #[serde(rename = "deadline_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub deadline: Duration,
    /// Length of the request body.
    pub request_bytes: usize,
    /// Length of the reply body.
    pub reply_bytes: usize,
}

const fn default_open() -> usize {
    2_000
}

impl Plan {
    /// Reads and checks a plan.
    pub fn scan(text: &str) -> anyhow::Result<Plan> {
        let plan: Plan = toml::from_str(text).context("the plan is not readable")?;
        ensure!(!plan.entries.is_empty(), "entries: at least one is needed");
        ensure!(!plan.blocks.is_empty(), "blocks: at least one is needed");
        ensure!(plan.rate > 0.0 && plan.rate <= 20_000.0, "rate: above 0 and at most 20000");
        ensure!(plan.length <= Duration::from_secs(3_600), "seconds: at most 3600");
        ensure!(plan.resend_percent <= 100, "resend_percent: at most 100");
        ensure!(plan.kinds.iter().any(|kind| kind.weight > 0), "kind: one needs a weight above 0");
        Ok(plan)
    }
}
