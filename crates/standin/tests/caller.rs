//! The caller's load, its repeats and its judgement of replies, against a fake entry.

mod common;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use common::{Server, run};
use ebonypass_core::outcome::Outcome;
use ebonypass_standin::payload::{self, Header};
use ebonypass_standin::plan::Plan;
use ebonypass_standin::report::Report;
use ebonypass_standin::{caller, serve};
use serde_json::json;
use test_case::test_case;
use trillium::Conn;
use trillium_router::Router;

/// What the fake entry does with a request.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Act {
    Answer,
    AnswerLate,
    AnswerWrong,
    AnswerCut,
    Lose,
    Say(u16, &'static str),
}

/// The keys and blocks that an entry saw.
type Seen = Arc<Mutex<Vec<(Option<String>, String)>>>;

fn fake_entry(act: Act, listed: Option<SocketAddr>, seen: Seen) -> Router {
    let lookup = move |conn: Conn| async move {
        let address = listed.or(conn.host().and_then(|host| host.parse().ok()));
        let entry = json!({"name": "a", "data_centre": "zurich-1", "address": address});
        let arbiter = "a.k3f9.1";
        let reply = json!({"version": 1, "ttl_ms": 60_000, "arbiter": arbiter, "entries": [entry]});
        serve::reply_json(conn, &reply)
    };
    let request = move |conn: Conn| {
        let seen = seen.clone();
        async move { answer(conn, act, seen).await }
    };
    Router::new().get("/v1/lookup", lookup).post("/v1/run/:service/:kind", request)
}

async fn answer(mut conn: Conn, act: Act, seen: Seen) -> Conn {
    let body = conn.request_body().read_bytes().await.expect("a body");
    let header = |name| conn.request_headers().get_str(name).map(str::to_owned);
    let block = header("ebonypass-block").expect("a block");
    seen.lock().expect("seen").push((header("ebonypass-key"), block));
    let header = Header::scan(&body).expect("work");
    let reply = payload::reply_body(&body, header.reply_bytes);
    let answered = |conn: Conn| conn.with_response_header("ebonypass-outcome", "answered");
    match act {
        Act::Answer => answered(conn).ok(reply),
        Act::AnswerLate => {
            smol::Timer::after(Duration::from_millis(150)).await;
            answered(conn).ok(reply)
        }
        Act::AnswerWrong => answered(conn).ok(reply[1..].to_vec()),
        Act::AnswerCut => {
            serve::truncated_reply(answered(conn), reply[1..].to_vec(), reply.len() as u64)
        }
        Act::Lose => serve::close_without_reply(conn),
        Act::Say(status, outcome) => {
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
    Plan::scan(&text).expect("a plan")
}

async fn call(act: Act, idempotent: bool, resend_percent: u8) -> (Report, Seen) {
    let seen = Seen::default();
    let server = Server::start(fake_entry(act, None, seen.clone())).await;
    let report = caller::run(plan(&[server.address], idempotent, resend_percent)).await;
    server.close().await;
    (report, seen)
}

/// Each reply counts in its column and in no other one; guards against a caller that overlooks
/// broken replies.
#[test_case(Act::Answer, [1, 0, 0, 0, 0, 0]; "answered")]
#[test_case(Act::AnswerLate, [1, 0, 0, 1, 0, 0]; "late")]
#[test_case(Act::AnswerWrong, [1, 0, 0, 0, 1, 0]; "wrong")]
#[test_case(Act::AnswerCut, [0, 0, 1, 0, 0, 1]; "cut")]
#[test_case(Act::Lose, [0, 0, 1, 0, 0, 0]; "lost")]
#[test_case(Act::Say(503, "not-run"), [0, 1, 0, 0, 0, 0]; "not run")]
#[test_case(Act::Say(502, "unknown"), [0, 0, 1, 0, 0, 0]; "unknown")]
#[test_case(Act::Say(200, "nonsense"), [1, 0, 0, 0, 1, 0]; "no outcome")]
fn each_reply(act: Act, columns: [u64; 6]) {
    run(async {
        let (report, _) = call(act, true, 0).await;
        let kind = &report.kinds[0];
        // Poisson arrivals of the fixed seed at 20 a second over 1 s.
        assert!((5..50).contains(&kind.sent), "{kind:?}");
        let found = [kind.answered, kind.not_run, kind.unknown, kind.late, kind.wrong, kind.cut];
        assert_eq!(found, columns.map(|column| column * kind.sent));
        assert_eq!(report.requests.len() as u64, kind.sent);
        assert_eq!(kind.p99_us > 0, matches!(act, Act::Answer | Act::AnswerLate));
    });
}

/// A key is sent again after an unknown outcome only, unchanged, and only where the plan says so.
#[test_case(Act::Say(502, "unknown"), false, 100, 2; "unknown")]
#[test_case(Act::Lose, false, 100, 2; "lost")]
#[test_case(Act::Say(502, "unknown"), false, 0, 1; "not settable")]
#[test_case(Act::Say(503, "not-run"), false, 100, 1; "not run")]
#[test_case(Act::Say(502, "unknown"), true, 100, 1; "idempotent")]
fn resent_key(act: Act, idempotent: bool, resend_percent: u8, attempts: usize) {
    run(async {
        let (report, seen) = call(act, idempotent, resend_percent).await;
        let seen = seen.lock().expect("seen");
        assert_eq!(seen.len(), report.requests.len() * attempts);
        for request in &report.requests {
            assert_eq!(request.attempts.len(), attempts);
            let key = (!idempotent).then(|| request.key.clone());
            assert_eq!(key.is_some(), request.key.starts_with("a.k3f9.1/"));
            let same = (key, "10.1.0.0/24".to_owned());
            assert!(idempotent || seen.iter().filter(|&one| *one == same).count() == attempts);
        }
    });
}

/// An entry that fails to connect costs no request, also when a look-up still names it.
#[test_case(true; "bootstrap entry gone")]
#[test_case(false; "listed entry gone")]
fn entry_gone(is_bootstrap: bool) {
    run(async {
        let gone = Server::start(Router::new()).await;
        let address = gone.address;
        gone.close().await;
        let listed = (!is_bootstrap).then_some(address);
        let seen = Seen::default();
        let server = Server::start(fake_entry(Act::Answer, listed, seen)).await;
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
