//! Compiles a configuration document into a [`RouteTable`] and rejects invalid documents.

use std::collections::{HashMap, HashSet};

use compact_str::CompactString;
use orchidvalve_protocol::time_limit::TimeLimit;
use serde_json::Value;

use super::route_table::{
    Engine, Limits, Route, RouteTable, RouteType, Scaling, Service, ServiceWeight, TrafficSplit,
    normalize_host,
};
use super::tenant_table::{Tenant, TenantTable};
use super::{ConfigurationError, VERSION_FIELD};
use crate::reader::{ReadError, ValueReader};

/// Path of health checks if a service does not specify one.
const DEFAULT_HEALTH_PATH: &str = "/health";

/// Parses and validates a document.
///
/// # Errors
///
/// Returns the first error in the order of the sections: version, services, routes, limits, tenants.
pub fn build(document: &Value) -> Result<RouteTable, ConfigurationError> {
    let root = ValueReader::root(document);
    let version = root.field(VERSION_FIELD)?.unsigned()?;
    let services = read_services(&root)?;
    let routes = read_routes(&root, &services)?;
    let limits = read_limits(&root)?;
    let tenants = read_tenants(&root)?;
    Ok(RouteTable::new(version, routes, services, limits, tenants))
}

fn read_services(root: &ValueReader<'_, '_>) -> Result<Vec<Service>, ConfigurationError> {
    let list = root.field("services")?;
    let mut names = HashSet::new();
    let mut services = Vec::new();
    for entry in list.items()? {
        let name = read_name(&entry, &mut names)?;
        let health_path = entry.optional("health-path")?.map(|path| path.text()).transpose()?;
        let max_connections = entry.optional("max-connections")?.map(|limit| limit.count()).transpose()?;
        let engine = entry.optional("engine")?.map(|engine| read_engine(&engine)).transpose()?;
        services.push(Service {
            name,
            health_path: CompactString::from(health_path.unwrap_or(DEFAULT_HEALTH_PATH)),
            max_connections,
            engine,
            scaling: read_scaling(&entry)?,
        });
    }
    Ok(services)
}

fn read_engine(engine: &ValueReader<'_, '_>) -> Result<Engine, ReadError> {
    let mut models = Vec::new();
    if let Some(list) = engine.optional("models")? {
        for model in list.items()? {
            models.push(CompactString::from(model.field("name")?.non_empty_text()?));
        }
    }
    Ok(Engine {
        slots: optional_unsigned(engine, "slots")?
            .map_or(1, |slots| slots.clamp(1, u64::from(u32::MAX)) as u32),
        kv_cache_tokens: optional_unsigned(engine, "kv-cache-tokens")?.unwrap_or(0),
        kv_token_bytes: optional_unsigned(engine, "kv-token-bytes")?.unwrap_or(0),
        models,
    })
}

fn read_scaling(entry: &ValueReader<'_, '_>) -> Result<Option<Scaling>, ConfigurationError> {
    let Some(scaling) = entry.optional("scaling")? else { return Ok(None) };
    let min_count = scaling.field("min-count")?.count()?;
    let max_count = scaling.field("max-count")?.count()?;
    if min_count > max_count {
        return Err(ConfigurationError::ScalingBounds {
            path: scaling.path(),
            min: min_count,
            max: max_count,
        });
    }
    let boot = optional_seconds(&scaling, "boot-s")?;
    Ok(Some(Scaling { min_count, max_count, boot: boot.unwrap_or_default() }))
}

/// Parses the tenants; `None` if the document has no list of them.
fn read_tenants(root: &ValueReader<'_, '_>) -> Result<Option<TenantTable>, ConfigurationError> {
    let Some(list) = root.optional("tenants")? else { return Ok(None) };
    let mut names = HashSet::new();
    let mut tenants = Vec::new();
    let mut by_key = HashMap::new();
    let mut paths: HashMap<&str, String> = HashMap::new();
    for entry in list.items()? {
        let name = read_name(&entry, &mut names)?;
        check_header_value(&entry.field("name")?)?;
        let priority = entry.optional("priority")?.map(|priority| priority.count()).transpose()?;
        if let Some(keys) = entry.optional("api-keys")? {
            for key in keys.items()? {
                let text = key.non_empty_text()?;
                // A key that is listed twice for the same tenant is not an error.
                let previous = by_key.insert(CompactString::from(text), tenants.len());
                if previous.is_some_and(|previous| previous != tenants.len()) {
                    let other = paths.remove(text).unwrap_or_default();
                    return Err(ConfigurationError::SharedKey { path: key.path(), other });
                }
                paths.entry(text).or_insert_with(|| key.path());
            }
        }
        tenants.push(Tenant { name, priority });
    }
    Ok(Some(TenantTable::new(tenants, by_key)))
}

