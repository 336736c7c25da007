//! The tenants of a configuration and their API keys, compiled for quick look-ups.

use std::collections::HashMap;
use std::fmt;

use compact_str::CompactString;

/// Who owns requests, by the API key that they carry.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Name that servers are told; unique.
    pub name: CompactString,
    /// Rank of the tenant's requests, before that of their route; 0 is the highest.
    pub priority: Option<u32>,
}

/// An immutable table of all tenants by their API keys. Keys are secrets: they appear in no log line and no error.
#[derive(Clone, PartialEq)]
pub struct TenantTable {
    tenants: Vec<Tenant>,
    /// Index of the tenant that holds each key.
    by_key: HashMap<CompactString, usize>,
}

impl TenantTable {
    pub(super) fn new(tenants: Vec<Tenant>, by_key: HashMap<CompactString, usize>) -> TenantTable {
        TenantTable { tenants, by_key }
    }

    /// Tenants in the order of the configuration.
    pub fn tenants(&self) -> &[Tenant] {
        &self.tenants
    }

    /// The tenant that holds this key. Keys are compared byte by byte, in constant time for a table of any size.
    pub fn of_key(&self, key: &str) -> Option<&Tenant> {
        self.by_key.get(key).and_then(|index| self.tenants.get(*index))
    }

    /// How many keys all tenants together have.
    pub fn key_count(&self) -> usize {
        self.by_key.len()
    }

    /// The tenant with this name.
    pub fn by_name(&self, name: &str) -> Option<&Tenant> {
        self.tenants.iter().find(|tenant| tenant.name == name)
    }
}

impl fmt::Debug for TenantTable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let keys = self.by_key.len();
        formatter.debug_struct("TenantTable").field("tenants", &self.tenants).field("keys", &keys).finish()
    }
}
