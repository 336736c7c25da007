//! The bytes of the fleet's datagrams, compared with recorded ones, and decoding back to the original messages.

mod net;

use std::path::PathBuf;

use net::{Faults, MS, Net, S};
use orchidvalve_fleet::Peer;
use orchidvalve_fleet::leases::{BudgetKey, LeaseGrant, LeaseRequest};
use orchidvalve_fleet::lists::{ListMessage, ListOffer, ListVersion, ListWanted, Page, PageRequest};
use orchidvalve_fleet::verdicts::{GossipedVerdict, Topic, VerdictKey};
use orchidvalve_fleet::wire::{Message, decode, encode};
use orchidvalve_golden::{Trace, check_hashes, check_samples, read_samples};

const SENDER: Peer = Peer { ip: [10, 0, 0, 7], port: 7946, incarnation: 0x0102 };
const ORIGIN: Peer = Peer { ip: [192, 168, 1, 254], port: 65535, incarnation: 1 };

fn verdict(topic: Topic, holds: bool, sequence: u32) -> GossipedVerdict {
    let key = VerdictKey { subject: 0xfeed_beef_0000_0001, service_class: 3, topic };
    GossipedVerdict { key, holds, origin: ORIGIN, sequence, age: 5_000_000_000, lasts: -1 }
}

fn messages() -> Vec<(&'static str, Message)> {
    let key = BudgetKey { family: 2, subject: 0x0123_4567_89ab_cdef };
    let verdicts = vec![
        verdict(Topic::SlowStart, true, 1),
        verdict(Topic::Failing, false, u32::MAX),
        verdict(Topic::Draining, true, 9),
    ];
    let offer = ListOffer {
        topic: 11,
        revision: -4,
        age: 250_000_000,
        fingerprint: 0xdead_beef_dead_beef,
        length: 70_000,
    };
    let page = |bytes: &[u8]| {
        Message::List(ListMessage::Page(Page { fingerprint: 77, page: 300, bytes: bytes.to_vec() }))
    };
    vec![
        ("membership", Message::Swim(vec![0, 1, 2, 0xff])),
        ("membership-empty", Message::Swim(Vec::new())),
        (
            "lease-request",
            Message::LeaseRequest(LeaseRequest { key, total: 100.0, amount: 12.5, number: 0x0a0b_0c0d }),
        ),
        (
            "lease-grant",
            Message::LeaseGrant(LeaseGrant {
                key,
                request: 0x0a0b_0c0d,
                amount: 0.125,
                duration: 3_000_000_000,
            }),
        ),
        ("verdicts-none", Message::Verdicts(Vec::new())),
        ("verdicts-three", Message::Verdicts(verdicts)),
        ("list-wanted", Message::List(ListMessage::Wanted(11))),
        ("list-notice", Message::List(ListMessage::Offer(offer))),
        (
            "list-pull",
            Message::List(ListMessage::PageRequest(PageRequest { fingerprint: 77, from: 300, pages: 16 })),
        ),
        ("list-page", page(b"page")),
        ("list-page-empty", page(b"")),
    ]
}

fn golden(name: &str) -> PathBuf {
    [env!("CARGO_MANIFEST_DIR"), "tests", "golden", name].iter().collect()
}

#[test]
fn datagrams_have_the_recorded_bytes_and_decode_back() {
    let path = golden("datagrams.txt");
    let encode = |(name, message): &(&'static str, Message)| {
        let mut bytes = Vec::new();
        encode(SENDER, message, &mut bytes);
        (*name, bytes)
    };
    let samples: Vec<_> = messages().iter().map(encode).collect();
    check_samples(&path, &samples);
    for ((_, message), (name, bytes)) in messages().into_iter().zip(read_samples(&path)) {
        assert_eq!(decode(&bytes), Ok((SENDER, message)), "{name}");
    }
}

/// Nodes that borrow from each other, gossip verdicts and transfer a list, with losses, a network partition and a
/// crash.
#[test]
fn simulated_fleets_send_the_recorded_bytes() {
    let key = BudgetKey { family: 1, subject: 42 };
    let mut hashes = Vec::new();
    for run in 0..8_u64 {
        let mut net = Net::new(6, 6, run, |settings| settings);
        net.trace = Some(Trace::new());
        let loss = 0.04 * run as f64;
        net.faults = Faults { loss, duplicates: loss, delay: 2 * MS, jitter: 5 * MS * run as i64 };
        while net.now < 20 * S {
            if net.now == 6 * S {
                net.side = vec![0, 0, 0, 1, 1, 1];
            }
            if net.now == 9 * S {
                net.side = vec![0; 6];
            }
            if net.now == 12 * S {
                net.nodes[run as usize % 6].fleet = None;
            }
            let now = net.now;
            net.tick(20 * MS, |node, inbox| {
                inbox.set_demand(key, 100.0, if node == 1 { 60.0 } else { 1.0 });
                if node == 4 && now % (3 * S) == 0 {
                    let verdict = VerdictKey { subject: now as u64, service_class: 1, topic: Topic::Failing };
                    inbox.verdict(verdict, true, 5 * S);
                }
                if node == 0 && now == 3 * S {
                    let bytes = (0..5_000).map(|n| (n * 7) as u8).collect();
                    inbox.offer_list(ListVersion { topic: 11, revision: 3, seen: now, bytes });
                }
                if node == 5 && now == 4 * S {
                    inbox.list_wanted(Some(ListWanted { topic: 11, newer_than: None }));
                }
            });
        }
        hashes.push((format!("run-{run}"), net.trace.expect("recorded").finish()));
    }
    check_hashes(&golden("simulation.txt"), &hashes);
}
