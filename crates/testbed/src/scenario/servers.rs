//! The servers of a scenario: the platform, model servers and application servers.

use std::io;
use std::net::SocketAddrV4;

use super::workload::Workload;
use crate::application_server::{ApplicationServerEmulator, ApplicationServerSettings};
use crate::effects::ModelVersion;
use crate::host::{EmulatedServer, Host, ServerIndex};
use crate::launch::{Topology, ZONES};
use crate::model_server::{ModelServerEmulator, ModelServerSettings};
use crate::observation::Observation;
use crate::platform::{ListedServer, PlatformSettings, PlatformStub};

const MODEL_SERVERS: usize = 9;
const APPLICATION_SERVERS: usize = 5;
/// Number of generations that a model server runs concurrently.
pub(super) const MODEL_SLOTS: usize = 12;
const APPLICATION_SLOTS: usize = 6;
const PLATFORM_LAG_MS: u64 = 800;
const PLATFORM_RATE_PER_S: f64 = 40.0;
/// Must equal `cloud-api.duty-per-s` in the settings of the processes.
const PLATFORM_CALLS_PER_SECOND: f64 = 10.0;
const PAGE_SIZE: usize = 50;
/// Number of tokens per event.
pub(super) const STRIDE: u64 = 53;
/// Capacity of a model server's KV cache, in tokens.
pub(super) const KV_CAPACITY: u64 = 39_294;
const EVENT_MS: u64 = 20;
const LOAD_MS: u64 = 600;

/// Indices of the servers in the host.
#[derive(Clone, Debug, Default)]
pub(super) struct ServerIndices {
    pub models: Vec<ServerIndex>,
    pub applications: Vec<ServerIndex>,
}

/// Opens the platform stub, the model servers and the application servers.
pub(super) fn open_servers(
    host: &mut Host,
    topology: &Topology,
    workload: &Workload,
    seed: u64,
) -> io::Result<ServerIndices> {
    let settings = PlatformSettings {
        lag_ms: PLATFORM_LAG_MS,
        list_calls_per_second: PLATFORM_RATE_PER_S,
        page_size: PAGE_SIZE,
        platform_calls_per_second: PLATFORM_CALLS_PER_SECOND,
    };
    host.open(EmulatedServer::Platform(PlatformStub::new(settings)), topology.platform)?;
    let mut servers = ServerIndices::default();
    for index in 0..MODEL_SERVERS {
        let settings = model_settings(workload, index);
        let listed =
            listed_server(&workload.model_service, index, MODEL_SLOTS, &settings.instance, &settings.models);
        let server = EmulatedServer::Model(ModelServerEmulator::new(index as u64 + 1, settings));
        servers.models.push(open(host, topology, index, server, listed)?);
    }
    for index in 0..APPLICATION_SERVERS {
        let number = MODEL_SERVERS + index;
        let settings = application_settings(index, seed);
        let listed =
            listed_server(&workload.application_service, index, APPLICATION_SLOTS, &settings.instance, &[]);
        let server = ApplicationServerEmulator::new(number as u64 + 1, settings);
        let server = EmulatedServer::Application(server);
        servers.applications.push(open(host, topology, number, server, listed)?);
    }
    Ok(servers)
}

/// Opens the server with the index `number` among all servers, and adds it to the platform's list.
fn open(
    host: &mut Host,
    topology: &Topology,
    number: usize,
    server: EmulatedServer,
    mut listed: ListedServer,
) -> io::Result<ServerIndex> {
    let address = SocketAddrV4::new(topology.emulator_address(number as u8), 0);
    let (index, address) = host.open(server, address)?;
    listed.address = address.to_string();
    let (server, service) = (listed.instance.clone(), listed.service.clone());
    host.observe(Observation::ServerStarted { server, service });
    host.with_platform(|platform, now| platform.add(now, listed));
    Ok(index)
}

fn listed_server(
    service: &str,
    index: usize,
    slots: usize,
    instance: &str,
    models: &[ModelVersion],
) -> ListedServer {
    ListedServer {
        instance: instance.to_owned(),
        service: service.to_owned(),
        address: String::new(),
        zone: ZONES[index % ZONES.len()].to_owned(),
        slots,
        draining: false,
        models: models.to_vec(),
    }
}

fn model_settings(workload: &Workload, index: usize) -> ModelServerSettings {
    ModelServerSettings {
        instance: format!("i-m{index:02}"),
        models: workload.models.iter().map(|model| ModelVersion::new(model, 1)).collect(),
        slots: MODEL_SLOTS,
        queue: MODEL_SLOTS * 3,
        max_connections: 170,
        health_path: "/health".to_owned(),
        event_ms: EVENT_MS + (index as u64 % 3) * EVENT_MS / 4,
        prefill_tokens_per_ms: 303,
        stride: STRIDE,
        kv_capacity: KV_CAPACITY,
        load_ms: LOAD_MS,
        fencing_enforced: false,
    }
}

fn application_settings(index: usize, seed: u64) -> ApplicationServerSettings {
    ApplicationServerSettings {
        instance: format!("i-a{index:02}"),
        slots: APPLICATION_SLOTS,
        queue: APPLICATION_SLOTS * 4,
        max_connections: 110,
        health_path: "/health".to_owned(),
        work_ms: 5..=60,
        response_bytes: 800,
        failures_per_10_000: 50,
        seed,
    }
}
