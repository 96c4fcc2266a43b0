//! The report of a run, as a table and as JSON.

use std::fmt;

use ebonypass_core::policy::Document;
use serde::Serialize;

use crate::tally::{Counts, Tally, ratio};

/// The report of one run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// The strategy's name.
    pub strategy: String,
    /// One row for each (member, kind), in the order of the policy.
    pub flows: Vec<Row>,
    /// All flows together.
    pub total: Row,
    /// Dispatches of a non-idempotent request while an earlier one may have run.
    pub duplicate_dispatches: u64,
    /// Sends that exceeded the cap of a link over 100 ms.
    pub link_cap_violations: u64,
    /// Attempts from another region that arrived at targets of a region that then held more attempts
    /// than slots.
    pub region_overloads: u64,
    /// Dispatches to a target more than 5 s after it started to leave.
    pub dispatched_to_leaving: u64,
    /// Requests that ran although the client was told "not run".
    pub wrong_not_run: u64,
    /// Requests whose client was told "answered" before the entry had a complete answer.
    pub wrong_answered: u64,
    /// Requests without an outcome when the run stopped.
    pub open: u64,
    /// Use of each link.
    pub links: Vec<LinkRow>,
    /// Use of each service.
    pub services: Vec<ServiceRow>,
}

/// Counts and latencies. Latencies are in microseconds.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Row {
    /// The member's name.
    pub member: String,
    /// The service's name.
    pub service: String,
    /// The kind's name.
    pub kind: String,
    /// Requests sent by clients.
    pub arrivals: u64,
    /// Complete answers, late ones included.
    pub answered: u64,
    /// Complete answers after the deadline.
    pub late: u64,
    /// Requests refused without running.
    pub not_run: u64,
    /// Requests that may have run but have no complete answer.
    pub unknown: u64,
    /// Median latency of the outcomes "answered" and "unknown".
    pub p50_us: u64,
    /// 99th percentile of this latency.
    pub p99_us: u64,
    /// 99.9th percentile of this latency.
    pub p999_us: u64,
    /// Maximum of this latency.
    pub max_us: u64,
    /// 99th percentile of the latency of the outcome "not run".
    pub not_run_p99_us: u64,
    /// Maximum of the latency of the outcome "not run".
    pub not_run_max_us: u64,
    /// Dispatches per request.
    pub dispatches_per_request: f64,
    /// Fraction of the dispatches that were made while an earlier one of the request was open.
    pub hedge_fraction: f64,
}

/// Use of a link as fractions of its cap.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct LinkRow {
    /// The sending region.
    pub from: String,
    /// The receiving region.
    pub to: String,
    /// The highest use over any 100 ms.
    pub highest: f64,
    /// The highest use over any second.
    pub sustained: f64,
    /// Sends that exceeded the cap over 100 ms.
    pub violations: u64,
}

/// Use of a service as fractions of the slot time of its targets.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ServiceRow {
    /// The name of the service.
    pub service: String,
    /// Slot time in use.
    pub utilisation: f64,
    /// Slot time spent on answers in time.
    pub goodput: f64,
}

impl Report {
    /// Creates the report of a run of `strategy`.
    pub fn new(document: &Document, strategy: &str, tally: &Tally) -> Report {
        let flows = tally.flows.iter().map(|(&(member, kind), counts)| {
            let service = document.kinds[kind].service;
            Row::new(
                &document.members[member].name,
                &document.services[service].name,
                &document.kinds[kind].name,
                counts,
            )
        });
        let links = tally.links.iter().map(|link| LinkRow {
            from: link.from.clone(),
            to: link.to.clone(),
            highest: link.highest,
            sustained: link.sustained,
            violations: link.violations,
        });
        let services = document.services.iter().map(|(key, service)| ServiceRow {
            service: service.name.clone(),
            utilisation: tally.utilisation(key),
            goodput: tally.goodput(document, key),
        });
        Report {
            strategy: strategy.to_owned(),
            flows: flows.collect(),
            total: Row::new("total", "", "", &tally.total()),
            duplicate_dispatches: tally.violations.duplicate_dispatches,
            link_cap_violations: tally.link_cap_violations(),
            region_overloads: tally.violations.region_overloads,
            dispatched_to_leaving: tally.violations.dispatched_to_leaving,
            wrong_not_run: tally.violations.wrong_not_run,
            wrong_answered: tally.violations.wrong_answered,
            open: tally.open,
            links: links.collect(),
            services: services.collect(),
        }
    }

