//! Settings of a process: lines of `a.b=value` in a file that the environment names, read once into types. Keys that
//! aren't known are skipped. Fields are named after their keys, with the key's unit.

mod lines;
pub mod logging;

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::{env, fs, io};

use derive_more::{Display, Error};

use lines::Lines;

/// Environment variable that names the file.
pub const PATH_VARIABLE: &str = "ORCHIDVALVE_BOOT";

/// What an address looks like, for errors.
const ADDRESS: &str = "an address like 10.0.0.1:80";

/// Why settings can't be used.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// The environment doesn't name a file.
    #[display("the variable {PATH_VARIABLE} isn't set: set it to the path of the settings file")]
    NoPath,
    /// The file can't be read.
    #[display("{}: can't be read ({source}): check path and rights", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why not.
        source: io::Error,
    },
    /// A key that has no default is missing.
    #[display("{}: {key} is missing: add a line {key}=VALUE", path.display())]
    Missing {
        /// The file.
        path: PathBuf,
        /// The key.
        key: &'static str,
    },
    /// A value isn't of its key's type.
    #[display("{}, line {line}: {key}={value} isn't {expected}: correct it", path.display())]
    Malformed {
        /// The file.
        path: PathBuf,
        /// Number of the line, from 1.
        line: usize,
        /// The key.
        key: String,
        /// The value as it stands.
        value: String,
        /// What it should be.
        expected: &'static str,
    },
    /// A line isn't `key=value`.
    #[display("{}, line {line}: no '=' in it: write key=value", path.display())]
    NoEquals {
        /// The file.
        path: PathBuf,
        /// Number of the line, from 1.
        line: usize,
    },
}

/// What a process may use.
#[derive(Clone, PartialEq, Debug)]
pub struct ProcessLimits {
    /// Share of one core.
    pub cpu_share: f64,
    /// Cores of the machine.
    pub cpu_cores: f64,
    /// Memory in MiB.
    pub memory_mb: u64,
    /// File descriptors that may be open at once.
    pub max_open_files: u64,
    /// Bandwidth of the network in Mbit/s.
    pub link_mbps: f64,
    /// Disk in MiB, where there is one.
    pub disk_mb: Option<u64>,
}

/// How many of each failure domain may be lost at once with all rules kept.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct FaultTolerance {
    /// Machines.
    pub machines: u32,
    /// Zones.
    pub zones: u32,
    /// Regions.
    pub regions: u32,
}

/// Figures of the rules that the system is held to. Four of them steer processes; the others are read all the same, so
/// that a mistake in them is reported.
#[derive(Clone, PartialEq, Debug)]
pub struct Bounds {
    /// `bounds.seed-lag-s`, in seconds; steers no process.
    pub seed_lag_s: f64,
    /// `bounds.address-reuse-s`, in seconds; steers no process.
    pub address_reuse_s: f64,
    /// `bounds.contact-ms`, in milliseconds; steers no process.
    pub contact_ms: u64,
    /// `bounds.ack-ms`, in milliseconds; steers no process.
    pub ack_ms: u64,
    /// Time in which a lost voter has to be replaced, in seconds.
    pub catch_up_s: f64,
    /// `bounds.drain-ms`, in milliseconds; steers no process.
    pub drain_ms: u64,
    /// Time from SIGTERM to the end of the process, in seconds.
    pub grace_s: f64,
    /// `bounds.loss-slack-ms`, in milliseconds; steers no process.
    pub loss_slack_ms: u64,
    /// `bounds.config-apply-ms`, in milliseconds; steers no process.
    pub config_apply_ms: u64,
    /// `bounds.rollback-slack-ms`, in milliseconds; steers no process.
    pub rollback_slack_ms: u64,
    /// `bounds.max-stretch-ms`, in milliseconds; steers no process.
    pub max_stretch_ms: u64,
    /// `bounds.recovery-s`, in seconds; steers no process.
    pub recovery_s: f64,
    /// `bounds.pass_ms`, in milliseconds; steers no process.
    pub pass_ms: u64,
    /// `bounds.again_s`, in seconds; steers no process.
    pub again_s: f64,
    /// `bounds.finish-s`, in seconds; steers no process.
    pub finish_s: f64,
    /// How long results of ended jobs are kept, in seconds.
    pub status_interval_s: f64,
    /// `bounds.cancel-ms`, in milliseconds; steers no process.
    pub cancel_ms: u64,
    /// `bounds.settle-ms`, in milliseconds; steers no process.
    pub settle_ms: u64,
    /// `bounds.quota-overage`, a fraction; steers no process.
    pub quota_overage: f64,
    /// `bounds.fencing-enforced`, a flag; steers no process.
    pub fencing_enforced: bool,
    /// Time that a new head of the control chain waits before it orders weights, in milliseconds.
    pub lease_ms: u64,
    /// `bounds.thaw-slack-ms`, in milliseconds; steers no process.
    pub thaw_slack_ms: u64,
    /// `bounds.strict-revocation`, a flag; steers no process.
    pub strict_revocation: bool,
    /// `bounds.revoke-ms`, in milliseconds; steers no process.
    pub revoke_ms: u64,
    /// Length of the windows of usage reports, in seconds; above 0.
    pub usage_window_s: f64,
    /// `bounds.usage-tolerance`, a fraction; steers no process.
    pub usage_tolerance: f64,
    /// Time after the end of a window by which its usage has to be reported, in seconds.
    pub usage_late_s: f64,
}

