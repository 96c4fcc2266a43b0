//! Load, retries and classification of replies of the simulated caller, against a fake entry.

mod common;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use common::{Server, run_test};
use ebonypass_core::outcome::Outcome;
use ebonypass_standin::payload::{self, Header};
use ebonypass_standin::plan::Plan;
use ebonypass_standin::report::Report;
use ebonypass_standin::{caller, server};
use serde_json::json;
use test_case::test_case;
use trillium::Conn;
use trillium_router::Router;

/// How the fake entry replies to a request.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Reply {
    Correct,
    Late,
    Mismatch,
    Truncated,
    Missing,
    /// An empty body with this status and outcome.
    Empty(u16, &'static str),
}

/// The keys and blocks of the requests that the fake entry received.
type Received = Arc<Mutex<Vec<(Option<String>, String)>>>;

fn fake_entry(reply: Reply, listed: Option<SocketAddr>, received: Received) -> Router {
    let lookup = move |conn: Conn| async move {
        let address = listed.or(conn.host().and_then(|host| host.parse().ok()));
        let entry = json!({"name": "a", "data_centre": "zurich-1", "address": address});
        let arbiter = "a.k3f9.1";
        let reply = json!({"version": 1, "ttl_ms": 60_000, "arbiter": arbiter, "entries": [entry]});
        server::reply_json(conn, &reply)
    };
    let request = move |conn: Conn| {
        let received = received.clone();
        async move { answer(conn, reply, received).await }
    };
    Router::new().get("/v1/lookup", lookup).post("/v1/run/:service/:kind", request)
}

async fn answer(mut conn: Conn, reply: Reply, received: Received) -> Conn {
    let body = conn.request_body().read_bytes().await.expect("the body is readable");
    let header = |name| conn.request_headers().get_str(name).map(str::to_owned);
    let block = header("ebonypass-block").expect("the request has a block");
    received.lock().expect("not poisoned").push((header("ebonypass-key"), block));
    let header = Header::scan(&body).expect("the body has a payload header");
    let reply_body = payload::reply_body(&body, header.reply_bytes);
    let answered = |conn: Conn| conn.with_response_header("ebonypass-outcome", "answered");
    match reply {
        Reply::Correct => answered(conn).ok(reply_body),
        Reply::Late => {
            smol::Timer::after(Duration::from_millis(150)).await;
            answered(conn).ok(reply_body)
        }
        Reply::Mismatch => answered(conn).ok(reply_body[1..].to_vec()),
        Reply::Truncated => server::truncated_reply(
            answered(conn),
            reply_body[1..].to_vec(),
            reply_body.len() as u64,
        ),
        Reply::Missing => server::close_without_reply(conn),
        Reply::Empty(status, outcome) => {
            conn.with_response_header("ebonypass-outcome", outcome).with_status(status).halt()
        }
    }
}

fn plan(entries: &[SocketAddr], idempotent: bool, resend_percent: u8) -> Plan {
    let entries: Vec<String> = entries.iter().map(|entry| format!("{entry:?}")).collect();
    let text = format!(
        r#"
        member = "windelrunde"
        entries = {entries:?}
        blocks = ["10.1.0.0/24"]
        rate = 20.0
        seconds = 1
        resend_percent = {resend_percent}
        seed = 7
        report = "unused"
        [[kind]]
        service = "swaps"
        kind = "log"
        weight = 1
        idempotent = {idempotent}
        deadline_ms = 100
        request_bytes = 400
        reply_bytes = 3000
        "#
    );
    Plan::scan(&text).expect("the plan is valid")
}

async fn run_caller(reply: Reply, idempotent: bool, resend_percent: u8) -> (Report, Received) {
    let received = Received::default();
    let server = Server::start(fake_entry(reply, None, received.clone())).await;
    let report = caller::run(plan(&[server.address], idempotent, resend_percent)).await;
    server.close().await;
    (report, received)
}

