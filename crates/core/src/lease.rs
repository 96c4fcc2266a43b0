//! Leases with epochs.

/// The store's answer to a conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    /// The write took effect and gave the object this version.
    Written(u64),
    /// The object had this other version, 0 if it is absent; the write did not take effect.
    Conflict(u64),
    /// No answer came: the write may have taken effect, may still do so, or may be lost.
    Silent,
}
