//! Faults between the nodes of a fleet and their effects: retries beyond the fleet's budget, and the time until a
//! verdict has reached all nodes.

use std::net::UdpSocket;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::time::{Duration, Instant};

use orchidvalve_test_store::{Fault, FaultPlan};

use super::{Fleet, FleetOptions, SHARDS};

pub const NODES: usize = 6;
/// Retries per second of the whole fleet.
pub const RETRIES: f64 = 6.0;
pub const GOSSIP_INTERVAL_S: f64 = 0.05;
pub const GOSSIP_FANOUT: f64 = 3.0;

/// A fault between the nodes or at one of them.
#[derive(Clone, Copy, Default)]
pub struct GroupFault {
    pub name: &'static str,
    pub loss: f64,
    pub duplication: f64,
    pub delay_ms: u64,
    /// A random additional delay of each datagram, up to this many milliseconds, which reorders the datagrams.
    pub jitter_ms: u64,
    /// Whether the second half of the nodes is partitioned from the first.
    pub partitioned: bool,
    /// Whether a node is killed half-way, with the budget that it has borrowed.
    pub killed: bool,
    /// Whether the killed node is restarted immediately with its old address.
    pub restarted: bool,
    /// Whether node 0 is flooded with datagrams of strangers and truncated datagrams.
    pub flooded: bool,
}

const NO_FAULT: GroupFault = GroupFault {
    name: "none",
    loss: 0.0,
    duplication: 0.0,
    delay_ms: 0,
    jitter_ms: 0,
    partitioned: false,
    killed: false,
    restarted: false,
    flooded: false,
};

pub const ALL: [GroupFault; 10] = [
    NO_FAULT,
    GroupFault { name: "30 % lost", loss: 0.3, ..NO_FAULT },
    GroupFault { name: "30 % copied", duplication: 0.3, ..NO_FAULT },
    GroupFault { name: "50 ms late", delay_ms: 50, ..NO_FAULT },
    GroupFault { name: "out of order, up to 60 ms", jitter_ms: 60, ..NO_FAULT },
    GroupFault {
        name: "30 % lost and copied, 20 ms late",
        loss: 0.3,
        duplication: 0.3,
        delay_ms: 20,
        ..NO_FAULT
    },
    GroupFault { name: "cut into halves", partitioned: true, ..NO_FAULT },
    GroupFault { name: "a node killed", killed: true, ..NO_FAULT },
    GroupFault { name: "a node killed and started again", killed: true, restarted: true, ..NO_FAULT },
    GroupFault { name: "a node flooded", flooded: true, ..NO_FAULT },
];

/// Returns the maximum number of retries of all nodes in `elapsed` seconds: `n + B · (t + burst)`, with a burst of one
/// second. A restarted node starts empty, with at most one saved attempt.
pub fn bound(fault: GroupFault, elapsed: f64) -> f64 {
    (NODES + usize::from(fault.restarted)) as f64 + RETRIES * (elapsed + 1.0)
}

fn open(fault: GroupFault, test_name: &str) -> Fleet {
    let mut options = FleetOptions::of(NODES);
    options.fleet_lines = format!("retries_a_second = {RETRIES}\n");
    let f = Fleet::open(&format!("faults-{test_name}"), &options);
    f.wait_until("all nodes know each other", |f| {
        (0..NODES).all(|n| f.gauge(n, "fleet_peers") as usize == NODES - 1)
    });
    {
        let mut faults = f.fleet_relay.faults();
        (faults.loss, faults.duplication) = (fault.loss, fault.duplication);
        faults.delay = Duration::from_millis(fault.delay_ms);
        faults.jitter = Duration::from_millis(fault.jitter_ms);
    }
    if fault.partitioned {
        f.fleet_relay.partition(&[3, 4, 5], NODES);
    }
    let failing = vec![("marker".to_owned(), Fault::Error)];
    f.stores.iter().for_each(|s| s.set_faults(FaultPlan { rules: failing.clone(), ..FaultPlan::default() }));
    f
}

/// Sends datagrams to node 0 until `stop` is set: some are unreadable, some claim to come from a peer and are
/// truncated.
fn flood(f: &Fleet, stop: &AtomicBool) {
    let to = f.fleet_relay.faults().targets[0].expect("node 0 listens");
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let mut n = 0u64;
    while !stop.load(Relaxed) {
        let mut bytes = b"OV\x01".to_vec();
        bytes.extend(n.to_le_bytes().repeat((n % 40) as usize));
        let _ = socket.send_to(&bytes[(n % 3) as usize..], to);
        n += 1;
    }
}

/// Returns the retries of all nodes and the time in seconds during which queries were sent.
pub fn retries_under_fault(fault: GroupFault, duration: Duration) -> (usize, f64) {
    let mut f = open(fault, "launches");
    let started = Instant::now();
    let (requests, stop) = (AtomicUsize::new(0), AtomicBool::new(false));
    for half in 0..2 {
        let end = duration / 2 * (half + 1);
        stop.store(false, Relaxed);
        std::thread::scope(|scope| {
            if fault.flooded {
                scope.spawn(|| flood(&f, &stop));
            }
            let dead = half == 1 && fault.killed && !fault.restarted;
            let clients = (0..NODES).filter(|n| !dead || *n != NODES - 1).map(|node| {
                let (f, requests) = (&f, &requests);
                scope.spawn(move || {
                    let mut n = 0;
                    while started.elapsed() < end {
                        f.query(node, &format!("n{node}-{half}-{n}"), &format!("marker-{node}x{half}x{n}y"));
                        requests.fetch_add(1, Relaxed);
                        n += 1;
                    }
                })
            });
            let clients: Vec<_> = clients.collect();
            clients.into_iter().for_each(|a| a.join().unwrap());
            stop.store(true, Relaxed);
        });
        if fault.killed && half == 0 {
            if fault.restarted { drop(f.restart(NODES - 1)) } else { f.kill(NODES - 1) }
        }
    }
    let sent: usize = (0..SHARDS).map(|s| f.received(s, "marker")).sum();
    let first = requests.into_inner() * SHARDS;
    (sent.saturating_sub(first), started.elapsed().as_secs_f64())
}

/// Returns the seconds from node 0's first verdict on a failing replica until every reachable node knows it.
pub fn verdict_delay(fault: GroupFault) -> f64 {
    let mut f = open(fault, "verdict");
    if fault.killed {
        if fault.restarted { drop(f.restart(NODES - 1)) } else { f.kill(NODES - 1) }
    }
    let reached = if fault.partitioned { 3 } else { NODES - usize::from(fault.killed && !fault.restarted) };
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        if fault.flooded {
            scope.spawn(|| flood(&f, &stop));
        }
        // Queries run beside the checks of the gauges: a failed query is answered long after its first attempt failed.
        scope.spawn(|| {
            let mut n = 0;
            while !stop.load(Relaxed) {
                f.query(0, &format!("a{n}"), "marker-a");
                n += 1;
            }
        });
        f.wait_until("node 0 finds a store failing", |f| f.gauge(0, "fleet_verdicts") > 0);
        let started = Instant::now();
        f.wait_until("all reachable nodes know it", |f| {
            (1..reached).all(|n| f.gauge(n, "fleet_verdicts") > 0)
        });
        stop.store(true, Relaxed);
        started.elapsed().as_secs_f64()
    })
}
