//! Traffic steering decisions of ebonypass.
//!
//! This crate has no input, output, clock or thread. Time is an argument, so each decision can be
//! replayed. The programs put sockets, files and timers round it.

mod admit;
pub mod block;
pub mod budget;
mod check;
mod choice;
mod cost;
pub mod credit;
pub mod date;
mod demand;
mod dispatch;
pub mod evidence;
pub mod fault;
mod field;
pub mod fleet;
pub mod flow;
pub mod format;
pub mod gossip;
pub mod id;
mod job;
pub mod key;
pub mod lease;
pub mod object;
pub mod outcome;
pub mod pacer;
pub mod parse;
pub mod policy;
pub mod pool;
mod prefetch;
mod queue;
mod quorum;
pub mod roster;
pub mod route;
pub mod seat;
mod settle;
pub mod share;
pub mod shift;
pub mod split;
pub mod submission;
mod suspect;
mod target;
pub mod time;
mod timer;
pub mod trust;
pub mod version;
pub mod vote;
pub mod window;
mod work;
