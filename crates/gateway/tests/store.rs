//! Updates from the store, also while the store is faulty. Guards against requests to targets that
//! have left, and against configurations that apply late or revert.

mod fake;

use std::time::{Duration, Instant};

use fake::{
    Behaviour, Gateway, ROUTES, Store, Target, config, request, send_request, start_gateway, store,
    wait_until,
};
use serde_json::json;
use test_case::test_case;

const NORMAL: Behaviour = Behaviour::Normal(Duration::ZERO);

fn status(gateway: &Gateway, path: &str) -> u16 {
    send_request(gateway.callers, &request("GET", path, "id", "")).map_or(0, |reply| reply.status())
}

#[test]
fn a_gateway_without_a_configuration_is_not_ready() {
    let store = Store::new();
    let gateway = Gateway::start(&store);
    wait_until("the gateway listens", || status(&gateway, "/safe/a") == 503);
    assert!(!gateway.is_ready());
    store.put("config", "main", config(2, &ROUTES));
    gateway.wait_ready();
}

#[test]
fn a_leaving_target_gets_no_more_requests() {
    let leaving = Target::new("t-1", NORMAL);
    let other = Target::new("t-2", NORMAL);
    let (store, gateway) = start_gateway(&[&leaving, &other]);
    store.put("servers", "t-1", leaving.entry("s", "draining"));
    std::thread::sleep(Duration::from_millis(500));
    let before = leaving.count();
    for _ in 0..20 {
        assert_eq!(status(&gateway, "/safe/a"), 200);
    }
    assert_eq!(leaving.count(), before);
}

#[test]
fn an_evacuated_data_centre_gets_no_requests() {
    let target = Target::new("t-1", NORMAL);
    let (store, gateway) = start_gateway(&[&target]);
    store.put("evacuations", "zrh-a", json!({ "spec": {} }));
    wait_until("the evacuation is active", || status(&gateway, "/safe/a") == 503);
    let before = target.count();
    assert_eq!(status(&gateway, "/safe/a"), 503);
    assert_eq!(target.count(), before);
    store.remove("evacuations", "zrh-a");
    wait_until("the evacuation is over", || status(&gateway, "/safe/a") == 200);
}

#[test]
fn an_older_configuration_is_ignored() {
    let target = Target::new("t-1", NORMAL);
    let (store, gateway) = start_gateway(&[&target]);
    store.put("config", "main", config(9, &[("/new/", "safe", "s")]));
    wait_until("the new configuration is active", || status(&gateway, "/new/") == 200);
    store.put("config", "main", config(5, &ROUTES));
    std::thread::sleep(Duration::from_millis(400));
    assert_eq!(status(&gateway, "/new/"), 200);
    assert_eq!(status(&gateway, "/safe/"), 404);
}

#[test_case(json!({ "spec": "not a table" }); "a text")]
#[test_case(json!({ "spec": { "version": 12, "routes": [] } }); "fields of another type")]
#[test_case(json!({}); "nothing")]
fn an_invalid_configuration_is_ignored(object: serde_json::Value) {
    let target = Target::new("t-1", NORMAL);
    let (store, gateway) = start_gateway(&[&target]);
    store.put("config", "main", object);
    wait_until("the invalid configuration is logged", || {
        gateway.log.lock().unwrap().iter().any(|line| line["event"] == 201)
    });
    assert_eq!(status(&gateway, "/safe/a"), 200);
}

#[test]
fn invalid_target_entries_are_ignored() {
    let target = Target::new("t-1", NORMAL);
    let (store, gateway) = start_gateway(&[&target]);
    let entry = target.entry("s", "ready");
    let mut invalid = vec![json!({}), json!({ "spec": 7 }), entry.clone(), entry.clone(), entry];
    invalid[2]["status"]["state"] = "asleep".into();
    invalid[3]["spec"]["info"]["slots"] = "three".into();
    invalid[4]["spec"]["address"] = "nowhere".into();
    for (index, object) in invalid.into_iter().enumerate() {
        store.put("servers", &format!("forged-{index}"), object);
    }
    wait_until("the invalid entries are logged", || {
        gateway.log.lock().unwrap().iter().filter(|line| line["event"] == 204).count() >= 5
    });
    assert_eq!(status(&gateway, "/safe/a"), 200);
}

