//! Owners of pools (docs/design.md, D1).

use ebonypass_core::credit::{self, Granter};
use ebonypass_core::id::{CentreId, Key, RegionId, ServiceId, TargetId};
use ebonypass_core::pool::{Config, Pool, Spec, Ticket};
use ebonypass_core::time::{Instant, Span};
use rustc_hash::FxHashMap;

use crate::steer::Steer;
use crate::strategy::{RequestId, pool_targets};

/// Time after which another entry owns the pools of a dead one (docs/design.md, section 8).
pub(crate) const TAKEOVER: Span = Span::from_secs(2);

/// The owner of a pool and what it knows.
#[derive(Debug)]
pub(crate) struct Post {
    pub(crate) service: ServiceId,
    pub(crate) region: RegionId,
    pub(crate) targets: Vec<TargetId>,
    pub(crate) pool: Option<Pool>,
    pub(crate) owner: CentreId,
    pub(crate) takeover_at: Option<Instant>,
    pub(crate) tickets: FxHashMap<Ticket, RequestId>,
    /// Credit granted to the owners in other regions.
    pub(crate) granter: Granter,
    /// Credit granted by each other region.
    pub(crate) wallets: Vec<credit::Balance>,
    /// Until when the pool may hold work of clients of other regions that came here directly.
    pub(crate) visited_until: Instant,
    /// How long replies to each other region wait for the link.
    pub(crate) backlogs: Vec<Span>,
}

impl Steer<'_> {
    pub(crate) fn new_post(&self, service: ServiceId, region: RegionId) -> Post {
        let centres = self.centres(region);
        Post {
            service,
            region,
            targets: pool_targets(self.document, service, region),
            pool: None,
            owner: centres[service.index() % centres.len()],
            takeover_at: None,
            tickets: FxHashMap::default(),
            granter: Granter::new(),
            wallets: vec![credit::Balance::new(); self.document.regions.len()],
            visited_until: Instant::ZERO,
            backlogs: vec![Span::ZERO; self.document.regions.len()],
        }
    }

    pub(crate) fn new_pool(&self, post: usize, now: Instant) -> Pool {
        let mut pool = Pool::new(Config::default());
        for &target in &self.posts[post].targets {
            pool.set_target(now, target, self.spec(target));
            let is_distant = self.document.targets[target].centre != self.posts[post].owner;
            pool.set_prefetch(now, target, is_distant);
        }
        pool
    }

    pub(crate) fn spec(&self, target: TargetId) -> Spec {
        let slots = self.document.targets[target].slots;
        Spec { slots, state: self.states[target.index()] }
    }

    fn centres(&self, region: RegionId) -> Vec<CentreId> {
        let centres = self.document.centres.iter();
        centres.filter(|(_, centre)| centre.region == region).map(|(key, _)| key).collect()
    }

    pub(crate) fn post(&self, service: ServiceId, region: RegionId) -> usize {
        service.index() * self.document.regions.len() + region.index()
    }

    pub(crate) fn post_of(&self, target: TargetId) -> usize {
        let spec = &self.document.targets[target];
        self.post(spec.service, self.document.region_of(spec.centre))
    }

    pub(crate) fn delay(&self, from: RegionId, to: RegionId) -> Option<Span> {
        self.document.link(from, to).map(|link| link.delay)
    }

    /// Gives pools without an owner to the next entry alive.
    pub(crate) fn take_over(&mut self, now: Instant) {
        for index in 0..self.posts.len() {
            if self.posts[index].takeover_at.is_none_or(|at| at > now) {
                continue;
            }
            self.posts[index].takeover_at = None;
            let centres = self.centres(self.posts[index].region);
            let alive = centres.into_iter().find(|centre| self.alive[centre.index()]);
            if let Some(owner) = alive {
                self.posts[index].owner = owner;
                self.posts[index].pool = Some(self.new_pool(index, now));
            }
        }
    }

    /// Tells the pool of `post` whether it serves its own region only.
    pub(crate) fn note_exclusive(&mut self, now: Instant, post: usize) {
        let Post { granter, visited_until, pool, .. } = &mut self.posts[post];
        let is_exclusive = now >= *visited_until && !granter.has_outstanding(now);
        if let Some(pool) = pool {
            pool.set_own_region_only(now, is_exclusive);
        }
    }
}
