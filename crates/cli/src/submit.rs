//! `ebonypass submit`.

use std::net::SocketAddr;

use ebonypass_core::submission::{self, Outcome, Submission};
use ebonypass_node::store::Http;
use ebonypass_node::submit::{new_author, submit};

use crate::Submit;
use crate::check::read_valid;
use crate::exit::{Exit, Failure};

/// Submits a document.
pub async fn run(command: &Submit) -> Result<Exit, Failure> {
    let text = read_valid(&command.file)?;
    put(command.store, &command.operator, text, command.base, command.json).await
}

/// Submits a checked text and prints what became of it.
pub async fn put(
    store: SocketAddr,
    operator: &str,
    text: String,
    base: Option<u64>,
    json: bool,
) -> Result<Exit, Failure> {
    let author = new_author(operator);
    let id = author.submission.clone();
    let mut submission = Submission::new(author, text);
    if let Some(base) = base {
        submission = submission.with_base(base);
    }
    let settled = submit(&Http::new(store), submission).await;
    if json {
        println!("{}", to_json(&id, &settled));
    } else {
        println!("submission {id}: {}", sentence(&settled));
    }
    Ok(exit(&settled))
}

fn exit(settled: &Outcome) -> Exit {
    match settled {
        Outcome::Accepted => Exit::Done,
        Outcome::Refused { .. } => Exit::Conflict,
        Outcome::Unreachable => Exit::Unreachable,
        Outcome::Unknown => Exit::Unknown,
    }
}

fn sentence(settled: &Outcome) -> String {
    match settled {
        Outcome::Accepted => "accepted".to_owned(),
        Outcome::Refused { winner: submission::Id { submission, operator } } => {
            format!("refused, {operator} was faster with submission {submission}")
        }
        Outcome::Unreachable => "the store is not reachable, nothing was written".to_owned(),
        Outcome::Unknown => {
            "not known whether the write took effect; see `ebonypass status`".to_owned()
        }
    }
}

fn to_json(id: &str, settled: &Outcome) -> serde_json::Value {
    let (outcome, winner) = match settled {
        Outcome::Accepted => ("accepted", None),
        Outcome::Refused { winner } => ("conflict", Some(winner)),
        Outcome::Unreachable => ("unreachable", None),
        Outcome::Unknown => ("unknown", None),
    };
    serde_json::json!({ "submission": id, "outcome": outcome, "winner": winner })
}
