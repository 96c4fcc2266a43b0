//! Randomized soak test: real gateway processes and callers with persistent connections, under
//! injected faults: signals, links that are delayed, reset, blocked in one or both directions,
//! store errors, restores of the store from an older snapshot, and faulty targets. Guards the guarantees to callers and targets during and after
//! such faults.
//!
//! `EBONYPASS_SOAK_SEEDS=10..60` runs these seeds instead of the short run of CI.

mod fake;
#[path = "soak/proxy.rs"]
mod proxy;

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use fake::{Behaviour, Gateway, Message, Store, Target, config, request, store, wait_until};
use proxy::Proxy;

/// Seeds of the short run. Any seed that failed is added, with a line on the cause.
const DEFAULT_SEEDS: &[u64] = &[1, 2];
const GATEWAY_COUNT: usize = 4;
const TARGET_COUNT: usize = 5;
const CALLER_COUNT: usize = 8;
/// Time during which faults are injected.
const FAULT_DURATION: Duration = Duration::from_secs(10);
/// Limits of the base deployments on applying a configuration (`configApplyMs`) and draining a
/// leaving target (`drainMs`), checked once the machines have found each other after the last
/// fault.
const CONFIG_APPLY_LIMIT: Duration = Duration::from_millis(2_500);
const DRAIN_LIMIT: Duration = Duration::from_millis(2_500);
/// Limit on runs of one idempotent request, as in the routes.
const MAX_ATTEMPTS: usize = 2;

/// A seeded generator of uniform numbers.
#[derive(Debug, Clone)]
struct Random(u64);

impl Random {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (self.0 >> 33) % limit
    }

    fn span(&mut self, least_ms: u64, most_ms: u64) -> Duration {
        Duration::from_millis(least_ms + self.below(most_ms - least_ms))
    }

    fn pick<T: Clone>(&mut self, values: &[T]) -> T {
        values[self.below(values.len() as u64) as usize].clone()
    }
}

/// How long a target turns machines away.
const REFUSAL_TIME: Duration = Duration::from_millis(1_500);
/// Requests that are on their way when a target turns a machine away arrive within this time.
const REFUSAL_SLACK: Duration = Duration::from_millis(500);
/// Requests that may still reach it from all gateways: two that each may send, and those of all
/// callers, if a gateway has not heard of it yet.
const MAX_LATE_REQUESTS: usize = 2 * GATEWAY_COUNT + CALLER_COUNT;

/// The outcome of one request as its caller saw it.
#[derive(Debug)]
struct Observation {
    id: String,
    gateway: usize,
    sent: Instant,
    ended: Instant,
    /// The status; none if the connection ended without a complete reply.
    status: Option<u16>,
    is_valid: bool,
    /// Name and lifetime of the target that replied.
    lifetime: Option<String>,
    /// Whether the reply says that the target is leaving.
    is_leaving: bool,
}

/// A gateway that is killed or stopped and restarted at the same address.
struct Machine {
    address: Ipv4Addr,
    name: String,
    process: Mutex<Gateway>,
    /// Held while the process is restarted.
    restart: Mutex<()>,
    /// Start and end of each kill or pause.
    disruptions: Mutex<Vec<(Instant, Instant)>>,
    /// Start and end of each restart, planned ones included.
    restarts: Mutex<Vec<(Instant, Instant)>>,
}

impl Machine {
    /// Sends a signal unless the process has ended.
    fn signal(&self, name: &str) {
        let mut process = self.process.lock().unwrap();
        if !process.has_ended() {
            process.signal(name);
        }
    }

    /// Whether the process was killed, paused or restarted at any time between `from` and `to`.
    fn was_interrupted(&self, from: Instant, to: Instant) -> bool {
        let restarts = self.restarts.lock().unwrap();
        restarts.iter().any(|&(start, end)| start <= to && end >= from)
            || self.was_disrupted(from, to)
    }

    /// Whether the process was killed or paused at any time between `from` and `to`.
    fn was_disrupted(&self, from: Instant, to: Instant) -> bool {
        let disruptions = self.disruptions.lock().unwrap();
        disruptions.iter().any(|&(start, end)| start <= to && end >= from)
    }
}

struct Fleet {
    store: Store,
    store_proxy: Proxy,
    targets: Vec<Target>,
    proxies: Vec<Proxy>,
    machines: Vec<Machine>,
    seeds: Vec<SocketAddr>,
    fault_log: Mutex<Vec<String>>,
    /// Generation of the last configuration.
    generation: AtomicU64,
}

