//! A policy document as text fields that an operator edits.

use ebonypass_core::date::UnixTime;
use ebonypass_core::policy::{self, Document, Service};

use crate::section::{DRAIN, KIND, SECTIONS, SERVICE, SHIFT, SHIFT_LIMIT};

/// The text of each column of one row.
pub(crate) type Row = Vec<String>;

/// The rows of each section, in the order of [`SECTIONS`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Draft {
    pub(crate) rows: [Vec<Row>; SECTIONS.len()],
}

impl Draft {
    /// Converts `document` to text fields.
    pub(crate) fn new(document: &Document) -> Draft {
        let shift_limit = document.shift_limit;
        let interval_s = shift_limit.step_interval.as_micros() / 1_000_000;
        let mut rows: [Vec<Row>; SECTIONS.len()] = Default::default();
        rows[SHIFT_LIMIT] =
            vec![vec![shift_limit.max_step_percent.to_string(), interval_s.to_string()]];
        rows[1] = document.members.values().map(|member| vec![member.name.clone()]).collect();
        let regions = document.regions.values();
        rows[2] =
            regions.map(|region| vec![region.name.clone(), region.seats.to_string()]).collect();
        let centres = document.centres.values();
        let region = |key| document.regions[key].name.clone();
        rows[3] = centres.map(|centre| vec![centre.name.clone(), region(centre.region)]).collect();
        let links = document.links.iter().map(|link| {
            let delay = link.delay.as_micros().to_string();
            vec![region(link.from), region(link.to), link.cap_mbit.to_string(), delay]
        });
        rows[4] = links.collect();
        rows[SERVICE] =
            document.services.values().map(|service| service_row(document, service)).collect();
        rows[KIND] = kind_rows(document);
        let shifts = document.shifts.iter().map(|shift| {
            let service = document.services[shift.service].name.clone();
            vec![service, region(shift.from), region(shift.to), shift.percent.to_string()]
        });
        rows[SHIFT] = shifts.collect();
        rows[DRAIN] = drain_rows(document);
        let blocks = document.blocks.iter().map(|block| {
            let centre = document.centres[block.centre].name.clone();
            vec![format!("{}/{}", block.network, block.prefix), centre]
        });
        rows[9] = blocks.collect();
        Draft { rows }
    }
}

/// Converts a service to its row. Its kinds and shifts have rows of their own.
fn service_row(document: &Document, service: &Service) -> Row {
    let members = service.members.iter().map(|&member| document.members[member].name.as_str());
    let targets = service.placement.iter().map(|placement| {
        format!("{} = {}", document.centres[placement.centre].name, placement.count)
    });
    vec![
        service.name.clone(),
        members.collect::<Vec<_>>().join(", "),
        service.slots.to_string(),
        service.connections.to_string(),
        targets.collect::<Vec<_>>().join(", "),
    ]
}

fn kind_rows(document: &Document) -> Vec<Row> {
    let kinds = document.kinds.values().map(|kind| {
        vec![
            document.services[kind.service].name.clone(),
            kind.name.clone(),
            kind.idempotent.to_string(),
            kind.deadline.as_millis().to_string(),
        ]
    });
    kinds.collect()
}

fn drain_rows(document: &Document) -> Vec<Row> {
    let drains = document.drains.iter().map(|drain| {
        let (subject, name) = match drain.subject {
            policy::Subject::Centre(centre) => ("data_centre", &document.centres[centre].name),
            policy::Subject::Target(target) => ("target", &document.targets[target].name),
        };
        let (from, until) = (UnixTime(drain.from_s), UnixTime(drain.until_s));
        vec![subject.to_owned(), name.clone(), from.to_string(), until.to_string()]
    });
    drains.collect()
}
