//! Quotas of tenants across all machines.
//!
//! Each quota is a token bucket on one machine, its owner; the others lease tokens from it. The
//! owner is the first live machine in the tenant's rendezvous order. A machine takes a quota over
//! by a claim to those that may own it; the owner gives up the quota to a machine that ranks
//! higher, together with the level of the bucket. A claim without an answer goes through after a
//! time-out, with an almost empty bucket, and only on a machine that hears from others.
//!
//! The decisions respond to the requests of each tenant that arrive on all machines, and to the
//! share of the demand whose machines are out of reach. docs/design/quotas.md gives the reasons and
//! the measurements.

mod account;
mod bucket;
mod fleet;
mod ledger;
mod message;

use std::net::IpAddr;

use rustc_hash::{FxHashMap, FxHashSet};
use xxhash_rust::xxh3::xxh3_64;

pub use crate::tenant::Limit;
use crate::time::{Instant, Span};
use account::{Account, OpenAsk, Part};
use fleet::Fleet;
pub use fleet::Member;
use ledger::Ledger;
pub use message::{
    Answer, Ask, Demand, MAX_BATCH, Message, REPLY_BYTE, REQUEST_BYTE, Reply, Request,
};

/// The longest time that a request waits for a token.
pub const MAX_WAIT: Span = Span::from_millis(500);
/// Time between two calls of [`Allotment::poll`].
pub const POLL_INTERVAL: Span = Span::from_millis(20);
/// An ask without an answer is repeated after this time. A round trip between regions takes 40 ms,
/// and a busy machine answers tens of milliseconds later: with 50 ms, owners under load were asked
/// twice and then taken for gone.
const ASK_TIMEOUT: Span = Span::from_millis(120);
/// Asks that one machine leaves without an answer before others are asked.
const MAX_TRIES: u32 = 2;
/// The same once the first machine has not answered: after a fault of many machines, several of an
/// order may be gone.
const FALLBACK_TRIES: u32 = 1;
const FALLBACK_TIMEOUT: Span = Span::from_millis(60);
/// Time for which a machine that did not answer is not asked, unless a datagram of it arrives.
const MUTE_TIME: Span = Span::from_secs(3);
/// Time for which a machine that answered as the owner is asked first.
const OWNER_TIME: Span = Span::from_secs(2);
/// Time after which a pending take-over is asked about again.
const PENDING_DELAY: Span = Span::from_millis(30);
/// Machines that may pass an ask on before it is delayed.
const MAX_HOPS: u32 = 3;
/// Requests of one tenant that wait at once. More are denied.
const MAX_WAITING: u16 = 64;
/// A process that has run for less than this owns no quota: it may not know all machines.
const SETTLING_TIME: Span = Span::from_secs(5);
/// The same after a time without contact, at the end of which a machine takes others for dead: it
/// would take over quotas from machines that it does not ask.
const REJOINING_TIME: Span = Span::from_secs(3);
/// A lease lasts this part of the tolerance, `overshoot` times `window`: 0.4 s of 0.5 s.
const LEASE_PART: f64 = 0.8;
/// A lease must outlast a round trip and a repeated ask.
const LEASE_BOUNDS: (Span, Span) = (Span::from_millis(150), Span::from_millis(400));
/// A machine that has heard nothing for this part of the tolerance is without contact, and does not
/// use the quotas that it owns: 0.6 s of 0.5 s. Others take over no earlier than 0.2 s after the
/// contact is lost, so that both grant for at most 0.4 s.
const SILENCE_PART: f64 = 1.2;
/// Heartbeats arrive 7 times a second on average.
const SILENCE_BOUNDS: (Span, Span) = (Span::from_millis(400), Span::from_millis(600));
/// Fleets of at most so many machines are small: each machine hears from the others less than 4 times
/// in the time.
const SMALL_FLEET: usize = 3;
/// A machine that has been without contact for this time denies what its own share does not cover
/// without waiting.
const ISOLATED_AFTER: Span = Span::from_secs(2);
/// Part of the allowance that all machines without contact may use together at the start, and again
/// in each window: 6 requests of 20.
const STANDALONE_SHARE: f64 = 0.3;
/// The time that a request is told to wait that a machine without contact denies.
const ISOLATED_RETRY_AFTER: Span = Span::from_secs(1);
/// The shortest time that a denied request is told to wait.
const MIN_RETRY_AFTER: Span = Span::from_millis(250);

