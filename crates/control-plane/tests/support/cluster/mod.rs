//! The simulated cluster: its machines, the event queue and virtual time.

mod delivery;
mod machine;

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use orchidvalve_consensus::View;
use orchidvalve_control_plane::disk_hang::DiskHangDetector;
use orchidvalve_control_plane::disk_records::RecoveredState;
use orchidvalve_control_plane::node::{ControlNode, NodeConfig, NodeOutput, REQUEST_TIMEOUT_MS};
use orchidvalve_control_plane::peer_messages::PeerMessage;
use orchidvalve_protocol::identity::{MemberId, NodeAddress};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::clients::{Clients, OpenCall};
use super::disk::SimulatedDisk;
use super::fault_script::{Fault, ScriptEvent};
use super::golden::OutputTrace;
use super::history::ChangeIndex;
use super::invariant_checker::InvariantChecker;
use super::links::Links;
use super::operators::{OperatorEvent, Operators};
use super::order_roles::OrderHistory;
use super::random_faults::RECOVERY_MS;
use super::recovery::Recovery;
use super::scenario::{PlantedBug, Scenario, Summary};
use super::server_tables::{ListState, TableQueue};
use super::subscribers::{FeedEvent, SessionNumber, Subscriber};

pub use self::machine::Machine;

/// Time in ms between the return of a machine and the next permitted loss, as in the small deployments.
const CATCH_UP_MS: u64 = 4_400;

#[derive(Clone, Debug)]
pub enum Packet {
    Handshake(MemberId),
    Message(PeerMessage),
}

#[derive(Debug)]
pub enum Event {
    Deliver { from: usize, sender: MemberId, to: usize, to_start: u32, packet: Packet },
    Synced { machine: usize, disk: u64, through: u64 },
    Tick { machine: usize, start: u32 },
    Start { machine: usize },
    Thaw { machine: usize },
    HealPartition { machine: usize },
    DiskWorks { machine: usize },
    Client,
    Resend { change: usize },
    RandomFault,
    Blackout,
    EndFaults,
    Probe,
    CheckChain,
    End,
    Operator(OperatorEvent),
    Feed(FeedEvent),
    Script(ScriptEvent),
    Watch,
    Place,
    Retirement,
    Table { from: usize, to: usize },
}

pub struct Cluster {
    pub seed: u64,
    pub scenario: Scenario,
    pub random: Pcg64Mcg,
    pub now: u64,
    pub quiet: bool,
    queue: BTreeMap<(u64, u64), Event>,
    scheduled: u64,
    pub machines: Vec<Machine>,
    pub seeds: Vec<NodeAddress>,
    /// Directed links (from, to) on which no message arrives.
    pub blocked_links: Vec<(usize, usize)>,
    pub checker: InvariantChecker,
    pub clients: Clients,
    pub operators: Operators,
    /// Changes sent by operators, by the fingerprint of their bodies.
    pub change_fingerprints: BTreeMap<u64, ChangeIndex>,
    /// Machines that operators cannot reach.
    pub unreachable_for_operators: Vec<usize>,
    /// Fraction of the responses to operators that are lost.
    pub response_loss: f64,
    pub subscribers: Vec<Subscriber>,
    pub sessions_opened: SessionNumber,
    pub recovery: Recovery,
    pub after_acknowledgement: Vec<Fault>,
    pub after_send: Vec<Fault>,
    pub last_faulted: Option<usize>,
    /// Arrival time in ms of the last message on each directed link, for links that keep the order of messages.
    last_arrivals: BTreeMap<(usize, usize), u64>,
    pub order_history: OrderHistory,
    pub table_queues: BTreeMap<(usize, usize), TableQueue>,
    /// The largest number of bytes held on any disk, recorded when a sync begins.
    pub max_disk_bytes: usize,
    pub disks: u64,
    pub granularity: u64,
    pub summary: Summary,
    ended: bool,
    traced: bool,
    /// Trace of all outputs of the state machines, kept only if a test compares it with a recorded run.
    pub outputs: Option<OutputTrace>,
    /// Number of messages sent of each kind.
    sent: BTreeMap<usize, u32>,
    mutated: bool,
}

