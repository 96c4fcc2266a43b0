//! Ranks the targets that may run a request, and chooses one.

use std::cmp::Ordering;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Balancer;
use super::query::{Backlog, Choice, Query, Refusal};
use crate::availability::State;
use crate::capacity;
use crate::id::TargetId;
use crate::target::{as_ms, span_from_ms};
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
}
