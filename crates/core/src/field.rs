//! Typed access to the fields of a policy document.
//!
//! Each method that returns an `Option` records a fault when it returns `None`.

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::date::unix_seconds;
use crate::fault;
use crate::id::{CentreId, MemberId, RegionId, TargetId};
use crate::policy::Placement;
use crate::scan::Scanner;

/// The longest name, in bytes. Target names, which contain two other names, must fit a header.
const MAX_NAME_BYTES: usize = 48;

/// A table of the document and the byte offset at which it starts.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LocatedTable<'a> {
    pub(crate) entries: &'a DeTable<'a>,
    pub(crate) offset: usize,
}

impl<'a> Scanner<'a> {
    /// Calls `scan_entry` for each table in the array of tables `key`, which may be absent.
    pub(crate) fn for_each_table(
        &mut self,
        table: LocatedTable<'_>,
        key: &str,
        mut scan_entry: impl FnMut(&mut Scanner<'a>, LocatedTable<'_>),
    ) {
        let Some(value) = table.entries.get(key) else { return };
        let Some(array) = value.get_ref().as_array() else {
            return self.report_wrong_type(key, value, "an array of tables");
        };
        for item in array.iter() {
            if let Some(table) = self.expect_table(key, item) {
                scan_entry(self, table);
            }
        }
    }

