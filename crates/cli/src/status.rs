//! `ebonypass status`: the policy in force, and its rollout and drains by data centre.

use std::collections::BTreeMap;

use ebonypass_node::store::{Error, Http, Store};
use ebonypass_node::submit::read_policy;
use serde::{Deserialize, Serialize};

use crate::exit::{Exit, Failure};

/// Key prefix of the status objects; each data centre has one, written by its entries.
const STATUS_PREFIX: &str = "status/";

/// The value of a `status/<data centre>` object.
#[derive(Debug, Serialize, Deserialize)]
struct Report {
    /// Number of entries by policy version.
    versions: BTreeMap<u64, u32>,
    /// Drains with requests still in flight.
    #[serde(default)]
    draining: Vec<Draining>,
}

/// A drain in progress.
#[derive(Debug, Serialize, Deserialize)]
struct Draining {
    /// Name of the data centre or target.
    subject: String,
    /// Number of requests in flight.
    in_flight: u64,
}

/// The output of the command.
#[derive(Debug, Serialize)]
struct Overview {
    version: u64,
    submission: String,
    operator: String,
    data_centres: BTreeMap<String, Report>,
}

/// Prints the policy in force and the status of each data centre.
pub async fn run(command: &crate::Status) -> Result<Exit, Failure> {
    let store = Http::new(command.store);
    let policy = match read_policy(&store).await {
        Err(Error::NotFound) => {
            return Err(Failure::new(Exit::Refused, "no policy has been submitted yet"));
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
        print_overview(&overview);
    }
    Ok(Exit::Done)
}

fn print_overview(overview: &Overview) {
    let Overview { version, submission, operator, data_centres } = overview;
    println!("version {version}, submission {submission} by {operator}");
    for (name, report) in data_centres {
        for (entry_version, count) in &report.versions {
            let state = if entry_version == version { "in force" } else { "older" };
            println!("{name}: {count} entries with version {entry_version}, {state}");
        }
        for Draining { subject, in_flight } in &report.draining {
            println!("{name}: drain of {subject} waits for {in_flight} requests");
        }
    }
}
