//! Overshoot and staleness of a fleet of processes in each fault between them, against the bounds of `docs/fleet.md`.
//! `cargo bench -p orchidvalve-frontnode --bench faults`: a table to standard output.

#[path = "../tests/herd/mod.rs"]
mod herd;

use std::time::{Duration, Instant};

use herd::{Fleet, Opening, SLICES};
use orchidvalve_standin::{Script, Trouble};

const NODES: usize = 6;
/// Further launches a second of the whole fleet.
const RETRIES: f64 = 6.0;
const PLAYS_FOR: Duration = Duration::from_secs(4);
const GOSSIP: f64 = 0.05;
const TOLD: f64 = 3.0;

#[derive(Clone, Copy, Default)]
struct Fault {
    name: &'static str,
    loss: f64,
    copies: f64,
    delay_ms: u64,
    /// The second half of the nodes is cut off from the first.
    cut: bool,
    /// A node is killed in the middle.
    killed: bool,
}

fn open(fault: Fault, story: &str) -> Fleet {
    let mut opening = Opening::of(NODES);
    opening.more = format!("retries_a_second = {RETRIES}\n");
    let f = Fleet::open(&format!("faults-{story}"), &opening);
    f.until("all know each other", |f| (0..NODES).all(|n| f.gauge(n, "fleet_peers") as usize == NODES - 1));
    {
        let mut faults = f.relay.faults.lock().unwrap();
        (faults.loss, faults.copies) = (fault.loss, fault.copies);
        faults.delay = Duration::from_millis(fault.delay_ms);
    }
    if fault.cut {
        f.relay.cut_off(&[3, 4, 5], NODES);
    }
    let failing = vec![("marker".to_owned(), Trouble::Error)];
    f.stores.iter().for_each(|s| s.script(Script { rules: failing.clone(), ..Script::default() }));
    f
}

/// Further launches of all nodes, and for how long they asked.
fn overshoot(fault: Fault) -> (usize, f64) {
    let mut f = open(fault, "launches");
    let began = Instant::now();
    let asked = std::sync::atomic::AtomicUsize::new(0);
    for half in 0..2 {
        let end = PLAYS_FOR / 2 * (half + 1);
        std::thread::scope(|scope| {
            for node in (0..NODES).filter(|n| half == 0 || !fault.killed || *n != NODES - 1) {
                let (f, asked) = (&f, &asked);
                scope.spawn(move || {
                    let mut n = 0;
                    while began.elapsed() < end {
                        f.ask(node, &format!("n{node}-{half}-{n}"), &format!("marker-{node}x{half}x{n}y"));
                        asked.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                        n += 1;
                    }
                });
            }
        });
        if fault.killed && half == 0 {
            f.kill(NODES - 1);
        }
    }
    let sent: usize = (0..SLICES).map(|s| f.seen(s, "marker")).sum();
    let first = asked.into_inner() * SLICES;
    (sent.saturating_sub(first), began.elapsed().as_secs_f64())
}

/// From the moment that node 0 finds a store failing until every node that is reached knows it.
fn staleness(fault: Fault) -> f64 {
    let mut f = open(fault, "verdict");
    if fault.killed {
        f.kill(NODES - 1);
    }
    let reached = if fault.cut { 3 } else { NODES - usize::from(fault.killed) };
    let over = std::sync::atomic::AtomicBool::new(false);
    std::thread::scope(|scope| {
        // Beside the look at the gauges: a retrieval that fails is answered long after its first part failed.
        scope.spawn(|| {
            let mut n = 0;
            while !over.load(std::sync::atomic::Ordering::Relaxed) {
                f.ask(0, &format!("a{n}"), "marker-a");
                n += 1;
            }
        });
        f.until("node 0 finds a store failing", |f| f.gauge(0, "fleet_verdicts") > 0);
        let began = Instant::now();
        f.until("all that are reached know it", |f| (1..reached).all(|n| f.gauge(n, "fleet_verdicts") > 0));
        over.store(true, std::sync::atomic::Ordering::Relaxed);
        began.elapsed().as_secs_f64()
    })
}

fn main() {
    let faults = [
        Fault { name: "none", ..Fault::default() },
        Fault { name: "30 % lost", loss: 0.3, ..Fault::default() },
        Fault { name: "30 % copied", copies: 0.3, ..Fault::default() },
        Fault { name: "50 ms late", delay_ms: 50, ..Fault::default() },
        Fault {
            name: "30 % lost and copied, 20 ms late",
            loss: 0.3,
            copies: 0.3,
            delay_ms: 20,
            ..Fault::default()
        },
        Fault { name: "cut into halves", cut: true, ..Fault::default() },
        Fault { name: "a node killed", killed: true, ..Fault::default() },
    ];
    println!(
        "| fault | further launches | in s | bound | verdict known by all that are reached, s | formula s |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    for fault in faults {
        let (further, took) = overshoot(fault);
        // n + B · (t + burst), with a second's burst.
        let bound = NODES as f64 + RETRIES * (took + 1.0);
        let mut stale: Vec<f64> = (0..3).map(|_| staleness(fault)).collect();
        stale.sort_by(f64::total_cmp);
        let n = if fault.cut { 3.0 } else { NODES as f64 };
        let told = TOLD * (1.0 - fault.loss);
        let period = GOSSIP + fault.delay_ms as f64 / 1000.0;
        let formula = period * (n.ln() / (told + 1.0).ln() + n.ln() / told);
        println!(
            "| {} | {further} | {took:.1} | {bound:.0} | {:.2} to {:.2} | {formula:.2} |",
            fault.name, stale[0], stale[2]
        );
        assert!((further as f64) <= bound, "over the bound");
    }
}
