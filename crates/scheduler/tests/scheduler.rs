//! The rules of first attempts, hedges and cancellations.

use std::collections::BTreeSet;

use orchidvalve_scheduler::{
    BUDGET_WINDOW_MS, Decision, Eligibility, GenerationId, GroupKey, GroupSpec, PoolKey, Priority, RouteKey,
    Scheduler,
};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

const TARGET_MS: u64 = 8_000;
const QUARTER_MS: u64 = TARGET_MS / 4;
/// The size of a group that is large enough to give a hedge budget.
const LARGE: u32 = 40;

#[derive(Default)]
struct Host {
    ineligible: BTreeSet<u32>,
    not_idempotent: bool,
    class: Option<u64>,
}

impl Eligibility<u32> for Host {
    fn eligible(&self, _: GenerationId, server: u32) -> bool {
        !self.ineligible.contains(&server)
    }
    fn is_idempotent(&self, _: GenerationId) -> bool {
        !self.not_idempotent
    }
    fn eligibility_class(&self, _: GenerationId) -> Option<u64> {
        self.class
    }
}

const POOL: PoolKey = PoolKey(1);
const ROUTE: RouteKey = RouteKey(1);

fn priority(due_at: u64, group_index: u64) -> Priority {
    Priority { due_at, group_index }
}

fn spec(key: u32, generations: u32) -> GroupSpec {
    GroupSpec {
        key: GroupKey(key),
        priority: priority(0, key.into()),
        pool: POOL,
        route: ROUTE,
        target_run_ms: TARGET_MS,
        generations,
    }
}

fn scheduler(servers: u32, limit: u32) -> Scheduler<u32> {
    let mut scheduler = Scheduler::new(Pcg64Mcg::new(11));
    (0..servers).for_each(|server| scheduler.set_server(server, POOL, limit));
    scheduler
}

fn dispatch(scheduler: &mut Scheduler<u32>, now: u64, host: &Host) -> Vec<Decision<u32>> {
    let mut out = Vec::new();
    scheduler.dispatch(now, host, &mut out);
    out
}

fn generation(group: u32, index: u32) -> GenerationId {
    GenerationId { group: GroupKey(group), index }
}

fn finish(scheduler: &mut Scheduler<u32>, now: u64, which: GenerationId) -> Vec<Decision<u32>> {
    let server = scheduler.servers(which).next().expect("it runs");
    let mut out = Vec::new();
    scheduler.finished(now, which, server, &mut out);
    out
}

/// A large group of which all generations have finished except the first `left`.
fn endgame(servers: u32, left: u32, took_ms: u64) -> Scheduler<u32> {
    let mut scheduler = scheduler(servers, LARGE);
    scheduler.add_group(&spec(1, LARGE));
    assert_eq!(dispatch(&mut scheduler, 0, &Host::default()).len(), LARGE as usize);
    (left..LARGE).for_each(|index| assert!(finish(&mut scheduler, took_ms, generation(1, index)).is_empty()));
    scheduler
}

/// Like [`endgame`], but with too few latencies for the hedge delay to use them.
fn early_endgame(servers: u32, left: u32) -> Scheduler<u32> {
    let mut scheduler = scheduler(servers, LARGE);
    scheduler.add_group(&spec(1, LARGE));
    dispatch(&mut scheduler, 0, &Host::default());
    let mut out = Vec::new();
    (left..LARGE).for_each(|index| scheduler.settle(generation(1, index), &mut out));
    scheduler
}

