//! The quotas that this machine owns, or is taking over.

use std::net::IpAddr;

use rustc_hash::FxHashMap;

use super::bucket::Bucket;
use super::message::{Answer, Ask, Demand, Request};
use super::{Context, Limit, Outbox};
use crate::time::{Instant, Span};

/// A claim that some machines have not answered by then goes through without them.
const CLAIM_TIMEOUT: Span = Span::from_millis(100);
/// Claims are repeated after this time, for lost messages.
const CLAIM_REPEAT: Span = Span::from_millis(45);
/// Further machines that are asked if no machine of the order answers a claim.
const WITNESSES: usize = 12;
/// An owner that does not rank first asks those before it at this interval whether they own the
/// quota too, since a claim may have gone through while messages were lost.
const VERIFY_INTERVAL: Span = Span::from_secs(1);
/// Time for which a machine that may not own quotas is not asked again, at least: others hear that
/// it is not ready within a few rounds.
const MIN_SETTLING: Span = Span::from_millis(500);
/// Time for which a machine that said that it owns the quota counts as its owner.
const HOLDER_TIME: Span = Span::from_secs(1);
/// Part of the allowance with which a new owner starts if the level of the bucket is unknown: four
/// tokens of 20, which matter to tenants with few requests per second.
const START_SHARE: f64 = 0.2;
/// Part of the allowance by which a bucket is larger than the burst: 6 tokens of 20.
const CAPACITY_SHARE: f64 = 0.3;
/// Further tokens are granted only while more than this part of the bucket is left.
const SPARE_PART: f64 = 0.5;

#[derive(Debug)]
enum Role {
    /// Does not own the quota; the machine that said last that it does, and when.
    Idle(Option<(IpAddr, Instant)>),
    /// Asks the machines in `waiting` whether they own the quota.
    Claiming { since: Instant, sent_at: Instant, waiting: Vec<IpAddr>, has_answer: bool },
    /// Owns the quota.
    Active { verified_at: Instant },
}

#[derive(Debug)]
struct Entry {
    limit: Limit,
    bucket: Bucket,
    /// Whether the level of the bucket is known from an ownership that was not lost.
    is_level_known: bool,
    role: Role,
}

impl Entry {
    /// Size of the bucket. The addition makes up for leases that are lost or not used.
    fn capacity(&self, allowance: f64) -> f64 {
        self.limit.burst.max(1.0) + CAPACITY_SHARE * allowance
    }

    fn fill(&mut self, now: Instant, context: &Context<'_>) {
        let rate = self.limit.rate_per_s * context.fleet.rate_factor();
        let capacity = self.capacity(context.allowance);
        self.bucket.fill(now, rate, capacity);
    }
}

/// The ledger of one machine.
#[derive(Debug, Default)]
pub(super) struct Ledger {
    entries: FxHashMap<u32, Entry>,
    /// Take-overs after the previous owner did not answer.
    pub(super) takeovers: u64,
}

impl Ledger {
    /// Replaces the limits.
    pub(super) fn set_limits(
        &mut self,
        now: Instant,
        limits: &FxHashMap<u32, Limit>,
        allowance: f64,
    ) {
        self.entries.retain(|tenant, _| limits.contains_key(tenant));
        for (&tenant, &limit) in limits {
            let entry = self.entries.entry(tenant).or_insert_with(|| Entry {
                limit,
                bucket: Bucket::new(now, 0.0),
                is_level_known: false,
                role: Role::Idle(None),
            });
            entry.limit = limit;
            entry.bucket.level = entry.bucket.level.min(entry.capacity(allowance));
        }
    }

    /// Whether this machine owns the quota, and the fraction of the bucket that is used.
    pub(super) fn usage(&self, allowance: f64) -> impl Iterator<Item = (u32, f64)> {
        let active = |entry: &Entry| matches!(entry.role, Role::Active { .. });
        self.entries.iter().filter(move |(_, entry)| active(entry)).map(move |(&tenant, entry)| {
            (tenant, (1.0 - entry.bucket.level / entry.capacity(allowance)).clamp(0.0, 1.0))
        })
    }

    /// Grants of quotas must be confirmed by others first, after this machine was without contact.
    pub(super) fn suspend(&mut self, is_level_known: bool) {
        for entry in self.entries.values_mut() {
            if !matches!(entry.role, Role::Idle(_)) {
                entry.role = Role::Idle(None);
            }
            entry.is_level_known &= is_level_known;
        }
    }

