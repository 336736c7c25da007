//! Faults between the nodes of a fleet and their effects: retries beyond the fleet's budget, and the time until a
//! verdict has reached all nodes.

use std::net::UdpSocket;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::time::{Duration, Instant};

use orchidvalve_test_store::{Fault, FaultPlan};

use super::{Fleet, FleetOptions, SLICES};

pub const NODES: usize = 6;
/// Retries per second of the whole fleet.
pub const RETRIES: f64 = 6.0;
pub const GOSSIP: f64 = 0.05;
pub const TOLD: f64 = 3.0;

/// A fault between the nodes or at one of them.
#[derive(Clone, Copy, Default)]
pub struct GroupFault {
    pub name: &'static str,
    pub loss: f64,
    pub copies: f64,
    pub delay_ms: u64,
    /// A random additional delay of each datagram, up to this many milliseconds, which reorders the datagrams.
    pub jitter_ms: u64,
    /// Whether the second half of the nodes is partitioned from the first.
    pub cut: bool,
    /// Whether a node is killed half-way, with the budget that it has borrowed.
    pub killed: bool,
    /// Whether the killed node is restarted immediately with its old address.
    pub restarted: bool,
    /// Whether node 0 is flooded with datagrams of strangers and truncated datagrams.
    pub flooded: bool,
}

const WELL: GroupFault = GroupFault {
    name: "none",
    loss: 0.0,
    copies: 0.0,
    delay_ms: 0,
    jitter_ms: 0,
    cut: false,
    killed: false,
    restarted: false,
    flooded: false,
};

pub const ALL: [GroupFault; 10] = [
    WELL,
    GroupFault { name: "30 % lost", loss: 0.3, ..WELL },
    GroupFault { name: "30 % copied", copies: 0.3, ..WELL },
    GroupFault { name: "50 ms late", delay_ms: 50, ..WELL },
    GroupFault { name: "out of order, up to 60 ms", jitter_ms: 60, ..WELL },
    GroupFault { name: "30 % lost and copied, 20 ms late", loss: 0.3, copies: 0.3, delay_ms: 20, ..WELL },
    GroupFault { name: "cut into halves", cut: true, ..WELL },
    GroupFault { name: "a node killed", killed: true, ..WELL },
    GroupFault { name: "a node killed and started again", killed: true, restarted: true, ..WELL },
    GroupFault { name: "a node flooded", flooded: true, ..WELL },
];

/// Returns the maximum number of retries of all nodes in `took` seconds: `n + B · (t + burst)`, with a burst of one
/// second. A restarted node starts empty, with at most one saved attempt.
pub fn bound(fault: GroupFault, took: f64) -> f64 {
    (NODES + usize::from(fault.restarted)) as f64 + RETRIES * (took + 1.0)
}

fn open(fault: GroupFault, test_name: &str) -> Fleet {
    let mut options = FleetOptions::of(NODES);
    options.more = format!("retries_a_second = {RETRIES}\n");
    let f = Fleet::open(&format!("faults-{test_name}"), &options);
    f.until("all know each other", |f| (0..NODES).all(|n| f.gauge(n, "fleet_peers") as usize == NODES - 1));
    {
        let mut faults = f.relay.faults();
        (faults.loss, faults.duplication) = (fault.loss, fault.copies);
        faults.delay = Duration::from_millis(fault.delay_ms);
        faults.jitter = Duration::from_millis(fault.jitter_ms);
    }
    if fault.cut {
        f.relay.partition(&[3, 4, 5], NODES);
    }
    let failing = vec![("marker".to_owned(), Fault::Error)];
    f.stores.iter().for_each(|s| s.set_faults(FaultPlan { rules: failing.clone(), ..FaultPlan::default() }));
    f
}

/// Sends datagrams to node 0 until `over` is set: some are unreadable, some claim to come from a peer and are
/// truncated.
fn flood(f: &Fleet, over: &AtomicBool) {
    let to = f.relay.faults().targets[0].expect("node 0 listens");
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let mut n = 0u64;
    while !over.load(Relaxed) {
        let mut bytes = b"OV\x01".to_vec();
        bytes.extend(n.to_le_bytes().repeat((n % 40) as usize));
        let _ = socket.send_to(&bytes[(n % 3) as usize..], to);
        n += 1;
    }
}

/// Returns the retries of all nodes and the time in seconds during which queries were sent.
pub fn overshoot(fault: GroupFault, plays_for: Duration) -> (usize, f64) {
    let mut f = open(fault, "launches");
    let began = Instant::now();
    let (asked, over) = (AtomicUsize::new(0), AtomicBool::new(false));
    for half in 0..2 {
        let end = plays_for / 2 * (half + 1);
        over.store(false, Relaxed);
        std::thread::scope(|scope| {
            if fault.flooded {
                scope.spawn(|| flood(&f, &over));
            }
            let dead = half == 1 && fault.killed && !fault.restarted;
            let asking = (0..NODES).filter(|n| !dead || *n != NODES - 1).map(|node| {
                let (f, asked) = (&f, &asked);
                scope.spawn(move || {
                    let mut n = 0;
                    while began.elapsed() < end {
                        f.ask(node, &format!("n{node}-{half}-{n}"), &format!("marker-{node}x{half}x{n}y"));
                        asked.fetch_add(1, Relaxed);
                        n += 1;
                    }
                })
            });
            let asking: Vec<_> = asking.collect();
            asking.into_iter().for_each(|a| a.join().unwrap());
            over.store(true, Relaxed);
        });
        if fault.killed && half == 0 {
            if fault.restarted { drop(f.restart(NODES - 1)) } else { f.kill(NODES - 1) }
        }
    }
    let sent: usize = (0..SLICES).map(|s| f.seen(s, "marker")).sum();
    let first = asked.into_inner() * SLICES;
    (sent.saturating_sub(first), began.elapsed().as_secs_f64())
}

/// Returns the seconds from node 0's first verdict on a failing replica until every reachable node knows it.
pub fn staleness(fault: GroupFault) -> f64 {
    let mut f = open(fault, "verdict");
    if fault.killed {
        if fault.restarted { drop(f.restart(NODES - 1)) } else { f.kill(NODES - 1) }
    }
    let reached = if fault.cut { 3 } else { NODES - usize::from(fault.killed && !fault.restarted) };
    let over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        if fault.flooded {
            scope.spawn(|| flood(&f, &over));
        }
        // Queries run beside the checks of the gauges: a failed query is answered long after its first attempt failed.
        scope.spawn(|| {
            let mut n = 0;
            while !over.load(Relaxed) {
                f.ask(0, &format!("a{n}"), "marker-a");
                n += 1;
            }
        });
        f.until("node 0 finds a store failing", |f| f.gauge(0, "fleet_verdicts") > 0);
        let began = Instant::now();
        f.until("all that are reached know it", |f| (1..reached).all(|n| f.gauge(n, "fleet_verdicts") > 0));
        over.store(true, Relaxed);
        began.elapsed().as_secs_f64()
    })
}
