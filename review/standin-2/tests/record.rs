//! What was sent, answered and run, with the time since the start.

use std::sync::{LazyLock, Mutex};
use std::time::Instant;

static START: LazyLock<Instant> = LazyLock::new(Instant::now);
static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

/// Seconds since the start of the case.
pub fn now() -> f64 {
    START.elapsed().as_secs_f64()
}

/// Adds a line.
pub fn line(text: &str) {
    let at = now();
    LINES.lock().unwrap().push(format!("{at:8.3} {text}"));
}

/// Writes all lines to the file, and those of the result to standard output.
pub fn write(path: &str) {
    let lines = LINES.lock().unwrap();
    if let Err(error) = std::fs::write(path, lines.join("\n") + "\n") {
        eprintln!("cannot write the record: {error}");
    }
    for line in lines.iter().rev().take(12).rev() {
        println!("{line}");
    }
}
