//! Scenario errors, fault timelines, the store model, discovery, and client retries.

use orchidvalve_fault_injection::discovery::{Discovery, ListedStore, Phase};
use orchidvalve_fault_injection::load::{ClientRetries, NextStep, Reply, arrivals};
use orchidvalve_fault_injection::scenario::{Clients, Effect, FaultKind, Rules, Scenario, Stores};
use orchidvalve_fault_injection::store_model::{RequestOutcome, StoreModel};
use orchidvalve_fault_injection::timeline::{ActiveFaults, FaultEvent, Timeline};
use orchidvalve_fault_injection::{MS, SECOND, store_name};
use proptest::prelude::*;

const TEXT: &str = "name = 'x'\nlasts_s = 10.0\nfronts = 2\n[stores]\ncells = 4\nreach = 2\nper_cell = 2\n[[grade]]\nname = 'look'\n\
                    effect = 'pure'\nsoft_ms = 300\nabandon_ms = 1000\n[[load]]\nfrom_s = 0.0\nto_s = 10.0\nrate = 40.0\n";

fn scenario(more: &str) -> Result<Scenario, String> {
    Scenario::read(&format!("{TEXT}{more}")).map_err(|error| error.to_string())
}

#[test]
fn scenario_errors_name_the_path_of_the_key() {
    let error_of = |lines: &str| scenario(&format!("[[trouble]]\nat_s = 1.0\n{lines}\n")).unwrap_err();
    assert_eq!(error_of("kind = 'die'"), "trouble[0]: should have one of stores, zone and draw");
    assert_eq!(error_of("kind = 'die'\nstores = ['s-9']"), "trouble[0].stores: no store is named 's-9'");
    assert_eq!(
        error_of("kind = 'slow'\nfactor = 0.5\ndraw = 1"),
        "trouble[0].factor: should be 1 to 10000, not 0.5"
    );
    assert_eq!(error_of("kind = 'die'\ndraw = 1\nfor = 2"), "trouble[0].for: no such key");
    assert_eq!(error_of("kind = 'front-killed'\nfront = 2"), "trouble[0].front: should be 0 to 1, not 2");
    assert!(error_of("kind = 'dies'\ndraw = 1").contains("unknown variant `dies`"));
    assert!(scenario("[sores]\n").unwrap_err().contains("unknown field `sores`"));
}

#[test]
fn a_fault_that_ends_removes_only_its_own_effect() {
    let (slow, cpu) = (FaultKind::Slow { factor: 4.0 }, FaultKind::Cpu { lost: 0.5 });
    let event = |fault, kind, begins| FaultEvent { at: 0, fault, kind, begins, store: Some(0) };
    let mut faults = ActiveFaults::default();
    faults.apply(&event(0, slow, true));
    faults.apply(&event(1, cpu, true));
    faults.apply(&event(2, slow, true));
    assert_eq!((faults.condition().slowdown, faults.condition().cores_left), (16.0, 0.5));
    faults.apply(&event(0, slow, false));
    assert_eq!((faults.condition().slowdown, faults.condition().cores_left), (4.0, 0.5));
    faults.apply(&event(1, cpu, false));
    faults.apply(&event(2, slow, false));
    assert_eq!(faults.condition(), orchidvalve_fault_injection::timeline::Condition::default());
}

proptest! {
    /// Drawn faults never exceed the allowed fraction of faulty replicas of a shard, and a seed always draws the same
    /// stores.
    #[test]
    fn drawn_faults_keep_the_share_of_each_shard(seed in 0u64..10_000, first in 1usize..3, second in 1usize..3) {
        let fault = |draw: usize, at: f64| format!("[[trouble]]\nkind = 'die'\nat_s = {at:.1}\nfor_s = 3.0\ndraw = {draw}\n");
        let scenario = scenario(&format!("{}{}", fault(first, 1.0), fault(second, 2.0))).unwrap();
        let drawn = |seed| Timeline::new(&scenario, seed).map(|t| t.events().to_vec()).map_err(|error| error.to_string());
        prop_assert_eq!(drawn(seed), drawn(seed));
        // If too few stores can be drawn, the timeline is an error.
        let Ok(events) = drawn(seed) else { return Ok(()) };
        let faulty: Vec<usize> = events.iter().filter(|a| a.begins).filter_map(|a| a.store).collect();
        prop_assert_eq!(faulty.len(), first + second);
        for shard in 0..4 {
            let replicas: Vec<usize> = scenario.stores.stores_of(shard).collect();
            prop_assert_eq!(replicas.len(), 4);
            prop_assert!(replicas.iter().filter(|h| faulty.contains(*h)).count() <= 2, "shard {}: {:?}", shard, faulty);
        }
    }

    /// The number of arrivals follows the rate, and a seed always draws the same arrivals.
    #[test]
    fn arrivals_follow_the_rate_and_the_seed(seed in 0u64..1000) {
        let scenario = scenario("").unwrap();
        let planned = arrivals(&scenario, seed);
        prop_assert!((300..500).contains(&planned.len()), "{} of 400", planned.len());
        prop_assert_eq!(&planned, &arrivals(&scenario, seed));
        prop_assert!(planned.windows(2).all(|w| w[0].at <= w[1].at) && planned.iter().all(|w| w.front_node < 2));
    }
}

