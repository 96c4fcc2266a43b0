//! The store turns away a third of the machines, those that read it, and serves the others. Judged
//! are the machines that it serves.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Connection, request};
use crate::platform::{Machine, Settings, free_addresses};
use crate::server::{Behaviour, Server};
use crate::store::{Route, Store, config};
use crate::{Verdict, record};

const ZONES: [&str; 9] =
    ["zrh-a", "zrh-b", "zrh-a", "gva-a", "gva-b", "gva-a", "lug-a", "lug-b", "lug-a"];
/// `drainMs` and `configApplyMs`.
const DRAIN: Duration = Duration::from_millis(2_500);
const CONFIG_APPLY: Duration = Duration::from_millis(2_500);
/// How long the first and the second server that leave go on after `drainMs`: "a little longer (at
/// times many seconds)".
const STAYS_LONG: Duration = Duration::from_millis(4_500);
const STAYS_SHORT: Duration = Duration::from_millis(500);
const CLIENTS_PER_MACHINE: usize = 4;
const TURNED_AWAY_FOR: Duration = Duration::from_secs(9);

const BEFORE: [Route; 2] = [
    Route { prefix: "/swap/", kind: "unsafe", timeout_ms: 1_200, service: "swaps" },
    Route { prefix: "/moved/", kind: "safe", timeout_ms: 1_200, service: "swaps" },
];
const AFTER: [Route; 2] = [BEFORE[0], Route { service: "rounds", ..BEFORE[1] }];

/// A request of a client.
struct Sent {
    id: String,
    machine: usize,
    at: Instant,
}

pub fn run(has_trouble: bool) -> Verdict {
    let store = Store::default();
    let behaviour = Behaviour {
        work: Duration::from_millis(120),
        answer_bytes: Some(400),
        wait_before_body: Duration::ZERO,
        is_recorded: false,
    };
    let server = |index: usize| Server::start(&format!("i-{index:04}"), behaviour);
    let swaps: Vec<Arc<Server>> = (0..6).map(server).collect();
    let rounds: Vec<Arc<Server>> = (6..9).map(server).collect();
    store.put("config", "main", &config(4, &BEFORE), "{}");
    let zones = ["zrh-a", "zrh-b", "gva-a", "gva-b", "lug-a", "lug-b"];
    for (index, server) in swaps.iter().enumerate() {
        let (spec, status) = server.entry("swaps", zones[index], 30);
        store.put("servers", &server.name, &spec, &status);
    }
    for (index, server) in rounds.iter().enumerate() {
        let (spec, status) = server.entry("rounds", zones[index * 2], 30);
        store.put("servers", &server.name, &spec, &status);
    }
    let addresses = free_addresses(ZONES.len())?;
    let paths: Vec<_> = ZONES.iter().map(|_| store.open_path()).collect();
    let mut machines = Vec::new();
    for (index, zone) in ZONES.iter().enumerate() {
        let settings = Settings {
            name: format!("edge-{zone}-{}", index + 1),
            zone,
            seeds: addresses[..3].to_vec(),
            store: paths[index].address,
            memory_mb: 260,
        };
        machines.push(Machine::start(&addresses[index], &settings)?);
    }
    for machine in &machines {
        machine.wait_ready()?;
    }
    // All machines find each other, and none has started within the stable window.
    thread::sleep(Duration::from_secs(8));
    let readers: BTreeSet<usize> = (0..machines.len())
        .filter(|&index| paths[index].is_in_use(Duration::from_millis(1_600)))
        .collect();
    let names: Vec<&str> = readers.iter().map(|&index| machines[index].name.as_str()).collect();
    record::line(&format!("machines that read the store: {}", names.join(", ")));
    if readers.is_empty() || readers.len() > 3 {
        return Err(format!("{} of {} machines read the store", readers.len(), machines.len()));
    }

    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let failed = Arc::new(AtomicU64::new(0));
    let is_over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for (index, machine) in machines.iter().enumerate() {
        for client in 0..CLIENTS_PER_MACHINE {
            let (front, sent) = (machine.front(), sent.clone());
            let (failed, is_over) = (failed.clone(), is_over.clone());
            clients.push(thread::spawn(move || {
                send_requests((index, client), front, &sent, &failed, &is_over);
            }));
        }
    }
    thread::sleep(Duration::from_secs(1));

    if has_trouble {
        for &index in &readers {
            paths[index].is_silent.store(true, Ordering::SeqCst);
            record::line(&format!("the store gives {} no answers", machines[index].name));
        }
    }
    let turned_away_at = Instant::now();
    thread::sleep(Duration::from_millis(100));
    // Planned work: two servers leave without reporting `draining`, and a route moves.
    let leaving = &swaps[..2];
    store.remove("servers", &leaving[0].name);
    store.remove("servers", &leaving[1].name);
    let gone_at = Instant::now();
    record::line(&format!("ack: the entries of {} and {} are removed", leaving[0].name, leaving[1].name));
    store.put("config", "main", &config(7, &AFTER), "{}");
    let moved_at = Instant::now();
    record::line("ack: r7 moves /moved/ from swaps to rounds");
    thread::sleep(DRAIN + STAYS_SHORT);
    leaving[1].end();
    thread::sleep(STAYS_LONG - STAYS_SHORT);
    leaving[0].end();
    thread::sleep(Duration::from_millis(500));
    thread::sleep(TURNED_AWAY_FOR.saturating_sub(turned_away_at.elapsed()));
    for path in &paths {
        path.is_silent.store(false, Ordering::SeqCst);
    }
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }

    let sent = sent.lock().unwrap();
    let is_judged = |request: &&Sent| !readers.contains(&request.machine);
    let mut is_kept = true;
    for (index, machine) in machines.iter().enumerate() {
        let own = sent.iter().filter(|request| request.machine == index);
        let drain = late(own.clone(), leaving, gone_at);
        let moved: Vec<&Sent> = own.filter(|request| request.id.contains("moved")).collect();
        let config = late(moved.into_iter(), &swaps, moved_at);
        let role = if readers.contains(&index) { "turned away" } else { "served by the store" };
        record::line(&format!(
            "{} ({role}): last request at a gone server sent {drain:.3} s after the ack, last request run by the old service sent {config:.3} s after the ack",
            machine.name
        ));
    }
    let ids = |servers: &[Arc<Server>]| -> BTreeSet<String> {
        let arrivals = servers.iter().flat_map(|server| server.arrivals.lock().unwrap().clone());
        arrivals.map(|arrival| arrival.id).collect()
    };
    let (at_leaving, at_old) = (ids(leaving), ids(&swaps));
    let drain: Vec<&Sent> = sent
        .iter()
        .filter(is_judged)
        .filter(|request| request.at > gone_at + DRAIN && at_leaving.contains(&request.id))
        .collect();
    let config: Vec<&Sent> = sent
        .iter()
        .filter(is_judged)
        .filter(|request| request.id.contains("moved"))
        .filter(|request| request.at > moved_at + CONFIG_APPLY && at_old.contains(&request.id))
        .collect();
    for (rule, requests) in [("DRAIN", &drain), ("CONFIG", &config)] {
        for request in requests.iter().take(5) {
            let after = request.at - gone_at;
            record::line(&format!("{rule}: {} was sent {after:.3?} after the ack", request.id));
        }
    }
    let cut = leaving.iter().flat_map(|server| server.arrivals.lock().unwrap().clone());
    let cut: Vec<String> = cut.filter(|arrival| !arrival.is_answered).map(|arrival| arrival.id).collect();
    record::line(&format!("running at a gone server when it ended: {}", cut.join(", ")));
    record::line(&format!(
        "sent {} requests, {} of them not answered with 200; DRAIN {}, CONFIG {}",
        sent.len(),
        failed.load(Ordering::SeqCst),
        drain.len(),
        config.len()
    ));
    if sent.len() < 2_000 {
        return Err("too few requests".to_owned());
    }
    is_kept &= drain.is_empty() && config.is_empty();
    Ok(is_kept)
}

