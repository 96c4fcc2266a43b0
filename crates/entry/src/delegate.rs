//! Store calls that two entries of each data centre, the delegates, make for the other entries
//! there.
//!
//! The store counts every call against rate limits that grow more slowly than the fleet. So only
//! the delegates, which are the entries that watch the policy, read the VM list and forward it; the
//! first of them writes the data centre's status.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use ebonypass_core::policy;
use ebonypass_core::time::{Instant, Span};
use ebonypass_node::clock;
use ebonypass_node::store::{Error, Store, Vm};
use ebonypass_node::sync::lock;
use ebonypass_node::target::Target;
use ebonypass_node::wire::Frame;
use serde::Serialize;
use smol::Timer;

use crate::state::Entry;
use crate::tasks::{refresh_targets, update_vms};

/// Time between two reads of the VM list by a delegate.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(1);

/// An unchanged list is sent again after this time, for entries that missed it.
const RESEND_INTERVAL: Span = Span::from_secs(5);

/// An entry that got no list for this time reads it from the store. Covers one lost list and the
/// time in which the roster replaces a failed delegate.
const VM_LIST_TIMEOUT: Span = Span::from_secs(12);

/// The store object `status/<data centre>`.
#[derive(Debug, PartialEq, Serialize)]
struct Status {
    /// The number of live entries of the data centre by the policy version they have in force.
    versions: BTreeMap<u64, u32>,
    /// The drains in force.
    draining: Vec<Drain>,
}

/// A drain in force and the requests that it waits for.
#[derive(Debug, PartialEq, Serialize)]
struct Drain {
    /// The name of the data centre or target.
    subject: String,
    /// Requests in flight, 0 when the drain is complete.
    in_flight: u32,
}

/// What a delegate has last sent and written.
#[derive(Debug, Default)]
struct State {
    sent_vms: Vec<Vm>,
    sent_at: Option<Instant>,
    written_status: Option<Status>,
    /// The version of the status object in the store.
    status_version: u64,
}

/// Keeps the VM list up to date, and acts as a delegate while this entry is one.
pub(crate) async fn run<S: Store, T: Target>(entry: Arc<Entry<S, T>>) {
    let mut state = State::default();
    loop {
        let rank = delegate_rank(&entry);
        if rank.is_some() || is_vm_list_stale(&entry) {
            read_vm_list(&entry).await;
        }
        if rank.is_some() {
            forward_vm_list(&entry, &mut state);
        }
        if rank == Some(0) {
            write_status(&entry, &mut state).await;
        }
        // Planned drains begin and end by the clock, also while the list cannot be read.
        refresh_targets(&entry);
        Timer::after(VM_LIST_INTERVAL).await;
    }
}

/// The position of this entry among its data centre's delegates; none if it is not a delegate.
fn delegate_rank<S: Store, T: Target>(entry: &Entry<S, T>) -> Option<usize> {
    let peers = lock(&entry.peers);
    let delegates = peers.roster.watchers(clock::now(), &entry.settings.data_centre);
    delegates.iter().position(|&delegate| delegate == Some(peers.roster.local_entry()))
}

fn is_vm_list_stale<S: Store, T: Target>(entry: &Entry<S, T>) -> bool {
    let updated_at = *lock(&entry.vms_updated_at);
    updated_at.is_none_or(|at| clock::now().since(at) > VM_LIST_TIMEOUT)
}

async fn read_vm_list<S: Store, T: Target>(entry: &Entry<S, T>) {
    match entry.store.vms().await {
        Ok(vms) => {
            entry.record_store_call(true);
            update_vms(entry, vms);
            *lock(&entry.vms_updated_at) = Some(clock::now());
        }
        Err(_) => entry.record_store_call(false),
    }
}

/// Sends the list to the other entries of the data centre, if it has changed or a resend is due.
fn forward_vm_list<S: Store, T: Target>(entry: &Entry<S, T>, state: &mut State) {
    let now = clock::now();
    let vms = entry.vms.load();
    let is_due = state.sent_at.is_none_or(|at| now.since(at) >= RESEND_INTERVAL);
    if !is_due && state.sent_vms == **vms {
        return;
    }
    state.sent_at = Some(now);
    state.sent_vms = vms.to_vec();
    let frame = Frame::Vms(vms.to_vec());
    for link in lock(&entry.peers).links_in(now, &entry.settings.data_centre) {
        link.send(frame.clone());
    }
}

/// Handles a VM list from a delegate of this entry's data centre.
pub(crate) fn handle_vm_list<S: Store, T: Target>(entry: &Arc<Entry<S, T>>, vms: Vec<Vm>) {
    update_vms(entry, vms);
    *lock(&entry.vms_updated_at) = Some(clock::now());
    refresh_targets(entry);
}

/// Writes the data centre's status to the store, if it has changed.
async fn write_status<S: Store, T: Target>(entry: &Entry<S, T>, state: &mut State) {
    let status = current_status(entry);
    if state.written_status.as_ref() == Some(&status) {
        return;
    }
    let key = format!("status/{}", entry.settings.data_centre);
    let Ok(value) = serde_json::to_vec(&status) else { return };
    match entry.store.put(&key, value, state.status_version).await {
        Ok(version) => {
            state.status_version = version;
            state.written_status = Some(status);
        }
        // A former delegate wrote it, or the reply to an earlier write was lost. The object is only
        // information for operators, so the next round may overwrite it.
        Err(Error::Conflict { current }) => state.status_version = current,
        Err(_) => {}
    }
}

fn current_status<S: Store, T: Target>(entry: &Entry<S, T>) -> Status {
    let mut versions = BTreeMap::new();
    for version in lock(&entry.peers).policy_versions_in(clock::now(), &entry.settings.data_centre)
    {
        *versions.entry(version).or_insert(0) += 1;
    }
    Status { versions, draining: active_drains(entry) }
}

/// The drains in force of this data centre and of targets in it.
fn active_drains<S: Store, T: Target>(entry: &Entry<S, T>) -> Vec<Drain> {
    let Ok(view) = entry.view() else { return Vec::new() };
    let document = &view.document;
    let Some(centre) = document.centre(&entry.settings.data_centre) else { return Vec::new() };
    let (now, now_s) = (clock::now(), clock::unix_s());
    let is_local = |drain: &&policy::Drain| match drain.subject {
        policy::Subject::Centre(drained) => drained == centre,
        policy::Subject::Target(target) => document.targets[target].centre == centre,
    };
    let active = document.drains.iter().filter(|drain| drain.is_active(now_s)).filter(is_local);
    let peers = lock(&entry.peers);
    let progress = active.map(|drain| {
        let targets = document.targets.iter();
        let drained = targets.filter(|(target, _)| document.covers(drain.subject, *target));
        let in_flight = drained.map(|(_, target)| peers.in_flight_at(now, &target.name)).sum();
        let subject = match drain.subject {
            policy::Subject::Centre(centre) => document.centres[centre].name.clone(),
            policy::Subject::Target(target) => document.targets[target].name.clone(),
        };
        Drain { subject, in_flight }
    });
    progress.collect()
}
