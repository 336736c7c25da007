//! Routes, services and limits of a configuration, compiled for quick look-ups.

use std::borrow::Cow;
use std::collections::HashMap;
use std::sync::Arc;

use compact_str::CompactString;

use super::Configuration;
use super::tenant_table::TenantTable;

/// What may be done with the requests of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RouteType {
    /// Requests may run more than once.
    Idempotent,
    /// Requests run at most once for each try; also stands for types that are not known.
    NonIdempotent,
    /// Answers are series of events; run at most once unless the route is resumable.
    Streaming,
    /// Batch jobs and their items.
    RolloutControl,
}

/// A rule that sends the requests of a host and path prefix to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Index of the route in [`RouteTable::routes`].
    pub index: usize,
    /// Name that the operator gave it; unique.
    pub name: CompactString,
    /// Host that it is for, in lower case, without a port.
    pub hostname: CompactString,
    /// Beginning of the paths that it is for; begins and ends with a slash.
    pub path_prefix: CompactString,
    /// What may be done with its requests.
    pub route_type: RouteType,
    /// Longest time a request may be held, in milliseconds; above 0.
    pub timeout_ms: Option<u64>,
    /// Latency target, within which a response earns its full value, in milliseconds.
    pub target_latency_ms: Option<u64>,
    /// Time after the first send of a batch job by which its results are due, in milliseconds.
    pub target_run_ms: Option<u64>,
    /// Time after the first send of a batch job from which on an item may be given up, in seconds.
    pub max_queue_s: Option<f64>,
    /// Rank of the route; 0 is the highest.
    pub priority: u32,
    /// Services and their shares.
    pub split: TrafficSplit,
    /// Most servers that a request may be attempted at; at least 1.
    pub max_attempts: u32,
    /// Streams may be resumed at another server.
    pub resumable: bool,
    /// Texts must be made under one version of the weights.
    pub single_version: bool,
    /// Requests share prefixes of their prompts, so that affinity to a server pays.
    pub sticky: bool,
    /// Requests need no API key, also where the configuration has tenants.
    pub public: bool,
}

impl Route {
    /// Whether a request may be sent again after it may have run.
    pub fn is_repeatable(&self) -> bool {
        match self.route_type {
            RouteType::Idempotent | RouteType::RolloutControl => true,
            RouteType::Streaming => self.resumable,
            RouteType::NonIdempotent => false,
        }
    }
}

/// The weight of a service in a split, in parts.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceWeight {
    /// Index of the service.
    pub(super) service: usize,
    pub(super) weight: u64,
}

/// A service of a split.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Share {
    /// Index of the service.
    service: usize,
    /// Sum of the weights up to and with this service.
    cumulative_weight: u64,
}

/// Services of a route with their weights; at least one weight is above 0.
#[derive(Clone, Debug, PartialEq)]
pub struct TrafficSplit {
    /// Services without weight are left out.
    shares: Vec<Share>,
}

impl TrafficSplit {
    /// Makes a split of services and weights; `None` if the weights sum to 0.
    pub(super) fn new(weights: &[ServiceWeight]) -> Option<TrafficSplit> {
        let mut sum = 0_u64;
        let mut shares = Vec::with_capacity(weights.len());
        for ServiceWeight { service, weight } in weights.iter().filter(|share| share.weight > 0) {
            sum += weight;
            shares.push(Share { service: *service, cumulative_weight: sum });
        }
        (sum > 0).then_some(TrafficSplit { shares })
    }

    /// Indices of the services that get requests.
    pub fn services(&self) -> impl Iterator<Item = usize> {
        self.shares.iter().map(|share| share.service)
    }

    /// The service with the greatest weight.
    pub fn main_service(&self) -> usize {
        let mut weight_before = 0;
        let mut main = ServiceWeight { service: 0, weight: 0 };
        for share in &self.shares {
            let weight = share.cumulative_weight - weight_before;
            if weight > main.weight {
                main = ServiceWeight { service: share.service, weight };
            }
            weight_before = share.cumulative_weight;
        }
        main.service
    }

