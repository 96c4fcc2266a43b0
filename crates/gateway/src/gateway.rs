//! The state of one gateway process.

use std::cell::{Cell, RefCell, RefMut};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use ebonypass_core::balancer::{self, Balancer};
use ebonypass_core::directory;
use ebonypass_core::era;
use ebonypass_core::evacuation::Evacuations;
use ebonypass_core::gossip::{Heartbeat, Membership, Peer};
use ebonypass_core::id::ServiceId;
use ebonypass_core::relay::Contact;
use ebonypass_core::route;
use ebonypass_core::tenant;
use ebonypass_core::time::{Instant, Span};
use ebonypass_core::window::RetryBudget;
use ebonypass_node::clock;
use ebonypass_platform::config::{Features, Limits};
use ebonypass_platform::object::Kind;
use event_listener::Event as Signal;
use futures_lite::future;
use smol::LocalExecutor;

use crate::allotment::Allotments;
use crate::budget::Budget;
use crate::limit::Tally;
use crate::listener::Table;
use crate::log::Log;
use crate::metric::Metrics;
use crate::mirror::Mirror;
use crate::pool::Pool;
use crate::settings::Settings;
use crate::sync::Hold;
use crate::waiting::Waiting;

/// Fraction of the fleet's retry allowance that is used. The rest covers machines that restarted
/// and lost count of the retries they sent.
const RETRY_ALLOWANCE_FRACTION: f64 = 0.6;
/// Fraction of the fleet's retry ratio that each machine applies to its own requests; below 1 for
/// the same reason.
const RETRY_RATIO_FRACTION: f64 = 0.75;

/// Phases of a graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Normal operation.
    Serving,
    /// Lookups no longer return this machine. Requests are still served, and each reply closes its
    /// connection.
    Leaving,
    /// New requests are refused as not run.
    Refusing,
    /// Idle connections are closed.
    Closing,
}

/// Mutable state of the process.
#[derive(Debug)]
pub struct State {
    /// Active routes.
    pub route_table: route::Table,
    /// Version of the active configuration; 0 before the first.
    pub version: u64,
    /// Active limits on requests of callers.
    pub limits: Limits,
    /// Active tenants; none if the configuration has no table of them.
    pub tenants: Option<tenant::Table>,
    /// Optional behaviour that the active configuration asks for.
    pub features: Features,
    /// Known targets, their load and health.
    pub balancer: Balancer,
    /// Known machines, from heartbeats.
    pub membership: Membership,
    /// Local copies of the store's objects.
    pub mirrors: HashMap<Kind, Mirror>,
    /// Targets that the store no longer lists. Their entries may have expired during a store
    /// outage, so they are not removed at once.
    pub unlisted: HashSet<String>,
    /// The era of the store that this machine follows.
    pub era: era::Tracker,
    /// Targets that a restored store has lost.
    pub hold: Hold,
    /// Evacuated data centres.
    pub evacuations: Evacuations,
    retry_budgets: HashMap<ServiceId, RetryBudget>,
}

/// One gateway process.
#[derive(Debug)]
pub struct Gateway {
    /// Settings read at the start.
    pub settings: Settings,
    /// The executor of all tasks.
    pub executor: Rc<LocalExecutor<'static>>,
    /// The structured log.
    pub log: Log,
    /// Exported metrics.
    pub metrics: Metrics,
    /// Idle connections to targets.
    pub pool: Pool,
    /// Memory of request bodies and replies.
    pub bodies: Rc<Budget>,
    /// Requests that wait for a slot of a target.
    pub waiting: RefCell<Waiting>,
    /// Quotas of tenants.
    pub allotments: Allotments,
    /// Requests in flight.
    pub in_flight: Cell<usize>,
    /// Requests received since the last heartbeat.
    pub arrivals: Cell<u64>,
    /// Open incoming connections.
    pub connections: Rc<Table>,
    /// What limits refused or closed.
    pub tally: Rc<Tally>,
    /// The store's answers to this machine.
    pub store_contact: Cell<Contact>,
    /// The store's answers to this machine's calls for targets.
    pub target_contact: Cell<Contact>,
    /// The current shutdown phase.
    pub phase: Cell<Phase>,
    /// When requests in flight get their final replies; never before a shutdown.
    pub cutoff: Cell<Instant>,
    /// Notified when `cutoff` is set.
    pub cutoff_set: Signal,
    /// Notified when a mirror changes or becomes stale.
    pub mirror_changed: Signal,
    /// When the next ignored reply is logged.
    pub next_ignored_line: Cell<Instant>,
    state: RefCell<State>,
}

/// Limits until the first configuration arrives.
const INITIAL_LIMITS: Limits = Limits {
    head_bytes: 16 << 10,
    body_bytes: 1 << 20,
    head_timeout: Span::from_secs(3),
    idle_timeout: Span::from_secs(15),
};

