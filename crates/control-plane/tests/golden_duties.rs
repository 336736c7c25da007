//! Recorded decisions of the singleton roles and of other parts of the head: placement of partitions, weight orders, leases,
//! sessions, workers, redirects and disk hangs. The inputs are random with fixed seeds; the encoded decisions are recorded.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};

use orchidvalve_control_plane::disk_hang::DiskHangDetector;
use orchidvalve_control_plane::node::RetirementVerdict;
use orchidvalve_control_plane::placement::{
    CaughtUp, LiveStoreNode, PlacementInput, can_remove_store_node, initial_placement, is_partition_lost,
    plan,
};
use orchidvalve_control_plane::redirector::{Redirection, Redirector};
use orchidvalve_control_plane::role_lease::{LeaseWaits, RoleLease};
use orchidvalve_control_plane::sessions::{Session, SessionTable};
use orchidvalve_control_plane::singleton_roles::{
    SingletonRoleOptions, SingletonRoles, may_retire, registrations,
};
use orchidvalve_control_plane::weight_rollout::{LoadOrder, OrderOutcome, RolloutPlanner};
use orchidvalve_control_plane::workers::{Candidate, SlotTotals, WorkerSelection, select};
use orchidvalve_control_state::{Change, ControlState, Placement};
use orchidvalve_golden::{Trace, check_hashes};
use orchidvalve_http::{MessageLimits, Request, RequestReader};
use orchidvalve_protocol::frames::encode;
use orchidvalve_protocol::identity::{MemberId, NodeAddress};
use orchidvalve_protocol::messages::{
    GatewayList, Handshake, PROTOCOL_VERSION, Role, ServerEntry, StoreHealth, TableVersion,
};
use orchidvalve_protocol::server_table::ServerTable;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const ZONES: [&str; 3] = ["a", "b", "c"];

fn check(name: &str, seeds: u64, run: impl Fn(&mut Pcg64Mcg, &mut Trace)) {
    let hash = |seed: u64| {
        let mut trace = Trace::new();
        run(&mut Pcg64Mcg::seed_from_u64(seed), &mut trace);
        (format!("seed-{seed}"), trace.finish())
    };
    let hashes: Vec<(String, u64)> = (0..seeds).map(hash).collect();
    let file: PathBuf = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name);
    check_hashes(&file, &hashes);
}

fn address(number: u8) -> NodeAddress {
    NodeAddress::new(Ipv4Addr::new(10, 0, 2, number), 7000)
}

fn member(number: u8, disk: u64) -> MemberId {
    MemberId { address: address(number), disk }
}

fn zone(number: u8) -> String {
    ZONES[usize::from(number) % ZONES.len()].to_owned()
}

/// Store nodes start, fail, lose disks and fill up; learners and members report at random.
fn place_partitions(random: &mut Pcg64Mcg, trace: &mut Trace) {
    let copies = random.random_range(1..=3);
    let mut stores: Vec<(bool, LiveStoreNode)> = (0..7)
        .map(|number| {
            let live = LiveStoreNode {
                member: member(number, 1),
                zone: zone(number),
                retiring: false,
                is_full: false,
                disk_failing: false,
            };
            (true, live)
        })
        .collect();
    let (mut partitions, mut reports): (Vec<Placement>, _) = (Vec::new(), BTreeSet::new());
    for step in 0..400 {
        let index = random.random_range(0..stores.len());
        let (is_up, store) = &mut stores[index];
        match random.random_range(0..40) {
            0..4 => *is_up = !*is_up,
            4..20 => *is_up = true,
            20 => store.member.disk += 1,
            21..23 => store.retiring = !store.retiring,
            23 => store.is_full = !store.is_full,
            24 => store.disk_failing = !store.disk_failing,
            _ => {}
        }
        for (partition, placement) in (0u16..).zip(&partitions) {
            for member in placement.members.iter().chain(&placement.learners) {
                if random.random_bool(0.2) {
                    reports.insert(CaughtUp { partition, epoch: placement.epoch, member: *member });
                }
            }
        }
        let live: Vec<LiveStoreNode> =
            stores.iter().filter(|(is_up, _)| *is_up).map(|(_, store)| store.clone()).collect();
        let none = BTreeSet::new();
        let input = PlacementInput { live: &live, caught_up: &reports, copies, lost: &none };
        let lost: BTreeSet<u16> = (0u16..)
            .zip(&partitions)
            .filter(|(partition, placement)| is_partition_lost(*partition, placement, &input))
            .map(|(partition, _)| partition)
            .collect();
        lost.iter().for_each(|partition| trace.add_number(u64::from(*partition)));
        let lost = if random.random_bool(0.1) { lost } else { BTreeSet::new() };
        let input = PlacementInput { lost: &lost, ..input };
        let changes =
            if partitions.is_empty() { initial_placement(&input) } else { plan(&partitions, &input) };
        trace.add_number(step);
        trace.add(&encode(&Change::Place(changes.clone())));
        for (partition, placement) in changes {
            match partitions.get_mut(usize::from(partition)) {
                Some(current) => *current = placement,
                None => partitions.push(placement),
            }
        }
        let empty =
            stores.iter().map(|(_, store)| u64::from(can_remove_store_node(&store.member, &partitions)));
        empty.for_each(|empty| trace.add_number(empty));
    }
}

