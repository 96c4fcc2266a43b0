//! The form of one section: renders its HTML and applies submitted fields to a draft.

use std::fmt::Write;

use crate::check::{Fault, Location};
use crate::draft::{Draft, Row};
use crate::html::Escaped;
use crate::section::{Column, Input, SECTIONS, SHIFT_LIMIT};
use crate::session::Session;

/// Rows per page. Sections are paged because a document can have tens of thousands of client
/// blocks.
pub(crate) const ROWS_PER_PAGE: usize = 50;

/// Blank rows at the end of each page, for additions.
const BLANK_ROWS: usize = 3;

/// Names and values of form fields, as the browser sent them.
pub(crate) type Fields = Vec<(String, String)>;

/// Returns the first value of the field `name`.
pub(crate) fn field<'f>(fields: &'f Fields, name: &str) -> Option<&'f str> {
    fields.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
}

/// Returns the number of pages of a section, at least 1.
fn page_count(draft: &Draft, section: usize) -> usize {
    draft.rows[section].len().div_ceil(ROWS_PER_PAGE).max(1)
}

/// Renders one page of the form of a section. A `page` past the end shows the last one.
pub(crate) fn render(session: &Session, section: usize, page: usize, faults: &[Fault]) -> String {
    let definition = &SECTIONS[section];
    let rows = &session.workspace.draft.rows[section];
    let page = page.min(page_count(&session.workspace.draft, section) - 1);
    let mut html = format!("<p>{}</p>\n", Escaped(definition.help));
    html.push_str(&page_links(session, section, page, faults));
    let _ = writeln!(html, "<form method=\"post\" action=\"/edit/{}\">", definition.name);
    html.push_str(&hidden_fields(session));
    let _ = write!(html, "<input type=\"hidden\" name=\"page\" value=\"{page}\">\n<table>\n<tr>");
    for column in definition.columns {
        let _ = write!(html, "<th scope=\"col\">{}</th>", Escaped(column.label));
    }
    html.push_str(if section == SHIFT_LIMIT {
        "</tr>\n"
    } else {
        "<th scope=\"col\">Delete</th></tr>\n"
    });
    let page_rows = rows.iter().enumerate().skip(page * ROWS_PER_PAGE).take(ROWS_PER_PAGE);
    for (number, row) in page_rows {
        html.push_str(&render_row(section, number, row, faults));
    }
    let blank_row = vec![String::new(); definition.columns.len()];
    let page_end = (page + 1) * ROWS_PER_PAGE;
    for number in 0..if section == SHIFT_LIMIT { 0 } else { BLANK_ROWS } {
        html.push_str(&render_row(section, page_end.max(rows.len()) + number, &blank_row, &[]));
    }
    html.push_str("</table>\n<button>Save to the draft</button>\n</form>\n");
    html
}

/// Renders the hidden fields of each form: the CSRF token and the revision of the draft.
pub(crate) fn hidden_fields(session: &Session) -> String {
    format!(
        "<input type=\"hidden\" name=\"csrf\" value=\"{}\">\n\
         <input type=\"hidden\" name=\"revision\" value=\"{}\">\n",
        session.csrf_token, session.workspace.revision
    )
}

/// Renders links to the pages of a section and marks those with faults.
fn page_links(session: &Session, section: usize, page: usize, faults: &[Fault]) -> String {
    let count = page_count(&session.workspace.draft, section);
    if count == 1 {
        return String::new();
    }
    let mut html = "<p>Pages:".to_owned();
    for other in 0..count {
        let has_faults = faults
            .iter()
            .filter_map(|fault| fault.location)
            .any(|location| location.section == section && location.row / ROWS_PER_PAGE == other);
        let suffix = if has_faults { " (faults)" } else { "" };
        let name = SECTIONS[section].name;
        let number = other + 1;
        let _ = match other == page {
            true => write!(html, " <b>{number}{suffix}</b>"),
            false => write!(html, " <a href=\"/edit/{name}?page={other}\">{number}{suffix}</a>"),
        };
    }
    html + "</p>\n"
}

