//! `ebonypass status`.

use std::collections::BTreeMap;

use ebonypass_node::store::{Error, Http, Store};
use ebonypass_node::submit::read_policy;
use serde::{Deserialize, Serialize};

use crate::exit::{Exit, Failure};

/// Prefix of the objects that the entries of a data centre write.
const STATUS_PREFIX: &str = "status/";

/// The value of a `status/<data centre>` object.
#[derive(Debug, Serialize, Deserialize)]
struct Report {
    /// Number of entries by the version that they have in force.
    versions: BTreeMap<u64, u32>,
    /// Drains that still wait for work to finish.
    #[serde(default)]
    draining: Vec<Draining>,
}

#[derive(Debug, Serialize, Deserialize)]
struct Draining {
    subject: String,
    in_flight: u64,
}

#[derive(Debug, Serialize)]
struct Overview {
    version: u64,
    submission: String,
    operator: String,
    data_centres: BTreeMap<String, Report>,
}

/// Prints the policy in force and the state of the data centres.
pub async fn run(command: &crate::Status) -> Result<Exit, Failure> {
    let store = Http::new(command.store);
    let policy = match read_policy(&store).await {
        Err(Error::NotFound) => {
            return Err(Failure::new(Exit::Refused, "no policy was submitted yet"));
        }
        policy => policy?,
    };
    let mut data_centres = BTreeMap::new();
    for item in store.list(STATUS_PREFIX).await? {
        let object = store.get(&item.key).await?;
        let report = serde_json::from_slice(&object.value)
            .map_err(|error| Failure::new(Exit::Refused, format!("{}: {error}", item.key)))?;
        let name = item.key.strip_prefix(STATUS_PREFIX).unwrap_or(&item.key);
        data_centres.insert(name.to_owned(), report);
    }
    let overview = Overview {
        version: policy.version,
        submission: policy.value.submission,
        operator: policy.value.operator,
        data_centres,
    };
    if command.json {
        let text = serde_json::to_string(&overview);
        println!("{}", text.map_err(|error| Failure::new(Exit::Refused, error.to_string()))?);
    } else {
        print(&overview);
    }
    Ok(Exit::Done)
}

fn print(overview: &Overview) {
    let Overview { version, submission, operator, data_centres } = overview;
    println!("version {version}, submission {submission} by {operator}");
    for (name, report) in data_centres {
        for (held, count) in &report.versions {
            let state = if held == version { "in force" } else { "older" };
            println!("{name}: {count} entries with version {held}, {state}");
        }
        for Draining { subject, in_flight } in &report.draining {
            println!("{name}: drain of {subject} waits for {in_flight} requests");
        }
    }
}
