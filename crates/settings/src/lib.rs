//! The settings of a process: `key=value` lines of the file named by [`PATH_VARIABLE`], parsed once at the start.
//!
//! Unknown keys are ignored. Each field is named after its key, including the key's unit.

mod lines;
pub mod logging;

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::{env, fs, io};

use derive_more::{Display, Error};

use lines::Lines;

/// The environment variable that holds the path of the settings file.
pub const PATH_VARIABLE: &str = "ORCHIDVALVE_BOOT";

/// The expected form of an address, shown in errors about malformed addresses.
const ADDRESS: &str = "an address like 10.0.0.1:80";

/// The reason why the settings cannot be used.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// The environment variable [`PATH_VARIABLE`] is not set.
    #[display("the environment variable {PATH_VARIABLE} is not set: set it to the path of the settings file")]
    NoPath,
    /// The settings file cannot be read.
    #[display("{}: cannot be read ({source}): check the path and its permissions", path.display())]
    Unreadable {
        /// Path of the settings file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A required key is missing.
    #[display("{}: {key} is missing: add a line {key}=VALUE", path.display())]
    Missing {
        /// Path of the settings file.
        path: PathBuf,
        /// The missing key.
        key: &'static str,
    },
    /// A value does not have the type of its key.
    #[display("{}, line {line}: {key}={value} is not {expected}: correct it", path.display())]
    Malformed {
        /// Path of the settings file.
        path: PathBuf,
        /// Number of the line, counted from 1.
        line: usize,
        /// Key of the malformed value.
        key: String,
        /// The value as written in the file.
        value: String,
        /// The expected form of the value.
        expected: &'static str,
    },
    /// A line is not of the form `key=value`.
    #[display("{}, line {line}: no '=' in it: write key=value", path.display())]
    NoEquals {
        /// Path of the settings file.
        path: PathBuf,
        /// Number of the line, counted from 1.
        line: usize,
    },
}

/// The resources that a process may use.
#[derive(Clone, PartialEq, Debug)]
pub struct ProcessLimits {
    /// Fraction of one CPU core that the process may use.
    pub cpu_share: f64,
    /// Number of CPU cores of the machine.
    pub cpu_cores: f64,
    /// Memory in MiB.
    pub memory_mb: u64,
    /// Maximum number of open file descriptors.
    pub max_open_files: u64,
    /// Network bandwidth in Mbit/s.
    pub link_mbps: f64,
    /// Disk size in MiB; `None` if the machine has no disk or its size is not given.
    pub disk_mb: Option<u64>,
}

/// How many failures of each failure domain the system tolerates at the same time.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct FaultTolerance {
    /// Number of machines that may fail at the same time.
    pub machines: u32,
    /// Number of zones that may fail at the same time.
    pub zones: u32,
    /// Number of regions that may fail at the same time.
    pub regions: u32,
}

