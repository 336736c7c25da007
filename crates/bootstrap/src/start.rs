//! The common start of a process, before its role begins.

use orchidvalve_net::Network;
use orchidvalve_net::clock::Clock;
use orchidvalve_protocol::identity::{MemberId, random_incarnation};
use orchidvalve_protocol::messages::{Handshake, PROTOCOL_VERSION, Role};
use orchidvalve_wal::{Options as RingOptions, Record, Ring};

use crate::error::ProcessError;
use crate::open_ring::{OpenedRing, open_ring};
use crate::options::MachineOptions;

/// A process with an open ring that does not listen yet.
pub struct StartedProcess {
    /// The clock of the process.
    pub clock: Clock,
    /// The event loop, which the ring wakes. It also reports signals.
    pub network: Network,
    /// The ring of records.
    pub ring: Ring,
    /// The records recovered from the ring, in the order in which they were written.
    pub records: Vec<Record>,
    /// The handshake of the process, with its identity and the incarnation of this start.
    pub handshake: Handshake,
    /// Time of the stop request, if one was received while the ring was being opened.
    pub shutdown_requested_at: Option<u64>,
}

/// Starts the event loop and opens the ring, which may use the fraction `ring_share` of the disk. Retries while the
/// disk fails. Returns `None` if the process was requested to stop before the ring was open.
///
/// # Errors
///
/// Returns an error if the event loop cannot be used, or if the disk cannot be used for a permanent reason.
pub fn start(
    machine: &MachineOptions,
    role: Role,
    ring_share: f64,
) -> Result<Option<StartedProcess>, ProcessError> {
    let clock = Clock::start();
    let mut network = Network::new()?;
    network.set_source_address(machine.source);
    let ring_options = RingOptions::with_capacity((machine.disk_bytes as f64 * ring_share) as u64);
    let opened = open_ring(machine, role, ring_options, &clock, &mut network)?;
    let Some(OpenedRing { ring, recovery, shutdown_requested_at }) = opened else { return Ok(None) };
    let me = MemberId { address: machine.node_address(), disk: recovery.disk_identity };
    let records = recovery.records;
    log::info!("{role}: {me} starts with {} records on disk", records.len());
    let handshake = handshake(machine, role, me);
    Ok(Some(StartedProcess { clock, network, ring, records, handshake, shutdown_requested_at }))
}

fn handshake(machine: &MachineOptions, role: Role, member: MemberId) -> Handshake {
    Handshake {
        version: PROTOCOL_VERSION,
        role,
        name: machine.name.clone(),
        zone: machine.zone.clone(),
        member,
        incarnation: random_incarnation(),
        cpu_share: machine.cpu_share,
    }
}
