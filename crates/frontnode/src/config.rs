//! The configuration of the node. It is read, checked and completed with defaults here and nowhere else.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::UNIX_EPOCH;

use derive_more::{Display, Error, From};
use orchidvalve::interface::{AggregatorSettings, Idempotence, Nanos};
use orchidvalve_aggregator_settings::{Section, SettingsError};
use orchidvalve_request_recording::Header;
use orchidvalve_search::routes::{PoolSettings as RoutesPoolSettings, RouteClass, Routes, RoutingContext};
use serde_json::Value;

use crate::cold_start::ColdStartSettings;
use crate::connection_pool::PoolSettings;
use crate::fleet::FleetSettings;
use crate::maintenance::MaintenanceSettings;
use crate::membership::{self, EndpointList};
use crate::persistence::PersistenceSettings;
use crate::recorder::RecordingSettings;
use crate::settings_file::SettingsFileError;
use crate::store_protocol::StoreProtocolSettings;

/// Environment variable with the path of the configuration.
pub const VARIABLE: &str = "NODE_CONFIG";
/// Environment variable with the path of the routes; used if the configuration has no key `search`.
pub const ROUTES_VARIABLE: &str = "NODE_SEARCH";
/// Environment variable with the path of the persistence file; used if the configuration has no key `logbook`.
pub const LOGBOOK_VARIABLE: &str = "NODE_LOGBOOK";
/// Environment variable with the path of the fleet's file; used if the configuration has no key `fleet`.
pub const FLEET_VARIABLE: &str = "NODE_FLEET";
/// Environment variable with the path of the cold start's file; used if the configuration has no key `coldstart`.
pub const COLDSTART_VARIABLE: &str = "NODE_COLDSTART";
/// Environment variable with the path of the maintenance file; used if the configuration has no key `maintenance`.
pub const MAINTENANCE_VARIABLE: &str = "NODE_MAINTENANCE";
/// Environment variable with the path of the recording file; used if the configuration has no key `record`.
pub const RECORD_VARIABLE: &str = "NODE_RECORD";
/// Environment variable with the path to which the trace of decisions is written.
pub const TRACE_VARIABLE: &str = "NODE_TRACE";

/// File descriptors besides clients and replicas: the event loop, the listener, discovery and the log.
const OTHER_DESCRIPTORS: usize = 16;
/// How long a client may take to send a request. Clients connect in order to send a request at once; a shorter time
/// would close connections that may be about to be used.
const REQUEST_TIMEOUT: Nanos = 2_300_000_000;

/// The grace period for drains if the settings do not contain one.
const DEFAULT_DRAIN_GRACE: Nanos = 1_000_000_000;

/// Why the configuration is invalid. The text names the environment variable or the full key.
#[derive(Debug, Display, Error, From)]
pub enum ConfigError {
    /// The environment variable with the path of the configuration is not set.
    #[display("${VARIABLE}: not set; it names the configuration")]
    NoFile,
    /// The configuration file cannot be read.
    #[display("${VARIABLE}: cannot read {path}: {error}")]
    Unreadable {
        /// The path of the file.
        path: String,
        /// The error of the operating system.
        #[error(source)]
        error: io::Error,
    },
    /// The configuration is not valid JSON.
    #[display("configuration: no JSON: {_0}")]
    Json(serde_json::Error),
    /// The value of a key is invalid.
    #[display("{_0}")]
    Setting(SettingsError),
    /// An operator's file is invalid.
    #[display("{path}: {error}")]
    File {
        /// The path of the file.
        path: String,
        /// Why the file is invalid.
        #[error(source)]
        error: SettingsFileError,
    },
    /// The file of routes is invalid.
    #[display("{path}: {problem}")]
    Routes {
        /// The path of the file.
        path: String,
        /// Why the file is invalid.
        problem: String,
    },
}

/// A service class of queries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceClass {
    /// The name in requests.
    pub name: String,
    /// Whether its queries must carry an idempotency key.
    pub has_idempotency_key: bool,
    /// The time from the start of a query after which a response is useless to the client.
    pub deadline: Nanos,
}

/// The ring of cells that hold the shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RingLayout {
    /// The number of cells.
    pub cells: usize,
    /// The number of consecutive cells that hold a shard.
    pub reach: usize,
}

