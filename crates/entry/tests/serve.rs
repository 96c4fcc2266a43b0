//! Look-ups and requests with a single entry.

mod fake;

use std::time::Duration;

use fake::{HEADERS, Setup, Target, call, lookup, metric_sum, reply, run, run_log, wait_until};
use test_case::test_case;

/// A request reaches the target with its headers, and the reply and metrics come back.
#[test]
fn end_to_end_request() {
    let target = Target::echo("rounds-zurich-1-01");
    let setup = Setup::new("thin", &[&target], "");
    let reply = run(setup.address(), b"sheet 7");
    assert_eq!(reply.summary(), "200 answered");
    assert_eq!(reply.body, b"sheet 7");
    assert_eq!(reply.header("x-kept"), "yes");
    let request = &target.runs()[0];
    assert_eq!(request.path, "/run/rounds/lookup");
    let deadline: u64 = request.headers["x-deadline-ms"].parse().expect("number");
    assert!((900..=1_000).contains(&deadline), "{deadline}");
    assert!(request.headers["x-request-id"].starts_with("zurich-1-a."));
    assert!(metric_sum(setup.server.admin_address(), "replies") >= 1.0);
    smol::block_on(setup.server.stop());
}

/// Each refused request is reported as "not run" with its code, and reaches no target.
#[test_case("POST", "/v1/run/nothing/lookup", HEADERS, "404 not-run EP-2001"; "service")]
#[test_case("POST", "/v1/run/rounds/nothing", HEADERS, "404 not-run EP-2003"; "kind")]
#[test_case("POST", "/v1/run/rounds/lookup", "ebonypass-block: 10.1.0.0/24\r\n", "404 not-run EP-2002"; "no member")]
#[test_case("POST", "/v1/run/rounds/lookup", "ebonypass-member: nobody\r\nebonypass-block: 10.1.0.0/24\r\n", "404 not-run EP-2002"; "member")]
#[test_case("POST", "/v1/run/rounds/lookup", "ebonypass-member: podilato\r\nebonypass-block: 10.1.0.0/24\r\n", "404 not-run EP-2005"; "not allowed")]
#[test_case("POST", "/v1/run/rounds/lookup", "ebonypass-member: windelrunde\r\nebonypass-block: 10.9.0.0/24\r\n", "404 not-run EP-2004"; "block")]
#[test_case("POST", "/v1/run/rounds/log", HEADERS, "400 not-run EP-2010"; "no key")]
#[test_case("POST", "/v1/run/rounds/log", "ebonypass-member: windelrunde\r\nebonypass-block: 10.1.0.0/24\r\nebonypass-key: x\r\n", "400 not-run EP-2011"; "bad key")]
#[test_case("POST", "/v1/run/rounds/lookup", "ebonypass-member: windelrunde\r\nebonypass-block: 10.1.0.0/24\r\nebonypass-deadline-ms: x\r\n", "400 not-run EP-2014"; "bad deadline")]
#[test_case("POST", "/v1/run/rounds/lookup", "ebonypass-member: windelrunde\r\nebonypass-block: 10.1.0.0/24\r\nebonypass-deadline-ms: 0\r\n", "503 not-run EP-2006"; "no time")]
fn refused_run(method: &str, path: &str, headers: &str, expected: &str) {
    let target = Target::echo("rounds-zurich-1-01");
    let setup = Setup::new("refused-run", &[&target], "");
    let reply = call(setup.address(), method, path, headers, b"x").expect("reply");
    assert_eq!(reply.summary(), expected);
    assert!(target.runs().is_empty());
}

/// Client libraries percent-encode query values, so the slash of the block arrives as `%2F`.
#[test]
fn escaped_lookup() {
    let target = Target::echo("rounds-zurich-1-01");
    let setup = Setup::new("escaped-lookup", &[&target], "");
    let path = "/v1/lookup?member=windelrunde&service=rounds&block=10.1.0.0%2F24";
    let reply = call(setup.address(), "GET", path, "", b"").expect("reply");
    assert_eq!(reply.status, 200);
}

/// Each refused look-up is reported as "not run" with its code.
#[test_case("member=windelrunde&service=rounds&block=10.9.0.0/24", "EP-2004"; "block")]
#[test_case("member=windelrunde&service=rounds&block=10.1.0.0", "EP-2004"; "no prefix")]
#[test_case("member=windelrunde&service=rounds&block=10.1.0.1/24", "EP-2004"; "host bits")]
#[test_case("member=windelrunde&service=x&block=10.1.0.0/24", "EP-2001"; "service")]
#[test_case("member=x&service=rounds&block=10.1.0.0/24", "EP-2002"; "member")]
#[test_case("", "EP-2002"; "empty")]
fn refused_lookup(query: &str, code: &str) {
    let setup = Setup::new("refused-lookup", &[], "");
    let path = format!("/v1/lookup?{query}");
    let reply = call(setup.address(), "GET", &path, "", b"").expect("reply");
    assert_eq!(reply.summary(), format!("404 not-run {code}"));
}

/// Without a policy document, requests are refused as not run and the health check fails.
#[test]
fn no_policy() {
    let folder = fake::Folder::new("no-policy");
    let store = fake::Store::new();
    let server = folder.start("zurich-1-a", "zurich-1", store.address, "");
    assert_eq!(run(server.caller_address(), b"x").summary(), "503 not-run EP-2009");
    assert_eq!(lookup(server.caller_address()).summary(), "503 not-run EP-2009");
    let health = call(server.admin_address(), "GET", "/health", "", b"").expect("reply");
    assert_eq!(health.status, 503);
    store.set_policy(3, fake::POLICY);
    wait_until("health", || {
        call(server.admin_address(), "GET", "/health", "", b"").expect("reply").status == 200
    });
}

