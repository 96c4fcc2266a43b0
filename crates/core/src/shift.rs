//! Steps of planned traffic shifts.
//!
//! The steward changes each shift towards the percentage of the policy document, a step at a time, and
//! writes the result to the store under `plan/current`. A step changes at most `max_step_percent` of a
//! service's traffic in a region, at most once in `step_interval`, and only if the region that
//! receives more traffic has confirmed credit for it. Nothing changes while measurements are frozen.
//!
//! A step counts from when this process knows that it is in the plan. A steward that has just taken
//! over does not know when the last step was made, so it waits for a whole interval first.

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
    pub steps: Vec<PlannedShift>,
}

/// How much of a region's traffic of one service is served elsewhere.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedShift {
    /// The service's name.
    pub service: String,
    /// The home region's name.
    pub from: String,
    /// The name of the region that serves it.
    pub to: String,
    /// The share in percent.
    pub percent: u32,
}

/// A change of one shift.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShiftChange {
    /// The service.
    pub service: ServiceId,
    /// The home region.
    pub from: RegionId,
    /// The other region.
    pub to: RegionId,
    /// The share before, in percent.
    pub before: u32,
    /// The share after, in percent.
    pub after: u32,
}

impl ShiftChange {
    /// The region that gets more traffic by this move, whose credit has to cover it.
    pub const fn receiving_region(&self) -> RegionId {
        if self.after > self.before { self.to } else { self.from }
    }

    /// The part of the home region's traffic that changes, in percent.
    pub const fn percent(&self) -> u32 {
        self.after.abs_diff(self.before)
    }
}

/// A shift in force.
#[derive(Debug, Clone, Copy)]
struct Standing {
    service: ServiceId,
    from: RegionId,
    to: RegionId,
    percent: u32,
}

/// The steward's view of the plan.
#[derive(Debug)]
pub struct ShiftPlanner {
    standing: Vec<Standing>,
    /// When each region's traffic of a service last moved. Others count from `loaded_at`.
    moved: Vec<(ServiceId, RegionId, Instant)>,
    loaded_at: Instant,
}

impl ShiftPlanner {
    /// The view of a process that has read `plan`. Steps whose names `document` does not have are
    /// dropped, because nothing can be served there any more.
    pub fn new(now: Instant, plan: &Plan, document: &Document) -> ShiftPlanner {
        let standing = plan.steps.iter().filter_map(|step| {
            Some(Standing {
                service: document.service(&step.service)?,
                from: document.region(&step.from)?,
                to: document.region(&step.to)?,
                percent: step.percent,
            })
        });
        ShiftPlanner { standing: standing.collect(), moved: Vec::new(), loaded_at: now }
    }

    /// The next changes at `now`, at most one for each service and home region, and none while
    /// `is_frozen`. `covers` tells whether the confirmed credit of [`ShiftChange::receiving_region`] covers a move.
    /// The caller writes [`ShiftPlanner::plan_with`] under its lease and then calls
    /// [`ShiftPlanner::confirm_written`]; after a write without answer it reads the plan and makes a new
    /// planner.
    pub fn next_changes(
        &self,
        now: Instant,
        document: &Document,
        is_frozen: bool,
        mut covers: impl FnMut(&ShiftChange) -> bool,
    ) -> Vec<ShiftChange> {
        let mut changes: Vec<ShiftChange> = Vec::new();
        if is_frozen {
            return changes;
        }
        let ShiftLimit { max_step_percent, step_interval } = document.shift_limit;
        for wanted in self.wanted(document) {
            let is_taken = changes
                .iter()
                .any(|other| other.service == wanted.service && other.from == wanted.from);
            if is_taken || !self.is_due(now, step_interval, wanted.service, wanted.from) {
                continue;
            }
            let next = toward(wanted.before, wanted.after, max_step_percent);
            let one = ShiftChange { after: next, ..wanted };
            if self.is_within(&one) && covers(&one) {
                changes.push(one);
            }
        }
        changes
    }

