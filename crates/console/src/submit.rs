//! What operators read about their submissions.

use ebonypass_core::submission::Settled;

/// What an operator reads about the result.
pub(crate) fn message(settled: &Settled) -> String {
    match settled {
        Settled::Accepted => "The document was accepted.".to_owned(),
        Settled::Refused { winner } => format!(
            "The document was not accepted: {} submitted another one first (submission {}). \
             Reload to see it; reloading discards this draft.",
            winner.operator, winner.submission
        ),
        Settled::Unreachable => {
            "The store could not be reached. Nothing was submitted; try again later.".to_owned()
        }
        Settled::Unknown => "It is not known whether the document was accepted. Do not submit \
                             again before the status page shows the store's version."
            .to_owned(),
    }
}
