//! Clients that send large bodies, stop before the end of a message, or exceed the limits. Guards
//! against a process that is killed for its memory, runs out of descriptors, or stops answering
//! other clients.

mod fake;

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use fake::{
    Behaviour, Gateway, Message, ROUTES, Store, TEST_TIMEOUT, Target, Watch, config, resident_kb,
    send_request, wait_until,
};
use test_case::test_case;

const MEMORY_MB: u64 = 64;
const DESCRIPTORS: usize = 256;
/// Limit of the machine in kB, less a tenth to spare.
const MAX_MEMORY_KB: u64 = (MEMORY_MB << 10) / 10 * 9;
/// Limit on bodies in the configuration.
const MAX_BODY_BYTES: usize = 8 << 20;
/// Bodies far over the limit are sent up to this length.
const EXCESS_BYTES: usize = 64 << 20;
/// Clients that misbehave at once; the settings allow more connections.
const CLIENT_COUNT: usize = 90;
/// Connections that stop within a head; the settings allow fewer connections.
const HALF_HEAD_COUNT: usize = 300;
/// One client in this many sends its whole message.
const WHOLE_INTERVAL: usize = 10;
/// Times that a client sends a message that is refused.
const ATTEMPTS: usize = 6;
/// A message that is not refused within this time is held by the process.
const REFUSAL_TIME: Duration = Duration::from_millis(700);
/// Body of the ordinary request, the mean of uploads on the platform.
const ORDINARY_BODY_BYTES: usize = 60_000;
const MESH_PORT: u16 = 7620;
const METRICS_PORT: u16 = 7621;

/// The tests measure memory under load, so they run one at a time.
static SERIAL: Mutex<()> = Mutex::new(());

/// A gateway with lowered limits, its store and target.
struct Bed {
    gateway: Gateway,
    watch: Watch,
    _store: Store,
    _target: Target,
    _serial: MutexGuard<'static, ()>,
}

impl Bed {
    fn new() -> Bed {
        let serial = SERIAL.lock().unwrap_or_else(PoisonError::into_inner);
        let target = Target::new("t-1", Behaviour::Normal(Duration::from_millis(300)));
        let store = Store::new();
        let mut policy = config(2, &ROUTES);
        policy["spec"]["limits"]["maxBodyBytes"] = MAX_BODY_BYTES.into();
        // Long enough that no time limit ends a stalled message during the test.
        policy["spec"]["limits"]["idleTimeoutMs"] = 60_000.into();
        policy["spec"]["limits"]["headerTimeoutMs"] = 60_000.into();
        for route in policy["spec"]["routes"]["rows"].as_array_mut().unwrap() {
            route[4] = 60_000.into();
        }
        store.put("config", "main", policy);
        store.put("servers", &target.id, target.entry("s", "ready"));
        let gateway = Gateway::start_limited(&store, MEMORY_MB, DESCRIPTORS);
        gateway.wait_ready();
        wait_until("the target is known", || {
            gateway.log.lock().unwrap().iter().any(|line| line["event"] == 500)
        });
        let watch = Watch::new(gateway.child.id(), gateway.callers.ip());
        Bed { gateway, watch, _store: store, _target: target, _serial: serial }
    }

    /// Runs `send` once for each of `count` clients, all at once. Returns their open connections.
    fn crowd(
        &self,
        address: SocketAddr,
        count: usize,
        send: impl Fn(usize, &mut TcpStream) + Send + Sync + 'static,
    ) -> Vec<TcpStream> {
        let send = Arc::new(send);
        let clients: Vec<JoinHandle<Option<TcpStream>>> = (0..count)
            .map(|index| {
                let send = send.clone();
                thread::spawn(move || {
                    let mut stream = TcpStream::connect(address).ok()?;
                    stream.set_write_timeout(Some(Duration::from_secs(3))).unwrap();
                    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
                    send(index, &mut stream);
                    Some(stream)
                })
            })
            .collect();
        clients.into_iter().filter_map(|client| client.join().unwrap()).collect()
    }