    /// The plan after `changes`, written under `epoch`.
    pub fn plan_with(&self, epoch: u64, document: &Document, changes: &[ShiftChange]) -> Plan {
        let mut standing = self.standing.clone();
        apply(&mut standing, changes);
        let steps = standing.iter().map(|shift| PlannedShift {
            service: document.services[shift.service].name.clone(),
            from: document.regions[shift.from].name.clone(),
            to: document.regions[shift.to].name.clone(),
            percent: shift.percent,
        });
        Plan { epoch, steps: steps.collect() }
    }

    /// Takes in that the plan with `changes` is in the store.
    pub fn confirm_written(&mut self, now: Instant, changes: &[ShiftChange]) {
        apply(&mut self.standing, changes);
        for one in changes {
            self.moved.retain(|&(service, from, _)| (service, from) != (one.service, one.from));
            self.moved.push((one.service, one.from, now));
        }
    }

    /// The percentage that is in force.
    pub fn percent(&self, service: ServiceId, from: RegionId, to: RegionId) -> u32 {
        let found = self
            .standing
            .iter()
            .find(|shift| shift.service == service && shift.from == from && shift.to == to);
        found.map_or(0, |shift| shift.percent)
    }

    /// The whole way from what is in force to what the policy asks for, reductions first, so that
    /// they make room for increases of the same region.
    fn wanted(&self, document: &Document) -> Vec<ShiftChange> {
        let goal = |service, from, to| {
            let is_same =
                |shift: &&Shift| shift.service == service && shift.from == from && shift.to == to;
            document.shifts.iter().find(is_same).map_or(0, |shift| shift.percent)
        };
        let standing = self.standing.iter().map(|shift| ShiftChange {
            service: shift.service,
            from: shift.from,
            to: shift.to,
            before: shift.percent,
            after: goal(shift.service, shift.from, shift.to),
        });
        let fresh = document.shifts.iter().map(|shift| ShiftChange {
            service: shift.service,
            from: shift.from,
            to: shift.to,
            before: self.percent(shift.service, shift.from, shift.to),
            after: shift.percent,
        });
        let mut wanted: Vec<ShiftChange> =
            standing.chain(fresh.filter(|one| one.before == 0)).collect();
        wanted.retain(|one| one.before != one.after);
        wanted.sort_by_key(|one| one.after > one.before);
        wanted
    }

    fn is_due(&self, now: Instant, interval: Span, service: ServiceId, from: RegionId) -> bool {
        let moved = self.moved.iter().find(|&&(one, region, _)| (one, region) == (service, from));
        now >= moved.map_or(self.loaded_at, |&(_, _, at)| at) + interval
    }

    /// Whether no more than the whole of the home region's traffic is elsewhere after `one`.
    fn is_within(&self, one: &ShiftChange) -> bool {
        let others = self.standing.iter().filter(|shift| {
            shift.service == one.service && shift.from == one.from && shift.to != one.to
        });
        one.after + others.map(|shift| shift.percent).sum::<u32>() <= 100
    }
}

/// `before` moved by at most `step` in the direction of `after`.
fn toward(before: u32, after: u32, step: u32) -> u32 {
    if after > before {
        after.min(before.saturating_add(step))
    } else {
        after.max(before.saturating_sub(step))
    }
}

fn apply(standing: &mut Vec<Standing>, changes: &[ShiftChange]) {
    for one in changes {
        let ShiftChange { service, from, to, after, .. } = *one;
        let is_same =
            |shift: &Standing| shift.service == service && shift.from == from && shift.to == to;
        match standing.iter_mut().find(|shift| is_same(shift)) {
            Some(shift) => shift.percent = after,
            None => standing.push(Standing { service, from, to, percent: after }),
        }
    }
    standing.retain(|shift| shift.percent > 0);
}
