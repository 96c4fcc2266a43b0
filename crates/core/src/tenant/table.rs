//! The tenants in force, found by the digests of their keys.

use std::collections::{HashMap, HashSet};

use super::{Defect, Digest, Entry, Fault, Tenant, TenantId};
use crate::id::Arena;

/// The tenants of one configuration.
#[derive(Debug, Default)]
pub struct Table {
    tenants: Arena<TenantId, Tenant>,
    names: HashMap<String, TenantId>,
    keys: HashMap<Digest, TenantId>,
}

/// An entry that is in force, with its position in the configuration.
struct Accepted {
    row: usize,
    id: TenantId,
    keys: HashSet<Digest>,
}

impl Table {
    /// Builds a table of `entries`, and lists what is wrong with them. A fault affects only the
    /// entry, key or region that has it. `is_region` says whether a data centre is in a region.
    pub fn new(
        entries: impl IntoIterator<Item = Entry>,
        is_region: impl Fn(&str) -> bool,
    ) -> (Table, Vec<Fault>) {
        let mut table = Table::default();
        let mut faults = Vec::new();
        let mut accepted: Vec<Accepted> = Vec::new();
        for (row, entry) in entries.into_iter().enumerate() {
            let Entry { tenant, keys, mut defects } = entry;
            if tenant.allowed_regions.iter().any(|region| !is_region(region)) {
                defects.push(Defect::RegionUnknown);
            }
            let rejection = if defects.contains(&Defect::Malformed) {
                Some(Defect::Malformed)
            } else if tenant.name.trim().is_empty() {
                Some(Defect::NameMissing)
            } else if table.names.contains_key(&tenant.name) {
                Some(Defect::NameRepeated)
            } else {
                None
            };
            let fault = |defect| Fault { row, tenant: tenant.name.clone(), defect };
            if let Some(defect) = rejection {
                faults.push(fault(defect));
                continue;
            }
            let mut seen = HashSet::new();
            defects.retain(|defect| seen.insert(*defect));
            faults.extend(defects.into_iter().map(fault));
            let name = tenant.name.clone();
            let id = table.tenants.push(tenant);
            table.names.insert(name, id);
            accepted.push(Accepted { row, id, keys: keys.into_iter().collect() });
        }
        faults.extend(table.add_keys(&accepted));
        faults.sort_by_key(|fault| fault.row);
        (table, faults)
    }

    /// Adds the keys that a single entry lists, and returns the faults of the others.
    fn add_keys(&mut self, entries: &[Accepted]) -> Vec<Fault> {
        let mut owner_counts: HashMap<Digest, usize> = HashMap::new();
        for key in entries.iter().flat_map(|entry| &entry.keys) {
            *owner_counts.entry(*key).or_default() += 1;
        }
        let is_shared = |key: &Digest| owner_counts.get(key).is_some_and(|count| *count > 1);
        let mut faults = Vec::new();
        for entry in entries {
            if entry.keys.iter().any(is_shared) {
                let tenant = self.tenants[entry.id].name.clone();
                faults.push(Fault { row: entry.row, tenant, defect: Defect::KeyShared });
            }
            let own = entry.keys.iter().filter(|key| !is_shared(key));
            self.keys.extend(own.map(|key| (*key, entry.id)));
        }
        faults
    }

    /// The tenant that the key with this digest belongs to.
    pub fn find(&self, key: &Digest) -> Option<TenantId> {
        self.keys.get(key).copied()
    }

    /// The tenant called `name`.
    pub fn find_name(&self, name: &str) -> Option<TenantId> {
        self.names.get(name).copied()
    }

    /// The tenant of an id of this table.
    pub fn get(&self, id: TenantId) -> Option<&Tenant> {
        self.tenants.get(id)
    }

    /// The tenants in the order of the configuration.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = (TenantId, &Tenant)> + ExactSizeIterator {
        self.tenants.iter()
    }

    /// The number of tenants.
    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    /// Whether there is no tenant.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }
}

impl std::ops::Index<TenantId> for Table {
    type Output = Tenant;

    fn index(&self, id: TenantId) -> &Tenant {
        &self.tenants[id]
    }
}
