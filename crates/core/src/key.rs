//! Request keys, and the journal of the process that arbitrates them.
//!
//! A key is `<entry>.<incarnation>.<issued>/<nonce>`. The part before the slash is a token, which
//! names the process that issued it: the arbiter of the key. Only the arbiter grants claims of the
//! key. It retains each claim for longer than the key can be granted, so no claim is dropped while
//! a second grant is possible. See docs/design.md, D5.

use std::collections::VecDeque;
use std::fmt;

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

use crate::time::Instant;

/// Time after the issue of its token in which a key may be granted, in seconds.
pub const GRANT_WINDOW_S: u64 = 600;
/// Time after the issue of the token for which claims are retained, in seconds.
pub const RETENTION_S: u64 = 1_200;
/// The longest key, in bytes.
pub const MAX_KEY_BYTES: usize = 160;
/// Claims are dropped in groups. This is the span of issue times of a group, in seconds.
const GROUP_SPAN_S: u64 = 60;

/// Issued by an arbiter with the reply to a look-up. Callers make request keys from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Token<'a> {
    /// The name of the entry that issued it.
    pub entry: &'a str,
    /// Identifies the process among all that ever had this entry name.
    pub incarnation: u64,
    /// Issue time in seconds of the process's monotonic clock.
    pub issued_s: u64,
}

impl fmt::Display for Token<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:x}.{}", self.entry, self.incarnation, self.issued_s)
    }
}

/// Scans `<entry>.<incarnation>.<issued>`. The incarnation is hexadecimal.
pub fn scan_token(text: &str) -> Option<Token<'_>> {
    let (rest, issued) = text.rsplit_once('.')?;
    let (entry, incarnation) = rest.rsplit_once('.')?;
    let incarnation = u64::from_str_radix(incarnation, 16).ok()?;
    let issued_s = issued.parse().ok()?;
    (!entry.is_empty()).then_some(Token { entry, incarnation, issued_s })
}

/// Scans a request key and returns its token. A key is printable ASCII without spaces, has at most
/// [`MAX_KEY_BYTES`] and a nonce that is not empty.
pub fn scan_key(text: &str) -> Option<Token<'_>> {
    if text.len() > MAX_KEY_BYTES || !text.bytes().all(|byte| byte.is_ascii_graphic()) {
        return None;
    }
    let (token, nonce) = text.split_once('/')?;
    if nonce.is_empty() { None } else { scan_token(token) }
}

/// A claim of a key for one dispatch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Hash of member and key.
    pub digest: u128,
    /// Issue time of the key's token in seconds.
    pub issued_s: u64,
    /// A number that the claiming entry chose for this dispatch. Claims with the same number are
    /// idempotent, so a claim can be retried when its reply is lost.
    pub dispatch_id: u64,
}

impl Claim {
    /// A claim of `key` by `member` for the dispatch `dispatch_id`.
    pub fn new(member: &str, key: &str, token: Token<'_>, dispatch_id: u64) -> Claim {
        let mut text = String::with_capacity(member.len() + 1 + key.len());
        text.push_str(member);
        text.push('\n');
        text.push_str(key);
        Claim { digest: xxh3_128(text.as_bytes()), issued_s: token.issued_s, dispatch_id }
    }
}

/// The arbiter's reply to a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The request may be dispatched once.
    Granted,
    /// Another dispatch holds the grant and has not reported whether the request was run.
    Running,
    /// The request ran.
    Ran,
    /// The request may have run.
    Unknown,
    /// The key is too old, or its token has an issue time in the future.
    Expired,
    /// The journal is full.
    Full,
}

/// Whether a granted request was run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Execution {
    /// It was not run, so the key may be granted again.
    NotRun,
    /// It ran.
    Ran,
    /// It may have run.
    Unknown,
}

/// The state of a claimed key.
#[derive(Debug, Clone, Copy, PartialEq)]
enum State {
    Running { dispatch_id: u64 },
    Ended(Execution),
}

/// Claims whose tokens were issued within the same [`GROUP_SPAN_S`].
#[derive(Debug)]
struct Group {
    number: u64,
    claims: FxHashMap<u128, State>,
}

/// The claims of keys that one process arbitrates.
#[derive(Debug)]
pub struct Journal {
    /// In ascending order of number.
    groups: VecDeque<Group>,
    len: usize,
    capacity: usize,
}

impl Journal {
    /// An empty journal for at most `capacity` claims.
    pub fn new(capacity: usize) -> Journal {
        Journal { groups: VecDeque::new(), len: 0, capacity }
    }

    /// The issue time, in seconds, of a token issued at `now`.
    pub const fn issue_second(now: Instant) -> u64 {
        now.as_micros() / 1_000_000
    }

    /// The number of retained claims.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no claim is retained.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Decides on a claim and records it if it is granted.
    pub fn claim(&mut self, now: Instant, claim: Claim) -> Reply {
        let now_s = Journal::issue_second(now);
        self.drop_expired(now_s);
        if claim.issued_s > now_s || claim.issued_s + RETENTION_S <= now_s {
            return Reply::Expired;
        }
        let state = self.state(claim);
        match state {
            Some(State::Running { dispatch_id }) if dispatch_id == claim.dispatch_id => {
                return Reply::Granted;
            }
            Some(State::Running { .. }) => return Reply::Running,
            Some(State::Ended(Execution::Ran)) => return Reply::Ran,
            Some(State::Ended(Execution::Unknown)) => return Reply::Unknown,
            Some(State::Ended(Execution::NotRun)) | None => {}
        }
        if claim.issued_s + GRANT_WINDOW_S <= now_s {
            return Reply::Expired;
        }
        if state.is_none() && self.len == self.capacity {
            return Reply::Full;
        }
        let running = State::Running { dispatch_id: claim.dispatch_id };
        let group = self.group_mut(claim.issued_s / GROUP_SPAN_S);
        if group.claims.insert(claim.digest, running).is_none() {
            self.len += 1;
        }
        Reply::Granted
    }

    /// Records whether a granted request was run. Ignored unless `claim` holds the grant.
    pub fn record_execution(&mut self, claim: Claim, status: Execution) {
        let number = claim.issued_s / GROUP_SPAN_S;
        let group = self.groups.iter_mut().find(|group| group.number == number);
        let Some(state) = group.and_then(|group| group.claims.get_mut(&claim.digest)) else {
            return;
        };
        if *state == (State::Running { dispatch_id: claim.dispatch_id }) {
            *state = State::Ended(status);
        }
    }

    fn state(&self, claim: Claim) -> Option<State> {
        let number = claim.issued_s / GROUP_SPAN_S;
        let group = self.groups.iter().find(|group| group.number == number)?;
        group.claims.get(&claim.digest).copied()
    }

    fn group_mut(&mut self, number: u64) -> &mut Group {
        let index = self.groups.partition_point(|group| group.number < number);
        if self.groups.get(index).is_none_or(|group| group.number != number) {
            self.groups.insert(index, Group { number, claims: FxHashMap::default() });
        }
        &mut self.groups[index]
    }

    /// Drops the groups whose newest token is older than [`RETENTION_S`].
    fn drop_expired(&mut self, now_s: u64) {
        while let Some(group) = self.groups.front() {
            if (group.number + 1) * GROUP_SPAN_S + RETENTION_S > now_s {
                break;
            }
            self.len -= group.claims.len();
            self.groups.pop_front();
        }
    }
}
