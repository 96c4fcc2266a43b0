//! Starts and stops the parts of an entry.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant, SystemTime};

use ebonypass_core::outcome::Reason;
use ebonypass_node::event::{Event, note};
use ebonypass_node::metric::Page;
use ebonypass_node::peer::Endpoint;
use ebonypass_node::sync::lock;
use ebonypass_node::tls::Identity;
use ebonypass_node::wire::{Hello, PROTOCOL};
use ebonypass_node::{clock, store, target};
use prometheus_client::registry::Registry;
use smol::Timer;
use trillium::{Conn, Handler, HttpConfig, Status};
use trillium_router::Router;
use trillium_server_common::ServerHandle;

use crate::guard::Gate;
use crate::lookup::Lookup;
use crate::mesh::FrameHandler;
use crate::metric::Metrics;
use crate::reply::refuse;
use crate::run::Run;
use crate::settings::{Limits, Settings};
use crate::state::Entry;
use crate::{afar, delegate, policy, seats, steward, tasks};

/// Time between two looks at the work in flight of a stopping process.
const STOP_INTERVAL: Duration = Duration::from_millis(20);

/// The longest wait of a stopping process to give its seats back: seats are written every 3 s.
const RELEASE_TIME: Duration = Duration::from_millis(3_500);

/// Time for the write that gives the seats back. The store answers in milliseconds.
const WRITE_TIME: Duration = Duration::from_millis(200);

/// Time between two closings of idle connections to targets.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Limits on the connections of operators. Metrics are read by few programs.
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
    callers: ServerHandle,
    admin: ServerHandle,
    caller_address: SocketAddr,
    admin_address: SocketAddr,
    tasks: Vec<smol::Task<()>>,
}

impl Server {
    /// Binds the sockets of `settings` and serves.
    ///
    /// Errors: keys or certificates cannot be used, or an address cannot be bound.
    pub fn start(settings: Settings) -> io::Result<Server> {
        let identity = Identity::load(&settings.tls).map_err(io::Error::other)?;
        if identity.name() != settings.name {
            let message = format!("the certificate is for {}", identity.name());
            return Err(io::Error::other(message));
        }
        let mut registry = Registry::default();
        let gauges = Metrics::new(&mut registry);
        let store = store::Http::new(settings.store);
        let entry = Arc::new(Entry::new(settings, store, target::Http::new(), gauges));
        let (settings, limits) = (&entry.settings, &entry.settings.limits);
        let endpoint = bind_peers(&entry, &identity)?;
        let config = HttpConfig::default()
            // The guard refuses longer heads with a reply; the library's limit counts from another
            // start and must not come first.
            .with_head_max_len(limits.head_bytes + 1_024)
            .with_received_body_max_len(limits.body_bytes as u64);
        let router = Router::new()
            .get("/v1/lookup", Lookup(entry.clone()))
            .post("/v1/run/:service/:kind", Run(entry.clone()));
        let gauges = entry.metrics.clone();
        let other = move |conn: Conn| {
            let gauges = gauges.clone();
            async move { refuse(conn, &gauges, Status::NotFound, Reason::HeadMalformed) }
        };
        let gate = Gate::new(*limits, entry.metrics.clone()).with_outcomes();
        let (callers, caller_address) =
            serve(settings.caller_listen, config, gate, (router, other))?;
        let health = {
            let entry = entry.clone();
            move |conn: Conn| {
                let entry = entry.clone();
                async move { health(&entry, conn) }
            }
        };
        let router = Router::new().get("/metrics", Page::new(registry)).get("/health", health);
        let gate = Gate::new(ADMIN_LIMITS, entry.metrics.clone());
        let (admin, admin_address) =
            serve(settings.admin_listen, HttpConfig::default(), gate, router)?;
        let _ = entry.caller_address.set(caller_address);
        let mesh = Arc::new(FrameHandler(entry.clone()));
        let tasks = vec![
            smol::spawn(async move { endpoint.serve(mesh).await }),
            smol::spawn(policy::run(entry.clone())),
            smol::spawn(tasks::watch_identity(
                entry.clone(),
                identity.is_expiring(SystemTime::now()),
            )),
            smol::spawn(sweep(entry.target.clone())),
            smol::spawn(tasks::send_heartbeats(entry.clone())),
            smol::spawn(seats::run(entry.clone())),
            smol::spawn(afar::ask(entry.clone())),
            smol::spawn(afar::follow_plan(entry.clone())),
            smol::spawn(steward::run(entry.clone())),
            smol::spawn(delegate::run(entry.clone())),
            smol::spawn(tasks::poll_loads(entry.clone())),
        ];
        note(Event::Started, format_args!("{} callers {caller_address}", entry.process));
        Ok(Server { entry, callers, admin, caller_address, admin_address, tasks })
    }

