//! Crowds that take all connections of a process at once, with everything that clients can make it
//! hold. Guards against limits that each hold while their sum exceeds the memory of the machine.
//!
//! Unread bytes count as memory, and the process does not choose when they arrive.

mod fake;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use fake::crowd::{Crowd, Reading, Script};
use fake::store::Mode;
use fake::{
    Behaviour, Gateway, Message, ROUTES, Store, Target, Watch, config, send_request, wait_until,
};
use test_case::test_case;

/// Memory and descriptors of a machine, and a crowd that is larger than what its process accepts.
#[derive(Debug, Clone, Copy)]
struct Machine {
    memory_mb: u64,
    descriptors: usize,
    crowd: usize,
}

const SMALL: Machine = Machine { memory_mb: 64, descriptors: 1_024, crowd: 640 };
const MEDIUM: Machine = Machine { memory_mb: 160, descriptors: 4_100, crowd: 1_500 };
const LARGE: Machine = Machine { memory_mb: 260, descriptors: 4_100, crowd: 2_300 };
const LARGEST: Machine = Machine { memory_mb: 512, descriptors: 8_192, crowd: 4_400 };

/// How long a crowd sends and returns before it holds what it has.
const CROWD_TIME: Duration = Duration::from_secs(4);
/// Requests at once that the target states it can take.
const SLOTS: usize = 2_000;
/// The largest reply of the platform.
const REPLY_BYTES: usize = 540_000;
/// Body of the ordinary request, the mean of uploads on the platform.
const ORDINARY_BODY_BYTES: usize = 60_000;
const METRICS_PORT: u16 = 7621;
/// One client in this many sends its whole message.
const WHOLE_INTERVAL: usize = 10;

/// What the clients of a crowd do.
#[derive(Debug, Clone, Copy)]
enum Shape {
    /// Announced bodies of many lengths that stop a byte short.
    Bodies,
    /// The same with bodies that a fixed receive buffer could hold, and large heads.
    SmallBodies,
    /// Bodies in chunks of 64 KiB that stop before their end.
    Chunks,
    /// Bodies in chunks of 1 to 16 bytes that stop before their end.
    TinyChunks,
    /// Bodies far over the limit: announced, or just sent.
    Excess,
    /// Heads that stop just below the limit on heads.
    Heads,
    /// Large replies, of which 16 KiB are read in each 150 ms.
    SlowReaders,
    /// Large replies of which nothing is read.
    Unread,
    /// A large body and a large reply, after which the connection is kept and unused.
    Kept,
    /// A body and more requests right behind it, of which the replies are not read.
    Pipelined,
}

const ALL: [Shape; 10] = [
    Shape::Bodies,
    Shape::SmallBodies,
    Shape::Chunks,
    Shape::TinyChunks,
    Shape::Excess,
    Shape::Heads,
    Shape::SlowReaders,
    Shape::Unread,
    Shape::Kept,
    Shape::Pipelined,
];

/// The tests measure memory under load, so they run one at a time.
static SERIAL: Mutex<()> = Mutex::new(());

/// A gateway, its store and a target.
struct Bed {
    machine: Machine,
    gateway: Gateway,
    watch: Watch,
    store: Store,
    _target: Target,
    _serial: MutexGuard<'static, ()>,
}

impl Machine {
    /// Limit on bodies in the configuration: the largest of the platform, where it can be held.
    fn max_body(&self) -> usize {
        if self.memory_mb < 160 { 8 << 20 } else { 64 << 20 }
    }
}

