//! Reads and checks the text of a policy document.
//!
//! Scanning goes on after a fault, so that an operator sees every fault at once. A document with
//! any fault is refused whole.

use std::net::Ipv4Addr;

use toml::de::DeTable;

use crate::check::check_document;
use crate::fault::{Fault, FaultCode};
use crate::field::Place;
use crate::id::{KindId, ServiceId};
use crate::policy::{
    Block, Centre, DEFAULT_SEATS, Document, Drain, DrainSubject, Kind, Link, Member, Region,
    SCHEMA_VERSION, Service, Shift,
};
use crate::time::Span;

/// The largest document in bytes: the store's largest value less room for the envelope.
pub const MAX_DOCUMENT_BYTES: usize = 1_000_000 - 4_096;

/// Checks `text` and returns the document or every fault in it, ordered by line.
pub fn parse_document(text: &str) -> Result<Document, Vec<Fault>> {
    let mut scan = Scan::new(text);
    if text.len() > MAX_DOCUMENT_BYTES {
        let message = format!("the document has {} bytes", text.len());
        scan.fault(
            0,
            FaultCode::TooLarge,
            message,
            format!("at most {MAX_DOCUMENT_BYTES} bytes are allowed"),
        );
        return Err(scan.faults);
    }
    let (root, errors) = DeTable::parse_recoverable(text);
    for error in errors {
        let at = error.span().map_or(0, |span| span.start);
        scan.fault(
            at,
            FaultCode::Syntax,
            error.message().to_owned(),
            "see https://toml.io/en/v1.0.0",
        );
    }
    if scan.faults.is_empty() {
        scan.scan_root(root.get_ref());
    }
    if scan.faults.is_empty() {
        check_document(&mut scan);
    }
    scan.finish()
}

/// The line of byte `at` in `text`, counted from 1.
fn scan_line(text: &str, at: usize) -> u32 {
    let before = &text.as_bytes()[..at.min(text.len())];
    1 + before.iter().filter(|&&byte| byte == b'\n').count() as u32
}

/// Scans `a.b.c.d/n`.
fn scan_cidr(text: &str) -> Option<(Ipv4Addr, u8)> {
    let (address, prefix) = text.split_once('/')?;
    let address: Ipv4Addr = address.parse().ok()?;
    let prefix: u8 = prefix.parse().ok()?;
    let host_bits = u32::MAX.checked_shr(u32::from(prefix)).unwrap_or(0);
    let is_network = u32::from(address) & host_bits == 0;
    ((8..=24).contains(&prefix) && is_network).then_some((address, prefix))
}

/// The document under construction, its faults, and where its entries stand.
pub(crate) struct Scan<'a> {
    text: &'a str,
    pub(crate) document: Document,
    pub(crate) faults: Vec<Fault>,
    /// The start of each entry of `document.shifts`.
    pub(crate) shifts_at: Vec<usize>,
    /// The start of each entry of `document.drains`.
    pub(crate) drains_at: Vec<usize>,
    /// The start of each entry of `document.blocks`.
    pub(crate) blocks_at: Vec<usize>,
}

