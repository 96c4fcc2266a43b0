//! Utilisation of the links between regions, as observed by targets and callers.
//!
//! A request crosses a link if its target's region differs from the region of its client block. Its
//! body is counted when the run starts at the target, the reply body when the caller has received
//! it. At both times the bytes have passed the pacer of the sending region. Headers and control
//! frames are not counted.

use std::collections::HashMap;
use std::net::Ipv4Addr;

use ebonypass_core::id::RegionId;
use ebonypass_core::outcome::Outcome;
use ebonypass_core::policy::Document;

use crate::check::Input;
use crate::run::Run;

/// Length of the windows over which the traffic of a link is summed.
const WINDOW_MS: u64 = 100;

/// Utilisation of all links.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Usage {
    /// Windows in which the traffic of a link exceeded its cap.
    pub violations: u64,
    /// The highest utilisation of a link in a window, as a fraction of its cap.
    pub peak_utilisation: f64,
}

/// Bytes by link (source and destination region) and window.
type Traffic = HashMap<(RegionId, RegionId, u64), u64>;

/// Sums the bytes that crossed each link and compares them with the link's cap.
pub(crate) fn measure(input: &Input, runs: &HashMap<&str, Vec<&Run>>) -> Usage {
    let mut traffic = Traffic::new();
    for request in input.reports.iter().flat_map(|report| &report.requests) {
        let Some(home) = home_region(&input.policy, &request.block) else { continue };
        for run in runs.get(request.key.as_str()).into_iter().flatten() {
            let Some(region) = input.region_of(&run.target).filter(|&region| region != home) else {
                continue;
            };
            add_bytes(&mut traffic, home, region, run.at_ms, run.request_bytes);
            let attempt = request.attempts.get(run.attempt as usize);
            if let Some(answered) = attempt.filter(|attempt| attempt.outcome == Outcome::Answered) {
                add_bytes(&mut traffic, region, home, answered.end_ms, run.reply_bytes);
            }
        }
    }
    compare_with_caps(&input.policy, &traffic)
}

fn add_bytes(traffic: &mut Traffic, from: RegionId, to: RegionId, at_ms: u64, bytes: u64) {
    *traffic.entry((from, to, at_ms / WINDOW_MS)).or_default() += bytes;
}

fn compare_with_caps(policy: &Document, traffic: &Traffic) -> Usage {
    let mut usage = Usage::default();
    for (&(from, to, _), &bytes) in traffic {
        // Any traffic between regions without a link is a violation.
        let cap =
            policy.link(from, to).map_or(0, |link| link.cap_bytes_per_s() * WINDOW_MS / 1_000);
        usage.violations += u64::from(bytes > cap);
        usage.peak_utilisation = usage.peak_utilisation.max(bytes as f64 / cap.max(1) as f64);
    }
    usage
}

/// The region of the most specific client block that contains `block`.
fn home_region(policy: &Document, block: &str) -> Option<RegionId> {
    let address: Ipv4Addr = block.split('/').next()?.parse().ok()?;
    let contains = |network: Ipv4Addr, prefix: u8| {
        (u32::from(network) ^ u32::from(address)).checked_shr(32 - u32::from(prefix)) == Some(0)
    };
    let containing = policy.blocks.iter().filter(|block| contains(block.network, block.prefix));
    let longest = containing.max_by_key(|block| block.prefix)?;
    Some(policy.region_of(longest.centre))
}
