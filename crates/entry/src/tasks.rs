//! Background tasks: heartbeats, the VM list, targets and their load, and certificates.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use ebonypass_core::id::TargetId;
use ebonypass_core::pool::{Spec, State};
use ebonypass_core::roster::{DrainingTarget, PoolStatus};
use ebonypass_node::clock;
use ebonypass_node::event::{Event, emit};
use ebonypass_node::store::{Lifecycle, Role, Store, Vm};
use ebonypass_node::sync::lock;
use ebonypass_node::target::Target;
use ebonypass_node::tls;
use smol::Timer;

use crate::driver::Driver;
use crate::metric::ServiceLabels;
use crate::peers::HEARTBEAT_INTERVAL;
use crate::state::Entry;

/// Time between two checks of the key and certificate files.
const IDENTITY_INTERVAL: Duration = Duration::from_secs(5);

/// Time between two warnings about a certificate that expires soon.
const EXPIRY_WARNING_INTERVAL: Duration = Duration::from_secs(6 * 3_600);

/// Time between two load requests to a target.
const LOAD_INTERVAL: Duration = Duration::from_millis(500);

/// Stores a VM list and updates the peers from it.
pub(crate) fn update_vms<S: Store, T: Target>(entry: &Entry<S, T>, vms: Vec<Vm>) {
    let view = entry.view.load();
    if let Some(endpoint) = entry.endpoint.get() {
        lock(&entry.peers).handle_vm_list(clock::now(), endpoint, &vms, view.as_deref());
    }
    entry.metrics.vms.set(vms.len() as i64);
    entry.vms.store(Arc::new(vms));
}

/// Reloads key and certificate when their files change, and warns before the certificate expires.
pub(crate) async fn watch_identity<S: Store, T: Target>(
    entry: Arc<Entry<S, T>>,
    mut is_expiring: bool,
) {
    let files = &entry.settings.tls;
    let mut watcher = tls::Watcher::new(files.clone());
    let mut warned_at = None;
    loop {
        if is_expiring
            && warned_at.is_none_or(|at: Instant| at.elapsed() >= EXPIRY_WARNING_INTERVAL)
        {
            warned_at = Some(Instant::now());
            emit(Event::CertificateExpiring, files.certificate.display());
        }
        Timer::after(IDENTITY_INTERVAL).await;
        let (Some(changed), Some(endpoint)) = (watcher.reload_if_changed(), entry.endpoint.get())
        else {
            continue;
        };
        let applied = changed.and_then(|identity| {
            endpoint.set_identity(&identity)?;
            Ok(identity.expires_soon(SystemTime::now()))
        });
        match applied {
            Ok(expires_soon) => {
                (is_expiring, warned_at) = (expires_soon, None);
                emit(Event::CertificateLoaded, files.certificate.display());
            }
            Err(error) => emit(Event::CertificateInvalid, error),
        }
    }
}

/// Sends a heartbeat to every peer at each [`HEARTBEAT_INTERVAL`].
pub(crate) async fn send_heartbeats<S: Store, T: Target>(entry: Arc<Entry<S, T>>) {
    loop {
        send_heartbeat(&entry);
        clock::sleep(HEARTBEAT_INTERVAL).await;
    }
}

/// Sends one heartbeat to every peer.
pub(crate) fn send_heartbeat<S: Store, T: Target>(entry: &Entry<S, T>) {
    let pools = owned_pool_statuses(entry);
    let draining = draining_targets(entry);
    let mut peers = lock(&entry.peers);
    if entry.is_leaving() {
        peers.roster.set_leaving();
    }
    peers.record_pool_statuses(clock::now(), &pools);
    peers.send_heartbeat(entry.is_leaving(), pools, draining, entry.ledger.epoch());
    let ready_peers = peers.roster.ready_entries(clock::now()).count().saturating_sub(1);
    entry.metrics.peers.set(ready_peers as i64);
    entry.metrics.peer_bytes.set(peers.transferred_bytes() as i64);
}

/// The leaving targets at which this entry has requests in flight.
fn draining_targets<S: Store, T: Target>(entry: &Entry<S, T>) -> Vec<DrainingTarget> {
    let counts = entry.pools().into_iter().flat_map(|(_, driver)| driver.draining());
    let counts: Vec<_> = counts.collect();
    let names = lock(&entry.names);
    let draining = counts.into_iter().filter_map(|(target, in_flight)| {
        Some(DrainingTarget { target: names.targets.name(target)?.to_owned(), in_flight })
    });
    draining.collect()
}

