//! Requests forwarded to healthy and faulty targets. Guards against replies that are truncated or
//! belong to another request, requests that run twice, and false reports that a request did not
//! run.

mod fake;

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use fake::{Behaviour, Target, WARM_UP, request, send_request, start_gateway, wait_until};
use test_case::test_case;

const NORMAL: Behaviour = Behaviour::Normal(Duration::ZERO);

#[test]
fn forwards_request_and_reply_unchanged() {
    let target = Target::new("t-1", NORMAL);
    let (_store, gateway) = start_gateway(&[&target]);
    let reply =
        send_request(gateway.callers, &request("POST", "/once/a?b=c", "id-1", "hello")).unwrap();
    assert_eq!(reply.status(), 200);
    assert_eq!(reply.body, b"reply to id-1");
    assert_eq!(reply.header("x-server-signature"), Some("1.2"));
    let seen = target.requests.lock().unwrap()[0].clone();
    assert_eq!(seen.first, "POST /once/a?b=c HTTP/1.1");
    assert_eq!(seen.body, b"hello");
    assert_eq!(seen.header("x-request-id"), Some("id-1"));
    assert_eq!(seen.header("x-target-instance"), Some("t-1"));
    let left: u64 = seen.header("x-deadline-ms").unwrap().parse().unwrap();
    assert!(left <= 2_000, "deadline exceeds the route timeout: {left} ms");
}

/// The reply to the caller for each fault of the only target: status for an idempotent request
/// (`safe`) and for any other (`once`).
#[test_case(Behaviour::Sheds, 503, 503; "a target that sheds")]
#[test_case(Behaviour::Misdirected, 503, 503; "another target at the address")]
#[test_case(Behaviour::Fails, 500, 500; "an error reply")]
#[test_case(Behaviour::Truncates, 502, 502; "a reply that ends early")]
#[test_case(Behaviour::InvalidHttp, 502, 502; "bytes that are not HTTP")]
#[test_case(Behaviour::WrongRequestId, 502, 502; "a reply to another request")]
#[test_case(Behaviour::Unsigned, 502, 502; "a success without a signature")]
#[test_case(Behaviour::Closes, 502, 502; "a connection that is closed")]
#[test_case(Behaviour::Unframed, 200, 200; "a reply that ends with its connection")]
#[test_case(Behaviour::ExtraReply, 200, 200; "an unrequested second reply")]
fn a_single_faulty_target(behaviour: Behaviour, safe: u16, once: u16) {
    let target = Target::new("t-1", behaviour);
    let (_store, gateway) = start_gateway(&[&target]);
    let reply = send_request(gateway.callers, &request("POST", "/once/a", "id-1", "x")).unwrap();
    assert_eq!(reply.status(), once);
    assert_eq!(target.count(), 1, "a non-idempotent request is sent once");
    let reply = send_request(gateway.callers, &request("GET", "/safe/a", "id-2", "")).unwrap();
    assert!(reply.status() == safe || reply.status() == 503, "status {}", reply.status());
    if reply.status() == 503 {
        assert!(reply.header("retry-after").is_some());
    }
}

#[test_case(Behaviour::Sheds, "POST", "/once/"; "shed non-idempotent request")]
#[test_case(Behaviour::Misdirected, "POST", "/once/"; "misdirected non-idempotent request")]
#[test_case(Behaviour::Sheds, "GET", "/safe/"; "shed idempotent request")]
#[test_case(Behaviour::Truncates, "GET", "/safe/"; "truncated reply to idempotent request")]
#[test_case(Behaviour::WrongRequestId, "GET", "/safe/"; "wrong request id in reply to idempotent request")]
#[test_case(Behaviour::Fails, "GET", "/safe/"; "failed idempotent request")]
fn retries_at_another_target(behaviour: Behaviour, method: &str, path: &str) {
    let faulty = Target::new("t-bad", behaviour);
    let healthy = Target::new("t-good", NORMAL);
    let (_store, gateway) = start_gateway(&[&faulty, &healthy]);
    std::thread::sleep(WARM_UP);
    // Affinity keys spread over both targets, so some requests are sent to the faulty one first.
    for index in 0..12 {
        let id = format!("id-{index}");
        let bytes = request(method, path, &id, "");
        let text = String::from_utf8(bytes).unwrap().replace("Key=7", &format!("Key={index}"));
        let reply = send_request(gateway.callers, text.as_bytes()).unwrap();
        assert_eq!((reply.status(), reply.body), (200, format!("reply to {id}").into_bytes()));
    }
    assert!(faulty.count() > 0, "no request was sent to the faulty target");
}

