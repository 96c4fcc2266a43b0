//! A scripted HTTP server that replies with given bytes, delays replies and closes connections.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// One step of a script: what the server does next on a connection.
#[derive(Debug, Clone)]
#[allow(dead_code, reason = "each test file uses only some items")]
pub enum Step {
    /// Reads a request and writes these bytes.
    Reply(Vec<u8>),
    /// Reads a request, waits for the duration and writes these bytes.
    DelayedReply(Duration, Vec<u8>),
    /// Closes the connection without reading.
    CloseBeforeRequest,
    /// Reads a request and closes the connection.
    CloseAfterRequest,
    /// Reads a request, writes these bytes, ends the sending direction and closes the connection.
    ReplyAndClose(Vec<u8>),
    /// Reads a request and sends nothing for 30 s, then goes on with the next step.
    NoReply,
}

/// A running server. Each script is a list of steps for one connection, in order of accepting;
/// further connections follow the last script.
#[derive(Debug, Clone)]
pub struct Server {
    /// The address it listens on.
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<String>>>,
}

#[allow(dead_code, reason = "each test file uses only some items")]
impl Server {
    /// Starts a server on a free loopback port.
    pub fn start(scripts: Vec<Vec<Step>>) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let address = listener.local_addr().expect("address");
        let server = Server { address, requests: Arc::default() };
        let requests = server.requests.clone();
        thread::spawn(move || {
            for (index, stream) in listener.incoming().enumerate() {
                let script = scripts[index.min(scripts.len() - 1)].clone();
                let requests = requests.clone();
                thread::spawn(move || run_script(stream.expect("accept"), script, &requests));
            }
        });
        server
    }

    /// The requests received, each with head and body.
    pub fn requests(&self) -> Vec<String> {
        self.requests.lock().expect("lock").clone()
    }
}

fn run_script(mut stream: TcpStream, script: Vec<Step>, requests: &Mutex<Vec<String>>) {
    for step in script {
        if matches!(step, Step::CloseBeforeRequest) {
            return;
        }
        let Some(request) = read_request(&mut stream) else { return };
        requests.lock().expect("lock").push(request);
        match step {
            Step::Reply(bytes) => drop(stream.write_all(&bytes)),
            Step::DelayedReply(delay, bytes) => {
                thread::sleep(delay);
                drop(stream.write_all(&bytes));
            }
            Step::ReplyAndClose(bytes) => {
                drop(stream.write_all(&bytes));
                drop(stream.shutdown(Shutdown::Write));
                return;
            }
            Step::NoReply => thread::sleep(Duration::from_secs(30)),
            Step::CloseAfterRequest | Step::CloseBeforeRequest => return,
        }
    }
    // Keeps the connection open, as a keep-alive server does, until the client closes it or sends
    // another request.
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

/// A complete reply with a `content-length` header. `status` is code and reason, such as `200 OK`;
/// each line of `headers` ends with CRLF.
#[allow(dead_code, reason = "each test file uses only some items")]
pub fn reply(status: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n{headers}\r\n{body}").into_bytes()
}
