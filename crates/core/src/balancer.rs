//! Chooses a target for each request among the targets that one machine knows.
//!
//! The services run near and above capacity with few slots per target and long work, and a target
//! that has recently handled an object has it cached and is several times faster on it. Each
//! candidate is ranked by its expected latency: round trip, wait for a slot, and work, which
//! depends on whether the object is cached there. The targets of an object are ordered by weighted
//! rendezvous hashing; a target's weight is the part of it that the region of the request may use.
//! All machines of a region compute the same order, so they keep each object on the same few
//! targets without coordination.

use std::cmp::Ordering;
use std::collections::{HashMap, HashSet};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::availability::{self, Availability, Entry, Lifetime, State, Update};
use crate::capacity;
use crate::id::{Arena, ServiceId, TargetId};
pub use crate::target::{Load, Outcome, Target, TargetSpec};
use crate::target::{RunningAttempt, as_ms, decay, span_from_ms};
use crate::time::{Instant, Span};
use crate::window;
use crate::work::{CACHING_TARGETS, Service};

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
/// Added to the latency of targets in other regions, since traffic between regions is billed.
const REMOTE_PENALTY_MS: f64 = 20.0;
/// Cost, in uncached work times, of a target that does not cache the object: work takes much
/// longer there, and it evicts an object that other requests need.
const UNCACHED_PENALTY: f64 = 2.0;
/// Cost, in work times, of each position in the object's order. A request leaves the first target
/// only for a real wait: the copy there stays in use, fewer connections are needed, and where cache
/// space is short a second copy does not evict other objects.
const POSITION_PENALTY: f64 = 1.0;
/// Weight of a new sample in the measured slowdown of a target.
const SLOWDOWN_SAMPLE_WEIGHT: f64 = 0.3;
/// Added to the latency for each point of the failure score, in work times.
const FAILURE_PENALTY: f64 = 1.5;
/// Requests per slot that may wait at a target before it counts as full.
const MAX_WAITING_PER_SLOT: f64 = 3.0;
/// Factor on the work time at a cold (recently started) target.
const COLD_WORK_FACTOR: f64 = 2.0;
/// The part of the expected work time by which work is often shorter: for learned work times, and
/// for initial guesses.
const LEARNED_WORK_VARIATION: f64 = 0.2;
const INITIAL_WORK_VARIATION: f64 = 0.6;
/// Machines that may send to one cold target, so that the fleet-wide limit can be divided.
pub const COLD_TARGET_SENDERS: usize = 2;
/// The part of the fleet-wide limit on a cold target that is used.
const COLD_LIMIT_SHARE: f64 = 0.7;

/// Machines that a target has turned away at one moment come back within this part of the time that
/// it asked for, each at a time of its own.
const RETURN_SPREAD: f64 = 0.25;

/// A set of regions that may run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RegionSet(u64);

impl RegionSet {
    /// All regions.
    pub const ANY: RegionSet = RegionSet(u64::MAX);

    /// The regions that are in both sets.
    pub const fn intersection(self, other: RegionSet) -> RegionSet {
        RegionSet(self.0 & other.0)
    }

    fn contains(self, region: usize) -> bool {
        self.0 & (1 << region.min(63)) != 0
    }
}

/// A request that needs a target.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a> {
    /// The service that runs it.
    pub service: ServiceId,
    /// Hash of its route. Work times are learned per route, since routes of one service differ in
    /// their work.
    pub route: u64,
    /// Hash of the object that it concerns, if the route has affinity.
    pub object: Option<u64>,
    /// Regions that may run it.
    pub allowed_regions: RegionSet,
    /// Targets that have already been tried.
    pub tried: &'a [TargetId],
    /// The latency within which a reply has its full value.
    pub latency_objective: Span,
    /// The time until the deadline.
    pub time_left: Span,
}

/// A target chosen for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// The target.
    pub target: TargetId,
    /// The expected time until a slot is free.
    pub expected_wait: Span,
    /// The expected time until the reply.
    pub expected_latency: Span,
    /// The expected work time.
    pub expected_work_time: Span,
    /// Position of the target in the object's rendezvous order, from 0.
    pub position: usize,
    /// Hash of the route of the request.
    pub route: u64,
    /// Whether the target is expected to have the object cached.
    pub is_cached: bool,
    /// The target's lifetime, to which its reply belongs.
    pub lifetime: Lifetime,
}

/// Why no target was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// No target of the service may be used.
    NoTarget,
    /// The earliest expected reply would miss the deadline.
    Full(Backlog),
    /// Every target that may be used has turned this machine away, the first one for this long.
    TurnedAway(Span),
}