/// The configuration of the node, except for the aggregator's settings.
#[derive(Debug)]
pub struct NodeConfig {
    /// The node's name.
    pub name: String,
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// The address of the discovery agent.
    pub discovery: SocketAddr,
    /// The seed of the node's random numbers.
    pub seed: u64,
    /// The endpoint list that was known when the configuration was written.
    pub known_endpoints: EndpointList,
    /// The modification time of the configuration file, if the file system provides it.
    pub modified_at: Option<Nanos>,
    /// The service classes of queries.
    pub service_classes: Vec<ServiceClass>,
    /// The names of the tenants; empty if there are none.
    pub tenants: Vec<String>,
    /// The settings of the persistent state; `None` if persistence is disabled.
    pub persistence: Option<PersistenceSettings>,
    /// The settings of the fleet of front nodes; `None` if the node works alone.
    pub fleet: Option<FleetSettings>,
    /// The settings of the cold start; `None` if the node queries discovery at once and trusts any list.
    pub cold_start: Option<ColdStartSettings>,
    /// The settings of maintenance; `None` if the node follows discovery alone.
    pub maintenance: Option<MaintenanceSettings>,
    /// The settings of the recording of requests; `None` if it is disabled.
    pub recording: Option<RecordingSettings>,
    /// The ring of cells.
    pub ring: RingLayout,
    /// The routes of the search API; `None` if it is disabled.
    pub routes: Option<Rc<Routes>>,
    /// The number of shards of the index.
    pub shards: usize,
    /// The settings of the replicas' protocols.
    pub store_protocols: StoreProtocolSettings,
    /// Whether discovery publishes changes only on request.
    pub discovery_on_request: bool,
    /// The maximum number of pending queries plus their shard requests.
    pub max_pending: usize,
    /// The time after which an idle connection is closed.
    pub idle_timeout: Nanos,
    /// The time in which a connection must be established.
    pub connect_timeout: Nanos,
    /// The maximum number of open client connections.
    pub max_clients: usize,
    /// The maximum number of open connections to replicas.
    pub max_store_connections: usize,
    /// The maximum number of bytes in the unread requests of all clients.
    pub max_request_bytes: usize,
    /// How long a client may take to send a complete request, and to close after an error response.
    pub request_timeout: Nanos,
    /// The minimum time between two rounds.
    pub tick: Nanos,
    /// How long new attempts may still go to a replica after discovery has listed it as draining or removed.
    pub drain_grace: Nanos,
    /// A hash of each section that cannot change while the node runs.
    section_fingerprints: Vec<(&'static str, u64)>,
}

/// Sections of the configuration that cannot change while the node runs.
const FIXED_SECTIONS: [&str; 10] = [
    "name",
    "listen",
    "limits",
    "settings",
    "search",
    "logbook",
    "fleet",
    "coldstart",
    "maintenance",
    "record",
];

impl NodeConfig {
    /// Returns the service classes in the form that the routes need.
    pub fn route_classes(&self) -> Vec<RouteClass> {
        route_classes(&self.service_classes)
    }

    /// Returns the header of a recording that begins at `now`, in Unix time.
    pub fn recording_head(&self, now: Nanos) -> Header {
        let classes = self.service_classes.iter().map(|class| class.name.clone()).collect();
        Header {
            node: self.name.clone(),
            started_unix_ms: now / 1_000_000,
            classes,
            tenants: self.tenants.clone(),
        }
    }

    /// Returns the sections that differ in `later` and only take effect after a restart.
    pub fn sections_changed_in(&self, later: &NodeConfig) -> Vec<&'static str> {
        let pairs = self.section_fingerprints.iter().zip(&later.section_fingerprints);
        pairs.filter(|(now, later)| now != later).map(|(now, _)| now.0).collect()
    }
}

/// The location of the configuration, which is read at the start and again on SIGHUP.
#[derive(Clone, Debug, Default)]
pub struct ConfigSource {
    /// The path of the configuration.
    pub config: String,
    /// The path of the routes; the configuration's key `search` takes precedence.
    pub search: Option<String>,
    /// The path of the persistence file; the key `logbook` takes precedence.
    pub logbook: Option<String>,
    /// The path of the fleet's file; the key `fleet` takes precedence.
    pub fleet: Option<String>,
    /// The path of the cold start's file; the key `coldstart` takes precedence.
    pub coldstart: Option<String>,
    /// The path of the maintenance file; the key `maintenance` takes precedence.
    pub maintenance: Option<String>,
    /// The path of the recording file; the key `record` takes precedence.
    pub record: Option<String>,
    /// The path of the trace of decisions, `-` for standard error; `None` if no trace is written.
    pub trace: Option<String>,
}

