//! A bounded load of look-ups, for measuring what one look-up costs an entry.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde::Serialize;
use smol::Timer;
use trillium_client::{Client, Status};
use trillium_smol::ClientConfig;

/// What to send.
#[derive(Debug, Clone)]
pub struct Load {
    /// The entry.
    pub entry: SocketAddr,
    /// Query of each look-up: member, service and block.
    pub query: String,
    /// Look-ups a second over all connections.
    pub rate: u64,
    /// Length of the load.
    pub length: Duration,
    /// Connections that are kept open.
    pub connections: u64,
}

/// What came of it.
#[derive(Debug, Serialize)]
pub struct Summary {
    /// Look-ups sent.
    pub sent: u64,
    /// Look-ups answered with status 200.
    pub answered: u64,
    /// Median latency in microseconds, from the time at which the look-up was due.
    pub p50_us: u64,
    /// 99th percentile in microseconds.
    pub p99_us: u64,
}

/// Sends the load and waits for its answers.
pub async fn run(load: Load) -> Summary {
    let answered = Arc::new(AtomicU64::new(0));
    let start = Instant::now();
    let workers = (0..load.connections)
        .map(|worker| smol::spawn(send(load.clone(), worker, start, answered.clone())));
    let workers: Vec<_> = workers.collect();
    let mut latency = Histogram::<u64>::new(3).expect("three digits are supported");
    for worker in workers {
        latency.add(worker.await).expect("the histograms have one form");
    }
    Summary {
        sent: latency.len(),
        answered: answered.load(Ordering::Relaxed),
        p50_us: latency.value_at_quantile(0.5),
        p99_us: latency.value_at_quantile(0.99),
    }
}

/// Sends one connection's part of the load: evenly spaced, the connections taking turns.
async fn send(load: Load, worker: u64, start: Instant, answered: Arc<AtomicU64>) -> Histogram<u64> {
    let mut latency = Histogram::<u64>::new(3).expect("three digits are supported");
    let client = Client::new(ClientConfig::new().with_nodelay(true));
    let url = format!("http://{}/v1/lookup?{}", load.entry, load.query);
    let gap = Duration::from_micros(1_000_000 * load.connections / load.rate);
    let mut due = start + gap * worker as u32 / load.connections as u32;
    while due < start + load.length {
        Timer::at(due).await;
        if let Ok(mut conn) = client.get(url.as_str()).await {
            // The body is read so that the connection can be used again.
            let body = conn.response_body().read_string().await;
            if body.is_ok() && conn.status() == Some(Status::Ok) {
                answered.fetch_add(1, Ordering::Relaxed);
            }
        }
        latency.saturating_record(due.elapsed().as_micros() as u64);
        due += gap;
    }
    latency
}
