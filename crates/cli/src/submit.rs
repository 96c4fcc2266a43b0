//! `ebonypass submit`.

use std::net::SocketAddr;

use ebonypass_core::submission::{Author, Settled, Submission};
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

fn exit(settled: &Settled) -> Exit {
    match settled {
        Settled::Accepted => Exit::Done,
        Settled::Refused { .. } => Exit::Conflict,
        Settled::Unreachable => Exit::Unreachable,
        Settled::Unknown => Exit::Unknown,
    }
}

fn sentence(settled: &Settled) -> String {
    match settled {
        Settled::Accepted => "accepted".to_owned(),
        Settled::Refused { winner: Author { submission, operator } } => {
            format!("refused, {operator} was faster with submission {submission}")
        }
        Settled::Unreachable => "the store is not reachable, nothing was written".to_owned(),
        Settled::Unknown => {
            "not known whether the write took effect; see `ebonypass status`".to_owned()
        }
    }
}

fn to_json(id: &str, settled: &Settled) -> serde_json::Value {
    let (outcome, winner) = match settled {
        Settled::Accepted => ("accepted", None),
        Settled::Refused { winner } => ("conflict", Some(winner)),
        Settled::Unreachable => ("unreachable", None),
        Settled::Unknown => ("unknown", None),
    };
    serde_json::json!({ "submission": id, "outcome": outcome, "winner": winner })
}
