//! Connections between entries, over loopback sockets.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use ebonypass_core::credit;
use ebonypass_core::roster::{Incarnation, Process};
use ebonypass_core::version;
use ebonypass_node::peer::{Endpoint, Error, Handler, Link};
use ebonypass_node::settings::Tls;
use ebonypass_node::stream::Exchange;
use ebonypass_node::tls::{self, Credentials, Identity};
use ebonypass_node::wire::{Frame, Hello, MAX_FRAME_BYTES, PROTOCOL_VERSION};
use smol::io::AsyncReadExt;
use test_case::test_case;

/// Records connections and frames. Its reply to a `Fetch` depends on the version asked for.
#[derive(Debug, Default)]
struct Recorder {
    peers: Mutex<Vec<(String, SocketAddr)>>,
    frames: Mutex<Vec<(String, Frame)>>,
}

impl Handler for Recorder {
    fn handle_connect(&self, from: &Hello, address: SocketAddr) {
        self.peers.lock().expect("lock").push((from.process.to_string(), address));
    }

    fn handle_frame(&self, from: &Hello, frame: Frame) {
        self.frames.lock().expect("lock").push((from.process.to_string(), frame));
    }

    async fn handle_request(&self, _: &Hello, frame: Frame, mut exchange: Exchange) {
        let Frame::PolicyFetch(version::Request { version }) = frame else { return };
        match version {
            // Closes without a reply.
            0 => {}
            // Replies completely.
            1 => {
                exchange
                    .send(&Frame::PolicyDocument { version: 1, length: 4 })
                    .await
                    .expect("send");
                exchange.write(b"text").await.expect("write");
                exchange.finish().expect("finish");
            }
            // Ends the body before its stated length.
            2 => {
                exchange
                    .send(&Frame::PolicyDocument { version: 2, length: 4 })
                    .await
                    .expect("send");
                exchange.write(b"te").await.expect("write");
                exchange.finish().expect("finish");
            }
            // Stays in flight until the peer closes the stream.
            4 => drop(exchange.read().await),
            // Resets the stream within the body.
            _ => {
                exchange
                    .send(&Frame::PolicyDocument { version: 3, length: 4 })
                    .await
                    .expect("send");
                exchange.write(b"te").await.expect("write");
                exchange.reset();
            }
        }
    }
}

struct TestEntry {
    endpoint: Endpoint,
    recorder: Arc<Recorder>,
    address: SocketAddr,
}

fn temp_dir(name: &str) -> std::path::PathBuf {
    let id = std::thread::current().id();
    let name = format!("ebonypass-peer-{name}-{}-{id:?}", std::process::id());
    let path = std::env::temp_dir().join(name);
    drop(std::fs::remove_dir_all(&path));
    std::fs::create_dir_all(&path).expect("create directory");
    path
}

fn issue_identity(dir: &Path, authority: &Credentials, name: &str) -> Identity {
    let path = dir.join(format!("{name}-{}", fastrand::u64(..)));
    std::fs::create_dir_all(&path).expect("create directory");
    tls::issue(authority, name).expect("issue").write(&path, name).expect("write");
    std::fs::write(path.join("authority.pem"), &authority.certificate).expect("write");
    let files = Tls {
        authority: path.join("authority.pem"),
        certificate: path.join(format!("{name}.pem")),
        key: path.join(format!("{name}.key")),
    };
    Identity::load(&files).expect("identity")
}

fn start_entry(identity: &Identity, name: &str, protocol: u32) -> TestEntry {
    let process = Process { name: name.to_owned(), incarnation: Incarnation(7) };
    let hello = Hello { protocol, process, data_centre: "zurich-1".to_owned() };
    let address = "127.0.0.1:0".parse().expect("address");
    let endpoint = Endpoint::bind(address, identity, hello).expect("bind");
    let address = endpoint.address().expect("address");
    let recorder = Arc::new(Recorder::default());
    let (server, service) = (endpoint.clone(), recorder.clone());
    smol::spawn(async move { server.serve(service).await }).detach();
    TestEntry { endpoint, recorder, address }
}

/// Starts two entries with certificates of one authority.
fn two_entries(name: &str) -> (TestEntry, TestEntry) {
    let dir = temp_dir(name);
    let authority = tls::new_authority().expect("authority");
    let a = smol::block_on(async {
        start_entry(&issue_identity(&dir, &authority, "a"), "a", PROTOCOL_VERSION)
    });
    let b = smol::block_on(async {
        start_entry(&issue_identity(&dir, &authority, "b"), "b", PROTOCOL_VERSION)
    });
    (a, b)
}