impl Fleet {
    fn new() -> Arc<Fleet> {
        let store = Store::new();
        store.set_era(1);
        let store_proxy = Proxy::new(store.address);
        store.put("config", "main", config(2, &routes(0)));
        let targets: Vec<Target> = (0..TARGET_COUNT)
            .map(|index| Target::new(&format!("t-{index}"), Behaviour::Normal(Duration::ZERO)))
            .collect();
        let proxies: Vec<Proxy> = targets.iter().map(|target| Proxy::new(target.address)).collect();
        for (target, proxy) in targets.iter().zip(&proxies) {
            store.put(
                "servers",
                &target.id,
                target.entry_with_address(proxy.address, "s", "ready"),
            );
        }
        let addresses: Vec<Ipv4Addr> = (0..GATEWAY_COUNT).map(|_| fake::unique_address()).collect();
        let seeds = vec![SocketAddr::from((addresses[0], 1)), SocketAddr::from((addresses[1], 1))];
        let reached = store.at(store_proxy.address);
        let machines = addresses.into_iter().enumerate().map(|(index, address)| {
            let name = format!("vm-{index}");
            let process =
                Mutex::new(Gateway::start_process(address, &reached, &name, &seeds, false));
            Machine {
                address,
                name,
                process,
                restart: Mutex::default(),
                disruptions: Mutex::default(),
                restarts: Mutex::default(),
            }
        });
        let machines = machines.collect();
        let fault_log = Mutex::default();
        let generation = AtomicU64::new(0);
        Arc::new(Fleet {
            store,
            store_proxy,
            targets,
            proxies,
            machines,
            seeds,
            fault_log,
            generation,
        })
    }

    fn restart_process(&self, machine: &Machine) {
        let store = self.store.at(self.store_proxy.address);
        let mut process = machine.process.lock().unwrap();
        *process =
            Gateway::start_process(machine.address, &store, &machine.name, &self.seeds, false);
    }

    /// Injects a random fault and reverts it later, in a thread of its own so that faults overlap.
    fn inject_fault(self: &Arc<Self>, random: &mut Random) -> thread::JoinHandle<()> {
        let (fleet, mut random) = (self.clone(), Random(random.below(1 << 40)));
        thread::spawn(move || {
            let index = random.below(GATEWAY_COUNT as u64) as usize;
            let target = random.below(TARGET_COUNT as u64) as usize;
            let time = random.span(200, 2_000);
            let kind = random.below(8);
            let line = format!("kind {kind}, gateway {index}, target {target}, for {time:?}");
            fleet.fault_log.lock().unwrap().push(line);
            let machine = &fleet.machines[index];
            match kind {
                0 => {
                    let start = Instant::now();
                    machine.signal("-STOP");
                    thread::sleep(time);
                    machine.signal("-CONT");
                    machine.disruptions.lock().unwrap().push((start, Instant::now()));
                }
                1 | 2 => {
                    // Only one restart at a time: a second one would kill the new process.
                    let Ok(_restart) = machine.restart.try_lock() else { return };
                    let start = Instant::now();
                    machine.signal(if kind == 1 { "-KILL" } else { "-TERM" });
                    wait_until("the gateway exits", || machine.process.lock().unwrap().has_ended());
                    if kind == 1 {
                        machine.disruptions.lock().unwrap().push((start, Instant::now()));
                    }
                    thread::sleep(time);
                    fleet.restart_process(machine);
                    machine.restarts.lock().unwrap().push((start, Instant::now()));
                }
                3 | 4 => {
                    let delay = random.span(5, 150);
                    let modes = [
                        proxy::Mode::Delayed(delay),
                        proxy::Mode::Reset,
                        proxy::Mode::BlockRequests,
                        proxy::Mode::BlockReplies,
                        proxy::Mode::Silent,
                    ];
                    let proxy = if kind == 3 { &fleet.proxies[target] } else { &fleet.store_proxy };
                    proxy.set(random.pick(&modes));
                    thread::sleep(time);
                    proxy.set(proxy::Mode::Open);
                }
                5 => {
                    fleet.store.set_mode(random.pick(&[
                        store::Mode::ErrorStatus(429),
                        store::Mode::ErrorStatus(503),
                        store::Mode::Silent,
                    ]));
                    thread::sleep(time);
                    fleet.store.set_mode(store::Mode::Normal);
                }
                6 => fleet.store.compact(),
                _ => {
                    fleet.targets[target].set_behaviour(random.pick(&[
                        Behaviour::Sheds,
                        Behaviour::Misdirected,
                        Behaviour::Fails,
                        Behaviour::Truncates,
                        Behaviour::InvalidHttp,
                        Behaviour::WrongRequestId,
                        Behaviour::Unsigned,
                        Behaviour::Closes,
                        Behaviour::ExtraReply,
                        Behaviour::ClosesIdle,
                        Behaviour::Normal(Duration::from_millis(400)),
                    ]));
                    thread::sleep(time);
                    fleet.targets[target].set_behaviour(Behaviour::Normal(Duration::ZERO));
                }
            }
        })
    }
}

