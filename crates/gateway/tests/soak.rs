//! A randomized soak: real gateway processes, callers that keep their connections, and faults from
//! outside: signals in series, links that are delayed, reset, cut one way or silenced, a store that
//! misbehaves and targets that fail. It guards the promises to callers and targets while that goes on.
//!
//! `EBONYPASS_SOAK_SEEDS=10..60` plays other seeds than the short run of CI.

mod fake;
#[path = "soak/proxy.rs"]
mod proxy;

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use fake::{Answer, Gateway, Message, Mood, Store, Target, config, eventually, request};
use proxy::{Mode, Proxy};

/// Seeds of the short run. Seeds that ever failed are added with a line on the cause.
const SEEDS: &[u64] = &[1, 2];
const GATEWAYS: usize = 4;
const TARGETS: usize = 5;
const CALLERS: usize = 8;
/// Time during which faults strike.
const LENGTH: Duration = Duration::from_secs(10);
/// The bounds on a configuration and on a leaving target of the base deployments (`configApplyMs`,
/// `drainMs`), after the time that machines take to find each other after the last fault.
const APPLY_BOUND: Duration = Duration::from_millis(2_500);
const DRAIN_BOUND: Duration = Duration::from_millis(2_500);
/// Targets to which a request of the routes may be sent.
const ATTEMPTS: usize = 2;

/// Uniform numbers from a seed.
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

/// What a caller saw of one request.
#[derive(Debug)]
struct Sight {
    id: String,
    gateway: usize,
    sent: Instant,
    ended: Instant,
    /// The status; none if the connection ended without a reply.
    status: Option<u16>,
    is_whole: bool,
}

/// A gateway that is ended and started again at the same address.
struct Post {
    address: Ipv4Addr,
    name: String,
    process: Mutex<Gateway>,
    /// Held while the process ends and starts again.
    restart: Mutex<()>,
    /// From when to when a process was killed or paused.
    strikes: Mutex<Vec<(Instant, Instant)>>,
}

impl Post {
    /// Sends a signal to the process if it still runs.
    fn signal(&self, name: &str) {
        let mut process = self.process.lock().unwrap();
        if !process.has_ended() {
            process.signal(name);
        }
    }

    /// Whether the process was killed or paused between two moments.
    fn was_struck(&self, from: Instant, to: Instant) -> bool {
        let strikes = self.strikes.lock().unwrap();
        strikes.iter().any(|&(start, end)| start <= to && end >= from)
    }
}

struct World {
    store: Store,
    store_proxy: Proxy,
    targets: Vec<Target>,
    proxies: Vec<Proxy>,
    posts: Vec<Post>,
    seeds: Vec<SocketAddr>,
    faults: Mutex<Vec<String>>,
}

impl World {
    fn new() -> Arc<World> {
        let store = Store::new();
        let store_proxy = Proxy::new(store.address);
        store.put("config", "main", config(2, &routes(0)));
        let targets: Vec<Target> = (0..TARGETS)
            .map(|index| Target::new(&format!("t-{index}"), Answer::Sound(Duration::ZERO)))
            .collect();
        let proxies: Vec<Proxy> = targets.iter().map(|target| Proxy::new(target.address)).collect();
        for (target, proxy) in targets.iter().zip(&proxies) {
            store.put("servers", &target.id, target.entry_at(proxy.address, "s", "ready"));
        }
        let addresses: Vec<Ipv4Addr> = (0..GATEWAYS).map(|_| fake::own_address()).collect();
        let seeds = vec![SocketAddr::from((addresses[0], 1)), SocketAddr::from((addresses[1], 1))];
        let reached = store.at(store_proxy.address);
        let posts = addresses.into_iter().enumerate().map(|(index, address)| {
            let name = format!("vm-{index}");
            let process = Mutex::new(Gateway::start_at(address, &reached, &name, &seeds, false));
            Post { address, name, process, restart: Mutex::default(), strikes: Mutex::default() }
        });
        let posts = posts.collect();
        let faults = Mutex::default();
        Arc::new(World { store, store_proxy, targets, proxies, posts, seeds, faults })
    }

    fn start_again(&self, post: &Post) {
        let store = self.store.at(self.store_proxy.address);
        let mut process = post.process.lock().unwrap();
        *process = Gateway::start_at(post.address, &store, &post.name, &self.seeds, false);
    }

