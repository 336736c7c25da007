//! One message at a time is dropped, duplicated, delayed past its epoch, truncated or changed in one bit.

mod support;

use std::collections::BTreeSet;

use orchidvalve_chain_replication::{Message, Output};
use orchidvalve_protocol::identity::MemberId;
use rstest::rstest;
use support::{Host, member, settle, settle_with, view};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Kind {
    Position,
    Locate,
    Entries,
    Acknowledge,
    Reset,
    Confirm,
    Confirmed,
}

/// Every kind of message; [`kind`] doesn't compile without a case for each.
const KINDS: [Kind; 7] = [
    Kind::Position,
    Kind::Locate,
    Kind::Entries,
    Kind::Acknowledge,
    Kind::Reset,
    Kind::Confirm,
    Kind::Confirmed,
];

fn kind(message: &Message) -> Kind {
    match message {
        Message::Position { .. } => Kind::Position,
        Message::Locate { .. } => Kind::Locate,
        Message::Entries { .. } => Kind::Entries,
        Message::Acknowledge { .. } => Kind::Acknowledge,
        Message::Reset { .. } => Kind::Reset,
        Message::Confirm { .. } => Kind::Confirm,
        Message::Confirmed { .. } => Kind::Confirmed,
    }
}

#[derive(Clone, Copy, Debug)]
enum Mutation {
    None,
    Drop,
    Duplicate,
    DelayPastEpoch,
    Replay,
}

struct Outcome {
    kinds: Vec<Kind>,
    hosts: Vec<Host>,
}

/// A message in flight.
struct HeldMessage {
    from: MemberId,
    to: MemberId,
    message: Message,
}

impl Mutation {
    /// Returns the copies to deliver now, and to whom; copies to deliver later are added to `held`.
    fn apply(self, message: HeldMessage, held: &mut Vec<HeldMessage>) -> Vec<(MemberId, Message)> {
        let HeldMessage { from, to, message } = message;
        match self {
            Mutation::None => vec![(to, message)],
            Mutation::Drop => Vec::new(),
            Mutation::Duplicate => vec![(to, message.clone()), (to, message)],
            Mutation::DelayPastEpoch => {
                held.push(HeldMessage { from, to, message });
                Vec::new()
            }
            Mutation::Replay => {
                held.push(HeldMessage { from, to, message: message.clone() });
                vec![(to, message)]
            }
        }
    }
}

/// Runs a scenario in which every kind of message is sent; message number `target` is mutated.
fn run_scenario(target: usize, mutation: Mutation) -> Outcome {
    let mut kinds = Vec::new();
    let mut held: Vec<HeldMessage> = Vec::new();
    let mut now = 0;
    let mut hosts: Vec<Host> = (1..=2).map(|number| Host::new(member(number), 0)).collect();
    let first = view(1, &[member(1), member(2)], &[], 2);
    let second = view(2, &[member(1), member(2)], &[member(3)], 2);
    let third = view(3, &[member(2), member(3)], &[], 2);
    let mut run_to_rest = |hosts: &mut Vec<Host>, release: bool| {
        for _ in 0..20 {
            settle_with(hosts, &mut |from, to, message| {
                let number = kinds.len();
                kinds.push(kind(&message));
                let applied = if number == target { mutation } else { Mutation::None };
                applied.apply(HeldMessage { from, to, message }, &mut held)
            });
            now += 400;
            hosts.iter_mut().for_each(|host| host.tick(now));
        }
        if release {
            for HeldMessage { from, to, message } in held.drain(..) {
                hosts
                    .iter_mut()
                    .filter(|host| host.me == to)
                    .for_each(|host| host.receive(from, message.clone()));
            }
        }
    };

    hosts.iter_mut().for_each(|host| host.adopt(&first));
    for payload in [b"a", b"b", b"c"] {
        hosts[0].propose(payload);
        run_to_rest(&mut hosts, false);
    }
    hosts[1].input(|replica, _, outputs| replica.barrier(1, outputs));
    run_to_rest(&mut hosts, false);
    hosts[0].trim(2);
    hosts[1].trim(3);
    hosts.push(Host::new(member(3), 0));
    hosts.iter_mut().for_each(|host| host.adopt(&second));
    run_to_rest(&mut hosts, true);
    hosts[0].propose(b"d");
    run_to_rest(&mut hosts, false);
    hosts.iter_mut().for_each(|host| host.adopt(&third));
    run_to_rest(&mut hosts, true);
    hosts[1].propose(b"e");
    hosts[2].input(|replica, _, outputs| replica.barrier(2, outputs));
    run_to_rest(&mut hosts, true);
    run_to_rest(&mut hosts, true);
    Outcome { kinds, hosts }
}

