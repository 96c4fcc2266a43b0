//! Simulated external systems: the object store with its VM list, targets and callers.
//!
//! Used by tests and the demo only; no shipped program depends on this crate.

pub mod behaviour;
pub mod caller;
pub mod check;
pub mod entry;
mod link;
pub mod load;
pub mod lookup;
pub mod payload;
pub mod plan;
pub mod report;
pub mod run;
pub mod server;
pub mod store;
pub mod target;
pub mod vm;
