//! What callers can make an entry hold, and for how long.

mod fake;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use fake::{HEADERS, Target, World, call, metric, reply, run, wait_until};
use test_case::test_case;

/// Sends `bytes` and gives all that comes back until the connection ends.
fn raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("connect");
    stream.set_read_timeout(Some(Duration::from_secs(5))).expect("timeout");
    // The entry may refuse and close before everything is sent.
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

/// Status and outcome of a raw reply.
fn summary(reply: &str) -> String {
    let lower = reply.to_lowercase();
    let header = |name: &str| {
        let line = lower.lines().find_map(|line| line.strip_prefix(name));
        line.map_or("", str::trim).to_owned()
    };
    let status = reply.split(' ').nth(1).unwrap_or_default();
    let (outcome, code) = (header("ebonypass-outcome:"), header("ebonypass-code:"));
    format!("{status} {outcome} {code}").trim().to_owned()
}

fn world(name: &str, limits: &str) -> (World, Target) {
    let target = Target::echo("rounds-zurich-1-01");
    let world = World::new(name, &[&target], &format!("[limits]\n{limits}"));
    (world, target)
}

/// A head above the limit is refused as not run, and what it costs is bounded.
#[test_case(15_000, "200 answered"; "within")]
#[test_case(17_000, "431 not-run ep-2014"; "above")]
#[test_case(1_000_000, "431 not-run ep-2014"; "far above")]
fn long_head(len: usize, expected: &str) {
    let (world, target) = world("long-head", "");
    let filler = "x".repeat(len);
    let head = format!(
        "POST /v1/run/rounds/lookup HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n\
         content-length: 0\r\n{HEADERS}x-filler: {filler}\r\n\r\n"
    );
    assert_eq!(summary(&raw(world.address(), head.as_bytes())), expected);
    let refused = expected != "200 answered";
    assert_eq!(target.runs().len(), usize::from(!refused));
    assert_eq!(metric(world.server.admin_address(), "limited"), f64::from(u8::from(refused)));
}

/// A body above the limit is refused as not run, whether its length is told or not.
#[test_case(&"x".repeat(100), "content-length: 100", "200 answered"; "within")]
#[test_case(&"x".repeat(101), "content-length: 101", "413 not-run ep-2013"; "above")]
#[test_case("", "content-length: 99999999999", "413 not-run ep-2013"; "far above")]
#[test_case("", "content-length: -1", "400 not-run ep-2014"; "negative")]
#[test_case("5\r\nhello\r\n0\r\n\r\n", "transfer-encoding: chunked", "200 answered"; "chunks")]
#[test_case(&format!("c8\r\n{}\r\n0\r\n\r\n", "x".repeat(200)), "transfer-encoding: chunked", "413 not-run ep-2013"; "chunks above")]
fn long_body(body: &str, length: &str, expected: &str) {
    let (world, target) = world("long-body", "body_bytes = 100\n");
    let request = format!(
        "POST /v1/run/rounds/lookup HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n\
         {length}\r\n{HEADERS}\r\n{body}"
    );
    assert_eq!(summary(&raw(world.address(), request.as_bytes())), expected);
    assert_eq!(target.runs().len(), usize::from(expected.starts_with("200")));
}

/// Each refusal states its outcome, also of heads that are no HTTP and of unknown paths.
#[test_case("nonsense\r\n\r\n", "400 not-run ep-2014"; "no HTTP")]
#[test_case("GET /v1/lookup HTTP/1.1\r\n\r\n", "400 not-run ep-2014"; "no host")]
#[test_case("GET /v1/lookup HTTP/1.1\r\nhost: a\r\nhost: b\r\ntransfer-encoding: gzip\r\n\r\n", "400 not-run ep-2014"; "coding")]
#[test_case("GET /nothing HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n\r\n", "404 not-run ep-2014"; "path")]
#[test_case("GET /v1/run/rounds/lookup HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n\r\n", "404 not-run ep-2014"; "method")]
#[test_case("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "400 not-run ep-2014"; "other version")]
fn stated_outcome(request: &str, expected: &str) {
    let (world, _) = world("stated", "");
    assert_eq!(summary(&raw(world.address(), request.as_bytes())), expected);
}

