//! Keeps the local copy of the store's objects current, and applies changes to the gateway's state.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ebonypass_core::time::{Instant, Span};
use ebonypass_node::clock;
use ebonypass_node::event::Event;
use ebonypass_platform::config::{Config, scan_config};
use ebonypass_platform::object::{self, Kind, Object};
use ebonypass_platform::registry;
use hyper::Method;
use serde_json::json;

use crate::gateway::Gateway;
use crate::metric::CallLabels;
use crate::replication::Poller;
use crate::store::{Client, Error};

/// Timeout of a list call.
const LIST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long a watch call waits for changes. With the margin below it bounds the time to detect an
/// unresponsive store, so that peers that poll this machine can still call the store before a
/// leaving target must get no more requests (2.5 s).
const WATCH_WAIT_MS: u64 = 1_100;
/// Time allowed for the reply to a watch call beyond its wait.
const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_millis(350);
/// Delay before the next watch after changes of targets, so that changes close together cost one
/// call. Far below the 2.5 s after which a leaving target must get no more requests.
const BATCH_DELAY: Span = Span::from_millis(250);
/// How long machines wait for each other's heartbeats at a first start; requests come 8 s after it.
const FIRST_START_WAIT: Span = Span::from_millis(1_500);
/// Additional wait at a first start for each machine that ranks ahead of this one: a store call and
/// the three rounds of heartbeats that spread its success.
const FIRST_START_WAIT_PER_RANK: Span = Span::from_millis(1_300);
/// Limit on the rank used for these delays.
const MAX_RANK: u64 = 3;
/// Interval of checks for a peer that reaches the store.
const POLL_INTERVAL: Span = Span::from_millis(100);
/// Delay of this machine's store call after the loss of the watcher, for each machine that ranks
/// ahead of it.
const TAKEOVER_DELAY_PER_RANK: Span = Span::from_millis(250);
/// Bounds of the backoff after a failed call, before it is multiplied by the machines of the
/// region.
const MIN_BACKOFF: Span = Span::from_millis(100);
const MAX_BACKOFF: Span = Span::from_millis(400);
/// Delay before a full list is read because the store no longer has the history.
const RELIST_DELAY: Span = Span::from_millis(20);
/// Target entries that expired during a store outage are registered again within about 2 s of its
/// end. A target is removed if it is still unlisted once some machine has reached the store for
/// this long.
const UNLISTED_GRACE: Span = Span::from_millis(1_900);

/// Synchronizes the objects of one kind, for the lifetime of the process.
pub struct Synchronizer {
    gateway: Rc<Gateway>,
    client: Client,
    poller: Poller,
    kind: Kind,
    /// Earliest time of the next store call; none while this machine polls the watcher of its
    /// region.
    next_attempt: Option<Instant>,
    /// Backoff after the next failed call, before it is multiplied by the machines of the region.
    backoff: Span,
}

impl Synchronizer {
    /// Creates a synchronizer for `kind`.
    pub fn new(gateway: &Rc<Gateway>, kind: Kind) -> Synchronizer {
        let client = Client::new(gateway.executor.clone(), gateway.settings.store.address);
        Synchronizer {
            gateway: gateway.clone(),
            client,
            poller: Poller::new(kind),
            kind,
            next_attempt: None,
            backoff: MIN_BACKOFF,
        }
    }

    /// Polls the region's watcher if there is one, else calls the store. While the store does not
    /// answer this machine, polls any peer that reaches it.
    pub async fn run(mut self) {
        self.wait_for_watcher().await;
        loop {
            if let Some(watcher) = self.poller.watcher(&self.gateway)
                && self.poll_peer(watcher).await
            {
                self.gateway.store_reachable_since.set(None);
                self.next_attempt = None;
                self.backoff = MIN_BACKOFF;
                continue;
            }
            let now = clock::now();
            let next_attempt = *self.next_attempt.get_or_insert_with(|| {
                now + TAKEOVER_DELAY_PER_RANK.times(self.poller.rank(&self.gateway).min(MAX_RANK))
            });
            if now >= next_attempt {
                self.sync_with_store().await;
            } else if let Some(peer) = self.poller.peer_with_store(&self.gateway) {
                if !self.poll_peer(peer).await {
                    clock::sleep(POLL_INTERVAL).await;
                }
            } else {
                clock::sleep(POLL_INTERVAL.min(next_attempt.since(now))).await;
            }
        }
    }

