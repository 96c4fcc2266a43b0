//! The entries as callers see them: look-ups and single attempts.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use ebonypass_core::outcome::Outcome;
use futures_lite::future::or;
use serde::Deserialize;
use smol::Timer;
use trillium_client::{Client, Conn};
use trillium_smol::ClientConfig;

/// How long a caller waits for a look-up before it asks another entry.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(1);

/// Bodies up to this size are sent without `Expect: 100-continue`.
const MAX_BODY: usize = 2 << 20;

/// The reply to a look-up.
#[derive(Debug, Clone, Deserialize)]
pub struct Lookup {
    /// Time for which the reply may be used again, in milliseconds.
    pub ttl_ms: u64,
    /// The start of request keys.
    pub arbiter: String,
    /// Entries, the best one first.
    pub entries: Vec<Listed>,
}

/// An entry of a look-up.
#[derive(Debug, Clone, Deserialize)]
pub struct Listed {
    /// Its caller address.
    pub address: SocketAddr,
}

/// What one attempt is made of.
#[derive(Debug, Clone)]
pub struct Call {
    /// Path below the entry's address.
    pub path: String,
    /// The member.
    pub member: String,
    /// The client block.
    pub block: String,
    /// The request key, if one is needed.
    pub key: Option<String>,
    /// The request body.
    pub body: Vec<u8>,
    /// The reply body that is expected.
    pub expected: Vec<u8>,
    /// When the answer is wanted.
    pub deadline: Instant,
}

/// What became of one attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Sent {
    /// No connection was made, so nothing was sent.
    Unsent,
    /// The entry stated this outcome, with its code.
    Stated(Outcome, String),
    /// A complete reply with other bytes than expected.
    Wrong(String),
    /// A reply that was cut and looked so.
    Cut(String),
    /// No reply came.
    Lost(String),
}

/// A client of all entries with a cache of look-ups.
pub struct Entries {
    client: Client,
    known: Vec<SocketAddr>,
    next: AtomicUsize,
    cache: Mutex<HashMap<(String, String), (Instant, Lookup)>>,
}

impl Entries {
    /// A client that finds entries by asking one of `known`.
    pub fn new(known: Vec<SocketAddr>) -> Entries {
        let client = Client::new(ClientConfig::new().with_nodelay(true));
        let client = client.with_max_buffered_request_body(MAX_BODY);
        Entries { client, known, next: AtomicUsize::new(0), cache: Mutex::default() }
    }

    /// Known entries, starting with another one at each call.
    fn rotated(&self) -> impl Iterator<Item = SocketAddr> {
        let start = self.next.fetch_add(1, Ordering::Relaxed);
        let count = self.known.len();
        (0..count).map(move |index| self.known[(start + index) % count])
    }

    /// The entries for a service and a block, from the cache while its time is not over.
    pub async fn lookup(&self, member: &str, service: &str, block: &str) -> Option<Lookup> {
        let place = (service.to_owned(), block.to_owned());
        let cached = self.cache.lock().expect("not poisoned").get(&place).cloned();
        if let Some((_, lookup)) = cached.filter(|(until, _)| Instant::now() < *until) {
            return Some(lookup);
        }
        let query = format!("member={member}&service={service}&block={block}");
        for address in self.rotated() {
            let url = format!("http://{address}/v1/lookup?{query}");
            if let Some(lookup) = self.ask(&url).await {
                let until = Instant::now() + Duration::from_millis(lookup.ttl_ms);
                let mut cache = self.cache.lock().expect("not poisoned");
                cache.insert(place, (until, lookup.clone()));
                return Some(lookup);
            }
        }
        None
    }

    async fn ask(&self, url: &str) -> Option<Lookup> {
        let conn = self.client.get(url).with_timeout(LOOKUP_TIMEOUT);
        let mut conn = conn.await.ok()?;
        let body = conn.response_body().read_bytes().await.ok()?;
        let is_ok = conn.status().is_some_and(|status| status.is_success());
        is_ok.then(|| serde_json::from_slice(&body).ok()).flatten()
    }

    /// Forgets what look-ups said, after an entry failed to connect.
    pub fn forget(&self, service: &str, block: &str) {
        let place = (service.to_owned(), block.to_owned());
        self.cache.lock().expect("not poisoned").remove(&place);
    }

    /// Every entry to try: those of the look-up, then all known ones.
    pub fn candidates(&self, lookup: &Lookup) -> Vec<SocketAddr> {
        let mut candidates: Vec<_> = lookup.entries.iter().map(|entry| entry.address).collect();
        candidates.extend(self.rotated());
        let mut seen = Vec::new();
        candidates.retain(|address| {
            let is_new = !seen.contains(address);
            seen.push(*address);
            is_new
        });
        candidates
    }

    /// Makes one attempt at one entry and waits for its end until `patience` after the deadline.
    pub async fn send(&self, address: SocketAddr, call: &Call, patience: Duration) -> Sent {
        let left = call.deadline.saturating_duration_since(Instant::now());
        let url = format!("http://{address}{}", call.path);
        let mut conn = self
            .client
            .post(url)
            .with_request_header("ebonypass-member", call.member.clone())
            .with_request_header("ebonypass-block", call.block.clone())
            .with_request_header("ebonypass-deadline-ms", left.as_millis().max(1).to_string())
            .with_body(call.body.clone());
        if let Some(key) = &call.key {
            conn = conn.with_request_header("ebonypass-key", key.clone());
        }
        let exchange = exchange(conn, &call.expected);
        let limit = async {
            Timer::after(left + patience).await;
            Sent::Lost("no reply in time".to_owned())
        };
        or(exchange, limit).await
    }
}

/// Sends a request, reads the whole reply and judges it.
async fn exchange(mut conn: Conn, expected: &[u8]) -> Sent {
    if let Err(error) = (&mut conn).await {
        if conn.transport().is_none() {
            return Sent::Unsent;
        }
        return Sent::Lost(error.to_string());
    }
    let header = |name: &'static str| conn.response_headers().get_str(name).map(str::to_owned);
    let (outcome, code) = (header("ebonypass-outcome"), header("ebonypass-code"));
    let length = header("content-length").and_then(|text| text.parse::<usize>().ok());
    let status = conn.status().map_or(0, |status| status as u16);
    let body = match conn.response_body().read_bytes().await {
        Ok(body) if length.is_none_or(|length| length == body.len()) => body,
        Ok(body) => return Sent::Cut(format!("{} of {length:?} bytes", body.len())),
        Err(error) => return Sent::Cut(error.to_string()),
    };
    let code = code.unwrap_or_default();
    match outcome.as_deref() {
        Some("answered") if status == 200 && body == expected => {
            Sent::Stated(Outcome::Answered, code)
        }
        // The target gave up at the deadline.
        Some("answered") if status == 504 => Sent::Stated(Outcome::Answered, "504".to_owned()),
        Some("answered") => Sent::Wrong(format!("status {status}, {} bytes", body.len())),
        Some("not-run") => Sent::Stated(Outcome::NotRun, code),
        Some("unknown") => Sent::Stated(Outcome::Unknown, code),
        _ => Sent::Wrong(format!("status {status} without an outcome")),
    }
}