/// Checks that the name of a tenant can be sent as a header value (RFC 9110, section 5.5).
fn check_header_value(name: &ValueReader<'_, '_>) -> Result<(), ReadError> {
    let is_visible = |byte: u8| (0x20..=0x7e).contains(&byte);
    if name.text()?.bytes().all(is_visible) {
        return Ok(());
    }
    Err(name.error("must hold visible ASCII characters and spaces only: servers are told it in a header"))
}

fn read_routes(root: &ValueReader<'_, '_>, services: &[Service]) -> Result<Vec<Route>, ConfigurationError> {
    let list = root.field("routes")?;
    let indices =
        services.iter().enumerate().map(|(index, service)| (service.name.as_str(), index)).collect();
    let mut names = HashSet::new();
    let mut prefixes = HashMap::new();
    let mut routes: Vec<Route> = Vec::new();
    for entry in list.items()? {
        let name = read_name(&entry, &mut names)?;
        let route = read_route(&entry, routes.len(), name, &indices)?;
        let prefix = (route.hostname.clone(), route.path_prefix.clone());
        if let Some(other) = prefixes.insert(prefix, routes.len()) {
            let other = format!("routes[{other}]");
            return Err(ConfigurationError::DuplicateRoute { path: entry.path(), other });
        }
        routes.push(route);
    }
    Ok(routes)
}

fn read_route(
    entry: &ValueReader<'_, '_>,
    index: usize,
    name: CompactString,
    services: &HashMap<&str, usize>,
) -> Result<Route, ConfigurationError> {
    let hostname = entry.field("hostname")?.non_empty_text()?;
    let priority = entry.optional("priority")?.map(|priority| priority.count()).transpose()?;
    let max_attempts = entry.optional("max-attempts")?.map(|limit| limit.count()).transpose()?;
    Ok(Route {
        index,
        name,
        hostname: CompactString::from(normalize_host(hostname)),
        path_prefix: read_prefix(entry)?,
        route_type: read_route_type(entry)?,
        timeout: read_timeout(entry)?,
        target_latency: optional_milliseconds(entry, "target-latency-ms")?,
        target_run: optional_milliseconds(entry, "target-run-ms")?,
        max_queue: optional_seconds(entry, "max-queue-s")?,
        priority: priority.unwrap_or(0),
        split: read_split(entry, services)?,
        max_attempts: max_attempts.unwrap_or(1).max(1),
        resumable: optional_flag(entry, "resumable")?,
        single_version: optional_flag(entry, "single-version")?,
        sticky: optional_flag(entry, "sticky")?,
        public: optional_flag(entry, "public")?,
    })
}

fn read_name(
    entry: &ValueReader<'_, '_>,
    names: &mut HashSet<CompactString>,
) -> Result<CompactString, ConfigurationError> {
    let name = entry.field("name")?;
    let text = CompactString::from(name.non_empty_text()?);
    if names.insert(text.clone()) {
        Ok(text)
    } else {
        Err(ConfigurationError::DuplicateName { path: name.path(), name: text.to_string() })
    }
}

fn read_prefix(entry: &ValueReader<'_, '_>) -> Result<CompactString, ReadError> {
    let prefix = entry.field("path-prefix")?;
    let text = prefix.text()?;
    if text.starts_with('/') && text.ends_with('/') {
        Ok(CompactString::from(text))
    } else {
        Err(prefix.error("must begin and end with a slash"))
    }
}

fn read_route_type(entry: &ValueReader<'_, '_>) -> Result<RouteType, ReadError> {
    let name = entry.optional("route-type")?.map(|name| name.text()).transpose()?;
    Ok(match name {
        Some("idempotent") => RouteType::Idempotent,
        Some("streaming") => RouteType::Streaming,
        Some("rollout_control") => RouteType::RolloutControl,
        _ => RouteType::NonIdempotent,
    })
}

