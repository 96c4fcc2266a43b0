//! Validation of a policy document across entries.

use crate::fault;
use crate::id::{RegionId, ServiceId, TargetId};
use crate::policy::{Document, Drain};
use crate::scan::Parser;

/// Reports faults that involve several entries.
pub(crate) fn check_document(parser: &mut Parser<'_>) {
    check_shifts(parser);
    check_drains(parser);
    check_blocks(parser);
}

fn check_shifts(parser: &mut Parser<'_>) {
    for index in 0..parser.document.shifts.len() {
        let shift = parser.document.shifts[index];
        let offset = parser.shift_offsets[index];
        if parser.document.link(shift.from, shift.to).is_none() {
            let hint = "add a [[link]] between these regions, in this direction";
            parser.report(
                offset,
                fault::Code::MissingLink,
                "no link connects the regions of the shift",
                hint,
            );
        }
        let already_shifted = shifted_percent(&parser.document, index, shift.service, shift.from);
        if already_shifted + shift.percent > 100 {
            let hint = "the shifts of one service out of one region may total at most 100 percent";
            parser.report(
                offset,
                fault::Code::ShiftTooLarge,
                "more than 100 percent of the region is shifted",
                hint,
            );
        }
    }
}

/// The total percentage that the shifts listed before `index` move out of `from`.
fn shifted_percent(document: &Document, index: usize, service: ServiceId, from: RegionId) -> u32 {
    let earlier = &document.shifts[..index];
    let matching = earlier.iter().filter(|shift| shift.service == service && shift.from == from);
    matching.map(|shift| shift.percent).sum()
}

fn check_drains(parser: &mut Parser<'_>) {
    for index in 0..parser.document.drains.len() {
        // Targets become drained only when a drain starts, so checking those times is enough.
        let drain = parser.document.drains[index];
        let Some(service) = emptied_service(&parser.document, &drain) else { continue };
        let name = &parser.document.services[service].name;
        let message = format!("service `{name}` has no available target when this drain starts");
        let hint = "change the times so that a target stays available";
        parser.report(parser.drain_offsets[index], fault::Code::NoTargetLeft, message, hint);
    }
}

/// Finds a service whose targets are all drained at the start of `drain`, at least one of them by
/// `drain` itself.
fn emptied_service(document: &Document, drain: &Drain) -> Option<ServiceId> {
    let is_covered = |target: TargetId| document.covers(drain.subject, target);
    document.services.iter().map(|(service, _)| service).find(|&service| {
        let targets = document.targets.iter().filter(|(_, target)| target.service == service);
        let targets: Vec<TargetId> = targets.map(|(target, _)| target).collect();
        targets.iter().any(|&target| is_covered(target))
            && targets.iter().all(|&target| document.is_drained(target, drain.from_s))
    })
}

fn check_blocks(parser: &mut Parser<'_>) {
    let mut seen = rustc_hash::FxHashSet::default();
    let blocks = parser.document.blocks.clone();
    for (index, block) in blocks.iter().enumerate() {
        if !seen.insert((block.network, block.prefix)) {
            let message = format!("block {}/{} is listed twice", block.network, block.prefix);
            parser.report(
                parser.block_offsets[index],
                fault::Code::Duplicate,
                message,
                "remove one of them",
            );
        }
    }
}