    /// Does one harm and undoes it later, in a thread of its own, so that harms overlap.
    fn harm(self: &Arc<Self>, random: &mut Random) -> thread::JoinHandle<()> {
        let (world, mut random) = (self.clone(), Random(random.below(1 << 40)));
        thread::spawn(move || {
            let index = random.below(GATEWAYS as u64) as usize;
            let target = random.below(TARGETS as u64) as usize;
            let time = random.span(200, 2_000);
            let kind = random.below(8);
            let line = format!("kind {kind}, gateway {index}, target {target}, for {time:?}");
            world.faults.lock().unwrap().push(line);
            let post = &world.posts[index];
            match kind {
                0 => {
                    let start = Instant::now();
                    post.signal("-STOP");
                    thread::sleep(time);
                    post.signal("-CONT");
                    post.strikes.lock().unwrap().push((start, Instant::now()));
                }
                1 | 2 => {
                    // One restart of a post at a time: a second one would kill the new process.
                    let Ok(_restart) = post.restart.try_lock() else { return };
                    let start = Instant::now();
                    post.signal(if kind == 1 { "-KILL" } else { "-TERM" });
                    eventually("the gateway ends", || post.process.lock().unwrap().has_ended());
                    if kind == 1 {
                        post.strikes.lock().unwrap().push((start, Instant::now()));
                    }
                    thread::sleep(time);
                    world.start_again(post);
                }
                3 | 4 => {
                    let delay = random.span(5, 150);
                    let modes = [
                        Mode::Delayed(delay),
                        Mode::Reset,
                        Mode::CutForth,
                        Mode::CutBack,
                        Mode::Silent,
                    ];
                    let proxy = if kind == 3 { &world.proxies[target] } else { &world.store_proxy };
                    proxy.set(random.pick(&modes));
                    thread::sleep(time);
                    proxy.set(Mode::Open);
                }
                5 => {
                    world.store.set_mood(random.pick(&[
                        Mood::Refuses(429),
                        Mood::Refuses(503),
                        Mood::Silent,
                    ]));
                    thread::sleep(time);
                    world.store.set_mood(Mood::Sound);
                }
                6 => world.store.compact(),
                _ => {
                    world.targets[target].set_answer(random.pick(&[
                        Answer::Sheds,
                        Answer::Misplaced,
                        Answer::Fails,
                        Answer::Truncates,
                        Answer::Garbles,
                        Answer::Foreign,
                        Answer::Unsigned,
                        Answer::Closes,
                        Answer::Extra,
                        Answer::Forgets,
                        Answer::Sound(Duration::from_millis(400)),
                    ]));
                    thread::sleep(time);
                    world.targets[target].set_answer(Answer::Sound(Duration::ZERO));
                }
            }
        })
    }
}

/// The routes of configuration `turn`: two that stay, and one that is new in each.
fn routes(turn: u64) -> Vec<(&'static str, &'static str, &'static str)> {
    const NEW: [&str; 2] = ["/even/", "/odd/"];
    vec![("/safe/", "safe", "s"), ("/once/", "unsafe", "s"), (NEW[turn as usize % 2], "safe", "s")]
}

/// Sends requests to random gateways over connections that it keeps for as long as they hold.
fn call(world: &World, number: usize, mut random: Random, is_over: &AtomicBool) -> Vec<Sight> {
    let mut kept: HashMap<usize, BufReader<TcpStream>> = HashMap::new();
    let mut sights = Vec::new();
    for count in 0.. {
        if is_over.load(Ordering::SeqCst) {
            break;
        }
        thread::sleep(random.span(1, 30));
        let gateway = random.below(GATEWAYS as u64) as usize;
        let address = SocketAddr::from((world.posts[gateway].address, fake::CALLERS_PORT));
        let connect = || TcpStream::connect(address).ok().map(BufReader::new);
        let Some(mut stream) = kept.remove(&gateway).or_else(connect) else { continue };
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
        let is_whole = reply.as_ref().is_some_and(|reply| {
            reply.body == body && reply.header("x-server-signature").is_some()
        });
        if reply.is_some_and(|reply| reply.header("connection") != Some("close")) {
            kept.insert(gateway, stream);
        }
        sights.push(Sight { id, gateway, sent, ended: Instant::now(), status, is_whole });
    }
    sights
}