/// Targets say in turn that they leave, or turn machines away, until `is_over`. Returns violations.
/// These faults have a thread and a generator of their own, so that the others of a seed stay as
/// they were before.
fn run_targets(fleet: &Fleet, mut random: Random, is_over: &AtomicBool) -> Vec<String> {
    let mut violations = Vec::new();
    while !is_over.load(Ordering::SeqCst) {
        let index = random.below(TARGET_COUNT as u64) as usize;
        let target = &fleet.targets[index];
        let start = Instant::now();
        if random.below(2) == 0 {
            target.set_behaviour(Behaviour::Leaves);
            thread::sleep(random.span(500, 2_500));
            // It starts anew under its name.
            target.set_behaviour(Behaviour::Normal(Duration::ZERO));
            target.lifetime.fetch_add(1, Ordering::SeqCst);
            let address = fleet.proxies[index].address;
            let entry = target.entry_with_address(address, "s", "ready");
            fleet.store.put("servers", &target.id, entry);
        } else {
            let end = start + REFUSAL_TIME;
            target.set_behaviour(Behaviour::RefusesUntil(end));
            thread::sleep(REFUSAL_TIME);
            target.set_behaviour(Behaviour::Normal(Duration::ZERO));
            let first_late = start + REFUSAL_SLACK;
            let refusals = target.refusals.lock().unwrap();
            let late = refusals.iter().filter(|at| (first_late..end).contains(at)).count();
            let is_calm = !fleet.machines.iter().any(|machine| machine.was_interrupted(start, end));
            if is_calm && late > MAX_LATE_REQUESTS {
                violations.push(format!("{late} requests to {} that turns away", target.id));
            }
        }
    }
    violations
}

/// Restores the store from snapshots until `is_over`. What the operator and the targets wrote is
/// written again by them soon after. These faults have a thread and a generator of their own, as
/// those of [`run_targets`].
fn run_restores(fleet: &Fleet, mut random: Random, is_over: &AtomicBool) {
    while !is_over.load(Ordering::SeqCst) {
        thread::sleep(random.span(500, 2_500));
        let snapshot = fleet.store.snapshot();
        let age = random.span(200, 2_000);
        thread::sleep(age);
        fleet.fault_log.lock().unwrap().push(format!("restore of a snapshot {age:?} old"));
        fleet.store.restore(&snapshot);
        thread::sleep(random.span(100, 2_500));
        let generation = fleet.generation.load(Ordering::SeqCst);
        fleet.store.put("config", "main", config(generation + 2, &routes(generation)));
        for (target, proxy) in fleet.targets.iter().zip(&fleet.proxies) {
            let entry = target.entry_with_address(proxy.address, "s", "ready");
            fleet.store.put("servers", &target.id, entry);
        }
    }
}

/// Requests that reached a target after their gateway had passed on that the target is leaving.
fn late_requests(fleet: &Fleet, observations: &[Observation]) -> Vec<String> {
    let mut told: HashMap<(usize, &str), Instant> = HashMap::new();
    for observation in observations.iter().filter(|observation| observation.is_leaving) {
        let Some(lifetime) = &observation.lifetime else { continue };
        let at = told.entry((observation.gateway, lifetime)).or_insert(observation.ended);
        *at = observation.ended.min(*at);
    }
    let late = observations.iter().filter(|observation| {
        let lifetime = observation.lifetime.as_deref().unwrap_or_default();
        let at = told.get(&(observation.gateway, lifetime));
        at.is_some_and(|&at| {
            let machine = &fleet.machines[observation.gateway];
            observation.sent > at && !machine.was_interrupted(at, observation.ended)
        })
    });
    late.map(|late| format!("{} reached {:?}, which was leaving", late.id, late.lifetime)).collect()
}