fn wait_until(condition: impl Fn() -> bool) -> bool {
    let start = Instant::now();
    while !condition() && start.elapsed() < Duration::from_secs(3) {
        std::thread::sleep(Duration::from_millis(5));
    }
    condition()
}

fn open_fetch(link: &Link, version: u64) -> Result<Exchange, Error> {
    smol::block_on(link.open_stream(&Frame::PolicyFetch(version::Request { version })))
}

/// Frames arrive in order under the name in the sender's certificate, and the reported address is
/// the one on which the sender listens.
#[test]
fn ordered_frames() {
    let (a, b) = two_entries("ordered");
    let link = a.endpoint.connect(Some("b".to_owned()), b.address);
    assert!(wait_until(|| link.is_connected()));
    for version in 0..100 {
        assert!(link.send(Frame::PolicyFetch(version::Request { version })));
    }
    assert!(wait_until(|| b.recorder.frames.lock().expect("lock").len() == 100));
    let frames = b.recorder.frames.lock().expect("lock");
    for (version, (from, frame)) in frames.iter().enumerate() {
        assert_eq!(from, "a.7");
        assert_eq!(*frame, Frame::PolicyFetch(version::Request { version: version as u64 }));
    }
    assert_eq!(*b.recorder.peers.lock().expect("lock"), [("a.7".to_owned(), a.address)]);
}

/// A frame that is too large is dropped; the connection stays open and later frames arrive.
#[test]
fn large_frame() {
    let (a, b) = two_entries("large");
    let link = a.endpoint.connect(Some("b".to_owned()), b.address);
    assert!(wait_until(|| link.is_connected()));
    let large = credit::Request { round: 1, service: "x".repeat(MAX_FRAME_BYTES), count: 1 };
    assert!(link.send(Frame::CreditRequest(large)));
    assert!(link.send(Frame::PolicyFetch(version::Request { version: 1 })));
    assert!(wait_until(|| b.recorder.frames.lock().expect("lock").len() == 1));
    assert!(link.is_connected());
}

/// Reading a streamed reply. Guards against a truncated reply that looks complete.
#[test_case(1, Ok("text"); "whole")]
#[test_case(2, Err(()); "short")]
#[test_case(3, Err(()); "reset")]
fn streamed_answer(version: u64, expected: Result<&str, ()>) {
    let (a, b) = two_entries("streamed");
    let link = a.endpoint.connect(Some("b".to_owned()), b.address);
    assert!(wait_until(|| link.is_connected()));
    let mut exchange = open_fetch(&link, version).expect("open");
    match smol::block_on(exchange.read()) {
        Ok(head) => assert_eq!(head, Frame::PolicyDocument { version, length: 4 }),
        // A reset may also discard data that has not been read yet.
        Err(error) => return assert_eq!((error, expected), (Error::Lost, Err(()))),
    }
    let mut reader = exchange.into_reader(Some(4));
    let mut text = String::new();
    let read = smol::block_on(reader.read_to_string(&mut text));
    assert_eq!(read.map(|_| text.as_str()).map_err(drop), expected);
}

/// A stream that the peer closes without a reply gives an error instead of waiting forever.
#[test]
fn missing_answer() {
    let (a, b) = two_entries("missing");
    let link = a.endpoint.connect(Some("b".to_owned()), b.address);
    assert!(wait_until(|| link.is_connected()));
    let mut exchange = open_fetch(&link, 0).expect("open");
    assert_eq!(smol::block_on(exchange.read()), Err(Error::Lost));
}

/// Without a connection, sending fails and the error says that nothing was sent.
#[test]
fn absent_peer() {
    let (a, _) = two_entries("absent");
    let unused = std::net::UdpSocket::bind("127.0.0.1:0").expect("bind");
    let link = a.endpoint.connect(Some("b".to_owned()), unused.local_addr().expect("address"));
    assert!(!link.send(Frame::PolicyFetch(version::Request { version: 1 })));
    assert_eq!(open_fetch(&link, 1).map(drop), Err(Error::Unsent));
}

