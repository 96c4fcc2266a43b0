//! The platform: starts the processes with the commands of the deploy file and rendered settings,
//! and ends one that exceeds its memory.

use std::collections::BTreeMap;
use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Connection, request};
use crate::record;

static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());
static FOLDERS: Mutex<Vec<PathBuf>> = Mutex::new(Vec::new());

/// Ends all processes that were started and removes temporary folders.
pub fn end_all() {
    for id in CHILDREN.lock().unwrap().drain(..) {
        let _ = signal(id, "-KILL");
    }
    for folder in FOLDERS.lock().unwrap().drain(..) {
        let _ = fs::remove_dir_all(folder);
    }
}

fn signal(id: u32, name: &str) -> bool {
    Command::new("kill").args([name, &id.to_string()]).stderr(Stdio::null()).status().is_ok_and(|s| s.success())
}

/// The zones of all deployments here, with their regions.
const ZONES: [(&str, &str); 6] = [
    ("zrh-a", "zurich"),
    ("zrh-b", "zurich"),
    ("gva-a", "geneva"),
    ("gva-b", "geneva"),
    ("lug-a", "lugano"),
    ("lug-b", "lugano"),
];

/// Settings of a machine that differ between the cases.
#[derive(Debug, Clone)]
pub struct Settings {
    pub name: String,
    pub zone: &'static str,
    pub seeds: Vec<String>,
    pub store: SocketAddr,
    pub memory_mb: u64,
}

/// A machine with the process of the role.
#[derive(Debug)]
pub struct Machine {
    pub ip: String,
    pub name: String,
    child: Child,
}

/// Loopback addresses on which the ports of the platform are free.
pub fn free_addresses(count: usize) -> Result<Vec<String>, String> {
    let process = std::process::id();
    for attempt in 0..50 {
        let block = (process + attempt * 7) % 40_000;
        let prefix = format!("127.{}.{}", 20 + block / 200, block % 200);
        let addresses: Vec<String> = (0..count).map(|index| format!("{prefix}.{}", 10 + index)).collect();
        let is_free = |ip: &String| {
            [8641, 8640, 8644, 7620, 7635]
                .iter()
                .all(|port| TcpListener::bind(format!("{ip}:{port}")).is_ok())
        };
        if addresses.iter().all(is_free) {
            return Ok(addresses);
        }
    }
    Err("no free addresses".to_owned())
}

/// The value of a key of the deploy file's role.
fn deploy(key: &str) -> Result<String, String> {
    let text = fs::read_to_string("deploy/system.toml").map_err(|error| format!("deploy file: {error}"))?;
    let start = format!("{key} = \"");
    let line = text.lines().find_map(|line| line.strip_prefix(&start));
    line.and_then(|line| line.split('"').next()).map(str::to_owned).ok_or(format!("no {key} in the deploy file"))
}

/// Renders the deploy file's template as the platform's pages say, as far as it is used.
fn render(template: &str, values: &BTreeMap<&str, String>) -> String {
    let mut text = template.to_owned();
    while let Some(start) = text.find("{{#").or_else(|| text.find("{{^")) {
        let is_inverse = text[start..].starts_with("{{^");
        let name_end = start + text[start..].find("}}").unwrap();
        let name = text[start + 3..name_end].to_owned();
        let close = format!("{{{{/{name}}}}}");
        let end = name_end + text[name_end..].find(&close).unwrap();
        let section = text[name_end + 2..end].to_owned();
        let section = section.strip_prefix('\n').map_or(section.clone(), str::to_owned);
        let rendered = if name == "zones" {
            let entries = ZONES.iter().map(|(zone, region)| {
                section.replace("{{@}}", zone).replace("{{.|json}}", &format!("\"{region}\""))
            });
            entries.collect::<String>()
        } else if values.contains_key(name.as_str()) != is_inverse {
            section
        } else {
            String::new()
        };
        text.replace_range(start..end + close.len(), &rendered);
    }
    for (name, value) in values {
        let is_text = !value.starts_with('[') && value.parse::<f64>().is_err() && value != "true" && value != "false";
        let json = if is_text { format!("\"{value}\"") } else { value.clone() };
        text = text.replace(&format!("{{{{{name}|json}}}}"), &json).replace(&format!("{{{{{name}}}}}"), value);
    }
    text
}

