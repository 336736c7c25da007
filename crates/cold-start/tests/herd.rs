//! Hundreds of nodes that start together, in virtual time: the load on discovery, and the lists that the nodes adopt.

use orchidvalve_cold_start::fetch_schedule::FetchSchedule;
use orchidvalve_cold_start::probe_schedule::probe_from;
use orchidvalve_cold_start::start::{ActionSink, Offer, Source, Start};
use orchidvalve_cold_start::{Nanos, StartSettings};
use proptest::prelude::*;

const MS: Nanos = 1_000_000;
const S: Nanos = 1_000 * MS;
const BEGAN: Nanos = 100_000 * S;

#[derive(Default)]
struct Decisions {
    adopted: Vec<(Source, Nanos, u32)>,
    fetched: Vec<bool>,
    wanted: Option<Option<(i64, Nanos)>>,
    discovery_timed_out: usize,
}

impl ActionSink for Decisions {
    fn adopt(&mut self, offer: &Offer, doubt: u32) {
        self.adopted.push((offer.source, offer.seen, doubt));
    }
    fn request_from_peers(&mut self, wanted: Option<Option<(i64, Nanos)>>) {
        self.wanted = wanted;
    }
    fn fetch(&mut self, whole: bool) {
        self.fetched.push(whole);
    }
    fn discovery_timed_out(&mut self) {
        self.discovery_timed_out += 1;
    }
}

fn settings() -> StartSettings {
    StartSettings { expected: 300, fetches_a_second: 20.0, ..StartSettings::default() }
}

fn offer(source: Source, age: Nanos) -> Offer {
    Offer { source, revision: 5, seen: BEGAN - age, members: 9, comparable: true }
}

/// Response of discovery to a fetch at the given time: the delay until it succeeds, or until it fails.
type DiscoveryResponse = fn(Nanos) -> Result<Nanos, Nanos>;

/// Starts `nodes` at once and simulates them until `until`. Returns the number of fetches in each second, and when each
/// node got its response.
fn simulate(
    nodes: usize,
    starts: u32,
    lists: bool,
    until: Nanos,
    discovery: DiscoveryResponse,
) -> (Vec<usize>, Vec<Option<Nanos>>) {
    let mut all: Vec<Start> =
        (0..nodes).map(|n| Start::new(settings(), 1000 + n as u64, starts, BEGAN)).collect();
    let mut in_progress: Vec<Option<(Nanos, bool)>> = vec![None; nodes];
    let mut responded_at = vec![None; nodes];
    let mut fetches = vec![0; (until / S) as usize];
    let mut now = BEGAN;
    while now < BEGAN + until {
        for (n, start) in all.iter_mut().enumerate() {
            let ended = in_progress[n].filter(|(at, _)| *at <= now);
            let mut decisions = Decisions::default();
            start.round(
                now,
                |inbox| {
                    if now == BEGAN && lists {
                        inbox.offer(offer(Source::Configured, 0));
                    }
                    match ended {
                        Some((_, true)) => {
                            inbox.offer(Offer { seen: now, ..offer(Source::Discovery, 0) });
                        }
                        Some((_, false)) => inbox.fetch_failed(),
                        None => {}
                    }
                },
                &mut decisions,
            );
            if let Some((_, good)) = ended {
                in_progress[n] = None;
                responded_at[n] = responded_at[n].or(good.then_some(now - BEGAN));
            }
            for _ in decisions.fetched {
                fetches[((now - BEGAN) / S) as usize] += 1;
                let answer = discovery(now - BEGAN);
                in_progress[n] = Some((now + answer.unwrap_or_else(|missed| missed), answer.is_ok()));
            }
        }
        now += 10 * MS;
    }
    (fetches, responded_at)
}

/// The bound of `fetch_schedule`: the rate plus five times its square root.
fn max_rate() -> usize {
    (20.0 + 5.0 * 20f64.sqrt()) as usize
}

#[test]
fn three_hundred_nodes_that_start_at_once_query_discovery_at_a_bounded_rate() {
    let (fetches, responded_at) = simulate(300, 0, false, 20 * S, |_| Ok(2 * MS));
    assert!(fetches.iter().all(|&n| n <= max_rate()), "{fetches:?}");
    assert_eq!(fetches.iter().sum::<usize>(), 300, "each node fetches once, as it gets a response");
    assert!(
        responded_at.iter().all(|t| t.is_some_and(|t| t <= 15 * S + 20 * MS)),
        "within the span of 300 at 20 per second"
    );
    let (fetches, _) = simulate(300, 0, true, 40 * S, |_| Ok(2 * MS));
    assert_eq!(
        fetches[..15].iter().sum::<usize>(),
        0,
        "nodes with a list leave the first span to those without"
    );
    assert!(fetches.iter().all(|&n| n <= max_rate()), "{fetches:?}");
}

#[test]
fn an_outage_of_discovery_at_the_start_does_not_raise_the_rate() {
    let back = 60 * S;
    let (fetches, responded_at) =
        simulate(300, 0, false, 140 * S, |at| if at < 60 * S { Err(250 * MS) } else { Ok(2 * MS) });
    assert!(fetches.iter().all(|&n| n <= max_rate()), "{fetches:?}");
    // A wait is drawn around the longer of the span and the doubled backoff, at most one and a half times of it.
    let latest = responded_at.iter().map(|t| t.expect("every node gets a response")).max().unwrap();
    assert!(latest <= back + 23 * S, "the last one {} s after it is back", (latest - back) / S);
}