/// Paths of the operators' files that are given outside of the configuration, whose keys of the same names take
/// precedence: the project does not always control the form of the configuration.
#[derive(Clone, Copy, Debug, Default)]
pub struct OperatorFiles<'a> {
    /// The path of the routes, key `search`.
    pub search: Option<&'a str>,
    /// The path of the persistence file, key `logbook`.
    pub logbook: Option<&'a str>,
    /// The path of the fleet's file, key `fleet`.
    pub fleet: Option<&'a str>,
    /// The path of the cold start's file, key `coldstart`.
    pub coldstart: Option<&'a str>,
    /// The path of the maintenance file, key `maintenance`.
    pub maintenance: Option<&'a str>,
    /// The path of the recording file, key `record`.
    pub record: Option<&'a str>,
}

impl ConfigSource {
    /// Returns the paths that the environment variables name.
    ///
    /// # Errors
    ///
    /// Fails if the variable of the configuration is not set.
    pub fn from_environment() -> Result<ConfigSource, ConfigError> {
        let config = std::env::var(VARIABLE).map_err(|_| ConfigError::NoFile)?;
        let path = |name| std::env::var(name).ok().filter(|path| !path.is_empty());
        Ok(ConfigSource {
            config,
            search: path(ROUTES_VARIABLE),
            logbook: path(LOGBOOK_VARIABLE),
            fleet: path(FLEET_VARIABLE),
            coldstart: path(COLDSTART_VARIABLE),
            maintenance: path(MAINTENANCE_VARIABLE),
            record: path(RECORD_VARIABLE),
            trace: path(TRACE_VARIABLE),
        })
    }

    /// Reads and checks the configuration and the operators' files.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be read or is invalid.
    pub fn read(&self) -> Result<(NodeConfig, AggregatorSettings), ConfigError> {
        let path = &self.config;
        let text = std::fs::read_to_string(path)
            .map_err(|error| ConfigError::Unreadable { path: path.clone(), error })?;
        let files = OperatorFiles {
            search: self.search.as_deref(),
            logbook: self.logbook.as_deref(),
            fleet: self.fleet.as_deref(),
            coldstart: self.coldstart.as_deref(),
            maintenance: self.maintenance.as_deref(),
            record: self.record.as_deref(),
        };
        let (mut config, settings) = read(&text, files)?;
        let modified = std::fs::metadata(path).and_then(|metadata| metadata.modified()).ok();
        let modified = modified.and_then(|at| at.duration_since(UNIX_EPOCH).ok());
        config.modified_at = modified.and_then(|at| Nanos::try_from(at.as_nanos()).ok());
        Ok((config, settings))
    }
}

/// Reads and checks a configuration and the files that it names. Returns the node's configuration and the aggregator's
/// settings.
///
/// # Errors
///
/// Fails if a key or a file is invalid.
///
/// ```
/// use orchidvalve_frontnode::config::{OperatorFiles, read};
///
/// let error = read(r#"{"name": "n1", "listen": "here"}"#, OperatorFiles::default()).unwrap_err();
/// assert_eq!(error.to_string(), "configuration.listen: should be an address and a port, not 'here'");
/// ```
pub fn read(text: &str, files: OperatorFiles) -> Result<(NodeConfig, AggregatorSettings), ConfigError> {
    let document: Value = serde_json::from_str(text)?;
    let document = Section::of("configuration", &document)?;
    let name = document.text("name")?.to_owned();
    let (listen, discovery) = (address(&document, "listen")?, address(&document, "discovery")?);
    let seed = seed(&document)?;
    let resources = ResourceLimits::read(&document.section("limits")?)?;
    let known_endpoints = membership::read_section(&document.section("known")?)?;
    if !document.has("settings") {
        return Err(document.missing("settings").into());
    }
    let settings = document.section("settings")?;
    let aggregator_settings = orchidvalve_aggregator_settings::read(&settings)?;
    let (extra, limits) = (settings.section("extra")?, settings.section("limits")?);
    check_aggregator_settings(&settings, &extra, &aggregator_settings)?;
    let tenants = settings.list("projects")?.unwrap_or_default();
    let connect_timeout = limits.or("connectTimeoutNs", 250_000_000, Section::integer)?;
    let idle_timeout = limits.or("connIdleNs", 15_000_000_000, Section::integer)?;
    let class_names = names(&settings.list("classes")?.unwrap_or_default())?;
    let shards = at_least(&extra, "slices", extra.index("slices")?, 1)?;
    let service_classes = service_classes(class_names, &aggregator_settings);
    let routing_context = RoutingContext { classes: route_classes(&service_classes), shards };
    let routes = routes(&document, files.search, &routing_context)?;
    let pool = pool_settings(routes.as_ref().map_or(RoutesPoolSettings::default(), |routes| routes.pool));
    let config = NodeConfig {
        name,
        listen,
        discovery,
        seed,
        known_endpoints,
        modified_at: None,
        service_classes,
        tenants: names(&tenants)?,
        shards,
        persistence: operator_file(&document, "logbook", files.logbook, PersistenceSettings::read)?,
        fleet: operator_file(&document, "fleet", files.fleet, FleetSettings::read)?,
        maintenance: operator_file(&document, "maintenance", files.maintenance, MaintenanceSettings::read)?,
        recording: operator_file(&document, "record", files.record, RecordingSettings::read)?,
        ring: RingLayout { cells: aggregator_settings.cells, reach: aggregator_settings.cells_per_shard },
        cold_start: operator_file(&document, "coldstart", files.coldstart, ColdStartSettings::read)?,
        routes,
        store_protocols: store_protocols(&settings, &aggregator_settings, pool)?,
        discovery_on_request: aggregator_settings.membership_on_request,
        max_pending: limits.or("openCap", usize::MAX, Section::index)?,
        idle_timeout: positive(&limits, "connIdleNs", idle_timeout)?,
        connect_timeout: positive(&limits, "connectTimeoutNs", connect_timeout)?,
        max_clients: resources.max_clients(),
        max_store_connections: resources.max_store_connections(),
        max_request_bytes: resources.max_request_bytes(),
        request_timeout: REQUEST_TIMEOUT,
        tick: aggregator_settings.tick,
        drain_grace: drain_grace(&settings)?,
        section_fingerprints: FIXED_SECTIONS.map(|key| (key, fingerprint(document.get(key)))).to_vec(),
    };
    Ok((config, aggregator_settings))
}

