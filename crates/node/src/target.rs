//! Client of the targets.
//!
//! [`Http`] implements the wire protocol of section 5.3 of docs/design.md. All other code depends
//! only on the [`Target`] trait.

use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::{AsyncRead, AsyncReadExt, future};
use serde::Deserialize;
use trillium_client::{Client, Conn, KnownHeaderName};

use crate::connection::{Connection, Pool, ReservedConnector};
use crate::trace;

pub use crate::reader::Reader;

/// The largest reply body, in bytes, that is buffered before it is passed on. Longer ones are
/// streamed.
pub const MAX_BUFFERED_REPLY_BYTES: u64 = 256 * 1024;

/// The largest reply to a load or cancellation call, in bytes.
const MAX_CONTROL_REPLY_BYTES: u64 = 4_096;

/// The longest idle time of a connection that is reused for a non-idempotent request. If a target
/// closes an idle connection while the request is on its way, the outcome is unknown; servers close
/// idle connections after several seconds at the earliest.
const MAX_IDLE_NON_IDEMPOTENT: Duration = Duration::from_secs(1);

/// Idle time after which a pooled connection is closed.
const MAX_IDLE: Duration = Duration::from_secs(4);

/// Timeout of load and cancellation calls.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(500);

/// Reply headers that are not passed on: hop-by-hop headers, and those that the entry sets itself.
const STRIPPED_HEADERS: [&str; 6] =
    ["connection", "content-length", "date", "keep-alive", "server", "transfer-encoding"];

/// A request to a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// The service.
    pub service: String,
    /// The kind of work.
    pub kind: String,
    /// Whether it may safely run more than once.
    pub idempotent: bool,
    /// The body.
    pub body: Vec<u8>,
    /// Media type of the body, if known.
    pub content_type: Option<String>,
}

/// The parameters of one attempt to run a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attempt {
    /// Identifies the attempt in a cancellation.
    pub id: String,
    /// Time left until the deadline, which is sent to the target.
    pub time_left: Duration,
    /// How long to wait for the reply. Longer than the time left, because a target may run past the
    /// deadline.
    pub reply_timeout: Duration,
    /// Trace context.
    pub trace: trace::Context,
}

/// The head of a buffered or streamed reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Head {
    /// Status code.
    pub status: u16,
    /// Headers that are passed on to the caller.
    pub headers: Vec<(String, String)>,
}

/// A target's reply.
pub struct Reply<B> {
    /// Status and headers.
    pub head: Head,
    /// The body.
    pub body: Body<B>,
}

/// The body of a reply.
pub enum Body<B> {
    /// The complete body.
    Buffered(Vec<u8>),
    /// A body longer than [`MAX_BUFFERED_REPLY_BYTES`]. Reading fails if it is truncated.
    Streamed {
        /// Its length in bytes; `None` if the target uses chunked transfer coding.
        length: Option<u64>,
        /// Reads the body.
        reader: B,
    },
}

/// Why an attempt got no complete reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// No byte of the request was written.
    Unsent(String),
    /// The target refused the request without running it.
    Shed,
    /// The request was written at least in part, and no complete reply arrived.
    Lost(String),
    /// The reply's body ended early, or its head gives no way to tell where the body ends.
    Truncated,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Unsent(cause) => write!(f, "not sent: {cause}"),
            Error::Shed => write!(f, "the target refused the request before running it"),
            Error::Lost(cause) => write!(f, "no complete reply after sending: {cause}"),
            Error::Truncated => write!(f, "truncated reply"),
        }
    }
}

impl std::error::Error for Error {}

/// The load that a target reports. It lags behind and may be wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct Load {
    /// How many requests it can run at once.
    pub slots: u32,
    /// Slots in use.
    pub busy: u32,
    /// Requests waiting in its queue.
    pub queued: u32,
    /// Whether it is about to stop.
    #[serde(default)]
    pub leaving: bool,
}

/// The calls that an entry makes to targets.
pub trait Target: Clone + Send + Sync + 'static {
    /// Reads a streamed body.
    type Reader: AsyncRead + Send + Unpin + 'static;

    /// Sends `request` exactly once, without retry, and returns the reply.
    fn run(
        &self,
        address: SocketAddr,
        request: &Request,
        attempt: &Attempt,
    ) -> impl Future<Output = Result<Reply<Self::Reader>, Error>> + Send;

    /// Tells the target that the reply of attempt `id` is no longer wanted.
    fn cancel(&self, address: SocketAddr, id: &str) -> impl Future<Output = ()> + Send;

    /// Returns the target's load, or `None` if it gives no valid report.
    fn load(&self, address: SocketAddr) -> impl Future<Output = Option<Load>> + Send;
}

