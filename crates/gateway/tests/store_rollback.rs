//! A store that is restored from an older snapshot, with its era one higher. Guards against requests
//! to targets that have left, against targets that are lost with the store's entries, and against
//! machines that take what the store has lost for its present state.

mod fake;
#[allow(dead_code, reason = "the soak uses more of it")]
#[path = "soak/proxy.rs"]
mod proxy;

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use fake::{
    Behaviour, Gateway, ROUTES, Store, Target, config, request, send_request, store, wait_until,
};
use proxy::Proxy;
use serde_json::{Value, json};
use test_case::test_case;

const NORMAL: Behaviour = Behaviour::Normal(Duration::ZERO);
const NO_FAILURES: [u16; 0] = [];
const METRICS_PORT: u16 = 7621;
/// Time for which what was known before a restore stays in force.
const HOLD: Duration = Duration::from_secs(5);
/// Numbers of log events.
const POLICY_APPLIED: u64 = 200;
const TARGET_REMOVED: u64 = 502;
const ERA_RAISED: u64 = 220;
const REPLY_OUTDATED: u64 = 221;
const STORE_REPLACED: u64 = 222;
const HOLD_STARTED: u64 = 223;
const HOLD_ENDED: u64 = 224;

fn new_store() -> Store {
    let store = Store::new();
    store.set_era(1);
    store.put("config", "main", config(2, &ROUTES));
    store
}

/// Writes the check-in `sequence` of a target.
fn check_in(store: &Store, target: &Target, sequence: u64, state: &str) {
    let mut entry = target.entry("s", state);
    entry["status"]["sequence"] = sequence.into();
    store.put("servers", &target.id, entry);
}

fn lines(gateway: &Gateway, event: u64) -> Vec<Value> {
    let log = gateway.log.lock().unwrap();
    log.iter().filter(|line| line["event"] == event).cloned().collect()
}

fn wait_for(gateway: &Gateway, event: u64) {
    wait_until(&format!("event {event} is logged"), || !lines(gateway, event).is_empty());
}

/// Waits until the list of a kind was read in an era.
fn wait_for_list(gateway: &Gateway, kind: &str, era: u64) {
    let is_list = |line: &Value| line["kind"] == kind && line["era"] == era;
    wait_until("the list of the new era is read", || {
        lines(gateway, HOLD_STARTED).iter().any(is_list)
    });
}

fn knows_targets(gateway: &Gateway, count: usize) {
    wait_until("the targets are known", || metric(gateway, "ebonypass_targets") == count as i64);
}

/// The value of a metric without labels.
fn metric(gateway: &Gateway, name: &str) -> i64 {
    let address = SocketAddr::new(gateway.callers.ip(), METRICS_PORT);
    let text = "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    let Some(reply) = send_request(address, text.as_bytes()) else { return -1 };
    let text = String::from_utf8(reply.body).unwrap();
    let value = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    value.map_or(-1, |value| value.parse().unwrap())
}

fn status(gateway: &Gateway, path: &str) -> u16 {
    send_request(gateway.callers, &request("GET", path, "id", "")).map_or(0, |reply| reply.status())
}

/// Sends requests for several objects and returns the statuses that were not 200.
fn send_many(gateway: &Gateway) -> Vec<u16> {
    let statuses = (0..12).map(|key| {
        let text = String::from_utf8(request("GET", "/safe/a", "id", "")).unwrap();
        let text = text.replace("Key=7", &format!("Key={key}"));
        send_request(gateway.callers, text.as_bytes()).map_or(0, |reply| reply.status())
    });
    statuses.filter(|status| *status != 200).collect()
}