fn seed(document: &Section) -> Result<u64, SettingsError> {
    let seed = u64::from_str_radix(document.text("seed")?, 16);
    seed.map_err(|_| document.error("seed", "should be up to 16 hex digits"))
}

fn drain_grace(settings: &Section) -> Result<Nanos, SettingsError> {
    let grace =
        settings.section("rules")?.or("stopSendingWithinNs", DEFAULT_DRAIN_GRACE, Section::integer)?;
    Ok(grace.max(0))
}

/// The resources of the machine that the process may use.
struct ResourceLimits {
    /// The number of file descriptors.
    sockets: usize,
    memory_mb: usize,
}

impl ResourceLimits {
    fn read(section: &Section) -> Result<ResourceLimits, SettingsError> {
        Ok(ResourceLimits {
            sockets: at_least(section, "sockets", section.or("sockets", 1024, Section::index)?, 64)?,
            memory_mb: at_least(section, "memory_mb", section.or("memory_mb", 192, Section::index)?, 16)?,
        })
    }

    /// Returns the maximum number of client connections. Clients may hold up to a third of the descriptors. The limit
    /// is slightly lower, as otherwise idle clients take the slots of new ones.
    fn max_clients(&self) -> usize {
        self.sockets * 3 / 10
    }

    /// Returns the maximum number of connections to replicas: half of the descriptors, so that many clients cannot cut
    /// the replicas off.
    fn max_store_connections(&self) -> usize {
        (self.sockets - OTHER_DESCRIPTORS) / 2
    }

    fn max_request_bytes(&self) -> usize {
        (self.memory_mb << 20) / 4
    }
}

/// Returns the service classes with the given names, in the order of the settings.
fn service_classes(names: Vec<String>, aggregator_settings: &AggregatorSettings) -> Vec<ServiceClass> {
    let classes = names.into_iter().zip(&aggregator_settings.classes);
    let service_class = |(name, class): (String, &orchidvalve::interface::ServiceClass)| ServiceClass {
        name,
        has_idempotency_key: matches!(class.idempotence, Idempotence::Deduplicated(_)),
        deadline: class.deadline,
    };
    classes.map(service_class).collect()
}

fn store_protocols(
    settings: &Section,
    aggregator_settings: &AggregatorSettings,
    pool: PoolSettings,
) -> Result<StoreProtocolSettings, SettingsError> {
    let limits = settings.section("limits")?;
    let requests_per_connection = limits.or("multiplex", 1, Section::index)?;
    Ok(StoreProtocolSettings {
        requests_per_call: aggregator_settings.requests_per_call,
        requests_per_connection: at_least(&limits, "multiplex", requests_per_connection, 1)?,
        request_load: settings.section("feedback")?.or("how", "off", Section::text)? != "off",
        pool,
    })
}

/// Returns the names of the objects in a list.
fn names(objects: &[Section]) -> Result<Vec<String>, SettingsError> {
    objects.iter().map(|object| object.text("name").map(str::to_owned)).collect()
}

