//! Work for other regions and the credit that it needs (docs/design.md, D7).

use ebonypass_core::credit::{CREDIT_LIFETIME, Destination, RemoteRegion, choose_destination};
use ebonypass_core::id::{EntryId, Key, RegionId};
use ebonypass_core::time::{Instant, Span};

use crate::link::Links;
use crate::post::Post;
use crate::steer::Steer;
use crate::strategy::{Command, RequestId};

/// A region whose replies wait this long for the link grants no more than it holds, so that the
/// replies it owes stay within their deadlines. Credit is renewed every 100 ms; with a shorter
/// backlog the link would run idle between two grants.
const BACKLOG_HOLD: Span = Span::from_millis(100);

/// A region whose replies wait this long grants nothing.
const BACKLOG_STOP: Span = Span::from_millis(250);

/// Planned shifts are not modelled, so no request is rolled into one.
const NO_SHIFT_ROLL: u32 = 0;

/// A message between the owners of a service's pools in two regions.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Frame {
    /// `from` asks the owner of `post` for credit.
    Need { post: usize, from: usize, round: u64 },
    /// `from` grants credit to the owner of `post`.
    Credit { post: usize, from: usize, round: u64, count: u32 },
}

impl Steer<'_> {
    /// Forwards the request to another region if that is better than `home_wait` at home, nothing
    /// if the home pool does not run it. Tells whether it did.
    pub(crate) fn spill(
        &mut self,
        now: Instant,
        request: RequestId,
        home_wait: Option<Span>,
        out: &mut Vec<Command>,
    ) -> bool {
        let Some(record) = self.record(request) else { return false };
        let (home, deadline) = (record.home, record.metadata.deadline);
        let remotes = self.remotes(now, home, deadline);
        let Destination::Remote(region) = choose_destination(NO_SHIFT_ROLL, home_wait, &remotes)
        else {
            return false;
        };
        if !self.posts[home].wallets[region.index()].try_start(now) {
            return false;
        }
        let to = self.posts[self.post(self.posts[home].service, region)].owner;
        if let Some(record) = self.record_mut(request) {
            record.away = Some(region);
        }
        out.push(Command::Forward { request, to });
        true
    }

    /// The other regions, those with the most unused credit first.
    fn remotes(&self, now: Instant, home: usize, deadline: Instant) -> Vec<RemoteRegion> {
        let post = &self.posts[home];
        let remote = |region: RegionId| {
            let round_trip = self.delay(post.region, region)?.times(2);
            let available = post.wallets[region.index()].available(now);
            let is_in_time = now + round_trip < deadline;
            Some(RemoteRegion { region, percent: 0, available, is_in_time, round_trip })
        };
        let regions = self.document.regions.iter().map(|(region, _)| region);
        let mut remotes: Vec<RemoteRegion> = regions.filter_map(remote).collect();
        remotes.sort_by_key(|remote| std::cmp::Reverse(remote.available));
        remotes
    }

    /// Asks the pools of the service in the other regions for credit.
    pub(crate) fn ask(&mut self, now: Instant, from: usize) {
        if self.posts[from].pool.is_none() {
            return;
        }
        let (service, region) = (self.posts[from].service, self.posts[from].region);
        for (other, _) in self.document.regions.iter() {
            let Some(delay) = self.delay(region, other) else { continue };
            let round = self.posts[from].wallets[other.index()].request(now);
            let post = self.post(service, other);
            self.frames.push(now + delay, Frame::Need { post, from, round });
        }
    }

    /// Notes how long replies from the region of `post` to the others wait for their links.
    pub(crate) fn note_backlog(&mut self, now: Instant, post: usize, links: &Links) {
        let region = self.posts[post].region;
        for (other, _) in self.document.regions.iter() {
            self.posts[post].backlogs[other.index()] = links.backlog(now, region, other);
        }
    }

    /// Answers a question for credit of the owner of the pool `from`.
    fn grant(&mut self, now: Instant, post: usize, from: usize, round: u64) {
        let to = self.posts[from].region;
        let Some(delay) = self.delay(self.posts[post].region, to) else { return };
        let Some(free) = self.posts[post].pool.as_ref().map(|pool| pool.free_slots(now)) else {
            return;
        };
        let wanted = self.wanted(post, to, free);
        let count = self.posts[post].granter.grant(now, owner_of(to), wanted, free);
        self.frames.push(now + delay, Frame::Credit { post: from, from: post, round, count });
    }

    /// The most that the owner in `to` may hold of the pool of `post`, which has `free` slots: what
    /// it holds and a share of the free slots. A region that uses its credit gets a larger share.
    fn wanted(&self, post: usize, to: RegionId, free: u32) -> u32 {
        let Post { region, granter, backlogs, .. } = &self.posts[post];
        let regions = self.document.regions.iter().map(|(other, _)| other);
        let others: Vec<RegionId> =
            regions.filter(|&other| self.delay(*region, other).is_some()).collect();
        let held = |other: RegionId| granter.running(owner_of(other));
        let weights: u32 = others.iter().map(|&other| held(other) + 1).sum();
        let share = |other: RegionId| free * (held(other) + 1) / weights;
        let rest = free - others.iter().map(|&other| share(other)).sum::<u32>();
        let is_turn = others[self.ticks % others.len()] == to;
        let share = share(to) + if is_turn { rest } else { 0 };
        match backlogs[to.index()] {
            backlog if backlog > BACKLOG_STOP => 0,
            backlog if backlog > BACKLOG_HOLD => held(to),
            _ => held(to) + share,
        }
    }

    pub(crate) fn take_frames(&mut self, now: Instant) {
        while self.frames.next_at().is_some_and(|at| at <= now)
            && let Some((_, frame)) = self.frames.pop()
        {
            match frame {
                Frame::Need { post, from, round } => self.grant(now, post, from, round),
                Frame::Credit { post, from, round, count } => {
                    let region = self.posts[from].region;
                    self.posts[post].wallets[region.index()].handle_credit(
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
pub(crate) fn owner_of(region: RegionId) -> EntryId {
    EntryId::from_index(region.index())
}
