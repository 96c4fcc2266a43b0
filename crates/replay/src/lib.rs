//! Replay of recorded traces through the steering decisions under a virtual clock.
//!
//! [`trace`] reads what happens, [`model`] plays it, a [`strategy::Strategy`] decides, and
//! [`report`] tells what came of it. [`scenario`] makes traces and [`goal`] compares reports with
//! the stated outcomes of docs/design.md, section 1.7.

pub mod agenda;
pub mod baseline;
pub mod goal;
pub mod link;
pub mod model;
pub mod plot;
pub mod report;
pub mod scenario;
pub mod server;
pub mod steer;
pub mod strategy;
pub mod tally;
pub mod trace;
