//! A local copy of the store's objects of one kind, which says what has changed since a revision to
//! machines that poll this one.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use bytes::Bytes;
use ebonypass_core::era::{Era, Stamp};
use ebonypass_core::time::{Instant, Span};
use ebonypass_platform::object::{self, Object};

/// Deletions kept for machines that poll this one.
const MAX_DELETIONS: usize = 400;
/// Encoded replies kept for the current revision. Machines that poll mostly know the same one.
const MAX_ENCODED: usize = 4;
/// Time without a source after which the copy is no longer given to other machines. A relay has
/// time to find another source first, so that the machines behind it need not look for one too.
const STALE_GRACE: Span = Span::from_millis(400);
/// Age from which a copy is no longer given to other machines, whatever the reason. Ages add up
/// along the way from the store: 1.5 s at a machine that watches it and 0.9 s for each relay.
const MAX_AGE: Span = Span::from_secs(5);

/// An object of the copy.
#[derive(Debug)]
struct Entry {
    /// What the store lists.
    object: Rc<Object>,
    /// What machines that poll this one get instead, until the store's object changes.
    substitute: Option<Substitute>,
    /// Revision of the copy since which the object is as it is.
    revision: u64,
}

/// What a machine knows of an object that a restored store lists in an older state.
#[derive(Debug)]
enum Substitute {
    /// A later state.
    Later(Rc<Object>),
    /// It was removed.
    Nothing,
}

impl Entry {
    /// The object for machines that poll this one.
    fn shared(&self) -> Option<&Rc<Object>> {
        match &self.substitute {
            None => Some(&self.object),
            Some(Substitute::Later(object)) => Some(object),
            Some(Substitute::Nothing) => None,
        }
    }
}

/// A deleted object, of which only the metadata is kept.
#[derive(Debug)]
struct Deletion {
    object: Object,
    /// Revision of the copy since which the object is gone.
    revision: u64,
}

/// Objects that differ after a new list.
#[derive(Debug, Default)]
pub struct Difference {
    /// Objects that are new or have changed.
    pub changed: Vec<Rc<Object>>,
    /// What was known of the changed ones before, in the same order.
    pub previous: Vec<Option<Rc<Object>>>,
    /// Objects that are gone.
    pub removed: Vec<Rc<Object>>,
}

/// A copy of the objects of one kind.
#[derive(Debug, Default)]
pub struct Mirror {
    entries: BTreeMap<String, Entry>,
    /// Era of the store in which all revisions of the copy were assigned.
    era: Era,
    revision: u64,
    /// When the copy was last known to be current.
    current_at: Option<Instant>,
    /// Machines between this one and the store.
    hops: u8,
    /// When the source was lost; none while there is one.
    stale_since: Option<Instant>,
    /// Revision of the last change.
    changed_revision: u64,
    /// The last deletions, oldest first.
    deletions: VecDeque<Deletion>,
    /// `deletions` holds every deletion after this revision.
    compacted_revision: u64,
    /// Replies for the current revision, by the revision that the receiver knows.
    encoded: Vec<(u64, Bytes)>,
}

impl Mirror {
    /// The store revision that the copy reflects; 0 before the first list.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The era and revision of the store that the copy reflects.
    pub fn stamp(&self) -> Stamp {
        Stamp::new(self.era, self.revision)
    }

    /// Whether the copy is of an earlier era of the store than `stamp`, or of one that the store
    /// has left.
    pub fn is_other_era(&self, stamp: Stamp) -> bool {
        self.revision > 0 && self.era != stamp.era
    }

    /// The objects in the order of their names.
    pub fn objects(&self) -> impl Iterator<Item = &Object> {
        self.entries.values().map(|entry| &*entry.object)
    }

    /// The number of machines between this one and the store.
    pub fn hops(&self) -> u8 {
        self.hops
    }

    /// Records that the copy was current at `at`, by a source with `hops` machines between this one
    /// and the store. Returns whether the source had been lost before.
    pub fn set_current(&mut self, at: Instant, hops: u8) -> bool {
        self.hops = hops;
        self.current_at = self.current_at.max(Some(at));
        self.stale_since.take().is_some()
    }

    /// Records that the source was lost. Returns whether there was one.
    pub fn set_stale(&mut self, now: Instant) -> bool {
        let had_source = self.stale_since.is_none();
        self.stale_since.get_or_insert(now);
        had_source
    }

    /// Whether the source was lost.
    pub fn is_stale(&self) -> bool {
        self.stale_since.is_some()
    }

    /// When the copy must no longer be given to other machines, unless it is updated before.
    pub fn expires_at(&self) -> Instant {
        let by_age = self.current_at.map_or(Instant::ZERO, |at| at + MAX_AGE);
        self.stale_since.map_or(by_age, |since| by_age.min(since + STALE_GRACE))
    }

    /// The time for which the copy has not been known to be current.
    pub fn age(&self, now: Instant) -> Span {
        self.current_at.map_or(Span::MAX, |at| now.since(at))
    }

    /// Whether there are changes after `known`.
    pub fn has_changes_since(&self, known: impl Into<Stamp>) -> bool {
        let known = known.into();
        known.era != self.era
            || known.revision < self.compacted_revision
            || known.revision < self.changed_revision
    }

