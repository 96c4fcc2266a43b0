//! `ebonypass drain` and `ebonypass undrain`.
//!
//! Both edit the text in force and keep its comments and layout.

use std::time::{SystemTime, UNIX_EPOCH};

use ebonypass_core::date::{UnixTime, scan_unix_seconds};
use ebonypass_core::policy::Document;
use ebonypass_core::scan::scan_document;
use ebonypass_node::store::Http;
use ebonypass_node::submit::read_policy;
use toml_edit::{DocumentMut, Table};

use crate::check::print_faults;
use crate::exit::{Exit, Failure};
use crate::submit::put;
use crate::{Drain, Undrain};

/// Adds a planned drain.
pub async fn add(command: &Drain) -> Result<Exit, Failure> {
    let from = time(&command.from)?;
    let until = time(&command.until)?;
    let policy = read_policy(&Http::new(command.store)).await?;
    let field = field(&scan(&policy.value.text)?, &command.subject)?;
    let text = format!(
        "{}\n[[drain]]\n{field} = \"{}\"\nfrom = {}\nuntil = {}\n",
        policy.value.text.trim_end_matches('\n').to_owned() + "\n",
        command.subject,
        UnixTime(from),
        UnixTime(until),
    );
    scan(&text)?;
    put(command.store, &command.operator, text, Some(policy.version), command.json).await
}

/// Removes the planned drains of a subject.
pub async fn remove(command: &Undrain) -> Result<Exit, Failure> {
    let policy = read_policy(&Http::new(command.store)).await?;
    let field = field(&scan(&policy.value.text)?, &command.subject)?;
    let text = without_drains(&policy.value.text, field, &command.subject)?;
    scan(&text)?;
    put(command.store, &command.operator, text, Some(policy.version), command.json).await
}

/// The text without the drains of one subject.
fn without_drains(text: &str, field: &str, subject: &str) -> Result<String, Failure> {
    let mut document: DocumentMut =
        text.parse().map_err(|error| Failure::new(Exit::Refused, format!("{error}")))?;
    let is_subject =
        |table: &Table| table.get(field).and_then(|name| name.as_str()) == Some(subject);
    let drains = document.get_mut("drain").and_then(|drains| drains.as_array_of_tables_mut());
    let before = drains.as_ref().map_or(0, |drains| drains.len());
    let after = drains.map_or(0, |drains| {
        drains.retain(|table| !is_subject(table));
        drains.len()
    });
    if before == after {
        return Err(Failure::new(Exit::Refused, format!("no drain of `{subject}` is planned")));
    }
    Ok(document.to_string())
}

/// The field of a drain that names `subject`.
fn field(document: &Document, subject: &str) -> Result<&'static str, Failure> {
    if document.centre(subject).is_some() {
        Ok("data_centre")
    } else if document.target(subject).is_some() {
        Ok("target")
    } else {
        let message = format!("no data centre or target is called `{subject}`");
        Err(Failure::new(Exit::Refused, message))
    }
}

fn scan(text: &str) -> Result<Document, Failure> {
    scan_document(text).map_err(|faults| {
        print_faults("policy".as_ref(), &faults);
        Failure::new(Exit::Refused, "the changed document has faults and was not submitted")
    })
}

/// Seconds of Unix time.
fn time(text: &str) -> Result<u64, Failure> {
    if text == "now" {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        return Ok(now.map_or(0, |now| now.as_secs()));
    }
    scan_unix_seconds(text).ok_or_else(|| {
        let message = format!("`{text}` is not a time such as 2026-12-05T02:00:00Z");
        Failure::new(Exit::Usage, message)
    })
}