    fn pick(&self, random: u64) -> usize {
        match self.shares.as_slice() {
            [only] => only.service,
            shares => {
                let sum = shares.last().map_or(1, |share| share.cumulative_weight);
                let point = random % sum;
                shares.iter().find(|share| point < share.cumulative_weight).map_or(0, |share| share.service)
            }
        }
    }
}

/// A group of servers that do the same work.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name that routes name it by; unique.
    pub name: CompactString,
    /// Path of health checks.
    pub health_path: CompactString,
    /// Connections that one server accepts from all callers together.
    pub max_connections: Option<u32>,
    /// What is known of the language models that the servers run, if they do.
    pub engine: Option<Engine>,
    /// Bounds of the number of servers, where the system orders how many there are.
    pub scaling: Option<Scaling>,
}

/// Bounds of the number of servers of a service in each zone.
#[derive(Clone, Debug, PartialEq)]
pub struct Scaling {
    /// Fewest servers in a zone.
    pub min_count: u32,
    /// Most servers in a zone.
    pub max_count: u32,
    /// Time until a new server serves, in seconds.
    pub boot_s: f64,
}

/// Facts of the servers that run language models.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Requests that run at the same time.
    pub slots: u32,
    /// Size of the prefix cache and the running requests together, in tokens.
    pub kv_cache_tokens: u64,
    /// Bytes that a token takes in that memory.
    pub kv_token_bytes: u64,
    /// Names of the models.
    pub models: Vec<CompactString>,
}

/// Bounds of what clients may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Longest head of a request, in bytes.
    pub max_header_bytes: u64,
    /// Longest body of a request, in bytes.
    pub max_body_bytes: u64,
    /// Longest time in which the head of a request has to come, in milliseconds.
    pub header_timeout_ms: u64,
    /// Longest time without a request on a connection that is kept, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 32 * 1024 * 1024,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// An immutable table of all routes. It is shared and swapped whole.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteTable {
    version: u64,
    routes: Vec<Route>,
    services: Vec<Service>,
    limits: Limits,
    hosts: HashMap<CompactString, HostRoutes>,
    tenants: Option<TenantTable>,
}

/// Routes of one host by path prefix.
#[derive(Clone, Debug, Default, PartialEq)]
struct HostRoutes {
    by_prefix: HashMap<CompactString, usize>,
    /// Slashes in the prefix that has most of them: bounds the work for a path.
    most_slashes: usize,
}

impl RouteTable {
    /// The table of a configuration.
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

    /// Version of the configuration that the table was compiled from.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Routes in the order of the configuration.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// Services in the order of the configuration.
    pub fn services(&self) -> &[Service] {
        &self.services
    }

    /// Bounds of what clients may send.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// The tenants, whose keys requests have to carry; None where the configuration has none, and nobody needs a key.
    pub fn tenants(&self) -> Option<&TenantTable> {
        self.tenants.as_ref()
    }

    /// Index of a service by name.
    pub fn service_index(&self, name: &str) -> Option<usize> {
        self.services.iter().position(|service| service.name == name)
    }

    /// The route of a request: of those of the host (`Host` header; port and case do not matter), the one with
    /// the longest prefix that begins the path. A query in `target` plays no part.
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

    /// Routes of a host (`Host` header; port and case do not matter), in no particular order.
    pub fn routes_of_host(&self, host: &str) -> impl Iterator<Item = &Route> {
        let routes = self.hosts.get(&*normalize_host(host));
        let indices = routes.into_iter().flat_map(|routes| routes.by_prefix.values());
        indices.filter_map(|index| self.routes.get(*index))
    }

    /// Rank of a tenant's requests on a route: the tenant's, or else the route's; 0 is the highest. `tenant` is None
    /// for requests of no tenant.
    pub fn priority(&self, route: &Route, tenant: Option<&str>) -> u32 {
        let tenant = self.tenants.as_ref().zip(tenant).and_then(|(tenants, name)| tenants.by_name(name));
        tenant.and_then(|tenant| tenant.priority).unwrap_or(route.priority)
    }

    /// Picks a service of a route by weight; `random` is uniform over all of `u64`.
    pub fn pick(&self, route: &Route, random: u64) -> usize {
        route.split.pick(random)
    }
}

/// A host as it is compared: in lower case and without a port.
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
