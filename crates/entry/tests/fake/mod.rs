//! Test doubles on loopback: a store with a VM list, targets, and a caller.

#![allow(dead_code, reason = "no test file uses everything")]

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use ebonypass_entry::Server;
use ebonypass_entry::settings::Settings;
use ebonypass_node::settings;
use ebonypass_node::tls::{self, Credentials};
use serde_json::{Value, json};

/// A policy with two regions and a service with an idempotent and a non-idempotent kind.
pub const POLICY: &str = include_str!("policy.toml");

/// An HTTP request received by a fake server.
#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

/// What happens to the connection after a reply.
#[derive(Debug, Clone, Copy, PartialEq)]
enum AfterReply {
    Keep,
    Close,
}

/// Replies to the requests of each connection with `handler`; `None` closes the connection.
fn serve(
    listener: TcpListener,
    handler: impl Fn(Request) -> Option<(Vec<u8>, AfterReply)> + Send + Sync + 'static,
) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let handler = handler.clone();
            thread::spawn(move || {
                while let Some(request) = read_request(&mut stream) {
                    let Some((bytes, after)) = handler(request) else { return };
                    if stream.write_all(&bytes).is_err() || after == AfterReply::Close {
                        return;
                    }
                }
            });
        }
    });
}

fn read_request(stream: &mut TcpStream) -> Option<Request> {
    let (line, headers, body) = read_message(stream)?;
    let mut words = line.split(' ');
    let (method, path) = (words.next()?.to_owned(), words.next()?.to_owned());
    Some(Request { method, path, headers, body })
}

/// Reads a message by its content length: first line, headers with lower-case names, body.
fn read_message(stream: &mut TcpStream) -> Option<(String, BTreeMap<String, String>, Vec<u8>)> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).ok()?;
    let mut lines = head.lines();
    let line = lines.next()?.to_owned();
    let fields = lines.filter_map(|line| line.split_once(": "));
    let headers: BTreeMap<String, String> =
        fields.map(|(name, value)| (name.to_lowercase(), value.to_owned())).collect();
    let length = headers.get("content-length").map_or(0, |text| text.parse().expect("length"));
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some((line, headers, body))
}

/// Encodes a complete reply.
pub fn reply(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let head =
        format!("HTTP/1.1 {status} Status\r\ncontent-length: {}\r\n{headers}\r\n", body.len());
    [head.as_bytes(), body].concat()
}

/// A fake store with the VM list.
#[derive(Debug, Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<Mutex<StoreState>>,
}

#[derive(Debug, Default)]
struct StoreState {
    objects: BTreeMap<String, (u64, Vec<u8>)>,
    vms: Vec<Value>,
    vm_reads: u64,
    outage: bool,
}

impl Store {
    pub fn new() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let address = listener.local_addr().expect("address");
        let store = Store { address, state: Arc::default() };
        let state = store.state.clone();
        serve(listener, move |request| {
            Some((handle_store_request(&state, &request), AfterReply::Keep))
        });
        store
    }

    /// Writes the policy document `text` as version `version`.
    pub fn set_policy(&self, version: u64, text: &str) {
        let value = json!({"submission": "5f2c", "operator": "test", "text": text}).to_string();
        let mut state = self.state.lock().expect("lock");
        state.objects.insert("policy/current".to_owned(), (version, value.into_bytes()));
    }

    pub fn set_vms(&self, vms: Vec<Value>) {
        self.state.lock().expect("lock").vms = vms;
    }

    /// How often the VM list was read.
    pub fn vm_reads(&self) -> u64 {
        self.state.lock().expect("lock").vm_reads
    }

    pub fn set_outage(&self, outage: bool) {
        self.state.lock().expect("lock").outage = outage;
    }

    pub fn object(&self, key: &str) -> Option<(u64, Value)> {
        let state = self.state.lock().expect("lock");
        let (version, value) = state.objects.get(key)?;
        Some((*version, serde_json::from_slice(value).expect("json")))
    }
}

