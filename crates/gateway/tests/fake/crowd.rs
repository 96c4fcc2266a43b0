//! Many clients that misbehave at once, served by a few threads.
//!
//! The clients send as fast as loopback takes it and return each time they are refused, until the
//! crowd is told to hold what it has.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use socket2::{Domain, SockRef, Socket, Type};

const THREADS: usize = 6;
/// A client that was refused returns after this time.
const RETURN_DELAY: Duration = Duration::from_millis(20);
/// Pause of a thread of which no client could go on.
const IDLE_PAUSE: Duration = Duration::from_millis(1);
/// Receive buffer of clients that read slowly or not at all, so that the process holds the rest.
const SLOW_RECEIVE_BUFFER: usize = 16 << 10;
/// Limit on what a client sends before the next one has a turn.
const MAX_WRITE_BYTES: usize = 256 << 10;

/// How a client reads replies.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Reading {
    Nothing,
    /// At most so many bytes in each interval.
    Pieces(usize, Duration),
    Everything,
}

/// What a client sends on each of its connections.
#[derive(Debug, Clone)]
pub struct Script {
    pub head: Vec<u8>,
    /// Sent over and over after the head.
    pub block: Arc<Vec<u8>>,
    /// Bytes that are sent after the head.
    pub length: usize,
    pub reading: Reading,
}

/// Clients of one script each, until closed.
pub struct Crowd {
    is_holding: Arc<AtomicBool>,
    is_over: Arc<AtomicBool>,
    connections: Arc<AtomicUsize>,
    threads: Vec<JoinHandle<()>>,
}

impl Crowd {
    /// Starts `count` clients.
    pub fn start(
        address: SocketAddr,
        count: usize,
        script: impl Fn(usize) -> Script + Send + Sync + 'static,
    ) -> Crowd {
        let script = Arc::new(script);
        let is_holding: Arc<AtomicBool> = Arc::default();
        let is_over: Arc<AtomicBool> = Arc::default();
        let connections: Arc<AtomicUsize> = Arc::default();
        let threads = (0..THREADS).map(|thread| {
            let (script, connections) = (script.clone(), connections.clone());
            let (is_holding, is_over) = (is_holding.clone(), is_over.clone());
            thread::spawn(move || {
                let indices = (thread..count).step_by(THREADS);
                let mut clients: Vec<Client> =
                    indices.map(|index| Client::new(script(index))).collect();
                while !is_over.load(Ordering::SeqCst) {
                    let may_return = !is_holding.load(Ordering::SeqCst);
                    let mut has_progress = false;
                    for client in &mut clients {
                        has_progress |= client.advance(address, may_return, &connections);
                    }
                    if !has_progress {
                        thread::sleep(IDLE_PAUSE);
                    }
                }
            })
        });
        let threads = threads.collect();
        Crowd { is_holding, is_over, connections, threads }
    }

    /// Keeps the open connections, but opens no further ones.
    pub fn hold(&self) {
        self.is_holding.store(true, Ordering::SeqCst);
    }

    /// Connections that the crowd has opened so far.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }

    /// Closes all connections.
    pub fn close(self) {
        self.is_over.store(true, Ordering::SeqCst);
        for thread in self.threads {
            thread.join().unwrap();
        }
    }
}

struct Client {
    script: Script,
    stream: Option<TcpStream>,
    sent: usize,
    next_read: Instant,
    next_connect: Instant,
}

impl Client {
    fn new(script: Script) -> Client {
        let now = Instant::now();
        Client { script, stream: None, sent: 0, next_read: now, next_connect: now }
    }

    /// Connects, sends and reads as far as is possible at once. Returns whether anything was.
    fn advance(&mut self, address: SocketAddr, may_return: bool, count: &AtomicUsize) -> bool {
        if self.stream.is_none() {
            if !may_return || Instant::now() < self.next_connect {
                return false;
            }
            self.next_connect = Instant::now() + RETURN_DELAY;
            self.stream = connect(address, self.script.reading);
            self.sent = 0;
            if self.stream.is_some() {
                count.fetch_add(1, Ordering::SeqCst);
            }
        }
        let (Some(sent), Some(read)) = (self.send(), self.read()) else {
            self.stream = None;
            self.next_connect = Instant::now() + RETURN_DELAY;
            return true;
        };
        sent + read > 0
    }

    /// Returns the bytes sent; none if the connection has ended.
    fn send(&mut self) -> Option<usize> {
        let stream = self.stream.as_mut()?;
        let start = self.sent;
        let (head, block) = (&self.script.head, &self.script.block);
        let end = head.len() + self.script.length;
        while self.sent < end && self.sent - start < MAX_WRITE_BYTES {
            let bytes = if self.sent < head.len() {
                &head[self.sent..]
            } else {
                let bytes = &block[(self.sent - head.len()) % block.len()..];
                &bytes[..bytes.len().min(end - self.sent)]
            };
            match stream.write(bytes) {
                Ok(length) => self.sent += length,
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(_) => return None,
            }
        }
        Some(self.sent - start)
    }

    /// Returns the bytes read; none if the connection has ended.
    fn read(&mut self) -> Option<usize> {
        let stream = self.stream.as_mut()?;
        let limit = match self.script.reading {
            Reading::Nothing => return Some(0),
            Reading::Pieces(bytes, interval) => {
                if Instant::now() < self.next_read {
                    return Some(0);
                }
                self.next_read = Instant::now() + interval;
                bytes
            }
            Reading::Everything => MAX_WRITE_BYTES,
        };
        let mut bytes = vec![0; limit];
        match stream.read(&mut bytes) {
            Ok(0) => None,
            Ok(length) => Some(length),
            Err(error) if error.kind() == ErrorKind::WouldBlock => Some(0),
            Err(_) => None,
        }
    }
}

/// Starts to connect; writes block until the connection is open.
fn connect(address: SocketAddr, reading: Reading) -> Option<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).ok()?;
    if reading != Reading::Everything {
        SockRef::from(&socket).set_recv_buffer_size(SLOW_RECEIVE_BUFFER).ok()?;
    }
    socket.set_nonblocking(true).ok()?;
    // An error says that the connection is not open yet.
    let _ = socket.connect(&address.into());
    Some(socket.into())
}
