//! A target's load, and the reports of it that lag or mislead.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Changes that are kept for reports that lag.
const MAX_HISTORY: usize = 100_000;

/// The reply of `GET /load`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Load {
    /// Requests that run at once.
    pub slots: u32,
    /// Requests that are running.
    pub busy: u32,
    /// Requests that wait for a slot.
    pub queued: u32,
    /// Whether the target is leaving.
    pub leaving: bool,
}

/// Load over time.
#[derive(Debug, Default)]
pub struct History {
    changes: VecDeque<(Instant, Load)>,
}

impl History {
    /// Records that `load` is true from `now` on.
    pub fn push(&mut self, now: Instant, load: Load) {
        if self.changes.len() == MAX_HISTORY {
            self.changes.pop_front();
        }
        self.changes.push_back((now, load));
    }

    /// The load as it was `lag` before `now`.
    pub fn at(&self, now: Instant, lag: Duration) -> Load {
        let old = self.changes.iter().rev().find(|(since, _)| *since + lag <= now);
        old.or(self.changes.front()).map(|&(_, load)| load).unwrap_or_default()
    }
}
