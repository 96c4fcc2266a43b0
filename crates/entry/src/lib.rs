//! The entry process: look-ups, queueing and forwarding.

mod driver;
mod gauge;
mod lookup;
mod names;
mod reply;
mod run;
mod server;
pub mod settings;
mod state;
mod tasks;
mod view;

pub use server::Server;
pub use view::scan_block;
