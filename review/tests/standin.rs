//! Stand-ins of the platform (store, process supervisor), of servers and of clients, for the
//! scripts under `review/`. They use the standard library only, and speak HTTP/1.1 on loopback.
//!
//! Usage: `standin CASE FOLDER TEMPORARY`. `FOLDER` gets `record.txt`; `TEMPORARY` gets settings,
//! logs and the ids of the gateways. Exits with 1 if the rule was broken, with 0 if it held and with
//! 2 if the case could not run.

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio, exit};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

mod memory;
mod registry;

// ---------------------------------------------------------------------------------------------
// Record

static START: OnceLock<Instant> = OnceLock::new();
static RECORD: OnceLock<Mutex<File>> = OnceLock::new();

/// Seconds since the start of the case.
pub fn now() -> f64 {
    START.get().unwrap().elapsed().as_secs_f64()
}

/// Writes a line with the time to `record.txt`.
pub fn record(text: &str) {
    let line = format!("{:8.3} {text}\n", now());
    let _ = RECORD.get().unwrap().lock().unwrap().write_all(line.as_bytes());
}

/// Ends the case, because it could not run.
pub fn cannot_run(why: &str) -> ! {
    record(&format!("cannot run: {why}"));
    eprintln!("cannot run: {why}");
    stop_gateways();
    exit(2)
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Sleeps until `at` seconds after the start of the case.
pub fn sleep_until(at: f64) {
    let left = at - now();
    if left > 0.0 {
        thread::sleep(Duration::from_secs_f64(left));
    }
}

/// Whether the disruption is played; `TROUBLE=0` turns it off.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// ---------------------------------------------------------------------------------------------
// HTTP

#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    /// Reads a message with a length. None if the connection ends first.
    pub fn read(stream: &mut BufReader<TcpStream>) -> Option<Message> {
        let mut message = Message::default();
        let mut line = String::new();
        loop {
            line.clear();
            if stream.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let text = line.trim_end();
            if text.is_empty() {
                break;
            } else if message.first.is_empty() {
                message.first = text.to_owned();
            } else if let Some((name, value)) = text.split_once(':') {
                message.headers.push((name.to_owned(), value.trim().to_owned()));
            }
        }
        let length = message.header("content-length").and_then(|text| text.parse().ok());
        message.body = vec![0; length.unwrap_or(0)];
        stream.read_exact(&mut message.body).ok()?;
        Some(message)
    }
}

fn reply(status: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}").into_bytes()
}

// ---------------------------------------------------------------------------------------------
// The platform's store

#[derive(Debug, Clone, PartialEq)]
struct Object {
    spec: String,
    status: String,
    revision: u64,
}

impl Object {
    fn json(&self, name: &str) -> String {
        format!(
            "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{0},\"createdRev\":1,\"finalizers\":[],\"deleting\":false}},\"spec\":{1},\"status\":{2}}}",
            self.revision, self.spec, self.status
        )
    }
}

#[derive(Default)]
struct Objects {
    objects: BTreeMap<(String, String), Object>,
    /// Changes: revision, kind, object, deleted.
    events: Vec<(u64, String, String, bool)>,
    /// The history up to this revision is discarded.
    compacted: u64,
    revision: u64,
}