impl Gateway {
    /// Creates a gateway without configuration, targets or peers.
    pub fn new(settings: Settings, executor: Rc<LocalExecutor<'static>>) -> Rc<Gateway> {
        let start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let own = Peer {
            name: settings.name.clone(),
            address: settings.address,
            centre: settings.data_centre.clone(),
            strength: settings.limits.strength(),
            heartbeat: Heartbeat::at_start(start.as_millis() as u64),
        };
        let config = balancer::Config {
            machine: settings.name.clone(),
            region: settings.region.clone(),
            centre_regions: settings.regions.clone(),
        };
        let mut balancer = Balancer::new(config);
        balancer.set_preference(settings.balance.prefer);
        let state = State {
            route_table: route::Table::default(),
            version: 0,
            limits: INITIAL_LIMITS,
            tenants: None,
            features: Features::default(),
            balancer,
            membership: Membership::new(clock::now(), own),
            mirrors: HashMap::new(),
            unlisted: HashSet::new(),
            era: era::Tracker::default(),
            hold: Hold::default(),
            evacuations: Evacuations::default(),
            retry_budgets: HashMap::new(),
        };
        let tally: Rc<Tally> = Rc::default();
        Rc::new(Gateway {
            log: Log::new(&settings.name),
            metrics: Metrics::new(),
            pool: Pool::new(executor.clone(), settings.limits.plan().idle_targets()),
            bodies: Budget::new(settings.limits.body_limits()),
            allotments: Allotments::new(&settings),
            waiting: RefCell::default(),
            in_flight: Cell::new(0),
            arrivals: Cell::new(0),
            connections: Table::new(settings.limits.connection_limits(), tally.clone()),
            tally,
            store_contact: Cell::default(),
            target_contact: Cell::default(),
            phase: Cell::new(Phase::Serving),
            cutoff: Cell::new(Instant::MAX),
            cutoff_set: Signal::new(),
            mirror_changed: Signal::new(),
            next_ignored_line: Cell::new(Instant::ZERO),
            state: RefCell::new(state),
            executor,
            settings,
        })
    }

    /// Borrows the mutable state. The borrow must not be held across an `await`.
    pub fn state(&self) -> RefMut<'_, State> {
        self.state.borrow_mut()
    }

    /// Whether a configuration is active, the targets are known and no shutdown has begun.
    pub fn is_ready(&self) -> bool {
        let has_policy = self.state().version > 0;
        self.phase.get() == Phase::Serving && has_policy && self.revision(Kind::Target) > 0
    }

    /// Waits until `deadline` or, during a shutdown, the earlier time of the final replies.
    pub async fn wait_for_deadline(&self, deadline: Instant) {
        loop {
            let cutoff_set = self.cutoff_set.listen();
            let end = deadline.min(self.cutoff.get());
            if clock::now() >= end {
                return;
            }
            future::or(clock::sleep_until(end), cutoff_set).await;
        }
    }

    /// How long every store call of this machine for targets has succeeded.
    pub fn store_uptime(&self) -> Span {
        self.target_contact.get().uptime(clock::now())
    }

    /// Whether the store answers this machine.
    pub fn reaches_store(&self) -> bool {
        self.store_contact.get().uptime(clock::now()) > Span::ZERO
    }

    /// The longest store uptime seen by any live machine.
    pub fn longest_store_uptime(&self) -> Span {
        let state = self.state();
        let peers =
            state.membership.live_peers(clock::now()).map(|peer| peer.heartbeat.store_uptime());
        peers.max().unwrap_or(Span::ZERO).max(self.store_uptime())
    }

    /// Addresses for a caller in `region`: the entry machines there or, if none is ready, those of
    /// all regions.
    pub fn lookup_addresses(&self, region: &str) -> Vec<SocketAddr> {
        let now = clock::now();
        let is_ready = self.is_ready();
        let state = self.state();
        let own = is_ready.then(|| state.membership.own());
        let peers = state.membership.live_peers(now).filter(|peer| peer.heartbeat.is_ready);
        let ready: Vec<&Peer> = peers.chain(own).collect();
        let is_in_region = |peer: &&Peer| {
            self.settings.regions.get(&peer.centre).is_some_and(|other| other == region)
        };
        let in_region: Vec<&Peer> = ready.iter().copied().filter(is_in_region).collect();
        let preferred = if in_region.is_empty() { &ready } else { &in_region };
        let port = self.settings.listen.callers.port();
        let entries = directory::entries(preferred);
        entries.into_iter().map(|peer| SocketAddr::new(peer.address, port)).collect()
    }
}

impl State {
    /// This machine's retry budget for `service`, adjusted to the current fleet size.
    pub fn retry_budget(
        &mut self,
        now: Instant,
        settings: &Settings,
        service: ServiceId,
    ) -> &mut RetryBudget {
        let shared = &settings.shared;
        let allowance = shared.retry_allowance * RETRY_ALLOWANCE_FRACTION;
        let allowance = self.membership.share(now, allowance);
        let percent = shared.retry_ratio * RETRY_RATIO_FRACTION * 100.0;
        let budget = self
            .retry_budgets
            .entry(service)
            .or_insert_with(|| RetryBudget::new(shared.retry_window(), percent as usize, 0));
        budget.set_allowance(allowance);
        budget
    }
}
