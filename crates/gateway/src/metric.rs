//! Metrics of the gateway.

use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};

use crate::limit::Limit;

/// Bucket bounds of the latency histogram, in seconds.
const LATENCY_BOUNDS: [f64; 12] =
    [0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0, 30.0];

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Ending {
    /// A target replied within the route's latency objective.
    Answered,
    /// A target replied after the latency objective.
    Late,
    /// Refused; the request did not run.
    Refused,
    /// Failed; the request may have run.
    Failed,
    /// The caller disconnected.
    Abandoned,
}

/// Labels of a finished request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// Name of the route; empty if none matched.
    pub route: String,
    /// How the request ended.
    pub ending: Ending,
    /// Code of the refusal or failure reason; 0 for a target's reply.
    pub code: u16,
}

/// Labels of a finished request of a tenant.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TenantLabels {
    /// Name of the tenant.
    pub tenant: String,
    /// How the request ended.
    pub ending: Ending,
    /// Code of the refusal or failure reason; 0 for a target's reply.
    pub code: u16,
}

/// Labels of a call to the store.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CallLabels {
    /// Label of the object kind.
    pub kind: &'static str,
    /// How the call ended.
    pub result: &'static str,
}

/// Labels of a kind of objects.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct KindLabels {
    /// Label of the kind.
    pub kind: &'static str,
}

/// Labels of a source of objects.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct SourceLabels {
    /// `store` or `machine`.
    pub source: &'static str,
}

/// Labels of a route.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RouteLabels {
    /// Name of the route.
    pub route: String,
}

/// Labels of a limit.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct LimitLabels {
    /// The limit.
    pub limit: Limit,
}

/// Labels of the quota of a tenant.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct QuotaLabels {
    /// Name of the tenant, or `other`.
    pub tenant: String,
}

/// What became of a load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum ReportResult {
    /// Sent to another gateway.
    Sent,
    /// Received, and counted.
    Received,
    /// Received after a newer one of the same gateway.
    Outdated,
    /// Received, with many more requests than the reports of other gateways.
    Implausible,
    /// Received, and not readable.
    Malformed,
    /// Received from a machine that is not known as a live one of the region.
    UnknownSender,
    /// Received while this machine does not share load.
    Off,
}

/// Labels of load reports.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ReportLabels {
    /// What became of them.
    pub result: ReportResult,
}

/// Labels of a service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ServiceLabels {
    /// Name of the service.
    pub service: String,
}

/// The metrics of one process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Finished requests.
    pub requests: Family<RequestLabels, Counter>,
    /// Finished requests of tenants.
    pub tenant_requests: Family<TenantLabels, Counter>,
    /// Faults of entries of tenants in the active configuration.
    pub tenant_faults: Gauge,
    /// Time from a request to its reply.
    pub latency: Family<RouteLabels, Histogram>,
    /// Retries: requests sent to a further target.
    pub retries: Counter,
    /// Connections opened to targets.
    pub connects: Counter,
    /// Calls to the store.
    pub store_calls: Family<CallLabels, Counter>,
    /// Lookups answered.
    pub lookups: Counter,
    /// Version of the active configuration.
    pub version: Gauge,
    /// Targets listed.
    pub targets: Gauge,
    /// Live machines, including this one.
    pub machines: Gauge,
    /// Time for which the copy of the store's objects has not been known to be current, in seconds.
    pub copy_age: Family<KindLabels, Gauge<f64, AtomicU64>>,
    /// Machines between this one and the store.
    pub copy_hops: Family<KindLabels, Gauge>,
    /// Era of the store that this machine follows.
    pub era: Gauge,
    /// Changes of the era.
    pub era_changes: Counter,
    /// Replies of an earlier era that were ignored.
    pub ignored_replies: Family<SourceLabels, Counter>,
    /// Targets that are in use although the restored store does not list them.
    pub held_targets: Gauge,
    /// 1 if lookups of this machine's region return it.
    pub is_entry: Gauge,
    /// Requests that had to wait for a slot of a target.
    pub waits: Family<RouteLabels, Counter>,
    /// Requests that wait now.
    pub waiting: Gauge,
    /// Requests in flight.
    pub in_flight: Gauge,
    /// Open incoming connections.
    pub connections: Gauge,
    /// What limits refused or closed.
    pub limited: Family<LimitLabels, Counter>,
    /// Bytes that request bodies and replies take.
    pub body_bytes: Gauge,
    /// The most bytes that request bodies and replies took at once.
    pub body_bytes_peak: Gauge,
    /// Requests at targets or with unfinished replies.
    pub transfers: Gauge,
    /// Used part of the quotas that this machine owns.
    pub quota_usage: Family<QuotaLabels, Gauge<f64, AtomicU64>>,
    /// Requests rejected because of a quota.
    pub quota_rejections: Family<QuotaLabels, Counter>,
    /// Requests that waited for a token of a quota.
    pub quota_waits: Counter,
    /// Quotas taken over from machines that did not answer.
    pub quota_takeovers: Counter,
    /// 1 while no other machine is heard.
    pub quota_isolated: Gauge,
    /// Bytes of datagrams sent about quotas.
    pub quota_sent: Counter,
    /// Load reports sent and received.
    pub load_reports: Family<ReportLabels, Counter>,
    /// Bytes of the load reports sent.
    pub load_report_bytes: Counter,
    /// Other gateways whose load report counts.
    pub load_reporters: Gauge,
    /// Age of the oldest load report that counts, in seconds.
    pub load_report_age: Gauge<f64, AtomicU64>,
    /// Load of the busiest target relative to the mean of its service.
    pub load_spread: Family<ServiceLabels, Gauge<f64, AtomicU64>>,
    /// Requests per slot at the targets of a service.
    pub load_per_slot: Family<ServiceLabels, Gauge<f64, AtomicU64>>,
}