/// What is wrong with what callers and targets saw.
fn faults(world: &World, sights: &[Sight]) -> Vec<String> {
    let mut runs: HashMap<String, usize> = HashMap::new();
    let mut is_once: HashMap<String, bool> = HashMap::new();
    for run in world.targets.iter().flat_map(|target| target.runs.lock().unwrap().clone()) {
        *runs.entry(run.id.clone()).or_default() += 1;
        is_once.insert(run.id, run.path.starts_with("/once/"));
    }
    let mut faults = Vec::new();
    for (id, count) in &runs {
        let limit = if is_once[id] { 1 } else { ATTEMPTS };
        if *count > limit {
            faults.push(format!("{id} ran {count} times"));
        }
    }
    for sight in sights {
        let has_run = runs.contains_key(&sight.id);
        let is_once = is_once.get(&sight.id).copied().unwrap_or_default();
        let was_struck = world.posts[sight.gateway].was_struck(sight.sent, sight.ended);
        match sight.status {
            Some(200) if !sight.is_whole => faults.push(format!("{} is not whole", sight.id)),
            Some(503 | 429 | 408 | 421) if has_run && is_once => {
                faults.push(format!("{} ran and was refused", sight.id));
            }
            Some(200 | 500 | 502 | 503 | 504) => {}
            None if !has_run || was_struck => {}
            other => {
                let time = sight.ended - sight.sent;
                faults.push(format!(
                    "{} got {other:?} of {} after {time:?}",
                    sight.id, sight.gateway
                ));
            }
        }
    }
    faults
}

/// After the last fault, a new configuration and a leaving target are known everywhere in time.
fn check_calm(world: &World, turn: u64) -> Result<(), String> {
    for post in &world.posts {
        post.process.lock().unwrap().wait_ready();
    }
    thread::sleep(Duration::from_secs(4));
    world.store.put("config", "main", config(turn + 2, &routes(turn)));
    world.store.put(
        "servers",
        "t-0",
        world.targets[0].entry_at(world.proxies[0].address, "s", "draining"),
    );
    let (added, dropped) =
        if turn.is_multiple_of(2) { ("/even/", "/odd/") } else { ("/odd/", "/even/") };
    thread::sleep(APPLY_BOUND);
    let before = world.targets[0].count();
    for post in &world.posts {
        let address = SocketAddr::from((post.address, fake::CALLERS_PORT));
        let status = |path: &str| {
            fake::exchange(address, &request("GET", path, "calm", "")).map_or(0, |r| r.status())
        };
        let found = (status(added), status(dropped));
        if found != (200, 404) {
            return Err(format!("{} has routes {found:?}", post.name));
        }
    }
    thread::sleep(DRAIN_BOUND.saturating_sub(APPLY_BOUND));
    match world.targets[0].count() - before {
        0 => Ok(()),
        count => Err(format!("{count} requests came to a target that leaves")),
    }
}

/// Plays one seed. Returns what was broken.
fn play(seed: u64) -> Vec<String> {
    let world = World::new();
    for post in &world.posts {
        post.process.lock().unwrap().wait_ready();
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let (world, is_over) = (world.clone(), is_over.clone());
            let random = Random(seed.wrapping_mul(1_000_003) + number as u64);
            thread::spawn(move || call(&world, number, random, &is_over))
        })
        .collect();
    let mut random = Random(seed);
    let mut harms = Vec::new();
    let start = Instant::now();
    let mut turn = 0;
    while start.elapsed() < LENGTH {
        harms.push(world.harm(&mut random));
        if random.below(3) == 0 {
            turn += 1;
            world.store.put("config", "main", config(turn + 2, &routes(turn)));
        }
        thread::sleep(random.span(50, 700));
    }
    let failed = harms.into_iter().filter_map(|harm| harm.join().err()).count();
    is_over.store(true, Ordering::SeqCst);
    let sights: Vec<Sight> =
        callers.into_iter().flat_map(|caller| caller.join().unwrap()).collect();
    let mut found = faults(&world, &sights);
    if failed > 0 {
        found.push(format!("{failed} harms could not be undone"));
        return found;
    }
    found.extend(check_calm(&world, turn + 1).err());
    let answered = sights.iter().filter(|sight| sight.status == Some(200)).count();
    println!(
        "seed {seed}: {} requests, {answered} answered, {} harms",
        sights.len(),
        world.faults.lock().unwrap().len()
    );
    if !found.is_empty() {
        println!("harms: {:#?}", world.faults.lock().unwrap());
    }
    if answered * 4 < sights.len() {
        found.push(format!("{answered} of {} requests were answered", sights.len()));
    }
    found
}

fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("EBONYPASS_SOAK_SEEDS") else { return SEEDS.to_vec() };
    let (first, end) = text.split_once("..").expect("FIRST..END");
    (first.parse().expect("a number")..end.parse().expect("a number")).collect()
}

#[test]
fn promises_hold_under_faults() {
    let broken: Vec<(u64, Vec<String>)> =
        seeds().into_iter().map(|seed| (seed, play(seed))).collect();
    let broken: Vec<_> = broken.into_iter().filter(|(_, found)| !found.is_empty()).collect();
    assert!(broken.is_empty(), "{broken:#?}");
}
