//! The steward: one entry, elected by a lease in the store, that applies planned traffic shifts
//! step by step.

use std::sync::Arc;
use std::time::Duration;

use ebonypass_core::lease::{Action, Lease, Record};
use ebonypass_core::object::{ReadReply, Versioned, WriteReply};
use ebonypass_core::shift::{self, Plan};
use ebonypass_core::time::Instant;
use ebonypass_node::clock;
use ebonypass_node::event::{Event, emit};
use ebonypass_node::store::{PLAN_KEY, STEWARD_KEY, Store, Vm};
use ebonypass_node::sync::lock;
use ebonypass_node::target::Target;
use smol::Timer;

use crate::peers::Peers;
use crate::seats::{read_object, write_object};
use crate::state::Entry;
use crate::view::View;

/// Time between two checks for actions that are due.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The plan as last read from or written to the store.
struct State {
    /// The epoch of the lease under which the plan was read.
    epoch: u64,
    /// The version of the plan in the store.
    plan_version: u64,
    /// The policy version for which the plan was read.
    policy_version: u64,
    planner: shift::Planner,
}

/// Acquires and renews the lease, and applies the steps that are due while it is held.
pub(crate) async fn run<S: Store, T: Target>(entry: Arc<Entry<S, T>>) {
    let mut lease = Lease::new(entry.process.clone());
    let mut plan_state = None;
    let mut previous_epoch = None;
    loop {
        if entry.is_leaving() {
            lease.release(clock::now());
        }
        let is_watcher = lock(&entry.peers).is_watcher(clock::now());
        lease.set_candidate(is_watcher && !entry.is_leaving());
        advance_lease(&entry, &mut lease).await;
        let epoch = lease.epoch(clock::now());
        report_epoch(&entry, previous_epoch, epoch);
        previous_epoch = epoch;
        match epoch {
            Some(epoch) => apply_due_steps(&entry, &lease, epoch, &mut plan_state).await,
            None => plan_state = None,
        }
        Timer::after(POLL_INTERVAL).await;
    }
}

/// Sets the metric and logs when the lease was acquired or lost.
fn report_epoch<S: Store, T: Target>(
    entry: &Entry<S, T>,
    previous: Option<u64>,
    current: Option<u64>,
) {
    entry.metrics.steward.set(i64::from(current.is_some()));
    match (previous, current) {
        (previous, Some(epoch)) if previous != current => {
            emit(Event::LeaseAcquired, format_args!("epoch {epoch}"));
        }
        (Some(epoch), None) => emit(Event::LeaseLost, format_args!("epoch {epoch}")),
        _ => {}
    }
}

/// Makes the store call that the lease needs next, if any.
async fn advance_lease<S: Store, T: Target>(entry: &Entry<S, T>, lease: &mut Lease) {
    match lease.next_action(clock::now()) {
        Some(Action::Read) => {
            let reply: ReadReply<Record> = read_object(&entry.store, STEWARD_KEY).await;
            lease.handle_read(clock::now(), reply);
        }
        Some(Action::Write { if_version, record }) => {
            let reply = write_object(&entry.store, STEWARD_KEY, &record, if_version).await;
            lease.handle_write(clock::now(), reply);
        }
        None => {}
    }
}

/// Writes a plan with the steps that are due.
async fn apply_due_steps<S: Store, T: Target>(
    entry: &Entry<S, T>,
    lease: &Lease,
    epoch: u64,
    plan_state: &mut Option<State>,
) {
    let Ok(view) = entry.view() else { return };
    let is_current = |state: &State| state.epoch == epoch && state.policy_version == view.version;
    if !plan_state.as_ref().is_some_and(is_current) {
        *plan_state = read_plan(entry, &view, epoch).await;
    }
    let Some(state) = plan_state else { return };
    let changes = due_changes(entry, &view, &state.planner);
    // The lease may have expired while the plan was read.
    if changes.is_empty() || lease.epoch(clock::now()) != Some(epoch) {
        return;
    }
    let plan = state.planner.plan_with(epoch, &view.document, &changes);
    match write_object(&entry.store, PLAN_KEY, &plan, state.plan_version).await {
        WriteReply::Written(version) => {
            state.plan_version = version;
            state.planner.confirm_written(clock::now(), &changes);
            entry.ledger.accept_plan(plan);
            for change in &changes {
                log_change(&view, change);
            }
        }
        // Another process has written the plan, or this write may have taken effect: read it again.
        WriteReply::Conflict(_) | WriteReply::NoReply => *plan_state = None,
    }
}

async fn read_plan<S: Store, T: Target>(
    entry: &Entry<S, T>,
    view: &View,
    epoch: u64,
) -> Option<State> {
    let (version, plan) = match read_object::<Plan>(&entry.store, PLAN_KEY).await {
        ReadReply::Found(Versioned { version, value }) => (version, value),
        ReadReply::Absent => (0, Plan::default()),
        ReadReply::NoReply => return None,
    };
    let planner = shift::Planner::new(clock::now(), &plan, &view.document);
    Some(State { epoch, plan_version: version, policy_version: view.version, planner })
}

/// The changes of the planned shifts that are due and for which the receiving region has capacity.
fn due_changes<S: Store, T: Target>(
    entry: &Entry<S, T>,
    view: &View,
    planner: &shift::Planner,
) -> Vec<shift::Change> {
    let now = clock::now();
    let vms = entry.vms.load();
    let mut peers = lock(&entry.peers);
    let is_frozen = peers.is_frozen(now);
    planner.next_changes(now, &view.document, is_frozen, |change| {
        has_capacity(&peers, &vms, now, view, change)
    })
}

/// Whether the free slots that the owner of the receiving pool reports cover the moved traffic.
fn has_capacity(
    peers: &Peers,
    vms: &[Vm],
    now: Instant,
    view: &View,
    change: &shift::Change,
) -> bool {
    let service = view.document.services[change.service].name.as_str();
    let free_slots = |region| {
        let region = &view.document.regions[region].name;
        peers.pool_status(now, service, region).map(|status| status.free)
    };
    let Some(available) = free_slots(change.receiving_region()) else { return false };
    let from_targets = vms.iter().filter(|vm| {
        vm.service.as_deref() == Some(service)
            && view.region_of(&vm.data_centre) == Some(change.from)
    });
    let slots: u32 = from_targets.map(|vm| vm.slots.unwrap_or(1)).sum();
    // Slots that are not reported to be free count as busy.
    let busy = slots.saturating_sub(free_slots(change.from).unwrap_or(0));
    available >= (busy * change.percent()).div_ceil(100).max(1)
}

fn log_change(view: &View, change: &shift::Change) {
    let service = &view.document.services[change.service].name;
    let (from, to) =
        (&view.document.regions[change.from].name, &view.document.regions[change.to].name);
    let (before, after) = (change.before, change.after);
    emit(Event::StepApplied, format_args!("{service} {from} to {to}: {before} to {after} percent"));
}
