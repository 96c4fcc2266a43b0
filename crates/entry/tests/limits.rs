//! Limits on the memory, connections and time that callers can make an entry use.

mod fake;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use fake::{HEADERS, Setup, Target, call, metric_sum, reply, run, wait_until};
use test_case::test_case;

/// Sends `bytes` and returns everything received until the connection ends.
fn send_raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("connect");
    stream.set_read_timeout(Some(Duration::from_secs(5))).expect("timeout");
    // The entry may close the connection before everything is sent.
    let _ = stream.write_all(bytes);
    read_all(&mut stream)
}

fn read_all(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut chunk = [0; 4_096];
    while let Ok(len) = stream.read(&mut chunk) {
        if len == 0 {
            break;
        }
        bytes.extend_from_slice(&chunk[..len]);
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// The status, outcome and lower-case code of a raw reply. The codes here are ep-2007 (queue full),
/// ep-2013 (body too large) and ep-2014 (head malformed).
fn raw_summary(reply: &str) -> String {
    let lower = reply.to_lowercase();
    let header = |name: &str| {
        let line = lower.lines().find_map(|line| line.strip_prefix(name));
        line.map_or("", str::trim).to_owned()
    };
    let status = reply.split(' ').nth(1).unwrap_or_default();
    let (outcome, code) = (header("ebonypass-outcome:"), header("ebonypass-code:"));
    format!("{status} {outcome} {code}").trim().to_owned()
}

fn setup(name: &str, limits: &str) -> (Setup, Target) {
    let target = Target::echo("rounds-zurich-1-01");
    let setup = Setup::new(name, &[&target], &format!("[limits]\n{limits}"));
    (setup, target)
}

/// A head above the limit is refused with the outcome not-run, also while it is still being sent.
#[test_case(15_000, "200 answered"; "within")]
#[test_case(17_000, "431 not-run ep-2014"; "above")]
#[test_case(1_000_000, "431 not-run ep-2014"; "far above")]
fn head_limit(len: usize, expected: &str) {
    let (setup, target) = setup("long-head", "");
    let filler = "x".repeat(len);
    let head = format!(
        "POST /v1/run/rounds/lookup HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n\
         content-length: 0\r\n{HEADERS}x-filler: {filler}\r\n\r\n"
    );
    assert_eq!(raw_summary(&send_raw(setup.address(), head.as_bytes())), expected);
    let refused = expected != "200 answered";
    assert_eq!(target.runs().len(), usize::from(!refused));
    assert_eq!(metric_sum(setup.server.admin_address(), "limited"), f64::from(u8::from(refused)));
}

/// A body above the limit is refused with the outcome not-run, with or without a content length.
#[test_case(&"x".repeat(100), "content-length: 100", "200 answered"; "within")]
#[test_case(&"x".repeat(101), "content-length: 101", "413 not-run ep-2013"; "above")]
#[test_case("", "content-length: 99999999999", "413 not-run ep-2013"; "far above")]
#[test_case("", "content-length: -1", "400 not-run ep-2014"; "negative")]
#[test_case("5\r\nhello\r\n0\r\n\r\n", "transfer-encoding: chunked", "200 answered"; "chunks")]
#[test_case(&format!("c8\r\n{}\r\n0\r\n\r\n", "x".repeat(200)), "transfer-encoding: chunked", "413 not-run ep-2013"; "chunks above")]
fn body_limit(body: &str, length: &str, expected: &str) {
    let (setup, target) = setup("long-body", "body_bytes = 100\n");
    let request = format!(
        "POST /v1/run/rounds/lookup HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n\
         {length}\r\n{HEADERS}\r\n{body}"
    );
    assert_eq!(raw_summary(&send_raw(setup.address(), request.as_bytes())), expected);
    assert_eq!(target.runs().len(), usize::from(expected.starts_with("200")));
}

/// Every refusal has an outcome header, also for malformed heads and unknown paths.
#[test_case("nonsense\r\n\r\n", "400 not-run ep-2014"; "no HTTP")]
#[test_case("GET /v1/lookup HTTP/1.1\r\n\r\n", "400 not-run ep-2014"; "no host")]
#[test_case("GET /v1/lookup HTTP/1.1\r\nhost: a\r\nhost: b\r\ntransfer-encoding: gzip\r\n\r\n", "400 not-run ep-2014"; "repeated host and unsupported transfer-encoding")]
#[test_case("GET /nothing HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n\r\n", "404 not-run ep-2014"; "unknown path")]
#[test_case("GET /v1/run/rounds/lookup HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n\r\n", "404 not-run ep-2014"; "wrong method")]
#[test_case("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "400 not-run ep-2014"; "HTTP/2 preface")]
fn refusals_have_outcome_header(request: &str, expected: &str) {
    let (setup, _) = setup("stated", "");
    assert_eq!(raw_summary(&send_raw(setup.address(), request.as_bytes())), expected);
}

/// The connection of a slow sender is closed at the time limit, even if bytes keep arriving.
/// Otherwise a caller could keep connections open for ever. `head_timeout_ms` also limits the body;
/// an incomplete body is refused as malformed (400), not with 408.
#[test_case("POST /v1/run/rounds/lookup HTTP/1.1\r\n", "408 not-run ep-2014"; "head")]
#[test_case("POST /v1/run/rounds/lookup HTTP/1.1\r\nhost: entry\r\ncontent-length: 1000\r\nebonypass-member: windelrunde\r\nebonypass-block: 10.1.0.0/24\r\n\r\nxx", "400 not-run ep-2014"; "body")]
fn slow_request(partial: &str, expected: &str) {
    let (setup, target) = setup("slow", "head_timeout_ms = 300\n");
    let mut stream = TcpStream::connect(setup.address()).expect("connect");
    let mut writer = stream.try_clone().expect("clone");
    stream.write_all(partial.as_bytes()).expect("write");
    let start = Instant::now();
    let sender = std::thread::spawn(move || {
        while writer.write_all(b"x").is_ok() && start.elapsed() < Duration::from_secs(5) {
            std::thread::sleep(Duration::from_millis(50));
        }
    });
    let reply = read_all(&mut stream);
    assert_eq!(raw_summary(&reply), expected, "{reply}");
    assert!(start.elapsed() < Duration::from_secs(2), "{:?}", start.elapsed());
    drop(stream);
    sender.join().expect("thread");
    assert!(target.runs().is_empty());
}

/// An idle connection is closed after the idle timeout; one that waits for a reply is not.
#[test]
fn idle_connection() {
    let (setup, target) = setup("idle", "idle_timeout_ms = 300\n");
    target.set_delay(Duration::from_millis(600));
    assert_eq!(run(setup.address(), b"x").summary(), "200 answered");
    let mut stream = TcpStream::connect(setup.address()).expect("connect");
    let start = Instant::now();
    assert_eq!(read_all(&mut stream), "");
    assert!((250..1_000).contains(&start.elapsed().as_millis()), "{:?}", start.elapsed());
}

/// Connections above the limit (`callers`) are refused with the outcome not-run, and with the code
/// for a full queue, until others are closed.
#[test]
fn connection_limit() {
    let (setup, _) = setup("many-callers", "callers = 8\n");
    let connections: Vec<TcpStream> =
        (0..8).map(|_| TcpStream::connect(setup.address()).expect("connect")).collect();
    // Until the entry has accepted them.
    std::thread::sleep(Duration::from_millis(100));
    let reply = send_raw(setup.address(), b"");
    assert_eq!(raw_summary(&reply), "503 not-run ep-2007");
    drop(connections);
    wait_until("a request is accepted", || {
        call(setup.address(), "POST", "/v1/run/rounds/lookup", HEADERS, b"x")
            .is_some_and(|reply| reply.status == 200)
    });
}

/// Requests whose bodies would exceed the memory limit are refused: 2500 bytes hold two bodies of
/// 1000. The delay makes the four requests overlap.
#[test]
fn body_memory_limit() {
    let (setup, target) = setup("held", "body_bytes = 1000\nheld_bytes = 2500\n");
    target.set_delay(Duration::from_millis(500));
    let address = setup.address();
    // Long enough that the deadline refuses none of them.
    let headers = format!("{HEADERS}ebonypass-deadline-ms: 9000\r\n");
    let calls: Vec<_> = (0..4)
        .map(|_| {
            let headers = headers.clone();
            std::thread::spawn(move || {
                let body = [b'x'; 1_000];
                let reply = call(address, "POST", "/v1/run/rounds/lookup", &headers, &body);
                reply.expect("reply").summary()
            })
        })
        .collect();
    let results: Vec<String> = calls.into_iter().map(|call| call.join().expect("thread")).collect();
    let count = |text: &str| results.iter().filter(|result| *result == text).count();
    assert_eq!((count("200 answered"), count("503 not-run EP-2007")), (2, 2), "{results:?}");
    assert_eq!(metric_sum(setup.server.admin_address(), "held_bytes"), 0.0);
}

/// A caller that has shut down its sending side still gets its reply.
#[test]
fn half_closed_connection() {
    let (setup, target) = setup("half-closed", "");
    target.set_delay(Duration::from_millis(200));
    let request = format!(
        "POST /v1/run/rounds/lookup HTTP/1.1\r\nhost: entry\r\ncontent-length: 1\r\n{HEADERS}\r\nx"
    );
    let mut stream = TcpStream::connect(setup.address()).expect("connect");
    stream.write_all(request.as_bytes()).expect("write");
    stream.shutdown(Shutdown::Write).expect("shutdown");
    assert_eq!(raw_summary(&read_all(&mut stream)), "200 answered");
}

/// A truncated request is not run. The entry closes the connection without a reply or replies 400.
#[test_case("POST /v1/run/rounds/lookup HTTP/1.1\r\nhost: en"; "in the head")]
#[test_case("POST /v1/run/rounds/lookup HTTP/1.1\r\nhost: entry\r\ncontent-length: 9\r\nebonypass-member: windelrunde\r\nebonypass-block: 10.1.0.0/24\r\n\r\nxx"; "in the body")]
fn truncated_request(partial: &str) {
    let (setup, target) = setup("cut", "");
    let mut stream = TcpStream::connect(setup.address()).expect("connect");
    stream.write_all(partial.as_bytes()).expect("write");
    stream.shutdown(Shutdown::Write).expect("shutdown");
    let reply = raw_summary(&read_all(&mut stream));
    assert!(["", "400 not-run ep-2014"].contains(&reply.as_str()), "{reply}");
    assert!(target.runs().is_empty());
}

/// The connection of a caller that does not read its reply is closed. The reply is larger than the
/// socket buffers, so that the entry cannot finish writing it.
#[test]
fn stalled_reader() {
    let target =
        Target::new("rounds-zurich-1-01", |_| Some(reply(200, "", &vec![b'x'; 50_000_000])));
    let setup = Setup::new("stalled", &[&target], "[limits]\nidle_timeout_ms = 300\n");
    let request = format!(
        "POST /v1/run/rounds/lookup HTTP/1.1\r\nhost: entry\r\ncontent-length: 0\r\n{HEADERS}\r\n"
    );
    let mut stream = TcpStream::connect(setup.address()).expect("connect");
    stream.write_all(request.as_bytes()).expect("write");
    let admin = setup.server.admin_address();
    wait_until("the stalled connection is counted", || metric_sum(admin, "limited") >= 1.0);
    assert!(read_all(&mut stream).len() < 50_000_000);
}

/// Pipelined requests are all answered.
#[test]
fn pipelined_requests() {
    let (setup, target) = setup("pipelined", "");
    let request = format!(
        "POST /v1/run/rounds/lookup HTTP/1.1\r\nhost: entry\r\ncontent-length: 1\r\n{HEADERS}\r\nx"
    );
    let last = request.replace("host: entry", "host: entry\r\nconnection: close");
    let reply = send_raw(setup.address(), format!("{request}{last}").as_bytes());
    assert_eq!(reply.matches("HTTP/1.1 200").count(), 2, "{reply}");
    assert_eq!(target.runs().len(), 2);
}

proptest::proptest! {
    #![proptest_config(proptest::test_runner::Config { cases: 1, ..Default::default() })]
    /// No request is run for arbitrary bytes, and the entry keeps serving. One case sends 100
    /// inputs, each on its own connection.
    #[test]
    fn arbitrary_bytes(inputs in proptest::collection::vec(proptest::collection::vec(proptest::num::u8::ANY, 0..200), 100)) {
        let (setup, target) = setup("arbitrary", "head_timeout_ms = 100\nidle_timeout_ms = 100\n");
        for bytes in inputs {
            let mut stream = TcpStream::connect(setup.address()).expect("connect");
            let _ = stream.write_all(&bytes);
        }
        proptest::prop_assert!(target.runs().is_empty());
        proptest::prop_assert_eq!(run(setup.address(), b"x").summary(), "200 answered");
    }
}