/// The platform's store: lists, watches and creation of objects.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<Objects>, Condvar)>,
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("bind the store");
        let address = listener.local_addr().unwrap();
        let objects = Objects { revision: 500, ..Objects::default() };
        let store = Store { address, state: Arc::new((Mutex::new(objects), Condvar::new())) };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                thread::spawn(move || served.serve(stream));
            }
        });
        store
    }

    /// Discards the history up to the current revision but for the last `count` changes.
    pub fn compact(&self, count: usize) {
        let mut state = self.state.0.lock().unwrap();
        let surplus = state.events.len().saturating_sub(count);
        let last = state.events.drain(..surplus).next_back().map(|(revision, ..)| revision);
        state.compacted = last.unwrap_or(state.compacted);
    }

    /// Creates or replaces an object. A write that changes nothing makes no event.
    pub fn put(&self, kind: &str, name: &str, spec: &str, status: &str) {
        let mut state = self.state.0.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        let known = state.objects.get(&key);
        if known.is_some_and(|known| known.spec == spec && known.status == status) {
            return;
        }
        state.revision += 1;
        let revision = state.revision;
        let object = Object { spec: spec.to_owned(), status: status.to_owned(), revision };
        let json = object.json(name);
        state.objects.insert(key, object);
        state.events.push((revision, kind.to_owned(), json, false));
        self.state.1.notify_all();
    }

    /// Replaces the status of an object, if there is one.
    pub fn put_status(&self, kind: &str, name: &str, status: &str) {
        if let Some((spec, _)) = self.get(kind, name) {
            self.put(kind, name, &spec, status);
        }
    }

    /// The spec and the status of an object.
    pub fn get(&self, kind: &str, name: &str) -> Option<(String, String)> {
        let state = self.state.0.lock().unwrap();
        let known = state.objects.get(&(kind.to_owned(), name.to_owned()))?;
        Some((known.spec.clone(), known.status.clone()))
    }

    pub fn delete(&self, kind: &str, name: &str) {
        let mut state = self.state.0.lock().unwrap();
        let Some(object) = state.objects.remove(&(kind.to_owned(), name.to_owned())) else { return };
        state.revision += 1;
        let revision = state.revision;
        state.events.push((revision, kind.to_owned(), object.json(name), true));
        self.state.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut writer = stream;
        while let Some(call) = Message::read(&mut reader) {
            let bytes = self.answer(&call);
            if writer.write_all(&bytes).is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &Message) -> Vec<u8> {
        let (path, query) = call.path().split_once('?').unwrap_or((call.path(), ""));
        let field = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
        };
        let Some(rest) = path.strip_prefix("/ebonypass/objects/") else {
            return reply("404 Not Found", "", "{}");
        };
        let kind = rest.split('/').next().unwrap_or(rest);
        if call.first.starts_with("POST") {
            let body = String::from_utf8_lossy(&call.body).into_owned();
            let name = body.split("\"name\":\"").nth(1).and_then(|rest| rest.split('"').next());
            let Some(name) = name else { return reply("400 Bad Request", "", "{}") };
            let key = (kind.to_owned(), name.to_owned());
            if self.state.0.lock().unwrap().objects.contains_key(&key) {
                return reply("409 Conflict", "", "{}");
            }
            let spec = body.split("\"spec\":").nth(1).and_then(|rest| rest.split('}').next());
            self.put(kind, name, &format!("{}}}", spec.unwrap_or("{")), "null");
            return reply("200 OK", "Content-Type: application/json\r\n", "{}");
        }
        let body = match field("watch").and_then(|text| text.parse().ok()) {
            Some(from) => {
                let wait = field("waitMs").and_then(|text| text.parse().ok()).unwrap_or(0);
                if from < self.state.0.lock().unwrap().compacted {
                    return reply("410 Gone", "", "{}");
                }
                self.watch(kind, from, Duration::from_millis(wait))
            }
            None => self.list(kind, &field("after").unwrap_or_default()),
        };
        reply("200 OK", "Content-Type: application/json\r\n", &body)
    }

    fn list(&self, kind: &str, after: &str) -> String {
        let state = self.state.0.lock().unwrap();
        let objects = state.objects.iter();
        let objects = objects.filter(|((other, name), _)| other == kind && name.as_str() > after);
        let items: Vec<String> = objects.map(|((_, name), object)| object.json(name)).collect();
        let (items, revision) = (items.join(","), state.revision);
        format!("{{\"items\":[{items}],\"hasMore\":false,\"currentRev\":{revision}}}")
    }

    fn watch(&self, kind: &str, from: u64, wait: Duration) -> String {
        let end = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        loop {
            let events = state.events.iter().filter(|(at, other, ..)| *at > from && other == kind);
            let event = |(_, _, object, deleted): &(u64, String, String, bool)| {
                format!("{{\"object\":{object},\"deleted\":{deleted}}}")
            };
            let events: Vec<String> = events.map(event).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return format!("{{\"events\":[{events}],\"currentRev\":{revision}}}");
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

// ---------------------------------------------------------------------------------------------
// Servers

/// Interval of a server's check-ins (`heartbeatMs`).
pub const CHECK_IN_MS: u64 = 1_500;
/// Requests that may wait at a server.
const QUEUE: u32 = 9;
/// Requests that a server runs at once.
pub const SLOTS: u32 = 3;

#[derive(Default)]
struct Load {
    running: u32,
    waiting: u32,
}

/// A request that a server was handed.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at: f64,
    pub request: String,
    pub path: String,
    pub has_run: bool,
}

/// A server of a service. It registers and checks in as the pages say.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    work: Duration,
    load: Arc<(Mutex<Load>, Condvar)>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    has_ended: Arc<AtomicBool>,
    is_draining: Arc<AtomicBool>,
    sequence: Arc<AtomicU64>,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
}

