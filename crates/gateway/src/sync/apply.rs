//! Applies changes of the store's objects to the gateway's state.

use std::net::SocketAddr;
use std::rc::Rc;

use ebonypass_core::availability::Update;
use ebonypass_core::tenant;
use ebonypass_core::time::Span;
use ebonypass_node::clock;
use ebonypass_node::event::Event;
use ebonypass_platform::config::{Config, scan_config};
use ebonypass_platform::object::{Kind, Object};
use ebonypass_platform::registry;
use serde_json::json;

use crate::gateway::Gateway;
use crate::load;
use crate::metric::KindLabels;

/// Targets of one update that are logged one by one, at most.
const MAX_TARGET_LINES: usize = 50;
/// Faults of tenants that are logged one by one for each version, at most.
const MAX_FAULT_LINES: usize = 50;
/// Target entries that expired during a store outage are registered again within about 2 s of its
/// end. A target is removed if it is still unlisted once some machine has reached the store for
/// this long.
const UNLISTED_GRACE: Span = Span::from_millis(1_900);

impl Gateway {
    pub(super) fn apply(&self, kind: Kind, changed: &[Rc<Object>], removed: &[Rc<Object>]) {
        match kind {
            Kind::Config => changed.iter().for_each(|object| self.apply_config(object)),
            Kind::Evacuation => {
                let mut state = self.state();
                for object in changed {
                    let is_listed = !object.metadata.deleting;
                    state.evacuations.record(&object.metadata.name, is_listed);
                }
                removed.iter().for_each(|o| state.evacuations.record(&o.metadata.name, false));
                drop(state);
                self.apply_evacuations();
            }
            Kind::Target => {
                // A line for each of many targets would fill the log of each machine of the fleet.
                let is_logged = changed.len() <= MAX_TARGET_LINES;
                changed.iter().for_each(|object| self.apply_target(object, is_logged));
                if !is_logged {
                    self.log.record(Event::TargetAdded, json!({ "targets": changed.len() }));
                }
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
        state.features = config.features;
        state.balancer.set_shared_load(config.features.shared_load);
        for service in &config.services {
            let shared = &self.settings.shared;
            let cold_limit_per_s = service.cold_per_s * shared.cold_factor + shared.cold_allowance;
            state.balancer.set_cold_limit(&service.name, cold_limit_per_s);
        }
        state.route_table = ebonypass_core::route::Table::new(config.routes);
        let routes = state.route_table.len();
        let mut fields = json!({ "version": config.version, "before": previous, "routes": routes });
        let is_region = |name: &str| self.settings.regions.values().any(|region| region == name);
        let mut faults = Vec::new();
        state.tenants = config.tenants.map(|entries| {
            let (table, found) = tenant::Table::new(entries, is_region);
            fields["tenants"] = table.len().into();
            faults = found;
            table
        });
        let tenants = state.tenants.iter().flat_map(|table| table.iter());
        let limits = tenants.filter_map(|(_, tenant)| Some((tenant.name.clone(), tenant.limit?)));
        let limits: Vec<_> = limits.collect();
        drop(state);
        self.allotments.set_limits(limits);
        self.log.record(Event::PolicyApplied, fields);
        self.record_tenant_faults(config.version, &faults);
    }

    /// Logs faults of tenants, without their keys.
    fn record_tenant_faults(&self, version: u64, faults: &[tenant::Fault]) {
        self.metrics.tenant_faults.set(faults.len() as i64);
        for fault in faults.iter().take(MAX_FAULT_LINES) {
            let fields = json!({
                "version": version,
                "tenant": fault.tenant,
                "row": fault.row,
                "error": fault.defect.message(),
            });
            self.log.record(Event::TenantFaulty, fields);
        }
        if let Some(rest @ 1..) = faults.len().checked_sub(MAX_FAULT_LINES) {
            let fields = json!({ "version": version, "unlisted": rest });
            self.log.record(Event::TenantFaulty, fields);
        }
    }

    pub(super) fn apply_evacuations(&self) {
        let mut state = self.state();
        let centres = state.evacuations.in_force();
        let revision = state.mirrors.entry(Kind::Evacuation).or_default().revision();
        let fields = json!({ "data_centres": centres, "revision": revision });
        state.balancer.set_evacuated_centres(centres);
        drop(state);
        self.log.record(Event::EvacuationsChanged, fields);
    }

    fn apply_target(&self, object: &Object, is_logged: bool) {
        let now = clock::now();
        let name = &object.metadata.name;
        self.state().unlisted.remove(name);
        self.state().hold.targets.remove(name);
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
        let (id, update) = state.balancer.upsert_target(now, spec);
        drop(state);
        if update == Update::Outdated {
            self.log.record(Event::EntryOutdated, fields);
            return;
        }
        match previous {
            None if is_logged => self.log.record(Event::TargetAdded, fields),
            None => {}
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

    /// Applies an entry of the first list of a new era, which may be older than what is known.
    /// Returns whether it counts.
    pub(super) fn apply_restored_target(&self, object: &Object) -> bool {
        let now = clock::now();
        let name = &object.metadata.name;
        let spec = registry::scan_target(object);
        let mut state = self.state();
        state.hold.targets.remove(name);
        let Some(spec) = spec else {
            // What was known before may be in use until the target has written a valid entry again.
            let is_known = state.balancer.find_target(name).is_some();
            let is_held = state.hold.is_open;
            let names = if is_held { &mut state.hold.targets } else { &mut state.unlisted };
            if is_known {
                names.insert(name.clone());
            }
            return false;
        };
        let address = spec.address;
        let previous =
            state.balancer.find_target(name).map(|id| state.balancer.target(id).spec.address);
        let (id, update) = state.balancer.upsert_restored_target(now, spec);
        if update == Update::Outdated {
            return false;
        }
        state.unlisted.remove(name);
        drop(state);
        if previous.is_some_and(|previous| previous != address) {
            self.pool.close_target(id);
        }
        true
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
        self.allotments.update_gauges(self);
        let state = self.state();
        self.metrics.version.set(state.version as i64);
        load::update_gauges(self, &state, now);
        self.metrics.targets.set(state.balancer.target_count() as i64);
        self.metrics.machines.set(state.membership.live_peers(now).count() as i64 + 1);
        for (kind, mirror) in &state.mirrors {
            let labels = KindLabels { kind: kind.label() };
            let age = mirror.age(now).as_micros() as f64 / 1e6;
            self.metrics.copy_age.get_or_create(&labels).set(age);
            self.metrics.copy_hops.get_or_create(&labels).set(i64::from(mirror.hops()));
        }
        self.metrics.era.set(state.era.era().number() as i64);
        self.metrics.held_targets.set(state.hold.targets.len() as i64);
        self.metrics.waiting.set(self.waiting.borrow().queue.len() as i64);
        self.metrics.in_flight.set(self.in_flight.get() as i64);
        self.metrics.connections.set(self.connections.count() as i64);
        self.metrics.body_bytes.set(self.bodies.used() as i64);
        self.metrics.body_bytes_peak.set(self.bodies.peak() as i64);
        self.metrics.transfers.set(self.bodies.transfers.count() as i64);
        drop(state);
        let own = SocketAddr::new(self.settings.address, self.settings.listen.callers.port());
        let is_entry = self.lookup_addresses(&self.settings.region).contains(&own);
        self.metrics.is_entry.set(i64::from(is_entry));
    }
}