/// Data loss is no removal: a target that the store has forgotten is used until it has had time to
/// check in again.
#[test_case(true; "it checks in again")]
#[test_case(false; "it is gone")]
fn forgotten_target(is_alive: bool) {
    let target = Target::new("t-1", NORMAL);
    let store = new_store();
    let snapshot = store.snapshot();
    check_in(&store, &target, 1, "ready");
    let gateway = Gateway::start(&store);
    knows_targets(&gateway, 1);
    thread::sleep(Duration::from_millis(2_200));
    store.restore(&snapshot);
    wait_for_list(&gateway, "target", 2);
    let start = Instant::now();
    while start.elapsed() < Duration::from_millis(4_500) {
        assert_eq!(status(&gateway, "/safe/a"), 200, "after {:?}", start.elapsed());
        thread::sleep(Duration::from_millis(100));
    }
    if is_alive {
        assert_eq!(metric(&gateway, "ebonypass_held_targets"), 1);
        check_in(&store, &target, 2, "ready");
        thread::sleep(Duration::from_millis(3_000));
        assert_eq!(status(&gateway, "/safe/a"), 200);
        assert_eq!(lines(&gateway, TARGET_REMOVED).len(), 0);
    } else {
        wait_until("the target is removed", || status(&gateway, "/safe/a") == 503);
        assert!(start.elapsed() >= HOLD - Duration::from_millis(300), "{:?}", start.elapsed());
    }
    assert_eq!(metric(&gateway, "ebonypass_store_era"), 2);
    assert_eq!(metric(&gateway, "ebonypass_store_era_changes_total"), 1);
}

/// An old entry shows a target as ready that is known to have left.
#[test_case("removed"; "removed")]
#[test_case("draining"; "leaving")]
fn departed_target(how: &str) {
    let (departed, other) = (Target::new("t-1", NORMAL), Target::new("t-2", NORMAL));
    let store = new_store();
    check_in(&store, &departed, 1, "ready");
    check_in(&store, &other, 1, "ready");
    let gateway = Gateway::start(&store);
    knows_targets(&gateway, 2);
    thread::sleep(Duration::from_millis(2_200));
    let snapshot = store.snapshot();
    if how == "removed" {
        store.remove("servers", "t-1");
        wait_for(&gateway, TARGET_REMOVED);
    } else {
        check_in(&store, &departed, 2, "draining");
        wait_for(&gateway, 501);
    }
    let before = departed.count();
    store.restore(&snapshot);
    wait_for_list(&gateway, "target", 2);
    let start = Instant::now();
    while start.elapsed() < HOLD + Duration::from_secs(1) {
        assert_eq!(send_many(&gateway), NO_FAILURES);
        thread::sleep(Duration::from_millis(200));
    }
    assert_eq!(departed.count(), before, "a target that has left got requests");
    // Its next start is used.
    departed.lifetime.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
    check_in(&store, &departed, 1, "ready");
    wait_until("the target is used again", || {
        assert_eq!(send_many(&gateway), NO_FAILURES);
        departed.count() > before
    });
}

/// A removal that the restored store acknowledges takes effect at once, also within the hold.
#[test]
fn removal_within_hold() {
    let target = Target::new("t-1", NORMAL);
    let store = new_store();
    check_in(&store, &target, 1, "ready");
    let gateway = Gateway::start(&store);
    knows_targets(&gateway, 1);
    let snapshot = store.snapshot();
    thread::sleep(Duration::from_millis(2_200));
    store.restore(&snapshot);
    wait_for_list(&gateway, "target", 2);
    thread::sleep(Duration::from_millis(2_200));
    store.remove("servers", "t-1");
    let start = Instant::now();
    wait_until("the target is removed", || status(&gateway, "/safe/a") == 503);
    assert!(start.elapsed() < Duration::from_secs(1), "took {:?}", start.elapsed());
}

#[test_case(true; "written again")]
#[test_case(false; "not written again")]
fn forgotten_evacuation(is_written_again: bool) {
    let target = Target::new("t-1", NORMAL);
    let store = new_store();
    check_in(&store, &target, 1, "ready");
    let snapshot = store.snapshot();
    let gateway = Gateway::start(&store);
    knows_targets(&gateway, 1);
    store.put("evacuations", "zrh-a", json!({ "spec": {} }));
    wait_until("the evacuation is in force", || status(&gateway, "/safe/a") == 503);
    let before = target.count();
    store.restore(&snapshot);
    wait_for_list(&gateway, "evacuation", 2);
    let start = Instant::now();
    while start.elapsed() < Duration::from_millis(4_500) {
        assert_eq!(status(&gateway, "/safe/a"), 503, "after {:?}", start.elapsed());
        thread::sleep(Duration::from_millis(100));
    }
    if is_written_again {
        store.put("evacuations", "zrh-a", json!({ "spec": {} }));
        thread::sleep(Duration::from_millis(2_000));
        assert_eq!((status(&gateway, "/safe/a"), target.count()), (503, before));
        store.remove("evacuations", "zrh-a");
    }
    wait_until("the evacuation is over", || status(&gateway, "/safe/a") == 200);
}