/// Guards against targets that close idle connections before the timeout they state. A request sent
/// on one is lost, and a non-idempotent request cannot be retried. After two such losses the
/// gateway must stop reusing idle connections.
#[test]
fn stops_reusing_connections_that_targets_close() {
    let targets = ["t-1", "t-2", "t-3"].map(|name| Target::new(name, Behaviour::ClosesIdle));
    let (_store, gateway) = start_gateway(&targets.each_ref());
    let mut lost = 0;
    for index in 0..40 {
        let bytes = request("POST", "/once/", &format!("id-{index}"), "");
        let text = String::from_utf8(bytes).unwrap().replace("Key=7", &format!("Key={index}"));
        let reply = send_request(gateway.callers, text.as_bytes()).unwrap();
        lost += usize::from(reply.status() != 200);
        std::thread::sleep(Duration::from_millis(30));
    }
    assert!(lost <= 4, "{lost} requests failed");
}

/// After a restart of the whole fleet no machine knows the fleet's size, so each must assume a
/// small share of the retry budget.
#[test]
fn a_new_process_sends_few_retries() {
    let targets = [Target::new("t-1", Behaviour::Sheds), Target::new("t-2", Behaviour::Sheds)];
    let (_store, gateway) = start_gateway(&[&targets[0], &targets[1]]);
    let start = Instant::now();
    for index in 0..10 {
        let id = format!("id-{index}");
        let reply = send_request(gateway.callers, &request("GET", "/safe/a", &id, "")).unwrap();
        assert_eq!(reply.status(), 503);
    }
    assert!(start.elapsed() < Duration::from_secs(2), "the warm-up ended during the test");
    let arrivals = targets[0].count() + targets[1].count();
    assert!(arrivals <= 12, "{arrivals} attempts for 10 requests");
}

#[test]
fn an_unrequested_reply_is_discarded() {
    let target = Target::new("t-1", Behaviour::ExtraReply);
    let (_store, gateway) = start_gateway(&[&target]);
    for index in 0..5 {
        let id = format!("id-{index}");
        let reply = send_request(gateway.callers, &request("GET", "/safe/a", &id, "")).unwrap();
        assert_eq!(reply.body, format!("reply to {id}").into_bytes());
    }
}

/// A second copy of a reply may arrive while the connection is idle, or after the next request was
/// written. The next caller must not get it.
#[test_case(0; "at once")]
#[test_case(10; "before the next request")]
#[test_case(60; "after the next request")]
fn a_late_copy_of_a_reply_is_discarded(delay_ms: u64) {
    let target = Target::new("t-1", Behaviour::LateCopy(Duration::from_millis(delay_ms)));
    let (_store, gateway) = start_gateway(&[&target]);
    for index in 0..8 {
        let id = format!("id-{index}");
        let reply = send_request(gateway.callers, &request("POST", "/once/a", &id, "")).unwrap();
        let is_own = reply.status() == 200 && reply.body == format!("reply to {id}").into_bytes();
        assert!(is_own || reply.status() == 502, "{} {:?}", reply.status(), reply.body);
        std::thread::sleep(Duration::from_millis(30));
    }
}

/// On a connection that was used before, a reply without an id may be a late copy of an earlier one.
/// Taken as the reply to the request, it would say that a request did not run that runs.
#[test_case("HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"; "not run")]
#[test_case("HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n"; "misdirected")]
#[test_case("HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"; "an error")]
#[test_case("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"; "not run, after an informational reply")]
fn a_reply_without_an_id_on_a_used_connection(text: &'static str) {
    let target = Target::new("t-1", Behaviour::Precedes(text));
    let (_store, gateway) = start_gateway(&[&target]);
    for index in 0..6 {
        let id = format!("id-{index}");
        let reply = send_request(gateway.callers, &request("POST", "/once/a", &id, "x")).unwrap();
        assert!(
            matches!(reply.status(), 200 | 502),
            "status {} of a request that ran",
            reply.status()
        );
        assert_eq!(target.count(), index + 1, "a non-idempotent request is sent once");
    }
}

/// A reply that is cut at any byte is lost: the request ran, so it must neither run again nor be
/// reported as not run.
#[test]
fn a_reply_cut_at_any_byte() {
    let target = Target::new("t-1", NORMAL);
    let (_store, gateway) = start_gateway(&[&target]);
    let send = |id: &str| {
        send_request(gateway.callers, &request("POST", "/once/a", id, "x")).unwrap().status()
    };
    for cut in (0..120).step_by(3) {
        target.set_behaviour(Behaviour::Cuts(cut));
        let id = format!("id-{cut:03}");
        assert_eq!(send(&id), 502, "cut after {cut} bytes");
        let runs = target.runs.lock().unwrap().iter().filter(|run| run.id == id).count();
        assert_eq!(runs, 1, "cut after {cut} bytes");
        // Complete replies restore the trust in the target.
        target.set_behaviour(NORMAL);
        for attempt in 0..3 {
            assert_eq!(send(&format!("{id}-{attempt}")), 200);
        }
    }
}