fn handle_store_request(state: &Mutex<StoreState>, request: &Request) -> Vec<u8> {
    let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
    let field = |name: &str| -> u64 {
        let value = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
        value.and_then(|text| text.parse().ok()).unwrap_or(0)
    };
    let until = Instant::now() + Duration::from_millis(field("wait_ms"));
    loop {
        let mut state = state.lock().expect("lock");
        if state.outage {
            return reply(503, "", b"");
        }
        if path == "/vms" {
            state.vm_reads += 1;
            return reply(200, "", json!({"vms": state.vms}).to_string().as_bytes());
        }
        let key = path.strip_prefix("/objects/").expect("known path").to_owned();
        let object = state.objects.get(&key).cloned();
        let version = object.as_ref().map_or(0, |(version, _)| *version);
        let header = format!("x-version: {version}\r\n");
        if request.method == "PUT" {
            let expected: u64 = request.headers["x-if-version"].parse().expect("version");
            if expected != version {
                return reply(412, &header, b"");
            }
            state.objects.insert(key, (version + 1, request.body.clone()));
            return reply(200, &format!("x-version: {}\r\n", version + 1), b"");
        }
        match object {
            Some((version, value)) if version > field("after") => {
                return reply(200, &header, &value);
            }
            _ if Instant::now() >= until => {
                return reply(if version == 0 { 404 } else { 304 }, "", b"");
            }
            _ => {}
        }
        drop(state);
        thread::sleep(Duration::from_millis(5));
    }
}

/// A fake target with three slots.
#[derive(Clone)]
pub struct Target {
    pub name: String,
    pub address: SocketAddr,
    runs: Arc<Mutex<Vec<Request>>>,
    cancels: Arc<Mutex<Vec<String>>>,
    leaving: Arc<AtomicU32>,
    delay_ms: Arc<AtomicU64>,
    closes_after_reply: Arc<AtomicBool>,
}

impl Target {
    /// A target that answers each run with `answer` after the delay; `None` closes the connection.
    pub fn new(
        name: &str,
        answer: impl Fn(&Request) -> Option<Vec<u8>> + Send + Sync + 'static,
    ) -> Target {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let address = listener.local_addr().expect("address");
        let target = Target {
            name: name.to_owned(),
            address,
            runs: Arc::default(),
            cancels: Arc::default(),
            leaving: Arc::default(),
            delay_ms: Arc::default(),
            closes_after_reply: Arc::default(),
        };
        let server_target = target.clone();
        serve(listener, move |request| {
            let is_run = request.path.starts_with("/run/");
            let closes_after_reply =
                is_run && server_target.closes_after_reply.load(Ordering::Relaxed);
            let after = if closes_after_reply { AfterReply::Close } else { AfterReply::Keep };
            Some((server_target.handle(&request, &answer)?, after))
        });
        target
    }

    /// A target that answers each run with the body of the request.
    pub fn echo(name: &str) -> Target {
        Target::new(name, |request| Some(reply(200, "x-kept: yes\r\n", &request.body)))
    }

    fn handle(
        &self,
        request: &Request,
        answer: &impl Fn(&Request) -> Option<Vec<u8>>,
    ) -> Option<Vec<u8>> {
        if request.path == "/load" {
            let leaving = self.leaving.load(Ordering::Relaxed) > 0;
            let load = json!({"slots": 3, "busy": 0, "queued": 0, "leaving": leaving});
            return Some(reply(200, "", load.to_string().as_bytes()));
        }
        if let Some(id) = request.path.strip_prefix("/cancel/") {
            self.cancels.lock().expect("lock").push(id.to_owned());
            return Some(reply(200, "", b""));
        }
        self.runs.lock().expect("lock").push(request.clone());
        thread::sleep(Duration::from_millis(self.delay_ms.load(Ordering::Relaxed)));
        answer(request)
    }

    pub fn runs(&self) -> Vec<Request> {
        self.runs.lock().expect("lock").clone()
    }

    pub fn cancels(&self) -> Vec<String> {
        self.cancels.lock().expect("lock").clone()
    }

    pub fn set_delay(&self, delay: Duration) {
        self.delay_ms.store(delay.as_millis() as u64, Ordering::Relaxed);
    }

    /// Closes the connection after each reply to a run.
    pub fn close_after_reply(&self) {
        self.closes_after_reply.store(true, Ordering::Relaxed);
    }

    pub fn set_leaving(&self) {
        self.leaving.store(1, Ordering::Relaxed);
    }

    pub fn vm(&self, state: &str) -> Value {
        let centre = self.name.strip_prefix("rounds-").and_then(|rest| rest.rsplit_once('-'));
        json!({
            "name": self.name, "role": "target", "service": "rounds",
            "data_centre": centre.expect("name").0, "address": self.address, "slots": 3,
            "state": state,
        })
    }
}