/// Guards against hedges at the service from which a route was moved: the pool is a property of each group.
#[rstest]
#[case::route_moved_after_its_groups_ended(0)]
#[case::route_moved_while_a_group_is_open(1)]
fn hedges_of_a_moved_route_go_to_the_pool_of_their_group(#[case] left: u32) {
    const NEW_POOL: PoolKey = PoolKey(2);
    const LATENCY_MS: u64 = 100;
    let old_servers = 0..4;
    let new_servers = 10..14;
    let mut scheduler = endgame(4, left, LATENCY_MS);
    new_servers.clone().for_each(|server| scheduler.set_server(server, NEW_POOL, LARGE));
    scheduler.add_group(&GroupSpec { pool: NEW_POOL, ..spec(2, 1) });
    let mut decisions = dispatch(&mut scheduler, LATENCY_MS, &Host::default());
    assert_eq!(scheduler.next_wakeup(LATENCY_MS), Some(2 * LATENCY_MS));
    decisions.extend(dispatch(&mut scheduler, 2 * LATENCY_MS, &Host::default()));
    let hedges_in = |servers: &std::ops::Range<u32>, group: u32| -> u32 {
        let is_hedge = |decision: &&Decision<u32>| match decision {
            Decision::Hedge { generation, server } => {
                generation.group == GroupKey(group) && servers.contains(server)
            }
            _ => false,
        };
        decisions.iter().filter(is_hedge).count() as u32
    };
    assert_eq!((hedges_in(&old_servers, 1), hedges_in(&new_servers, 1)), (left, 0), "{decisions:?}");
    assert_eq!((hedges_in(&old_servers, 2), hedges_in(&new_servers, 2)), (0, 1), "{decisions:?}");
}

#[test]
fn starts_spread_evenly_over_servers() {
    let mut scheduler = scheduler(5, 10);
    scheduler.add_group(&spec(1, 15));
    dispatch(&mut scheduler, 0, &Host::default());
    assert!((0..5).all(|server| scheduler.in_flight(server) == 3));
}

#[rstest]
#[case::capacity_bounds(3, 2, &[], 20, 6)]
#[case::ineligible_servers_get_nothing(3, 2, &[0], 20, 4)]
#[case::no_eligible_servers(3, 2, &[0, 1, 2], 20, 0)]
#[case::no_servers(0, 2, &[], 20, 0)]
#[case::few_generations(3, 2, &[], 4, 4)]
fn starts_are_bounded(
    #[case] servers: u32,
    #[case] limit: u32,
    #[case] ineligible: &[u32],
    #[case] generations: u32,
    #[case] started: usize,
    #[values(None, Some(3))] class: Option<u64>,
) {
    let mut scheduler = scheduler(servers, limit);
    scheduler.add_group(&spec(1, generations));
    let host = Host { ineligible: ineligible.iter().copied().collect(), class, ..Host::default() };
    let out = dispatch(&mut scheduler, 0, &host);
    assert_eq!(out.len(), started);
    assert!(out.iter().all(|decision| matches!(decision, Decision::Start { .. })));
    assert!(dispatch(&mut scheduler, 0, &host).is_empty(), "nothing is started twice");
}

#[test]
fn higher_priority_goes_first_and_groups_stay_together() {
    let mut scheduler = scheduler(1, 3);
    scheduler.add_group(&GroupSpec { priority: priority(20, 0), ..spec(1, 2) });
    scheduler.add_group(&GroupSpec { priority: priority(10, 1), ..spec(2, 2) });
    scheduler.add_group(&GroupSpec { priority: priority(10, 0), ..spec(3, 2) });
    let started = |decision: &Decision<u32>| match decision {
        Decision::Start { generation, .. } => (generation.group.0, generation.index),
        other => panic!("{other:?}"),
    };
    let out = dispatch(&mut scheduler, 0, &Host::default());
    assert_eq!(out.iter().map(started).collect::<Vec<_>>(), [(3, 0), (3, 1), (2, 0)]);
}

#[test]
fn a_failed_generation_is_pending_for_another_server() {
    let mut scheduler = scheduler(2, 1);
    scheduler.add_group(&spec(1, 1));
    let Decision::Start { generation, server } = dispatch(&mut scheduler, 0, &Host::default())[0] else {
        panic!("no start")
    };
    scheduler.failed(generation, server);
    assert_eq!(scheduler.in_flight(server), 0);
    let host = Host { ineligible: [server].into(), ..Host::default() };
    assert_eq!(dispatch(&mut scheduler, 5, &host), [Decision::Start { generation, server: 1 - server }]);
}

