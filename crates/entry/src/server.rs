//! Starts and stops an entry.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant, SystemTime};

use ebonypass_core::outcome::Reason;
use ebonypass_node::event::{Event, emit};
use ebonypass_node::metric::Exporter;
use ebonypass_node::peer::Endpoint;
use ebonypass_node::sync::lock;
use ebonypass_node::tls::Identity;
use ebonypass_node::wire::{Hello, PROTOCOL_VERSION};
use ebonypass_node::{clock, store, target};
use prometheus_client::registry::Registry;
use smol::Timer;
use trillium::{Conn, Handler, HttpConfig, Status};
use trillium_router::Router;
use trillium_server_common::ServerHandle;

use crate::connection::Limiter;
use crate::lookup::Lookup;
use crate::metric::Metrics;
use crate::reply::refuse;
use crate::run::Run;
use crate::settings::{Limits, Settings};
use crate::state::Entry;
use crate::{delegate, mesh, policy, remote, seats, steward, tasks};

/// How often a stopping process checks for requests in flight and unreleased seats.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How long a stopping process waits for its seats to be released. Seats are written every 3 s.
const SEAT_RELEASE_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Time for the write that releases the seats. The store answers in milliseconds.
const SEAT_WRITE_TIME: Duration = Duration::from_millis(200);

/// How often idle connections to targets are closed.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Limits on operators' connections. Only a few programs read the metrics.
const ADMIN_LIMITS: Limits = Limits {
    head_bytes: 16 * 1024,
    callers: 64,
    head_timeout_ms: 5_000,
    idle_timeout_ms: 60_000,
    ..Limits::DEFAULT
};

type State = Entry<store::Http, target::Http>;

/// A running entry.
pub struct Server {
    entry: Arc<State>,
    caller_server: ServerHandle,
    admin_server: ServerHandle,
    caller_address: SocketAddr,
    admin_address: SocketAddr,
    tasks: Vec<smol::Task<()>>,
}

impl Server {
    /// Binds the addresses of `settings` and starts to serve.
    ///
    /// # Errors
    ///
    /// A key or certificate is invalid, the certificate has another name than the entry, or an
    /// address cannot be bound.
    pub fn start(settings: Settings) -> io::Result<Server> {
        let identity = Identity::load(&settings.tls).map_err(io::Error::other)?;
        if identity.name() != settings.name {
            let message = format!("the certificate is for {}", identity.name());
            return Err(io::Error::other(message));
        }
        let mut registry = Registry::default();
        let metrics = Metrics::new(&mut registry);
        let store = store::Http::new(settings.store);
        let entry = Arc::new(Entry::new(settings, store, target::Http::new(), metrics));
        let (settings, limits) = (&entry.settings, &entry.settings.limits);
        let endpoint = bind_peers(&entry, &identity)?;
        let config = HttpConfig::default()
            // `Limiter` refuses longer heads with a reply. The library counts the head's bytes
            // differently, so its limit is higher and never applies first.
            .with_head_max_len(limits.head_bytes + 1_024)
            .with_received_body_max_len(limits.body_bytes as u64);
        let router = Router::new()
            .get("/v1/lookup", Lookup(entry.clone()))
            .post("/v1/run/:service/:kind", Run(entry.clone()));
        let metrics = entry.metrics.clone();
        let not_found = move |conn: Conn| {
            let metrics = metrics.clone();
            async move { refuse(conn, &metrics, Status::NotFound, Reason::HeadMalformed) }
        };
        let limiter = Limiter::new(*limits, entry.metrics.clone()).with_outcome_headers();
        let (caller_server, caller_address) =
            serve_http(settings.caller_listen, config, limiter, (router, not_found))?;
        let health = {
            let entry = entry.clone();
            move |conn: Conn| {
                let entry = entry.clone();
                async move { health(&entry, conn) }
            }
        };
        let router = Router::new().get("/metrics", Exporter::new(registry)).get("/health", health);
        let limiter = Limiter::new(ADMIN_LIMITS, entry.metrics.clone());
        let (admin_server, admin_address) =
            serve_http(settings.admin_listen, HttpConfig::default(), limiter, router)?;
        let _ = entry.caller_address.set(caller_address);
        let handler = Arc::new(mesh::Handler(entry.clone()));
        let tasks = vec![
            smol::spawn(async move { endpoint.serve(handler).await }),
            smol::spawn(policy::run(entry.clone())),
            smol::spawn(tasks::watch_identity(
                entry.clone(),
                identity.expires_soon(SystemTime::now()),
            )),
            smol::spawn(close_idle_connections(entry.target.clone())),
            smol::spawn(tasks::send_heartbeats(entry.clone())),
            smol::spawn(seats::run(entry.clone())),
            smol::spawn(remote::request_credit(entry.clone())),
            smol::spawn(remote::follow_plan(entry.clone())),
            smol::spawn(steward::run(entry.clone())),
            smol::spawn(delegate::run(entry.clone())),
            smol::spawn(tasks::poll_loads(entry.clone())),
        ];
        emit(Event::Started, format_args!("{}, caller address {caller_address}", entry.process));
        Ok(Server { entry, caller_server, admin_server, caller_address, admin_address, tasks })
    }

