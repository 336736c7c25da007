//! Seeded simulation in virtual time: agreements with a small model of the replicated chain on top, under loss,
//! duplication and reordering of messages, partitions, freezes, restarts, losses of power and of disks.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use orchidvalve_consensus::{Agreement, DurableState, Message, Output, View, WriteNumber};
use orchidvalve_golden::Trace;
use orchidvalve_protocol::identity::MemberId;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{addresses, member};

mod chain;
mod checks;
mod faults;
mod trace;

/// Time between two steps of a host, in milliseconds.
const HOST_INTERVAL: u64 = 50;

/// The parameters of a run. Times are milliseconds of virtual time.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub machines: u8,
    pub seeds: u8,
    /// Faults are injected until this time.
    pub faults_end_at: u64,
    /// End of the run; no fault occurs between `faults_end_at` and this time.
    pub ends_at: u64,
    /// Mean time between faults.
    pub fault_interval: u64,
    /// Fraction of the messages that are lost while faults are injected.
    pub loss: f64,
    /// Longest delay of a message while faults are injected.
    pub delay: u64,
}

/// Counts of the events of a run, to check that the faults did occur.
#[derive(Clone, Copy, Debug, Default)]
pub struct Summary {
    pub views: u64,
    pub acknowledged: u64,
    pub wipes: u64,
    pub power_losses: u64,
    pub freezes: u64,
    pub messages: u64,
}

enum Event {
    Deliver { from: MemberId, to: MemberId, message: Message },
    WriteDone { machine: usize, start: u32, write_number: WriteNumber },
    Tick { machine: usize, start: u32 },
    Host { machine: usize, start: u32 },
    Start { machine: usize },
    Thaw { machine: usize },
    Fault,
    FaultsEnd,
}

struct Machine {
    me: MemberId,
    /// Number of the current process on this machine; changes with each start and stop.
    start: u32,
    agreement: Option<Agreement>,
    bootstrap: bool,
    disk: Option<DurableState>,
    writes: VecDeque<(WriteNumber, DurableState)>,
    frozen: bool,
    inbox: Vec<(MemberId, Message)>,
    known: BTreeMap<u8, MemberId>,
    /// The view that the chain uses: durable and reported by `ViewChanged`.
    view: Option<View>,
    synced_in: u64,
    log: Vec<u32>,
    tick_at: u64,
}

pub struct Simulation {
    seed: u64,
    plan: Plan,
    random: Pcg64Mcg,
    now: u64,
    sequence: u64,
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: Vec<Option<Event>>,
    free: Vec<usize>,
    machines: Vec<Machine>,
    partitions: Vec<(usize, usize)>,
    faults_ended: bool,
    decided: BTreeMap<u64, (View, u64)>,
    /// Epoch in which each entry was acknowledged.
    acknowledged: Vec<u64>,
    pub summary: Summary,
    /// Trace of all outputs, if they are recorded.
    trace: Option<Trace>,
}

impl Simulation {
    pub fn new(seed: u64, plan: Plan) -> Simulation {
        let machines = (1..=plan.machines).map(|machine| Machine {
            me: member(machine, 1),
            start: 0,
            agreement: None,
            bootstrap: machine <= plan.seeds,
            disk: None,
            writes: VecDeque::new(),
            frozen: false,
            inbox: Vec::new(),
            known: BTreeMap::new(),
            view: None,
            synced_in: 0,
            log: Vec::new(),
            tick_at: 0,
        });
        let mut simulation = Simulation {
            seed,
            plan,
            random: Pcg64Mcg::seed_from_u64(seed),
            now: 0,
            sequence: 0,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            free: Vec::new(),
            machines: machines.collect(),
            partitions: Vec::new(),
            faults_ended: false,
            decided: BTreeMap::new(),
            acknowledged: Vec::new(),
            summary: Summary::default(),
            trace: None,
        };
        for machine in 0..simulation.machines.len() {
            let late = machine >= usize::from(plan.seeds);
            let latest = if late { plan.faults_end_at / 2 } else { 300 };
            let at = simulation.random.random_range(1..latest);
            simulation.schedule(at, Event::Start { machine });
        }
        simulation.schedule(plan.fault_interval, Event::Fault);
        simulation.schedule(plan.faults_end_at, Event::FaultsEnd);
        simulation
    }