/// Time limits and tolerances that the system has to meet (`bounds.*`). Six of them affect a process; the others
/// are parsed as well so that malformed values are reported.
#[derive(Clone, PartialEq, Debug)]
pub struct Bounds {
    /// `bounds.seed-lag-s`, in seconds; affects no process.
    pub seed_lag_s: f64,
    /// `bounds.address-reuse-s`, in seconds; affects no process.
    pub address_reuse_s: f64,
    /// `bounds.contact-ms`, in milliseconds; affects no process.
    pub contact_ms: u64,
    /// `bounds.ack-ms`, in milliseconds; affects no process.
    pub ack_ms: u64,
    /// Time within which a lost voter has to be replaced, in seconds.
    pub catch_up_s: f64,
    /// `bounds.drain-ms`, in milliseconds; affects no process.
    pub drain_ms: u64,
    /// Grace period: the time between SIGTERM and the exit of the process, in seconds.
    pub grace_s: f64,
    /// `bounds.loss-slack-ms`, in milliseconds; affects no process.
    pub loss_slack_ms: u64,
    /// `bounds.config-apply-ms`, in milliseconds; affects no process.
    pub config_apply_ms: u64,
    /// `bounds.rollback-slack-ms`, in milliseconds; affects no process.
    pub rollback_slack_ms: u64,
    /// `bounds.max-stretch-ms`, in milliseconds; affects no process.
    pub max_stretch_ms: u64,
    /// `bounds.recovery-s`, in seconds; affects no process.
    pub recovery_s: f64,
    /// `bounds.pass_ms`, in milliseconds; affects no process.
    pub pass_ms: u64,
    /// `bounds.again_s`, in seconds; affects no process.
    pub again_s: f64,
    /// `bounds.finish-s`, in seconds; affects no process.
    pub finish_s: f64,
    /// How long the results of ended batch jobs are kept, in seconds.
    pub status_interval_s: f64,
    /// `bounds.cancel-ms`, in milliseconds; affects no process.
    pub cancel_ms: u64,
    /// `bounds.settle-ms`, in milliseconds; affects no process.
    pub settle_ms: u64,
    /// `bounds.quota-overage`, a fraction; affects no process.
    pub quota_overage: f64,
    /// `bounds.fencing-enforced`, a flag; affects no process.
    pub fencing_enforced: bool,
    /// How long a new head of the control chain waits before it sends weight orders, in milliseconds.
    pub lease_ms: u64,
    /// `bounds.thaw-slack-ms`, in milliseconds; affects no process.
    pub thaw_slack_ms: u64,
    /// `bounds.strict-revocation`, a flag; affects no process.
    pub strict_revocation: bool,
    /// `bounds.revoke-ms`, in milliseconds; affects no process.
    pub revoke_ms: u64,
    /// Length of a usage window, in seconds; above 0.
    pub usage_window_s: f64,
    /// `bounds.usage-tolerance`, a fraction; affects no process.
    pub usage_tolerance: f64,
    /// Time after the end of a usage window by which its usage has to be reported, in seconds.
    pub usage_late_s: f64,
}

/// Access to the API of the platform, which lists the servers.
#[derive(Clone, PartialEq, Debug)]
pub struct CloudApi {
    /// Address of the API; `None` if there is no platform.
    pub address: Option<SocketAddrV4>,
    /// The number of requests per second that all processes together may send to the API.
    pub rate_per_s: f64,
    /// Names of the singleton roles that the system performs through the API (key `cloud-api.duties`).
    pub platform_roles: Vec<String>,
    /// Maximum time until a change is visible in the responses of the API, in milliseconds.
    pub lag_ms: u64,
    /// The number of platform calls per second that all processes together may make for singleton roles; above 0 (key
    /// `cloud-api.duty-per-s`).
    pub platform_calls_per_second: f64,
}

/// An inclusive range of ports.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct PortRange {
    /// The lowest port.
    pub first: u16,
    /// The highest port; at least `first`.
    pub last: u16,
}

/// The addresses at which a process listens; each role needs some of them.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ListenAddresses {
    /// Address for requests of clients.
    pub frontend: Option<SocketAddrV4>,
    /// Address for readiness requests.
    pub readiness: Option<SocketAddrV4>,
    /// Address for requests of operators.
    pub control: Option<SocketAddrV4>,
    /// Address for traffic between the system's own processes if they reach this process through a relay, which listens
    /// at `ip` and the first internal port. Outgoing connections then use this IP address as well.
    pub internal: Option<SocketAddrV4>,
}

