//! Compares callers' reports with targets' records.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anyhow::{Context, anyhow, ensure};
use argh::FromArgs;
use ebonypass_core::scan::scan_document;
use ebonypass_standin::check::{Drained, Evidence, Finding};
use ebonypass_standin::run::Run;

/// Ports below the range from which Linux by default takes those of outgoing connections, and
/// those of listeners that ask for any port. Ports of that range were taken between this program's
/// end and the start of the process that was to listen there.
const PORT_RANGE: std::ops::Range<u16> = 10_000..32_000;

/// Ports that are tried.
const MAX_TRIES: usize = 100_000;

/// Compare callers' reports with targets' records, or find free ports.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Compare(Compare),
    Ports(Ports),
}

/// Compare one member's reports and records. Exits with 1 if a promise was broken.
#[derive(FromArgs)]
#[argh(subcommand, name = "compare")]
struct Compare {
    /// the policy that was in force
    #[argh(option)]
    policy: PathBuf,
    /// a caller's report; may be repeated
    #[argh(option)]
    report: Vec<PathBuf>,
    /// the folder with the targets' records, files *.jsonl
    #[argh(option)]
    runs: PathBuf,
    /// the drained data centre or target
    #[argh(option)]
    drained: Option<String>,
    /// start of the drain in milliseconds of Unix time
    #[argh(option, default = "0")]
    drain_from_ms: u64,
    /// end of the drain in milliseconds of Unix time
    #[argh(option, default = "u64::MAX")]
    drain_until_ms: u64,
    /// print no heading
    #[argh(switch)]
    plain: bool,
}

/// Print ports of 127.0.0.1 that are free for TCP and UDP.
#[derive(FromArgs)]
#[argh(subcommand, name = "ports")]
struct Ports {
    /// how many
    #[argh(positional)]
    count: usize,
}

fn main() -> anyhow::Result<ExitCode> {
    let arguments: Arguments = argh::from_env();
    match arguments.command {
        Command::Compare(compare) => run_compare(compare),
        Command::Ports(ports) => run_ports(ports.count),
    }
}

fn run_compare(compare: Compare) -> anyhow::Result<ExitCode> {
    let text = read(&compare.policy)?;
    let policy = scan_document(&text).map_err(|faults| anyhow!("{}", faults[0]))?;
    let mut reports = Vec::new();
    for path in &compare.report {
        let report = serde_json::from_str(&read(path)?);
        reports.push(report.with_context(|| format!("{} is no report", path.display()))?);
    }
    let drained = compare.drained.map(|subject| Drained {
        subject,
        from_ms: compare.drain_from_ms,
        until_ms: compare.drain_until_ms,
    });
    let evidence = Evidence { policy, reports, runs: read_runs(&compare.runs)?, drained };
    let finding = evidence.check();
    if !compare.plain {
        println!("{}", Finding::heading());
    }
    print!("{finding}");
    for line in finding.broken() {
        println!("BROKEN {line}");
    }
    Ok(if finding.is_kept() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn read(path: &Path) -> anyhow::Result<String> {
    fs::read_to_string(path).with_context(|| format!("cannot read {}", path.display()))
}

fn read_runs(folder: &Path) -> anyhow::Result<Vec<Run>> {
    let mut runs = Vec::new();
    let files = fs::read_dir(folder).with_context(|| format!("no folder {}", folder.display()))?;
    for file in files {
        let path = file?.path();
        if path.extension().is_none_or(|extension| extension != "jsonl") {
            continue;
        }
        for line in read(&path)?.lines() {
            let run = serde_json::from_str(line);
            runs.push(run.with_context(|| format!("{}: a line is no run", path.display()))?);
        }
    }
    Ok(runs)
}

fn run_ports(count: usize) -> anyhow::Result<ExitCode> {
    // All are held until the last one is found, so that no port is found twice.
    let mut held: Vec<(TcpListener, UdpSocket)> = Vec::new();
    for _ in 0..MAX_TRIES {
        if held.len() == count {
            break;
        }
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, fastrand::u16(PORT_RANGE)));
        let pair = TcpListener::bind(address).and_then(|tcp| Ok((tcp, UdpSocket::bind(address)?)));
        held.extend(pair);
    }
    ensure!(held.len() == count, "only {} free ports were found", held.len());
    for (listener, _) in &held {
        println!("{}", listener.local_addr()?.port());
    }
    Ok(ExitCode::SUCCESS)
}
