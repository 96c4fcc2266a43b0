//! Ranks the targets that may run a request, and chooses one.

use std::cmp::Ordering;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Balancer;
use super::query::{Backlog, Choice, Query, Refusal};
use crate::availability::State;
use crate::balance::Copies;
use crate::capacity;
use crate::id::TargetId;
use crate::target::{MAX_WAITING_PER_SLOT, as_ms, span_from_ms};
use crate::time::{Instant, Span};
use crate::work::CACHING_TARGETS;

/// Added to the latency of targets in other regions, since traffic between regions is billed.
const REMOTE_PENALTY_MS: f64 = 20.0;
/// Cost, in uncached work times, of a target that does not cache the object: work takes much
/// longer there, and it evicts an object that other requests need.
const UNCACHED_PENALTY: f64 = 2.0;
/// Cost, in work times, of each position in the object's order. A request leaves the first target
/// only for a real wait: the copy there stays in use, fewer connections are needed, and where cache
/// space is short a second copy does not evict other objects.
const POSITION_PENALTY: f64 = 1.0;
/// If load is shared, requests per slot up to which a target that does not cache the object gets a
/// request at the first attempt. Up to 1.0, uncached work was 2.9% instead of 1.1% of the work.
const MAX_SPILL_LOAD: f64 = 0.25;
/// If load is shared, requests per slot up to which the duration of an attempt counts as work time.
/// Above it, it may include a wait, as the load is not known exactly.
const MAX_UNQUEUED_LOAD: f64 = 0.5;
/// Added to the latency for each point of the failure score, in work times.
const FAILURE_PENALTY: f64 = 1.5;
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

/// A candidate with its expected latency and cost.
struct RankedTarget {
    target: TargetId,
    /// The latency plus the cost of the choice to other requests.
    cost_ms: f64,
    /// The part of the cost that is due to the load of the target, if load is shared.
    load_ms: f64,
    /// Whether so many requests wait there that it would shed another one.
    is_queue_full: bool,
    latency_ms: f64,
    /// The time by which the latency is often shorter.
    variation_ms: f64,
    wait_ms: f64,
    /// Whether the request may have to wait for a slot.
    may_wait: bool,
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

/// Makes the load count only between targets that cache the object. Others are not chosen because
/// they are less busy: the longer work there would take more from other requests than it spares.
fn compare_without_load(ranked: &mut [RankedTarget]) {
    let cached = ranked.iter().filter(|candidate| candidate.is_cached);
    let Some(best) = cached.min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms)) else { return };
    let load_ms = best.load_ms;
    for candidate in ranked.iter_mut().filter(|candidate| !candidate.is_cached) {
        candidate.cost_ms += (load_ms - candidate.load_ms).max(0.0);
    }
}