    /// Checks the process while the connections of the crowd are open.
    fn check(&mut self) {
        assert!(!self.gateway.has_ended(), "the process has ended");
        let callers = self.gateway.callers;
        let ip = callers.ip();
        let mut answers = Vec::new();
        let is_answered = thread::spawn(move || {
            let deadline = std::time::Instant::now() + TEST_TIMEOUT;
            while std::time::Instant::now() < deadline {
                let body = "x".repeat(ORDINARY_BODY_BYTES);
                let bytes = request_with_body("ordinary", &body);
                let status = send_request(callers, bytes.as_bytes()).map(|reply| reply.status());
                answers.push(status);
                if status == Some(200) {
                    return Ok(());
                }
                thread::sleep(Duration::from_millis(200));
            }
            Err(answers)
        });
        let is_answered = is_answered.join().unwrap();
        let process = self.gateway.child.id();
        let resident = resident_kb(process);
        let peak = self.watch.peak();
        println!("{resident} kB resident, {peak:?}, ordinary request: {is_answered:?}");
        assert!(!self.gateway.has_ended(), "the process has ended");
        assert!(
            resident + peak.unread_kb <= MAX_MEMORY_KB,
            "{resident} kB resident, {} kB unread, {MAX_MEMORY_KB} kB allowed",
            peak.unread_kb
        );
        assert!(
            peak.descriptors <= DESCRIPTORS,
            "{} descriptors, {DESCRIPTORS} allowed",
            peak.descriptors
        );
        assert!(is_answered.is_ok(), "an ordinary request got {is_answered:?}");
        for (port, path) in [
            (self.gateway.readiness.port(), "/ebonypass/ready"),
            (self.gateway.lookups.port(), "/ebonypass/resolve?name=a.example&region=zurich"),
            (METRICS_PORT, "/metrics"),
            (MESH_PORT, "/mirror/target/0?now"),
        ] {
            let bytes = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
            wait_until(&format!("port {port} answers"), || {
                let reply = send_request(SocketAddr::new(ip, port), bytes.as_bytes());
                reply.is_some_and(|reply| reply.status() == 200)
            });
        }
    }
}

fn request_with_body(id: &str, body: &str) -> String {
    format!("{}Content-Length: {}\r\n\r\n{body}", head(id), body.len())
}

/// The head of a request with a body, up to the framing header.
fn head(id: &str) -> String {
    format!(
        "POST /once/a HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 60000\r\n"
    )
}

/// Reads a reply if one comes.
fn read_reply(stream: &mut TcpStream) {
    if let Ok(copy) = stream.try_clone() {
        let _ = Message::read(&mut BufReader::new(copy));
    }
}

/// Sends `length` bytes in pieces of `piece` bytes.
fn send_bytes(stream: &mut TcpStream, mut length: usize, piece: usize) -> std::io::Result<()> {
    let block = vec![b'x'; piece];
    while length > 0 {
        let size = length.min(piece);
        stream.write_all(&block[..size])?;
        length -= size;
    }
    Ok(())
}

/// Sends a body of `length` bytes in chunks whose sizes `sizes` repeats, without its end.
fn send_chunks(stream: &mut TcpStream, length: usize, sizes: &[usize]) -> std::io::Result<()> {
    let mut left = length;
    let mut sizes = sizes.iter().cycle();
    let mut batch = Vec::new();
    while left > 0 {
        let size = left.min(*sizes.next().unwrap());
        batch.extend(format!("{size:x}\r\n").bytes());
        batch.extend(std::iter::repeat_n(b'x', size));
        batch.extend(b"\r\n");
        left -= size;
        if batch.len() >= 16 << 10 || left == 0 {
            stream.write_all(&batch)?;
            batch.clear();
        }
    }
    Ok(())
}

/// Many bodies of permitted size at once must not be held all at once, nor copied on the way.
#[test]
fn whole_bodies() {
    let mut bed = Bed::new();
    let _open = bed.crowd(bed.gateway.callers, CLIENT_COUNT, |index, stream| {
        let head =
            format!("{}Content-Length: {MAX_BODY_BYTES}\r\n\r\n", head(&format!("w-{index}")));
        let _ = stream.write_all(head.as_bytes());
        let _ = send_bytes(stream, MAX_BODY_BYTES, 1 << 20);
        read_reply(stream);
    });
    bed.check();
}

/// Bodies that stop just short of their announced length must not keep the memory from others. The
/// lengths differ, so that the bodies fill what memory there is for them.
#[test_case(MAX_BODY_BYTES, 9; "large")]
#[test_case(16 << 10, 1; "small")]
fn stalled_bodies(longest: usize, length_count: usize) {
    let mut bed = Bed::new();
    let _open = bed.crowd(bed.gateway.callers, CLIENT_COUNT, move |index, stream| {
        let length = longest >> (index % length_count);
        let head = format!("{}Content-Length: {length}\r\n\r\n", head(&format!("p-{index}")));
        let is_whole = index.is_multiple_of(WHOLE_INTERVAL);
        send_until_held(stream, is_whole, |stream| {
            stream.write_all(head.as_bytes())?;
            send_bytes(stream, length - usize::from(!is_whole), 8 << 10)
        });
    });
    bed.check();
}

/// Sends a message, and again on a new connection if it is refused. A whole one is sent once.
fn send_until_held(
    stream: &mut TcpStream,
    is_whole: bool,
    send: impl Fn(&mut TcpStream) -> std::io::Result<()>,
) {
    let Ok(address) = stream.peer_addr() else { return };
    for _ in 0..ATTEMPTS {
        let sent = send(stream);
        if is_whole {
            return if sent.is_ok() {
                read_reply(stream)
            };
        }
        stream.set_read_timeout(Some(REFUSAL_TIME)).unwrap();
        let is_held = sent.is_ok() && stream.read(&mut [0]).is_err();
        if is_held {
            return;
        }
        let Ok(other) = TcpStream::connect(address) else { return };
        other.set_write_timeout(Some(Duration::from_secs(3))).unwrap();
        *stream = other;
    }
}

