//! The strategies by name.

use ebonypass_core::policy::Document;

use crate::baseline::{Dispatcher, Independent, LeastLoaded, RoundRobin};
use crate::model::run_trace;
use crate::steering;
use crate::tally::Tally;
use crate::trace::Trace;

/// The names of all strategies.
pub const STRATEGIES: [&str; 4] = ["ebonypass", "round-robin", "least-loaded", "independent"];

/// Replays `trace` with the strategy called `name`. Fails if there is no such strategy.
pub fn run_strategy(document: &Document, trace: &Trace, name: &str) -> anyhow::Result<Tally> {
    Ok(match name {
        "ebonypass" => run_trace(document, trace, steering::Entries::new(document)),
        "round-robin" => {
            run_trace(document, trace, Dispatcher::new(document, RoundRobin::new(document)))
        }
        "least-loaded" => {
            run_trace(document, trace, Dispatcher::new(document, LeastLoaded::new(document)))
        }
        "independent" => {
            run_trace(document, trace, Dispatcher::new(document, Independent::new(document)))
        }
        _ => anyhow::bail!("unknown strategy \"{name}\"; available: {}", STRATEGIES.join(", ")),
    })
}
