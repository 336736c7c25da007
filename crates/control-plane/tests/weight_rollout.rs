//! Weight roll-out: waves, outcomes, several models on a server, and the lease under which orders are given.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use orchidvalve_control_plane::http_client::{CONNECT_TIMEOUT_MS, ConnectionUse, NEW_USER_TIMEOUT_MS};
use orchidvalve_control_plane::role_lease::{LeaseWaits, RoleLease};
use orchidvalve_control_plane::singleton_roles::{ORDER_ARRIVAL_MS, ORDER_VALIDITY_MS};
use orchidvalve_control_plane::weight_rollout::{LoadOrder, OrderOutcome, RolloutPlanner};
use orchidvalve_protocol::identity::NodeAddress;
use orchidvalve_protocol::messages::ServerEntry;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

const ACCEPTED: OrderOutcome = OrderOutcome::Accepted { already: false };
const ALREADY_HELD: OrderOutcome = OrderOutcome::Accepted { already: true };
/// Durations that the planner uses: of a load, of the pause after a busy server, and until an order is repeated.
const LOAD_MS: u64 = 700;
const BUSY_MS: u64 = 400;
const REPEAT_MS: u64 = 5_000;

fn server(number: u8, service: &str, models: &[(&str, u64)]) -> ServerEntry {
    ServerEntry {
        instance: format!("i-{number}"),
        service: service.to_owned(),
        address: NodeAddress::new(Ipv4Addr::new(10, 0, 1, number), 8080),
        zone: "north".to_owned(),
        slots: 4,
        draining: false,
        models: models.iter().map(|(name, version)| ((*name).to_owned(), *version)).collect(),
    }
}

fn fleet(count: u8) -> Vec<ServerEntry> {
    (0..count).map(|number| server(number, "blue", &[("large", 1)])).collect()
}

fn named(models: &[(&str, u64)]) -> BTreeMap<String, u64> {
    models.iter().map(|(name, version)| ((*name).to_owned(), *version)).collect()
}

fn plan_orders(
    planner: &mut RolloutPlanner,
    now: u64,
    named: &BTreeMap<String, u64>,
    servers: &[ServerEntry],
) -> Vec<LoadOrder> {
    let servers: Vec<&ServerEntry> = servers.iter().collect();
    planner.plan_orders(now, named, &servers)
}

fn order(number: u8, model: &str, version: u64) -> LoadOrder {
    LoadOrder { instance: format!("i-{number}"), model: model.to_owned(), version }
}

#[rstest]
#[case(1, 1)]
#[case(2, 1)]
#[case(3, 1)]
#[case(4, 2)]
#[case(6, 2)]
#[case(7, 3)]
#[case(30, 10)]
fn a_third_of_a_service_loads_at_a_time(#[case] servers: u8, #[case] wave: usize) {
    let mut planner = RolloutPlanner::default();
    let (fleet, named) = (fleet(servers), named(&[("large", 2)]));
    let mut now = 0;
    let mut ordered = Vec::new();
    while ordered.len() < usize::from(servers) {
        let orders = plan_orders(&mut planner, now, &named, &fleet);
        assert!(!orders.is_empty() && orders.len() <= wave, "{} at {now}", orders.len());
        assert_eq!(plan_orders(&mut planner, now, &named, &fleet), [], "the wave is full");
        for order in &orders {
            planner.order_completed(now, order, ACCEPTED);
        }
        assert_eq!(plan_orders(&mut planner, now + LOAD_MS - 1, &named, &fleet), []);
        now += LOAD_MS;
        assert!(planner.finish_due_loads(now));
        ordered.extend(orders);
    }
    ordered.sort_by(|a, b| a.instance.cmp(&b.instance));
    ordered.dedup();
    assert_eq!(ordered.len(), usize::from(servers));
    assert_eq!(plan_orders(&mut planner, now, &named, &fleet), []);
}

#[test]
fn services_have_waves_of_their_own() {
    let mut planner = RolloutPlanner::default();
    let servers = [
        server(1, "blue", &[("large", 1)]),
        server(2, "blue", &[("large", 1)]),
        server(3, "green", &[("large", 1)]),
        server(4, "plain", &[]),
    ];
    let orders = plan_orders(&mut planner, 0, &named(&[("large", 2)]), &servers);
    assert_eq!(orders, [order(1, "large", 2), order(3, "large", 2)]);
}

