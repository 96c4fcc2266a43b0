//! The target client, against a scripted server.

mod fake;

use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use ebonypass_node::target::{
    Attempt, Body, Error, Http, MAX_BUFFERED_REPLY_BYTES, Request, Target, scan_load,
};
use ebonypass_node::trace::Context;
use fake::{Server, Step, reply};
use smol::io::AsyncReadExt;
use test_case::test_case;

fn request(idempotent: bool) -> Request {
    Request {
        service: "rounds".to_owned(),
        kind: "lookup".to_owned(),
        idempotent,
        body: b"sheet 7".to_vec(),
        content_type: None,
    }
}

fn attempt() -> Attempt {
    Attempt {
        id: "zurich-1-a.k3f9.1".to_owned(),
        time_left: Duration::from_millis(200),
        reply_timeout: Duration::from_millis(300),
        trace: Context::new(),
    }
}

/// Runs one attempt and returns status and body, or the name of the error.
fn run(http: &Http, address: SocketAddr, idempotent: bool) -> String {
    let (request, attempt) = (request(idempotent), attempt());
    match smol::block_on(http.run(address, &request, &attempt)) {
        Ok(reply) => match reply.body {
            Body::Buffered(body) => {
                format!("{} {}", reply.head.status, String::from_utf8_lossy(&body))
            }
            Body::Streamed { length, .. } => format!("{} stream of {length:?}", reply.head.status),
        },
        Err(Error::Unsent(_)) => "unsent".to_owned(),
        Err(Error::Shed) => "shed".to_owned(),
        Err(Error::Lost(_)) => "lost".to_owned(),
        Err(Error::Truncated) => "truncated".to_owned(),
    }
}

fn crlf(text: &str) -> Vec<u8> {
    text.replace('\n', "\r\n").into_bytes()
}

fn closed_port() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").expect("bind").local_addr().expect("address")
}

/// The result for each behaviour of a target. Guards against "not run" for a request that may have
/// run, and against a truncated reply that looks complete.
#[test_case(Step::Reply(reply("200 OK", "", "sheet")), "200 sheet"; "answer")]
#[test_case(Step::Reply(reply("404 Not Found", "", "none")), "404 none"; "own status")]
#[test_case(Step::Reply(reply("503 Service Unavailable", "x-not-run: 1\r\n", "")), "shed"; "shed")]
#[test_case(Step::Reply(reply("503 Service Unavailable", "", "sad")), "503 sad"; "own 503")]
#[test_case(Step::Reply(reply("500 Error", "x-not-run: 1\r\n", "sad")), "500 sad"; "mark on 500")]
#[test_case(Step::CloseAfterRequest, "lost"; "close after the request")]
#[test_case(Step::NoReply, "lost"; "no reply")]
#[test_case(Step::DelayedReply(Duration::from_millis(100), reply("200 OK", "", "late")), "200 late"; "slow")]
#[test_case(Step::ReplyAndClose(crlf("HTTP/1.1 200 OK\ncontent-le")), "lost"; "cut head")]
#[test_case(Step::ReplyAndClose(crlf("HTTP/1.1 200 OK\ncontent-length: 5\n\nshe")), "truncated"; "cut body")]
#[test_case(Step::ReplyAndClose(crlf("HTTP/1.1 200 OK\ncontent-length: 5\n\n")), "truncated"; "no body")]
#[test_case(Step::ReplyAndClose(crlf("HTTP/1.1 200 OK\n\nsheet")), "truncated"; "no length")]
#[test_case(Step::ReplyAndClose(crlf("HTTP/1.1 503 No\nx-not-run: 1\ncontent-length: 5\n\nshe")), "truncated"; "cut shed")]
#[test_case(Step::ReplyAndClose(crlf("HTTP/1.1 200 OK\ncontent-length: x\n\nsheet")), "lost"; "bad length")]
#[test_case(Step::ReplyAndClose(crlf("HTTP/1.1 200 OK\ncontent-length: 5\ncontent-length: 4\n\nsheet")), "lost"; "two lengths")]
#[test_case(Step::ReplyAndClose(crlf("ok\n\n")), "lost"; "no HTTP")]
#[test_case(Step::ReplyAndClose(crlf("HTTP/1.1 200 OK\ntransfer-encoding: chunked\n\n5\nsheet\n0\n\n")), "200 sheet"; "chunks")]
#[test_case(Step::ReplyAndClose(crlf("HTTP/1.1 200 OK\ntransfer-encoding: chunked\n\n5\nsheet\n")), "truncated"; "no last chunk")]
#[test_case(Step::ReplyAndClose(crlf("HTTP/1.1 200 OK\ntransfer-encoding: chunked\n\n9\nsheet")), "truncated"; "cut chunk")]
#[test_case(Step::Reply(crlf("HTTP/1.1 204 None\n\n")), "204 "; "no content")]
fn one_reply(step: Step, expected: &str) {
    let server = Server::start(vec![vec![step]]);
    assert_eq!(run(&Http::new(), server.address, false), expected);
    assert_eq!(server.requests().len(), 1, "the request must be sent exactly once");
}

