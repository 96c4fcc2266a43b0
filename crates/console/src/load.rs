//! Reads the policy document from the store into a draft.

use ebonypass_core::policy::Document;
use ebonypass_core::scan::scan_document;
use ebonypass_core::submission::Envelope;
use ebonypass_node::store::{Error, Http, POLICY_KEY, Store};

use crate::draft::Draft;
use crate::note::{Event, note};
use crate::session::Work;

/// The store's current document as a draft.
pub(crate) async fn load(store: &Http) -> Work {
    let object = match store.get(POLICY_KEY).await {
        Ok(object) => object,
        Err(Error::Absent) => {
            return empty(
                Some(0),
                "The store has no document yet. This draft starts empty.".into(),
            );
        }
        Err(error) => {
            let notice =
                format!("The store could not be read ({error}). Reload before you submit.");
            return empty(None, notice);
        }
    };
    let version = object.version;
    match scan(&object.value) {
        Ok((document, operator)) => {
            let notice = format!("Made from version {version}, submitted by {operator}.");
            Work { draft: Draft::new(&document), base: Some(version), revision: 0, notice }
        }
        Err(message) => {
            note(Event::DocumentUnreadable, format_args!("version {version}: {message}"));
            let notice = format!(
                "Version {version} in the store is not readable here ({message}). \
                 This draft starts empty and cannot be submitted."
            );
            empty(None, notice)
        }
    }
}

fn empty(base: Option<u64>, notice: String) -> Work {
    Work { draft: Draft::new(&Document::default()), base, revision: 0, notice }
}

fn scan(value: &[u8]) -> Result<(Document, String), String> {
    let envelope: Envelope = serde_json::from_slice(value).map_err(|error| error.to_string())?;
    match scan_document(&envelope.text) {
        Ok(document) => Ok((document, envelope.operator)),
        Err(faults) => Err(faults[0].to_string()),
    }
}