/// A client of targets over HTTP/1.1.
#[derive(Debug, Clone)]
pub struct Http {
    pool: Arc<Pool>,
    client: Client,
}

impl Default for Http {
    fn default() -> Http {
        Http::new()
    }
}

impl Http {
    /// A client with an empty connection pool.
    pub fn new() -> Http {
        let pool = Arc::new(Pool::default());
        // The library's own pool would resend a request on another connection, so it is disabled.
        // The unlimited `max_buffered_request_body` avoids `Expect: 100-continue`, which costs a
        // second at targets that do not answer it.
        let client = Client::new(ReservedConnector(pool.clone()))
            .without_keepalive()
            .with_max_buffered_request_body(usize::MAX);
        Http { pool, client }
    }

    /// Closes pooled connections that have been idle for more than 4 s.
    pub fn close_idle_connections(&self) {
        self.pool.close_idle(MAX_IDLE);
    }

    /// Sends one request over `connection` and reads the reply's head.
    async fn send(
        &self,
        address: SocketAddr,
        connection: Connection,
        build: impl FnOnce(&Client, String) -> Conn,
        path: &str,
    ) -> Result<Conn, String> {
        let reserved = self.pool.reserve(connection);
        let url = format!("http://{}{path}", reserved.host());
        let mut conn = build(&self.client, url)
            .with_request_header(KnownHeaderName::Host, address.to_string())
            .with_request_header(KnownHeaderName::Connection, "keep-alive");
        (&mut conn).await.map_err(|error| error.to_string())?;
        Ok(conn)
    }

    /// Makes a load or cancellation call and returns the reply's status and body.
    async fn control_call(
        &self,
        address: SocketAddr,
        build: impl FnOnce(&Client, String) -> Conn,
        path: &str,
    ) -> Option<(u16, Vec<u8>)> {
        let call = async {
            let connection = self.pool.open(address, MAX_IDLE).await.ok()?;
            let mut conn = self.send(address, connection.clone(), build, path).await.ok()?;
            let status = conn.status()? as u16;
            let framing = scan_framing(&conn).ok()?;
            let keep_alive = is_keep_alive(&conn);
            let body = conn
                .response_body()
                .with_max_len(MAX_CONTROL_REPLY_BYTES)
                .read_bytes()
                .await
                .ok()?;
            if let Framing::Length(length) = framing
                && keep_alive
                && connection.is_reusable(length)
            {
                self.pool.release(address, connection);
            }
            Some((status, body))
        };
        future::or(call, async {
            smol::Timer::after(CONTROL_TIMEOUT).await;
            None
        })
        .await
    }

    /// Sends `request` over `connection` and reads the reply, up to the start of a streamed body.
    async fn exchange(
        &self,
        address: SocketAddr,
        connection: Connection,
        request: &Request,
        attempt: &Attempt,
    ) -> Result<Reply<Reader>, Error> {
        let path = format!("/run/{}/{}", request.service, request.kind);
        let build = |client: &Client, url: String| {
            let conn = client
                .post(url)
                .with_request_header("x-request-id", attempt.id.clone())
                .with_request_header("x-deadline-ms", attempt.time_left.as_millis().to_string())
                .with_request_header(trace::HEADER, attempt.trace.to_string())
                .with_body(request.body.clone());
            match &request.content_type {
                Some(content_type) => {
                    conn.with_request_header(KnownHeaderName::ContentType, content_type.clone())
                }
                None => conn,
            }
        };
        let sent = self.send(address, connection.clone(), build, &path).await;
        let mut conn = sent.map_err(Error::Lost)?;
        let head = scan_head(&conn);
        let framing = scan_framing(&conn)?;
        let shed = head.status == 503 && conn.response_headers().get_str("x-not-run") == Some("1");
        let keep_alive = is_keep_alive(&conn);
        let reader = conn.take_response_body().ok_or(Error::Truncated)?;
        let body = read_body(Reader::new(reader, framing), framing).await?;
        if let (Body::Buffered(bytes), Framing::Length(length)) = (&body, framing)
            && keep_alive
            && bytes.len() as u64 == length
            && connection.is_reusable(length)
        {
            self.pool.release(address, connection);
        }
        if shed { Err(Error::Shed) } else { Ok(Reply { head, body }) }
    }
}

