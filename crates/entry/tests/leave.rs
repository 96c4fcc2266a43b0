//! Targets and entries that leave the service.

mod fake;

use std::net::TcpStream;
use std::time::{Duration, Instant};

use fake::{Cluster, HEADERS, POLICY, Setup, Target, call, call_on, lookup, run, wait_until};
use test_case::test_case;

/// Why a target leaves.
#[derive(Debug, Clone, Copy)]
enum Cause {
    VmList,
    LoadReport,
    Drain,
    CentreDrain,
    Unlisted,
}

/// A leaving target gets no new work after at most 5 s (rule P6), and its work in flight ends
/// normally.
#[test_case(Cause::VmList; "VM list")]
#[test_case(Cause::LoadReport; "own flag")]
#[test_case(Cause::Drain; "drain")]
#[test_case(Cause::CentreDrain; "drain of the data centre")]
#[test_case(Cause::Unlisted; "no longer listed")]
fn leaving_target(cause: Cause) {
    let leaving = Target::echo("rounds-zurich-1-01");
    let other = Target::echo("rounds-zurich-2-01");
    let setup = Setup::new("leaving", &[&leaving, &other], "");
    let address = setup.address();
    leaving.set_delay(Duration::from_millis(400));
    other.set_delay(Duration::from_millis(400));
    let headers = format!("{HEADERS}ebonypass-deadline-ms: 10000\r\n");
    // Enough requests for both targets, so that some are in flight at the leaving one.
    let in_flight: Vec<_> = (0..6)
        .map(|_| {
            let headers = headers.clone();
            std::thread::spawn(move || {
                let reply = call(address, "POST", "/v1/run/rounds/lookup", &headers, b"x");
                reply.map(|reply| reply.summary())
            })
        })
        .collect();
    wait_until("requests are in flight", || !leaving.runs().is_empty());
    let drain = |subject: &str| {
        let drain = format!(
            "\n[[drain]]\n{subject}\nfrom = 2020-01-01T00:00:00Z\nuntil = 2090-01-01T00:00:00Z\n"
        );
        setup.store.set_policy(8, &format!("{POLICY}{drain}"));
    };
    match cause {
        Cause::VmList => setup.store.set_vms(vec![leaving.vm("leaving"), other.vm("live")]),
        Cause::LoadReport => leaving.set_leaving(),
        Cause::Drain => drain("target = \"rounds-zurich-1-01\""),
        Cause::CentreDrain => drain("data_centre = \"zurich-1\""),
        Cause::Unlisted => setup.store.set_vms(vec![other.vm("live")]),
    }
    for request in in_flight {
        assert_eq!(request.join().expect("thread").as_deref(), Some("200 answered"));
    }
    other.set_delay(Duration::ZERO);
    leaving.set_delay(Duration::ZERO);
    let start = Instant::now();
    let mut last_run = Instant::now();
    let mut seen = leaving.runs().len();
    while start.elapsed() < Duration::from_secs(4) {
        assert_eq!(run(address, b"x").summary(), "200 answered");
        let runs = leaving.runs().len();
        if runs > seen {
            (seen, last_run) = (runs, Instant::now());
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    let last_run_after = last_run.duration_since(start);
    assert!(
        last_run_after < Duration::from_secs(2),
        "new work {last_run_after:?} after the target left"
    );
}

/// A drain outside its period has no effect.
#[test_case("2020-01-01T00:00:00Z", "2020-01-02T00:00:00Z"; "over")]
#[test_case("2090-01-01T00:00:00Z", "2090-01-02T00:00:00Z"; "not begun")]
fn inactive_drain(from: &str, until: &str) {
    let target = Target::echo("rounds-zurich-1-01");
    let setup = Setup::new("other-drain", &[&target], "");
    let drain =
        format!("\n[[drain]]\ntarget = \"rounds-zurich-1-01\"\nfrom = {from}\nuntil = {until}\n");
    setup.store.set_policy(8, &format!("{POLICY}{drain}"));
    wait_until("version 8", || lookup(setup.address()).json()["version"] == 8);
    assert_eq!(run(setup.address(), b"x").summary(), "200 answered");
}

/// A planned stop interrupts no request (rule P7): running and queued ones are answered, other
/// entries' look-ups stop naming this entry, and callers are told to close their connections.
#[test]
fn graceful_stop() {
    let entries = [("zurich-1-a", "zurich-1"), ("zurich-2-a", "zurich-2")];
    let target = Target::echo("rounds-zurich-1-01");
    let mut cluster = Cluster::new("graceful", &entries, &[&target], "[limits]\nleave_ms = 1500\n");
    let (owner, other) = cluster.owner();
    let (address, other_address) = (cluster.address(owner), cluster.address(other));
    target.set_delay(Duration::from_millis(300));
    // Three run at once; the others wait in the queue of the stopping entry.
    let headers = format!("{HEADERS}ebonypass-deadline-ms: 10000\r\n");
    let requests: Vec<_> = (0..9)
        .map(|_| {
            let headers = headers.clone();
            std::thread::spawn(move || {
                call(address, "POST", "/v1/run/rounds/lookup", &headers, b"x")
                    .map(|reply| reply.summary())
            })
        })
        .collect();
    wait_until("requests are in flight", || target.runs().len() == 3);
    let mut connection = TcpStream::connect(address).expect("connect");
    let stopping = cluster.servers.remove(owner);
    let stop = std::thread::spawn(move || smol::block_on(stopping.stop()));
    wait_until("look-ups stop naming the entry", || {
        let body = lookup(other_address).json();
        let entries = body["entries"].as_array().expect("entries");
        entries.iter().all(|entry| entry["address"] != address.to_string())
    });
    // A caller with a cached look-up is still served while the entry stops.
    let reply =
        call_on(&mut connection, "POST", "/v1/run/rounds/lookup", &headers, b"x").expect("reply");
    assert_eq!(reply.summary(), "200 answered");
    assert_eq!(reply.header("connection"), "close");
    for request in requests {
        assert_eq!(request.join().expect("thread").as_deref(), Some("200 answered"));
    }
    stop.join().expect("stopped");
    assert!(TcpStream::connect(address).is_err());
    assert_eq!(run(other_address, b"x").summary(), "200 answered");
}

/// A stop waits for a long reply that is still in flight.
#[test]
fn stop_during_reply() {
    let target = Target::echo("rounds-zurich-1-01");
    target.set_delay(Duration::from_millis(900));
    let setup = Setup::new("stop-reply", &[&target], "[limits]\nleave_ms = 0\n");
    let address = setup.address();
    let request = std::thread::spawn(move || run(address, &vec![b'x'; 900_000]));
    wait_until("requests are in flight", || !target.runs().is_empty());
    smol::block_on(setup.server.stop());
    let reply = request.join().expect("thread");
    assert_eq!((reply.summary().as_str(), reply.body.len()), ("200 answered", 900_000));
}
