//! `ebonypass drain` and `ebonypass undrain`.
//!
//! Both edit the text of the policy in force, so its comments and layout are kept.

use std::time::{SystemTime, UNIX_EPOCH};

use ebonypass_core::date::{UnixTime, scan_unix_seconds};
use ebonypass_core::policy::Document;
use ebonypass_core::scan;
use ebonypass_node::store::Http;
use ebonypass_node::submit::read_policy;
use toml_edit::{DocumentMut, Table};

use crate::check::print_faults;
use crate::exit::{Exit, Failure};
use crate::submit::submit_text;
use crate::{Drain, Undrain};

/// Adds a planned drain to the policy and submits it.
pub async fn add(command: &Drain) -> Result<Exit, Failure> {
    let from = scan_time(&command.from)?;
    let until = scan_time(&command.until)?;
    let policy = read_policy(&Http::new(command.store)).await?;
    let key = subject_key(&scan_document(&policy.value.text)?, &command.subject)?;
    let text = format!(
        "{}\n[[drain]]\n{key} = \"{}\"\nfrom = {}\nuntil = {}\n",
        policy.value.text.trim_end_matches('\n').to_owned() + "\n",
        command.subject,
        UnixTime(from),
        UnixTime(until),
    );
    scan_document(&text)?;
    submit_text(command.store, &command.operator, text, Some(policy.version), command.json).await
}

/// Removes every planned drain of a data centre or target and submits the policy.
pub async fn remove(command: &Undrain) -> Result<Exit, Failure> {
    let policy = read_policy(&Http::new(command.store)).await?;
    let key = subject_key(&scan_document(&policy.value.text)?, &command.subject)?;
    let text = without_drains(&policy.value.text, key, &command.subject)?;
    scan_document(&text)?;
    submit_text(command.store, &command.operator, text, Some(policy.version), command.json).await
}

/// Returns the text without the drains of one subject.
///
/// Fails if there are none.
fn without_drains(text: &str, key: &str, subject: &str) -> Result<String, Failure> {
    let mut document: DocumentMut =
        text.parse().map_err(|error| Failure::new(Exit::Refused, format!("{error}")))?;
    let names_subject =
        |table: &Table| table.get(key).and_then(|name| name.as_str()) == Some(subject);
    let drains = document.get_mut("drain").and_then(|drains| drains.as_array_of_tables_mut());
    let count_before = drains.as_ref().map_or(0, |drains| drains.len());
    let count_after = drains.map_or(0, |drains| {
        drains.retain(|table| !names_subject(table));
        drains.len()
    });
    if count_before == count_after {
        return Err(Failure::new(Exit::Refused, format!("no drain of `{subject}` is planned")));
    }
    Ok(document.to_string())
}

/// Returns the key of a `[[drain]]` table that names `subject`: `data_centre` or `target`.
fn subject_key(document: &Document, subject: &str) -> Result<&'static str, Failure> {
    if document.centre(subject).is_some() {
        Ok("data_centre")
    } else if document.target(subject).is_some() {
        Ok("target")
    } else {
        let message = format!("no data centre or target is called `{subject}`");
        Err(Failure::new(Exit::Refused, message))
    }
}

/// Parses a document and prints its faults, if any.
fn scan_document(text: &str) -> Result<Document, Failure> {
    scan::scan_document(text).map_err(|faults| {
        print_faults("policy".as_ref(), &faults);
        Failure::new(Exit::Refused, "the edited document has faults and was not submitted")
    })
}

/// Parses `now` or a date and time into seconds since the Unix epoch.
fn scan_time(text: &str) -> Result<u64, Failure> {
    if text == "now" {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        return Ok(now.map_or(0, |now| now.as_secs()));
    }
    scan_unix_seconds(text).ok_or_else(|| {
        let message = format!("`{text}` is not a time such as 2026-12-05T02:00:00Z");
        Failure::new(Exit::Usage, message)
    })
}
