//! The targets of all services as one machine sees them, and the choice between them.
//!
//! The choice answers loads near and above capacity: slots are few, work is long, and a target that
//! has recently handled an object is several times faster on it. Each candidate is ranked by the
//! time at which it would answer: the way there, the wait for a slot, and the work, which depends on
//! whether the target still has the object at hand. The targets of an object are tried in its
//! rendezvous order, weighted by the part of a target that the region of the request may use. All
//! machines of a region compute the same order, so they keep each object on the same few targets
//! without talking to each other.

use std::cmp::Ordering;
use std::collections::{HashMap, HashSet};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::flow;
use crate::id::{Arena, ServiceId, TargetId};
pub use crate::target::{AttemptOutcome, LoadReport, Target, TargetSpec};
use crate::target::{Running, as_ms, fade, span_ms};
use crate::time::{Instant, Span};
use crate::window::SlidingWindow;
use crate::work::{COPIES, Service};

/// The way to another region and back until it has been measured.
const FAR_WAY_MS: f64 = 50.0;
/// The way within a region and back until it has been measured.
const NEAR_WAY_MS: f64 = 3.0;
/// The demand of the regions is averaged over this time: the regions that serve a region's requests
/// must not change by more than some percent a second.
const DEMAND_MEMORY_MS: f64 = 8_000.0;
/// Requests a second, split equally between the regions, that are added to the demand measured, so
/// that few requests say little.
const FIRST_DEMAND: f64 = 10.0;
/// Added to the time of targets in other regions, since bytes between regions are priced.
const FAR_PENALTY_MS: f64 = 20.0;
/// Added for work at a target that does not keep the object, in cold work times: the work is several
/// times as long there, and it displaces an object that others ask for.
const COLD_PENALTY: f64 = 2.0;
/// Added for each earlier target in the object's order, in work times. The first target is left only
/// for a real wait: its copy of the object stays in use, takes fewer connections, and where places for
/// objects are short the second copy does not displace others.
const ORDER_PENALTY: f64 = 1.0;
/// Weight of one more sample in the pace of a target.
const PACE_WEIGHT: f64 = 0.3;
/// Added for each recent failure of a target, in work times.
const FAILURE_PENALTY: f64 = 1.5;
/// Requests that wait at a target beyond its slots before it is passed over, per slot.
const WAITING_PER_SLOT: f64 = 3.0;
/// Work at a cold target takes this many times as long.
const COLD_FACTOR: f64 = 2.0;
/// The part of a work time by which it is often shorter, if it has been learned, and if it is a
/// first guess.
const LEARNED_VARIES: f64 = 0.2;
const GUESS_VARIES: f64 = 0.6;
/// Machines that may use one cold target, so that the fleet's limit can be divided.
pub const COLD_TARGET_SENDERS: usize = 2;
/// The part of the fleet's limit on a cold target that is used.
const COLD_PART: f64 = 0.7;

/// The regions that may run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RegionSet(u64);

impl RegionSet {
    /// Any region.
    pub const ANY: RegionSet = RegionSet(u64::MAX);

    fn contains(self, region: usize) -> bool {
        self.0 & (1 << region.min(63)) != 0
    }
}

/// A request that needs a target.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a> {
    /// The service that is to run it.
    pub service: ServiceId,
    /// Hash of its route. Work times are learned by route: routes with other work that share a
    /// service must not blur them.
    pub route: u64,
    /// Hash of the object that it concerns, where that matters.
    pub object: Option<u64>,
    /// Regions that may run it.
    pub allowed_regions: RegionSet,
    /// Targets that have been tried.
    pub tried: &'a [TargetId],
    /// The time within which a reply has its full value.
    pub latency_objective: Span,
    /// The time that is left.
    pub time_left: Span,
}

/// A target for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// The target.
    pub target: TargetId,
    /// The time until its slot is expected to be free.
    pub expected_wait: Span,
    /// The time until the reply is expected.
    pub expected_latency: Span,
    /// The work time that is expected.
    pub expected_work_time: Span,
    /// Position of the target in the order of the object.
    pub position: usize,
    /// The route of the request.
    pub route: u64,
    /// Whether the target is one that keeps the object.
    pub is_cached: bool,
}

/// Why no target was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The service has no target that may be used.
    NoTarget,
    /// All slots are in use, and the earliest reply would come too late.
    Full(Backlog),
}