impl Server {
    /// Starts a server, registers it, and checks in until it ends.
    pub fn start(store: &Store, id: &str, service: &str, zone: &str, work_ms: u64) -> Server {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("bind a server");
        let server = Server {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().unwrap(),
            zone: zone.to_owned(),
            work: Duration::from_millis(work_ms),
            load: Arc::default(),
            connections: Arc::default(),
            has_ended: Arc::default(),
            is_draining: Arc::default(),
            sequence: Arc::default(),
            arrivals: Arc::default(),
        };
        let served = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if served.has_ended.load(Ordering::SeqCst) {
                    return;
                }
                let _ = stream.set_nodelay(true);
                served.connections.lock().unwrap().push(stream.try_clone().unwrap());
                let served = served.clone();
                thread::spawn(move || served.serve(stream));
            }
        });
        store.put("servers", id, &server.spec(), &server.next_status());
        let (checked, store) = (server.clone(), store.clone());
        thread::spawn(move || {
            loop {
                sleep_ms(CHECK_IN_MS);
                if checked.has_ended.load(Ordering::SeqCst) {
                    return;
                }
                checked.check_in(&store);
            }
        });
        server
    }

    /// What the server says of itself at its registration.
    pub fn spec(&self) -> String {
        let (address, service, zone) = (self.address, &self.service, &self.zone);
        let born = BORN.get_or_init(|| {
            SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
        });
        format!(
            "{{\"address\":\"{address}\",\"born\":{born},\"info\":{{\"service\":\"{service}\",\"version\":\"v1\",\"zone\":\"{zone}\",\"slots\":{SLOTS}}}}}"
        )
    }

    /// The status of the next check-in.
    pub fn next_status(&self) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let state = if self.is_draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        format!("{{\"state\":\"{state}\",\"sequence\":{sequence},\"coldRemainingMs\":0}}")
    }

    /// Writes a check-in. The entry changes only when more than `sequence` changes.
    pub fn check_in(&self, store: &Store) {
        let (spec, status) = (self.spec(), self.next_status());
        let state = |status: &str| status.split(',').next().map(str::to_owned);
        let Some((known_spec, known_status)) = store.get("servers", &self.id) else { return };
        if known_spec != spec || state(&known_status) != state(&status) {
            store.put("servers", &self.id, &spec, &status);
            record(&format!("server {} checks in, the entry changes: {status}", self.id));
        }
    }

    /// Reports that the server is draining. Returns when the store has acknowledged it.
    pub fn drain(&self, store: &Store) -> f64 {
        self.is_draining.store(true, Ordering::SeqCst);
        self.check_in(store);
        now()
    }

    /// Ends the process: its sockets close and its entry is removed.
    pub fn end(&self, store: &Store) {
        self.has_ended.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        store.delete("servers", &self.id);
        record(&format!("server {} has ended", self.id));
    }

    fn serve(&self, stream: TcpStream) {
        // Idle connections are closed after the time that the replies state.
        let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut writer = stream;
        while let Some(request) = Message::read(&mut reader) {
            if self.has_ended.load(Ordering::SeqCst) {
                return;
            }
            let bytes = self.answer(&request);
            if self.has_ended.load(Ordering::SeqCst) || writer.write_all(&bytes).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let id = request.header("x-request-id").unwrap_or_default().to_owned();
        let echo = format!("X-Request-Id: {id}\r\n");
        if request.header("x-target-instance").is_some_and(|target| target != self.id) {
            let headers = format!("{echo}X-Instance-Id: {}\r\n", self.id);
            return reply("421 Misdirected Request", &headers, "");
        }
        let has_slot = self.take_slot();
        let path = request.path().to_owned();
        let arrival = Arrival { at: now(), request: id.clone(), path, has_run: has_slot };
        self.arrivals.lock().unwrap().push(arrival);
        if !has_slot {
            let headers = format!("{echo}X-Not-Executed: 1\r\n");
            return reply("503 Service Unavailable", &headers, "");
        }
        record(&format!("server {} of {} runs {id} {}", self.id, self.service, request.first));
        thread::sleep(self.work);
        let load = self.free_slot();
        let headers = format!(
            "{echo}X-Server-Signature: 1.{}.{id}\r\nX-Server-Load: {load}\r\nKeep-Alive: timeout=10\r\n",
            self.id
        );
        reply("200 OK", &headers, &format!("{} answers {id}", self.service))
    }

    /// Waits for a slot. Returns false if too many requests wait already.
    fn take_slot(&self) -> bool {
        let mut load = self.load.0.lock().unwrap();
        if load.running >= SLOTS {
            if load.waiting >= QUEUE {
                return false;
            }
            load.waiting += 1;
            while load.running >= SLOTS {
                load = self.load.1.wait(load).unwrap();
            }
            load.waiting -= 1;
        }
        load.running += 1;
        true
    }

    /// Frees a slot. Returns the load for the reply's header.
    fn free_slot(&self) -> String {
        let mut load = self.load.0.lock().unwrap();
        load.running -= 1;
        self.load.1.notify_all();
        format!("{},{},{SLOTS}", load.running, load.waiting)
    }
}

