//! Use of the links between regions, as targets and callers can see it.
//!
//! A request crosses a link when its target's region is not the region of its client block. Its
//! bytes are counted when the run starts at the target, the reply's when the caller has it; both
//! lie behind the pacer of the sending region. Heads and control frames are not seen.

use std::collections::HashMap;
use std::net::Ipv4Addr;

use ebonypass_core::id::RegionId;
use ebonypass_core::outcome::Outcome;
use ebonypass_core::policy::Document;

use crate::check::Evidence;
use crate::run::Run;

/// Time over which the use of a link is summed.
const WINDOW_MS: u64 = 100;

/// Use of all links.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Links {
    /// Windows in which a link carried more than its cap.
    pub violations: u64,
    /// The highest use as a part of the cap.
    pub highest_use: f64,
}

/// Bytes by link and window.
type Sums = HashMap<(RegionId, RegionId, u64), u64>;

/// Sums what crossed each link.
pub(crate) fn measure(evidence: &Evidence, runs: &HashMap<&str, Vec<&Run>>) -> Links {
    let mut sums = Sums::new();
    for request in evidence.reports.iter().flat_map(|report| &report.requests) {
        let Some(home) = home_of(&evidence.policy, &request.block) else { continue };
        for run in runs.get(request.key.as_str()).into_iter().flatten() {
            let Some(region) = evidence.region_of(&run.target).filter(|&region| region != home)
            else {
                continue;
            };
            add(&mut sums, home, region, run.at_ms, run.request_bytes);
            let attempt = request.attempts.get(run.attempt as usize);
            if let Some(end) = attempt.filter(|attempt| attempt.outcome == Outcome::Answered) {
                add(&mut sums, region, home, end.end_ms, run.reply_bytes);
            }
        }
    }
    judge(&evidence.policy, &sums)
}

fn add(sums: &mut Sums, from: RegionId, to: RegionId, at_ms: u64, bytes: u64) {
    *sums.entry((from, to, at_ms / WINDOW_MS)).or_default() += bytes;
}

fn judge(policy: &Document, sums: &Sums) -> Links {
    let mut links = Links::default();
    for (&(from, to, _), &bytes) in sums {
        // Traffic without a link is a violation of any cap.
        let cap =
            policy.link(from, to).map_or(0, |link| link.cap_bytes_per_s() * WINDOW_MS / 1_000);
        links.violations += u64::from(bytes > cap);
        links.highest_use = links.highest_use.max(bytes as f64 / cap.max(1) as f64);
    }
    links
}

/// The region of the longest client block that holds `block`.
fn home_of(policy: &Document, block: &str) -> Option<RegionId> {
    let address: Ipv4Addr = block.split('/').next()?.parse().ok()?;
    let holds = |network: Ipv4Addr, prefix: u8| {
        (u32::from(network) ^ u32::from(address)).checked_shr(32 - u32::from(prefix)) == Some(0)
    };
    let holding = policy.blocks.iter().filter(|block| holds(block.network, block.prefix));
    let longest = holding.max_by_key(|block| block.prefix)?;
    Some(policy.region_of(longest.centre))
}