impl Bed {
    fn new(machine: Machine) -> Bed {
        let serial = SERIAL.lock().unwrap_or_else(PoisonError::into_inner);
        let target = Target::new("t-1", Behaviour::Sized(100));
        let store = Store::new();
        let mut policy = config(2, &ROUTES);
        policy["spec"]["limits"]["maxBodyBytes"] = machine.max_body().into();
        // Long enough that no time limit ends a stalled message during the test.
        policy["spec"]["limits"]["idleTimeoutMs"] = 60_000.into();
        policy["spec"]["limits"]["headerTimeoutMs"] = 60_000.into();
        for route in policy["spec"]["routes"]["rows"].as_array_mut().unwrap() {
            route[4] = 60_000.into();
            route[5] = 20_000.into();
        }
        store.put("config", "main", policy);
        let mut entry = target.entry("s", "ready");
        entry["spec"]["info"]["slots"] = SLOTS.into();
        store.put("servers", &target.id, entry);
        let gateway = Gateway::start_limited(&store, machine.memory_mb, machine.descriptors);
        gateway.wait_ready();
        wait_until("the target is known", || {
            gateway.log.lock().unwrap().iter().any(|line| line["event"] == 500)
        });
        let watch = Watch::new(gateway.child.id(), gateway.callers.ip());
        Bed { machine, gateway, watch, store, _target: target, _serial: serial }
    }

    /// Starts a crowd of `shapes` in equal parts.
    fn returning_crowd(&self, shapes: &'static [Shape]) -> Crowd {
        let max_body = self.machine.max_body();
        Crowd::start(self.gateway.callers, self.machine.crowd, move |index| {
            script(shapes[index % shapes.len()], index / shapes.len(), max_body)
        })
    }

    /// Lets a crowd of `shapes` in equal parts send, and returns it once it holds what it has.
    fn crowd(&self, shapes: &'static [Shape]) -> Crowd {
        let crowd = self.returning_crowd(shapes);
        thread::sleep(CROWD_TIME);
        crowd.hold();
        crowd
    }

    /// Checks that an ordinary request is answered.
    fn check_ordinary(&mut self) {
        self.check_upload(ORDINARY_BODY_BYTES, "an ordinary request is answered");
    }

    /// Checks that a body of `length` is passed on.
    fn check_upload(&mut self, length: usize, what: &str) {
        assert!(!self.gateway.has_ended(), "the process has ended");
        let mut bytes =
            format!("{}Content-Length: {length}\r\n\r\n", head("POST", "/once/2", "ordinary"))
                .into_bytes();
        bytes.resize(bytes.len() + length, b'x');
        wait_until(what, || {
            let reply = send_request(self.gateway.callers, &bytes);
            reply.is_some_and(|reply| reply.status() == 200)
        });
    }

    /// Checks that nothing of a crowd that has left is still counted.
    fn check_released(&self) {
        let address = SocketAddr::new(self.gateway.callers.ip(), METRICS_PORT);
        let bytes = b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let mut held = Vec::new();
        wait_until("all memory is given back", || {
            let reply = send_request(address, bytes).unwrap();
            let text = String::from_utf8(reply.body).unwrap();
            let names = ["ebonypass_transfers ", "ebonypass_request_bodies_bytes "];
            let lines = text.lines().filter(|line| names.iter().any(|name| line.starts_with(name)));
            held = lines.map(str::to_owned).collect();
            held.len() == names.len() && held.iter().all(|line| line.ends_with(" 0"))
        });
    }

    /// Checks the process: nine tenths of its memory, since samples miss short peaks.
    fn check_memory(&mut self) {
        assert!(!self.gateway.has_ended(), "the process has ended");
        let peak = self.watch.peak();
        let allowed = (self.machine.memory_mb << 10) / 10 * 9;
        println!("{peak:?}, {allowed} kB allowed");
        assert!(peak.memory_kb <= allowed, "{peak:?}, {allowed} kB allowed");
        let descriptors = self.machine.descriptors;
        assert!(peak.descriptors <= descriptors, "{peak:?}, {descriptors} descriptors allowed");
    }
}

/// A head up to the framing header.
fn head(method: &str, path: &str, id: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 60000\r\n"
    )
}

/// Chunks of these sizes.
fn chunks(sizes: impl Iterator<Item = usize>) -> Vec<u8> {
    let mut bytes = Vec::new();
    for size in sizes {
        bytes.extend(format!("{size:x}\r\n").bytes());
        bytes.resize(bytes.len() + size, b'x');
        bytes.extend(b"\r\n");
    }
    bytes
}

