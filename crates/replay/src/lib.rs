//! Replays recorded traces through the steering decisions under a virtual clock.
//!
//! [`trace`] reads traces, [`model`] simulates them with the decisions of a [`strategy::Strategy`],
//! and [`report`] summarises the results. [`scenario`] generates traces, and [`goal`] compares
//! results with the stated outcomes of docs/design.md, section 1.7.

mod attempt;
pub mod baseline;
mod client;
pub mod event;
mod forward;
pub mod goal;
mod incident;
pub mod link;
pub mod model;
pub mod plot;
pub mod registry;
pub mod report;
mod sample;
pub mod scenario;
pub mod server;
mod shard;
pub mod steering;
pub mod strategy;
pub mod tally;
pub mod trace;
