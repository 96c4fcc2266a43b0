//! Replies of the object store, independent of the transport.

/// A value with the version of its store object.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Versioned<V> {
    /// The object version.
    pub version: u64,
    /// The value.
    pub value: V,
}

/// The outcome of a read.
#[derive(Debug, Clone, PartialEq)]
pub enum ReadReply<V> {
    /// The object exists.
    Found(Versioned<V>),
    /// The object does not exist.
    Absent,
    /// No reply arrived.
    NoReply,
}

/// The outcome of a conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteReply {
    /// The write took effect and gave the object this version.
    Written(u64),
    /// The write did not take effect: the object had this other version, 0 if it is absent.
    Conflict(u64),
    /// No reply arrived: the write may have taken effect, may still do so, or may be lost.
    NoReply,
}