impl Balancer {
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
        if let (true, Some(object)) = (self.sharing.is_on, query.object) {
            self.services[query.service].variety.record(now, object);
        }
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
            may_wait: best.may_wait,
            expected_latency: span_from_ms(best.latency_ms),
            expected_work_time: span_from_ms(best.work_ms),
            position: best.position,
            route: query.route,
            is_cached: best.is_cached,
            lifetime: self.targets[best.target].availability.lifetime(),
        })
    }

    /// Targets that may run the request, in the rendezvous order of its object, and how many of them
    /// the region may use, counted by its shares.
    fn candidates(&self, now: Instant, query: &Query<'_>) -> (Vec<Candidate>, f64) {
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
        let mut usable_targets = 0.0;
        let candidates = targets.into_iter().map(|id| {
            let target = &self.targets[id];
            let share = shares.get(target.region).copied().unwrap_or(0.0);
            usable_targets += share;
            let weight = share * f64::from(target.spec.slots);
            Candidate {
                target: id,
                key: rendezvous_key(query.object.unwrap_or(0), target.hash_seed, weight),
            }
        });
        let mut candidates: Vec<Candidate> = candidates.collect();
        candidates.sort_unstable_by(|a, b| a.key.total_cmp(&b.key));
        (candidates, usable_targets)
    }

    fn rank_candidates(&mut self, now: Instant, query: &Query<'_>) -> Vec<RankedTarget> {
        let service = &self.services[query.service];
        let objective_ms = as_ms(query.latency_objective);
        let has_object = query.object.is_some();
        let work = service.work_times.get(&query.route).copied().unwrap_or_default();
        let usual_other_requests = service.usual_other_requests(now);
        let usual_excess = service.usual_excess(now);
        let is_shared = self.sharing.is_on && service.reports_load;
        let report_weight = if is_shared { self.sharing.report_weight() } else { 0.0 };
        let (candidates, usable_targets) = self.candidates(now, query);
        let costs = self.sharing.preference.costs();
        let copies = match query.object {
            Some(object) if is_shared => {
                service.variety.copies(object, usable_targets, costs.max_copies)
            }
            _ => Copies { count: CACHING_TARGETS, has_room: false },
        };
        let is_spill_limited = is_shared && query.tried.is_empty();
        let load_penalty =
            if copies.has_room || !has_object { costs.load } else { costs.scarce_load };
        let mut ranked = Vec::new();
        for (position, candidate) in candidates.into_iter().enumerate() {
            let target = &self.targets[candidate.target];
            let is_cached = has_object && position < copies.count && candidate.key.is_finite();
            let would_displace = has_object && !is_cached;
            let factor =
                target.slowdown(now) * if target.is_cold(now) { COLD_WORK_FACTOR } else { 1.0 };
            let work_ms = work.expected_ms(objective_ms, is_cached) * factor;
            let slots = f64::from(target.spec.slots.max(1));
            let mut other_requests = target.other_requests(now, usual_other_requests);
            if report_weight > 0.0 {
                let shared = target.shared.others(now, usual_excess, target.capacity());
                other_requests += report_weight * (shared - other_requests);
                other_requests = other_requests.max(target.shared.min_others(target.capacity()));
            }
            let requests = target.in_flight() as f64 + other_requests;
            // A target that does not cache the object must not queue it: long work in the queue
            // would delay requests for the objects that it caches.
            let waiting = if would_displace { 0.0 } else { MAX_WAITING_PER_SLOT };
            let free = if is_spill_limited && would_displace { MAX_SPILL_LOAD } else { 1.0 };
            let rounding = if is_shared && !would_displace { 0.5 } else { 0.0 };
            let is_queue_full = requests + rounding >= slots * (free + waiting);
            let mean_ms = service.mean_ms.unwrap_or(objective_ms) * factor;
            let wait_ms = (requests + 1.0 - slots).max(0.0) / slots * mean_ms;
            let round_trip_ms = self.round_trip_ms(target);
            let mut latency_ms = round_trip_ms + wait_ms + work_ms;
            latency_ms += if target.is_remote { REMOTE_PENALTY_MS } else { 0.0 };
            latency_ms += target.failure_score(now) * FAILURE_PENALTY * work_ms;
            latency_ms += if target.is_overdue(now) { mean_ms * 2.0 } else { 0.0 };
            let position_penalty = if copies.has_room { costs.position } else { POSITION_PENALTY };
            let penalty = if is_cached { position as f64 * position_penalty } else { 0.0 };
            let penalty = if would_displace { UNCACHED_PENALTY } else { penalty };
            let load_ms = if is_shared {
                let noise = if would_displace { 0.0 } else { self.sharing.random() };
                load_penalty * (requests + noise) / slots * mean_ms
            } else {
                0.0
            };
            let may_wait = is_shared && requests + 1.0 > slots * MAX_UNQUEUED_LOAD;
            ranked.push(RankedTarget {
                target: candidate.target,
                cost_ms: latency_ms + work_ms * penalty + load_ms,
                load_ms,
                is_queue_full,
                latency_ms,
                variation_ms: work_ms
                    * if work.is_learned(is_cached) {
                        LEARNED_WORK_VARIATION
                    } else {
                        INITIAL_WORK_VARIATION
                    },
                wait_ms,
                may_wait: may_wait || span_from_ms(wait_ms) > Span::ZERO,
                work_ms,
                position,
                is_cached,
            });
        }
        if is_shared && has_object {
            compare_without_load(&mut ranked);
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
}