/// Each kind of reply is counted in its own field only. Guards against a caller that does not notice
/// mismatching, truncated or missing replies. Values: answered, not run, unknown, late, wrong, cut.
#[test_case(Reply::Correct, [1, 0, 0, 0, 0, 0]; "answered")]
#[test_case(Reply::Late, [1, 0, 0, 1, 0, 0]; "late")]
#[test_case(Reply::Mismatch, [1, 0, 0, 0, 1, 0]; "wrong")]
#[test_case(Reply::Truncated, [0, 0, 1, 0, 0, 1]; "cut")]
#[test_case(Reply::Missing, [0, 0, 1, 0, 0, 0]; "lost")]
#[test_case(Reply::Empty(503, "not-run"), [0, 1, 0, 0, 0, 0]; "not run")]
#[test_case(Reply::Empty(502, "unknown"), [0, 0, 1, 0, 0, 0]; "unknown")]
#[test_case(Reply::Empty(200, "nonsense"), [1, 0, 0, 0, 1, 0]; "no outcome")]
fn reply_counts(reply: Reply, expected: [u64; 6]) {
    run_test(async {
        let (report, _) = run_caller(reply, true, 0).await;
        let kind = &report.kinds[0];
        // 20 Poisson arrivals are expected in 1 s; the seed is fixed.
        assert!((5..50).contains(&kind.sent), "{kind:?}");
        let counts = [kind.answered, kind.not_run, kind.unknown, kind.late, kind.wrong, kind.cut];
        assert_eq!(counts, expected.map(|count| count * kind.sent));
        assert_eq!(report.requests.len() as u64, kind.sent);
        assert_eq!(kind.p99_us > 0, matches!(reply, Reply::Correct | Reply::Late));
    });
}

/// A request is retried with the same key only after an unknown outcome, if it is not idempotent and
/// the plan allows retries.
#[test_case(Reply::Empty(502, "unknown"), false, 100, 2; "unknown")]
#[test_case(Reply::Missing, false, 100, 2; "lost")]
#[test_case(Reply::Empty(502, "unknown"), false, 0, 1; "retries disabled")]
#[test_case(Reply::Empty(503, "not-run"), false, 100, 1; "not run")]
#[test_case(Reply::Empty(502, "unknown"), true, 100, 1; "idempotent")]
fn retry_with_same_key(reply: Reply, idempotent: bool, resend_percent: u8, attempts: usize) {
    run_test(async {
        let (report, received) = run_caller(reply, idempotent, resend_percent).await;
        let received = received.lock().expect("not poisoned");
        assert_eq!(received.len(), report.requests.len() * attempts);
        for request in &report.requests {
            assert_eq!(request.attempts.len(), attempts);
            let key = (!idempotent).then(|| request.key.clone());
            assert_eq!(key.is_some(), request.key.starts_with("a.k3f9.1/"));
            let expected = (key, "10.1.0.0/24".to_owned());
            assert!(
                idempotent || received.iter().filter(|&one| *one == expected).count() == attempts
            );
        }
    });
}

/// An entry that refuses connections must not fail a request, even if a look-up still lists it.
#[test_case(true; "bootstrap entry")]
#[test_case(false; "listed entry")]
fn unreachable_entry(is_bootstrap: bool) {
    run_test(async {
        let unreachable = Server::start(Router::new()).await;
        let address = unreachable.address;
        unreachable.close().await;
        let listed = (!is_bootstrap).then_some(address);
        let received = Received::default();
        let server = Server::start(fake_entry(Reply::Correct, listed, received)).await;
        let report = caller::run(plan(&[address, server.address], false, 0)).await;
        let kind = &report.kinds[0];
        assert_eq!((kind.answered, kind.unreachable), (kind.sent, 0));
        let is_answered = |request: &ebonypass_standin::report::Request| {
            request.attempts.iter().all(|attempt| attempt.outcome == Outcome::Answered)
        };
        assert!(kind.sent > 0 && report.requests.iter().all(is_answered));
        server.close().await;
    });
}
