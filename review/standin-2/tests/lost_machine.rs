//! A machine is lost for good in the middle of a rolling restart. The directory must stop naming it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::client::{Connection, request};
use crate::platform::{Machine, Settings, free_addresses};
use crate::server::{Behaviour, Server};
use crate::store::{Route, Store, config};
use crate::{Verdict, record};

const ZONES: [&str; 11] = [
    "zrh-a", "gva-a", "lug-a", "zrh-b", "gva-b", "lug-b", "zrh-a", "gva-a", "lug-a", "zrh-b", "gva-b",
];
/// The machine that is lost.
const LOST: usize = 9;
/// `gap_s` of the rolling restart.
const GAP: Duration = Duration::from_millis(1_300);
/// `stableWindowMs`, in seconds.
const STABLE_S: f64 = 3.0;
/// `stableWindowMs` + 3 s.
const BOUND_S: f64 = 6.0;
const LOOKUP_INTERVAL: Duration = Duration::from_millis(50);
/// DRAIN: more than three.
const ALLOWED: usize = 3;

/// An answer of the directory that names the lost machine beside a running one.
struct Answer {
    machine: usize,
    at: f64,
}

pub fn run(has_trouble: bool) -> Verdict {
    let store = Store::default();
    let behaviour = Behaviour {
        work: Duration::from_millis(50),
        answer_bytes: Some(400),
        wait_before_body: Duration::ZERO,
        is_recorded: false,
    };
    let server = Server::start("i-0001", behaviour);
    let routes = [Route { prefix: "/rounds/", kind: "safe", timeout_ms: 1_200, service: "rounds" }];
    store.put("config", "main", &config(4, &routes), "{}");
    let (spec, status) = server.entry("rounds", "zrh-a", 9);
    store.put("servers", &server.name, &spec, &status);
    let path = store.open_path();
    let addresses = free_addresses(ZONES.len())?;
    let all: Vec<Settings> = ZONES
        .iter()
        .enumerate()
        .map(|(index, zone)| Settings {
            name: format!("edge-{zone}-{}", 1 + index / 6),
            zone,
            seeds: addresses[..3].to_vec(),
            store: path.address,
            memory_mb: 260,
        })
        .collect();
    let mut machines = Vec::new();
    for (ip, settings) in addresses.iter().zip(&all) {
        machines.push(Machine::start(ip, settings)?);
    }
    for machine in &machines {
        machine.wait_ready()?;
    }
    thread::sleep(Duration::from_secs(7));

    let is_over = Arc::new(AtomicBool::new(false));
    let lost_front = format!("\"{}\"", machines[LOST].front());
    let clients: Vec<_> = addresses
        .iter()
        .enumerate()
        .filter(|(index, _)| *index != LOST)
        .map(|(index, ip)| {
            let (ip, lost_front, is_over) = (ip.clone(), lost_front.clone(), is_over.clone());
            thread::spawn(move || look_up(index, &ip, &lost_front, &is_over))
        })
        .collect();

    // When each machine was last disturbed by a signal or a start.
    let mut disturbed: BTreeMap<usize, Vec<f64>> = BTreeMap::new();
    let mut stopping = Vec::new();
    let mut lost_at = f64::MAX;
    let order: Vec<usize> = (0..ZONES.len()).filter(|index| *index != LOST).collect();
    let start = record::now();
    let mut next = 0;
    while next < order.len() || !stopping.is_empty() {
        let elapsed = record::now() - start;
        if next < order.len() && elapsed >= next as f64 * GAP.as_secs_f64() {
            let index = order[next];
            machines[index].terminate();
            disturbed.entry(index).or_default().push(record::now());
            stopping.push(index);
            next += 1;
        }
        if lost_at == f64::MAX && elapsed >= 3.2 {
            if has_trouble {
                machines[LOST].kill();
                lost_at = record::now();
                record::line(&format!("{} is lost", machines[LOST].name));
            } else {
                machines[LOST].terminate();
                machines[LOST].wait();
                lost_at = record::now();
                record::line(&format!("{} has left", machines[LOST].name));
            }
        }
        let mut left = Vec::new();
        for index in stopping {
            if machines[index].has_ended() {
                machines[index] = Machine::start(&addresses[index], &all[index])?;
                record::line(&format!("{} starts again", machines[index].name));
                disturbed.entry(index).or_default().push(record::now());
            } else {
                left.push(index);
            }
        }
        stopping = left;
        thread::sleep(Duration::from_millis(10));
    }
    thread::sleep(Duration::from_secs(8));
    is_over.store(true, Ordering::SeqCst);
    let mut answers = Vec::new();
    let mut count = 0;
    for client in clients {
        let (own_count, own) = client.join().map_err(|_| "a client failed".to_owned())?;
        count += own_count;
        answers.extend(own);
    }
    let late: Vec<&Answer> = answers.iter().filter(|answer| answer.at > lost_at + BOUND_S).collect();
    let is_in_touch = |answer: &&&Answer| {
        let times = disturbed.get(&answer.machine);
        !times.into_iter().flatten().any(|at| *at <= answer.at && answer.at - at < STABLE_S)
    };
    let judged: Vec<&&Answer> = late.iter().filter(is_in_touch).collect();
    for (index, settings) in all.iter().enumerate() {
        let last = late.iter().filter(|answer| answer.machine == index).map(|answer| answer.at);
        let last = last.fold(0.0, f64::max);
        if last > 0.0 {
            let own = judged.iter().filter(|answer| answer.machine == index).count();
            record::line(&format!("{} names {} until {:.2} s after its end; {own} answers in touch", settings.name, all[LOST].name, last - lost_at));
        }
    }
    record::line(&format!(
        "{count} answers of the directory; {} name the machine over {BOUND_S} s after its end, {} of them by machines in touch (allowed {ALLOWED})",
        late.len(),
        judged.len()
    ));
    if count < 1_000 {
        return Err("too few answers".to_owned());
    }
    Ok(judged.len() <= ALLOWED)
}

/// Asks one machine again and again. Returns how many answers there were, and those that name the
/// lost machine beside another one.
fn look_up(machine: usize, ip: &str, lost_front: &str, is_over: &AtomicBool) -> (usize, Vec<Answer>) {
    let (mut count, mut found) = (0, Vec::new());
    let bytes = request("GET", "/ebonypass/resolve?name=review.example&region=zurich&zone=zrh-a", "lookup", 1_000, 0, b"");
    while !is_over.load(Ordering::SeqCst) {
        thread::sleep(LOOKUP_INTERVAL);
        let Ok(address) = format!("{ip}:8644").parse() else { continue };
        let Ok(mut connection) = Connection::open(address, Duration::from_secs(1)) else { continue };
        let Ok(text) = connection.text(&bytes) else { continue };
        count += 1;
        // A running machine is named too if there is a second address.
        if text.contains(lost_front) && text.matches(":8641").count() > 1 {
            found.push(Answer { machine, at: record::now() });
        }
    }
    (count, found)
}
