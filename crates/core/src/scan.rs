//! Reads and checks the text of a policy document.
//!
//! Scanning goes on after a fault, so that an operator sees every fault at once. A document with
//! any fault is refused whole.

use std::net::Ipv4Addr;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::check::check_document;
use crate::fault::{Code, Fault};
use crate::id::{CentreId, KindId, MemberId, RegionId, ServiceId, TargetId};
use crate::policy::{
    Block, Centre, DEFAULT_SEATS, Document, Drain, Kind, Link, Member, Placement, Region, SCHEMA,
    Service, Shift, Subject,
};
use crate::time::Span;

/// The largest document in bytes: the store's largest value less room for the envelope.
pub const MAX_DOCUMENT: usize = 1_000_000 - 4_096;

/// Names are at most this long, so that target names fit a header.
const MAX_NAME: usize = 48;

/// Checks `text` and returns the document or every fault in it, ordered by line.
pub fn scan_document(text: &str) -> Result<Document, Vec<Fault>> {
    let mut scan = Scan::new(text);
    if text.len() > MAX_DOCUMENT {
        let message = format!("the document has {} bytes", text.len());
        scan.fault(0, Code::TooLarge, message, format!("at most {MAX_DOCUMENT} bytes are allowed"));
        return Err(scan.faults);
    }
    let (root, errors) = DeTable::parse_recoverable(text);
    for error in errors {
        let at = error.span().map_or(0, |span| span.start);
        scan.fault(at, Code::Syntax, error.message().to_owned(), "see https://toml.io/en/v1.0.0");
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

/// Whether `name` has only the characters that names may have.
fn is_name(name: &str) -> bool {
    let inner = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    let edge = |byte: Option<&u8>| byte.is_some_and(|&byte| byte != b'-');
    let bytes = name.as_bytes();
    bytes.len() <= MAX_NAME
        && bytes.iter().all(|&byte| inner(byte))
        && edge(bytes.first())
        && edge(bytes.last())
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

/// Days from 1970-01-01 to a date of the Gregorian calendar.
fn days_from_epoch(year: i64, month: i64, day: i64) -> i64 {
    // Years start in March here, so that the leap day is the last day of a year.
    let year = if month <= 2 { year - 1 } else { year };
    let era = year.div_euclid(400);
    let year_of_era = year.rem_euclid(400);
    let day_of_year = (153 * ((month + 9) % 12) + 2) / 5 + day - 1;
    let day_of_era = year_of_era * 365 + year_of_era / 4 - year_of_era / 100 + day_of_year;
    era * 146_097 + day_of_era - 719_468
}

/// Scans a date and time with an offset, as `2026-12-05T02:00:00Z`, into seconds of Unix time.
pub fn scan_time(text: &str) -> Option<u64> {
    text.parse().ok().as_ref().and_then(unix_seconds)
}

/// A table of the document together with the place where it starts.
#[derive(Clone, Copy)]
struct Place<'a> {
    table: &'a DeTable<'a>,
    at: usize,
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
        code: Code,
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
        if self.integer(root, "schema", 0..=u64::MAX).is_some_and(|schema| schema != SCHEMA) {
            let hint = format!("this version reads schema {SCHEMA}");
            self.fault(self.at(root, "schema"), Code::Schema, "unsupported schema", hint);
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
            return self.fault(self.at(place, "to"), Code::OutOfRange, "link to itself", hint);
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
            self.fault(place.at, Code::MissingField, "the service has no kind", hint);
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
            return self.fault(place.at, Code::BadDrain, "the drain has not one subject", hint);
        }
        let subject = if has_centre {
            self.centre(place, "data_centre").map(Subject::Centre)
        } else {
            self.target(place, "target").map(Subject::Target)
        };
        let (Some(subject), Some(from_s), Some(until_s)) = (subject, from_s, until_s) else {
            return;
        };
        if until_s <= from_s {
            let hint = "until must be later than from";
            return self.fault(place.at, Code::BadDrain, "the drain ends before it starts", hint);
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
            return self.fault(self.at(place, "cidr"), Code::BadBlock, message, hint);
        };
        self.document.blocks.push(Block { network, prefix, centre });
        self.blocks_at.push(place.at);
    }

    /// Calls `scan_one` for each table of the array of tables `key`.
    fn each(
        &mut self,
        place: Place<'_>,
        key: &str,
        mut scan_one: impl FnMut(&mut Scan<'a>, Place<'_>),
    ) {
        let Some(value) = place.table.get(key) else { return };
        let Some(array) = value.get_ref().as_array() else {
            return self.wrong_type(key, value, "an array of tables");
        };
        for item in array.iter() {
            if let Some(table) = self.table(key, item) {
                scan_one(self, table);
            }
        }
    }

    fn table<'t>(&mut self, key: &str, value: &'t Spanned<DeValue<'t>>) -> Option<Place<'t>> {
        match value.get_ref().as_table() {
            Some(table) => Some(Place { table, at: value.span().start }),
            None => {
                self.wrong_type(key, value, "a table");
                None
            }
        }
    }

    /// Faults each key of `place` that is not in `known`.
    fn allow(&mut self, place: Place<'_>, known: &[&str]) {
        for key in place.table.keys() {
            if !known.contains(&key.get_ref().as_ref()) {
                let message = format!("unknown field `{}`", key.get_ref());
                let hint = format!("known here: {}", known.join(", "));
                self.fault(key.span().start, Code::UnknownField, message, hint);
            }
        }
    }

    /// The place of the value of `key`, or of the table if there is none.
    fn at(&self, place: Place<'_>, key: &str) -> usize {
        place.table.get(key).map_or(place.at, |value| value.span().start)
    }

    fn value<'t>(&mut self, place: Place<'t>, key: &str) -> Option<&'t Spanned<DeValue<'t>>> {
        let value = place.table.get(key);
        if value.is_none() {
            let message = format!("field `{key}` is missing");
            self.fault(place.at, Code::MissingField, message, "add it to this table");
        }
        value
    }

    fn wrong_type(&mut self, key: &str, value: &Spanned<DeValue<'_>>, expected: &str) {
        let message = format!("`{key}` is a {}", value.get_ref().type_str());
        self.fault(value.span().start, Code::WrongType, message, format!("expected {expected}"));
    }

    fn duplicate(&mut self, place: Place<'_>, key: &str, name: &str) {
        let message = format!("`{name}` stands twice");
        self.fault(self.at(place, key), Code::Duplicate, message, "remove or rename one of them");
    }

    fn string(&mut self, place: Place<'_>, key: &str) -> Option<String> {
        let value = self.value(place, key)?;
        let text = value.get_ref().as_str();
        if text.is_none() {
            self.wrong_type(key, value, "a string");
        }
        text.map(str::to_owned)
    }

    fn boolean(&mut self, place: Place<'_>, key: &str) -> Option<bool> {
        let value = self.value(place, key)?;
        let flag = value.get_ref().as_bool();
        if flag.is_none() {
            self.wrong_type(key, value, "true or false");
        }
        flag
    }

    fn integer(
        &mut self,
        place: Place<'_>,
        key: &str,
        range: std::ops::RangeInclusive<u64>,
    ) -> Option<u64> {
        let value = self.value(place, key)?;
        self.integer_of(key, value, range)
    }

    fn integer_of(
        &mut self,
        key: &str,
        value: &Spanned<DeValue<'_>>,
        range: std::ops::RangeInclusive<u64>,
    ) -> Option<u64> {
        let Some(integer) = value.get_ref().as_integer() else {
            self.wrong_type(key, value, "a whole number");
            return None;
        };
        let number = i128::from_str_radix(integer.as_str(), integer.radix()).ok();
        let number = number.and_then(|number| u64::try_from(number).ok());
        let number = number.filter(|number| range.contains(number));
        if number.is_none() {
            let message = format!("`{key}` is out of range");
            let hint = format!("from {} to {}", range.start(), range.end());
            self.fault(value.span().start, Code::OutOfRange, message, hint);
        }
        number
    }

    /// A date and time with an offset, as seconds of Unix time.
    fn datetime(&mut self, place: Place<'_>, key: &str) -> Option<u64> {
        let value = self.value(place, key)?;
        let seconds = value.get_ref().as_datetime().and_then(unix_seconds);
        if seconds.is_none() {
            self.wrong_type(key, value, "a date and time with offset, as 2026-12-05T02:00:00Z");
        }
        seconds
    }

    fn name(&mut self, place: Place<'_>, key: &str) -> Option<String> {
        let name = self.string(place, key)?;
        if is_name(&name) {
            return Some(name);
        }
        let message = format!("`{name}` is not a name");
        let hint = format!("a-z, 0-9 and inner `-`, at most {MAX_NAME} characters");
        self.fault(self.at(place, key), Code::BadName, message, hint);
        None
    }

    fn unknown_name(&mut self, at: usize, what: &str, name: &str, known: impl Into<String>) {
        let message = format!("no {what} is called `{name}`");
        self.fault(at, Code::UnknownName, message, known);
    }

    fn region(&mut self, place: Place<'_>, key: &str) -> Option<RegionId> {
        let name = self.string(place, key)?;
        let region = self.document.region(&name);
        if region.is_none() {
            let known = known_names(self.document.regions.values().map(|region| &region.name));
            self.unknown_name(self.at(place, key), "region", &name, known);
        }
        region
    }

    fn centre(&mut self, place: Place<'_>, key: &str) -> Option<CentreId> {
        let name = self.string(place, key)?;
        self.centre_of(self.at(place, key), &name)
    }

    fn centre_of(&mut self, at: usize, name: &str) -> Option<CentreId> {
        let centre = self.document.centre(name);
        if centre.is_none() {
            let known = known_names(self.document.centres.values().map(|centre| &centre.name));
            self.unknown_name(at, "data centre", name, known);
        }
        centre
    }

    fn target(&mut self, place: Place<'_>, key: &str) -> Option<TargetId> {
        let name = self.string(place, key)?;
        let target = self.document.target(&name);
        if target.is_none() {
            let hint = "targets are called <service>-<data centre>-<NN>";
            self.unknown_name(self.at(place, key), "target", &name, hint);
        }
        target
    }

    fn member_list(&mut self, place: Place<'_>) -> Vec<MemberId> {
        let Some(value) = self.value(place, "members") else { return Vec::new() };
        let Some(array) = value.get_ref().as_array() else {
            self.wrong_type("members", value, "an array of member names");
            return Vec::new();
        };
        let mut members = Vec::new();
        for item in array.iter() {
            let Some(name) = item.get_ref().as_str() else {
                self.wrong_type("members", item, "a member name");
                continue;
            };
            match self.document.member(name) {
                Some(member) if members.contains(&member) => {
                    let message = format!("`{name}` stands twice");
                    self.fault(item.span().start, Code::Duplicate, message, "remove one of them");
                }
                Some(member) => members.push(member),
                None => {
                    let members = self.document.members.values();
                    let known = known_names(members.map(|member| &member.name));
                    self.unknown_name(item.span().start, "member", name, known);
                }
            }
        }
        members
    }

    fn placement(&mut self, place: Place<'_>) -> Vec<Placement> {
        let Some(value) = self.value(place, "targets") else { return Vec::new() };
        let Some(targets) = self.table("targets", value) else { return Vec::new() };
        let mut placement = Vec::new();
        for (name, count) in targets.table.iter() {
            let centre = self.centre_of(name.span().start, name.get_ref());
            let count = self.integer_of(name.get_ref(), count, 0..=99);
            if let (Some(centre), Some(count)) = (centre, count) {
                placement.push(Placement { centre, count: count as u32 });
            }
        }
        placement.sort_by_key(|placement| placement.centre);
        placement
    }
}

/// The hint that lists `names`.
fn known_names<'n>(names: impl Iterator<Item = &'n String>) -> String {
    let names: Vec<&str> = names.map(String::as_str).collect();
    format!("the document has: {}", names.join(", "))
}

/// Seconds of Unix time, if the value has a date, a time and an offset and is not before 1970.
fn unix_seconds(value: &toml::value::Datetime) -> Option<u64> {
    let date = value.date?;
    let time = value.time?;
    let offset_minutes = match value.offset? {
        toml::value::Offset::Z => 0,
        toml::value::Offset::Custom { minutes } => i64::from(minutes),
    };
    let days = days_from_epoch(date.year.into(), date.month.into(), date.day.into());
    let minutes = i64::from(time.hour) * 60 + i64::from(time.minute) - offset_minutes;
    let seconds = days * 86_400 + minutes * 60 + i64::from(time.second.unwrap_or(0));
    u64::try_from(seconds).ok()
}
