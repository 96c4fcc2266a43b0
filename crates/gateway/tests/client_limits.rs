//! Limits on what clients may make a gateway hold. Guards against a limit that does not act, that
//! acts on ordinary clients, or that answers with a status that promises too much.

mod fake;

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use fake::{
    Behaviour, Gateway, Message, ROUTES, Store, TEST_TIMEOUT, Target, config, request,
    send_request, wait_until,
};
use test_case::test_case;

const METRICS_PORT: u16 = 7621;
/// The memory for bodies of a process with 64 MB is 25.6 MiB: three of these, but not four.
const LARGE_BODY_BYTES: usize = 8 << 20;

/// Starts a gateway with 64 MB and 256 descriptors.
fn start(head_timeout_ms: u64) -> (Target, Store, Gateway) {
    let target = Target::new("t-1", Behaviour::Normal(Duration::ZERO));
    let store = Store::new();
    let mut policy = config(2, &ROUTES);
    policy["spec"]["limits"]["maxBodyBytes"] = LARGE_BODY_BYTES.into();
    policy["spec"]["limits"]["headerTimeoutMs"] = head_timeout_ms.into();
    policy["spec"]["limits"]["idleTimeoutMs"] = 60_000.into();
    policy["spec"]["routes"]["rows"][1][4] = 60_000.into();
    store.put("config", "main", policy);
    store.put("servers", &target.id, target.entry("s", "ready"));
    let gateway = Gateway::start_limited(&store, 64, 256);
    gateway.wait_ready();
    wait_until("the target is known", || {
        gateway.log.lock().unwrap().iter().any(|line| line["event"] == 500)
    });
    (target, store, gateway)
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream
}

fn post_head(id: &str, framing: &str) -> String {
    format!(
        "POST /once/a HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 60000\r\n{framing}\r\n\r\n"
    )
}

/// The count of a limit in the metrics.
fn limited(gateway: &Gateway, limit: &str) -> u64 {
    let address = SocketAddr::new(gateway.callers.ip(), METRICS_PORT);
    let bytes = b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    let reply = send_request(address, bytes).unwrap();
    let text = String::from_utf8(reply.body).unwrap();
    let name = format!("ebonypass_limited_total{{limit=\"{limit}\"}} ");
    let line = text.lines().find_map(|line| line.strip_prefix(&name).map(str::to_owned));
    line.map_or(0, |count| count.parse().unwrap())
}

/// A head that takes too long ends its connection; one that is idle after a request stays open
/// beyond that time.
#[test]
fn slow_heads() {
    let (_target, _store, gateway) = start(1_000);
    let mut idle = connect(gateway.callers);
    idle.write_all(&request("POST", "/once/a", "first", "x")).unwrap();
    let mut idle = BufReader::new(idle);
    assert_eq!(Message::read(&mut idle).unwrap().status(), 200);
    let mut slow = connect(gateway.callers);
    slow.write_all(b"POST /once/a HTTP/1.1\r\nHost: a.exa").unwrap();
    assert!(matches!(slow.read(&mut [0; 64]), Ok(0)), "the connection is still open");
    wait_until("the limit is counted", || limited(&gateway, "HeadTime") == 1);
    idle.get_mut().write_all(&request("POST", "/once/a", "second", "x")).unwrap();
    assert_eq!(Message::read(&mut idle).unwrap().status(), 200);
}

/// Bodies that have stalled give way to one that needs their memory. Theirs is a refusal that
/// promises that they did not run, and they did not.
#[test]
fn stalled_bodies_give_way() {
    let (target, _store, gateway) = start(3_000);
    let framing = format!("Content-Length: {LARGE_BODY_BYTES}");
    let body = vec![b'x'; LARGE_BODY_BYTES];
    let mut stalled: Vec<TcpStream> = (0..3)
        .map(|index| {
            let mut stream = connect(gateway.callers);
            stream.write_all(post_head(&format!("stalled-{index}"), &framing).as_bytes()).unwrap();
            stream.write_all(&body[1..]).unwrap();
            stream
        })
        .collect();
    wait_until("a body finds memory", || {
        let mut bytes = post_head("whole", &framing).into_bytes();
        bytes.extend(&body);
        send_request(gateway.callers, &bytes).is_some_and(|reply| reply.status() == 200)
    });
    // The one without progress for longest is the first.
    let reply = Message::read(&mut BufReader::new(stalled.remove(0))).unwrap();
    assert_eq!(reply.status(), 503);
    wait_until("the limit is counted", || limited(&gateway, "Body") >= 1);
    // The others were not in the way, and complete.
    let mut last = stalled.pop().unwrap();
    last.write_all(b"x").unwrap();
    assert_eq!(Message::read(&mut BufReader::new(last)).unwrap().status(), 200);
    let runs = target.runs.lock().unwrap();
    assert!(!runs.iter().any(|run| run.id == "stalled-0"), "a refused request has run");
}

/// A stalled body keeps its memory while no other needs it: a slow client alone is no fault.
#[test]
fn slow_bodies_alone() {
    let (_target, _store, gateway) = start(3_000);
    let mut stream = connect(gateway.callers);
    stream.write_all(post_head("slow", "Content-Length: 20").as_bytes()).unwrap();
    for _ in 0..20 {
        stream.write_all(b"x").unwrap();
        std::thread::sleep(Duration::from_millis(100));
    }
    assert_eq!(Message::read(&mut BufReader::new(stream)).unwrap().status(), 200);
}

/// A body over the limit is refused with 413, which the client gets, and nothing runs.
#[test_case("Content-Length: 1073741824"; "announced")]
#[test_case("Transfer-Encoding: chunked"; "chunked")]
fn excessive_bodies(framing: &'static str) {
    let (target, _store, gateway) = start(3_000);
    let mut stream = connect(gateway.callers);
    stream.write_all(post_head("excess", framing).as_bytes()).unwrap();
    let reader = stream.try_clone().unwrap();
    if framing.starts_with("Transfer") {
        // Ends some bytes beyond the limit: a client reads the reply before it sends much more.
        let block = format!("{:x}\r\n{}\r\n", 1 << 20, "x".repeat(1 << 20));
        for _ in 0..LARGE_BODY_BYTES >> 20 {
            stream.write_all(block.as_bytes()).unwrap();
        }
        stream.write_all(b"400\r\n").unwrap();
        stream.write_all(&[b'x'; 1_024]).unwrap();
    } else {
        stream.write_all(&[b'x'; 1_024]).unwrap();
    }
    assert_eq!(Message::read(&mut BufReader::new(reader)).unwrap().status(), 413);
    assert!(target.runs.lock().unwrap().is_empty());
    wait_until("the limit is counted", || limited(&gateway, "BodySize") == 1);
}
