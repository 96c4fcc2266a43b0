//! Limits how long connections to targets may be idle before they are reused.
//!
//! Targets state how long they keep an idle connection, but sometimes close it earlier without
//! notice. A request sent on such a connection is lost, and a request that is not idempotent cannot
//! be retried.

use crate::id::TargetId;
use crate::time::{Instant, Span};

/// A request on a kept connection that is lost within this time found the connection closed: round
/// trips take up to 70 ms, and work takes longer.
const CLOSED_DETECTION_TIME: Span = Span::from_millis(120);
/// Connections of two targets found closed within this time reduce the limit for all targets. A
/// single target may have crashed.
const LOSS_PAIR_WINDOW: Span = Span::from_secs(3);
/// Time for which the limit stays reduced.
const REDUCED_LIMIT_DURATION: Span = Span::from_secs(5);

/// A connection that was found closed.
#[derive(Debug, Clone, Copy)]
struct ClosedConnection {
    target: TargetId,
    at: Instant,
    idle: Span,
}

/// A temporary limit on the idle time.
#[derive(Debug, Clone, Copy)]
struct ReducedLimit {
    until: Instant,
    limit: Span,
}

/// The idle time up to which kept connections are used, learned from requests lost on them.
#[derive(Debug, Default)]
pub struct Limit {
    last_closed: Option<ClosedConnection>,
    reduced: Option<ReducedLimit>,
}

impl Limit {
    /// The idle time up to which a connection may be used whose target states `stated`.
    pub fn limit(&self, now: Instant, stated: Span) -> Span {
        self.reduced(now).map_or(stated, |reduced| stated.min(reduced.limit))
    }

    /// Records that a request to `target` was lost `elapsed` after it was sent, on a connection that
    /// had been idle for `idle`. Returns whether this reduced the limit and it was not reduced
    /// before.
    pub fn record_loss(
        &mut self,
        now: Instant,
        target: TargetId,
        idle: Span,
        elapsed: Span,
    ) -> bool {
        if elapsed >= CLOSED_DETECTION_TIME {
            return false;
        }
        let last = self.last_closed.replace(ClosedConnection { target, at: now, idle });
        let Some(last) = last else { return false };
        if last.target == target || now.since(last.at) >= LOSS_PAIR_WINDOW {
            return false;
        }
        let before = self.reduced(now);
        // Half of the shortest idle time seen, since targets may close others even sooner.
        let limit = Span::from_micros(idle.min(last.idle).as_micros() / 2);
        let limit = before.map_or(limit, |before| limit.min(before.limit));
        self.reduced = Some(ReducedLimit { until: now + REDUCED_LIMIT_DURATION, limit });
        before.is_none()
    }

    fn reduced(&self, now: Instant) -> Option<ReducedLimit> {
        self.reduced.filter(|reduced| now < reduced.until)
    }
}