/// The settings of a process.
#[derive(Clone, PartialEq, Debug)]
pub struct Settings {
    /// Name of the node; unique in the system.
    pub node_name: String,
    /// Name of the node's role in the deployment plan.
    pub role: String,
    /// Name of the machine type.
    pub machine_class: String,
    /// Names of the functions that the node serves, such as `control_plane`.
    pub serves: Vec<String>,
    /// IP address at which other processes reach the node.
    pub ip: Ipv4Addr,
    /// Zone of the node.
    pub zone: String,
    /// Region of the node; empty if it is not given.
    pub region: String,
    /// The region of each zone, keyed by zone.
    pub zones: BTreeMap<String, String>,
    /// The addresses at which the process listens.
    pub listen: ListenAddresses,
    /// Ports for traffic between the system's own processes; only the first one is used.
    pub internal_ports: PortRange,
    /// Addresses of the control nodes to contact first.
    pub seed_nodes: Vec<SocketAddrV4>,
    /// Whether this is the first start of the system.
    pub bootstrap: bool,
    /// Whether the node may become a voter.
    pub quorum_member: bool,
    /// The resources that the process may use.
    pub limits: ProcessLimits,
    /// Directory for data files; `None` on a node that stores nothing.
    pub data_directory: Option<PathBuf>,
    /// Time between two heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// Names of the contracts that the system has to fulfil.
    pub contracts: Vec<String>,
    /// How many failures the system has to tolerate at the same time.
    pub fault_tolerance: FaultTolerance,
    /// Time limits and tolerances that the system has to meet.
    pub bounds: Bounds,
    /// Access to the API of the platform.
    pub cloud_api: CloudApi,
}

impl Settings {
    /// Reads the file named by the environment variable [`PATH_VARIABLE`].
    ///
    /// # Errors
    ///
    /// Returns an error if the variable is not set, the file cannot be read, or a key is missing or malformed.
    pub fn load_from_environment() -> Result<Settings, SettingsError> {
        let path = PathBuf::from(env::var_os(PATH_VARIABLE).ok_or(SettingsError::NoPath)?);
        let text = fs::read_to_string(&path)
            .map_err(|source| SettingsError::Unreadable { path: path.clone(), source })?;
        Settings::parse(&text, &path)
    }

    /// Parses `text`, the content of the file at `path`. The path is used in errors only.
    ///
    /// # Errors
    ///
    /// Returns an error if a required key is missing, a known key is malformed, or a line has no `=`.
    pub fn parse(text: &str, path: &Path) -> Result<Settings, SettingsError> {
        let lines = Lines::split(text, path)?;
        Ok(Settings {
            node_name: lines.required("node-name", "a name")?,
            role: lines.or("role", "a name", String::new())?,
            machine_class: lines.or("machine-class", "a name", String::new())?,
            serves: lines.list("serves", "names")?,
            ip: lines.required("ip-address", "an IPv4 address")?,
            zone: lines.required("zone", "a name")?,
            region: lines.or("region", "a name", String::new())?,
            zones: lines.with_prefix("zones."),
            listen: listen_addresses(&lines)?,
            internal_ports: lines.ports("internal-port-range")?,
            seed_nodes: lines.list("seed-nodes", "addresses like 10.0.0.1:80")?,
            bootstrap: lines.or("bootstrap", "true or false", false)?,
            quorum_member: lines.or("quorum-member", "true or false", false)?,
            limits: process_limits(&lines)?,
            data_directory: lines.optional("data-directory", "a path")?,
            heartbeat_ms: lines.milliseconds("heartbeat-ms", 1_200)?,
            contracts: lines.list("contracts", "names")?,
            fault_tolerance: fault_tolerance(&lines)?,
            bounds: bounds(&lines)?,
            cloud_api: cloud_api(&lines)?,
        })
    }
}

fn listen_addresses(lines: &Lines) -> Result<ListenAddresses, SettingsError> {
    Ok(ListenAddresses {
        frontend: lines.optional("listen-addresses.frontend", ADDRESS)?,
        readiness: lines.optional("listen-addresses.readiness", ADDRESS)?,
        control: lines.optional("listen-addresses.control", ADDRESS)?,
        internal: lines.optional("listen-addresses.internal", ADDRESS)?,
    })
}

