//! `ebonypass explain`: collects the log events of one request and explains its outcome.

use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::PathBuf;

use serde_json::{Value, json};

use crate::exit::{Exit, Failure};

/// The log events of one request.
#[derive(Debug, Default)]
struct Events(Vec<Value>);

impl Events {
    /// Adds the events of `request` from a log. Skips text before the JSON object of a line, and
    /// lines without an event.
    fn read(&mut self, request: &str, log: impl BufRead) -> io::Result<()> {
        for line in log.split(b'\n') {
            let line = line?;
            let line = String::from_utf8_lossy(&line);
            let Some(start) = line.find('{') else { continue };
            let Ok(event) = serde_json::from_str::<Value>(&line[start..]) else { continue };
            if event["request"] == request {
                self.0.push(event);
            }
        }
        Ok(())
    }

    /// Sorts the events by time.
    fn sort(&mut self) {
        self.0.sort_by_key(|event| event["unix_ms"].as_u64());
    }
}

/// Prints the events of `request`, then one sentence that explains its outcome. Reads standard
/// input if there are no `files`.
pub fn run(request: &str, files: &[PathBuf], json: bool) -> Result<Exit, Failure> {
    let mut events = Events::default();
    if files.is_empty() {
        events.read(request, io::stdin().lock()).map_err(|error| read_failure("stdin", &error))?;
    }
    for path in files {
        let name = path.display().to_string();
        let file = File::open(path).map_err(|error| read_failure(&name, &error))?;
        events.read(request, BufReader::new(file)).map_err(|error| read_failure(&name, &error))?;
    }
    events.sort();
    let Some(last) = events.0.last() else {
        let message = format!(
            "no log line of request {request:?}; requests that are answered in time are only sampled"
        );
        return Err(Failure { exit: Exit::Refused, message });
    };
    let reason = explain_outcome(last);
    if json {
        println!("{}", json!({ "lines": events.0, "reason": reason }));
    } else {
        events.0.iter().for_each(print_event);
        println!("{reason}");
    }
    Ok(Exit::Done)
}

fn read_failure(name: &str, error: &io::Error) -> Failure {
    Failure { exit: Exit::Usage, message: format!("{name}: {error}") }
}

/// Returns a string field of an event, or `?` if it has none.
fn string_field<'a>(event: &'a Value, field: &str) -> &'a str {
    event[field].as_str().unwrap_or("?")
}

fn print_event(event: &Value) {
    println!(
        "{} {} E{} {}: route {}, status {}, code {}, {} ms",
        event["unix_ms"],
        string_field(event, "machine"),
        event["event"],
        string_field(event, "text"),
        string_field(event, "route"),
        event["status"],
        event["code"],
        event["ms"],
    );
    for (index, attempt) in event["attempts"].as_array().into_iter().flatten().enumerate() {
        println!("  attempt {}: {attempt}", index + 1);
    }
}

/// Explains the outcome of a request from its last event and the last attempt in it.
///
/// Event 610 is an answer, 611 a request that was not run, 612 an unknown outcome, and 613 a caller
/// that disconnected.
fn explain_outcome(event: &Value) -> String {
    let attempts = event["attempts"].as_array().map_or(&[][..], Vec::as_slice);
    let last = attempts.last().unwrap_or(&Value::Null);
    let (result, target) = (string_field(last, "result"), string_field(last, "target"));
    match event["event"].as_u64() {
        Some(613) => format!("The caller disconnected after {} ms.", event["ms"]),
        Some(611) if result == "no slot in time" => format!(
            "Not run: the earliest of {} targets of {} was expected to answer in {} ms, and {} ms were left.",
            last["targets"],
            string_field(last, "service"),
            last["expected_ms"],
            last["left_ms"],
        ),
        Some(611) if attempts.is_empty() => {
            format!("Not run: refused on arrival with code EP-{}.", event["code"])
        }
        Some(611) => format!(
            "Not run: the last of {} targets, {target}, ended with {result:?}.",
            attempts.len()
        ),
        Some(612) if result == "timeout" => format!(
            "Unknown outcome: target {target} had not answered {} ms after it got the request, {} ms were expected.",
            last["ms"], last["expected_ms"],
        ),
        Some(612) => {
            format!("Unknown outcome: at target {target} the attempt ended with {result:?}.")
        }
        Some(610) if event["late"] == true => format!(
            "Answered late by target {target}, which took {} ms where {} ms were expected, {} ms of them for a slot; {} attempts.",
            last["ms"],
            last["expected_ms"],
            last["expected_wait_ms"],
            attempts.len(),
        ),
        Some(610) => format!("Answered in time by target {target} in {} ms.", event["ms"]),
        _ => "The last event gives no outcome.".to_owned(),
    }
}
