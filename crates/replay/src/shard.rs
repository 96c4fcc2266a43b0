//! Shards and their ownership (docs/design.md, D1).

use ebonypass_core::credit::{self, Granter};
use ebonypass_core::id::{CentreId, Key, RegionId, ServiceId, TargetId};
use ebonypass_core::pool::{Config, Pool, Spec, Ticket};
use ebonypass_core::time::{Instant, Span};
use rustc_hash::FxHashMap;

use crate::steering;
use crate::strategy::{RequestId, pool_targets};

/// Time from the failure of an owner until another entry takes over (docs/design.md, section 8).
pub(crate) const TAKEOVER_DELAY: Span = Span::from_secs(2);

/// A shard: the pool of one service in one region, with its owner and the state of the owner.
#[derive(Debug)]
pub(crate) struct Shard {
    pub(crate) service: ServiceId,
    pub(crate) region: RegionId,
    pub(crate) targets: Vec<TargetId>,
    /// `None` while there is no owner.
    pub(crate) pool: Option<Pool>,
    /// The data centre whose entries own the pool.
    pub(crate) owner: CentreId,
    pub(crate) takeover_at: Option<Instant>,
    pub(crate) tickets: FxHashMap<Ticket, RequestId>,
    /// Credit granted to the owners in other regions.
    pub(crate) granter: Granter,
    /// Credit granted by the owners in other regions, by region.
    pub(crate) balances: Vec<credit::Balance>,
    /// Latest deadline of the requests that clients of other regions sent here directly; until then
    /// the pool may hold such requests.
    pub(crate) direct_until: Instant,
    /// Time that replies wait for the link, by receiving region.
    pub(crate) backlogs: Vec<Span>,
}

impl steering::Entries<'_> {
    pub(crate) fn new_shard(&self, service: ServiceId, region: RegionId) -> Shard {
        let centres = self.region_centres(region);
        Shard {
            service,
            region,
            targets: pool_targets(self.document, service, region),
            pool: None,
            owner: centres[service.index() % centres.len()],
            takeover_at: None,
            tickets: FxHashMap::default(),
            granter: Granter::new(),
            balances: vec![credit::Balance::new(); self.document.regions.len()],
            direct_until: Instant::ZERO,
            backlogs: vec![Span::ZERO; self.document.regions.len()],
        }
    }

    pub(crate) fn new_pool(&self, shard: usize, now: Instant) -> Pool {
        let mut pool = Pool::new(Config::default());
        for &target in &self.shards[shard].targets {
            pool.set_target(now, target, self.target_spec(target));
            let is_in_other_centre =
                self.document.targets[target].centre != self.shards[shard].owner;
            pool.set_prefetch(now, target, is_in_other_centre);
        }
        pool
    }

    pub(crate) fn target_spec(&self, target: TargetId) -> Spec {
        let slots = self.document.targets[target].slots;
        Spec { slots, state: self.states[target.index()] }
    }

    fn region_centres(&self, region: RegionId) -> Vec<CentreId> {
        let centres = self.document.centres.iter();
        centres.filter(|(_, centre)| centre.region == region).map(|(key, _)| key).collect()
    }

    pub(crate) fn shard_index(&self, service: ServiceId, region: RegionId) -> usize {
        service.index() * self.document.regions.len() + region.index()
    }

    pub(crate) fn shard_of_target(&self, target: TargetId) -> usize {
        let spec = &self.document.targets[target];
        self.shard_index(spec.service, self.document.region_of(spec.centre))
    }

    pub(crate) fn link_delay(&self, from: RegionId, to: RegionId) -> Option<Span> {
        self.document.link(from, to).map(|link| link.delay)
    }

    /// Gives each pool whose takeover is due to the first live data centre of its region.
    pub(crate) fn take_over(&mut self, now: Instant) {
        for index in 0..self.shards.len() {
            if self.shards[index].takeover_at.is_none_or(|at| at > now) {
                continue;
            }
            self.shards[index].takeover_at = None;
            let centres = self.region_centres(self.shards[index].region);
            let live_centre = centres.into_iter().find(|centre| self.alive[centre.index()]);
            if let Some(owner) = live_centre {
                self.shards[index].owner = owner;
                self.shards[index].pool = Some(self.new_pool(index, now));
            }
        }
    }

    /// Updates whether the pool serves requests of its own region only.
    pub(crate) fn update_own_region_only(&mut self, now: Instant, shard: usize) {
        let Shard { granter, direct_until, pool, .. } = &mut self.shards[shard];
        let is_own_region_only = now >= *direct_until && !granter.has_outstanding(now);
        if let Some(pool) = pool {
            pool.set_own_region_only(now, is_own_region_only);
        }
    }
}
