//! A target's interface, its limits and its faults.

mod common;

use std::time::{Duration, Instant};

use common::{Server, read, run};
use ebonypass_standin::behaviour::{Config, Kind};
use ebonypass_standin::load::Load;
use ebonypass_standin::payload::{self, Header};
use ebonypass_standin::run::{Log, Snapshot};
use ebonypass_standin::target::Target;
use futures_lite::future::zip;
use test_case::test_case;
use trillium_client::Conn;

fn config() -> Config {
    let kinds = [("lookup", 1_000), ("export", 400_000)];
    Config {
        name: "rounds-zurich-1-01".to_owned(),
        service: "rounds".to_owned(),
        slots: 1,
        queue_capacity: 1,
        kinds: kinds
            .map(|(name, mean_service_us)| Kind { name: name.to_owned(), mean_service_us })
            .to_vec(),
        variation: 0.0,
        seed: 1,
        cold_requests: 0,
        cold_factor: 1.0,
    }
}

async fn start(config: Config) -> Server {
    Server::start(Target::new(config, Log::default()).handler()).await
}

fn body(key: &str) -> Vec<u8> {
    Header { reply_bytes: 5_000, key: key.to_owned(), attempt: 0 }.encode(200)
}

fn request(server: &Server, kind: &str, id: &str) -> Conn {
    let conn = server.client.post(server.url(&format!("/run/rounds/{kind}")));
    conn.with_request_header("x-request-id", id.to_owned()).with_body(body(id))
}

/// Status, and whether the target said that it did not run the request.
async fn send(conn: Conn) -> (u16, bool) {
    let mut conn = conn.await.expect("an answer");
    let not_run = conn.response_headers().get_str("x-not-run") == Some("1");
    conn.response_body().read_bytes().await.expect("a body");
    (conn.status().map_or(0, |status| status as u16), not_run)
}

/// Request keys of the record.
async fn ran(server: &Server) -> Vec<String> {
    let runs: Snapshot = serde_json::from_str(&server.get("/runs").await.1).expect("runs");
    runs.runs.into_iter().map(|run| run.key).collect()
}

async fn load(server: &Server) -> Load {
    serde_json::from_str(&server.get("/load").await.1).expect("load")
}

async fn pause(ms: u64) {
    smol::Timer::after(Duration::from_millis(ms)).await;
}

/// Guards against replies that a caller cannot check byte for byte.
#[test]
fn exact_reply() {
    run(async {
        let server = start(config()).await;
        let mut conn = request(&server, "lookup", "1").await.expect("an answer");
        let reply = conn.response_body().read_bytes().await.expect("a body");
        assert_eq!(reply, payload::reply_body(&body("1"), 5_000));
        assert_ne!(reply, payload::reply_body(&body("2"), 5_000));
        assert_eq!(ran(&server).await, ["1"]);
        server.close().await;
    });
}

/// A request beyond slot and queue is shed and leaves no trace in the record.
#[test]
fn queue_limit() {
    run(async {
        let server = start(config()).await;
        let first = send(request(&server, "export", "1"));
        let second = async {
            pause(50).await;
            send(request(&server, "lookup", "2")).await
        };
        let third = async {
            pause(150).await;
            let busy = Load { slots: 1, busy: 1, queued: 1, leaving: false };
            assert_eq!(load(&server).await, busy);
            send(request(&server, "lookup", "3")).await
        };
        let ((first, second), third) = zip(zip(first, second), third).await;
        assert_eq!((first, second, third), ((200, false), (200, false), (503, true)));
        assert_eq!(ran(&server).await, ["1", "2"]);
        assert_eq!(load(&server).await.busy, 0);
        server.close().await;
    });
}

