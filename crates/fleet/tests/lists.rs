//! Transfer of a list from one node to many, in virtual time.

mod net;

use std::collections::BTreeMap;

use net::{Faults, MS, Net, S};
use orchidvalve_fleet::lists::{
    ListAge, ListCounts, ListMessage, ListSettings, ListVersion, ListWanted, Lists, Page, PageRequest,
    fingerprint,
};
use orchidvalve_fleet::{Nanos, OutgoingMessage};

const TOPIC: u64 = 77;

fn version(revision: i64, seen: Nanos, bytes: usize) -> ListVersion {
    let bytes = (0..bytes).map(|n| (n as u64 * 31 + revision as u64) as u8).collect();
    ListVersion { topic: TOPIC, revision, seen, bytes }
}

/// Every node requests the list until it has it, and then offers it. Returns when each node had it, and its revision.
fn distribute(net: &mut Net, sources: &[(usize, ListVersion)], until: Nanos) -> Vec<Option<(Nanos, i64)>> {
    let mut received_at: Vec<Option<(Nanos, i64)>> = vec![None; net.nodes.len()];
    let mut offers: BTreeMap<usize, ListVersion> = sources.iter().cloned().collect();
    sources.iter().for_each(|(n, e)| received_at[*n] = Some((net.now, e.revision)));
    while net.now < until && received_at.iter().any(Option::is_none) {
        net.tick(20 * MS, |n, inbox| {
            offers.remove(&n).into_iter().for_each(|version| inbox.offer_list(version));
            inbox.list_wanted(
                received_at[n].is_none().then_some(ListWanted { topic: TOPIC, newer_than: None }),
            );
        });
        let now = net.now;
        for (n, node) in net.nodes.iter_mut().enumerate() {
            if let Some(received) = node.fleet.as_mut().and_then(orchidvalve_fleet::Fleet::take_received_list)
            {
                received_at[n] = Some((now, received.revision));
                offers.insert(n, received);
            }
        }
    }
    received_at
}

#[test]
fn a_list_reaches_eighty_nodes_within_seconds_without_overloading_a_source() {
    let mut net = Net::new(80, 80, 21, |o| o);
    net.faults = Faults { loss: 0.1, duplicates: 0.05, delay: 2 * MS, jitter: 10 * MS };
    net.run(4 * S, 20 * MS, |_| {});
    let before = net.now;
    // 250 servers of 120 bytes each.
    let received_at = distribute(&mut net, &[(0, version(9, before - S, 30_000))], before + 20 * S);
    let took: Vec<Nanos> = received_at.iter().map(|h| h.expect("the node has the list").0 - before).collect();
    let last = took.iter().max().unwrap();
    assert!(*last < 10 * S, "the last node had it after {} ms", last / MS);
    let periods = (last / (200 * MS) + 1) as u64;
    for fleet in net.alive() {
        let served = fleet.list_counts().pages_served;
        assert!(served <= 64 * periods, "{served} pages in {periods} periods");
    }
}

#[test]
fn a_download_continues_from_another_source_after_a_crash() {
    let mut net = Net::new(6, 6, 23, |o| o);
    net.run(4 * S, 10 * MS, |_| {});
    let (now, list) = (net.now, version(9, net.now, 300_000));
    let sources = [(0, list.clone()), (1, list)];
    let received_at = distribute(&mut net, &sources, now + 300 * MS);
    assert!(received_at.iter().any(Option::is_none), "250 pages are in transit");
    net.nodes[0].fleet = None;
    let received_at = distribute(&mut net, &[(0, version(9, now, 300_000))], now + 60 * S);
    assert!(received_at.iter().all(Option::is_some), "{received_at:?}");
}

fn peer(n: u8) -> orchidvalve_fleet::Peer {
    orchidvalve_fleet::Peer { ip: [10, 0, 0, n], port: 7, incarnation: 1 }
}