/// The VM list item of an entry.
pub fn entry_vm(name: &str, centre: &str, caller: SocketAddr, peer: SocketAddr) -> Value {
    json!({
        "name": name, "role": "entry", "data_centre": centre, "address": caller, "peer": peer,
        "state": "live",
    })
}

/// A temporary folder for one test, with a certificate authority.
#[derive(Debug)]
pub struct Folder {
    pub path: PathBuf,
    authority: Credentials,
}

impl Folder {
    pub fn new(name: &str) -> Folder {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("ebonypass-entry-{name}-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        drop(std::fs::remove_dir_all(&path));
        std::fs::create_dir_all(&path).expect("folder");
        let authority = tls::new_authority().expect("authority");
        authority.write(&path, "authority").expect("write");
        Folder { path, authority }
    }

    /// The settings of an entry, with ports assigned by the system. Issues a certificate if needed.
    pub fn settings(&self, name: &str, centre: &str, store: SocketAddr, extra: &str) -> String {
        if !self.path.join(format!("{name}.pem")).exists() {
            let pair = tls::issue(&self.authority, name).expect("issue");
            pair.write(&self.path, name).expect("write");
        }
        format!(
            "name = \"{name}\"\ndata_centre = \"{centre}\"\ncaller_listen = \"127.0.0.1:0\"\n\
             peer_listen = \"127.0.0.1:0\"\nadmin_listen = \"127.0.0.1:0\"\nstore = \"{store}\"\n\
             [tls]\nauthority = \"authority.pem\"\ncertificate = \"{name}.pem\"\n\
             key = \"{name}.key\"\n{extra}"
        )
    }

    /// Starts an entry within the test process.
    pub fn start(&self, name: &str, centre: &str, store: SocketAddr, extra: &str) -> Server {
        self.start_text(&self.settings(name, centre, store, extra))
    }

    /// Starts an entry with the settings `text`.
    pub fn start_text(&self, text: &str) -> Server {
        let settings: Settings = settings::scan(text, Path::new(&self.path)).expect("settings");
        smol::block_on(async { Server::start(settings) }).expect("start")
    }
}

/// A reply received by a caller.
#[derive(Debug, Clone)]
pub struct Reply {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Reply {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// The status, outcome and code, separated by spaces.
    pub fn summary(&self) -> String {
        let (outcome, code) = (self.header("ebonypass-outcome"), self.header("ebonypass-code"));
        format!("{} {outcome} {code}", self.status).trim_end().to_owned()
    }

    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).expect("json")
    }
}

/// Sends one request; none if no complete reply arrives.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &[u8],
) -> Option<Reply> {
    let mut stream = TcpStream::connect(address).ok()?;
    call_on(&mut stream, method, path, headers, body)
}

/// Sends one request over an open connection.
pub fn call_on(
    stream: &mut TcpStream,
    method: &str,
    path: &str,
    headers: &str,
    body: &[u8],
) -> Option<Reply> {
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: entry\r\ncontent-length: {length}\r\n{headers}\r\n"
    );
    stream.write_all(&[head.as_bytes(), body].concat()).ok()?;
    let (line, headers, body) = read_message(stream)?;
    let status = line.split(' ').nth(1)?.parse().ok()?;
    Some(Reply { status, headers, body })
}

/// The headers of a run request from a client in Zurich.
pub const HEADERS: &str = "ebonypass-member: windelrunde\r\nebonypass-block: 10.1.0.0/24\r\n";

/// Sends a run request of an idempotent kind.
pub fn run(address: SocketAddr, body: &[u8]) -> Reply {
    call(address, "POST", "/v1/run/rounds/lookup", HEADERS, body).expect("reply")
}

/// Sends a look-up.
pub fn lookup(address: SocketAddr) -> Reply {
    let path = "/v1/lookup?member=windelrunde&service=rounds&block=10.1.0.0/24";
    call(address, "GET", path, "", b"").expect("reply")
}

/// A new request key whose arbiter is the entry at `address`.
pub fn new_key(address: SocketAddr, nonce: &str) -> String {
    let body = lookup(address).json();
    format!("{}/{nonce}", body["arbiter"].as_str().expect("arbiter"))
}

/// Sends a run request of the non-idempotent kind with `key`.
pub fn run_log_with_key(address: SocketAddr, key: &str) -> Option<Reply> {
    let headers = format!("{HEADERS}ebonypass-key: {key}\r\n");
    call(address, "POST", "/v1/run/rounds/log", &headers, b"swap")
}

