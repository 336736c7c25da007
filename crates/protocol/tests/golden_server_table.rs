//! Golden test of the updates of server tables that are changed at random, by seed.

use std::net::Ipv4Addr;
use std::path::Path;

use orchidvalve_golden::{Trace, check_hashes};
use orchidvalve_protocol::frames::encode;
use orchidvalve_protocol::identity::NodeAddress;
use orchidvalve_protocol::messages::{ServerEntry, TableVersion};
use orchidvalve_protocol::server_table::ServerTable;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const FILE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/server_table.txt");

const SEEDS: u64 = 12;
const STEPS: u32 = 120;
const SUBSCRIBERS: usize = 3;

fn entry(random: &mut Pcg64Mcg, number: u8) -> ServerEntry {
    ServerEntry {
        instance: format!("i-{number}"),
        service: if number.is_multiple_of(3) { "blue".to_owned() } else { "green".to_owned() },
        address: NodeAddress::new(Ipv4Addr::new(10, 0, 1, number), 8080),
        zone: format!("zone-{}", number % 3),
        slots: random.random_range(1..4),
        draining: random.random_bool(0.1),
        models: vec![("large".to_owned(), random.random_range(1..3))],
    }
}

fn list(random: &mut Pcg64Mcg) -> Vec<ServerEntry> {
    let numbers: Vec<u8> = (0..6).filter(|_| random.random_bool(0.7)).collect();
    numbers.into_iter().map(|number| entry(random, number)).collect()
}

fn trace_of(seed: u64) -> u64 {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut trace = Trace::new();
    let mut leader = ServerTable::default();
    let mut subscribers: Vec<ServerTable> = (0..SUBSCRIBERS).map(|_| ServerTable::default()).collect();
    let mut term = 1;
    for _ in 0..STEPS {
        if random.random_bool(0.05) {
            term += 1;
        }
        let written_under = if random.random_bool(0.05) { term - 1 } else { term };
        let update = leader.replace(written_under, list(&mut random));
        trace.add_number(u64::from(update.is_some()));
        if let Some(update) = update {
            trace.add(&encode(&update));
            for subscriber in &mut subscribers {
                if random.random_bool(0.7) {
                    trace.add_number(u64::from(subscriber.apply(&update)));
                }
            }
        }
        let behind = random.random_range(0..SUBSCRIBERS);
        for update in leader.updates_since(subscribers[behind].version()) {
            trace.add(&encode(&update));
            trace.add_number(u64::from(subscribers[behind].apply(&update)));
        }
        trace.add(&encode(&leader.snapshot()));
        for subscriber in &subscribers {
            let TableVersion { term, number } = subscriber.version();
            trace.add_number(term);
            trace.add_number(number);
            subscriber.servers().for_each(|server| trace.add(&encode(server)));
        }
    }
    trace.finish()
}

#[test]
fn updates_of_server_tables_are_as_recorded() {
    let hashes: Vec<(String, u64)> =
        (1..=SEEDS).map(|seed| (format!("seed-{seed}"), trace_of(seed))).collect();
    check_hashes(Path::new(FILE), &hashes);
}
