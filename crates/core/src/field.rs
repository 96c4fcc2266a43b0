//! Typed reading of the fields of a policy document. Each reader records what is wrong.

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::date::unix_seconds;
use crate::fault::FaultCode;
use crate::id::{CentreId, MemberId, RegionId, TargetId};
use crate::parse::Scan;
use crate::policy::Placement;

/// Names are at most this long, so that target names fit a header.
const MAX_NAME: usize = 48;

/// A table of the document together with the place where it starts.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Place<'a> {
    pub(crate) table: &'a DeTable<'a>,
    pub(crate) at: usize,
}

impl<'a> Scan<'a> {
    /// Calls `scan_one` for each table of the array of tables `key`.
    pub(crate) fn each(
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

    pub(crate) fn table<'t>(
        &mut self,
        key: &str,
        value: &'t Spanned<DeValue<'t>>,
    ) -> Option<Place<'t>> {
        match value.get_ref().as_table() {
            Some(table) => Some(Place { table, at: value.span().start }),
            None => {
                self.wrong_type(key, value, "a table");
                None
            }
        }
    }

    /// Faults each key of `place` that is not in `known`.
    pub(crate) fn allow(&mut self, place: Place<'_>, known: &[&str]) {
        for key in place.table.keys() {
            if !known.contains(&key.get_ref().as_ref()) {
                let message = format!("unknown field `{}`", key.get_ref());
                let hint = format!("known here: {}", known.join(", "));
                self.fault(key.span().start, FaultCode::UnknownField, message, hint);
            }
        }
    }

    /// The place of the value of `key`, or of the table if there is none.
    pub(crate) fn at(&self, place: Place<'_>, key: &str) -> usize {
        place.table.get(key).map_or(place.at, |value| value.span().start)
    }

    pub(crate) fn value<'t>(
        &mut self,
        place: Place<'t>,
        key: &str,
    ) -> Option<&'t Spanned<DeValue<'t>>> {
        let value = place.table.get(key);
        if value.is_none() {
            let message = format!("field `{key}` is missing");
            self.fault(place.at, FaultCode::MissingField, message, "add it to this table");
        }
        value
    }

    pub(crate) fn wrong_type(&mut self, key: &str, value: &Spanned<DeValue<'_>>, expected: &str) {
        let message = format!("`{key}` is a {}", value.get_ref().type_str());
        self.fault(
            value.span().start,
            FaultCode::WrongType,
            message,
            format!("expected {expected}"),
        );
    }

    pub(crate) fn duplicate(&mut self, place: Place<'_>, key: &str, name: &str) {
        let message = format!("`{name}` stands twice");
        self.fault(
            self.at(place, key),
            FaultCode::Duplicate,
            message,
            "remove or rename one of them",
        );
    }

    pub(crate) fn string(&mut self, place: Place<'_>, key: &str) -> Option<String> {
        let value = self.value(place, key)?;
        let text = value.get_ref().as_str();
        if text.is_none() {
            self.wrong_type(key, value, "a string");
        }
        text.map(str::to_owned)
    }

    pub(crate) fn boolean(&mut self, place: Place<'_>, key: &str) -> Option<bool> {
        let value = self.value(place, key)?;
        let flag = value.get_ref().as_bool();
        if flag.is_none() {
            self.wrong_type(key, value, "true or false");
        }
        flag
    }

    pub(crate) fn integer(
        &mut self,
        place: Place<'_>,
        key: &str,
        range: std::ops::RangeInclusive<u64>,
    ) -> Option<u64> {
        let value = self.value(place, key)?;
        self.integer_of(key, value, range)
    }

    pub(crate) fn integer_of(
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
            self.fault(value.span().start, FaultCode::OutOfRange, message, hint);
        }
        number
    }

    /// A date and time with an offset, as seconds of Unix time.
    pub(crate) fn datetime(&mut self, place: Place<'_>, key: &str) -> Option<u64> {
        let value = self.value(place, key)?;
        let seconds = value.get_ref().as_datetime().and_then(unix_seconds);
        if seconds.is_none() {
            self.wrong_type(key, value, "a date and time with offset, as 2026-12-05T02:00:00Z");
        }
        seconds
    }

    pub(crate) fn name(&mut self, place: Place<'_>, key: &str) -> Option<String> {
        let name = self.string(place, key)?;
        if is_name(&name) {
            return Some(name);
        }
        let message = format!("`{name}` is not a name");
        let hint = format!("a-z, 0-9 and inner `-`, at most {MAX_NAME} characters");
        self.fault(self.at(place, key), FaultCode::BadName, message, hint);
        None
    }

    pub(crate) fn unknown_name(
        &mut self,
        at: usize,
        what: &str,
        name: &str,
        known: impl Into<String>,
    ) {
        let message = format!("no {what} is called `{name}`");
        self.fault(at, FaultCode::UnknownName, message, known);
    }

    pub(crate) fn region(&mut self, place: Place<'_>, key: &str) -> Option<RegionId> {
        let name = self.string(place, key)?;
        let region = self.document.region(&name);
        if region.is_none() {
            let known = known_names(self.document.regions.values().map(|region| &region.name));
            self.unknown_name(self.at(place, key), "region", &name, known);
        }
        region
    }

    pub(crate) fn centre(&mut self, place: Place<'_>, key: &str) -> Option<CentreId> {
        let name = self.string(place, key)?;
        self.centre_of(self.at(place, key), &name)
    }

    pub(crate) fn centre_of(&mut self, at: usize, name: &str) -> Option<CentreId> {
        let centre = self.document.centre(name);
        if centre.is_none() {
            let known = known_names(self.document.centres.values().map(|centre| &centre.name));
            self.unknown_name(at, "data centre", name, known);
        }
        centre
    }

    pub(crate) fn target(&mut self, place: Place<'_>, key: &str) -> Option<TargetId> {
        let name = self.string(place, key)?;
        let target = self.document.target(&name);
        if target.is_none() {
            let hint = "targets are called <service>-<data centre>-<NN>";
            self.unknown_name(self.at(place, key), "target", &name, hint);
        }
        target
    }

    pub(crate) fn member_list(&mut self, place: Place<'_>) -> Vec<MemberId> {
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
                    self.fault(
                        item.span().start,
                        FaultCode::Duplicate,
                        message,
                        "remove one of them",
                    );
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

    pub(crate) fn placement(&mut self, place: Place<'_>) -> Vec<Placement> {
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