#[rstest]
#[case::nothing_named(&[], &[("large", 1)], false)]
#[case::another_model(&[("small", 5)], &[("large", 1)], false)]
#[case::listed_already(&[("large", 2)], &[("large", 2)], false)]
#[case::listed_above(&[("large", 2)], &[("large", 3)], false)]
#[case::one_behind(&[("large", 2)], &[("large", 1)], true)]
#[case::far_behind(&[("large", 9)], &[("large", 1)], true)]
fn only_outdated_servers_get_orders(
    #[case] versions: &[(&str, u64)],
    #[case] models: &[(&str, u64)],
    #[case] expected: bool,
) {
    let mut planner = RolloutPlanner::default();
    let orders = plan_orders(&mut planner, 0, &named(versions), &[server(1, "blue", models)]);
    assert_eq!(!orders.is_empty(), expected);
}

#[test]
fn draining_servers_get_no_orders() {
    let mut planner = RolloutPlanner::default();
    let draining = ServerEntry { draining: true, ..server(1, "blue", &[("large", 1)]) };
    assert_eq!(plan_orders(&mut planner, 0, &named(&[("large", 2)]), &[draining]), []);
}

#[rstest]
#[case::busy(OrderOutcome::Busy, BUSY_MS)]
#[case::unknown(OrderOutcome::Unknown, BUSY_MS)]
#[case::refused(OrderOutcome::Refused, REPEAT_MS)]
#[case::accepted_but_not_listed(ACCEPTED, LOAD_MS + REPEAT_MS)]
#[case::held_but_not_listed(ALREADY_HELD, REPEAT_MS)]
fn an_order_is_sent_again_after_a_pause(#[case] outcome: OrderOutcome, #[case] pause: u64) {
    let mut planner = RolloutPlanner::default();
    let (fleet, named) = (fleet(1), named(&[("large", 2)]));
    let first = plan_orders(&mut planner, 1_000, &named, &fleet);
    planner.order_completed(1_000, &first[0], outcome);
    for now in (1_000..1_000 + pause).step_by(50) {
        planner.finish_due_loads(now);
        assert_eq!(plan_orders(&mut planner, now, &named, &fleet), [], "at {now}");
    }
    planner.finish_due_loads(1_000 + pause);
    assert_eq!(plan_orders(&mut planner, 1_000 + pause, &named, &fleet), first);
}

#[test]
fn a_busy_server_frees_its_slot_in_the_wave() {
    let mut planner = RolloutPlanner::default();
    let (fleet, named) = (fleet(3), named(&[("large", 2)]));
    let first = plan_orders(&mut planner, 0, &named, &fleet);
    planner.order_completed(0, &first[0], OrderOutcome::Busy);
    let second = plan_orders(&mut planner, 1, &named, &fleet);
    assert_eq!(second.len(), 1);
    assert_ne!(second[0].instance, first[0].instance);
}

#[test]
fn an_order_without_a_response_keeps_its_slot_in_the_wave() {
    let mut planner = RolloutPlanner::default();
    let (fleet, named) = (fleet(3), named(&[("large", 2)]));
    assert_eq!(plan_orders(&mut planner, 0, &named, &fleet).len(), 1);
    assert_eq!(plan_orders(&mut planner, 10_000, &named, &fleet), []);
}

#[test]
fn models_of_one_server_are_loaded_one_after_the_other() {
    let mut planner = RolloutPlanner::default();
    let servers = [server(1, "blue", &[("large", 1), ("small", 1)])];
    let named = named(&[("large", 2), ("small", 4)]);
    let first = plan_orders(&mut planner, 0, &named, &servers);
    assert_eq!(first, [order(1, "large", 2)]);
    planner.order_completed(0, &first[0], ACCEPTED);
    assert_eq!(plan_orders(&mut planner, LOAD_MS - 1, &named, &servers), []);
    planner.finish_due_loads(LOAD_MS);
    assert_eq!(plan_orders(&mut planner, LOAD_MS, &named, &servers), [order(1, "small", 4)]);
}

#[test]
fn a_refused_model_does_not_block_the_other_model_of_the_server() {
    let mut planner = RolloutPlanner::default();
    let servers = [server(1, "blue", &[("large", 1), ("small", 1)])];
    let named = named(&[("large", 2), ("small", 4)]);
    let first = plan_orders(&mut planner, 0, &named, &servers);
    planner.order_completed(0, &first[0], OrderOutcome::Refused);
    assert_eq!(plan_orders(&mut planner, 1, &named, &servers), [order(1, "small", 4)]);
}

