//! Keys that stay the same from one policy document to the next.
//!
//! A document numbers its members, kinds and targets by position, which changes when an operator
//! adds one. Pools outlive documents, so they use keys that a name keeps for the life of the
//! process.

use std::collections::HashMap;

use ebonypass_core::id::{Key, KindId, MemberId, TargetId};

/// Names and their keys, in the order in which they were first seen.
#[derive(Debug)]
pub(crate) struct Names<K> {
    keys: HashMap<String, K>,
}

impl<K: Key> Names<K> {
    /// The key of `name`, a new one at its first use.
    pub(crate) fn key(&mut self, name: &str) -> K {
        if let Some(&key) = self.keys.get(name) {
            return key;
        }
        let key = K::from_index(self.keys.len());
        self.keys.insert(name.to_owned(), key);
        key
    }

    /// The name of `key`, if it was given out.
    pub(crate) fn name(&self, key: K) -> Option<&str> {
        let found = self.keys.iter().find(|(_, other)| other.index() == key.index());
        found.map(|(name, _)| name.as_str())
    }
}

impl<K> Default for Names<K> {
    fn default() -> Names<K> {
        Names { keys: HashMap::new() }
    }
}

/// The names that pools know by key.
#[derive(Debug, Default)]
pub(crate) struct Catalogue {
    pub(crate) members: Names<MemberId>,
    /// Kinds as `<service>/<kind>`.
    pub(crate) kinds: Names<KindId>,
    pub(crate) targets: Names<TargetId>,
}
