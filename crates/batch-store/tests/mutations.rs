//! Drops, duplicates, delays or replays one message at a time, and truncates or corrupts bytes.

mod support;

use std::collections::BTreeSet;

use musli::alloc::Global;
use musli::mode::Binary;
use musli::{Decode, Encode};
use orchidvalve_batch_store::{DiskRecord, PeerMessage};
use orchidvalve_protocol::frames::{decode, encode};
use orchidvalve_protocol::messages::{GatewayMessage, ItemFailures, StoreMessage, StoreResponse};
use rstest::rstest;
use support::{Message, Mutation, Process, World, disk, job, member, result_items};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Kind {
    Handshake,
    GatewayHeartbeat,
    Submit,
    Read,
    ItemBody,
    End,
    Outcomes,
    ReturnGroups,
    Failures,
    StoreHeartbeat,
    Response,
    Assign,
    Cancel,
    Acknowledgement,
    KnownFailures,
    Chain,
    /// Sent by the process, not by the store under test.
    PeerLink,
}

/// Every kind of message that the scenario sends. The match in [`kind`] does not compile if one is missing.
const KINDS: [Kind; 16] = [
    Kind::Handshake,
    Kind::GatewayHeartbeat,
    Kind::Submit,
    Kind::Read,
    Kind::ItemBody,
    Kind::End,
    Kind::Outcomes,
    Kind::ReturnGroups,
    Kind::Failures,
    Kind::StoreHeartbeat,
    Kind::Response,
    Kind::Assign,
    Kind::Cancel,
    Kind::Acknowledgement,
    Kind::KnownFailures,
    Kind::Chain,
];

fn kind(message: &Message) -> Kind {
    match message {
        Message::ToStore { message, .. } => match message {
            GatewayMessage::Handshake(_) => Kind::Handshake,
            GatewayMessage::Heartbeat { .. } => Kind::GatewayHeartbeat,
            GatewayMessage::SubmitJob { .. } => Kind::Submit,
            GatewayMessage::ReadResults { .. } => Kind::Read,
            GatewayMessage::ReadItemBody { .. } => Kind::ItemBody,
            GatewayMessage::EndJob { .. } => Kind::End,
            GatewayMessage::ReportOutcomes { .. } => Kind::Outcomes,
            GatewayMessage::ReturnGroups { .. } => Kind::ReturnGroups,
            GatewayMessage::ReportFailures { .. } => Kind::Failures,
        },
        Message::ToGateway { message, .. } => match message {
            StoreMessage::Heartbeat => Kind::StoreHeartbeat,
            StoreMessage::Response { .. } => Kind::Response,
            StoreMessage::AssignGroups { .. } => Kind::Assign,
            StoreMessage::CancelJob { .. } => Kind::Cancel,
            StoreMessage::AcknowledgeOutcomes { .. } => Kind::Acknowledgement,
            StoreMessage::KnownFailures { .. } => Kind::KnownFailures,
        },
        Message::Peer { message, .. } => match message {
            PeerMessage::Handshake { .. } | PeerMessage::Heartbeat => Kind::PeerLink,
            PeerMessage::Chain { .. } => Kind::Chain,
        },
    }
}

/// Retries `attempt` until `done` returns `true`, as a gateway does whose messages may be lost.
fn retry_until(
    world: &mut World,
    what: &str,
    mut attempt: impl FnMut(&mut World),
    done: impl Fn(&World) -> bool,
) {
    for _ in 0..20 {
        attempt(world);
        world.run();
        if done(world) {
            return;
        }
        world.advance(300);
        if done(world) {
            return;
        }
    }
    panic!("{what} never worked");
}

fn got_response(world: &World, matches_response: impl Fn(&StoreResponse) -> bool) -> bool {
    world.gateways[&1].responses.iter().any(|(_, response)| matches_response(response))
}

fn is_assigned(world: &World, group: u32) -> bool {
    world.gateways[&1].assigned.iter().any(|(_, assigned)| assigned.index == group)
}

/// Runs a scenario in which every kind of message is sent, and mutates the message with number `target`.
fn run_scenario(target: usize, mutation: Mutation) -> World {
    let mut world = World::placed(2, 2);
    (world.message_fault.target, world.message_fault.mutation) = (target, mutation);
    world.gateways.entry(1).or_default();
    retry_until(
        &mut world,
        "submitting",
        |world| {
            world.gateway_connected(1, 1);
            world.submit(1, 0, "j", job("j", 2, 2, 2));
        },
        |world| got_response(world, |response| *response == StoreResponse::Accepted),
    );
    // A link on which a message was lost is closed, and the gateway reconnects.
    retry_until(
        &mut world,
        "assigning",
        |world| world.gateway_connected(1, 1),
        |world| is_assigned(world, 0) && is_assigned(world, 1),
    );
    world.release_delayed();
    let failures = vec![ItemFailures { item: "j-1-1".to_owned(), count: 1 }];
    let failed = GatewayMessage::ReportFailures { partition: 0, job: "j".to_owned(), failures };
    world.send_to_store(1, 0, failed);
    let returned =
        GatewayMessage::ReturnGroups { partition: 0, epoch: 1, job: "j".to_owned(), groups: vec![1] };
    world.send_to_store(1, 0, returned);
    world.advance(600);
    let report = |world: &mut World| world.report(1, 0, "j", &["j-0-1", "j-1-0"]);
    retry_until(&mut world, "reporting", report, |world| {
        ["j-0-1", "j-1-0"]
            .iter()
            .all(|item| world.gateways[&1].acknowledged.iter().any(|recorded| recorded == item))
    });
    world.release_delayed();
    let read = |world: &mut World| {
        world.read(1, 1, "j", 0, 0);
        world.item_body(1, 1, "j", "j-0-0");
    };
    retry_until(&mut world, "reading", read, |world| {
        got_response(world, |response| matches!(response, StoreResponse::Results { next: 2, .. }))
            && got_response(world, |response| *response == StoreResponse::Body(b"hello".to_vec()))
    });
    // A body that is requested after the end of the job is not found, which is correct then.
    assert!(!got_response(&world, |response| *response == StoreResponse::NotFound));
    retry_until(
        &mut world,
        "ending",
        |world| {
            world.end(1, 0, "j");
        },
        |world| got_response(world, |response| *response == StoreResponse::Ended),
    );
    retry_until(
        &mut world,
        "cancelling",
        |world| world.gateway_connected(1, 1),
        |world| world.gateways[&1].cancelled.contains(&"j".to_owned()),
    );
    world.release_delayed();
    world.advance(1_000);
    world
}

