//! Targets and entries that leave.

mod fake;

use std::net::TcpStream;
use std::time::{Duration, Instant};

use fake::{HEADERS, Mesh, POLICY, Target, World, call, call_on, lookup, run, wait_until};
use test_case::test_case;

/// The ways in which a target is known to leave.
#[derive(Debug, Clone, Copy)]
enum Way {
    VmList,
    OwnFlag,
    Drain,
    CentreDrain,
    Unlisted,
}

/// A leaving target gets no new work within 5 s (P6), and its work in flight ends normally.
#[test_case(Way::VmList; "VM list")]
#[test_case(Way::OwnFlag; "own flag")]
#[test_case(Way::Drain; "drain")]
#[test_case(Way::CentreDrain; "drain of the data centre")]
#[test_case(Way::Unlisted; "no longer listed")]
fn leaving_target(way: Way) {
    let leaving = Target::echo("rounds-zurich-1-01");
    let other = Target::echo("rounds-zurich-2-01");
    let world = World::new("leaving", &[&leaving, &other], "");
    let address = world.address();
    leaving.set_delay(Duration::from_millis(400));
    other.set_delay(Duration::from_millis(400));
    let headers = format!("{HEADERS}ebonypass-deadline-ms: 10000\r\n");
    // Enough requests for both targets, so that some are in flight on the leaving one.
    let in_flight: Vec<_> = (0..6)
        .map(|_| {
            let headers = headers.clone();
            std::thread::spawn(move || {
                let got = call(address, "POST", "/v1/run/rounds/lookup", &headers, b"x");
                got.map(|got| got.summary())
            })
        })
        .collect();
    wait_until("work in flight", || !leaving.runs().is_empty());
    let drain = |subject: &str| {
        let drain = format!(
            "\n[[drain]]\n{subject}\nfrom = 2020-01-01T00:00:00Z\nuntil = 2090-01-01T00:00:00Z\n"
        );
        world.store.set_policy(8, &format!("{POLICY}{drain}"));
    };
    match way {
        Way::VmList => world.store.set_vms(vec![leaving.vm("leaving"), other.vm("live")]),
        Way::OwnFlag => leaving.set_leaving(),
        Way::Drain => drain("target = \"rounds-zurich-1-01\""),
        Way::CentreDrain => drain("data_centre = \"zurich-1\""),
        Way::Unlisted => world.store.set_vms(vec![other.vm("live")]),
    }
    for request in in_flight {
        assert_eq!(request.join().expect("thread").as_deref(), Some("200 answered"));
    }
    other.set_delay(Duration::ZERO);
    leaving.set_delay(Duration::ZERO);
    let start = Instant::now();
    let mut last = Instant::now();
    let mut seen = leaving.runs().len();
    while start.elapsed() < Duration::from_secs(4) {
        assert_eq!(run(address, b"x").summary(), "200 answered");
        let runs = leaving.runs().len();
        if runs > seen {
            (seen, last) = (runs, Instant::now());
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    let quiet_after = last.duration_since(start);
    assert!(quiet_after < Duration::from_secs(2), "work after {quiet_after:?}");
}

/// A drain that has not begun, or is over, changes nothing.
#[test_case("2020-01-01T00:00:00Z", "2020-01-02T00:00:00Z"; "over")]
#[test_case("2090-01-01T00:00:00Z", "2090-01-02T00:00:00Z"; "not begun")]
fn other_drain(from: &str, until: &str) {
    let target = Target::echo("rounds-zurich-1-01");
    let world = World::new("other-drain", &[&target], "");
    let drain =
        format!("\n[[drain]]\ntarget = \"rounds-zurich-1-01\"\nfrom = {from}\nuntil = {until}\n");
    world.store.set_policy(8, &format!("{POLICY}{drain}"));
    wait_until("version 8", || lookup(world.address()).json()["version"] == 8);
    assert_eq!(run(world.address(), b"x").summary(), "200 answered");
}

/// A planned stop cuts nothing (P7): requests in flight end, queued ones too, look-ups of other
/// entries stop naming the leaving one, and callers are told to close their connections.
#[test]
fn graceful_stop() {
    let places = [("zurich-1-a", "zurich-1"), ("zurich-2-a", "zurich-2")];
    let target = Target::echo("rounds-zurich-1-01");
    let mut mesh = Mesh::new("graceful", &places, &[&target], "[limits]\nleave_ms = 1500\n");
    let (owner, other) = mesh.owner();
    let (address, other_address) = (mesh.address(owner), mesh.address(other));
    target.set_delay(Duration::from_millis(300));
    // Three run at once, the others wait in the queue of the entry that stops.
    let headers = format!("{HEADERS}ebonypass-deadline-ms: 10000\r\n");
    let requests: Vec<_> = (0..9)
        .map(|_| {
            let headers = headers.clone();
            std::thread::spawn(move || {
                call(address, "POST", "/v1/run/rounds/lookup", &headers, b"x")
                    .map(|got| got.summary())
            })
        })
        .collect();
    wait_until("work in flight", || target.runs().len() == 3);
    let mut kept = TcpStream::connect(address).expect("connect");
    let stopping = mesh.servers.remove(owner);
    let stop = std::thread::spawn(move || smol::block_on(stopping.stop()));
    wait_until("look-up", || {
        let answer = lookup(other_address).json();
        let entries = answer["entries"].as_array().expect("entries");
        entries.iter().all(|entry| entry["address"] != address.to_string())
    });
    // A caller with a cached look-up is still served while the entry is leaving.
    let got = call_on(&mut kept, "POST", "/v1/run/rounds/lookup", &headers, b"x").expect("reply");
    assert_eq!(got.summary(), "200 answered");
    assert_eq!(got.header("connection"), "close");
    for request in requests {
        assert_eq!(request.join().expect("thread").as_deref(), Some("200 answered"));
    }
    stop.join().expect("stopped");
    assert!(TcpStream::connect(address).is_err());
    assert_eq!(run(other_address, b"x").summary(), "200 answered");
}

/// A stop waits for a long reply that is still on its way to a slow caller.
#[test]
fn stop_during_reply() {
    let target = Target::echo("rounds-zurich-1-01");
    target.set_delay(Duration::from_millis(900));
    let world = World::new("stop-reply", &[&target], "[limits]\nleave_ms = 0\n");
    let address = world.address();
    let request = std::thread::spawn(move || run(address, &vec![b'x'; 900_000]));
    wait_until("work in flight", || !target.runs().is_empty());
    smol::block_on(world.server.stop());
    let got = request.join().expect("thread");
    assert_eq!((got.summary().as_str(), got.body.len()), ("200 answered", 900_000));
}
