//! Large bodies that clients or targets transfer slowly. Guards against memory that grows with
//! them, against a cut reply that looks complete, and against other clients that get no reply.

mod fake;

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use fake::{
    Behaviour, Gateway, Message, ROUTES, Store, Target, Watch, config, resident_kb, send_request,
    wait_until,
};
use test_case::test_case;

/// Requests at once that the targets state they can take.
const SLOTS: usize = 400;
const DOWNLOAD_BYTES: usize = 540_000;
const UPLOAD_BYTES: usize = 360_000;
const TRANSFER_COUNT: usize = 100;
/// A slow client transfers this much at a time.
const PIECE_BYTES: usize = 16 << 10;
const PIECE_INTERVAL: Duration = Duration::from_millis(150);
const ORDINARY_BODY_BYTES: usize = 60_000;

/// The tests measure memory under load, so they run one at a time.
static SERIAL: Mutex<()> = Mutex::new(());

/// A gateway, the store and a target of service `s`.
struct Bed {
    gateway: Gateway,
    watch: Watch,
    _store: Store,
    target: Target,
    memory_mb: u64,
    _serial: MutexGuard<'static, ()>,
}

impl Bed {
    /// Starts a gateway with `memory_mb`. Service `u` has a target at `other`, if there is one.
    fn new(memory_mb: u64, behaviour: Behaviour, other: Option<SocketAddr>) -> Bed {
        let serial = SERIAL.lock().unwrap_or_else(PoisonError::into_inner);
        let target = Target::new("t-1", behaviour);
        let store = Store::new();
        let mut routes = ROUTES.to_vec();
        routes.push(("/other/", "unsafe", "u"));
        let mut policy = config(2, &routes);
        policy["spec"]["limits"]["maxBodyBytes"] = (8 << 20).into();
        for route in policy["spec"]["routes"]["rows"].as_array_mut().unwrap() {
            route[4] = 60_000.into();
            route[5] = 20_000.into();
        }
        let services = policy["spec"]["services"]["rows"].as_array_mut().unwrap();
        services.push(serde_json::json!(["u", "/health", 2.7]));
        store.put("config", "main", policy);
        let mut entry = target.entry("s", "ready");
        entry["spec"]["info"]["slots"] = SLOTS.into();
        store.put("servers", &target.id, entry);
        let mut count = 1;
        if let Some(address) = other {
            let mut entry = target.entry_with_address(address, "u", "ready");
            entry["spec"]["info"]["slots"] = SLOTS.into();
            store.put("servers", "t-other", entry);
            count += 1;
        }
        let gateway = Gateway::start_limited(&store, memory_mb, 1024);
        gateway.wait_ready();
        wait_until("the targets are known", || {
            let log = gateway.log.lock().unwrap();
            log.iter().filter(|line| line["event"] == 500).count() >= count
        });
        let watch = Watch::new(gateway.child.id(), gateway.callers.ip());
        Bed { gateway, watch, _store: store, target, memory_mb, _serial: serial }
    }

    /// Checks that an ordinary request is answered.
    fn check_ordinary(&self) {
        let bytes = request("POST", "/once/2", "ordinary", &[b'x'; ORDINARY_BODY_BYTES]);
        let callers = self.gateway.callers;
        let mut last = None;
        wait_until("an ordinary request is answered", || {
            last = send_request(callers, &bytes).map(|reply| reply.status());
            last == Some(200)
        });
    }

    /// Checks the process and its memory: nine tenths of the limit.
    fn check_memory(&mut self) {
        assert!(!self.gateway.has_ended(), "the process has ended");
        let resident = resident_kb(self.gateway.child.id());
        let unread = self.watch.peak().unread_kb;
        let allowed = (self.memory_mb << 10) / 10 * 9;
        println!("{resident} kB resident, {unread} kB unread, {allowed} kB allowed");
        assert!(
            resident + unread <= allowed,
            "{resident} kB resident, {unread} kB unread, {allowed} kB allowed"
        );
    }
}

