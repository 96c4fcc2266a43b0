//! The state that the tasks and request handlers of an entry share.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{SystemTime, UNIX_EPOCH};

use arc_swap::{ArcSwap, ArcSwapOption};
use ebonypass_core::key::Journal;
use ebonypass_core::outcome::Reason;
use ebonypass_core::roster::{Incarnation, Process};
use ebonypass_core::time::Instant;
use ebonypass_node::clock;
use ebonypass_node::event::{Event, emit};
use ebonypass_node::peer::Endpoint;
use ebonypass_node::store::{Store, Vm};
use ebonypass_node::sync::lock;
use ebonypass_node::target::Target;

use crate::driver::Driver;
use crate::egress::Egress;
use crate::metric::Metrics;
use crate::names::Interners;
use crate::peers::Peers;
use crate::remote::Ledger;
use crate::settings::Settings;
use crate::view::View;

/// The state of an entry. Request handlers read it, tasks update it. Code that holds several locks
/// at once takes `peers` first.
pub(crate) struct Entry<S, T: Target> {
    pub(crate) settings: Settings,
    pub(crate) process: Process,
    pub(crate) store: S,
    pub(crate) target: T,
    pub(crate) metrics: Metrics,
    pub(crate) endpoint: OnceLock<Endpoint>,
    pub(crate) caller_address: OnceLock<SocketAddr>,
    /// The policy in force.
    pub(crate) view: ArcSwapOption<View>,
    /// The platform's VM list.
    pub(crate) vms: ArcSwap<Vec<Vm>>,
    /// When `vms` was last read from the store or received from a delegate.
    pub(crate) vms_updated_at: Mutex<Option<Instant>>,
    /// Whether the process is shutting down.
    pub(crate) leaving: AtomicBool,
    /// Whether the process gives its seats back, since its last request has ended.
    pub(crate) releasing_seats: AtomicBool,
    /// Whether the last call to the store failed.
    store_failed: AtomicBool,
    pub(crate) egress: Egress,
    pub(crate) ledger: Ledger,
    pub(crate) peers: Mutex<Peers>,
    pub(crate) names: Mutex<Interners>,
    pub(crate) journal: Mutex<Journal>,
    /// This entry's pools by service.
    pools: Mutex<HashMap<String, Arc<Driver<T>>>>,
}

impl<S: Store, T: Target> Entry<S, T> {
    /// The state of a process that has just started.
    pub(crate) fn new(settings: Settings, store: S, target: T, metrics: Metrics) -> Entry<S, T> {
        let process = Process { name: settings.name.clone(), incarnation: new_incarnation() };
        let peers = Peers::new(clock::now(), process.clone(), &settings.data_centre);
        let journal = Journal::new(settings.limits.keys);
        Entry {
            settings,
            process,
            store,
            target,
            metrics,
            endpoint: OnceLock::new(),
            caller_address: OnceLock::new(),
            view: ArcSwapOption::empty(),
            vms: ArcSwap::default(),
            vms_updated_at: Mutex::default(),
            leaving: AtomicBool::new(false),
            releasing_seats: AtomicBool::new(false),
            store_failed: AtomicBool::new(false),
            egress: Egress::new(),
            ledger: Ledger::default(),
            peers: Mutex::new(peers),
            names: Mutex::default(),
            journal: Mutex::new(journal),
            pools: Mutex::default(),
        }
    }

    /// The policy in force.
    ///
    /// Errors: [`Reason::NoPolicy`] before the first document is in force.
    pub(crate) fn view(&self) -> Result<Arc<View>, Reason> {
        self.view.load_full().ok_or(Reason::NoPolicy)
    }

    /// Whether the process is shutting down.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Records the result of a store call: counts failures, and logs when calls start to fail and
    /// when they succeed again.
    pub(crate) fn record_store_call(&self, is_ok: bool) {
        if !is_ok {
            self.metrics.store_failures.inc();
        }
        if self.store_failed.swap(!is_ok, Ordering::Relaxed) == is_ok {
            let event = if is_ok { Event::StoreReachable } else { Event::StoreUnreachable };
            emit(event, self.settings.store);
        }
    }

    /// This entry's pool of `service`, created at its first use.
    pub(crate) fn pool(&self, service: &str) -> Arc<Driver<T>> {
        let mut pools = lock(&self.pools);
        if let Some(driver) = pools.get(service) {
            return driver.clone();
        }
        let prefix = format!("{}.{service}", self.process);
        let driver = Driver::new(self.target.clone(), self.metrics.clone(), prefix);
        pools.insert(service.to_owned(), driver.clone());
        driver
    }

    /// This entry's pools with the names of their services.
    pub(crate) fn pools(&self) -> Vec<(String, Arc<Driver<T>>)> {
        lock(&self.pools).iter().map(|(name, driver)| (name.clone(), driver.clone())).collect()
    }
}

/// Unix time in microseconds. Higher than that of each earlier process, unless the clock was set
/// back.
fn new_incarnation() -> Incarnation {
    let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Incarnation(unix_time.as_micros() as u64)
}
