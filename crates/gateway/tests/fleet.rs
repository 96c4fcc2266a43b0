//! Several gateways, and stops. They guard against dead or leaving machines in the directory, requests
//! that a stop cuts off, and machines that learn nothing while the store turns them away.

mod fake;

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use fake::{
    Behaviour, Gateway, Message, ROUTES, Store, StoreMode, Target, config, request, send_request,
    start_gateway, wait_until,
};

const NORMAL: Behaviour = Behaviour::Normal(Duration::ZERO);

#[test]
fn a_killed_machine_leaves_the_directory() {
    let store = Store::new();
    store.put("config", "main", config(2, &ROUTES));
    let first = Gateway::start_as(&store, "vm-1");
    let second = Gateway::start_as(&store, "vm-2");
    wait_until("both are named", || first.addresses().len() == 2 && second.addresses().len() == 2);
    drop(second);
    let start = Instant::now();
    wait_until("one is named", || first.addresses().len() == 1);
    assert!(start.elapsed() < Duration::from_secs(6), "after {:?}", start.elapsed());
}

#[test]
fn a_leaving_machine_leaves_the_directory_at_once() {
    let store = Store::new();
    store.put("config", "main", config(2, &ROUTES));
    let first = Gateway::start_as(&store, "vm-1");
    let second = Gateway::start_as(&store, "vm-2");
    wait_until("both are named", || first.addresses().len() == 2 && second.addresses().len() == 2);
    second.signal("-TERM");
    let start = Instant::now();
    wait_until("one is named", || first.addresses().len() == 1 && !second.is_ready());
    assert!(start.elapsed() < Duration::from_secs(1), "after {:?}", start.elapsed());
}

#[test]
fn a_stop_answers_what_is_in_hand() {
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

#[test]
fn a_stopping_machine_serves_those_who_still_come() {
    let target = Target::new("t-1", NORMAL);
    let (_store, gateway) = start_gateway(&[&target]);
    gateway.signal("-TERM");
    std::thread::sleep(Duration::from_millis(300));
    let reply = send_request(gateway.callers, &request("GET", "/safe/a", "id-1", "")).unwrap();
    assert_eq!(reply.status(), 200);
}

#[test]
fn a_hangup_changes_nothing() {
    let target = Target::new("t-1", NORMAL);
    let (_store, gateway) = start_gateway(&[&target]);
    gateway.signal("-HUP");
    wait_until("it is logged", || {
        gateway.log.lock().unwrap().iter().any(|line| line["event"] == 106)
    });
    let reply = send_request(gateway.callers, &request("GET", "/safe/a", "id-1", "")).unwrap();
    assert_eq!(reply.status(), 200);
}

#[test]
fn a_machine_that_the_store_turns_away_learns_from_a_peer() {
    let target = Target::new("t-1", NORMAL);
    let store = Store::new();
    store.put("config", "main", config(2, &ROUTES));
    store.put("servers", "t-1", target.entry("s", "ready"));
    // A store that answers nobody stands for one that turns this machine away.
    let closed = Store::new();
    closed.set_mode(StoreMode::ErrorStatus(503));
    let first = Gateway::start_as(&store, "vm-1");
    first.wait_ready();
    let second = Gateway::start_with_seeds(&closed, "vm-2", &[&first]);
    second.wait_ready();
    let serves = |path: &str| {
        send_request(second.callers, &request("GET", path, "id", ""))
            .is_some_and(|r| r.status() == 200)
    };
    wait_until("it serves", || serves("/safe/a"));
    store.put("config", "main", config(3, &[("/new/", "safe", "s")]));
    let start = Instant::now();
    wait_until("the new configuration is in force", || serves("/new/"));
    assert!(start.elapsed() < Duration::from_millis(2_500), "after {:?}", start.elapsed());
}

/// Each call to the store is priced and counts against its rate: when all machines of a region start
/// together, one of them reads it and the others learn from that one.
#[test]
fn one_machine_of_a_first_start_reads_the_store() {
    let target = Target::new("t-1", NORMAL);
    let store = Store::new();
    store.put("config", "main", config(2, &ROUTES));
    store.put("servers", "t-1", target.entry("s", "ready"));
    let gateways = Gateway::start_all(&store, 6);
    gateways.iter().for_each(Gateway::wait_ready);
    let lists = store.reads("servers", false);
    assert!(lists <= 1, "{lists} lists of targets by {} machines", gateways.len());
    let entered = store.names("machines");
    assert!(entered.len() <= 1, "{entered:?} stand in the list of machines");
    for gateway in &gateways {
        let is_served = || {
            let reply = send_request(gateway.callers, &request("GET", "/safe/a", "id", ""));
            reply.is_some_and(|reply| reply.status() == 200)
        };
        wait_until("it serves", is_served);
        wait_until("it names all", || gateway.addresses().len() == 6);
    }
}

/// Calls that the store refuses are priced too: in an outage of 8 s, 72 machines that each asked again
/// within 0.4 s made over 4,000 calls. What the machines learn must still be in time after it.
#[test]
fn an_outage_costs_few_calls() {
    let store = Store::new();
    store.put("config", "main", config(2, &ROUTES));
    let gateways = Gateway::start_all(&store, 6);
    gateways.iter().for_each(Gateway::wait_ready);
    std::thread::sleep(Duration::from_secs(1));
    store.set_mode(StoreMode::ErrorStatus(503));
    let before = store.calls();
    std::thread::sleep(Duration::from_secs(4));
    let calls = store.calls() - before;
    assert!(calls <= 100, "{calls} calls in 4 s");
    store.set_mode(StoreMode::Normal);
    store.put("config", "main", config(3, &[("/new/", "safe", "s")]));
    let start = Instant::now();
    let is_known = |gateway: &Gateway| {
        let reply = send_request(gateway.callers, &request("GET", "/new/", "id", ""));
        reply.is_some_and(|reply| reply.status() == 503)
    };
    wait_until("all know the new configuration", || gateways.iter().all(is_known));
    assert!(start.elapsed() < Duration::from_millis(2_500), "after {:?}", start.elapsed());
}