/// How far the sum over all machines may exceed the limits: in any `window` it is at most (rate x
/// window + burst) x (1 + overshoot) + allowance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tolerance {
    /// The window.
    pub window: Span,
    /// Share of the limit.
    pub overshoot: f64,
    /// Requests.
    pub allowance: f64,
}

/// Whether a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Yes.
    Granted,
    /// Not yet known. The caller asks again when [`Allotment::take_news`] says so, and after
    /// [`MAX_WAIT`].
    Wait,
    /// No. The caller of the request may try again after this time.
    Denied(Span),
}

/// The hash by which machines name a tenant.
pub fn tenant_hash(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}

/// What the ledger needs to know beyond itself.
#[derive(Debug)]
struct Context<'a> {
    own: IpAddr,
    fleet: &'a Fleet,
    orders: &'a mut Orders,
    has_contact: bool,
    /// Time until this process may own quotas.
    settling: Span,
    allowance: f64,
}

impl Context<'_> {
    /// Whether this machine may own quotas at all.
    fn may_own(&self) -> bool {
        self.settling == Span::ZERO && self.fleet.is_own_ready
    }

    fn order(&mut self, tenant: u32) -> &[IpAddr] {
        self.orders.get(self.fleet, tenant)
    }
}

/// The order of owners of each tenant, for one version of the fleet.
#[derive(Debug, Default)]
struct Orders {
    version: u64,
    orders: FxHashMap<u32, Vec<IpAddr>>,
}

impl Orders {
    fn get(&mut self, fleet: &Fleet, tenant: u32) -> &[IpAddr] {
        if self.version != fleet.version {
            self.orders.clear();
            self.version = fleet.version;
        }
        self.orders.entry(tenant).or_insert_with(|| fleet.order(tenant))
    }
}

/// Messages to be sent.
#[derive(Debug, Default)]
struct Outbox {
    requests: Vec<(IpAddr, Request)>,
    replies: Vec<(IpAddr, Reply)>,
}

impl Outbox {
    fn request(&mut self, to: IpAddr, request: Request) {
        self.requests.push((to, request));
    }

    fn reply(&mut self, to: IpAddr, reply: Reply) {
        self.replies.push((to, reply));
    }
}

/// Groups `items` by machine into batches of at most [`MAX_BATCH`].
fn batch<T: Copy>(
    mut items: Vec<(IpAddr, T)>,
    wrap: impl Fn(Vec<T>) -> Message,
    batches: &mut Vec<(IpAddr, Message)>,
) {
    items.sort_by_key(|(to, _)| *to);
    for group in items.chunk_by(|first, second| first.0 == second.0) {
        for part in group.chunks(MAX_BATCH) {
            batches.push((part[0].0, wrap(part.iter().map(|(_, item)| *item).collect())));
        }
    }
}

/// The quotas of all tenants on one machine.
#[derive(Debug)]
pub struct Allotment {
    own: IpAddr,
    tolerance: Tolerance,
    /// When this process may own quotas.
    settled_at: Instant,
    /// Whether other machines exist, so that one without contact must not own quotas.
    has_peers: bool,
    /// When the last datagram arrived, or the process started.
    last_heard: Instant,
    has_heard: bool,
    /// When the datagram before the last one arrived.
    heard_before: Option<Instant>,
    fleet: Fleet,
    orders: Orders,
    ledger: Ledger,
    accounts: FxHashMap<u32, Account>,
    /// Asks that machines left without an answer since a datagram of them last arrived.
    missed: FxHashMap<IpAddr, u32>,
    /// Machines that did not answer, and until when they are not asked.
    muted: FxHashMap<IpAddr, Instant>,
    /// Machines that do not own quotas yet, and until when.
    settling: FxHashMap<IpAddr, Instant>,
    outbox: Outbox,
    /// Tenants whose waiting requests should ask again.
    news: Vec<u32>,
}