/// Returns the service classes in the form that the routes need.
fn route_classes(classes: &[ServiceClass]) -> Vec<RouteClass> {
    let class = |class: &ServiceClass| RouteClass {
        name: class.name.clone(),
        has_idempotency_key: class.has_idempotency_key,
    };
    classes.iter().map(class).collect()
}

/// Returns the path of an operator's file: the value of the configuration's key, else `default`.
fn operator_file_path<'a>(
    document: &Section<'a>,
    key: &str,
    default: Option<&'a str>,
) -> Result<Option<&'a str>, SettingsError> {
    let path = document.or(key, default.unwrap_or_default(), Section::text)?;
    Ok(Some(path).filter(|path| !path.is_empty()))
}

fn read_file(document: &Section, key: &str, path: &str) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|error| document.error(key, format!("cannot read {path}: {error}")))
}

/// Reads the file of routes.
fn routes(
    document: &Section,
    default: Option<&str>,
    routing_context: &RoutingContext,
) -> Result<Option<Rc<Routes>>, ConfigError> {
    let Some(path) = operator_file_path(document, "search", default)? else { return Ok(None) };
    let text = read_file(document, "search", path)?;
    let routes = Routes::read(&text, routing_context);
    let routes =
        routes.map_err(|error| ConfigError::Routes { path: path.to_owned(), problem: error.to_string() })?;
    Ok(Some(Rc::new(routes)))
}

/// Reads one of the operators' other files.
fn operator_file<T>(
    document: &Section,
    key: &str,
    default: Option<&str>,
    read: impl Fn(&str) -> Result<T, SettingsFileError>,
) -> Result<Option<T>, ConfigError> {
    let Some(path) = operator_file_path(document, key, default)? else { return Ok(None) };
    let text = read_file(document, key, path)?;
    let settings = read(&text).map_err(|error| ConfigError::File { path: path.to_owned(), error })?;
    Ok(Some(settings))
}

fn pool_settings(from_routes: RoutesPoolSettings) -> PoolSettings {
    const SECOND: Nanos = 1_000_000_000;
    PoolSettings {
        max_connections: from_routes.connections,
        max_queued: from_routes.waiting,
        queue_timeout: from_routes.wait_ms.saturating_mul(1_000_000),
        close_cost: SECOND / Nanos::from(from_routes.closes_a_second.max(1)),
        // The budget of one second; zero if no connection may be closed.
        close_budget: if from_routes.closes_a_second == 0 { 0 } else { SECOND },
        drain_timeout: from_routes.read_out_ms.saturating_mul(1_000_000),
    }
}

/// Rejects aggregator settings with which the node would make no progress or answer no query.
fn check_aggregator_settings(
    settings: &Section,
    extra: &Section,
    aggregator_settings: &AggregatorSettings,
) -> Result<(), SettingsError> {
    if aggregator_settings.classes.iter().any(|class| class.second_step_requests > 0) {
        return Err(extra.error("classFetch", "a second step is not spoken on sockets"));
    }
    if aggregator_settings.classes.is_empty() {
        return Err(settings.error("classes", "should name one class at least"));
    }
    at_least(extra, "positions", aggregator_settings.cells, 1)?;
    at_least(extra, "reach", aggregator_settings.cells_per_shard, 1)?;
    for (section, class) in
        settings.list("classes")?.unwrap_or_default().iter().zip(&aggregator_settings.classes)
    {
        positive(section, "objectiveNs", class.latency_target)?;
        positive(section, "deadlineNs", class.deadline)?;
        if let Idempotence::Deduplicated(window) = class.idempotence {
            positive(section, "windowNs", window)?;
        }
    }
    Ok(())
}

/// Returns a hash of a section, so that sections can be compared without keeping them.
fn fingerprint(section: Option<&Value>) -> u64 {
    let mut hasher = DefaultHasher::new();
    section.map(Value::to_string).hash(&mut hasher);
    hasher.finish()
}

fn address(section: &Section, name: &str) -> Result<SocketAddr, SettingsError> {
    let text = section.text(name)?;
    text.parse().map_err(|_| section.error(name, format!("should be an address and a port, not '{text}'")))
}

fn at_least(section: &Section, name: &str, found: usize, least: usize) -> Result<usize, SettingsError> {
    if found >= least {
        return Ok(found);
    }
    Err(section.error(name, format!("should be {least} or more, not {found}")))
}

fn positive(section: &Section, name: &str, found: Nanos) -> Result<Nanos, SettingsError> {
    if found > 0 {
        return Ok(found);
    }
    Err(section.error(name, format!("should be above 0, not {found}")))
}
