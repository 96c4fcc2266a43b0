//! Two entries of each data centre read the VM list for all and write its status.

mod fake;

use std::time::Duration;

use fake::{Cluster, HEADERS, POLICY, Target, call, metric_sum, wait_until};
use serde_json::json;
use test_case::test_case;

const FOUR: [(&str, &str); 4] = [
    ("zurich-1-a", "zurich-1"),
    ("zurich-1-b", "zurich-1"),
    ("zurich-1-c", "zurich-1"),
    ("zurich-1-d", "zurich-1"),
];

/// Guards against a load of the store that grows with the entries of a data centre: two delegates
/// read the list once a second each.
#[test]
fn few_readers() {
    let mesh = Cluster::new("few-readers", &FOUR, &[], "");
    // Each process reads the list itself until it knows the others.
    std::thread::sleep(Duration::from_secs(2));
    let before = mesh.store.vm_reads();
    std::thread::sleep(Duration::from_secs(4));
    let reads = mesh.store.vm_reads() - before;
    assert!((4..=10).contains(&reads), "{reads} reads in 4 s");
}

/// A change of the list reaches every entry within seconds, whoever reads it.
#[test]
fn passed_on() {
    let target = Target::echo("rounds-zurich-1-01");
    let mesh = Cluster::new("passed-on", &FOUR, &[&target], "");
    std::thread::sleep(Duration::from_secs(2));
    let vms = |index| metric_sum(mesh.admin(index), "vms");
    wait_until("whole list", || (0..4).all(|index| vms(index) == 5.0));
    mesh.store.set_vms(vec![target.vm("live")]);
    wait_until("short list", || (0..4).all(|index| vms(index) == 1.0));
}

/// Operators see how many entries have which version.
#[test]
fn written_status() {
    let mesh = Cluster::new("written-status", &FOUR, &[], "");
    let status = || mesh.store.object("status/zurich-1").map(|(_, value)| value);
    wait_until("status", || status().is_some_and(|value| value["versions"] == json!({"7": 4})));
}

/// The list still reaches everybody when delegates have died. One of the two cases ends both of
/// them, or each case ends one.
#[test_case(true; "first half")]
#[test_case(false; "second half")]
fn dead_delegates(keeps_first: bool) {
    let target = Target::echo("rounds-zurich-1-01");
    let mut mesh = Cluster::new(&format!("dead-delegates-{keeps_first}"), &FOUR, &[], "");
    std::thread::sleep(Duration::from_secs(2));
    let mut rest = mesh.servers.split_off(2);
    if keeps_first {
        std::mem::swap(&mut rest, &mut mesh.servers);
    }
    drop(std::mem::take(&mut mesh.servers));
    mesh.store.set_vms(vec![target.vm("live")]);
    let vms = |index: usize| metric_sum(rest[index].admin_address(), "vms");
    wait_until("new list", || vms(0) == 1.0 && vms(1) == 1.0);
}

/// Operators see for how many requests a drain waits, and that it is done.
#[test]
fn waiting_drain() {
    let target = Target::echo("rounds-zurich-1-01");
    let mesh = Cluster::new("waiting-drain", &FOUR, &[&target], "");
    target.set_delay(Duration::from_secs(4));
    let address = mesh.address(0);
    let headers = format!("{HEADERS}ebonypass-deadline-ms: 9000\r\n");
    let request = std::thread::spawn(move || {
        call(address, "POST", "/v1/run/rounds/lookup", &headers, b"x").expect("reply").summary()
    });
    wait_until("work in flight", || !target.runs().is_empty());
    let drain = "\n[[drain]]\ntarget = \"rounds-zurich-1-01\"\n\
                 from = 2020-01-01T00:00:00Z\nuntil = 2099-01-01T00:00:00Z\n";
    mesh.store.set_policy(8, &format!("{POLICY}{drain}"));
    let status =
        || mesh.store.object("status/zurich-1").map(|(_, value)| value["draining"].clone());
    let waits = |in_flight: u32| json!([{"subject": "rounds-zurich-1-01", "in_flight": in_flight}]);
    wait_until("waiting drain", || status() == Some(waits(1)));
    assert_eq!(request.join().expect("thread"), "200 answered");
    wait_until("finished drain", || status() == Some(waits(0)));
}