/// An entry that cannot be read hid all later changes of targets, so that leaving ones got requests.
#[test_case("\"v1\\ud83d\""; "half a surrogate pair")]
#[test_case("1e400"; "a number too large")]
#[test_case(&("[".repeat(300) + &"]".repeat(300)); "deep nesting")]
fn odd_entries_hide_no_changes(text: &str) {
    let (leaving, other) = (Target::new("t-1", NORMAL), Target::new("t-2", NORMAL));
    let odd = Target::new("t-3", NORMAL);
    let (store, mut gateway) = start_gateway(&[&leaving, &other, &odd]);
    store.put_odd_entry("t-0", other.entry("s", "ready"), text);
    store.put_odd_entry("t-3", odd.entry("s", "ready"), text);
    store.put("servers", "t-1", leaving.entry("s", "draining"));
    std::thread::sleep(Duration::from_millis(700));
    let before = (leaving.count(), odd.count());
    for _ in 0..20 {
        assert_eq!(status(&gateway, "/safe/a"), 200);
    }
    assert_eq!((leaving.count(), odd.count()), before, "entries that name no usable target");
    assert!(!gateway.has_ended());
    let mut started = Gateway::start_as(&store, "vm-2");
    started.wait_ready();
    assert_eq!(status(&started, "/safe/a"), 200);
    assert!(!started.has_ended());
    // Its next check-in puts the entry right.
    store.put("servers", "t-3", odd.entry("s", "ready"));
    store.put("servers", "t-2", other.entry("s", "draining"));
    wait_until("the target is used again", || {
        assert_ne!(status(&gateway, "/safe/a"), 404);
        odd.count() > before.1
    });
}

#[test]
fn reads_all_pages_of_a_list() {
    let store = Store::with_page_size(3);
    store.put("config", "main", config(2, &ROUTES));
    let targets: Vec<Target> =
        (0..10).map(|index| Target::new(&format!("t-{index}"), NORMAL)).collect();
    for target in &targets {
        store.put("servers", &target.id, target.entry("s", "ready"));
    }
    let gateway = Gateway::start(&store);
    gateway.wait_ready();
    wait_until("all targets are known", || {
        gateway.log.lock().unwrap().iter().filter(|line| line["event"] == 500).count() == 10
    });
}

/// The entry of a target that is only silent expires. Work that runs there must be neither given up
/// nor started elsewhere.
#[test_case("POST", "/once/a"; "work that must run once")]
#[test_case("GET", "/safe/a"; "work that may run again")]
fn a_silent_target_finishes_its_work(method: &str, path: &str) {
    let silent = Target::new("t-1", Behaviour::Normal(Duration::from_millis(1_500)));
    let (store, gateway) = start_gateway(&[&silent]);
    let callers = gateway.callers;
    let bytes = request(method, path, "id-1", "");
    let caller = std::thread::spawn(move || send_request(callers, &bytes).unwrap());
    wait_until("the request runs", || silent.count() == 1);
    let other = Target::new("t-2", NORMAL);
    store.put("servers", "t-2", other.entry("s", "ready"));
    store.remove("servers", "t-1");
    let reply = caller.join().unwrap();
    assert_eq!((reply.status(), reply.body), (200, b"reply to id-1".to_vec()));
    assert_eq!((silent.count(), other.count()), (1, 0));
}

/// A list of many pages takes a while. A target that starts to leave after its page was read must
/// still get no requests.
#[test]
fn a_change_while_a_list_is_read() {
    let store = Store::with_page_size(3);
    store.put("config", "main", config(2, &ROUTES));
    let targets: Vec<Target> =
        (0..6).map(|index| Target::new(&format!("t-{index}"), NORMAL)).collect();
    for target in &targets {
        store.put("servers", &target.id, target.entry("s", "ready"));
    }
    store.set_page_delay(Duration::from_millis(500));
    let gateway = Gateway::start(&store);
    wait_until("the second page is asked for", || store.reads("servers", false) >= 2);
    for target in &targets[..3] {
        store.put("servers", &target.id, target.entry("s", "draining"));
    }
    gateway.wait_ready();
    std::thread::sleep(Duration::from_millis(500));
    for index in 0..30 {
        let text =
            String::from_utf8(request("GET", "/safe/a", &format!("id-{index}"), "")).unwrap();
        let text = text.replace("Key=7", &format!("Key={index}"));
        assert_eq!(send_request(gateway.callers, text.as_bytes()).unwrap().status(), 200);
    }
    let late: usize = targets[..3].iter().map(Target::count).sum();
    assert_eq!(late, 0, "{late} requests reached targets that were leaving");
}

#[test]
fn relists_when_the_history_is_compacted() {
    let target = Target::new("t-1", NORMAL);
    let (store, gateway) = start_gateway(&[&target]);
    store.set_mode(store::Mode::ErrorStatus(503));
    wait_until("the gateway detects the outage", || {
        gateway.log.lock().unwrap().iter().any(|line| line["event"] == 202)
    });
    store.put("config", "main", config(3, &[("/new/", "safe", "s")]));
    store.compact();
    store.set_mode(store::Mode::Normal);
    wait_until("the list is read again", || status(&gateway, "/new/") == 200);
}

#[test_case(store::Mode::Silent; "silence")]
#[test_case(store::Mode::ErrorStatus(503); "busy")]
#[test_case(store::Mode::ErrorStatus(429); "too many calls")]
fn serves_requests_during_a_store_outage(mode: store::Mode) {
    let target = Target::new("t-1", NORMAL);
    let (store, gateway) = start_gateway(&[&target]);
    store.set_mode(mode);
    let end = Instant::now() + Duration::from_secs(4);
    while Instant::now() < end {
        assert_eq!(status(&gateway, "/safe/a"), 200);
        std::thread::sleep(Duration::from_millis(100));
    }
    store.put("config", "main", config(3, &[("/new/", "safe", "s")]));
    store.set_mode(store::Mode::Normal);
    let start = Instant::now();
    wait_until("the new configuration is active", || status(&gateway, "/new/") == 200);
    assert!(start.elapsed() < Duration::from_millis(2_500), "took {:?}", start.elapsed());
}