/// Why a request would come too late.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backlog {
    /// The time after which there may be room.
    pub retry_after: Span,
    /// The time until the earliest reply.
    pub expected_latency: Span,
    /// The time that was left.
    pub time_left: Span,
    /// Targets that might have run it.
    pub target_count: usize,
}

/// An attempt that runs at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Attempt {
    target: TargetId,
    number: u64,
}

/// The targets of all services.
#[derive(Debug)]
pub struct Balancer {
    region: usize,
    regions: Vec<String>,
    centres: HashMap<String, usize>,
    /// Parts of the regions in all requests.
    demand: Vec<f64>,
    demand_at: Instant,
    services: Arena<ServiceId, Service>,
    targets: Arena<TargetId, Target>,
    names: HashMap<String, TargetId>,
    evacuated: HashSet<String>,
    /// The shortest ways measured to targets in other regions and in the own one: those not measured
    /// yet are taken to be as near, or they would never be tried.
    far_way_ms: f64,
    near_way_ms: f64,
    attempts: u64,
    machine: String,
    machines: Vec<String>,
}

/// Settings of a fleet.
#[derive(Debug, Clone)]
pub struct Config {
    /// Name of this machine.
    pub machine: String,
    /// Region of this machine.
    pub region: String,
    /// Region of each data centre.
    pub centre_regions: HashMap<String, String>,
}

struct Ranked {
    target: TargetId,
    /// The expected time with what the choice costs others.
    rank_ms: f64,
    /// Whether so many requests wait there that it would not take another one.
    is_full: bool,
    total_ms: f64,
    /// The time by which it may be shorter.
    varies_ms: f64,
    wait_ms: f64,
    work_ms: f64,
    position: usize,
    is_cached: bool,
}

impl Ranked {
    /// The least time until a reply, as far as can be told: work times vary, and refusing by their
    /// average would refuse a route for good whose timeout is a little shorter.
    fn least_ms(&self) -> f64 {
        if self.is_full { f64::MAX } else { self.total_ms - self.varies_ms }
    }
}

/// A target that may run a request.
struct Candidate {
    target: TargetId,
    /// Place in the object's order; infinite outside it.
    order: f64,
}

/// The place of a target in an object's weighted rendezvous order: the lower, the earlier. See
/// Schindelhauer and Schomaker, "Weighted distributed hash tables" (SPAA 2005).
fn order(object: u64, seed: u64, weight: f64) -> f64 {
    let hash = xxh3_64_with_seed(&object.to_le_bytes(), seed);
    let uniform = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    if weight > 0.0 { -uniform.ln() / weight } else { f64::INFINITY }
}

impl Balancer {
    /// A fleet without targets.
    pub fn new(config: Config) -> Balancer {
        let mut regions: Vec<String> = config.centre_regions.values().cloned().collect();
        regions.sort_unstable();
        regions.dedup();
        let index = |region: &String| regions.iter().position(|other| other == region);
        let centres = config.centre_regions.iter();
        let centres = centres.map(|(centre, region)| (centre.clone(), index(region).unwrap_or(0)));
        let centres = centres.collect();
        let region = index(&config.region).unwrap_or(0);
        Balancer {
            region,
            centres,
            demand: vec![1.0 / regions.len().max(1) as f64; regions.len()],
            demand_at: Instant::ZERO,
            regions,
            services: Arena::new(),
            targets: Arena::new(),
            names: HashMap::new(),
            evacuated: HashSet::new(),
            far_way_ms: FAR_WAY_MS,
            near_way_ms: NEAR_WAY_MS,
            attempts: 0,
            machines: vec![config.machine.clone()],
            machine: config.machine,
        }
    }

    /// The regions called `names`; any region if there are none.
    pub fn region_set(&self, names: &[String]) -> RegionSet {
        if names.is_empty() {
            return RegionSet::ANY;
        }
        let indices = names.iter().filter_map(|name| self.regions.iter().position(|r| r == name));
        RegionSet(indices.fold(0, |homes, index| homes | 1 << index.min(63)))
    }

    /// Names of the regions, in the order in which their demand is set.
    pub fn regions(&self) -> &[String] {
        &self.regions
    }

    /// Takes in the demand of the regions in requests a second, which is averaged over
    /// [`DEMAND_MEMORY_MS`].
    pub fn record_demand(&mut self, now: Instant, demand: &[f64]) {
        let weight = 1.0 - fade(now, self.demand_at, DEMAND_MEMORY_MS);
        self.demand_at = now;
        let total: f64 = demand.iter().sum::<f64>() + FIRST_DEMAND;
        for (average, demand) in self.demand.iter_mut().zip(demand) {
            let part = (demand + FIRST_DEMAND / self.regions.len() as f64) / total;
            *average += weight * (part - *average);
        }
    }

