//! The gateway: answers lookups and forwards requests of callers to targets on the platform.
//!
//! `ebonypass-core` makes the decisions and `ebonypass-platform` encodes and decodes the platform's
//! formats. This crate connects them with sockets, timers and tasks.

mod allotment;
mod attempt;
mod body;
mod budget;
mod connection;
pub mod footprint;
mod gateway;
mod gossip;
mod limit;
mod listener;
mod load;
mod log;
mod metric;
pub mod mirror;
mod payload;
mod pool;
mod replication;
mod request;
mod server;
pub mod settings;
mod store;
mod stream;
mod sync;
mod waiting;

pub use server::Server;
