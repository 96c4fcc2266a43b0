//! The form of one section: its HTML and what a browser sends back.

use std::fmt::Write;

use crate::draft::{Draft, Row};
use crate::html::Escaped;
use crate::section::{Column, Input, LIMIT, SECTIONS};
use crate::session::Session;
use crate::text::{Fault, Place};

/// Rows of one page. A document can have tens of thousands of client blocks.
pub(crate) const PAGE_ROWS: usize = 50;

/// Empty rows for additions.
const NEW_ROWS: usize = 3;

/// Fields of a form as the browser sent them.
pub(crate) type Fields = Vec<(String, String)>;

/// The first value of `name`.
pub(crate) fn field<'f>(fields: &'f Fields, name: &str) -> Option<&'f str> {
    fields.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
}

/// The number of pages of a section.
fn pages(draft: &Draft, section: usize) -> usize {
    draft.rows[section].len().div_ceil(PAGE_ROWS).max(1)
}

/// The form of a section.
pub(crate) fn render(session: &Session, section: usize, page: usize, faults: &[Fault]) -> String {
    let parts = &SECTIONS[section];
    let rows = &session.work.draft.rows[section];
    let page = page.min(pages(&session.work.draft, section) - 1);
    let mut html = format!("<p>{}</p>\n", Escaped(parts.help));
    html.push_str(&page_links(session, section, page, faults));
    let _ = writeln!(html, "<form method=\"post\" action=\"/edit/{}\">", parts.name);
    html.push_str(&hidden(session));
    let _ = write!(html, "<input type=\"hidden\" name=\"page\" value=\"{page}\">\n<table>\n<tr>");
    for column in parts.columns {
        let _ = write!(html, "<th scope=\"col\">{}</th>", Escaped(column.label));
    }
    html.push_str(if section == LIMIT {
        "</tr>\n"
    } else {
        "<th scope=\"col\">Delete</th></tr>\n"
    });
    let shown = rows.iter().enumerate().skip(page * PAGE_ROWS).take(PAGE_ROWS);
    for (number, row) in shown {
        html.push_str(&render_row(section, number, row, faults));
    }
    let blank = vec![String::new(); parts.columns.len()];
    let last = (page + 1) * PAGE_ROWS;
    for number in 0..if section == LIMIT { 0 } else { NEW_ROWS } {
        html.push_str(&render_row(section, last.max(rows.len()) + number, &blank, &[]));
    }
    html.push_str("</table>\n<button>Save to the draft</button>\n</form>\n");
    html
}

/// The fields that each form carries.
pub(crate) fn hidden(session: &Session) -> String {
    format!(
        "<input type=\"hidden\" name=\"csrf\" value=\"{}\">\n\
         <input type=\"hidden\" name=\"revision\" value=\"{}\">\n",
        session.csrf, session.work.revision
    )
}

fn page_links(session: &Session, section: usize, page: usize, faults: &[Fault]) -> String {
    let count = pages(&session.work.draft, section);
    if count == 1 {
        return String::new();
    }
    let mut html = "<p>Pages:".to_owned();
    for other in 0..count {
        let is_faulty = faults
            .iter()
            .filter_map(|fault| fault.place)
            .any(|place| place.section == section && place.row / PAGE_ROWS == other);
        let mark = if is_faulty { " (faults)" } else { "" };
        let name = SECTIONS[section].name;
        let number = other + 1;
        let _ = match other == page {
            true => write!(html, " <b>{number}{mark}</b>"),
            false => write!(html, " <a href=\"/edit/{name}?page={other}\">{number}{mark}</a>"),
        };
    }
    html + "</p>\n"
}

fn render_row(section: usize, number: usize, row: &Row, faults: &[Fault]) -> String {
    let mut html = "<tr>".to_owned();
    let at = |column| Place { section, row: number, column };
    for (index, (column, text)) in SECTIONS[section].columns.iter().zip(row).enumerate() {
        let found = messages(faults, at(Some(index)));
        let id = format!("r{number}c{index}");
        let input = render_input(column, &id, text, !found.is_empty());
        let _ = write!(html, "<td>{input}{}</td>", render_messages(&id, &found));
    }
    let found = messages(faults, at(None));
    let whole = render_messages(&format!("r{number}"), &found);
    if section == LIMIT {
        return html + "</tr>\n";
    }
    let delete =
        format!("<input type=\"checkbox\" name=\"r{number}delete\" aria-label=\"Delete\">");
    let _ = writeln!(html, "<td>{delete}{whole}</td></tr>");
    html
}

fn messages(faults: &[Fault], place: Place) -> Vec<&str> {
    let here = faults.iter().filter(|fault| fault.place == Some(place));
    here.map(|fault| fault.message.as_str()).collect()
}

fn render_messages(id: &str, messages: &[&str]) -> String {
    if messages.is_empty() {
        return String::new();
    }
    let lines: Vec<String> = messages.iter().map(|text| Escaped(text).to_string()).collect();
    format!("<div class=\"fault\" id=\"{id}fault\">{}</div>", lines.join("<br>"))
}

/// Width of the narrowest and the widest text field, in characters.
const MIN_WIDTH: usize = 12;
const MAX_WIDTH: usize = 48;

fn render_input(column: &Column, id: &str, text: &str, is_faulty: bool) -> String {
    let label = Escaped(column.label);
    let faulty = match is_faulty {
        true => format!(" class=\"faulty\" aria-invalid=\"true\" aria-describedby=\"{id}fault\""),
        false => String::new(),
    };
    let choices: &[&str] = match column.input {
        Input::Flag => &["true", "false"],
        Input::Choice(choices) => choices,
        _ => {
            let size = text.chars().count().clamp(MIN_WIDTH, MAX_WIDTH);
            let text = Escaped(text);
            return format!(
                "<input type=\"text\" name=\"{id}\" size=\"{size}\" aria-label=\"{label}\" \
                 value=\"{text}\"{faulty}>"
            );
        }
    };
    let mut html = format!("<select name=\"{id}\" aria-label=\"{label}\"{faulty}>");
    html.push_str("<option value=\"\"></option>");
    for choice in choices {
        let selected = if *choice == text { " selected" } else { "" };
        let _ = write!(html, "<option{selected}>{choice}</option>");
    }
    html + "</select>"
}

/// The draft with the rows of one page replaced by those of a form. Blank and deleted rows are
/// left out.
pub(crate) fn apply(draft: &Draft, section: usize, page: usize, fields: &Fields) -> Draft {
    let columns = SECTIONS[section].columns.len();
    let mut sent: std::collections::BTreeMap<usize, Row> = std::collections::BTreeMap::new();
    for (name, value) in fields {
        let Some((row, column)) = scan_name(name).filter(|&(_, column)| column < columns) else {
            continue;
        };
        let row = sent.entry(row).or_insert_with(|| vec![String::new(); columns]);
        row[column] = value.trim().to_owned();
    }
    sent.retain(|number, row| {
        let is_deleted = field(fields, &format!("r{number}delete")).is_some();
        !is_deleted && (section == LIMIT || row.iter().any(|text| !text.is_empty()))
    });
    let mut draft = draft.clone();
    let rows = &mut draft.rows[section];
    let start = (page * PAGE_ROWS).min(rows.len());
    let end = (start + PAGE_ROWS).min(rows.len());
    rows.splice(start..end, sent.into_values());
    draft
}

/// Reads `r<row>c<column>`.
fn scan_name(name: &str) -> Option<(usize, usize)> {
    let (row, column) = name.strip_prefix('r')?.split_once('c')?;
    Some((row.parse().ok()?, column.parse().ok()?))
}
