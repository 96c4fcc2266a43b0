//! Sockets, timers, settings, logs and metrics for the programs built on `ebonypass-core`. The core
//! makes the decisions and does no input or output.

pub mod clock;
mod connection;
pub mod event;
pub mod metric;
pub mod peer;
mod reader;
pub mod settings;
pub mod stop;
pub mod store;
pub mod stream;
pub mod submit;
pub mod sync;
pub mod target;
pub mod tls;
pub mod trace;
pub mod wire;
