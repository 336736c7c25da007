//! Leadership terms: each start of the head has a new one, even within one view.

use std::cell::RefCell;
use std::net::Ipv4Addr;
use std::rc::Rc;

use orchidvalve_consensus::{DurableState, View};
use orchidvalve_control_plane::disk_records::{DiskRecord, RecoveredState};
use orchidvalve_control_plane::node::{ControlNode, Disk, NodeConfig};
use orchidvalve_protocol::frames::encode;
use orchidvalve_protocol::identity::{MemberId, NodeAddress};
use orchidvalve_protocol::messages::{ServerEntry, ServerTableUpdate};
use orchidvalve_protocol::server_table::ServerTable;

const START_MS: u64 = 100_000;

/// A disk that survives the process; all records are durable at once.
#[derive(Clone, Default)]
struct SharedDisk(Rc<RefCell<Vec<Vec<u8>>>>);

impl Disk for SharedDisk {
    fn append(&mut self, payload: Vec<u8>) -> u64 {
        self.0.borrow_mut().push(payload);
        self.0.borrow().len() as u64
    }

    fn release_before(&mut self, _: u64) {}
}

fn member(number: u8) -> MemberId {
    MemberId { address: NodeAddress::new(Ipv4Addr::new(10, 0, 0, number), 7000), disk: u64::from(number) }
}

fn server(number: u8) -> ServerEntry {
    ServerEntry {
        instance: format!("i-{number}"),
        service: "movemind".to_owned(),
        address: NodeAddress::new(Ipv4Addr::new(10, 0, 1, number), 8080),
        zone: "north".to_owned(),
        slots: 8,
        draining: false,
        models: Vec::new(),
    }
}

/// Returns a disk with the first view, whose only member is this node, since no loss has to be tolerated.
fn disk_with_view() -> SharedDisk {
    let mut disk = SharedDisk::default();
    let view = View { epoch: 1, voters: vec![member(1)], chain: vec![member(1)] };
    disk.append(encode(&DiskRecord::Agreement(DurableState { view: Some(view), ..DurableState::default() })));
    disk
}

/// Starts the process with the contents of the disk.
fn start(disk: &SharedDisk, incarnation: u64) -> ControlNode<SharedDisk> {
    let config = NodeConfig {
        me: member(1),
        bootstrap: false,
        seeds: Vec::new(),
        tolerance: 0,
        catch_up_ms: 4_400,
        incarnation,
    };
    let mut recovered = RecoveredState::default();
    for (index, record) in disk.0.borrow().iter().enumerate() {
        recovered.apply_record(index as u64 + 1, record);
    }
    ControlNode::new(config, recovered, disk.clone(), START_MS)
}

/// Runs the node until it has its term.
fn term(control_node: &mut ControlNode<SharedDisk>, disk: &SharedDisk) -> u64 {
    for step in 0..20 {
        control_node.tick(START_MS + 50 * step);
        let written = disk.0.borrow().len() as u64;
        control_node.durable(written);
        control_node.take_outputs();
    }
    control_node.leadership_term().expect("the only node of the view is the leader")
}

#[test]
fn a_term_begins_once_its_entry_is_committed() {
    let disk = disk_with_view();
    let mut control_node = start(&disk, 1);
    control_node.tick(START_MS);
    assert_eq!(control_node.leadership_term(), None);
    assert_eq!(term(&mut control_node, &disk), 1);
}

#[test]
fn a_restarted_head_has_a_higher_term_in_the_same_view() {
    let disk = disk_with_view();
    let first = term(&mut start(&disk, 1), &disk);
    let mut again = start(&disk, 2);
    let second = term(&mut again, &disk);
    assert_eq!(again.epoch(), 1);
    assert!(second > first, "{second} after {first}");
}

/// All control nodes were down at once and returned in the same view. A gateway that was not restarted has a table with a
/// higher number than the new ones, and must adopt the new ones all the same.
#[test]
fn subscribers_adopt_the_table_of_a_restarted_head() {
    let disk = disk_with_view();
    let first = term(&mut start(&disk, 1), &disk);
    let mut before = ServerTable::default();
    let mut gateway = ServerTable::default();
    for count in 1..=5 {
        let update = before.replace(first, (1..=count).map(server).collect()).expect("the table has changed");
        assert!(gateway.apply(&update));
    }
    let second = term(&mut start(&disk, 2), &disk);
    let mut after = ServerTable::default();
    let draining = ServerEntry { draining: true, ..server(1) };
    let update = after.replace(second, vec![draining]).expect("the term has changed");
    assert!(matches!(update, ServerTableUpdate::Snapshot { .. }));
    assert!(gateway.apply(&update));
    assert_eq!(
        gateway.servers().map(|s| (s.instance.as_str(), s.draining)).collect::<Vec<_>>(),
        [("i-1", true)]
    );
}
