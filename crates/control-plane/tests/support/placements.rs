//! Placements of partitions on store nodes and registrations of store nodes, proposed by the head of the chain. Other
//! tests check that placements are correct; here they are control state that is not resent and must be equal everywhere.

use orchidvalve_control_state::{Change, Placement};
use orchidvalve_protocol::identity::MemberId;
use rand::Rng;

use super::cluster::{Cluster, Event, address};

/// Store nodes have addresses above those of control nodes.
const FIRST_STORE: u8 = 200;
pub const STORES: u8 = 5;
const PARTITIONS: u16 = 8;
/// Fraction of the changes that register a store node with another disk.
const REGISTRATIONS: f64 = 0.2;

impl Cluster {
    pub fn place(&mut self) {
        if self.operators.has_stopped() {
            return;
        }
        self.schedule(self.scenario.placement_pause, Event::Place);
        for machine in self.living() {
            let Some(control_node) = &mut self.machines[machine].control_node else { continue };
            if !control_node.is_established_head() {
                continue;
            }
            let epochs: Vec<u64> =
                control_node.tentative_state().partitions().iter().map(|p| p.epoch).collect();
            let change = self.placement_change(&epochs);
            if let Some(control_node) = &mut self.machines[machine].control_node {
                control_node.propose(change);
            }
            self.drain(machine);
            self.begin_sync(machine);
        }
    }

    fn store(&mut self) -> (u8, MemberId) {
        let number = self.random.random_range(0..STORES);
        let disk = self.random.random_range(1..1_000);
        (number, MemberId { address: address(FIRST_STORE + number), disk })
    }

    fn placement_change(&mut self, epochs: &[u64]) -> Change {
        if self.random.random_bool(REGISTRATIONS) {
            let (number, member) = self.store();
            return Change::RegisterStore {
                name: format!("store-{number}"),
                zone: "north".to_owned(),
                member,
            };
        }
        let partition = self.random.random_range(0..PARTITIONS);
        let members: Vec<MemberId> = (0..3).map(|_| self.store().1).collect();
        let epoch = epochs.get(usize::from(partition)).copied().unwrap_or(0) + 1;
        Change::Place(vec![(partition, Placement { epoch, members, ..Placement::default() })])
    }
}