/// After a refused connection it is certain that nothing was sent.
#[test]
fn refused_connection() {
    assert_eq!(run(&Http::new(), closed_port(), false), "unsent");
}

/// If a target closes a new connection, the request may have been sent or not.
#[test]
fn close_first() {
    let server = Server::start(vec![vec![Step::CloseBeforeRequest]]);
    let result = run(&Http::new(), server.address, false);
    assert!(["lost", "unsent"].contains(&result.as_str()), "{result}");
}

/// The request line, headers and body that a target receives.
#[test]
fn request_text() {
    let server = Server::start(vec![vec![Step::Reply(reply("200 OK", "", ""))]]);
    run(&Http::new(), server.address, true);
    let text = server.requests().remove(0);
    assert!(text.starts_with("POST /run/rounds/lookup HTTP/1.1\r\n"), "{text}");
    assert!(text.ends_with("\r\n\r\nsheet 7"), "{text}");
    let lower = text.to_lowercase();
    for header in ["x-request-id: zurich-1-a.k3f9.1", "x-deadline-ms: 200", "traceparent: 00-"] {
        assert!(lower.contains(&format!("\r\n{header}")), "{text}");
    }
    assert!(lower.contains(&format!("\r\nhost: {}\r\n", server.address)), "{text}");
    assert!(!lower.contains("expect:"), "{text}");
}

/// A body above 1 KiB is sent at once, without a wait for `100 Continue`.
#[test]
fn large_body() {
    let server = Server::start(vec![vec![Step::Reply(reply("200 OK", "", "ok"))]]);
    let request = Request { body: vec![b'x'; 900_000], ..request(false) };
    let http = Http::new();
    let attempt = attempt();
    let result = smol::block_on(http.run(server.address, &request, &attempt));
    assert!(result.is_ok_and(|reply| reply.head.status == 200));
    assert!(!server.requests()[0].to_lowercase().contains("expect:"));
}

/// A body above 256 KiB is streamed; reading it fails if the target truncates it.
#[test_case(300_000, 300_000, true, Ok(300_000); "whole length")]
#[test_case(300_000, 290_000, true, Err(()); "cut length")]
#[test_case(300_000, 300_000, false, Ok(300_000); "whole chunks")]
#[test_case(300_000, 290_000, false, Err(()); "cut chunks")]
fn long_reply(stated: usize, sent: usize, has_length: bool, expected: Result<usize, ()>) {
    let head = match has_length {
        true => format!("content-length: {stated}\r\n\r\n"),
        false => format!("transfer-encoding: chunked\r\n\r\n{stated:x}\r\n"),
    };
    let end = if has_length || sent < stated { "" } else { "\r\n0\r\n\r\n" };
    let body = "x".repeat(sent);
    let text = format!("HTTP/1.1 200 OK\r\n{head}{body}{end}");
    let server = Server::start(vec![vec![Step::ReplyAndClose(text.into_bytes())]]);
    let (http, request, attempt) = (Http::new(), request(false), attempt());
    let reply = smol::block_on(http.run(server.address, &request, &attempt)).expect("reply");
    let Body::Streamed { length, mut reader } = reply.body else { panic!("not streamed") };
    assert_eq!(length, has_length.then_some(stated as u64));
    let mut bytes = Vec::new();
    let read = smol::block_on(reader.read_to_end(&mut bytes));
    assert_eq!(read.map_err(drop), expected);
}

/// A reply of exactly the limit is buffered.
#[test]
fn limit_reply() {
    let body = "x".repeat(MAX_BUFFERED_REPLY_BYTES as usize);
    let server = Server::start(vec![vec![Step::Reply(reply("200 OK", "", &body))]]);
    assert_eq!(run(&Http::new(), server.address, false), format!("200 {body}"));
}

/// If a target closes an idle connection between two requests, the second one uses a new
/// connection.
#[test]
fn closed_between() {
    let ok = Step::Reply(reply("200 OK", "", "ok"));
    let server = Server::start(vec![vec![ok.clone(), Step::CloseBeforeRequest], vec![ok]]);
    let http = Http::new();
    assert_eq!(run(&http, server.address, false), "200 ok");
    std::thread::sleep(Duration::from_millis(50));
    assert_eq!(run(&http, server.address, false), "200 ok");
    assert_eq!(server.requests().len(), 2);
}

/// A target that closes a reused connection when the next request arrives may have run it. Guards
/// against sending that request again.
#[test]
fn closed_on_arrival() {
    let ok = Step::Reply(reply("200 OK", "", "ok"));
    let server = Server::start(vec![vec![ok.clone(), Step::CloseAfterRequest], vec![ok]]);
    let http = Http::new();
    assert_eq!(run(&http, server.address, false), "200 ok");
    assert_eq!(run(&http, server.address, false), "lost");
    assert_eq!(server.requests().len(), 2);
}

