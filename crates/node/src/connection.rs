//! A pool of connections to targets that counts the bytes read and written.
//!
//! A request may have run once a byte of it was written. The HTTP client library does not report
//! that, and its own pool retries a failed write on another connection. So this module opens, pools
//! and counts connections, and gives the library exactly one reserved connection per request.

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

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Idle connections kept per target. Targets rarely have more slots.
const MAX_IDLE_PER_TARGET: usize = 64;

/// The end of an HTTP message head.
const HEAD_END: &[u8; 4] = b"\r\n\r\n";

/// A connection to a target, with byte counters for the current request.
#[derive(Debug, Clone)]
pub(crate) struct Connection {
    stream: TcpStream,
    counters: Arc<Counters>,
}

/// Bytes of one request and its reply. Clones of a connection share them.
#[derive(Debug, Default)]
struct Counters {
    written: AtomicU64,
    read: AtomicU64,
    /// Length of the reply's head, 0 until it has been read completely.
    head_len: AtomicU64,
    /// Length of the prefix of [`HEAD_END`] that the last bytes read match.
    matched: AtomicU64,
}

impl Connection {
    /// Whether no byte of the request has been written, so that it cannot have run.
    pub(crate) fn is_unsent(&self) -> bool {
        self.counters.written.load(Ordering::Relaxed) == 0
    }

    /// Whether exactly one reply with a body of `body_len` bytes was read, so that the next bytes
    /// on the connection belong to the next reply.
    pub(crate) fn is_reusable(&self, body_len: u64) -> bool {
        let head_len = self.counters.head_len.load(Ordering::Relaxed);
        head_len > 0 && self.counters.read.load(Ordering::Relaxed) == head_len + body_len
    }

    fn reset(self) -> Connection {
        Connection { stream: self.stream, counters: Arc::default() }
    }
}

impl Counters {
    fn record_read(&self, bytes: &[u8]) {
        let before = self.read.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        if self.head_len.load(Ordering::Relaxed) > 0 {
            return;
        }
        let mut matched = self.matched.load(Ordering::Relaxed);
        for (index, &byte) in bytes.iter().enumerate() {
            matched = match byte {
                _ if byte == HEAD_END[matched as usize] => matched + 1,
                b'\r' => 1,
                _ => 0,
            };
            if matched == HEAD_END.len() as u64 {
                self.head_len.store(before + index as u64 + 1, Ordering::Relaxed);
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
            self.counters.record_read(&bytes[..len]);
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
            self.counters.written.fetch_add(len as u64, Ordering::Relaxed);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The library closes its handle after each reply; the pool decides when the socket closes.
        Poll::Ready(Ok(()))
    }
}

impl Transport for Connection {}

/// Idle connections by target address, and connections reserved for requests about to start.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
    reserved: Mutex<HashMap<u64, Connection>>,
    next_id: AtomicU64,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
}

impl Pool {
    /// Returns a pooled connection to `address` that was idle for at most `max_idle`, or opens one.
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
            Ok(Connection { stream, counters: Arc::default() })
        };
        let timer = async {
            smol::Timer::after(CONNECT_TIMEOUT).await;
            Err(io::Error::new(ErrorKind::TimedOut, "connection timed out"))
        };
        future::or(connect, timer).await
    }

    /// Returns `connection` to the pool. Its last reply must have been read completely.
    pub(crate) fn release(&self, address: SocketAddr, connection: Connection) {
        let mut idle = lock(&self.idle);
        let list = idle.entry(address).or_default();
        if list.len() >= MAX_IDLE_PER_TARGET {
            list.remove(0);
        }
        list.push(Idle { connection: connection.reset(), since: Instant::now() });
    }

    /// Closes connections that have been idle for longer than `max_idle`.
    pub(crate) fn close_idle(&self, max_idle: Duration) {
        lock(&self.idle).retain(|_, list| {
            list.retain(|idle| idle.since.elapsed() <= max_idle);
            !list.is_empty()
        });
    }

    /// Reserves `connection` for the request whose URL contains the returned host name.
    pub(crate) fn reserve(&self, connection: Connection) -> Reserved<'_> {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        lock(&self.reserved).insert(id, connection);
        Reserved { pool: self, id }
    }

    fn pop_idle(&self, address: SocketAddr, max_idle: Duration) -> Option<Idle> {
        let mut idle = lock(&self.idle);
        let list = idle.get_mut(&address)?;
        let last = list.pop().filter(|last| last.since.elapsed() <= max_idle);
        if last.is_none() {
            // The list is in order of last use, so all others have been idle for longer.
            idle.remove(&address);
        }
        last
    }
}

/// A reservation of a connection; dropping it cancels the reservation.
#[derive(Debug)]
pub(crate) struct Reserved<'a> {
    pool: &'a Pool,
    id: u64,
}

impl Reserved<'_> {
    /// The host name that identifies the connection in a URL.
    pub(crate) fn host(&self) -> String {
        format!("c{}", self.id)
    }
}

impl Drop for Reserved<'_> {
    fn drop(&mut self) {
        lock(&self.pool.reserved).remove(&self.id);
    }
}

/// Gives the client library the reserved connection that the URL's host name identifies.
#[derive(Debug, Clone)]
pub(crate) struct ReservedConnector(pub(crate) Arc<Pool>);

impl Connector for ReservedConnector {
    type Transport = Connection;
    type Runtime = SmolRuntime;
    type Udp = ();

    async fn connect(&self, url: &Url) -> io::Result<Connection> {
        self.connect_to(Destination::from_url(url)?).await
    }

    async fn connect_to(&self, destination: Destination) -> io::Result<Connection> {
        let id = destination.host().and_then(|host| host.strip_prefix('c')?.parse().ok());
        let connection = id.and_then(|id: u64| lock(&self.0.reserved).remove(&id));
        connection.ok_or_else(|| io::Error::new(ErrorKind::NotConnected, "no reserved connection"))
    }

    async fn resolve(&self, _: &str, _: u16) -> io::Result<Vec<SocketAddr>> {
        Ok(Vec::new())
    }

    fn runtime(&self) -> SmolRuntime {
        SmolRuntime::default()
    }
}

/// Returns the connection if it is open and has nothing to read. Excess bytes would be taken for
/// the next reply.
async fn check_idle(mut connection: Connection) -> Option<Connection> {
    let mut byte = [0];
    let is_quiet = future::poll_once(connection.read(&mut byte)).await.is_none();
    is_quiet.then_some(connection)
}
