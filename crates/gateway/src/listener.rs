//! Accepts incoming HTTP connections, and answers lookups, readiness checks and metrics requests.

mod stream;
mod table;
mod upload;

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use ebonypass_core::time::Span;
use ebonypass_node::clock;
use ebonypass_platform::directory;
use futures_lite::{AsyncReadExt, future};
use http_body::{Body as HttpBody, Frame, SizeHint};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, header};
use smol::{Async, Timer};
use smol_hyper::rt::SmolTimer;
use socket2::{Domain, Protocol, SockRef, Socket, Type};

use self::stream::Stream;
use self::table::Place;
pub use self::table::{Limits, Purpose, Table};
pub use self::upload::Upload;
use crate::body::{self, Body};
use crate::connection::set_socket_options;
use crate::gateway::{Gateway, Phase};
use crate::limit::Limit;

/// How long callers may cache a lookup reply. Short, so that they soon stop using a machine that
/// died; lookups are cheap.
const LOOKUP_TTL: Span = Span::from_millis(2_000);
/// Delay after `accept` failed, usually because file descriptors ran out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Bounds of the connections that may wait to be accepted: enough for callers that return together.
const MIN_BACKLOG: usize = 32;
const MAX_BACKLOG: usize = 1_024;
/// Bounds of what is read and dropped after the last reply on a connection.
const MAX_DISCARDED_BYTES: usize = 256 << 10;
const MAX_DISCARD_TIME: Duration = Duration::from_millis(300);
const DISCARD_BUFFER_BYTES: usize = 4 << 10;
/// The smallest head buffer that hyper accepts.
const MIN_HEAD_BUFFER_BYTES: usize = 8 << 10;
/// How often a connection checks the shutdown phase.
const PHASE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Listens on `address` and answers requests with `handle`.
///
/// Errors: the address cannot be bound.
pub fn listen<F>(
    gateway: &Rc<Gateway>,
    purpose: Purpose,
    address: SocketAddr,
    handle: impl Fn(Rc<Gateway>, Request<Upload>) -> F + Clone + 'static,
) -> io::Result<()>
where
    F: Future<Output = Response<Body>> + 'static,
{
    let listener = bind(address, purpose, gateway.connections.limit(purpose))?;
    let gateway = gateway.clone();
    let executor = gateway.executor.clone();
    let task = async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    accept_connection(&gateway, purpose, stream, handle.clone());
                    // Without it, connections that arrive fast would keep all other tasks waiting.
                    future::yield_now().await;
                }
                Err(_) => {
                    gateway.tally.add(Limit::Accept);
                    Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    };
    executor.spawn(task).detach();
    Ok(())
}

/// Connections of a listener that may wait to be accepted, if it takes `limit`. They may have sent
/// bytes already.
pub fn backlog(limit: usize) -> usize {
    (limit / 4).clamp(MIN_BACKLOG, MAX_BACKLOG)
}

fn bind(address: SocketAddr, purpose: Purpose, limit: usize) -> io::Result<Async<TcpListener>> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    // Accepted connections inherit the size, also those that are not accepted yet.
    socket.set_recv_buffer_size(purpose.receive_buffer())?;
    socket.bind(&address.into())?;
    socket.listen(backlog(limit) as i32)?;
    Async::new(TcpListener::from(socket))
}

fn accept_connection<F>(
    gateway: &Rc<Gateway>,
    purpose: Purpose,
    stream: Async<TcpStream>,
    handle: impl Fn(Rc<Gateway>, Request<Upload>) -> F + Clone + 'static,
) where
    F: Future<Output = Response<Body>> + 'static,
{
    let is_set = set_socket_options(&stream).and_then(|()| {
        let bytes = gateway.settings.limits.socket_buffer();
        SockRef::from(stream.get_ref()).set_send_buffer_size(bytes)
    });
    if is_set.is_err() {
        // The caller has already disconnected.
        return;
    }
    let Some(place) = gateway.connections.admit(purpose, stream.into()) else {
        if purpose == Purpose::Callers {
            // A body that has stalled keeps its connection, and ends with a refusal.
            gateway.bodies.evict_stalled(1);
        }
        return;
    };
    let gateway = gateway.clone();
    let executor = gateway.executor.clone();
    executor
        .spawn(async move {
            let place = Rc::new(place);
            serve_connection_until_stop(&gateway, &place, handle).await;
            // A kept connection must close at once: its caller may still send a request on it.
            if place.is_body_unread() {
                discard_rest(&mut place.socket()).await;
            }
        })
        .detach();
}

