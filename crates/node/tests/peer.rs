//! Connections between entries, with real sockets on loopback.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use ebonypass_core::credit;
use ebonypass_core::roster::{Incarnation, Process};
use ebonypass_core::version;
use ebonypass_node::peer::{Endpoint, Error, Link, Service};
use ebonypass_node::settings::Tls;
use ebonypass_node::stream::Exchange;
use ebonypass_node::tls::{self, Identity, Pair};
use ebonypass_node::wire::{Frame, Hello, MAX_FRAME, PROTOCOL};
use smol::io::AsyncReadExt;
use test_case::test_case;

/// Notes what comes, and answers a `Fetch` of version N as the case N says.
#[derive(Debug, Default)]
struct Recorder {
    found: Mutex<Vec<(String, SocketAddr)>>,
    notes: Mutex<Vec<(String, Frame)>>,
}

impl Service for Recorder {
    fn found(&self, from: &Hello, address: SocketAddr) {
        self.found.lock().expect("lock").push((from.process.to_string(), address));
    }

    fn note(&self, from: &Hello, frame: Frame) {
        self.notes.lock().expect("lock").push((from.process.to_string(), frame));
    }

    async fn serve(&self, _: &Hello, frame: Frame, mut exchange: Exchange) {
        let Frame::Fetch(version::Request { version }) = frame else { return };
        match version {
            // Closes without an answer.
            0 => {}
            // Answers whole.
            1 => {
                exchange.send(&Frame::Document { version: 1, length: 4 }).await.expect("send");
                exchange.write(b"text").await.expect("write");
                exchange.finish().expect("finish");
            }
            // Ends before the stated length.
            2 => {
                exchange.send(&Frame::Document { version: 2, length: 4 }).await.expect("send");
                exchange.write(b"te").await.expect("write");
                exchange.finish().expect("finish");
            }
            // Stays under way until the other side ends it.
            4 => drop(exchange.read().await),
            // Resets within the body.
            _ => {
                exchange.send(&Frame::Document { version: 3, length: 4 }).await.expect("send");
                exchange.write(b"te").await.expect("write");
                exchange.reset();
            }
        }
    }
}

struct Side {
    endpoint: Endpoint,
    recorder: Arc<Recorder>,
    address: SocketAddr,
}

fn folder(name: &str) -> std::path::PathBuf {
    let id = std::thread::current().id();
    let name = format!("ebonypass-peer-{name}-{}-{id:?}", std::process::id());
    let path = std::env::temp_dir().join(name);
    drop(std::fs::remove_dir_all(&path));
    std::fs::create_dir_all(&path).expect("folder");
    path
}

fn identity(folder: &Path, authority: &Pair, name: &str) -> Identity {
    let path = folder.join(format!("{name}-{}", fastrand::u64(..)));
    std::fs::create_dir_all(&path).expect("folder");
    tls::issue(authority, name).expect("issue").write(&path, name).expect("write");
    std::fs::write(path.join("authority.pem"), &authority.certificate).expect("write");
    let files = Tls {
        authority: path.join("authority.pem"),
        certificate: path.join(format!("{name}.pem")),
        key: path.join(format!("{name}.key")),
    };
    Identity::load(&files).expect("identity")
}

fn side(identity: &Identity, name: &str, protocol: u32) -> Side {
    let process = Process { name: name.to_owned(), incarnation: Incarnation(7) };
    let hello = Hello { protocol, process, data_centre: "zurich-1".to_owned() };
    let address = "127.0.0.1:0".parse().expect("address");
    let endpoint = Endpoint::bind(address, identity, hello).expect("bind");
    let address = endpoint.address().expect("address");
    let recorder = Arc::new(Recorder::default());
    let (server, service) = (endpoint.clone(), recorder.clone());
    smol::spawn(async move { server.serve(service).await }).detach();
    Side { endpoint, recorder, address }
}

/// Two entries of one authority.
fn pair(name: &str) -> (Side, Side) {
    let folder = folder(name);
    let authority = tls::new_authority().expect("authority");
    let a = smol::block_on(async { side(&identity(&folder, &authority, "a"), "a", PROTOCOL) });
    let b = smol::block_on(async { side(&identity(&folder, &authority, "b"), "b", PROTOCOL) });
    (a, b)
}