#[test]
fn a_version_named_during_a_load_is_ordered_after_it() {
    let mut planner = RolloutPlanner::default();
    let servers = fleet(1);
    let first = plan_orders(&mut planner, 0, &named(&[("large", 2)]), &servers);
    planner.order_completed(0, &first[0], ACCEPTED);
    assert_eq!(plan_orders(&mut planner, 100, &named(&[("large", 3)]), &servers), []);
    planner.finish_due_loads(LOAD_MS);
    assert_eq!(plan_orders(&mut planner, LOAD_MS, &named(&[("large", 3)]), &servers), [order(0, "large", 3)]);
}

#[test]
fn a_loaded_version_counts_as_held_until_the_list_shows_it() {
    let mut planner = RolloutPlanner::default();
    let servers = fleet(1);
    let first = plan_orders(&mut planner, 0, &named(&[("large", 2)]), &servers);
    assert_eq!(planner.held_version(0, &servers[0], "large", 1), 1);
    planner.order_completed(0, &first[0], ACCEPTED);
    assert_eq!(planner.held_version(LOAD_MS - 1, &servers[0], "large", 1), 1);
    planner.finish_due_loads(LOAD_MS);
    assert_eq!(planner.held_version(LOAD_MS, &servers[0], "large", 1), 2);
    assert_eq!(planner.held_version(LOAD_MS + REPEAT_MS, &servers[0], "large", 1), 1);
    assert_eq!(planner.held_version(LOAD_MS, &servers[0], "large", 3), 3);
}

#[test]
fn a_reset_planner_repeats_orders_and_learns_the_held_versions() {
    let mut planner = RolloutPlanner::default();
    let (fleet, named) = (fleet(3), named(&[("large", 2)]));
    let first = plan_orders(&mut planner, 0, &named, &fleet);
    planner.order_completed(0, &first[0], ACCEPTED);
    planner.reset();
    let again = plan_orders(&mut planner, 100, &named, &fleet);
    assert_eq!(again, first);
    planner.order_completed(100, &again[0], ALREADY_HELD);
    assert_eq!(plan_orders(&mut planner, 101, &named, &fleet), [order(1, "large", 2)]);
}

/// The host sleeps until `next_wakeup`. A time in the past would make the event loop spin.
#[rstest]
#[case::listed_meanwhile(OrderOutcome::Busy, 2, &[0])]
#[case::refused_and_gone(OrderOutcome::Refused, 1, &[])]
#[case::unknown_and_gone(OrderOutcome::Unknown, 1, &[])]
#[case::draining(OrderOutcome::Busy, 1, &[1])]
fn no_wakeup_lies_in_the_past(#[case] outcome: OrderOutcome, #[case] listed: u64, #[case] stays: &[u8]) {
    let mut planner = RolloutPlanner::default();
    let named = named(&[("large", 2)]);
    let first = plan_orders(&mut planner, 0, &named, &fleet(1));
    planner.order_completed(0, &first[0], outcome);
    let after: Vec<ServerEntry> = stays
        .iter()
        .map(|draining| ServerEntry { draining: *draining == 1, ..server(0, "blue", &[("large", listed)]) })
        .collect();
    let now = 60_000;
    planner.finish_due_loads(now);
    plan_orders(&mut planner, now, &named, &after);
    assert!(planner.next_wakeup().is_none_or(|at| at > now), "{:?}", planner.next_wakeup());
}

/// The same while another server holds the only slot of the wave, and while no order may be given at all.
#[test]
fn no_wakeup_lies_in_the_past_while_no_order_may_be_sent() {
    let mut planner = RolloutPlanner::default();
    let named = named(&[("large", 2)]);
    let first = plan_orders(&mut planner, 0, &named, &fleet(1));
    planner.order_completed(0, &first[0], OrderOutcome::Busy);
    planner.finish_due_loads(10_000);
    assert!(planner.next_wakeup().is_none_or(|at| at > 10_000));
}

