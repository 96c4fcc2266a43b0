//! How long kept connections to targets are trusted.
//!
//! Targets state how long they keep an idle connection, and at times forget it sooner. A request that
//! is sent on a forgotten connection is lost, and work that must run once cannot be sent again.

use crate::id::TargetId;
use crate::time::{Instant, Span};

/// A request on a kept connection that is lost within this time found the connection closed: ways
/// take up to 70 ms both ways, and work takes longer.
const FORGOTTEN_LIMIT: Span = Span::from_millis(120);
/// Connections of two targets that were found closed within this time put all kept ones in doubt. One
/// alone may be a target that crashed.
const DOUBT_SPAN: Span = Span::from_secs(3);
/// Time for which they stay in doubt.
const DOUBT_TIME: Span = Span::from_secs(5);

/// The last connection that was found closed.
#[derive(Debug, Clone, Copy)]
struct Forgotten {
    target: TargetId,
    at: Instant,
    idle: Span,
}

/// Kept connections are used up to this idle time only.
#[derive(Debug, Clone, Copy)]
struct Doubt {
    until: Instant,
    limit: Span,
}

/// Trust in kept connections, from requests that were lost on them.
#[derive(Debug, Default)]
pub struct Trust {
    forgotten: Option<Forgotten>,
    doubt: Option<Doubt>,
}

impl Trust {
    /// The idle time up to which a connection is used whose target states `limit`.
    pub fn limit(&self, now: Instant, limit: Span) -> Span {
        self.doubt(now).map_or(limit, |doubt| limit.min(doubt.limit))
    }

    /// Takes in that a request to `target` was lost `time` after it was sent, on a connection that had
    /// been idle for `idle`. Returns whether kept connections are in doubt now and were not before.
    pub fn note_loss(&mut self, now: Instant, target: TargetId, idle: Span, time: Span) -> bool {
        if time >= FORGOTTEN_LIMIT {
            return false;
        }
        let last = self.forgotten.replace(Forgotten { target, at: now, idle });
        let Some(last) = last else { return false };
        if last.target == target || now.since(last.at) >= DOUBT_SPAN {
            return false;
        }
        let before = self.doubt(now);
        // Half of the shortest time seen leaves room for those that are closed even sooner.
        let limit = Span::from_micros(idle.min(last.idle).as_micros() / 2);
        let limit = before.map_or(limit, |before| limit.min(before.limit));
        self.doubt = Some(Doubt { until: now + DOUBT_TIME, limit });
        before.is_none()
    }

    fn doubt(&self, now: Instant) -> Option<Doubt> {
        self.doubt.filter(|doubt| now < doubt.until)
    }
}
