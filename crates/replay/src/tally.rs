//! Statistics of a run: latencies, outcomes, slot use, violations.

use std::collections::BTreeMap;

use ebonypass_core::id::{Arena, Key, KindId, MemberId, ServiceId, TargetId};
use ebonypass_core::outcome::Outcome;
use ebonypass_core::policy::Document;
use ebonypass_core::time::Instant;
use hdrhistogram::Histogram;

use crate::link::Links;
use crate::server::Server;
use crate::trace::{Arrival, Trace};

/// Significant decimal digits of histogram values.
const HISTOGRAM_DIGITS: u8 = 3;

/// Violations of the invariants that the model checks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Violations {
    /// Dispatches of a non-idempotent request while an earlier one may have run.
    pub duplicate_dispatches: u64,
    /// Requests that ran although the client was told "not run".
    pub wrong_not_run: u64,
    /// Requests whose client was told "answered" before the entry had a complete answer.
    pub wrong_answered: u64,
    /// Dispatches to a target more than 5 s after it started to leave.
    pub dispatched_to_leaving: u64,
    /// Attempts from another region that arrived at targets of a region that then held more
    /// attempts than slots.
    pub region_overloads: u64,
}

/// Counts of one flow.
#[derive(Debug, Clone)]
pub struct Counts {
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
    /// Dispatches to targets.
    pub dispatches: u64,
    /// Dispatches made while an earlier one of the same request was open.
    pub hedges: u64,
    /// Slot time spent on answers in time, in microseconds, up to the end of the trace.
    pub goodput_us: u64,
    /// Time until the client learns "answered" or "unknown", in microseconds.
    pub latency: Histogram<u64>,
    /// Time until the client learns "not run", in microseconds.
    pub not_run_latency: Histogram<u64>,
}

/// Use of a link.
#[derive(Debug, Clone, PartialEq)]
pub struct Link {
    /// The sending region's name.
    pub from: String,
    /// The receiving region's name.
    pub to: String,
    /// The highest use over any 100 ms as a fraction of the cap.
    pub highest: f64,
    /// The highest use over any second as a fraction of the cap.
    pub sustained: f64,
    /// Number of sends that exceeded the cap over 100 ms.
    pub violations: u64,
    /// Use of each 100 ms from the start as a fraction of the cap.
    pub series: Vec<f64>,
}

/// Slot use of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// The service's name.
    pub name: String,
    /// Total slots of its targets.
    pub slots: u32,
    /// Busy slot time up to the end of the trace, in microseconds.
    pub busy_us: u64,
    /// Slots in use, sampled every 100 ms from the start.
    pub series: Vec<u32>,
}

/// The statistics of a run.
#[derive(Debug, Clone)]
pub struct Tally {
    /// Counts by flow.
    pub flows: BTreeMap<(MemberId, KindId), Counts>,
    /// Use by service.
    pub services: Arena<ServiceId, Service>,
    /// Use by link.
    pub links: Vec<Link>,
    /// Violations of invariants.
    pub violations: Violations,
    /// Requests without an outcome when the run stopped.
    pub open: u64,
    /// End of the interval over which utilisation is measured.
    pub end: Instant,
}

impl Counts {
    fn new() -> Counts {
        Counts {
            arrivals: 0,
            answered: 0,
            late: 0,
            not_run: 0,
            unknown: 0,
            dispatches: 0,
            hedges: 0,
            goodput_us: 0,
            latency: new_histogram(),
            not_run_latency: new_histogram(),
        }
    }

    /// Returns the number of answers in time.
    pub fn in_time(&self) -> u64 {
        self.answered - self.late
    }

    /// Adds the counts of another flow.
    pub fn add(&mut self, other: &Counts) {
        self.arrivals += other.arrivals;
        self.answered += other.answered;
        self.late += other.late;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.dispatches += other.dispatches;
        self.hedges += other.hedges;
        self.goodput_us += other.goodput_us;
        self.latency.add(&other.latency).expect("a resizing histogram accepts any value");
        self.not_run_latency
            .add(&other.not_run_latency)
            .expect("a resizing histogram accepts any value");
    }
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new(HISTOGRAM_DIGITS).expect("the number of digits is supported")
}

impl Tally {
    /// Creates empty statistics.
    pub fn new(document: &Document, trace: &Trace) -> Tally {
        let mut services = Arena::new();
        for (key, service) in document.services.iter() {
            let slots = document.targets.values().filter(|target| target.service == key);
            services.push(Service {
                name: service.name.clone(),
                slots: slots.map(|target| target.slots).sum(),
                busy_us: 0,
                series: Vec::new(),
            });
        }
        Tally {
            flows: BTreeMap::new(),
            services,
            links: Vec::new(),
            violations: Violations::default(),
            open: 0,
            end: trace.end(),
        }
    }