    /// The key of the service called `name`.
    pub fn service_id(&mut self, name: &str) -> ServiceId {
        let known = self.services.find(|service| service.name == name);
        known.unwrap_or_else(|| self.services.push(Service::new(name)))
    }

    /// Sets the requests a second, over all machines, that a cold target of a service stands.
    pub fn set_cold_limit(&mut self, service: &str, per_s: f64) {
        let service = self.service_id(service);
        self.services[service].cold_per_s = per_s;
    }

    /// Sets the names of the live machines; this one belongs to them.
    pub fn set_live_machines(&mut self, machines: Vec<String>) {
        self.machines = machines;
    }

    /// Sets the data centres whose targets get nothing.
    pub fn set_evacuated_centres(&mut self, centres: HashSet<String>) {
        self.evacuated = centres;
    }

    /// Adds a target or takes in what the registry says of it now. Returns its key.
    pub fn upsert_target(&mut self, now: Instant, spec: TargetSpec) -> TargetId {
        let service = self.service_id(&spec.service);
        let known = self.names.get(&spec.id).copied();
        let cold_until = now + spec.cold_for;
        if let Some(id) = known
            && self.targets[id].service == service
        {
            let target = &mut self.targets[id];
            let is_new = target.spec.start_unix_ms != spec.start_unix_ms
                || target.spec.address != spec.address;
            if is_new {
                // The target has started again and holds nothing of before.
                target.pace = 1.0;
                target.failures = 0.0;
                target.others = 0.0;
                target.is_misplaced = false;
            }
            target.cold_until = cold_until;
            target.is_listed = true;
            target.spec = spec;
            return id;
        }
        // A target in a data centre that the settings do not name is used like one far away.
        let region = self.centres.get(&spec.centre).copied();
        let is_far = region != Some(self.region);
        let target = Target {
            region: region.unwrap_or(usize::MAX),
            service,
            seed: xxh3_64_with_seed(spec.id.as_bytes(), 0),
            is_far,
            is_listed: true,
            is_misplaced: false,
            cold_until,
            running: Vec::new(),
            others: 0.0,
            others_at: now,
            noise: 1.0,
            noise_at: now,
            pace: 1.0,
            pace_at: now,
            failures: 0.0,
            failures_at: now,
            way_ms: None,
            cold_starts: SlidingWindow::new(Span::from_secs(1)),
            spec,
        };
        let name = target.spec.id.clone();
        let id = self.targets.push(target);
        self.names.insert(name, id);
        self.services[service].targets.push(id);
        id
    }

    /// Takes in that the registry no longer lists a target. Returns whether it did before.
    pub fn remove_target(&mut self, name: &str) -> bool {
        let Some(&id) = self.names.get(name) else { return false };
        self.names.remove(name);
        let target = &mut self.targets[id];
        target.is_listed = false;
        self.services[target.service].targets.retain(|&other| other != id);
        true
    }

    /// A target.
    pub fn target(&self, id: TargetId) -> &Target {
        &self.targets[id]
    }

    /// Names of the listed targets.
    pub fn target_names(&self) -> impl Iterator<Item = &str> {
        self.names.keys().map(String::as_str)
    }

    /// The key of the target called `name`.
    pub fn find_target(&self, name: &str) -> Option<TargetId> {
        self.names.get(name).copied()
    }

    /// Whether requests may be sent to the target now.
    pub fn may_send(&self, id: TargetId) -> bool {
        let target = &self.targets[id];
        target.is_usable() && !self.evacuated.contains(&target.spec.centre)
    }

