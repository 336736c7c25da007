//! Hundreds of nodes that start together, in virtual time: what discovery sees of them, and what each goes by.

use orchidvalve_cold_start::fetch_schedule::FetchSchedule;
use orchidvalve_cold_start::probe_schedule::probe_from;
use orchidvalve_cold_start::start::{ActionSink, Offer, Source, Start};
use orchidvalve_cold_start::{Nanos, StartSettings};
use proptest::prelude::*;

const MS: Nanos = 1_000_000;
const S: Nanos = 1_000 * MS;
const BEGAN: Nanos = 100_000 * S;

#[derive(Default)]
struct Told {
    adopted: Vec<(Source, Nanos, u32)>,
    fetched: Vec<bool>,
    wanted: Option<Option<(i64, Nanos)>>,
    discovery_timed_out: usize,
}

impl ActionSink for Told {
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

/// What discovery does with an ask that came at some moment: how long until it answers, or until it is missed.
type Agent = fn(Nanos) -> Result<Nanos, Nanos>;

/// Starts `nodes` at once, and plays until `until`: asks at discovery in each second, and when each node was told.
fn play(
    nodes: usize,
    starts: u32,
    lists: bool,
    until: Nanos,
    agent: Agent,
) -> (Vec<usize>, Vec<Option<Nanos>>) {
    let mut all: Vec<Start> =
        (0..nodes).map(|n| Start::new(settings(), 1000 + n as u64, starts, BEGAN)).collect();
    let mut out: Vec<Option<(Nanos, bool)>> = vec![None; nodes];
    let mut told = vec![None; nodes];
    let mut asks = vec![0; (until / S) as usize];
    let mut now = BEGAN;
    while now < BEGAN + until {
        for (n, start) in all.iter_mut().enumerate() {
            let ended = out[n].filter(|(at, _)| *at <= now);
            let mut notes = Told::default();
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
                &mut notes,
            );
            if let Some((_, good)) = ended {
                out[n] = None;
                told[n] = told[n].or(good.then_some(now - BEGAN));
            }
            for _ in notes.fetched {
                asks[((now - BEGAN) / S) as usize] += 1;
                let answer = agent(now - BEGAN);
                out[n] = Some((now + answer.unwrap_or_else(|missed| missed), answer.is_ok()));
            }
        }
        now += 10 * MS;
    }
    (asks, told)
}

/// The bound of `pace`'s page: the rate, and five times its root.
fn bound() -> usize {
    (20.0 + 5.0 * 20f64.sqrt()) as usize
}

#[test]
fn discovery_sees_a_bounded_rate_of_three_hundred_nodes_that_start_at_once() {
    let (asks, told) = play(300, 0, false, 20 * S, |_| Ok(2 * MS));
    assert!(asks.iter().all(|&n| n <= bound()), "{asks:?}");
    assert_eq!(asks.iter().sum::<usize>(), 300, "each asks once, as it is answered");
    assert!(told.iter().all(|t| t.is_some_and(|t| t <= 15 * S + 20 * MS)), "the span of 300 at 20 a second");
    let (asks, _) = play(300, 0, true, 40 * S, |_| Ok(2 * MS));
    assert_eq!(
        asks[..15].iter().sum::<usize>(),
        0,
        "those with a list leave the first span to those without"
    );
    assert!(asks.iter().all(|&n| n <= bound()), "{asks:?}");
}

#[test]
fn discovery_down_at_the_start_is_asked_no_faster_and_finds_all_nodes_once_it_is_back() {
    let back = 60 * S;
    let (asks, told) =
        play(300, 0, false, 140 * S, |at| if at < 60 * S { Err(250 * MS) } else { Ok(2 * MS) });
    assert!(asks.iter().all(|&n| n <= bound()), "{asks:?}");
    // A wait is drawn around the longer of the span and the doubled wait, once and a half of it at most.
    let latest = told.iter().map(|t| t.expect("told in the end")).max().unwrap();
    assert!(latest <= back + 23 * S, "the last one {} s after it is back", (latest - back) / S);
}

