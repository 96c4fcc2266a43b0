//! `ebonypass submit`: submits a policy document.

use std::net::SocketAddr;

use ebonypass_core::submission::{self, Outcome, Submission};
use ebonypass_node::store::Http;
use ebonypass_node::submit::{new_id, submit};

use crate::Submit;
use crate::check::read_valid_document;
use crate::exit::{Exit, Failure};

/// Submits a document after checking it.
pub async fn run(command: &Submit) -> Result<Exit, Failure> {
    let text = read_valid_document(&command.file)?;
    submit_text(command.store, &command.operator, text, command.base, command.json).await
}

/// Submits the text of a valid document and prints the outcome. `base` is the version of the policy
/// that the document was derived from; the submission is refused if another version is in force.
pub async fn submit_text(
    store: SocketAddr,
    operator: &str,
    text: String,
    base: Option<u64>,
    json: bool,
) -> Result<Exit, Failure> {
    let id = new_id(operator);
    let submission_id = id.submission.clone();
    let mut submission = Submission::new(id, text);
    if let Some(base) = base {
        submission = submission.with_base(base);
    }
    let outcome = submit(&Http::new(store), submission).await;
    if json {
        println!("{}", outcome_to_json(&submission_id, &outcome));
    } else {
        println!("submission {submission_id}: {}", describe(&outcome));
    }
    Ok(exit_code(&outcome))
}

fn exit_code(outcome: &Outcome) -> Exit {
    match outcome {
        Outcome::Accepted => Exit::Done,
        Outcome::Refused { .. } => Exit::Conflict,
        Outcome::Unreachable => Exit::Unreachable,
        Outcome::Unknown => Exit::Unknown,
    }
}

fn describe(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Accepted => "accepted".to_owned(),
        Outcome::Refused { winner: submission::Id { submission, operator } } => {
            format!(
                "refused: {operator} submitted another document first (submission {submission})"
            )
        }
        Outcome::Unreachable => "the store is not reachable, nothing was written".to_owned(),
        Outcome::Unknown => {
            "it is not known whether the document was written; check with `ebonypass status`"
                .to_owned()
        }
    }
}

fn outcome_to_json(submission_id: &str, outcome: &Outcome) -> serde_json::Value {
    let (name, winner) = match outcome {
        Outcome::Accepted => ("accepted", None),
        Outcome::Refused { winner } => ("conflict", Some(winner)),
        Outcome::Unreachable => ("unreachable", None),
        Outcome::Unknown => ("unknown", None),
    };
    serde_json::json!({ "submission": submission_id, "outcome": name, "winner": winner })
}
