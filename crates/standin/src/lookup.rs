//! A bounded fixed-rate load of look-ups, for measuring the cost of a look-up at an entry.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde::Serialize;
use smol::Timer;
use trillium_client::{Client, Status};
use trillium_smol::ClientConfig;

/// Configuration of the load.
#[derive(Debug, Clone)]
pub struct Config {
    /// Caller address of the entry.
    pub entry: SocketAddr,
    /// Query string of each look-up: member, service and block.
    pub query: String,
    /// Look-ups per second over all connections.
    pub rate: u64,
    /// Time during which look-ups are sent.
    pub duration: Duration,
    /// Number of persistent connections.
    pub connections: u64,
}

/// Results of the load.
#[derive(Debug, Serialize)]
pub struct Summary {
    /// Look-ups sent.
    pub sent: u64,
    /// Look-ups answered with status 200.
    pub answered: u64,
    /// Median latency in microseconds, measured from the scheduled send time, so that delays of
    /// the sender are included.
    pub p50_us: u64,
    /// 99th percentile of the latency in microseconds.
    pub p99_us: u64,
}

/// Sends the load and waits until all look-ups are complete.
pub async fn run(config: Config) -> Summary {
    let answered = Arc::new(AtomicU64::new(0));
    let start = Instant::now();
    let workers = (0..config.connections)
        .map(|worker| smol::spawn(run_worker(config.clone(), worker, start, answered.clone())));
    let workers: Vec<_> = workers.collect();
    let mut latency = Histogram::<u64>::new(3).expect("three digits are supported");
    for worker in workers {
        latency.add(worker.await).expect("the histograms have equal bounds");
    }
    Summary {
        sent: latency.len(),
        answered: answered.load(Ordering::Relaxed),
        p50_us: latency.value_at_quantile(0.5),
        p99_us: latency.value_at_quantile(0.99),
    }
}

/// Sends one connection's share of the load at even intervals, with the connections interleaved.
async fn run_worker(
    config: Config,
    worker: u64,
    start: Instant,
    answered: Arc<AtomicU64>,
) -> Histogram<u64> {
    let mut latency = Histogram::<u64>::new(3).expect("three digits are supported");
    let client = Client::new(ClientConfig::new().with_nodelay(true));
    let url = format!("http://{}/v1/lookup?{}", config.entry, config.query);
    let interval = Duration::from_micros(1_000_000 * config.connections / config.rate);
    let mut send_time = start + interval * worker as u32 / config.connections as u32;
    while send_time < start + config.duration {
        Timer::at(send_time).await;
        if let Ok(mut conn) = client.get(url.as_str()).await {
            // The connection can only be reused once the body is read.
            let body = conn.response_body().read_string().await;
            if body.is_ok() && conn.status() == Some(Status::Ok) {
                answered.fetch_add(1, Ordering::Relaxed);
            }
        }
        latency.saturating_record(send_time.elapsed().as_micros() as u64);
        send_time += interval;
    }
    latency
}
