//! Scenarios: traces made from a seed.
//!
//! Each stream of requests has its own random numbers. A variant without a stream or without
//! incidents therefore keeps every other arrival as it is.

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

/// Names of all scenarios.
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

/// Standard deviation of the logarithm of service times: the 99th percentile is 3.2 medians.
const SIGMA: f64 = 0.5;

/// Mean service time of Windelrunde's short kinds.
const SHORT: Span = Span::from_millis(30);

/// Mean service time of exports, 50 times that of the short kinds.
const EXPORT: Span = Span::from_millis(1_500);

/// How long a straggler is slow, and how slow.
const STRAGGLE: Span = Span::from_secs(2);
const STRAGGLE_FACTOR: f64 = 10.0;

/// One kind of request that arrives at random times.
#[derive(Debug, Clone)]
struct Stream {
    /// Chooses the random numbers.
    number: u64,
    member: &'static str,
    service: &'static str,
    kind: &'static str,
    mean: Span,
    /// Part of the slots in use, by region.
    load: [f64; 3],
    reply_bytes: u64,
}

/// A scenario's policy document.
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

/// Seconds that a scenario lasts, so that it has about 100,000 arrivals at most.
pub fn scenario_seconds(name: &str) -> u64 {
    match name {
        "windelrunde-night" | "windelrunde-night-no-exports" => 30,
        _ => 20,
    }
}