    /// The target that is expected to answer first, if it answers in time.
    pub fn choose(&mut self, now: Instant, query: &Query<'_>) -> Result<Choice, Refusal> {
        let mut ranked = self.rank(now, query);
        ranked.retain(|candidate| !query.tried.contains(&candidate.target));
        let target_count = ranked.len();
        let left_ms = as_ms(query.time_left);
        // What a choice costs others must not lead to one that comes too late.
        let is_late = |candidate: &Ranked| candidate.least_ms() > left_ms;
        let best = ranked.into_iter().min_by(|a, b| match (is_late(a), is_late(b)) {
            (false, false) => a.rank_ms.total_cmp(&b.rank_ms),
            (true, true) => a.least_ms().total_cmp(&b.least_ms()),
            (true, false) => Ordering::Greater,
            (false, true) => Ordering::Less,
        });
        let Some(best) = best else { return Err(Refusal::NoTarget) };
        if is_late(&best) {
            let retry_after = span_ms((best.total_ms - left_ms).max(best.wait_ms / 2.0));
            let (expected_latency, time_left) = (span_ms(best.total_ms), query.time_left);
            return Err(Refusal::Full(Backlog {
                retry_after,
                expected_latency,
                time_left,
                target_count,
            }));
        }
        Ok(Choice {
            target: best.target,
            expected_wait: span_ms(best.wait_ms),
            expected_latency: span_ms(best.total_ms),
            expected_work_time: span_ms(best.work_ms),
            position: best.position,
            route: query.route,
            is_cached: best.is_cached,
        })
    }

    /// Targets that may run a request, in the order of its object.
    fn candidates(&self, query: &Query<'_>) -> Vec<Candidate> {
        let service = &self.services[query.service];
        let mut capacity = vec![0.0; self.regions.len()];
        let mut targets = Vec::with_capacity(service.targets.len());
        for &id in &service.targets {
            let target = &self.targets[id];
            if query.allowed_regions.contains(target.region) && self.may_send(id) {
                targets.push(id);
                if let Some(capacity) = capacity.get_mut(target.region) {
                    *capacity += f64::from(target.spec.slots);
                }
            }
        }
        let shares = flow::shares(self.region, &self.demand, &capacity);
        let candidates = targets.into_iter().map(|id| {
            let target = &self.targets[id];
            let share = shares.get(target.region).copied().unwrap_or(0.0);
            let weight = share * f64::from(target.spec.slots);
            Candidate { target: id, order: order(query.object.unwrap_or(0), target.seed, weight) }
        });
        let mut candidates: Vec<Candidate> = candidates.collect();
        candidates.sort_unstable_by(|a, b| a.order.total_cmp(&b.order));
        candidates
    }

    fn rank(&mut self, now: Instant, query: &Query<'_>) -> Vec<Ranked> {
        let service = &self.services[query.service];
        let aim_ms = as_ms(query.latency_objective);
        let has_object = query.object.is_some();
        let work = service.works.get(&query.route).copied().unwrap_or_default();
        let usual_others = service.usual_others(now);
        let mut ranked = Vec::new();
        for (position, candidate) in self.candidates(query).into_iter().enumerate() {
            let target = &self.targets[candidate.target];
            let is_cached = has_object && position < COPIES && candidate.order.is_finite();
            let is_displacing = has_object && !is_cached;
            let factor = target.pace(now) * if target.is_cold(now) { COLD_FACTOR } else { 1.0 };
            let work_ms = work.expected_ms(aim_ms, is_cached) * factor;
            let slots = f64::from(target.spec.slots.max(1));
            let busy = target.in_flight() as f64 + target.others(now, usual_others);
            // Long work that waits would hold up the objects that the target keeps.
            let waiting = if is_displacing { 0.0 } else { WAITING_PER_SLOT };
            let is_full = busy >= slots * (1.0 + waiting);
            let mean_ms = service.mean_ms.unwrap_or(aim_ms) * factor;
            let wait_ms = (busy + 1.0 - slots).max(0.0) / slots * mean_ms;
            let way = self.way_ms(target);
            let mut total_ms = way + wait_ms + work_ms;
            total_ms += if target.is_far { FAR_PENALTY_MS } else { 0.0 };
            total_ms += target.failures(now) * FAILURE_PENALTY * work_ms;
            total_ms += if target.is_overdue(now) { mean_ms * 2.0 } else { 0.0 };
            let penalty = if is_cached { position as f64 * ORDER_PENALTY } else { 0.0 };
            let penalty = if is_displacing { COLD_PENALTY } else { penalty };
            ranked.push(Ranked {
                target: candidate.target,
                rank_ms: total_ms + work_ms * penalty,
                is_full,
                total_ms,
                varies_ms: work_ms
                    * if work.is_learned(is_cached) { LEARNED_VARIES } else { GUESS_VARIES },
                wait_ms,
                work_ms,
                position,
                is_cached,
            });
        }
        let cold_per_s = service.cold_per_s;
        ranked.retain(|candidate| self.is_in_cold_limit(now, candidate.target, cold_per_s));
        ranked
    }

