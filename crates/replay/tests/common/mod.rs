//! A small deployment, and helpers that replay traces on it.

// No test file uses all of this module.
#![allow(dead_code)]

use ebonypass_core::policy::Document;
use ebonypass_core::scan::scan_document;
use ebonypass_replay::model::run_trace;
use ebonypass_replay::registry::run_strategy;
use ebonypass_replay::report::Report;
use ebonypass_replay::strategy::Strategy;
use ebonypass_replay::trace::{Trace, scan_trace};

/// Regions `near` (two data centres) and `far` (one) with links of 20 ms and 8 Mbit/s (100,000
/// bytes in 100 ms). Service `desk` has one target of one slot in each data centre. Service `hall`
/// has one target of two slots in `near-1` and two in `far-1`. In `near`, the entries in `near-1`
/// own the pool of `hall`, those in `near-2` the pool of `desk`.
pub const POLICY: &str = r#"
schema = 1

[[member]]
name = "north"

[[member]]
name = "south"

[[region]]
name = "near"

[[region]]
name = "far"

[[data_centre]]
name = "near-1"
region = "near"

[[data_centre]]
name = "near-2"
region = "near"

[[data_centre]]
name = "far-1"
region = "far"

[[link]]
from = "near"
to = "far"
cap_mbit = 8
delay_us = 20000

[[link]]
from = "far"
to = "near"
cap_mbit = 8
delay_us = 20000

[[service]]
name = "hall"
members = ["north", "south"]
slots = 2
connections = 400
targets = { near-1 = 1, far-1 = 2 }

[[service.kind]]
name = "read"
idempotent = true
deadline_ms = 500

[[service.kind]]
name = "write"
idempotent = false
deadline_ms = 500

[[service]]
name = "desk"
members = ["north"]
slots = 1
connections = 400
targets = { near-1 = 1, near-2 = 1, far-1 = 1 }

[[service.kind]]
name = "read"
idempotent = true
deadline_ms = 500

[[service.kind]]
name = "write"
idempotent = false
deadline_ms = 500
"#;

/// The policy of the small deployment.
pub fn policy() -> Document {
    scan_document(POLICY).expect("the policy is valid")
}

/// Returns an `arrive` line of member `north` with a request of 400 bytes and a reply of 2,000.
pub fn arrive(at_us: u64, id: u64, service: &str, kind: &str, dc: &str, service_us: u64) -> String {
    arrive_with_reply(at_us, id, service, kind, dc, service_us, 2_000)
}

/// Returns an `arrive` line with a reply of `reply_bytes`.
pub fn arrive_with_reply(
    at_us: u64,
    id: u64,
    service: &str,
    kind: &str,
    dc: &str,
    service_us: u64,
    reply_bytes: u64,
) -> String {
    let idempotent = kind == "read";
    format!(
        r#"{{"at_us":{at_us},"arrive":{{"id":{id},"member":"north","service":"{service}","kind":"{kind}","dc":"{dc}","service_us":{service_us},"request_bytes":400,"reply_bytes":{reply_bytes},"deadline_us":500000,"idempotent":{idempotent}}}}}"#
    )
}

/// Reads a valid trace.
pub fn trace(lines: &[String]) -> Trace {
    scan_trace(&policy(), lines.join("\n").as_bytes()).expect("the trace is valid")
}

/// Replays `lines` with a strategy by name.
pub fn replay(strategy: &str, lines: &[String]) -> Report {
    let (document, trace) = (policy(), trace(lines));
    let tally = run_strategy(&document, &trace, strategy).expect("the strategy exists");
    Report::new(&document, strategy, &tally)
}

/// Replays `lines` with a strategy defined by the test.
pub fn replay_with(strategy: impl Strategy, lines: &[String]) -> Report {
    let (document, trace) = (policy(), trace(lines));
    let tally = run_trace(&document, &trace, strategy);
    Report::new(&document, "test", &tally)
}