/// The routes of the configuration `generation`: two constant ones, and one that alternates.
fn routes(generation: u64) -> Vec<(&'static str, &'static str, &'static str)> {
    const NEW: [&str; 2] = ["/even/", "/odd/"];
    vec![
        ("/safe/", "safe", "s"),
        ("/once/", "unsafe", "s"),
        (NEW[generation as usize % 2], "safe", "s"),
    ]
}

/// Sends requests to random gateways over persistent connections until `is_over`.
fn run_caller(
    fleet: &Fleet,
    number: usize,
    mut random: Random,
    is_over: &AtomicBool,
) -> Vec<Observation> {
    let mut idle_connections: HashMap<usize, BufReader<TcpStream>> = HashMap::new();
    let mut observations = Vec::new();
    for count in 0.. {
        if is_over.load(Ordering::SeqCst) {
            break;
        }
        thread::sleep(random.span(1, 30));
        let gateway = random.below(GATEWAY_COUNT as u64) as usize;
        let address = SocketAddr::from((fleet.machines[gateway].address, fake::CALLERS_PORT));
        let connect = || TcpStream::connect(address).ok().map(BufReader::new);
        let Some(mut stream) = idle_connections.remove(&gateway).or_else(connect) else { continue };
        stream.get_ref().set_read_timeout(Some(Duration::from_secs(4))).unwrap();
        let id = format!("{number:04x}{count:012x}");
        let (method, path) = random.pick(&[("GET", "/safe/a"), ("POST", "/once/a")]);
        let bytes = request(method, path, &id, "body");
        let text = String::from_utf8(bytes).unwrap();
        let text = text.replace("Key=7", &format!("Key={}", random.below(20)));
        let sent = Instant::now();
        let reply = match stream.get_mut().write_all(text.as_bytes()) {
            Ok(()) => Message::read(&mut stream),
            Err(_) => None,
        };
        let status = reply.as_ref().map(Message::status);
        let body = format!("reply to {id}").into_bytes();
        let header = |name: &str| reply.as_ref()?.header(name).map(str::to_owned);
        let (lifetime, is_leaving) = (header("x-lifetime"), header("server-leaving").is_some());
        let is_valid = reply.as_ref().is_some_and(|reply| {
            reply.body == body && reply.header("x-server-signature").is_some()
        });
        if reply.is_some_and(|reply| reply.header("connection") != Some("close")) {
            idle_connections.insert(gateway, stream);
        }
        observations.push(Observation {
            id,
            gateway,
            sent,
            ended: Instant::now(),
            status,
            is_valid,
            lifetime,
            is_leaving,
        });
    }
    observations
}

/// The guarantees that the observations of callers and the runs of targets violate.
fn violations(fleet: &Fleet, observations: &[Observation]) -> Vec<String> {
    let mut runs: HashMap<String, usize> = HashMap::new();
    let mut is_once: HashMap<String, bool> = HashMap::new();
    for run in fleet.targets.iter().flat_map(|target| target.runs.lock().unwrap().clone()) {
        *runs.entry(run.id.clone()).or_default() += 1;
        is_once.insert(run.id, run.path.starts_with("/once/"));
    }
    let mut violations = Vec::new();
    for (id, count) in &runs {
        let limit = if is_once[id] { 1 } else { MAX_ATTEMPTS };
        if *count > limit {
            violations.push(format!("{id} ran {count} times"));
        }
    }
    for observation in observations {
        let has_run = runs.contains_key(&observation.id);
        let is_once = is_once.get(&observation.id).copied().unwrap_or_default();
        let was_disrupted =
            fleet.machines[observation.gateway].was_disrupted(observation.sent, observation.ended);
        match observation.status {
            Some(200) if !observation.is_valid => {
                violations.push(format!("{} got an invalid body or signature", observation.id))
            }
            Some(503 | 429 | 408 | 421) if has_run && is_once => {
                violations.push(format!("{} ran but was reported as not run", observation.id));
            }
            Some(200 | 500 | 502 | 503 | 504) => {}
            None if !has_run || was_disrupted => {}
            other => {
                let time = observation.ended - observation.sent;
                violations.push(format!(
                    "{} got status {other:?} from gateway {} after {time:?}",
                    observation.id, observation.gateway
                ));
            }
        }
    }
    violations
}

