//! The entry process: look-ups, queueing and forwarding.

mod claim;
mod delegate;
mod driver;
mod forward;
mod gauge;
mod lookup;
mod members;
mod mesh;
mod names;
mod policy;
mod reply;
mod run;
mod server;
pub mod settings;
mod state;
mod tasks;
mod view;

pub use server::Server;
pub use view::scan_block;
