//! Processes whose memory grows beyond `memoryMb`.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};

use super::*;

/// Clients with one kept connection each, per machine.
const CLIENTS: usize = 8;
/// Zones of the machines that serve.
const MACHINE_ZONES: [&str; 2] = ["zrh-a", "zrh-b"];
const ZONES: [&str; 6] = ["zrh-a", "zrh-b", "gva-a", "gva-b", "lug-a", "lug-b"];
const HOST: &str = "jepu9.example";
const PATH: &str = "/puka111/log";
const ROUTES: [Route; 1] = [Route(HOST, "/puka111/", "unsafe", 3_000, 600, "swaps")];

/// Kills a process that takes more than `memoryMb`, and starts it again after a second, as the
/// platform does.
fn supervise(machine: Machine, is_over: Arc<AtomicBool>) {
    let mut noted = 0.0;
    while !is_over.load(Ordering::SeqCst) {
        let memory = machine.memory_mb().unwrap_or(0.0);
        if memory > noted + 25.0 {
            noted = memory;
            record(&format!("machine {}: the process has {memory:.0} MB", machine.name));
        }
        let is_over_limit = memory > machine.size.memory_mb as f64;
        if is_over_limit || machine.has_ended() {
            let end = if is_over_limit { "is killed" } else { "has ended by itself" };
            record(&format!("machine {}: the process has {memory:.0} MB and {end}", machine.name));
            machine.kill_process();
            noted = 0.0;
            sleep_ms(1_000);
            machine.start_process(false);
        }
        sleep_ms(5);
    }
}

/// A small deployment with traffic of non-idempotent requests.
struct Deployment {
    store: Store,
    servers: Vec<Server>,
    machines: Vec<Machine>,
    attempts: Arc<Mutex<Vec<Attempt>>>,
    clients: Vec<JoinHandle<()>>,
    is_over: Arc<AtomicBool>,
}

impl Deployment {
    /// Starts everything; clients send from second 8 until `end`.
    fn start(size: Size, end: f64) -> Deployment {
        let store = Store::start();
        put_config(&store, 7, &ROUTES);
        let start = |index: usize| {
            Server::start(&store, &format!("i-{index:08x}"), "swaps", ZONES[index % 6], 710)
        };
        let servers: Vec<Server> = (0..12).map(start).collect();
        let machines = start_machines(&store, &MACHINE_ZONES, size);
        let is_over = Arc::new(AtomicBool::new(false));
        for machine in &machines {
            let (machine, is_over) = (machine.clone(), is_over.clone());
            thread::spawn(move || supervise(machine, is_over));
        }
        sleep_until(8.0);
        let attempts: Arc<Mutex<Vec<Attempt>>> = Arc::default();
        let mut clients = Vec::new();
        for front in machines.iter().map(Machine::front) {
            for _ in 0..CLIENTS {
                let attempts = attempts.clone();
                clients.push(thread::spawn(move || {
                    let mut client = Client::new();
                    while now() < end {
                        let attempt = client.send(front, "POST", HOST, PATH, 4_000, &[b'x'; 300]);
                        attempts.lock().unwrap().push(attempt);
                        sleep_ms(300);
                    }
                }));
            }
        }
        Deployment { store, servers, machines, attempts, clients, is_over }
    }

    /// LOST: whether more than three requests on kept connections that were passed on to a sound
    /// server ended with a closed connection and without an answer.
    fn finish(self) -> bool {
        for client in self.clients {
            let _ = client.join();
        }
        self.is_over.store(true, Ordering::SeqCst);
        let attempts = self.attempts.lock().unwrap();
        record(&summary(&attempts));
        let arrived: Vec<String> = self
            .servers
            .iter()
            .flat_map(|server| server.arrivals.lock().unwrap().clone())
            .filter(|arrival| arrival.has_run)
            .map(|arrival| arrival.request)
            .collect();
        let is_lost = |attempt: &&Attempt| {
            attempt.is_kept && attempt.end == End::Cut && arrived.contains(&attempt.id)
        };
        let lost: Vec<&str> =
            attempts.iter().filter(is_lost).map(|attempt| attempt.id.as_str()).collect();
        let (count, list) = (lost.len(), lost.join(" "));
        record(&format!("on kept connections, run by a sound server, cut: {count} ({list})"));
        let served = attempts.iter().filter(|attempt| matches!(attempt.end, End::Answer(200, ..)));
        if served.count() < 50 {
            cannot_run("too few requests were served");
        }
        count > 3
    }
}

/// Clients per machine that send one large body each.
const UPLOADS: usize = 4;
/// Below `maxBodyBytes`.
const LARGE_BODY_BYTES: usize = 60 << 20;
/// All uploads to a machine together stay below its link of 1,000 Mbit/s.
const UPLOAD_MIB_PER_S: u64 = 28;

/// Some clients send bodies of a size that the configuration allows.
pub fn large_bodies() -> bool {
    let mut deployment = Deployment::start(SMALL_SITE, 20.0);
    for front in deployment.machines.iter().map(Machine::front) {
        for index in 0..UPLOADS {
            let attempts = deployment.attempts.clone();
            let size = if has_trouble() { LARGE_BODY_BYTES } else { 300 };
            deployment.clients.push(thread::spawn(move || {
                let body = vec![b'x'; size];
                sleep_until(12.0 + 0.05 * index as f64);
                let attempt = Client::with_rate(UPLOAD_MIB_PER_S)
                    .send(front, "POST", HOST, PATH, 4_000, &body);
                attempts.lock().unwrap().push(attempt);
            }));
        }
    }
    deployment.finish()
}

/// Routes by which the configuration grows.
const MORE_ROUTES: usize = 1_400;
/// Changes of one storm: 4 s with 0.33 s between them.
const CHANGES: usize = 12;
const CHANGE_GAP_MS: u64 = 330;
const STORMS: usize = 16;
const STORM_GAP_MS: u64 = 300;

/// The configuration grows by many routes, and changes in storms.
pub fn config_history() -> bool {
    let start = 10.0;
    let storm_s = (CHANGES as u64 * CHANGE_GAP_MS + STORM_GAP_MS) as f64 / 1e3;
    let end = start + STORMS as f64 * storm_s + 3.0;
    let deployment = Deployment::start(GROWN_SITE, end);
    sleep_until(start);
    let mut version = 7;
    for storm in 1..=STORMS {
        for _ in 0..CHANGES {
            if has_trouble() {
                version += 1;
                put_large_config(&deployment.store, version, &ROUTES, MORE_ROUTES);
            }
            sleep_ms(CHANGE_GAP_MS);
        }
        let memory = deployment.machines.iter().map(|machine| machine.memory_mb().unwrap_or(0.0));
        let memory: Vec<String> = memory.map(|mb| format!("{mb:.0}")).collect();
        record(&format!("storm {storm}: version {version}, MB: {}", memory.join(" ")));
        sleep_ms(STORM_GAP_MS);
    }
    deployment.finish()
}