/// Start of the servers' lifetimes in Unix milliseconds.
static BORN: OnceLock<u64> = OnceLock::new();

// ---------------------------------------------------------------------------------------------
// Configuration

/// A route: host, path prefix, type, timeout in ms, objective in ms, service.
pub struct Route(pub &'static str, pub &'static str, pub &'static str, pub u64, pub u64, pub &'static str);

/// The operator's configuration with the routes given and the limits of the pages' example.
pub fn put_config(store: &Store, version: u64, routes: &[Route]) {
    put_large_config(store, version, routes, 0);
}

/// The same with `count` more routes to the service of the first one.
pub fn put_large_config(store: &Store, version: u64, routes: &[Route], count: usize) {
    let service = routes[0].5;
    let more = (0..count).map(|index| {
        format!("[\"r-x{index:06}\",\"x{:02}.example\",\"/x{index:06}/\",\"safe\",1200,{},2,\"{service}\",2,true,[],null]", index % 50, 400 + version % 10)
    });
    let rows: Vec<String> = routes
        .iter()
        .enumerate()
        .map(|(index, Route(host, prefix, kind, timeout, objective, service))| {
            format!("[\"r-{index}\",\"{host}\",\"{prefix}\",\"{kind}\",{timeout},{objective},1,\"{service}\",2,true,[],null]")
        })
        .chain(more)
        .collect();
    let mut services: Vec<&str> = routes.iter().map(|route| route.5).collect();
    services.sort_unstable();
    services.dedup();
    let services: Vec<String> = services
        .iter()
        .map(|name| format!("[\"{name}\",\"/health\",390,\"h1\",false,3.0,2.7]"))
        .collect();
    let spec = format!(
        "{{\"version\":\"r{version}\",\"routes\":{{\"columns\":[\"name\",\"host\",\"pathPrefix\",\"routeType\",\"timeoutMs\",\"targetLatencyMs\",\"priority\",\"service\",\"maxAttempts\",\"sessionAffinity\",\"allowedRegions\",\"weightedBackends\"],\"rows\":[{}]}},\"services\":{{\"columns\":[\"name\",\"healthCheckPath\",\"maxConnections\",\"protocol\",\"tls\",\"coldStartS\",\"coldPerS\"],\"rows\":[{}]}},\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":{MAX_BODY_BYTES},\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        rows.join(","),
        services.join(",")
    );
    store.put("config", "main", &spec, "null");
}

