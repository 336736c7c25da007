//! One message at a time is lost, duplicated, delayed past its epoch, replayed or damaged. Agreement must hold, and all
//! members must still reach the same view.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;

use orchidvalve_consensus::message::MAX_MESSAGE_BYTES;
use orchidvalve_consensus::{AcceptedView, Agreement, DecodeError, Message, View};
use rstest::rstest;

mod support;

use support::network::Network;
use support::{addresses, ballot, member, members, ready, view};

/// Delay in milliseconds, longer than any epoch of the scenario except the last.
const PAST_EPOCH: u64 = 4_500;

/// The maximum number of mutated messages per variant, spread over the scenario.
const SAMPLES: usize = 12;

/// Every variant of `Message`. A new variant doesn't compile until `variant` names it, and then fails the test until it
/// is listed here and occurs in the scenario.
const VARIANTS: [&str; 9] =
    ["Hello", "Ping", "Pong", "Prepare", "Promise", "Accept", "Accepted", "Nack", "Decided"];

fn variant(message: &Message) -> &'static str {
    match message {
        Message::Hello { .. } => "Hello",
        Message::Ping { .. } => "Ping",
        Message::Pong { .. } => "Pong",
        Message::Prepare { .. } => "Prepare",
        Message::Promise { .. } => "Promise",
        Message::Accept { .. } => "Accept",
        Message::Accepted { .. } => "Accepted",
        Message::Nack { .. } => "Nack",
        Message::Decided { .. } => "Decided",
    }
}

#[derive(Clone, Copy, Debug)]
enum Mutation {
    Drop,
    Duplicate,
    DelayPastEpoch,
    Replay,
    Truncate,
    FlipBit,
}

impl Mutation {
    /// Returns the delays of the copies that arrive, in milliseconds.
    fn apply(self, message: &Message) -> Vec<u64> {
        match self {
            Mutation::Drop => vec![],
            Mutation::Duplicate => vec![1, 1],
            Mutation::DelayPastEpoch => vec![PAST_EPOCH],
            Mutation::Replay => vec![1, PAST_EPOCH],
            Mutation::Truncate => {
                let bytes = encoded(message);
                assert!(Message::decode(&bytes[..bytes.len() - 1]).is_err());
                vec![]
            }
            Mutation::FlipBit => {
                let mut bytes = encoded(message);
                let middle = bytes.len() / 2;
                bytes[middle] ^= 0x10;
                assert!(Message::decode(&bytes).is_err());
                vec![]
            }
        }
    }
}

fn encoded(message: &Message) -> Vec<u8> {
    let mut bytes = Vec::new();
    message.encode(&mut bytes).expect("encodes to memory");
    bytes
}

/// Reports to all members that they have caught up and who the learners are, while time passes.
fn run_with_readiness(network: &mut Network, duration: u64) {
    for _ in 0..duration / 100 {
        for me in members(3) {
            network.drive(me, |agreement, _, outputs| {
                agreement.set_learners(&members(3));
                let epoch = agreement.epoch();
                agreement.member_caught_up(me, epoch, outputs);
            });
        }
        network.run(100);
    }
}

/// Three seeds decide the first view; a partition between head and middle makes both propose; then the partition heals.
fn scenario(delivery: impl FnMut(&Message) -> Vec<u64> + 'static) -> Network {
    let mut network = Network::new();
    network.set_delivery(Box::new(delivery));
    for me in members(3) {
        network.add(me, Agreement::new(me, true, addresses(3), None));
    }
    network.run(2_000);
    network.partition(member(1, 1), member(2, 1));
    network.partition(member(2, 1), member(1, 1));
    network.run(2_000);
    network.heal();
    run_with_readiness(&mut network, 8_000);
    network
}

fn check(network: &Network, context: &str) {
    let mut decided: BTreeMap<u64, &View> = BTreeMap::new();
    for (_, change) in &network.changes {
        let first = decided.entry(change.epoch).or_insert(change);
        assert_eq!(*first, change, "{context}: two views in one epoch");
    }
    let views: Vec<&View> = decided.values().copied().collect();
    assert!(views.windows(2).all(|pair| pair[1].follows(pair[0])), "{context}: {views:?}");
    for me in members(3) {
        let current = network.view(me);
        assert_eq!(Some(&&current), views.last(), "{context}: {me} is behind");
        assert_eq!(current.chain.len(), 3, "{context}: {current:?}");
        let confirmed_at = network.nodes[&me].quorum_confirmed_at();
        assert!(confirmed_at.is_some_and(|at| at + 500 > network.now), "{context}: {confirmed_at:?}");
    }
}

