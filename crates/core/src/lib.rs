//! Traffic steering decisions of ebonypass.
//!
//! This crate does no I/O, reads no clock and starts no threads. The current time is an argument,
//! so that every decision can be replayed. Sockets, files and timers are in the other crates.

mod admit;
pub mod allotment;
pub mod availability;
pub mod balance;
pub mod balancer;
pub mod block;
pub mod budget;
mod check;
mod choice;
mod cost;
pub mod credit;
pub mod date;

pub mod capacity;
pub mod directory;
mod dispatch;
pub mod era;
pub mod evacuation;
pub mod fault;
mod field;
pub mod format;
pub mod freshness;
pub mod gossip;
pub mod id;
pub mod idle;
mod job;
pub mod key;
pub mod lease;
mod lifecycle;
pub mod object;
pub mod outcome;
pub mod pacer;
pub mod policy;
pub mod pool;
mod prefetch;
pub mod pressure;
mod queue;
mod quorum;
pub mod relay;
pub mod roster;
pub mod rotation;
pub mod route;
pub mod scan;
pub mod seat;
pub mod share;
pub mod shift;
pub mod submission;
mod suspect;
mod target;
pub mod tenant;
pub mod time;
mod timer;
mod usage;
pub mod version;
pub mod vote;
pub mod window;
mod work;