/// A link reconnects to a peer that restarts.
#[test]
fn restarted_peer() {
    let dir = temp_dir("restarted");
    let authority = tls::new_authority().expect("authority");
    let identity_a = issue_identity(&dir, &authority, "a");
    let identity_b = issue_identity(&dir, &authority, "b");
    let a = smol::block_on(async { start_entry(&identity_a, "a", PROTOCOL_VERSION) });
    let b = smol::block_on(async { start_entry(&identity_b, "b", PROTOCOL_VERSION) });
    let (address, link) = (b.address, a.endpoint.connect(Some("b".to_owned()), b.address));
    assert!(wait_until(|| link.is_connected()));
    smol::block_on(b.endpoint.close());
    assert!(wait_until(|| !link.is_connected()));
    let process = Process { name: "b".to_owned(), incarnation: Incarnation(8) };
    let hello = Hello { protocol: PROTOCOL_VERSION, process, data_centre: "zurich-1".to_owned() };
    let bind = || smol::block_on(async { Endpoint::bind(address, &identity_b, hello.clone()) });
    let start = Instant::now();
    let endpoint = loop {
        match bind() {
            Ok(endpoint) => break endpoint,
            // The previous socket stays bound until its last task has ended.
            Err(_) if start.elapsed() < Duration::from_secs(3) => {
                std::thread::sleep(Duration::from_millis(20));
            }
            Err(error) => panic!("{error}"),
        }
    };
    let service = Arc::new(Recorder::default());
    smol::spawn(async move { endpoint.serve(service).await }).detach();
    assert!(wait_until(|| link.is_connected()));
}

/// A peer is refused if its certificate has another name than expected or another authority.
#[test_case("c", true; "other name")]
#[test_case("b", false; "other authority")]
fn refused_peer(name: &str, same_authority: bool) {
    let dir = temp_dir("refused");
    let authority = tls::new_authority().expect("authority");
    let other_authority = tls::new_authority().expect("authority");
    let identity_a = issue_identity(&dir, &authority, "a");
    let b = issue_identity(&dir, if same_authority { &authority } else { &other_authority }, "b");
    let a = smol::block_on(async { start_entry(&identity_a, "a", PROTOCOL_VERSION) });
    let b = smol::block_on(async { start_entry(&b, "b", PROTOCOL_VERSION) });
    let link = a.endpoint.connect(Some(name.to_owned()), b.address);
    std::thread::sleep(Duration::from_millis(500));
    assert!(!link.is_connected());
    assert!(b.recorder.peers.lock().expect("lock").is_empty());
}

/// Frames are ignored if the hello has another protocol version, or another name than the sender's
/// certificate.
#[test_case("a", PROTOCOL_VERSION + 1; "protocol")]
#[test_case("z", PROTOCOL_VERSION; "name")]
fn refused_hello(name: &str, protocol: u32) {
    let dir = temp_dir("hello");
    let authority = tls::new_authority().expect("authority");
    let identity_a = issue_identity(&dir, &authority, "a");
    let identity_b = issue_identity(&dir, &authority, "b");
    let a = smol::block_on(async { start_entry(&identity_a, name, protocol) });
    let b = smol::block_on(async { start_entry(&identity_b, "b", PROTOCOL_VERSION) });
    let link = a.endpoint.connect(None, b.address);
    let start = Instant::now();
    while start.elapsed() < Duration::from_millis(500) {
        link.send(Frame::PolicyFetch(version::Request { version: 1 }));
        std::thread::sleep(Duration::from_millis(10));
    }
    assert!(b.recorder.peers.lock().expect("lock").is_empty());
    assert!(b.recorder.frames.lock().expect("lock").is_empty());
}

/// A renewed certificate is used without a restart.
#[test]
fn renewed_identity() {
    let dir = temp_dir("renewed");
    let old = tls::new_authority().expect("authority");
    let new = tls::new_authority().expect("authority");
    let a = smol::block_on(async {
        start_entry(&issue_identity(&dir, &old, "a"), "a", PROTOCOL_VERSION)
    });
    let b = smol::block_on(async {
        start_entry(&issue_identity(&dir, &new, "b"), "b", PROTOCOL_VERSION)
    });
    let link = a.endpoint.connect(Some("b".to_owned()), b.address);
    std::thread::sleep(Duration::from_millis(400));
    assert!(!link.is_connected());
    a.endpoint.set_identity(&issue_identity(&dir, &new, "a")).expect("identity");
    assert!(wait_until(|| link.is_connected()));
}

/// A new connection allows few streams to save memory. The limit must grow with the number in use,
/// or requests would wait for each other.
#[test]
fn many_streams() {
    let (a, b) = two_entries("many");
    let link = a.endpoint.connect(Some("b".to_owned()), b.address);
    assert!(wait_until(|| link.is_connected()));
    let opened = smol::block_on(async {
        let open_all = async {
            let mut open = Vec::new();
            for _ in 0..1_000 {
                let frame = Frame::PolicyFetch(version::Request { version: 4 });
                open.push(link.open_stream(&frame).await.expect("open"));
            }
            open.len()
        };
        let timer = async {
            smol::Timer::after(Duration::from_secs(10)).await;
            0
        };
        futures_lite::future::or(open_all, timer).await
    });
    assert_eq!(opened, 1_000);
}
