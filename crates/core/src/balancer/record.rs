//! Records attempts, and what replies and connections tell of a target.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Attempt, Balancer, Choice, INITIAL_LOCAL_ROUND_TRIP_MS};
use crate::availability::{self, Lifetime};
use crate::id::TargetId;
use crate::target::{Load, Outcome, RunningAttempt, as_ms};
use crate::time::{Instant, Span};

/// Weight of a new sample in the measured slowdown of a target.
const SLOWDOWN_SAMPLE_WEIGHT: f64 = 0.3;
/// Machines that a target has turned away at one moment come back within this part of the time that
/// it asked for, each at a time of its own.
const RETURN_SPREAD: f64 = 0.25;

impl Balancer {
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
            is_queued: choice.may_wait,
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
        if self.sharing.is_on {
            let service = &mut self.services[target.service];
            let (usual, limit) = (service.usual_excess(now), target.capacity());
            service.record_excess(target.shared.record(now, other_requests, usual, limit));
        }
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