/// What the client number `index` of a shape sends.
fn script(shape: Shape, index: usize, max_body: usize) -> Script {
    let head = |method: &str, path: &str, framing: &str| {
        let head = head(method, path, &format!("{shape:?}-{index}"));
        format!("{head}{framing}\r\n\r\n").into_bytes()
    };
    let announced = |length: usize| head("POST", "/once/2", &format!("Content-Length: {length}"));
    let chunked = || head("POST", "/once/2", "Transfer-Encoding: chunked");
    let download = || head("GET", &format!("/safe/{REPLY_BYTES}"), "X-Fill: x");
    let filler = || vec![b'x'; 64 << 10];
    let missing = usize::from(!index.is_multiple_of(WHOLE_INTERVAL));
    let (head, block, length, reading) = match shape {
        Shape::Bodies => {
            let length = max_body >> (index % 9);
            (announced(length), filler(), length - missing, Reading::Everything)
        }
        Shape::SmallBodies => {
            let fill = "x".repeat(12 << 10);
            let framing = format!("X-Fill: {fill}\r\nContent-Length: 16384");
            let head = head("POST", "/once/2", &framing);
            (head, filler(), 16_384 - missing, Reading::Everything)
        }
        Shape::Chunks => {
            let length = (64 << 10) << (index % 7);
            (chunked(), chunks([64 << 10].into_iter()), length, Reading::Everything)
        }
        Shape::TinyChunks => (chunked(), chunks(1..=16), 200 << 10, Reading::Everything),
        Shape::Excess if index.is_multiple_of(2) => {
            (announced(1 << 30), filler(), 1 << 30, Reading::Everything)
        }
        Shape::Excess => (chunked(), chunks([64 << 10].into_iter()), 1 << 30, Reading::Everything),
        Shape::Heads => {
            let head = head("POST", "/once/2", &format!("X-Fill: {}", "x".repeat(15 << 10)));
            (head[..head.len() - 4].to_vec(), Vec::new(), 0, Reading::Everything)
        }
        Shape::SlowReaders => {
            let pace = Reading::Pieces(16 << 10, Duration::from_millis(150));
            (download(), Vec::new(), 0, pace)
        }
        Shape::Unread => (download(), Vec::new(), 0, Reading::Nothing),
        Shape::Kept => {
            let framing = format!("Content-Length: {}", 64 << 10);
            let head = head("POST", "/once/240000", &framing);
            (head, filler(), 64 << 10, Reading::Everything)
        }
        Shape::Pipelined => {
            let mut first = announced(40 << 10);
            first.resize(first.len() + (40 << 10), b'x');
            let more = head("GET", "/safe/20000", "X-Fill: x");
            let length = more.len() * 1_000;
            (first, more, length, Reading::Nothing)
        }
    };
    Script { head, block: Arc::new(block), length, reading }
}

/// One shape alone takes all connections.
#[test_case(Shape::Bodies; "bodies")]
#[test_case(Shape::SmallBodies; "small bodies")]
#[test_case(Shape::Chunks; "chunks")]
#[test_case(Shape::TinyChunks; "tiny chunks")]
#[test_case(Shape::Excess; "excess")]
#[test_case(Shape::Heads; "heads")]
#[test_case(Shape::SlowReaders; "slow readers")]
#[test_case(Shape::Unread; "unread replies")]
#[test_case(Shape::Kept; "kept connections")]
#[test_case(Shape::Pipelined; "pipelined")]
fn one_shape(shape: Shape) {
    let mut bed = Bed::new(SMALL);
    let shapes: &'static [Shape] = Box::leak(Box::new([shape]));
    let crowd = bed.crowd(shapes);
    bed.check_ordinary();
    bed.check_memory();
    crowd.close();
}

/// The same on the smallest machine of the platform.
#[test_case(Shape::Chunks; "chunks")]
#[test_case(Shape::SlowReaders; "slow readers")]
fn one_shape_at_160(shape: Shape) {
    let mut bed = Bed::new(MEDIUM);
    let shapes: &'static [Shape] = Box::leak(Box::new([shape]));
    let crowd = bed.crowd(shapes);
    bed.check_ordinary();
    bed.check_memory();
    crowd.close();
}

