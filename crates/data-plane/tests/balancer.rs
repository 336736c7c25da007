//! Tests of the gateway's view of servers: which one is picked, ejections, and servers that change or leave.

mod requests_support;

use std::net::Ipv4Addr;

use orchidvalve_data_plane::balancer::{Balancer, ServerKey, Success, slot_quota};
use orchidvalve_protocol::identity::NodeAddress;
use rand_pcg::Pcg64Mcg;
use requests_support::{SERVICE, Servers, ZONE, entry};
use rstest::rstest;

const NOW: u64 = 10_000;

fn pick(balancer: &Balancer, excluded: &[ServerKey], now: u64) -> Option<String> {
    let key = balancer.pick(SERVICE, ZONE, excluded, now, &mut Pcg64Mcg::new(3))?;
    Some(balancer.get(key).unwrap().entry.instance.clone())
}

/// Returns the servers `a`, `b` and so on, and their keys.
fn servers(count: usize) -> (Servers, Vec<ServerKey>) {
    let mut servers = Servers::default();
    let mut keys = Vec::new();
    let mut listed = Vec::new();
    for name in ["a", "b", "c", "d"].iter().take(count) {
        listed.push(entry(name));
        keys.extend(servers.list(listed.clone()).changed);
    }
    (servers, keys)
}

/// Returns a response whose connection is kept alive for one second.
fn response_after(latency_ms: u64) -> Success {
    Success { at: NOW, latency_ms, keep_alive_ms: 1_000 }
}

/// Returns how often each server is picked in a thousand picks.
fn picked(balancer: &Balancer, keys: &[ServerKey], now: u64) -> Vec<usize> {
    let mut random = Pcg64Mcg::new(9);
    let mut counts = vec![0; keys.len()];
    for _ in 0..1_000 {
        let key = balancer.pick(SERVICE, ZONE, &[], now, &mut random).unwrap();
        counts[keys.iter().position(|k| *k == key).unwrap()] += 1;
    }
    counts
}

#[test]
fn an_idle_connection_breaks_ties_while_it_is_kept() {
    let (mut servers, keys) = servers(4);
    servers.balancer.succeeded(keys[2], response_after(20));
    assert_eq!(picked(&servers.balancer, &keys, NOW + 999), [0, 0, 1_000, 0]);
    assert!(picked(&servers.balancer, &keys, NOW + 1_000).iter().all(|count| *count > 150));
    servers.balancer.begin_exchange(keys[2]);
    assert_eq!(picked(&servers.balancer, &keys, NOW)[2], 0, "the number of exchanges takes precedence");
}

#[rstest]
#[case::a_slow_response(|balancer: &mut Balancer, key| balancer.succeeded(key, response_after(61)))]
#[case::a_failure(|balancer: &mut Balancer, key| balancer.failed(key, NOW - 100))]
fn a_server_that_failed_or_was_slow_is_not_preferred_for_its_connection(
    #[case] fault: fn(&mut Balancer, ServerKey),
) {
    let (mut servers, keys) = servers(4);
    servers.balancer.succeeded(keys[2], response_after(20));
    fault(&mut servers.balancer, keys[2]);
    assert!(picked(&servers.balancer, &keys, NOW).iter().all(|count| *count > 150));
    servers.balancer.succeeded(keys[2], response_after(20));
    assert_eq!(picked(&servers.balancer, &keys, NOW), [0, 0, 1_000, 0]);
}

#[test]
fn the_server_with_the_fewest_exchanges_is_picked() {
    let (mut servers, keys) = servers(3);
    for key in [keys[0], keys[0], keys[1], keys[2], keys[2]] {
        servers.balancer.begin_exchange(key);
    }
    assert_eq!(pick(&servers.balancer, &[], NOW).as_deref(), Some("b"));
    servers.balancer.end_exchange(keys[2]);
    servers.balancer.end_exchange(keys[2]);
    assert_eq!(pick(&servers.balancer, &[], NOW).as_deref(), Some("c"));
}

#[test]
fn equal_servers_share_the_requests() {
    let (servers, keys) = servers(4);
    let mut random = Pcg64Mcg::new(9);
    let mut counts = [0; 4];
    for _ in 0..4_000 {
        let key = servers.balancer.pick(SERVICE, ZONE, &[], NOW, &mut random).unwrap();
        counts[keys.iter().position(|k| *k == key).unwrap()] += 1;
    }
    assert!(counts.iter().all(|c| (850..1_150).contains(c)), "{counts:?}");
}