/// `maxBodyBytes` of the configuration that `fleetbench wire` prints for the site.
pub const MAX_BODY_BYTES: usize = 67_108_864;

// ---------------------------------------------------------------------------------------------
// Gateways, and the platform's supervision of them

/// Limits of a class of machines, and the bounds of its site that the settings need.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    pub memory_mb: u64,
    pub cpu_share: f64,
    pub link_mbps: f64,
    pub budget_slack: u64,
    pub cold_slack: u64,
}

/// The machines of `windelrunde-ebp`.
pub const SMALL_SITE: Size =
    Size { memory_mb: 260, cpu_share: 0.2, link_mbps: 1_000.0, budget_slack: 62, cold_slack: 5 };
/// The weaker machines, 60 of 72, of `windelrunde-ebp-grown`.
pub const GROWN_SITE: Size =
    Size { memory_mb: 160, cpu_share: 0.1, link_mbps: 10.0, budget_slack: 184, cold_slack: 8 };

/// Folder for settings, logs and the ids of the gateways.
static TEMPORARY: OnceLock<PathBuf> = OnceLock::new();
/// The processes that this case has started.
static GATEWAYS: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Kills and reaps all gateways.
pub fn stop_gateways() {
    for mut child in GATEWAYS.lock().unwrap().drain(..) {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// A machine with one gateway process.
#[derive(Clone)]
pub struct Machine {
    pub name: String,
    pub address: Ipv4Addr,
    zone: String,
    ports: [u16; 5],
    seed: SocketAddr,
    store: SocketAddr,
    folder: PathBuf,
    pub size: Size,
    pub pid: Arc<Mutex<u32>>,
}

fn free_ports(address: Ipv4Addr) -> [u16; 5] {
    let listeners: Vec<TcpListener> =
        (0..5).map(|_| TcpListener::bind((address, 0)).expect("bind a free port")).collect();
    let mut ports = [0; 5];
    for (port, listener) in ports.iter_mut().zip(&listeners) {
        *port = listener.local_addr().unwrap().port();
    }
    ports
}

/// Starts one gateway in each of `zones`, as at the first start of the whole system.
pub fn start_machines(store: &Store, zones: &[&str], size: Size) -> Vec<Machine> {
    let process = std::process::id();
    let address = |index: usize| {
        Ipv4Addr::new(127, 20 + (process % 200) as u8, (process / 200 % 250) as u8, 10 + index as u8)
    };
    let ports = free_ports(address(0));
    let folder = TEMPORARY.get().unwrap().clone();
    let machine = |(index, zone): (usize, &&str)| Machine {
        name: format!("edge-{zone}-{}", index + 1),
        address: address(index),
        zone: (*zone).to_owned(),
        ports,
        seed: SocketAddr::from((address(0), ports[4])),
        store: store.address,
        folder: folder.clone(),
        size,
        pid: Arc::default(),
    };
    let machines: Vec<Machine> = zones.iter().enumerate().map(machine).collect();
    for machine in &machines {
        machine.start_process(true);
    }
    for machine in &machines {
        let end = Instant::now() + Duration::from_secs(15);
        while !machine.is_ready() {
            if Instant::now() > end {
                cannot_run("a gateway does not become ready");
            }
            sleep_ms(50);
        }
    }
    machines
}

impl Machine {
    /// The address for clients.
    pub fn front(&self) -> SocketAddr {
        SocketAddr::from((self.address, self.ports[0]))
    }

    /// Renders the deploy file's template, and starts the command of the deploy file with it.
    pub fn start_process(&self, is_first_start: bool) {
        let template = std::fs::read_to_string("deploy/gateway.toml.template").expect("template");
        let regions = [
            ("zrh-a", "zurich"), ("gva-a", "geneva"), ("lug-a", "lugano"),
            ("zrh-b", "zurich"), ("gva-b", "geneva"), ("lug-b", "lugano"),
        ];
        let region = regions.iter().find(|(zone, _)| *zone == self.zone).unwrap().1;
        let section: String =
            regions.iter().map(|(zone, region)| format!("\"{zone}\" = \"{region}\"\n")).collect();
        let (before, rest) = template.split_once("{{#zones}}").expect("a section of zones");
        let (_, after) = rest.split_once("{{/zones}}").expect("the end of the section");
        let mut text = format!("{before}{section}{after}");
        let at = |index: usize| SocketAddr::from((self.address, self.ports[index]));
        let values = [
            ("nodeId|json", format!("\"{}\"", self.name)),
            ("ip|json", format!("\"{}\"", self.address)),
            ("zone|json", format!("\"{}\"", self.zone)),
            ("region|json", format!("\"{region}\"")),
            ("seeds|json", format!("[\"{}\"]", self.seed)),
            ("bootstrap|json", is_first_start.to_string()),
            ("listen.front|json", format!("\"{}\"", at(0))),
            ("listen.readiness|json", format!("\"{}\"", at(1))),
            ("listen.directory|json", format!("\"{}\"", at(2))),
            ("internalPorts.0", self.ports[3].to_string()),
            ("internalPorts.1", self.ports[4].to_string()),
            ("provider.address|json", format!("\"{}\"", self.store)),
            ("limits.memoryMb", self.size.memory_mb.to_string()),
            ("limits.maxFds", "4100".to_owned()),
            ("limits.cpuShare", self.size.cpu_share.to_string()),
            ("limits.linkMbps", format!("{:.1}", self.size.link_mbps)),
            ("bounds.graceS", "6".to_owned()),
            ("bounds.ttl_max_s", "5".to_owned()),
            ("bounds.retryBudgetRatio", "0.2".to_owned()),
            ("bounds.budgetSlack", self.size.budget_slack.to_string()),
            ("bounds.budgetWindowS", "10".to_owned()),
            ("bounds.coldOver", "1.5".to_owned()),
            ("bounds.coldSlack", self.size.cold_slack.to_string()),
        ];
        for (name, value) in values {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        if text.contains("{{") {
            cannot_run("the template has placeholders that the stand-in does not know");
        }
        let path = self.folder.join(format!("{}.toml", self.name));
        std::fs::write(&path, text).expect("write the settings");
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", self.name)))
            .expect("open the log");
        let child = Command::new("target/release/ebonypass-gateway")
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("EBONYPASS_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log))
            .stderr(Stdio::null())
            .spawn();
        let Ok(child) = child else { cannot_run("the gateway does not start") };
        *self.pid.lock().unwrap() = child.id();
        record(&format!("machine {}: process {} starts", self.name, child.id()));
        let ids = File::options().append(true).open(self.folder.join("pids"));
        if let Ok(mut ids) = ids {
            let _ = writeln!(ids, "{}", child.id());
        }
        GATEWAYS.lock().unwrap().push(child);
    }

    /// Whether the platform's readiness check gets a 200.
    pub fn is_ready(&self) -> bool {
        let address = SocketAddr::from((self.address, self.ports[1]));
        get(address, "/ebonypass/ready").is_some_and(|reply| reply.status() == 200)
    }

    /// The addresses that the directory gives.
    pub fn resolve(&self) -> Vec<SocketAddr> {
        let address = SocketAddr::from((self.address, self.ports[2]));
        let path = "/ebonypass/resolve?name=hulo84.example&region=zurich&zone=zrh-a";
        let Some(reply) = get(address, path) else { return Vec::new() };
        let body = String::from_utf8_lossy(&reply.body).into_owned();
        body.split('"').filter_map(|part| part.parse().ok()).collect()
    }

    /// Memory of the process in MB, without the pages of its files.
    pub fn memory_mb(&self) -> Option<f64> {
        let pid = *self.pid.lock().unwrap();
        let text = std::fs::read_to_string(Path::new("/proc").join(pid.to_string()).join("status"));
        let text = text.ok()?;
        let line = text.lines().find(|line| line.starts_with("RssAnon:"))?;
        let kb: f64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kb / 1024.0)
    }

    /// Kills the process.
    pub fn kill_process(&self) {
        let pid = *self.pid.lock().unwrap();
        let mut children = GATEWAYS.lock().unwrap();
        if let Some(child) = children.iter_mut().find(|child| child.id() == pid) {
            let _ = child.kill();
            let _ = child.wait();
        }
        children.retain(|child| child.id() != pid);
    }

    /// Whether the process has ended.
    pub fn has_ended(&self) -> bool {
        let pid = *self.pid.lock().unwrap();
        let mut children = GATEWAYS.lock().unwrap();
        let child = children.iter_mut().find(|child| child.id() == pid);
        child.is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }
}

fn get(address: SocketAddr, path: &str) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    let bytes = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    stream.write_all(bytes.as_bytes()).ok()?;
    Message::read(&mut BufReader::new(stream))
}

// ---------------------------------------------------------------------------------------------
// Clients

static REQUESTS: AtomicU64 = AtomicU64::new(0);

/// How a client attempt ended.
#[derive(Debug, Clone, PartialEq)]
pub enum End {
    /// The status, the signature and the body.
    Answer(u16, Option<String>, String),
    /// The connection ended without a complete answer.
    Cut,
    /// The time budget passed.
    Deadline,
    NoConnection,
}

/// One client attempt.
#[derive(Debug, Clone)]
pub struct Attempt {
    pub id: String,
    pub path: String,
    pub sent: f64,
    pub ended: f64,
    /// Whether it was sent on a connection that was used before.
    pub is_kept: bool,
    pub end: End,
}

/// A client with one kept connection.
pub struct Client {
    connection: Option<(SocketAddr, BufReader<TcpStream>)>,
    /// Pause after each MiB that is written.
    pause: Duration,
}

impl Client {
    pub fn new() -> Client {
        Client { connection: None, pause: Duration::ZERO }
    }

    /// A client that sends at most `mib_per_s`.
    pub fn with_rate(mib_per_s: u64) -> Client {
        Client { connection: None, pause: Duration::from_millis(1_000 / mib_per_s) }
    }

    /// Sends a request to `front` and waits for its end.
    pub fn send(
        &mut self,
        front: SocketAddr,
        method: &str,
        host: &str,
        path: &str,
        deadline_ms: u64,
        body: &[u8],
    ) -> Attempt {
        let number = REQUESTS.fetch_add(1, Ordering::SeqCst);
        let id = format!("{:08x}{number:08x}", std::process::id());
        let sent = now();
        let kept = self.connection.take().filter(|(address, _)| *address == front);
        let is_kept = kept.is_some();
        let end = self.exchange(kept, front, method, host, path, deadline_ms, body, &id);
        let ended = now();
        record(&format!(
            "client sent {id} {method} {path} ({} bytes) to {front} at {sent:.3}, kept connection: {is_kept}; {end:?}",
            body.len()
        ));
        Attempt { id, path: path.to_owned(), sent, ended, is_kept, end }
    }

    #[allow(clippy::too_many_arguments)]
    fn exchange(
        &mut self,
        kept: Option<(SocketAddr, BufReader<TcpStream>)>,
        front: SocketAddr,
        method: &str,
        host: &str,
        path: &str,
        deadline_ms: u64,
        body: &[u8],
        id: &str,
    ) -> End {
        let start = Instant::now();
        let mut stream = match kept {
            Some((_, stream)) => stream,
            None => match TcpStream::connect_timeout(&front, Duration::from_secs(1)) {
                Ok(stream) => {
                    let _ = stream.set_nodelay(true);
                    BufReader::new(stream)
                }
                Err(_) => return End::NoConnection,
            },
        };
        let budget = Duration::from_millis(deadline_ms);
        let _ = stream.get_ref().set_write_timeout(Some(budget));
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Request-Id: {id}\r\nCookie: X-Affinity-Key={}\r\nX-Deadline-Ms: {deadline_ms}\r\nContent-Length: {}\r\n\r\n",
            REQUESTS.load(Ordering::SeqCst) % 24,
            body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        for part in bytes.chunks(1 << 20) {
            if stream.get_mut().write_all(part).is_err() {
                return if start.elapsed() >= budget { End::Deadline } else { End::Cut };
            }
            if part.len() == 1 << 20 {
                thread::sleep(self.pause);
            }
        }
        drop(bytes);
        let left = budget.saturating_sub(start.elapsed()).max(Duration::from_millis(1));
        let _ = stream.get_ref().set_read_timeout(Some(left));
        let Some(answer) = Message::read(&mut stream) else {
            return if start.elapsed() >= budget { End::Deadline } else { End::Cut };
        };
        let is_closing = answer.header("connection").is_some_and(|value| value == "close");
        if !is_closing {
            self.connection = Some((front, stream));
        }
        let signature = answer.header("x-server-signature").map(str::to_owned);
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        End::Answer(answer.status(), signature, body)
    }
}

/// Counts of the ends of attempts, for the record.
pub fn summary(attempts: &[Attempt]) -> String {
    let mut counts: HashMap<String, usize> = HashMap::new();
    for attempt in attempts {
        let name = match &attempt.end {
            End::Answer(status, Some(_), _) => format!("{status} of a server"),
            End::Answer(status, None, _) => status.to_string(),
            other => format!("{other:?}"),
        };
        *counts.entry(name).or_default() += 1;
    }
    let mut counts: Vec<String> = counts.iter().map(|(name, n)| format!("{name}: {n}")).collect();
    counts.sort();
    counts.join(", ")
}

// ---------------------------------------------------------------------------------------------

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, temporary] = &arguments[..] else {
        eprintln!("usage: standin CASE FOLDER TEMPORARY");
        exit(2);
    };
    TEMPORARY.get_or_init(|| PathBuf::from(temporary));
    START.get_or_init(Instant::now);
    let file = File::create(Path::new(folder).join("record.txt")).expect("create record.txt");
    RECORD.get_or_init(|| Mutex::new(file));
    record(&format!("case {case}, disruption: {}", has_trouble()));
    // The case must end in time whatever happens.
    thread::spawn(|| {
        sleep_ms(110_000);
        cannot_run("the time is up");
    });
    let is_broken = match case.as_str() {
        "config-history" => memory::config_history(),
        "large-bodies" => memory::large_bodies(),
        "stray-entry" => registry::stray_entry(),
        "unreadable-entry" => registry::unreadable_entry(),
        "late-check-in" => registry::late_check_in(),
        "incomplete-entry" => registry::incomplete_entry(),
        _ => cannot_run("no such case"),
    };
    stop_gateways();
    record(if is_broken { "the rule was broken" } else { "the rule held" });
    exit(i32::from(is_broken))
}