fn request(method: &str, path: &str, id: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!(
        "{method} {path} HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 60000\r\nContent-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend(body);
    bytes
}

/// Reads a reply piece by piece. Returns its status, its announced length and the bytes that arrived.
fn read_pieces(stream: &mut TcpStream, interval: Duration) -> Option<(u16, usize, usize)> {
    stream.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
    let mut bytes = Vec::new();
    let mut piece = vec![0; PIECE_BYTES];
    loop {
        let end = bytes.windows(4).position(|part| part == b"\r\n\r\n");
        if let Some(end) = end {
            let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
            let status = head.split(' ').nth(1)?.parse().ok()?;
            let length = head.lines().find_map(|line| line.strip_prefix("content-length:"));
            let length = length.map_or(0, |length| length.trim().parse().unwrap());
            let mut received = bytes.len() - end - 4;
            while received < length {
                thread::sleep(interval);
                match stream.read(&mut piece) {
                    Ok(read) if read > 0 => received += read,
                    _ => break,
                }
            }
            return Some((status, length, received));
        }
        match stream.read(&mut piece[..1_024]) {
            Ok(read) if read > 0 => bytes.extend(&piece[..read]),
            _ => return None,
        }
    }
}

/// Slow clients must cost neither the process its memory nor other clients their replies.
#[test]
fn slow_clients() {
    let mut bed = Bed::new(160, Behaviour::Sized(100), None);
    let callers = bed.gateway.callers;
    let downloads: Vec<JoinHandle<Option<(u16, usize, usize)>>> = (0..TRANSFER_COUNT)
        .map(|index| {
            thread::spawn(move || {
                let path = format!("/safe/{DOWNLOAD_BYTES}");
                let bytes = request("GET", &path, &format!("down-{index}"), b"");
                let mut stream = TcpStream::connect(callers).ok()?;
                stream.write_all(&bytes).ok()?;
                read_pieces(&mut stream, PIECE_INTERVAL)
            })
        })
        .collect();
    let uploads: Vec<JoinHandle<Option<u16>>> = (0..TRANSFER_COUNT)
        .map(|index| {
            thread::spawn(move || {
                let body = vec![b'x'; UPLOAD_BYTES];
                let bytes = request("POST", "/once/2", &format!("up-{index}"), &body);
                let mut stream = TcpStream::connect(callers).ok()?;
                for piece in bytes.chunks(PIECE_BYTES) {
                    stream.write_all(piece).ok()?;
                    thread::sleep(PIECE_INTERVAL);
                }
                Message::read(&mut BufReader::new(stream)).map(|reply| reply.status())
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    bed.check_ordinary();
    let downloads: Vec<_> = downloads.into_iter().map(|client| client.join().unwrap()).collect();
    let uploads: Vec<_> = uploads.into_iter().map(|client| client.join().unwrap()).collect();
    let whole = downloads.iter().flatten().filter(|(status, length, received)| {
        (*status, *length, *received) == (200, DOWNLOAD_BYTES, DOWNLOAD_BYTES)
    });
    let answered = uploads.iter().filter(|status| **status == Some(200));
    let (whole, answered) = (whole.count(), answered.count());
    println!("{whole} downloads whole, {answered} uploads answered");
    // Without reading ahead the target cuts off each of them.
    assert!(whole > 0, "no download was whole");
    for (status, length, _) in downloads.iter().flatten() {
        assert!(*status != 200 || *length == DOWNLOAD_BYTES, "a reply announces {length} bytes");
    }
    bed.check_ordinary();
    bed.check_memory();
}

/// A reply that its target cuts off must not look complete, whether it is held whole or passed on
/// while it arrives.
#[test_case(20_000; "short")]
#[test_case(200_000; "held")]
#[test_case(2_000_000; "streamed")]
fn cut_replies(length: usize) {
    let bed = Bed::new(160, Behaviour::Sized(90), None);
    for index in 0..5 {
        let bytes = request("POST", &format!("/once/{length}"), &format!("cut-{index}"), b"x");
        let mut stream = TcpStream::connect(bed.gateway.callers).unwrap();
        stream.write_all(&bytes).unwrap();
        let reply = read_pieces(&mut stream, Duration::ZERO);
        let is_whole = reply
            .is_some_and(|(status, announced, received)| status == 200 && received == announced);
        assert!(!is_whole, "a reply of which a tenth is missing looks complete: {reply:?}");
    }
    bed.target.set_behaviour(Behaviour::Sized(100));
    bed.check_ordinary();
}

/// Replies that nobody reads must not take the memory of all others, and end.
#[test]
fn unread_replies() {
    let mut bed = Bed::new(64, Behaviour::Sized(100), None);
    let callers = bed.gateway.callers;
    let open: Vec<TcpStream> = (0..TRANSFER_COUNT)
        .map(|index| {
            let bytes = request("POST", "/once/4000000", &format!("unread-{index}"), b"x");
            let mut stream = TcpStream::connect(callers).unwrap();
            stream.write_all(&bytes).unwrap();
            stream
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    bed.check_ordinary();
    bed.check_memory();
    drop(open);
}

/// A target that does not read the bodies of requests must cost bounded memory, and other services
/// nothing.
#[test]
fn stuck_target() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let streams: Vec<TcpStream> = listener.incoming().flatten().collect();
        drop(streams);
    });
    let mut bed = Bed::new(64, Behaviour::Sized(100), Some(address));
    let callers = bed.gateway.callers;
    for index in 0..TRANSFER_COUNT {
        thread::spawn(move || {
            let bytes =
                request("POST", "/other/2", &format!("stuck-{index}"), &vec![b'x'; 2 << 20]);
            send_request(callers, &bytes)
        });
    }
    wait_until("the target gets requests", || {
        let log = bed.gateway.log.lock().unwrap();
        log.iter().any(|line| line["code"] == 2007)
    });
    bed.check_ordinary();
    bed.check_memory();
}