    /// Calls the store once, and backs off if that fails. The backoff grows with the number of
    /// machines in the region, which together call about as often as one would alone: failed calls
    /// are priced too.
    async fn sync_with_store(&mut self) {
        let is_known = self.gateway.revision(self.kind) > 0;
        let mut result = if is_known { self.watch().await } else { self.list().await };
        if let Err(Error::HistoryGone) = result {
            self.gateway.log.record(Event::HistoryExpired, json!({ "kind": self.kind.label() }));
            clock::sleep(RELIST_DELAY).await;
            result = self.list().await;
        }
        match result {
            Ok(()) => self.backoff = MIN_BACKOFF,
            Err(error) => {
                self.record_failure(&error);
                let machines = self.poller.region_size(&self.gateway);
                self.next_attempt = Some(clock::now() + jitter(self.backoff.times(machines)));
                self.backoff = self.backoff.times(2).min(MAX_BACKOFF);
            }
        }
    }

    /// At a first start, waits until a peer of the region reaches the store or this machine's rank
    /// lets it call the store. All machines start together, and each call is priced.
    async fn wait_for_watcher(&self) {
        if !self.gateway.settings.is_first_start {
            return;
        }
        let start = clock::now();
        while self.poller.watcher(&self.gateway).is_none() {
            let rank = self.poller.rank(&self.gateway).min(MAX_RANK);
            if clock::now().since(start) >= FIRST_START_WAIT + FIRST_START_WAIT_PER_RANK.times(rank)
            {
                return;
            }
            clock::sleep(POLL_INTERVAL).await;
        }
    }

    /// Polls a peer, and returns whether it answered.
    async fn poll_peer(&mut self, peer: SocketAddr) -> bool {
        let result = self.poller.poll(&self.gateway, peer).await;
        if let Err(error) = &result {
            let fields = json!({ "kind": self.kind.label(), "peer": peer.to_string(), "error": error.to_string() });
            self.gateway.log.record(Event::PeerUnresponsive, fields);
        }
        result.is_ok()
    }

    async fn get(&mut self, path: &str, timeout: Duration) -> Result<bytes::Bytes, Error> {
        let result = self.client.call(Method::GET, path, Vec::new(), timeout).await;
        let label = match &result {
            Ok(_) => "ok",
            Err(Error::NoReply(_)) => "silent",
            Err(Error::Refused(_)) => "refused",
            Err(Error::HistoryGone) => "gone",
            Err(Error::Conflict) => "conflict",
        };
        let labels = CallLabels { kind: self.kind.label(), result: label };
        self.gateway.metrics.store_calls.get_or_create(&labels).inc();
        result
    }

    async fn list(&mut self) -> Result<(), Error> {
        let mut objects = BTreeMap::new();
        let mut after = None;
        let revision = loop {
            let path = object::list_path(self.kind, after.as_deref());
            let bytes = self.get(&path, LIST_TIMEOUT).await?;
            let page = object::scan_page(&bytes)
                .ok_or_else(|| Error::NoReply("cannot decode the list".to_owned()))?;
            objects.extend(
                page.objects.into_iter().map(|object| (object.metadata.name.clone(), object)),
            );
            match page.after {
                Some(name) => after = Some(name),
                None => break page.revision,
            }
        };
        self.record_success();
        self.gateway.replace_objects(self.kind, objects, revision);
        Ok(())
    }

    /// Makes one watch call and applies its changes.
    async fn watch(&mut self) -> Result<(), Error> {
        let revision = self.gateway.revision(self.kind);
        let path = object::watch_path(self.kind, revision, WATCH_WAIT_MS);
        let timeout = Duration::from_millis(WATCH_WAIT_MS) + WATCH_TIMEOUT_MARGIN;
        let bytes = self.get(&path, timeout).await?;
        let changes = object::scan_changes(&bytes)
            .ok_or_else(|| Error::NoReply("cannot decode the changes".to_owned()))?;
        self.record_success();
        let has_changes = !changes.events.is_empty();
        self.gateway.apply_changes(self.kind, changes.events, changes.revision);
        if has_changes && self.kind == Kind::Target {
            clock::sleep(BATCH_DELAY).await;
        }
        Ok(())
    }