/// Cancelling or a deadline: "not run" while waiting, a stopped run afterwards.
#[test_case(true; "deadline")]
#[test_case(false; "cancelled")]
fn early_end(by_deadline: bool) {
    run(async {
        let server = start(config()).await;
        let send_with = |kind, id, deadline_ms: u64| {
            let conn = request(&server, kind, id);
            if by_deadline {
                return send(conn.with_request_header("x-deadline-ms", deadline_ms.to_string()));
            }
            send(conn)
        };
        let running = send_with("export", "running", 300);
        let waiting = async {
            pause(30).await;
            send_with("lookup", "waiting", 50).await
        };
        let cancel = async {
            pause(100).await;
            for id in ["waiting", "running"].iter().filter(|_| !by_deadline) {
                assert_eq!(server.post(&format!("/cancel/{id}"), "").await.0, 200);
            }
        };
        let ((running, waiting), ()) = zip(zip(running, waiting), cancel).await;
        assert_eq!((running, waiting), ((504, false), (503, true)));
        assert_eq!(ran(&server).await, ["running"]);
        assert_eq!(server.post("/cancel/running", "").await.0, 404);
        server.close().await;
    });
}

/// Guards against a slot that a client keeps although it went away.
#[test]
fn client_gone() {
    run(async {
        let server = start(config()).await;
        let conn = request(&server, "export", "1").with_timeout(Duration::from_millis(100));
        assert!(read(conn).await.is_err());
        pause(100).await;
        assert_eq!(load(&server).await.busy, 0);
        assert_eq!(ran(&server).await, ["1"]);
        server.close().await;
    });
}

/// Slow targets are slow by the stated factor and for the stated time.
#[test_case(100, 10.0, r#"{}"#, true; "cold")]
#[test_case(0, 1.0, r#"{"straggle_factor":10,"straggle_ms":5000}"#, true; "straggling")]
#[test_case(0, 1.0, r#"{"straggle_factor":10,"straggle_ms":1}"#, false; "straggled before")]
#[test_case(0, 1.0, r#"{}"#, false; "healthy")]
fn slow_target(cold_requests: u32, cold_factor: f64, fault: &str, is_slow: bool) {
    run(async {
        let kinds = vec![Kind { name: "lookup".to_owned(), mean_service_us: 20_000 }];
        let server = start(Config { cold_requests, cold_factor, kinds, ..config() }).await;
        server.post("/fault", fault).await;
        pause(20).await;
        let before = Instant::now();
        assert_eq!(send(request(&server, "lookup", "1")).await, (200, false));
        assert_eq!(before.elapsed() >= Duration::from_millis(200), is_slow);
        server.close().await;
    });
}

/// Reports that lag or mislead differ from the truth in the stated way.
#[test]
fn wrong_reports() {
    run(async {
        let server = start(config()).await;
        assert_eq!(server.get("/health").await.0, 200);
        server.post("/fault", r#"{"health":"down","load_busy":7}"#).await;
        assert_eq!((server.get("/health").await.0, load(&server).await.busy), (503, 7));
        server.post("/fault", r#"{"load_lag_ms":60000,"leave":true}"#).await;
        assert!(!load(&server).await.leaving);
        server.post("/fault", r#"{"leave":true}"#).await;
        assert!(load(&server).await.leaving);
        server.post("/fault", r#"{"shed_percent":100}"#).await;
        assert_eq!(send(request(&server, "lookup", "1")).await, (503, true));
        assert!(ran(&server).await.is_empty());
        server.close().await;
    });
}

/// A cut or lost reply must fail at the client, its run must be recorded, and each fault must break
/// as many replies as stated, also beside the other one.
#[test_case(r#"{"cut_replies":1}"#, &["cut"]; "cut")]
#[test_case(r#"{"lose_replies":1}"#, &["lost"]; "lost")]
#[test_case(r#"{"cut_replies":1,"lose_replies":1}"#, &["lost", "cut"]; "both")]
fn broken_reply(fault: &str, expected: &[&str]) {
    run(async {
        let server = start(config()).await;
        server.post("/fault", fault).await;
        for (id, kind) in expected.iter().enumerate() {
            let found = match request(&server, "lookup", &id.to_string()).await {
                Ok(mut conn) => {
                    assert_eq!(conn.response_body().content_length(), Some(5_000));
                    let reply = conn.response_body().read_bytes().await;
                    assert!(reply.is_err() || reply.is_ok_and(|reply| reply.len() < 5_000));
                    "cut"
                }
                Err(_) => "lost",
            };
            assert_eq!(found, *kind);
        }
        assert_eq!(ran(&server).await.len(), expected.len());
        assert_eq!(send(request(&server, "lookup", "last")).await, (200, false));
        server.close().await;
    });
}
