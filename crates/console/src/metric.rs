//! The console's metrics.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

/// The label of a counter.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct Labels {
    /// The status code of a request, or the outcome of a submission.
    pub(crate) result: String,
}

/// The counters that `/metrics` exports.
#[derive(Debug, Clone, Default)]
pub(crate) struct Counters {
    /// Requests by status code.
    pub(crate) requests: Family<Labels, Counter>,
    /// Submissions by outcome.
    pub(crate) submissions: Family<Labels, Counter>,
    /// Log-ins with an unknown token.
    pub(crate) refused_log_ins: Counter,
}

impl Counters {
    /// Creates the counters and registers them.
    pub(crate) fn new(registry: &mut Registry) -> Counters {
        let counters = Counters::default();
        let group = registry.sub_registry_with_prefix("ebonypass_console");
        group.register("requests", "Requests by status", counters.requests.clone());
        group.register("submissions", "Submissions by result", counters.submissions.clone());
        group.register("refused_log_ins", "Log-ins refused", counters.refused_log_ins.clone());
        counters
    }
}

/// Increments the counter of `result`.
pub(crate) fn count(family: &Family<Labels, Counter>, result: impl Into<String>) {
    family.get_or_create(&Labels { result: result.into() }).inc();
}