    fn record_failure(&self, error: &Error) {
        self.gateway.store_reachable_since.set(None);
        if !self.set_stale(true) {
            let fields = json!({ "kind": self.kind.label(), "error": error.to_string() });
            self.gateway.log.record(Event::StoreUnreachable, fields);
        }
    }

    fn record_success(&self) {
        if self.gateway.store_reachable_since.get().is_none() {
            self.gateway.store_reachable_since.set(Some(clock::now()));
        }
        if self.set_stale(false) {
            self.gateway.log.record(Event::StoreReachable, json!({ "kind": self.kind.label() }));
        }
    }

    /// Sets whether the copy is stale, and returns the previous value.
    fn set_stale(&self, is_stale: bool) -> bool {
        let mut state = self.gateway.state();
        let mirror = state.mirrors.entry(self.kind).or_default();
        let was_stale = std::mem::replace(&mut mirror.is_stale, is_stale);
        if is_stale && !was_stale {
            // Wakes polls of peers, which must find another source.
            self.gateway.mirror_changed.notify(usize::MAX);
        }
        was_stale
    }
}

/// A random time between half of `delay` and all of it, so that machines do not call at the same
/// time.
fn jitter(delay: Span) -> Span {
    let half = delay.as_micros() / 2;
    Span::from_micros(half + fastrand::u64(0..=half))
}

impl Gateway {
    /// The store revision that the copy of `kind` reflects; 0 before the first list.
    pub fn revision(&self, kind: Kind) -> u64 {
        self.state().mirrors.get(&kind).map_or(0, |mirror| mirror.revision)
    }

    /// Replaces all objects of `kind`, unless the list is older than the copy.
    pub fn replace_objects(&self, kind: Kind, objects: BTreeMap<String, Object>, revision: u64) {
        let changed: Vec<Object> = objects.values().cloned().collect();
        let removed = {
            let mut state = self.state();
            let mirror = state.mirrors.entry(kind).or_default();
            if revision < mirror.revision {
                return;
            }
            mirror.replace(revision, objects)
        };
        self.apply(kind, changed, removed);
        self.mirror_changed.notify(usize::MAX);
    }

    /// Applies changes of `kind`, unless they are older than the copy.
    pub fn apply_changes(&self, kind: Kind, events: Vec<(Object, bool)>, revision: u64) {
        let (mut changed, mut removed) = (Vec::new(), Vec::new());
        {
            let mut state = self.state();
            let mirror = state.mirrors.entry(kind).or_default();
            if revision < mirror.revision {
                return;
            }
            mirror.revision = revision;
            for (object, is_deleted) in events {
                let name = object.metadata.name.clone();
                changed.retain(|other: &Object| other.metadata.name != name);
                removed.retain(|other: &Object| other.metadata.name != name);
                mirror.apply_change(revision, object.clone(), is_deleted);
                if is_deleted {
                    removed.push(object);
                } else {
                    changed.push(object);
                }
            }
        }
        if !changed.is_empty() || !removed.is_empty() {
            self.apply(kind, changed, removed);
            self.mirror_changed.notify(usize::MAX);
        }
    }

    fn apply(&self, kind: Kind, changed: Vec<Object>, removed: Vec<Object>) {
        match kind {
            Kind::Config => changed.iter().for_each(|object| self.apply_config(object)),
            Kind::Evacuation => self.apply_evacuations(),
            Kind::Target => {
                changed.iter().for_each(|object| self.apply_target(object));
                removed.iter().for_each(|object| self.mark_unlisted(&object.metadata.name));
            }
            Kind::Machine => {}
        }
    }

    fn apply_config(&self, object: &Object) {
        match scan_config(&object.spec) {
            Ok(config) => self.install_config(config),
            Err(error) => {
                let fields = json!({ "object": object.metadata.name, "revision": object.metadata.revision, "error": error.to_string() });
                self.log.record(Event::PolicyRefused, fields);
            }
        }
    }

    fn install_config(&self, config: Config) {
        let mut state = self.state();
        if config.version <= state.version {
            return;
        }
        let previous = state.version;
        state.version = config.version;
        state.limits = config.limits;
        for service in &config.services {
            let shared = &self.settings.shared;
            let cold_limit_per_s = service.cold_per_s * shared.cold_factor + shared.cold_allowance;
            state.balancer.set_cold_limit(&service.name, cold_limit_per_s);
        }
        state.route_table = ebonypass_core::route::Table::new(config.routes);
        let routes = state.route_table.len();
        drop(state);
        let fields = json!({ "version": config.version, "before": previous, "routes": routes });
        self.log.record(Event::PolicyApplied, fields);
    }

