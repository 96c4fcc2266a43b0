//! The platform's list of VMs, which is eventually consistent.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Lists that are kept for delayed replies.
const MAX_LISTS: usize = 1_000;

/// The body of `GET /vms` and `PUT /vms`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct List {
    /// One object for each VM, in the form of docs/design.md section 5.4.
    pub vms: Vec<Value>,
}

/// Past lists, each with the time from which it was valid.
#[derive(Debug, Default)]
pub struct History {
    lists: VecDeque<(Instant, List)>,
}

impl History {
    /// Records that `list` is valid from `now` on.
    pub fn push(&mut self, now: Instant, list: List) {
        if self.lists.len() == MAX_LISTS {
            self.lists.pop_front();
        }
        self.lists.push_back((now, list));
    }

    /// Returns the list as it was `lag` before `now`; the oldest kept one if none is that old.
    pub fn at(&self, now: Instant, lag: Duration) -> List {
        let old = self.lists.iter().rev().find(|(since, _)| *since + lag <= now);
        old.or(self.lists.front()).map(|(_, list)| list.clone()).unwrap_or_default()
    }
}
