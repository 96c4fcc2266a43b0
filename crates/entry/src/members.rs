//! The other entries, and the policy version that they and the store have.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use ebonypass_core::freshness;
use ebonypass_core::id::{EntryId, SourceId};
use ebonypass_core::roster::{
    DrainingTarget, HEARTBEAT_TIMEOUT, Heartbeat, ListedVm, PoolKey, PoolStatus, Process, Roster,
};
use ebonypass_core::time::{Instant, Span};
use ebonypass_core::version::Follower;
use ebonypass_node::peer::{Endpoint, Link};
use ebonypass_node::store::{Life, Role, Vm};
use ebonypass_node::wire::Frame;

use crate::view::{Parsed, View};

/// Time between two heartbeats.
pub(crate) const STATUS_INTERVAL: Span = Span::from_millis(500);

/// The other entries as this one knows them.
pub(crate) struct Members {
    pub(crate) roster: Roster,
    pub(crate) follower: Follower<Arc<Parsed>>,
    own: Process,
    data_centre: String,
    links: HashMap<String, Way>,
    seeds: Vec<Arc<Link>>,
    sequence: u64,
    /// Leaving targets by the entry that still has requests there.
    draining: HashMap<String, Vec<DrainingTarget>>,
    /// Data centres of the entries, by name.
    centres: HashMap<String, String>,
    /// The last heartbeat of each pool's owner, by service and region.
    pools: HashMap<(String, String), (Instant, PoolStatus)>,
    evidence: freshness::Tracker,
    sources: HashMap<EntryId, SourceId>,
}

/// A link and the address for which it was made.
struct Way {
    address: SocketAddr,
    link: Arc<Link>,
}

impl Members {
    /// A process that knows only itself.
    pub(crate) fn new(now: Instant, own: Process, data_centre: &str) -> Members {
        let own_name = own.name.clone();
        Members {
            roster: Roster::new(&own.name, data_centre),
            follower: Follower::new(now, []),
            own,
            data_centre: data_centre.to_owned(),
            links: HashMap::new(),
            seeds: Vec::new(),
            sequence: 0,
            draining: HashMap::new(),
            centres: HashMap::from([(own_name, data_centre.to_owned())]),
            pools: HashMap::new(),
            evidence: freshness::Tracker::new(STATUS_INTERVAL),
            sources: HashMap::new(),
        }
    }

    /// Connects to the addresses of the settings, whose names are not known.
    pub(crate) fn add_seeds(&mut self, endpoint: &Endpoint, seeds: &[SocketAddr]) {
        self.seeds = seeds.iter().map(|&seed| endpoint.link(None, seed)).collect();
    }

    /// Bytes sent and received on the present connections to peers.
    pub(crate) fn bytes(&self) -> u64 {
        let ways = self.links.values().map(|way| &way.link);
        ways.chain(&self.seeds).map(|link| link.bytes()).sum()
    }

    /// Takes in the VM list: entries to connect to, and those that are leaving.
    pub(crate) fn note_vms(
        &mut self,
        now: Instant,
        endpoint: &Endpoint,
        vms: &[Vm],
        view: Option<&View>,
    ) {
        let entries = || vms.iter().filter(|vm| vm.role == Role::Entry);
        let list = entries().map(|vm| ListedVm {
            name: &vm.name,
            data_centre: &vm.data_centre,
            leaving: vm.state == Life::Leaving,
        });
        if self.roster.handle_vm_list(now, list) {
            self.resolve(view);
        }
        for vm in entries() {
            self.centres.insert(vm.name.clone(), vm.data_centre.clone());
            if let Some(peer) = vm.peer {
                self.add_link(endpoint, &vm.name, peer);
            }
        }
        let roster = &self.roster;
        let is_listed = |name: &str| entries().any(|vm| vm.name == name);
        let is_live =
            |name: &str| roster.entry(name).is_some_and(|entry| roster.is_live(now, entry));
        self.links.retain(|name, _| is_listed(name) || is_live(name));
    }

    /// Connects to the entry called `name`, unless that is being done.
    pub(crate) fn add_link(&mut self, endpoint: &Endpoint, name: &str, address: SocketAddr) {
        let is_known = self.links.get(name).is_some_and(|way| way.address == address);
        if !is_known && name != self.own.name {
            let link = endpoint.link(Some(name.to_owned()), address);
            self.links.insert(name.to_owned(), Way { address, link });
        }
    }

    /// Finds the regions of the entries in the policy in force.
    pub(crate) fn resolve(&mut self, view: Option<&View>) {
        if let Some(view) = view {
            self.roster.resolve_regions(&view.document);
        }
    }

    /// Takes in a heartbeat.
    pub(crate) fn note_status(&mut self, now: Instant, status: &Heartbeat, view: Option<&View>) {
        let is_new = self.roster.entry(&status.process.name).is_none();
        let verdict = self.roster.handle_heartbeat(now, status);
        if is_new {
            self.resolve(view);
        }
        if let ebonypass_core::roster::HeartbeatOutcome::Accepted(entry) = verdict {
            self.follower.handle_announced_version(now, entry, status.version);
            self.draining.insert(status.process.name.clone(), status.draining.clone());
            self.centres.insert(status.process.name.clone(), status.data_centre.clone());
            let evidence = &mut self.evidence;
            let source = *self.sources.entry(entry).or_insert_with(|| evidence.add(now));
            if status.leaving {
                self.evidence.deactivate(source);
            } else {
                self.evidence.record_report(now, source);
            }
            self.note_pools(now, &status.pools);
        }
    }

