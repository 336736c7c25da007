//! The merge of verdicts is a join: in any order, and with any repetitions, the same verdicts give the same state.
//! Gossip may deliver messages in any order, so convergence depends on this.

use orchidvalve_fleet::Peer;
use orchidvalve_fleet::verdicts::{GossipedVerdict, Topic, VerdictKey, Verdicts};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

fn verdict() -> impl Strategy<Value = GossipedVerdict> {
    (0u64..3, 0u8..2, 0u8..3, any::<bool>(), 0u8..3, 0u32..4, 0i64..50, 1i64..80).prop_map(
        |(subject, service_class, topic, holds, origin, sequence, age, lasts)| GossipedVerdict {
            key: VerdictKey { subject, service_class, topic: Topic::from_byte(topic).unwrap() },
            holds,
            origin: Peer { ip: [10, 0, 0, origin], port: 1, incarnation: 0 },
            sequence,
            age,
            lasts,
        },
    )
}

fn merged(all: &[GossipedVerdict], now: i64) -> Vec<(VerdictKey, bool, Peer, u32, i64, i64)> {
    let mut verdicts = Verdicts::new(1000);
    all.iter().for_each(|t| {
        verdicts.merge(*t, now);
    });
    verdicts.known.iter().map(|(k, v)| (*k, v.holds, v.origin, v.sequence, v.seen, v.until)).collect()
}

fn config() -> Config {
    Config { cases: 500, rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..Config::default() }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn order_and_repetitions_do_not_change_the_result(
        all in proptest::collection::vec(verdict(), 0..24),
        order in any::<u64>(),
        twice in proptest::collection::vec(any::<prop::sample::Index>(), 0..8),
    ) {
        let now = 100;
        let mut shuffled = all.clone();
        let mut state = order | 1;
        for at in (1..shuffled.len()).rev() {
            state ^= state << 13; state ^= state >> 7; state ^= state << 17;
            shuffled.swap(at, (state % (at as u64 + 1)) as usize);
        }
        if !all.is_empty() {
            shuffled.extend(twice.iter().map(|i| all[i.index(all.len())]));
        }
        prop_assert_eq!(merged(&all, now), merged(&shuffled, now));
    }

    #[test]
    fn two_nodes_that_exchange_all_verdicts_agree(
        left in proptest::collection::vec(verdict(), 0..16),
        right in proptest::collection::vec(verdict(), 0..16),
    ) {
        let now = 100;
        let (mut a, mut b) = (Verdicts::new(1000), Verdicts::new(1000));
        left.iter().for_each(|t| { a.merge(*t, now); });
        right.iter().for_each(|t| { b.merge(*t, now); });
        let (from_a, from_b) = (a.freshest(usize::MAX, now), b.freshest(usize::MAX, now));
        from_b.iter().for_each(|t| { a.merge(*t, now); });
        from_a.iter().for_each(|t| { b.merge(*t, now); });
        let view = |v: &Verdicts| v.known.iter().map(|(k, x)| (*k, x.holds, x.origin, x.sequence, x.seen)).collect::<Vec<_>>();
        prop_assert_eq!(view(&a), view(&b));
    }
}