impl Metrics {
    /// Registers all metrics at zero.
    pub fn new() -> Metrics {
        let mut registry = Registry::with_prefix("ebonypass");
        let metrics = Metrics {
            requests: Family::default(),
            tenant_requests: Family::default(),
            tenant_faults: Gauge::default(),
            latency: Family::new_with_constructor(|| Histogram::new(LATENCY_BOUNDS)),
            retries: Counter::default(),
            connects: Counter::default(),
            store_calls: Family::default(),
            lookups: Counter::default(),
            version: Gauge::default(),
            targets: Gauge::default(),
            machines: Gauge::default(),
            copy_age: Family::default(),
            copy_hops: Family::default(),
            era: Gauge::default(),
            era_changes: Counter::default(),
            ignored_replies: Family::default(),
            held_targets: Gauge::default(),
            is_entry: Gauge::default(),
            waits: Family::default(),
            waiting: Gauge::default(),
            in_flight: Gauge::default(),
            connections: Gauge::default(),
            limited: Family::default(),
            body_bytes: Gauge::default(),
            body_bytes_peak: Gauge::default(),
            transfers: Gauge::default(),
            quota_usage: Family::default(),
            quota_rejections: Family::default(),
            quota_waits: Counter::default(),
            quota_takeovers: Counter::default(),
            quota_isolated: Gauge::default(),
            quota_sent: Counter::default(),
            load_reports: Family::default(),
            load_report_bytes: Counter::default(),
            load_reporters: Gauge::default(),
            load_report_age: Gauge::default(),
            load_spread: Family::default(),
            load_per_slot: Family::default(),
            registry: Registry::default(),
        };
        registry.register("requests", "Finished requests", metrics.requests.clone());
        registry.register(
            "tenant_requests",
            "Finished requests of tenants",
            metrics.tenant_requests.clone(),
        );
        registry.register(
            "tenant_faults",
            "Faults of tenants in the active configuration",
            metrics.tenant_faults.clone(),
        );
        registry.register_with_unit(
            "request_latency",
            "Time from a request to its reply",
            Unit::Seconds,
            metrics.latency.clone(),
        );
        registry.register("repeats", "Retries sent to another target", metrics.retries.clone());
        registry.register("connects", "Connections opened to targets", metrics.connects.clone());
        registry.register("store_calls", "Calls to the store", metrics.store_calls.clone());
        registry.register("lookups", "Lookups answered", metrics.lookups.clone());
        registry.register(
            "config_version",
            "Version of the active configuration",
            metrics.version.clone(),
        );
        registry.register("targets", "Targets listed", metrics.targets.clone());
        registry.register(
            "machines",
            "Live machines, including this one",
            metrics.machines.clone(),
        );
        registry.register_with_unit(
            "copy_age",
            "Time for which the copy of the store's objects has not been known to be current",
            Unit::Seconds,
            metrics.copy_age.clone(),
        );
        registry.register(
            "copy_hops",
            "Machines between this one and the store",
            metrics.copy_hops.clone(),
        );
        registry.register("store_era", "Era of the store that is followed", metrics.era.clone());
        registry.register(
            "store_era_changes",
            "Changes of the followed era of the store",
            metrics.era_changes.clone(),
        );
        registry.register(
            "ignored_replies",
            "Replies of an earlier era of the store that were ignored",
            metrics.ignored_replies.clone(),
        );
        registry.register(
            "held_targets",
            "Targets in use although the restored store does not list them",
            metrics.held_targets.clone(),
        );
        registry.register(
            "entry",
            "Whether lookups of this region return this machine",
            metrics.is_entry.clone(),
        );
        registry.register(
            "waits",
            "Requests that had to wait for a slot of a target",
            metrics.waits.clone(),
        );
        registry.register(
            "requests_waiting",
            "Requests that wait for a slot of a target",
            metrics.waiting.clone(),
        );
        registry.register("requests_in_flight", "Requests in flight", metrics.in_flight.clone());
        registry.register("connections", "Open incoming connections", metrics.connections.clone());
        registry.register(
            "limited",
            "Connections and bodies that a limit refused or closed",
            metrics.limited.clone(),
        );
        registry.register_with_unit(
            "request_bodies",
            "Memory of request bodies and of replies that are read ahead",
            Unit::Bytes,
            metrics.body_bytes.clone(),
        );
        registry.register_with_unit(
            "request_bodies_peak",
            "The most memory that request bodies and replies took at once",
            Unit::Bytes,
            metrics.body_bytes_peak.clone(),
        );
        registry.register(
            "transfers",
            "Requests at targets or with replies that are not written yet",
            metrics.transfers.clone(),
        );
        metrics.register_quotas(&mut registry);
        metrics.register_load(&mut registry);
        Metrics { registry, ..metrics }
    }

