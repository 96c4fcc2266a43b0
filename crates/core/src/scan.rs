//! Scans and validates a policy document.
//!
//! Scanning continues after a fault, so that an operator sees all faults at once. A document with
//! any fault is rejected as a whole.

use std::net::Ipv4Addr;

use toml::de::DeTable;

use crate::check::check_document;
use crate::fault::{self, Fault};
use crate::field::LocatedTable;
use crate::id::{KindId, ServiceId};
use crate::policy::{
    self, Block, Centre, DEFAULT_SEATS, Document, Drain, Kind, Link, Member, Region,
    SCHEMA_VERSION, Service, Shift,
};
use crate::time::Span;

/// The largest accepted document, in bytes: the store's value limit minus 4,096 bytes for the
/// [envelope](crate::submission::Envelope).
pub const MAX_DOCUMENT_BYTES: usize = 1_000_000 - 4_096;

/// Scans and validates `text`. Returns the document, or all its faults ordered by line.
pub fn scan_document(text: &str) -> Result<Document, Vec<Fault>> {
    let mut scanner = Scanner::new(text);
    if text.len() > MAX_DOCUMENT_BYTES {
        let message = format!("the document has {} bytes", text.len());
        scanner.report(
            0,
            fault::Code::TooLarge,
            message,
            format!("at most {MAX_DOCUMENT_BYTES} bytes are allowed"),
        );
        return Err(scanner.faults);
    }
    let (root, errors) = DeTable::parse_recoverable(text);
    for error in errors {
        let offset = error.span().map_or(0, |span| span.start);
        scanner.report(
            offset,
            fault::Code::Syntax,
            error.message().to_owned(),
            "see https://toml.io/en/v1.0.0",
        );
    }
    if scanner.faults.is_empty() {
        scanner.scan_root(root.get_ref());
    }
    if scanner.faults.is_empty() {
        check_document(&mut scanner);
    }
    scanner.finish()
}

/// The line, counted from 1, that contains the byte at `offset`.
fn line_at(text: &str, offset: usize) -> u32 {
    let before = &text.as_bytes()[..offset.min(text.len())];
    1 + before.iter().filter(|&&byte| byte == b'\n').count() as u32
}

/// Scans `a.b.c.d/n`. Only prefixes of 8 to 24 bits without host bits are valid.
fn scan_cidr(text: &str) -> Option<(Ipv4Addr, u8)> {
    let (address, prefix) = text.split_once('/')?;
    let address: Ipv4Addr = address.parse().ok()?;
    let prefix: u8 = prefix.parse().ok()?;
    let host_bits = u32::MAX.checked_shr(u32::from(prefix)).unwrap_or(0);
    let is_network = u32::from(address) & host_bits == 0;
    ((8..=24).contains(&prefix) && is_network).then_some((address, prefix))
}

/// The state of a scan: the document so far, its faults, and the byte offsets of entries that are
/// validated after it.
pub(crate) struct Scanner<'a> {
    text: &'a str,
    pub(crate) document: Document,
    pub(crate) faults: Vec<Fault>,
    /// Byte offset of each entry of `document.shifts`.
    pub(crate) shift_offsets: Vec<usize>,
    /// Byte offset of each entry of `document.drains`.
    pub(crate) drain_offsets: Vec<usize>,
    /// Byte offset of each entry of `document.blocks`.
    pub(crate) block_offsets: Vec<usize>,
}

