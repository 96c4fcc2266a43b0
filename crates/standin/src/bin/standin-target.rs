//! Runs a simulated target.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;
use ebonypass_standin::behaviour::{Config, Kind};
use ebonypass_standin::run::Log;
use ebonypass_standin::server;
use ebonypass_standin::target::Target;

/// Simulated target. POST /fault injects faults, GET /runs lists the requests that ran.
#[derive(FromArgs)]
struct Arguments {
    /// address to listen on, by default 127.0.0.1:0
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    listen: SocketAddr,
    /// name of the target
    #[argh(option)]
    name: String,
    /// service that the target runs
    #[argh(option)]
    service: String,
    /// kind and its mean service time in microseconds, as lookup=4000; may be repeated
    #[argh(option, from_str_fn(scan_kind))]
    kind: Vec<Kind>,
    /// requests that can run concurrently, by default 3
    #[argh(option, default = "3")]
    slots: u32,
    /// requests that may wait for a slot, by default 6
    #[argh(option, default = "6")]
    queue: u32,
    /// largest relative deviation of service times, by default 0.3
    #[argh(option, default = "0.3")]
    variation: f64,
    /// seed of the random deviations, by default 1
    #[argh(option, default = "1")]
    seed: u64,
    /// number of first requests that are slowed down, by default 0
    #[argh(option, default = "0")]
    cold_requests: u32,
    /// factor on the service times of these requests, by default 3
    #[argh(option, default = "3.0")]
    cold_factor: f64,
    /// file to which each run is appended as a JSON line before it starts
    #[argh(option)]
    runs: Option<PathBuf>,
}

fn scan_kind(text: &str) -> Result<Kind, String> {
    let (name, mean_service_us) = text.split_once('=').ok_or("expected NAME=MICROSECONDS")?;
    let mean_service_us =
        mean_service_us.parse().map_err(|_| "the service time is not a whole number")?;
    Ok(Kind { name: name.to_owned(), mean_service_us })
}

fn main() -> anyhow::Result<()> {
    let arguments: Arguments = argh::from_env();
    let log = match &arguments.runs {
        Some(path) => Log::with_file(path)?,
        None => Log::default(),
    };
    let config = Config {
        name: arguments.name,
        service: arguments.service,
        slots: arguments.slots,
        queue_capacity: arguments.queue,
        kinds: arguments.kind,
        variation: arguments.variation,
        seed: arguments.seed,
        cold_requests: arguments.cold_requests,
        cold_factor: arguments.cold_factor,
    };
    server::run(arguments.listen, Target::new(config, log).handler())?;
    Ok(())
}
