//! Load generator for look-ups at one entry.

use std::net::SocketAddr;
use std::time::Duration;

use argh::FromArgs;
use ebonypass_standin::lookup::{Config, run};

/// Sends look-ups to one entry at a fixed rate and prints a summary as JSON.
#[derive(FromArgs)]
struct Arguments {
    /// address on which the entry listens for callers, IP:PORT; must be a loopback address
    #[argh(positional)]
    entry: SocketAddr,
    /// query string, as member=M&service=S&block=A.B.C.0/24, where block is the client's network
    #[argh(positional)]
    query: String,
    /// look-ups per second
    #[argh(option, default = "1_000")]
    rate: u64,
    /// duration of the load in seconds; larger values than 60 are reduced to 60
    #[argh(option, default = "10")]
    seconds: u64,
    /// number of persistent connections
    #[argh(option, default = "8")]
    connections: u64,
}

/// Maximum duration of the load.
const MAX_SECONDS: u64 = 60;

fn main() -> anyhow::Result<()> {
    let arguments: Arguments = argh::from_env();
    anyhow::ensure!(arguments.entry.ip().is_loopback(), "the entry must have a loopback address");
    anyhow::ensure!(
        arguments.rate > 0 && arguments.connections > 0,
        "rate and connections must be above 0"
    );
    let config = Config {
        entry: arguments.entry,
        query: arguments.query,
        rate: arguments.rate,
        duration: Duration::from_secs(arguments.seconds.min(MAX_SECONDS)),
        connections: arguments.connections,
    };
    println!("{}", serde_json::to_string(&smol::block_on(run(config)))?);
    Ok(())
}