    /// Answers an ask.
    pub(super) fn ask(
        &mut self,
        now: Instant,
        tenant: u32,
        ask: Ask,
        context: &mut Context<'_>,
        outbox: &mut Outbox,
    ) -> Answer {
        let Some(entry) = self.entries.get_mut(&tenant) else { return Answer::Elsewhere(None) };
        if !context.may_own() {
            entry.role = Role::Idle(None);
            let wait = context.settling.max(MIN_SETTLING);
            return Answer::Settling { wait_ms: wait.as_millis() as u16 };
        }
        match &entry.role {
            Role::Active { .. } if context.has_contact => {}
            Role::Claiming { .. } => return Answer::Pending,
            Role::Idle(owner) => {
                let first = context.order(tenant).first().copied();
                let is_recent = |(_, at): &(IpAddr, Instant)| now.since(*at) < HOLDER_TIME;
                let holder = owner.filter(is_recent).map(|(address, _)| address);
                let is_first = first == Some(context.own);
                if holder.is_some() || (!is_first && !ask.is_fallback) {
                    return Answer::Elsewhere(holder.or(first));
                }
                Ledger::claim(now, tenant, entry, context, outbox);
                self.advance(now, tenant, context);
                return self.answer_if_active(now, tenant, ask, context);
            }
            Role::Active { .. } => {
                Ledger::claim(now, tenant, entry, context, outbox);
                return Answer::Pending;
            }
        }
        self.answer_if_active(now, tenant, ask, context)
    }

    fn answer_if_active(
        &mut self,
        now: Instant,
        tenant: u32,
        ask: Ask,
        context: &Context<'_>,
    ) -> Answer {
        let Some(entry) = self.entries.get_mut(&tenant) else { return Answer::Elsewhere(None) };
        if !matches!(entry.role, Role::Active { .. }) {
            return Answer::Pending;
        }
        let factor = context.fleet.rate_factor();
        entry.fill(now, context);
        let capacity = entry.capacity(context.allowance);
        entry.bucket.level = (entry.bucket.level + f64::from(ask.returned)).min(capacity);
        let mut count = entry.bucket.take(ask.needed);
        let spare = (entry.bucket.level - capacity * SPARE_PART).max(0.0) as u16;
        count += entry.bucket.take(ask.wanted.min(spare));
        if count > 0 {
            return Answer::Granted { sent_ms: ask.sent_ms, count };
        }
        let rate = entry.limit.rate_per_s * factor;
        let wait_ms = ((1.0 - entry.bucket.level) * 1e3 / rate).ceil();
        Answer::Denied { wait_ms: wait_ms.clamp(1.0, f64::from(u16::MAX)) as u16 }
    }

    /// Starts a claim: asks all other machines that may own the quota. One that ranks much lower may
    /// own it after many machines were out of reach.
    fn claim(
        now: Instant,
        tenant: u32,
        entry: &mut Entry,
        context: &mut Context<'_>,
        outbox: &mut Outbox,
    ) {
        let own = context.own;
        let order = context.order(tenant).to_vec();
        let mut waiting = order.clone();
        if matches!(entry.role, Role::Claiming { .. }) {
            // None has answered: all others of the order may be gone.
            let witnesses = context.fleet.sample(now.as_micros() as usize, WITNESSES);
            waiting.extend(witnesses.filter(|address| !order.contains(address)));
        }
        waiting.retain(|address| *address != own);
        for &address in &waiting {
            outbox.request(address, Request { tenant, demand: Demand::Ownership });
        }
        entry.role = Role::Claiming { since: now, sent_at: now, waiting, has_answer: false };
    }

    /// Completes the claim of a quota if all machines have answered, or if one has and the time is
    /// up. A claim without any answer is not completed: this machine may be cut off while another
    /// owns the quota.
    fn advance(&mut self, now: Instant, tenant: u32, context: &Context<'_>) {
        let Some(entry) = self.entries.get_mut(&tenant) else { return };
        let Role::Claiming { since, waiting, has_answer, .. } = &entry.role else { return };
        let is_complete = waiting.is_empty();
        let is_over = *has_answer && now.since(*since) >= CLAIM_TIMEOUT;
        if !context.has_contact || !(is_complete || is_over) {
            return;
        }
        self.takeovers += u64::from(!is_complete);
        if !entry.is_level_known {
            let level = (START_SHARE * context.allowance).min(entry.capacity(context.allowance));
            entry.bucket = Bucket::new(now, level);
        }
        entry.is_level_known = true;
        entry.role = Role::Active { verified_at: now };
    }

