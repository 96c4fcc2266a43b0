//! The pages.

use std::fmt::Write;

use ebonypass_core::format::format_document;

use crate::form;
use crate::html::{Escaped, page};
use crate::section::SECTIONS;
use crate::session::Session;
use crate::text::{self, Fault};

/// The log-in page. `secret` is the value that the form must carry.
pub(crate) fn log_in(secret: &str, message: &str) -> String {
    let message = match message {
        "" => String::new(),
        message => format!("<p class=\"fault\">{}</p>\n", Escaped(message)),
    };
    let body = format!(
        "{message}<form method=\"post\" action=\"/login\">\n\
         <input type=\"hidden\" name=\"csrf\" value=\"{secret}\">\n\
         <p><label for=\"token\">Token</label>\n\
         <input type=\"password\" id=\"token\" name=\"token\" autocomplete=\"off\" required></p>\n\
         <button>Log in</button>\n</form>\n"
    );
    page("Log in", "", &body)
}

fn navigation(session: &Session) -> String {
    let mut html = "<nav>\n<a href=\"/\">Overview</a>\n".to_owned();
    for section in &SECTIONS {
        let title = Escaped(section.title);
        let _ = writeln!(html, "<a href=\"/edit/{}\">{title}</a>", section.name);
    }
    html.push_str("<a href=\"/document\">Document</a>\n<a href=\"/status\">Status</a>\n");
    let hidden = form::hidden(session);
    let operator = Escaped(&session.operator);
    let _ = writeln!(
        html,
        "<form method=\"post\" action=\"/logout\">{hidden}<button>Log out {operator}</button></form>"
    );
    html + "</nav>\n"
}

/// A page of a logged-in operator.
pub(crate) fn inside(session: &Session, title: &str, body: &str) -> String {
    page(title, &navigation(session), body)
}

/// The page that counts rows and faults.
pub(crate) fn overview(session: &Session) -> String {
    let faults = text::check(&session.work.draft).err().unwrap_or_default();
    let mut body = format!("<p class=\"notice\">{}</p>\n", Escaped(&session.work.notice));
    body.push_str("<table>\n<tr><th>Part</th><th>Rows</th><th>Faults</th></tr>\n");
    for (index, section) in SECTIONS.iter().enumerate() {
        let rows = session.work.draft.rows[index].len();
        let here = |fault: &&Fault| fault.place.is_some_and(|place| place.section == index);
        let count = faults.iter().filter(here).count();
        let (name, title) = (section.name, Escaped(section.title));
        let _ = writeln!(
            body,
            "<tr><td><a href=\"/edit/{name}\">{title}</a></td><td>{rows}</td><td>{count}</td></tr>"
        );
    }
    body.push_str("</table>\n<form method=\"post\" action=\"/reload\">\n");
    body.push_str(&form::hidden(session));
    body.push_str("<p>Reloading discards this draft. <button>Reload from the store</button></p>\n");
    body.push_str("</form>\n");
    inside(session, "Overview", &body)
}

/// The form of a section.
pub(crate) fn edit(session: &Session, section: usize, number: usize) -> String {
    let faults = text::check(&session.work.draft).err().unwrap_or_default();
    let mut body = whole_faults(&faults);
    body.push_str(&form::render(session, section, number, &faults));
    inside(session, SECTIONS[section].title, &body)
}

/// Faults that belong to no field.
fn whole_faults(faults: &[Fault]) -> String {
    let mut html = String::new();
    for fault in faults.iter().filter(|fault| fault.place.is_none()) {
        let _ = writeln!(html, "<p class=\"fault\">{}</p>", Escaped(&fault.message));
    }
    html
}

/// The document, or its faults with links to their fields.
pub(crate) fn document(session: &Session) -> String {
    let body = match text::check(&session.work.draft) {
        Ok(document) => valid(session, &format_document(&document)),
        Err(faults) => faulty(&faults),
    };
    inside(session, "Document", &body)
}

fn valid(session: &Session, text: &str) -> String {
    let mut body = "<p><a href=\"/document.toml\" download>Download</a></p>\n".to_owned();
    if session.work.base.is_some() {
        let hidden = form::hidden(session);
        let _ = writeln!(
            body,
            "<form method=\"post\" action=\"/submit\">\n{hidden}<button>Submit</button>\n</form>"
        );
    } else {
        let _ = writeln!(body, "<p class=\"fault\">{}</p>", Escaped(&session.work.notice));
    }
    let _ = writeln!(body, "<pre>{}</pre>", Escaped(text));
    body
}

fn faulty(faults: &[Fault]) -> String {
    let mut body = "<p>The draft has faults and cannot be submitted.</p>\n<ul>\n".to_owned();
    for fault in faults {
        let message = Escaped(&fault.message);
        let _ = match fault.place {
            None => writeln!(body, "<li class=\"fault\">{message}</li>"),
            Some(place) => {
                let section = &SECTIONS[place.section];
                let (name, title) = (section.name, Escaped(section.title));
                let (page, row) = (place.row / form::PAGE_ROWS, place.row + 1);
                let link = format!("<a href=\"/edit/{name}?page={page}\">{title}, row {row}</a>");
                writeln!(body, "<li>{link}: <span class=\"fault\">{message}</span></li>")
            }
        };
    }
    body + "</ul>\n"
}

/// What became of a submission or of a refused form.
pub(crate) fn message(session: &Session, title: &str, message: &str) -> String {
    inside(session, title, &format!("<p class=\"notice\">{}</p>\n", Escaped(message)))
}