    /// Runs to the end and checks that all machines have reached the same view after the faults.
    pub fn run(&mut self) {
        while let Some(Reverse((at, _, slot))) = self.queue.pop() {
            if at > self.plan.ends_at {
                break;
            }
            self.now = at;
            let event = self.events[slot].take().expect("scheduled once");
            self.free.push(slot);
            self.handle(event);
        }
        self.check_progress();
        self.summary.views = self.decided.len() as u64;
        self.summary.acknowledged = self.acknowledged.len() as u64;
    }

    fn schedule(&mut self, at: u64, event: Event) {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.events.push(None);
            self.events.len() - 1
        });
        self.events[slot] = Some(event);
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence, slot)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Deliver { from, to, message } => self.deliver(from, to, message),
            Event::WriteDone { machine, start, write_number } => {
                self.write_done(machine, start, write_number);
            }
            Event::Tick { machine, start } => {
                let node = &self.machines[machine];
                if node.start == start && !node.frozen && node.tick_at <= self.now {
                    self.drive(machine, Agreement::tick);
                }
            }
            Event::Host { machine, start } => self.host(machine, start),
            Event::Start { machine } => self.start(machine),
            Event::Thaw { machine } => self.thaw(machine),
            Event::Fault => self.fault(),
            Event::FaultsEnd => self.end_faults(),
        }
    }

    fn start(&mut self, machine: usize) {
        let seeds = addresses(self.plan.seeds);
        let node = &mut self.machines[machine];
        if node.agreement.is_some() {
            return;
        }
        node.start += 1;
        node.agreement = Some(Agreement::new(node.me, node.bootstrap, seeds, node.disk.clone()));
        node.view = node.disk.as_ref().and_then(|disk| disk.view.clone());
        node.synced_in = 0;
        node.known.clear();
        let start = node.start;
        self.schedule(self.now, Event::Host { machine, start });
        self.drive(machine, Agreement::tick);
    }

    /// Ends the process on a machine. Writes that aren't durable are lost.
    fn stop(&mut self, machine: usize) {
        let node = &mut self.machines[machine];
        node.agreement = None;
        node.frozen = false;
        node.writes.clear();
        node.inbox.clear();
        node.start += 1;
    }

    fn deliver(&mut self, from: MemberId, to: MemberId, message: Message) {
        let Some(machine) = self.machines.iter().position(|node| node.me == to) else { return };
        let sender = self.machines.iter().position(|node| node.me.address == from.address).expect("machine");
        if self.partitions.contains(&(sender, machine)) || self.machines[machine].agreement.is_none() {
            return;
        }
        if self.machines[machine].frozen {
            self.machines[machine].inbox.push((from, message));
            return;
        }
        self.summary.messages += 1;
        self.machines[machine].known.insert(sender as u8, from);
        self.drive(machine, |agreement, now, outputs| {
            agreement.message_received(now, from, message, outputs);
        });
    }

    fn write_done(&mut self, machine: usize, start: u32, write_number: WriteNumber) {
        let node = &mut self.machines[machine];
        if node.start != start || node.agreement.is_none() {
            return;
        }
        while node.writes.front().is_some_and(|(earlier, _)| *earlier <= write_number) {
            node.disk = node.writes.pop_front().map(|(_, state)| state);
        }
        if node.frozen {
            // The disk has finished; the process is notified after the thaw.
            self.schedule(self.now + 100, Event::WriteDone { machine, start, write_number });
            return;
        }
        self.drive(machine, |agreement, _, outputs| agreement.write_durable(write_number, outputs));
    }

    fn drive(&mut self, machine: usize, input: impl FnOnce(&mut Agreement, u64, &mut Vec<Output>)) {
        let Some(agreement) = self.machines[machine].agreement.as_mut() else { return };
        let mut outputs = Vec::new();
        input(agreement, self.now, &mut outputs);
        let tick_at = agreement.next_tick_at().max(self.now + 1);
        let view = agreement.view().cloned();
        let start = self.machines[machine].start;
        if self.machines[machine].tick_at != tick_at {
            self.machines[machine].tick_at = tick_at;
            self.schedule(tick_at, Event::Tick { machine, start });
        }
        if let Some(view) = view {
            self.record_decided(&view);
        }
        self.check_confirmation(machine);
        for output in outputs {
            self.execute(machine, output);
        }
    }

    fn execute(&mut self, machine: usize, output: Output) {
        self.record(machine, &output);
        match output {
            Output::Send { to, message } => self.send(machine, to, message),
            Output::Persist { write_number, state } => {
                let hangs = !self.faults_ended && self.random.random_bool(0.005);
                let delay = if hangs { 3_000 } else { self.random.random_range(1..15) };
                let start = self.machines[machine].start;
                self.machines[machine].writes.push_back((write_number, state));
                self.schedule(self.now + delay, Event::WriteDone { machine, start, write_number });
            }
            Output::ViewChanged(view) => {
                let durable = self.machines[machine].disk.as_ref().map_or(0, DurableState::epoch);
                assert!(durable >= view.epoch, "{}: view reported before it was durable", self.context());
                self.machines[machine].view = Some(view);
            }
        }
    }

    fn send(&mut self, machine: usize, to: MemberId, message: Message) {
        let from = self.machines[machine].me;
        let copies = if self.faults_ended {
            1
        } else if self.random.random_bool(self.plan.loss) {
            0
        } else {
            1 + usize::from(self.random.random_bool(0.05))
        };
        for _ in 0..copies {
            let longest = if self.faults_ended { 5 } else { self.plan.delay };
            let straggles = !self.faults_ended && self.random.random_bool(0.01);
            let delay = if straggles {
                self.random.random_range(1..5_000)
            } else {
                self.random.random_range(1..=longest)
            };
            self.schedule(self.now + delay, Event::Deliver { from, to, message: message.clone() });
        }
    }

    /// One step of the host: sends `Hello`s, updates the learners, and advances the model of the chain.
    fn host(&mut self, machine: usize, start: u32) {
        if self.machines[machine].start != start || self.machines[machine].agreement.is_none() {
            return;
        }
        self.schedule(self.now + HOST_INTERVAL, Event::Host { machine, start });
        if self.machines[machine].frozen {
            return;
        }
        if self.now.is_multiple_of(10) || self.machines[machine].known.len() + 1 < self.machines.len() {
            self.send_hellos(machine);
        }
        let node = &mut self.machines[machine];
        let in_chain = |member: &MemberId| node.view.as_ref().is_some_and(|view| view.in_chain(*member));
        let learners: Vec<MemberId> =
            node.known.values().copied().filter(|member| !in_chain(member)).collect();
        if let Some(agreement) = &mut node.agreement {
            agreement.set_learners(&learners);
        }
        self.synchronise(machine);
        self.acknowledge(machine);
    }

    fn send_hellos(&mut self, machine: usize) {
        let Some(hello) = self.machines[machine].agreement.as_ref().map(Agreement::hello) else { return };
        for other in 0..self.machines.len() {
            if other != machine && self.machines[other].agreement.is_some() {
                let to = self.machines[other].me;
                self.send(machine, to, hello.clone());
            }
        }
    }

    fn context(&self) -> String {
        format!("seed {} at {} with {:?}", self.seed, self.now, self.plan)
    }
}

impl Machine {
    fn is_running(&self) -> bool {
        self.agreement.is_some() && !self.frozen
    }

    fn chain_epoch(&self) -> u64 {
        self.view.as_ref().map_or(0, |view| view.epoch)
    }

    fn disk_epoch(&self) -> u64 {
        self.disk.as_ref().map_or(0, DurableState::epoch)
    }
}