    /// Whether this machine may send a request to a target that may be cold.
    fn is_in_cold_limit(&mut self, now: Instant, id: TargetId, per_s: f64) -> bool {
        let target = &mut self.targets[id];
        if !target.is_cold(now) || per_s <= 0.0 {
            return true;
        }
        let mut order: Vec<(u64, &str)> = Vec::with_capacity(self.machines.len());
        for machine in &self.machines {
            order.push((xxh3_64_with_seed(machine.as_bytes(), target.seed), machine));
        }
        order.sort_unstable();
        let is_user =
            order.iter().take(COLD_TARGET_SENDERS).any(|(_, machine)| *machine == self.machine);
        let limit = (per_s * COLD_PART / COLD_TARGET_SENDERS as f64).max(1.0);
        is_user && (target.cold_starts.count(now) as f64) + 1.0 <= limit
    }

    /// Counts an attempt at the target of `choice`.
    pub fn start_attempt(&mut self, now: Instant, choice: &Choice) -> Attempt {
        self.attempts += 1;
        let number = self.attempts;
        let target = &mut self.targets[choice.target];
        if target.is_cold(now) {
            target.cold_starts.record(now);
        }
        target.running.push(Running {
            number,
            start: now,
            expected_ms: as_ms(choice.expected_latency).max(1.0),
            route: choice.route,
            is_cached: choice.is_cached,
            is_queued: choice.expected_wait > Span::ZERO,
        });
        Attempt { target: choice.target, number }
    }

    /// Takes in what became of an attempt.
    pub fn finish_attempt(&mut self, now: Instant, attempt: Attempt, report: AttemptOutcome) {
        let target = &mut self.targets[attempt.target];
        let Some(at) = target.running.iter().position(|run| run.number == attempt.number) else {
            return;
        };
        let run = target.running.swap_remove(at);
        match report {
            AttemptOutcome::Answered => self.learn(now, attempt.target, &run),
            // The work takes at least this long.
            AttemptOutcome::TimedOut => self.learn_time(now, attempt.target, &run),
            AttemptOutcome::Shed => target.fail(now, 0.5),
            AttemptOutcome::Gone => target.is_misplaced = true,
            AttemptOutcome::Unreachable => target.fail(now, 4.0),
            AttemptOutcome::Lost => target.fail(now, 1.0),
            AttemptOutcome::Cancelled => {}
        }
    }

    fn learn(&mut self, now: Instant, id: TargetId, run: &Running) {
        let target = &mut self.targets[id];
        target.failures = target.failures(now) * 0.5;
        target.failures_at = now;
        self.learn_time(now, id, run);
    }

    /// Takes in how long an attempt took, if it did not wait for a slot.
    fn learn_time(&mut self, now: Instant, id: TargetId, run: &Running) {
        let way = self.way_ms(&self.targets[id]);
        let target = &mut self.targets[id];
        if run.is_queued || target.is_cold(now) {
            return;
        }
        let ms = (as_ms(now.since(run.start)) - way).max(0.5);
        let usual_ms = self.services[target.service].learn(run, ms);
        let ratio = (ms / usual_ms).clamp(0.25, 8.0);
        target.pace =
            (target.pace(now) * (1.0 - PACE_WEIGHT) + ratio * PACE_WEIGHT).clamp(0.6, 8.0);
        target.pace_at = now;
    }

    /// Takes in a target's report of its load, which counts requests of all machines.
    pub fn record_load(&mut self, now: Instant, id: TargetId, load: LoadReport) {
        let target = &mut self.targets[id];
        let own = target.in_flight() as f64;
        let others = (f64::from(load.running + load.waiting) - own).max(0.0);
        target.others = others;
        target.others_at = now;
        target.noise = f64::from(load.work_time_percent) / 100.0;
        target.noise_at = now;
        self.services[target.service].note_others(now, others);
    }

    /// The way to a target and back.
    fn way_ms(&self, target: &Target) -> f64 {
        let first_ms = if target.is_far { self.far_way_ms } else { self.near_way_ms };
        target.way_ms.unwrap_or(first_ms)
    }

    /// Takes in the time that a connection to the target took, which is the way there and back.
    pub fn record_round_trip(&mut self, id: TargetId, way: Span) {
        let target = &mut self.targets[id];
        let ms = as_ms(way);
        target.way_ms = Some(target.way_ms.map_or(ms, |before| before.min(ms)));
        if target.is_far {
            self.far_way_ms = self.far_way_ms.min(ms).max(NEAR_WAY_MS);
        } else {
            self.near_way_ms = self.near_way_ms.min(ms);
        }
    }
}
