//! The start of a process up to where its role begins.

use orchidvalve_ballast::{Options as RingOptions, Record, Ring};
use orchidvalve_track::clock::Clock;
use orchidvalve_track::identity::{MemberId, random_incarnation};
use orchidvalve_track::messages::{Introduction, PROTOCOL_VERSION, Role};
use orchidvalve_track::network::Network;

use crate::error::ProcessError;
use crate::options::MachineOptions;

/// A process whose ring is open and that doesn't listen yet.
pub struct StartedProcess {
    /// The clock of the process.
    pub clock: Clock,
    /// The event loop, woken by the ring. Signals arrive here.
    pub network: Network,
    /// The ring of records.
    pub ring: Ring,
    /// What the ring held, in the order in which it was written.
    pub records: Vec<Record>,
    /// How the process introduces itself. It holds its identity and the number of this start.
    pub introduction: Introduction,
}

/// Opens the event loop and the ring; `ring_share` is the share of the disk that the ring may take.
///
/// # Errors
///
/// The disk or the event loop can't be used.
pub fn start(machine: &MachineOptions, role: Role, ring_share: f64) -> Result<StartedProcess, ProcessError> {
    let clock = Clock::start();
    let mut network = Network::new()?;
    network.set_source(machine.source);
    let waker = network.waker();
    let on_progress = Box::new(move || waker.wake());
    let ring_options = RingOptions::with_capacity((machine.disk_bytes as f64 * ring_share) as u64);
    let (ring, recovery) = Ring::open(&machine.data_directory, ring_options, on_progress)?;
    let me = MemberId { address: machine.node_address(), disk: recovery.disk_identity };
    let records = recovery.records;
    log::info!("{role}: {me} starts with {} records on disk", records.len());
    Ok(StartedProcess { clock, network, ring, records, introduction: introduction(machine, role, me) })
}

fn introduction(machine: &MachineOptions, role: Role, member: MemberId) -> Introduction {
    Introduction {
        version: PROTOCOL_VERSION,
        role,
        name: machine.name.clone(),
        zone: machine.zone.clone(),
        member,
        incarnation: random_incarnation(),
        share: machine.share,
    }
}