/// The records of a scenario, ordered by time.
pub fn make_scenario(name: &str, seed: u64, seconds: u64) -> anyhow::Result<Vec<Line>> {
    if !NAMES.contains(&name) {
        bail!("no scenario is called \"{name}\"; there are {}", NAMES.join(", "));
    }
    let document = match scan_document(scenario_policy(name)) {
        Ok(document) => document,
        Err(faults) => bail!("the policy of the scenario has faults: {faults:?}"),
    };
    let mut lines = incidents(name, &document, seconds);
    for stream in streams(name) {
        for (region, _) in document.regions.iter() {
            arrivals(&document, &stream, region, seed, seconds, &mut lines);
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
        "equal-turns-kind" => [kind_streams(), vec![EXCESS_KIND]].concat(),
        "equal-turns-kind-alone" => kind_streams(),
        "equal-turns-member" => [member_streams(), vec![EXCESS_MEMBER]].concat(),
        "equal-turns-member-alone" => member_streams(),
        "link-pressure" => vec![PRESSURE],
        _ => day_streams(0.7),
    }
}

const fn windelrunde(number: u64, service: &'static str, kind: &'static str, load: f64) -> Stream {
    Stream {
        number,
        member: "windelrunde",
        service,
        kind,
        mean: SHORT,
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
    let export = |(service, number)| Stream {
        mean: EXPORT,
        reply_bytes: 200_000,
        ..windelrunde(number, service, "export", load)
    };
    services.map(export).collect()
}

fn kind_streams() -> Vec<Stream> {
    vec![windelrunde(21, "rounds", "lookup", 0.35), windelrunde(22, "rounds", "bag-count", 0.35)]
}

/// Brings `bag-count` to 5 times its share.
const EXCESS_KIND: Stream = windelrunde(23, "rounds", "bag-count", 4.0 * 0.35);

fn member_streams() -> Vec<Stream> {
    let first = windelrunde(24, "rounds", "lookup", 0.35);
    vec![first, Stream { member: "podilato", ..windelrunde(25, "rounds", "lookup", 0.35) }]
}

/// Brings Podilato to 5 times its share.
const EXCESS_MEMBER: Stream =
    Stream { member: "podilato", ..windelrunde(26, "rounds", "lookup", 4.0 * 0.35) };

fn day_streams(load: f64) -> Vec<Stream> {
    let stream = |number, service, kind, mean_ms, part: f64, reply_bytes| Stream {
        number,
        member: "podilato",
        service,
        kind,
        mean: Span::from_millis(mean_ms),
        load: [part * load; 3],
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

/// Fitting guides with pictures: Attiki offers twice what its targets hold, and what the other
/// regions could serve of the excess is several times what the links to Attiki carry.
const PRESSURE: Stream = Stream {
    number: 41,
    member: "podilato",
    service: "fit-library",
    kind: "guide",
    mean: Span::from_millis(50),
    load: [2.0, 0.2, 0.2],
    reply_bytes: 400_000,
};

fn arrivals(
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
    let mean_us = stream.mean.as_micros() as f64;
    let per_us = load * f64::from(slots) / mean_us;
    let mut rng = Rng::with_seed(
        seed.wrapping_mul(1_000_003).wrapping_add(stream.number * 64 + u64::from(region.0)),
    );
    let centres: Vec<&str> = document
        .centres
        .values()
        .filter(|centre| centre.region == region)
        .map(|centre| centre.name.as_str())
        .collect();
    let mut at = 0.0;
    loop {
        at += -(1.0 - rng.f64()).ln() / per_us;
        if at >= seconds as f64 * 1e6 {
            break;
        }
        let dc = centres[rng.usize(..centres.len())];
        let work = median(stream.mean) * (SIGMA * normal(&mut rng)).exp();
        lines.push(Line {
            at_us: at as u64,
            arrive: Some(arrive(document, stream, kind, dc, work)),
            ..Line::default()
        });
    }
}

fn arrive(
    document: &Document,
    stream: &Stream,
    kind: KindId,
    dc: &str,
    work_us: f64,
) -> ArriveLine {
    ArriveLine {
        id: 0,
        member: stream.member.to_owned(),
        service: stream.service.to_owned(),
        kind: stream.kind.to_owned(),
        dc: dc.to_owned(),
        service_us: (work_us as u64).max(1),
        request_bytes: 400,
        reply_bytes: stream.reply_bytes,
        deadline_us: document.kinds[kind].deadline.as_micros(),
        idempotent: document.kinds[kind].idempotent,
    }
}

/// Median of a log-normal distribution with the given mean, in microseconds.
fn median(mean: Span) -> f64 {
    mean.as_micros() as f64 / (SIGMA * SIGMA / 2.0).exp()
}

/// A normally distributed number (Box-Muller transform).
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

fn incidents(name: &str, document: &Document, seconds: u64) -> Vec<Line> {
    match name {
        "podilato-day" => stragglers(document, seconds),
        "leave" => leaves(document, seconds),
        "region-fail" => vec![fail("geneva-1", 5), fail("geneva-2", 5)],
        "silence" => [stragglers(document, seconds), silences()].concat(),
        "mixed-faults" => mixed_faults(document, seconds),
        _ => Vec::new(),
    }
}

/// Two targets of each service, half of its list apart, are slow for 2 s; then the next two.
fn stragglers(document: &Document, seconds: u64) -> Vec<Line> {
    let mut lines = Vec::new();
    for (service, _) in document.services.iter() {
        let targets = service_targets(document, service);
        let count = targets.len();
        let turns = seconds / STRAGGLE.as_micros().div_ceil(1_000_000);
        // The first turn comes after one length, when the entries have seen normal times.
        for turn in 1..turns as usize {
            for place in [turn % count, (turn + count / 2) % count] {
                lines.push(Line {
                    at_us: turn as u64 * STRAGGLE.as_micros(),
                    slow: Some(SlowLine {
                        target: document.targets[targets[place]].name.clone(),
                        factor: STRAGGLE_FACTOR,
                        for_us: STRAGGLE.as_micros(),
                    }),
                    ..Line::default()
                });
            }
        }
    }
    lines
}

/// One target of each service leaves in each quarter of the time, in a different region.
fn leaves(document: &Document, seconds: u64) -> Vec<Line> {
    let mut lines = Vec::new();
    for (service, _) in document.services.iter() {
        let targets = service_targets(document, service);
        for quarter in 1..4 {
            let place = (quarter - 1) * targets.len() / 3;
            lines.push(leave(
                &document.targets[targets[place]].name,
                seconds * 1_000_000 * quarter as u64 / 4,
            ));
        }
    }
    lines
}

/// Load reports stop; later the VM list stops too, and a target leaves unseen.
fn silences() -> Vec<Line> {
    vec![
        silence(Source::Load, 3, 12),
        silence(Source::Vms, 8, 8),
        leave("booking-desk-attiki-1-01", 8_500_000),
        leave("stock-view-kriti-1-01", 8_600_000),
    ]
}

/// A data centre fails while targets straggle, one leaves and load reports are silent.
fn mixed_faults(document: &Document, seconds: u64) -> Vec<Line> {
    let others = vec![
        fail("kriti-2", 6),
        leave("deposit-till-attiki-2-01", 6_100_000),
        silence(Source::Load, 5, 10),
    ];
    [stragglers(document, seconds), others].concat()
}

fn fail(dc: &str, at_s: u64) -> Line {
    let fail = FailLine { dc: dc.to_owned(), for_us: 8_000_000 };
    Line { at_us: at_s * 1_000_000, fail: Some(fail), ..Line::default() }
}

fn leave(target: &str, at_us: u64) -> Line {
    Line { at_us, leave: Some(LeaveLine { target: target.to_owned() }), ..Line::default() }
}

fn silence(source: Source, at_s: u64, for_s: u64) -> Line {
    let silence = SilenceLine { source, for_us: for_s * 1_000_000 };
    Line { at_us: at_s * 1_000_000, silence: Some(silence), ..Line::default() }
}

fn service_targets(document: &Document, service: ServiceId) -> Vec<TargetId> {
    let targets = document.targets.iter().filter(|(_, target)| target.service == service);
    targets.map(|(key, _)| key).collect()
}