/// Returns how often each variant is sent without a mutation.
fn counts() -> BTreeMap<&'static str, usize> {
    let counts: Rc<Cell<BTreeMap<&'static str, usize>>> = Rc::default();
    let counter = Rc::clone(&counts);
    let network = scenario(move |message| {
        let mut counts = counter.take();
        *counts.entry(variant(message)).or_default() += 1;
        counter.set(counts);
        vec![1]
    });
    check(&network, "no mutation");
    counts.take()
}

#[test]
fn scenario_and_table_contain_every_variant() {
    let counts = counts();
    println!("{counts:?}");
    for name in VARIANTS {
        assert!(counts.contains_key(name), "{name} doesn't occur in the scenario");
    }
    assert_eq!(counts.len(), VARIANTS.len(), "a variant is missing in the table");
}

#[rstest]
#[case::drop(Mutation::Drop)]
#[case::duplicate(Mutation::Duplicate)]
#[case::delay(Mutation::DelayPastEpoch)]
#[case::replay(Mutation::Replay)]
#[case::truncate(Mutation::Truncate)]
#[case::flip_bit(Mutation::FlipBit)]
fn agreement_holds_with_one_message_changed(#[case] mutation: Mutation) {
    let counts = counts();
    for name in VARIANTS {
        let count = counts[name];
        let step = count.div_ceil(SAMPLES);
        for target in (0..count).step_by(step) {
            let mut seen = 0;
            let network = scenario(move |message| {
                if variant(message) != name {
                    return vec![1];
                }
                seen += 1;
                if seen == target + 1 { mutation.apply(message) } else { vec![1] }
            });
            check(&network, &format!("{mutation:?} of {name} {target}"));
        }
    }
}

fn samples() -> Vec<Message> {
    let (one, two) = (ballot(3, member(1, 1)), ballot(4, member(2, 9)));
    let seven = view(u64::MAX, &members(7), &members(7));
    vec![
        Message::Hello { member: member(1, u64::MAX), bootstrap: true, epoch: 7 },
        Message::Ping { number: u64::MAX, epoch: 300 },
        Message::Pong { number: 9, epoch: 2, status: ready() },
        Message::Prepare { epoch: 2, ballot: one },
        Message::Promise {
            epoch: u64::MAX,
            ballot: one,
            accepted: Some(AcceptedView { ballot: two, view: seven.clone() }),
        },
        Message::Accept { ballot: one, view: seven.clone() },
        Message::Accepted { epoch: 2, ballot: two },
        Message::Nack { epoch: 2, ballot: one, promised: two },
        Message::Decided { view: seven },
    ]
}

#[test]
fn every_variant_survives_encoding_within_the_limit() {
    let samples = samples();
    assert_eq!(samples.iter().map(variant).collect::<Vec<_>>(), VARIANTS);
    for message in samples {
        let bytes = encoded(&message);
        assert!(bytes.len() <= MAX_MESSAGE_BYTES);
        assert_eq!(Message::decode(&bytes).expect("just encoded"), message);
    }
}

#[test]
fn every_truncation_and_every_flipped_bit_is_rejected() {
    for message in samples() {
        let bytes = encoded(&message);
        for length in 0..bytes.len() {
            assert!(Message::decode(&bytes[..length]).is_err(), "{message:?} truncated to {length}");
        }
        for bit in 0..bytes.len() * 8 {
            let mut damaged = bytes.clone();
            damaged[bit / 8] ^= 1 << (bit % 8);
            assert!(Message::decode(&damaged).is_err(), "{message:?} with bit {bit} flipped");
        }
    }
}

#[test]
fn decode_errors_name_the_reason() {
    let too_long = vec![0; MAX_MESSAGE_BYTES + 1];
    assert!(matches!(Message::decode(&too_long), Err(DecodeError::TooLong { .. })));
    assert!(matches!(Message::decode(&[]), Err(DecodeError::Checksum)));
    let malformed = Message::Decided { view: view(2, &members(2), &members(3)) };
    assert!(matches!(Message::decode(&encoded(&malformed)), Err(DecodeError::View)));
}