fn read_timeout(entry: &ValueReader<'_, '_>) -> Result<Option<TimeLimit>, ConfigurationError> {
    let Some(timeout) = entry.optional("timeout-ms")? else { return Ok(None) };
    if timeout.number()? == 0.0 {
        return Err(ConfigurationError::ZeroTimeout { path: timeout.path() });
    }
    Ok(Some(milliseconds(&timeout)?))
}

fn read_split(
    entry: &ValueReader<'_, '_>,
    services: &HashMap<&str, usize>,
) -> Result<TrafficSplit, ConfigurationError> {
    let single_service = match entry.optional("service")? {
        Some(service) => Some(read_service(&service, services)?),
        None => None,
    };
    let Some(list) = entry.optional("traffic-split")? else {
        let service = single_service.ok_or_else(|| {
            entry.field_error("service", "is missing; name a service, or several under traffic-split")
        })?;
        return split_of(entry, &[ServiceWeight { service, weight: 1.0 }]);
    };
    let mut weights = Vec::new();
    for part in list.items()? {
        let service = read_service(&part.field("service")?, services)?;
        let weight = part.field("weight")?.number()?;
        weights.push(ServiceWeight { service, weight });
    }
    split_of(&list, &weights)
}

fn split_of(
    entry: &ValueReader<'_, '_>,
    weights: &[ServiceWeight],
) -> Result<TrafficSplit, ConfigurationError> {
    TrafficSplit::new(weights).ok_or_else(|| ConfigurationError::ZeroWeights { path: entry.path() })
}

fn read_service(
    name: &ValueReader<'_, '_>,
    services: &HashMap<&str, usize>,
) -> Result<usize, ConfigurationError> {
    let text = name.text()?;
    services
        .get(text)
        .copied()
        .ok_or_else(|| ConfigurationError::UnknownService { path: name.path(), service: text.to_owned() })
}

fn read_limits(root: &ValueReader<'_, '_>) -> Result<Limits, ReadError> {
    let defaults = Limits::default();
    let Some(limits) = root.optional("limits")? else { return Ok(defaults) };
    let header_timeout = optional_milliseconds(&limits, "header-timeout-ms")?;
    let idle_timeout = optional_milliseconds(&limits, "idle-timeout-ms")?;
    Ok(Limits {
        max_header_bytes: optional_bytes(&limits, "max-header-bytes")?.unwrap_or(defaults.max_header_bytes),
        max_body_bytes: optional_bytes(&limits, "max-body-bytes")?.unwrap_or(defaults.max_body_bytes),
        header_timeout: header_timeout.unwrap_or(defaults.header_timeout),
        idle_timeout: idle_timeout.unwrap_or(defaults.idle_timeout),
    })
}

fn optional_unsigned(entry: &ValueReader<'_, '_>, name: &str) -> Result<Option<u64>, ReadError> {
    entry.optional(name)?.map(|number| number.unsigned()).transpose()
}

fn optional_bytes(entry: &ValueReader<'_, '_>, name: &str) -> Result<Option<u64>, ReadError> {
    entry.optional(name)?.map(|number| rounded_up(&number)).transpose()
}

fn optional_seconds(entry: &ValueReader<'_, '_>, name: &str) -> Result<Option<TimeLimit>, ReadError> {
    entry.optional(name)?.map(|limit| Ok(TimeLimit::from_seconds(limit.number()?))).transpose()
}

fn optional_milliseconds(entry: &ValueReader<'_, '_>, name: &str) -> Result<Option<TimeLimit>, ReadError> {
    entry.optional(name)?.map(|limit| milliseconds(&limit)).transpose()
}

/// Returns a number of milliseconds, rounded up to an integer.
fn milliseconds(limit: &ValueReader<'_, '_>) -> Result<TimeLimit, ReadError> {
    Ok(TimeLimit::from_millis(rounded_up(limit)?))
}

/// Returns a number of at least 0, rounded up to an integer.
fn rounded_up(number: &ValueReader<'_, '_>) -> Result<u64, ReadError> {
    Ok(number.number()?.ceil() as u64)
}

fn optional_flag(entry: &ValueReader<'_, '_>, name: &str) -> Result<bool, ReadError> {
    Ok(entry.optional(name)?.map(|flag| flag.flag()).transpose()?.unwrap_or(false))
}
