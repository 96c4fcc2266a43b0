//! The status page: the version in the store, and the versions and drains of each data centre.

use std::collections::BTreeMap;
use std::fmt::Write;

use ebonypass_core::submission::Envelope;
use ebonypass_node::store::{Error, Http, POLICY_KEY, Store};
use serde::Deserialize;

use crate::html::Escaped;

/// Key prefix of the status objects, one for each data centre.
const STATUS_PREFIX: &str = "status/";

/// The status of a data centre.
#[derive(Debug, Deserialize)]
struct Status {
    /// Number of nodes by policy version.
    #[serde(default)]
    versions: BTreeMap<String, u64>,
    /// Drains in progress.
    #[serde(default)]
    draining: Vec<Draining>,
}

/// A drain in progress.
#[derive(Debug, Deserialize)]
struct Draining {
    /// Name of the data centre or target.
    subject: String,
    /// Number of requests in flight.
    in_flight: u64,
}

/// Renders the body of the status page.
pub(crate) async fn render(store: &Http) -> String {
    match render_table(store).await {
        Ok(html) => html,
        Err(error) => {
            let error = error.to_string();
            format!("<p class=\"fault\">The store could not be read: {}</p>\n", Escaped(&error))
        }
    }
}

/// Renders the policy in the store and the table of data centres.
async fn render_table(store: &Http) -> Result<String, Error> {
    let mut html = render_policy(store).await?;
    html.push_str("<table>\n<caption>Versions in force</caption>\n");
    html.push_str("<tr><th>Data centre</th><th>Version: nodes</th><th>Drains wait for</th></tr>\n");
    for item in store.list(STATUS_PREFIX).await? {
        let object = store.get(&item.key).await?;
        let data_centre = item.key.strip_prefix(STATUS_PREFIX).unwrap_or(&item.key);
        let _ = writeln!(
            html,
            "<tr><th>{}</th>{}</tr>",
            Escaped(data_centre),
            render_cells(&object.value)
        );
    }
    html.push_str("</table>\n");
    Ok(html)
}

/// Renders the version and operator of the policy in the store.
async fn render_policy(store: &Http) -> Result<String, Error> {
    let object = match store.get(POLICY_KEY).await {
        Ok(object) => object,
        Err(Error::NotFound) => return Ok("<p>The store has no document yet.</p>\n".to_owned()),
        Err(error) => return Err(error),
    };
    let envelope = serde_json::from_slice::<Envelope>(&object.value);
    let operator =
        envelope.map_or_else(|_| "an unknown operator".to_owned(), |envelope| envelope.operator);
    let (version, operator) = (object.version, Escaped(&operator));
    Ok(format!("<p>The store holds version {version}, submitted by {operator}.</p>\n"))
}

/// Renders the table cells of a status object.
fn render_cells(value: &[u8]) -> String {
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