fn check(outcome: &Outcome) {
    let expected: Vec<&[u8]> = vec![b"c", b"d", b"e"];
    for host in &outcome.hosts[1..] {
        let kept: Vec<&[u8]> = host.disk.entries.iter().map(|entry| &*entry.payload).collect();
        assert_eq!(kept, expected);
        assert_eq!(host.replica.committed(), 5);
    }
    for host in &outcome.hosts {
        assert!(host.events.iter().all(|event| !matches!(event, Output::Refused(_))));
    }
    let confirmed = |index: usize, number: u64| {
        outcome.hosts[index]
            .events
            .iter()
            .any(|event| matches!(event, Output::Confirmed { barrier, .. } if *barrier == number))
    };
    assert!(confirmed(1, 1));
    assert!(confirmed(2, 2));
}

#[rstest]
#[case::drop(Mutation::Drop)]
#[case::duplicate(Mutation::Duplicate)]
#[case::delay_past_epoch(Mutation::DelayPastEpoch)]
#[case::replay(Mutation::Replay)]
fn one_mutated_message_does_not_change_the_outcome(#[case] mutation: Mutation) {
    let untouched = run_scenario(usize::MAX, Mutation::None);
    check(&untouched);
    let seen: BTreeSet<Kind> = untouched.kinds.iter().copied().collect();
    assert_eq!(seen, BTreeSet::from(KINDS), "the scenario has to send every kind of message");
    for target in 0..untouched.kinds.len() {
        check(&run_scenario(target, mutation));
    }
}

/// Returns all messages of a scenario without mutations.
fn messages() -> Vec<(MemberId, MemberId, Message)> {
    let mut messages = Vec::new();
    let mut hosts: Vec<Host> = (1..=3).map(|number| Host::new(member(number), 0)).collect();
    let first = view(1, &[member(1), member(2)], &[], 2);
    let second = view(2, &[member(1), member(2)], &[member(3)], 2);
    hosts.iter_mut().for_each(|host| host.adopt(&first));
    hosts[0].propose(b"a");
    hosts[0].propose(b"b");
    settle(&mut hosts);
    hosts[1].trim(2);
    hosts[0].input(|replica, _, outputs| replica.barrier(1, outputs));
    hosts.iter_mut().for_each(|host| host.adopt(&second));
    hosts[0].propose(b"c");
    settle_with(&mut hosts, &mut |from, to, message| {
        messages.push((from, to, message.clone()));
        vec![(to, message)]
    });
    let seen: BTreeSet<Kind> = messages.iter().map(|(_, _, message)| kind(message)).collect();
    assert_eq!(seen, BTreeSet::from(KINDS));
    messages
}

#[test]
fn messages_decode_to_the_encoded_values() {
    for (_, _, message) in messages() {
        let bytes = musli::storage::to_vec(&message).unwrap();
        assert_eq!(musli::storage::from_slice::<Message>(&bytes).unwrap(), message);
    }
}

#[test]
fn damaged_bytes_are_rejected_or_harmless() {
    for (from, to, message) in messages() {
        let bytes = musli::storage::to_vec(&message).unwrap();
        for length in 0..bytes.len() {
            receive_damaged(from, to, &bytes[..length]);
        }
        for bit in 0..bytes.len() * 8 {
            let mut damaged = bytes.clone();
            damaged[bit / 8] ^= 1 << (bit % 8);
            receive_damaged(from, to, &damaged);
        }
    }
}

/// Checks that a damaged message causes no panic and that committed entries stay committed.
fn receive_damaged(from: MemberId, to: MemberId, bytes: &[u8]) {
    let Ok(message) = musli::storage::from_slice::<Message>(bytes) else { return };
    let mut hosts: Vec<Host> = (1..=3).map(|number| Host::new(member(number), 0)).collect();
    let second = view(2, &[member(1), member(2)], &[member(3)], 2);
    hosts.iter_mut().for_each(|host| host.adopt(&second));
    hosts[0].propose(b"a");
    settle(&mut hosts);
    let Some(host) = hosts.iter_mut().find(|host| host.me == to) else { return };
    let committed = host.replica.committed();
    host.receive(from, message);
    assert!(host.replica.committed() >= committed);
}
