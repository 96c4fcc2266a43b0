//! Tenants of a configuration, and the keys by which their requests are recognised.
//!
//! Responds to no load: an entry of the configuration is in force or has a fault, whatever the
//! traffic is. Keys are known here only by their digests.

mod table;

use std::fmt;

pub use crate::id::TenantId;
pub use table::Table;

/// The digest of a key.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct Digest([u8; 32]);

impl Digest {
    /// Creates a digest from its bytes.
    pub const fn new(bytes: [u8; 32]) -> Digest {
        Digest(bytes)
    }

    /// The bytes of the digest.
    pub const fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl fmt::Debug for Digest {
    /// Prints no bytes, so that a key cannot be recognised in a log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Digest(..)")
    }
}

/// The limit on the requests of a tenant, over all machines together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Requests per second.
    pub rate_per_s: f64,
    /// Requests beyond the rate that may come at once.
    pub burst: f64,
}

/// A tenant, to whom requests are attributed.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Tenant {
    /// Unique name.
    pub name: String,
    /// Replaces the priority of the route, if set.
    pub priority: Option<u8>,
    /// Limit on requests; none if there is no limit.
    pub limit: Option<Limit>,
    /// Regions that may run its requests; any if empty. A name that no region has allows none, so
    /// that a misspelt list does not open all regions.
    pub allowed_regions: Vec<String>,
}

/// The entry of a tenant in a configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Entry {
    /// The tenant.
    pub tenant: Tenant,
    /// Digests of its keys.
    pub keys: Vec<Digest>,
    /// Defects that were found when the entry was decoded.
    pub defects: Vec<Defect>,
}

/// What is wrong with an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Defect {
    /// The entry cannot be decoded. It is not in force.
    Malformed,
    /// The entry has no name. It is not in force.
    NameMissing,
    /// An earlier entry has the name. The later one is not in force.
    NameRepeated,
    /// A key is empty. It belongs to no tenant.
    KeyEmpty,
    /// A key is not text. It belongs to no tenant.
    KeyMalformed,
    /// Another tenant lists a key too. It belongs to no tenant.
    KeyShared,
    /// No data centre is in one of the regions.
    RegionUnknown,
}

impl Defect {
    /// A description for operators.
    pub const fn message(self) -> &'static str {
        match self {
            Defect::Malformed => "the entry cannot be decoded",
            Defect::NameMissing => "the entry has no name",
            Defect::NameRepeated => "an earlier entry has the same name",
            Defect::KeyEmpty => "a key is empty",
            Defect::KeyMalformed => "a key is not text",
            Defect::KeyShared => "another tenant lists the same key",
            Defect::RegionUnknown => "no data centre is in one of the regions",
        }
    }
}

/// A fault of an entry. It names no key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Position of the entry in the configuration, from 0.
    pub row: usize,
    /// Name in the entry; empty if it has none.
    pub tenant: String,
    /// What is wrong.
    pub defect: Defect,
}