impl Allotment {
    /// Creates the quotas of a process that starts now on the machine `own`. `has_peers` is whether
    /// other machines are known to exist.
    pub fn new(now: Instant, own: IpAddr, tolerance: Tolerance, has_peers: bool) -> Allotment {
        Allotment {
            own,
            tolerance,
            settled_at: now + SETTLING_TIME,
            has_peers,
            last_heard: now,
            has_heard: false,
            heard_before: None,
            fleet: Fleet::new(own),
            orders: Orders::default(),
            ledger: Ledger::default(),
            accounts: FxHashMap::default(),
            missed: FxHashMap::default(),
            muted: FxHashMap::default(),
            settling: FxHashMap::default(),
            outbox: Outbox::default(),
            news: Vec::new(),
        }
    }

    /// Replaces the limits, by the hashes of the tenants' names. A tenant without one, or with a
    /// rate that is not positive, is not limited.
    pub fn set_limits(&mut self, now: Instant, limits: impl IntoIterator<Item = (u32, Limit)>) {
        let is_limit = |limit: &Limit| limit.rate_per_s > 0.0 && limit.rate_per_s.is_finite();
        let limits: FxHashMap<u32, Limit> =
            limits.into_iter().filter(|(_, limit)| is_limit(limit)).collect();
        self.ledger.set_limits(now, &limits, self.tolerance.allowance);
        self.accounts.retain(|tenant, _| limits.contains_key(tenant));
        for (tenant, limit) in limits {
            self.accounts.entry(tenant).or_insert_with(|| Account::new(now, limit)).limit = limit;
        }
        self.news.extend(self.accounts.keys());
    }

    /// Whether there are messages to be sent.
    pub fn has_messages(&self) -> bool {
        !self.outbox.requests.is_empty() || !self.outbox.replies.is_empty()
    }

    /// Updates the known machines, this one included. Called once in each round of heartbeats.
    pub fn set_fleet(&mut self, now: Instant, members: &[Member]) {
        self.has_peers |= members.len() > 1;
        self.fleet.update_candidates(members);
        // A process that has just started knows few machines, so that its share would be too large.
        if self.has_contact(now) && now >= self.settled_at {
            self.fleet.update_shares(now, members);
        }
    }

    /// Records that a datagram of any kind has arrived from the machine `from`.
    pub fn record_contact(&mut self, now: Instant, from: IpAddr) {
        if !self.has_contact(now) {
            let is_short = now.since(self.last_heard) < ISOLATED_AFTER;
            self.ledger.suspend(is_short);
            if !is_short {
                self.settled_at = self.settled_at.max(now + REJOINING_TIME);
            }
        }
        self.has_peers = true;
        self.heard_before = self.has_heard.then_some(self.last_heard);
        self.has_heard = true;
        self.last_heard = now;
        self.muted.remove(&from);
        self.missed.remove(&from);
    }

    fn tolerance_part(&self, part: f64, bounds: (Span, Span)) -> Span {
        let window_us = self.tolerance.window.as_micros() as f64;
        let span = Span::from_micros((window_us * self.tolerance.overshoot * part) as u64);
        span.clamp(bounds.0, bounds.1)
    }

    /// Whether two datagrams have arrived lately. A single one may have been late; it is enough in a
    /// fleet so small that two do not always arrive in the time.
    fn has_contact(&self, now: Instant) -> bool {
        let timeout = self.tolerance_part(SILENCE_PART, SILENCE_BOUNDS);
        let is_small = self.fleet.known <= SMALL_FLEET;
        let heard_at =
            if is_small { self.has_heard.then_some(self.last_heard) } else { self.heard_before };
        !self.has_peers || heard_at.is_some_and(|at| now.since(at) < timeout)
    }

    /// Whether an answer has arrived since the last call, so that waiting requests should ask again.
    pub fn take_news(&mut self) -> Vec<u32> {
        std::mem::take(&mut self.news)
    }

    /// The quotas that this machine owns, with the fraction of the bucket that is used.
    pub fn usage(&self) -> impl Iterator<Item = (u32, f64)> {
        self.ledger.usage(self.tolerance.allowance)
    }

    /// Quotas that this machine has taken over without an answer from another that may own them.
    pub fn takeovers(&self) -> u64 {
        self.ledger.takeovers
    }

    /// Whether this machine has long been without contact to others, so that it uses only its own
    /// shares.
    pub fn is_isolated(&self, now: Instant) -> bool {
        self.has_peers && now.since(self.last_heard) >= ISOLATED_AFTER
    }

