//! Routes, services and limits of a configuration, compiled for fast lookup.

use std::borrow::Cow;
use std::collections::HashMap;
use std::sync::Arc;

use compact_str::CompactString;
use orchidvalve_protocol::time_limit::TimeLimit;

use super::Configuration;
use super::tenant_table::TenantTable;

/// How often the requests of a route may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RouteType {
    /// Requests may run more than once.
    Idempotent,
    /// Requests run at most once per attempt of the client. Also used for unknown types.
    NonIdempotent,
    /// Responses are event streams. Requests run at most once, unless the route is resumable.
    Streaming,
    /// Batch jobs and their items.
    RolloutControl,
}

/// A rule that assigns the requests of a host and path prefix to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Index in [`RouteTable::routes`].
    pub index: usize,
    /// Unique name given by the operator.
    pub name: CompactString,
    /// Host of the requests, in lower case and without a port.
    pub hostname: CompactString,
    /// Prefix of the paths of requests; begins and ends with a slash.
    pub path_prefix: CompactString,
    /// How often the requests may run.
    pub route_type: RouteType,
    /// Maximum time to respond to a request; above 0.
    pub timeout: Option<TimeLimit>,
    /// Latency target within which a response has its full value.
    pub target_latency: Option<TimeLimit>,
    /// Time after the first submission of a batch job by which its results are due.
    pub target_run: Option<TimeLimit>,
    /// Time after the first submission of a batch job after which its items may expire.
    pub max_queue: Option<TimeLimit>,
    /// Priority of the requests; 0 is the highest.
    pub priority: u32,
    /// Services of the route and their weights.
    pub split: TrafficSplit,
    /// Maximum number of servers at which a request is attempted; at least 1.
    pub max_attempts: u32,
    /// Whether event streams may be resumed at another server.
    pub resumable: bool,
    /// Whether a text must be generated with a single version of the weights.
    pub single_version: bool,
    /// Whether prompts share prefixes, so that affinity to a server is beneficial.
    pub sticky: bool,
    /// Whether requests need no API key even if the configuration has tenants.
    pub public: bool,
}

impl Route {
    /// Returns whether a request may be repeated although it may have run.
    pub fn is_repeatable(&self) -> bool {
        match self.route_type {
            RouteType::Idempotent | RouteType::RolloutControl => true,
            RouteType::Streaming => self.resumable,
            RouteType::NonIdempotent => false,
        }
    }
}

/// The weight of a service in a traffic split, which has a meaning in proportion to the other weights only.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceWeight {
    /// Index in [`RouteTable::services`].
    pub(super) service: usize,
    /// At least 0, and finite.
    pub(super) weight: f64,
}

/// The largest weight of a traffic split is scaled to this integer. Keeps the sum of all weights within 64 bits.
const LARGEST_SCALED_WEIGHT: u64 = 1 << 40;

/// A service of a traffic split.
#[derive(Clone, Copy, Debug, PartialEq)]
struct SplitEntry {
    /// Index in [`RouteTable::services`].
    service: usize,
    /// Sum of the scaled weights up to and including this service.
    cumulative_weight: u64,
}

/// The services of a route and their weights, at least one of which is above 0.
#[derive(Clone, Debug, PartialEq)]
pub struct TrafficSplit {
    /// The services with a weight above 0.
    entries: Vec<SplitEntry>,
}

impl TrafficSplit {
    /// Creates a split. Returns `None` if the weights sum to 0.
    ///
    /// Weights are scaled in proportion to the largest one, so that any weights keep their ratios.
    pub(super) fn new(weights: &[ServiceWeight]) -> Option<TrafficSplit> {
        let largest = weights.iter().map(|entry| entry.weight).fold(0.0, f64::max);
        let mut sum = 0_u64;
        let mut entries = Vec::with_capacity(weights.len());
        for ServiceWeight { service, weight } in weights.iter().filter(|entry| entry.weight > 0.0) {
            sum += scaled(weight / largest);
            entries.push(SplitEntry { service: *service, cumulative_weight: sum });
        }
        (sum > 0).then_some(TrafficSplit { entries })
    }

    /// Iterates over the indices of the services with a weight above 0.
    pub fn services(&self) -> impl Iterator<Item = usize> {
        self.entries.iter().map(|entry| entry.service)
    }

    /// Returns the index of the service with the highest weight.
    pub fn main_service(&self) -> usize {
        let mut weight_before = 0;
        let (mut main_service, mut main_weight) = (0, 0);
        for entry in &self.entries {
            let weight = entry.cumulative_weight - weight_before;
            if weight > main_weight {
                (main_service, main_weight) = (entry.service, weight);
            }
            weight_before = entry.cumulative_weight;
        }
        main_service
    }

    fn pick(&self, random: u64) -> usize {
        match self.entries.as_slice() {
            [only] => only.service,
            entries => {
                let sum = entries.last().map_or(1, |entry| entry.cumulative_weight);
                let point = random % sum;
                entries.iter().find(|entry| point < entry.cumulative_weight).map_or(0, |entry| entry.service)
            }
        }
    }
}

/// Returns the scaled weight of a service whose weight is this fraction of the largest one. A weight above 0 remains
/// above 0.
fn scaled(fraction: f64) -> u64 {
    let weight = (fraction * LARGEST_SCALED_WEIGHT as f64).round() as u64;
    weight.max(1)
}

