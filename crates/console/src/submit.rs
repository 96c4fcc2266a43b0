//! Messages about submissions.

use ebonypass_core::submission::Outcome;

/// Returns the message that tells an operator the outcome of a submission.
pub(crate) fn message(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Accepted => "The document was accepted.".to_owned(),
        Outcome::Refused { winner } => format!(
            "The document was not accepted: {} submitted another one first (submission {}). \
             Reload to see it; reloading discards this draft.",
            winner.operator, winner.submission
        ),
        Outcome::Unreachable => {
            "The store could not be reached. Nothing was submitted; try again later.".to_owned()
        }
        Outcome::Unknown => "It is not known whether the document was accepted. Do not submit \
                             again before the status page shows the store's version."
            .to_owned(),
    }
}