    /// Takes in what the owners of pools say of them.
    pub(crate) fn note_pools(&mut self, now: Instant, pools: &[PoolStatus]) {
        for pool in pools {
            let key = (pool.service.clone(), pool.region.clone());
            self.pools.insert(key, (now, pool.clone()));
        }
    }

    /// What the owner of a pool last said, unless it has fallen silent.
    pub(crate) fn pool_status(
        &self,
        now: Instant,
        service: &str,
        region: &str,
    ) -> Option<&PoolStatus> {
        let key = (service.to_owned(), region.to_owned());
        let (at, status) = self.pools.get(&key)?;
        (now.since(*at) < HEARTBEAT_TIMEOUT).then_some(status)
    }

    /// Whether most heartbeats stopped at the same time.
    pub(crate) fn is_frozen(&mut self, now: Instant) -> bool {
        self.evidence.is_frozen(now)
    }

    /// The number of entries of `region` that take work.
    pub(crate) fn near(&self, now: Instant, view: Option<&View>, region: &str) -> usize {
        self.ready_in(now, view, region).count()
    }

    /// Another entry of `region`, a different one each second.
    pub(crate) fn neighbour(
        &self,
        now: Instant,
        view: Option<&View>,
        region: &str,
    ) -> Option<String> {
        let others = self.ready_in(now, view, region).filter(|name| *name != self.own.name);
        let mut others: Vec<&str> = others.collect();
        others.sort_unstable();
        let second = (now.as_micros() / 1_000_000) as usize;
        let index = second.checked_rem(others.len())?;
        Some(others[index].to_owned())
    }

    fn ready_in<'a>(
        &'a self,
        now: Instant,
        view: Option<&'a View>,
        region: &'a str,
    ) -> impl Iterator<Item = &'a str> {
        let names = self.roster.ready_entries(now).map(|entry| self.roster.name(entry));
        names.filter(move |name| {
            let (Some(view), Some(centre)) = (view, self.centres.get(*name)) else { return false };
            let id = view.region_of(centre);
            id.is_some_and(|id| view.document.regions[id].name == region)
        })
    }

    /// Sends a heartbeat to every peer.
    pub(crate) fn send_status(
        &mut self,
        leaving: bool,
        pools: Vec<PoolStatus>,
        draining: Vec<DrainingTarget>,
        epoch: u64,
    ) {
        self.draining.insert(self.own.name.clone(), draining.clone());
        self.sequence += 1;
        let status = Heartbeat {
            process: self.own.clone(),
            sequence: self.sequence,
            data_centre: self.data_centre.clone(),
            leaving,
            version: self.follower.version(),
            steward_epoch: epoch,
            pools,
            draining,
        };
        let links = self.links.values().map(|way| &way.link);
        for link in links.chain(&self.seeds) {
            link.send(Frame::Status(status.clone()));
        }
    }

    /// Whether this process owns `pool`.
    pub(crate) fn is_owner(&self, now: Instant, pool: PoolKey) -> bool {
        self.roster.owner(now, pool) == Some(self.roster.local_entry())
    }

    /// Whether this process watches the store for its data centre.
    pub(crate) fn is_watcher(&self, now: Instant) -> bool {
        self.roster.watchers(now, &self.data_centre).contains(&Some(self.roster.local_entry()))
    }

    /// States whether this process watches the store for its data centre.
    pub(crate) fn choose_watcher(&mut self, now: Instant) {
        let is_watcher = self.is_watcher(now);
        self.follower.set_watcher(is_watcher);
    }

    /// The ways to the live entries of `data_centre`.
    pub(crate) fn links_in(&self, now: Instant, data_centre: &str) -> Vec<Arc<Link>> {
        let others = self.roster.live_entries_in(now, data_centre);
        others.filter_map(|entry| self.link(self.roster.name(entry))).collect()
    }

    /// The policy version that each live entry of `data_centre` has in force.
    pub(crate) fn versions_in(&self, now: Instant, data_centre: &str) -> Vec<u64> {
        let version = |entry| match entry == self.roster.local_entry() {
            true => self.follower.version(),
            false => self.roster.policy_version(entry),
        };
        self.roster.live_entries_in(now, data_centre).map(version).collect()
    }

    /// Requests that live entries still have at the leaving `target`.
    pub(crate) fn in_flight_at(&self, now: Instant, target: &str) -> u32 {
        let is_live = |name: &str| {
            self.roster.entry(name).is_some_and(|entry| self.roster.is_live(now, entry))
        };
        let live = self.draining.iter().filter(|(name, _)| is_live(name));
        let at_target = live.flat_map(|(_, list)| list).filter(|item| item.target == target);
        at_target.map(|item| item.in_flight).sum()
    }

    /// The way to the entry called `name`.
    pub(crate) fn link(&self, name: &str) -> Option<Arc<Link>> {
        self.links.get(name).map(|way| way.link.clone())
    }

    /// The way to `entry`.
    pub(crate) fn link_of(&self, entry: EntryId) -> Option<Arc<Link>> {
        self.link(self.roster.name(entry))
    }
}