pub fn address(number: u8) -> NodeAddress {
    NodeAddress::new(Ipv4Addr::new(10, 0, 0, number), 7000)
}

impl Cluster {
    pub fn new(seed: u64, scenario: Scenario) -> Cluster {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let granularity = [1, 1, 5, 64][random.random_range(0..4)];
        let seeds: Vec<NodeAddress> = (1..=scenario.machines).map(address).collect();
        let mut cluster = Cluster {
            seed,
            random,
            now: 0,
            quiet: false,
            queue: BTreeMap::new(),
            scheduled: 0,
            machines: Vec::new(),
            seeds,
            blocked_links: Vec::new(),
            checker: InvariantChecker::default(),
            clients: Clients::default(),
            operators: Operators::new(scenario.operators),
            change_fingerprints: BTreeMap::new(),
            unreachable_for_operators: Vec::new(),
            response_loss: 0.0,
            subscribers: Vec::new(),
            sessions_opened: 0,
            recovery: Recovery::default(),
            after_acknowledgement: Vec::new(),
            after_send: Vec::new(),
            last_faulted: None,
            last_arrivals: BTreeMap::new(),
            order_history: OrderHistory::default(),
            table_queues: BTreeMap::new(),
            max_disk_bytes: 0,
            disks: 0,
            // A large body fills a file of the ring by itself.
            granularity: if scenario.bandwidth.is_some() { 1 } else { granularity },
            summary: Summary::default(),
            ended: false,
            outputs: None,
            sent: BTreeMap::new(),
            mutated: false,
            traced: std::env::var_os("CONTROL_SIM_TRACE").is_some(),
            scenario,
        };
        for number in 1..=cluster.scenario.machines {
            cluster.add_machine(address(number), true);
            let at = cluster.random.random_range(1..200);
            cluster.schedule(at, Event::Start { machine: usize::from(number) - 1 });
        }
        let (first, last) = cluster.scenario.fault_window;
        cluster.schedule(first, Event::RandomFault);
        cluster.schedule(last, Event::EndFaults);
        cluster.checker.skips_state_comparison = !cluster.scenario.compares_states;
        cluster.begin_calls();
        cluster
    }

    fn begin_calls(&mut self) {
        if self.scenario.operators == 0 {
            return self.schedule(600, Event::Client);
        }
        for operator in 0..self.scenario.operators {
            let at = 600 + 37 * operator as u64;
            self.schedule(at, Event::Operator(OperatorEvent::NextRequest { operator }));
        }
        self.add_subscribers();
        self.schedule_script();
        self.schedule(1_000, Event::Watch);
        self.begin_retirements();
        if self.scenario.placement_pause > 0 {
            self.schedule(self.scenario.placement_pause, Event::Place);
        }
    }

    pub fn add_machine(&mut self, address: NodeAddress, bootstrap: bool) {
        self.disks += 1;
        let disk = self.new_disk();
        self.machines.push(Machine {
            address,
            disk_identity: self.disks,
            disk,
            control_node: None,
            start: 0,
            started_at: 0,
            bootstrap,
            removed: false,
            frozen: false,
            down_since: 0,
            inbox: Vec::new(),
            links: Links::default(),
            syncing: false,
            hanging: false,
            disk_watch: DiskHangDetector::default(),
            shutdown: None,
            tick_at: 0,
            next_call: 1,
            calls: BTreeMap::new(),
            lost: None,
            operator_inbox: Vec::new(),
            session_inbox: Vec::new(),
            sessions: BTreeMap::new(),
            remembered_positions: BTreeMap::new(),
            sync_factor: 1,
            slowness: 1,
            isolated: false,
            disturbed_until: 0,
            list_state: ListState::default(),
            orders: None,
            line_free_at: 0,
        });
    }

