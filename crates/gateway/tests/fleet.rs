//! Several gateways, and graceful stops. Guards against lookups that return dead or leaving
//! machines, requests cut off by a stop, and machines that get no updates while the store refuses
//! their calls.

mod fake;

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use fake::{
    Behaviour, Gateway, Message, ROUTES, Store, Target, config, request, send_request,
    start_gateway, store, wait_until,
};

const NORMAL: Behaviour = Behaviour::Normal(Duration::ZERO);

#[test]
fn a_killed_machine_leaves_the_directory() {
    let store = Store::new();
    store.put("config", "main", config(2, &ROUTES));
    let first = Gateway::start_as(&store, "vm-1");
    let second = Gateway::start_as(&store, "vm-2");
    wait_until("lookups return both machines", || {
        first.addresses().len() == 2 && second.addresses().len() == 2
    });
    drop(second);
    let start = Instant::now();
    wait_until("lookups return one machine", || first.addresses().len() == 1);
    assert!(start.elapsed() < Duration::from_secs(6), "took {:?}", start.elapsed());
}

#[test]
fn a_leaving_machine_leaves_the_directory_at_once() {
    let store = Store::new();
    store.put("config", "main", config(2, &ROUTES));
    let first = Gateway::start_as(&store, "vm-1");
    let second = Gateway::start_as(&store, "vm-2");
    wait_until("lookups return both machines", || {
        first.addresses().len() == 2 && second.addresses().len() == 2
    });
    second.signal("-TERM");
    let start = Instant::now();
    wait_until("lookups return one machine", || first.addresses().len() == 1 && !second.is_ready());
    assert!(start.elapsed() < Duration::from_secs(1), "took {:?}", start.elapsed());
}

#[test]
fn a_stop_finishes_requests_in_flight() {
    let target = Target::new("t-1", Behaviour::Normal(Duration::from_millis(1_500)));
    let (_store, mut gateway) = start_gateway(&[&target]);
    let mut caller = TcpStream::connect(gateway.callers).unwrap();
    caller.write_all(&request("POST", "/once/a", "id-1", "x")).unwrap();
    wait_until("the request runs", || target.count() == 1);
    gateway.signal("-TERM");
    let reply = Message::read(&mut BufReader::new(caller)).unwrap();
    assert_eq!(reply.status(), 200);
    assert_eq!(reply.header("connection"), Some("close"));
    let start = Instant::now();
    assert!(gateway.child.wait().unwrap().success());
    assert!(start.elapsed() < Duration::from_secs(6));
}

/// Guards against requests that are dropped without a reply at the end of the grace period: one that
/// a target still runs, and one whose body has not arrived.
#[test]
fn a_stop_answers_requests_that_it_cannot_finish() {
    let target = Target::new("t-1", Behaviour::Normal(Duration::from_secs(20)));
    let (store, gateway) = start_gateway(&[&target]);
    let mut long_timeout = config(3, &ROUTES);
    for row in 0..ROUTES.len() {
        long_timeout["spec"]["routes"]["rows"][row][4] = 20_000.into();
    }
    store.put("config", "main", long_timeout);
    wait_until("the configuration is active", || {
        gateway.log.lock().unwrap().iter().any(|line| line["version"] == 3)
    });
    let send = |bytes: Vec<u8>| {
        let text = String::from_utf8(bytes).unwrap().replace("-Ms: 3000", "-Ms: 20000");
        let mut caller = TcpStream::connect(gateway.callers).unwrap();
        caller.write_all(text.as_bytes()).unwrap();
        BufReader::new(caller)
    };
    let mut running = send(request("POST", "/once/a", "id-1", "x"));
    let mut incomplete = request("POST", "/once/a", "id-2", "a body of 20 bytes..");
    incomplete.truncate(incomplete.len() - 5);
    let mut incomplete = send(incomplete);
    wait_until("the request runs", || target.count() == 1);
    gateway.signal("-TERM");
    let reply = Message::read(&mut running).expect("a reply to the running request");
    assert_eq!(reply.status(), 504, "it may have run");
    let reply = Message::read(&mut incomplete).expect("a reply to the incomplete request");
    assert_eq!(reply.status(), 503, "it did not run");
    assert_eq!(target.count(), 1);
}

/// A request whose body ends late in the grace period must not be passed on: it would be cut at the
/// end of the period while a target runs it.
#[test]
fn a_late_body_during_a_stop() {
    let target = Target::new("t-1", Behaviour::Normal(Duration::from_secs(5)));
    let (_store, gateway) = start_gateway(&[&target]);
    let bytes = request("POST", "/once/a", "id-1", "a body of 20 bytes..");
    let bytes = String::from_utf8(bytes).unwrap().replace("-Ms: 3000", "-Ms: 20000");
    let (start, rest) = bytes.split_at(bytes.len() - 5);
    let mut caller = TcpStream::connect(gateway.callers).unwrap();
    gateway.signal("-TERM");
    std::thread::sleep(Duration::from_millis(1_500));
    caller.write_all(start.as_bytes()).unwrap();
    // New requests are refused from 2.5 s after the signal, and the route's timeout is 2 s.
    std::thread::sleep(Duration::from_millis(1_300));
    caller.write_all(rest.as_bytes()).unwrap();
    let reply = Message::read(&mut BufReader::new(caller)).expect("a reply");
    assert_eq!((reply.status(), target.count()), (503, 0));
}

#[test]
fn a_stopping_machine_still_serves_new_requests() {
    let target = Target::new("t-1", NORMAL);
    let (_store, gateway) = start_gateway(&[&target]);
    gateway.signal("-TERM");
    std::thread::sleep(Duration::from_millis(300));
    let reply = send_request(gateway.callers, &request("GET", "/safe/a", "id-1", "")).unwrap();
    assert_eq!(reply.status(), 200);
}