    pub(crate) fn expect_table<'t>(
        &mut self,
        key: &str,
        value: &'t Spanned<DeValue<'t>>,
    ) -> Option<LocatedTable<'t>> {
        match value.get_ref().as_table() {
            Some(entries) => Some(LocatedTable { entries, offset: value.span().start }),
            None => {
                self.report_wrong_type(key, value, "a table");
                None
            }
        }
    }

    /// Reports each key of `table` that is not in `known`.
    pub(crate) fn check_known_fields(&mut self, table: LocatedTable<'_>, known: &[&str]) {
        for key in table.entries.keys() {
            if !known.contains(&key.get_ref().as_ref()) {
                let message = format!("unknown field `{}`", key.get_ref());
                let hint = format!("known fields: {}", known.join(", "));
                self.report(key.span().start, fault::Code::UnknownField, message, hint);
            }
        }
    }

    /// The byte offset of the value of `key`, or of the table if the key is absent.
    pub(crate) fn offset_of(&self, table: LocatedTable<'_>, key: &str) -> usize {
        table.entries.get(key).map_or(table.offset, |value| value.span().start)
    }

    pub(crate) fn required<'t>(
        &mut self,
        table: LocatedTable<'t>,
        key: &str,
    ) -> Option<&'t Spanned<DeValue<'t>>> {
        let value = table.entries.get(key);
        if value.is_none() {
            let message = format!("field `{key}` is missing");
            self.report(table.offset, fault::Code::MissingField, message, "add it to this table");
        }
        value
    }

    pub(crate) fn report_wrong_type(
        &mut self,
        key: &str,
        value: &Spanned<DeValue<'_>>,
        expected: &str,
    ) {
        let message = format!("`{key}` is a {}", value.get_ref().type_str());
        self.report(
            value.span().start,
            fault::Code::WrongType,
            message,
            format!("expected {expected}"),
        );
    }

    pub(crate) fn report_duplicate(&mut self, table: LocatedTable<'_>, key: &str, name: &str) {
        let message = format!("`{name}` is listed twice");
        self.report(
            self.offset_of(table, key),
            fault::Code::Duplicate,
            message,
            "remove or rename one of them",
        );
    }

    pub(crate) fn string(&mut self, table: LocatedTable<'_>, key: &str) -> Option<String> {
        let value = self.required(table, key)?;
        let text = value.get_ref().as_str();
        if text.is_none() {
            self.report_wrong_type(key, value, "a string");
        }
        text.map(str::to_owned)
    }

    pub(crate) fn boolean(&mut self, table: LocatedTable<'_>, key: &str) -> Option<bool> {
        let value = self.required(table, key)?;
        let flag = value.get_ref().as_bool();
        if flag.is_none() {
            self.report_wrong_type(key, value, "true or false");
        }
        flag
    }

    pub(crate) fn integer(
        &mut self,
        table: LocatedTable<'_>,
        key: &str,
        range: std::ops::RangeInclusive<u64>,
    ) -> Option<u64> {
        let value = self.required(table, key)?;
        self.scan_integer(key, value, range)
    }

    pub(crate) fn scan_integer(
        &mut self,
        key: &str,
        value: &Spanned<DeValue<'_>>,
        range: std::ops::RangeInclusive<u64>,
    ) -> Option<u64> {
        let Some(integer) = value.get_ref().as_integer() else {
            self.report_wrong_type(key, value, "a whole number");
            return None;
        };
        let number = i128::from_str_radix(integer.as_str(), integer.radix()).ok();
        let number = number.and_then(|number| u64::try_from(number).ok());
        let number = number.filter(|number| range.contains(number));
        if number.is_none() {
            let message = format!("`{key}` is out of range");
            let hint = format!("from {} to {}", range.start(), range.end());
            self.report(value.span().start, fault::Code::OutOfRange, message, hint);
        }
        number
    }

    /// A date and time with an offset, in seconds of Unix time.
    pub(crate) fn datetime(&mut self, table: LocatedTable<'_>, key: &str) -> Option<u64> {
        let value = self.required(table, key)?;
        let seconds = value.get_ref().as_datetime().and_then(unix_seconds);
        if seconds.is_none() {
            self.report_wrong_type(
                key,
                value,
                "a date and time with offset, such as 2026-12-05T02:00:00Z",
            );
        }
        seconds
    }

    pub(crate) fn name(&mut self, table: LocatedTable<'_>, key: &str) -> Option<String> {
        let name = self.string(table, key)?;
        if is_valid_name(&name) {
            return Some(name);
        }
        let message = format!("`{name}` is not a valid name");
        let hint =
            format!("use a-z, 0-9 and, between them, `-`; at most {MAX_NAME_BYTES} characters");
        self.report(self.offset_of(table, key), fault::Code::BadName, message, hint);
        None
    }

    pub(crate) fn report_unknown_name(
        &mut self,
        offset: usize,
        kind: &str,
        name: &str,
        hint: impl Into<String>,
    ) {
        let message = format!("unknown {kind} `{name}`");
        self.report(offset, fault::Code::UnknownName, message, hint);
    }

    pub(crate) fn region(&mut self, table: LocatedTable<'_>, key: &str) -> Option<RegionId> {
        let name = self.string(table, key)?;
        let region = self.document.region(&name);
        if region.is_none() {
            let hint = known_names_hint(self.document.regions.values().map(|region| &region.name));
            self.report_unknown_name(self.offset_of(table, key), "region", &name, hint);
        }
        region
    }

    pub(crate) fn centre(&mut self, table: LocatedTable<'_>, key: &str) -> Option<CentreId> {
        let name = self.string(table, key)?;
        self.resolve_centre(self.offset_of(table, key), &name)
    }

    pub(crate) fn resolve_centre(&mut self, offset: usize, name: &str) -> Option<CentreId> {
        let centre = self.document.centre(name);
        if centre.is_none() {
            let hint = known_names_hint(self.document.centres.values().map(|centre| &centre.name));
            self.report_unknown_name(offset, "data centre", name, hint);
        }
        centre
    }

    pub(crate) fn target(&mut self, table: LocatedTable<'_>, key: &str) -> Option<TargetId> {
        let name = self.string(table, key)?;
        let target = self.document.target(&name);
        if target.is_none() {
            let hint = "target names have the form <service>-<data centre>-<NN>";
            self.report_unknown_name(self.offset_of(table, key), "target", &name, hint);
        }
        target
    }

    pub(crate) fn member_list(&mut self, table: LocatedTable<'_>) -> Vec<MemberId> {
        let Some(value) = self.required(table, "members") else { return Vec::new() };
        let Some(array) = value.get_ref().as_array() else {
            self.report_wrong_type("members", value, "an array of member names");
            return Vec::new();
        };
        let mut members = Vec::new();
        for item in array.iter() {
            let Some(name) = item.get_ref().as_str() else {
                self.report_wrong_type("members", item, "a member name");
                continue;
            };
            match self.document.member(name) {
                Some(member) if members.contains(&member) => {
                    let message = format!("`{name}` is listed twice");
                    self.report(
                        item.span().start,
                        fault::Code::Duplicate,
                        message,
                        "remove one of them",
                    );
                }
                Some(member) => members.push(member),
                None => {
                    let members = self.document.members.values();
                    let hint = known_names_hint(members.map(|member| &member.name));
                    self.report_unknown_name(item.span().start, "member", name, hint);
                }
            }
        }
        members
    }

    pub(crate) fn placements(&mut self, table: LocatedTable<'_>) -> Vec<Placement> {
        let Some(value) = self.required(table, "targets") else { return Vec::new() };
        let Some(targets) = self.expect_table("targets", value) else { return Vec::new() };
        let mut placements = Vec::new();
        for (name, count) in targets.entries.iter() {
            let centre = self.resolve_centre(name.span().start, name.get_ref());
            let count = self.scan_integer(name.get_ref(), count, 0..=99);
            if let (Some(centre), Some(count)) = (centre, count) {
                placements.push(Placement { centre, count: count as u32 });
            }
        }
        placements.sort_by_key(|placement| placement.centre);
        placements
    }
}

/// A hint that lists the `names` in the document.
fn known_names_hint<'n>(names: impl Iterator<Item = &'n String>) -> String {
    let names: Vec<&str> = names.map(String::as_str).collect();
    format!("known names: {}", names.join(", "))
}

/// Whether `name` consists of `a-z`, `0-9` and `-`, does not start or end with `-`, and is not too
/// long.
fn is_valid_name(name: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    let is_valid_end = |byte: Option<&u8>| byte.is_some_and(|&byte| byte != b'-');
    let bytes = name.as_bytes();
    bytes.len() <= MAX_NAME_BYTES
        && bytes.iter().all(|&byte| is_allowed(byte))
        && is_valid_end(bytes.first())
        && is_valid_end(bytes.last())
}
