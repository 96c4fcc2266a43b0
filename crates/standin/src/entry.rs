//! Client of the entries: look-ups and single attempts.

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

/// Time after which a look-up is retried at another entry.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(1);

/// Request bodies up to this size are sent without `Expect: 100-continue`.
const MAX_BUFFERED_BODY_BYTES: usize = 2 << 20;

/// The reply to a look-up.
#[derive(Debug, Clone, Deserialize)]
pub struct Lookup {
    /// Time for which the reply may be cached, in milliseconds.
    pub ttl_ms: u64,
    /// The prefix of request keys.
    pub arbiter: String,
    /// Entries in order of preference.
    pub entries: Vec<Endpoint>,
}

/// An entry in the reply to a look-up.
#[derive(Debug, Clone, Deserialize)]
pub struct Endpoint {
    /// The address for callers.
    pub address: SocketAddr,
}

/// The request of one attempt.
#[derive(Debug, Clone)]
pub struct Request {
    /// The URL's path.
    pub path: String,
    /// The member.
    pub member: String,
    /// The client block.
    pub block: String,
    /// The request key, for non-idempotent requests only.
    pub key: Option<String>,
    /// The request body.
    pub body: Vec<u8>,
    /// The expected reply body.
    pub expected_reply: Vec<u8>,
    /// The time by which a reply is needed.
    pub deadline: Instant,
}

/// How one attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Completion {
    /// The connection could not be established, so nothing was sent.
    NotSent,
    /// The entry reported this outcome and code.
    Reported(Outcome, String),
    /// The reply is complete but has an unexpected status, body or outcome.
    Mismatch(String),
    /// The reply is detectably truncated.
    Truncated(String),
    /// No reply was received.
    NoReply(String),
}

/// A client of all entries that caches look-ups.
pub struct Entries {
    client: Client,
    bootstrap: Vec<SocketAddr>,
    next_start: AtomicUsize,
    cache: Mutex<HashMap<(String, String), (Instant, Lookup)>>,
}

impl Entries {
    /// Creates a client that sends look-ups to the entries in `bootstrap`.
    pub fn new(bootstrap: Vec<SocketAddr>) -> Entries {
        let client = Client::new(ClientConfig::new().with_nodelay(true));
        let client = client.with_max_buffered_request_body(MAX_BUFFERED_BODY_BYTES);
        Entries { client, bootstrap, next_start: AtomicUsize::new(0), cache: Mutex::default() }
    }

    /// Returns the bootstrap entries, starting at the next one in turn on each call.
    fn rotated(&self) -> impl Iterator<Item = SocketAddr> {
        let start = self.next_start.fetch_add(1, Ordering::Relaxed);
        let count = self.bootstrap.len();
        (0..count).map(move |index| self.bootstrap[(start + index) % count])
    }

    /// Looks up the entries for a service and a block; uses the cached reply until its TTL expires.
    /// Returns `None` if no bootstrap entry replies.
    pub async fn lookup(&self, member: &str, service: &str, block: &str) -> Option<Lookup> {
        let cache_key = (service.to_owned(), block.to_owned());
        let cached = self.cache.lock().expect("not poisoned").get(&cache_key).cloned();
        if let Some((_, lookup)) = cached.filter(|(until, _)| Instant::now() < *until) {
            return Some(lookup);
        }
        let query = format!("member={member}&service={service}&block={block}");
        for address in self.rotated() {
            let url = format!("http://{address}/v1/lookup?{query}");
            if let Some(lookup) = self.fetch_lookup(&url).await {
                let until = Instant::now() + Duration::from_millis(lookup.ttl_ms);
                let mut cache = self.cache.lock().expect("not poisoned");
                cache.insert(cache_key, (until, lookup.clone()));
                return Some(lookup);
            }
        }
        None
    }

    async fn fetch_lookup(&self, url: &str) -> Option<Lookup> {
        let conn = self.client.get(url).with_timeout(LOOKUP_TIMEOUT);
        let mut conn = conn.await.ok()?;
        let body = conn.response_body().read_bytes().await.ok()?;
        let is_ok = conn.status().is_some_and(|status| status.is_success());
        is_ok.then(|| serde_json::from_slice(&body).ok()).flatten()
    }

    /// Removes a cached look-up, after a connection to an entry failed.
    pub fn invalidate(&self, service: &str, block: &str) {
        let cache_key = (service.to_owned(), block.to_owned());
        self.cache.lock().expect("not poisoned").remove(&cache_key);
    }

    /// Returns the entries to try in order: those of the look-up, then the other bootstrap entries.
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

    /// Sends a request to one entry and waits for the reply until `reply_grace` after its deadline.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: &Request,
        reply_grace: Duration,
    ) -> Completion {
        let remaining = request.deadline.saturating_duration_since(Instant::now());
        let url = format!("http://{address}{}", request.path);
        let mut conn = self
            .client
            .post(url)
            .with_request_header("ebonypass-member", request.member.clone())
            .with_request_header("ebonypass-block", request.block.clone())
            .with_request_header("ebonypass-deadline-ms", remaining.as_millis().max(1).to_string())
            .with_body(request.body.clone());
        if let Some(key) = &request.key {
            conn = conn.with_request_header("ebonypass-key", key.clone());
        }
        let exchange = exchange(conn, &request.expected_reply);
        let timeout = async {
            Timer::after(remaining + reply_grace).await;
            Completion::NoReply("no reply in time".to_owned())
        };
        or(exchange, timeout).await
    }
}

/// Sends a request, reads the complete reply and classifies it.
async fn exchange(mut conn: Conn, expected_reply: &[u8]) -> Completion {
    if let Err(error) = (&mut conn).await {
        if conn.transport().is_none() {
            return Completion::NotSent;
        }
        return Completion::NoReply(error.to_string());
    }
    let header = |name: &'static str| conn.response_headers().get_str(name).map(str::to_owned);
    let (outcome, code) = (header("ebonypass-outcome"), header("ebonypass-code"));
    let length = header("content-length").and_then(|text| text.parse::<usize>().ok());
    let status = conn.status().map_or(0, |status| status as u16);
    let body = match conn.response_body().read_bytes().await {
        Ok(body) if length.is_none_or(|length| length == body.len()) => body,
        Ok(body) => return Completion::Truncated(format!("{} of {length:?} bytes", body.len())),
        Err(error) => return Completion::Truncated(error.to_string()),
    };
    let code = code.unwrap_or_default();
    match outcome.as_deref() {
        Some("answered") if status == 200 && body == expected_reply => {
            Completion::Reported(Outcome::Answered, code)
        }
        // The target aborted the request at its deadline.
        Some("answered") if status == 504 => {
            Completion::Reported(Outcome::Answered, "504".to_owned())
        }
        Some("answered") => Completion::Mismatch(format!("status {status}, {} bytes", body.len())),
        Some("not-run") => Completion::Reported(Outcome::NotRun, code),
        Some("unknown") => Completion::Reported(Outcome::Unknown, code),
        _ => Completion::Mismatch(format!("status {status} without an outcome")),
    }
}
