//! A list that one node has and hundreds want, in virtual time.

mod net;

use std::collections::BTreeMap;

use net::{Faults, MS, Net, S};
use orchidvalve_fleet::lists::{
    ListAge, ListCounts, ListMessage, ListSettings, ListVersion, ListWanted, Lists, Page, PageRequest,
    fingerprint,
};
use orchidvalve_fleet::{Nanos, OutgoingMessage};

const TOPIC: u64 = 77;

fn edition(revision: i64, seen: Nanos, bytes: usize) -> ListVersion {
    let bytes = (0..bytes).map(|n| (n as u64 * 31 + revision as u64) as u8).collect();
    ListVersion { topic: TOPIC, revision, seen, bytes }
}

/// All that want one ask until they have it, and offer it from then on. When each had it, and by which revision.
fn spread(net: &mut Net, sources: &[(usize, ListVersion)], until: Nanos) -> Vec<Option<(Nanos, i64)>> {
    let mut had: Vec<Option<(Nanos, i64)>> = vec![None; net.nodes.len()];
    let mut offers: BTreeMap<usize, ListVersion> = sources.iter().cloned().collect();
    sources.iter().for_each(|(n, e)| had[*n] = Some((net.now, e.revision)));
    while net.now < until && had.iter().any(Option::is_none) {
        net.tick(20 * MS, |n, inbox| {
            offers.remove(&n).into_iter().for_each(|edition| inbox.offer_list(edition));
            inbox.list_wanted(had[n].is_none().then_some(ListWanted { topic: TOPIC, newer_than: None }));
        });
        let now = net.now;
        for (n, node) in net.nodes.iter_mut().enumerate() {
            if let Some(received) = node.fleet.as_mut().and_then(orchidvalve_fleet::Fleet::take_received_list)
            {
                had[n] = Some((now, received.revision));
                offers.insert(n, received);
            }
        }
    }
    had
}

#[test]
fn one_list_reaches_eighty_nodes_within_seconds_and_no_source_is_buried() {
    let mut net = Net::new(80, 80, 21, |o| o);
    net.faults = Faults { loss: 0.1, copies: 0.05, delay: 2 * MS, jitter: 10 * MS };
    net.run(4 * S, 20 * MS, |_| {});
    let before = net.now;
    // 250 servers of 120 bytes each.
    let had = spread(&mut net, &[(0, edition(9, before - S, 30_000))], before + 20 * S);
    let took: Vec<Nanos> = had.iter().map(|h| h.expect("it has the list").0 - before).collect();
    let last = took.iter().max().unwrap();
    assert!(*last < 10 * S, "the last one after {} ms", last / MS);
    let periods = (last / (200 * MS) + 1) as u64;
    for fleet in net.alive() {
        let served = fleet.list_counts().pages_served;
        assert!(served <= 64 * periods, "{served} pages in {periods} periods");
    }
}

#[test]
fn a_list_whose_source_dies_in_the_middle_comes_from_another() {
    let mut net = Net::new(6, 6, 23, |o| o);
    net.run(4 * S, 10 * MS, |_| {});
    let (now, list) = (net.now, edition(9, net.now, 300_000));
    let sources = [(0, list.clone()), (1, list)];
    let had = spread(&mut net, &sources, now + 300 * MS);
    assert!(had.iter().any(Option::is_none), "250 pages are on their way");
    net.nodes[0].fleet = None;
    let had = spread(&mut net, &[(0, edition(9, now, 300_000))], now + 60 * S);
    assert!(had.iter().all(Option::is_some), "{had:?}");
}

fn peer(n: u8) -> orchidvalve_fleet::Peer {
    orchidvalve_fleet::Peer { ip: [10, 0, 0, n], port: 7, incarnation: 1 }
}

/// One node that wants, with `offers` of peers that it hears at once; the peer that it pulls from.
fn pulls(beats: Option<ListAge>, offers: &[(u8, ListVersion)]) -> (Lists, Option<orchidvalve_fleet::Peer>) {
    let (mut lists, mut post) = (Lists::new(ListSettings::default()), Vec::new());
    lists.request(ListWanted { topic: TOPIC, newer_than: beats }, 100 * S);
    for (n, e) in offers {
        let mut source = Lists::new(ListSettings::default());
        source.publish(e.clone());
        let mut said = Vec::new();
        source.message_received(peer(99), ListMessage::Wanted(TOPIC), 100 * S, &mut said);
        for OutgoingMessage { message, .. } in said {
            lists.message_received(peer(*n), message, 100 * S, &mut post);
        }
    }
    let peers: Vec<_> = (0..20).map(peer).collect();
    lists.step(&peers, 100 * S + 60 * MS, &mut post);
    let request = post.iter().find(|sent| matches!(sent.message, ListMessage::PageRequest(_)));
    let to = request.map(|sent| sent.to);
    (lists, to)
}

#[test]
fn a_list_older_than_ones_own_is_not_pulled() {
    let older = edition(5, 90 * S, 10);
    assert_eq!(pulls(Some(ListAge { revision: 5, seen: 95 * S }), &[(1, older.clone())]).1, None);
    assert_eq!(
        pulls(Some(ListAge { revision: 5, seen: 85 * S }), &[(1, older.clone())]).1,
        Some(peer(1)),
        "seen later"
    );
    let both = [(1, older), (2, edition(6, 80 * S, 10))];
    assert_eq!(pulls(None, &both).1, Some(peer(2)), "the later revision of one topic");
}

#[test]
fn pages_that_do_not_fit_their_print_are_thrown_away_and_strangers_pages_are_not_taken() {
    let list = edition(5, 90 * S, 2000);
    let (mut lists, from) = pulls(None, &[(1, list.clone())]);
    assert_eq!(from, Some(peer(1)));
    let (fingerprint, mut post) = (fingerprint(&list.bytes), Vec::new());
    let page = |page: u16, bytes: &[u8]| ListMessage::Page(Page { fingerprint, page, bytes: bytes.to_vec() });
    lists.message_received(peer(3), page(0, &list.bytes[..1200]), 101 * S, &mut post);
    lists.message_received(peer(3), page(1, &list.bytes[1200..]), 101 * S, &mut post);
    assert_eq!(lists.take_received(), None, "peer 3 was not asked");
    lists.message_received(peer(1), page(0, &list.bytes[..1200]), 101 * S, &mut post);
    lists.message_received(peer(1), page(1, &[0; 800]), 101 * S, &mut post);
    assert_eq!((lists.take_received(), lists.counts().abandoned), (None, 1));
}

#[test]
fn a_flood_of_pulls_is_answered_up_to_a_periods_pages() {
    let list = edition(5, 90 * S, 60_000);
    let (mut lists, mut post) = (Lists::new(ListSettings::default()), Vec::new());
    lists.publish(list.clone());
    for n in 0..40 {
        let pull = PageRequest { fingerprint: fingerprint(&list.bytes), from: 0, pages: u16::MAX };
        lists.message_received(peer(n), ListMessage::PageRequest(pull), 100 * S, &mut post);
    }
    let ListCounts { pages_served, pages_refused, .. } = lists.counts();
    assert_eq!((post.len(), pages_served, pages_refused), (64, 64, 40 * 8 - 64));
    lists.reset_serve_limit();
    let pull = PageRequest { fingerprint: fingerprint(&list.bytes), from: 48, pages: 8 };
    lists.message_received(peer(1), ListMessage::PageRequest(pull), 100 * S, &mut post);
    assert_eq!(post.len(), 66, "the last two pages of fifty");
}