#[test]
fn placements_are_as_recorded() {
    check("placements.txt", 60, place_partitions);
}

fn server(number: u8, random: &mut Pcg64Mcg) -> ServerEntry {
    let models = random.random_range(0..3);
    ServerEntry {
        instance: format!("i-{number}"),
        service: ["blue", "green"][usize::from(number % 2)].to_owned(),
        address: address(100 + number),
        zone: zone(number),
        slots: random.random_range(1..9),
        draining: false,
        models: (0..models).map(|model| (format!("model-{model}"), 1)).collect(),
    }
}

fn outcome(random: &mut Pcg64Mcg) -> OrderOutcome {
    let statuses =
        [Some(202), Some(202), Some(202), Some(200), Some(409), Some(503), Some(412), Some(400), None];
    OrderOutcome::from_status(statuses[random.random_range(0..statuses.len())])
}

fn add_order(trace: &mut Trace, order: &LoadOrder) {
    trace.add(order.instance.as_bytes());
    trace.add(order.model.as_bytes());
    trace.add_number(order.version);
}

/// Servers load, refuse, do not respond, drain and show up late in the list, while versions are named.
fn order_weights(random: &mut Pcg64Mcg, trace: &mut Trace) {
    let mut servers: Vec<ServerEntry> = (0..random.random_range(1..20)).map(|n| server(n, random)).collect();
    let mut planner = RolloutPlanner::default();
    let mut named: BTreeMap<String, u64> = BTreeMap::new();
    let (mut now, mut open): (u64, Vec<LoadOrder>) = (1_000, Vec::new());
    for _ in 0..300 {
        now += random.random_range(1..250);
        if random.random_bool(0.05) {
            *named.entry(format!("model-{}", random.random_range(0..2))).or_insert(1) += 1;
        }
        if random.random_bool(0.02) {
            let allowed_lags = (0..2).map(|model| (format!("model-{model}"), random.random_range(0..3)));
            planner.set_allowed_lags(allowed_lags.collect());
        }
        let index = random.random_range(0..servers.len());
        if random.random_bool(0.03) {
            servers[index].draining = !servers[index].draining;
        }
        if random.random_bool(0.3) {
            let models = servers[index].models.clone();
            for (position, (model, listed)) in models.iter().enumerate() {
                servers[index].models[position].1 =
                    planner.held_version(now, &servers[index], model, *listed);
            }
        }
        if random.random_bool(0.005) {
            planner.reset();
            open.clear();
        }
        trace.add_number(u64::from(planner.finish_due_loads(now)));
        for instance in planner.due_probes(now) {
            trace.add(instance.as_bytes());
            if random.random_bool(0.7) {
                let busy = random.random_bool(0.3);
                planner.probe_completed(now, &instance, busy);
            }
        }
        let listed: Vec<&ServerEntry> = servers.iter().collect();
        let orders = planner.plan_orders(now, &named, &listed);
        orders.iter().for_each(|order| add_order(trace, order));
        open.extend(orders);
        let (completed, waiting): (Vec<LoadOrder>, Vec<LoadOrder>) =
            open.drain(..).partition(|_| random.random_bool(0.7));
        open = waiting;
        for order in completed {
            planner.order_completed(now, &order, outcome(random));
        }
        trace.add_number(planner.next_wakeup().unwrap_or(u64::MAX));
        for server in &servers {
            for (model, listed) in &server.models {
                trace.add_number(u64::from(planner.is_loading_model(now, &server.instance, model)));
                trace.add_number(planner.held_version(now, server, model, *listed));
            }
        }
    }
}

