//! Formats a policy document as TOML.
//!
//! The output is canonical: equal documents give equal text, so a diff of two formatted documents
//! shows only what differs between the documents.

use std::fmt::{self, Write};

use crate::date::UnixTime;
use crate::policy::{self, Document, SCHEMA_VERSION, Service};

/// The canonical text of `document`. [`crate::scan::scan_document`] gives an equal document back.
pub fn format_document(document: &Document) -> String {
    let mut text = String::new();
    // Writing to a `String` cannot fail.
    let _ = write_document(&mut text, document);
    text
}

fn write_document(out: &mut impl Write, document: &Document) -> fmt::Result {
    writeln!(out, "schema = {SCHEMA_VERSION}\n\n[shift]")?;
    writeln!(out, "max_step_percent = {}", document.shift_limit.max_step_percent)?;
    let interval_s = document.shift_limit.step_interval.as_micros() / 1_000_000;
    writeln!(out, "step_interval_s = {interval_s}")?;
    for member in document.members.values() {
        writeln!(out, "\n[[member]]\nname = \"{}\"", member.name)?;
    }
    for region in document.regions.values() {
        writeln!(out, "\n[[region]]\nname = \"{}\"\nseats = {}", region.name, region.seats)?;
    }
    for centre in document.centres.values() {
        let region = &document.regions[centre.region].name;
        writeln!(out, "\n[[data_centre]]\nname = \"{}\"\nregion = \"{region}\"", centre.name)?;
    }
    for link in &document.links {
        let from = &document.regions[link.from].name;
        let to = &document.regions[link.to].name;
        writeln!(out, "\n[[link]]\nfrom = \"{from}\"\nto = \"{to}\"")?;
        writeln!(out, "cap_mbit = {}\ndelay_us = {}", link.cap_mbit, link.delay.as_micros())?;
    }
    for service in document.services.values() {
        write_service(out, document, service)?;
    }
    write_drains(out, document)?;
    for block in &document.blocks {
        let centre = &document.centres[block.centre].name;
        writeln!(out, "\n[[block]]\ncidr = \"{}/{}\"", block.network, block.prefix)?;
        writeln!(out, "data_centre = \"{centre}\"")?;
    }
    Ok(())
}

fn write_service(out: &mut impl Write, document: &Document, service: &Service) -> fmt::Result {
    let members = service.members.iter().map(|&member| document.members[member].name.as_str());
    let members: Vec<String> = members.map(|name| format!("\"{name}\"")).collect();
    writeln!(out, "\n[[service]]\nname = \"{}\"", service.name)?;
    writeln!(out, "members = [{}]", members.join(", "))?;
    writeln!(out, "slots = {}\nconnections = {}", service.slots, service.connections)?;
    let counts = service.placement.iter().map(|placement| {
        format!("{} = {}", document.centres[placement.centre].name, placement.count)
    });
    let counts: Vec<String> = counts.collect();
    writeln!(out, "targets = {{ {} }}", counts.join(", "))?;
    for &kind_id in &service.kinds {
        let kind = &document.kinds[kind_id];
        writeln!(out, "\n[[service.kind]]\nname = \"{}\"", kind.name)?;
        writeln!(out, "idempotent = {}", kind.idempotent)?;
        writeln!(out, "deadline_ms = {}", kind.deadline.as_millis())?;
    }
    for shift in &document.shifts {
        if document.services[shift.service].name == service.name {
            let from = &document.regions[shift.from].name;
            let to = &document.regions[shift.to].name;
            writeln!(out, "\n[[service.shift]]\nfrom = \"{from}\"\nto = \"{to}\"")?;
            writeln!(out, "percent = {}", shift.percent)?;
        }
    }
    Ok(())
}

fn write_drains(out: &mut impl Write, document: &Document) -> fmt::Result {
    for drain in &document.drains {
        writeln!(out, "\n[[drain]]")?;
        match drain.subject {
            policy::Subject::Centre(centre) => {
                writeln!(out, "data_centre = \"{}\"", document.centres[centre].name)?;
            }
            policy::Subject::Target(target) => {
                writeln!(out, "target = \"{}\"", document.targets[target].name)?;
            }
        }
        writeln!(out, "from = {}", UnixTime(drain.from_s))?;
        writeln!(out, "until = {}", UnixTime(drain.until_s))?;
    }
    Ok(())
}