    pub fn new_disk(&self) -> SimulatedDisk {
        SimulatedDisk::new(self.granularity, self.scenario.planted_bug == Some(PlantedBug::LyingDisks))
    }

    pub fn schedule(&mut self, delay: u64, event: Event) {
        self.scheduled += 1;
        self.queue.insert((self.now + delay, self.scheduled), event);
    }

    /// Runs the simulation to its end.
    ///
    /// # Errors
    ///
    /// Returns the first violation found by the invariant checker, with the seed and the time.
    pub fn run(&mut self) -> Result<Summary, String> {
        while !self.ended
            && let Some(((at, _), event)) = self.queue.pop_first()
        {
            self.now = at;
            self.summary.events += 1;
            self.handle(event);
            if let Some(violation) = &self.checker.violation {
                return Err(format!("seed {} at {} ms: {violation}", self.seed, self.now));
            }
        }
        let checker = &self.checker;
        self.summary.acknowledged = checker.acknowledged;
        self.summary.refused = checker.refused;
        self.summary.unclear = checker.unclear;
        self.summary.reads = checker.reads;
        self.summary.checkpoints = checker.checkpoints;
        self.summary.views = self.latest_view().map_or(0, |view| view.epoch);
        Ok(self.summary)
    }

    /// Prints a line of the run if the environment variable `CONTROL_SIM_TRACE` is set.
    pub fn trace(&self, line: impl FnOnce() -> String) {
        if self.traced {
            println!("{:6} {}", self.now, line());
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Deliver { from, sender, to, to_start, packet } => {
                self.deliver(from, sender, to, to_start, packet);
            }
            Event::Synced { machine, disk, through } => self.synced(machine, disk, through),
            Event::Tick { machine, start } => {
                let host = &self.machines[machine];
                if host.start == start && host.is_running() && host.tick_at <= self.now {
                    self.turn(machine);
                }
            }
            Event::Start { machine } => self.start(machine),
            Event::Thaw { machine } => self.thaw(machine),
            Event::HealPartition { machine } => self.heal_partition(machine),
            Event::DiskWorks { machine } => self.disk_works(machine),
            Event::Client => self.client(),
            Event::Resend { change } => self.resend(change),
            Event::RandomFault => self.fault(),
            Event::Blackout => self.blackout(),
            Event::EndFaults => self.end_faults(),
            Event::Probe => self.probe(),
            Event::CheckChain => self.check_chain(),
            Event::End => self.finish(),
            Event::Operator(event) => self.operator_event(event),
            Event::Feed(event) => self.feed_event(event),
            Event::Script(event) => self.script_event(event),
            Event::Watch => self.watch(),
            Event::Place => self.place(),
            Event::Retirement => self.retire(),
            Event::Table { from, to } => self.table_arrives(from, to),
        }
    }

    /// Starts the process of a machine, unless it is running or the machine has been removed.
    pub fn start(&mut self, machine: usize) {
        if self.machines[machine].control_node.is_some() || self.machines[machine].removed {
            return;
        }
        let mut incarnation = self.random.random::<u64>() | 1;
        if self.scenario.planted_bug == Some(PlantedBug::SameIncarnation) {
            incarnation = 1;
        }
        let recovered = self.recover(machine);
        let orders = self.new_order_role();
        let host = &mut self.machines[machine];
        let identity = NodeConfig {
            me: host.member(),
            bootstrap: host.bootstrap,
            seeds: self.seeds.clone(),
            tolerance: self.scenario.tolerance,
            catch_up_ms: CATCH_UP_MS,
            incarnation,
        };
        self.recovery.unstable_at = self.now;
        host.start += 1;
        host.started_at = self.now;
        host.next_call = 1;
        host.list_state = ListState::default();
        host.orders = orders;
        host.links = Links::default();
        let me = host.address;
        host.links.set_lasting(me, self.seeds.iter().copied());
        host.control_node = Some(ControlNode::new(identity, recovered, host.disk.clone(), self.now));
        if host.lost.is_some() {
            host.lost = Some(self.now);
        }
        self.turn(machine);
    }

