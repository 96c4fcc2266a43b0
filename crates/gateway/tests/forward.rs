//! Requests through a gateway to targets that behave and misbehave. They guard against replies that
//! belong to another request or are cut, work that runs twice, and refusals that are not true.

mod fake;

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use fake::{Behaviour, Target, WARM_UP, request, send_request, start_gateway, wait_until};
use test_case::test_case;

const NORMAL: Behaviour = Behaviour::Normal(Duration::ZERO);

#[test]
fn a_request_and_its_reply_pass_unchanged() {
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
    assert!(left <= 2_000, "more time than the route allows: {left} ms");
}

/// What a caller is told when the only target misbehaves: the status for idempotent work, and for
/// other work.
#[test_case(Behaviour::Sheds, 503, 503; "a target that sheds")]
#[test_case(Behaviour::Misdirected, 503, 503; "another target at the address")]
#[test_case(Behaviour::Fails, 500, 500; "a failure of the target's own")]
#[test_case(Behaviour::Truncates, 502, 502; "a reply that ends early")]
#[test_case(Behaviour::InvalidHttp, 502, 502; "bytes that are no reply")]
#[test_case(Behaviour::WrongRequestId, 502, 502; "a reply to another request")]
#[test_case(Behaviour::Unsigned, 502, 502; "a success without a digest")]
#[test_case(Behaviour::Closes, 502, 502; "a connection that is closed")]
#[test_case(Behaviour::Unframed, 200, 200; "a reply that ends with its connection")]
#[test_case(Behaviour::ExtraReply, 200, 200; "a second reply")]
fn the_only_target(behaviour: Behaviour, safe: u16, once: u16) {
    let target = Target::new("t-1", behaviour);
    let (_store, gateway) = start_gateway(&[&target]);
    let reply = send_request(gateway.callers, &request("POST", "/once/a", "id-1", "x")).unwrap();
    assert_eq!(reply.status(), once);
    assert_eq!(target.count(), 1, "work that must run once is sent once");
    let reply = send_request(gateway.callers, &request("GET", "/safe/a", "id-2", "")).unwrap();
    assert!(reply.status() == safe || reply.status() == 503, "status {}", reply.status());
    if reply.status() == 503 {
        assert!(reply.header("retry-after").is_some());
    }
}

#[test_case(Behaviour::Sheds, "POST", "/once/"; "shed work that must run once")]
#[test_case(Behaviour::Misdirected, "POST", "/once/"; "misplaced work that must run once")]
#[test_case(Behaviour::Sheds, "GET", "/safe/"; "shed idempotent work")]
#[test_case(Behaviour::Truncates, "GET", "/safe/"; "a cut reply to idempotent work")]
#[test_case(Behaviour::WrongRequestId, "GET", "/safe/"; "a foreign reply to idempotent work")]
#[test_case(Behaviour::Fails, "GET", "/safe/"; "failed idempotent work")]
fn another_target_answers(behaviour: Behaviour, method: &str, path: &str) {
    let bad = Target::new("t-bad", behaviour);
    let good = Target::new("t-good", NORMAL);
    let (_store, gateway) = start_gateway(&[&bad, &good]);
    std::thread::sleep(WARM_UP);
    // Objects spread over both targets, so some requests come to the bad one first.
    for index in 0..12 {
        let id = format!("id-{index}");
        let bytes = request(method, path, &id, "");
        let text = String::from_utf8(bytes).unwrap().replace("Key=7", &format!("Key={index}"));
        let reply = send_request(gateway.callers, text.as_bytes()).unwrap();
        assert_eq!((reply.status(), reply.body), (200, format!("reply to {id}").into_bytes()));
    }
    assert!(bad.count() > 0, "no request came to the bad target");
}

/// Targets that forget idle connections sooner than they say lose what is sent on them, and work that
/// must run once cannot be sent again: after two such losses kept connections are not trusted.
#[test]
fn forgotten_connections_are_soon_not_used() {
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
    assert!(lost <= 4, "{lost} requests were lost");
}