#[test]
fn ended_evacuation() {
    let target = Target::new("t-1", NORMAL);
    let store = new_store();
    check_in(&store, &target, 1, "ready");
    store.put("evacuations", "zrh-a", json!({ "spec": {} }));
    let gateway = Gateway::start(&store);
    knows_targets(&gateway, 1);
    wait_until("the evacuation is in force", || {
        lines(&gateway, 206).iter().any(|line| line["data_centres"] == json!(["zrh-a"]))
    });
    let snapshot = store.snapshot();
    store.remove("evacuations", "zrh-a");
    wait_until("the evacuation is over", || status(&gateway, "/safe/a") == 200);
    store.restore(&snapshot);
    wait_for_list(&gateway, "evacuation", 2);
    let start = Instant::now();
    while start.elapsed() < Duration::from_millis(4_500) {
        assert_eq!(status(&gateway, "/safe/a"), 200, "after {:?}", start.elapsed());
        thread::sleep(Duration::from_millis(100));
    }
    wait_until("what the store lists is in force", || status(&gateway, "/safe/a") == 503);
    wait_until("the end of the hold is logged", || {
        lines(&gateway, HOLD_ENDED).iter().any(|line| line["kind"] == "evacuation")
    });
}

/// The operator's last version is lost, and written again later.
#[test]
fn forgotten_configuration() {
    let target = Target::new("t-1", NORMAL);
    let store = new_store();
    check_in(&store, &target, 1, "ready");
    let snapshot = store.snapshot();
    let gateway = Gateway::start(&store);
    knows_targets(&gateway, 1);
    store.put("config", "main", config(5, &[("/new/", "safe", "s")]));
    wait_until("version 5 is in force", || status(&gateway, "/new/") == 200);
    store.restore(&snapshot);
    wait_for(&gateway, ERA_RAISED);
    wait_for_list(&gateway, "target", 2);
    thread::sleep(Duration::from_millis(1_500));
    assert_eq!((status(&gateway, "/new/"), status(&gateway, "/safe/a")), (200, 404));
    store.put("config", "main", config(4, &ROUTES));
    thread::sleep(Duration::from_millis(500));
    assert_eq!((status(&gateway, "/new/"), status(&gateway, "/safe/a")), (200, 404));
    store.put("config", "main", config(6, &ROUTES));
    wait_until("version 6 is in force", || status(&gateway, "/safe/a") == 200);
    let versions: Vec<u64> = lines(&gateway, POLICY_APPLIED)
        .iter()
        .map(|line| line["version"].as_u64().unwrap())
        .collect();
    assert!(versions.is_sorted(), "{versions:?}");
}

/// Without its entry in the store, a machine that knows no other is not found by others.
#[test]
fn forgotten_machine() {
    let store = new_store();
    let snapshot = store.snapshot();
    let gateway = Gateway::start(&store);
    gateway.wait_ready();
    wait_until("the machine is registered", || store.names("machines") == ["vm-1"]);
    store.restore(&snapshot);
    assert!(store.names("machines").is_empty());
    wait_until("the machine is registered again", || store.names("machines") == ["vm-1"]);
}

