//! The console's metrics.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

/// What a request or a submission came to.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ResultLabels {
    /// The status code, or how the submission ended.
    pub(crate) result: String,
}

/// The metrics.
#[derive(Debug, Clone, Default)]
pub(crate) struct Meters {
    pub(crate) requests: Family<ResultLabels, Counter>,
    pub(crate) submissions: Family<ResultLabels, Counter>,
    pub(crate) refused_log_ins: Counter,
}

impl Meters {
    /// Registers the metrics.
    pub(crate) fn new(registry: &mut Registry) -> Meters {
        let meters = Meters::default();
        let at = registry.sub_registry_with_prefix("ebonypass_console");
        at.register("requests", "Requests by status", meters.requests.clone());
        at.register("submissions", "Submissions by result", meters.submissions.clone());
        at.register("refused_log_ins", "Log-ins refused", meters.refused_log_ins.clone());
        meters
    }
}

/// Counts one `result`.
pub(crate) fn count(family: &Family<ResultLabels, Counter>, result: impl Into<String>) {
    family.get_or_create(&ResultLabels { result: result.into() }).inc();
}