/// Checks that after the last fault every gateway applies a configuration and a drain in time.
fn check_recovery(fleet: &Fleet, generation: u64) -> Result<(), String> {
    for machine in &fleet.machines {
        machine.process.lock().unwrap().wait_ready();
    }
    thread::sleep(Duration::from_secs(4));
    fleet.store.put("config", "main", config(generation + 2, &routes(generation)));
    fleet.store.put(
        "servers",
        "t-0",
        fleet.targets[0].entry_with_address(fleet.proxies[0].address, "s", "draining"),
    );
    let (added, dropped) =
        if generation.is_multiple_of(2) { ("/even/", "/odd/") } else { ("/odd/", "/even/") };
    thread::sleep(CONFIG_APPLY_LIMIT);
    let before = fleet.targets[0].count();
    for machine in &fleet.machines {
        let address = SocketAddr::from((machine.address, fake::CALLERS_PORT));
        let status = |path: &str| {
            fake::send_request(address, &request("GET", path, "calm", "")).map_or(0, |r| r.status())
        };
        let statuses = (status(added), status(dropped));
        if statuses != (200, 404) {
            return Err(format!("{}: new and removed route return {statuses:?}", machine.name));
        }
    }
    thread::sleep(DRAIN_LIMIT.saturating_sub(CONFIG_APPLY_LIMIT));
    match fleet.targets[0].count() - before {
        0 => Ok(()),
        count => Err(format!("{count} requests were sent to a leaving target")),
    }
}

/// Runs one seed and returns the violations found.
fn run_seed(seed: u64) -> Vec<String> {
    let fleet = Fleet::new();
    for machine in &fleet.machines {
        machine.process.lock().unwrap().wait_ready();
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLER_COUNT)
        .map(|number| {
            let (fleet, is_over) = (fleet.clone(), is_over.clone());
            let random = Random(seed.wrapping_mul(1_000_003) + number as u64);
            thread::spawn(move || run_caller(&fleet, number, random, &is_over))
        })
        .collect();
    let (words_fleet, words_over) = (fleet.clone(), is_over.clone());
    let words = Random(seed.wrapping_mul(7_919) + 17);
    let words = thread::spawn(move || run_targets(&words_fleet, words, &words_over));
    let (restores_fleet, restores_over) = (fleet.clone(), is_over.clone());
    let restores = Random(seed.wrapping_mul(6_151) + 29);
    let restores = thread::spawn(move || run_restores(&restores_fleet, restores, &restores_over));
    let mut random = Random(seed);
    let mut fault_threads = Vec::new();
    let start = Instant::now();
    let mut generation = 0;
    while start.elapsed() < FAULT_DURATION {
        fault_threads.push(fleet.inject_fault(&mut random));
        if random.below(3) == 0 {
            generation += 1;
            fleet.generation.store(generation, Ordering::SeqCst);
            fleet.store.put("config", "main", config(generation + 2, &routes(generation)));
        }
        thread::sleep(random.span(50, 700));
    }
    let failed = fault_threads.into_iter().filter_map(|thread| thread.join().err()).count();
    is_over.store(true, Ordering::SeqCst);
    let observations: Vec<Observation> =
        callers.into_iter().flat_map(|caller| caller.join().unwrap()).collect();
    let mut violations = violations(&fleet, &observations);
    violations.extend(late_requests(&fleet, &observations));
    violations.extend(words.join().unwrap());
    restores.join().unwrap();
    if failed > 0 {
        violations.push(format!("{failed} faults could not be injected or undone"));
        return violations;
    }
    violations.extend(check_recovery(&fleet, generation + 1).err());
    let answered =
        observations.iter().filter(|observation| observation.status == Some(200)).count();
    println!(
        "seed {seed}: {} requests, {answered} answered, {} faults injected",
        observations.len(),
        fleet.fault_log.lock().unwrap().len()
    );
    if !violations.is_empty() {
        println!("injected faults: {:#?}", fleet.fault_log.lock().unwrap());
    }
    if answered * 4 < observations.len() {
        violations
            .push(format!("only {answered} of {} requests were answered", observations.len()));
    }
    violations
}

fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("EBONYPASS_SOAK_SEEDS") else { return DEFAULT_SEEDS.to_vec() };
    let (first, end) = text.split_once("..").expect("FIRST..END");
    (first.parse().expect("a number")..end.parse().expect("a number")).collect()
}

#[test]
fn guarantees_hold_under_faults() {
    let failures: Vec<(u64, Vec<String>)> =
        seeds().into_iter().map(|seed| (seed, run_seed(seed))).collect();
    let failures: Vec<_> =
        failures.into_iter().filter(|(_, violations)| !violations.is_empty()).collect();
    assert!(failures.is_empty(), "{failures:#?}");
}