#[rstest]
#[case::more_unsettled_than_servers(5, &[], 6, 0)]
#[case::as_many_unsettled_as_servers(5, &[], 5, 0)]
#[case::fewer_unsettled_than_servers(5, &[], 4, 1)]
#[case::only_eligible_servers_count(6, &[0], 5, 0)]
fn hedges_begin_with_the_endgame(
    #[case] servers: u32,
    #[case] ineligible: &[u32],
    #[case] unsettled: usize,
    #[case] hedges: usize,
) {
    let mut scheduler = scheduler(servers, LARGE);
    scheduler.add_group(&spec(1, LARGE));
    let host = Host { ineligible: ineligible.iter().copied().collect(), ..Host::default() };
    dispatch(&mut scheduler, 0, &host);
    // The last server becomes idle. Of the generations at the other servers, `unsettled` stay in flight.
    let idle = servers - 1;
    let (on_idle, mut rest): (Vec<_>, Vec<_>) = (0..LARGE)
        .map(|index| generation(1, index))
        .partition(|which| scheduler.servers(*which).any(|server| server == idle));
    rest.drain(..unsettled);
    on_idle.into_iter().chain(rest).for_each(|which| scheduler.settle(which, &mut Vec::new()));
    assert_eq!(scheduler.in_flight(idle), 0);
    assert_eq!(dispatch(&mut scheduler, QUARTER_MS, &host).len(), hedges);
}

#[test]
fn no_hedge_while_no_server_is_idle() {
    let mut scheduler = early_endgame(4, 3);
    (0..4).for_each(|server| {
        if scheduler.in_flight(server) == 0 {
            scheduler.set_server(server, POOL, 0);
        }
    });
    assert!(dispatch(&mut scheduler, QUARTER_MS * 4, &Host::default()).is_empty());
}

#[rstest]
#[case::too_young(QUARTER_MS - 1, Host::default(), false)]
#[case::old_enough(QUARTER_MS, Host::default(), true)]
#[case::not_idempotent(QUARTER_MS, Host { not_idempotent: true, ..Host::default() }, false)]
#[case::budget_window_over(QUARTER_MS + BUDGET_WINDOW_MS, Host::default(), false)]
fn a_hedge_needs_age_budget_and_idempotence(#[case] now: u64, #[case] host: Host, #[case] hedged: bool) {
    let mut scheduler = early_endgame(8, 1);
    let running = scheduler.servers(generation(1, 0)).next().expect("it runs");
    let out = dispatch(&mut scheduler, now, &host);
    assert_eq!(out.len(), usize::from(hedged));
    if let [Decision::Hedge { generation: which, server }] = out[..] {
        assert_eq!(which, generation(1, 0));
        assert_ne!(server, running);
        assert!(dispatch(&mut scheduler, now + TARGET_MS, &host).is_empty(), "at most two attempts at once");
    }
}

#[rstest]
#[case::first_latencies_count(10, 300, 300)]
#[case::too_few_latencies(25, 300, QUARTER_MS)]
fn the_delay_uses_latencies_once_there_are_enough(#[case] left: u32, #[case] took: u64, #[case] delay: u64) {
    let scheduler = endgame(LARGE, left, took);
    assert_eq!(scheduler.hedge_delay_ms(ROUTE), Some(delay));
    assert_eq!(scheduler.next_wakeup(took.min(delay) - 1), Some(delay));
    assert_eq!(scheduler.next_wakeup(delay), None);
}

#[test]
fn the_delay_is_the_99th_percentile() {
    let mut scheduler = scheduler(1, 100);
    scheduler.add_group(&spec(1, 100));
    dispatch(&mut scheduler, 0, &Host::default());
    (0..100).for_each(|index| drop(finish(&mut scheduler, u64::from(index) + 1, generation(1, index))));
    assert_eq!(scheduler.hedge_delay_ms(ROUTE), Some(99));
}

#[rstest]
#[case(10, 0)]
#[case(11, 1)]
#[case(20, 1)]
#[case(21, 2)]
#[case(40, 3)]
fn hedges_stay_under_a_tenth(#[case] generations: u32, #[case] hedges: usize) {
    // One generation per server, and as many idle servers.
    let mut scheduler = scheduler(generations * 2, 1);
    scheduler.add_group(&spec(1, generations));
    dispatch(&mut scheduler, 0, &Host::default());
    let out = dispatch(&mut scheduler, QUARTER_MS, &Host::default());
    assert_eq!(out.len(), hedges);
    // Oldest first; among equals, the lowest index.
    for (index, decision) in out.iter().enumerate() {
        assert!(matches!(decision, Decision::Hedge { generation, .. } if generation.index == index as u32));
    }
}

