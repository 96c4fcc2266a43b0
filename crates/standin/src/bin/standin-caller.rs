//! Runs a simulated caller.

use std::path::PathBuf;

use anyhow::Context;
use argh::FromArgs;
use ebonypass_standin::caller;
use ebonypass_standin::plan::Plan;

/// Simulated caller. Sends a bounded load to the entries and writes a report.
#[derive(FromArgs)]
struct Arguments {
    /// the load plan, a TOML file like docs/standin-caller.toml
    #[argh(positional)]
    plan: PathBuf,
}

fn main() -> anyhow::Result<()> {
    let arguments: Arguments = argh::from_env();
    let text = std::fs::read_to_string(&arguments.plan)
        .with_context(|| format!("cannot read {}", arguments.plan.display()))?;
    let plan = Plan::scan(&text)?;
    let path = plan.report.clone();
    let report = smol::block_on(caller::run(plan));
    let text = serde_json::to_string(&report)?;
    std::fs::write(&path, text).with_context(|| format!("cannot write {}", path.display()))
}