/// Chunked bodies announce no length; they must not take more memory than is counted for them.
#[test_case(1 << 20, 4 << 20; "large chunks")]
#[test_case(64 << 10, 300 << 10; "medium chunks")]
fn stalled_chunks(chunk: usize, length: usize) {
    stall_in_chunks(vec![chunk], length);
}

/// Each chunk costs time and may cost memory beyond its bytes.
#[test]
fn tiny_chunks() {
    stall_in_chunks((1..=16).collect(), 100 << 10);
}

fn stall_in_chunks(sizes: Vec<usize>, length: usize) {
    let mut bed = Bed::new();
    let _open = bed.crowd(bed.gateway.callers, CLIENT_COUNT, move |index, stream| {
        let head = format!("{}Transfer-Encoding: chunked\r\n\r\n", head(&format!("c-{index}")));
        let is_whole = index.is_multiple_of(WHOLE_INTERVAL);
        send_until_held(stream, is_whole, |stream| {
            stream.write_all(head.as_bytes())?;
            send_chunks(stream, length, &sizes)?;
            if is_whole { stream.write_all(b"0\r\n\r\n") } else { Ok(()) }
        });
    });
    bed.check();
}

/// What a body has beyond the limit must not be read and kept.
#[test]
fn excessive_bodies() {
    let mut bed = Bed::new();
    let _open = bed.crowd(bed.gateway.callers, CLIENT_COUNT, |index, stream| {
        let head = head(&format!("e-{index}"));
        send_excess(stream, index, &head);
    });
    bed.check();
}

/// Sends a body that is far over the limit: announced, chunked, or beyond its announced length.
fn send_excess(stream: &mut TcpStream, index: usize, head: &str) {
    let (framing, is_chunked) = match index % 3 {
        0 => ("Content-Length: 1073741824", false),
        1 => ("Transfer-Encoding: chunked", true),
        _ => ("Content-Length: 100", false),
    };
    let _ = stream.write_all(format!("{head}{framing}\r\n\r\n").as_bytes());
    let _ = if is_chunked {
        send_chunks(stream, EXCESS_BYTES, &[1 << 20])
    } else {
        send_bytes(stream, EXCESS_BYTES, 1 << 20)
    };
}

/// Bodies to listeners that expect none must not be kept, and must not stop the listener.
#[test_case("look-ups"; "lookups")]
#[test_case("readiness"; "readiness")]
#[test_case("metrics"; "metrics")]
#[test_case("mesh"; "mesh")]
fn other_listeners(listener: &str) {
    let mut bed = Bed::new();
    let ip = bed.gateway.callers.ip();
    let (address, path) = match listener {
        "look-ups" => (bed.gateway.lookups, "/ebonypass/resolve?name=a.example&region=zurich"),
        "readiness" => (bed.gateway.readiness, "/ebonypass/ready"),
        "metrics" => (SocketAddr::new(ip, METRICS_PORT), "/metrics"),
        _ => (SocketAddr::new(ip, MESH_PORT), "/mirror/target/0"),
    };
    let head = format!("POST {path} HTTP/1.1\r\nHost: x\r\n");
    let bodies = bed.crowd(address, CLIENT_COUNT, move |index, stream| match index % 4 {
        3 => {
            let _ = stream.write_all(format!("{head}Content-Length: 65536\r\n\r\n").as_bytes());
            let _ = send_bytes(stream, 65_535, 1 << 10);
        }
        other => send_excess(stream, other, &head),
    });
    let heads = bed.crowd(address, HALF_HEAD_COUNT, send_half_head);
    bed.check();
    drop((bodies, heads));
}

/// Connections that stop within a head must not keep others out.
#[test]
fn half_heads() {
    let mut bed = Bed::new();
    let _open = bed.crowd(bed.gateway.callers, HALF_HEAD_COUNT, send_half_head);
    bed.check();
}

fn send_half_head(index: usize, stream: &mut TcpStream) {
    // Some stop within the first line, others after as many headers as a head may have.
    let bytes = match index % 3 {
        0 => "POST /once/a HT".to_owned(),
        1 => format!("{}X-Fill: {}", head("half"), "x".repeat(12 << 10)),
        _ => head("half"),
    };
    let _ = stream.write_all(bytes.as_bytes());
    // The process may close the connection at once.
    let _ = stream.set_read_timeout(Some(Duration::from_millis(50)));
    let _ = stream.read(&mut [0]);
}