/// After a restart of all machines none of them knows how many there are, so each may repeat little.
#[test]
fn a_new_process_repeats_little() {
    let targets = [Target::new("t-1", Behaviour::Sheds), Target::new("t-2", Behaviour::Sheds)];
    let (_store, gateway) = start_gateway(&[&targets[0], &targets[1]]);
    let start = Instant::now();
    for index in 0..10 {
        let id = format!("id-{index}");
        let reply = send_request(gateway.callers, &request("GET", "/safe/a", &id, "")).unwrap();
        assert_eq!(reply.status(), 503);
    }
    assert!(start.elapsed() < Duration::from_secs(2), "the process has settled meanwhile");
    let arrivals = targets[0].count() + targets[1].count();
    assert!(arrivals <= 12, "{arrivals} arrivals of 10 requests");
}

#[test]
fn an_extra_reply_goes_to_nobody() {
    let target = Target::new("t-1", Behaviour::ExtraReply);
    let (_store, gateway) = start_gateway(&[&target]);
    for index in 0..5 {
        let id = format!("id-{index}");
        let reply = send_request(gateway.callers, &request("GET", "/safe/a", &id, "")).unwrap();
        assert_eq!(reply.body, format!("reply to {id}").into_bytes());
    }
}

#[test]
fn a_late_reply_is_answered_at_the_timeout() {
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
fn work_ends_when_its_caller_goes_away() {
    let target = Target::new("t-1", Behaviour::Normal(Duration::from_secs(5)));
    let (_store, gateway) = start_gateway(&[&target]);
    let mut caller = TcpStream::connect(gateway.callers).unwrap();
    caller.write_all(&request("GET", "/safe/a", "id-1", "")).unwrap();
    wait_until("the request runs", || target.count() == 1);
    let start = Instant::now();
    drop(caller);
    wait_until("the target's connection is closed", || {
        target.closed_early.load(Ordering::SeqCst) == 1
    });
    assert!(start.elapsed() < Duration::from_millis(500), "after {:?}", start.elapsed());
}

/// Bad requests: the status, and that nothing is passed on.
#[test_case("GET /nowhere/ HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: i\r\n\r\n", 404; "an unknown path")]
#[test_case("GET /safe/ HTTP/1.1\r\nHost: b.example\r\nX-Request-Id: i\r\n\r\n", 404; "an unknown host")]
#[test_case("GET /safe/ HTTP/1.1\r\nHost: a.example\r\n\r\n", 400; "no request id")]
#[test_case("GET /safe/ HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: i\r\nX-Deadline-Ms: soon\r\n\r\n", 400; "a malformed deadline")]
#[test_case("POST /safe/ HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: i\r\nContent-Length: 70000\r\n\r\n", 413; "a body over the limit")]
#[test_case("POST /safe/ HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: i\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400; "two lengths")]
#[test_case("GET /safe/ HTTP/1.1\r\nHost a.example\r\n\r\n", 400; "a malformed header")]
fn bad_input_is_told_so(text: &str, status: u16) {
    let target = Target::new("t-1", NORMAL);
    let (_store, gateway) = start_gateway(&[&target]);
    let reply = send_request(gateway.callers, text.as_bytes()).unwrap();
    assert_eq!(reply.status(), status);
    assert_eq!(target.count(), 0);
    let reply = send_request(gateway.callers, &request("GET", "/safe/a", "id-1", "")).unwrap();
    assert_eq!(reply.status(), 200, "others are not harmed");
}

#[test]
fn a_head_over_the_limit_is_refused() {
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
fn a_smuggled_request_is_not_passed_on() {
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
fn a_dead_target_is_passed_over() {
    let dead = Target::new("t-dead", NORMAL);
    let good = Target::new("t-good", NORMAL);
    let (store, gateway) = start_gateway(&[&dead, &good]);
    // An address where nothing listens.
    let mut entry = dead.entry("s", "ready");
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
