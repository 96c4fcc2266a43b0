//! `ebonypass-replay`: replays a trace and reports the results.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anyhow::{Context, bail};
use argh::FromArgs;
use ebonypass_core::policy::Document;
use ebonypass_core::scan::scan_document;
use ebonypass_replay::goal::{check_goals, heading};
use ebonypass_replay::plot::render_page;
use ebonypass_replay::registry::run_strategy;
use ebonypass_replay::report::Report;
use ebonypass_replay::trace::{Trace, open_trace, scan_trace};

/// Replays a trace through a steering strategy under a virtual clock.
#[derive(Debug, FromArgs)]
struct Options {
    /// policy document
    #[argh(option)]
    policy: Option<PathBuf>,
    /// ebonypass (default), round-robin, least-loaded or independent
    #[argh(option, default = "\"ebonypass\".to_owned()")]
    strategy: String,
    /// measure every stated outcome of --strategy on the recorded traces in this directory and on all scenarios;
    /// the exit code is 1 if one is not met
    #[argh(option)]
    check: Option<PathBuf>,
    /// seed of the scenarios for --check (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// omit the requests of this kind
    #[argh(option)]
    without_kind: Option<String>,
    /// omit the slow targets of the trace
    #[argh(switch)]
    without_slow: bool,
    /// print the report as JSON
    #[argh(switch)]
    json: bool,
    /// write an HTML page with the report and plots to this file
    #[argh(option)]
    html: Option<PathBuf>,
    /// trace file, plain or .gz
    #[argh(positional)]
    trace: Option<PathBuf>,
}

fn main() -> anyhow::Result<ExitCode> {
    let options: Options = argh::from_env();
    if let Some(directory) = &options.check {
        return check(directory, &options.strategy, options.seed);
    }
    let (Some(policy), Some(trace)) = (&options.policy, &options.trace) else {
        bail!("give --policy and a trace file, or --check; see --help");
    };
    let document = read_policy(policy)?;
    let trace = read_trace(&document, trace, &options)?;
    let tally = run_strategy(&document, &trace, &options.strategy)?;
    let report = Report::new(&document, &options.strategy, &tally);
    if let Some(path) = &options.html {
        let page = render_page(&document, &report, &tally)?;
        std::fs::write(path, page).with_context(|| format!("cannot write {}", path.display()))?;
    }
    if options.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print!("{report}");
    }
    Ok(ExitCode::SUCCESS)
}

fn check(directory: &Path, strategy: &str, seed: u64) -> anyhow::Result<ExitCode> {
    let goals = check_goals(directory, strategy, seed)?;
    println!("{}", heading(strategy));
    for goal in &goals {
        println!("{goal}");
    }
    let missed = goals.iter().filter(|goal| !goal.is_met).count();
    println!("{} stated outcomes met, {missed} not met", goals.len() - missed);
    Ok(if missed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn read_policy(path: &Path) -> anyhow::Result<Document> {
    let text =
        std::fs::read_to_string(path).with_context(|| format!("cannot read {}", path.display()))?;
    match scan_document(&text) {
        Ok(document) => Ok(document),
        Err(faults) => {
            let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
            bail!("invalid policy {}:\n{}", path.display(), faults.join("\n"))
        }
    }
}

fn read_trace(document: &Document, path: &Path, options: &Options) -> anyhow::Result<Trace> {
    let mut trace = match scan_trace(document, open_trace(path)?) {
        Ok(trace) => trace,
        Err(invalid_lines) => {
            let lines: Vec<String> =
                invalid_lines.iter().take(20).map(ToString::to_string).collect();
            bail!(
                "{} has {} invalid lines:\n{}",
                path.display(),
                invalid_lines.len(),
                lines.join("\n")
            )
        }
    };
    if let Some(kind) = &options.without_kind {
        trace = trace.without_kind(document, kind);
    }
    if options.without_slow {
        trace = trace.without_slow();
    }
    Ok(trace)
}
