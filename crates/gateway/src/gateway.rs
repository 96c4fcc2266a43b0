//! The state of one gateway process.

use std::cell::{Cell, RefCell, RefMut};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use ebonypass_core::balancer::{self, Balancer};
use ebonypass_core::gossip::{Heartbeat, Membership, Peer};
use ebonypass_core::id::ServiceId;
use ebonypass_core::route::RouteTable;
use ebonypass_core::time::{Instant, Span};
use ebonypass_core::window::RetryBudget;
use ebonypass_node::clock;
use ebonypass_platform::config::Limits;
use ebonypass_platform::object::{self, Kind, Object};
use event_listener::Event as Signal;
use smol::LocalExecutor;

use crate::log::Log;
use crate::metric::Metrics;
use crate::settings::Settings;
use crate::upstream::Upstream;

/// The part of the fleet's allowance of repeats that is used; the rest covers machines that have
/// started again and forgotten what they used.
const REPEAT_PART: f64 = 0.6;
/// Repeats that each machine may send in a window at least. The deployments' allowances are over
/// twice the number of their machines.
const REPEATS_MIN: usize = 1;
/// Repeats of a share of the own requests, below the fleet's limit for the same reason.
const REPEAT_RATIO_PART: f64 = 0.75;

/// How far a stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Requests are served.
    Serving,
    /// The machine is out of the directory; requests are served and connections end after them.
    Leaving,
    /// Requests are refused as not run.
    Refusing,
    /// Connections without a request are closed.
    Closing,
}

/// Objects of one kind as this machine knows them.
#[derive(Debug, Default)]
pub struct Mirror {
    /// Objects by name.
    pub objects: BTreeMap<String, Object>,
    /// The store's revision that they are as of; 0 before the first list.
    pub revision: u64,
    /// Whether the last call about them was not answered.
    pub is_lost: bool,
    /// The latest changes: revision, object, and whether it was deleted.
    changes: VecDeque<(u64, Object, bool)>,
    /// The revision after which all changes are among the latest.
    floor: u64,
}

/// Changes that are kept for machines that follow this one.
const CHANGES: usize = 400;

impl Mirror {
    /// Takes in a change that the store made at `revision` or before.
    pub fn change(&mut self, revision: u64, object: Object, is_deleted: bool) {
        let name = object.metadata.name.clone();
        if self.changes.len() >= CHANGES
            && let Some((revision, ..)) = self.changes.pop_front()
        {
            self.floor = self.floor.max(revision);
        }
        self.changes.push_back((revision, object.clone(), is_deleted));
        if is_deleted {
            self.objects.remove(&name);
        } else {
            self.objects.insert(name, object);
        }
    }

    /// Replaces all objects. Returns those that are no longer there.
    pub fn replace(&mut self, revision: u64, objects: BTreeMap<String, Object>) -> Vec<Object> {
        self.revision = revision;
        self.floor = revision;
        self.changes.clear();
        let old = std::mem::replace(&mut self.objects, objects);
        old.into_values().filter(|old| !self.objects.contains_key(&old.metadata.name)).collect()
    }

    /// What has changed since `known`, as bytes for a machine that follows this one.
    pub fn bytes_since(&self, known: u64) -> Vec<u8> {
        if known < self.floor || known == 0 {
            return object::list_bytes(self.objects.values(), self.revision);
        }
        let changes = self.changes.iter().filter(|(revision, ..)| *revision > known);
        let changes = changes.map(|(_, object, is_deleted)| (object, *is_deleted));
        object::changes_bytes(changes, self.revision)
    }
}

/// What the process believes.
#[derive(Debug)]
pub struct State {
    /// Routes in force.
    pub table: RouteTable,
    /// Version of the configuration in force; 0 before the first.
    pub version: u64,
    /// Limits in force.
    pub limits: Limits,
    /// Targets.
    pub fleet: Balancer,
    /// Machines.
    pub members: Membership,
    /// Objects of the store.
    pub mirrors: HashMap<Kind, Mirror>,
    /// Targets that the store no longer lists, which may have lapsed while it was away.
    pub missing: HashSet<String>,
    repeats: HashMap<ServiceId, RetryBudget>,
}