    fn thaw(&mut self, machine: usize) {
        let host = &mut self.machines[machine];
        if !host.frozen {
            return;
        }
        host.frozen = false;
        host.lost = Some(self.now);
        self.recovery.unstable_at = self.now;
        let inbox = std::mem::take(&mut host.inbox);
        for (from, sender, packet) in inbox {
            self.handle_packet(machine, from, sender, packet);
        }
        let host = &mut self.machines[machine];
        let sessions = std::mem::take(&mut host.session_inbox);
        for attempt in std::mem::take(&mut host.operator_inbox) {
            self.enter_call(machine, attempt);
        }
        for event in sessions {
            self.feed_event(event);
        }
        self.turn(machine);
    }

    /// Returns the state that a starting process recovers from its disk, altered if the scenario plants a bug here.
    fn recover(&mut self, machine: usize) -> RecoveredState {
        self.trace_disk(machine);
        let mut recovered = self.machines[machine].disk.recover();
        match self.scenario.planted_bug {
            Some(PlantedBug::ForgottenEntries) => {
                let end = recovered.log.end();
                recovered.log.truncate(end.saturating_sub(3).max(recovered.log.first() - 1));
            }
            Some(PlantedBug::ForgottenVotes) => recovered.agreement = None,
            _ => {}
        }
        recovered
    }

    /// Runs one turn of the process's event loop, as it does after each input.
    pub fn turn(&mut self, machine: usize) {
        let now = self.now;
        let host = &mut self.machines[machine];
        let Some(control_node) = &mut host.control_node else { return };
        let durable = host.disk.reported_durable();
        control_node.set_impaired(host.disk_watch.observe(now, durable, host.disk.has_pending()));
        control_node.durable(durable);
        control_node.set_candidates(&host.links.responsive_members(now));
        control_node.tick(now);
        let link_changes = host.links.maintain(now);
        for member in link_changes.dropped {
            control_node.link_down(member);
        }
        for address in link_changes.to_open {
            self.open_link(machine, address);
        }
        self.drain(machine);
        self.check_term(machine);
        self.check_calls(machine);
        self.maintain_table(machine);
        self.give_orders(machine);
        self.serve_subscribers(machine);
        if self.exit_if_due(machine) {
            return;
        }
        self.begin_sync(machine);
        let host = &mut self.machines[machine];
        let Some(control_node) = &host.control_node else { return };
        host.tick_at = control_node.next_tick_at().clamp(now + 1, now + 100);
        let (delay, start) = (host.tick_at - now, host.start);
        self.schedule(delay, Event::Tick { machine, start });
    }

    /// Handles all pending outputs of a machine's state machine, and checks its state if changes were committed.
    pub fn drain(&mut self, machine: usize) {
        let mut moved = false;
        loop {
            let host = &mut self.machines[machine];
            let Some(control_node) = &mut host.control_node else { return };
            let events = control_node.take_outputs();
            if events.is_empty() {
                if moved {
                    self.check_state(machine);
                }
                return;
            }
            moved |= events.iter().any(|event| matches!(event, NodeOutput::Committed { .. }));
            for event in events {
                self.node_output(machine, event);
            }
        }
    }

    fn node_output(&mut self, machine: usize, event: NodeOutput) {
        let reporter = (machine, self.machines[machine].start);
        if let Some(outputs) = &mut self.outputs {
            outputs.add_event(self.now, reporter, &event);
        }
        match event {
            NodeOutput::Send { to, message } => self.send(machine, to, message),
            NodeOutput::Committed { first, changes } => {
                if self.scenario.planted_bug == Some(PlantedBug::SkippedChanges)
                    && self.random.random_bool(0.02)
                {
                    self.checker.committed(reporter, first + 1, &changes);
                } else {
                    self.checker.committed(reporter, first, &changes);
                }
            }
            NodeOutput::ViewChanged(view) => {
                self.trace(|| format!("machine {machine}: view {} {:?}", view.epoch, view.chain));
                self.order_role_view_changed(machine, &view);
                let host = &mut self.machines[machine];
                let addresses = view.voters.iter().map(|m| m.address).chain(self.seeds.iter().copied());
                host.links.set_lasting(host.address, addresses);
            }
            NodeOutput::RetirementRequested { origin, name } => self.allow_retirement(machine, origin, &name),
            NodeOutput::RequestDecided { request, outcome } => self.outcome(machine, request, outcome),
            NodeOutput::ReadConfirmed { request } => self.read_ready(machine, request),
            NodeOutput::ReadUnconfirmed { request } => self.read_unclear(machine, request),
        }
    }