    fn apply_evacuations(&self) {
        let mut state = self.state();
        let mirror = state.mirrors.entry(Kind::Evacuation).or_default();
        let objects = mirror.objects.values().filter(|object| !object.metadata.deleting);
        let centres: HashSet<String> = objects.map(|object| object.metadata.name.clone()).collect();
        let fields = json!({ "data_centres": centres, "revision": mirror.revision });
        state.balancer.set_evacuated_centres(centres);
        drop(state);
        self.log.record(Event::EvacuationsChanged, fields);
    }

    fn apply_target(&self, object: &Object) {
        let now = clock::now();
        let name = &object.metadata.name;
        self.state().unlisted.remove(name);
        let Some(spec) = registry::scan_target(object) else {
            let fields = json!({ "object": name, "revision": object.metadata.revision });
            self.log.record(Event::ObjectMalformed, fields);
            self.remove_target(name, "invalid entry");
            return;
        };
        let mut state = self.state();
        let previous =
            state.balancer.find_target(name).map(|id| state.balancer.target(id).spec.clone());
        let (is_leaving, address) = (spec.is_leaving, spec.address);
        let fields = json!({
            "target": name,
            "service": spec.service,
            "data_centre": spec.centre,
            "address": address.to_string(),
            "cold_ms": spec.cold_time_left.as_millis(),
            "revision": object.metadata.revision,
        });
        let id = state.balancer.upsert_target(now, spec);
        drop(state);
        match previous {
            None => self.log.record(Event::TargetAdded, fields),
            Some(previous) if is_leaving && !previous.is_leaving => {
                self.log.record(Event::TargetLeaving, fields);
            }
            Some(previous) if previous.address != address => {
                self.pool.close_target(id);
                self.log.record(Event::TargetAdded, fields);
            }
            Some(_) => {}
        }
    }

    /// Marks a target as unlisted, and removes it if the store has been reachable for long enough.
    fn mark_unlisted(&self, name: &str) {
        self.state().unlisted.insert(name.to_owned());
        self.drop_unlisted();
    }

    /// Removes unlisted targets once the store has been reachable for [`UNLISTED_GRACE`].
    pub fn drop_unlisted(&self) {
        if self.state().unlisted.is_empty() || self.longest_store_uptime() < UNLISTED_GRACE {
            return;
        }
        let unlisted = std::mem::take(&mut self.state().unlisted);
        for name in unlisted {
            self.remove_target(&name, "no longer listed");
        }
    }

    fn remove_target(&self, name: &str, reason: &str) {
        let mut state = self.state();
        let id = state.balancer.find_target(name);
        if state.balancer.remove_target(name) {
            drop(state);
            if let Some(id) = id {
                self.pool.close_target(id);
            }
            self.log.record(Event::TargetRemoved, json!({ "target": name, "reason": reason }));
        }
    }

    /// Passes the live machines and the demand of their callers by region to the balancer.
    pub fn update_machines(&self) {
        let now = clock::now();
        let mut state = self.state();
        let names = state.membership.live_names(now);
        let centres = &self.settings.regions;
        let mut demand = vec![0.0; state.balancer.regions().len()];
        for peer in state.membership.live_peers(now).chain([state.membership.own()]) {
            let region = centres.get(&peer.centre);
            let index = region.and_then(|r| state.balancer.regions().iter().position(|o| o == r));
            if let Some(index) = index {
                demand[index] += f64::from(peer.heartbeat.demand);
            }
        }
        state.balancer.set_live_machines(names);
        state.balancer.record_demand(now, &demand);
    }

    /// Sets the gauges to current values.
    pub fn update_gauges(&self) {
        let now = clock::now();
        let state = self.state();
        self.metrics.version.set(state.version as i64);
        self.metrics.targets.set(state.balancer.target_names().count() as i64);
        self.metrics.machines.set(state.membership.live_peers(now).count() as i64 + 1);
        self.metrics.in_flight.set(self.in_flight.get() as i64);
        self.metrics.connections.set(self.connections.get() as i64);
    }
}
