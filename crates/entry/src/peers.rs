//! The other entries: their heartbeats, the connections to them and their policy versions.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use ebonypass_core::freshness;
use ebonypass_core::id::{EntryId, SourceId};
use ebonypass_core::roster::{
    DrainingTarget, HEARTBEAT_TIMEOUT, Heartbeat, HeartbeatOutcome, ListedVm, PoolKey, PoolStatus,
    Process, Roster,
};
use ebonypass_core::time::{Instant, Span};
use ebonypass_core::version::Follower;
use ebonypass_node::peer::{Endpoint, Link};
use ebonypass_node::store::{Lifecycle, Role, Vm};
use ebonypass_node::wire::Frame;

use crate::view::{ParsedDocument, View};

/// Time between two heartbeats.
pub(crate) const HEARTBEAT_INTERVAL: Span = Span::from_millis(500);

/// What this entry knows about the other entries, and the state of the policy document.
pub(crate) struct Peers {
    pub(crate) roster: Roster,
    pub(crate) follower: Follower<Arc<ParsedDocument>>,
    process: Process,
    data_centre: String,
    /// Connections by the name of the entry.
    connections: HashMap<String, Connection>,
    /// Connections to the addresses in the settings.
    seeds: Vec<Arc<Link>>,
    /// The number of the last heartbeat sent.
    sequence: u64,
    /// Leaving targets with requests in flight, by the entry that sent those requests.
    draining: HashMap<String, Vec<DrainingTarget>>,
    /// The data centre of each entry, by the entry's name.
    centres: HashMap<String, String>,
    /// The last status of each pool and when it came, by service and region.
    pool_statuses: HashMap<(String, String), (Instant, PoolStatus)>,
    freshness: freshness::Tracker,
    /// The source in `freshness` for the heartbeats of each entry.
    sources: HashMap<EntryId, SourceId>,
}

/// A link and the address it connects to.
struct Connection {
    address: SocketAddr,
    link: Arc<Link>,
}

impl Peers {
    /// The state of `process` before it knows any other entry.
    pub(crate) fn new(now: Instant, process: Process, data_centre: &str) -> Peers {
        let name = process.name.clone();
        Peers {
            roster: Roster::new(&process.name, data_centre),
            follower: Follower::new(now, []),
            process,
            data_centre: data_centre.to_owned(),
            connections: HashMap::new(),
            seeds: Vec::new(),
            sequence: 0,
            draining: HashMap::new(),
            centres: HashMap::from([(name, data_centre.to_owned())]),
            pool_statuses: HashMap::new(),
            freshness: freshness::Tracker::new(HEARTBEAT_INTERVAL),
            sources: HashMap::new(),
        }
    }

    /// Connects to the addresses in the settings, where entries of any name may listen.
    pub(crate) fn add_seeds(&mut self, endpoint: &Endpoint, seeds: &[SocketAddr]) {
        self.seeds = seeds.iter().map(|&seed| endpoint.connect(None, seed)).collect();
    }

    /// Bytes sent and received over the open connections to peers.
    pub(crate) fn transferred_bytes(&self) -> u64 {
        let links = self.connections.values().map(|connection| &connection.link);
        links.chain(&self.seeds).map(|link| link.bytes_transferred()).sum()
    }

