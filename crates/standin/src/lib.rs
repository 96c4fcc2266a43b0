//! Stand-ins for the outside systems: the store with its VM list, targets and callers.
//!
//! They exist for tests and the demo. No shipped program depends on them.

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
pub mod serve;
pub mod shape;
pub mod store;
pub mod target;
pub mod vm;
