//! Renders the pages of the console.

use std::fmt::Write;

use ebonypass_core::format::format_document;

use crate::check::{self, Fault};
use crate::form;
use crate::html::{Escaped, page};
use crate::section::SECTIONS;
use crate::session::Session;

/// Renders the log-in page. `csrf_token` must equal the value of the log-in cookie.
pub(crate) fn log_in(csrf_token: &str, message: &str) -> String {
    let message = match message {
        "" => String::new(),
        message => format!("<p class=\"fault\">{}</p>\n", Escaped(message)),
    };
    let body = format!(
        "{message}<form method=\"post\" action=\"/login\">\n\
         <input type=\"hidden\" name=\"csrf\" value=\"{csrf_token}\">\n\
         <p><label for=\"token\">Token</label>\n\
         <input type=\"password\" id=\"token\" name=\"token\" autocomplete=\"off\" required></p>\n\
         <button>Log in</button>\n</form>\n"
    );
    page("Log in", "", &body)
}

/// Renders the navigation bar of a session.
fn navigation(session: &Session) -> String {
    let mut html = "<nav>\n<a href=\"/\">Overview</a>\n".to_owned();
    for section in &SECTIONS {
        let title = Escaped(section.title);
        let _ = writeln!(html, "<a href=\"/edit/{}\">{title}</a>", section.name);
    }
    html.push_str("<a href=\"/document\">Document</a>\n<a href=\"/status\">Status</a>\n");
    let hidden_fields = form::hidden_fields(session);
    let operator = Escaped(&session.operator);
    let _ = writeln!(
        html,
        "<form method=\"post\" action=\"/logout\">{hidden_fields}<button>Log out {operator}</button></form>"
    );
    html + "</nav>\n"
}

/// Renders a page of a logged-in operator. `body` is HTML.
pub(crate) fn with_navigation(session: &Session, title: &str, body: &str) -> String {
    page(title, &navigation(session), body)
}

/// Renders the overview: the number of rows and faults of each section.
pub(crate) fn overview(session: &Session) -> String {
    let faults = check::check_draft(&session.workspace.draft).err().unwrap_or_default();
    let mut body = format!("<p class=\"notice\">{}</p>\n", Escaped(&session.workspace.notice));
    body.push_str("<table>\n<tr><th>Section</th><th>Rows</th><th>Faults</th></tr>\n");
    for (index, section) in SECTIONS.iter().enumerate() {
        let rows = session.workspace.draft.rows[index].len();
        let is_in_section =
            |fault: &&Fault| fault.location.is_some_and(|location| location.section == index);
        let count = faults.iter().filter(is_in_section).count();
        let (name, title) = (section.name, Escaped(section.title));
        let _ = writeln!(
            body,
            "<tr><td><a href=\"/edit/{name}\">{title}</a></td><td>{rows}</td><td>{count}</td></tr>"
        );
    }
    body.push_str("</table>\n<form method=\"post\" action=\"/reload\">\n");
    body.push_str(&form::hidden_fields(session));
    body.push_str("<p>Reloading discards this draft. <button>Reload from the store</button></p>\n");
    body.push_str("</form>\n");
    with_navigation(session, "Overview", &body)
}

/// Renders one page of the form of a section. `page` counts from 0.
pub(crate) fn edit(session: &Session, section: usize, page: usize) -> String {
    let faults = check::check_draft(&session.workspace.draft).err().unwrap_or_default();
    let mut body = document_faults(&faults);
    body.push_str(&form::render(session, section, page, &faults));
    with_navigation(session, SECTIONS[section].title, &body)
}

/// Renders the faults that have no location.
fn document_faults(faults: &[Fault]) -> String {
    let mut html = String::new();
    for fault in faults.iter().filter(|fault| fault.location.is_none()) {
        let _ = writeln!(html, "<p class=\"fault\">{}</p>", Escaped(&fault.message));
    }
    html
}

/// Renders the document, or its faults with links to their locations.
pub(crate) fn document(session: &Session) -> String {
    let body = match check::check_draft(&session.workspace.draft) {
        Ok(document) => render_valid(session, &format_document(&document)),
        Err(faults) => render_faults(&faults),
    };
    with_navigation(session, "Document", &body)
}

/// Renders the text of a valid document with its download link and submit button.
fn render_valid(session: &Session, text: &str) -> String {
    let mut body = "<p><a href=\"/document.toml\" download>Download</a></p>\n".to_owned();
    if session.workspace.base_version.is_some() {
        let hidden_fields = form::hidden_fields(session);
        let _ = writeln!(
            body,
            "<form method=\"post\" action=\"/submit\">\n{hidden_fields}<button>Submit</button>\n</form>"
        );
    } else {
        let _ = writeln!(body, "<p class=\"fault\">{}</p>", Escaped(&session.workspace.notice));
    }
    let _ = writeln!(body, "<pre>{}</pre>", Escaped(text));
    body
}

/// Renders a list of faults.
fn render_faults(faults: &[Fault]) -> String {
    let mut body = "<p>The draft has faults and cannot be submitted.</p>\n<ul>\n".to_owned();
    for fault in faults {
        let message = Escaped(&fault.message);
        let _ = match fault.location {
            None => writeln!(body, "<li class=\"fault\">{message}</li>"),
            Some(location) => {
                let section = &SECTIONS[location.section];
                let (name, title) = (section.name, Escaped(section.title));
                let (page, row) = (location.row / form::ROWS_PER_PAGE, location.row + 1);
                let link = format!("<a href=\"/edit/{name}?page={page}\">{title}, row {row}</a>");
                writeln!(body, "<li>{link}: <span class=\"fault\">{message}</span></li>")
            }
        };
    }
    body + "</ul>\n"
}

/// Renders a page that shows one message.
pub(crate) fn message(session: &Session, title: &str, message: &str) -> String {
    with_navigation(session, title, &format!("<p class=\"notice\">{}</p>\n", Escaped(message)))
}
