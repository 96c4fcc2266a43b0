//! Scenarios: traces generated from a seed.
//!
//! Each stream of requests has its own random number generator, so a variant that omits a stream or
//! the incidents has otherwise identical arrivals.

use anyhow::bail;
use ebonypass_core::id::{KindId, RegionId, ServiceId, TargetId};
use ebonypass_core::policy::Document;
use ebonypass_core::scan::scan_document;
use ebonypass_core::time::Span;
use fastrand::Rng;

use crate::trace::{ArriveLine, FailLine, LeaveLine, Line, SilenceLine, SlowLine, Source};

/// Policy of Windelrunde with the sizes of docs/design.md, section 1.3.
pub const WINDELRUNDE: &str = include_str!("../../../traces/windelrunde.toml");

/// Policy of Podilato with the sizes of docs/design.md, section 1.3. The 16 servers of
/// `stock-view` are split 3, 3, 2 over the data centres of the three regions.
pub const PODILATO: &str = include_str!("../../../traces/podilato.toml");

/// Policy in which both members share one service of Windelrunde's size.
pub const SHARED: &str = include_str!("../../../traces/shared.toml");

/// The names of all scenarios.
pub const NAMES: [&str; 14] = [
    "windelrunde-night",
    "windelrunde-night-no-exports",
    "podilato-day",
    "podilato-day-no-stragglers",
    "equal-turns-kind",
    "equal-turns-kind-alone",
    "equal-turns-member",
    "equal-turns-member-alone",
    "overload-1.3",
    "leave",
    "region-fail",
    "link-pressure",
    "silence",
    "mixed-faults",
];

/// Standard deviation of the logarithm of service times. The 99th percentile is 3.2 times the
/// median.
const SIGMA: f64 = 0.5;

/// Mean service time of Windelrunde's short kinds.
const SHORT_MEAN: Span = Span::from_millis(30);

/// Mean service time of exports, 50 times that of the short kinds.
const EXPORT_MEAN: Span = Span::from_millis(1_500);

/// How long a straggler is slow.
const STRAGGLER_DURATION: Span = Span::from_secs(2);

/// Multiple of the healthy service time of a straggler.
const STRAGGLER_FACTOR: f64 = 10.0;

/// A Poisson process of requests of one kind.
#[derive(Debug, Clone)]
struct Stream {
    /// Selects the sequence of random numbers; unique among the streams of a scenario.
    seed_offset: u64,
    member: &'static str,
    service: &'static str,
    kind: &'static str,
    mean_service_time: Span,
    /// Offered load as a fraction of the slots, by region.
    load: [f64; 3],
    reply_bytes: u64,
}

/// Returns the policy document of a scenario.
pub fn scenario_policy(name: &str) -> &'static str {
    match name {
        "podilato-day"
        | "podilato-day-no-stragglers"
        | "leave"
        | "link-pressure"
        | "silence"
        | "mixed-faults" => PODILATO,
        "equal-turns-member" | "equal-turns-member-alone" => SHARED,
        _ => WINDELRUNDE,
    }
}

/// Returns the default length of a scenario in seconds, which gives at most about 100,000 arrivals.
pub fn scenario_seconds(name: &str) -> u64 {
    match name {
        "windelrunde-night" | "windelrunde-night-no-exports" => 30,
        _ => 20,
    }
}

/// Generates the records of a scenario, ordered by time. Fails if there is no such scenario.
pub fn make_scenario(name: &str, seed: u64, seconds: u64) -> anyhow::Result<Vec<Line>> {
    if !NAMES.contains(&name) {
        bail!("unknown scenario \"{name}\"; available: {}", NAMES.join(", "));
    }
    let document = match scan_document(scenario_policy(name)) {
        Ok(document) => document,
        Err(faults) => bail!("invalid policy of scenario {name}: {faults:?}"),
    };
    let mut lines = incident_lines(name, &document, seconds);
    for stream in streams(name) {
        for (region, _) in document.regions.iter() {
            add_arrivals(&document, &stream, region, seed, seconds, &mut lines);
        }
    }
    lines.sort_by_key(|line| line.at_us);
    let arrivals = lines.iter_mut().filter_map(|line| line.arrive.as_mut());
    for (id, arrive) in arrivals.enumerate() {
        arrive.id = id as u64 + 1;
    }
    Ok(lines)
}

fn streams(name: &str) -> Vec<Stream> {
    match name {
        "windelrunde-night" => [short_streams(0.6), export_streams(0.15)].concat(),
        "windelrunde-night-no-exports" => short_streams(0.6),
        "overload-1.3" => short_streams(1.3),
        "region-fail" => [short_streams(0.45), export_streams(0.05)].concat(),
        "equal-turns-kind" => [two_kind_streams(), vec![EXCESS_KIND]].concat(),
        "equal-turns-kind-alone" => two_kind_streams(),
        "equal-turns-member" => [two_member_streams(), vec![EXCESS_MEMBER]].concat(),
        "equal-turns-member-alone" => two_member_streams(),
        "link-pressure" => vec![LINK_PRESSURE],
        _ => podilato_streams(0.7),
    }
}