/// A group of servers that perform the same work.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Unique name by which routes refer to the service.
    pub name: CompactString,
    /// Path of health check requests.
    pub health_path: CompactString,
    /// Maximum number of connections that a server accepts from all callers together; `None` if it is not limited.
    pub max_connections: Option<u32>,
    /// Properties of the inference engine; `None` if the servers run no language models.
    pub engine: Option<Engine>,
    /// Bounds of the number of servers; `None` if the system does not scale the service.
    pub scaling: Option<Scaling>,
}

/// Bounds of the number of servers of a service in each zone.
#[derive(Clone, Debug, PartialEq)]
pub struct Scaling {
    /// Minimum number of servers in a zone.
    pub min_count: u32,
    /// Maximum number of servers in a zone.
    pub max_count: u32,
    /// Time until a new server is ready.
    pub boot: TimeLimit,
}

/// Properties of servers that run language models.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Number of requests that a server runs at the same time.
    pub slots: u32,
    /// Capacity of the key-value cache for the prefix cache and running requests together, in tokens.
    pub kv_cache_tokens: u64,
    /// Size of a token in the key-value cache, in bytes.
    pub kv_token_bytes: u64,
    /// Names of the models that the servers run.
    pub models: Vec<CompactString>,
}

/// Limits of client connections and requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub max_header_bytes: u64,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
    /// Maximum time until the head of a request is complete.
    pub header_timeout: TimeLimit,
    /// Maximum time that a persistent connection may be idle.
    pub idle_timeout: TimeLimit,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 32 * 1024 * 1024,
            header_timeout: TimeLimit::from_millis(3_000),
            idle_timeout: TimeLimit::from_millis(15_000),
        }
    }
}

/// An immutable table of all routes, which is shared and replaced as a whole.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteTable {
    version: u64,
    routes: Vec<Route>,
    services: Vec<Service>,
    limits: Limits,
    hosts: HashMap<CompactString, HostRoutes>,
    tenants: Option<TenantTable>,
}

/// The routes of a host by path prefix.
#[derive(Clone, Debug, Default, PartialEq)]
struct HostRoutes {
    by_prefix: HashMap<CompactString, usize>,
    /// Maximum number of slashes in a prefix; bounds the work of a lookup.
    most_slashes: usize,
}

impl RouteTable {
    /// Returns the table of a configuration.
    pub fn compile(configuration: &Configuration) -> Arc<RouteTable> {
        Arc::clone(configuration.routes())
    }

    pub(super) fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        limits: Limits,
        tenants: Option<TenantTable>,
    ) -> RouteTable {
        let mut hosts: HashMap<CompactString, HostRoutes> = HashMap::new();
        for route in &routes {
            let host = hosts.entry(route.hostname.clone()).or_default();
            let slashes = route.path_prefix.bytes().filter(|byte| *byte == b'/').count();
            host.most_slashes = host.most_slashes.max(slashes);
            host.by_prefix.insert(route.path_prefix.clone(), route.index);
        }
        RouteTable { version, routes, services, limits, hosts, tenants }
    }

    /// Returns the version of the configuration from which the table was compiled.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the routes in the order of the configuration.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// Returns the services in the order of the configuration.
    pub fn services(&self) -> &[Service] {
        &self.services
    }

    /// Returns the limits of client connections and requests.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns the tenants; `None` if the configuration has none, in which case requests need no API key.
    pub fn tenants(&self) -> Option<&TenantTable> {
        self.tenants.as_ref()
    }

    /// Returns the index of the service with this name.
    pub fn service_index(&self, name: &str) -> Option<usize> {
        self.services.iter().position(|service| service.name == name)
    }

    /// Returns the route of a request: among the routes of the host, the one with the longest prefix of the path.
    /// `host` is the `Host` header, whose port and case are ignored; so is the query of `target`.
    pub fn lookup(&self, host: &str, target: &str) -> Option<&Route> {
        let routes = self.hosts.get(&*normalize_host(host))?;
        let path = target.split(['?', '#']).next().unwrap_or_default();
        let mut longest = None;
        let slashes = path.bytes().enumerate().filter(|(_, byte)| *byte == b'/');
        for (end, _) in slashes.take(routes.most_slashes) {
            if let Some(index) = routes.by_prefix.get(&path[..=end]) {
                longest = Some(*index);
            }
        }
        longest.and_then(|index| self.routes.get(index))
    }

    /// Iterates over the routes of a host in no particular order. The port and case of `host` are ignored.
    pub fn routes_of_host(&self, host: &str) -> impl Iterator<Item = &Route> {
        let routes = self.hosts.get(&*normalize_host(host));
        let indices = routes.into_iter().flat_map(|routes| routes.by_prefix.values());
        indices.filter_map(|index| self.routes.get(*index))
    }

    /// Returns the priority of a tenant's requests on a route: the tenant's, or else the route's; 0 is the highest.
    /// `tenant` is `None` for requests without a tenant.
    pub fn priority(&self, route: &Route, tenant: Option<&str>) -> u32 {
        let tenant = self.tenants.as_ref().zip(tenant).and_then(|(tenants, name)| tenants.by_name(name));
        tenant.and_then(|tenant| tenant.priority).unwrap_or(route.priority)
    }

    /// Chooses a service of a route at random by weight. `random` must be uniform over all of `u64`.
    pub fn pick(&self, route: &Route, random: u64) -> usize {
        route.split.pick(random)
    }
}

/// Normalizes a host for comparison: lower case and without a port.
pub(super) fn normalize_host(host: &str) -> Cow<'_, str> {
    let host = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    };
    if host.bytes().any(|byte| byte.is_ascii_uppercase()) {
        Cow::Owned(host.to_ascii_lowercase())
    } else {
        Cow::Borrowed(host)
    }
}