/// All shapes at once.
#[test_case(SMALL; "64 mb")]
#[test_case(MEDIUM; "160 mb")]
#[test_case(LARGE; "260 mb")]
#[test_case(LARGEST; "512 mb")]
fn all_shapes(machine: Machine) {
    let mut bed = Bed::new(machine);
    let crowd = bed.crowd(&ALL);
    bed.check_ordinary();
    bed.check_memory();
    crowd.close();
}

/// Memory that one crowd leaves behind in the allocator must not add up with that of the next, and
/// the largest body must be passed on right after them.
#[test_case(SMALL; "64 mb")]
#[test_case(MEDIUM; "160 mb")]
fn crowd_after_crowd(machine: Machine) {
    let mut bed = Bed::new(machine);
    for shapes in [&[Shape::Chunks], &[Shape::SlowReaders], &[Shape::Heads], &[Shape::Bodies]] {
        let crowd = bed.crowd(shapes);
        bed.check_ordinary();
        crowd.close();
    }
    bed.check_upload(machine.max_body(), "the largest body is passed on");
    bed.check_memory();
    bed.check_released();
}

/// An ordinary request is answered while the clients of a crowd return each time they are refused.
#[test_case(&[Shape::Bodies]; "bodies")]
#[test_case(&[Shape::Chunks]; "chunks")]
#[test_case(&[Shape::Excess]; "excess")]
#[test_case(&ALL; "all shapes")]
fn returning_crowd(shapes: &'static [Shape]) {
    let mut bed = Bed::new(SMALL);
    let crowd = bed.returning_crowd(shapes);
    thread::sleep(CROWD_TIME);
    bed.check_ordinary();
    crowd.close();
    bed.check_memory();
}

/// A crowd during a loss of the store and reloads must not take the process beyond its limits, and
/// the store is followed again afterwards.
#[test]
fn crowd_without_store() {
    let mut bed = Bed::new(SMALL);
    bed.store.set_mode(Mode::Silent);
    bed.gateway.signal("-HUP");
    let crowd = bed.crowd(&ALL);
    bed.gateway.signal("-HUP");
    bed.check_ordinary();
    bed.store.set_mode(Mode::Normal);
    let other = Target::new("t-2", Behaviour::Sized(100));
    bed.store.put("servers", &other.id, other.entry("s", "ready"));
    wait_until("a new target is known", || {
        let log = bed.gateway.log.lock().unwrap();
        log.iter().filter(|line| line["event"] == 500).count() == 2
    });
    bed.check_memory();
    crowd.close();
}

/// A stop with a crowd attached ends within the grace period.
#[test]
fn stop_with_crowd() {
    let mut bed = Bed::new(SMALL);
    let crowd = bed.crowd(&ALL);
    bed.gateway.signal("-TERM");
    wait_until("the process ends", || bed.gateway.has_ended());
    let log = bed.gateway.log.lock().unwrap();
    let ends = log.iter().filter(|line| line["event"] == 102 || line["event"] == 105).count();
    drop(log);
    assert_eq!(ends, 1, "the process did not end by itself");
    crowd.close();
}

/// A body of the largest size is passed on in calm, also in tiny chunks.
#[test]
fn largest_body_in_tiny_chunks() {
    let mut bed = Bed::new(MEDIUM);
    let length = bed.machine.max_body();
    let mut stream = TcpStream::connect(bed.gateway.callers).unwrap();
    let head = head("POST", "/once/2", "tiny");
    stream.write_all(format!("{head}Transfer-Encoding: chunked\r\n\r\n").as_bytes()).unwrap();
    // 136 bytes of body.
    let block = chunks(1..=16).repeat(1_024);
    let mut left = length;
    while left >= 136 << 10 {
        stream.write_all(&block).unwrap();
        left -= 136 << 10;
    }
    stream.write_all(&chunks(std::iter::repeat_n(1, left))).unwrap();
    stream.write_all(b"0\r\n\r\n").unwrap();
    let reply = Message::read(&mut BufReader::new(stream)).unwrap();
    assert_eq!(reply.status(), 200);
    bed.check_memory();
}
