//! Stepwise execution of planned traffic shifts.
//!
//! The steward moves each shift towards the percentage in the policy document in steps, and writes
//! the result to the store under `plan/current`. A step moves at most `max_step_percent` of a
//! service's traffic in a region, at most once per `step_interval`, and only if the region that
//! receives more traffic has confirmed credit for it. No step is made while measurements are
//! frozen.
//!
//! The interval starts when this process knows that the step is in the stored plan. A steward that
//! has just taken over does not know when the last step was made, so it first waits for a whole
//! interval.

use serde::{Deserialize, Serialize};

use crate::id::{RegionId, ServiceId};
use crate::policy::{Document, Shift, ShiftLimit};
use crate::time::{Instant, Span};

/// The value of the store object `plan/current`.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Plan {
    /// The epoch of the steward that wrote it.
    pub epoch: u64,
    /// The shifts in force.
    pub steps: Vec<Step>,
}

/// The part of a region's traffic of one service that is served by another region.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// The service's name.
    pub service: String,
    /// The name of the region that the traffic comes from.
    pub from: String,
    /// The name of the region that serves it.
    pub to: String,
    /// The percentage of the traffic.
    pub percent: u32,
}

/// A change of the percentage of one shift.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Change {
    /// The service.
    pub service: ServiceId,
    /// The region that the traffic comes from.
    pub from: RegionId,
    /// The region that serves it.
    pub to: RegionId,
    /// The percentage before the change.
    pub before: u32,
    /// The percentage after the change.
    pub after: u32,
}

impl Change {
    /// The region that receives more traffic and whose credit must cover the change.
    pub const fn receiving_region(&self) -> RegionId {
        if self.after > self.before { self.to } else { self.from }
    }

    /// The percentage of the traffic that moves.
    pub const fn percent(&self) -> u32 {
        self.after.abs_diff(self.before)
    }
}

/// A shift in force.
#[derive(Debug, Clone, Copy)]
struct ActiveShift {
    service: ServiceId,
    from: RegionId,
    to: RegionId,
    percent: u32,
}

/// Plans the next steps from the stored plan and the policy document.
#[derive(Debug)]
pub struct Planner {
    active: Vec<ActiveShift>,
    /// When each region's traffic of a service last moved; `loaded_at` counts for all others.
    last_changes: Vec<(ServiceId, RegionId, Instant)>,
    loaded_at: Instant,
}

impl Planner {
    /// A planner for the stored `plan`. Shifts with names that `document` does not contain are
    /// dropped, because nothing can be served there any more.
    pub fn new(now: Instant, plan: &Plan, document: &Document) -> Planner {
        let active = plan.steps.iter().filter_map(|step| {
            Some(ActiveShift {
                service: document.service(&step.service)?,
                from: document.region(&step.from)?,
                to: document.region(&step.to)?,
                percent: step.percent,
            })
        });
        Planner { active: active.collect(), last_changes: Vec::new(), loaded_at: now }
    }

    /// The next changes at `now`, at most one per service and `from` region, and none while
    /// `is_frozen`. `has_credit` tells whether the confirmed credit of
    /// [`Change::receiving_region`] covers a change. The caller writes [`Planner::plan_with`] under
    /// its lease and then calls [`Planner::confirm_written`]. After a write without a reply, it
    /// reads the plan and creates a new planner.
    pub fn next_changes(
        &self,
        now: Instant,
        document: &Document,
        is_frozen: bool,
        mut has_credit: impl FnMut(&Change) -> bool,
    ) -> Vec<Change> {
        let mut changes: Vec<Change> = Vec::new();
        if is_frozen {
            return changes;
        }
        let ShiftLimit { max_step_percent, step_interval } = document.shift_limit;
        for pending in self.pending_changes(document) {
            let has_change = changes
                .iter()
                .any(|other| other.service == pending.service && other.from == pending.from);
            if has_change || !self.is_due(now, step_interval, pending.service, pending.from) {
                continue;
            }
            let next = step_toward(pending.before, pending.after, max_step_percent);
            let change = Change { after: next, ..pending };
            if self.fits_whole_traffic(&change) && has_credit(&change) {
                changes.push(change);
            }
        }
        changes
    }

