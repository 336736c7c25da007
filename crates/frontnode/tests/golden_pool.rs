//! The decisions of a connection pool and the order of deadlines, for random inputs from fixed seeds, compared with a
//! recording.

use std::path::PathBuf;

use orchidvalve_frontnode::connection_pool::{
    Cancellation, Capacity, ConnectionPool, HealthCheckPlacement, Placement, PoolSettings,
};
use orchidvalve_frontnode::deadlines::{DeadlineKey, Deadlines};
use orchidvalve_golden::{Trace, check_hashes};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

const STEPS: usize = 600;

fn golden(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

fn note_all(trace: &mut Trace, shard_requests: &[u32]) {
    trace.add_number(shard_requests.len() as u64);
    shard_requests.iter().for_each(|&shard_request| trace.add_number(u64::from(shard_request)));
}

fn note_option(trace: &mut Trace, shard_request: Option<u32>) {
    note_all(trace, &shard_request.into_iter().collect::<Vec<_>>());
}

/// Runs one pool whose owner carries out its decisions, while other pools take and return connections.
fn pool_decisions(seed: u64) -> u64 {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut trace = Trace::new();
    let settings = PoolSettings {
        max_connections: rng.random_range(1..6),
        max_queued: rng.random_range(1..8),
        queue_timeout: 250,
        close_cost: rng.random_range(1..60),
        close_budget: rng.random_range(0..120),
        drain_timeout: rng.random_range(1..500),
    };
    let mut pool: ConnectionPool<u32, u32> = ConnectionPool::new(settings);
    let (mut now, mut next_shard_request, mut next_key) = (0i64, 0u32, 0u32);
    let (mut connections, mut shard_requests) = (Vec::<u32>::new(), Vec::<u32>::new());
    for _ in 0..STEPS {
        now += rng.random_range(0..20);
        let others = rng.random_range(0..6);
        let open = connections.len() + others;
        let capacity = Capacity {
            max_connections: 9,
            open,
            serving_replicas: rng.random_range(1..5),
            reserved: rng.random_range(0..4),
        };
        let drawn = |of: &[u32], at: usize| of.get(at % of.len().max(1)).copied().unwrap_or(u32::MAX);
        let at = rng.random_range(0..1000);
        let step = rng.random_range(0..10);
        trace.add_number(step);
        match step {
            0..=2 => {
                shard_requests.push(next_shard_request);
                match pool.place(next_shard_request) {
                    Placement::On(key) => note_all(&mut trace, &[0, key]),
                    Placement::Queued => note_all(&mut trace, &[1]),
                    Placement::QueueFull => note_all(&mut trace, &[2]),
                }
                next_shard_request += 1;
            }
            3 => {
                trace.add_number(u64::from(pool.needs_connection(capacity)));
                if pool.needs_connection(capacity) {
                    pool.opening(next_key, false);
                    connections.push(next_key);
                    next_key += 1;
                }
            }
            4 | 5 => note_option(&mut trace, pool.release(drawn(&connections, at))),
            6 => {
                let key = drawn(&connections, at);
                connections.retain(|&connection| connection != key);
                note_all(&mut trace, &pool.remove(key));
            }
            7 => match pool.cancel(now, drawn(&shard_requests, at), at % 3 == 0) {
                Cancellation::Dequeued => note_all(&mut trace, &[0]),
                Cancellation::Close(key) => {
                    note_all(&mut trace, &[1, key]);
                    connections.retain(|&connection| connection != key);
                    note_all(&mut trace, &pool.remove(key));
                }
                Cancellation::Drain(key, until) => {
                    note_all(&mut trace, &[2, key]);
                    trace.add_number(until as u64);
                }
                Cancellation::Unknown => note_all(&mut trace, &[3]),
            },
            8 => match pool.place_health_check(capacity) {
                HealthCheckPlacement::On(key) => note_all(&mut trace, &[0, key]),
                HealthCheckPlacement::Open => {
                    note_all(&mut trace, &[1]);
                    pool.opening(next_key, true);
                    connections.push(next_key);
                    next_key += 1;
                }
                HealthCheckPlacement::Unavailable => note_all(&mut trace, &[2]),
            },
            _ if at % 10 == 0 => note_all(&mut trace, &pool.take_queue()),
            _ if at % 2 == 0 => trace.add_number(u64::from(pool.dequeue(drawn(&shard_requests, at)))),
            _ => note_all(&mut trace, &pool.take_stranded(capacity)),
        }
        trace.add_number(pool.reserved(capacity) as u64);
        trace.add_number((pool.connections() * 100 + pool.queued()) as u64);
        for &key in &connections {
            trace.add_number(u64::from(pool.is_busy(key)) * 2 + u64::from(pool.is_draining(key)));
        }
    }
    trace.finish()
}

fn deadline_order(seed: u64) -> u64 {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut trace = Trace::new();
    let mut deadlines: Deadlines<u32> = Deadlines::default();
    let mut keys: Vec<DeadlineKey> = Vec::new();
    let mut now = 0i64;
    for step in 0..STEPS as u32 {
        match rng.random_range(0..4) {
            0 | 1 => keys.push(deadlines.schedule(now + rng.random_range(0..30), step)),
            2 if !keys.is_empty() => deadlines.cancel(keys.swap_remove(rng.random_range(0..keys.len()))),
            _ => {
                now += rng.random_range(0..10);
                while let Some(due) = deadlines.pop_due(now) {
                    trace.add_number(u64::from(due));
                }
            }
        }
        trace.add_number(deadlines.next_due().map_or(u64::MAX, |at| at as u64));
        trace.add_number(deadlines.len() as u64);
    }
    trace.finish()
}

#[test]
fn pool_decisions_match_the_recording() {
    let hashes: Vec<_> = (0..60).map(|seed| (format!("pool-{seed}"), pool_decisions(seed))).collect();
    check_hashes(&golden("pool.txt"), &hashes);
}

#[test]
fn the_order_of_deadlines_matches_the_recording() {
    let hashes: Vec<_> = (0..20).map(|seed| (format!("deadlines-{seed}"), deadline_order(seed))).collect();
    check_hashes(&golden("deadlines.txt"), &hashes);
}
