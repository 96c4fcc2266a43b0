//! Connections to targets that count what crosses them.
//!
//! Whether a request may have run depends on whether a byte of it was written. The client library
//! does not tell, and its own pool writes a request again to the next connection when a write
//! fails. So connections are opened, kept and counted here, and the library gets exactly one
//! prepared connection for each request.

use std::collections::HashMap;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use futures_lite::future;
use smol::io::{AsyncRead, AsyncReadExt, AsyncWrite};
use smol::net::TcpStream;
use trillium_server_common::{Connector, Destination, Transport, Url};
use trillium_smol::SmolRuntime;

use crate::sync::lock;

/// How long opening a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Idle connections that are kept for one target. A target has more slots only in rare cases.
const IDLE_LIMIT: usize = 64;

/// The end of a head.
const HEAD_END: &[u8; 4] = b"\r\n\r\n";

/// A connection to a target, with the bytes that crossed it for the present request.
#[derive(Debug, Clone)]
pub(crate) struct Connection {
    stream: TcpStream,
    count: Arc<Count>,
}

/// Bytes of one request and its reply.
#[derive(Debug, Default)]
struct Count {
    written: AtomicU64,
    read: AtomicU64,
    /// Bytes of the reply's head, 0 until it is complete.
    head: AtomicU64,
    /// Bytes of [`HEAD_END`] that the last read bytes match.
    matched: AtomicU64,
}

impl Connection {
    /// Whether no byte of the request was written.
    pub(crate) fn is_unsent(&self) -> bool {
        self.count.written.load(Ordering::Relaxed) == 0
    }

    /// Whether exactly one reply with a body of `body` bytes was read, so that the next bytes on
    /// the connection belong to the next reply.
    pub(crate) fn is_clean(&self, body: u64) -> bool {
        let head = self.count.head.load(Ordering::Relaxed);
        head > 0 && self.count.read.load(Ordering::Relaxed) == head + body
    }

    fn renewed(self) -> Connection {
        Connection { stream: self.stream, count: Arc::default() }
    }
}

impl Count {
    fn note_read(&self, bytes: &[u8]) {
        let before = self.read.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        if self.head.load(Ordering::Relaxed) > 0 {
            return;
        }
        let mut matched = self.matched.load(Ordering::Relaxed);
        for (at, &byte) in bytes.iter().enumerate() {
            matched = match byte {
                _ if byte == HEAD_END[matched as usize] => matched + 1,
                b'\r' => 1,
                _ => 0,
            };
            if matched == HEAD_END.len() as u64 {
                self.head.store(before + at as u64 + 1, Ordering::Relaxed);
                return;
            }
        }
        self.matched.store(matched, Ordering::Relaxed);
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_read(context, bytes);
        if let Poll::Ready(Ok(len)) = polled {
            self.count.note_read(&bytes[..len]);
        }
        polled
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, bytes);
        if let Poll::Ready(Ok(len)) = polled {
            self.count.written.fetch_add(len as u64, Ordering::Relaxed);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The library closes its side after each reply; the connection stays with its owner here.
        Poll::Ready(Ok(()))
    }
}

impl Transport for Connection {}

/// Idle connections by target, and the prepared connections of requests about to start.
#[derive(Debug, Default)]
pub(crate) struct Connections {
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
    prepared: Mutex<HashMap<u64, Connection>>,
    next: AtomicU64,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
}

impl Connections {
    /// A connection to `address` that was idle for at most `max_idle`, or a new one.
    pub(crate) async fn open(
        &self,
        address: SocketAddr,
        max_idle: Duration,
    ) -> io::Result<Connection> {
        while let Some(idle) = self.pop_idle(address, max_idle) {
            if let Some(connection) = check_idle(idle.connection).await {
                return Ok(connection);
            }
        }
        let connect = async {
            let stream = TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            Ok(Connection { stream, count: Arc::default() })
        };
        let timer = async {
            smol::Timer::after(CONNECT_TIMEOUT).await;
            Err(io::Error::new(ErrorKind::TimedOut, "no connection in time"))
        };
        future::or(connect, timer).await
    }

    /// Keeps `connection`, whose last reply was read whole, for the next request.
    pub(crate) fn keep(&self, address: SocketAddr, connection: Connection) {
        let mut idle = lock(&self.idle);
        let list = idle.entry(address).or_default();
        if list.len() >= IDLE_LIMIT {
            list.remove(0);
        }
        list.push(Idle { connection: connection.renewed(), since: Instant::now() });
    }

    /// Closes the connections that have been idle for longer than `max_idle`.
    pub(crate) fn sweep(&self, max_idle: Duration) {
        lock(&self.idle).retain(|_, list| {
            list.retain(|idle| idle.since.elapsed() <= max_idle);
            !list.is_empty()
        });
    }

    /// Prepares `connection` for the request whose URL has the host name that is returned.
    pub(crate) fn prepare(&self, connection: Connection) -> Prepared<'_> {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        lock(&self.prepared).insert(number, connection);
        Prepared { owner: self, number }
    }

    fn pop_idle(&self, address: SocketAddr, max_idle: Duration) -> Option<Idle> {
        let mut idle = lock(&self.idle);
        let list = idle.get_mut(&address)?;
        let last = list.pop().filter(|last| last.since.elapsed() <= max_idle);
        if last.is_none() {
            // The last one was used most recently, so the others are older still.
            idle.remove(&address);
        }
        last
    }
}

/// A connection that waits for the client library to ask for it.
#[derive(Debug)]
pub(crate) struct Prepared<'a> {
    owner: &'a Connections,
    number: u64,
}

impl Prepared<'_> {
    /// The host name that stands for the connection in a URL.
    pub(crate) fn host(&self) -> String {
        format!("c{}", self.number)
    }
}

impl Drop for Prepared<'_> {
    fn drop(&mut self) {
        lock(&self.owner.prepared).remove(&self.number);
    }
}

/// Gives the client library the prepared connection that a URL's host names.
#[derive(Debug, Clone)]
pub(crate) struct Handover(pub(crate) Arc<Connections>);

impl Connector for Handover {
    type Transport = Connection;
    type Runtime = SmolRuntime;
    type Udp = ();

    async fn connect(&self, url: &Url) -> io::Result<Connection> {
        self.connect_to(Destination::from_url(url)?).await
    }

    async fn connect_to(&self, destination: Destination) -> io::Result<Connection> {
        let number = destination.host().and_then(|host| host.strip_prefix('c')?.parse().ok());
        let connection = number.and_then(|number: u64| lock(&self.0.prepared).remove(&number));
        connection.ok_or_else(|| io::Error::new(ErrorKind::NotConnected, "no prepared connection"))
    }

    async fn resolve(&self, _: &str, _: u16) -> io::Result<Vec<SocketAddr>> {
        Ok(Vec::new())
    }

    fn runtime(&self) -> SmolRuntime {
        SmolRuntime::default()
    }
}

/// The connection if it is open and has nothing to read. Unasked bytes would be taken for the next
/// reply.
async fn check_idle(mut connection: Connection) -> Option<Connection> {
    let mut byte = [0];
    let is_silent = future::poll_once(connection.read(&mut byte)).await.is_none();
    is_silent.then_some(connection)
}
