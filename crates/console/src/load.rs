//! Reads the policy document from the store into a workspace.

use ebonypass_core::policy::Document;
use ebonypass_core::scan::scan_document;
use ebonypass_core::submission::Envelope;
use ebonypass_node::store::{Error, Http, POLICY_KEY, Store};

use crate::draft::Draft;
use crate::event::{Event, emit};
use crate::session::Workspace;

/// Creates a workspace from the document in the store. The draft is empty if there is none or it
/// cannot be read.
pub(crate) async fn load(store: &Http) -> Workspace {
    let object = match store.get(POLICY_KEY).await {
        Ok(object) => object,
        Err(Error::NotFound) => {
            return empty_workspace(
                Some(0),
                "The store has no document yet. This draft starts empty.".into(),
            );
        }
        Err(error) => {
            let notice =
                format!("The store could not be read ({error}). Reload before you submit.");
            return empty_workspace(None, notice);
        }
    };
    let version = object.version;
    match scan_envelope(&object.value) {
        Ok((document, operator)) => {
            let notice = format!("Based on version {version}, submitted by {operator}.");
            Workspace {
                draft: Draft::new(&document),
                base_version: Some(version),
                revision: 0,
                notice,
            }
        }
        Err(message) => {
            emit(Event::DocumentUnreadable, format_args!("version {version}: {message}"));
            let notice = format!(
                "Version {version} in the store is not readable here ({message}). \
                 This draft starts empty and cannot be submitted."
            );
            empty_workspace(None, notice)
        }
    }
}

/// Creates a workspace with an empty draft.
fn empty_workspace(base_version: Option<u64>, notice: String) -> Workspace {
    Workspace { draft: Draft::new(&Document::default()), base_version, revision: 0, notice }
}

/// Parses a policy object. Returns its document and operator, or the first error.
fn scan_envelope(value: &[u8]) -> Result<(Document, String), String> {
    let envelope: Envelope = serde_json::from_slice(value).map_err(|error| error.to_string())?;
    match scan_document(&envelope.text) {
        Ok(document) => Ok((document, envelope.operator)),
        Err(faults) => Err(faults[0].to_string()),
    }
}