/// A process that starts after the restore knows nothing of the time before, and one that is killed
/// meanwhile must not need it.
#[test]
fn restart_in_gap() {
    let target = Target::new("t-1", NORMAL);
    let store = new_store();
    check_in(&store, &target, 1, "ready");
    let snapshot = store.snapshot();
    let first = Gateway::start_as(&store, "vm-1");
    first.wait_ready();
    let second = Gateway::start_with_seeds(&store, "vm-2", &[&first]);
    second.wait_ready();
    store.put("config", "main", config(3, &[("/new/", "safe", "s")]));
    wait_until("version 3 is in force", || status(&second, "/new/") == 200);
    store.set_mode(store::Mode::Silent);
    drop(second);
    thread::sleep(Duration::from_millis(500));
    let second = Gateway::start_with_seeds(&store, "vm-3", &[&first]);
    thread::sleep(Duration::from_millis(500));
    store.restore(&snapshot);
    store.set_mode(store::Mode::Normal);
    check_in(&store, &target, 2, "ready");
    second.wait_ready();
    wait_until("the restarted machine serves", || {
        [status(&second, "/safe/a"), status(&second, "/new/")].contains(&200)
    });
    assert_eq!(status(&first, "/new/"), 200, "the first machine keeps version 3");
    store.put("config", "main", config(4, &ROUTES));
    wait_until("version 4 is in force everywhere", || {
        status(&first, "/safe/a") == 200 && status(&second, "/safe/a") == 200
    });
}

/// A process that starts after the restore learns from other machines what the store has forgotten:
/// that a target leaves or is gone, that a data centre is evacuated, and the configuration.
#[test_case("draining"; "a leaving target")]
#[test_case("removed"; "a removed target")]
#[test_case("evacuated"; "an evacuation")]
#[test_case("configured"; "a configuration")]
fn start_after_restore(what: &str) {
    let target = Target::new("t-1", NORMAL);
    let store = new_store();
    check_in(&store, &target, 1, "ready");
    let snapshot = store.snapshot();
    let first = Gateway::start_as(&store, "vm-1");
    knows_targets(&first, 1);
    thread::sleep(Duration::from_millis(2_200));
    match what {
        "draining" => check_in(&store, &target, 2, "draining"),
        "removed" => store.remove("servers", "t-1"),
        "evacuated" => store.put("evacuations", "zrh-a", json!({ "spec": {} })),
        _ => store.put("config", "main", config(3, &[("/new/", "safe", "s")])),
    }
    let path = if what == "configured" { "/safe/a" } else { "/safe/b" };
    wait_until("the change is in force", || [404, 503].contains(&status(&first, path)));
    let before = target.count();
    store.restore(&snapshot);
    wait_for_list(&first, "target", 2);
    wait_for_list(&first, "evacuation", 2);
    let second = Gateway::start_with_seeds(&store, "vm-2", &[&first]);
    second.wait_ready();
    // Within the hold of the first machine.
    for _ in 0..10 {
        assert_eq!(status(&second, path), status(&first, path));
        assert_ne!(status(&second, path), 200);
    }
    assert_eq!(target.count(), before, "the target got requests");
}

/// Machines that do not reach the store while it is restored follow those that do, and pass nothing
/// of the earlier era on to them.
#[test]
fn half_cut_off() {
    let (lost, old) = (Target::new("t-1", NORMAL), Target::new("t-2", NORMAL));
    let store = new_store();
    check_in(&store, &old, 1, "ready");
    let snapshot = store.snapshot();
    check_in(&store, &lost, 1, "ready");
    let proxy = Proxy::new(store.address);
    let reached = store.at(proxy.address);
    let first = Gateway::start_as(&store, "vm-1");
    first.wait_ready();
    let mut gateways = vec![Gateway::start_with_seeds(&store, "vm-2", &[&first])];
    for name in ["vm-3", "vm-4"] {
        gateways.push(Gateway::start_with_seeds(&reached, name, &[&first]));
    }
    gateways.push(first);
    gateways.iter().for_each(|gateway| knows_targets(gateway, 2));
    proxy.set(proxy::Mode::Silent);
    thread::sleep(Duration::from_millis(500));
    store.remove("servers", "t-2");
    thread::sleep(Duration::from_millis(2_500));
    let before = old.count();
    store.restore(&snapshot);
    gateways.iter().for_each(|gateway| wait_for_list(gateway, "target", 2));
    store.put("config", "main", config(3, &[("/safe/", "safe", "s"), ("/new/", "safe", "s")]));
    let start = Instant::now();
    wait_until("the new configuration is in force everywhere", || {
        gateways.iter().all(|gateway| status(gateway, "/new/") == 200)
    });
    assert!(start.elapsed() < Duration::from_millis(2_500), "took {:?}", start.elapsed());
    proxy.set(proxy::Mode::Open);
    for gateway in &gateways {
        assert_eq!(send_many(gateway), NO_FAILURES);
        assert_eq!(metric(gateway, "ebonypass_store_era"), 2);
    }
    assert_eq!(old.count(), before, "a target that has left got requests");
}

