//! Chooses a target for each request among the targets that one machine knows.
//!
//! The services run near and above capacity with few slots per target and long work, and a target
//! that has recently handled an object has it cached and is several times faster on it. Each
//! candidate is ranked by its expected latency: round trip, wait for a slot, and work, which
//! depends on whether the object is cached there. The targets of an object are ordered by weighted
//! rendezvous hashing; a target's weight is the part of it that the region of the request may use.
//! All machines of a region compute the same order, so they keep each object on the same few
//! targets without coordination.

mod query;
mod ranking;
mod record;
mod registry;
mod sharing;

use std::collections::{HashMap, HashSet};

use crate::id::{Arena, ServiceId, TargetId};
use crate::target::decay;
pub use crate::target::{Load, Outcome, Target, TargetSpec};
use crate::time::Instant;
use crate::work::Service;
pub use query::{Backlog, Choice, Query, Refusal, RegionSet};
pub use ranking::COLD_TARGET_SENDERS;
use sharing::Sharing;
pub use sharing::Spread;

/// Round trip time to another region until one has been measured.
const INITIAL_REMOTE_ROUND_TRIP_MS: f64 = 50.0;
/// Round trip time within the region until one has been measured.
const INITIAL_LOCAL_ROUND_TRIP_MS: f64 = 3.0;
/// Time constant of the average of the regions' demand. The set of regions that serve a region's
/// requests must not change by more than a few percent a second.
const DEMAND_TIME_CONSTANT_MS: f64 = 8_000.0;
/// Demand, split equally between the regions, that is added to the measured one so that a few
/// requests do not decide the shares.
const PRIOR_DEMAND_PER_S: f64 = 10.0;

/// Handle of an attempt in flight at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Attempt {
    target: TargetId,
    number: u64,
}

/// The targets of all services, and the state from which one is chosen.
#[derive(Debug)]
pub struct Balancer {
    region: usize,
    regions: Vec<String>,
    centre_regions: HashMap<String, usize>,
    /// Share of each region in all requests, averaged.
    demand_shares: Vec<f64>,
    demand_updated_at: Instant,
    services: Arena<ServiceId, Service>,
    targets: Arena<TargetId, Target>,
    targets_by_name: HashMap<String, TargetId>,
    evacuated_centres: HashSet<String>,
    /// Shortest round trip times measured to targets in other regions and in the own one. Targets
    /// without a measurement are assumed to be as near, or they would never be tried.
    min_remote_round_trip_ms: f64,
    min_local_round_trip_ms: f64,
    attempt_count: u64,
    machine: String,
    live_machines: Vec<String>,
    sharing: Sharing,
}

/// Settings of a balancer.
#[derive(Debug, Clone)]
pub struct Config {
    /// Name of this machine.
    pub machine: String,
    /// Region of this machine.
    pub region: String,
    /// Region of each data centre, by the data centre's name.
    pub centre_regions: HashMap<String, String>,
}

impl Balancer {
    /// Creates a balancer without targets.
    pub fn new(config: Config) -> Balancer {
        let mut regions: Vec<String> = config.centre_regions.values().cloned().collect();
        regions.sort_unstable();
        regions.dedup();
        let index = |region: &String| regions.iter().position(|other| other == region);
        let centre_regions = config.centre_regions.iter();
        let centre_regions =
            centre_regions.map(|(centre, region)| (centre.clone(), index(region).unwrap_or(0)));
        let centre_regions = centre_regions.collect();
        let region = index(&config.region).unwrap_or(0);
        Balancer {
            region,
            centre_regions,
            demand_shares: vec![1.0 / regions.len().max(1) as f64; regions.len()],
            demand_updated_at: Instant::ZERO,
            regions,
            services: Arena::new(),
            targets: Arena::new(),
            targets_by_name: HashMap::new(),
            evacuated_centres: HashSet::new(),
            min_remote_round_trip_ms: INITIAL_REMOTE_ROUND_TRIP_MS,
            min_local_round_trip_ms: INITIAL_LOCAL_ROUND_TRIP_MS,
            attempt_count: 0,
            live_machines: vec![config.machine.clone()],
            sharing: Sharing::new(&config.machine),
            machine: config.machine,
        }
    }

    /// The set of the regions in `names`, or [`RegionSet::ANY`] if `names` is empty. Unknown names
    /// are ignored.
    pub fn region_set(&self, names: &[String]) -> RegionSet {
        if names.is_empty() {
            return RegionSet::ANY;
        }
        let indices = names.iter().filter_map(|name| self.regions.iter().position(|r| r == name));
        RegionSet(indices.fold(0, |set, index| set | 1 << index.min(63)))
    }

    /// Names of the regions, in the order that [`Balancer::record_demand`] expects.
    pub fn regions(&self) -> &[String] {
        &self.regions
    }

    /// Records the demand of each region in requests a second. The demand is averaged with a time
    /// constant of 8 s.
    pub fn record_demand(&mut self, now: Instant, demand: &[f64]) {
        let weight = 1.0 - decay(now, self.demand_updated_at, DEMAND_TIME_CONSTANT_MS);
        self.demand_updated_at = now;
        let total: f64 = demand.iter().sum::<f64>() + PRIOR_DEMAND_PER_S;
        for (average, demand) in self.demand_shares.iter_mut().zip(demand) {
            let share = (demand + PRIOR_DEMAND_PER_S / self.regions.len() as f64) / total;
            *average += weight * (share - *average);
        }
    }

    /// The id of the service called `name`, which is added if it is unknown.
    pub fn service_id(&mut self, name: &str) -> ServiceId {
        let known = self.services.find(|service| service.name == name);
        known.unwrap_or_else(|| self.services.push(Service::new(name)))
    }

    /// Sets the requests a second that one cold target of `service` can take from all machines
    /// together; 0 for no limit.
    pub fn set_cold_limit(&mut self, service: &str, per_s: f64) {
        let service = self.service_id(service);
        self.services[service].cold_per_s = per_s;
    }

    /// Sets the names of the live machines, this one included.
    pub fn set_live_machines(&mut self, live_machines: Vec<String>) {
        self.live_machines = live_machines;
    }

    /// Sets the data centres whose targets get no requests.
    pub fn set_evacuated_centres(&mut self, evacuated_centres: HashSet<String>) {
        self.evacuated_centres = evacuated_centres;
    }

    /// The target with id `id`.
    pub fn target(&self, id: TargetId) -> &Target {
        &self.targets[id]
    }

    /// The number of listed targets.
    pub fn target_count(&self) -> usize {
        self.targets.values().filter(|target| target.availability.is_listed()).count()
    }

    /// The id of the listed target called `name`.
    pub fn find_target(&self, name: &str) -> Option<TargetId> {
        let id = self.targets_by_name.get(name).copied()?;
        self.targets[id].availability.is_listed().then_some(id)
    }

    /// Whether requests may be sent to the target at `now`.
    pub fn may_send(&self, now: Instant, id: TargetId) -> bool {
        let target = &self.targets[id];
        target.is_usable(now) && !self.evacuated_centres.contains(&target.spec.centre)
    }

    /// The measured or assumed round trip time to a target.
    fn round_trip_ms(&self, target: &Target) -> f64 {
        let assumed_ms = if target.is_remote {
            self.min_remote_round_trip_ms
        } else {
            self.min_local_round_trip_ms
        };
        target.round_trip_ms.unwrap_or(assumed_ms)
    }
}
