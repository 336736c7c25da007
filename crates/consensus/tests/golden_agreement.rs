//! The outputs of the agreement equal the recorded ones, byte for byte and at the same times.

mod support;

use std::path::PathBuf;

use musli::alloc::Global;
use musli::mode::Binary;
use musli::{Decode, Encode};
use orchidvalve_consensus::acceptor::Acceptor;
use orchidvalve_consensus::{AcceptedView, DurableState, MemberStatus, Message, View};
use orchidvalve_golden::{check_hashes, check_samples, read_samples};
use support::simulation::{Plan, Simulation};
use support::{ballot, member, view};

const RUNS_PER_DEPLOYMENT: u64 = 10;

fn golden(name: &str) -> PathBuf {
    [env!("CARGO_MANIFEST_DIR"), "tests", "golden", name].iter().collect()
}

/// A run under faults whose rates depend on the number of the run.
fn plan(run: u64, machines: u8, seeds: u8) -> Plan {
    Plan {
        machines,
        seeds,
        faults_end_at: 10_000,
        ends_at: 50_000,
        fault_interval: 150 + 137 * run,
        loss: if run.is_multiple_of(2) { 0.0 } else { 0.02 * run as f64 },
        delay: 2 + 12 * run,
    }
}

#[test]
fn simulated_runs_produce_the_recorded_bytes() {
    let deployments = [(1, 1), (2, 2), (3, 3), (4, 3), (5, 3), (3, 1)];
    let mut hashes = Vec::new();
    for (machines, seeds) in deployments {
        for run in 0..RUNS_PER_DEPLOYMENT {
            let seed = 10_000 * u64::from(machines) + 1_000 * u64::from(seeds) + run;
            let hash = Simulation::new(seed, plan(run, machines, seeds)).run_traced();
            hashes.push((format!("machines-{machines}-seeds-{seeds}-run-{run}"), hash));
        }
    }
    check_hashes(&golden("simulation.txt"), &hashes);
}

fn second_view() -> View {
    view(2, &[member(1, 1), member(2, 0x0123_4567_89ab_cdef), member(3, 1)], &[member(3, 1), member(1, 1)])
}

fn status(set: [bool; 5]) -> MemberStatus {
    let [caught_up, unsettled, reaches_chain, leaving, impaired] = set;
    MemberStatus { caught_up, unsettled, reaches_chain, leaving, impaired }
}

fn messages() -> Vec<(&'static str, Message)> {
    let (low, high) = (ballot(7, member(2, 9)), ballot(300, member(1, 1)));
    let pong = |set| Message::Pong { number: 1 << 40, epoch: 2, status: status(set) };
    vec![
        ("greeting", Message::Hello { member: member(3, 1 << 63), bootstrap: true, epoch: 0 }),
        ("greeting-later", Message::Hello { member: member(3, 5), bootstrap: false, epoch: 300 }),
        ("ping", Message::Ping { number: 1 << 40, epoch: 2 }),
        ("pong-nothing", pong([false; 5])),
        ("pong-ready", pong([true, false, false, false, false])),
        ("pong-unsettled", pong([false, true, false, false, false])),
        ("pong-reaches-chain", pong([false, false, true, false, false])),
        ("pong-leaving", pong([false, false, false, true, false])),
        ("pong-impaired", pong([false, false, false, false, true])),
        ("prepare", Message::Prepare { epoch: 2, ballot: low }),
        ("promise-nothing-accepted", Message::Promise { epoch: 2, ballot: high, accepted: None }),
        (
            "promise-something-accepted",
            Message::Promise {
                epoch: 2,
                ballot: high,
                accepted: Some(AcceptedView { ballot: low, view: second_view() }),
            },
        ),
        ("accept", Message::Accept { ballot: high, view: second_view() }),
        ("accepted", Message::Accepted { epoch: 2, ballot: high }),
        ("refused", Message::Nack { epoch: 2, ballot: low, promised: high }),
        ("decided", Message::Decided { view: second_view() }),
    ]
}

#[test]
fn messages_have_the_recorded_bytes_and_decode_to_the_same_values() {
    let encode = |(name, message): &(&'static str, Message)| {
        let mut bytes = Vec::new();
        message.encode(&mut bytes).expect("a message can be encoded");
        (*name, bytes)
    };
    let samples: Vec<_> = messages().iter().map(encode).collect();
    check_samples(&golden("messages.txt"), &samples);
    for ((_, message), (name, bytes)) in messages().iter().zip(read_samples(&golden("messages.txt"))) {
        assert_eq!(Message::decode(&bytes).as_ref().ok(), Some(message), "{name}");
    }
}

fn states() -> Vec<(&'static str, DurableState)> {
    let (low, high) = (ballot(7, member(2, 9)), ballot(300, member(1, 1)));
    let first_view = view(1, &[member(1, 1)], &[member(1, 1)]);
    let with_acceptor = |promised, accepted| DurableState {
        view: Some(first_view.clone()),
        acceptor: Acceptor { promised, accepted },
        complete: false,
    };
    vec![
        ("nothing", DurableState::default()),
        ("view", DurableState { view: Some(second_view()), complete: true, ..DurableState::default() }),
        ("promise", with_acceptor(Some(low), None)),
        ("accepted", with_acceptor(Some(high), Some(AcceptedView { ballot: low, view: second_view() }))),
    ]
}

fn check_parts<T>(file: &str, values: &[(&'static str, T)])
where
    T: Encode<Binary> + for<'de> Decode<'de, Binary, Global> + PartialEq + std::fmt::Debug,
{
    let encode = |value: &T| musli::storage::to_vec(value).expect("can be encoded");
    let samples: Vec<_> = values.iter().map(|(name, value)| (*name, encode(value))).collect();
    check_samples(&golden(file), &samples);
    for ((_, value), (name, bytes)) in values.iter().zip(read_samples(&golden(file))) {
        let read: T = musli::storage::from_slice(&bytes).expect("can be decoded");
        assert_eq!(read, *value, "{name}");
    }
}

#[test]
fn durable_states_and_their_parts_have_the_recorded_bytes_and_decode_to_the_same_values() {
    check_parts("durable_states.txt", &states());
    check_parts(
        "views.txt",
        &[("first", view(1, &[member(1, 1)], &[member(1, 1)])), ("second", second_view())],
    );
    check_parts(
        "ballots.txt",
        &[("low", ballot(0, member(1, 1))), ("high", ballot(u32::MAX, member(255, 2)))],
    );
}
