//! Where each version is in force and what each drain waits for.

use std::collections::BTreeMap;
use std::fmt::Write;

use ebonypass_core::submission::Envelope;
use ebonypass_node::store::{Error, Http, POLICY_KEY, Store};
use serde::Deserialize;

use crate::html::Escaped;

/// The prefix of the status objects.
const PREFIX: &str = "status/";

/// A status object.
#[derive(Debug, Deserialize)]
struct Status {
    /// Nodes by version in force.
    #[serde(default)]
    versions: BTreeMap<String, u64>,
    /// Drains that are not done.
    #[serde(default)]
    draining: Vec<Draining>,
}

/// What a drain waits for.
#[derive(Debug, Deserialize)]
struct Draining {
    /// The data centre or target.
    subject: String,
    /// Requests in flight.
    in_flight: u64,
}

/// The body of the status page.
pub(crate) async fn render(store: &Http) -> String {
    match read(store).await {
        Ok(html) => html,
        Err(error) => {
            let error = error.to_string();
            format!("<p class=\"fault\">The store could not be read: {}</p>\n", Escaped(&error))
        }
    }
}

async fn read(store: &Http) -> Result<String, Error> {
    let mut html = current(store).await?;
    html.push_str("<table>\n<caption>Versions in force</caption>\n");
    html.push_str("<tr><th>Data centre</th><th>Version: nodes</th><th>Drains wait for</th></tr>\n");
    for item in store.list(PREFIX).await? {
        let object = store.get(&item.key).await?;
        let centre = item.key.strip_prefix(PREFIX).unwrap_or(&item.key);
        let _ = writeln!(html, "<tr><th>{}</th>{}</tr>", Escaped(centre), cells(&object.value));
    }
    html.push_str("</table>\n");
    Ok(html)
}

async fn current(store: &Http) -> Result<String, Error> {
    let object = match store.get(POLICY_KEY).await {
        Ok(object) => object,
        Err(Error::NotFound) => return Ok("<p>The store has no document yet.</p>\n".to_owned()),
        Err(error) => return Err(error),
    };
    let envelope = serde_json::from_slice::<Envelope>(&object.value);
    let author = envelope.map_or_else(|_| "nobody known".to_owned(), |one| one.operator);
    let (version, author) = (object.version, Escaped(&author));
    Ok(format!("<p>The store holds version {version}, submitted by {author}.</p>\n"))
}

fn cells(value: &[u8]) -> String {
    let Ok(status) = serde_json::from_slice::<Status>(value) else {
        return "<td class=\"fault\" colspan=\"2\">not readable</td>".to_owned();
    };
    let versions = status
        .versions
        .iter()
        .map(|(version, nodes)| format!("version {}: {nodes}", Escaped(version)));
    let draining = status.draining.iter().map(|drain| {
        format!("{}: {} requests in flight", Escaped(&drain.subject), drain.in_flight)
    });
    let versions = versions.collect::<Vec<_>>().join("<br>");
    let draining = draining.collect::<Vec<_>>().join("<br>");
    format!("<td>{versions}</td><td>{draining}</td>")
}
