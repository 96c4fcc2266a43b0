//! Forwarding to other regions, and the credit that it requires (docs/design.md, D7).

use ebonypass_core::credit::{CREDIT_LIFETIME, Destination, RemoteRegion, choose_destination};
use ebonypass_core::id::{EntryId, Key, RegionId};
use ebonypass_core::time::{Instant, Span};

use crate::link::Links;
use crate::shard::Shard;
use crate::steering;
use crate::strategy::{Command, RequestId};

/// If replies wait longer than this for the link, the credit of the receiving region is limited to
/// its running requests, so that their replies still meet the deadlines. Credit is renewed every
/// 100 ms; with a lower limit the link would be idle between two grants.
const CREDIT_FREEZE_BACKLOG: Span = Span::from_millis(100);

/// If replies wait longer than this for the link, the receiving region gets no credit.
const CREDIT_STOP_BACKLOG: Span = Span::from_millis(250);

/// Planned shifts are not modelled: the shift of every region is 0 percent, which no random number
/// selects.
const RANDOM_PERCENT: u32 = 0;

/// A message between the owners of a service's pools in two regions. `to` and `from` are the indices
/// of the receiving and the sending shard.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Message {
    /// Requests credit.
    CreditRequest { to: usize, from: usize, round: u64 },
    /// Grants credit, the answer to the request of the same round.
    CreditGrant { to: usize, from: usize, round: u64, count: u32 },
}

impl steering::Entries<'_> {
    /// Forwards the request if another region serves it sooner than the home pool, whose expected
    /// wait is `home_wait` (`None` if the home pool refused the request). Returns whether the request
    /// was forwarded.
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

    /// Returns the other regions, those with the most unused credit first.
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

    /// Requests credit from the pools of the same service in the other regions.
    pub(crate) fn request_credit(&mut self, now: Instant, from: usize) {
        if self.shards[from].pool.is_none() {
            return;
        }
        let (service, region) = (self.shards[from].service, self.shards[from].region);
        for (other, _) in self.document.regions.iter() {
            let Some(delay) = self.link_delay(region, other) else { continue };
            let round = self.shards[from].balances[other.index()].request(now);
            let to = self.shard_index(service, other);
            self.messages.push(now + delay, Message::CreditRequest { to, from, round });
        }
    }

    /// Updates how long replies to the other regions wait for the links.
    pub(crate) fn update_backlogs(&mut self, now: Instant, shard: usize, links: &Links) {
        let region = self.shards[shard].region;
        for (other, _) in self.document.regions.iter() {
            self.shards[shard].backlogs[other.index()] = links.backlog(now, region, other);
        }
    }

    /// Answers a credit request of the shard `from`.
    fn grant_credit(&mut self, now: Instant, shard: usize, from: usize, round: u64) {
        let to = self.shards[from].region;
        let Some(delay) = self.link_delay(self.shards[shard].region, to) else { return };
        let Some(free_slots) = self.shards[shard].pool.as_ref().map(|pool| pool.free_slots(now))
        else {
            return;
        };
        let credit_limit = self.credit_limit(shard, to, free_slots);
        let count = self.shards[shard].granter.grant(now, owner_id(to), credit_limit, free_slots);
        self.messages
            .push(now + delay, Message::CreditGrant { to: from, from: shard, round, count });
    }

    /// Returns the maximum number of requests that the region `to` may have in the pool of `shard`:
    /// its running requests plus a share of the `free_slots`. The share grows with the number of
    /// running requests, so regions that use their credit get more.
    fn credit_limit(&self, shard: usize, to: RegionId, free_slots: u32) -> u32 {
        let Shard { region, granter, backlogs, .. } = &self.shards[shard];
        let regions = self.document.regions.iter().map(|(other, _)| other);
        let others: Vec<RegionId> =
            regions.filter(|&other| self.link_delay(*region, other).is_some()).collect();
        let running = |other: RegionId| granter.in_flight(owner_id(other));
        let weight_sum: u32 = others.iter().map(|&other| running(other) + 1).sum();
        let share = |other: RegionId| free_slots * (running(other) + 1) / weight_sum;
        let remainder = free_slots - others.iter().map(|&other| share(other)).sum::<u32>();
        let gets_remainder = others[self.ticks % others.len()] == to;
        let share = share(to) + if gets_remainder { remainder } else { 0 };
        match backlogs[to.index()] {
            backlog if backlog > CREDIT_STOP_BACKLOG => 0,
            backlog if backlog > CREDIT_FREEZE_BACKLOG => running(to),
            _ => running(to) + share,
        }
    }

    pub(crate) fn handle_messages(&mut self, now: Instant) {
        while self.messages.next_at().is_some_and(|at| at <= now)
            && let Some((_, message)) = self.messages.pop()
        {
            match message {
                Message::CreditRequest { to, from, round } => {
                    self.grant_credit(now, to, from, round)
                }
                Message::CreditGrant { to, from, round, count } => {
                    let region = self.shards[from].region;
                    self.shards[to].balances[region.index()].handle_credit(
                        round,
                        count,
                        CREDIT_LIFETIME,
                    );
                }
            }
        }
    }
}

/// Returns the ID under which other regions account for the owner of a pool in `region`.
pub(crate) fn owner_id(region: RegionId) -> EntryId {
    EntryId::from_index(region.index())
}