/// One gateway process.
#[derive(Debug)]
pub struct Gateway {
    /// Its settings.
    pub settings: Settings,
    /// Runs its tasks.
    pub executor: Rc<LocalExecutor<'static>>,
    /// Its log.
    pub log: Log,
    /// Its metrics.
    pub metrics: Metrics,
    /// Connections to targets.
    pub upstream: Upstream,
    /// Requests that are being handled.
    pub in_flight: Cell<usize>,
    /// Requests of callers since the last heartbeat.
    pub arrivals: Cell<u64>,
    /// Connections of callers.
    pub connections: Cell<usize>,
    /// Since when the store has answered without a break; none if it does not answer.
    pub store_since: Cell<Option<Instant>>,
    /// How far a stop has come.
    pub phase: Cell<Phase>,
    /// Told of each change of a mirror.
    pub mirrored: Signal,
    state: RefCell<State>,
}

/// Limits before a configuration is known.
const FIRST_LIMITS: Limits = Limits {
    head_bytes: 16 << 10,
    body_bytes: 1 << 20,
    head_time: Span::from_secs(3),
    idle_time: Span::from_secs(15),
};

impl Gateway {
    /// A process that knows nothing yet.
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
            table: RouteTable::default(),
            version: 0,
            limits: FIRST_LIMITS,
            fleet: Balancer::new(config),
            members: Membership::new(clock::now(), own),
            mirrors: HashMap::new(),
            missing: HashSet::new(),
            repeats: HashMap::new(),
        };
        Rc::new(Gateway {
            log: Log::new(&settings.name),
            metrics: Metrics::new(),
            upstream: Upstream::new(executor.clone()),
            in_flight: Cell::new(0),
            arrivals: Cell::new(0),
            connections: Cell::new(0),
            store_since: Cell::new(None),
            phase: Cell::new(Phase::Serving),
            mirrored: Signal::new(),
            state: RefCell::new(state),
            executor,
            settings,
        })
    }

    /// What the process believes. The borrow must not be held over an `await`.
    pub fn state(&self) -> RefMut<'_, State> {
        self.state.borrow_mut()
    }

    /// Whether requests can be served.
    pub fn is_ready(&self) -> bool {
        self.phase.get() == Phase::Serving && self.state().version > 0
    }

    /// How long the store has answered this machine without a break.
    pub fn store_span(&self) -> Span {
        self.store_since.get().map_or(Span::ZERO, |since| clock::now().since(since))
    }

    /// The longest time for which the store has answered some machine without a break.
    pub fn fleet_store_span(&self) -> Span {
        let state = self.state();
        let peers =
            state.members.live_peers(clock::now()).map(|peer| peer.heartbeat.store_uptime());
        peers.max().unwrap_or(Span::ZERO).max(self.store_span())
    }

    /// Addresses for a caller in `region`: machines there that take requests, or else all that do.
    pub fn addresses(&self, region: &str) -> Vec<SocketAddr> {
        let now = clock::now();
        let is_ready = self.is_ready();
        let state = self.state();
        let own = is_ready.then(|| state.members.own());
        let peers = state.members.live_peers(now).filter(|peer| peer.heartbeat.is_ready);
        let ready: Vec<&Peer> = peers.chain(own).collect();
        let is_near = |peer: &&Peer| {
            self.settings.regions.get(&peer.centre).is_some_and(|other| other == region)
        };
        let near: Vec<&Peer> = ready.iter().copied().filter(is_near).collect();
        let chosen = if near.is_empty() { ready } else { near };
        let port = self.settings.listen.callers.port();
        chosen.into_iter().map(|peer| SocketAddr::new(peer.address, port)).collect()
    }
}

impl State {
    /// The repeats that this machine may send to `service`.
    pub fn repeats(
        &mut self,
        now: Instant,
        settings: &Settings,
        service: ServiceId,
    ) -> &mut RetryBudget {
        let shared = &settings.shared;
        let allowance = shared.repeat_allowance * REPEAT_PART / self.members.fleet_size(now) as f64;
        let percent = shared.repeat_ratio * REPEAT_RATIO_PART * 100.0;
        let repeats = self
            .repeats
            .entry(service)
            .or_insert_with(|| RetryBudget::new(shared.repeat_window(), percent as usize, 0));
        repeats.set_allowance((allowance as usize).max(REPEATS_MIN));
        repeats
    }
}