/// A second restore while the first one is still settling, back to the same snapshot.
#[test]
fn two_restores() {
    let (lost, departed) = (Target::new("t-1", NORMAL), Target::new("t-2", NORMAL));
    let store = new_store();
    check_in(&store, &departed, 1, "ready");
    let snapshot = store.snapshot();
    check_in(&store, &lost, 1, "ready");
    let gateway = Gateway::start(&store);
    knows_targets(&gateway, 2);
    thread::sleep(Duration::from_millis(2_200));
    store.remove("servers", "t-2");
    wait_for(&gateway, TARGET_REMOVED);
    let before = departed.count();
    store.restore(&snapshot);
    wait_for_list(&gateway, "target", 2);
    thread::sleep(Duration::from_secs(3));
    store.restore(&snapshot);
    wait_for_list(&gateway, "target", 3);
    let start = Instant::now();
    // The hold of the first restore would be over after 2 s.
    while start.elapsed() < Duration::from_millis(4_500) {
        assert_eq!(send_many(&gateway), NO_FAILURES, "after {:?}", start.elapsed());
        thread::sleep(Duration::from_millis(200));
    }
    check_in(&store, &lost, 2, "ready");
    thread::sleep(Duration::from_secs(3));
    assert_eq!(send_many(&gateway), NO_FAILURES);
    assert_eq!(departed.count(), before, "a target that has left got requests");
    assert_eq!(metric(&gateway, "ebonypass_store_era"), 3);
}

/// Two restores at once, so that a machine sees only the second.
#[test]
fn skipped_era() {
    let target = Target::new("t-1", NORMAL);
    let store = new_store();
    let snapshot = store.snapshot();
    check_in(&store, &target, 1, "ready");
    let gateway = Gateway::start(&store);
    knows_targets(&gateway, 1);
    store.restore(&snapshot);
    store.restore(&snapshot);
    wait_for_list(&gateway, "target", 3);
    check_in(&store, &target, 2, "ready");
    thread::sleep(HOLD + Duration::from_secs(3));
    assert_eq!(send_many(&gateway), NO_FAILURES);
}

/// A reply of the old era that arrives after the new one was seen.
#[test]
fn late_message() {
    let target = Target::new("t-1", NORMAL);
    let store = new_store();
    check_in(&store, &target, 1, "ready");
    let snapshot = store.snapshot();
    let gateway = Gateway::start(&store);
    knows_targets(&gateway, 1);
    store.restore(&snapshot);
    wait_for_list(&gateway, "target", 2);
    store.set_late_era(Some(("config", 1)));
    store.put("config", "main", config(9, &[("/new/", "safe", "s")]));
    wait_for(&gateway, REPLY_OUTDATED);
    thread::sleep(Duration::from_secs(2));
    assert_eq!((status(&gateway, "/new/"), status(&gateway, "/safe/a")), (404, 200));
    assert!(lines(&gateway, REPLY_OUTDATED).len() < 10, "a bounded number of lines");
    store.set_late_era(None);
    wait_until("the configuration is in force", || status(&gateway, "/new/") == 200);
    assert_eq!(metric(&gateway, "ebonypass_store_era"), 2);
}

/// An era that decreases is a fault or a new store. Only the latter lasts.
#[test]
fn decreasing_era() {
    let target = Target::new("t-1", NORMAL);
    let store = new_store();
    store.set_era(4);
    check_in(&store, &target, 1, "ready");
    let gateway = Gateway::start(&store);
    knows_targets(&gateway, 1);
    store.set_era(1);
    store.put("config", "main", config(3, &[("/safe/", "safe", "s"), ("/new/", "safe", "s")]));
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(8) {
        assert_eq!((status(&gateway, "/safe/a"), status(&gateway, "/new/")), (200, 404));
        thread::sleep(Duration::from_millis(200));
    }
    assert_eq!(metric(&gateway, "ebonypass_store_era"), 4);
    assert!(lines(&gateway, REPLY_OUTDATED).len() <= 10, "a bounded number of lines");
    wait_for(&gateway, STORE_REPLACED);
    wait_until("the new store's configuration is in force", || status(&gateway, "/new/") == 200);
    assert_eq!(status(&gateway, "/safe/a"), 200);
    assert_eq!(metric(&gateway, "ebonypass_store_era"), 1);
}

