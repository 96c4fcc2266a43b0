//! Claims of request keys at the process that vouches for them.

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
use ebonypass_node::wire::{Ask, Frame};
use futures_lite::future;
use smol::Timer;

use crate::state::Entry;

/// How long one question to the arbiter may take. The longest way is 35 ms each way.
const ASK_TIMEOUT: Duration = Duration::from_millis(250);

/// Questions until the arbiter counts as unreachable. A repeated one gets the same answer.
const ASKS: usize = 3;

/// A claim that was granted, and whom to tell how the request ended.
pub(crate) struct Grant {
    ask: Ask,
    /// The way to the arbiter; none if it is this process.
    link: Option<Arc<Link>>,
}

/// Why there is no grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// The key cannot be claimed.
    Reason(Reason),
    /// The key was used before, and this is known of that use.
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
    let ask = Ask { incarnation: Incarnation(token.incarnation), claim, end: None };
    if token.entry == entry.process.name {
        return decide(answer_claim(entry, &ask), Grant { ask, link: None });
    }
    let gone = Refusal::Reason(Reason::ArbiterGone);
    let link = lock(&entry.members).link(token.entry).ok_or(gone)?;
    let answer = ask_arbiter(&link, ask).await;
    decide(answer, Grant { ask, link: Some(link) })
}

fn decide(answer: Option<key::Reply>, grant: Grant) -> Result<Grant, Refusal> {
    match answer {
        Some(key::Reply::Granted) => Ok(grant),
        Some(key::Reply::Running) => Err(Refusal::Repeated("running")),
        Some(key::Reply::Ran) => Err(Refusal::Repeated("ran")),
        Some(key::Reply::Unknown) => Err(Refusal::Repeated("unknown")),
        Some(key::Reply::Expired) => Err(Refusal::Reason(Reason::KeyExpired)),
        Some(key::Reply::Full) => Err(Refusal::Reason(Reason::JournalFull)),
        None => Err(Refusal::Reason(Reason::ArbiterGone)),
    }
}

/// Answers a claim as the arbiter; none if another process issued the token.
pub(crate) fn answer_claim<S: Store, T: Target>(
    entry: &Entry<S, T>,
    ask: &Ask,
) -> Option<key::Reply> {
    if ask.incarnation != entry.process.incarnation {
        return None;
    }
    let mut journal = lock(&entry.journal);
    let answer = match ask.end {
        None => journal.claim(clock::now(), ask.claim),
        Some(end) => {
            journal.record_execution(ask.claim, end);
            key::Reply::Granted
        }
    };
    entry.gauges.claims.set(journal.len() as i64);
    Some(answer)
}

/// Tells the arbiter how the request of `grant` ended.
pub(crate) fn settle<S: Store, T: Target>(entry: &Entry<S, T>, grant: Grant, outcome: Outcome) {
    let end = match outcome {
        Outcome::Answered => key::Execution::Ran,
        Outcome::NotRun => key::Execution::NotRun,
        Outcome::Unknown => key::Execution::Unknown,
    };
    let ask = Ask { end: Some(end), ..grant.ask };
    match grant.link {
        None => drop(answer_claim(entry, &ask)),
        // The caller need not wait. If the arbiter does not hear it, it says "running".
        Some(link) => smol::spawn(async move { ask_arbiter(&link, ask).await }).detach(),
    }
}

/// Asks until there is an answer.
async fn ask_arbiter(link: &Link, ask: Ask) -> Option<key::Reply> {
    for _ in 0..ASKS {
        let question = async {
            let mut exchange = link.open(&Frame::Claim(ask)).await.ok()?;
            match exchange.read().await {
                Ok(Frame::ClaimReply(answer)) => Some(answer),
                _ => None,
            }
        };
        let timer = async {
            Timer::after(ASK_TIMEOUT).await;
            None
        };
        if let Some(answer) = future::or(question, timer).await {
            return answer;
        }
        Timer::after(ASK_TIMEOUT / 10).await;
    }
    None
}