/// Bytes beyond a reply's length must not be taken for the next reply.
#[test]
fn excess_bytes() {
    let text = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwrong";
    let next = Step::Reply(reply("200 OK", "", "right"));
    let server =
        Server::start(vec![vec![Step::Reply(text.as_bytes().to_vec()), next.clone()], vec![next]]);
    let http = Http::new();
    assert_eq!(run(&http, server.address, false), "200 ok");
    assert_eq!(run(&http, server.address, false), "200 right");
}

/// A reply that arrives after its attempt timed out must not be taken for the next reply.
#[test]
fn late_reply() {
    let late = Step::DelayedReply(Duration::from_millis(400), reply("200 OK", "", "wrong"));
    let next = Step::Reply(reply("200 OK", "", "right"));
    let server = Server::start(vec![vec![late, next.clone()], vec![next]]);
    let http = Http::new();
    assert_eq!(run(&http, server.address, true), "lost");
    std::thread::sleep(Duration::from_millis(200));
    assert_eq!(run(&http, server.address, true), "200 right");
}

/// A connection is not reused after `connection: close` or an HTTP/1.0 reply.
#[test_case("HTTP/1.1 200 OK\r\nconnection: close"; "close")]
#[test_case("HTTP/1.0 200 OK"; "old version")]
fn not_kept(start: &str) {
    let text = format!("{start}\r\ncontent-length: 2\r\n\r\nok");
    let next = Step::Reply(reply("200 OK", "", "right"));
    let wrong = Step::Reply(reply("200 OK", "", "wrong"));
    let first = Step::Reply(text.into_bytes());
    let server = Server::start(vec![vec![first, wrong], vec![next]]);
    let http = Http::new();
    assert_eq!(run(&http, server.address, false), "200 ok");
    assert_eq!(run(&http, server.address, false), "200 right");
}

/// A cancelled attempt still returns the target's reply: the slot counts as free only then.
#[test]
fn cancelled_attempt() {
    let slow = Step::DelayedReply(Duration::from_millis(100), reply("200 OK", "", "done"));
    let cancel = Step::Reply(reply("200 OK", "", ""));
    let server = Server::start(vec![vec![slow], vec![cancel]]);
    let http = Http::new();
    let other = http.clone();
    let address = server.address;
    let (request, attempt) = (request(true), attempt());
    smol::block_on(async {
        let run = smol::spawn(async move { other.run(address, &request, &attempt).await.is_ok() });
        smol::Timer::after(Duration::from_millis(30)).await;
        http.cancel(address, "zurich-1-a.k3f9.1").await;
        assert!(run.await);
    });
    assert!(server.requests()[1].starts_with("POST /cancel/zurich-1-a.k3f9.1 HTTP/1.1\r\n"));
}

/// The load report of section 5.3 of docs/design.md, and replies that are not a valid report.
#[test_case(Step::Reply(reply("200 OK", "", r#"{"slots":3,"busy":2,"queued":0,"leaving":true}"#)), Some((2, true)); "report")]
#[test_case(Step::Reply(reply("200 OK", "", "{}")), None; "empty")]
#[test_case(Step::Reply(reply("503 No", "", r#"{"slots":3,"busy":2,"queued":0,"leaving":true}"#)), None; "status")]
#[test_case(Step::Reply(reply("200 OK", "", &" ".repeat(5_000))), None; "too long")]
#[test_case(Step::CloseAfterRequest, None; "closed")]
#[test_case(Step::NoReply, None; "silent")]
fn load_report(step: Step, expected: Option<(u32, bool)>) {
    let server = Server::start(vec![vec![step]]);
    let load = smol::block_on(Http::new().load(server.address));
    assert_eq!(load.map(|load| (load.busy, load.leaving)), expected);
}

proptest::proptest! {
    /// Arbitrary bytes give a load report or `None`, never a panic.
    #[test]
    fn arbitrary_load(bytes: Vec<u8>) {
        let _ = scan_load(&bytes);
    }
}

proptest::proptest! {
    #![proptest_config(proptest::test_runner::Config::with_cases(64))]
    /// Arbitrary bytes in place of a reply give an error, never a reply.
    #[test]
    fn arbitrary_reply(bytes: Vec<u8>) {
        let server = Server::start(vec![vec![Step::ReplyAndClose(bytes.clone())]]);
        let result = run(&Http::new(), server.address, false);
        proptest::prop_assert!(["lost", "truncated", "shed"].contains(&result.as_str()), "{}", result);
    }
}

/// A connection is reused after a complete reply.
#[test]
fn kept_connection() {
    let ok = Step::Reply(reply("200 OK", "", "ok"));
    let server =
        Server::start(vec![vec![ok.clone(), ok.clone(), ok], vec![Step::CloseBeforeRequest]]);
    let http = Http::new();
    for _ in 0..3 {
        assert_eq!(run(&http, server.address, false), "200 ok");
    }
}