#[rstest]
#[case::of_one_route(1)]
#[case::of_several_routes(2)]
fn the_oldest_generation_is_hedged_first(#[case] route: u32) {
    let mut scheduler = scheduler(40, 1);
    scheduler.add_group(&GroupSpec { priority: priority(9, 9), route: RouteKey(route), ..spec(1, 1) });
    dispatch(&mut scheduler, 0, &Host::default());
    scheduler.add_group(&spec(2, 12));
    dispatch(&mut scheduler, 5, &Host::default());
    let out = dispatch(&mut scheduler, 5 + QUARTER_MS, &Host::default());
    assert!(matches!(
        out[..],
        [Decision::Hedge { generation: GenerationId { group: GroupKey(1), index: 0 }, .. }]
    ));
}

#[rstest]
#[case::first_wins(0)]
#[case::hedge_wins(1)]
fn when_one_attempt_finishes_the_other_is_cancelled(#[case] winner: usize) {
    let mut scheduler = early_endgame(8, 1);
    dispatch(&mut scheduler, QUARTER_MS, &Host::default());
    let which = generation(1, 0);
    let servers: Vec<u32> = scheduler.servers(which).collect();
    let mut out = Vec::new();
    scheduler.finished(QUARTER_MS + 1, which, servers[winner], &mut out);
    assert_eq!(out, [Decision::Cancel { generation: which, server: servers[1 - winner] }]);
    assert!(servers.iter().all(|server| scheduler.in_flight(*server) == 0));
    out.clear();
    scheduler.finished(QUARTER_MS + 2, which, servers[1 - winner], &mut out);
    scheduler.failed(which, servers[1 - winner]);
    assert!(out.is_empty() && dispatch(&mut scheduler, QUARTER_MS * 9, &Host::default()).is_empty());
}

#[test]
fn a_failed_attempt_leaves_the_other_in_flight_and_may_be_replaced() {
    let mut scheduler = early_endgame(8, 1);
    dispatch(&mut scheduler, QUARTER_MS, &Host::default());
    let which = generation(1, 0);
    let first = scheduler.servers(which).next().expect("it runs");
    scheduler.failed(which, first);
    assert_eq!(scheduler.servers(which).count(), 1);
    let out = dispatch(&mut scheduler, QUARTER_MS + 1, &Host::default());
    assert!(matches!(out[..], [Decision::Hedge { .. }]), "{out:?}");
}

#[test]
fn removing_a_group_cancels_all_its_attempts() {
    let mut scheduler = scheduler(2, 2);
    scheduler.add_group(&spec(1, 6));
    dispatch(&mut scheduler, 0, &Host::default());
    let mut out = Vec::new();
    scheduler.remove_group(GroupKey(1), &mut out);
    assert_eq!(out.len(), 4);
    assert!(out.iter().all(|decision| matches!(decision, Decision::Cancel { .. })));
    assert!((0..2).all(|server| scheduler.in_flight(server) == 0));
    assert!(dispatch(&mut scheduler, 1, &Host::default()).is_empty());
}

#[test]
fn a_removed_server_gets_nothing_and_its_attempts_may_still_finish() {
    let mut scheduler = scheduler(2, 1);
    scheduler.add_group(&spec(1, 3));
    dispatch(&mut scheduler, 0, &Host::default());
    scheduler.remove_server(0);
    scheduler.remove_server(1);
    let running: Vec<u32> =
        (0..3).filter(|index| scheduler.servers(generation(1, *index)).count() == 1).collect();
    assert_eq!(running.len(), 2);
    running.iter().for_each(|index| assert!(finish(&mut scheduler, 9, generation(1, *index)).is_empty()));
    assert!(dispatch(&mut scheduler, 9, &Host::default()).is_empty());
}
