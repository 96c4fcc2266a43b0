//! Typed ids and the arenas that they index.

use std::marker::PhantomData;
use std::ops::{Index, IndexMut};

/// A position in an [`Arena`].
pub trait Key: Copy {
    /// The key of position `index`.
    fn from_index(index: usize) -> Self;
    /// The position.
    fn index(self) -> usize;
}

macro_rules! key {
    ($(#[$doc:meta])* $name:ident($repr:ty)) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(serde::Serialize, serde::Deserialize)]
        pub struct $name(pub $repr);

        impl $crate::id::Key for $name {
            fn from_index(index: usize) -> $name {
                debug_assert!(index <= <$repr>::MAX as usize);
                $name(index as $repr)
            }

            fn index(self) -> usize {
                self.0 as usize
            }
        }
    };
}

pub(crate) use key;

key! {
    /// A member, in the order of the policy document.
    MemberId(u16)
}
key! {
    /// A service, in the order of the policy document.
    ServiceId(u16)
}
key! {
    /// A kind of work, numbered over all services of the policy document.
    KindId(u16)
}
key! {
    /// A region, in the order of the policy document.
    RegionId(u16)
}
key! {
    /// A data centre, in the order of the policy document.
    CentreId(u16)
}
key! {
    /// A target, numbered by service, data centre and its number within the data centre.
    TargetId(u32)
}

key! {
    /// An entry, in the order in which this process first heard of it.
    EntryId(u32)
}

key! {
    /// A source of measurements, in the order in which it was added.
    SourceId(u32)
}

key! {
    /// A tenant, in the order of the configuration.
    TenantId(u32)
}

/// A vector whose positions are keys of one type.
#[derive(Debug, Clone, PartialEq)]
pub struct Arena<K, V> {
    items: Vec<V>,
    key: PhantomData<K>,
}

impl<K: Key, V> Arena<K, V> {
    /// Creates an empty arena.
    pub const fn new() -> Arena<K, V> {
        Arena { items: Vec::new(), key: PhantomData }
    }

    /// Creates an empty arena with capacity for `capacity` values.
    pub fn with_capacity(capacity: usize) -> Arena<K, V> {
        Arena { items: Vec::with_capacity(capacity), key: PhantomData }
    }

    /// Adds `value` and returns its key.
    pub fn push(&mut self, value: V) -> K {
        let key = K::from_index(self.items.len());
        self.items.push(value);
        key
    }

    /// The value of `key`, if the arena contains it.
    pub fn get(&self, key: K) -> Option<&V> {
        self.items.get(key.index())
    }

    /// Keys and values in order.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = (K, &V)> + ExactSizeIterator {
        self.items.iter().enumerate().map(|(index, value)| (K::from_index(index), value))
    }

    /// Values in order.
    pub fn values(&self) -> std::slice::Iter<'_, V> {
        self.items.iter()
    }

    /// Values in order, mutable.
    pub fn values_mut(&mut self) -> std::slice::IterMut<'_, V> {
        self.items.iter_mut()
    }

    /// The key of the first value for which `matches` returns true.
    pub fn find(&self, matches: impl FnMut(&V) -> bool) -> Option<K> {
        self.items.iter().position(matches).map(K::from_index)
    }

    /// The number of values.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether there is no value.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }
}

impl<K: Key, V> Default for Arena<K, V> {
    fn default() -> Arena<K, V> {
        Arena::new()
    }
}

impl<K: Key, V> Index<K> for Arena<K, V> {
    type Output = V;

    fn index(&self, key: K) -> &V {
        &self.items[key.index()]
    }
}

impl<K: Key, V> IndexMut<K> for Arena<K, V> {
    fn index_mut(&mut self, key: K) -> &mut V {
        &mut self.items[key.index()]
    }
}