    /// Gives machines that poll this one the earlier known state of an object, or none if it was
    /// removed, until the store's object changes.
    pub fn substitute(&mut self, name: &str, known: Option<Rc<Object>>) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.substitute = Some(known.map_or(Substitute::Nothing, Substitute::Later));
            self.encoded.clear();
        }
    }

    /// Keeps an object that a restored store does not list.
    pub fn keep(&mut self, object: Rc<Object>) {
        let entry = Entry { object, substitute: None, revision: self.revision };
        self.entries.insert(entry.object.metadata.name.clone(), entry);
        self.encoded.clear();
    }

    /// Applies changes, each an object and whether it was deleted, that lead to `revision` of the
    /// copy's era.
    pub fn apply(&mut self, revision: u64, changes: impl IntoIterator<Item = (Rc<Object>, bool)>) {
        for (object, is_deleted) in changes {
            self.record(revision, object, is_deleted);
        }
        self.set_revision(revision);
    }

    fn set_revision(&mut self, revision: u64) {
        self.revision = revision;
        self.encoded.clear();
    }

    /// Records a change. Only the last change of an object is kept, so that the memory of the copy
    /// depends on the number of objects and not on how often they change.
    fn record(&mut self, revision: u64, object: Rc<Object>, is_deleted: bool) {
        self.changed_revision = revision;
        let name = &object.metadata.name;
        self.deletions.retain(|deletion| deletion.object.metadata.name != *name);
        if !is_deleted {
            let name = name.clone();
            self.entries.insert(name, Entry { object, substitute: None, revision });
            return;
        }
        self.entries.remove(name);
        if self.deletions.len() >= MAX_DELETIONS
            && let Some(deletion) = self.deletions.pop_front()
        {
            self.compacted_revision = self.compacted_revision.max(deletion.revision);
        }
        let object = Object { metadata: object.metadata.clone(), ..Object::default() };
        self.deletions.push_back(Deletion { object, revision });
    }

    /// Replaces all objects by those of a list, and records the difference as changes. If the list
    /// is of another era, machines that poll this one need the whole list: the revisions of the
    /// changes before it have been assigned again.
    pub fn replace(
        &mut self,
        stamp: impl Into<Stamp>,
        objects: BTreeMap<String, Object>,
    ) -> Difference {
        let stamp = stamp.into();
        let revision = stamp.revision;
        let is_other_era = self.is_other_era(stamp);
        let gone = self.entries.iter().filter(|(name, _)| !objects.contains_key(*name));
        let removed: Vec<Rc<Object>> = gone.map(|(_, entry)| entry.object.clone()).collect();
        let differs = |object: &Object| {
            self.entries.get(&object.metadata.name).is_none_or(|known| *known.object != *object)
        };
        let changed: Vec<Rc<Object>> = objects.into_values().filter(differs).map(Rc::new).collect();
        let known = |object: &Rc<Object>| self.entries.get(&object.metadata.name);
        let previous =
            changed.iter().map(|object| known(object).and_then(Entry::shared).cloned()).collect();
        let is_first = self.revision == 0;
        for object in &removed {
            self.record(revision, object.clone(), true);
        }
        for object in &changed {
            self.record(revision, object.clone(), false);
        }
        if is_first {
            // What was deleted before the first list is unknown.
            self.compacted_revision = revision;
        }
        if is_other_era {
            self.compacted_revision = revision;
            self.changed_revision = revision;
            self.deletions.clear();
            self.entries.values_mut().for_each(|entry| entry.revision = revision);
        }
        self.era = stamp.era;
        self.set_revision(revision);
        Difference { changed, previous, removed }
    }

    /// Encodes the changes after `known`, or the full list if those are no longer all kept.
    pub fn encode_since(&mut self, known: impl Into<Stamp>) -> Bytes {
        let known = known.into();
        // The changes since a revision of another era are unknown, as those since the beginning.
        let known_revision = if known.era == self.era { known.revision } else { 0 };
        let known = self.encoded.iter().find(|(known, _)| *known == known_revision);
        if let Some((_, bytes)) = known {
            return bytes.clone();
        }
        let bytes = Bytes::from(self.encode(known_revision));
        if self.encoded.len() >= MAX_ENCODED {
            self.encoded.remove(0);
        }
        self.encoded.push((known_revision, bytes.clone()));
        bytes
    }

    fn encode(&self, known_revision: u64) -> Vec<u8> {
        if known_revision < self.compacted_revision || known_revision == 0 {
            let shared = self.entries.values().filter_map(Entry::shared);
            return object::encode_list(shared.map(|object| &**object), self.revision);
        }
        let deletions = self.deletions.iter().filter(|entry| entry.revision > known_revision);
        let changed = self.entries.values().filter(|entry| entry.revision > known_revision);
        let events = deletions.map(|deletion| (&deletion.object, true));
        let changed = changed.filter_map(Entry::shared);
        let events = events.chain(changed.map(|object| (&**object, false)));
        object::encode_changes(events, self.revision)
    }
}
