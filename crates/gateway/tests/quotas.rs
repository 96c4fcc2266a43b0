//! Quotas of tenants at a running gateway. Guards against tenants that send more than their quota,
//! and against quotas that are used up by requests which do not run.

mod fake;

use std::time::{Duration, Instant};

use fake::{
    Behaviour, Gateway, Message, ROUTES, Store, Target, config, request, send_request, wait_until,
};
use serde_json::{Value, json};

/// A process owns no quota until it has run for 5 s.
const SETTLING_TIME: Duration = Duration::from_millis(5_500);
const RATE_PER_S: f64 = 2.0;
const BURST: f64 = 3.0;
/// Requests above rate and burst that the platform allows in a window of 5 s.
const ALLOWANCE: f64 = 20.0;

fn with_tenants() -> Value {
    let mut config = config(2, &ROUTES);
    config["spec"]["tenants"] = json!({
        "columns": ["name", "apiKeys", "ratePerS", "burst"],
        "rows": [["acme", ["key-1"], RATE_PER_S, BURST], ["bolt", ["key-2"], null, null]],
    });
    config
}

fn start(target: &Target) -> (Store, Gateway) {
    let store = Store::new();
    store.put("config", "main", with_tenants());
    store.put("servers", &target.id, target.entry("s", "ready"));
    let gateway = Gateway::start(&store);
    gateway.wait_ready();
    wait_until("the target is known", || {
        gateway.log.lock().unwrap().iter().any(|line| line["event"] == 500)
    });
    std::thread::sleep(SETTLING_TIME);
    (store, gateway)
}

fn send(gateway: &Gateway, key: &str, id: &str) -> Message {
    let text = String::from_utf8(request("GET", "/safe/a", id, "")).unwrap();
    let text = text.replacen("\r\n", &format!("\r\nAuthorization: Token {key}\r\n"), 1);
    send_request(gateway.callers, text.as_bytes()).unwrap()
}

/// A tenant gets 429 beyond its quota, with the time after which it may return; others do not.
#[test]
fn over_quota() {
    let target = Target::new("t-1", Behaviour::Normal(Duration::ZERO));
    let (_store, gateway) = start(&target);
    let since = Instant::now();
    let replies: Vec<Message> =
        (0..60).map(|index| send(&gateway, "key-1", &format!("a-{index}"))).collect();
    let seconds = since.elapsed().as_secs_f64();
    let served = replies.iter().filter(|reply| reply.status() == 200).count();
    let limit = (RATE_PER_S * seconds.max(5.0) + BURST) * 1.1 + ALLOWANCE;
    assert!(served as f64 <= limit, "{served} served in {seconds} s");
    assert!(served >= BURST as usize, "{served} served");
    let refused = replies.iter().find(|reply| reply.status() == 429).expect("no 429");
    assert!(refused.header("retry-after").is_some(), "{refused:?}");
    assert_eq!(target.runs.lock().unwrap().len(), served, "a refused request ran");
    for index in 0..60 {
        assert_eq!(send(&gateway, "key-2", &format!("b-{index}")).status(), 200);
    }
}

/// Requests that targets turn away do not run, and so use up no quota.
#[test]
fn refused_requests() {
    let target = Target::new("t-1", Behaviour::Sheds);
    let (_store, gateway) = start(&target);
    for index in 0..60 {
        let status = send(&gateway, "key-1", &format!("a-{index}")).status();
        assert_eq!(status, 503, "request {index}");
    }
}