impl Target for Http {
    type Reader = Reader;

    async fn run(
        &self,
        address: SocketAddr,
        request: &Request,
        attempt: &Attempt,
    ) -> Result<Reply<Reader>, Error> {
        let max_idle = if request.idempotent { MAX_IDLE } else { MAX_IDLE_NON_IDEMPOTENT };
        let opened = self.pool.open(address, max_idle).await;
        let connection = opened.map_err(|error| Error::Unsent(error.to_string()))?;
        let timer = async {
            smol::Timer::after(attempt.reply_timeout).await;
            Err(Error::Lost("reply timed out".to_owned()))
        };
        let exchange = self.exchange(address, connection.clone(), request, attempt);
        match future::or(exchange, timer).await {
            Err(Error::Lost(cause)) if connection.is_unsent() => Err(Error::Unsent(cause)),
            result => result,
        }
    }

    async fn cancel(&self, address: SocketAddr, id: &str) {
        let path = format!("/cancel/{id}");
        self.control_call(address, |client, url| client.post(url), &path).await;
    }

    async fn load(&self, address: SocketAddr) -> Option<Load> {
        let (status, body) =
            self.control_call(address, |client, url| client.get(url), "/load").await?;
        if status == 200 { scan_load(&body) } else { None }
    }
}

/// Parses a load report. Arbitrary bytes give `None`, never a panic.
pub fn scan_load(bytes: &[u8]) -> Option<Load> {
    serde_json::from_slice(bytes).ok()
}

fn scan_head(conn: &Conn) -> Head {
    let status = conn.status().map_or(0, |status| status as u16);
    let mut headers = Vec::new();
    for (name, values) in conn.response_headers() {
        let name = name.to_string().to_lowercase();
        if STRIPPED_HEADERS.contains(&name.as_str()) || name.starts_with("ebonypass-") {
            continue;
        }
        for value in values.iter().filter_map(|value| value.as_str()) {
            headers.push((name.clone(), value.to_owned()));
        }
    }
    Head { status, headers }
}

/// How the end of a reply's body is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Framing {
    /// By a stated length in bytes.
    Length(u64),
    /// By the last chunk of a chunked body.
    Chunked,
}

/// The reply's framing. A reply without a length or chunks ends with its connection, so a lost
/// connection would look like a complete reply; it counts as truncated.
fn scan_framing(conn: &Conn) -> Result<Framing, Error> {
    let status = conn.status().map_or(0, |status| status as u16);
    if matches!(status, 204 | 304) {
        return Ok(Framing::Length(0));
    }
    let headers = conn.response_headers();
    if headers.has_header(KnownHeaderName::TransferEncoding) {
        // The library rejects every transfer coding except a single `chunked`.
        return Ok(Framing::Chunked);
    }
    let length = headers.get_str(KnownHeaderName::ContentLength);
    let length = length.and_then(|text| text.parse().ok()).ok_or(Error::Truncated)?;
    Ok(Framing::Length(length))
}

/// Buffers a body of up to [`MAX_BUFFERED_REPLY_BYTES`]; a longer one is returned as a stream.
async fn read_body(mut reader: Reader, framing: Framing) -> Result<Body<Reader>, Error> {
    let length = match framing {
        Framing::Length(length) if length > MAX_BUFFERED_REPLY_BYTES => {
            return Ok(Body::Streamed { length: Some(length), reader });
        }
        Framing::Length(length) => Some(length),
        Framing::Chunked => None,
    };
    let mut bytes = Vec::with_capacity(length.unwrap_or(0) as usize);
    let read = (&mut reader).take(MAX_BUFFERED_REPLY_BYTES + 1).read_to_end(&mut bytes).await;
    read.map_err(|_| Error::Truncated)?;
    if length.is_some_and(|length| length != bytes.len() as u64) {
        return Err(Error::Truncated);
    }
    if bytes.len() as u64 > MAX_BUFFERED_REPLY_BYTES {
        reader.put_back(bytes);
        return Ok(Body::Streamed { length: None, reader });
    }
    Ok(Body::Buffered(bytes))
}

/// Whether the target keeps the connection open after the reply.
fn is_keep_alive(conn: &Conn) -> bool {
    let connection = conn.response_headers().get_str(KnownHeaderName::Connection);
    let closes = connection.is_some_and(|text| text.to_lowercase().contains("close"));
    !closes && conn.http_version() == trillium_client::Version::Http1_1
}
