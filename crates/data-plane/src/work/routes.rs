//! Conversion of routes and of assigned items to the types of the runner.

use std::sync::Arc;

use compact_str::CompactString;
use orchidvalve_configuration::{Route, RouteTable, RouteType};
use orchidvalve_protocol::messages::AssignedItem;
use orchidvalve_protocol::time_limit::TimeLimit;

use crate::generations::{Item, RewardRoute, RouteSettings, Routes, Scorer};

/// The target duration of a job whose route states none.
pub(super) const DEFAULT_RUN: TimeLimit = TimeLimit::from_millis(30_000);
/// The latency target of reward calls whose route states none.
const DEFAULT_REWARD_TARGET: TimeLimit = TimeLimit::from_millis(500);

/// Routes of reward calls in the current configuration.
pub struct RewardRoutes(pub Option<Arc<RouteTable>>);

impl Routes for RewardRoutes {
    fn reward_route(&self, hostname: &str, path: &str, random: u64) -> Option<RewardRoute> {
        let table = self.0.as_ref()?;
        let route = table.lookup(hostname, path)?;
        let service = table.services().get(table.pick(route, random))?;
        Some(RewardRoute {
            service: service.name.clone(),
            target_latency_ms: route.target_latency.unwrap_or(DEFAULT_REWARD_TARGET).as_millis(),
            max_attempts: route.max_attempts,
        })
    }
}

/// Returns the route of a batch job, or `None` if only a route of another type covers its path.
pub(super) fn rollout_route<'a>(table: &'a RouteTable, hostname: &str, path: &str) -> Option<&'a Route> {
    table.lookup(hostname, path).filter(|route| route.route_type == RouteType::RolloutControl)
}

/// Returns the settings of a batch job's route that the runner needs.
pub(super) fn route_settings(table: &RouteTable, route: &Route) -> RouteSettings {
    let service = table.services().get(route.split.main_service());
    RouteSettings {
        id: route.name.clone(),
        host: route.hostname.clone(),
        service: service.map_or_else(CompactString::default, |service| service.name.clone()),
        target_run_ms: route.target_run.unwrap_or(DEFAULT_RUN).as_millis(),
        max_attempts: route.max_attempts,
        single_version: route.single_version,
        has_tenants: table.tenants().is_some(),
    }
}

/// Converts an item that a store node assigned, of a batch job of this tenant.
pub(super) fn assigned_item(item: AssignedItem, tenant: Option<&CompactString>) -> Item {
    Item {
        id: item.id.into(),
        path: item.path.into(),
        headers: item.headers.into_iter().map(|(name, value)| (name.into(), value.into())).collect(),
        body: item.body.into(),
        token_usage: u64::from(item.token_usage),
        scorer: item.scorer.map(|scorer| Scorer {
            id: scorer.id.into(),
            hostname: scorer.hostname.into(),
            path: scorer.path.into(),
            body: scorer.body.into(),
        }),
        tenant: tenant.cloned(),
    }
}
