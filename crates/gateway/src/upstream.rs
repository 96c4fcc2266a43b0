//! Connections to targets.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ebonypass_core::id::TargetId;
use ebonypass_core::idle_limit::IdleLimit;
use ebonypass_core::time::{Instant, Span};
use ebonypass_node::clock;
use smol::LocalExecutor;

use crate::exchange::Connection;

/// Time for a connection to a target. Ways take up to 70 ms both ways; a lost opening packet is
/// sent again only after a second, so another target is tried before.
const CONNECT_LIMIT: Duration = Duration::from_millis(350);
/// Idle time after which a connection is not used again where the target names no limit.
const IDLE_LIMIT: Span = Span::from_secs(4);
/// Time before the end of a target's idle limit from which a connection is not used any more.
const IDLE_MARGIN: Span = Span::from_millis(1_200);
/// Idle connections kept for one target.
const IDLE_CONNECTIONS: usize = 8;

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
    limit: Span,
}

/// A connection in use.
#[derive(Debug)]
pub struct Lease {
    /// The connection.
    pub connection: Connection,
    /// Where it comes from.
    pub origin: Origin,
}

/// Where a connection comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// It was made within this time.
    Made(Span),
    /// It was kept idle for this time.
    Kept(Span),
}

/// Idle connections to targets.
#[derive(Debug)]
pub struct Upstream {
    executor: Rc<LocalExecutor<'static>>,
    idle: RefCell<HashMap<TargetId, Vec<Idle>>>,
    trust: RefCell<IdleLimit>,
}

impl Upstream {
    /// No connections yet.
    pub fn new(executor: Rc<LocalExecutor<'static>>) -> Upstream {
        Upstream { executor, idle: RefCell::default(), trust: RefCell::default() }
    }

    /// A connection to a target, an idle one if there is one that can be trusted.
    ///
    /// Errors: no connection could be made; no byte was sent.
    pub async fn open(&self, target: TargetId, address: SocketAddr) -> Result<Lease, String> {
        while let Some(mut idle) = self.take(target) {
            let now = clock::now();
            let age = now.since(idle.since);
            let limit = self.trust.borrow().limit(now, idle.limit);
            if age < limit && idle.connection.is_ready().await {
                return Ok(Lease { connection: idle.connection, origin: Origin::Kept(age) });
            }
        }
        let start = clock::now();
        let connection = Connection::open(&self.executor, address, CONNECT_LIMIT).await;
        let connection = connection.map_err(|error| error.to_string())?;
        Ok(Lease { connection, origin: Origin::Made(clock::now().since(start)) })
    }

    /// Takes in that a request on a connection was lost after `time`, and returns whether kept
    /// connections are in doubt now and were not before.
    pub fn note_loss(&self, target: TargetId, origin: Origin, time: Span) -> bool {
        let Origin::Kept(idle) = origin else { return false };
        self.trust.borrow_mut().record_loss(clock::now(), target, idle, time)
    }

    fn take(&self, target: TargetId) -> Option<Idle> {
        self.idle.borrow_mut().get_mut(&target)?.pop()
    }

    /// Keeps a connection for later. `limit` is the idle time that the target allows.
    pub fn keep(&self, target: TargetId, connection: Connection, limit: Option<Span>) {
        let since = clock::now();
        let limit = match limit {
            Some(limit) if limit <= IDLE_MARGIN => return,
            Some(limit) => limit - IDLE_MARGIN,
            None => IDLE_LIMIT,
        };
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(target).or_default();
        if kept.len() >= IDLE_CONNECTIONS {
            kept.remove(0);
        }
        kept.push(Idle { connection, since, limit });
    }

    /// Closes the idle connections to a target.
    pub fn close_target(&self, target: TargetId) {
        self.idle.borrow_mut().remove(&target);
    }

    /// Closes connections that have been idle for too long.
    pub fn expire(&self) {
        let now = clock::now();
        self.idle.borrow_mut().retain(|_, kept| {
            kept.retain(|idle| now.since(idle.since) < idle.limit);
            !kept.is_empty()
        });
    }
}
