//! Writes a draft as TOML, checks it and brings each fault back to its field.
//!
//! Each field has a line of its own, so the line of a fault names the field.

use ebonypass_core::policy::{Document, SCHEMA_VERSION};
use ebonypass_core::scan::scan_document;
use toml::Value;
use toml::value::Datetime;

use crate::draft::{Draft, Row};
use crate::section::{Column, Input, KIND, LIMIT, SECTIONS, SERVICE, SHIFT};

/// Where a fault is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Place {
    /// Position of the section.
    pub(crate) section: usize,
    /// Position of the row.
    pub(crate) row: usize,
    /// Position of the column, if the fault is in one field.
    pub(crate) column: Option<usize>,
}

/// A fault at its field.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Fault {
    /// Where it is; none for the document as a whole.
    pub(crate) place: Option<Place>,
    /// What is wrong and what to do about it.
    pub(crate) message: String,
}

/// Checks a draft.
pub(crate) fn check(draft: &Draft) -> Result<Document, Vec<Fault>> {
    let written = write(draft);
    let scanned = scan_document(&written.text);
    let document = match scanned {
        Ok(document) if written.faults.is_empty() => return Ok(document),
        Ok(_) => return Err(written.faults),
        Err(faults) => faults,
    };
    let mut faults = written.faults;
    for fault in document {
        let line = (fault.line as usize).saturating_sub(1);
        let place = written.places.get(line).copied().flatten();
        let code = fault.code.number();
        let message = format!("EP-{code:04}: {} ({})", fault.message, fault.hint);
        faults.push(Fault { place, message });
    }
    Err(faults)
}

/// TOML text and the place of each of its lines.
struct Written {
    text: String,
    places: Vec<Option<Place>>,
    faults: Vec<Fault>,
}

fn write(draft: &Draft) -> Written {
    let mut out = Written { text: String::new(), places: Vec::new(), faults: Vec::new() };
    out.line(None, &format!("schema = {SCHEMA_VERSION}"));
    if let Some(row) = draft.rows[LIMIT].first() {
        out.header(LIMIT, 0, "[shift]");
        out.fields(LIMIT, 0, row);
    }
    for section in LIMIT + 1..SECTIONS.len() {
        match section {
            KIND | SHIFT => out.orphans(section, draft),
            _ => out.section(section, draft),
        }
    }
    out
}

impl Written {
    fn line(&mut self, place: Option<Place>, text: &str) {
        self.text.push_str(text);
        self.text.push('\n');
        self.places.push(place);
    }

    fn header(&mut self, section: usize, row: usize, text: &str) {
        self.line(Some(Place { section, row, column: None }), text);
    }

    fn section(&mut self, section: usize, draft: &Draft) {
        for (number, row) in draft.rows[section].iter().enumerate() {
            self.header(section, number, &format!("[[{}]]", SECTIONS[section].name));
            self.fields(section, number, row);
            if section == SERVICE {
                let is_first = draft.rows[SERVICE][..number].iter().all(|one| one[0] != row[0]);
                let parts = if is_first { &[KIND, SHIFT][..] } else { &[] };
                parts.iter().for_each(|&part| self.parts(part, draft, &row[0]));
            }
        }
    }

    /// The rows of `section` that belong to `service`.
    fn parts(&mut self, section: usize, draft: &Draft, service: &str) {
        for (number, row) in draft.rows[section].iter().enumerate() {
            if row[0] == service {
                self.header(section, number, &format!("[[{}]]", SECTIONS[section].name));
                self.fields(section, number, row);
            }
        }
    }

    /// A fault for each row of `section` that belongs to no service.
    fn orphans(&mut self, section: usize, draft: &Draft) {
        let services = &draft.rows[SERVICE];
        for (number, row) in draft.rows[section].iter().enumerate() {
            if services.iter().all(|service| service[0] != row[0]) {
                let place = Some(Place { section, row: number, column: Some(0) });
                let message = format!("EP-1009: no service is called `{}`", row[0]);
                self.faults.push(Fault { place, message });
            }
        }
    }

    fn no_choice(&mut self, section: usize, row: usize, column: usize, keys: &[&str]) {
        let place = Some(Place { section, row, column: Some(column) });
        let message = format!("EP-1011: choose one of {}", keys.join(", "));
        self.faults.push(Fault { place, message });
    }

    fn fields(&mut self, section: usize, row: usize, fields: &Row) {
        let columns = SECTIONS[section].columns;
        for (index, (column, text)) in columns.iter().zip(fields).enumerate() {
            let key = match index.checked_sub(1).map(|before| columns[before].input) {
                Some(Input::Choice(keys)) => match choose(keys, &fields[index - 1]) {
                    Some(key) => key,
                    None => {
                        self.no_choice(section, row, index - 1, keys);
                        continue;
                    }
                },
                _ => column.name,
            };
            if let Some(value) = value_of(column, text) {
                let place = Place { section, row, column: Some(index) };
                self.line(Some(place), &format!("{key} = {value}"));
            }
        }
    }
}

/// The key that `text` chooses.
fn choose(keys: &'static [&'static str], text: &str) -> Option<&'static str> {
    keys.iter().copied().find(|&key| key == text)
}

/// The field's text as TOML on one line. Text of another form than the column's becomes a string,
/// which the check refuses with the right message.
fn value_of(column: &Column, text: &str) -> Option<String> {
    let value = match column.input {
        Input::Parent | Input::Choice(_) => return None,
        Input::Text => quote(text),
        Input::Number => number(text),
        Input::Flag if text == "true" || text == "false" => text.to_owned(),
        Input::Time if text.parse::<Datetime>().is_ok() => text.to_owned(),
        Input::Flag | Input::Time => quote(text),
        Input::Names => {
            let names: Vec<String> = split(text).map(quote).collect();
            format!("[{}]", names.join(", "))
        }
        Input::Placement => placement(text),
    };
    Some(value)
}

fn split(text: &str) -> impl Iterator<Item = &str> {
    text.split(',').map(str::trim).filter(|part| !part.is_empty())
}

fn number(text: &str) -> String {
    text.parse::<i64>().map_or_else(|_| quote(text), |number| number.to_string())
}

fn placement(text: &str) -> String {
    let mut parts = Vec::new();
    for part in split(text) {
        let Some((centre, count)) = part.split_once('=') else { return quote(text) };
        parts.push(format!("{} = {}", quote(centre.trim()), number(count.trim())));
    }
    let is_repeated = (1..parts.len()).any(|index| {
        let key = |part: &String| part.split(" = ").next().map(str::to_owned);
        parts[..index].iter().any(|earlier| key(earlier) == key(&parts[index]))
    });
    if is_repeated { quote(text) } else { format!("{{ {} }}", parts.join(", ")) }
}

/// A TOML string on one line.
fn quote(text: &str) -> String {
    // Control characters would make the string span lines.
    let text: String = text.chars().map(|c| if c.is_control() { ' ' } else { c }).collect();
    let value = Value::String(text.clone()).to_string();
    // The library prefers literal strings where they are shorter; both forms fit a line.
    debug_assert!(!value.contains('\n'), "{text:?}");
    value
}
