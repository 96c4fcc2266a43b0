//! Answers of the object store, as the decisions see them.

/// A value with the store's object version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Versioned<V> {
    /// The object version.
    pub version: u64,
    /// The value.
    pub value: V,
}

/// The store's answer to a read.
#[derive(Debug, Clone, PartialEq)]
pub enum ReadReply<V> {
    /// The object with its version.
    Found(Versioned<V>),
    /// There is no such object.
    Absent,
    /// No answer came.
    NoReply,
}

/// The store's answer to a conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteReply {
    /// The write took effect and gave the object this version.
    Written(u64),
    /// The object had this other version, 0 if it is absent; the write did not take effect.
    Conflict(u64),
    /// No answer came: the write may have taken effect, may still do so, or may be lost.
    NoReply,
}