#[test]
fn weight_orders_are_as_recorded() {
    check("orders.txt", 40, order_weights);
}

/// Views with and without this node as the head, and confirmations that arrive late or not at all.
fn hold_lease(random: &mut Pcg64Mcg, trace: &mut Trace) {
    let (mut lease, mut now, mut epoch, mut confirmed) = (RoleLease::default(), 1_000, 0, None);
    for _ in 0..300 {
        now += random.random_range(1..300);
        match random.random_range(0..10) {
            0 => {
                epoch += 1;
                let was_head = random.random_bool(0.5);
                let after_another_head = random.random_range(0..2_000);
                let waits = LeaseWaits { after_another_head, after_own_process: 0, after_own_term: 0 };
                lease.acquire(now, epoch, was_head, waits);
            }
            1 => lease.release(),
            2..8 => confirmed = Some(now - random.random_range(0..200)),
            _ => {}
        }
        let valid_epoch = lease.valid_epoch(now, confirmed, random.random_range(1..500));
        trace.add_number(valid_epoch.unwrap_or(u64::MAX));
    }
}

#[test]
fn leases_are_as_recorded() {
    check("holders.txt", 20, hold_lease);
}

fn session(random: &mut Pcg64Mcg) -> Session {
    let number = random.random_range(0..6);
    let role = [Role::Gateway, Role::Store, Role::Control][random.random_range(0..3)];
    let handshake = Handshake {
        version: PROTOCOL_VERSION,
        role,
        name: format!("machine-{number}"),
        zone: zone(number),
        member: member(number, random.random_range(1..3)),
        incarnation: random.random_range(1..4),
        cpu_share: 0.25,
    };
    let health = StoreHealth {
        disk_failing: random.random_bool(0.1),
        used_bytes: random.random_range(0..100),
        capacity_bytes: 100,
        draining: random.random_bool(0.1),
    };
    Session { health: random.random_bool(0.7).then_some(health), ..Session::new(&handshake) }
}

fn add_sessions(trace: &mut Trace, sessions: &SessionTable, now: u64) {
    for session in sessions.sessions() {
        trace.add(&encode(session));
    }
    for session in sessions.local(now) {
        trace.add(&encode(&session));
    }
    for session in sessions.gateways() {
        trace.add(session.name.as_bytes());
    }
}

/// Changes the sessions of the system at random.
fn change_sessions(random: &mut Pcg64Mcg, sessions: &mut SessionTable, now: u64) {
    match random.random_range(0..4) {
        0 => sessions.open(session(random), now),
        1 => sessions.close(&session(random), now),
        _ => {
            let reporter = member(200 + random.random_range(0..3), 1);
            let reported = (0..random.random_range(0..6)).map(|_| session(random)).collect();
            sessions.apply_report(reporter, reported, now);
        }
    }
}

fn keep_sessions(random: &mut Pcg64Mcg, trace: &mut Trace) {
    let (mut sessions, mut now) = (SessionTable::default(), 1_000);
    for _ in 0..200 {
        now += random.random_range(1..400);
        change_sessions(random, &mut sessions, now);
        trace.add_number(u64::from(sessions.expire(now)));
        add_sessions(trace, &sessions, now);
    }
}

#[test]
fn sessions_are_as_recorded() {
    check("sessions.txt", 40, keep_sessions);
}

/// Runs the placement role of the head while sessions change: the changes of the control state, the decisions on
/// retirements, and the registrations.
fn run_placement_role(random: &mut Pcg64Mcg, trace: &mut Trace) {
    let options = SingletonRoleOptions {
        name: "control".to_owned(),
        platform: None,
        lease_ms: 1_000,
        tolerance: 1,
        ..SingletonRoleOptions::default()
    };
    let mut roles = SingletonRoles::new(options);
    let (mut sessions, mut state, mut now) = (SessionTable::default(), ControlState::default(), 1_000);
    roles.view_changed(now, 1, true, random.random_bool(0.5));
    for number in 1..300 {
        now += random.random_range(1..400);
        change_sessions(random, &mut sessions, now);
        sessions.expire(now);
        match random.random_range(0..60) {
            0 => roles.set_has_quorum(now, false),
            1..40 => roles.set_has_quorum(now, true),
            40 => roles.view_changed(now, number, random.random_bool(0.8), random.random_bool(0.5)),
            41 => {
                drop(state.apply(&Change::Retire { name: format!("machine-{}", random.random_range(0..6)) }));
            }
            _ => {}
        }
        for (partition, placement) in (0u16..).zip(state.partitions()) {
            for member in placement.members.iter().chain(&placement.learners) {
                if random.random_bool(0.2) {
                    roles.learner_caught_up(partition, placement.epoch, *member);
                }
            }
        }
        let mut changes = registrations(&state, &sessions);
        changes.extend(roles.place(now, &state, &sessions));
        for change in changes {
            trace.add(&encode(&change));
            trace.add_number(u64::from(state.apply(&change).is_ok()));
        }
        let name = format!("machine-{}", random.random_range(0..7));
        trace.add_number(match roles.retirement(now, &state, &sessions, &name) {
            RetirementVerdict::Allowed => 0,
            RetirementVerdict::TooFewRemain => 1,
            RetirementVerdict::Undetermined => 2,
        });
        trace.add_number(u64::from(may_retire(&state, &sessions, &name, 1)));
        trace.add_number(u64::from(roles.is_session_grace_over(now)));
        trace.add_number(roles.next_wakeup());
        trace.add_number(u64::from(roles.may_act(now, Some(now - 100))));
    }
    trace.add(&encode(&state.snapshot()));
}

