//! Work that goes on beside requests.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use ebonypass_core::pool::{Load, Spec, State};
use ebonypass_node::clock;
use ebonypass_node::event::{Event, note};
use ebonypass_node::store::{Error, Life, POLICY_KEY, Role, Store, Vm};
use ebonypass_node::sync::lock;
use ebonypass_node::target::Target;
use smol::Timer;

use crate::gauge::ServiceLabels;
use crate::state::Entry;

/// How long the store may hold a watch.
const WATCH_WAIT: Duration = Duration::from_secs(10);

/// Time between two calls after a failure.
const RETRY: Duration = Duration::from_millis(500);

/// Time between two readings of the VM list.
const VM_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two readings of a target's load.
const LOAD_INTERVAL: Duration = Duration::from_millis(500);

/// Follows the policy document of the store.
pub(crate) async fn watch_policy<S: Store, T: Target>(entry: Arc<Entry<S, T>>) {
    let mut seen = 0;
    let mut is_lost = false;
    loop {
        match entry.store.watch(POLICY_KEY, seen, WATCH_WAIT).await {
            Ok(object) => {
                if std::mem::take(&mut is_lost) {
                    note(Event::StoreFound, entry.settings.store);
                }
                let Some(object) = object else { continue };
                seen = object.version;
                if entry.apply(object.version, &object.value) {
                    refresh_targets(&entry);
                }
            }
            Err(Error::Absent) => drop(Timer::after(RETRY).await),
            Err(error) => {
                entry.gauges.store_failures.inc();
                if !std::mem::replace(&mut is_lost, true) {
                    note(Event::StoreLost, &error);
                }
                Timer::after(RETRY).await;
            }
        }
    }
}

/// Follows the VM list.
pub(crate) async fn poll_vms<S: Store, T: Target>(entry: Arc<Entry<S, T>>) {
    loop {
        match entry.store.vms().await {
            Ok(vms) => {
                entry.vms.store(Arc::new(vms));
                refresh_targets(&entry);
            }
            Err(_) => drop(entry.gauges.store_failures.inc()),
        }
        Timer::after(VM_INTERVAL).await;
    }
}

/// Follows the load reports of the own region's targets.
pub(crate) async fn poll_loads<S: Store, T: Target>(entry: Arc<Entry<S, T>>) {
    loop {
        for vm in own_targets(&entry) {
            let entry = entry.clone();
            smol::spawn(async move { read_load(&entry, &vm).await }).detach();
        }
        for (service, driver) in entry.pools() {
            let gauge = entry.gauges.free_slots.get_or_create(&ServiceLabels { service });
            gauge.set(i64::from(driver.free_slots()));
        }
        Timer::after(LOAD_INTERVAL).await;
    }
}

async fn read_load<S: Store, T: Target>(entry: &Entry<S, T>, vm: &Vm) {
    let Some(load) = entry.target.load(vm.address).await else { return };
    let target = lock(&entry.names).targets.key(&vm.name);
    let Some(service) = &vm.service else { return };
    entry.pool(service).note_load(target, Load { busy: load.busy, queued: load.queued });
}

/// The listed targets of the own region.
fn own_targets<S: Store, T: Target>(entry: &Entry<S, T>) -> Vec<Vm> {
    let Ok(view) = entry.view() else { return Vec::new() };
    let own = view.region_of(&entry.settings.data_centre);
    let vms = entry.vms.load();
    let near = |vm: &&Vm| {
        vm.role == Role::Target && own.is_some() && view.region_of(&vm.data_centre) == own
    };
    vms.iter().filter(near).cloned().collect()
}

/// Tells the pools which targets there are.
fn refresh_targets<S: Store, T: Target>(entry: &Arc<Entry<S, T>>) {
    let Ok(view) = entry.view() else { return };
    let now_s = clock::unix_s();
    let mut listed = HashSet::new();
    for vm in own_targets(entry) {
        let Some(service) = vm.service.as_ref().filter(|name| view.has_service(name)) else {
            continue;
        };
        let known = view.document.target(&vm.name);
        let is_drained = known.is_some_and(|target| view.document.is_drained(target, now_s));
        let is_leaving = vm.state == Life::Leaving || is_drained;
        let state = if is_leaving { State::Leaving } else { State::Ready };
        let slots = vm.slots.or(known.map(|target| view.document.targets[target].slots));
        let target = lock(&entry.names).targets.key(&vm.name);
        listed.insert(target);
        let spec = Spec { slots: slots.unwrap_or(1), state };
        entry.pool(service).set_target(target, vm.address, spec);
    }
    for (_, driver) in entry.pools() {
        driver.retain_targets(&listed);
    }
}