#[test]
fn times_out_a_slow_target() {
    let target = Target::new("t-1", Behaviour::Normal(Duration::from_secs(5)));
    let (_store, gateway) = start_gateway(&[&target]);
    let start = Instant::now();
    let reply = send_request(gateway.callers, &request("POST", "/once/a", "id-1", "x")).unwrap();
    assert_eq!(reply.status(), 504);
    let time = start.elapsed();
    assert!(
        time >= Duration::from_millis(1_900) && time < Duration::from_millis(2_400),
        "{time:?}"
    );
    wait_until("the target's connection is closed", || {
        target.closed_early.load(Ordering::SeqCst) == 1
    });
}

#[test]
fn cancels_when_the_caller_disconnects() {
    let target = Target::new("t-1", Behaviour::Normal(Duration::from_secs(5)));
    let (_store, gateway) = start_gateway(&[&target]);
    let mut caller = TcpStream::connect(gateway.callers).unwrap();
    caller.write_all(&request("GET", "/safe/a", "id-1", "")).unwrap();
    wait_until("the target receives the request", || target.count() == 1);
    let start = Instant::now();
    drop(caller);
    wait_until("the target's connection is closed", || {
        target.closed_early.load(Ordering::SeqCst) == 1
    });
    assert!(start.elapsed() < Duration::from_millis(500), "took {:?}", start.elapsed());
}

/// Invalid requests get the given status and are not forwarded.
#[test_case("GET /nowhere/ HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: i\r\n\r\n", 404; "an unknown path")]
#[test_case("GET /safe/ HTTP/1.1\r\nHost: b.example\r\nX-Request-Id: i\r\n\r\n", 404; "an unknown host")]
#[test_case("GET /safe/ HTTP/1.1\r\nHost: a.example\r\n\r\n", 400; "no request id")]
#[test_case("GET /safe/ HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: i\r\nX-Deadline-Ms: soon\r\n\r\n", 400; "a malformed deadline")]
#[test_case("POST /safe/ HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: i\r\nContent-Length: 70000\r\n\r\n", 413; "a body over the limit")]
#[test_case("POST /safe/ HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: i\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400; "two lengths")]
#[test_case("GET /safe/ HTTP/1.1\r\nHost a.example\r\n\r\n", 400; "a malformed header")]
fn rejects_invalid_requests(text: &str, status: u16) {
    let target = Target::new("t-1", NORMAL);
    let (_store, gateway) = start_gateway(&[&target]);
    let reply = send_request(gateway.callers, text.as_bytes()).unwrap();
    assert_eq!(reply.status(), status);
    assert_eq!(target.count(), 0);
    let reply = send_request(gateway.callers, &request("GET", "/safe/a", "id-1", "")).unwrap();
    assert_eq!(reply.status(), 200, "valid requests still succeed");
}

#[test]
fn rejects_a_head_over_the_limit() {
    let target = Target::new("t-1", NORMAL);
    let (_store, gateway) = start_gateway(&[&target]);
    let long = "x".repeat(20_000);
    let text = format!(
        "GET /safe/ HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: i\r\nX-Long: {long}\r\n\r\n"
    );
    assert_eq!(send_request(gateway.callers, text.as_bytes()).unwrap().status(), 431);
    assert_eq!(target.count(), 0);
}

#[test]
fn rejects_request_smuggling() {
    let target = Target::new("t-1", NORMAL);
    let (_store, gateway) = start_gateway(&[&target]);
    let text = "POST /safe/ HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: i\r\nContent-Length: 60\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /safe/smuggled HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: j\r\n\r\n";
    let _ = send_request(gateway.callers, text.as_bytes());
    std::thread::sleep(Duration::from_millis(300));
    let seen = target.requests.lock().unwrap().clone();
    let is_inside =
        |seen: &fake::Message| !seen.body.is_empty() || seen.header("content-length") == Some("60");
    assert!(!seen.iter().any(is_inside), "{seen:?}");
}

#[test]
fn an_unreachable_target_is_skipped() {
    let unreachable = Target::new("t-dead", NORMAL);
    let healthy = Target::new("t-good", NORMAL);
    let (store, gateway) = start_gateway(&[&unreachable, &healthy]);
    // Nothing listens on this address.
    let mut entry = unreachable.entry("s", "ready");
    entry["spec"]["address"] = "127.0.0.1:1".into();
    store.put("servers", "t-dead", entry);
    std::thread::sleep(Duration::from_millis(300));
    for index in 0..8 {
        let reply =
            send_request(gateway.callers, &request("POST", "/once/a", &format!("id-{index}"), ""))
                .unwrap();
        assert_eq!(reply.status(), 200);
    }
}
