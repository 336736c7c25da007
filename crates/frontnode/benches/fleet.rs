//! The load on a newly started store from many front nodes with little traffic each, with and without the fleet. The
//! floor of the slow start is one shard request per window from each node alone, and `cold_floor` from all nodes
//! together in a fleet. `cargo bench -p orchidvalve-frontnode --bench fleet` runs processes on loopback and prints a
//! table to standard output.

#[path = "../tests/node_group/mod.rs"]
mod node_group;

use std::time::{Duration, Instant};

use node_group::{Fleet, FleetOptions};

const SECONDS: u64 = 6;

/// Returns the shard requests at the store in slow start in each second, those at all stores, and the numbers of
/// queries answered with 200 and of all queries.
fn run_nodes(nodes: usize, fleet: bool) -> (Vec<usize>, usize, (usize, usize)) {
    let mut options = FleetOptions::of(nodes);
    (options.fleet, options.started_ms, options.cold_ms) = (fleet, vec![(0, 0)], 20_000);
    let f = Fleet::open(&format!("cold-{nodes}-{fleet}"), &options);
    if fleet {
        f.wait_until("all nodes know each other", |f| {
            (0..nodes).all(|n| f.gauge(n, "fleet_peers") as usize == nodes - 1)
        });
    }
    let started = Instant::now();
    let mut at_cold = vec![0; SECONDS as usize];
    let answered = std::sync::Mutex::new((0, 0));
    std::thread::scope(|scope| {
        for node in 0..nodes {
            let (f, answered) = (&f, &answered);
            scope.spawn(move || {
                // Each node sends one query every two seconds; the nodes start at different moments.
                let offset = Duration::from_millis(2000 * node as u64 / nodes as u64);
                let mut n = 0;
                while started.elapsed() < Duration::from_secs(SECONDS) {
                    let next = offset + Duration::from_secs(2 * n);
                    if let Some(wait) = next.checked_sub(started.elapsed()) {
                        std::thread::sleep(wait);
                    }
                    let status = f.query(node, &format!("n{node}-{n}"), &format!("c{node}x{n}y"));
                    let mut answered = answered.lock().unwrap();
                    *answered = (answered.0 + usize::from(status == 200), answered.1 + 1);
                    n += 1;
                }
            });
        }
        let mut second = 0;
        while second < SECONDS as usize {
            if started.elapsed() >= Duration::from_secs(second as u64 + 1) {
                at_cold[second] = f.stores[0].observations().payloads.len();
                second += 1;
            }
            std::thread::yield_now();
        }
    });
    let all = f.stores.iter().map(|s| s.observations().payloads.len()).sum();
    let mut each = Vec::new();
    let mut before = 0;
    for total in at_cold {
        each.push(total - before);
        before = total;
    }
    let answered = *answered.lock().unwrap();
    (each, all, answered)
}

fn main() {
    println!("| front nodes | fleet | parts at the cold store in each second | all parts | answered whole |");
    println!("| --- | --- | --- | --- | --- |");
    for nodes in [4, 8, 16, 24] {
        for fleet in [false, true] {
            let (each, all, (whole, requests)) = run_nodes(nodes, fleet);
            let each: Vec<String> = each.iter().map(usize::to_string).collect();
            let on = if fleet { "on" } else { "off" };
            println!("| {nodes} | {on} | {} | {all} | {whole} of {requests} |", each.join(", "));
        }
    }
}