/// Servers accept, reject or lose orders at random. At most one order per server and a third of a service load at a time,
/// and all servers reach the latest versions.
#[rstest]
fn random_servers_reach_the_latest_versions(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut planner = RolloutPlanner::default();
    let mut servers: Vec<ServerEntry> = (0..random.random_range(2..12))
        .map(|n| server(n, if n % 2 == 0 { "blue" } else { "green" }, &[("large", 1), ("small", 1)]))
        .collect();
    let mut versions = named(&[("large", 2)]);
    // Per server: model, version and end of the load in progress.
    let mut loads: BTreeMap<String, (String, u64, u64)> = BTreeMap::new();
    let mut now = 0;
    while now < 120_000 {
        now += random.random_range(1..60);
        if now < 40_000 && random.random_bool(0.01) {
            let model = if random.random_bool(0.5) { "large" } else { "small" };
            *versions.entry(model.to_owned()).or_insert(1) += 1;
        }
        for server in &mut servers {
            let done = loads.get(&server.instance).is_some_and(|(_, _, end)| *end + 300 <= now);
            if done && let Some((model, version, _)) = loads.remove(&server.instance) {
                let entry = server.models.iter_mut().find(|(m, _)| *m == model).unwrap();
                entry.1 = version;
            }
        }
        planner.finish_due_loads(now);
        for order in plan_orders(&mut planner, now, &versions, &servers) {
            let busy = loads.get(&order.instance).is_some_and(|(_, _, end)| now < *end);
            let outcome = match random.random_range(0..10) {
                0 => OrderOutcome::Unknown,
                1 => OrderOutcome::Busy,
                _ if busy => OrderOutcome::Busy,
                _ => {
                    let load = (order.model.clone(), order.version, now + 600);
                    loads.insert(order.instance.clone(), load);
                    ACCEPTED
                }
            };
            planner.order_completed(now, &order, outcome);
        }
        let loading = |service: &str| {
            let of_service = servers.iter().filter(|s| s.service == service);
            let all = of_service.clone().count();
            let busy = of_service.filter(|s| loads.get(&s.instance).is_some_and(|(_, _, end)| now < *end));
            (busy.count(), all.div_ceil(3))
        };
        for service in ["blue", "green"] {
            let (busy, most) = loading(service);
            assert!(busy <= most, "{busy} of {service} load at {now}, at most {most} may");
        }
    }
    for server in &servers {
        for (model, version) in &server.models {
            assert_eq!(versions.get(model).unwrap_or(&1), version, "{model} of {}", server.instance);
        }
    }
}

const LEASE_MS: u64 = 3_000;
const VALIDITY_MS: u64 = ORDER_VALIDITY_MS;

/// A step of a lease test: a view (time, epoch, same head), another head, or a check (time, last confirmation, expected
/// epoch).
enum LeaseStep {
    Begin(u64, u64, bool),
    End,
    Check(u64, Option<u64>, Option<u64>),
}

use LeaseStep::{Begin, Check, End};

fn wait_for(after_another_head: u64) -> LeaseWaits {
    LeaseWaits { after_another_head, after_own_process: 0, after_own_term: 0 }
}

/// Calls that the process before has written may still arrive under a lower term, as may calls of the view before.
#[test]
fn a_new_term_waits_for_calls_of_the_former_one() {
    let mut lease = RoleLease::default();
    let (after_own_process, after_own_term) = (NEW_USER_TIMEOUT_MS, 600);
    let waits = LeaseWaits { after_another_head: LEASE_MS, after_own_process, after_own_term };
    lease.acquire(1_000, 4, true, waits);
    assert_eq!(lease.valid_epoch(1_299, Some(1_299), VALIDITY_MS), None);
    assert_eq!(lease.valid_epoch(1_300, Some(1_300), VALIDITY_MS), Some(4));
    lease.acquire(1_400, 5, true, waits);
    assert_eq!(lease.valid_epoch(1_999, Some(1_999), VALIDITY_MS), None);
    assert_eq!(lease.valid_epoch(2_000, Some(2_000), VALIDITY_MS), Some(5));
}

#[rstest]
#[case::never_head(&[Check(5_000, Some(5_000), None)])]
#[case::first_view(&[Begin(1_000, 1, true), Check(1_000, Some(1_000), Some(1))])]
#[case::after_another_head(&[Begin(1_000, 4, false), Check(3_999, Some(3_999), None), Check(4_000, Some(4_000), Some(4))])]
#[case::same_head_in_the_next_view(&[Begin(1_000, 4, false), Check(4_000, Some(4_000), Some(4)), Begin(5_000, 5, true),
    Check(5_000, Some(5_000), Some(5))])]
#[case::same_head_before_the_lease_is_over(&[Begin(1_000, 4, false), Begin(2_000, 5, true), Check(3_999, Some(3_999), None),
    Check(4_000, Some(4_000), Some(5))])]
