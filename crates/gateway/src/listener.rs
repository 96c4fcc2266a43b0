//! Accepts incoming HTTP connections, and answers lookups, readiness checks and metrics requests.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use ebonypass_core::time::Span;
use ebonypass_node::clock;
use ebonypass_node::event::Event;
use ebonypass_platform::directory;
use futures_lite::future;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, header};
use serde_json::json;
use smol::{Async, Timer};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::body::Body;
use crate::connection::set_socket_options;
use crate::gateway::{Gateway, Phase};

/// How long callers may cache a lookup reply. Short, so that they soon stop using a machine that
/// died; lookups are cheap.
const LOOKUP_TTL: Span = Span::from_millis(2_000);
/// Delay after `accept` failed, usually because file descriptors ran out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Incoming connections may use the descriptor limit divided by this.
const CALLER_DESCRIPTOR_DIVISOR: usize = 2;
/// The smallest head buffer that hyper accepts.
const MIN_HEAD_BUFFER_BYTES: usize = 8 << 10;
/// How often a connection checks the shutdown phase.
const PHASE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Listens on `address` and answers requests with `handle`.
///
/// Errors: the address cannot be bound.
pub fn listen<F>(
    gateway: &Rc<Gateway>,
    address: SocketAddr,
    handle: impl Fn(Rc<Gateway>, Request<Incoming>) -> F + Clone + 'static,
) -> io::Result<()>
where
    F: Future<Output = Response<Body>> + 'static,
{
    let listener = Async::<TcpListener>::bind(address)?;
    let gateway = gateway.clone();
    let executor = gateway.executor.clone();
    let task = async move {
        loop {
            match listener.accept().await {
                Ok((stream, peer)) => accept_connection(&gateway, stream, peer, handle.clone()),
                Err(error) => {
                    let fields = json!({ "error": error.to_string() });
                    gateway.log.record(Event::CallerLimited, fields);
                    Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    };
    executor.spawn(task).detach();
    Ok(())
}

fn accept_connection<F>(
    gateway: &Rc<Gateway>,
    stream: Async<TcpStream>,
    peer: SocketAddr,
    handle: impl Fn(Rc<Gateway>, Request<Incoming>) -> F + Clone + 'static,
) where
    F: Future<Output = Response<Body>> + 'static,
{
    let limit = gateway.settings.limits.descriptors / CALLER_DESCRIPTOR_DIVISOR;
    if gateway.connections.get() >= limit {
        let fields = json!({ "peer": peer.to_string(), "limit": limit });
        gateway.log.record(Event::CallerLimited, fields);
        return;
    }
    gateway.connections.set(gateway.connections.get() + 1);
    let gateway = gateway.clone();
    let executor = gateway.executor.clone();
    executor
        .spawn(async move {
            serve_connection_until_stop(&gateway, stream, handle).await;
            gateway.connections.set(gateway.connections.get() - 1);
        })
        .detach();
}

async fn serve_connection_until_stop<F>(
    gateway: &Rc<Gateway>,
    stream: Async<TcpStream>,
    handle: impl Fn(Rc<Gateway>, Request<Incoming>) -> F,
) where
    F: Future<Output = Response<Body>>,
{
    if set_socket_options(&stream).is_err() {
        // The caller has already disconnected.
        return;
    }
    let limits = gateway.state().limits;
    let service = service_fn(|request| {
        let response = handle(gateway.clone(), request);
        async { Ok::<_, Infallible>(response.await) }
    });
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        // hyper starts this timer when the connection becomes idle, so it must not be shorter than
        // the time for which callers may keep idle connections.
        .header_read_timeout(clock::duration(limits.idle_timeout))
        .max_buf_size(limits.head_bytes.max(MIN_HEAD_BUFFER_BYTES))
        .serve_connection(FuturesIo::new(stream), service);
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

/// A reply with `status` and no body.
pub fn empty_reply(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::Whole(None));
    *response.status_mut() = status;
    response
}

/// Answers a lookup with the addresses of ready machines and their TTL.
pub async fn handle_lookup(gateway: Rc<Gateway>, request: Request<Incoming>) -> Response<Body> {
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
pub async fn handle_readiness(gateway: Rc<Gateway>, request: Request<Incoming>) -> Response<Body> {
    if request.uri().path() != directory::READY_PATH {
        return empty_reply(StatusCode::NOT_FOUND);
    }
    empty_reply(if gateway.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
}

/// Answers with the metrics in OpenMetrics text format.
pub async fn handle_metrics(gateway: Rc<Gateway>, request: Request<Incoming>) -> Response<Body> {
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