#[test]
fn discovery_that_answers_slowly_has_no_more_asks_open_than_rate_times_patience() {
    // Each ask is given up after 2 s; from 30 s on they are answered after 1.5 s.
    let slow: Agent = |at| if at < 30 * S { Err(2 * S) } else { Ok(1_500 * MS) };
    let (asks, told) = play(300, 0, false, 120 * S, slow);
    let open = asks.windows(2).map(|w| w[0] + w[1]).max().unwrap();
    assert!(open <= 2 * bound(), "{open} within 2 s: {asks:?}");
    assert!(told.iter().all(Option::is_some));
}

#[test]
fn a_node_that_starts_over_and_over_asks_later_each_time() {
    let first = |seed: u64, starts: u32| {
        let (mut start, mut notes) = (Start::new(settings(), seed, starts, BEGAN), Told::default());
        let at = (0..3000).map(|n| BEGAN + n * 100 * MS).find(|&now| {
            start.round(now, |_| {}, &mut notes);
            !notes.fetched.is_empty()
        });
        at.expect("it asks in the end") - BEGAN
    };
    let mean = |starts: u32| (0..40).map(|seed| first(seed, starts)).sum::<Nanos>() / 40;
    let means = [0, 1, 2, 3].map(mean);
    assert!(means.windows(2).all(|w| w[1] > w[0] * 3 / 2), "{means:?}");
    assert!((0..40).all(|seed| first(seed, 1000) <= 16 * FetchSchedule::span(&settings(), 300) + 100 * MS));
}

#[test]
fn a_list_too_old_is_gone_by_only_when_nothing_better_came_in_time() {
    let day = 86_400 * S;
    let mut start = Start::new(settings(), 7, 0, BEGAN);
    let mut notes = Told::default();
    start.round(BEGAN, |inbox| inbox.offer(offer(Source::Disk, 3 * day)), &mut notes);
    assert!(notes.adopted.is_empty());
    start.round(BEGAN + S, |inbox| inbox.fleet(300, 40), &mut notes);
    assert!(matches!(notes.wanted, Some(Some(_))), "peers are asked for a better one");
    start.round(BEGAN + 2 * S, |_| {}, &mut notes);
    assert_eq!(notes.adopted, [(Source::Disk, BEGAN - 3 * day, 4)]);
    assert_eq!(notes.discovery_timed_out, 1);
    start.round(BEGAN + 3 * S, |inbox| inbox.offer(offer(Source::Peer, S)), &mut notes);
    assert_eq!(notes.adopted[1..], [(Source::Peer, BEGAN - S, 0)], "a younger one is gone by instead");
    assert_eq!((notes.wanted, notes.discovery_timed_out), (None, 1), "and no more is asked of peers");
}

#[test]
fn servers_see_the_probes_of_a_starting_fleet_spread_over_its_span() {
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
        // One discovery tells its revisions in order: a list seen later has no older one.
        let revision = if comparable { 1_000_000 - age } else { revision };
        Offer { source, revision, seen: BEGAN - age * S, members, comparable }
    })
}

proptest! {
    #[test]
    fn in_whatever_order_lists_come_the_youngest_is_gone_by(offers in prop::collection::vec(any_offer(), 1..12)) {
        let mut start = Start::new(settings(), 3, 0, BEGAN);
        let mut notes = Told::default();
        for &offer in &offers {
            start.round(BEGAN, |inbox| inbox.offer(offer), &mut notes);
        }
        start.round(BEGAN + 2 * S, |_| {}, &mut notes);
        let youngest = offers.iter().filter(|o| o.members > 0).map(|o| o.seen).max();
        prop_assert_eq!(start.adopted().map(|o| o.seen), youngest);
        let seen: Vec<Nanos> = notes.adopted.iter().map(|a| a.1).collect();
        prop_assert!(seen.windows(2).all(|w| w[0] <= w[1]), "none is undone by an older one: {:?}", seen);
    }
}