impl Machine {
    /// Starts the role's process.
    pub fn start(ip: &str, settings: &Settings) -> Result<Machine, String> {
        let Settings { name, zone, seeds, store, memory_mb } = settings;
        let region = ZONES.iter().find(|(other, _)| other == zone).map_or("", |(_, region)| region);
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}:8649\"")).collect();
        let text = |value: &str| value.to_owned();
        let values = BTreeMap::from([
            ("nodeId", name.clone()),
            ("ip", text(ip)),
            ("zone", text(zone)),
            ("region", text(region)),
            ("seeds", format!("[{}]", seeds.join(","))),
            ("bootstrap", text("true")),
            ("listen.front", format!("{ip}:8641")),
            ("listen.readiness", format!("{ip}:8640")),
            ("listen.directory", format!("{ip}:8644")),
            ("internalPorts.0", text("7620")),
            ("internalPorts.1", text("7635")),
            ("provider.address", store.to_string()),
            ("limits.memoryMb", memory_mb.to_string()),
            ("limits.maxFds", text("4100")),
            ("limits.cpuShare", text("0.2")),
            ("limits.linkMbps", text("1000.0")),
            ("bounds.graceS", text("6")),
            ("bounds.ttl_max_s", text("5")),
            ("bounds.retryBudgetRatio", text("0.2")),
            ("bounds.budgetSlack", text("62")),
            ("bounds.budgetWindowS", text("10")),
            ("bounds.coldOver", text("1.5")),
            ("bounds.coldSlack", text("5")),
        ]);
        let template = fs::read_to_string(deploy("template")?).map_err(|error| error.to_string())?;
        let folder = std::env::temp_dir().join(format!("ebonypass-review-{}-{ip}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        FOLDERS.lock().unwrap().push(folder.clone());
        let path = folder.join("settings.toml");
        fs::write(&path, render(&template, &values)).map_err(|error| error.to_string())?;
        let run = deploy("run")?;
        let mut words = run.split(' ');
        let child = Command::new(words.next().unwrap_or_default())
            .args(words)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("EBONYPASS_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(fs::File::create(folder.join("log")).map_err(|error| error.to_string())?)
            .spawn()
            .map_err(|error| format!("{run}: {error}"))?;
        CHILDREN.lock().unwrap().push(child.id());
        Ok(Machine { ip: text(ip), name: name.clone(), child })
    }

    /// Address for clients.
    pub fn front(&self) -> SocketAddr {
        format!("{}:8641", self.ip).parse().unwrap()
    }

    /// Waits until the machine says that it is ready.
    pub fn wait_ready(&self) -> Result<(), String> {
        let address: SocketAddr = format!("{}:8640", self.ip).parse().unwrap();
        let end = Instant::now() + Duration::from_secs(15);
        while Instant::now() < end {
            let call = Connection::open(address, Duration::from_secs(1))
                .and_then(|mut connection| connection.call(&request("GET", "/ebonypass/ready", "ready", 1_000, 0, b"")));
            if call.is_ok_and(|head| head.status == 200) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(format!("{} is not ready", self.name))
    }

    /// Asks the process to stop, as the platform does.
    pub fn terminate(&self) {
        record::line(&format!("SIGTERM to {}", self.name));
        signal(self.child.id(), "-TERM");
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the process has ended.
    pub fn wait(&mut self) {
        let _ = self.child.wait();
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Memory in bytes as the platform counts it: resident, and received and not yet read.
    /// `servers` are the ports of all servers.
    pub fn memory(&self, servers: &[u16]) -> Option<(u64, u64)> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let resident: u64 = line.trim().strip_suffix(" kB")?.trim().parse().ok()?;
        let own: Vec<u8> = self.ip.split('.').filter_map(|part| part.parse().ok()).collect();
        let own = format!("{:02X}{:02X}{:02X}{:02X}", own[3], own[2], own[1], own[0]);
        let sockets = fs::read_to_string("/proc/net/tcp").ok()?;
        let mut unread = 0;
        for line in sockets.lines().skip(1) {
            let words: Vec<&str> = line.split_whitespace().collect();
            let port = |text: &str| u16::from_str_radix(text.split(':').nth(1)?, 16).ok();
            let is_front = words[1].starts_with(&own);
            let is_to_server = port(words[2]).is_some_and(|port| servers.contains(&port));
            if is_front || is_to_server {
                unread += u64::from_str_radix(words[4].split(':').nth(1)?, 16).unwrap_or(0);
            }
        }
        Some((resident << 10, unread))
    }
}
