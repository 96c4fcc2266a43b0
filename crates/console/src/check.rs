//! Checks a draft: writes it as TOML, parses that, and maps each fault to its field.
//!
//! Each field is written on a line of its own, so the line of a fault identifies the field.

use ebonypass_core::policy::{Document, SCHEMA_VERSION};
use ebonypass_core::scan::scan_document;
use toml::Value;
use toml::value::Datetime;

use crate::draft::{Draft, Row};
use crate::section::{Column, Input, KIND, SECTIONS, SERVICE, SHIFT, SHIFT_LIMIT};

/// The location of a fault in a draft.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Location {
    /// Index of the section.
    pub(crate) section: usize,
    /// Index of the row.
    pub(crate) row: usize,
    /// Index of the column; `None` if the fault concerns the whole row.
    pub(crate) column: Option<usize>,
}

/// A fault of a draft.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Fault {
    /// The location; `None` if the fault concerns the whole document.
    pub(crate) location: Option<Location>,
    /// The code, the message and a hint.
    pub(crate) message: String,
}

/// Converts a draft to a document.
///
/// Errors: all faults of the draft.
pub(crate) fn check_draft(draft: &Draft) -> Result<Document, Vec<Fault>> {
    let output = write_draft(draft);
    let parsed = scan_document(&output.text);
    let parse_faults = match parsed {
        Ok(document) if output.faults.is_empty() => return Ok(document),
        Ok(_) => return Err(output.faults),
        Err(faults) => faults,
    };
    let mut faults = output.faults;
    for fault in parse_faults {
        let line = (fault.line as usize).saturating_sub(1);
        let location = output.locations.get(line).copied().flatten();
        let code = fault.code.number();
        let message = format!("EP-{code:04}: {} ({})", fault.message, fault.hint);
        faults.push(Fault { location, message });
    }
    Err(faults)
}

/// The TOML text of a draft.
struct Output {
    text: String,
    /// The location of each line of `text`.
    locations: Vec<Option<Location>>,
    /// Faults that have no line of `text`.
    faults: Vec<Fault>,
}

/// Writes a draft as TOML.
fn write_draft(draft: &Draft) -> Output {
    let mut output = Output { text: String::new(), locations: Vec::new(), faults: Vec::new() };
    output.write_line(None, &format!("schema = {SCHEMA_VERSION}"));
    if let Some(row) = draft.rows[SHIFT_LIMIT].first() {
        output.write_header(SHIFT_LIMIT, 0, "[shift]");
        output.write_fields(SHIFT_LIMIT, 0, row);
    }
    for section in SHIFT_LIMIT + 1..SECTIONS.len() {
        match section {
            KIND | SHIFT => output.report_orphans(section, draft),
            _ => output.write_section(section, draft),
        }
    }
    output
}

impl Output {
    /// Appends a line.
    fn write_line(&mut self, location: Option<Location>, text: &str) {
        self.text.push_str(text);
        self.text.push('\n');
        self.locations.push(location);
    }

    /// Appends the header of a table.
    fn write_header(&mut self, section: usize, row: usize, text: &str) {
        self.write_line(Some(Location { section, row, column: None }), text);
    }

    /// Appends the tables of a section, each service with its subtables. If a service name is
    /// repeated, only the first service gets the subtables.
    fn write_section(&mut self, section: usize, draft: &Draft) {
        for (number, row) in draft.rows[section].iter().enumerate() {
            self.write_header(section, number, &format!("[[{}]]", SECTIONS[section].name));
            self.write_fields(section, number, row);
            if section == SERVICE {
                let is_first =
                    draft.rows[SERVICE][..number].iter().all(|earlier| earlier[0] != row[0]);
                let subsections = if is_first { &[KIND, SHIFT][..] } else { &[] };
                subsections
                    .iter()
                    .for_each(|&subsection| self.write_subtables(subsection, draft, &row[0]));
            }
        }
    }

    /// Appends the rows of `section` that belong to `service`.
    fn write_subtables(&mut self, section: usize, draft: &Draft, service: &str) {
        for (number, row) in draft.rows[section].iter().enumerate() {
            if row[0] == service {
                self.write_header(section, number, &format!("[[{}]]", SECTIONS[section].name));
                self.write_fields(section, number, row);
            }
        }
    }