#[test]
fn the_placement_role_acts_as_recorded() {
    check("placement-duty.txt", 30, run_placement_role);
}

fn choose_workers(random: &mut Pcg64Mcg, trace: &mut Trace) {
    let (mut sessions, mut table) = (SessionTable::default(), ServerTable::default());
    let (mut workers, mut now, mut term) = (WorkerSelection::default(), 1_000, 1);
    for _ in 0..100 {
        now += random.random_range(1..400);
        change_sessions(random, &mut sessions, now);
        sessions.expire(now);
        match random.random_range(0..12) {
            0 => term += 1,
            1..4 => {
                let servers = (0..random.random_range(0..8)).map(|n| server(n, random)).collect();
                table.replace(term, servers);
            }
            4 => {
                let version = TableVersion { term, number: random.random_range(1..5) };
                let gateways = (0..3).map(|_| address(random.random_range(0..6))).collect();
                trace.add_number(u64::from(workers.adopt(GatewayList { version, gateways })));
            }
            _ => {}
        }
        let changed = workers.select(term, &sessions, random.random_bool(0.2), &table);
        trace.add_number(u64::from(changed));
        trace.add(&encode(workers.list()));
        let slots = SlotTotals::of(&table);
        let candidates = (0..random.random_range(0..30))
            .map(|number| Candidate { address: address(number), cpu_share: random.random_range(0.01..1.0) })
            .collect();
        for worker in select(candidates, slots) {
            trace.add(&encode(&worker));
        }
    }
}

#[test]
fn workers_are_as_recorded() {
    check("workers.txt", 30, choose_workers);
}

fn request() -> Request {
    let limits = MessageLimits { header_bytes: 1 << 16, body_bytes: 1 << 20 };
    let text = b"GET /v1/configuration?x=1 HTTP/1.1\r\nHost: control\r\n\r\n";
    RequestReader::default().read(text, &limits).unwrap().request.unwrap()
}

fn redirect(random: &mut Pcg64Mcg, trace: &mut Trace) {
    let own = SocketAddrV4::new(Ipv4Addr::new(10, 0, 2, 1), 8081);
    let mut redirector = Redirector::new(own);
    for _ in 0..40 {
        if random.random_bool(0.3) {
            let members: Vec<NodeAddress> =
                (0..random.random_range(0..4)).map(|_| address(random.random_range(2..9))).collect();
            let session_node = random.random_bool(0.5).then(|| address(9));
            redirector.set_members(session_node, &members);
        }
        match redirector.redirect(&request()) {
            Redirection::To(location) => trace.add(location.as_bytes()),
            Redirection::Unavailable => trace.add_number(0),
        }
    }
}

#[test]
fn redirections_are_as_recorded() {
    check("redirections.txt", 10, redirect);
}

fn observe_disk(random: &mut Pcg64Mcg, trace: &mut Trace) {
    let (mut detector, mut now, mut durable) = (DiskHangDetector::default(), 1_000, 0);
    for _ in 0..300 {
        now += random.random_range(1..200);
        durable += u64::from(random.random_bool(0.2));
        trace.add_number(u64::from(detector.observe(now, durable, random.random_bool(0.9))));
    }
}

#[test]
fn hanging_disks_are_as_recorded() {
    check("hanging-disks.txt", 10, observe_disk);
}
