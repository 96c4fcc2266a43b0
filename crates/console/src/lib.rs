//! The operators' console: HTML forms to edit and submit the policy document.
//!
//! Its only state are sessions in memory, so a restart ends all sessions and discards their drafts.

mod check;
mod draft;
mod event;
mod form;
mod html;
mod load;
mod metric;
mod page;
mod section;
mod server;
mod session;
pub mod settings;
mod status;
mod submit;

pub use server::Server;
