//! The program from the command line: settings, exit codes, signals and logs.

mod fake;

use std::io::Read;
use std::net::{Ipv4Addr, SocketAddr};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use fake::{Folder, POLICY, Store, Target, call, entry_vm, run, wait_until};
use test_case::test_case;

const PROGRAM: &str = env!("CARGO_BIN_EXE_ebonypass-entry");

fn spawn(arguments: &[&str]) -> Child {
    let command = Command::new(PROGRAM).args(arguments).stderr(Stdio::piped()).spawn();
    command.expect("spawn")
}

/// Waits for the process to exit and returns its exit code and standard error.
fn wait_for_exit(mut child: Child) -> (Option<i32>, String) {
    let start = Instant::now();
    loop {
        if let Some(status) = child.try_wait().expect("wait") {
            let mut text = String::new();
            child.stderr.take().expect("stderr").read_to_string(&mut text).expect("text");
            return (status.code(), text);
        }
        if start.elapsed() > Duration::from_secs(15) {
            child.kill().expect("kill");
            panic!("the process did not exit within 15 s");
        }
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Ports on an address of [`unique_address`].
const CALLERS_PORT: u16 = 6001;
const PEERS_PORT: u16 = 6002;

/// A loopback address that no other process of a test uses. A port that was found free a moment
/// before can be taken by then, and a free TCP port says nothing about the UDP port of peers.
fn unique_address() -> Ipv4Addr {
    static COUNT: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    let count = COUNT.fetch_add(1, Ordering::SeqCst);
    Ipv4Addr::new(127, 201 + high % 50, low, count)
}

/// The process exits at start-up if a setting is invalid, and names the field.
#[test_case("caller_listen = \"127.0.0.1:0\"", "caller_listen = \"here\"", "caller_listen"; "address")]
#[test_case("data_centre", "data_center", "data_center"; "unknown field")]
#[test_case("zurich-1-a.key", "other.key", "tls.key"; "no key")]
fn invalid_setting(from: &str, to: &str, field: &str) {
    let folder = Folder::new("bad-setting");
    let store = "127.0.0.1:6000".parse().expect("address");
    let text = folder.settings("zurich-1-a", "zurich-1", store, "");
    assert!(text.contains(from));
    let path = folder.path.join("entry.toml");
    std::fs::write(&path, text.replacen(from, to, 1)).expect("write");
    let (code, text) = wait_for_exit(spawn(&[path.to_str().expect("path")]));
    assert_eq!(code, Some(2), "{text}");
    assert!(text.contains(&format!("E103 bad setting: setting {field}:")), "{text}");
}

/// The process exits if the certificate has another name than the entry: peers would refuse it.
#[test]
fn certificate_name_mismatch() {
    let folder = Folder::new("other-certificate");
    let store = "127.0.0.1:6000".parse().expect("address");
    let text = folder.settings("zurich-1-a", "zurich-1", store, "");
    let path = folder.path.join("entry.toml");
    std::fs::write(&path, text.replacen("name = \"zurich-1-a\"", "name = \"zurich-1-b\"", 1))
        .expect("write");
    let (code, text) = wait_for_exit(spawn(&[path.to_str().expect("path")]));
    assert_eq!(code, Some(1), "{text}");
    assert!(text.contains("the certificate is for zurich-1-a"), "{text}");
}

/// `--help` and `--check` exit with 0 and serve nothing.
#[test]
fn help_and_check() {
    let folder = Folder::new("short-runs");
    let store = "127.0.0.1:6000".parse().expect("address");
    let path = folder.path.join("entry.toml");
    let text = folder.settings("zurich-1-a", "zurich-1", store, "");
    std::fs::write(&path, text).expect("write");
    assert_eq!(wait_for_exit(spawn(&["--help"])).0, Some(0));
    assert_eq!(wait_for_exit(spawn(&["--check", path.to_str().expect("path")])).0, Some(0));
}

/// After SIGTERM the request in flight is answered, the process exits with 0, and the log has the
/// numbered events.
#[test]
fn sigterm_stops_gracefully() {
    let folder = Folder::new("sigterm");
    let (store, target) = (Store::new(), Target::echo("rounds-zurich-1-01"));
    store.set_policy(7, POLICY);
    store.set_vms(vec![target.vm("live")]);
    let extra = "[log]\nfile = \"entry.log\"\n[limits]\nleave_ms = 300\n";
    let text = folder.settings("zurich-1-a", "zurich-1", store.address, extra);
    let address = format!("{}:{CALLERS_PORT}", unique_address());
    let text = text.replacen("127.0.0.1:0", &address, 1);
    let path = folder.path.join("entry.toml");
    std::fs::write(&path, text).expect("write");
    let child = spawn(&[path.to_str().expect("path")]);
    let address = address.parse().expect("address");
    wait_until("requests are served", || {
        call(address, "POST", "/v1/run/rounds/lookup", fake::HEADERS, b"x")
            .is_some_and(|reply| reply.status == 200)
    });
    target.set_delay(Duration::from_millis(700));
    let before = target.runs().len();
    let request = std::thread::spawn(move || run(address, b"last").summary());
    wait_until("a request is in flight", || target.runs().len() > before);
    send_signal(&child, "-TERM");
    assert_eq!(request.join().expect("thread"), "200 answered");
    let (code, text) = wait_for_exit(child);
    assert_eq!(code, Some(0), "{text}");
    let log = std::fs::read_to_string(folder.path.join("entry.log")).expect("log");
    for event in [
        "E100 started",
        "E200 policy in force",
        "E500 target added",
        "E101 stopping",
        "E102 stopped",
    ] {
        assert!(log.contains(event), "{event} is not in:\n{log}");
    }
}

/// Requests are answered while the process that owns their pool is suspended: other entries bypass
/// an owner whose heartbeat is overdue, and retry idempotent work in flight there.
#[test]
fn suspended_owner() {
    let folder = Folder::new("frozen-owner");
    let (store, target) = (Store::new(), Target::echo("rounds-zurich-1-01"));
    store.set_policy(7, POLICY);
    let listen = |address| [CALLERS_PORT, PEERS_PORT].map(|port| SocketAddr::from((address, port)));
    let addresses: Vec<[SocketAddr; 2]> = (0..2).map(|_| listen(unique_address())).collect();
    let names = ["zurich-1-a", "zurich-1-b"];
    let children = names.iter().zip(&addresses).map(|(name, [callers, peers])| {
        let text = folder.settings(name, "zurich-1", store.address, "");
        let text = text.replacen("127.0.0.1:0", &callers.to_string(), 1);
        let text = text.replacen("127.0.0.1:0", &peers.to_string(), 1);
        let path = folder.path.join(format!("{name}.toml"));
        std::fs::write(&path, text).expect("write");
        KillOnDrop(spawn(&[path.to_str().expect("path")]))
    });
    let children: Vec<KillOnDrop> = children.collect();
    let vms = names
        .iter()
        .zip(&addresses)
        .map(|(name, [callers, peers])| entry_vm(name, "zurich-1", *callers, *peers));
    store.set_vms(vms.chain([target.vm("live")]).collect());
    let first_entry = |address| {
        let reply = call(
            address,
            "GET",
            "/v1/lookup?member=windelrunde&service=rounds&block=10.1.0.0/24",
            "",
            b"",
        )?;
        let body = (reply.status == 200).then(|| reply.json())?;
        let entries = body["entries"].as_array()?;
        (entries.len() == 2).then(|| entries[0]["name"].as_str().map(str::to_owned))?
    };
    wait_until("both entries name the same owner", || {
        let [a, b] = [first_entry(addresses[0][0]), first_entry(addresses[1][0])];
        a.is_some() && a == b
    });
    let owner = first_entry(addresses[0][0]).expect("owner");
    let suspended = names.iter().position(|name| **name == *owner).expect("known name");
    let other = addresses[1 - suspended][0];
    wait_until("a target is known", || run(other, b"x").summary() == "200 answered");
    send_signal(&children[suspended].0, "-STOP");
    let start = Instant::now();
    while start.elapsed() < Duration::from_millis(2_500) {
        assert_eq!(run(other, b"x").summary(), "200 answered", "after {:?}", start.elapsed());
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Kills the process on drop.
struct KillOnDrop(Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn send_signal(child: &Child, name: &str) {
    let id = child.id().to_string();
    assert!(Command::new("kill").args([name, &id]).status().expect("kill").success());
}