    fn check_term(&mut self, machine: usize) {
        let host = &self.machines[machine];
        let held = host
            .control_node
            .as_ref()
            .and_then(|control_node| Some((control_node.epoch(), control_node.leadership_term()?)));
        if let Some((epoch, term)) = held {
            self.checker.holds_term((machine, host.start), epoch, term);
        }
    }

    pub fn check_state(&mut self, machine: usize) {
        let host = &self.machines[machine];
        if let Some(control_node) = &host.control_node {
            let (state, applied) = (control_node.state(), control_node.applied());
            self.checker.check_state((machine, host.start), state, applied);
        }
    }

    /// Checks that every request is completed within [`REQUEST_TIMEOUT_MS`], whatever faults occur.
    fn check_calls(&mut self, machine: usize) {
        let now = self.now;
        let is_overdue = |call: &&OpenCall| call.begun_at + REQUEST_TIMEOUT_MS <= now;
        if let Some(call) = self.machines[machine].calls.values().find(is_overdue) {
            let violation =
                format!("machine {machine} left a request open that began at {} ms", call.begun_at);
            self.checker.fail(violation);
        }
    }

    pub fn begin_sync(&mut self, machine: usize) {
        let host = &mut self.machines[machine];
        if host.syncing || host.hanging || !host.disk.has_pending() {
            return;
        }
        host.syncing = true;
        let (disk, through) = (host.disk_identity, host.disk.end());
        let (records, bytes) = host.disk.usage();
        self.summary.records = self.summary.records.max(records);
        self.max_disk_bytes = self.max_disk_bytes.max(bytes);
        let usual = if self.quiet { self.random.random_range(1..4) } else { self.random.random_range(1..15) };
        let delay = usual * self.machines[machine].sync_factor.max(self.machines[machine].slowness);
        self.schedule(delay, Event::Synced { machine, disk, through });
    }

    fn synced(&mut self, machine: usize, disk: u64, through: u64) {
        let host = &mut self.machines[machine];
        if host.disk_identity != disk || !host.syncing {
            return;
        }
        host.syncing = false;
        host.disk.synced(through);
        if host.is_running() {
            self.turn(machine);
        }
        self.begin_sync(machine);
    }

    /// Returns the latest view known to any machine.
    pub fn latest_view(&self) -> Option<View> {
        let views = self
            .machines
            .iter()
            .filter_map(|m| m.control_node.as_ref())
            .filter_map(|control_node| control_node.view());
        views.max_by_key(|view| view.epoch).cloned()
    }

    /// Returns the number of machines that count as lost.
    pub fn lost(&mut self) -> usize {
        let view = self.latest_view();
        let now = self.now;
        for host in &mut self.machines {
            // A machine has returned once its own durable state shows that it is in the chain.
            let epoch = host.control_node.as_ref().map_or(0, ControlNode::epoch);
            let in_chain = view.as_ref().is_some_and(|v| v.epoch == epoch && v.in_chain(host.member()));
            if host.lost.is_some_and(|at| now >= at && (in_chain || now >= at + RECOVERY_MS)) {
                host.lost = None;
            }
        }
        self.machines.iter().filter(|host| host.lost.is_some()).count()
    }

    pub fn living(&self) -> Vec<usize> {
        (0..self.machines.len()).filter(|m| self.machines[*m].is_running()).collect()
    }

    pub fn stop(&mut self) {
        self.ended = true;
    }
}