/// Neither an invalid document nor one with a lower version replaces the one in force.
#[test]
fn policy_version_order() {
    let setup = Setup::new("policy-order", &[], "");
    let version = || lookup(setup.address()).json()["version"].as_u64().expect("version");
    assert_eq!(version(), 7);
    setup.store.set_policy(8, "schema = 2");
    std::thread::sleep(Duration::from_millis(200));
    assert_eq!(version(), 7);
    setup.store.set_policy(9, fake::POLICY);
    wait_until("version 9", || version() == 9);
    setup.store.set_policy(5, fake::POLICY);
    std::thread::sleep(Duration::from_millis(200));
    assert_eq!(version(), 9);
}

/// Requests and look-ups are served while the store is down.
#[test]
fn store_outage() {
    let target = Target::echo("rounds-zurich-1-01");
    let setup = Setup::new("store-outage", &[&target], "");
    setup.store.set_outage(true);
    std::thread::sleep(Duration::from_millis(1_500));
    assert_eq!(run(setup.address(), b"x").summary(), "200 answered");
    assert_eq!(lookup(setup.address()).status, 200);
}

/// A second request with a key that was answered is refused, and runs nothing.
#[test]
fn repeated_key() {
    let target = Target::echo("rounds-zurich-1-01");
    let setup = Setup::new("repeated-key", &[&target], "");
    assert_eq!(run_log(setup.address(), "n1").expect("reply").summary(), "200 answered");
    let arbiter = lookup(setup.address()).json()["arbiter"].as_str().expect("arbiter").to_owned();
    let headers = format!("{HEADERS}ebonypass-key: {arbiter}/n2\r\n");
    for expected in ["200 answered", "409 unknown EP-3004"] {
        let reply = call(setup.address(), "POST", "/v1/run/rounds/log", &headers, b"x");
        assert_eq!(reply.expect("reply").summary(), expected);
    }
    assert_eq!(target.runs().len(), 2);
}

/// A key issued by an earlier process is refused, since its claims are not known here.
#[test]
fn foreign_key() {
    let target = Target::echo("rounds-zurich-1-01");
    let setup = Setup::new("foreign-key", &[&target], "");
    let headers = format!("{HEADERS}ebonypass-key: zurich-1-a.7f.5/n1\r\n");
    let reply = call(setup.address(), "POST", "/v1/run/rounds/log", &headers, b"x").expect("reply");
    assert_eq!(reply.summary(), "502 unknown EP-3003");
    assert!(target.runs().is_empty());
}

/// If the reply to non-idempotent work is lost, its outcome is unknown and it is not retried.
#[test]
fn lost_reply() {
    let target = Target::new("rounds-zurich-1-01", |_| None);
    let setup = Setup::new("lost-reply", &[&target], "");
    assert_eq!(run_log(setup.address(), "n1").expect("reply").summary(), "502 unknown EP-3001");
    assert_eq!(target.runs().len(), 1);
}

/// Work that a target sheds before running is dispatched to another target.
#[test]
fn shed_by_one_target() {
    let shed = Target::new("rounds-zurich-1-01", |_| Some(reply(503, "x-not-run: 1\r\n", b"")));
    let echo = Target::echo("rounds-zurich-1-02");
    let setup = Setup::new("shed-work", &[&shed, &echo], "");
    for nonce in ["n1", "n2", "n3", "n4"] {
        assert_eq!(run_log(setup.address(), nonce).expect("reply").summary(), "200 answered");
    }
    assert_eq!(echo.runs().len(), 4);
}

/// If every target sheds the work, the caller is told that it was not run.
#[test]
fn shed_by_all_targets() {
    let shed = Target::new("rounds-zurich-1-01", |_| Some(reply(503, "x-not-run: 1\r\n", b"")));
    let setup = Setup::new("shed-everywhere", &[&shed], "");
    let reply = run_log(setup.address(), "n1").expect("reply");
    assert!(reply.summary().starts_with("503 not-run EP-20"), "{}", reply.summary());
}

/// A request that runs past its deadline is answered as unknown, at the deadline.
#[test]
fn deadline_exceeded() {
    let target = Target::echo("rounds-zurich-1-01");
    let setup = Setup::new("late-target", &[&target], "");
    target.set_delay(Duration::from_millis(1_000));
    let headers = format!("{HEADERS}ebonypass-deadline-ms: 200\r\n");
    let start = std::time::Instant::now();
    let reply = call(setup.address(), "POST", "/v1/run/rounds/lookup", &headers, b"x");
    assert_eq!(reply.expect("reply").summary(), "502 unknown EP-3005");
    assert!(start.elapsed() < Duration::from_millis(500), "{:?}", start.elapsed());
}

/// A truncated reply must not look complete. A short one is answered as unknown; the head of a long
/// one was already sent, so the caller's connection ends before the stated length.
#[test_case(1_000, 900, Some("502 unknown EP-3001"); "short")]
#[test_case(300_000, 290_000, None; "long")]
#[test_case(300_000, 300_000, Some("200 answered"); "long and whole")]
fn truncated_reply(stated: usize, sent: usize, expected: Option<&str>) {
    let target = Target::new("rounds-zurich-1-01", move |_| {
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {stated}\r\n\r\n");
        Some([head.into_bytes(), vec![b'x'; sent]].concat())
    });
    target.close_after_reply();
    let setup = Setup::new("cut-reply", &[&target], "");
    let reply = run_log(setup.address(), "n1");
    assert_eq!(reply.as_ref().map(fake::Reply::summary).as_deref(), expected);
    assert_eq!(target.runs().len(), 1);
}