    /// The plan with `changes` applied, to be written under `epoch`.
    pub fn plan_with(&self, epoch: u64, document: &Document, changes: &[Change]) -> Plan {
        let mut active = self.active.clone();
        apply_changes(&mut active, changes);
        let steps = active.iter().map(|shift| Step {
            service: document.services[shift.service].name.clone(),
            from: document.regions[shift.from].name.clone(),
            to: document.regions[shift.to].name.clone(),
            percent: shift.percent,
        });
        Plan { epoch, steps: steps.collect() }
    }

    /// Records that the plan with `changes` has been stored.
    pub fn confirm_written(&mut self, now: Instant, changes: &[Change]) {
        apply_changes(&mut self.active, changes);
        for change in changes {
            self.last_changes
                .retain(|&(service, from, _)| (service, from) != (change.service, change.from));
            self.last_changes.push((change.service, change.from, now));
        }
    }

    /// The percentage in force, 0 if there is no such shift.
    pub fn percent(&self, service: ServiceId, from: RegionId, to: RegionId) -> u32 {
        let found = self
            .active
            .iter()
            .find(|shift| shift.service == service && shift.from == from && shift.to == to);
        found.map_or(0, |shift| shift.percent)
    }

    /// The full changes from the shifts in force to those of the policy document, reductions first,
    /// so that they make room for increases of the same region.
    fn pending_changes(&self, document: &Document) -> Vec<Change> {
        let policy_percent = |service, from, to| {
            let is_same =
                |shift: &&Shift| shift.service == service && shift.from == from && shift.to == to;
            document.shifts.iter().find(is_same).map_or(0, |shift| shift.percent)
        };
        let active = self.active.iter().map(|shift| Change {
            service: shift.service,
            from: shift.from,
            to: shift.to,
            before: shift.percent,
            after: policy_percent(shift.service, shift.from, shift.to),
        });
        let new_shifts = document.shifts.iter().map(|shift| Change {
            service: shift.service,
            from: shift.from,
            to: shift.to,
            before: self.percent(shift.service, shift.from, shift.to),
            after: shift.percent,
        });
        let mut pending: Vec<Change> =
            active.chain(new_shifts.filter(|change| change.before == 0)).collect();
        pending.retain(|change| change.before != change.after);
        pending.sort_by_key(|change| change.after > change.before);
        pending
    }

    fn is_due(&self, now: Instant, interval: Span, service: ServiceId, from: RegionId) -> bool {
        let last_change = self
            .last_changes
            .iter()
            .find(|&&(moved, region, _)| (moved, region) == (service, from));
        now >= last_change.map_or(self.loaded_at, |&(_, _, at)| at) + interval
    }

    /// Whether the region's shifts sum to at most 100% after `change`.
    fn fits_whole_traffic(&self, change: &Change) -> bool {
        let others = self.active.iter().filter(|shift| {
            shift.service == change.service && shift.from == change.from && shift.to != change.to
        });
        change.after + others.map(|shift| shift.percent).sum::<u32>() <= 100
    }
}

/// `before` moved towards `after` by at most `step`.
fn step_toward(before: u32, after: u32, step: u32) -> u32 {
    if after > before {
        after.min(before.saturating_add(step))
    } else {
        after.max(before.saturating_sub(step))
    }
}

fn apply_changes(active: &mut Vec<ActiveShift>, changes: &[Change]) {
    for change in changes {
        let Change { service, from, to, after, .. } = *change;
        let is_same =
            |shift: &ActiveShift| shift.service == service && shift.from == from && shift.to == to;
        match active.iter_mut().find(|shift| is_same(shift)) {
            Some(shift) => shift.percent = after,
            None => active.push(ActiveShift { service, from, to, percent: after }),
        }
    }
    active.retain(|shift| shift.percent > 0);
}
