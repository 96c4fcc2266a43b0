//! Work that two entries of each data centre do for the others there.
//!
//! The store counts every call, and its rates grow more slowly than the fleet. So only the
//! delegates, which are the watchers of the policy, read the VM list and pass it on; the first of
//! them writes the data centre's status.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use ebonypass_core::policy::{self, Drain};
use ebonypass_core::time::{Instant, Span};
use ebonypass_node::clock;
use ebonypass_node::store::{Error, Store, Vm};
use ebonypass_node::sync::lock;
use ebonypass_node::target::Target;
use ebonypass_node::wire::Frame;
use serde::Serialize;
use smol::Timer;

use crate::state::Entry;
use crate::tasks::{note_vms, refresh_targets};

/// Time between two readings of the VM list by a delegate.
const VM_INTERVAL: Duration = Duration::from_secs(1);

/// An unchanged list is passed on again after this time, for entries that missed it.
const REPEAT: Span = Span::from_secs(5);

/// Without a list for this time an entry reads it itself. Covers one lost list and the time in
/// which the roster replaces a dead delegate.
const PATIENCE: Span = Span::from_secs(12);

/// The store object `status/<data centre>`.
#[derive(Debug, PartialEq, Serialize)]
struct Report {
    /// Live entries of the data centre by the policy version that they have in force.
    versions: BTreeMap<u64, u32>,
    /// Drains in force and the requests for which they wait.
    draining: Vec<Wait>,
}

/// A drain in force.
#[derive(Debug, PartialEq, Serialize)]
struct Wait {
    /// The data centre or the target.
    subject: String,
    /// Requests in flight, 0 when the drain is done.
    in_flight: u32,
}

/// What a delegate remembers from one round to the next.
#[derive(Debug, Default)]
struct Memory {
    passed_on: Vec<Vm>,
    passed_at: Option<Instant>,
    reported: Option<Report>,
    status_version: u64,
}

/// Follows the VM list, and acts as a delegate while this entry is one.
pub(crate) async fn run<S: Store, T: Target>(entry: Arc<Entry<S, T>>) {
    let mut memory = Memory::default();
    loop {
        let rank = rank(&entry);
        if rank.is_some() || is_list_old(&entry) {
            read_list(&entry).await;
        }
        if rank.is_some() {
            pass_on(&entry, &mut memory);
        }
        if rank == Some(0) {
            write_status(&entry, &mut memory).await;
        }
        // Planned drains begin and end by the clock, also while the list cannot be read.
        refresh_targets(&entry);
        Timer::after(VM_INTERVAL).await;
    }
}

/// The position of this entry among its data centre's delegates.
fn rank<S: Store, T: Target>(entry: &Entry<S, T>) -> Option<usize> {
    let members = lock(&entry.members);
    let delegates = members.roster.watchers(clock::now(), &entry.settings.data_centre);
    delegates.iter().position(|&delegate| delegate == Some(members.roster.local_entry()))
}

fn is_list_old<S: Store, T: Target>(entry: &Entry<S, T>) -> bool {
    let heard_at = *lock(&entry.vms_at);
    heard_at.is_none_or(|at| clock::now().since(at) > PATIENCE)
}

async fn read_list<S: Store, T: Target>(entry: &Entry<S, T>) {
    match entry.store.vms().await {
        Ok(vms) => {
            entry.note_store(true);
            note_vms(entry, vms);
            *lock(&entry.vms_at) = Some(clock::now());
        }
        Err(_) => entry.note_store(false),
    }
}

/// Passes the list on to the entries of the data centre.
fn pass_on<S: Store, T: Target>(entry: &Entry<S, T>, memory: &mut Memory) {
    let now = clock::now();
    let vms = entry.vms.load();
    let is_due = memory.passed_at.is_none_or(|at| now.since(at) >= REPEAT);
    if !is_due && memory.passed_on == **vms {
        return;
    }
    memory.passed_at = Some(now);
    memory.passed_on = vms.to_vec();
    let frame = Frame::Vms(vms.to_vec());
    for link in lock(&entry.members).links_in(now, &entry.settings.data_centre) {
        link.send(frame.clone());
    }
}

/// Takes in a list from a delegate of the own data centre.
pub(crate) fn note_list<S: Store, T: Target>(entry: &Arc<Entry<S, T>>, vms: Vec<Vm>) {
    note_vms(entry, vms);
    *lock(&entry.vms_at) = Some(clock::now());
    refresh_targets(entry);
}

/// Writes how many entries have which version, if that has changed.
async fn write_status<S: Store, T: Target>(entry: &Entry<S, T>, memory: &mut Memory) {
    let report = report(entry);
    if memory.reported.as_ref() == Some(&report) {
        return;
    }
    let key = format!("status/{}", entry.settings.data_centre);
    let Ok(value) = serde_json::to_vec(&report) else { return };
    match entry.store.put(&key, value, memory.status_version).await {
        Ok(version) => {
            memory.status_version = version;
            memory.reported = Some(report);
        }
        // An earlier delegate wrote it, or the reply to an earlier write was lost. The object only
        // informs operators, so the next round may replace it.
        Err(Error::Conflict { current }) => memory.status_version = current,
        Err(_) => {}
    }
}

fn report<S: Store, T: Target>(entry: &Entry<S, T>) -> Report {
    let mut versions = BTreeMap::new();
    for version in lock(&entry.members).versions_in(clock::now(), &entry.settings.data_centre) {
        *versions.entry(version).or_insert(0) += 1;
    }
    Report { versions, draining: draining(entry) }
}

/// The drains in force of targets of the own data centre.
fn draining<S: Store, T: Target>(entry: &Entry<S, T>) -> Vec<Wait> {
    let Ok(view) = entry.view() else { return Vec::new() };
    let document = &view.document;
    let Some(centre) = document.centre(&entry.settings.data_centre) else { return Vec::new() };
    let (now, now_s) = (clock::now(), clock::unix_s());
    let is_near = |drain: &&Drain| match drain.subject {
        policy::Subject::Centre(drained) => drained == centre,
        policy::Subject::Target(target) => document.targets[target].centre == centre,
    };
    let active = document.drains.iter().filter(|drain| drain.is_active(now_s)).filter(is_near);
    let members = lock(&entry.members);
    let waits = active.map(|drain| {
        let targets = document.targets.iter();
        let drained = targets.filter(|(target, _)| document.covers(drain.subject, *target));
        let in_flight = drained.map(|(_, target)| members.in_flight_at(now, &target.name)).sum();
        let subject = match drain.subject {
            policy::Subject::Centre(centre) => document.centres[centre].name.clone(),
            policy::Subject::Target(target) => document.targets[target].name.clone(),
        };
        Wait { subject, in_flight }
    });
    waits.collect()
}
