//! How long kept connections to targets are trusted.
//!
//! Targets state how long they keep an idle connection, and at times forget it sooner. A request that
//! is sent on a forgotten connection is lost, and work that must run once cannot be sent again.

use crate::id::TargetId;
use crate::time::{Instant, Span};

/// A request on a kept connection that is lost within this time found the connection closed: ways
/// take up to 70 ms both ways, and work takes longer.
const CLOSED_DETECTION_TIME: Span = Span::from_millis(120);
/// Connections of two targets that were found closed within this time put all kept ones in doubt. One
/// alone may be a target that crashed.
const LOSS_PAIR_WINDOW: Span = Span::from_secs(3);
/// Time for which they stay in doubt.
const REDUCED_LIMIT_DURATION: Span = Span::from_secs(5);

/// The last connection that was found closed.
#[derive(Debug, Clone, Copy)]
struct ClosedConnection {
    target: TargetId,
    at: Instant,
    idle: Span,
}

/// Kept connections are used up to this idle time only.
#[derive(Debug, Clone, Copy)]
struct ReducedLimit {
    until: Instant,
    limit: Span,
}

/// IdleLimit in kept connections, from requests that were lost on them.
#[derive(Debug, Default)]
pub struct IdleLimit {
    last_closed: Option<ClosedConnection>,
    reduced: Option<ReducedLimit>,
}

impl IdleLimit {
    /// The idle time up to which a connection is used whose target states `limit`.
    pub fn limit(&self, now: Instant, limit: Span) -> Span {
        self.reduced(now).map_or(limit, |reduced| limit.min(reduced.limit))
    }

    /// Takes in that a request to `target` was lost `time` after it was sent, on a connection that had
    /// been idle for `idle`. Returns whether kept connections are in doubt now and were not before.
    pub fn record_loss(&mut self, now: Instant, target: TargetId, idle: Span, time: Span) -> bool {
        if time >= CLOSED_DETECTION_TIME {
            return false;
        }
        let last = self.last_closed.replace(ClosedConnection { target, at: now, idle });
        let Some(last) = last else { return false };
        if last.target == target || now.since(last.at) >= LOSS_PAIR_WINDOW {
            return false;
        }
        let before = self.reduced(now);
        // Half of the shortest time seen leaves room for those that are closed even sooner.
        let limit = Span::from_micros(idle.min(last.idle).as_micros() / 2);
        let limit = before.map_or(limit, |before| limit.min(before.limit));
        self.reduced = Some(ReducedLimit { until: now + REDUCED_LIMIT_DURATION, limit });
        before.is_none()
    }

    fn reduced(&self, now: Instant) -> Option<ReducedLimit> {
        self.reduced.filter(|reduced| now < reduced.until)
    }
}
