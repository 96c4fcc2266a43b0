//! Interface, limits and faults of the simulated target.

mod common;

use std::time::{Duration, Instant};

use common::{Server, fetch, run_test};
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

/// Returns the status and whether the target reported that it did not run the request.
async fn send(conn: Conn) -> (u16, bool) {
    let mut conn = conn.await.expect("the target replies");
    let not_run = conn.response_headers().get_str("x-not-run") == Some("1");
    conn.response_body().read_bytes().await.expect("the body is readable");
    (conn.status().map_or(0, |status| status as u16), not_run)
}

/// Returns the request keys of the target's log.
async fn logged_keys(server: &Server) -> Vec<String> {
    let log: Snapshot =
        serde_json::from_str(&server.get("/runs").await.1).expect("the log is valid JSON");
    log.runs.into_iter().map(|run| run.key).collect()
}

async fn load(server: &Server) -> Load {
    serde_json::from_str(&server.get("/load").await.1).expect("the load is valid JSON")
}

async fn pause(ms: u64) {
    smol::Timer::after(Duration::from_millis(ms)).await;
}

/// The reply body must depend on the request, so that a caller can check it byte for byte.
#[test]
fn exact_reply() {
    run_test(async {
        let server = start(config()).await;
        let mut conn = request(&server, "lookup", "1").await.expect("the target replies");
        let reply = conn.response_body().read_bytes().await.expect("the body is readable");
        assert_eq!(reply, payload::reply_body(&body("1"), 5_000));
        assert_ne!(reply, payload::reply_body(&body("2"), 5_000));
        assert_eq!(logged_keys(&server).await, ["1"]);
        server.close().await;
    });
}

/// A request beyond the slots and the queue must be shed and must not appear in the log.
#[test]
fn queue_limit() {
    run_test(async {
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
        assert_eq!(logged_keys(&server).await, ["1", "2"]);
        assert_eq!(load(&server).await.busy, 0);
        server.close().await;
    });
}

/// Cancellation and the deadline must end a waiting request as "not run" and abort a running one.
#[test_case(true; "deadline")]
#[test_case(false; "cancelled")]
fn early_end(by_deadline: bool) {
    run_test(async {
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
        assert_eq!(logged_keys(&server).await, ["running"]);
        assert_eq!(server.post("/cancel/running", "").await.0, 404);
        server.close().await;
    });
}

/// A slot must be freed when the client disconnects.
#[test]
fn client_disconnect() {
    run_test(async {
        let server = start(config()).await;
        let conn = request(&server, "export", "1").with_timeout(Duration::from_millis(100));
        assert!(fetch(conn).await.is_err());
        pause(100).await;
        assert_eq!(load(&server).await.busy, 0);
        assert_eq!(logged_keys(&server).await, ["1"]);
        server.close().await;
    });
}

/// A cold start and straggling must slow a target by the set factor and for the set time only.
#[test_case(100, 10.0, r#"{}"#, true; "cold")]
#[test_case(0, 1.0, r#"{"straggle_factor":10,"straggle_ms":5000}"#, true; "straggling")]
#[test_case(0, 1.0, r#"{"straggle_factor":10,"straggle_ms":1}"#, false; "straggling over")]
#[test_case(0, 1.0, r#"{}"#, false; "healthy")]
fn slow_target(cold_requests: u32, cold_factor: f64, fault: &str, is_slow: bool) {
    run_test(async {
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

/// Faults must change the reported health and load, and shed requests, as set.
#[test]
fn reported_state() {
    run_test(async {
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
        assert!(logged_keys(&server).await.is_empty());
        server.close().await;
    });
}

/// A truncated or lost reply must fail at the client, and the run must be logged. Each fault must
/// affect only the set number of replies, also in combination with the other fault.
#[test_case(r#"{"cut_replies":1}"#, &["truncated"]; "truncated")]
#[test_case(r#"{"lose_replies":1}"#, &["lost"]; "lost")]
#[test_case(r#"{"cut_replies":1,"lose_replies":1}"#, &["lost", "truncated"]; "both")]
fn broken_reply(fault: &str, expected: &[&str]) {
    run_test(async {
        let server = start(config()).await;
        server.post("/fault", fault).await;
        for (id, failure) in expected.iter().enumerate() {
            let observed = match request(&server, "lookup", &id.to_string()).await {
                Ok(mut conn) => {
                    assert_eq!(conn.response_body().content_length(), Some(5_000));
                    let reply = conn.response_body().read_bytes().await;
                    assert!(reply.is_err() || reply.is_ok_and(|reply| reply.len() < 5_000));
                    "truncated"
                }
                Err(_) => "lost",
            };
            assert_eq!(observed, *failure);
        }
        assert_eq!(logged_keys(&server).await.len(), expected.len());
        assert_eq!(send(request(&server, "lookup", "last")).await, (200, false));
        server.close().await;
    });
}
