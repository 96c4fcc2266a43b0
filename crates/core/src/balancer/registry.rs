//! Targets are added, changed and removed as the registry lists them.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Balancer;
use crate::availability::{Availability, Entry, Update};
use crate::balance::{self, Estimate};
use crate::id::{ServiceId, TargetId};
use crate::target::{Target, TargetSpec};
use crate::time::{Instant, Span};
use crate::window;

impl Balancer {
    /// Adds a target or updates its registry entry. Returns its id and what the entry changed.
    pub fn upsert_target(&mut self, now: Instant, spec: TargetSpec) -> (TargetId, Update) {
        self.upsert(now, spec, Availability::record_entry)
    }

    /// Like [`Balancer::upsert_target`], for an entry of the first list after the registry was
    /// restored from an older snapshot.
    pub fn upsert_restored_target(&mut self, now: Instant, spec: TargetSpec) -> (TargetId, Update) {
        self.upsert(now, spec, Availability::record_restored_entry)
    }

    fn upsert(
        &mut self,
        now: Instant,
        spec: TargetSpec,
        record: impl Fn(&mut Availability, Instant, Entry) -> Update,
    ) -> (TargetId, Update) {
        let service = self.service_id(&spec.service);
        let Some(&id) = self.targets_by_name.get(&spec.id) else {
            return (self.insert_target(now, service, spec), Update::Restarted);
        };
        let target = &mut self.targets[id];
        let update = record(&mut target.availability, now, spec.entry());
        if update == Update::Outdated {
            return (id, update);
        }
        if update == Update::Restarted || target.spec.address != spec.address {
            // Measurements of the earlier lifetime or address no longer apply.
            target.measured_slowdown = 1.0;
            target.failure_score = 0.0;
            target.other_requests = 0.0;
            target.shared.reset();
            target.is_returning = false;
        }
        let (region, is_remote) = self.locate(&spec.centre);
        let target = &mut self.targets[id];
        if target.region != region || target.is_remote != is_remote {
            target.round_trip_ms = None;
        }
        (target.region, target.is_remote) = (region, is_remote);
        target.spec = spec;
        let former = std::mem::replace(&mut target.service, service);
        if former != service {
            self.services[former].targets.retain(|&other| other != id);
        }
        if !self.services[service].targets.contains(&id) {
            self.services[service].targets.push(id);
        }
        (id, update)
    }

    fn insert_target(&mut self, now: Instant, service: ServiceId, spec: TargetSpec) -> TargetId {
        let (region, is_remote) = self.locate(&spec.centre);
        let target = Target {
            region,
            service,
            hash_seed: xxh3_64_with_seed(spec.id.as_bytes(), 0),
            key: balance::target_key(&spec.id),
            is_remote,
            availability: Availability::new(now, spec.entry()),
            is_returning: false,
            running: Vec::new(),
            other_requests: 0.0,
            other_requests_at: now,
            shared: Estimate::new(),
            reported_slowdown: 1.0,
            reported_slowdown_at: now,
            measured_slowdown: 1.0,
            measured_slowdown_at: now,
            failure_score: 0.0,
            failure_score_at: now,
            round_trip_ms: None,
            cold_requests: window::Sliding::new(Span::from_secs(1)),
            spec,
        };
        let name = target.spec.id.clone();
        let id = self.targets.push(target);
        self.sharing.add_target(balance::target_key(&name), id);
        self.targets_by_name.insert(name, id);
        self.services[service].targets.push(id);
        id
    }

    /// The region of a data centre, and whether it is another one than this machine's. Data centres
    /// that the settings do not name are treated as remote.
    fn locate(&self, centre: &str) -> (usize, bool) {
        let region = self.centre_regions.get(centre).copied();
        (region.unwrap_or(usize::MAX), region != Some(self.region))
    }

    /// Records that the registry holds no valid entry of a target any more. Returns whether it held
    /// one. What is known of the target's lifetime is kept, since it may be listed again.
    pub fn remove_target(&mut self, name: &str) -> bool {
        let Some(&id) = self.targets_by_name.get(name) else { return false };
        let target = &mut self.targets[id];
        self.services[target.service].targets.retain(|&other| other != id);
        target.availability.record_removal()
    }
}
