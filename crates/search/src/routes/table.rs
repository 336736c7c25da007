//! The table of all routes: the indices by name, and the protocols of index servers.

use std::collections::BTreeMap;
use std::fmt;

use super::context::{RouteClass, RoutingContext};
use super::error::{RouteProblem, RoutesError};
use super::file::{PoolSettings, RoutesFile, StoreEntry, StoreProtocol};
use super::index::Index;
use crate::error::{NO_INDEX, SearchError};
use crate::glob::glob_matches;
use crate::mapping::Mapping;

/// A rule that sets the protocol of index servers whose id, flavor and locality match.
struct ProtocolRule {
    globs: [Option<String>; 3],
    protocol: StoreProtocol,
}

/// All routes.
pub struct Routes {
    /// The indices by name.
    pub indices: BTreeMap<String, Index>,
    /// Settings of the connection pools of index servers that speak OpenSearch's API.
    pub pool: PoolSettings,
    rules: Vec<ProtocolRule>,
}

impl fmt::Debug for Routes {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "Routes({:?})", self.indices.keys().collect::<Vec<_>>())
    }
}

impl Routes {
    /// Parses a routes file.
    ///
    /// ```
    /// use orchidvalve_search::routes::{RouteClass, Routes, RoutingContext};
    ///
    /// let look = RouteClass { name: "look".to_owned(), has_idempotency_key: false };
    /// let context = RoutingContext { classes: vec![look], shards: 4 };
    /// let file = "[index.jobs]\ngrade = \"luke\"\nslices = \"all\"\n[index.jobs.fields]\ncustomer = \"keyword\"\n";
    /// let error = Routes::read(file, &context).unwrap_err();
    /// assert_eq!(error.to_string(), "index.jobs.grade: no grade 'luke' in the settings");
    /// ```
    ///
    /// # Errors
    ///
    /// The file is not TOML of this form, or contradicts the context.
    pub fn read(text: &str, context: &RoutingContext) -> Result<Routes, RoutesError> {
        let reader = toml::Deserializer::parse(text).map_err(RoutesError::Syntax)?;
        let file: RoutesFile = serde_path_to_error::deserialize(reader).map_err(|error| {
            let path = error.path().to_string();
            let path = if path == "." { String::new() } else { path };
            RoutesError::Form { path, error: error.into_inner() }
        })?;
        let indices = file.index.into_iter().map(|(name, entry)| {
            let index = Index::from_file(&name, entry, context)?;
            Ok((name, index))
        });
        let indices = indices.collect::<Result<BTreeMap<String, Index>, RoutesError>>()?;
        if indices.is_empty() {
            return Err(RoutesError::NoIndex);
        }
        let rules = file.stores.into_iter().enumerate();
        let rules = rules.map(|(position, entry)| ProtocolRule::from_file(position, entry));
        let rules = rules.collect::<Result<Vec<ProtocolRule>, RoutesError>>()?;
        check_pool(&file.pool)?;
        Ok(Routes { indices, pool: file.pool, rules })
    }

    /// Returns the service classes that a file names, with the properties that their use implies. Serves tools that
    /// read the file without the settings.
    pub fn classes_named(text: &str) -> Vec<RouteClass> {
        let Ok(file) = toml::from_str::<RoutesFile>(text) else { return Vec::new() };
        let mut classes: BTreeMap<String, bool> = BTreeMap::new();
        for entry in file.index.into_values() {
            classes.entry(entry.class).or_insert(false);
            if let Some(class) = entry.create_class {
                classes.insert(class, true);
            }
        }
        let class = |(name, has_idempotency_key)| RouteClass { name, has_idempotency_key };
        classes.into_iter().map(class).collect()
    }

    /// Returns the index with this name.
    ///
    /// # Errors
    ///
    /// No index has this name.
    pub fn index(&self, name: &str) -> Result<&Index, SearchError> {
        let unknown = || {
            let error = SearchError::new(NO_INDEX, "", format!("no such index [{name}]"));
            SearchError { status: 404, ..error }
        };
        self.indices.get(name).ok_or_else(unknown)
    }

    /// Returns the fields of the index with this name.
    pub fn mapping(&self, name: &str) -> Option<&Mapping> {
        self.indices.get(name).map(|index| &index.mapping)
    }

    /// Returns the protocol of an index server, as set by the first rule whose globs all match.
    pub fn store_protocol(&self, id: &str, flavor: &str, locality: &str) -> StoreProtocol {
        let matches = |rule: &&ProtocolRule| {
            let mut pairs = rule.globs.iter().zip([id, flavor, locality]);
            pairs.all(|(glob, text)| glob.as_ref().is_none_or(|glob| glob_matches(glob, text)))
        };
        self.rules.iter().find(matches).map_or(StoreProtocol::Frames, |rule| rule.protocol)
    }

    /// Returns whether any rule sets OpenSearch's API, so that requests must be expressible in it.
    pub fn any_search_store(&self) -> bool {
        self.rules.iter().any(|rule| rule.protocol == StoreProtocol::Search)
    }
}

impl ProtocolRule {
    fn from_file(position: usize, entry: StoreEntry) -> Result<ProtocolRule, RoutesError> {
        let globs = [entry.id, entry.flavor, entry.locality];
        if globs.iter().all(Option::is_none) {
            return Err(RouteProblem::EmptyRule.at(format!("stores[{position}]")));
        }
        Ok(ProtocolRule { globs, protocol: entry.protocol })
    }
}

fn check_pool(pool: &PoolSettings) -> Result<(), RoutesError> {
    let positive = [
        ("connections", pool.connections as i64),
        ("wait_ms", pool.wait_ms),
        ("read_out_ms", pool.read_out_ms),
    ];
    match positive.into_iter().find(|(_, value)| *value <= 0) {
        Some((name, value)) => Err(RouteProblem::NotPositive { value }.at(format!("pool.{name}"))),
        None => Ok(()),
    }
}