    /// Returns the summed counts of the flows for which `matches` holds.
    pub fn sum(&self, matches: impl Fn(MemberId, KindId) -> bool) -> Counts {
        let mut sum = Counts::new();
        for (&(member, kind), counts) in &self.flows {
            if matches(member, kind) {
                sum.add(counts);
            }
        }
        sum
    }

    /// Returns the summed counts of all flows.
    pub fn total(&self) -> Counts {
        self.sum(|_, _| true)
    }

    /// Returns the number of sends that exceeded the cap of a link.
    pub fn link_cap_violations(&self) -> u64 {
        self.links.iter().map(|link| link.violations).sum()
    }

    /// Returns the fraction of a service's slot time that was in use up to the end of the trace.
    pub fn utilisation(&self, service: ServiceId) -> f64 {
        let service_tally = &self.services[service];
        ratio(service_tally.busy_us, u64::from(service_tally.slots) * self.end.as_micros())
    }

    /// Returns the fraction of a service's slot time that was spent on answers in time.
    pub fn goodput(&self, document: &Document, service: ServiceId) -> f64 {
        let counts = self.sum(|_, kind| document.kinds[kind].service == service);
        let slots = u64::from(self.services[service].slots);
        ratio(counts.goodput_us, slots * self.end.as_micros())
    }

    fn counts(&mut self, arrival: &Arrival) -> &mut Counts {
        self.flows.entry((arrival.member, arrival.kind)).or_insert_with(Counts::new)
    }

    pub(crate) fn record_arrival(&mut self, arrival: &Arrival) {
        self.counts(arrival).arrivals += 1;
    }

    pub(crate) fn record_dispatch(&mut self, arrival: &Arrival, is_hedge: bool) {
        let counts = self.counts(arrival);
        counts.dispatches += 1;
        counts.hedges += u64::from(is_hedge);
    }

    /// Records a reply that reaches the client at `at`. `slot_interval` is the start and end of
    /// the answered attempt.
    pub(crate) fn record_reply(
        &mut self,
        arrival: &Arrival,
        outcome: Outcome,
        at: Instant,
        slot_interval: Option<(Instant, Instant)>,
    ) {
        let end = self.end;
        let counts = self.counts(arrival);
        let latency = at.since(arrival.at).as_micros();
        let histogram = match outcome {
            Outcome::Answered | Outcome::Unknown => &mut counts.latency,
            Outcome::NotRun => &mut counts.not_run_latency,
        };
        histogram.record(latency).expect("a resizing histogram accepts any value");
        match outcome {
            Outcome::Answered if at > arrival.deadline => {
                counts.answered += 1;
                counts.late += 1;
            }
            Outcome::Answered => {
                counts.answered += 1;
                if let Some((started, ended)) = slot_interval {
                    counts.goodput_us += ended.min(end).since(started).as_micros();
                }
            }
            Outcome::NotRun => counts.not_run += 1,
            Outcome::Unknown => counts.unknown += 1,
        }
    }

    pub(crate) fn record_busy_slots(
        &mut self,
        document: &Document,
        servers: &Arena<TargetId, Server>,
    ) {
        let mut busy = vec![0; self.services.len()];
        for (key, server) in servers.iter() {
            busy[document.targets[key].service.index()] += server.busy();
        }
        for (index, busy) in busy.into_iter().enumerate() {
            self.services[ServiceId::from_index(index)].series.push(busy);
        }
    }

    pub(crate) fn add_busy_time(&mut self, service: ServiceId, busy_us: u64) {
        self.services[service].busy_us += busy_us;
    }

    pub(crate) fn finish(
        &mut self,
        document: &Document,
        links: &Links,
        violations: Violations,
        open: usize,
    ) {
        self.violations = violations;
        self.open = open as u64;
        self.links = links
            .iter()
            .map(|link| Link {
                from: document.regions[link.spec.from].name.clone(),
                to: document.regions[link.spec.to].name.clone(),
                highest: link.cap_window.highest(),
                sustained: link.sustained_window.highest(),
                violations: link.cap_window.violations,
                series: link.fractions(),
            })
            .collect();
    }
}

/// Returns `part / whole`, 0 if `whole` is 0.
pub fn ratio(part: u64, whole: u64) -> f64 {
    if whole == 0 { 0.0 } else { part as f64 / whole as f64 }
}