impl<'a> Scanner<'a> {
    fn new(text: &'a str) -> Scanner<'a> {
        Scanner {
            text,
            document: Document::default(),
            faults: Vec::new(),
            shift_offsets: Vec::new(),
            drain_offsets: Vec::new(),
            block_offsets: Vec::new(),
        }
    }

    fn finish(mut self) -> Result<Document, Vec<Fault>> {
        if self.faults.is_empty() {
            return Ok(self.document);
        }
        self.faults.sort_by_key(|fault| fault.line);
        Err(self.faults)
    }

    /// Records a fault at byte `offset`.
    pub(crate) fn report(
        &mut self,
        offset: usize,
        code: fault::Code,
        message: impl Into<String>,
        hint: impl Into<String>,
    ) {
        let line = line_at(self.text, offset);
        self.faults.push(Fault { line, code, message: message.into(), hint: hint.into() });
    }

    fn scan_root(&mut self, root: &DeTable<'_>) {
        let root = LocatedTable { entries: root, offset: 0 };
        self.check_known_fields(
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
            self.report(
                self.offset_of(root, "schema"),
                fault::Code::Schema,
                "unsupported schema",
                hint,
            );
        }
        self.scan_shift_limit(root);
        // Tables are scanned in the order of their references, whatever their order in the text.
        // Shifts and drains come after all services, since they refer to regions and targets.
        self.for_each_table(root, "member", Scanner::scan_member);
        self.for_each_table(root, "region", Scanner::scan_region);
        self.for_each_table(root, "data_centre", Scanner::scan_centre);
        self.for_each_table(root, "link", Scanner::scan_link);
        self.for_each_table(root, "service", Scanner::scan_service);
        self.document.add_targets();
        self.for_each_table(root, "service", Scanner::scan_shifts);
        self.for_each_table(root, "drain", Scanner::scan_drain);
        self.for_each_table(root, "block", Scanner::scan_block);
    }

    fn scan_shift_limit(&mut self, root: LocatedTable<'_>) {
        let Some(value) = root.entries.get("shift") else { return };
        let Some(table) = self.expect_table("shift", value) else { return };
        self.check_known_fields(table, &["max_step_percent", "step_interval_s"]);
        if let Some(percent) = self.integer(table, "max_step_percent", 1..=100) {
            self.document.shift_limit.max_step_percent = percent as u32;
        }
        if let Some(seconds) = self.integer(table, "step_interval_s", 1..=86_400) {
            self.document.shift_limit.step_interval = Span::from_secs(seconds);
        }
    }

    fn scan_member(&mut self, table: LocatedTable<'_>) {
        self.check_known_fields(table, &["name"]);
        let Some(name) = self.name(table, "name") else { return };
        if self.document.member(&name).is_some() {
            return self.report_duplicate(table, "name", &name);
        }
        self.document.members.push(Member { name });
    }

    fn scan_region(&mut self, table: LocatedTable<'_>) {
        self.check_known_fields(table, &["name", "seats"]);
        let seats = if table.entries.contains_key("seats") {
            self.integer(table, "seats", 1..=64)
        } else {
            Some(u64::from(DEFAULT_SEATS))
        };
        let (Some(name), Some(seats)) = (self.name(table, "name"), seats) else { return };
        if self.document.region(&name).is_some() {
            return self.report_duplicate(table, "name", &name);
        }
        self.document.regions.push(Region { name, seats: seats as u32 });
    }

    fn scan_centre(&mut self, table: LocatedTable<'_>) {
        self.check_known_fields(table, &["name", "region"]);
        let name = self.name(table, "name");
        let region = self.region(table, "region");
        let (Some(name), Some(region)) = (name, region) else { return };
        if self.document.centre(&name).is_some() {
            return self.report_duplicate(table, "name", &name);
        }
        self.document.centres.push(Centre { name, region });
    }

    fn scan_link(&mut self, table: LocatedTable<'_>) {
        self.check_known_fields(table, &["from", "to", "cap_mbit", "delay_us"]);
        let from = self.region(table, "from");
        let to = self.region(table, "to");
        let cap_mbit = self.integer(table, "cap_mbit", 1..=10_000_000);
        let delay = self.integer(table, "delay_us", 0..=10_000_000);
        let (Some(from), Some(to), Some(cap_mbit), Some(delay)) = (from, to, cap_mbit, delay)
        else {
            return;
        };
        if from == to {
            let hint = "a link connects two different regions";
            return self.report(
                self.offset_of(table, "to"),
                fault::Code::OutOfRange,
                "the link connects a region to itself",
                hint,
            );
        }
        if self.document.link(from, to).is_some() {
            return self.report_duplicate(table, "to", "this pair of regions");
        }
        let delay = Span::from_micros(delay);
        self.document.links.push(Link { from, to, cap_mbit, delay });
    }

    fn scan_service(&mut self, table: LocatedTable<'_>) {
        self.check_known_fields(
            table,
            &["name", "members", "slots", "connections", "targets", "kind", "shift"],
        );
        let name = self.name(table, "name");
        let members = self.member_list(table);
        let slots = self.integer(table, "slots", 1..=1_024);
        let connections = self.integer(table, "connections", 1..=65_535);
        let placement = self.placements(table);
        let (Some(name), Some(slots), Some(connections)) = (name, slots, connections) else {
            return;
        };
        if self.document.service(&name).is_some() {
            return self.report_duplicate(table, "name", &name);
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
        self.for_each_table(table, "kind", |scanner, kind| scanner.scan_kind(service, kind));
        if self.document.services[service].kinds.is_empty() {
            let hint = "add a [[service.kind]] with name, idempotent and deadline_ms";
            self.report(table.offset, fault::Code::MissingField, "the service has no kind", hint);
        }
    }

    fn scan_kind(&mut self, service: ServiceId, table: LocatedTable<'_>) {
        self.check_known_fields(table, &["name", "idempotent", "deadline_ms"]);
        let name = self.name(table, "name");
        let idempotent = self.boolean(table, "idempotent");
        let deadline = self.integer(table, "deadline_ms", 1..=3_600_000);
        let (Some(name), Some(idempotent), Some(deadline)) = (name, idempotent, deadline) else {
            return;
        };
        if self.document.kind(service, &name).is_some() {
            return self.report_duplicate(table, "name", &name);
        }
        let deadline = Span::from_millis(deadline);
        let kind: KindId = self.document.kinds.push(Kind { name, service, idempotent, deadline });
        self.document.services[service].kinds.push(kind);
    }

    fn scan_shifts(&mut self, table: LocatedTable<'_>) {
        let name = table.entries.get("name").and_then(|name| name.get_ref().as_str());
        let Some(service) = name.and_then(|name| self.document.service(name)) else { return };
        self.for_each_table(table, "shift", |scanner, shift| scanner.scan_shift(service, shift));
    }

    fn scan_shift(&mut self, service: ServiceId, table: LocatedTable<'_>) {
        self.check_known_fields(table, &["from", "to", "percent"]);
        let from = self.region(table, "from");
        let to = self.region(table, "to");
        let percent = self.integer(table, "percent", 0..=100);
        let (Some(from), Some(to), Some(percent)) = (from, to, percent) else { return };
        let is_same =
            |shift: &Shift| shift.service == service && shift.from == from && shift.to == to;
        if self.document.shifts.iter().any(is_same) {
            return self.report_duplicate(table, "to", "this pair of regions");
        }
        self.document.shifts.push(Shift { service, from, to, percent: percent as u32 });
        self.shift_offsets.push(table.offset);
    }

    fn scan_drain(&mut self, table: LocatedTable<'_>) {
        self.check_known_fields(table, &["data_centre", "target", "from", "until"]);
        let from_s = self.datetime(table, "from");
        let until_s = self.datetime(table, "until");
        let has_centre = table.entries.contains_key("data_centre");
        if has_centre == table.entries.contains_key("target") {
            let hint = "give exactly one of data_centre and target";
            return self.report(
                table.offset,
                fault::Code::BadDrain,
                "the drain does not name exactly one subject",
                hint,
            );
        }
        let subject = if has_centre {
            self.centre(table, "data_centre").map(policy::Subject::Centre)
        } else {
            self.target(table, "target").map(policy::Subject::Target)
        };
        let (Some(subject), Some(from_s), Some(until_s)) = (subject, from_s, until_s) else {
            return;
        };
        if until_s <= from_s {
            let hint = "until must be later than from";
            return self.report(
                table.offset,
                fault::Code::BadDrain,
                "the drain ends before it starts",
                hint,
            );
        }
        self.document.drains.push(Drain { subject, from_s, until_s });
        self.drain_offsets.push(table.offset);
    }

    fn scan_block(&mut self, table: LocatedTable<'_>) {
        self.check_known_fields(table, &["cidr", "data_centre"]);
        let cidr = self.string(table, "cidr");
        let centre = self.centre(table, "data_centre");
        let (Some(cidr), Some(centre)) = (cidr, centre) else { return };
        let Some((network, prefix)) = scan_cidr(&cidr) else {
            let message = format!("`{cidr}` is not a client block");
            let hint = "an IPv4 network of /8 to /24, such as 10.1.0.0/16";
            return self.report(
                self.offset_of(table, "cidr"),
                fault::Code::BadBlock,
                message,
                hint,
            );
        };
        self.document.blocks.push(Block { network, prefix, centre });
        self.block_offsets.push(table.offset);
    }
}
