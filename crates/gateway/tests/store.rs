//! What a gateway learns from the store, also while the store misbehaves. They guard against requests
//! to targets that have left, and against configurations that are late or revert.

mod fake;

use std::time::{Duration, Instant};

use fake::{
    Behaviour, Gateway, ROUTES, Store, StoreMode, Target, config, request, send_request,
    start_gateway, wait_until,
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
    wait_until("it listens", || status(&gateway, "/safe/a") == 503);
    assert!(!gateway.is_ready());
    store.put("config", "main", config(2, &ROUTES));
    gateway.wait_ready();
}

#[test]
fn a_leaving_target_gets_nothing_more() {
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
fn an_evacuated_data_centre_gets_nothing() {
    let target = Target::new("t-1", NORMAL);
    let (store, gateway) = start_gateway(&[&target]);
    store.put("evacuations", "zrh-a", json!({ "spec": {} }));
    wait_until("the evacuation is in force", || status(&gateway, "/safe/a") == 503);
    let before = target.count();
    assert_eq!(status(&gateway, "/safe/a"), 503);
    assert_eq!(target.count(), before);
    store.remove("evacuations", "zrh-a");
    wait_until("the evacuation is over", || status(&gateway, "/safe/a") == 200);
}

#[test]
fn an_older_configuration_is_passed_over() {
    let target = Target::new("t-1", NORMAL);
    let (store, gateway) = start_gateway(&[&target]);
    store.put("config", "main", config(9, &[("/new/", "safe", "s")]));
    wait_until("the new configuration is in force", || status(&gateway, "/new/") == 200);
    store.put("config", "main", config(5, &ROUTES));
    std::thread::sleep(Duration::from_millis(400));
    assert_eq!(status(&gateway, "/new/"), 200);
    assert_eq!(status(&gateway, "/safe/"), 404);
}

#[test_case(json!({ "spec": "not a table" }); "a text")]
#[test_case(json!({ "spec": { "version": 12, "routes": [] } }); "fields of another type")]
#[test_case(json!({}); "nothing")]
fn an_unreadable_configuration_changes_nothing(object: serde_json::Value) {
    let target = Target::new("t-1", NORMAL);
    let (store, gateway) = start_gateway(&[&target]);
    store.put("config", "main", object);
    wait_until("it is logged", || {
        gateway.log.lock().unwrap().iter().any(|line| line["event"] == 201)
    });
    assert_eq!(status(&gateway, "/safe/a"), 200);
}

#[test]
fn broken_entries_name_no_target_and_harm_no_other() {
    let target = Target::new("t-1", NORMAL);
    let (store, gateway) = start_gateway(&[&target]);
    let entry = target.entry("s", "ready");
    let mut broken = vec![json!({}), json!({ "spec": 7 }), entry.clone(), entry.clone(), entry];
    broken[2]["status"]["state"] = "asleep".into();
    broken[3]["spec"]["info"]["slots"] = "three".into();
    broken[4]["spec"]["address"] = "nowhere".into();
    for (index, object) in broken.into_iter().enumerate() {
        store.put("servers", &format!("forged-{index}"), object);
    }
    wait_until("they are logged", || {
        gateway.log.lock().unwrap().iter().filter(|line| line["event"] == 204).count() >= 5
    });
    assert_eq!(status(&gateway, "/safe/a"), 200);
}

#[test]
fn a_list_in_pages_is_read_whole() {
    let store = Store::with_page(3);
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

#[test]
fn a_change_in_forgotten_history_is_found() {
    let target = Target::new("t-1", NORMAL);
    let (store, gateway) = start_gateway(&[&target]);
    store.set_mode(StoreMode::ErrorStatus(503));
    wait_until("the store is lost", || {
        gateway.log.lock().unwrap().iter().any(|line| line["event"] == 202)
    });
    store.put("config", "main", config(3, &[("/new/", "safe", "s")]));
    store.compact();
    store.set_mode(StoreMode::Normal);
    wait_until("the list is read again", || status(&gateway, "/new/") == 200);
}

#[test_case(StoreMode::Silent; "silence")]
#[test_case(StoreMode::ErrorStatus(503); "busy")]
#[test_case(StoreMode::ErrorStatus(429); "too many calls")]
fn requests_are_served_while_the_store_is_away(mode: StoreMode) {
    let target = Target::new("t-1", NORMAL);
    let (store, gateway) = start_gateway(&[&target]);
    store.set_mode(mode);
    let end = Instant::now() + Duration::from_secs(4);
    while Instant::now() < end {
        assert_eq!(status(&gateway, "/safe/a"), 200);
        std::thread::sleep(Duration::from_millis(100));
    }
    store.put("config", "main", config(3, &[("/new/", "safe", "s")]));
    store.set_mode(StoreMode::Normal);
    let start = Instant::now();
    wait_until("the new configuration is in force", || status(&gateway, "/new/") == 200);
    assert!(start.elapsed() < Duration::from_millis(2_500), "after {:?}", start.elapsed());
}

#[test]
fn an_entry_that_lapsed_while_the_store_was_away_is_kept_for_a_while() {
    let target = Target::new("t-1", NORMAL);
    let (store, gateway) = start_gateway(&[&target]);
    store.set_mode(StoreMode::ErrorStatus(503));
    wait_until("the store is lost", || {
        gateway.log.lock().unwrap().iter().any(|line| line["event"] == 202)
    });
    store.remove("servers", "t-1");
    std::thread::sleep(Duration::from_millis(2_500));
    store.set_mode(StoreMode::Normal);
    let back = Instant::now();
    std::thread::sleep(Duration::from_millis(1_000));
    assert_eq!(status(&gateway, "/safe/a"), 200, "the entry may come back");
    wait_until("the target counts as gone", || status(&gateway, "/safe/a") == 503);
    assert!(back.elapsed() < Duration::from_millis(3_000), "after {:?}", back.elapsed());
}

#[test]
fn an_entry_that_is_removed_while_the_store_is_well_is_gone_at_once() {
    let target = Target::new("t-1", NORMAL);
    let (store, gateway) = start_gateway(&[&target]);
    std::thread::sleep(Duration::from_millis(2_200));
    store.remove("servers", "t-1");
    let start = Instant::now();
    wait_until("the target is gone", || status(&gateway, "/safe/a") == 503);
    assert!(start.elapsed() < Duration::from_millis(500), "after {:?}", start.elapsed());
}

/// Targets are replaced and added in series; with a call for each change the watchers of three regions
/// made half of all calls of a day.
#[test]
fn changes_of_targets_that_come_together_cost_few_calls() {
    let target = Target::new("t-1", NORMAL);
    let (store, _gateway) = start_gateway(&[&target]);
    std::thread::sleep(Duration::from_millis(1_200));
    let before = store.reads("servers", true);
    for index in 0..40 {
        store.put("servers", &format!("t-{index}"), target.entry("s", "ready"));
        std::thread::sleep(Duration::from_millis(20));
    }
    let calls = store.reads("servers", true) - before;
    assert!(calls <= 6, "{calls} calls for 40 changes");
}

/// A write whose answer is lost has been done: the next try meets the machine's own entry and must take
/// that as success, or a machine that knows no other never reads the list of machines.
#[test]
fn an_entry_whose_answer_was_lost_stands() {
    let store = Store::new();
    store.put("config", "main", config(2, &ROUTES));
    store.set_mode(StoreMode::LosesReplies);
    let gateway = Gateway::start(&store);
    gateway.wait_ready();
    wait_until("the entry is written", || store.names("machines") == ["vm-1"]);
    wait_until("the list of machines is read", || store.reads("machines", false) > 0);
    assert_eq!(store.names("machines"), ["vm-1"]);
}

/// A target that has just started breaks down under more than its bound: 2.7 requests a second, times
/// 1.5, and 5 more, from all machines together.
#[test]
fn a_cold_target_gets_no_more_than_its_bound() {
    let target = Target::new("t-1", NORMAL);
    let store = Store::new();
    store.put("config", "main", config(2, &ROUTES));
    let mut entry = target.entry("s", "ready");
    entry["status"]["coldRemainingMs"] = json!(30_000);
    store.put("servers", "t-1", entry);
    let gateway = Gateway::start(&store);
    gateway.wait_ready();
    wait_until("the target is used", || status(&gateway, "/safe/a") == 200);
    std::thread::sleep(Duration::from_secs(1));
    let before = target.count();
    let start = Instant::now();
    let mut refused = 0;
    while start.elapsed() < Duration::from_millis(900) {
        refused += usize::from(status(&gateway, "/safe/a") == 503);
    }
    let arrived = target.count() - before;
    assert!(arrived > 0 && arrived <= 9, "{arrived} requests in a second");
    assert!(refused > 0, "the load was too small to say anything");
}
