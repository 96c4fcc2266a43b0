//! A target's load and its history, from which delayed load reports are taken.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Maximum number of load changes that are kept; the oldest is dropped first.
const MAX_CHANGES: usize = 100_000;

/// The reply of `GET /load`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Load {
    /// Requests that can run concurrently.
    pub slots: u32,
    /// Requests that are running.
    pub busy: u32,
    /// Requests that are waiting for a slot.
    pub queued: u32,
    /// Whether the target announces that it will stop, as set by
    /// [`Fault::leave`](crate::behaviour::Fault::leave).
    pub leaving: bool,
}

/// Load changes over time.
#[derive(Debug, Default)]
pub struct History {
    changes: VecDeque<(Instant, Load)>,
}

impl History {
    /// Records that the load is `load` from `now` on.
    pub fn push(&mut self, now: Instant, load: Load) {
        if self.changes.len() == MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back((now, load));
    }

    /// Returns the load as it was at `now - lag`, or the oldest one kept if none is that old.
    /// Without any change, returns zeros.
    pub fn at(&self, now: Instant, lag: Duration) -> Load {
        let old = self.changes.iter().rev().find(|(since, _)| *since + lag <= now);
        old.or(self.changes.front()).map(|&(_, load)| load).unwrap_or_default()
    }
}
