//! Outgoing HTTP/1.1 connections.

use std::io;
use std::net::{self, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use futures_lite::future;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use smol::net::TcpStream;
use smol::{Async, LocalExecutor, Task, Timer};
use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};

use crate::payload::Payload;
use crate::stream::{HeadLimit, MAX_READ_BYTES, ReadLimit, SMALL_READ_BYTES, Stream};

/// How long sent bytes may stay unacknowledged. Without it, a request on a connection whose peer no
/// longer responds would hang until its own timeout.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Idle time before the first TCP keepalive probe, and the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keepalive probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// Size of the send buffer of an outgoing connection. The kernel would let it grow to megabytes
/// while a target does not read.
const SEND_BUFFER: usize = 128 << 10;
/// Number of the error by which a non-blocking `connect` says that it goes on, on Linux.
const EINPROGRESS: i32 = 115;

/// Size of the receive buffer of a connection to a target. The kernel lets twice as much in, and
/// callers who read slowly make the process leave it unread.
pub const TARGET_RECEIVE_BUFFER: usize = 24 << 10;
/// Size of the receive buffer of a connection to the store or another machine: pages of 1 MB must
/// arrive soon from any region.
pub const STORE_RECEIVE_BUFFER: usize = 128 << 10;
/// Memory of a connection that receives a large reply, beyond that of any other connection: three
/// reads that hyper holds.
pub const LARGE_REPLY_BYTES: usize = 3 * MAX_READ_BYTES;

/// Why a request received no reply.
#[derive(Debug)]
pub enum Error {
    /// Nothing of the request was sent.
    Unsent(String),
    /// The request was sent, at least in part, and may have been received.
    Lost(String),
}

/// An open connection; dropping it closes it.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Payload>,
    socket: TcpStream,
    head_limit: HeadLimit,
    read_limit: ReadLimit,
    _driver: Task<()>,
}

impl Connection {
    /// Opens a connection to `address` within `timeout`, with a receive buffer of `receive_buffer`
    /// bytes.
    ///
    /// Errors: the connection failed or timed out.
    pub async fn open(
        executor: &Rc<LocalExecutor<'static>>,
        address: SocketAddr,
        timeout: Duration,
        receive_buffer: usize,
    ) -> io::Result<Connection> {
        let timer = async {
            Timer::after(timeout).await;
            Err(io::Error::from(io::ErrorKind::TimedOut))
        };
        let stream = future::or(connect(address, receive_buffer), timer).await?;
        set_socket_options(&stream)?;
        let (head_limit, read_limit) = (HeadLimit::default(), ReadLimit::default());
        let socket = TcpStream::from(stream);
        let io = Stream::new(socket.clone(), head_limit.clone(), read_limit.clone());
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(MAX_READ_BYTES)
            .handshake(io)
            .await
            .map_err(io::Error::other)?;
        let driver = executor.spawn(async move {
            // The request in flight receives the error through `sender`.
            let _ = driver.await;
        });
        Ok(Connection { sender, socket, head_limit, read_limit, _driver: driver })
    }

    /// Whether the connection is open and can take a request now.
    ///
    /// Looks at the socket itself: its end, or a second copy of the last reply, may have arrived
    /// since the connection's task ran.
    pub async fn is_ready(&mut self) -> bool {
        !self.sender.is_closed()
            && matches!(future::poll_once(self.sender.ready()).await, Some(Ok(())))
            && future::poll_once(self.socket.peek(&mut [0])).await.is_none()
    }

    /// Lets the connection read more at once, for a large reply; [`LARGE_REPLY_BYTES`] must be
    /// reserved meanwhile.
    pub fn set_large_reply(&self, is_large: bool) {
        self.read_limit.set(if is_large { MAX_READ_BYTES } else { SMALL_READ_BYTES });
    }

    /// Sends a request and waits for the head of the reply.
    ///
    /// Errors: no reply head arrived; the variant says whether the request was sent.
    pub async fn send(&mut self, request: Request<Payload>) -> Result<Response<Incoming>, Error> {
        if let Err(error) = self.sender.ready().await {
            return Err(Error::Unsent(error.to_string()));
        }
        self.head_limit.start();
        let result = self.sender.try_send_request(request).await;
        self.head_limit.end();
        result.map_err(|mut error| {
            let is_unsent = error.take_message().is_some();
            let text = error_with_source(error.error());
            if is_unsent { Error::Unsent(text) } else { Error::Lost(text) }
        })
    }
}

/// Formats an error with its source.
pub fn error_with_source(error: &hyper::Error) -> String {
    match std::error::Error::source(error) {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}

/// Disables Nagle's algorithm and sets the timeouts that detect a peer that vanished without
/// closing.
pub fn set_socket_options(stream: &Async<net::TcpStream>) -> io::Result<()> {
    let socket = SockRef::from(stream.get_ref());
    socket.set_tcp_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}

/// Connects with limits on what the kernel holds. They are set before: a sender splits its data by
/// the largest window that it has seen, and one that is reduced later stalls it.
async fn connect(address: SocketAddr, receive_buffer: usize) -> io::Result<Async<net::TcpStream>> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_recv_buffer_size(receive_buffer)?;
    socket.set_send_buffer_size(SEND_BUFFER)?;
    socket.set_nonblocking(true)?;
    let result = socket.connect(&address.into());
    if let Err(error) = result
        && error.raw_os_error() != Some(EINPROGRESS)
    {
        return Err(error);
    }
    let stream = Async::new_nonblocking(net::TcpStream::from(socket))?;
    stream.writable().await?;
    match stream.get_ref().take_error()? {
        Some(error) => Err(error),
        None => Ok(stream),
    }
}
