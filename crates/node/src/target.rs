//! The targets' wire, met only here.
//!
//! [`Http`] speaks the wire protocol of section 5.3 of docs/design.md. Everything else in the
//! programs sees the [`Target`] trait.

use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::{AsyncRead, AsyncReadExt, future};
use serde::Deserialize;
use trillium_client::{Client, Conn, KnownHeaderName};

use crate::connection::{Connection, Connections, Handover};
use crate::trace;

pub use crate::reader::Reader;

/// Replies up to this size are read whole before anybody sees them.
pub const WHOLE_REPLY: u64 = 256 * 1024;

/// The largest load or health reply, in bytes.
const MAX_SMALL: u64 = 4_096;

/// Idle time after which a non-idempotent request gets a new connection. A target that closes an
/// idle connection while the request is on its way makes the outcome unknown; servers close after
/// several seconds at the earliest.
const FRESH_IDLE: Duration = Duration::from_secs(1);

/// Idle time after which a connection is closed.
const MAX_IDLE: Duration = Duration::from_secs(4);

/// How long health, load and cancellation calls may take.
const SIDE_TIMEOUT: Duration = Duration::from_millis(500);

/// Reply headers that concern one connection only or are set by the entry.
const OWN_HEADERS: [&str; 6] =
    ["connection", "content-length", "date", "keep-alive", "server", "transfer-encoding"];

/// A request as a target gets it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// The service.
    pub service: String,
    /// The kind of work.
    pub kind: String,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// The body.
    pub body: Vec<u8>,
    /// Media type of the body, if known.
    pub content_type: Option<String>,
}

/// What differs from one attempt to the next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attempt {
    /// Names the attempt, for its cancellation.
    pub id: String,
    /// Time until the deadline, which the target is told.
    pub deadline: Duration,
    /// How long to wait for the reply. Longer than the deadline, since a target may still run.
    pub patience: Duration,
    /// Position in the trace.
    pub trace: trace::Context,
}

/// The head of a complete reply, or of one that still streams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Head {
    /// Status code.
    pub status: u16,
    /// Headers that go on to the caller.
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
    /// All of it.
    Whole(Vec<u8>),
    /// A body longer than [`WHOLE_REPLY`] that is being read. Reading fails if it is cut short.
    Stream {
        /// Its length in bytes, unless the target sends it in chunks.
        length: Option<u64>,
        /// Its bytes.
        reader: B,
    },
}

/// Why an attempt has no reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// No byte of the request was written.
    Unsent(String),
    /// The target refused before running.
    Shed,
    /// The request was written, and no complete reply came.
    Lost(String),
    /// The reply's body ended before its length, or has no length.
    Truncated,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Unsent(cause) => write!(f, "not sent: {cause}"),
            Error::Shed => write!(f, "refused before running"),
            Error::Lost(cause) => write!(f, "lost after sending: {cause}"),
            Error::Truncated => write!(f, "reply cut short"),
        }
    }
}

impl std::error::Error for Error {}

/// A target's own account of its load, which lags and may mislead.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct Load {
    /// Requests that it runs at once.
    pub slots: u32,
    /// Slots in use.
    pub busy: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Whether it will stop soon.
    #[serde(default)]
    pub leaving: bool,
}

/// What entries ask of targets.
pub trait Target: Clone + Send + Sync + 'static {
    /// Reads the rest of a long reply.
    type Reader: AsyncRead + Send + Unpin + 'static;

    /// Sends `request` once and gives the reply.
    fn run(
        &self,
        address: SocketAddr,
        request: &Request,
        attempt: &Attempt,
    ) -> impl Future<Output = Result<Reply<Self::Reader>, Error>> + Send;

    /// Tells the target that the reply of attempt `id` is no longer wanted.
    fn cancel(&self, address: SocketAddr, id: &str) -> impl Future<Output = ()> + Send;

    /// The target's load, if it answers.
    fn load(&self, address: SocketAddr) -> impl Future<Output = Option<Load>> + Send;
}

/// Targets over HTTP/1.1.
#[derive(Debug, Clone)]
pub struct Http {
    connections: Arc<Connections>,
    client: Client,
}

impl Default for Http {
    fn default() -> Http {
        Http::new()
    }
}

impl Http {
    /// A client without connections.
    pub fn new() -> Http {
        let connections = Arc::new(Connections::default());
        // The library's own pool would write a request again to another connection. A large
        // `max_buffered_request_body` keeps it from asking with `Expect: 100-continue`, which
        // costs a second at targets that do not answer it.
        let client = Client::new(Handover(connections.clone()))
            .without_keepalive()
            .with_max_buffered_request_body(usize::MAX);
        Http { connections, client }
    }

    /// Closes connections that have been idle for long.
    pub fn sweep(&self) {
        self.connections.sweep(MAX_IDLE);
    }

    /// Sends one request over `connection` and reads the reply's head.
    async fn send(
        &self,
        address: SocketAddr,
        connection: Connection,
        build: impl FnOnce(&Client, String) -> Conn,
        path: &str,
    ) -> Result<Conn, String> {
        let prepared = self.connections.prepare(connection);
        let url = format!("http://{}{path}", prepared.host());
        let mut conn = build(&self.client, url)
            .with_request_header(KnownHeaderName::Host, address.to_string())
            .with_request_header(KnownHeaderName::Connection, "keep-alive");
        (&mut conn).await.map_err(|error| error.to_string())?;
        Ok(conn)
    }

