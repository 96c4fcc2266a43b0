//! Order of what the store has said, across restores from an older snapshot.
//!
//! A restore moves the store's revisions backwards and raises its era by one. Copies and messages
//! are therefore ordered by era first. [`Tracker`] decides what a machine does with an era that it
//! is told: a higher one is followed, a lower one is ignored. A store that is replaced by one with
//! a lower era would be ignored for ever, so a lower era is followed too once nothing else has been
//! seen for [`REPLACED_AFTER`].

use std::fmt;
use std::str::FromStr;

use crate::time::{Instant, Span};

/// A lower era is followed once only lower ones have been seen for this time. A copy of another
/// machine is at most 5 s old, and a call is answered within 1.5 s, so a reply that is only late is
/// never taken for a new store.
pub const REPLACED_AFTER: Span = Span::from_secs(10);

/// Time after the first list of a new era during which what was known before stays in force.
/// Targets check in every 1.5 s with a delay of up to 3 s.
pub const HOLD_TIME: Span = Span::from_secs(5);

/// Number of restores of the store; 0 for a store that states none.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Era(u64);

impl Era {
    /// The era with this number.
    pub const fn new(number: u64) -> Era {
        Era(number)
    }

    /// The number.
    pub const fn number(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A state of the store. Ordered by era, then by revision.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Stamp {
    /// The era.
    pub era: Era,
    /// The revision within the era; 0 for nothing.
    pub revision: u64,
}

impl Stamp {
    /// The state at `revision` of `era`.
    pub const fn new(era: Era, revision: u64) -> Stamp {
        Stamp { era, revision }
    }
}

/// A revision of a store that states no era.
impl From<u64> for Stamp {
    fn from(revision: u64) -> Stamp {
        Stamp { era: Era::default(), revision }
    }
}

/// `ERA.REVISION`, or only the revision in era 0.
impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era {
            Era(0) => write!(f, "{}", self.revision),
            era => write!(f, "{era}.{}", self.revision),
        }
    }
}

/// A text that is no stamp.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Malformed;

impl FromStr for Stamp {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Stamp, Malformed> {
        let (era, revision) = text.split_once('.').unwrap_or(("0", text));
        let number = |text: &str| text.parse::<u64>().map_err(|_| Malformed);
        Ok(Stamp { era: Era(number(era)?), revision: number(revision)? })
    }
}

/// What an era that was seen means for a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sighting {
    /// It is the era that the machine follows.
    Current,
    /// The store was restored: it is higher than the one followed before.
    Raised(Era),
    /// It is lower than the one followed; the message is to be ignored.
    Outdated,
    /// Only lower eras have been seen for [`REPLACED_AFTER`]; the machine followed the given one
    /// before.
    Replaced(Era),
}

/// The era that a machine follows.
#[derive(Debug, Default)]
pub struct Tracker {
    followed: Option<Era>,
    /// Since when only lower eras have been seen.
    lower_since: Option<Instant>,
}

impl Tracker {
    /// The era that the machine follows; era 0 before the first one is seen.
    pub fn era(&self) -> Era {
        self.followed.unwrap_or_default()
    }

    /// Records that a message of the store, or a current copy of another machine, has `era`.
    pub fn record(&mut self, now: Instant, era: Era) -> Sighting {
        let Some(followed) = self.followed.filter(|followed| *followed != era) else {
            self.followed = Some(era);
            self.lower_since = None;
            return Sighting::Current;
        };
        let sighting = if era > followed {
            Sighting::Raised(followed)
        } else if now.since(*self.lower_since.get_or_insert(now)) >= REPLACED_AFTER {
            Sighting::Replaced(followed)
        } else {
            return Sighting::Outdated;
        };
        self.followed = Some(era);
        self.lower_since = None;
        sighting
    }
}