#[test]
fn a_store_queues_rejects_and_is_overloaded_only_while_it_warms_up() {
    let stores = Stores { cores: 1, work_ms: 10.0, queue: 2, cold_s: 1.0, ..Stores::default() };
    let rules = Rules::default();
    let mut warm = StoreModel::new(&stores, &rules, 1);
    let outcomes: Vec<RequestOutcome> = (0..4).map(|_| warm.receive(0, 1.0, 0).0).collect();
    assert_eq!(
        outcomes,
        [
            RequestOutcome::Served(10 * MS),
            RequestOutcome::Served(20 * MS),
            RequestOutcome::Served(30 * MS),
            RequestOutcome::Rejected
        ]
    );
    // A warming store has a capacity of 27 of 100 shard requests per second at first, slightly more 50 ms later, and
    // tolerates N + 3 sqrt(N) + 3.
    let deep = Stores { queue: 1000, ..stores };
    let rules = Rules { cold_multiple: 1.0, ..rules };
    let push = |store: &mut StoreModel| {
        (0..60).map(|n| store.receive(n * MS, 1.0, n as usize % 2).1).find_map(|f| f)
    };
    let mut cold = StoreModel::new(&deep, &rules, 1);
    assert_eq!(push(&mut cold), None, "a warm store is not overloaded");
    cold.start(0);
    let overload = push(&mut cold).expect("the warming store is overloaded");
    assert_eq!((overload.requests, overload.limit), (51, 50));
    assert_eq!(overload.by_front_node, [(0, 26), (1, 25)]);
    assert!(!cold.is_up(500 * MS) && cold.is_up(2 * SECOND), "down for fall_s, then up again");
}

#[test]
fn discovery_publishes_changes_of_a_store_in_order_despite_lag() {
    let listed = |phase, started_at| ListedStore { store: 0, phase, started_at };
    let mut discovery = Discovery::new(std::iter::once((store_name(0), listed(Phase::Up, None))));
    discovery.set_lag(5 * SECOND);
    discovery.record_change(0, 0, store_name(0), listed(Phase::Gone, None));
    discovery.set_lag(0);
    discovery.record_change(SECOND, 0, store_name(0), listed(Phase::Up, Some(SECOND)));
    assert_eq!(discovery.round(2 * SECOND), None, "the start is not published before the end");
    discovery.unresponsive = true;
    assert_eq!(discovery.round(6 * SECOND), None);
    assert_eq!(discovery.next_due(), None);
    discovery.unresponsive = false;
    assert_eq!(discovery.round(6 * SECOND).unwrap()[&store_name(0)], listed(Phase::Up, Some(SECOND)));
    // The store returns before its end was published.
    discovery.record_change(7 * SECOND, SECOND, store_name(0), listed(Phase::Gone, None));
    discovery.drop_pending(&store_name(0));
    assert_eq!(discovery.round(9 * SECOND), None);
}

#[test]
fn clients_retry_only_safe_queries_before_the_deadline() {
    let clients = Clients { tries: 2, wait_ms: 100, most_ms: 150 };
    let mut pure = ClientRetries::new(&clients, Effect::Pure, 0, SECOND);
    assert_eq!(pure.next_step(0, Reply::Lost), NextStep::Again { at: 100 * MS, elsewhere: true });
    assert_eq!(
        pure.next_step(200 * MS, Reply::Rejected(Some(SECOND / 2))),
        NextStep::Again { at: 700 * MS, elsewhere: false }
    );
    assert_eq!(pure.next_step(750 * MS, Reply::Rejected(None)), NextStep::Ends, "no retries are left");
    let mut pay = ClientRetries::new(&clients, Effect::Effectful, 0, SECOND);
    assert_eq!(pay.next_step(0, Reply::Expired), NextStep::Ends, "the query may have been executed");
    let mut late = ClientRetries::new(&clients, Effect::Effectful, 0, SECOND);
    assert_eq!(
        late.next_step(950 * MS, Reply::Rejected(None)),
        NextStep::Ends,
        "the retry would be after the deadline"
    );
}
