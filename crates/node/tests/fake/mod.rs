//! A small HTTP peer whose replies are bytes, so that it can misbehave in any way.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// What the peer does with a connection.
#[derive(Debug, Clone)]
#[allow(dead_code, reason = "each test file uses a part")]
pub enum Step {
    /// Reads a request and writes these bytes.
    Reply(Vec<u8>),
    /// Reads a request, waits, and writes these bytes.
    Slow(Duration, Vec<u8>),
    /// Closes without reading.
    CloseFirst,
    /// Reads a request and closes.
    CloseAfter,
    /// Reads a request, writes these bytes and closes.
    ReplyClose(Vec<u8>),
    /// Reads a request and never answers.
    Silent,
}

/// A running peer. Connection `n` follows script `n`; further connections follow the last one.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Where it listens.
    pub address: SocketAddr,
    seen: Arc<Mutex<Vec<String>>>,
}

#[allow(dead_code, reason = "each test file uses a part")]
impl Peer {
    /// Starts a peer.
    pub fn new(scripts: Vec<Vec<Step>>) -> Peer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let address = listener.local_addr().expect("address");
        let peer = Peer { address, seen: Arc::default() };
        let seen = peer.seen.clone();
        thread::spawn(move || {
            for (number, stream) in listener.incoming().enumerate() {
                let script = scripts[number.min(scripts.len() - 1)].clone();
                let seen = seen.clone();
                thread::spawn(move || run(stream.expect("accept"), script, &seen));
            }
        });
        peer
    }

    /// The requests that came, each as its whole text.
    pub fn seen(&self) -> Vec<String> {
        self.seen.lock().expect("lock").clone()
    }
}

fn run(mut stream: TcpStream, script: Vec<Step>, seen: &Mutex<Vec<String>>) {
    for step in script {
        if matches!(step, Step::CloseFirst) {
            return;
        }
        let Some(request) = read_request(&mut stream) else { return };
        seen.lock().expect("lock").push(request);
        match step {
            Step::Reply(bytes) => drop(stream.write_all(&bytes)),
            Step::Slow(wait, bytes) => {
                thread::sleep(wait);
                drop(stream.write_all(&bytes));
            }
            Step::ReplyClose(bytes) => {
                drop(stream.write_all(&bytes));
                drop(stream.shutdown(Shutdown::Write));
                return;
            }
            Step::Silent => thread::sleep(Duration::from_secs(30)),
            Step::CloseAfter | Step::CloseFirst => return,
        }
    }
    // Keeps the connection open, as a keep-alive server does, until the other side closes.
    drop(stream.read(&mut [0; 1]));
}

fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        bytes.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&bytes).into_owned();
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse::<usize>().ok())?
    });
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).ok()?;
    Some(head + String::from_utf8_lossy(&body).as_ref())
}

/// A whole reply with a length.
#[allow(dead_code, reason = "each test file uses a part")]
pub fn reply(status: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n{headers}\r\n{body}").into_bytes()
}