/// Machines that poll others follow a new store too.
#[test]
fn decreasing_era_in_fleet() {
    let target = Target::new("t-1", NORMAL);
    let store = new_store();
    store.set_era(4);
    check_in(&store, &target, 1, "ready");
    let gateways = Gateway::start_all(&store, 4);
    gateways.iter().for_each(|gateway| knows_targets(gateway, 1));
    store.set_era(1);
    store.put("config", "main", config(3, &[("/safe/", "safe", "s"), ("/new/", "safe", "s")]));
    for gateway in &gateways {
        wait_for(gateway, STORE_REPLACED);
        wait_until("the new store's configuration is in force", || status(gateway, "/new/") == 200);
        assert_eq!(send_many(gateway), NO_FAILURES);
    }
    for gateway in &gateways {
        assert_eq!(metric(gateway, "ebonypass_store_era"), 1);
    }
}

/// Statuses of an overloaded store may come from something in front of it that states no era.
#[test]
fn refusals_without_era() {
    let target = Target::new("t-1", NORMAL);
    let store = new_store();
    check_in(&store, &target, 1, "ready");
    let gateway = Gateway::start(&store);
    knows_targets(&gateway, 1);
    store.clear_era();
    store.set_mode(store::Mode::ErrorStatus(503));
    thread::sleep(Duration::from_secs(11));
    store.set_mode(store::Mode::Normal);
    store.set_era(1);
    store.put("config", "main", config(3, &[("/new/", "safe", "s")]));
    wait_until("the new configuration is in force", || status(&gateway, "/new/") == 200);
    for event in [ERA_RAISED, REPLY_OUTDATED, STORE_REPLACED] {
        assert_eq!(lines(&gateway, event).len(), 0, "event {event}");
    }
}

/// The pages of a list that were read before a restore are of a state that the store has lost.
#[test]
fn restore_between_pages() {
    let store = Store::with_page_size(3);
    store.set_era(1);
    store.put("config", "main", config(2, &ROUTES));
    let targets: Vec<Target> =
        (0..6).map(|index| Target::new(&format!("t-{index}"), NORMAL)).collect();
    for target in &targets[3..] {
        check_in(&store, target, 1, "ready");
    }
    let snapshot = store.snapshot();
    for target in &targets[..3] {
        check_in(&store, target, 1, "ready");
    }
    store.set_page_delay(Duration::from_millis(500));
    let gateway = Gateway::start(&store);
    wait_until("the second page is asked for", || store.reads("servers", false) >= 2);
    store.restore(&snapshot);
    knows_targets(&gateway, 3);
    assert_eq!(send_many(&gateway), NO_FAILURES);
    let lost: usize = targets[..3].iter().map(Target::count).sum();
    assert_eq!(lost, 0, "entries of the lost state were taken in");
}

/// Calls to the store are priced: a restore may cost one list of each kind, on the machines that
/// call the store, and no more.
#[test]
fn calls_after_restore() {
    let target = Target::new("t-1", NORMAL);
    let store = new_store();
    check_in(&store, &target, 1, "ready");
    let snapshot = store.snapshot();
    let gateways = Gateway::start_all(&store, 6);
    gateways.iter().for_each(|gateway| knows_targets(gateway, 1));
    thread::sleep(Duration::from_secs(2));
    let before = ["config", "servers", "evacuations"].map(|kind| store.reads(kind, false));
    store.restore(&snapshot);
    gateways.iter().for_each(|gateway| wait_for_list(gateway, "target", 2));
    thread::sleep(Duration::from_secs(4));
    let after = ["config", "servers", "evacuations"].map(|kind| store.reads(kind, false));
    for (before, after) in before.into_iter().zip(after) {
        assert!(after - before <= 2, "{before} to {after} list calls");
    }
}