#[test]
fn slow_discovery_has_a_bounded_number_of_open_fetches() {
    // Each fetch fails after 2 s; from 30 s on each is answered after 1.5 s.
    let slow: DiscoveryResponse = |at| if at < 30 * S { Err(2 * S) } else { Ok(1_500 * MS) };
    let (fetches, responded_at) = simulate(300, 0, false, 120 * S, slow);
    let open = fetches.windows(2).map(|w| w[0] + w[1]).max().unwrap();
    assert!(open <= 2 * max_rate(), "{open} within 2 s: {fetches:?}");
    assert!(responded_at.iter().all(Option::is_some));
}

#[test]
fn a_node_that_restarts_repeatedly_fetches_later_each_time() {
    let first = |seed: u64, starts: u32| {
        let (mut start, mut decisions) = (Start::new(settings(), seed, starts, BEGAN), Decisions::default());
        let at = (0..3000).map(|n| BEGAN + n * 100 * MS).find(|&now| {
            start.round(now, |_| {}, &mut decisions);
            !decisions.fetched.is_empty()
        });
        at.expect("it fetches in the end") - BEGAN
    };
    let mean = |starts: u32| (0..40).map(|seed| first(seed, starts)).sum::<Nanos>() / 40;
    let means = [0, 1, 2, 3].map(mean);
    assert!(means.windows(2).all(|w| w[1] > w[0] * 3 / 2), "{means:?}");
    assert!((0..40).all(|seed| first(seed, 1000) <= 16 * FetchSchedule::span(&settings(), 300) + 100 * MS));
}

#[test]
fn an_old_list_is_adopted_only_if_no_better_one_arrives_in_time() {
    let day = 86_400 * S;
    let mut start = Start::new(settings(), 7, 0, BEGAN);
    let mut decisions = Decisions::default();
    start.round(BEGAN, |inbox| inbox.offer(offer(Source::Disk, 3 * day)), &mut decisions);
    assert!(decisions.adopted.is_empty());
    start.round(BEGAN + S, |inbox| inbox.fleet(300, 40), &mut decisions);
    assert!(matches!(decisions.wanted, Some(Some(_))), "peers are queried for a better list");
    start.round(BEGAN + 2 * S, |_| {}, &mut decisions);
    assert_eq!(decisions.adopted, [(Source::Disk, BEGAN - 3 * day, 4)]);
    assert_eq!(decisions.discovery_timed_out, 1);
    start.round(BEGAN + 3 * S, |inbox| inbox.offer(offer(Source::Peer, S)), &mut decisions);
    assert_eq!(decisions.adopted[1..], [(Source::Peer, BEGAN - S, 0)], "a newer list replaces it");
    assert_eq!(
        (decisions.wanted, decisions.discovery_timed_out),
        (None, 1),
        "and peers are no longer queried"
    );
}

#[test]
fn health_checks_of_a_starting_fleet_are_spread_over_its_span() {
    let settings = StartSettings { probes_a_second: 50.0, ..settings() };
    for subject in 0..20u64 {
        let mut seconds = [0usize; 6];
        for node in 0..300u64 {
            let at = probe_from(&settings, 300, 5000 + node, subject, BEGAN) - BEGAN;
            seconds[(at / S) as usize] += 1;
        }
        assert!(seconds.iter().all(|&n| (15..=86).contains(&n)), "server {subject}: {seconds:?}");
    }
}

fn any_offer() -> impl Strategy<Value = Offer> {
    let source = prop_oneof![Just(Source::Configured), Just(Source::Disk), Just(Source::Peer)];
    let parts = (source, 0i64..40, 0i64..200_000, 0usize..3, any::<bool>());
    parts.prop_map(|(source, revision, age, members, comparable)| {
        // A discovery service numbers its revisions in order, so a list seen later has no lower revision.
        let revision = if comparable { 1_000_000 - age } else { revision };
        Offer { source, revision, seen: BEGAN - age * S, members, comparable }
    })
}

proptest! {
    #[test]
    fn the_newest_list_is_adopted_in_any_order_of_offers(offers in prop::collection::vec(any_offer(), 1..12)) {
        let mut start = Start::new(settings(), 3, 0, BEGAN);
        let mut decisions = Decisions::default();
        for &offer in &offers {
            start.round(BEGAN, |inbox| inbox.offer(offer), &mut decisions);
        }
        start.round(BEGAN + 2 * S, |_| {}, &mut decisions);
        let newest = offers.iter().filter(|o| o.members > 0).map(|o| o.seen).max();
        prop_assert_eq!(start.adopted().map(|o| o.seen), newest);
        let seen: Vec<Nanos> = decisions.adopted.iter().map(|a| a.1).collect();
        prop_assert!(seen.windows(2).all(|w| w[0] <= w[1]), "no list is replaced by an older one: {:?}", seen);
    }
}