#[test]
fn sighup_is_logged_and_changes_nothing() {
    let target = Target::new("t-1", NORMAL);
    let (_store, gateway) = start_gateway(&[&target]);
    gateway.signal("-HUP");
    wait_until("the signal is logged", || {
        gateway.log.lock().unwrap().iter().any(|line| line["event"] == 106)
    });
    let reply = send_request(gateway.callers, &request("GET", "/safe/a", "id-1", "")).unwrap();
    assert_eq!(reply.status(), 200);
}

#[test]
fn a_machine_refused_by_the_store_syncs_from_a_peer() {
    let target = Target::new("t-1", NORMAL);
    let store = Store::new();
    store.put("config", "main", config(2, &ROUTES));
    store.put("servers", "t-1", target.entry("s", "ready"));
    // A store that refuses every call stands in for one that refuses only this machine.
    let refusing_store = Store::new();
    refusing_store.set_mode(store::Mode::ErrorStatus(503));
    let first = Gateway::start_as(&store, "vm-1");
    first.wait_ready();
    let second = Gateway::start_with_seeds(&refusing_store, "vm-2", &[&first]);
    second.wait_ready();
    let serves = |path: &str| {
        send_request(second.callers, &request("GET", path, "id", ""))
            .is_some_and(|r| r.status() == 200)
    };
    wait_until("the gateway serves requests", || serves("/safe/a"));
    store.put("config", "main", config(3, &[("/new/", "safe", "s")]));
    let start = Instant::now();
    wait_until("the new configuration is active", || serves("/new/"));
    assert!(start.elapsed() < Duration::from_millis(2_500), "took {:?}", start.elapsed());
}

/// A machine that is cut off from the store does not know which targets have left meanwhile. A process
/// that starts must not use them again on its word.
#[test]
fn an_old_copy_is_not_passed_on() {
    let (gone, present) = (Target::new("t-1", NORMAL), Target::new("t-2", NORMAL));
    let store = Store::new();
    store.put("config", "main", config(2, &ROUTES));
    for target in [&gone, &present] {
        store.put("servers", &target.id, target.entry("s", "ready"));
    }
    let old = Gateway::start_as(&store, "vm-1");
    old.wait_ready();
    store.set_mode(store::Mode::Silent);
    std::thread::sleep(Duration::from_millis(2_500));
    let new = Gateway::start_with_seeds(&store, "vm-2", &[&old]);
    std::thread::sleep(Duration::from_millis(2_500));
    assert!(!new.is_ready(), "an old copy was taken for current");
    store.remove("servers", "t-1");
    store.set_mode(store::Mode::Normal);
    new.wait_ready();
    for index in 0..20 {
        let text =
            String::from_utf8(request("GET", "/safe/a", &format!("id-{index}"), "")).unwrap();
        let text = text.replace("Key=7", &format!("Key={index}"));
        assert_eq!(send_request(new.callers, text.as_bytes()).unwrap().status(), 200);
    }
    assert_eq!(gone.count(), 0, "a target that has left was used");
}

/// Calls to the store are priced and rate limited, so when all machines of a region start together,
/// one must read it and the others sync from that one.
#[test]
fn one_machine_reads_the_store_at_a_first_start() {
    let target = Target::new("t-1", NORMAL);
    let store = Store::new();
    store.put("config", "main", config(2, &ROUTES));
    store.put("servers", "t-1", target.entry("s", "ready"));
    let gateways = Gateway::start_all(&store, 6);
    gateways.iter().for_each(Gateway::wait_ready);
    let list_calls = store.reads("servers", false);
    assert!(
        list_calls <= 1,
        "{} machines made {list_calls} list calls for targets",
        gateways.len()
    );
    let registered = store.names("machines");
    assert!(registered.len() <= 1, "{registered:?} are in the list of machines");
    for gateway in &gateways {
        let is_served = || {
            let reply = send_request(gateway.callers, &request("GET", "/safe/a", "id", ""));
            reply.is_some_and(|reply| reply.status() == 200)
        };
        wait_until("the gateway serves requests", is_served);
        wait_until("lookups return all machines", || gateway.addresses().len() == 6);
    }
}

/// Refused calls are priced too: in an outage of 8 s, 72 machines that each retried within 0.4 s
/// made over 4,000 calls. Updates must still arrive in time after the outage.
#[test]
fn a_store_outage_costs_few_calls() {
    let store = Store::new();
    store.put("config", "main", config(2, &ROUTES));
    let gateways = Gateway::start_all(&store, 6);
    gateways.iter().for_each(Gateway::wait_ready);
    std::thread::sleep(Duration::from_secs(1));
    store.set_mode(store::Mode::ErrorStatus(503));
    let before = store.calls();
    std::thread::sleep(Duration::from_secs(4));
    let calls = store.calls() - before;
    assert!(calls <= 100, "{calls} store calls in 4 s of outage");
    store.set_mode(store::Mode::Normal);
    store.put("config", "main", config(3, &[("/new/", "safe", "s")]));
    let start = Instant::now();
    let knows_new_route = |gateway: &Gateway| {
        let reply = send_request(gateway.callers, &request("GET", "/new/", "id", ""));
        reply.is_some_and(|reply| reply.status() == 503)
    };
    wait_until("the new configuration is active everywhere", || {
        gateways.iter().all(knows_new_route)
    });
    assert!(start.elapsed() < Duration::from_millis(2_500), "took {:?}", start.elapsed());
}
