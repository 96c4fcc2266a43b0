//! What the parts of an entry share.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use arc_swap::{ArcSwap, ArcSwapOption};
use ebonypass_core::outcome::Reason;
use ebonypass_core::scan::scan_document;
use ebonypass_node::event::{Event, note};
use ebonypass_node::store::{Store, Vm};
use ebonypass_node::sync::lock;
use ebonypass_node::target::Target;
use serde::Deserialize;

use crate::driver::Driver;
use crate::gauge::Gauges;
use crate::names::Catalogue;
use crate::settings::Settings;
use crate::view::View;

/// An entry's state. Requests read it, the tasks in [`crate::tasks`] change it.
pub(crate) struct Entry<S, T: Target> {
    pub(crate) settings: Settings,
    /// Tells this process from earlier ones of the same name.
    pub(crate) incarnation: String,
    pub(crate) store: S,
    pub(crate) target: T,
    pub(crate) gauges: Gauges,
    pub(crate) view: ArcSwapOption<View>,
    pub(crate) vms: ArcSwap<Vec<Vm>>,
    pub(crate) leaving: AtomicBool,
    pub(crate) names: Mutex<Catalogue>,
    pools: Mutex<HashMap<String, Arc<Driver<T>>>>,
    keys: Mutex<HashSet<String>>,
}

/// The value of `policy/current`.
#[derive(Debug, Deserialize)]
struct Envelope {
    submission: String,
    operator: String,
    text: String,
}

impl<S: Store, T: Target> Entry<S, T> {
    /// The state of a fresh process.
    pub(crate) fn new(settings: Settings, store: S, target: T, gauges: Gauges) -> Entry<S, T> {
        Entry {
            settings,
            incarnation: new_incarnation(),
            store,
            target,
            gauges,
            view: ArcSwapOption::empty(),
            vms: ArcSwap::default(),
            leaving: AtomicBool::new(false),
            names: Mutex::default(),
            pools: Mutex::default(),
            keys: Mutex::default(),
        }
    }

    /// The policy in force.
    pub(crate) fn view(&self) -> Result<Arc<View>, Reason> {
        self.view.load_full().ok_or(Reason::NoPolicy)
    }

    /// Whether the process is about to stop.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Puts the document in `value` in force if `version` is newer than the one in force. A faulty
    /// document changes nothing.
    pub(crate) fn apply(&self, version: u64, value: &[u8]) -> bool {
        if self.view.load().as_ref().is_some_and(|view| view.version >= version) {
            return false;
        }
        let envelope: Envelope = match serde_json::from_slice(value) {
            Ok(envelope) => envelope,
            Err(error) => {
                note(Event::ObjectMalformed, format_args!("policy version {version}: {error}"));
                return false;
            }
        };
        let document = match scan_document(&envelope.text) {
            Ok(document) => document,
            Err(faults) => {
                let first = &faults[0];
                note(Event::PolicyFaulty, format_args!("version {version}: {first}"));
                return false;
            }
        };
        let view = View::new(version, document, &mut lock(&self.names));
        self.view.store(Some(Arc::new(view)));
        self.gauges.policy_version.set(version as i64);
        let (operator, submission) = (&envelope.operator, &envelope.submission);
        note(Event::PolicyApplied, format_args!("version {version} {submission} by {operator:?}"));
        true
    }

    /// The own pool of `service`, made at its first use.
    pub(crate) fn pool(&self, service: &str) -> Arc<Driver<T>> {
        let mut pools = lock(&self.pools);
        if let Some(driver) = pools.get(service) {
            return driver.clone();
        }
        let prefix = format!("{}.{}.{service}", self.settings.name, self.incarnation);
        let driver = Driver::new(self.target.clone(), self.gauges.clone(), prefix);
        pools.insert(service.to_owned(), driver.clone());
        driver
    }

    /// The own pools with their services.
    pub(crate) fn pools(&self) -> Vec<(String, Arc<Driver<T>>)> {
        lock(&self.pools).iter().map(|(name, driver)| (name.clone(), driver.clone())).collect()
    }

    /// Claims a request key for its first use.
    pub(crate) fn claim(&self, key: &str) -> Result<(), Reason> {
        let arbiter = key.split_once('/').map(|(arbiter, _)| arbiter);
        let arbiter = arbiter.filter(|_| key.len() <= 256).ok_or(Reason::KeyMalformed)?;
        let own = format!("{}.{}.", self.settings.name, self.incarnation);
        if !arbiter.starts_with(&own) {
            return Err(Reason::ArbiterGone);
        }
        if !lock(&self.keys).insert(key.to_owned()) {
            return Err(Reason::KeyRepeated);
        }
        Ok(())
    }
}

fn new_incarnation() -> String {
    (0..8).map(|_| fastrand::digit(36)).collect()
}
