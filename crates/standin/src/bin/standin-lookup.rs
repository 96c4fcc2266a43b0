//! Sends a bounded load of look-ups to one entry.

use std::net::SocketAddr;
use std::time::Duration;

use argh::FromArgs;
use ebonypass_standin::lookup::{Load, run};

/// Sends look-ups to one entry at a fixed rate and prints a summary as JSON.
#[derive(FromArgs)]
struct Arguments {
    /// caller address of the entry, IP:PORT
    #[argh(positional)]
    entry: SocketAddr,
    /// query, as member=M&service=S&block=A.B.C.0/24
    #[argh(positional)]
    query: String,
    /// look-ups a second
    #[argh(option, default = "1_000")]
    rate: u64,
    /// seconds, 60 at most
    #[argh(option, default = "10")]
    seconds: u64,
    /// connections that are kept open
    #[argh(option, default = "8")]
    connections: u64,
}

/// The load ends by itself after this time at the latest.
const MAX_SECONDS: u64 = 60;

fn main() -> anyhow::Result<()> {
    let arguments: Arguments = argh::from_env();
    anyhow::ensure!(arguments.entry.ip().is_loopback(), "the load is for loopback only");
    anyhow::ensure!(arguments.rate > 0 && arguments.connections > 0, "nothing to send");
    let load = Load {
        entry: arguments.entry,
        query: arguments.query,
        rate: arguments.rate,
        length: Duration::from_secs(arguments.seconds.min(MAX_SECONDS)),
        connections: arguments.connections,
    };
    println!("{}", serde_json::to_string(&smol::block_on(run(load)))?);
    Ok(())
}
