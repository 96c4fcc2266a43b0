//! Connections to targets.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ebonypass_core::id::TargetId;
use ebonypass_core::time::{Instant, Span};
use ebonypass_core::trust::Trust;
use ebonypass_node::clock;
use smol::LocalExecutor;

use crate::connection::Connection;

/// Time for a connection to a target. Ways pop_idle up to 70 ms both ways; a lost opening packet is
/// sent again only after a second, so another target is tried before.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// IdleConnection time after which a connection is not used again where the target names no idle_timeout.
const DEFAULT_IDLE_TIMEOUT: Span = Span::from_secs(4);
/// Time before the end of a target's idle idle_timeout from which a connection is not used any more.
const IDLE_TIMEOUT_MARGIN: Span = Span::from_millis(1_200);
/// IdleConnection connections connections for one target.
const MAX_IDLE_PER_TARGET: usize = 8;

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    since: Instant,
    idle_timeout: Span,
}

/// A connection in use.
#[derive(Debug)]
pub struct PooledConnection {
    /// The connection.
    pub connection: Connection,
    /// Where it comes from.
    pub origin: ConnectionOrigin,
}

/// Where a connection comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionOrigin {
    /// It was made within this time.
    New(Span),
    /// It was connections idle for this time.
    Reused(Span),
}

/// IdleConnection connections to targets.
#[derive(Debug)]
pub struct ConnectionPool {
    executor: Rc<LocalExecutor<'static>>,
    idle: RefCell<HashMap<TargetId, Vec<IdleConnection>>>,
    trust: RefCell<Trust>,
}

impl ConnectionPool {
    /// No connections yet.
    pub fn new(executor: Rc<LocalExecutor<'static>>) -> ConnectionPool {
        ConnectionPool { executor, idle: RefCell::default(), trust: RefCell::default() }
    }

    /// A connection to a target, an idle one if there is one that can be trusted.
    ///
    /// Errors: no connection could be made; no byte was sent.
    pub async fn checkout(
        &self,
        target: TargetId,
        address: SocketAddr,
    ) -> Result<PooledConnection, String> {
        while let Some(mut idle) = self.pop_idle(target) {
            let now = clock::now();
            let age = now.since(idle.since);
            let idle_timeout = self.trust.borrow().limit(now, idle.idle_timeout);
            if age < idle_timeout && idle.connection.is_ready().await {
                return Ok(PooledConnection {
                    connection: idle.connection,
                    origin: ConnectionOrigin::Reused(age),
                });
            }
        }
        let start = clock::now();
        let connection = Connection::open(&self.executor, address, CONNECT_TIMEOUT).await;
        let connection = connection.map_err(|error| error.to_string())?;
        Ok(PooledConnection {
            connection,
            origin: ConnectionOrigin::New(clock::now().since(start)),
        })
    }

    /// Takes in that a request on a connection was lost after `time`, and returns whether connections
    /// connections are in doubt now and were not before.
    pub fn note_loss(&self, target: TargetId, origin: ConnectionOrigin, time: Span) -> bool {
        let ConnectionOrigin::Reused(idle) = origin else { return false };
        self.trust.borrow_mut().note_loss(clock::now(), target, idle, time)
    }

    fn pop_idle(&self, target: TargetId) -> Option<IdleConnection> {
        self.idle.borrow_mut().get_mut(&target)?.pop()
    }

    /// Keeps a connection for later. `idle_timeout` is the idle time that the target allows.
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
        connections.push(IdleConnection { connection, since, idle_timeout });
    }

    /// Closes the idle connections to a target.
    pub fn close_target(&self, target: TargetId) {
        self.idle.borrow_mut().remove(&target);
    }

    /// Closes connections that have been idle for too long.
    pub fn close_expired(&self) {
        let now = clock::now();
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|idle| now.since(idle.since) < idle.idle_timeout);
            !connections.is_empty()
        });
    }
}
