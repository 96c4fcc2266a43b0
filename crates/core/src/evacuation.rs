//! Which data centres are evacuated, also while the store may have forgotten what it had
//! acknowledged.
//!
//! After a restore of the store from an older snapshot, an evacuation may be missing that was
//! acknowledged, and one that was ended may be listed again. Until the operator has had
//! [`HOLD_TIME`] to write again, what was in force stays in force. A data centre that has never
//! been evacuated as far as this machine knows is evacuated at once: the operator may have written
//! it after the restore, and to send no requests is the safe side.

use std::collections::HashSet;

use crate::era::HOLD_TIME;
use crate::time::{Instant, Span};

/// The evacuated data centres, by name.
#[derive(Debug, Default)]
pub struct Evacuations {
    /// Those that the store lists.
    listed: HashSet<String>,
    /// Those in force although the restored store does not list them.
    kept: HashSet<String>,
    /// Those not in force although the restored store lists them.
    ignored: HashSet<String>,
    /// Those that were in force and have ended.
    ended: HashSet<String>,
    /// End of the hold; none while the list of the store is in force.
    hold_until: Option<Instant>,
}

impl Evacuations {
    /// The data centres that get no requests.
    pub fn in_force(&self) -> HashSet<String> {
        self.listed.difference(&self.ignored).chain(&self.kept).cloned().collect()
    }

    /// The number of evacuations that are in force only because of a hold, and of those that are
    /// ignored because of it.
    pub fn held(&self) -> (usize, usize) {
        (self.kept.len(), self.ignored.len())
    }

    /// Records a change that the store has acknowledged in its present era.
    pub fn record(&mut self, name: &str, is_listed: bool) {
        let was_kept = self.kept.remove(name);
        self.ignored.remove(name);
        if is_listed {
            self.ended.remove(name);
            self.listed.insert(name.to_owned());
        } else if self.listed.remove(name) || was_kept {
            self.ended.insert(name.to_owned());
        }
    }

    /// Records the first list of a new era, and starts the hold.
    pub fn restore(&mut self, now: Instant, listed: HashSet<String>) {
        let before = self.in_force();
        self.kept = before.difference(&listed).cloned().collect();
        self.ignored =
            listed.difference(&before).filter(|name| self.ended.contains(*name)).cloned().collect();
        self.listed = listed;
        self.hold_until = Some(now + HOLD_TIME);
    }

    /// The evacuations that are in force only because of a hold, and the time that is left of it.
    pub fn kept(&self, now: Instant) -> Option<(Span, Vec<String>)> {
        let left = self.hold_until?.since(now);
        (!self.kept.is_empty()).then(|| (left, self.kept.iter().cloned().collect()))
    }

    /// Records that another machine keeps these evacuations in force for the time `left`. It may
    /// have learned of them while this machine was cut off, or before this process started.
    pub fn keep(&mut self, now: Instant, left: Span, names: impl IntoIterator<Item = String>) {
        self.kept.extend(names.into_iter().filter(|name| !self.listed.contains(name)));
        self.hold_until = self.hold_until.max(Some(now + left.min(HOLD_TIME)));
    }

    /// Ends a hold whose time is over. Returns whether there was one.
    pub fn end_hold(&mut self, now: Instant) -> bool {
        if self.hold_until.is_none_or(|until| now < until) {
            return false;
        }
        self.hold_until = None;
        self.ended.extend(self.kept.drain());
        for name in self.ignored.drain() {
            self.ended.remove(&name);
        }
        true
    }
}