async fn serve_connection_until_stop<F>(
    gateway: &Rc<Gateway>,
    place: &Rc<Place>,
    handle: impl Fn(Rc<Gateway>, Request<Upload>) -> F,
) where
    F: Future<Output = Response<Body>>,
{
    let limits = gateway.state().limits;
    let max_head = match place.purpose() {
        Purpose::Callers => limits.head_bytes.max(MIN_HEAD_BUFFER_BYTES),
        _ => MIN_HEAD_BUFFER_BYTES,
    };
    let service = service_fn(|request: Request<Incoming>| {
        let busy = Busy::new(place);
        let has_body = !request.body().is_end_stream();
        let request = request.map(|body| Upload::new(body, place.clone()));
        let response = handle(gateway.clone(), request);
        async move {
            let response = response.await;
            busy.0.set_body_unread(has_body && !response.status().is_success());
            Ok::<_, Infallible>(response.map(|body| Tracked { body, busy }))
        }
    });
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        // hyper starts this timer when the connection becomes idle, so it must not be shorter than
        // the time for which callers may keep idle connections.
        .header_read_timeout(clock::duration(limits.idle_timeout))
        .max_buf_size(max_head)
        .serve_connection(Stream::new(place.clone()), service);
    let mut connection = pin!(connection);
    let closing = async {
        while gateway.phase.get() < Phase::Closing {
            Timer::after(PHASE_POLL_INTERVAL).await;
        }
        None
    };
    // Errors here are the caller's: it disconnected or sent an invalid request.
    let ended = future::or(async { Some(connection.as_mut().await) }, closing).await;
    if ended.is_none() {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}

/// Reads and drops a part of what a caller still sends after the last reply. Closing a socket with
/// unread bytes resets the connection, and the caller may then lose the reply.
async fn discard_rest(socket: &mut smol::net::TcpStream) {
    let discard = async {
        let mut bytes = [0; DISCARD_BUFFER_BYTES];
        let mut left = MAX_DISCARDED_BYTES;
        while left > 0 {
            match socket.read(&mut bytes).await {
                Ok(length) if length > 0 => left = left.saturating_sub(length),
                _ => return,
            }
        }
    };
    let timer = async {
        Timer::after(MAX_DISCARD_TIME).await;
    };
    future::or(discard, timer).await;
}

/// Marks a connection as busy from the head of a request to the end of its reply.
#[derive(Debug)]
struct Busy(Rc<Place>);

impl Busy {
    fn new(place: &Rc<Place>) -> Busy {
        place.start_request();
        Busy(place.clone())
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.finish_request();
    }
}

/// A reply body that keeps its connection marked as busy.
#[derive(Debug)]
struct Tracked {
    body: Body,
    busy: Busy,
}

impl Drop for Tracked {
    fn drop(&mut self) {
        // hyper drops a body while it still holds the last pieces.
        self.busy.0.keep_until_written(self.body.take_memory());
    }
}

impl HttpBody for Tracked {
    type Data = Bytes;
    type Error = body::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, body::Error>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A reply with `status` and no body.
pub fn empty_reply(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}

/// Answers a lookup with the addresses of ready machines and their TTL.
pub async fn handle_lookup(gateway: Rc<Gateway>, request: Request<Upload>) -> Response<Body> {
    if request.uri().path() != directory::LOOKUP_PATH {
        return empty_reply(StatusCode::NOT_FOUND);
    }
    let query = directory::scan_query(request.uri().query().unwrap_or_default());
    let region = query.region.or_else(|| gateway.settings.regions.get(&query.centre?).cloned());
    let addresses = gateway.lookup_addresses(region.as_deref().unwrap_or(&gateway.settings.region));
    if addresses.is_empty() {
        return empty_reply(StatusCode::SERVICE_UNAVAILABLE);
    }
    gateway.metrics.lookups.inc();
    let max_ttl = Span::from_micros(gateway.settings.times.lookup.as_micros() as u64);
    let body = directory::encode_reply(&addresses, LOOKUP_TTL.min(max_ttl));
    let mut response = Response::new(Body::whole(body));
    let media_type = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, media_type);
    response
}

/// Answers a readiness check: 200 if requests can be served, else 503.
pub async fn handle_readiness(gateway: Rc<Gateway>, request: Request<Upload>) -> Response<Body> {
    if request.uri().path() != directory::READY_PATH {
        return empty_reply(StatusCode::NOT_FOUND);
    }
    empty_reply(if gateway.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
}

/// Answers with the metrics in OpenMetrics text format.
pub async fn handle_metrics(gateway: Rc<Gateway>, request: Request<Upload>) -> Response<Body> {
    if request.uri().path() != "/metrics" {
        return empty_reply(StatusCode::NOT_FOUND);
    }
    gateway.update_gauges();
    let mut response = Response::new(Body::whole(gateway.metrics.to_text()));
    let media_type = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    let media_type = header::HeaderValue::from_static(media_type);
    response.headers_mut().insert(header::CONTENT_TYPE, media_type);
    response
}