/// The load behind [`Refusal::Full`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backlog {
    /// The time after which a retry may find a free slot.
    pub retry_after: Span,
    /// The time until the earliest expected reply.
    pub expected_latency: Span,
    /// The time that was left until the deadline.
    pub time_left: Span,
    /// Number of targets that could have run the request.
    pub target_count: usize,
}

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

/// A candidate with its expected latency and cost.
struct RankedTarget {
    target: TargetId,
    /// The latency plus the cost of the choice to other requests.
    cost_ms: f64,
    /// Whether so many requests wait there that it would shed another one.
    is_queue_full: bool,
    latency_ms: f64,
    /// The time by which the latency is often shorter.
    variation_ms: f64,
    wait_ms: f64,
    work_ms: f64,
    position: usize,
    is_cached: bool,
}

impl RankedTarget {
    /// The shortest plausible latency. Refusing by the average work time would refuse every request
    /// of a route whose timeout is slightly below the average.
    fn min_latency_ms(&self) -> f64 {
        if self.is_queue_full { f64::MAX } else { self.latency_ms - self.variation_ms }
    }
}

/// A target that may run a request.
struct Candidate {
    target: TargetId,
    /// Sort key in the object's rendezvous order; infinite if the target is not in it.
    key: f64,
}

/// The sort key of a target in an object's weighted rendezvous order, lowest first. See
/// Schindelhauer and Schomaker, "Weighted distributed hash tables" (SPAA 2005).
fn rendezvous_key(object: u64, hash_seed: u64, weight: f64) -> f64 {
    let hash = xxh3_64_with_seed(&object.to_le_bytes(), hash_seed);
    let uniform = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    if weight > 0.0 { -uniform.ln() / weight } else { f64::INFINITY }
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
            is_remote,
            availability: Availability::new(now, spec.entry()),
            is_returning: false,
            running: Vec::new(),
            other_requests: 0.0,
            other_requests_at: now,
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

    /// Records that a reply of `lifetime` says that the target is leaving. Returns whether this was
    /// unknown.
    pub fn record_leaving(&mut self, id: TargetId, lifetime: Lifetime) -> bool {
        self.targets[id].availability.record_leaving(lifetime)
    }

    /// Records that a reply of `lifetime` turns this machine away for `wait`.
    pub fn record_refusal(&mut self, now: Instant, id: TargetId, lifetime: Lifetime, wait: Span) {
        let target = &mut self.targets[id];
        let hash = xxh3_64_with_seed(self.machine.as_bytes(), target.hash_seed);
        let spread = RETURN_SPREAD * (hash as f64 / u64::MAX as f64);
        let wait = wait.min(availability::MAX_REFUSAL);
        let wait = wait + Span::from_micros((wait.as_micros() as f64 * spread) as u64);
        target.availability.record_refusal(now, lifetime, wait);
        target.is_returning = true;
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

    /// The time after which the first target that has turned this machine away may be used again, if
    /// there is one that may run the request.
    fn refusal_wait(&self, now: Instant, query: &Query<'_>) -> Option<Span> {
        let targets = self.services[query.service].targets.iter().map(|&id| &self.targets[id]);
        let ends = targets
            .filter(|target| query.allowed_regions.contains(target.region))
            .filter(|target| !self.evacuated_centres.contains(&target.spec.centre))
            .filter_map(|target| match target.availability.state(now) {
                State::Refusing(end) => Some(end.since(now)),
                _ => None,
            });
        ends.min()
    }

    /// Chooses the target with the lowest cost among those that are expected to reply in time.
    ///
    /// Errors: [`Refusal`], if there is none.
    pub fn choose(&mut self, now: Instant, query: &Query<'_>) -> Result<Choice, Refusal> {
        let mut ranked = self.rank_candidates(now, query);
        ranked.retain(|candidate| !query.tried.contains(&candidate.target));
        let target_count = ranked.len();
        let time_left_ms = as_ms(query.time_left);
        // Deadlines go before costs: a cheaper target that would reply too late must not win.
        let is_late = |candidate: &RankedTarget| candidate.min_latency_ms() > time_left_ms;
        let best = ranked.into_iter().min_by(|a, b| match (is_late(a), is_late(b)) {
            (false, false) => a.cost_ms.total_cmp(&b.cost_ms),
            (true, true) => a.min_latency_ms().total_cmp(&b.min_latency_ms()),
            (true, false) => Ordering::Greater,
            (false, true) => Ordering::Less,
        });
        let Some(best) = best else {
            let wait = self.refusal_wait(now, query);
            return Err(wait.map_or(Refusal::NoTarget, Refusal::TurnedAway));
        };
        if is_late(&best) {
            let retry_after =
                span_from_ms((best.latency_ms - time_left_ms).max(best.wait_ms / 2.0));
            let (expected_latency, time_left) = (span_from_ms(best.latency_ms), query.time_left);
            return Err(Refusal::Full(Backlog {
                retry_after,
                expected_latency,
                time_left,
                target_count,
            }));
        }
        Ok(Choice {
            target: best.target,
            expected_wait: span_from_ms(best.wait_ms),
            expected_latency: span_from_ms(best.latency_ms),
            expected_work_time: span_from_ms(best.work_ms),
            position: best.position,
            route: query.route,
            is_cached: best.is_cached,
            lifetime: self.targets[best.target].availability.lifetime(),
        })
    }

    /// Targets that may run the request, in the rendezvous order of its object.
    fn candidates(&self, now: Instant, query: &Query<'_>) -> Vec<Candidate> {
        let service = &self.services[query.service];
        let mut capacity = vec![0.0; self.regions.len()];
        let mut targets = Vec::with_capacity(service.targets.len());
        for &id in &service.targets {
            let target = &self.targets[id];
            if query.allowed_regions.contains(target.region) && self.may_send(now, id) {
                targets.push(id);
                if let Some(capacity) = capacity.get_mut(target.region) {
                    *capacity += f64::from(target.spec.slots);
                }
            }
        }
        let shares = capacity::shares(self.region, &self.demand_shares, &capacity);
        let candidates = targets.into_iter().map(|id| {
            let target = &self.targets[id];
            let share = shares.get(target.region).copied().unwrap_or(0.0);
            let weight = share * f64::from(target.spec.slots);
            Candidate {
                target: id,
                key: rendezvous_key(query.object.unwrap_or(0), target.hash_seed, weight),
            }
        });
        let mut candidates: Vec<Candidate> = candidates.collect();
        candidates.sort_unstable_by(|a, b| a.key.total_cmp(&b.key));
        candidates
    }

    fn rank_candidates(&mut self, now: Instant, query: &Query<'_>) -> Vec<RankedTarget> {
        let service = &self.services[query.service];
        let objective_ms = as_ms(query.latency_objective);
        let has_object = query.object.is_some();
        let work = service.work_times.get(&query.route).copied().unwrap_or_default();
        let usual_other_requests = service.usual_other_requests(now);
        let mut ranked = Vec::new();
        for (position, candidate) in self.candidates(now, query).into_iter().enumerate() {
            let target = &self.targets[candidate.target];
            let is_cached = has_object && position < CACHING_TARGETS && candidate.key.is_finite();
            let would_displace = has_object && !is_cached;
            let factor =
                target.slowdown(now) * if target.is_cold(now) { COLD_WORK_FACTOR } else { 1.0 };
            let work_ms = work.expected_ms(objective_ms, is_cached) * factor;
            let slots = f64::from(target.spec.slots.max(1));
            let requests =
                target.in_flight() as f64 + target.other_requests(now, usual_other_requests);
            // A target that does not cache the object must not queue it: long work in the queue
            // would delay requests for the objects that it caches.
            let waiting = if would_displace { 0.0 } else { MAX_WAITING_PER_SLOT };
            let is_queue_full = requests >= slots * (1.0 + waiting);
            let mean_ms = service.mean_ms.unwrap_or(objective_ms) * factor;
            let wait_ms = (requests + 1.0 - slots).max(0.0) / slots * mean_ms;
            let round_trip_ms = self.round_trip_ms(target);
            let mut latency_ms = round_trip_ms + wait_ms + work_ms;
            latency_ms += if target.is_remote { REMOTE_PENALTY_MS } else { 0.0 };
            latency_ms += target.failure_score(now) * FAILURE_PENALTY * work_ms;
            latency_ms += if target.is_overdue(now) { mean_ms * 2.0 } else { 0.0 };
            let penalty = if is_cached { position as f64 * POSITION_PENALTY } else { 0.0 };
            let penalty = if would_displace { UNCACHED_PENALTY } else { penalty };
            ranked.push(RankedTarget {
                target: candidate.target,
                cost_ms: latency_ms + work_ms * penalty,
                is_queue_full,
                latency_ms,
                variation_ms: work_ms
                    * if work.is_learned(is_cached) {
                        LEARNED_WORK_VARIATION
                    } else {
                        INITIAL_WORK_VARIATION
                    },
                wait_ms,
                work_ms,
                position,
                is_cached,
            });
        }
        let cold_per_s = service.cold_per_s;
        ranked.retain(|candidate| {
            self.targets[candidate.target].may_return()
                && self.is_within_cold_limit(now, candidate.target, cold_per_s)
        });
        ranked
    }

    /// Whether a request to the target keeps within the limit on cold targets, if the target is
    /// cold. [`COLD_TARGET_SENDERS`] machines, picked by rendezvous hashing, share the limit.
    fn is_within_cold_limit(&mut self, now: Instant, id: TargetId, per_s: f64) -> bool {
        let target = &mut self.targets[id];
        if !target.is_cold(now) || per_s <= 0.0 {
            return true;
        }
        let mut senders: Vec<(u64, &str)> = Vec::with_capacity(self.live_machines.len());
        for machine in &self.live_machines {
            senders.push((xxh3_64_with_seed(machine.as_bytes(), target.hash_seed), machine));
        }
        senders.sort_unstable();
        let is_sender =
            senders.iter().take(COLD_TARGET_SENDERS).any(|(_, machine)| *machine == self.machine);
        let limit = (per_s * COLD_LIMIT_SHARE / COLD_TARGET_SENDERS as f64).max(1.0);
        is_sender && (target.cold_requests.count(now) as f64) + 1.0 <= limit
    }

    /// Records an attempt at the target of `choice` and returns its handle.
    pub fn start_attempt(&mut self, now: Instant, choice: &Choice) -> Attempt {
        self.attempt_count += 1;
        let number = self.attempt_count;
        let target = &mut self.targets[choice.target];
        if target.is_cold(now) {
            target.cold_requests.record(now);
        }
        target.running.push(RunningAttempt {
            number,
            lifetime: choice.lifetime,
            start: now,
            expected_ms: as_ms(choice.expected_latency).max(1.0),
            route: choice.route,
            is_cached: choice.is_cached,
            is_queued: choice.expected_wait > Span::ZERO,
        });
        Attempt { target: choice.target, number }
    }

    /// Ends an attempt and records its outcome.
    pub fn finish_attempt(&mut self, now: Instant, attempt: Attempt, outcome: Outcome) {
        let target = &mut self.targets[attempt.target];
        let Some(at) = target.running.iter().position(|run| run.number == attempt.number) else {
            return;
        };
        let run = target.running.swap_remove(at);
        match outcome {
            Outcome::Answered => self.record_answer(now, attempt.target, &run),
            // The work takes at least as long as the attempt has lasted.
            Outcome::TimedOut => self.record_work_time(now, attempt.target, &run),
            Outcome::Shed => target.add_failure(now, 0.5),
            Outcome::Gone => target.availability.record_misdirection(run.lifetime),
            Outcome::Unreachable => target.add_failure(now, 4.0),
            Outcome::Lost => target.add_failure(now, 1.0),
            Outcome::Cancelled => {}
        }
    }

    fn record_answer(&mut self, now: Instant, id: TargetId, run: &RunningAttempt) {
        let target = &mut self.targets[id];
        target.failure_score = target.failure_score(now) * 0.5;
        target.failure_score_at = now;
        target.is_returning &= run.start < target.availability.refusing_until();
        self.record_work_time(now, id, run);
    }

    /// Records the duration of an attempt, unless it waited for a slot or its target is cold.
    fn record_work_time(&mut self, now: Instant, id: TargetId, run: &RunningAttempt) {
        let round_trip_ms = self.round_trip_ms(&self.targets[id]);
        let target = &mut self.targets[id];
        if run.is_queued || target.is_cold(now) {
            return;
        }
        let ms = (as_ms(now.since(run.start)) - round_trip_ms).max(0.5);
        let usual_ms = self.services[target.service].record_work_time(run, ms);
        let ratio = (ms / usual_ms).clamp(0.25, 8.0);
        target.measured_slowdown = (target.slowdown(now) * (1.0 - SLOWDOWN_SAMPLE_WEIGHT)
            + ratio * SLOWDOWN_SAMPLE_WEIGHT)
            .clamp(0.6, 8.0);
        target.measured_slowdown_at = now;
    }

    /// Records a target's load report, which counts the requests of all machines.
    pub fn record_load(&mut self, now: Instant, id: TargetId, load: Load) {
        let target = &mut self.targets[id];
        let own = target.in_flight() as f64;
        let other_requests = (f64::from(load.running + load.waiting) - own).max(0.0);
        target.other_requests = other_requests;
        target.other_requests_at = now;
        target.reported_slowdown = f64::from(load.work_time_percent) / 100.0;
        target.reported_slowdown_at = now;
        self.services[target.service].record_other_requests(now, other_requests);
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

    /// Records the time that connecting to the target took, which is one round trip.
    pub fn record_round_trip(&mut self, id: TargetId, round_trip: Span) {
        let target = &mut self.targets[id];
        let ms = as_ms(round_trip);
        target.round_trip_ms = Some(target.round_trip_ms.map_or(ms, |before| before.min(ms)));
        if target.is_remote {
            self.min_remote_round_trip_ms =
                self.min_remote_round_trip_ms.min(ms).max(INITIAL_LOCAL_ROUND_TRIP_MS);
        } else {
            self.min_local_round_trip_ms = self.min_local_round_trip_ms.min(ms);
        }
    }
}
