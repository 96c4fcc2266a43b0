//! Runs the gateway as a child process.

use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use serde_json::Value;

use super::{Store, send_request, wait_until};

/// A gateway process, killed when dropped.
pub struct Gateway {
    pub child: Child,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub lookups: SocketAddr,
    pub log: Arc<Mutex<Vec<Value>>>,
}

/// Ports of a gateway, the same on all machines as on the platform.
pub const CALLERS_PORT: u16 = 8641;
const READINESS_PORT: u16 = 8640;
const LOOKUPS_PORT: u16 = 8644;
const MESH_PORT: u16 = 7620;
const METRICS_PORT: u16 = 7621;

/// A loopback address that no other test gateway uses. Probing for a free port instead would be
/// racy: a test that runs in parallel may take it first.
pub fn unique_address() -> Ipv4Addr {
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let count = COUNT.fetch_add(1, Ordering::SeqCst);
    let process = std::process::id();
    Ipv4Addr::new(127, 1 + (process % 200) as u8, (process / 200 % 250) as u8, 2 + count as u8)
}

impl Gateway {
    pub fn start(store: &Store) -> Gateway {
        Gateway::start_as(store, "vm-1")
    }

    /// Starts the gateway of a machine called `name`.
    pub fn start_as(store: &Store, name: &str) -> Gateway {
        Gateway::start_with_seeds(store, name, &[])
    }

    /// Starts a gateway whose seeds are the given gateways.
    pub fn start_with_seeds(store: &Store, name: &str, seeds: &[&Gateway]) -> Gateway {
        let seeds: Vec<SocketAddr> = seeds.iter().map(|seed| seed.callers).collect();
        Gateway::start_process(unique_address(), store, name, &seeds, false)
    }

    /// Starts `count` gateways at once as a first start, all with the first one as their seed.
    pub fn start_all(store: &Store, count: usize) -> Vec<Gateway> {
        let addresses: Vec<Ipv4Addr> = (0..count).map(|_| unique_address()).collect();
        let seeds = [SocketAddr::from((addresses[0], CALLERS_PORT))];
        let start = |(index, address)| {
            Gateway::start_process(address, store, &format!("vm-{index}"), &seeds, true)
        };
        addresses.into_iter().enumerate().map(start).collect()
    }

    /// Starts a gateway that may use this much memory and this many descriptors.
    pub fn start_limited(store: &Store, memory_mb: u64, descriptors: usize) -> Gateway {
        let limits = (memory_mb, descriptors);
        Gateway::start_with_limits(unique_address(), store, "vm-1", &[], false, limits)
    }

    /// Starts the gateway of a machine called `name` at `address`.
    pub fn start_process(
        address: Ipv4Addr,
        store: &Store,
        name: &str,
        seeds: &[SocketAddr],
        is_first_start: bool,
    ) -> Gateway {
        let limits = (260, 1024);
        Gateway::start_with_limits(address, store, name, seeds, is_first_start, limits)
    }

    fn start_with_limits(
        address: Ipv4Addr,
        store: &Store,
        name: &str,
        seeds: &[SocketAddr],
        is_first_start: bool,
        (memory_mb, descriptors): (u64, usize),
    ) -> Gateway {
        let at = |port: u16| SocketAddr::from((address, port));
        let (callers, readiness) = (at(CALLERS_PORT), at(READINESS_PORT));
        let lookups = at(LOOKUPS_PORT);
        let seeds: Vec<String> = seeds.iter().map(SocketAddr::to_string).collect();
        let text = format!(
            "name = \"{name}\"\naddress = \"{address}\"\ndata_centre = \"zrh-a\"\nregion = \"zurich\"\nseeds = {seeds:?}\nfirst_start = {is_first_start}\n\
             [regions]\n\"zrh-a\" = \"zurich\"\n\"gva-a\" = \"geneva\"\n\
             [listen]\ncallers = \"{callers}\"\nreadiness = \"{readiness}\"\nlookups = \"{lookups}\"\nmesh_port = {MESH_PORT}\nmetrics_port = {METRICS_PORT}\n\
             [store]\naddress = \"{}\"\n\
             [limits]\nmemory_mb = {memory_mb}\ndescriptors = {descriptors}\ncpu_share = 0.2\nlink_mbps = 1000\n\
             [times]\ngrace_s = 6\nlookup_s = 5\n\
             [shared]\nrepeat_ratio = 0.2\nrepeat_allowance = 62\nrepeat_window_s = 10\ncold_factor = 1.5\ncold_allowance = 5\n",
            store.address
        );
        let path = std::env::temp_dir().join(format!("gateway-{address}.toml"));
        std::fs::write(&path, text).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_ebonypass-gateway"))
            .arg(&path)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let log: Arc<Mutex<Vec<Value>>> = Arc::default();
        let lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let lines_sink = log.clone();
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                lines_sink.lock().unwrap().push(serde_json::from_str(&line).unwrap());
            }
        });
        Gateway { child, callers, readiness, lookups, log }
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().unwrap().success());
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    pub fn wait_ready(&self) {
        wait_until("the gateway is ready", || self.is_ready());
    }

    pub fn is_ready(&self) -> bool {
        let request = "GET /ebonypass/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        send_request(self.readiness, request.as_bytes()).is_some_and(|reply| reply.status() == 200)
    }

    pub fn addresses(&self) -> Vec<String> {
        let request = "GET /ebonypass/resolve?name=a.example&region=zurich&zone=zrh-a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let Some(reply) = send_request(self.lookups, request.as_bytes()) else { return Vec::new() };
        let body: Value = serde_json::from_slice(&reply.body).unwrap_or_default();
        let addresses = body["addresses"].as_array().cloned().unwrap_or_default();
        addresses.iter().filter_map(|address| address.as_str().map(str::to_owned)).collect()
    }

    /// Log lines about a request.
    pub fn log_lines(&self, request: &str) -> Vec<Value> {
        let lines = self.log.lock().unwrap();
        lines.iter().filter(|line| line["request"] == request).cloned().collect()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
