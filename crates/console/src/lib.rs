//! The operators' console: HTML forms that make the one policy document.
//!
//! The console keeps no state but sessions in memory. A restart ends the sessions and their drafts.

mod draft;
mod form;
mod html;
mod load;
mod meter;
mod note;
mod page;
mod section;
mod server;
mod session;
pub mod settings;
mod status;
mod submit;
mod text;

pub use server::Server;
