//! Runs a simulated object store with a VM list.

use std::net::SocketAddr;

use argh::FromArgs;
use ebonypass_standin::server;
use ebonypass_standin::store::Store;

/// Simulates the platform's object store and VM list. All state is in memory.
#[derive(FromArgs)]
struct Arguments {
    /// address to listen on, by default 127.0.0.1:0
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    listen: SocketAddr,
}

fn main() -> anyhow::Result<()> {
    let arguments: Arguments = argh::from_env();
    server::run(arguments.listen, Store::default().handler())?;
    Ok(())
}
