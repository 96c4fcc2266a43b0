//! The platform's list of VMs, which lags behind the truth.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Lists that are kept for the time by which answers may lag.
const MAX_HISTORY: usize = 1_000;

/// The body of `GET /vms` and `PUT /vms`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct List {
    /// One object for each VM, in the form of docs/design.md section 5.4.
    pub vms: Vec<Value>,
}

/// Every list with the time since which it is true.
#[derive(Debug, Default)]
pub struct History {
    lists: VecDeque<(Instant, List)>,
}

impl History {
    /// Records that `list` is true from `now` on.
    pub fn push(&mut self, now: Instant, list: List) {
        if self.lists.len() == MAX_HISTORY {
            self.lists.pop_front();
        }
        self.lists.push_back((now, list));
    }

    /// The list as it was `lag` before `now`; the oldest one when none is so old.
    pub fn at(&self, now: Instant, lag: Duration) -> List {
        let old = self.lists.iter().rev().find(|(since, _)| *since + lag <= now);
        old.or(self.lists.front()).map(|(_, list)| list.clone()).unwrap_or_default()
    }
}
