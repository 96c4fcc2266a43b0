//! Request keys and the journal of the process that vouches for them.
//!
//! A key is `<entry>.<incarnation>.<issued>/<nonce>`. Only the process that the first part names,
//! the arbiter, grants claims of the key. It keeps a claim for longer than the key can be granted,
//! so a claim is never forgotten while a second grant is possible. See docs/design.md, D5.

use std::collections::VecDeque;
use std::fmt;

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

use crate::time::Instant;

/// For this long after the issue of its token a key may be claimed for the first time, in seconds.
pub const GRANT_S: u64 = 600;
/// Claims are kept for this long after the issue of the token, in seconds.
pub const KEEP_S: u64 = 1_200;
/// Keys are at most this long, in bytes.
pub const MAX_KEY: usize = 160;
/// Claims are dropped in groups of tokens issued within the same time, in seconds.
const GROUP_S: u64 = 60;

/// What an arbiter hands out with a look-up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Token<'a> {
    /// Name of the entry.
    pub entry: &'a str,
    /// Start of the process: differs for each process that ever had the entry's name.
    pub incarnation: u64,
    /// Second of the process's monotonic clock at which the token was issued.
    pub issued_s: u64,
}

impl fmt::Display for Token<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:x}.{}", self.entry, self.incarnation, self.issued_s)
    }
}

/// Scans `<entry>.<incarnation>.<issued>`.
pub fn parse_token(text: &str) -> Option<Token<'_>> {
    let (rest, issued) = text.rsplit_once('.')?;
    let (entry, incarnation) = rest.rsplit_once('.')?;
    let incarnation = u64::from_str_radix(incarnation, 16).ok()?;
    let issued_s = issued.parse().ok()?;
    (!entry.is_empty()).then_some(Token { entry, incarnation, issued_s })
}

/// Scans a request key and returns its token. The nonce must not be empty.
pub fn parse_key(text: &str) -> Option<Token<'_>> {
    if text.len() > MAX_KEY || !text.bytes().all(|byte| byte.is_ascii_graphic()) {
        return None;
    }
    let (token, nonce) = text.split_once('/')?;
    if nonce.is_empty() { None } else { parse_token(token) }
}

/// A claim of a key for one dispatch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Digest of member and key.
    pub digest: u128,
    /// Issue second of the key's token.
    pub issued_s: u64,
    /// Number that the claiming entry chose for this dispatch. The same number is answered in the
    /// same way, so a lost reply can be asked for again.
    pub claimer: u64,
}

impl Claim {
    /// The claim of `key` by `member`.
    pub fn new(member: &str, key: &str, token: Token<'_>, claimer: u64) -> Claim {
        let mut text = String::with_capacity(member.len() + 1 + key.len());
        text.push_str(member);
        text.push('\n');
        text.push_str(key);
        Claim { digest: xxh3_128(text.as_bytes()), issued_s: token.issued_s, claimer }
    }
}

/// The arbiter's answer to a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// The claimer may dispatch the request once.
    Granted,
    /// Another claimer has the grant and has not said how it ended.
    Running,
    /// The request ran.
    Ran,
    /// The request may have run.
    Unknown,
    /// The key is too old, or its token was never issued.
    Expired,
    /// The journal has no room.
    Full,
}

/// How a granted request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExecutionStatus {
    /// It was not run, so the key may be granted again.
    NotRun,
    /// It ran.
    Ran,
    /// It may have run.
    Unknown,
}

/// What the journal knows of a key.
#[derive(Debug, Clone, Copy, PartialEq)]
enum State {
    Running { claimer: u64 },
    Ended(ExecutionStatus),
}

/// The claims whose tokens were issued within the same minute.
#[derive(Debug)]
struct Group {
    number: u64,
    claims: FxHashMap<u128, State>,
}

/// The claims that one process vouches for.
#[derive(Debug)]
pub struct Journal {
    groups: VecDeque<Group>,
    len: usize,
    capacity: usize,
}

impl Journal {
    /// A journal with room for `capacity` claims.
    pub fn new(capacity: usize) -> Journal {
        Journal { groups: VecDeque::new(), len: 0, capacity }
    }

    /// The issue second for a token that is handed out at `now`.
    pub const fn issue_second(now: Instant) -> u64 {
        now.as_micros() / 1_000_000
    }

    /// The number of claims held.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no claim is held.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Answers a claim.
    pub fn claim(&mut self, now: Instant, claim: Claim) -> ClaimAnswer {
        let now_s = Journal::issue_second(now);
        self.drop_old(now_s);
        if claim.issued_s > now_s || claim.issued_s + KEEP_S <= now_s {
            return ClaimAnswer::Expired;
        }
        let held = self.state(claim);
        match held {
            Some(State::Running { claimer }) if claimer == claim.claimer => {
                return ClaimAnswer::Granted;
            }
            Some(State::Running { .. }) => return ClaimAnswer::Running,
            Some(State::Ended(ExecutionStatus::Ran)) => return ClaimAnswer::Ran,
            Some(State::Ended(ExecutionStatus::Unknown)) => return ClaimAnswer::Unknown,
            Some(State::Ended(ExecutionStatus::NotRun)) | None => {}
        }
        if claim.issued_s + GRANT_S <= now_s {
            return ClaimAnswer::Expired;
        }
        if held.is_none() && self.len == self.capacity {
            return ClaimAnswer::Full;
        }
        let running = State::Running { claimer: claim.claimer };
        let group = self.group_for(claim.issued_s / GROUP_S);
        if group.claims.insert(claim.digest, running).is_none() {
            self.len += 1;
        }
        ClaimAnswer::Granted
    }

    /// Records how a granted request ended. Only the claimer that holds the grant may say so.
    pub fn record_execution(&mut self, claim: Claim, end: ExecutionStatus) {
        let number = claim.issued_s / GROUP_S;
        let group = self.groups.iter_mut().find(|group| group.number == number);
        let Some(state) = group.and_then(|group| group.claims.get_mut(&claim.digest)) else {
            return;
        };
        if *state == (State::Running { claimer: claim.claimer }) {
            *state = State::Ended(end);
        }
    }

    fn state(&self, claim: Claim) -> Option<State> {
        let number = claim.issued_s / GROUP_S;
        let group = self.groups.iter().find(|group| group.number == number)?;
        group.claims.get(&claim.digest).copied()
    }

    fn group_for(&mut self, number: u64) -> &mut Group {
        let at = self.groups.partition_point(|group| group.number < number);
        if self.groups.get(at).is_none_or(|group| group.number != number) {
            self.groups.insert(at, Group { number, claims: FxHashMap::default() });
        }
        &mut self.groups[at]
    }

    /// Drops the groups whose last token is older than `KEEP_S`.
    fn drop_old(&mut self, now_s: u64) {
        while let Some(group) = self.groups.front() {
            if (group.number + 1) * GROUP_S + KEEP_S > now_s {
                break;
            }
            self.len -= group.claims.len();
            self.groups.pop_front();
        }
    }
}
