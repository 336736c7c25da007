//! Conversion of the settings of a node to the options of each process.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;

use derive_more::{Display, Error};
use orchidvalve_batch_store::process::StoreOptions;
use orchidvalve_bootstrap::MachineOptions;
use orchidvalve_control_plane::observer::ObserverOptions;
use orchidvalve_control_plane::process::ControlOptions;
use orchidvalve_data_plane::gateway::GatewayOptions;
use orchidvalve_protocol::identity::NodeAddress;
use orchidvalve_protocol::time_limit::TimeLimit;
use orchidvalve_settings::Settings;

/// Names of the roles on the command line.
const CONTROL: &str = "control";
const GATEWAY: &str = "door";
const STORE: &str = "store";

/// Assumed disk size in MiB if the settings do not specify it.
const DEFAULT_DISK_MB: u64 = 64;

/// A setting that the role requires is missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("settings: {key} is missing for the role {role}: add it to the file")]
pub struct MissingSetting {
    /// Key of the missing setting.
    pub key: &'static str,
    /// Name of the role on the command line.
    pub role: &'static str,
}

/// Returns the port for traffic between the system's processes: the first internal port.
fn internal_port(settings: &Settings) -> u16 {
    settings.internal_ports.first
}

/// Returns the address at which other processes of the system reach this one.
fn internal_address(settings: &Settings) -> SocketAddrV4 {
    SocketAddrV4::new(settings.ip, internal_port(settings))
}

/// Returns the address to listen at. It differs from the address that others use only if a relay listens there.
fn internal_listener(settings: &Settings) -> SocketAddrV4 {
    settings.listen.internal.unwrap_or(internal_address(settings))
}

/// Returns the source address of outgoing connections. It is set only if a relay has to distinguish the nodes.
fn source(settings: &Settings) -> Option<Ipv4Addr> {
    settings.listen.internal.map(|internal| *internal.ip())
}

fn seeds(settings: &Settings) -> Vec<NodeAddress> {
    let port = internal_port(settings);
    settings.seed_nodes.iter().map(|seed| NodeAddress::new(*seed.ip(), port)).collect()
}

/// Returns the options of a control node.
pub fn control_options(settings: &Settings) -> Result<ControlOptions, MissingSetting> {
    let missing = |key| MissingSetting { key, role: CONTROL };
    Ok(ControlOptions {
        machine: machine_options(settings, CONTROL)?,
        control_address: settings.listen.control.ok_or(missing("listen-addresses.control"))?,
        seeds: settings.seed_nodes.clone(),
        bootstrap: settings.bootstrap,
        tolerance: settings.fault_tolerance.machines as usize,
        platform: settings.cloud_api.address,
        lease_ms: settings.bounds.lease_ms,
        catch_up_ms: TimeLimit::from_seconds(settings.bounds.catch_up_s).as_millis(),
        enabled_platform_roles: settings.cloud_api.platform_roles.clone(),
        platform_calls_per_second: settings.cloud_api.platform_calls_per_second,
        usage_window_ms: usage_window_ms(settings),
        usage_report_deadline_ms: TimeLimit::from_seconds(settings.bounds.usage_late_s).as_millis(),
    })
}

/// Returns the options of a control node without a data directory, which cannot store the control state.
pub fn observer_options(settings: &Settings) -> Result<ObserverOptions, MissingSetting> {
    let missing = MissingSetting { key: "listen-addresses.control", role: CONTROL };
    Ok(ObserverOptions {
        name: settings.node_name.clone(),
        zone: settings.zone.clone(),
        cpu_share: settings.limits.cpu_share as f32,
        control_address: settings.listen.control.ok_or(missing)?,
        internal_address: internal_address(settings),
        internal_listener: internal_listener(settings),
        source: source(settings),
        seeds: settings.seed_nodes.clone(),
        bootstrap: settings.bootstrap,
    })
}

/// Returns the options of a gateway.
pub fn gateway_options(settings: &Settings) -> Result<GatewayOptions, MissingSetting> {
    let missing = |key| MissingSetting { key, role: GATEWAY };
    Ok(GatewayOptions {
        name: settings.node_name.clone(),
        zone: settings.zone.clone(),
        share: settings.limits.cpu_share as f32,
        frontend: settings.listen.frontend.ok_or(missing("listen-addresses.frontend"))?,
        readiness: settings.listen.readiness.ok_or(missing("listen-addresses.readiness"))?,
        source: source(settings),
        seeds: seeds(settings),
        grace_ms: grace_ms(settings),
        usage_window_ms: usage_window_ms(settings),
    })
}

/// Returns the options of a store node.
pub fn store_options(settings: &Settings) -> Result<StoreOptions, MissingSetting> {
    Ok(StoreOptions {
        machine: machine_options(settings, STORE)?,
        seeds: seeds(settings),
        memory_bytes: settings.limits.memory_mb << 20,
        tolerance: settings.fault_tolerance.machines as usize,
        status_interval_ms: TimeLimit::from_seconds(settings.bounds.status_interval_s).as_millis(),
    })
}

/// Returns the options shared by all roles with a disk.
fn machine_options(settings: &Settings, role: &'static str) -> Result<MachineOptions, MissingSetting> {
    Ok(MachineOptions {
        name: settings.node_name.clone(),
        zone: settings.zone.clone(),
        cpu_share: settings.limits.cpu_share as f32,
        internal_address: internal_address(settings),
        internal_listener: internal_listener(settings),
        source: source(settings),
        data_directory: data_directory(settings, role)?,
        disk_bytes: disk_bytes(settings),
        grace_ms: grace_ms(settings),
    })
}

/// Returns the length of a usage window in milliseconds.
fn usage_window_ms(settings: &Settings) -> u64 {
    TimeLimit::from_seconds(settings.bounds.usage_window_s).as_millis()
}

/// Returns the grace period of a shutdown in milliseconds.
fn grace_ms(settings: &Settings) -> u64 {
    TimeLimit::from_seconds(settings.bounds.grace_s).as_millis()
}

fn data_directory(settings: &Settings, role: &'static str) -> Result<PathBuf, MissingSetting> {
    settings.data_directory.clone().ok_or(MissingSetting { key: "data-directory", role })
}

fn disk_bytes(settings: &Settings) -> u64 {
    settings.limits.disk_mb.unwrap_or(DEFAULT_DISK_MB) << 20
}