    /// The address for callers.
    pub const fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// The address for other entries.
    pub fn peer_address(&self) -> SocketAddr {
        let endpoint = self.entry.endpoint.get();
        let address = endpoint.and_then(|endpoint| endpoint.address().ok());
        address.unwrap_or(self.entry.settings.peer_listen)
    }

    /// The address for metrics and health checks.
    pub const fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Stops gracefully: look-ups stop naming this entry, requests are accepted for as long as
    /// callers may cache a look-up, and then those in flight may finish.
    pub async fn stop(self) {
        let limits = self.entry.settings.limits;
        emit(Event::Stopping, &self.entry.settings.name);
        self.entry.leaving.store(true, Ordering::Relaxed);
        tasks::send_heartbeat(&self.entry);
        Timer::after(Duration::from_millis(limits.leave_ms)).await;
        let start = Instant::now();
        let limit = Duration::from_millis(limits.stop_ms);
        let shut_down = self.caller_server.shut_down();
        while self.in_flight() > 0 && start.elapsed() < limit {
            Timer::after(STOP_POLL_INTERVAL).await;
        }
        let remaining = limit.saturating_sub(start.elapsed()).max(STOP_POLL_INTERVAL);
        let timer = async {
            Timer::after(remaining).await;
            emit(Event::StopTimeout, format_args!("{} requests in flight", self.in_flight()));
        };
        futures_lite::future::or(shut_down, timer).await;
        self.release_seats().await;
        for task in self.tasks {
            task.cancel().await;
        }
        if let Some(endpoint) = self.entry.endpoint.get() {
            endpoint.clone().close().await;
        }
        self.admin_server.shut_down().await;
        emit(Event::Stopped, &self.entry.settings.name);
    }

    /// Releases the seats, so that other entries need not wait for the leases to expire. Nothing
    /// more may be sent over the links.
    async fn release_seats(&self) {
        let start = Instant::now();
        self.entry.releasing_seats.store(true, Ordering::Relaxed);
        let has_seats = || self.entry.egress.seats_and_rate(clock::now()).0 > 0;
        if !has_seats() {
            return;
        }
        while has_seats() && start.elapsed() < SEAT_RELEASE_TIMEOUT {
            Timer::after(STOP_POLL_INTERVAL).await;
        }
        // Seats are given up locally before their release is written.
        Timer::after(SEAT_WRITE_TIME).await;
    }

    fn in_flight(&self) -> usize {
        let queued: usize = self.entry.pools().iter().map(|(_, driver)| driver.len()).sum();
        queued + usize::try_from(self.entry.metrics.in_flight.get()).unwrap_or(0)
    }
}

/// Closes idle connections to targets regularly.
async fn close_idle_connections(target: target::Http) {
    loop {
        Timer::after(IDLE_CHECK_INTERVAL).await;
        target.close_idle_connections();
    }
}

fn bind_peers(entry: &State, identity: &Identity) -> io::Result<Endpoint> {
    let hello = Hello {
        protocol: PROTOCOL_VERSION,
        process: entry.process.clone(),
        data_centre: entry.settings.data_centre.clone(),
    };
    let endpoint = Endpoint::bind(entry.settings.peer_listen, identity, hello)?;
    lock(&entry.peers).add_seeds(&endpoint, &entry.settings.peers);
    let _ = entry.endpoint.set(endpoint.clone());
    Ok(endpoint)
}

fn serve_http(
    address: SocketAddr,
    config: HttpConfig,
    limiter: Limiter,
    handler: impl Handler,
) -> io::Result<(ServerHandle, SocketAddr)> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    let listener = smol::net::TcpListener::try_from(listener)?;
    let handle = trillium_smol::config()
        .without_signals()
        .with_nodelay()
        .with_http_config(config)
        .with_prebound_server(listener)
        .with_acceptor(limiter)
        .spawn(handler);
    Ok((handle, address))
}

fn health(entry: &State, conn: Conn) -> Conn {
    match entry.view() {
        _ if entry.is_leaving() => {
            conn.with_status(Status::ServiceUnavailable).with_body("leaving\n")
        }
        Ok(_) => conn.ok("ok\n"),
        Err(reason) => {
            conn.with_status(Status::ServiceUnavailable).with_body(format!("{reason}\n"))
        }
    }
}