#[case::skipped_view(&[Begin(1_000, 1, true), Begin(5_000, 3, false), Check(7_999, Some(7_999), None), Check(8_000, Some(8_000), Some(3))])]
#[case::deposed(&[Begin(1_000, 1, true), End, Check(1_100, Some(1_100), None)])]
#[case::deposed_and_head_again(&[Begin(1_000, 1, true), End, Begin(5_000, 3, false), Check(5_100, Some(5_100), None), Check(8_000, Some(8_000), Some(3))])]
#[case::never_confirmed(&[Begin(1_000, 1, true), Check(1_100, None, None)])]
#[case::confirmed_too_long_ago(&[Begin(1_000, 1, true), Check(1_449, Some(1_000), Some(1)), Check(1_450, Some(1_000), None)])]
#[case::frozen(&[Begin(1_000, 1, true), Check(1_100, Some(1_050), Some(1)), Check(60_000, Some(1_050), None)])]
fn a_leader_gives_orders_only_under_its_lease(#[case] steps: &[LeaseStep]) {
    let mut lease = RoleLease::default();
    for step in steps {
        match *step {
            Begin(now, epoch, was_head) => lease.acquire(now, epoch, was_head, wait_for(LEASE_MS)),
            End => lease.release(),
            Check(now, confirmed, expected) => {
                assert_eq!(lease.valid_epoch(now, confirmed, VALIDITY_MS), expected, "at {now}");
            }
        }
    }
}

/// Two successive leaders never give orders at the same time, no matter when the second one enters its view and how long the
/// first one was frozen, provided that the first one is not confirmed after the view of the second one was decided.
#[rstest]
fn two_leaders_never_overlap(#[values(0, 1, 300, 449, 450, 2_000)] frozen: u64) {
    let (decided, confirmed) = (10_000, 9_999);
    let mut first = RoleLease::default();
    first.acquire(1_000, 1, true, wait_for(LEASE_MS));
    let mut second = RoleLease::default();
    second.acquire(decided, 2, false, wait_for(LEASE_MS));
    for now in decided..decided + 10_000 {
        let old = first.valid_epoch(now + frozen, Some(confirmed), VALIDITY_MS);
        let new = second.valid_epoch(now, Some(now), VALIDITY_MS);
        assert!(old.is_none() || new.is_none(), "both at {now}");
    }
}

/// Orders of two successive leaders reach a server at least a lease apart, even if the last order of the first leader was
/// lost and retransmitted by the operating system.
#[test]
fn orders_of_successive_leaders_arrive_a_lease_apart() {
    let (decided, confirmed) = (10_000, 9_999);
    let mut first = RoleLease::default();
    first.acquire(1_000, 1, true, wait_for(LEASE_MS));
    let last_given = (confirmed..decided + LEASE_MS)
        .filter(|now| first.valid_epoch(*now, Some(confirmed), ORDER_VALIDITY_MS).is_some())
        .max()
        .expect("the leader gives orders while it is confirmed");
    let retransmitted = ConnectionUse::New.user_timeout().as_millis() as u64;
    let arrives = last_given + CONNECT_TIMEOUT_MS + retransmitted;
    let mut second = RoleLease::default();
    second.acquire(decided, 2, false, wait_for(LEASE_MS + ORDER_ARRIVAL_MS));
    let next = (decided..decided + 3 * LEASE_MS)
        .find(|now| second.valid_epoch(*now, Some(*now), ORDER_VALIDITY_MS).is_some())
        .expect("the next leader gives orders eventually");
    assert!(next >= arrives + LEASE_MS, "at {arrives} and at {next}");
}

#[rstest]
#[case::started(Some(202), OrderOutcome::Accepted { already: false })]
#[case::holds_already(Some(200), OrderOutcome::Accepted { already: true })]
#[case::another_is_in_progress(Some(409), OrderOutcome::Busy)]
#[case::lower_fencing_token(Some(412), OrderOutcome::Refused)]
#[case::another_server(Some(421), OrderOutcome::Refused)]
#[case::no_such_order(Some(400), OrderOutcome::Refused)]
#[case::no_response(None, OrderOutcome::Unknown)]
fn each_status_maps_to_one_outcome(#[case] status: Option<u16>, #[case] outcome: OrderOutcome) {
    assert_eq!(OrderOutcome::from_status(status), outcome);
}
