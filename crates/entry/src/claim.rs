//! Claims of request keys.
//!
//! The arbiter of a key is the process that issued its token. It grants a key again only if the
//! earlier request was not run, so that non-idempotent work runs at most once.

use std::sync::Arc;
use std::time::Duration;

use ebonypass_core::key::{self, Claim, scan_key};
use ebonypass_core::outcome::{Outcome, Reason};
use ebonypass_core::roster::Incarnation;
use ebonypass_node::clock;
use ebonypass_node::peer::Link;
use ebonypass_node::store::Store;
use ebonypass_node::sync::lock;
use ebonypass_node::target::Target;
use ebonypass_node::wire::{ClaimRequest, Frame};
use futures_lite::future;
use smol::Timer;

use crate::state::Entry;

/// Timeout of one request to the arbiter. The longest link delay is 35 ms one way.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(250);

/// Requests sent before the arbiter counts as unreachable. A retry gets the same reply.
const MAX_ATTEMPTS: usize = 3;

/// A granted claim and the link for reporting the outcome of its request.
pub(crate) struct Grant {
    request: ClaimRequest,
    /// The link to the arbiter; none if it is this process.
    link: Option<Arc<Link>>,
}

/// Why a claim was not granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// The key cannot be claimed.
    Reason(Reason),
    /// The key was used before; holds the state of that request.
    Repeated(&'static str),
}

/// Claims `key` for one dispatch of a request of `member`.
pub(crate) async fn claim<S: Store, T: Target>(
    entry: &Entry<S, T>,
    member: &str,
    key: &str,
) -> Result<Grant, Refusal> {
    let token = scan_key(key).ok_or(Refusal::Reason(Reason::KeyMalformed))?;
    let claim = Claim::new(member, key, token, fastrand::u64(..));
    let request = ClaimRequest { incarnation: Incarnation(token.incarnation), claim, end: None };
    if token.entry == entry.process.name {
        return grant_or_refusal(handle_claim(entry, &request), Grant { request, link: None });
    }
    let unreachable = Refusal::Reason(Reason::ArbiterGone);
    let link = lock(&entry.peers).link(token.entry).ok_or(unreachable)?;
    let reply = send_claim(&link, request).await;
    grant_or_refusal(reply, Grant { request, link: Some(link) })
}

fn grant_or_refusal(reply: Option<key::Reply>, grant: Grant) -> Result<Grant, Refusal> {
    match reply {
        Some(key::Reply::Granted) => Ok(grant),
        Some(key::Reply::Running) => Err(Refusal::Repeated("running")),
        Some(key::Reply::Ran) => Err(Refusal::Repeated("ran")),
        Some(key::Reply::Unknown) => Err(Refusal::Repeated("unknown")),
        Some(key::Reply::Expired) => Err(Refusal::Reason(Reason::KeyExpired)),
        Some(key::Reply::Full) => Err(Refusal::Reason(Reason::JournalFull)),
        None => Err(Refusal::Reason(Reason::ArbiterGone)),
    }
}

/// Handles a claim or the outcome of its request; none if another process issued the token.
pub(crate) fn handle_claim<S: Store, T: Target>(
    entry: &Entry<S, T>,
    request: &ClaimRequest,
) -> Option<key::Reply> {
    if request.incarnation != entry.process.incarnation {
        return None;
    }
    let mut journal = lock(&entry.journal);
    let reply = match request.end {
        None => journal.claim(clock::now(), request.claim),
        Some(end) => {
            journal.record_execution(request.claim, end);
            key::Reply::Granted
        }
    };
    entry.metrics.claims.set(journal.len() as i64);
    Some(reply)
}

/// Reports the outcome of the request of `grant` to the arbiter.
pub(crate) fn report_outcome<S: Store, T: Target>(
    entry: &Entry<S, T>,
    grant: Grant,
    outcome: Outcome,
) {
    let end = match outcome {
        Outcome::Answered => key::Execution::Ran,
        Outcome::NotRun => key::Execution::NotRun,
        Outcome::Unknown => key::Execution::Unknown,
    };
    let request = ClaimRequest { end: Some(end), ..grant.request };
    match grant.link {
        None => drop(handle_claim(entry, &request)),
        // The caller need not wait. If the report is lost, the arbiter keeps answering "running".
        Some(link) => smol::spawn(async move { send_claim(&link, request).await }).detach(),
    }
}

/// Sends `request` until there is a reply, at most [`MAX_ATTEMPTS`] times.
async fn send_claim(link: &Link, request: ClaimRequest) -> Option<key::Reply> {
    for _ in 0..MAX_ATTEMPTS {
        let attempt = async {
            let mut exchange = link.open_stream(&Frame::Claim(request)).await.ok()?;
            match exchange.read().await {
                Ok(Frame::ClaimReply(reply)) => Some(reply),
                _ => None,
            }
        };
        let timer = async {
            Timer::after(ATTEMPT_TIMEOUT).await;
            None
        };
        if let Some(reply) = future::or(attempt, timer).await {
            return reply;
        }
        Timer::after(ATTEMPT_TIMEOUT / 10).await;
    }
    None
}