    fn register_quotas(&self, registry: &mut Registry) {
        registry.register_with_unit(
            "quota_usage",
            "Used part of the token bucket of a quota that this machine owns",
            Unit::Ratios,
            self.quota_usage.clone(),
        );
        registry.register(
            "quota_rejections",
            "Requests rejected because of a quota",
            self.quota_rejections.clone(),
        );
        registry.register(
            "quota_waits",
            "Requests that waited for a token of a quota",
            self.quota_waits.clone(),
        );
        registry.register(
            "quota_takeovers",
            "Quotas taken over from machines that did not answer",
            self.quota_takeovers.clone(),
        );
        registry.register(
            "quota_isolated",
            "Whether no other machine is heard, so that only own shares of quotas are used",
            self.quota_isolated.clone(),
        );
        registry.register_with_unit(
            "quota_sent",
            "Datagrams sent about quotas",
            Unit::Bytes,
            self.quota_sent.clone(),
        );
    }

    fn register_load(&self, registry: &mut Registry) {
        registry.register(
            "load_reports",
            "Load reports sent and received",
            self.load_reports.clone(),
        );
        registry.register_with_unit(
            "load_report",
            "Load reports sent",
            Unit::Bytes,
            self.load_report_bytes.clone(),
        );
        registry.register(
            "load_reporters",
            "Other gateways whose load report counts",
            self.load_reporters.clone(),
        );
        registry.register_with_unit(
            "load_report_age",
            "Age of the oldest load report that counts",
            Unit::Seconds,
            self.load_report_age.clone(),
        );
        registry.register(
            "load_spread",
            "Load of the busiest target relative to the mean of its service",
            self.load_spread.clone(),
        );
        registry.register(
            "load_per_slot",
            "Requests per slot at the targets of a service",
            self.load_per_slot.clone(),
        );
    }

    /// Encodes the metrics in OpenMetrics text format.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics::new()
    }
}