/// Access to the platform's interface, which lists the servers.
#[derive(Clone, PartialEq, Debug)]
pub struct CloudApi {
    /// Where it takes requests, if there is one.
    pub address: Option<SocketAddrV4>,
    /// Requests a second that all processes together may make.
    pub rate_per_s: f64,
    /// What the system may do through it (`duties`).
    pub platform_roles: Vec<String>,
    /// How long it may take until a change shows in its answers, in milliseconds.
    pub lag_ms: u64,
    /// Calls of singleton duties a second that all processes together may make.
    pub platform_calls_per_second: f64,
}

/// Ports from the first to the last one.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct PortRange {
    /// The first port.
    pub first: u16,
    /// The last port; not below the first.
    pub last: u16,
}

/// Where a process listens; a role needs some of these.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ListenAddresses {
    /// Requests of clients.
    pub frontend: Option<SocketAddrV4>,
    /// Questions whether the process is ready.
    pub readiness: Option<SocketAddrV4>,
    /// Requests of operators.
    pub control: Option<SocketAddrV4>,
    /// The system's own processes, if they reach this one through a relay at its IP address and the first internal
    /// port. Connections to others then leave from this address, too.
    pub internal: Option<SocketAddrV4>,
}

/// All settings of a process.
#[derive(Clone, PartialEq, Debug)]
pub struct Settings {
    /// Name of the machine; unique in the system.
    pub node_name: String,
    /// Name of the machine's role in the plan of the deployment.
    pub role: String,
    /// Name of the kind of machine.
    pub machine_class: String,
    /// What the machine serves.
    pub serves: Vec<String>,
    /// IP address that others reach the machine by.
    pub ip: Ipv4Addr,
    /// Zone that the machine stands in.
    pub zone: String,
    /// Region that the machine stands in.
    pub region: String,
    /// Region of each zone.
    pub zones: BTreeMap<String, String>,
    /// Where the process listens.
    pub listen: ListenAddresses,
    /// Ports for traffic between the system's own processes; the first one is used.
    pub internal_ports: PortRange,
    /// Control nodes to try first.
    pub seed_nodes: Vec<SocketAddrV4>,
    /// This is the first start of all.
    pub bootstrap: bool,
    /// The machine may be a voter.
    pub quorum_member: bool,
    /// What the process may use.
    pub limits: ProcessLimits,
    /// Where files are kept; none on a machine that keeps nothing.
    pub data_directory: Option<PathBuf>,
    /// Pause between two heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// Names of the contracts that the system is held to.
    pub contracts: Vec<String>,
    /// How many failures at once have to be tolerated.
    pub fault_tolerance: FaultTolerance,
    /// Figures of the rules.
    pub bounds: Bounds,
    /// Access to the platform's interface.
    pub cloud_api: CloudApi,
}

impl Settings {
    /// Reads the file that the environment names.
    ///
    /// # Errors
    ///
    /// There is no such file, or a field that is needed is missing or malformed.
    pub fn load_from_environment() -> Result<Settings, SettingsError> {
        let path = PathBuf::from(env::var_os(PATH_VARIABLE).ok_or(SettingsError::NoPath)?);
        let text = fs::read_to_string(&path)
            .map_err(|source| SettingsError::Unreadable { path: path.clone(), source })?;
        Settings::parse(&text, &path)
    }

    /// Reads settings from the text of the file at `path`.
    ///
    /// # Errors
    ///
    /// A field that is needed is missing, or a known one is malformed.
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
            zones: lines.below("zones."),
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
