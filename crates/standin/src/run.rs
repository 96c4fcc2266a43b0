//! The record of what a target ran.

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;

use serde::{Deserialize, Serialize};

/// Runs that a target keeps in memory. A record that is full is incomplete and says so.
const MAX_RUNS: usize = 500_000;

/// One run that a target began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The target's name.
    pub target: String,
    /// Value of `x-request-id`.
    pub id: String,
    /// The request key from the body, or the body's own number of an idempotent request.
    pub key: String,
    /// The caller's attempt from the body.
    pub attempt: u32,
    /// The kind of work.
    pub kind: String,
    /// Start in milliseconds of Unix time.
    pub at_ms: u64,
    /// Length of the request body.
    pub request_bytes: u64,
    /// Length of the reply body.
    pub reply_bytes: u64,
}

/// Runs that a target began, in order.
#[derive(Debug, Default)]
pub struct Record {
    runs: Vec<Run>,
    dropped: u64,
    file: Option<File>,
}

/// The reply of `GET /runs`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runs {
    /// Runs in order of their start.
    pub runs: Vec<Run>,
    /// Runs that the record had no room for.
    pub dropped: u64,
}

impl Record {
    /// A record that is also written to `path`, one JSON line for each run, before the run starts.
    pub fn with_file(path: &Path) -> io::Result<Record> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Record { file: Some(file), ..Record::default() })
    }

    /// Adds a run. A failed write to the file counts as a run that was dropped.
    pub fn push(&mut self, run: Run) {
        if let Some(file) = &mut self.file {
            let line = serde_json::to_string(&run).expect("a run is JSON") + "\n";
            if file.write_all(line.as_bytes()).is_err() {
                self.dropped += 1;
            }
        }
        if self.runs.len() == MAX_RUNS {
            self.dropped += 1;
        } else {
            self.runs.push(run);
        }
    }

    /// A copy of the record.
    pub fn runs(&self) -> Runs {
        Runs { runs: self.runs.clone(), dropped: self.dropped }
    }
}