/// A node that requests a list and receives `offers` from peers at once. Also returns the peer that it downloads from.
fn downloads_from(
    newer_than: Option<ListAge>,
    offers: &[(u8, ListVersion)],
) -> (Lists, Option<orchidvalve_fleet::Peer>) {
    let (mut lists, mut messages) = (Lists::new(ListSettings::default()), Vec::new());
    lists.request(ListWanted { topic: TOPIC, newer_than }, 100 * S);
    for (n, e) in offers {
        let mut source = Lists::new(ListSettings::default());
        source.publish(e.clone());
        let mut responses = Vec::new();
        source.message_received(peer(99), ListMessage::Wanted(TOPIC), 100 * S, &mut responses);
        for OutgoingMessage { message, .. } in responses {
            lists.message_received(peer(*n), message, 100 * S, &mut messages);
        }
    }
    let peers: Vec<_> = (0..20).map(peer).collect();
    lists.step(&peers, 100 * S + 60 * MS, &mut messages);
    let request = messages.iter().find(|sent| matches!(sent.message, ListMessage::PageRequest(_)));
    let to = request.map(|sent| sent.to);
    (lists, to)
}

#[test]
fn an_older_list_is_not_downloaded() {
    let older = version(5, 90 * S, 10);
    assert_eq!(downloads_from(Some(ListAge { revision: 5, seen: 95 * S }), &[(1, older.clone())]).1, None);
    assert_eq!(
        downloads_from(Some(ListAge { revision: 5, seen: 85 * S }), &[(1, older.clone())]).1,
        Some(peer(1)),
        "seen later"
    );
    let both = [(1, older), (2, version(6, 80 * S, 10))];
    assert_eq!(downloads_from(None, &both).1, Some(peer(2)), "the later revision of a topic is better");
}

#[test]
fn pages_with_a_wrong_fingerprint_or_sender_are_rejected() {
    let list = version(5, 90 * S, 2000);
    let (mut lists, from) = downloads_from(None, &[(1, list.clone())]);
    assert_eq!(from, Some(peer(1)));
    let (fingerprint, mut messages) = (fingerprint(&list.bytes), Vec::new());
    let page = |page: u16, bytes: &[u8]| ListMessage::Page(Page { fingerprint, page, bytes: bytes.to_vec() });
    lists.message_received(peer(3), page(0, &list.bytes[..1200]), 101 * S, &mut messages);
    lists.message_received(peer(3), page(1, &list.bytes[1200..]), 101 * S, &mut messages);
    assert_eq!(lists.take_received(), None, "nothing was requested from peer 3");
    lists.message_received(peer(1), page(0, &list.bytes[..1200]), 101 * S, &mut messages);
    lists.message_received(peer(1), page(1, &[0; 800]), 101 * S, &mut messages);
    assert_eq!((lists.take_received(), lists.counts().abandoned), (None, 1));
}

#[test]
fn the_number_of_pages_served_per_period_is_limited() {
    let list = version(5, 90 * S, 60_000);
    let (mut lists, mut messages) = (Lists::new(ListSettings::default()), Vec::new());
    lists.publish(list.clone());
    for n in 0..40 {
        let pull = PageRequest { fingerprint: fingerprint(&list.bytes), from: 0, pages: u16::MAX };
        lists.message_received(peer(n), ListMessage::PageRequest(pull), 100 * S, &mut messages);
    }
    let ListCounts { pages_served, pages_refused, .. } = lists.counts();
    assert_eq!((messages.len(), pages_served, pages_refused), (64, 64, 40 * 8 - 64));
    lists.reset_serve_limit();
    let pull = PageRequest { fingerprint: fingerprint(&list.bytes), from: 48, pages: 8 };
    lists.message_received(peer(1), ListMessage::PageRequest(pull), 100 * S, &mut messages);
    assert_eq!(messages.len(), 66, "the last two pages of fifty");
}
