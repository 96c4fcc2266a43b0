//! The stand-in for a target.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;
use ebonypass_standin::run::Record;
use ebonypass_standin::serve;
use ebonypass_standin::shape::{KindCost, Shape};
use ebonypass_standin::target::Target;

/// Stand-in for a target. Faults are set by POST /fault, what ran is given by GET /runs.
#[derive(FromArgs)]
struct Arguments {
    /// address to listen on, by default 127.0.0.1:0
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    listen: SocketAddr,
    /// name of the target
    #[argh(option)]
    name: String,
    /// service that it runs
    #[argh(option)]
    service: String,
    /// kind and its mean service time in microseconds, as lookup=4000; may be repeated
    #[argh(option, from_str_fn(scan_kind))]
    kind: Vec<KindCost>,
    /// requests that run at once, by default 3
    #[argh(option, default = "3")]
    slots: u32,
    /// requests that may wait for a slot, by default 6
    #[argh(option, default = "6")]
    queue: u32,
    /// largest relative deviation of service times, by default 0.3
    #[argh(option, default = "0.3")]
    variation: f64,
    /// seed of the deviations, by default 1
    #[argh(option, default = "1")]
    seed: u64,
    /// requests after the start that are slower, by default 0
    #[argh(option, default = "0")]
    cold_requests: u32,
    /// factor by which they are slower, by default 3
    #[argh(option, default = "3.0")]
    cold_factor: f64,
    /// file that receives one JSON line for each run before it starts
    #[argh(option)]
    runs: Option<PathBuf>,
}

fn scan_kind(text: &str) -> Result<KindCost, String> {
    let (name, service_us) = text.split_once('=').ok_or("a kind is NAME=MICROSECONDS")?;
    let service_us = service_us.parse().map_err(|_| "the service time is not a whole number")?;
    Ok(KindCost { name: name.to_owned(), service_us })
}

fn main() -> anyhow::Result<()> {
    let arguments: Arguments = argh::from_env();
    let record = match &arguments.runs {
        Some(path) => Record::with_file(path)?,
        None => Record::default(),
    };
    let shape = Shape {
        name: arguments.name,
        service: arguments.service,
        slots: arguments.slots,
        queue: arguments.queue,
        kinds: arguments.kind,
        variation: arguments.variation,
        seed: arguments.seed,
        cold_requests: arguments.cold_requests,
        cold_factor: arguments.cold_factor,
    };
    serve::run(arguments.listen, Target::new(shape, record).handler())?;
    Ok(())
}
