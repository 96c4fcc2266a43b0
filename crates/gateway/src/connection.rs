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
use socket2::{SockRef, TcpKeepalive};

use crate::payload::Payload;
use crate::stream::{HeadLimit, MAX_READ_BYTES, Stream};

/// How long sent bytes may stay unacknowledged. Without it, a request on a connection whose peer no
/// longer responds would hang until its own timeout.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Idle time before the first TCP keepalive probe, and the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keepalive probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// Size of the send and receive buffers of an outgoing connection. The kernel would let them grow
/// to megabytes while a caller reads slowly or a target does not read.
const SOCKET_BUFFER: usize = 128 << 10;

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
    _driver: Task<()>,
}

impl Connection {
    /// Opens a connection to `address` within `timeout`.
    ///
    /// Errors: the connection failed or timed out.
    pub async fn open(
        executor: &Rc<LocalExecutor<'static>>,
        address: SocketAddr,
        timeout: Duration,
    ) -> io::Result<Connection> {
        let timer = async {
            Timer::after(timeout).await;
            Err(io::Error::from(io::ErrorKind::TimedOut))
        };
        let stream = future::or(Async::<net::TcpStream>::connect(address), timer).await?;
        set_socket_options(&stream)?;
        set_socket_buffers(&stream, SOCKET_BUFFER)?;
        let head_limit = HeadLimit::default();
        let socket = TcpStream::from(stream);
        let io = Stream::new(socket.clone(), head_limit.clone());
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(MAX_READ_BYTES)
            .handshake(io)
            .await
            .map_err(io::Error::other)?;
        let driver = executor.spawn(async move {
            // The request in flight receives the error through `sender`.
            let _ = driver.await;
        });
        Ok(Connection { sender, socket, head_limit, _driver: driver })
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

/// Limits what the kernel holds for a connection. The kernel reserves twice `bytes` each way.
pub fn set_socket_buffers(stream: &Async<net::TcpStream>, bytes: usize) -> io::Result<()> {
    let socket = SockRef::from(stream.get_ref());
    socket.set_recv_buffer_size(bytes)?;
    socket.set_send_buffer_size(bytes)
}
