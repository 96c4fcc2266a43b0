//! Work for other regions and the credit that it needs (docs/design.md, D7).

use ebonypass_core::credit::{CREDIT_LIFETIME, Destination, RemoteRegion, choose_destination};
use ebonypass_core::id::{EntryId, Key, RegionId};
use ebonypass_core::time::{Instant, Span};

use crate::link::Links;
use crate::shard::Shard;
use crate::steering;
use crate::strategy::{Command, RequestId};

/// A region whose replies wait this long for the link grants no more than it holds, so that the
/// replies it owes stay within their deadlines. Credit is renewed every 100 ms; with a shorter
/// backlog the link would run idle between two grants.
const CREDIT_FREEZE_BACKLOG: Span = Span::from_millis(100);

/// A region whose replies wait this long grants nothing.
const CREDIT_STOP_BACKLOG: Span = Span::from_millis(250);

/// Planned shifts are not modelled, so no request is rolled into one.
const RANDOM_PERCENT: u32 = 0;

/// A message between the owners of a service's pools in two regions.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Message {
    /// `from` asks the owner of `post` for credit.
    CreditRequest { shard: usize, from: usize, round: u64 },
    /// `from` grants credit to the owner of `post`.
    CreditGrant { shard: usize, from: usize, round: u64, count: u32 },
}

impl steering::Entries<'_> {
    /// Forwards the request to another region if that is better than `home_wait` at home, nothing
    /// if the home pool does not run it. Tells whether it did.
    pub(crate) fn forward_request(
        &mut self,
        now: Instant,
        request: RequestId,
        home_wait: Option<Span>,
        out: &mut Vec<Command>,
    ) -> bool {
        let Some(state) = self.request_state(request) else { return false };
        let (home_shard, deadline) = (state.home_shard, state.metadata.deadline);
        let remotes = self.remotes(now, home_shard, deadline);
        let Destination::Remote(region) = choose_destination(RANDOM_PERCENT, home_wait, &remotes)
        else {
            return false;
        };
        if !self.shards[home_shard].balances[region.index()].try_start(now) {
            return false;
        }
        let to = self.shards[self.shard_index(self.shards[home_shard].service, region)].owner;
        if let Some(state) = self.request_state_mut(request) {
            state.forwarded_to = Some(region);
        }
        out.push(Command::Forward { request, to });
        true
    }

    /// The other regions, those with the most unused credit first.
    fn remotes(&self, now: Instant, home_shard: usize, deadline: Instant) -> Vec<RemoteRegion> {
        let shard = &self.shards[home_shard];
        let remote = |region: RegionId| {
            let round_trip = self.link_delay(shard.region, region)?.times(2);
            let available = shard.balances[region.index()].available(now);
            let is_in_time = now + round_trip < deadline;
            Some(RemoteRegion { region, percent: 0, available, is_in_time, round_trip })
        };
        let regions = self.document.regions.iter().map(|(region, _)| region);
        let mut remotes: Vec<RemoteRegion> = regions.filter_map(remote).collect();
        remotes.sort_by_key(|remote| std::cmp::Reverse(remote.available));
        remotes
    }

    /// Asks the pools of the service in the other regions for credit.
    pub(crate) fn request_credit(&mut self, now: Instant, from: usize) {
        if self.shards[from].pool.is_none() {
            return;
        }
        let (service, region) = (self.shards[from].service, self.shards[from].region);
        for (other, _) in self.document.regions.iter() {
            let Some(delay) = self.link_delay(region, other) else { continue };
            let round = self.shards[from].balances[other.index()].request(now);
            let shard = self.shard_index(service, other);
            self.messages.push(now + delay, Message::CreditRequest { shard, from, round });
        }
    }

    /// Notes how long replies from the region of `post` to the others wait for their links.
    pub(crate) fn update_backlogs(&mut self, now: Instant, shard: usize, links: &Links) {
        let region = self.shards[shard].region;
        for (other, _) in self.document.regions.iter() {
            self.shards[shard].backlogs[other.index()] = links.backlog(now, region, other);
        }
    }

    /// Answers a question for credit of the owner of the pool `from`.
    fn grant_credit(&mut self, now: Instant, shard: usize, from: usize, round: u64) {
        let to = self.shards[from].region;
        let Some(delay) = self.link_delay(self.shards[shard].region, to) else { return };
        let Some(free) = self.shards[shard].pool.as_ref().map(|pool| pool.free_slots(now)) else {
            return;
        };
        let credit_limit = self.credit_limit(shard, to, free);
        let count = self.shards[shard].granter.grant(now, owner_id(to), credit_limit, free);
        self.messages
            .push(now + delay, Message::CreditGrant { shard: from, from: shard, round, count });
    }

    /// The most that the owner in `to` may hold of the pool of `post`, which has `free` slots: what
    /// it holds and a share of the free slots. A region that uses its credit gets a larger share.
    fn credit_limit(&self, shard: usize, to: RegionId, free: u32) -> u32 {
        let Shard { region, granter, backlogs, .. } = &self.shards[shard];
        let regions = self.document.regions.iter().map(|(other, _)| other);
        let others: Vec<RegionId> =
            regions.filter(|&other| self.link_delay(*region, other).is_some()).collect();
        let held = |other: RegionId| granter.running(owner_id(other));
        let weights: u32 = others.iter().map(|&other| held(other) + 1).sum();
        let share = |other: RegionId| free * (held(other) + 1) / weights;
        let remainder = free - others.iter().map(|&other| share(other)).sum::<u32>();
        let gets_remainder = others[self.ticks % others.len()] == to;
        let share = share(to) + if gets_remainder { remainder } else { 0 };
        match backlogs[to.index()] {
            backlog if backlog > CREDIT_STOP_BACKLOG => 0,
            backlog if backlog > CREDIT_FREEZE_BACKLOG => held(to),
            _ => held(to) + share,
        }
    }

    pub(crate) fn handle_messages(&mut self, now: Instant) {
        while self.messages.next_at().is_some_and(|at| at <= now)
            && let Some((_, message)) = self.messages.pop()
        {
            match message {
                Message::CreditRequest { shard, from, round } => {
                    self.grant_credit(now, shard, from, round)
                }
                Message::CreditGrant { shard, from, round, count } => {
                    let region = self.shards[from].region;
                    self.shards[shard].balances[region.index()].handle_credit(
                        round,
                        count,
                        CREDIT_LIFETIME,
                    );
                }
            }
        }
    }
}

/// The owner of a service's pool in `region`, as the other owners know it.
pub(crate) fn owner_id(region: RegionId) -> EntryId {
    EntryId::from_index(region.index())
}
