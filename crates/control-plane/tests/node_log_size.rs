//! Disk use of the log while configurations are large.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::Ipv4Addr;
use std::rc::Rc;

use orchidvalve_configuration::MAX_DOCUMENT_BYTES;
use orchidvalve_consensus::{DurableState, View};
use orchidvalve_control_plane::disk_records::RecoveredState;
use orchidvalve_control_plane::node::{ControlNode, Disk, NodeConfig, NodeOutput, RequestNumber};
use orchidvalve_control_plane::peer_messages::{HeadRequest, RequestOutcome};
use orchidvalve_control_state::Change;
use orchidvalve_protocol::frames::encode;
use orchidvalve_protocol::identity::{MemberId, NodeAddress};
use rstest::rstest;
use serde_json::json;

const START_MS: u64 = 1_000;
const MEGABYTE: usize = 1 << 20;
/// Capacity of the ring on a disk of 64 MB.
const RING_BYTES: usize = 64 * MEGABYTE * 85 / 100;

/// Counts the bytes that are not released; all records are durable at once.
#[derive(Default)]
struct CountedRecords {
    held: VecDeque<(u64, usize)>,
    last: u64,
    held_bytes: usize,
    max_held_bytes: usize,
    written_bytes: usize,
}

#[derive(Clone, Default)]
struct CountingDisk(Rc<RefCell<CountedRecords>>);

impl Disk for CountingDisk {
    fn append(&mut self, payload: Vec<u8>) -> u64 {
        let mut records = self.0.borrow_mut();
        records.last += 1;
        let position = records.last;
        records.held.push_back((position, payload.len()));
        records.held_bytes += payload.len();
        records.written_bytes += payload.len();
        records.max_held_bytes = records.max_held_bytes.max(records.held_bytes);
        position
    }

    fn release_before(&mut self, position: u64) {
        let mut records = self.0.borrow_mut();
        while let Some((_, bytes)) = records.held.pop_front_if(|(at, _)| *at < position) {
            records.held_bytes -= bytes;
        }
    }
}

/// The only control node of a system in which no loss has to be tolerated.
struct SingleNode {
    control_node: ControlNode<CountingDisk>,
    disk: CountingDisk,
    now: u64,
    requests: u64,
}

impl SingleNode {
    fn start() -> SingleNode {
        let address = NodeAddress::new(Ipv4Addr::new(10, 0, 0, 1), 7000);
        let me = MemberId { address, disk: 1 };
        let view = View { epoch: 1, voters: vec![me], chain: vec![me] };
        let agreement = DurableState { view: Some(view), ..DurableState::default() };
        let recovered = RecoveredState { agreement: Some(agreement), ..RecoveredState::default() };
        let config = NodeConfig {
            me,
            bootstrap: false,
            seeds: Vec::new(),
            tolerance: 0,
            catch_up_ms: 4_400,
            incarnation: 7,
        };
        let disk = CountingDisk::default();
        let control_node = ControlNode::new(config, recovered, disk.clone(), START_MS);
        let mut node = SingleNode { control_node, disk, now: START_MS, requests: 0 };
        node.turn();
        node
    }

    fn turn(&mut self) -> Vec<NodeOutput> {
        self.now += 10;
        let mut outputs = Vec::new();
        for _ in 0..3 {
            self.control_node.tick(self.now);
            let written = self.disk.0.borrow().last;
            self.control_node.durable(written);
            outputs.extend(self.control_node.take_outputs());
        }
        outputs
    }

    /// Makes a change and checks that it is committed.
    fn change(&mut self, change: &Change) {
        self.requests += 1;
        let number = RequestNumber(self.requests);
        self.control_node.submit(number, HeadRequest::Change { change: encode(change) });
        let is_done = |event: &NodeOutput| matches!(event, NodeOutput::RequestDecided { request, outcome: RequestOutcome::Done } if *request == number);
        assert!(self.turn().iter().any(is_done), "change {number:?} is not confirmed");
    }

    fn put(&mut self, version: u64, filling: usize) {
        let document = json!({
            "config-version": version, "routes": [], "services": [], "filling": "x".repeat(filling),
        });
        self.change(&Change::Replace { base: version - 1, body: document.to_string().into_bytes() });
    }
}

/// A ring filled with records that are still needed could not accept the checkpoint that would release them.
#[rstest]
#[case::of_4_megabytes(4 * MEGABYTE, 15)]
#[case::the_largest_accepted(MAX_DOCUMENT_BYTES - 1_000, 8)]
fn large_configurations_fit_the_disk(#[case] bytes: usize, #[case] versions: u64) {
    let mut node = SingleNode::start();
    for version in 1..=versions {
        node.put(version, bytes);
    }
    let max = node.disk.0.borrow().max_held_bytes;
    assert!(max < RING_BYTES, "{max} bytes were needed at once");
}

#[test]
fn small_changes_do_not_rewrite_a_large_configuration() {
    let mut node = SingleNode::start();
    node.put(1, 3 * MEGABYTE);
    let before = node.disk.0.borrow().written_bytes;
    for version in 2..=100 {
        node.change(&Change::NameVersion { model: "duge".to_owned(), version });
    }
    let written = node.disk.0.borrow().written_bytes - before;
    assert!(written < MEGABYTE, "{written} bytes for 99 small changes");
}