    /// Whether any tenant is limited.
    pub fn has_limits(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// Decides on a new request of `tenant`.
    pub fn try_take(&mut self, now: Instant, tenant: u32) -> Verdict {
        let Some(account) = self.accounts.get_mut(&tenant) else { return Verdict::Granted };
        account.record_arrival(now);
        let verdict = match account.waiting {
            MAX_WAITING.. => Verdict::Denied(MIN_RETRY_AFTER),
            _ => self.decide(now, tenant, now, 1),
        };
        if verdict == Verdict::Wait
            && let Some(account) = self.accounts.get_mut(&tenant)
        {
            account.waiting += 1;
        }
        verdict
    }

    /// Decides again on a request that arrived at `since` and had to wait.
    pub fn retry(&mut self, now: Instant, tenant: u32, since: Instant) -> Verdict {
        let verdict = self.decide(now, tenant, since, 0);
        if verdict != Verdict::Wait {
            self.abandon(tenant);
        }
        verdict
    }

    /// Forgets a request that had to wait.
    pub fn abandon(&mut self, tenant: u32) {
        if let Some(account) = self.accounts.get_mut(&tenant) {
            account.waiting = account.waiting.saturating_sub(1);
        }
    }

    /// Returns the token of a request that did not run. It goes back to the owner, whose bucket takes
    /// no more than the burst, so that tokens of many refused requests cannot be used together.
    pub fn give_back(&mut self, tenant: u32) {
        if let Some(account) = self.accounts.get_mut(&tenant) {
            account.add_expired(1);
        }
    }

    fn decide(&mut self, now: Instant, tenant: u32, since: Instant, arrivals: u16) -> Verdict {
        let silence = now.since(self.last_heard);
        let has_contact = self.has_contact(now);
        let Some(account) = self.accounts.get_mut(&tenant) else { return Verdict::Granted };
        let is_last = now.since(since) >= MAX_WAIT;
        let retry_after = |account: &Account| {
            account.denied_until.max(account.next_ask_at).since(now).max(MIN_RETRY_AFTER)
        };
        if account.take(now) {
            self.ask_ahead(now, tenant);
            return Verdict::Granted;
        }
        if !has_contact && (is_last || silence >= ISOLATED_AFTER) {
            let part = self.standalone_part(tenant);
            let Some(account) = self.accounts.get_mut(&tenant) else { return Verdict::Granted };
            if account.take_standalone(now, &part) {
                return Verdict::Granted;
            }
            return Verdict::Denied(ISOLATED_RETRY_AFTER);
        }
        let wait_end = since + MAX_WAIT;
        if is_last || account.is_exhausted(now) || account.denied_until > wait_end {
            return Verdict::Denied(retry_after(account));
        }
        if account.open_ask.is_none() && now >= account.next_ask_at {
            let needed = account.waiting + arrivals;
            let wanted = account.wanted();
            self.ask(now, tenant, needed.max(1), wanted);
            // The owner may be this machine.
            let Some(account) = self.accounts.get_mut(&tenant) else { return Verdict::Granted };
            if account.take(now) {
                return Verdict::Granted;
            }
        }
        Verdict::Wait
    }

    /// What this machine may use of a tenant's quota without contact. Nothing if it has restarted
    /// and does not know its share of the fleet's demand.
    fn standalone_part(&self, tenant: u32) -> Part {
        let lost_at = self.last_heard;
        if self.fleet.own_share == 0.0 {
            return Part { lost_at, start: 0.0, rate_per_s: 0.0, share: 0.0 };
        }
        let common = STANDALONE_SHARE * self.tolerance.allowance / self.fleet.size.max(1) as f64;
        let window_s = self.tolerance.window.as_micros() as f64 / 1e6;
        // The hash spreads the first tokens over the machines.
        let start = self.fleet.own_hash(tenant) + common;
        Part { lost_at, start, rate_per_s: common / window_s, share: self.fleet.own_factor() }
    }

    /// Asks for tokens ahead of need, if few are left.
    fn ask_ahead(&mut self, now: Instant, tenant: u32) {
        let Some(account) = self.accounts.get(&tenant) else { return };
        let wanted = account.wanted();
        if wanted > 0 && account.open_ask.is_none() && now >= account.next_ask_at {
            self.ask(now, tenant, 0, wanted);
        }
    }

    /// The machine to ask.
    fn destination(&mut self, now: Instant, tenant: u32) -> Option<IpAddr> {
        let account = self.accounts.get(&tenant)?;
        let (muted, settling) = (&self.muted, &self.settling);
        let is_muted = |address: &IpAddr| {
            muted.get(address).or(settling.get(address)).is_some_and(|until| now < *until)
        };
        if let Some((owner, until)) = account.owner
            && now < until
            && !is_muted(&owner)
        {
            return Some(owner);
        }
        let order = self.orders.get(&self.fleet, tenant);
        let count = order.iter().filter(|address| !is_muted(address)).count().max(1);
        let nth = account.position % count;
        let choice = order.iter().filter(|address| !is_muted(address)).nth(nth);
        choice.or(order.first()).copied()
    }

    /// Asks the owner for tokens.
    fn ask(&mut self, now: Instant, tenant: u32, needed: u16, wanted: u16) {
        let Some(to) = self.destination(now, tenant) else { return };
        let Some(account) = self.accounts.get_mut(&tenant) else { return };
        let sent_ms = now.as_micros() / 1_000;
        let ask = Ask {
            sent_ms: sent_ms as u16,
            needed,
            wanted,
            returned: account.take_expired(now),
            is_fallback: account.is_fallback,
        };
        if to == self.own {
            let answer = self.answer(now, tenant, ask);
            self.handle_answer(now, to, tenant, answer);
            return;
        }
        let tries = match account.open_ask {
            Some(open) if open.to == to => open.tries + 1,
            _ => 1,
        };
        account.open_ask = Some(OpenAsk { to, sent_at: now, tries });
        self.outbox.request(to, Request { tenant, demand: Demand::Tokens(ask) });
    }

    /// The ledger and what it needs.
    fn ledger(&mut self, now: Instant) -> (&mut Ledger, Context<'_>, &mut Outbox) {
        let has_contact = self.has_contact(now);
        let context = Context {
            own: self.own,
            fleet: &self.fleet,
            orders: &mut self.orders,
            has_contact,
            settling: self.settled_at.since(now),
            allowance: self.tolerance.allowance,
        };
        (&mut self.ledger, context, &mut self.outbox)
    }

    fn answer(&mut self, now: Instant, tenant: u32, ask: Ask) -> Answer {
        let (ledger, mut context, outbox) = self.ledger(now);
        ledger.ask(now, tenant, ask, &mut context, outbox)
    }

    /// Processes a message from the machine `from`. The caller also calls
    /// [`Allotment::record_contact`], before.
    pub fn handle_message(&mut self, now: Instant, from: IpAddr, message: Message) {
        match message {
            Message::Requests(requests) => {
                for Request { tenant, demand } in requests {
                    let answer = match demand {
                        Demand::Tokens(ask) => self.answer(now, tenant, ask),
                        Demand::Ownership => {
                            let (ledger, mut context, _) = self.ledger(now);
                            ledger.handle_claim(now, tenant, from, &mut context)
                        }
                    };
                    self.outbox.reply(from, Reply { tenant, answer });
                }
            }
            Message::Replies(replies) => {
                for Reply { tenant, answer } in replies {
                    self.handle_answer(now, from, tenant, answer);
                }
            }
        }
    }

    fn handle_answer(&mut self, now: Instant, from: IpAddr, tenant: u32, answer: Answer) {
        let lease = self.tolerance_part(LEASE_PART, LEASE_BOUNDS);
        let own = self.own;
        let Some(account) = self.accounts.get_mut(&tenant) else { return };
        match answer {
            Answer::Free | Answer::Held | Answer::Released { .. } => {
                let (ledger, context, _) = self.ledger(now);
                ledger.handle_claim_answer(now, tenant, from, answer, &context);
                self.news.push(tenant);
                return;
            }
            Answer::Granted { sent_ms, count } => {
                let now_ms = (now.as_micros() / 1_000) as u16;
                let age = Span::from_millis(now_ms.wrapping_sub(sent_ms).into());
                if age < lease && count > 0 {
                    account.add(now + (lease - age), count);
                } else {
                    account.add_expired(count);
                }
            }
            _ => {}
        }
        // A late answer of another machine says nothing about the open ask.
        match account.open_ask {
            Some(open) if open.to == from => account.open_ask = None,
            None if from == own => {}
            _ => {
                self.news.push(tenant);
                return;
            }
        }
        match answer {
            Answer::Granted { .. } | Answer::Denied { .. } => {
                account.owner = Some((from, now + OWNER_TIME));
                (account.position, account.hops, account.is_fallback) = (0, 0, false);
                if let Answer::Denied { wait_ms } = answer {
                    account.deny(now, Span::from_millis(wait_ms.into()));
                }
            }
            Answer::Pending => {
                account.owner = Some((from, now + OWNER_TIME));
                account.next_ask_at = now + PENDING_DELAY;
            }
            Answer::Elsewhere(owner) => {
                let owner = owner.filter(|owner| *owner != from);
                account.owner = owner.map(|owner| (owner, now + OWNER_TIME));
                account.hops += 1;
                match owner {
                    Some(owner) => {
                        account.is_fallback = false;
                        self.muted.remove(&owner);
                    }
                    None => account.position += 1,
                }
                if account.hops > MAX_HOPS {
                    account.hops = 0;
                    account.owner = None;
                    account.next_ask_at = now + PENDING_DELAY;
                } else if account.waiting > 0 {
                    let (needed, wanted) = (account.waiting, account.wanted());
                    self.ask(now, tenant, needed, wanted);
                }
            }
            Answer::Settling { wait_ms } => {
                account.is_fallback = true;
                account.owner = None;
                self.settling.insert(from, now + Span::from_millis(wait_ms.into()));
                if account.waiting > 0 && from != own {
                    let (needed, wanted) = (account.waiting, account.wanted());
                    self.ask(now, tenant, needed, wanted);
                } else {
                    account.next_ask_at = now + PENDING_DELAY;
                }
            }
            Answer::Free | Answer::Held | Answer::Released { .. } => {}
        }
        self.news.push(tenant);
    }

    /// Handles time-outs. Called every [`POLL_INTERVAL`].
    pub fn poll(&mut self, now: Instant) {
        let is_late = |account: &Account| {
            let timeout = if account.is_fallback { FALLBACK_TIMEOUT } else { ASK_TIMEOUT };
            account.open_ask.is_some_and(|open| now.since(open.sent_at) >= timeout)
        };
        let is_due = |account: &Account| {
            account.open_ask.is_none() && account.waiting > 0 && now >= account.next_ask_at
        };
        let accounts = self.accounts.iter();
        let mut tenants: Vec<u32> = accounts
            .filter(|(_, account)| is_late(account) || is_due(account))
            .map(|(&tenant, _)| tenant)
            .collect();
        // The iteration order of the hash map depends on its history.
        tenants.sort_unstable();
        let mut is_missed = FxHashSet::default();
        for tenant in tenants {
            let Some(account) = self.accounts.get_mut(&tenant) else { continue };
            if let Some(open) = account.open_ask {
                let missed = self.missed.entry(open.to).or_default();
                // Asks of several tenants are lost with one datagram.
                *missed += u32::from(is_missed.insert(open.to));
                let limit = if account.is_fallback { FALLBACK_TRIES } else { MAX_TRIES };
                if open.tries >= limit || *missed >= limit {
                    self.muted.insert(open.to, now + MUTE_TIME);
                    account.open_ask = None;
                    account.owner = None;
                    account.is_fallback = true;
                }
            }
            let (needed, wanted) = (account.waiting, account.wanted());
            if needed > 0 {
                self.ask(now, tenant, needed, wanted);
            } else {
                account.open_ask = None;
            }
        }
        self.muted.retain(|_, until| now < *until);
        self.settling.retain(|_, until| now < *until);
        let (ledger, mut context, outbox) = self.ledger(now);
        ledger.poll(now, &mut context, outbox);
    }

    /// The messages to be sent, each with its receiver. Called after each other call.
    pub fn take_messages(&mut self) -> Vec<(IpAddr, Message)> {
        let mut batches = Vec::new();
        let outbox = &mut self.outbox;
        batch(std::mem::take(&mut outbox.requests), Message::Requests, &mut batches);
        batch(std::mem::take(&mut outbox.replies), Message::Replies, &mut batches);
        batches
    }
}
