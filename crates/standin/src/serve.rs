//! HTTP helpers that the stand-ins share.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use futures_lite::AsyncRead;
use serde::Serialize;
use serde::de::DeserializeOwned;
use trillium::{Body, Conn, Handler, HttpConfig, Swansong};
use trillium_server_common::ServerHandle;

/// Streamed bodies are written in parts of this size, so that the start of a cut reply reaches the
/// caller. Only cut replies are streamed.
const WRITE_CHUNK: usize = 1_024;

/// Starts a server on `listen` and returns once it accepts connections.
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

/// The address that a started server listens on.
pub async fn address(handle: &ServerHandle) -> SocketAddr {
    let info = handle.info().await;
    *info.tcp_socket_addr().expect("a TCP server has an address")
}

/// Serves on `listen` until SIGTERM or SIGINT, then lets requests in flight finish.
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
    HttpConfig::default().with_body_write_chunk_len(WRITE_CHUNK)
}

/// A reply with status 200 and `value` as JSON.
pub fn reply_json(conn: Conn, value: &impl Serialize) -> Conn {
    let body = serde_json::to_string(value).expect("stand-in values are JSON");
    conn.with_response_header("content-type", "application/json").ok(body)
}

/// The request body as JSON, or a reply that says what is wrong with it.
pub async fn read_json<T: DeserializeOwned>(conn: &mut Conn) -> Result<T, String> {
    let text = conn.request_body_string().await.map_err(|error| error.to_string())?;
    serde_json::from_str(&text).map_err(|error| error.to_string())
}

/// A reply with status 400 and a message.
pub fn bad_request(conn: Conn, message: impl Into<String>) -> Conn {
    conn.with_status(400).with_body(message.into()).halt()
}

/// Closes the connection without a byte of a reply.
pub fn no_reply(conn: Conn) -> Conn {
    cut_reply(conn, Vec::new(), 1)
}

/// A reply that announces `length` bytes, sends `part` and then closes the connection.
pub fn cut_reply(conn: Conn, part: Vec<u8>, length: u64) -> Conn {
    let body = Body::new_streaming(CutReader { part, sent: 0 }, Some(length));
    conn.with_status(200).with_body(body).halt()
}

/// Gives its bytes, then an error.
struct CutReader {
    part: Vec<u8>,
    sent: usize,
}

impl AsyncRead for CutReader {
    fn poll_read(
        mut self: std::pin::Pin<&mut Self>,
        _: &mut std::task::Context<'_>,
        buffer: &mut [u8],
    ) -> std::task::Poll<io::Result<usize>> {
        let rest = &self.part[self.sent..];
        let count = rest.len().min(buffer.len());
        if count == 0 {
            return std::task::Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        buffer[..count].copy_from_slice(&rest[..count]);
        self.sent += count;
        std::task::Poll::Ready(Ok(count))
    }
}

/// Waits until the client closes the connection or the server stops.
pub async fn hold(conn: &mut Conn, swansong: Swansong) {
    let forever = std::future::pending::<()>();
    conn.cancel_on_disconnect(swansong.interrupt(forever)).await;
}

/// Milliseconds of Unix time.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    since.as_millis() as u64
}

/// The value of `name` in the query string.
pub fn query_value(conn: &Conn, name: &str) -> Option<String> {
    form_urlencoded::parse(conn.querystring().as_bytes())
        .find(|(key, _)| key == name)
        .map(|(_, value)| value.into_owned())
}