/// A caller that sends slowly loses its connection after the limit, also if it sends a byte now
/// and then. Guards against connections that are held for ever.
#[test_case("POST /v1/run/rounds/lookup HTTP/1.1\r\n", "408 not-run ep-2014"; "head")]
#[test_case("POST /v1/run/rounds/lookup HTTP/1.1\r\nhost: entry\r\ncontent-length: 1000\r\nebonypass-member: windelrunde\r\nebonypass-block: 10.1.0.0/24\r\n\r\nxx", "400 not-run ep-2014"; "body")]
fn slow_request(start: &str, expected: &str) {
    let (world, target) = world("slow", "head_timeout_ms = 300\n");
    let mut stream = TcpStream::connect(world.address()).expect("connect");
    let mut writer = stream.try_clone().expect("clone");
    stream.write_all(start.as_bytes()).expect("write");
    let begin = Instant::now();
    let drip = std::thread::spawn(move || {
        while writer.write_all(b"x").is_ok() && begin.elapsed() < Duration::from_secs(5) {
            std::thread::sleep(Duration::from_millis(50));
        }
    });
    let got = read_all(&mut stream);
    assert_eq!(summary(&got), expected, "{got}");
    assert!(begin.elapsed() < Duration::from_secs(2), "{:?}", begin.elapsed());
    drop(stream);
    drip.join().expect("thread");
    assert!(target.runs().is_empty());
}

/// An idle connection is closed after its limit, and one in use is not.
#[test]
fn idle_connection() {
    let (world, target) = world("idle", "idle_timeout_ms = 300\n");
    target.set_delay(Duration::from_millis(600));
    assert_eq!(run(world.address(), b"x").summary(), "200 answered");
    let mut stream = TcpStream::connect(world.address()).expect("connect");
    let start = Instant::now();
    assert_eq!(read_all(&mut stream), "");
    assert!((250..1_000).contains(&start.elapsed().as_millis()), "{:?}", start.elapsed());
}

/// Connections above the limit are refused as not run, and work again when others end.
#[test]
fn many_callers() {
    let (world, _) = world("many-callers", "callers = 8\n");
    let held: Vec<TcpStream> =
        (0..8).map(|_| TcpStream::connect(world.address()).expect("connect")).collect();
    std::thread::sleep(Duration::from_millis(100));
    let got = raw(world.address(), b"");
    assert_eq!(summary(&got), "503 not-run ep-2007");
    drop(held);
    wait_until("room", || {
        call(world.address(), "POST", "/v1/run/rounds/lookup", HEADERS, b"x")
            .is_some_and(|got| got.status == 200)
    });
}

/// Bodies above the bytes that may be held at once are refused before they are read.
#[test]
fn held_bytes() {
    let (world, target) = world("held", "body_bytes = 1000\nheld_bytes = 2500\n");
    target.set_delay(Duration::from_millis(500));
    let address = world.address();
    let headers = format!("{HEADERS}ebonypass-deadline-ms: 9000\r\n");
    let calls: Vec<_> = (0..4)
        .map(|_| {
            let headers = headers.clone();
            std::thread::spawn(move || {
                let body = [b'x'; 1_000];
                let got = call(address, "POST", "/v1/run/rounds/lookup", &headers, &body);
                got.expect("reply").summary()
            })
        })
        .collect();
    let results: Vec<String> = calls.into_iter().map(|call| call.join().expect("thread")).collect();
    let count = |text: &str| results.iter().filter(|result| *result == text).count();
    assert_eq!((count("200 answered"), count("503 not-run EP-2007")), (2, 2), "{results:?}");
    assert_eq!(metric(world.server.admin_address(), "held_bytes"), 0.0);
}

