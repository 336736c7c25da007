//! An index: its service classes, its fields, and the shards of its searches and documents.

use std::collections::BTreeSet;

use super::context::RoutingContext;
use super::error::{RouteProblem, RoutesError};
use super::file::{IndexEntry, ShardsEntry};
use super::hash::hash;
use crate::error::SearchError;
use crate::mapping::Mapping;

/// How the shard of a document is selected.
#[derive(Clone, Debug, PartialEq)]
pub enum ShardSelection {
    /// By its routing value. A search names the routing values whose shards it queries.
    Routing,
    /// By its id. A search queries all shards.
    All,
    /// One of the listed shards. A search queries all of them.
    Listed(Vec<usize>),
}

/// An index.
#[derive(Clone, Debug)]
pub struct Index {
    /// Name of the index.
    pub name: String,
    /// Service class of searches, as an index in the [`RoutingContext`].
    pub class: usize,
    /// Service class of creations, as an index in the [`RoutingContext`]. `None` if the index accepts no documents.
    pub create: Option<usize>,
    /// Name of the service class of searches.
    pub class_name: String,
    /// How the shard of a document is selected.
    pub selection: ShardSelection,
    /// The fields of the index.
    pub mapping: Mapping,
    shards: usize,
    routing_shards: u32,
    weights: Vec<f64>,
}

/// A shard that a search queries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShardWeight {
    /// Number of the shard.
    pub shard: usize,
    /// The fraction of the total weight of all queried shards, from 0 to 1.
    pub weight: f64,
}

/// What a service class is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClassUse {
    Search,
    Create,
}

impl Index {
    /// Validates an index of the routes file.
    pub(super) fn from_file(
        name: &str,
        entry: IndexEntry,
        context: &RoutingContext,
    ) -> Result<Index, RoutesError> {
        let key = |key: &str| format!("index.{name}.{key}");
        check_name(name)?;
        let selection =
            select_shards(entry.shards, context.shards).map_err(|error| error.at(key("slices")))?;
        let weights =
            check_weights(entry.weights, context.shards).map_err(|error| error.at(key("weights")))?;
        let shards = u32::try_from(context.shards);
        let shards = shards.map_err(|_| RouteProblem::TooManyShards.at(key("slices")))?;
        let routing_shards = entry.routing_shards.unwrap_or_else(|| default_routing_shards(shards));
        if routing_shards == 0 || !routing_shards.is_multiple_of(shards) {
            let problem = RouteProblem::RoutingShards { shards: context.shards };
            return Err(problem.at(key("routing_shards")));
        }
        if entry.fields.fields.is_empty() {
            return Err(RouteProblem::NoField.at(key("fields")));
        }
        let class = find_class(context, &entry.class, ClassUse::Search);
        let create =
            entry.create_class.map(|class| find_class(context, &class, ClassUse::Create)).transpose();
        Ok(Index {
            name: name.to_owned(),
            class: class.map_err(|problem| problem.at(key("grade")))?,
            create: create.map_err(|problem| problem.at(key("create")))?,
            class_name: entry.class,
            selection,
            mapping: entry.fields,
            shards: context.shards,
            routing_shards,
            weights,
        })
    }

    /// Returns the shard of a routing value, computed as in OpenSearch.
    pub fn shard_of(&self, routing: &str) -> usize {
        let shard = hash(routing).rem_euclid(self.routing_shards as i32) as u32;
        (shard / (self.routing_shards / self.shards as u32)) as usize
    }

    /// Returns the shards of a search; their weights add up to 1. `routing` is a comma-separated list of values. Of the
    /// OpenSearch preferences only `_shards:N,M` is supported: the others select copies, which the front node does
    /// itself.
    ///
    /// # Errors
    ///
    /// A routing value is missing or not allowed, or the preference selects no shard of the search.
    pub fn shard_weights(
        &self,
        routing: Option<&str>,
        preference: Option<&str>,
    ) -> Result<Vec<ShardWeight>, SearchError> {
        let mut shards = self.shards_of_search(routing)?;
        if let Some(preference) = preference {
            let preferred = self.preferred_shards(preference)?;
            shards.retain(|shard| preferred.contains(shard));
            if shards.is_empty() {
                return Err(SearchError::argument("preference", "no slice is left to ask"));
            }
        }
        let total: f64 = shards.iter().map(|shard| self.weights[*shard]).sum();
        let share = |shard: usize| ShardWeight { shard, weight: self.weights[shard] / total };
        Ok(shards.into_iter().map(share).collect())
    }

    fn shards_of_search(&self, routing: Option<&str>) -> Result<BTreeSet<usize>, SearchError> {
        match (&self.selection, routing) {
            (ShardSelection::Routing, Some(values)) => {
                if values.split(',').any(str::is_empty) {
                    return Err(SearchError::argument("routing", "an empty routing value"));
                }
                Ok(values.split(',').map(|value| self.shard_of(value)).collect())
            }
            (ShardSelection::Routing, None) => {
                let reason = format!("'{}' is asked by routing, and none is given", self.name);
                Err(SearchError::argument("routing", reason))
            }
            (_, Some(_)) => Err(self.no_routing()),
            (ShardSelection::All, None) => Ok((0..self.shards).collect()),
            (ShardSelection::Listed(list), None) => Ok(list.iter().copied().collect()),
        }
    }