fn check_results(world: &mut World) {
    world.message_fault.target = usize::MAX;
    for index in 0..2 {
        let call = world.read(1, index, "j", 0, 0);
        world.run();
        assert_eq!(result_items(world.response(1, call)), ["j-0-1", "j-1-0"]);
    }
    assert!(!got_response(world, |response| matches!(response, StoreResponse::Rejected { .. })));
}

#[rstest]
#[case::drop(Mutation::Drop)]
#[case::double(Mutation::Double)]
#[case::delay(Mutation::Delay)]
#[case::replay(Mutation::Replay)]
fn one_mutated_message_changes_no_outcome(#[case] mutation: Mutation) {
    let mut untouched = run_scenario(usize::MAX, Mutation::None);
    let kinds: Vec<Kind> = untouched.message_fault.seen.iter().map(kind).collect();
    let seen: BTreeSet<Kind> = kinds.iter().copied().collect();
    assert_eq!(seen, BTreeSet::from(KINDS), "the scenario has to send every kind of message");
    check_results(&mut untouched);
    for target in 0..kinds.len() {
        check_results(&mut run_scenario(target, mutation));
    }
}

/// Calls `take` with every value that decodes after the bytes were truncated or a bit was flipped.
fn for_each_damaged<T>(message: &T, mut take: impl FnMut(T))
where
    T: Encode<Binary> + for<'de> Decode<'de, Binary, Global>,
{
    let bytes = encode(message);
    for length in 0..bytes.len() {
        decode::<T>(&bytes[..length]).into_iter().for_each(&mut take);
    }
    for bit in 0..bytes.len() * 8 {
        let mut damaged = bytes.clone();
        damaged[bit / 8] ^= 1 << (bit % 8);
        decode::<T>(&damaged).into_iter().for_each(&mut take);
    }
}

#[test]
fn damaged_bytes_do_no_harm() {
    let untouched = run_scenario(usize::MAX, Mutation::None);
    let mut tried = BTreeSet::new();
    for message in untouched.message_fault.seen {
        if !tried.insert(kind(&message)) {
            continue;
        }
        let mut world = World::placed(2, 2);
        world.gateway_connected(1, 1);
        world.submit(1, 0, "j", job("j", 1, 2, 1));
        world.run();
        match message {
            Message::ToStore { gateway, index, message } => {
                for_each_damaged(&message, |damaged| world.send_to_store(gateway, index, damaged));
            }
            Message::Peer { from, to, message } => {
                for_each_damaged(&message, |damaged| world.deliver(from, to, damaged));
            }
            Message::ToGateway { .. } => {}
        }
        world.advance(200);
    }
}

#[test]
fn damaged_records_do_no_harm() {
    let mut world = World::placed(1, 1);
    world.gateway_connected(1, 1);
    world.submit(1, 0, "j", job("j", 1, 1, 1));
    world.run();
    world.report(1, 0, "j", &["j-0-0"]);
    world.run();
    let records = world.stores[0].disk.clone();
    for index in 0..records.len() {
        let record: DiskRecord = decode(&records[index].payload).unwrap();
        for_each_damaged(&record, |damaged| {
            let mut records = records.clone();
            records[index].payload = encode(&damaged);
            Process::start(member(1), records, 1, 5);
        });
    }
}

#[test]
fn messages_read_back_as_they_were_written() {
    for message in run_scenario(usize::MAX, Mutation::None).message_fault.seen {
        match message {
            Message::ToStore { message, .. } => assert_eq!(decode(&encode(&message)), Some(message)),
            Message::ToGateway { message, .. } => assert_eq!(decode(&encode(&message)), Some(message)),
            Message::Peer { message, .. } => assert_eq!(decode(&encode(&message)), Some(message)),
        }
    }
    let introduce = PeerMessage::Handshake { version: 1, member: disk(1, 2) };
    assert_eq!(decode(&encode(&introduce)), Some(introduce));
}

/// Records of another version may have been acknowledged, so the host must not run the store.
#[test]
fn records_that_cannot_be_read_are_counted() {
    let mut world = World::placed(1, 1);
    world.gateway_connected(1, 1);
    world.submit(1, 0, "j", job("j", 1, 1, 1));
    world.run();
    let mut records = world.stores[0].disk.clone();
    assert_eq!(Process::start(member(1), records.clone(), 1, 5).store.unreadable_records(), 0);
    records[0].payload = vec![0xff; 9];
    assert_eq!(Process::start(member(1), records, 1, 5).store.unreadable_records(), 1);
}