#[test]
fn the_same_zone_breaks_ties() {
    let mut servers = Servers::default();
    let far =
        |name: &str| orchidvalve_protocol::messages::ServerEntry { zone: "other".into(), ..entry(name) };
    let keys = servers.list(vec![far("a"), far("b"), entry("c"), far("d")]).changed;
    assert_eq!(pick(&servers.balancer, &[], NOW).as_deref(), Some("c"));
    let same_zone = *keys.iter().find(|k| servers.balancer.get(**k).unwrap().entry.instance == "c").unwrap();
    servers.balancer.begin_exchange(same_zone);
    assert_ne!(pick(&servers.balancer, &[], NOW).as_deref(), Some("c"));
}

#[test]
fn excluded_draining_and_other_service_servers_are_not_picked() {
    let mut servers = Servers::default();
    let mut draining_entry = entry("b");
    draining_entry.draining = true;
    let mut other_service = entry("c");
    other_service.service = "wuno96b".into();
    servers.list(vec![entry("a"), draining_entry, other_service]);
    assert_eq!(pick(&servers.balancer, &[], NOW).as_deref(), Some("a"));
    let all: Vec<ServerKey> = (1..=3).map(ServerKey).collect();
    assert_eq!(pick(&servers.balancer, &all, NOW), None);
    servers.list(Vec::new());
    assert_eq!(pick(&servers.balancer, &[], NOW), None);
}

#[rstest]
#[case::first(1, 60)]
#[case::second(2, 120)]
#[case::fifth(5, 960)]
#[case::many(20, 1_000)]
fn ejections_double_with_every_failure_up_to_a_bound(#[case] failures: u32, #[case] ejection_ms: u64) {
    let (mut servers, keys) = servers(2);
    let mut now = NOW;
    for failure in 0..failures {
        if failure > 0 {
            now += 1_000;
        }
        servers.balancer.failed(keys[0], now);
    }
    servers.balancer.begin_exchange(keys[1]);
    assert_eq!(pick(&servers.balancer, &[], now + ejection_ms - 1).as_deref(), Some("b"));
    assert_eq!(pick(&servers.balancer, &[], now + ejection_ms).as_deref(), Some("a"));
    servers.balancer.failed(keys[0], now);
    servers.balancer.succeeded(keys[0], response_after(20));
    assert_eq!(pick(&servers.balancer, &[], now).as_deref(), Some("a"));
}

#[test]
fn requests_that_fail_together_lengthen_the_ejection_once() {
    let (mut servers, keys) = servers(2);
    (0..20).for_each(|_| servers.balancer.failed(keys[0], NOW));
    servers.balancer.begin_exchange(keys[1]);
    assert_eq!(pick(&servers.balancer, &[], NOW + 60).as_deref(), Some("a"));
}

#[test]
fn consecutive_errors_eject_a_server() {
    let (mut servers, keys) = servers(2);
    servers.balancer.begin_exchange(keys[1]);
    let errored = |servers: &mut Servers| servers.balancer.returned_error(keys[0], NOW);
    errored(&mut servers);
    errored(&mut servers);
    servers.balancer.succeeded(keys[0], response_after(20));
    errored(&mut servers);
    errored(&mut servers);
    assert_eq!(pick(&servers.balancer, &[], NOW).as_deref(), Some("a"));
    errored(&mut servers);
    assert_eq!(pick(&servers.balancer, &[], NOW).as_deref(), Some("b"));
}

#[test]
fn ejected_servers_are_picked_if_there_is_no_other() {
    let (mut servers, keys) = servers(1);
    servers.balancer.failed(keys[0], NOW);
    assert_eq!(pick(&servers.balancer, &[], NOW).as_deref(), Some("a"));
}

#[test]
fn a_server_may_be_removed_with_exchanges_in_flight() {
    let (mut servers, keys) = servers(2);
    servers.balancer.begin_exchange(keys[0]);
    let change = servers.list(vec![entry("b")]);
    assert_eq!((change.removed.as_slice(), change.changed.len()), (&keys[..1], 0));
    servers.balancer.end_exchange(keys[0]);
    servers.balancer.failed(keys[0], NOW);
    servers.balancer.record_load(keys[0], "3,0,8");
    assert!(servers.balancer.get(keys[0]).is_none());
    // A server that reappears with the same instance id is a new incarnation.
    let change = servers.list(vec![entry("a"), entry("b")]);
    assert_eq!(change.changed.len(), 1);
    assert!(!keys.contains(&change.changed[0]));
    assert_eq!(servers.balancer.get(change.changed[0]).unwrap().in_flight, 0);
}

