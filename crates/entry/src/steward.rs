//! The steward role: the lease, and the steps of planned shifts.

use std::sync::Arc;
use std::time::Duration;

use ebonypass_core::lease::{Action, Lease, Record};
use ebonypass_core::object::{ReadReply, Versioned, WriteReply};
use ebonypass_core::shift::{self, Plan};
use ebonypass_core::time::Instant;
use ebonypass_node::clock;
use ebonypass_node::event::{Event, note};
use ebonypass_node::store::{PLAN_KEY, STEWARD_KEY, Store, Vm};
use ebonypass_node::sync::lock;
use ebonypass_node::target::Target;
use smol::Timer;

use crate::members::Members;
use crate::seats::{read_object, write_object};
use crate::state::Entry;
use crate::view::View;

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(100);

/// The plan as the steward knows it.
struct Work {
    /// The epoch of the lease under which it was read.
    epoch: u64,
    /// The store's version of the plan.
    version: u64,
    /// The policy version for which it was read.
    policy: u64,
    stepper: shift::Planner,
}

/// Holds the lease when it can, and makes the steps while it does.
pub(crate) async fn hold<S: Store, T: Target>(entry: Arc<Entry<S, T>>) {
    let mut lease = Lease::new(entry.process.clone());
    let mut work = None;
    let mut held = None;
    loop {
        if entry.is_leaving() {
            lease.release(clock::now());
        }
        let is_watcher = lock(&entry.members).is_watcher(clock::now());
        lease.set_candidate(is_watcher && !entry.is_leaving());
        keep(&entry, &mut lease).await;
        let epoch = lease.epoch(clock::now());
        note_change(&entry, held, epoch);
        held = epoch;
        match epoch {
            Some(epoch) => step(&entry, &lease, epoch, &mut work).await,
            None => work = None,
        }
        Timer::after(TICK).await;
    }
}

fn note_change<S: Store, T: Target>(entry: &Entry<S, T>, before: Option<u64>, now: Option<u64>) {
    entry.gauges.steward.set(i64::from(now.is_some()));
    match (before, now) {
        (before, Some(epoch)) if before != now => {
            note(Event::LeaseHeld, format_args!("epoch {epoch}"));
        }
        (Some(epoch), None) => note(Event::LeaseLost, format_args!("epoch {epoch}")),
        _ => {}
    }
}

async fn keep<S: Store, T: Target>(entry: &Entry<S, T>, lease: &mut Lease) {
    match lease.next_action(clock::now()) {
        Some(Action::Read) => {
            let read: ReadReply<Record> = read_object(&entry.store, STEWARD_KEY).await;
            lease.handle_read(clock::now(), read);
        }
        Some(Action::Write { if_version, record }) => {
            let reply = write_object(&entry.store, STEWARD_KEY, &record, if_version).await;
            lease.handle_write(clock::now(), reply);
        }
        None => {}
    }
}

/// Makes the steps that are due.
async fn step<S: Store, T: Target>(
    entry: &Entry<S, T>,
    lease: &Lease,
    epoch: u64,
    work: &mut Option<Work>,
) {
    let Ok(view) = entry.view() else { return };
    let is_current = |known: &Work| known.epoch == epoch && known.policy == view.version;
    if !work.as_ref().is_some_and(is_current) {
        *work = read_plan(entry, &view, epoch).await;
    }
    let Some(known) = work else { return };
    let moves = due_moves(entry, &view, &known.stepper);
    // The lease is looked at again right before the effect.
    if moves.is_empty() || lease.epoch(clock::now()) != Some(epoch) {
        return;
    }
    let plan = known.stepper.plan_with(epoch, &view.document, &moves);
    match write_object(&entry.store, PLAN_KEY, &plan, known.version).await {
        WriteReply::Written(version) => {
            known.version = version;
            known.stepper.confirm_written(clock::now(), &moves);
            entry.afar.note_plan(plan);
            for one in &moves {
                note_step(&view, one);
            }
        }
        // What is in the store is not known any more.
        WriteReply::Conflict(_) | WriteReply::NoReply => *work = None,
    }
}

async fn read_plan<S: Store, T: Target>(
    entry: &Entry<S, T>,
    view: &View,
    epoch: u64,
) -> Option<Work> {
    let (version, plan) = match read_object::<Plan>(&entry.store, PLAN_KEY).await {
        ReadReply::Found(Versioned { version, value }) => (version, value),
        ReadReply::Absent => (0, Plan::default()),
        ReadReply::NoReply => return None,
    };
    let stepper = shift::Planner::new(clock::now(), &plan, &view.document);
    Some(Work { epoch, version, policy: view.version, stepper })
}

fn due_moves<S: Store, T: Target>(
    entry: &Entry<S, T>,
    view: &View,
    stepper: &shift::Planner,
) -> Vec<shift::Change> {
    let now = clock::now();
    let vms = entry.vms.load();
    let mut members = lock(&entry.members);
    let is_frozen = members.is_frozen(now);
    stepper
        .next_changes(now, &view.document, is_frozen, |one| covers(&members, &vms, now, view, one))
}

/// Whether the free slots that the receiving pool's owner confirms cover the traffic that moves.
fn covers(members: &Members, vms: &[Vm], now: Instant, view: &View, one: &shift::Change) -> bool {
    let service = view.document.services[one.service].name.as_str();
    let free = |region| {
        let region = &view.document.regions[region].name;
        members.pool_status(now, service, region).map(|status| status.free)
    };
    let Some(room) = free(one.receiving_region()) else { return false };
    let home = vms.iter().filter(|vm| {
        vm.service.as_deref() == Some(service) && view.region_of(&vm.data_centre) == Some(one.from)
    });
    let slots: u32 = home.map(|vm| vm.slots.unwrap_or(1)).sum();
    // Slots that are not confirmed to be free count as busy.
    let busy = slots.saturating_sub(free(one.from).unwrap_or(0));
    room >= (busy * one.percent()).div_ceil(100).max(1)
}

fn note_step(view: &View, one: &shift::Change) {
    let service = &view.document.services[one.service].name;
    let (from, to) = (&view.document.regions[one.from].name, &view.document.regions[one.to].name);
    let (before, after) = (one.before, one.after);
    note(Event::StepMade, format_args!("{service} {from} to {to}: {before} to {after} percent"));
}