    /// Returns the row of a flow.
    pub fn row(&self, member: &str, service: &str, kind: &str) -> Option<&Row> {
        self.flows
            .iter()
            .find(|row| row.member == member && row.service == service && row.kind == kind)
    }
}

impl Row {
    fn new(member: &str, service: &str, kind: &str, counts: &Counts) -> Row {
        Row {
            member: member.to_owned(),
            service: service.to_owned(),
            kind: kind.to_owned(),
            arrivals: counts.arrivals,
            answered: counts.answered,
            late: counts.late,
            not_run: counts.not_run,
            unknown: counts.unknown,
            p50_us: counts.latency.value_at_quantile(0.5),
            p99_us: counts.latency.value_at_quantile(0.99),
            p999_us: counts.latency.value_at_quantile(0.999),
            max_us: counts.latency.max(),
            not_run_p99_us: counts.not_run_latency.value_at_quantile(0.99),
            not_run_max_us: counts.not_run_latency.max(),
            dispatches_per_request: ratio(counts.dispatches, counts.arrivals),
            hedge_fraction: ratio(counts.hedges, counts.dispatches),
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "strategy {}, latencies in ms", self.strategy)?;
        writeln!(
            f,
            "{:<34} {:>8} {:>8} {:>6} {:>7} {:>7} {:>8} {:>8} {:>8} {:>8} {:>8} {:>5} {:>6}",
            "member/service/kind",
            "arrivals",
            "answered",
            "late",
            "not run",
            "unknown",
            "p50",
            "p99",
            "p99.9",
            "max",
            "nr max",
            "disp",
            "hedge%"
        )?;
        for row in self.flows.iter().chain([&self.total]) {
            writeln!(f, "{row}")?;
        }
        writeln!(f, "duplicate_dispatches {}", self.duplicate_dispatches)?;
        writeln!(f, "link_cap_violations {}", self.link_cap_violations)?;
        writeln!(f, "region_overloads {}", self.region_overloads)?;
        writeln!(f, "dispatched_to_leaving {}", self.dispatched_to_leaving)?;
        writeln!(f, "wrong_not_run {}", self.wrong_not_run)?;
        writeln!(f, "wrong_answered {}", self.wrong_answered)?;
        writeln!(f, "open {}", self.open)?;
        for link in self.links.iter().filter(|link| link.highest > 0.0) {
            writeln!(
                f,
                "link {} -> {}: highest use {:.3} over 100 ms, {:.3} over 1 s",
                link.from, link.to, link.highest, link.sustained
            )?;
        }
        for service in &self.services {
            writeln!(
                f,
                "service {}: utilisation {:.3}, goodput {:.3}",
                service.service, service.utilisation, service.goodput
            )?;
        }
        Ok(())
    }
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = if self.service.is_empty() {
            self.member.clone()
        } else {
            format!("{}/{}/{}", self.member, self.service, self.kind)
        };
        write!(
            f,
            "{:<34} {:>8} {:>8} {:>6} {:>7} {:>7} {:>8} {:>8} {:>8} {:>8} {:>8} {:>5.2} {:>6.2}",
            name,
            self.arrivals,
            self.answered,
            self.late,
            self.not_run,
            self.unknown,
            millis(self.p50_us),
            millis(self.p99_us),
            millis(self.p999_us),
            millis(self.max_us),
            millis(self.not_run_max_us),
            self.dispatches_per_request,
            100.0 * self.hedge_fraction
        )
    }
}

/// Formats `us` in milliseconds with one decimal.
pub fn millis(us: u64) -> String {
    format!("{:.1}", us as f64 / 1_000.0)
}
