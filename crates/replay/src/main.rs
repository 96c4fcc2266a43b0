//! `ebonypass-replay`: replays a trace and reports what came of it.

use std::path::{Path, PathBuf};

use anyhow::{Context, bail};
use argh::FromArgs;
use ebonypass_core::policy::Document;
use ebonypass_core::scan::scan_document;
use ebonypass_replay::model::run_strategy;
use ebonypass_replay::report::Report;
use ebonypass_replay::trace::{Trace, open_trace, scan_trace};

/// Replays a trace through a steering strategy under a virtual clock.
#[derive(Debug, FromArgs)]
struct Options {
    /// policy document
    #[argh(option)]
    policy: PathBuf,
    /// ebonypass, round-robin, least-loaded or independent
    #[argh(option)]
    strategy: String,
    /// leave out the requests of this kind
    #[argh(option)]
    without_kind: Option<String>,
    /// leave out slow targets
    #[argh(switch)]
    without_slow: bool,
    /// print the report as JSON
    #[argh(switch)]
    json: bool,
    /// trace file, plain or .gz
    #[argh(positional)]
    trace: PathBuf,
}

fn main() -> anyhow::Result<()> {
    let options: Options = argh::from_env();
    let document = read_policy(&options.policy)?;
    let trace = read_trace(&document, &options)?;
    let tally = run_strategy(&document, &trace, &options.strategy)?;
    let report = Report::new(&document, &options.strategy, &tally);
    if options.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print!("{report}");
    }
    Ok(())
}

fn read_policy(path: &Path) -> anyhow::Result<Document> {
    let text =
        std::fs::read_to_string(path).with_context(|| format!("cannot read {}", path.display()))?;
    match scan_document(&text) {
        Ok(document) => Ok(document),
        Err(faults) => {
            let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
            bail!("{} has faults:\n{}", path.display(), faults.join("\n"))
        }
    }
}

fn read_trace(document: &Document, options: &Options) -> anyhow::Result<Trace> {
    let mut trace = match scan_trace(document, open_trace(&options.trace)?) {
        Ok(trace) => trace,
        Err(bad) => {
            let lines: Vec<String> = bad.iter().take(20).map(ToString::to_string).collect();
            bail!("{} has {} bad lines:\n{}", options.trace.display(), bad.len(), lines.join("\n"))
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