    /// Answers a claim of ownership by `from`.
    pub(super) fn handle_claim(
        &mut self,
        now: Instant,
        tenant: u32,
        from: IpAddr,
        context: &mut Context<'_>,
    ) -> Answer {
        let Some(entry) = self.entries.get_mut(&tenant) else { return Answer::Free };
        let (own, has_contact, may_own) = (context.own, context.has_contact, context.may_own());
        let order = context.order(tenant);
        let rank = |address| order.iter().position(|other| *other == address);
        let is_before = match (rank(from), rank(own)) {
            (Some(from), Some(own)) => from < own,
            (from, _) => from.is_some(),
        };
        let is_first = rank(own) == Some(0);
        match entry.role {
            Role::Active { .. } if is_before => {
                entry.fill(now, context);
                entry.role = Role::Idle(Some((from, now)));
                entry.is_level_known = false;
                Answer::Released { level: entry.bucket.level as f32 }
            }
            Role::Active { .. } if has_contact => Answer::Held,
            Role::Claiming { .. } if is_before => {
                entry.role = Role::Idle(Some((from, now)));
                entry.is_level_known = false;
                Answer::Free
            }
            Role::Claiming { .. } => Answer::Held,
            Role::Idle(_) if may_own && is_first => Answer::Held,
            Role::Active { .. } | Role::Idle(_) => Answer::Free,
        }
    }

    /// Processes an answer to this machine's claim.
    pub(super) fn handle_claim_answer(
        &mut self,
        now: Instant,
        tenant: u32,
        from: IpAddr,
        answer: Answer,
        context: &Context<'_>,
    ) {
        let Some(entry) = self.entries.get_mut(&tenant) else { return };
        match answer {
            Answer::Held if !matches!(entry.role, Role::Idle(_)) => {
                entry.role = Role::Idle(Some((from, now)));
                entry.is_level_known = false;
            }
            Answer::Free | Answer::Released { .. } => {
                let Role::Claiming { waiting, has_answer, .. } = &mut entry.role else { return };
                waiting.retain(|address| *address != from);
                *has_answer = true;
                if let Answer::Released { level } = answer {
                    let level = f64::from(level).clamp(0.0, entry.capacity(context.allowance));
                    entry.bucket = Bucket::new(now, level);
                    entry.is_level_known = true;
                }
                self.advance(now, tenant, context);
            }
            _ => {}
        }
    }

    /// Claims the quotas that this machine is to own, repeats and completes claims.
    pub(super) fn poll(&mut self, now: Instant, context: &mut Context<'_>, outbox: &mut Outbox) {
        if !context.may_own() {
            for entry in self.entries.values_mut() {
                entry.role = Role::Idle(None);
            }
            return;
        }
        let tenants: Vec<u32> = self.entries.keys().copied().collect();
        for tenant in tenants {
            let Some(entry) = self.entries.get_mut(&tenant) else { continue };
            match &mut entry.role {
                Role::Idle(_) => {
                    let first = context.order(tenant).first().copied();
                    if context.has_contact && first == Some(context.own) {
                        Ledger::claim(now, tenant, entry, context, outbox);
                        self.advance(now, tenant, context);
                    }
                }
                Role::Claiming { since, .. } if !context.has_contact => {
                    if now.since(*since) >= VERIFY_INTERVAL {
                        Ledger::claim(now, tenant, entry, context, outbox);
                    }
                }
                Role::Claiming { since, has_answer: false, .. }
                    if now.since(*since) >= CLAIM_TIMEOUT =>
                {
                    Ledger::claim(now, tenant, entry, context, outbox);
                }
                Role::Claiming { sent_at, waiting, .. } => {
                    if now.since(*sent_at) >= CLAIM_REPEAT {
                        *sent_at = now;
                        for &address in waiting.iter() {
                            outbox.request(address, Request { tenant, demand: Demand::Ownership });
                        }
                    }
                    self.advance(now, tenant, context);
                }
                Role::Active { verified_at } => {
                    let is_due = now.since(*verified_at) >= VERIFY_INTERVAL;
                    if is_due {
                        *verified_at = now;
                    }
                    entry.fill(now, context);
                    if !is_due {
                        continue;
                    }
                    let own = context.own;
                    let order = context.order(tenant);
                    let before = order.iter().take_while(|address| **address != own);
                    for &address in before {
                        outbox.request(address, Request { tenant, demand: Demand::Ownership });
                    }
                }
            }
        }
    }
}
