//! Load reports between the gateways of a region, on the socket of the heartbeats.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::net::IpAddr;
use std::rc::Rc;

use ebonypass_core::balance::{Rejection, Report, Rotation};
use ebonypass_core::time::{Instant, Span};
use ebonypass_node::clock;
use ebonypass_node::event::Event;
use serde_json::json;

use crate::gateway::{Gateway, State};
use crate::metric::{ReportLabels, ReportResult, ServiceLabels};

/// First byte of a load report. Heartbeat messages start with a byte below 0x80.
pub(crate) const FIRST_BYTE: u8 = 0xF2;
/// Time between two log lines on the spread of load.
const LOG_INTERVAL: Span = Span::from_secs(30);
/// Services in such a line.
const MAX_LOGGED_SERVICES: usize = 8;

/// Sends and receives load reports.
#[derive(Debug, Default)]
pub(crate) struct Loads {
    rotation: RefCell<Rotation>,
    logged_at: Cell<Instant>,
}

impl Loads {
    /// The reports of this round and their recipients: gateways of the region that have demand, if
    /// load is shared and this machine has demand itself.
    pub(crate) fn next_reports(&self, gateway: &Rc<Gateway>) -> Vec<(IpAddr, Vec<u8>)> {
        let now = clock::now();
        let mut state = gateway.state();
        if !state.balancer.shares_load() {
            return Vec::new();
        }
        state.balancer.expire_load_reports(now);
        self.log_spread(gateway, &state, now);
        let heartbeat = state.membership.own().heartbeat;
        // The low bits keep the order: both processes of a restart count rounds of Unix time.
        let mut report = state.balancer.load_report(heartbeat.round as u32);
        if heartbeat.demand == 0 && report.groups.is_empty() {
            return Vec::new();
        }
        let recipients = recipients(gateway, &state, now);
        drop(state);
        let (interval, turns) =
            self.rotation.borrow_mut().next(recipients.len(), report.wire_bytes());
        report.interval = interval;
        let Ok(bytes) = postcard::to_extend(&report, vec![FIRST_BYTE]) else { return Vec::new() };
        let reports: Vec<(IpAddr, Vec<u8>)> =
            turns.map(|turn| (recipients[turn], bytes.clone())).collect();
        gateway.metrics.load_report_bytes.inc_by((reports.len() * bytes.len()) as u64);
        count(gateway, ReportResult::Sent, reports.len());
        reports
    }

    /// Records a report without its first byte. Only live gateways of the region are heard.
    pub(crate) fn handle_report(&self, gateway: &Rc<Gateway>, bytes: &[u8], from: IpAddr) {
        let now = clock::now();
        let mut state = gateway.state();
        let result = if !state.balancer.shares_load() {
            ReportResult::Off
        } else if let Some(sender) = sender(gateway, &state, now, from) {
            match postcard::from_bytes::<Report>(bytes) {
                Ok(report) => match state.balancer.record_load_report(now, &sender, &report) {
                    Ok(()) => ReportResult::Received,
                    Err(Rejection::Off) => ReportResult::Off,
                    Err(Rejection::Outdated) => ReportResult::Outdated,
                    Err(Rejection::Implausible) => ReportResult::Implausible,
                },
                Err(_) => ReportResult::Malformed,
            }
        } else {
            ReportResult::UnknownSender
        };
        drop(state);
        count(gateway, result, 1);
    }

    fn log_spread(&self, gateway: &Gateway, state: &State, now: Instant) {
        if now.since(self.logged_at.get()) < LOG_INTERVAL {
            return;
        }
        self.logged_at.set(now);
        let mut spreads = state.balancer.load_spreads(now);
        spreads.sort_by(|a, b| b.busiest_to_mean.total_cmp(&a.busiest_to_mean));
        let services = spreads.iter().take(MAX_LOGGED_SERVICES).map(|spread| {
            json!({
                "service": spread.service,
                "busiest_to_mean": rounded(spread.busiest_to_mean),
                "per_slot": rounded(spread.requests_per_slot),
            })
        });
        let fields = json!({
            "reporters": state.balancer.load_reporters(),
            "age_ms": state.balancer.load_report_age(now).as_millis(),
            "services": services.collect::<Vec<_>>(),
        });
        gateway.log.record(Event::LoadSpread, fields);
    }
}

fn rounded(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}

fn count(gateway: &Gateway, result: ReportResult, reports: usize) {
    gateway.metrics.load_reports.get_or_create(&ReportLabels { result }).inc_by(reports as u64);
}

/// The other gateways of the region that have demand, those with the most first.
fn recipients(gateway: &Gateway, state: &State, now: Instant) -> Vec<IpAddr> {
    let regions = &gateway.settings.regions;
    let own_region = regions.get(&gateway.settings.data_centre);
    let peers = state.membership.live_peers(now);
    let mut peers: Vec<_> = peers
        .filter(|peer| peer.heartbeat.demand > 0 && regions.get(&peer.centre) == own_region)
        .collect();
    peers.sort_unstable_by_key(|peer| (Reverse(peer.heartbeat.demand), peer.address));
    peers.into_iter().map(|peer| peer.address).collect()
}

/// The name of the live gateway of the region with the address `from`.
fn sender(gateway: &Gateway, state: &State, now: Instant, from: IpAddr) -> Option<String> {
    let regions = &gateway.settings.regions;
    let own_region = regions.get(&gateway.settings.data_centre);
    let mut peers = state.membership.live_peers(now);
    let peer =
        peers.find(|peer| peer.address == from && regions.get(&peer.centre) == own_region)?;
    Some(peer.name.clone())
}

/// Sets the gauges of the shared load to current values.
pub(crate) fn update_gauges(gateway: &Gateway, state: &State, now: Instant) {
    if !state.balancer.shares_load() {
        return;
    }
    let metrics = &gateway.metrics;
    metrics.load_reporters.set(state.balancer.load_reporters() as i64);
    metrics.load_report_age.set(state.balancer.load_report_age(now).as_micros() as f64 / 1e6);
    for spread in state.balancer.load_spreads(now) {
        let labels = ServiceLabels { service: spread.service };
        metrics.load_spread.get_or_create(&labels).set(spread.busiest_to_mean);
        metrics.load_per_slot.get_or_create(&labels).set(spread.requests_per_slot);
    }
}