    /// Updates the roster from the VM list, connects to listed entries and closes the connections
    /// to those that are neither listed nor live.
    pub(crate) fn handle_vm_list(
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
            leaving: vm.state == Lifecycle::Leaving,
        });
        if self.roster.handle_vm_list(now, list) {
            self.resolve_regions(view);
        }
        for vm in entries() {
            self.centres.insert(vm.name.clone(), vm.data_centre.clone());
            if let Some(peer) = vm.peer {
                self.connect(endpoint, &vm.name, peer);
            }
        }
        let roster = &self.roster;
        let is_listed = |name: &str| entries().any(|vm| vm.name == name);
        let is_live =
            |name: &str| roster.entry(name).is_some_and(|entry| roster.is_live(now, entry));
        self.connections.retain(|name, _| is_listed(name) || is_live(name));
    }

    /// Connects to the entry called `name`, unless it has a connection to `address` already.
    pub(crate) fn connect(&mut self, endpoint: &Endpoint, name: &str, address: SocketAddr) {
        let is_known = self.connections.get(name).is_some_and(|known| known.address == address);
        if !is_known && name != self.process.name {
            let link = endpoint.connect(Some(name.to_owned()), address);
            self.connections.insert(name.to_owned(), Connection { address, link });
        }
    }

    /// Looks up the region of each entry in the policy in force.
    pub(crate) fn resolve_regions(&mut self, view: Option<&View>) {
        if let Some(view) = view {
            self.roster.resolve_regions(&view.document);
        }
    }

    /// Updates what is known about the sender of `heartbeat`.
    pub(crate) fn handle_heartbeat(
        &mut self,
        now: Instant,
        heartbeat: &Heartbeat,
        view: Option<&View>,
    ) {
        let is_new = self.roster.entry(&heartbeat.process.name).is_none();
        let outcome = self.roster.handle_heartbeat(now, heartbeat);
        if is_new {
            self.resolve_regions(view);
        }
        if let HeartbeatOutcome::Accepted(entry) = outcome {
            self.follower.handle_announced_version(now, entry, heartbeat.version);
            self.draining.insert(heartbeat.process.name.clone(), heartbeat.draining.clone());
            self.centres.insert(heartbeat.process.name.clone(), heartbeat.data_centre.clone());
            let freshness = &mut self.freshness;
            let source = *self.sources.entry(entry).or_insert_with(|| freshness.add(now));
            if heartbeat.leaving {
                self.freshness.deactivate(source);
            } else {
                self.freshness.record_report(now, source);
            }
            self.record_pool_statuses(now, &heartbeat.pools);
        }
    }

    /// Stores the latest status of each of `pools`.
    pub(crate) fn record_pool_statuses(&mut self, now: Instant, pools: &[PoolStatus]) {
        for pool in pools {
            let key = (pool.service.clone(), pool.region.clone());
            self.pool_statuses.insert(key, (now, pool.clone()));
        }
    }

    /// The last status of a pool; none if it is older than [`HEARTBEAT_TIMEOUT`].
    pub(crate) fn pool_status(
        &self,
        now: Instant,
        service: &str,
        region: &str,
    ) -> Option<&PoolStatus> {
        let key = (service.to_owned(), region.to_owned());
        let (received_at, status) = self.pool_statuses.get(&key)?;
        (now.since(*received_at) < HEARTBEAT_TIMEOUT).then_some(status)
    }

    /// Whether most heartbeats stopped at the same time.
    pub(crate) fn is_frozen(&mut self, now: Instant) -> bool {
        self.freshness.is_frozen(now)
    }

    /// The number of entries of `region` that accept requests.
    pub(crate) fn ready_count(&self, now: Instant, view: Option<&View>, region: &str) -> usize {
        self.ready_entries_in(now, view, region).count()
    }

    /// Another ready entry of `region`, chosen in turn, one for each second.
    pub(crate) fn rotating_peer(
        &self,
        now: Instant,
        view: Option<&View>,
        region: &str,
    ) -> Option<String> {
        let others =
            self.ready_entries_in(now, view, region).filter(|name| *name != self.process.name);
        let mut others: Vec<&str> = others.collect();
        others.sort_unstable();
        let second = (now.as_micros() / 1_000_000) as usize;
        let index = second.checked_rem(others.len())?;
        Some(others[index].to_owned())
    }

    fn ready_entries_in<'a>(
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
    pub(crate) fn send_heartbeat(
        &mut self,
        leaving: bool,
        pools: Vec<PoolStatus>,
        draining: Vec<DrainingTarget>,
        steward_epoch: u64,
    ) {
        self.draining.insert(self.process.name.clone(), draining.clone());
        self.sequence += 1;
        let heartbeat = Heartbeat {
            process: self.process.clone(),
            sequence: self.sequence,
            data_centre: self.data_centre.clone(),
            leaving,
            version: self.follower.version(),
            steward_epoch,
            pools,
            draining,
        };
        let links = self.connections.values().map(|connection| &connection.link);
        for link in links.chain(&self.seeds) {
            link.send(Frame::Heartbeat(heartbeat.clone()));
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

    /// Tells the policy follower whether this process watches the store for its data centre.
    pub(crate) fn update_watcher(&mut self, now: Instant) {
        let is_watcher = self.is_watcher(now);
        self.follower.set_watcher(is_watcher);
    }

    /// Links to the other live entries of `data_centre`.
    pub(crate) fn links_in(&self, now: Instant, data_centre: &str) -> Vec<Arc<Link>> {
        let others = self.roster.live_entries_in(now, data_centre);
        others.filter_map(|entry| self.link(self.roster.name(entry))).collect()
    }

    /// The policy version that each live entry of `data_centre` has in force.
    pub(crate) fn policy_versions_in(&self, now: Instant, data_centre: &str) -> Vec<u64> {
        let version = |entry| match entry == self.roster.local_entry() {
            true => self.follower.version(),
            false => self.roster.policy_version(entry),
        };
        self.roster.live_entries_in(now, data_centre).map(version).collect()
    }

    /// The number of requests that live entries have in flight at the leaving `target`.
    pub(crate) fn in_flight_at(&self, now: Instant, target: &str) -> u32 {
        let is_live = |name: &str| {
            self.roster.entry(name).is_some_and(|entry| self.roster.is_live(now, entry))
        };
        let live = self.draining.iter().filter(|(name, _)| is_live(name));
        let at_target = live.flat_map(|(_, list)| list).filter(|item| item.target == target);
        at_target.map(|item| item.in_flight).sum()
    }

    /// The link to the entry called `name`.
    pub(crate) fn link(&self, name: &str) -> Option<Arc<Link>> {
        self.connections.get(name).map(|connection| connection.link.clone())
    }

    /// The link to `entry`.
    pub(crate) fn link_of(&self, entry: EntryId) -> Option<Arc<Link>> {
        self.link(self.roster.name(entry))
    }
}
