//! The entry process: answers look-ups, and queues and forwards requests.

mod claim;
mod connection;
mod delegate;
mod driver;
mod egress;
mod forward;
mod lookup;
mod mesh;
mod metric;
mod names;
mod peers;
mod policy;
mod remote;
mod reply;
mod run;
mod seats;
mod server;
pub mod settings;
mod state;
mod steward;
mod tasks;
mod view;

pub use server::Server;
pub use view::scan_block;
