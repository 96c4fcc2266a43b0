//! Checks of a policy document that look at several entries at once.

use crate::fault::FaultCode;
use crate::id::{RegionId, ServiceId, TargetId};
use crate::parse::Scan;
use crate::policy::{Document, Drain};

/// Adds the faults that only the whole document shows.
pub(crate) fn check_document(scan: &mut Scan<'_>) {
    check_shifts(scan);
    check_drains(scan);
    check_blocks(scan);
}

fn check_shifts(scan: &mut Scan<'_>) {
    for index in 0..scan.document.shifts.len() {
        let shift = scan.document.shifts[index];
        let at = scan.shifts_at[index];
        if scan.document.link(shift.from, shift.to).is_none() {
            let hint = "add a [[link]] from the one region to the other";
            scan.fault(at, FaultCode::MissingLink, "no link joins the regions of the shift", hint);
        }
        let before = shifted_percent(&scan.document, index, shift.service, shift.from);
        if before + shift.percent > 100 {
            let hint = "the shifts of one service and region may sum to 100 at most";
            scan.fault(at, FaultCode::ShiftTooLarge, "more than the whole region is shifted", hint);
        }
    }
}

/// The percentage that the shifts before `index` move away from `from`.
fn shifted_percent(document: &Document, index: usize, service: ServiceId, from: RegionId) -> u32 {
    let earlier = &document.shifts[..index];
    let same = earlier.iter().filter(|shift| shift.service == service && shift.from == from);
    same.map(|shift| shift.percent).sum()
}

fn check_drains(scan: &mut Scan<'_>) {
    for index in 0..scan.document.drains.len() {
        // Drains only begin to overlap at the start of one of them.
        let drain = scan.document.drains[index];
        let Some(service) = emptied_service(&scan.document, &drain) else { continue };
        let name = &scan.document.services[service].name;
        let message = format!("service `{name}` has no target left at the start of this drain");
        let hint = "move the drains apart or keep a target";
        scan.fault(scan.drains_at[index], FaultCode::NoTargetLeft, message, hint);
    }
}

/// A service all of whose targets are drained at the start of `drain`, at least one by it.
fn emptied_service(document: &Document, drain: &Drain) -> Option<ServiceId> {
    let is_touched = |target: TargetId| document.covers(drain.subject, target);
    document.services.iter().map(|(service, _)| service).find(|&service| {
        let targets = document.targets.iter().filter(|(_, target)| target.service == service);
        let targets: Vec<TargetId> = targets.map(|(target, _)| target).collect();
        targets.iter().any(|&target| is_touched(target))
            && targets.iter().all(|&target| document.is_drained(target, drain.from_s))
    })
}

fn check_blocks(scan: &mut Scan<'_>) {
    let mut seen = rustc_hash::FxHashSet::default();
    let blocks = scan.document.blocks.clone();
    for (index, block) in blocks.iter().enumerate() {
        if !seen.insert((block.network, block.prefix)) {
            let message = format!("block {}/{} stands twice", block.network, block.prefix);
            scan.fault(scan.blocks_at[index], FaultCode::Duplicate, message, "remove one of them");
        }
    }
}
