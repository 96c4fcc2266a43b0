//! `ebonypass-trace`: generates a trace from a scenario and a seed.

use std::path::PathBuf;

use argh::FromArgs;
use ebonypass_replay::scenario::{NAMES, make_scenario, scenario_seconds};
use ebonypass_replay::trace::write_trace;

/// Generates a trace for ebonypass-replay from a scenario and a seed.
#[derive(Debug, FromArgs)]
struct Options {
    /// scenario; without it the names of all scenarios are printed
    #[argh(option)]
    scenario: Option<String>,
    /// seed of the random number generator (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// length in seconds (default: depends on the scenario)
    #[argh(option)]
    seconds: Option<u64>,
    /// file to write; compressed if it ends in .gz
    #[argh(option)]
    output: Option<PathBuf>,
}

fn main() -> anyhow::Result<()> {
    let options: Options = argh::from_env();
    let (Some(scenario), Some(output)) = (options.scenario, options.output) else {
        println!("scenarios (give --scenario and --output): {}", NAMES.join(", "));
        return Ok(());
    };
    let seconds = options.seconds.unwrap_or_else(|| scenario_seconds(&scenario));
    write_trace(&output, &make_scenario(&scenario, options.seed, seconds)?)
}