const fn windelrunde(
    seed_offset: u64,
    service: &'static str,
    kind: &'static str,
    load: f64,
) -> Stream {
    Stream {
        seed_offset,
        member: "windelrunde",
        service,
        kind,
        mean_service_time: SHORT_MEAN,
        load: [load; 3],
        reply_bytes: 2_000,
    }
}

fn short_streams(load: f64) -> Vec<Stream> {
    vec![
        windelrunde(1, "rounds", "lookup", 0.7 * load),
        windelrunde(2, "rounds", "bag-count", 0.3 * load),
        windelrunde(3, "swaps", "log", 0.6 * load),
        windelrunde(4, "swaps", "history", 0.4 * load),
        windelrunde(5, "abos", "top-up", 0.4 * load),
        windelrunde(6, "abos", "status", 0.6 * load),
        windelrunde(7, "ledgers", "balance", load),
    ]
}

fn export_streams(load: f64) -> Vec<Stream> {
    let services = ["rounds", "swaps", "abos", "ledgers"].into_iter().zip(11..);
    let export = |(service, seed_offset)| Stream {
        mean_service_time: EXPORT_MEAN,
        reply_bytes: 200_000,
        ..windelrunde(seed_offset, service, "export", load)
    };
    services.map(export).collect()
}

fn two_kind_streams() -> Vec<Stream> {
    vec![windelrunde(21, "rounds", "lookup", 0.35), windelrunde(22, "rounds", "bag-count", 0.35)]
}

/// Raises `bag-count` to 5 times its share.
const EXCESS_KIND: Stream = windelrunde(23, "rounds", "bag-count", 4.0 * 0.35);

fn two_member_streams() -> Vec<Stream> {
    let windelrunde_stream = windelrunde(24, "rounds", "lookup", 0.35);
    vec![
        windelrunde_stream,
        Stream { member: "podilato", ..windelrunde(25, "rounds", "lookup", 0.35) },
    ]
}

/// Raises Podilato to 5 times its share.
const EXCESS_MEMBER: Stream =
    Stream { member: "podilato", ..windelrunde(26, "rounds", "lookup", 4.0 * 0.35) };

fn podilato_streams(load: f64) -> Vec<Stream> {
    let stream = |seed_offset, service, kind, mean_ms, share: f64, reply_bytes| Stream {
        seed_offset,
        member: "podilato",
        service,
        kind,
        mean_service_time: Span::from_millis(mean_ms),
        load: [share * load; 3],
        reply_bytes,
    };
    vec![
        stream(31, "stock-view", "view", 40, 1.0, 8_000),
        stream(32, "booking-desk", "check", 45, 0.65, 2_000),
        stream(33, "booking-desk", "reserve", 60, 0.35, 2_000),
        stream(34, "deposit-till", "status", 45, 0.6, 2_000),
        stream(35, "deposit-till", "charge", 60, 0.25, 2_000),
        stream(36, "deposit-till", "return-credit", 60, 0.15, 2_000),
        stream(37, "fit-library", "guide", 50, 1.0, 60_000),
    ]
}

/// Large replies (fitting guides with pictures). The load of Attiki is twice the capacity of its
/// targets, and the replies to the excess that the other regions could serve are several times the
/// capacity of the links to Attiki.
const LINK_PRESSURE: Stream = Stream {
    seed_offset: 41,
    member: "podilato",
    service: "fit-library",
    kind: "guide",
    mean_service_time: Span::from_millis(50),
    load: [2.0, 0.2, 0.2],
    reply_bytes: 400_000,
};

fn add_arrivals(
    document: &Document,
    stream: &Stream,
    region: RegionId,
    seed: u64,
    seconds: u64,
    lines: &mut Vec<Line>,
) {
    let service = document.service(stream.service).expect("the policy has the service");
    let kind = document.kind(service, stream.kind).expect("the policy has the kind");
    let slots = region_slots(document, service, region);
    let load = stream.load[usize::from(region.0)];
    let mean_us = stream.mean_service_time.as_micros() as f64;
    let arrivals_per_us = load * f64::from(slots) / mean_us;
    let mut rng = Rng::with_seed(
        seed.wrapping_mul(1_000_003).wrapping_add(stream.seed_offset * 64 + u64::from(region.0)),
    );
    let centres: Vec<&str> = document
        .centres
        .values()
        .filter(|centre| centre.region == region)
        .map(|centre| centre.name.as_str())
        .collect();
    let mut at_us = 0.0;
    loop {
        at_us += -(1.0 - rng.f64()).ln() / arrivals_per_us;
        if at_us >= seconds as f64 * 1e6 {
            break;
        }
        let dc = centres[rng.usize(..centres.len())];
        let service_us = median_us(stream.mean_service_time) * (SIGMA * normal(&mut rng)).exp();
        lines.push(Line {
            at_us: at_us as u64,
            arrive: Some(arrive_line(document, stream, kind, dc, service_us)),
            ..Line::default()
        });
    }
}