/// Renders a table row with the faults at its fields.
fn render_row(section: usize, number: usize, row: &Row, faults: &[Fault]) -> String {
    let mut html = "<tr>".to_owned();
    let location_of = |column| Location { section, row: number, column };
    for (index, (column, text)) in SECTIONS[section].columns.iter().zip(row).enumerate() {
        let messages = messages_at(faults, location_of(Some(index)));
        let id = format!("r{number}c{index}");
        let input = render_input(column, &id, text, !messages.is_empty());
        let _ = write!(html, "<td>{input}{}</td>", render_messages(&id, &messages));
    }
    let messages = messages_at(faults, location_of(None));
    let row_messages = render_messages(&format!("r{number}"), &messages);
    if section == SHIFT_LIMIT {
        return html + "</tr>\n";
    }
    let delete =
        format!("<input type=\"checkbox\" name=\"r{number}delete\" aria-label=\"Delete\">");
    let _ = writeln!(html, "<td>{delete}{row_messages}</td></tr>");
    html
}

/// Returns the messages of the faults at `location`.
fn messages_at(faults: &[Fault], location: Location) -> Vec<&str> {
    let faults_here = faults.iter().filter(|fault| fault.location == Some(location));
    faults_here.map(|fault| fault.message.as_str()).collect()
}

/// Renders fault messages as an element with the ID `{id}fault`.
fn render_messages(id: &str, messages: &[&str]) -> String {
    if messages.is_empty() {
        return String::new();
    }
    let lines: Vec<String> = messages.iter().map(|text| Escaped(text).to_string()).collect();
    format!("<div class=\"fault\" id=\"{id}fault\">{}</div>", lines.join("<br>"))
}

/// Minimum width of a text field, in characters.
const MIN_FIELD_CHARS: usize = 12;
/// Maximum width of a text field, in characters.
const MAX_FIELD_CHARS: usize = 48;

/// Renders the text or selection field of a column.
fn render_input(column: &Column, id: &str, text: &str, has_faults: bool) -> String {
    let label = Escaped(column.label);
    let fault_attributes = match has_faults {
        true => format!(" class=\"faulty\" aria-invalid=\"true\" aria-describedby=\"{id}fault\""),
        false => String::new(),
    };
    let choices: &[&str] = match column.input {
        Input::Boolean => &["true", "false"],
        Input::Choice(choices) => choices,
        _ => {
            let size = text.chars().count().clamp(MIN_FIELD_CHARS, MAX_FIELD_CHARS);
            let text = Escaped(text);
            return format!(
                "<input type=\"text\" name=\"{id}\" size=\"{size}\" aria-label=\"{label}\" \
                 value=\"{text}\"{fault_attributes}>"
            );
        }
    };
    let mut html = format!("<select name=\"{id}\" aria-label=\"{label}\"{fault_attributes}>");
    html.push_str("<option value=\"\"></option>");
    for choice in choices {
        let selected = if *choice == text { " selected" } else { "" };
        let _ = write!(html, "<option{selected}>{choice}</option>");
    }
    html + "</select>"
}

/// Returns a copy of the draft with the rows of one page replaced by the submitted ones. Blank and
/// deleted rows are omitted.
pub(crate) fn apply(draft: &Draft, section: usize, page: usize, fields: &Fields) -> Draft {
    let columns = SECTIONS[section].columns.len();
    let mut submitted: std::collections::BTreeMap<usize, Row> = std::collections::BTreeMap::new();
    for (name, value) in fields {
        let Some((row, column)) = scan_name(name).filter(|&(_, column)| column < columns) else {
            continue;
        };
        let row = submitted.entry(row).or_insert_with(|| vec![String::new(); columns]);
        row[column] = value.trim().to_owned();
    }
    submitted.retain(|number, row| {
        let is_deleted = field(fields, &format!("r{number}delete")).is_some();
        !is_deleted && (section == SHIFT_LIMIT || row.iter().any(|text| !text.is_empty()))
    });
    let mut draft = draft.clone();
    let rows = &mut draft.rows[section];
    let start = (page * ROWS_PER_PAGE).min(rows.len());
    let end = (start + ROWS_PER_PAGE).min(rows.len());
    rows.splice(start..end, submitted.into_values());
    draft
}

/// Parses a field name of the form `r<row>c<column>`.
fn scan_name(name: &str) -> Option<(usize, usize)> {
    let (row, column) = name.strip_prefix('r')?.split_once('c')?;
    Some((row.parse().ok()?, column.parse().ok()?))
}
