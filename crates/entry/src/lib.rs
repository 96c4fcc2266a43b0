//! The entry process: answers look-ups, and queues and forwards requests.

mod border;
mod claim;
mod connection;
mod delegate;
mod driver;
mod forward;
mod gauge;
mod lookup;
mod members;
mod mesh;
mod names;
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
