//! Numeric keys for names, stable across policy documents.
//!
//! A document numbers its members, kinds and targets by position, which changes when an operator
//! adds one. Pools outlive documents, so they use interned names, whose keys stay the same for the
//! life of the process.

use std::collections::HashMap;

use ebonypass_core::id::{Key, KindId, MemberId, TargetId};

/// Assigns keys to names, in the order in which they are first seen.
#[derive(Debug)]
pub(crate) struct Interner<K> {
    keys: HashMap<String, K>,
}

impl<K: Key> Interner<K> {
    /// The key of `name`, assigned at its first use.
    pub(crate) fn intern(&mut self, name: &str) -> K {
        if let Some(&key) = self.keys.get(name) {
            return key;
        }
        let key = K::from_index(self.keys.len());
        self.keys.insert(name.to_owned(), key);
        key
    }

    /// The name of `key`, if it was assigned.
    pub(crate) fn name(&self, key: K) -> Option<&str> {
        let pair = self.keys.iter().find(|(_, other)| other.index() == key.index());
        pair.map(|(name, _)| name.as_str())
    }
}

impl<K> Default for Interner<K> {
    fn default() -> Interner<K> {
        Interner { keys: HashMap::new() }
    }
}

/// The names that pools use by key.
#[derive(Debug, Default)]
pub(crate) struct Interners {
    pub(crate) members: Interner<MemberId>,
    /// Kinds by `<service>/<kind>`.
    pub(crate) kinds: Interner<KindId>,
    pub(crate) targets: Interner<TargetId>,
}