fn wait_until(is_true: impl Fn() -> bool) -> bool {
    let start = Instant::now();
    while !is_true() && start.elapsed() < Duration::from_secs(3) {
        std::thread::sleep(Duration::from_millis(5));
    }
    is_true()
}

fn fetch(link: &Link, version: u64) -> Result<Exchange, Error> {
    smol::block_on(link.open(&Frame::Fetch(version::Request { version })))
}

/// Frames arrive in order under the sender's certified name, and its address can be used to
/// connect back.
#[test]
fn ordered_frames() {
    let (a, b) = pair("ordered");
    let link = a.endpoint.link(Some("b".to_owned()), b.address);
    assert!(wait_until(|| link.is_connected()));
    for version in 0..100 {
        assert!(link.send(Frame::Fetch(version::Request { version })));
    }
    assert!(wait_until(|| b.recorder.notes.lock().expect("lock").len() == 100));
    let notes = b.recorder.notes.lock().expect("lock");
    for (version, (from, frame)) in notes.iter().enumerate() {
        assert_eq!(from, "a.7");
        assert_eq!(*frame, Frame::Fetch(version::Request { version: version as u64 }));
    }
    assert_eq!(*b.recorder.found.lock().expect("lock"), [("a.7".to_owned(), a.address)]);
}

/// A frame that is too large is dropped, and the ones after it arrive.
#[test]
fn large_frame() {
    let (a, b) = pair("large");
    let link = a.endpoint.link(Some("b".to_owned()), b.address);
    assert!(wait_until(|| link.is_connected()));
    let large = credit::Request { round: 1, service: "x".repeat(MAX_FRAME), count: 1 };
    assert!(link.send(Frame::Need(large)));
    assert!(link.send(Frame::Fetch(version::Request { version: 1 })));
    assert!(wait_until(|| b.recorder.notes.lock().expect("lock").len() == 1));
    assert!(link.is_connected());
}

/// What a reader of a streamed answer sees. Guards against a cut answer that looks whole.
#[test_case(1, Ok("text"); "whole")]
#[test_case(2, Err(()); "short")]
#[test_case(3, Err(()); "reset")]
fn streamed_answer(version: u64, expected: Result<&str, ()>) {
    let (a, b) = pair("streamed");
    let link = a.endpoint.link(Some("b".to_owned()), b.address);
    assert!(wait_until(|| link.is_connected()));
    let mut exchange = fetch(&link, version).expect("open");
    match smol::block_on(exchange.read()) {
        Ok(head) => assert_eq!(head, Frame::Document { version, length: 4 }),
        // A reset also drops what has not been read yet.
        Err(error) => return assert_eq!((error, expected), (Error::Lost, Err(()))),
    }
    let mut reader = exchange.into_reader(Some(4));
    let mut text = String::new();
    let read = smol::block_on(reader.read_to_string(&mut text));
    assert_eq!(read.map(|_| text.as_str()).map_err(drop), expected);
}

/// An answer that never comes is a loss, not a hang.
#[test]
fn missing_answer() {
    let (a, b) = pair("missing");
    let link = a.endpoint.link(Some("b".to_owned()), b.address);
    assert!(wait_until(|| link.is_connected()));
    let mut exchange = fetch(&link, 0).expect("open");
    assert_eq!(smol::block_on(exchange.read()), Err(Error::Lost));
}

/// Without a connection nothing is sent, and the sender knows it.
#[test]
fn absent_peer() {
    let (a, _) = pair("absent");
    let nobody = std::net::UdpSocket::bind("127.0.0.1:0").expect("bind");
    let link = a.endpoint.link(Some("b".to_owned()), nobody.local_addr().expect("address"));
    assert!(!link.send(Frame::Fetch(version::Request { version: 1 })));
    assert_eq!(fetch(&link, 1).map(drop), Err(Error::Unsent));
}

