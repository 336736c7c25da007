//! The tenants of a configuration and their API keys, compiled for fast lookup.

use std::collections::HashMap;
use std::fmt;

use compact_str::CompactString;

/// The owner of requests, identified by the API key that they carry.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Unique name, which is sent to servers.
    pub name: CompactString,
    /// Priority of the tenant's requests, which overrides that of their route; 0 is the highest.
    pub priority: Option<u32>,
}

/// An immutable table of all tenants by API key. Keys are secrets and appear in no log line and no error.
#[derive(Clone, PartialEq)]
pub struct TenantTable {
    tenants: Vec<Tenant>,
    /// Index of the tenant of each key.
    by_key: HashMap<CompactString, usize>,
}

impl TenantTable {
    pub(super) fn new(tenants: Vec<Tenant>, by_key: HashMap<CompactString, usize>) -> TenantTable {
        TenantTable { tenants, by_key }
    }

    /// Returns the tenants in the order of the configuration.
    pub fn tenants(&self) -> &[Tenant] {
        &self.tenants
    }

    /// Returns the tenant of this API key, which must match byte for byte. Takes constant time for a table of any size.
    pub fn by_key(&self, key: &str) -> Option<&Tenant> {
        self.by_key.get(key).and_then(|index| self.tenants.get(*index))
    }

    /// Returns the total number of API keys of all tenants.
    pub fn key_count(&self) -> usize {
        self.by_key.len()
    }

    /// Returns the tenant with this name.
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