    /// A short call beside the work: the reply's status and body.
    async fn side_call(
        &self,
        address: SocketAddr,
        build: impl FnOnce(&Client, String) -> Conn,
        path: &str,
    ) -> Option<(u16, Vec<u8>)> {
        let call = async {
            let connection = self.connections.open(address, MAX_IDLE).await.ok()?;
            let mut conn = self.send(address, connection.clone(), build, path).await.ok()?;
            let status = conn.status()? as u16;
            let framing = scan_framing(&conn).ok()?;
            let may_keep = is_kept(&conn);
            let body = conn.response_body().with_max_len(MAX_SMALL).read_bytes().await.ok()?;
            if let Framing::Length(length) = framing
                && may_keep
                && connection.is_clean(length)
            {
                self.connections.keep(address, connection);
            }
            Some((status, body))
        };
        future::or(call, async {
            smol::Timer::after(SIDE_TIMEOUT).await;
            None
        })
        .await
    }

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
                .with_request_header("x-deadline-ms", attempt.deadline.as_millis().to_string())
                .with_request_header(trace::HEADER, attempt.trace.to_string())
                .with_body(request.body.clone());
            match &request.content_type {
                Some(media) => {
                    conn.with_request_header(KnownHeaderName::ContentType, media.clone())
                }
                None => conn,
            }
        };
        let sent = self.send(address, connection.clone(), build, &path).await;
        let mut conn = sent.map_err(Error::Lost)?;
        let head = scan_head(&conn);
        let framing = scan_framing(&conn)?;
        let shed = head.status == 503 && conn.response_headers().get_str("x-not-run") == Some("1");
        let may_keep = is_kept(&conn);
        let reader = conn.take_response_body().ok_or(Error::Truncated)?;
        let body = read_body(Reader::new(reader, framing), framing).await?;
        if let (Body::Whole(bytes), Framing::Length(length)) = (&body, framing)
            && may_keep
            && bytes.len() as u64 == length
            && connection.is_clean(length)
        {
            self.connections.keep(address, connection);
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
        let max_idle = if request.idempotent { MAX_IDLE } else { FRESH_IDLE };
        let opened = self.connections.open(address, max_idle).await;
        let connection = opened.map_err(|error| Error::Unsent(error.to_string()))?;
        let timer = async {
            smol::Timer::after(attempt.patience).await;
            Err(Error::Lost("no reply in time".to_owned()))
        };
        let exchange = self.exchange(address, connection.clone(), request, attempt);
        match future::or(exchange, timer).await {
            Err(Error::Lost(cause)) if connection.is_unsent() => Err(Error::Unsent(cause)),
            result => result,
        }
    }

    async fn cancel(&self, address: SocketAddr, id: &str) {
        let path = format!("/cancel/{id}");
        self.side_call(address, |client, url| client.post(url), &path).await;
    }

    async fn load(&self, address: SocketAddr) -> Option<Load> {
        let (status, body) =
            self.side_call(address, |client, url| client.get(url), "/load").await?;
        if status == 200 { scan_load(&body) } else { None }
    }
}

/// Reads a load report. Arbitrary bytes give none, never a panic.
pub fn scan_load(bytes: &[u8]) -> Option<Load> {
    serde_json::from_slice(bytes).ok()
}

fn scan_head(conn: &Conn) -> Head {
    let status = conn.status().map_or(0, |status| status as u16);
    let mut headers = Vec::new();
    for (name, values) in conn.response_headers() {
        let name = name.to_string().to_lowercase();
        if OWN_HEADERS.contains(&name.as_str()) || name.starts_with("ebonypass-") {
            continue;
        }
        for value in values.iter().filter_map(|value| value.as_str()) {
            headers.push((name.clone(), value.to_owned()));
        }
    }
    Head { status, headers }
}

/// How the end of a reply's body is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Framing {
    /// By its length.
    Length(u64),
    /// By a last chunk.
    Chunks,
}

/// The reply's framing. A reply without one ends where its connection ends, so that a cut would
/// look complete; it counts as truncated.
fn scan_framing(conn: &Conn) -> Result<Framing, Error> {
    let status = conn.status().map_or(0, |status| status as u16);
    if matches!(status, 204 | 304) {
        return Ok(Framing::Length(0));
    }
    let headers = conn.response_headers();
    if headers.has_header(KnownHeaderName::TransferEncoding) {
        // The library refuses every coding but a single `chunked`.
        return Ok(Framing::Chunks);
    }
    let length = headers.get_str(KnownHeaderName::ContentLength);
    let length = length.and_then(|text| text.parse().ok()).ok_or(Error::Truncated)?;
    Ok(Framing::Length(length))
}

/// Reads a body of up to [`WHOLE_REPLY`] bytes whole.
async fn read_body(mut reader: Reader, framing: Framing) -> Result<Body<Reader>, Error> {
    let length = match framing {
        Framing::Length(length) if length > WHOLE_REPLY => {
            return Ok(Body::Stream { length: Some(length), reader });
        }
        Framing::Length(length) => Some(length),
        Framing::Chunks => None,
    };
    let mut bytes = Vec::with_capacity(length.unwrap_or(0) as usize);
    let limited = (&mut reader).take(WHOLE_REPLY + 1).read_to_end(&mut bytes).await;
    limited.map_err(|_| Error::Truncated)?;
    if length.is_some_and(|length| length != bytes.len() as u64) {
        return Err(Error::Truncated);
    }
    if bytes.len() as u64 > WHOLE_REPLY {
        reader.unread(bytes);
        return Ok(Body::Stream { length: None, reader });
    }
    Ok(Body::Whole(bytes))
}

/// Whether the target leaves the connection open after the reply.
fn is_kept(conn: &Conn) -> bool {
    let connection = conn.response_headers().get_str(KnownHeaderName::Connection);
    let closes = connection.is_some_and(|text| text.to_lowercase().contains("close"));
    !closes && conn.http_version() == trillium_client::Version::Http1_1
}
