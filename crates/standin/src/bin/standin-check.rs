//! Compares callers' reports with targets' logs, or finds free ports.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anyhow::{Context, anyhow, ensure};
use argh::FromArgs;
use ebonypass_core::scan::scan_document;
use ebonypass_standin::check::{Drain, Input, Summary};
use ebonypass_standin::run::Run;

/// Below Linux's default range of ephemeral ports. Ports from that range were taken by other
/// connections or listeners after this program ended and before the intended process listened.
const PORT_RANGE: std::ops::Range<u16> = 10_000..32_000;

/// Number of random ports that are tried.
const MAX_ATTEMPTS: usize = 100_000;

/// Compare callers' reports with targets' logs, or find free ports.
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

/// Compare the reports and logs of one member. Exits with 1 if a guarantee was violated.
#[derive(FromArgs)]
#[argh(subcommand, name = "compare")]
struct Compare {
    /// the policy that was in force
    #[argh(option)]
    policy: PathBuf,
    /// a caller's report; may be repeated
    #[argh(option)]
    report: Vec<PathBuf>,
    /// the folder with the targets' logs, files *.jsonl
    #[argh(option)]
    runs: PathBuf,
    /// name of the drained data centre or target
    #[argh(option)]
    drained: Option<String>,
    /// start of the drain as Unix time in milliseconds
    #[argh(option, default = "0")]
    drain_from_ms: u64,
    /// end of the drain as Unix time in milliseconds
    #[argh(option, default = "u64::MAX")]
    drain_until_ms: u64,
    /// omit the table heading
    #[argh(switch)]
    plain: bool,
}

/// Print random ports that are free for TCP and UDP on 127.0.0.1.
#[derive(FromArgs)]
#[argh(subcommand, name = "ports")]
struct Ports {
    /// number of ports
    #[argh(positional)]
    count: usize,
}

fn main() -> anyhow::Result<ExitCode> {
    let arguments: Arguments = argh::from_env();
    match arguments.command {
        Command::Compare(compare) => compare_reports(compare),
        Command::Ports(ports) => print_free_ports(ports.count),
    }
}

fn compare_reports(compare: Compare) -> anyhow::Result<ExitCode> {
    let text = read_file(&compare.policy)?;
    let policy = scan_document(&text).map_err(|faults| anyhow!("{}", faults[0]))?;
    let mut reports = Vec::new();
    for path in &compare.report {
        let report = serde_json::from_str(&read_file(path)?);
        reports.push(report.with_context(|| format!("{} is not a valid report", path.display()))?);
    }
    let drain = compare.drained.map(|subject| Drain {
        subject,
        from_ms: compare.drain_from_ms,
        until_ms: compare.drain_until_ms,
    });
    let input = Input { policy, reports, runs: read_runs(&compare.runs)?, drain };
    let summary = input.check();
    if !compare.plain {
        println!("{}", Summary::heading());
    }
    print!("{summary}");
    for line in summary.failures() {
        println!("VIOLATION {line}");
    }
    Ok(if summary.has_passed() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn read_file(path: &Path) -> anyhow::Result<String> {
    fs::read_to_string(path).with_context(|| format!("cannot read {}", path.display()))
}

fn read_runs(folder: &Path) -> anyhow::Result<Vec<Run>> {
    let mut runs = Vec::new();
    let files =
        fs::read_dir(folder).with_context(|| format!("cannot read folder {}", folder.display()))?;
    for file in files {
        let path = file?.path();
        if path.extension().is_none_or(|extension| extension != "jsonl") {
            continue;
        }
        for line in read_file(&path)?.lines() {
            let run = serde_json::from_str(line);
            runs.push(
                run.with_context(|| format!("{}: a line is not a valid run", path.display()))?,
            );
        }
    }
    Ok(runs)
}

fn print_free_ports(count: usize) -> anyhow::Result<ExitCode> {
    // All sockets stay bound until the last one is found, so that no port is found twice.
    let mut bound: Vec<(TcpListener, UdpSocket)> = Vec::new();
    for _ in 0..MAX_ATTEMPTS {
        if bound.len() == count {
            break;
        }
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, fastrand::u16(PORT_RANGE)));
        let sockets =
            TcpListener::bind(address).and_then(|tcp| Ok((tcp, UdpSocket::bind(address)?)));
        bound.extend(sockets);
    }
    ensure!(bound.len() == count, "found only {} free ports", bound.len());
    for (listener, _) in &bound {
        println!("{}", listener.local_addr()?.port());
    }
    Ok(ExitCode::SUCCESS)
}
