//! The state of one gateway process.

use std::cell::{Cell, RefCell, RefMut};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use ebonypass_core::balancer::{self, Balancer};
use ebonypass_core::gossip::{Heartbeat, Membership, Peer};
use ebonypass_core::id::ServiceId;
use ebonypass_core::route;
use ebonypass_core::time::{Instant, Span};
use ebonypass_core::window::RetryBudget;
use ebonypass_node::clock;
use ebonypass_platform::config::Limits;
use ebonypass_platform::object::{self, Kind, Object};
use event_listener::Event as Signal;
use smol::LocalExecutor;

use crate::log::Log;
use crate::metric::Metrics;
use crate::pool::Pool;
use crate::settings::Settings;

/// Fraction of the fleet's retry allowance that is used. The rest covers machines that restarted
/// and lost count of the retries they sent.
const RETRY_ALLOWANCE_FRACTION: f64 = 0.6;
/// Retries that each machine may send per window at least. This keeps within the fleet's allowance,
/// which in all deployments is over twice the number of machines.
const MIN_RETRIES_PER_WINDOW: usize = 1;
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

/// A local copy of the store's objects of one kind.
#[derive(Debug, Default)]
pub struct Mirror {
    /// Objects by name.
    pub objects: BTreeMap<String, Object>,
    /// The store revision that the copy reflects; 0 before the first list.
    pub revision: u64,
    /// Whether the last call to the store for this kind failed.
    pub is_stale: bool,
    /// Recent changes: revision, object, and whether it was deleted.
    changes: VecDeque<(u64, Object, bool)>,
    /// `changes` holds every change after this revision.
    compacted_revision: u64,
}

/// Changes kept per kind for peers that poll this machine.
const MAX_CHANGES: usize = 400;

impl Mirror {
    /// Applies a change made at `revision` or earlier.
    pub fn apply_change(&mut self, revision: u64, object: Object, is_deleted: bool) {
        let name = object.metadata.name.clone();
        if self.changes.len() >= MAX_CHANGES
            && let Some((revision, ..)) = self.changes.pop_front()
        {
            self.compacted_revision = self.compacted_revision.max(revision);
        }
        self.changes.push_back((revision, object.clone(), is_deleted));
        if is_deleted {
            self.objects.remove(&name);
        } else {
            self.objects.insert(name, object);
        }
    }

    /// Replaces all objects, and returns the ones that were removed.
    pub fn replace(&mut self, revision: u64, objects: BTreeMap<String, Object>) -> Vec<Object> {
        self.revision = revision;
        self.compacted_revision = revision;
        self.changes.clear();
        let old = std::mem::replace(&mut self.objects, objects);
        old.into_values().filter(|old| !self.objects.contains_key(&old.metadata.name)).collect()
    }

    /// Encodes the changes after `known_revision` for a peer, or the full list if those are no
    /// longer all kept.
    pub fn encode_since(&self, known_revision: u64) -> Vec<u8> {
        if known_revision < self.compacted_revision || known_revision == 0 {
            return object::encode_list(self.objects.values(), self.revision);
        }
        let changes = self.changes.iter().filter(|(revision, ..)| *revision > known_revision);
        let changes = changes.map(|(_, object, is_deleted)| (object, *is_deleted));
        object::encode_changes(changes, self.revision)
    }
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
    /// Known targets, their load and health.
    pub balancer: Balancer,
    /// Known machines, from heartbeats.
    pub membership: Membership,
    /// Local copies of the store's objects.
    pub mirrors: HashMap<Kind, Mirror>,
    /// Targets that the store no longer lists. Their entries may have expired during a store
    /// outage, so they are not removed at once.
    pub unlisted: HashSet<String>,
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
    /// Requests in flight.
    pub in_flight: Cell<usize>,
    /// Requests received since the last heartbeat.
    pub arrivals: Cell<u64>,
    /// Open incoming connections.
    pub connections: Cell<usize>,
    /// Since when every call to the store has succeeded; none while it is unreachable.
    pub store_reachable_since: Cell<Option<Instant>>,
    /// The current shutdown phase.
    pub phase: Cell<Phase>,
    /// Notified when a mirror changes or becomes stale.
    pub mirror_changed: Signal,
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
            heartbeat: Heartbeat::at_start(start.as_millis() as u64),
        };
        let config = balancer::Config {
            machine: settings.name.clone(),
            region: settings.region.clone(),
            centre_regions: settings.regions.clone(),
        };
        let state = State {
            route_table: route::Table::default(),
            version: 0,
            limits: INITIAL_LIMITS,
            balancer: Balancer::new(config),
            membership: Membership::new(clock::now(), own),
            mirrors: HashMap::new(),
            unlisted: HashSet::new(),
            retry_budgets: HashMap::new(),
        };
        Rc::new(Gateway {
            log: Log::new(&settings.name),
            metrics: Metrics::new(),
            pool: Pool::new(executor.clone()),
            in_flight: Cell::new(0),
            arrivals: Cell::new(0),
            connections: Cell::new(0),
            store_reachable_since: Cell::new(None),
            phase: Cell::new(Phase::Serving),
            mirror_changed: Signal::new(),
            state: RefCell::new(state),
            executor,
            settings,
        })
    }

    /// Borrows the mutable state. The borrow must not be held across an `await`.
    pub fn state(&self) -> RefMut<'_, State> {
        self.state.borrow_mut()
    }

    /// Whether a configuration is active and no shutdown has begun.
    pub fn is_ready(&self) -> bool {
        self.phase.get() == Phase::Serving && self.state().version > 0
    }

    /// How long every store call of this machine has succeeded.
    pub fn store_uptime(&self) -> Span {
        self.store_reachable_since.get().map_or(Span::ZERO, |since| clock::now().since(since))
    }

    /// The longest store uptime seen by any live machine.
    pub fn longest_store_uptime(&self) -> Span {
        let state = self.state();
        let peers =
            state.membership.live_peers(clock::now()).map(|peer| peer.heartbeat.store_uptime());
        peers.max().unwrap_or(Span::ZERO).max(self.store_uptime())
    }

    /// Addresses for a caller in `region`: the ready machines there or, if there are none, all
    /// ready machines.
    pub fn lookup_addresses(&self, region: &str) -> Vec<SocketAddr> {
        let now = clock::now();
        let is_ready = self.is_ready();
        let state = self.state();
        let own = is_ready.then(|| state.membership.own());
        let peers = state.membership.live_peers(now).filter(|peer| peer.heartbeat.is_ready);
        let all_ready: Vec<&Peer> = peers.chain(own).collect();
        let is_in_region = |peer: &&Peer| {
            self.settings.regions.get(&peer.centre).is_some_and(|other| other == region)
        };
        let in_region: Vec<&Peer> = all_ready.iter().copied().filter(is_in_region).collect();
        let preferred = if in_region.is_empty() { all_ready } else { in_region };
        let port = self.settings.listen.callers.port();
        preferred.into_iter().map(|peer| SocketAddr::new(peer.address, port)).collect()
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
        let allowance = shared.retry_allowance * RETRY_ALLOWANCE_FRACTION
            / self.membership.fleet_size(now) as f64;
        let percent = shared.retry_ratio * RETRY_RATIO_FRACTION * 100.0;
        let budget = self
            .retry_budgets
            .entry(service)
            .or_insert_with(|| RetryBudget::new(shared.retry_window(), percent as usize, 0));
        budget.set_allowance((allowance as usize).max(MIN_RETRIES_PER_WINDOW));
        budget
    }
}
