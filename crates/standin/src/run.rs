//! The log of the requests that a target ran.

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;

use serde::{Deserialize, Serialize};

/// Maximum number of runs kept in memory. Further runs are counted in [`Snapshot::dropped`].
const MAX_RUNS: usize = 500_000;

/// A log record, written when a target starts to run a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The target's name.
    pub target: String,
    /// Value of `x-request-id`.
    pub id: String,
    /// The request key from the payload header. An idempotent request has no key; the caller sends
    /// an identifier of its own instead.
    pub key: String,
    /// The number of the caller's attempt, from 0, from the payload header.
    pub attempt: u32,
    /// The request's kind.
    pub kind: String,
    /// Start in milliseconds of Unix time.
    pub at_ms: u64,
    /// Length of the request body in bytes.
    pub request_bytes: u64,
    /// Length of the reply body in bytes.
    pub reply_bytes: u64,
}

/// The runs of a target in order of their start.
#[derive(Debug, Default)]
pub struct Log {
    runs: Vec<Run>,
    dropped: u64,
    file: Option<File>,
}

/// The reply of `GET /runs`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Runs in order of their start.
    pub runs: Vec<Run>,
    /// Number of runs not kept in memory plus number of failed writes to the file. A run that is
    /// affected by both counts twice.
    pub dropped: u64,
}

impl Log {
    /// Creates a log that also appends each run to the file `path` as a JSON line before the run
    /// starts. Fails if the file cannot be opened.
    pub fn with_file(path: &Path) -> io::Result<Log> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Log { file: Some(file), ..Log::default() })
    }

    /// Adds a run to the file and to memory. Counts each of the two that fails in
    /// [`Snapshot::dropped`].
    pub fn push(&mut self, run: Run) {
        if let Some(file) = &mut self.file {
            let line = serde_json::to_string(&run).expect("a run serialises to JSON") + "\n";
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

    /// Returns a copy of the log.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot { runs: self.runs.clone(), dropped: self.dropped }
    }
}
