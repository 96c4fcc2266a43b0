//! The gateway: answers look-ups and forwards requests of callers to targets on the platform.
//!
//! Decisions are made in `ebonypass-core`; the platform's names and formats stand in
//! `ebonypass-platform`. This crate has the sockets, timers and tasks between them.

mod attempt;
mod body;
mod connection;
mod gateway;
mod gossip;
mod listener;
mod log;
mod metric;
mod peer_sync;
mod pool;
mod request;
mod server;
pub mod settings;
mod store;
mod sync;

pub use server::Server;