/// Seconds after `ack` at which the last of the requests that ran at `servers` was sent.
fn late<'a>(requests: impl Iterator<Item = &'a Sent>, servers: &[Arc<Server>], ack: Instant) -> f64 {
    let arrivals: BTreeSet<String> = servers
        .iter()
        .flat_map(|server| server.arrivals.lock().unwrap().iter().map(|a| a.id.clone()).collect::<Vec<_>>())
        .collect();
    let late = requests.filter(|request| arrivals.contains(&request.id)).map(|request| {
        let after = request.at.saturating_duration_since(ack);
        after.as_secs_f64()
    });
    late.fold(0.0, f64::max)
}

/// Sends requests to one machine on a kept connection, one after the other.
fn send_requests(
    (machine, client): (usize, usize),
    front: std::net::SocketAddr,
    sent: &Mutex<Vec<Sent>>,
    failed: &AtomicU64,
    is_over: &AtomicBool,
) {
    let mut connection = None;
    let mut count = 0;
    while !is_over.load(Ordering::SeqCst) {
        count += 1;
        let (method, route) = if (count + client as u64).is_multiple_of(2) { ("GET", "moved") } else { ("POST", "swap") };
        let id = format!("{route}-{machine}-{client}-{count}");
        let bytes = request(method, &format!("/{route}/{count}"), &id, 4_000, (count * 5 + client as u64) % 48, b"");
        let Ok(open) = connection.take().map_or_else(|| Connection::open(front, Duration::from_secs(5)), Ok) else {
            thread::sleep(Duration::from_millis(50));
            continue;
        };
        let mut open = open;
        sent.lock().unwrap().push(Sent { id, machine, at: Instant::now() });
        match open.call(&bytes) {
            Ok(head) => {
                if head.status != 200 {
                    record::line(&format!("{} is answered {}", id_of(&bytes), head.status));
                    failed.fetch_add(1, Ordering::SeqCst);
                }
                if !head.closes {
                    connection = Some(open);
                }
            }
            Err(error) => {
                record::line(&format!("{} ends without an answer: {error}", id_of(&bytes)));
                failed.fetch_add(1, Ordering::SeqCst);
            }
        }
        thread::sleep(Duration::from_millis(8));
    }
}

/// The id of an encoded request.
fn id_of(bytes: &[u8]) -> String {
    let text = String::from_utf8_lossy(bytes).into_owned();
    let id = text.lines().find_map(|line| line.strip_prefix("X-Request-Id: "));
    id.unwrap_or_default().to_owned()
}
