//! HTTP helpers shared by the simulated systems.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use futures_lite::AsyncRead;
use serde::Serialize;
use serde::de::DeserializeOwned;
use trillium::{Body, Conn, Handler, HttpConfig, Swansong};
use trillium_server_common::ServerHandle;

/// Chunk size for streamed bodies; small, so that the start of a truncated reply is sent before
/// its error. Only truncated replies are streamed.
const WRITE_CHUNK_BYTES: usize = 1_024;

/// Starts a server on `listen` and returns once it accepts connections. Fails if the address
/// cannot be bound.
pub async fn start(listen: SocketAddr, handler: impl Handler) -> io::Result<ServerHandle> {
    let config = trillium_smol::config()
        .without_signals()
        .with_nodelay()
        .with_http_config(http_config())
        .listeners()
        .bind_tcp(listen)?;
    let handle = config.spawn(handler);
    handle.info().await;
    Ok(handle)
}

/// Returns the address that a server listens on.
pub async fn address(handle: &ServerHandle) -> SocketAddr {
    let info = handle.info().await;
    *info.tcp_socket_addr().expect("a TCP server has an address")
}

/// Serves on `listen` until SIGTERM or SIGINT, then lets requests in flight finish. Fails if the
/// address cannot be bound.
pub fn run(listen: SocketAddr, handler: impl Handler) -> io::Result<()> {
    let config = trillium_smol::config()
        .with_nodelay()
        .with_http_config(http_config())
        .listeners()
        .bind_tcp(listen)?;
    config.run(handler);
    Ok(())
}

fn http_config() -> HttpConfig {
    HttpConfig::default().with_body_write_chunk_len(WRITE_CHUNK_BYTES)
}

/// Replies with status 200 and `value` as JSON.
pub fn reply_json(conn: Conn, value: &impl Serialize) -> Conn {
    let body = serde_json::to_string(value).expect("the value serialises to JSON");
    conn.with_response_header("content-type", "application/json").ok(body)
}

/// Parses the request body as JSON. The error is a message for the client.
pub async fn read_json<T: DeserializeOwned>(conn: &mut Conn) -> Result<T, String> {
    let text = conn.request_body_string().await.map_err(|error| error.to_string())?;
    serde_json::from_str(&text).map_err(|error| error.to_string())
}

/// Replies with status 400 and a message.
pub fn bad_request(conn: Conn, message: impl Into<String>) -> Conn {
    conn.with_status(400).with_body(message.into()).halt()
}

/// Closes the connection without sending any byte of a reply.
pub fn close_without_reply(conn: Conn) -> Conn {
    truncated_reply(conn, Vec::new(), 1)
}

/// Announces a reply of `length` bytes, sends only `prefix` and closes the connection.
pub fn truncated_reply(conn: Conn, prefix: Vec<u8>, length: u64) -> Conn {
    let body = Body::new_streaming(TruncatedReader { prefix, sent: 0 }, Some(length));
    conn.with_status(200).with_body(body).halt()
}

/// Yields `prefix`, then an error.
struct TruncatedReader {
    prefix: Vec<u8>,
    sent: usize,
}

impl AsyncRead for TruncatedReader {
    fn poll_read(
        mut self: std::pin::Pin<&mut Self>,
        _: &mut std::task::Context<'_>,
        buffer: &mut [u8],
    ) -> std::task::Poll<io::Result<usize>> {
        let rest = &self.prefix[self.sent..];
        let count = rest.len().min(buffer.len());
        if count == 0 {
            return std::task::Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        buffer[..count].copy_from_slice(&rest[..count]);
        self.sent += count;
        std::task::Poll::Ready(Ok(count))
    }
}

/// Waits until the client disconnects or the server shuts down.
pub async fn wait_for_disconnect(conn: &mut Conn, swansong: Swansong) {
    let forever = std::future::pending::<()>();
    conn.cancel_on_disconnect(swansong.interrupt(forever)).await;
}

/// The current Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    elapsed.as_millis() as u64
}

/// Returns the first value of the parameter `name` in the query string.
pub fn query_value(conn: &Conn, name: &str) -> Option<String> {
    form_urlencoded::parse(conn.querystring().as_bytes())
        .find(|(key, _)| key == name)
        .map(|(_, value)| value.into_owned())
}
