//! `ebonypass diff`: compares a document with the policy in force.

use ebonypass_core::format::format_document;
use ebonypass_core::scan::scan_document;
use ebonypass_node::store::{Error, Http};
use ebonypass_node::submit::read_policy;
use similar::TextDiff;

use crate::Diff;
use crate::check::read_valid_document;
use crate::exit::{Exit, Failure};

/// Prints the difference between the policy in force and a document. Both are in canonical form, so
/// that layout and comments are ignored.
pub async fn run(command: &Diff) -> Result<Exit, Failure> {
    let new = canonicalise(&read_valid_document(&command.file)?);
    let (version, old) = match read_policy(&Http::new(command.store)).await {
        Ok(object) => (object.version, canonicalise(&object.value.text)),
        Err(Error::NotFound) => (0, String::new()),
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

/// Formats a document in canonical form. Text that does not parse, such as a document of a newer
/// schema, is returned unchanged.
fn canonicalise(text: &str) -> String {
    scan_document(text).map_or_else(|_| text.to_owned(), |document| format_document(&document))
}
