//! `ebonypass diff`.

use ebonypass_core::format::format_document;
use ebonypass_core::scan::scan_document;
use ebonypass_node::store::{Error, Http};
use ebonypass_node::submit::read_policy;
use similar::TextDiff;

use crate::Diff;
use crate::check::read_valid;
use crate::exit::{Exit, Failure};

/// Shows the difference between the policy in force and a document, both in canonical form, so
/// that layout and comments do not count.
pub async fn run(command: &Diff) -> Result<Exit, Failure> {
    let new = canonical(&read_valid(&command.file)?);
    let (version, old) = match read_policy(&Http::new(command.store)).await {
        Ok(held) => (held.version, canonical(&held.value.text)),
        Err(Error::Absent) => (0, String::new()),
        Err(error) => return Err(error.into()),
    };
    let diff = TextDiff::from_lines(&old, &new);
    let text = diff.unified_diff().header(&format!("version {version}"), "document").to_string();
    if command.json {
        println!("{}", serde_json::json!({ "version": version, "same": old == new, "diff": text }));
    } else {
        print!("{text}");
    }
    Ok(Exit::Done)
}

/// The canonical form of a text, or the text itself if a newer program wrote it.
fn canonical(text: &str) -> String {
    scan_document(text).map_or_else(|_| text.to_owned(), |document| format_document(&document))
}