    /// Where callers connect.
    pub const fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Where other entries connect.
    pub fn peer_address(&self) -> SocketAddr {
        let endpoint = self.entry.endpoint.get();
        let address = endpoint.and_then(|endpoint| endpoint.address().ok());
        address.unwrap_or(self.entry.settings.peer_listen)
    }

    /// Where operators find metrics and health.
    pub const fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Stops without cutting off a request: look-ups stop naming this entry, callers are given the
    /// time for which they may cache a look-up, and work in flight ends.
    pub async fn stop(self) {
        let limits = self.entry.settings.limits;
        note(Event::Stopping, &self.entry.settings.name);
        self.entry.leaving.store(true, Ordering::Relaxed);
        tasks::send_heartbeat(&self.entry);
        Timer::after(Duration::from_millis(limits.leave_ms)).await;
        let start = Instant::now();
        let limit = Duration::from_millis(limits.stop_ms);
        let callers = self.callers.shut_down();
        while self.in_flight() > 0 && start.elapsed() < limit {
            Timer::after(STOP_INTERVAL).await;
        }
        let rest = limit.saturating_sub(start.elapsed()).max(STOP_INTERVAL);
        let timer = async {
            Timer::after(rest).await;
            note(Event::StopTimeout, format_args!("{} in flight", self.in_flight()));
        };
        futures_lite::future::or(callers, timer).await;
        self.release_seats().await;
        for task in self.tasks {
            task.cancel().await;
        }
        if let Some(endpoint) = self.entry.endpoint.get() {
            endpoint.clone().close().await;
        }
        self.admin.shut_down().await;
        note(Event::Stopped, &self.entry.settings.name);
    }

    /// Gives the seats back, now that nothing more is sent over the links, so that others need not
    /// wait for the leases to end.
    async fn release_seats(&self) {
        let start = Instant::now();
        self.entry.releasing_seats.store(true, Ordering::Relaxed);
        let has_seats = || self.entry.egress.seats_and_rate(clock::now()).0 > 0;
        if !has_seats() {
            return;
        }
        while has_seats() && start.elapsed() < RELEASE_TIME {
            Timer::after(STOP_INTERVAL).await;
        }
        // The seats are out of use before they are written.
        Timer::after(WRITE_TIME).await;
    }

    fn in_flight(&self) -> usize {
        let queued: usize = self.entry.pools().iter().map(|(_, driver)| driver.len()).sum();
        queued + usize::try_from(self.entry.metrics.in_flight.get()).unwrap_or(0)
    }
}

/// Closes connections to targets that have been idle for long.
async fn sweep(target: target::Http) {
    loop {
        Timer::after(SWEEP_INTERVAL).await;
        target.sweep();
    }
}

fn bind_peers(entry: &State, identity: &Identity) -> io::Result<Endpoint> {
    let hello = Hello {
        protocol: PROTOCOL,
        process: entry.process.clone(),
        data_centre: entry.settings.data_centre.clone(),
    };
    let endpoint = Endpoint::bind(entry.settings.peer_listen, identity, hello)?;
    lock(&entry.peers).add_seeds(&endpoint, &entry.settings.peers);
    let _ = entry.endpoint.set(endpoint.clone());
    Ok(endpoint)
}

fn serve(
    address: SocketAddr,
    config: HttpConfig,
    gate: Gate,
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
        .with_acceptor(gate)
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
