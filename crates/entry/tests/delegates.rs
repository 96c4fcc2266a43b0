//! The delegates of a data centre: they read and forward the VM list and write the status object.

mod fake;

use std::time::Duration;

use fake::{Cluster, HEADERS, POLICY, Target, call, metric_sum, wait_until};
use serde_json::json;
use test_case::test_case;

const ENTRIES: [(&str, &str); 4] = [
    ("zurich-1-a", "zurich-1"),
    ("zurich-1-b", "zurich-1"),
    ("zurich-1-c", "zurich-1"),
    ("zurich-1-d", "zurich-1"),
];

/// Guards against store load that grows with the number of entries: only two delegates read the
/// list, once a second each.
#[test]
fn list_reads() {
    let cluster = Cluster::new("list-reads", &ENTRIES, &[], "");
    // Each process reads the list itself until it knows the other entries.
    std::thread::sleep(Duration::from_secs(2));
    let before = cluster.store.vm_reads();
    std::thread::sleep(Duration::from_secs(4));
    let reads = cluster.store.vm_reads() - before;
    assert!((4..=10).contains(&reads), "{reads} reads of the VM list in 4 s");
}

/// A change of the list reaches every entry, delegate or not.
#[test]
fn forwarded_list() {
    let target = Target::echo("rounds-zurich-1-01");
    let cluster = Cluster::new("forwarded-list", &ENTRIES, &[&target], "");
    std::thread::sleep(Duration::from_secs(2));
    let vms = |index| metric_sum(cluster.admin(index), "vms");
    wait_until("list of 5 VMs at each entry", || (0..4).all(|index| vms(index) == 5.0));
    cluster.store.set_vms(vec![target.vm("live")]);
    wait_until("list of 1 VM at each entry", || (0..4).all(|index| vms(index) == 1.0));
}

/// The status object counts the entries by policy version.
#[test]
fn version_counts() {
    let cluster = Cluster::new("version-counts", &ENTRIES, &[], "");
    let status = || cluster.store.object("status/zurich-1").map(|(_, value)| value);
    wait_until("status with 4 entries at version 7", || {
        status().is_some_and(|value| value["versions"] == json!({"7": 4}))
    });
}

/// The list still reaches every entry after delegates have stopped. Each case stops two of the four
/// entries: one case stops both delegates, or each case stops one.
#[test_case(true; "first half")]
#[test_case(false; "second half")]
fn stopped_delegates(keeps_first: bool) {
    let target = Target::echo("rounds-zurich-1-01");
    let mut cluster = Cluster::new(&format!("stopped-delegates-{keeps_first}"), &ENTRIES, &[], "");
    std::thread::sleep(Duration::from_secs(2));
    let mut running = cluster.servers.split_off(2);
    if keeps_first {
        std::mem::swap(&mut running, &mut cluster.servers);
    }
    drop(std::mem::take(&mut cluster.servers));
    cluster.store.set_vms(vec![target.vm("live")]);
    let vms = |index: usize| metric_sum(running[index].admin_address(), "vms");
    wait_until("list of 1 VM at the running entries", || vms(0) == 1.0 && vms(1) == 1.0);
}

/// The status object states how many requests a drain waits for, and 0 when it is complete.
#[test]
fn drain_progress() {
    let target = Target::echo("rounds-zurich-1-01");
    let cluster = Cluster::new("drain-progress", &ENTRIES, &[&target], "");
    target.set_delay(Duration::from_secs(4));
    let address = cluster.address(0);
    let headers = format!("{HEADERS}ebonypass-deadline-ms: 9000\r\n");
    let request = std::thread::spawn(move || {
        call(address, "POST", "/v1/run/rounds/lookup", &headers, b"x").expect("reply").summary()
    });
    wait_until("request in flight at the target", || !target.runs().is_empty());
    let drain = "\n[[drain]]\ntarget = \"rounds-zurich-1-01\"\n\
                 from = 2020-01-01T00:00:00Z\nuntil = 2099-01-01T00:00:00Z\n";
    cluster.store.set_policy(8, &format!("{POLICY}{drain}"));
    let status =
        || cluster.store.object("status/zurich-1").map(|(_, value)| value["draining"].clone());
    let drain_with =
        |in_flight: u32| json!([{"subject": "rounds-zurich-1-01", "in_flight": in_flight}]);
    wait_until("drain with 1 request in flight", || status() == Some(drain_with(1)));
    assert_eq!(request.join().expect("thread"), "200 answered");
    wait_until("complete drain", || status() == Some(drain_with(0)));
}