/// A peer that comes back is connected again.
#[test]
fn restarted_peer() {
    let folder = folder("restarted");
    let authority = tls::new_authority().expect("authority");
    let own = identity(&folder, &authority, "a");
    let other = identity(&folder, &authority, "b");
    let a = smol::block_on(async { side(&own, "a", PROTOCOL) });
    let b = smol::block_on(async { side(&other, "b", PROTOCOL) });
    let (address, link) = (b.address, a.endpoint.link(Some("b".to_owned()), b.address));
    assert!(wait_until(|| link.is_connected()));
    smol::block_on(b.endpoint.close());
    assert!(wait_until(|| !link.is_connected()));
    let process = Process { name: "b".to_owned(), incarnation: Incarnation(8) };
    let hello = Hello { protocol: PROTOCOL, process, data_centre: "zurich-1".to_owned() };
    let bind = || smol::block_on(async { Endpoint::bind(address, &other, hello.clone()) });
    let start = Instant::now();
    let endpoint = loop {
        match bind() {
            Ok(endpoint) => break endpoint,
            // The old socket lives until the last of its tasks has ended.
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

/// Who is not connected: another name than the VM list says, another authority.
#[test_case("c", true; "other name")]
#[test_case("b", false; "other authority")]
fn refused_peer(name: &str, is_same: bool) {
    let folder = folder("refused");
    let authority = tls::new_authority().expect("authority");
    let other = tls::new_authority().expect("authority");
    let own = identity(&folder, &authority, "a");
    let b = identity(&folder, if is_same { &authority } else { &other }, "b");
    let a = smol::block_on(async { side(&own, "a", PROTOCOL) });
    let b = smol::block_on(async { side(&b, "b", PROTOCOL) });
    let link = a.endpoint.link(Some(name.to_owned()), b.address);
    std::thread::sleep(Duration::from_millis(500));
    assert!(!link.is_connected());
    assert!(b.recorder.found.lock().expect("lock").is_empty());
}

/// A sender with another protocol, or that says another name than its certificate, is not heard.
#[test_case("a", PROTOCOL + 1; "protocol")]
#[test_case("z", PROTOCOL; "name")]
fn refused_hello(name: &str, protocol: u32) {
    let folder = folder("hello");
    let authority = tls::new_authority().expect("authority");
    let own = identity(&folder, &authority, "a");
    let other = identity(&folder, &authority, "b");
    let a = smol::block_on(async { side(&own, name, protocol) });
    let b = smol::block_on(async { side(&other, "b", PROTOCOL) });
    let link = a.endpoint.link(None, b.address);
    let start = Instant::now();
    while start.elapsed() < Duration::from_millis(500) {
        link.send(Frame::Fetch(version::Request { version: 1 }));
        std::thread::sleep(Duration::from_millis(10));
    }
    assert!(b.recorder.found.lock().expect("lock").is_empty());
    assert!(b.recorder.notes.lock().expect("lock").is_empty());
}

/// A renewed certificate is used without a restart.
#[test]
fn renewed_identity() {
    let folder = folder("renewed");
    let old = tls::new_authority().expect("authority");
    let new = tls::new_authority().expect("authority");
    let a = smol::block_on(async { side(&identity(&folder, &old, "a"), "a", PROTOCOL) });
    let b = smol::block_on(async { side(&identity(&folder, &new, "b"), "b", PROTOCOL) });
    let link = a.endpoint.link(Some("b".to_owned()), b.address);
    std::thread::sleep(Duration::from_millis(400));
    assert!(!link.is_connected());
    a.endpoint.set_identity(&identity(&folder, &new, "a")).expect("identity");
    assert!(wait_until(|| link.is_connected()));
}

/// A connection starts with few streams to save memory. A busy one must get more, or requests would
/// wait for each other.
#[test]
fn many_streams() {
    let (a, b) = pair("many");
    let link = a.endpoint.link(Some("b".to_owned()), b.address);
    assert!(wait_until(|| link.is_connected()));
    let opened = smol::block_on(async {
        let open_all = async {
            let mut open = Vec::new();
            for _ in 0..1_000 {
                let frame = Frame::Fetch(version::Request { version: 4 });
                open.push(link.open(&frame).await.expect("open"));
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
