//! Faults of the links between the machine of a control node and all other machines.

use super::steps::{ScheduledStep, Step, after};
use crate::fault_proxy::{Link, LinkFault, MachineIndex};
use crate::launch::{Launcher, ProcessId};

/// A link with a long delay and a low rate.
pub(super) const SLOW_LINK: LinkFault = LinkFault::Slow { delay_ms: 150, bytes_per_s: 100_000 };

/// The directions of a machine's links that a fault affects.
#[derive(Clone, Copy, Debug)]
pub(super) struct Directions {
    inbound: bool,
    outbound: bool,
}

impl Directions {
    pub const BOTH: Directions = Directions { inbound: true, outbound: true };
    pub const INBOUND: Directions = Directions { inbound: true, outbound: false };
    pub const OUTBOUND: Directions = Directions { inbound: false, outbound: true };
}

/// Sets a fault on the links between the machine of `processes` and all others for `duration_ms`. Operators and the
/// platform can still reach the machine.
pub(super) fn fault_links(
    launcher: &Launcher,
    processes: &[ProcessId],
    directions: Directions,
    fault: LinkFault,
    duration_ms: u64,
) -> Vec<ScheduledStep> {
    let Some(machine) = processes.first().map(|id| launcher.machine_index(*id)) else { return Vec::new() };
    let machines = launcher.topology().indexed_machines().map(|(index, _)| index);
    let others = machines.filter(|other| *other != machine);
    let links_with = |other: MachineIndex| {
        let inbound = directions.inbound.then_some(Link { from: other, to: machine });
        let outbound = directions.outbound.then_some(Link { from: machine, to: other });
        inbound.into_iter().chain(outbound)
    };
    let links: Vec<Link> = others.flat_map(links_with).collect();
    vec![after(0, Step::Links(links.clone(), Some(fault))), after(duration_ms, Step::Links(links, None))]
}
