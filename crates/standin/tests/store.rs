//! The store's interface and its faults.

mod common;

use std::time::{Duration, Instant};

use common::{Server, read, run};
use ebonypass_standin::store::{Counts, MAX_VALUE_BYTES, Store};
use test_case::test_case;

/// Status and version of a conditional write.
async fn put(server: &Server, key: &str, expected: &str, value: Vec<u8>) -> (u16, Option<u64>) {
    let conn = server
        .client
        .put(server.url(&format!("/objects/{key}")))
        .with_request_header("x-if-version", expected.to_owned())
        .with_body(value)
        .await
        .expect("an answer");
    let version = conn.response_headers().get_str("x-version").and_then(|text| text.parse().ok());
    (conn.status().map_or(0, |status| status as u16), version)
}

async fn counts(server: &Server) -> Counts {
    serde_json::from_str(&server.get("/counts").await.1).expect("counts")
}

/// Guards against a write that ignores a competing one.
#[test_case("0", 412, Some(1); "object exists")]
#[test_case("1", 200, Some(2); "current version")]
#[test_case("2", 412, Some(1); "later version")]
#[test_case("x", 400, None; "no number")]
fn conditional_update(expected: &str, status: u16, version: Option<u64>) {
    run(async {
        let server = Server::start(Store::default().handler()).await;
        assert_eq!(put(&server, "seats/zurich", "0", b"a".to_vec()).await, (200, Some(1)));
        assert_eq!(put(&server, "seats/zurich", expected, b"b".to_vec()).await, (status, version));
        let value = if status == 200 { "b" } else { "a" };
        assert_eq!(server.get("/objects/seats/zurich").await, (200, value.to_owned()));
        assert_eq!(server.get("/objects/seats/geneva").await.0, 404);
        server.close().await;
    });
}

/// Guards against a store that takes more than the platform's does, or less.
#[test_case(MAX_VALUE_BYTES, 200; "largest")]
#[test_case(MAX_VALUE_BYTES + 1, 413; "too large")]
fn value_size(length: u64, status: u16) {
    run(async {
        let server = Server::start(Store::default().handler()).await;
        assert_eq!(put(&server, "a", "0", vec![b'x'; length as usize]).await.0, status);
        server.close().await;
    });
}

/// Guards against watches that return early, late or never.
#[test]
fn watch_wakes() {
    run(async {
        let server = Server::start(Store::default().handler()).await;
        put(&server, "a", "0", b"one".to_vec()).await;
        let before = Instant::now();
        assert_eq!(server.get("/objects/a?after=1&wait_ms=150").await.0, 304);
        assert!(before.elapsed() >= Duration::from_millis(150));
        assert_eq!(server.get("/objects/a?after=0&wait_ms=9000").await, (200, "one".to_owned()));
        let watch = server.get("/objects/a?after=1&wait_ms=9000");
        let write = async {
            smol::Timer::after(Duration::from_millis(50)).await;
            put(&server, "a", "1", b"two".to_vec()).await
        };
        let before = Instant::now();
        let (seen, _) = futures_lite::future::zip(watch, write).await;
        assert_eq!(seen, (200, "two".to_owned()));
        assert!(before.elapsed() < Duration::from_secs(5));
        assert_eq!(counts(&server).await, Counts { watch: 3, put: 2, ..Counts::default() });
        server.close().await;
    });
}

/// Guards against a list with keys of another prefix.
#[test]
fn list_prefix() {
    run(async {
        let server = Server::start(Store::default().handler()).await;
        for key in ["seats/b", "seats/a", "status/a"] {
            put(&server, key, "0", Vec::new()).await;
        }
        let expected =
            r#"{"objects":[{"key":"seats/a","version":1},{"key":"seats/b","version":1}]}"#;
        for prefix in ["seats/", "seats%2F"] {
            let reply = server.get(&format!("/objects?prefix={prefix}")).await;
            assert_eq!(reply, (200, expected.to_owned()));
        }
        server.close().await;
    });
}

/// Guards against an outage that lets calls or waiting watches through.
#[test]
fn outage() {
    run(async {
        let server = Server::start(Store::default().handler()).await;
        put(&server, "a", "0", b"one".to_vec()).await;
        let watch = server.get("/objects/a?after=1&wait_ms=9000");
        let fault = async {
            smol::Timer::after(Duration::from_millis(50)).await;
            server.post("/fault", r#"{"outage":true}"#).await
        };
        assert_eq!(futures_lite::future::zip(watch, fault).await.0.0, 503);
        assert_eq!(server.get("/objects/a").await.0, 503);
        assert_eq!(put(&server, "a", "1", b"two".to_vec()).await.0, 503);
        server.post("/fault", r#"{"outage":true,"silent":true}"#).await;
        let silent = server.client.get(server.url("/objects/a"));
        let silent = silent.with_timeout(Duration::from_millis(200));
        assert!(read(silent).await.is_err());
        server.post("/fault", "{}").await;
        assert_eq!(server.get("/objects/a").await, (200, "one".to_owned()));
        server.close().await;
    });
}

/// A lost reply must hide a write that took effect, and only the stated number of them.
#[test]
fn lost_reply() {
    run(async {
        let server = Server::start(Store::default().handler()).await;
        server.post("/fault", r#"{"lose_replies":1}"#).await;
        let write = server.client.put(server.url("/objects/a"));
        let write = write.with_request_header("x-if-version", "0").with_body("one");
        assert!(read(write).await.is_err());
        assert_eq!(server.get("/objects/a").await, (200, "one".to_owned()));
        assert_eq!(put(&server, "a", "1", b"two".to_vec()).await, (200, Some(2)));
        assert_eq!(counts(&server).await.lost, 1);
        server.close().await;
    });
}

/// Guards against a VM list that is up to date although it should lag.
#[test]
fn vm_lag() {
    run(async {
        let server = Server::start(Store::default().handler()).await;
        let list = |name: &str| format!(r#"{{"vms":[{{"name":"{name}"}}]}}"#);
        for name in ["old", "new"] {
            let put = server.client.put(server.url("/vms")).with_body(list(name));
            assert_eq!(read(put).await.expect("an answer").0, 200);
            smol::Timer::after(Duration::from_millis(300)).await;
        }
        assert_eq!(server.get("/vms").await, (200, list("new")));
        server.post("/fault", r#"{"vm_lag_ms":400}"#).await;
        assert_eq!(server.get("/vms").await, (200, list("old")));
        server.close().await;
    });
}

/// Guards against faults that a typing error turns off.
#[test]
fn unknown_fault() {
    run(async {
        let server = Server::start(Store::default().handler()).await;
        assert_eq!(server.post("/fault", r#"{"outtage":true}"#).await.0, 400);
        server.close().await;
    });
}