#[test]
fn keeps_entries_that_expired_during_an_outage() {
    let target = Target::new("t-1", NORMAL);
    let (store, gateway) = start_gateway(&[&target]);
    store.set_mode(store::Mode::ErrorStatus(503));
    wait_until("the gateway detects the outage", || {
        gateway.log.lock().unwrap().iter().any(|line| line["event"] == 202)
    });
    store.remove("servers", "t-1");
    std::thread::sleep(Duration::from_millis(2_500));
    store.set_mode(store::Mode::Normal);
    let back = Instant::now();
    std::thread::sleep(Duration::from_millis(1_000));
    assert_eq!(
        status(&gateway, "/safe/a"),
        200,
        "an expired entry must be kept for a grace period"
    );
    wait_until("the target is removed", || status(&gateway, "/safe/a") == 503);
    assert!(back.elapsed() < Duration::from_millis(3_000), "took {:?}", back.elapsed());
}

#[test]
fn a_removed_entry_takes_effect_at_once() {
    let target = Target::new("t-1", NORMAL);
    let (store, gateway) = start_gateway(&[&target]);
    std::thread::sleep(Duration::from_millis(2_200));
    store.remove("servers", "t-1");
    let start = Instant::now();
    wait_until("the target is removed", || status(&gateway, "/safe/a") == 503);
    assert!(start.elapsed() < Duration::from_millis(500), "took {:?}", start.elapsed());
}

/// Some targets never report that they drain: their entry is removed. A store that cuts watches, or
/// that refuses other calls, must not keep them in use.
#[test_case(store::Mode::CutsWatches(Duration::from_millis(1_000)); "watches are cut")]
#[test_case(store::Mode::RefusesKind("evacuations"); "calls for other objects fail")]
fn a_removed_entry_while_the_store_limps(mode: store::Mode) {
    let target = Target::new("t-1", NORMAL);
    let (store, gateway) = start_gateway(&[&target]);
    store.set_mode(mode);
    std::thread::sleep(Duration::from_secs(4));
    store.remove("servers", "t-1");
    let start = Instant::now();
    wait_until("the target is removed", || status(&gateway, "/safe/a") == 503);
    // A target that leaves must get no more requests after 2.5 s.
    assert!(start.elapsed() < Duration::from_millis(2_500), "took {:?}", start.elapsed());
}

/// Targets are replaced and added one shortly after another. With one call per change, the watchers
/// of three regions made half of all store calls of a day.
#[test]
fn target_changes_are_batched() {
    let target = Target::new("t-1", NORMAL);
    let (store, _gateway) = start_gateway(&[&target]);
    std::thread::sleep(Duration::from_millis(1_200));
    let before = store.reads("servers", true);
    for index in 0..40 {
        store.put("servers", &format!("t-{index}"), target.entry("s", "ready"));
        std::thread::sleep(Duration::from_millis(20));
    }
    let calls = store.reads("servers", true) - before;
    assert!(calls <= 6, "{calls} watch calls for 40 changes");
}

/// A write whose reply is lost has been applied. The retry then conflicts with the machine's own
/// entry and must count as success; otherwise a machine without peers never reads the list of
/// machines.
#[test]
fn registration_succeeds_when_its_reply_is_lost() {
    let store = Store::new();
    store.put("config", "main", config(2, &ROUTES));
    store.set_mode(store::Mode::LosesReplies);
    let gateway = Gateway::start(&store);
    gateway.wait_ready();
    wait_until("the machine is registered", || store.names("machines") == ["vm-1"]);
    wait_until("the list of machines is read", || store.reads("machines", false) > 0);
    assert_eq!(store.names("machines"), ["vm-1"]);
}

/// A target that has just started fails above its limit for all machines together: 2.7 requests per
/// second times 1.5, plus 5.
#[test]
fn a_cold_target_stays_within_its_rate_limit() {
    let target = Target::new("t-1", NORMAL);
    let store = Store::new();
    store.put("config", "main", config(2, &ROUTES));
    let mut entry = target.entry("s", "ready");
    entry["status"]["coldRemainingMs"] = json!(30_000);
    store.put("servers", "t-1", entry);
    let gateway = Gateway::start(&store);
    gateway.wait_ready();
    wait_until("the target gets requests", || status(&gateway, "/safe/a") == 200);
    std::thread::sleep(Duration::from_secs(1));
    let before = target.count();
    let start = Instant::now();
    let mut refused = 0;
    while start.elapsed() < Duration::from_millis(900) {
        refused += usize::from(status(&gateway, "/safe/a") == 503);
    }
    let arrived = target.count() - before;
    assert!(arrived > 0 && arrived <= 9, "{arrived} requests in 0.9 s");
    assert!(refused > 0, "the load never reached the limit");
}
