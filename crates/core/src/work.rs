//! Work times of services, learned from replies.

use std::collections::HashMap;

use crate::balance::{Usual, Variety};
use crate::id::TargetId;
use crate::target::{RunningAttempt, decay};
use crate::time::{Instant, Span};

/// Work times before any sample, as parts of the route's latency objective: at targets that cache
/// the object, and at others.
const INITIAL_CACHED_RATIO: f64 = 0.45;
const INITIAL_UNCACHED_RATIO: f64 = 1.3;
/// Number of targets at the start of an object's order that cache it. A target caches a bounded
/// number of objects, and the deployments have room for about four copies of each. Two leave a
/// choice between queues, and half of the room for objects whose order changes.
pub(crate) const CACHING_TARGETS: usize = 2;
/// Weight of a new sample in the averages of a service.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Time without load reports for which the usual load by other machines counts in full. Machines of
/// a small service get a report about twice a second.
const OTHER_REQUESTS_HOLD: Span = Span::from_secs(1);
/// Time constant of its decay after that.
const OTHER_REQUESTS_TIME_CONSTANT_MS: f64 = 2_000.0;
/// Samples are clamped to this multiple of the average, so that one long request does not dominate
/// it.
const MAX_SAMPLE_RATIO: f64 = 5.0;

/// A service and what has been learned about its work.
#[derive(Debug)]
pub(crate) struct Service {
    pub(crate) name: String,
    pub(crate) targets: Vec<TargetId>,
    /// Work times by the hash of the route.
    pub(crate) work_times: HashMap<u64, WorkTimes>,
    /// Mean work time of all requests.
    pub(crate) mean_ms: Option<f64>,
    /// Usual number of requests of other machines at a target.
    other_requests: f64,
    other_requests_at: Instant,
    pub(crate) cold_per_s: f64,
    /// Whether its targets report their load.
    pub(crate) reports_load: bool,
    /// Usual excess of the targets' own figures over the reports of the region's gateways.
    usual_excess: f64,
    /// The objects that are requested.
    pub(crate) variety: Variety,
}

/// Work times of one route at healthy targets.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct WorkTimes {
    /// At targets that cache the object.
    pub(crate) cached_ms: Option<f64>,
    /// At other targets.
    pub(crate) uncached_ms: Option<f64>,
}

impl WorkTimes {
    pub(crate) fn is_learned(&self, is_cached: bool) -> bool {
        if is_cached { self.cached_ms.is_some() } else { self.uncached_ms.is_some() }
    }

    /// The expected work time of a request whose latency objective is `objective_ms`.
    pub(crate) fn expected_ms(&self, objective_ms: f64, is_cached: bool) -> f64 {
        if is_cached {
            self.cached_ms.unwrap_or(objective_ms * INITIAL_CACHED_RATIO)
        } else {
            self.uncached_ms.unwrap_or(objective_ms * INITIAL_UNCACHED_RATIO)
        }
    }
}

/// The moving average after one more sample.
pub(crate) fn add_sample(mean: Option<f64>, sample: f64) -> f64 {
    let mean = mean.unwrap_or(sample);
    mean + SAMPLE_WEIGHT * (sample.min(mean * MAX_SAMPLE_RATIO) - mean)
}

impl Service {
    pub(crate) fn new(name: &str) -> Service {
        Service {
            name: name.to_owned(),
            targets: Vec::new(),
            work_times: HashMap::new(),
            mean_ms: None,
            other_requests: 0.0,
            other_requests_at: Instant::ZERO,
            cold_per_s: 0.0,
            reports_load: false,
            usual_excess: 0.0,
            variety: Variety::default(),
        }
    }

    /// Records that a target reported `other_requests` requests of other machines.
    pub(crate) fn record_other_requests(&mut self, now: Instant, other_requests: f64) {
        self.reports_load = true;
        let weight = 1.0 - decay(now, self.other_requests_at, OTHER_REQUESTS_TIME_CONSTANT_MS);
        self.other_requests += weight.max(SAMPLE_WEIGHT) * (other_requests - self.other_requests);
        self.other_requests_at = now;
    }

    /// The usual number of requests of other machines at a target. Decays without reports: a
    /// machine that refuses all requests because of an overload gets no more reports, and would
    /// otherwise refuse requests for ever.
    pub(crate) fn usual_other_requests(&self, now: Instant) -> f64 {
        self.other_requests * self.report_weight(now)
    }

    fn report_weight(&self, now: Instant) -> f64 {
        let silent_since = self.other_requests_at + OTHER_REQUESTS_HOLD;
        decay(now.max(silent_since), silent_since, OTHER_REQUESTS_TIME_CONSTANT_MS)
    }

    /// The usual excess, which decays without reports of targets like the usual requests.
    pub(crate) fn usual_excess(&self, now: Instant) -> Usual {
        Usual { excess: self.usual_excess, weight: self.report_weight(now) }
    }

    /// Records by how much a target's own figure exceeds the reports of the region's gateways.
    pub(crate) fn record_excess(&mut self, excess: f64) {
        self.usual_excess += SAMPLE_WEIGHT * (excess - self.usual_excess);
    }

    /// Records the work time of an attempt. Returns the average of such attempts before it.
    pub(crate) fn record_work_time(&mut self, run: &RunningAttempt, ms: f64) -> f64 {
        let work = self.work_times.entry(run.route).or_default();
        let mean = if run.is_cached { &mut work.cached_ms } else { &mut work.uncached_ms };
        let before = mean.unwrap_or(ms);
        *mean = Some(add_sample(*mean, ms));
        self.mean_ms = Some(add_sample(self.mean_ms, ms));
        before
    }
}
