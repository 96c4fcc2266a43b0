//! Checks of a policy document that involve several of its tables.

use crate::fault;
use crate::id::{RegionId, ServiceId, TargetId};
use crate::policy::{Document, Drain};
use crate::scan::Scanner;

/// Reports faults that no table shows by itself.
pub(crate) fn check_document(scanner: &mut Scanner<'_>) {
    check_shifts(scanner);
    check_drains(scanner);
    check_blocks(scanner);
}

fn check_shifts(scanner: &mut Scanner<'_>) {
    for index in 0..scanner.document.shifts.len() {
        let shift = scanner.document.shifts[index];
        let offset = scanner.shift_offsets[index];
        if scanner.document.link(shift.from, shift.to).is_none() {
            let hint = "add a [[link]] between these regions, in this direction";
            scanner.report(
                offset,
                fault::Code::MissingLink,
                "no link connects the regions of the shift",
                hint,
            );
        }
        let already_shifted = shifted_percent(&scanner.document, index, shift.service, shift.from);
        if already_shifted + shift.percent > 100 {
            let hint = "the shifts of one service out of one region may total at most 100 percent";
            scanner.report(
                offset,
                fault::Code::ShiftTooLarge,
                "the shifts of the service out of this region exceed 100 percent",
                hint,
            );
        }
    }
}

/// The total percentage of `service` that its shifts before `index` in the document move out of
/// `from`.
fn shifted_percent(document: &Document, index: usize, service: ServiceId, from: RegionId) -> u32 {
    let earlier = &document.shifts[..index];
    let matching = earlier.iter().filter(|shift| shift.service == service && shift.from == from);
    matching.map(|shift| shift.percent).sum()
}

fn check_drains(scanner: &mut Scanner<'_>) {
    for index in 0..scanner.document.drains.len() {
        // Targets become drained only when a drain starts, so it is enough to check each start.
        let drain = scanner.document.drains[index];
        let Some(service) = drained_service(&scanner.document, &drain) else { continue };
        let name = &scanner.document.services[service].name;
        let message = format!("service `{name}` has no available target when this drain starts");
        let hint = "change the times so that a target stays available";
        scanner.report(scanner.drain_offsets[index], fault::Code::NoTargetLeft, message, hint);
    }
}

/// Finds a service whose targets are all drained at the start of `drain`, at least one of them by
/// `drain` itself.
fn drained_service(document: &Document, drain: &Drain) -> Option<ServiceId> {
    let is_covered = |target: TargetId| document.covers(drain.subject, target);
    document.services.iter().map(|(service, _)| service).find(|&service| {
        let targets = document.targets.iter().filter(|(_, target)| target.service == service);
        let targets: Vec<TargetId> = targets.map(|(target, _)| target).collect();
        targets.iter().any(|&target| is_covered(target))
            && targets.iter().all(|&target| document.is_drained(target, drain.from_s))
    })
}

/// Reports blocks that are listed twice.
fn check_blocks(scanner: &mut Scanner<'_>) {
    let mut seen = rustc_hash::FxHashSet::default();
    let blocks = scanner.document.blocks.clone();
    for (index, block) in blocks.iter().enumerate() {
        if !seen.insert((block.network, block.prefix)) {
            let message = format!("block {}/{} is listed twice", block.network, block.prefix);
            scanner.report(
                scanner.block_offsets[index],
                fault::Code::Duplicate,
                message,
                "remove one of them",
            );
        }
    }
}