fn arrive_line(
    document: &Document,
    stream: &Stream,
    kind: KindId,
    dc: &str,
    service_us: f64,
) -> ArriveLine {
    ArriveLine {
        id: 0,
        member: stream.member.to_owned(),
        service: stream.service.to_owned(),
        kind: stream.kind.to_owned(),
        dc: dc.to_owned(),
        service_us: (service_us as u64).max(1),
        request_bytes: 400,
        reply_bytes: stream.reply_bytes,
        deadline_us: document.kinds[kind].deadline.as_micros(),
        idempotent: document.kinds[kind].idempotent,
    }
}

/// Returns the median, in microseconds, of a log-normal distribution with the given mean.
fn median_us(mean: Span) -> f64 {
    mean.as_micros() as f64 / (SIGMA * SIGMA / 2.0).exp()
}

/// Returns a standard normally distributed number (Box-Muller transform).
fn normal(rng: &mut Rng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.f64()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.f64()).cos()
}

fn region_slots(document: &Document, service: ServiceId, region: RegionId) -> u32 {
    let targets = document
        .targets
        .values()
        .filter(|target| target.service == service && document.region_of(target.centre) == region);
    targets.map(|target| target.slots).sum()
}

fn incident_lines(name: &str, document: &Document, seconds: u64) -> Vec<Line> {
    match name {
        "podilato-day" => straggler_lines(document, seconds),
        "leave" => leave_lines(document, seconds),
        "region-fail" => vec![fail_line("geneva-1", 5), fail_line("geneva-2", 5)],
        "silence" => [straggler_lines(document, seconds), silence_lines()].concat(),
        "mixed-faults" => mixed_fault_lines(document, seconds),
        _ => Vec::new(),
    }
}

/// In each period of 2 s, two targets of each service, half of its list apart, are slow; in the next
/// period the targets that follow them.
fn straggler_lines(document: &Document, seconds: u64) -> Vec<Line> {
    let mut lines = Vec::new();
    for (service, _) in document.services.iter() {
        let targets = service_targets(document, service);
        let count = targets.len();
        let rounds = seconds / STRAGGLER_DURATION.as_micros().div_ceil(1_000_000);
        // The first period has no stragglers, so that the entries observe normal service times first.
        for round in 1..rounds as usize {
            for index in [round % count, (round + count / 2) % count] {
                lines.push(Line {
                    at_us: round as u64 * STRAGGLER_DURATION.as_micros(),
                    slow: Some(SlowLine {
                        target: document.targets[targets[index]].name.clone(),
                        factor: STRAGGLER_FACTOR,
                        for_us: STRAGGLER_DURATION.as_micros(),
                    }),
                    ..Line::default()
                });
            }
        }
    }
    lines
}

/// One target of each service leaves after each of the first three quarters, each in a different
/// region.
fn leave_lines(document: &Document, seconds: u64) -> Vec<Line> {
    let mut lines = Vec::new();
    for (service, _) in document.services.iter() {
        let targets = service_targets(document, service);
        for quarter in 1..4 {
            let index = (quarter - 1) * targets.len() / 3;
            lines.push(leave_line(
                &document.targets[targets[index]].name,
                seconds * 1_000_000 * quarter as u64 / 4,
            ));
        }
    }
    lines
}

/// Load reports stop. Later the VM list stops too, and two targets leave unnoticed.
fn silence_lines() -> Vec<Line> {
    vec![
        silence_line(Source::Load, 3, 12),
        silence_line(Source::Vms, 8, 8),
        leave_line("booking-desk-attiki-1-01", 8_500_000),
        leave_line("stock-view-kriti-1-01", 8_600_000),
    ]
}

/// A data centre fails while there are stragglers, a target leaves and load reports are silent.
fn mixed_fault_lines(document: &Document, seconds: u64) -> Vec<Line> {
    let faults = vec![
        fail_line("kriti-2", 6),
        leave_line("deposit-till-attiki-2-01", 6_100_000),
        silence_line(Source::Load, 5, 10),
    ];
    [straggler_lines(document, seconds), faults].concat()
}

fn fail_line(dc: &str, at_s: u64) -> Line {
    let fail = FailLine { dc: dc.to_owned(), for_us: 8_000_000 };
    Line { at_us: at_s * 1_000_000, fail: Some(fail), ..Line::default() }
}

fn leave_line(target: &str, at_us: u64) -> Line {
    Line { at_us, leave: Some(LeaveLine { target: target.to_owned() }), ..Line::default() }
}

fn silence_line(source: Source, at_s: u64, for_s: u64) -> Line {
    let silence = SilenceLine { source, for_us: for_s * 1_000_000 };
    Line { at_us: at_s * 1_000_000, silence: Some(silence), ..Line::default() }
}

fn service_targets(document: &Document, service: ServiceId) -> Vec<TargetId> {
    let targets = document.targets.iter().filter(|(_, target)| target.service == service);
    targets.map(|(key, _)| key).collect()
}
