//! What operators read about their submissions.

use ebonypass_core::submission::Outcome;

/// What an operator reads about the result.
pub(crate) fn message(settled: &Outcome) -> String {
    match settled {
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
