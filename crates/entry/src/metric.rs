//! The metrics of an entry. docs/metrics.md lists them.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BOUNDS_S: [f64; 12] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 5.0, 30.0];

/// The result of a request, as replied to the caller.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ReplyLabels {
    /// `answered`, `not-run` or `unknown`.
    pub(crate) outcome: &'static str,
    /// The number of the error code, 0 for `answered`.
    pub(crate) code: u16,
}

/// The service that a sample belongs to.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ServiceLabels {
    /// The name of the service.
    pub(crate) service: String,
}

/// How an attempt at a target ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct AttemptLabels {
    /// `answered`, `shed`, `unsent` or `lost`.
    pub(crate) report: &'static str,
}

/// Which limit ended a connection or a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct LimitLabels {
    /// `callers`, `head`, `malformed`, `time`, `idle`, `stall`, `body` or `held`.
    pub(crate) limit: &'static str,
}

/// The metrics of an entry.
#[derive(Debug, Clone)]
pub(crate) struct Metrics {
    pub(crate) lookups: Counter,
    pub(crate) replies: Family<ReplyLabels, Counter>,
    pub(crate) attempts: Family<AttemptLabels, Counter>,
    pub(crate) hedges: Counter,
    pub(crate) cancels: Counter,
    pub(crate) latency: Family<ServiceLabels, Histogram, fn() -> Histogram>,
    pub(crate) free_slots: Family<ServiceLabels, Gauge>,
    pub(crate) policy_version: Gauge,
    pub(crate) store_failures: Counter,
    pub(crate) load_failures: Counter,
    pub(crate) in_flight: Gauge,
    pub(crate) forwarded: Counter,
    pub(crate) claims: Gauge,
    pub(crate) vms: Gauge,
    pub(crate) peers: Gauge,
    pub(crate) seats: Gauge,
    pub(crate) link_rate: Gauge,
    pub(crate) sent_remote: Counter,
    pub(crate) steward: Gauge,
    pub(crate) peer_bytes: Gauge,
    pub(crate) limited: Family<LimitLabels, Counter>,
    pub(crate) held_bytes: Gauge,
}

impl Metrics {
    /// Creates the metrics and adds them to `registry`.
    pub(crate) fn new(registry: &mut Registry) -> Metrics {
        let latency = Family::new_with_constructor(new_latency_histogram as fn() -> Histogram);
        let metrics = Metrics {
            lookups: Counter::default(),
            replies: Family::default(),
            attempts: Family::default(),
            hedges: Counter::default(),
            cancels: Counter::default(),
            latency,
            free_slots: Family::default(),
            policy_version: Gauge::default(),
            store_failures: Counter::default(),
            load_failures: Counter::default(),
            in_flight: Gauge::default(),
            forwarded: Counter::default(),
            claims: Gauge::default(),
            vms: Gauge::default(),
            peers: Gauge::default(),
            seats: Gauge::default(),
            link_rate: Gauge::default(),
            sent_remote: Counter::default(),
            steward: Gauge::default(),
            peer_bytes: Gauge::default(),
            limited: Family::default(),
            held_bytes: Gauge::default(),
        };
        let g = &metrics;
        let mut sub_registry = registry.sub_registry_with_prefix("ebonypass");
        let r = &mut sub_registry;
        r.register("lookups", "Look-ups answered", g.lookups.clone());
        r.register("replies", "Replies to callers by outcome and code", g.replies.clone());
        r.register("attempts", "Attempts at targets by what became of them", g.attempts.clone());
        r.register("hedges", "Second attempts of idempotent work", g.hedges.clone());
        r.register("cancels", "Attempts cancelled", g.cancels.clone());
        r.register("latency_seconds", "Time to reply to callers", g.latency.clone());
        r.register("free_slots", "Free slots of the own pools", g.free_slots.clone());
        r.register("policy_version", "Version of the policy in force", g.policy_version.clone());
        r.register("store_failures", "Calls to the store that failed", g.store_failures.clone());
        r.register("load_failures", "Load reports that did not come", g.load_failures.clone());
        r.register("in_flight", "Requests of callers and peers in flight", g.in_flight.clone());
        r.register("forwarded", "Requests that peers forwarded here", g.forwarded.clone());
        r.register("claims", "Request keys held", g.claims.clone());
        r.register("seats", "Seats in force", g.seats.clone());
        r.register("link_rate_bytes", "Bytes a second on all links", g.link_rate.clone());
        r.register("sent_afar", "Requests sent to other regions", g.sent_remote.clone());
        r.register("steward", "1 while the steward lease is held", g.steward.clone());
        r.register("peers", "Peers that are live", g.peers.clone());
        r.register("held_bytes", "Bytes of requests' bodies held", g.held_bytes.clone());
        r.register("vms", "VMs on the platform's list", g.vms.clone());
        r.register("peer_bytes", "Bytes of the present links to peers", g.peer_bytes.clone());
        r.register("limited", "Connections and requests ended by a limit", g.limited.clone());
        metrics
    }
}

fn new_latency_histogram() -> Histogram {
    Histogram::new(LATENCY_BOUNDS_S)
}
