//! Interface and faults of the simulated object store.

mod common;

use std::time::{Duration, Instant};

use common::{Server, fetch, run_test};
use ebonypass_standin::store::{Counts, MAX_VALUE_BYTES, Store};
use test_case::test_case;

/// Returns the status and version of the reply to a conditional write.
async fn put(server: &Server, key: &str, expected: &str, value: Vec<u8>) -> (u16, Option<u64>) {
    let conn = server
        .client
        .put(server.url(&format!("/objects/{key}")))
        .with_request_header("x-if-version", expected.to_owned())
        .with_body(value)
        .await
        .expect("the store replies");
    let version = conn.response_headers().get_str("x-version").and_then(|text| text.parse().ok());
    (conn.status().map_or(0, |status| status as u16), version)
}

async fn counts(server: &Server) -> Counts {
    serde_json::from_str(&server.get("/counts").await.1).expect("the counts are valid JSON")
}

/// A write must fail if its expected version is not current. Guards against lost updates.
#[test_case("0", 412, Some(1); "object exists")]
#[test_case("1", 200, Some(2); "current version")]
#[test_case("2", 412, Some(1); "later version")]
#[test_case("x", 400, None; "not a number")]
fn conditional_update(expected: &str, status: u16, version: Option<u64>) {
    run_test(async {
        let server = Server::start(Store::default().handler()).await;
        assert_eq!(put(&server, "seats/zurich", "0", b"a".to_vec()).await, (200, Some(1)));
        assert_eq!(put(&server, "seats/zurich", expected, b"b".to_vec()).await, (status, version));
        let value = if status == 200 { "b" } else { "a" };
        assert_eq!(server.get("/objects/seats/zurich").await, (200, value.to_owned()));
        assert_eq!(server.get("/objects/seats/geneva").await.0, 404);
        server.close().await;
    });
}

/// The size limit must equal the platform's.
#[test_case(MAX_VALUE_BYTES, 200; "largest")]
#[test_case(MAX_VALUE_BYTES + 1, 413; "too large")]
fn value_size(length: u64, status: u16) {
    run_test(async {
        let server = Server::start(Store::default().handler()).await;
        assert_eq!(put(&server, "a", "0", vec![b'x'; length as usize]).await.0, status);
        server.close().await;
    });
}

/// A watch must return at once if the object is newer, when it changes, and not before its timeout
/// otherwise.
#[test]
fn watch_reply() {
    run_test(async {
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

/// A listing contains only keys with the prefix, which may be percent-encoded.
#[test]
fn list_prefix() {
    run_test(async {
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

/// During an outage all calls must fail, including watches that are already waiting.
#[test]
fn outage() {
    run_test(async {
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
        assert!(fetch(silent).await.is_err());
        server.post("/fault", "{}").await;
        assert_eq!(server.get("/objects/a").await, (200, "one".to_owned()));
        server.close().await;
    });
}

/// A write whose reply is lost must take effect, and only the set number of replies may be lost.
#[test]
fn lost_reply() {
    run_test(async {
        let server = Server::start(Store::default().handler()).await;
        server.post("/fault", r#"{"lose_replies":1}"#).await;
        let write = server.client.put(server.url("/objects/a"));
        let write = write.with_request_header("x-if-version", "0").with_body("one");
        assert!(fetch(write).await.is_err());
        assert_eq!(server.get("/objects/a").await, (200, "one".to_owned()));
        assert_eq!(put(&server, "a", "1", b"two".to_vec()).await, (200, Some(2)));
        assert_eq!(counts(&server).await.lost, 1);
        server.close().await;
    });
}

/// With a lag set, the VM list must be the older one.
#[test]
fn vm_lag() {
    run_test(async {
        let server = Server::start(Store::default().handler()).await;
        let list = |name: &str| format!(r#"{{"vms":[{{"name":"{name}"}}]}}"#);
        for name in ["old", "new"] {
            let put = server.client.put(server.url("/vms")).with_body(list(name));
            assert_eq!(fetch(put).await.expect("the store replies").0, 200);
            smol::Timer::after(Duration::from_millis(300)).await;
        }
        assert_eq!(server.get("/vms").await, (200, list("new")));
        server.post("/fault", r#"{"vm_lag_ms":400}"#).await;
        assert_eq!(server.get("/vms").await, (200, list("old")));
        server.close().await;
    });
}

/// Unknown fields must be rejected, so that a misspelt fault is not silently ignored.
#[test]
fn unknown_fault() {
    run_test(async {
        let server = Server::start(Store::default().handler()).await;
        assert_eq!(server.post("/fault", r#"{"outtage":true}"#).await.0, 400);
        server.close().await;
    });
}