#[test]
fn a_changed_entry_keeps_the_servers_state() {
    let (mut servers, keys) = servers(1);
    servers.balancer.begin_exchange(keys[0]);
    let mut moved = entry("a");
    moved.address = orchidvalve_protocol::identity::NodeAddress::new([10, 128, 0, 10].into(), 81);
    let change = servers.list(vec![moved.clone()]);
    assert_eq!((change.changed.as_slice(), change.removed.len()), (&keys[..], 0));
    let server = servers.balancer.get(keys[0]).unwrap();
    assert_eq!((server.in_flight, server.address), (1, moved.address.socket()));
    assert!(servers.list(vec![moved]).changed.is_empty());
}

#[rstest]
#[case::stated("3,7,8", 7)]
#[case::spaced("3, 7 ,8", 7)]
#[case::short("3", 0)]
#[case::no_number("a,b,c", 0)]
fn the_load_is_read_from_responses(#[case] text: &str, #[case] queued: u32) {
    let (mut servers, keys) = servers(1);
    servers.balancer.record_load(keys[0], text);
    assert_eq!(servers.balancer.get(keys[0]).unwrap().queued, queued);
}

fn gateways(count: u8) -> Vec<NodeAddress> {
    (1..=count).map(|number| NodeAddress::new(Ipv4Addr::new(10, 0, 0, number), 0)).collect()
}

#[rstest]
#[case::a_slot_each(6, 6, 1, 1)]
#[case::fewer_slots_than_workers(6, 17, 0, 1)]
#[case::some_have_one_more(12, 9, 1, 2)]
#[case::no_remainder(16, 4, 4, 4)]
#[case::one_worker(8, 1, 8, 8)]
fn slot_quotas_are_even_and_add_up(
    #[case] slots: u32,
    #[case] count: u8,
    #[case] least: u32,
    #[case] most: u32,
) {
    let workers = gateways(count);
    for server in 0..40 {
        let instance = format!("i-{server:x}");
        let quotas: Vec<u32> = workers
            .iter()
            .map(|gateways| slot_quota(slots, &workers, *gateways, &instance).unwrap())
            .collect();
        assert_eq!(quotas.iter().sum::<u32>(), slots);
        assert!(quotas.iter().all(|quota| (least..=most).contains(quota)), "{quotas:?}");
    }
}

#[test]
fn remaining_slots_go_to_different_workers_at_each_server() {
    let workers = gateways(9);
    let sum = |gateways: &NodeAddress| -> u32 {
        (0..300).map(|server| slot_quota(12, &workers, *gateways, &format!("i-{server:x}")).unwrap()).sum()
    };
    // 400 each on average: 300 are certain, and 300 more are distributed pseudorandomly.
    assert!(workers.iter().map(sum).all(|slots| (350..450).contains(&slots)));
}

#[test]
fn a_gateway_that_is_no_worker_has_no_quota() {
    assert_eq!(slot_quota(6, &gateways(3), gateways(4)[3], "i-1"), None);
    assert_eq!(slot_quota(6, &[], gateways(1)[0], "i-1"), None);
}

#[test]
fn ties_depend_only_on_the_random_numbers_and_reach_all_servers() {
    let names: Vec<String> = (0..12).map(|number| format!("i-{number}")).collect();
    // Each run has its own hash maps with different hash seeds.
    let run = || {
        let mut servers = Servers::default();
        servers.list(names.iter().map(|name| entry(name)).collect());
        let mut random = Pcg64Mcg::new(9);
        let picks = (0..600).map(|_| servers.balancer.pick(SERVICE, ZONE, &[], NOW, &mut random).unwrap());
        picks.collect::<Vec<ServerKey>>()
    };
    let picks = run();
    assert!((0..5).all(|_| run() == picks), "the same random numbers give the same servers");
    for key in (1..=12).map(ServerKey) {
        let count = picks.iter().filter(|picked| **picked == key).count();
        assert!((25..=75).contains(&count), "{key:?} was picked {count} times of 600");
    }
}

#[test]
fn removed_servers_are_returned_in_key_order() {
    let mut servers = Servers::default();
    let names: Vec<String> = (0..12).map(|number| format!("i-{number}")).collect();
    servers.list(names.iter().map(|name| entry(name)).collect());
    assert!(servers.balancer.keys().is_sorted());
    let removed = servers.list(Vec::new()).removed;
    assert_eq!(removed.len(), 12);
    assert!(removed.is_sorted());
}

#[test]
fn exchanges_are_counted_by_service() {
    let (mut servers, keys) = servers(2);
    assert_eq!((servers.balancer.in_flight(SERVICE), servers.balancer.in_flight("other")), (0, 0));
    servers.balancer.begin_exchange(keys[0]);
    servers.balancer.begin_exchange(keys[0]);
    servers.balancer.begin_exchange(keys[1]);
    servers.balancer.end_exchange(keys[0]);
    assert_eq!((servers.balancer.in_flight(SERVICE), servers.balancer.in_flight("other")), (2, 0));
}