/// A caller that has closed its own direction still gets its reply.
#[test]
fn half_closed() {
    let (world, target) = world("half-closed", "");
    target.set_delay(Duration::from_millis(200));
    let request = format!(
        "POST /v1/run/rounds/lookup HTTP/1.1\r\nhost: entry\r\ncontent-length: 1\r\n{HEADERS}\r\nx"
    );
    let mut stream = TcpStream::connect(world.address()).expect("connect");
    stream.write_all(request.as_bytes()).expect("write");
    stream.shutdown(Shutdown::Write).expect("shutdown");
    assert_eq!(summary(&read_all(&mut stream)), "200 answered");
}

/// A caller that closes within a request has not asked for anything.
#[test_case("POST /v1/run/rounds/lookup HTTP/1.1\r\nhost: en"; "in the head")]
#[test_case("POST /v1/run/rounds/lookup HTTP/1.1\r\nhost: entry\r\ncontent-length: 9\r\nebonypass-member: windelrunde\r\nebonypass-block: 10.1.0.0/24\r\n\r\nxx"; "in the body")]
fn cut_request(start: &str) {
    let (world, target) = world("cut", "");
    let mut stream = TcpStream::connect(world.address()).expect("connect");
    stream.write_all(start.as_bytes()).expect("write");
    stream.shutdown(Shutdown::Write).expect("shutdown");
    let got = summary(&read_all(&mut stream));
    assert!(["", "400 not-run ep-2014"].contains(&got.as_str()), "{got}");
    assert!(target.runs().is_empty());
}

/// A caller that does not read its reply loses the connection instead of holding it.
#[test]
fn stalled_reader() {
    let target =
        Target::new("rounds-zurich-1-01", |_| Some(reply(200, "", &vec![b'x'; 50_000_000])));
    let world = World::new("stalled", &[&target], "[limits]\nidle_timeout_ms = 300\n");
    let request = format!(
        "POST /v1/run/rounds/lookup HTTP/1.1\r\nhost: entry\r\ncontent-length: 0\r\n{HEADERS}\r\n"
    );
    let mut stream = TcpStream::connect(world.address()).expect("connect");
    stream.write_all(request.as_bytes()).expect("write");
    let admin = world.server.admin_address();
    wait_until("limit", || metric(admin, "limited") >= 1.0);
    assert!(read_all(&mut stream).len() < 50_000_000);
}

/// A request that arrives with the one before is answered after it.
#[test]
fn pipelined_requests() {
    let (world, target) = world("pipelined", "");
    let request = format!(
        "POST /v1/run/rounds/lookup HTTP/1.1\r\nhost: entry\r\ncontent-length: 1\r\n{HEADERS}\r\nx"
    );
    let last = request.replace("host: entry", "host: entry\r\nconnection: close");
    let got = raw(world.address(), format!("{request}{last}").as_bytes());
    assert_eq!(got.matches("HTTP/1.1 200").count(), 2, "{got}");
    assert_eq!(target.runs().len(), 2);
}

proptest::proptest! {
    #![proptest_config(proptest::test_runner::Config { cases: 1, ..Default::default() })]
    /// Arbitrary bytes from many callers run nothing and leave the entry serving.
    #[test]
    fn arbitrary_bytes(inputs in proptest::collection::vec(proptest::collection::vec(proptest::num::u8::ANY, 0..200), 100)) {
        let (world, target) = world("arbitrary", "head_timeout_ms = 100\nidle_timeout_ms = 100\n");
        for bytes in inputs {
            let mut stream = TcpStream::connect(world.address()).expect("connect");
            let _ = stream.write_all(&bytes);
        }
        proptest::prop_assert!(target.runs().is_empty());
        proptest::prop_assert_eq!(run(world.address(), b"x").summary(), "200 answered");
    }
}
