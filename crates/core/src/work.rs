//! Work times of services, learned from replies.

use std::collections::HashMap;

use crate::id::TargetId;
use crate::target::{Running, fade};
use crate::time::{Instant, Span};

/// Work times before any has been seen, in parts of the latency objective of the route: at a target that keeps the
/// object, and at others.
const FIRST_KEPT: f64 = 0.45;
const FIRST_COLD: f64 = 1.3;
/// Targets at the start of an object's order that keep it at hand. A target keeps a bounded number of
/// objects, and the deployments leave room for about four targets an object: two leave a choice
/// between queues and half of the room for objects whose order changes.
pub(crate) const COPIES: usize = 2;
/// Weight of one more sample in the averages of a service.
const SERVICE_WEIGHT: f64 = 0.05;
/// Time without reports for which the load that targets have as a rule counts in full; machines of a
/// small service get a report about twice a second.
const OTHERS_HOLD: Span = Span::from_secs(1);
/// Time after that in which it falls to a third.
const OTHERS_LIFETIME_MS: f64 = 2_000.0;
/// Samples are clamped to this many times the average, so that one long request does not rule it.
const SAMPLE_LIMIT: f64 = 5.0;

/// A service and what is learned of its work.
#[derive(Debug)]
pub(crate) struct Service {
    pub(crate) name: String,
    pub(crate) targets: Vec<TargetId>,
    /// Work times by the hash of the route.
    pub(crate) works: HashMap<u64, Work>,
    /// Work time of all requests.
    pub(crate) mean_ms: Option<f64>,
    others: f64,
    others_at: Instant,
    pub(crate) cold_per_s: f64,
}

/// Work times of one route at a service, at healthy targets.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Work {
    /// Of requests whose object the target keeps.
    pub(crate) kept_ms: Option<f64>,
    /// Of other requests.
    pub(crate) cold_ms: Option<f64>,
}

impl Work {
    pub(crate) fn is_learned(&self, is_cached: bool) -> bool {
        if is_cached { self.kept_ms.is_some() } else { self.cold_ms.is_some() }
    }

    /// The expected time of a request whose latency objective is `aim_ms`.
    pub(crate) fn expected_ms(&self, aim_ms: f64, is_cached: bool) -> f64 {
        if is_cached {
            self.kept_ms.unwrap_or(aim_ms * FIRST_KEPT)
        } else {
            self.cold_ms.unwrap_or(aim_ms * FIRST_COLD)
        }
    }
}

/// The average `mean` with one more sample.
pub(crate) fn average(mean: Option<f64>, sample: f64) -> f64 {
    let mean = mean.unwrap_or(sample);
    mean + SERVICE_WEIGHT * (sample.min(mean * SAMPLE_LIMIT) - mean)
}

impl Service {
    pub(crate) fn new(name: &str) -> Service {
        Service {
            name: name.to_owned(),
            targets: Vec::new(),
            works: HashMap::new(),
            mean_ms: None,
            others: 0.0,
            others_at: Instant::ZERO,
            cold_per_s: 0.0,
        }
    }

    /// Takes in a target's report that it has `others` requests of other machines.
    pub(crate) fn note_others(&mut self, now: Instant, others: f64) {
        let weight = 1.0 - fade(now, self.others_at, OTHERS_LIFETIME_MS);
        self.others += weight.max(SERVICE_WEIGHT) * (others - self.others);
        self.others_at = now;
    }

    /// Requests of other machines that a target has as a rule. Fades after some time without reports:
    /// a machine that refused everything by the reports of an overload would get no others, and go
    /// on for good.
    pub(crate) fn usual_others(&self, now: Instant) -> f64 {
        let silent_since = self.others_at + OTHERS_HOLD;
        self.others * fade(now.max(silent_since), silent_since, OTHERS_LIFETIME_MS)
    }

    /// Takes in the time of a request, and returns the usual time of its like.
    pub(crate) fn learn(&mut self, run: &Running, ms: f64) -> f64 {
        let work = self.works.entry(run.route).or_default();
        let mean = if run.is_cached { &mut work.kept_ms } else { &mut work.cold_ms };
        let before = mean.unwrap_or(ms);
        *mean = Some(average(*mean, ms));
        self.mean_ms = Some(average(self.mean_ms, ms));
        before
    }
}