    /// Adds a fault for each row of `section` whose service does not exist.
    fn report_orphans(&mut self, section: usize, draft: &Draft) {
        let services = &draft.rows[SERVICE];
        for (number, row) in draft.rows[section].iter().enumerate() {
            if services.iter().all(|service| service[0] != row[0]) {
                let location = Some(Location { section, row: number, column: Some(0) });
                let message = format!("EP-1009: no service is called `{}`", row[0]);
                self.faults.push(Fault { location, message });
            }
        }
    }

    /// Adds a fault for a field that names none of `keys`.
    fn report_invalid_choice(&mut self, section: usize, row: usize, column: usize, keys: &[&str]) {
        let location = Some(Location { section, row, column: Some(column) });
        let message = format!("EP-1011: choose one of {}", keys.join(", "));
        self.faults.push(Fault { location, message });
    }

    /// Appends one line for each field of a row.
    fn write_fields(&mut self, section: usize, row: usize, fields: &Row) {
        let columns = SECTIONS[section].columns;
        for (index, (column, text)) in columns.iter().zip(fields).enumerate() {
            let key = match index.checked_sub(1).map(|previous| columns[previous].input) {
                Some(Input::Choice(keys)) => match find_key(keys, &fields[index - 1]) {
                    Some(key) => key,
                    None => {
                        self.report_invalid_choice(section, row, index - 1, keys);
                        continue;
                    }
                },
                _ => column.name,
            };
            if let Some(value) = to_toml(column, text) {
                let location = Location { section, row, column: Some(index) };
                self.write_line(Some(location), &format!("{key} = {value}"));
            }
        }
    }
}

/// Returns the key that equals `text`.
fn find_key(keys: &'static [&'static str], text: &str) -> Option<&'static str> {
    keys.iter().copied().find(|&key| key == text)
}

/// Converts the text of a field to a TOML value on one line; `None` for columns without a value.
/// Text that is not of the column's type becomes a string, so that the parser reports the right
/// fault.
fn to_toml(column: &Column, text: &str) -> Option<String> {
    let value = match column.input {
        Input::Parent | Input::Choice(_) => return None,
        Input::Text => quote(text),
        Input::Number => number_to_toml(text),
        Input::Boolean if text == "true" || text == "false" => text.to_owned(),
        Input::Time if text.parse::<Datetime>().is_ok() => text.to_owned(),
        Input::Boolean | Input::Time => quote(text),
        Input::NameList => {
            let names: Vec<String> = split_list(text).map(quote).collect();
            format!("[{}]", names.join(", "))
        }
        Input::Placement => placement_to_toml(text),
    };
    Some(value)
}

/// Splits a list at commas and drops empty items.
fn split_list(text: &str) -> impl Iterator<Item = &str> {
    text.split(',').map(str::trim).filter(|part| !part.is_empty())
}

/// Converts an integer; other text becomes a string.
fn number_to_toml(text: &str) -> String {
    text.parse::<i64>().map_or_else(|_| quote(text), |number| number.to_string())
}

/// Converts numbers of targets by data centre to an inline table. Malformed text and repeated data
/// centres become a string.
fn placement_to_toml(text: &str) -> String {
    let mut parts = Vec::new();
    for part in split_list(text) {
        let Some((centre, count)) = part.split_once('=') else { return quote(text) };
        parts.push(format!("{} = {}", quote(centre.trim()), number_to_toml(count.trim())));
    }
    let has_duplicates = (1..parts.len()).any(|index| {
        let key = |part: &String| part.split(" = ").next().map(str::to_owned);
        parts[..index].iter().any(|earlier| key(earlier) == key(&parts[index]))
    });
    if has_duplicates { quote(text) } else { format!("{{ {} }}", parts.join(", ")) }
}

/// Converts text to a TOML string on one line.
fn quote(text: &str) -> String {
    // Control characters could make the string span several lines.
    let text: String = text.chars().map(|c| if c.is_control() { ' ' } else { c }).collect();
    let value = Value::String(text.clone()).to_string();
    // The library writes a literal string where that is shorter; both forms fit on one line.
    debug_assert!(!value.contains('\n'), "{text:?}");
    value
}