    fn preferred_shards(&self, preference: &str) -> Result<BTreeSet<usize>, SearchError> {
        let Some(list) = preference.strip_prefix("_shards:") else {
            let reason = "only _shards:N,M is supported: copies are chosen here";
            return Err(SearchError::argument("preference", reason));
        };
        let shards = list.split(',').map(|number| number.parse().ok().filter(|shard| *shard < self.shards));
        let shards: Option<BTreeSet<usize>> = shards.collect();
        shards.ok_or_else(|| SearchError::argument("preference", format!("no such slices: '{list}'")))
    }

    /// Returns the shard that stores a new document.
    ///
    /// # Errors
    ///
    /// A routing value is missing or not allowed, or the index does not define which shard accepts documents.
    pub fn document_shard(&self, id: &str, routing: Option<&str>) -> Result<usize, SearchError> {
        match (&self.selection, routing) {
            (ShardSelection::Routing, Some(value)) if !value.is_empty() && !value.contains(',') => {
                Ok(self.shard_of(value))
            }
            (ShardSelection::Routing, _) => {
                let reason = format!("a document of '{}' needs one routing value", self.name);
                Err(SearchError::argument("routing", reason))
            }
            (_, Some(_)) => Err(self.no_routing()),
            (ShardSelection::All, None) => Ok(self.shard_of(id)),
            (ShardSelection::Listed(list), None) if list.len() == 1 => Ok(list[0]),
            (ShardSelection::Listed(_), None) => {
                let reason =
                    format!("'{}' lists several slices and says not which takes a document", self.name);
                Err(SearchError::argument("", reason))
            }
        }
    }

    fn no_routing(&self) -> SearchError {
        SearchError::argument("routing", format!("the documents of '{}' have no routing", self.name))
    }
}

fn check_name(name: &str) -> Result<(), RoutesError> {
    let is_allowed = |character: char| {
        character.is_ascii_lowercase() || character.is_ascii_digit() || "-_.".contains(character)
    };
    if name.is_empty() || !name.chars().all(is_allowed) || name.starts_with(['_', '-', '.']) {
        return Err(RouteProblem::IndexName.at(format!("index.{name}")));
    }
    Ok(())
}

/// Returns the index of a service class. Creations require one with idempotency keys, searches one without.
fn find_class(context: &RoutingContext, name: &str, class_use: ClassUse) -> Result<usize, RouteProblem> {
    let class = || name.to_owned();
    let position = context.classes.iter().position(|known| known.name == name);
    let position = position.ok_or_else(|| RouteProblem::UnknownClass { class: class() })?;
    let has_key = context.classes[position].has_idempotency_key;
    match class_use {
        ClassUse::Create if !has_key => Err(RouteProblem::ClassWithoutReceipt { class: class() }),
        ClassUse::Search if has_key => Err(RouteProblem::ClassWithReceipt { class: class() }),
        _ => Ok(position),
    }
}

fn select_shards(entry: ShardsEntry, shards: usize) -> Result<ShardSelection, RouteProblem> {
    match entry {
        ShardsEntry::Word(word) if word == "routing" => Ok(ShardSelection::Routing),
        ShardsEntry::Word(word) if word == "all" => Ok(ShardSelection::All),
        ShardsEntry::Word(word) => Err(RouteProblem::UnknownSelection { word }),
        ShardsEntry::List(list) => {
            let distinct: BTreeSet<usize> = list.iter().copied().collect();
            if list.is_empty() || distinct.len() < list.len() {
                return Err(RouteProblem::ShardList);
            }
            match list.iter().find(|shard| **shard >= shards) {
                Some(&shard) => Err(RouteProblem::UnknownShard { shard, shards }),
                None => Ok(ShardSelection::Listed(list)),
            }
        }
    }
}

fn check_weights(weights: Option<Vec<f64>>, shards: usize) -> Result<Vec<f64>, RouteProblem> {
    let weights = weights.unwrap_or_else(|| vec![1.0; shards]);
    let is_positive = |weight: &f64| weight.is_finite() && *weight > 0.0;
    if weights.len() != shards || !weights.iter().all(is_positive) {
        return Err(RouteProblem::Weights { shards });
    }
    Ok(weights)
}

/// Returns OpenSearch's default number of routing shards, which allows an index to be split in two repeatedly, up to
/// 1,024 shards.
fn default_routing_shards(shards: u32) -> u32 {
    let doublings = 32 - (shards.max(1) - 1).leading_zeros();
    shards.max(1) << 10u32.saturating_sub(doublings).max(1)
}