/// The status of each pool that this entry owns.
fn owned_pool_statuses<S: Store, T: Target>(entry: &Entry<S, T>) -> Vec<PoolStatus> {
    let Ok(view) = entry.view() else { return Vec::new() };
    let Some(region) = view.region_of(&entry.settings.data_centre) else { return Vec::new() };
    let mut pools = entry.pools();
    {
        let peers = lock(&entry.peers);
        pools.retain(|(service, _)| {
            let service = view.document.service(service);
            service.is_some_and(|id| peers.is_owner(clock::now(), view.pool_key(id, region)))
        });
    }
    let statuses = pools.into_iter().map(|(service, driver)| PoolStatus {
        service,
        region: view.document.regions[region].name.clone(),
        free: driver.free_slots(),
        queued: driver.queued(),
    });
    statuses.collect()
}

/// Requests the load of the targets of each pool that this entry owns or has requests in.
pub(crate) async fn poll_loads<S: Store, T: Target>(entry: Arc<Entry<S, T>>) {
    loop {
        for (service, driver) in entry.pools() {
            let gauge = entry.metrics.free_slots.get_or_create(&ServiceLabels { service });
            gauge.set(i64::from(driver.free_slots()));
        }
        let owned = owned_pool_statuses(&entry);
        for (service, driver) in entry.pools() {
            let is_owned = owned.iter().any(|pool| pool.service == service);
            driver.set_shared(
                !is_owned || entry.ledger.has_outstanding_credit(clock::now(), &service),
            );
            if !is_owned && driver.len() == 0 {
                continue;
            }
            for (target, address) in driver.targets() {
                smol::spawn(read_load(entry.clone(), driver.clone(), target, address)).detach();
            }
        }
        Timer::after(LOAD_INTERVAL).await;
    }
}

async fn read_load<S: Store, T: Target>(
    entry: Arc<Entry<S, T>>,
    driver: Arc<Driver<T>>,
    target: TargetId,
    address: SocketAddr,
) {
    match entry.target.load(address).await {
        Some(load) => {
            if driver.handle_load(target, load) {
                emit(Event::TargetLeaving, format_args!("{address} reports that it is leaving"));
            }
        }
        None => {
            let failures = entry.metrics.load_failures.inc() + 1;
            // Logged at exponentially growing counts, so that an outage does not flood the log.
            if failures.is_power_of_two() {
                emit(
                    Event::LoadUnavailable,
                    format_args!("{address}; {failures} failures at all targets"),
                );
            }
        }
    }
}

/// The targets of this entry's region in the VM list.
fn local_targets<S: Store, T: Target>(entry: &Entry<S, T>) -> Vec<Vm> {
    let Ok(view) = entry.view() else { return Vec::new() };
    let region = view.region_of(&entry.settings.data_centre);
    let vms = entry.vms.load();
    let is_local = |vm: &&Vm| {
        vm.role == Role::Target && region.is_some() && view.region_of(&vm.data_centre) == region
    };
    vms.iter().filter(is_local).cloned().collect()
}

/// Updates the targets of the pools from the VM list and the policy.
pub(crate) fn refresh_targets<S: Store, T: Target>(entry: &Arc<Entry<S, T>>) {
    let Ok(view) = entry.view() else { return };
    let now_s = clock::unix_s();
    let mut listed = HashSet::new();
    for vm in local_targets(entry) {
        let Some(service) = vm.service.as_ref().filter(|name| view.has_service(name)) else {
            continue;
        };
        let known = view.document.target(&vm.name);
        let is_drained = known.is_some_and(|target| view.document.is_drained(target, now_s));
        let is_leaving = vm.state == Lifecycle::Leaving || is_drained;
        let state = if is_leaving { State::Leaving } else { State::Ready };
        let slots = vm.slots.or(known.map(|target| view.document.targets[target].slots));
        let target = lock(&entry.names).targets.intern(&vm.name);
        listed.insert(target);
        let spec = Spec { slots: slots.unwrap_or(1), state };
        let is_distant = vm.data_centre != entry.settings.data_centre;
        if entry.pool(service).set_target(target, vm.address, spec, is_distant) {
            let event = if is_leaving { Event::TargetLeaving } else { Event::TargetAdded };
            emit(event, format_args!("{} at {}", vm.name, vm.address));
        }
    }
    for (service, driver) in entry.pools() {
        let removed = driver.retain_targets(&listed);
        if removed > 0 {
            emit(Event::TargetRemoved, format_args!("{removed} targets of {service}"));
        }
    }
}
