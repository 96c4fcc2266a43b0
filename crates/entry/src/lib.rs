//! The entry process: look-ups, queueing and forwarding.

mod afar;
mod claim;
mod delegate;
mod driver;
mod egress;
mod forward;
mod guard;
mod lookup;
mod mesh;
mod metric;
mod names;
mod peers;
mod policy;
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