/// Sends a run request of the non-idempotent kind with a new request key.
pub fn run_log(address: SocketAddr, nonce: &str) -> Option<Reply> {
    run_log_with_key(address, &new_key(address, nonce))
}

/// Waits up to 10 s until `condition` holds.
pub fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < Duration::from_secs(10), "timed out after 10 s: {what}");
        thread::sleep(Duration::from_millis(10));
    }
}

/// A store and one entry in `zurich-1`.
pub struct Setup {
    pub folder: Folder,
    pub store: Store,
    pub server: Server,
}

impl Setup {
    pub fn new(name: &str, targets: &[&Target], extra: &str) -> Setup {
        let (folder, store) = (Folder::new(name), Store::new());
        store.set_policy(7, POLICY);
        store.set_vms(targets.iter().map(|target| target.vm("live")).collect());
        let server = folder.start("zurich-1-a", "zurich-1", store.address, extra);
        let setup = Setup { folder, store, server };
        let address = setup.address();
        wait_until("policy", || lookup(address).status == 200);
        if !targets.is_empty() {
            wait_until("targets", || metric_sum(setup.server.admin_address(), "free_slots") > 0.0);
        }
        setup
    }

    pub fn address(&self) -> SocketAddr {
        self.server.caller_address()
    }
}

/// A store and several entries that find each other through the VM list.
pub struct Cluster {
    pub folder: Folder,
    pub store: Store,
    pub servers: Vec<Server>,
    targets: Vec<Value>,
}

impl Cluster {
    /// Starts an entry for each name and data centre in `entries`, and waits until each is
    /// connected to the others.
    pub fn new(name: &str, entries: &[(&str, &str)], targets: &[&Target], extra: &str) -> Cluster {
        let (folder, store) = (Folder::new(name), Store::new());
        store.set_policy(7, POLICY);
        let start =
            |&(name, centre): &(&str, &str)| folder.start(name, centre, store.address, extra);
        let servers: Vec<Server> = entries.iter().map(start).collect();
        let targets = targets.iter().map(|target| target.vm("live")).collect();
        let cluster = Cluster { folder, store, servers, targets };
        cluster.set_vm_list(entries);
        let others = entries.len() as f64 - 1.0;
        for server in &cluster.servers {
            let admin = server.admin_address();
            wait_until("peers", || metric_sum(admin, "peers") == others);
            wait_until("policy", || metric_sum(admin, "policy_version") == 7.0);
            if !cluster.targets.is_empty() {
                wait_until("targets", || lookup(server.caller_address()).status == 200);
            }
        }
        // The targets are in the VM list, which is read once a second.
        thread::sleep(Duration::from_millis(1_100));
        cluster
    }

    /// Sets the VM list to `entries` and the targets.
    pub fn set_vm_list(&self, entries: &[(&str, &str)]) {
        let entries = entries.iter().zip(&self.servers).map(|((name, centre), server)| {
            entry_vm(name, centre, server.caller_address(), server.peer_address())
        });
        self.store.set_vms(entries.chain(self.targets.iter().cloned()).collect());
    }

    /// The indices of the entry that look-ups name first, the pool's owner, and of another one.
    pub fn owner(&self) -> (usize, usize) {
        let body = lookup(self.servers[0].caller_address()).json();
        let address = body["entries"][0]["address"].as_str().expect("entry").to_owned();
        let is_owner = |server: &Server| server.caller_address().to_string() == address;
        let owner = self.servers.iter().position(is_owner).expect("owner");
        (owner, (owner + 1) % self.servers.len())
    }

    pub fn address(&self, index: usize) -> SocketAddr {
        self.servers[index].caller_address()
    }

    pub fn admin(&self, index: usize) -> SocketAddr {
        self.servers[index].admin_address()
    }
}

/// The sum of a metric over all labels.
pub fn metric_sum(admin: SocketAddr, name: &str) -> f64 {
    let page = call(admin, "GET", "/metrics", "", b"").expect("metrics");
    let page = String::from_utf8(page.body).expect("text");
    let start = format!("ebonypass_{name}");
    let samples = page.lines().filter_map(|line| {
        let rest = line.strip_prefix(&start)?;
        let rest = rest.strip_prefix("_total").unwrap_or(rest);
        rest.starts_with([' ', '{']).then(|| rest.rsplit(' ').next())?
    });
    samples.map(|value| value.parse::<f64>().expect("number")).sum()
}