fn process_limits(lines: &Lines) -> Result<ProcessLimits, SettingsError> {
    Ok(ProcessLimits {
        cpu_share: lines.or("limits.cpu-share", "a number", 1.0)?,
        cpu_cores: lines.or("limits.cpu-cores", "a number", 1.0)?,
        memory_mb: lines.or("limits.memory-mb", "a whole number", 256)?,
        max_open_files: lines.or("limits.max-open-files", "a whole number", 1_024)?,
        link_mbps: lines.or("limits.link-mbps", "a number", 1_000.0)?,
        disk_mb: lines.optional("limits.disk-mb", "a whole number")?,
    })
}

fn fault_tolerance(lines: &Lines) -> Result<FaultTolerance, SettingsError> {
    Ok(FaultTolerance {
        machines: lines.or("fault-tolerance.machines", "a whole number", 0)?,
        zones: lines.or("fault-tolerance.zones", "a whole number", 0)?,
        regions: lines.or("fault-tolerance.regions", "a whole number", 0)?,
    })
}

fn bounds(lines: &Lines) -> Result<Bounds, SettingsError> {
    let number = "a number";
    Ok(Bounds {
        seed_lag_s: lines.or("bounds.seed-lag-s", number, 3.0)?,
        address_reuse_s: lines.or("bounds.address-reuse-s", number, 2.0)?,
        contact_ms: lines.milliseconds("bounds.contact-ms", 3_000)?,
        ack_ms: lines.milliseconds("bounds.ack-ms", 4_000)?,
        catch_up_s: lines.or("bounds.catch-up-s", number, 4.0)?,
        drain_ms: lines.milliseconds("bounds.drain-ms", 3_000)?,
        grace_s: lines.or("bounds.grace-s", number, 8.0)?,
        loss_slack_ms: lines.milliseconds("bounds.loss-slack-ms", 200)?,
        config_apply_ms: lines.milliseconds("bounds.config-apply-ms", 2_000)?,
        rollback_slack_ms: lines.milliseconds("bounds.rollback-slack-ms", 250)?,
        max_stretch_ms: lines.milliseconds("bounds.max-stretch-ms", 5_000)?,
        recovery_s: lines.or("bounds.recovery-s", number, 12.0)?,
        pass_ms: lines.milliseconds("bounds.pass_ms", 120)?,
        again_s: lines.or("bounds.again_s", number, 0.0)?,
        finish_s: lines.or("bounds.finish-s", number, 10.0)?,
        status_interval_s: lines.or("bounds.status-interval-s", number, 120.0)?,
        cancel_ms: lines.milliseconds("bounds.cancel-ms", 3_000)?,
        settle_ms: lines.milliseconds("bounds.settle-ms", 1_000)?,
        quota_overage: lines.or("bounds.quota-overage", number, 0.1)?,
        fencing_enforced: lines.or("bounds.fencing-enforced", "true or false", false)?,
        lease_ms: lines.milliseconds("bounds.lease-ms", 3_000)?,
        thaw_slack_ms: lines.milliseconds("bounds.thaw-slack-ms", 300)?,
        strict_revocation: lines.or("bounds.strict-revocation", "true or false", false)?,
        revoke_ms: lines.milliseconds("bounds.revoke-ms", 5_000)?,
        usage_window_s: lines.positive("bounds.usage-window-s", 5.0)?,
        usage_tolerance: lines.or("bounds.usage-tolerance", number, 0.05)?,
        usage_late_s: lines.or("bounds.usage-late-s", number, 10.0)?,
    })
}

fn cloud_api(lines: &Lines) -> Result<CloudApi, SettingsError> {
    Ok(CloudApi {
        address: lines.optional("cloud-api.address", ADDRESS)?,
        rate_per_s: lines.or("cloud-api.rate-per-s", "a number", 10.0)?,
        platform_roles: lines.list("cloud-api.duties", "names")?,
        lag_ms: lines.milliseconds("cloud-api.lag-ms", 1_000)?,
        platform_calls_per_second: lines.positive("cloud-api.duty-per-s", 10.0)?,
    })
}