impl<'a> Scan<'a> {
    fn new(text: &'a str) -> Scan<'a> {
        Scan {
            text,
            document: Document::default(),
            faults: Vec::new(),
            shifts_at: Vec::new(),
            drains_at: Vec::new(),
            blocks_at: Vec::new(),
        }
    }

    fn finish(mut self) -> Result<Document, Vec<Fault>> {
        if self.faults.is_empty() {
            return Ok(self.document);
        }
        self.faults.sort_by_key(|fault| fault.line);
        Err(self.faults)
    }

    /// Records a fault at byte `at`.
    pub(crate) fn fault(
        &mut self,
        at: usize,
        code: FaultCode,
        message: impl Into<String>,
        hint: impl Into<String>,
    ) {
        let line = scan_line(self.text, at);
        self.faults.push(Fault { line, code, message: message.into(), hint: hint.into() });
    }

    fn scan_root(&mut self, root: &DeTable<'_>) {
        let root = Place { table: root, at: 0 };
        self.allow(
            root,
            &[
                "schema",
                "shift",
                "member",
                "region",
                "data_centre",
                "link",
                "service",
                "drain",
                "block",
            ],
        );
        if self.integer(root, "schema", 0..=u64::MAX).is_some_and(|schema| schema != SCHEMA_VERSION)
        {
            let hint = format!("this version reads schema {SCHEMA_VERSION}");
            self.fault(self.at(root, "schema"), FaultCode::Schema, "unsupported schema", hint);
        }
        self.scan_shift_limit(root);
        // Names are scanned before the entries that refer to them, in whatever order they stand.
        self.each(root, "member", Scan::scan_member);
        self.each(root, "region", Scan::scan_region);
        self.each(root, "data_centre", Scan::scan_centre);
        self.each(root, "link", Scan::scan_link);
        self.each(root, "service", Scan::scan_service);
        self.document.place_targets();
        self.each(root, "service", Scan::scan_shifts);
        self.each(root, "drain", Scan::scan_drain);
        self.each(root, "block", Scan::scan_block);
    }

    fn scan_shift_limit(&mut self, root: Place<'_>) {
        let Some(value) = root.table.get("shift") else { return };
        let Some(place) = self.table("shift", value) else { return };
        self.allow(place, &["max_step_percent", "step_interval_s"]);
        if let Some(percent) = self.integer(place, "max_step_percent", 1..=100) {
            self.document.shift_limit.max_step_percent = percent as u32;
        }
        if let Some(seconds) = self.integer(place, "step_interval_s", 1..=86_400) {
            self.document.shift_limit.step_interval = Span::from_secs(seconds);
        }
    }

    fn scan_member(&mut self, place: Place<'_>) {
        self.allow(place, &["name"]);
        let Some(name) = self.name(place, "name") else { return };
        if self.document.member(&name).is_some() {
            return self.duplicate(place, "name", &name);
        }
        self.document.members.push(Member { name });
    }

    fn scan_region(&mut self, place: Place<'_>) {
        self.allow(place, &["name", "seats"]);
        let seats = if place.table.contains_key("seats") {
            self.integer(place, "seats", 1..=64)
        } else {
            Some(u64::from(DEFAULT_SEATS))
        };
        let (Some(name), Some(seats)) = (self.name(place, "name"), seats) else { return };
        if self.document.region(&name).is_some() {
            return self.duplicate(place, "name", &name);
        }
        self.document.regions.push(Region { name, seats: seats as u32 });
    }

    fn scan_centre(&mut self, place: Place<'_>) {
        self.allow(place, &["name", "region"]);
        let name = self.name(place, "name");
        let region = self.region(place, "region");
        let (Some(name), Some(region)) = (name, region) else { return };
        if self.document.centre(&name).is_some() {
            return self.duplicate(place, "name", &name);
        }
        self.document.centres.push(Centre { name, region });
    }

    fn scan_link(&mut self, place: Place<'_>) {
        self.allow(place, &["from", "to", "cap_mbit", "delay_us"]);
        let from = self.region(place, "from");
        let to = self.region(place, "to");
        let cap_mbit = self.integer(place, "cap_mbit", 1..=10_000_000);
        let delay = self.integer(place, "delay_us", 0..=10_000_000);
        let (Some(from), Some(to), Some(cap_mbit), Some(delay)) = (from, to, cap_mbit, delay)
        else {
            return;
        };
        if from == to {
            let hint = "a link joins two different regions";
            return self.fault(self.at(place, "to"), FaultCode::OutOfRange, "link to itself", hint);
        }
        if self.document.link(from, to).is_some() {
            return self.duplicate(place, "to", "this pair of regions");
        }
        let delay = Span::from_micros(delay);
        self.document.links.push(Link { from, to, cap_mbit, delay });
    }

    fn scan_service(&mut self, place: Place<'_>) {
        self.allow(place, &["name", "members", "slots", "connections", "targets", "kind", "shift"]);
        let name = self.name(place, "name");
        let members = self.member_list(place);
        let slots = self.integer(place, "slots", 1..=1_024);
        let connections = self.integer(place, "connections", 1..=65_535);
        let placement = self.placement(place);
        let (Some(name), Some(slots), Some(connections)) = (name, slots, connections) else {
            return;
        };
        if self.document.service(&name).is_some() {
            return self.duplicate(place, "name", &name);
        }
        let service = Service {
            name,
            members,
            slots: slots as u32,
            connections: connections as u32,
            placement,
            kinds: Vec::new(),
        };
        let service = self.document.services.push(service);
        self.each(place, "kind", |scan, kind| scan.scan_kind(service, kind));
        if self.document.services[service].kinds.is_empty() {
            let hint = "add a [[service.kind]] with name, idempotent and deadline_ms";
            self.fault(place.at, FaultCode::MissingField, "the service has no kind", hint);
        }
    }

    fn scan_kind(&mut self, service: ServiceId, place: Place<'_>) {
        self.allow(place, &["name", "idempotent", "deadline_ms"]);
        let name = self.name(place, "name");
        let idempotent = self.boolean(place, "idempotent");
        let deadline = self.integer(place, "deadline_ms", 1..=3_600_000);
        let (Some(name), Some(idempotent), Some(deadline)) = (name, idempotent, deadline) else {
            return;
        };
        if self.document.kind(service, &name).is_some() {
            return self.duplicate(place, "name", &name);
        }
        let deadline = Span::from_millis(deadline);
        let kind: KindId = self.document.kinds.push(Kind { name, service, idempotent, deadline });
        self.document.services[service].kinds.push(kind);
    }

    fn scan_shifts(&mut self, place: Place<'_>) {
        let name = place.table.get("name").and_then(|name| name.get_ref().as_str());
        let Some(service) = name.and_then(|name| self.document.service(name)) else { return };
        self.each(place, "shift", |scan, shift| scan.scan_shift(service, shift));
    }

    fn scan_shift(&mut self, service: ServiceId, place: Place<'_>) {
        self.allow(place, &["from", "to", "percent"]);
        let from = self.region(place, "from");
        let to = self.region(place, "to");
        let percent = self.integer(place, "percent", 0..=100);
        let (Some(from), Some(to), Some(percent)) = (from, to, percent) else { return };
        let same = |shift: &Shift| shift.service == service && shift.from == from && shift.to == to;
        if self.document.shifts.iter().any(same) {
            return self.duplicate(place, "to", "this pair of regions");
        }
        self.document.shifts.push(Shift { service, from, to, percent: percent as u32 });
        self.shifts_at.push(place.at);
    }

    fn scan_drain(&mut self, place: Place<'_>) {
        self.allow(place, &["data_centre", "target", "from", "until"]);
        let from_s = self.datetime(place, "from");
        let until_s = self.datetime(place, "until");
        let has_centre = place.table.contains_key("data_centre");
        if has_centre == place.table.contains_key("target") {
            let hint = "give exactly one of data_centre and target";
            return self.fault(
                place.at,
                FaultCode::BadDrain,
                "the drain has not one subject",
                hint,
            );
        }
        let subject = if has_centre {
            self.centre(place, "data_centre").map(DrainSubject::Centre)
        } else {
            self.target(place, "target").map(DrainSubject::Target)
        };
        let (Some(subject), Some(from_s), Some(until_s)) = (subject, from_s, until_s) else {
            return;
        };
        if until_s <= from_s {
            let hint = "until must be later than from";
            return self.fault(
                place.at,
                FaultCode::BadDrain,
                "the drain ends before it starts",
                hint,
            );
        }
        self.document.drains.push(Drain { subject, from_s, until_s });
        self.drains_at.push(place.at);
    }

    fn scan_block(&mut self, place: Place<'_>) {
        self.allow(place, &["cidr", "data_centre"]);
        let cidr = self.string(place, "cidr");
        let centre = self.centre(place, "data_centre");
        let (Some(cidr), Some(centre)) = (cidr, centre) else { return };
        let Some((network, prefix)) = scan_cidr(&cidr) else {
            let message = format!("`{cidr}` is not a client block");
            let hint = "an IPv4 network of /8 to /24, such as 10.1.0.0/16";
            return self.fault(self.at(place, "cidr"), FaultCode::BadBlock, message, hint);
        };
        self.document.blocks.push(Block { network, prefix, centre });
        self.blocks_at.push(place.at);
    }
}
