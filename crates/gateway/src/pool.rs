//! Pool of idle connections to targets.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ebonypass_core::id::TargetId;
use ebonypass_core::idle;
use ebonypass_core::time::{Instant, Span};
use ebonypass_node::clock;
use smol::LocalExecutor;

use crate::connection::{Connection, TARGET_RECEIVE_BUFFER};

/// Connect timeout. Round trips take up to 70 ms. A lost SYN is retransmitted only after 1 s, so
/// another target is tried sooner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Idle timeout of connections to targets that state none.
const DEFAULT_IDLE_TIMEOUT: Span = Span::from_secs(4);
/// A connection is no longer used this long before the idle timeout that its target states.
const IDLE_TIMEOUT_MARGIN: Span = Span::from_millis(1_200);
/// Limit on idle connections per target.
const MAX_IDLE_PER_TARGET: usize = 8;

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
    idle_timeout: Span,
}

/// A connection checked out of the pool.
#[derive(Debug)]
pub struct Checkout {
    /// The connection.
    pub connection: Connection,
    /// Whether it is new or reused.
    pub origin: Origin,
}

/// Whether a connection is new or reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// Newly opened; the time that took.
    New(Span),
    /// Reused after this idle time.
    Reused(Span),
}

/// Idle connections by target.
#[derive(Debug)]
pub struct Pool {
    executor: Rc<LocalExecutor<'static>>,
    idle: RefCell<HashMap<TargetId, Vec<Idle>>>,
    idle_limit: RefCell<idle::Limit>,
    /// Limit on idle connections to all targets.
    max_idle: usize,
}

impl Pool {
    /// Creates an empty pool that keeps at most `max_idle` connections.
    pub fn new(executor: Rc<LocalExecutor<'static>>, max_idle: usize) -> Pool {
        Pool { executor, idle: RefCell::default(), idle_limit: RefCell::default(), max_idle }
    }

    /// Returns an idle connection that is presumably still open, or opens a new one.
    ///
    /// Errors: the connection could not be opened; nothing was sent.
    pub async fn checkout(
        &self,
        target: TargetId,
        address: SocketAddr,
    ) -> Result<Checkout, String> {
        while let Some(mut idle) = self.pop_idle(target) {
            let now = clock::now();
            let age = now.since(idle.since);
            let idle_timeout = self.idle_limit.borrow().limit(now, idle.idle_timeout);
            if age < idle_timeout && idle.connection.is_ready().await {
                return Ok(Checkout { connection: idle.connection, origin: Origin::Reused(age) });
            }
        }
        let start = clock::now();
        let connection =
            Connection::open(&self.executor, address, CONNECT_TIMEOUT, TARGET_RECEIVE_BUFFER).await;
        let connection = connection.map_err(|error| error.to_string())?;
        Ok(Checkout { connection, origin: Origin::New(clock::now().since(start)) })
    }

    /// Records that a request on a connection got no reply, `elapsed` after it was sent. Returns
    /// whether this reduced the idle limit and it was not reduced before.
    pub fn record_loss(&self, target: TargetId, origin: Origin, elapsed: Span) -> bool {
        let Origin::Reused(idle) = origin else { return false };
        self.idle_limit.borrow_mut().record_loss(clock::now(), target, idle, elapsed)
    }

    fn pop_idle(&self, target: TargetId) -> Option<Idle> {
        self.idle.borrow_mut().get_mut(&target)?.pop()
    }

    /// Returns a connection to the pool. `idle_timeout` is the one that the target states, if any.
    pub fn put_back(&self, target: TargetId, connection: Connection, idle_timeout: Option<Span>) {
        let since = clock::now();
        let idle_timeout = match idle_timeout {
            Some(idle_timeout) if idle_timeout <= IDLE_TIMEOUT_MARGIN => return,
            Some(idle_timeout) => idle_timeout - IDLE_TIMEOUT_MARGIN,
            None => DEFAULT_IDLE_TIMEOUT,
        };
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(target).or_default();
        if connections.len() >= MAX_IDLE_PER_TARGET {
            connections.remove(0);
        }
        connections.push(Idle { connection, since, idle_timeout });
        if idle.values().map(Vec::len).sum::<usize>() > self.max_idle {
            close_oldest(&mut idle);
        }
    }

    /// Closes the idle connections to a target.
    pub fn close_target(&self, target: TargetId) {
        self.idle.borrow_mut().remove(&target);
    }

    /// Closes connections past their idle timeout.
    pub fn close_expired(&self) {
        let now = clock::now();
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|idle| now.since(idle.since) < idle.idle_timeout);
            !connections.is_empty()
        });
    }
}

/// Closes the connection that has been idle for longest.
fn close_oldest(idle: &mut HashMap<TargetId, Vec<Idle>>) {
    let first = |connections: &Vec<Idle>| connections.first().map(|idle| idle.since);
    let oldest =
        idle.iter().filter_map(|(target, connections)| Some((first(connections)?, *target)));
    if let Some((_, target)) = oldest.min_by_key(|(since, _)| *since)
        && let Some(connections) = idle.get_mut(&target)
    {
        connections.remove(0);
    }
}
