//! Decisions of connection pools.

use super::*;

const MS: Nanos = 1_000_000;

fn pool(most: usize) -> ConnectionPool<u32, u32> {
    let (close_cost, close_budget) = (50 * MS, 100 * MS);
    ConnectionPool::new(PoolSettings {
        max_connections: most,
        max_queued: 3,
        queue_timeout: 250 * MS,
        close_cost,
        close_budget,
        drain_timeout: 500 * MS,
    })
}

fn capacity(open: usize) -> Capacity {
    Capacity { max_connections: 8, open, serving_replicas: 4, reserved: 0 }
}

/// Returns a pool with `most` connections, each of which carries the shard request of its number.
fn busy(most: usize) -> ConnectionPool<u32, u32> {
    let mut pool = pool(most);
    for n in 0..most as u32 {
        assert_eq!(pool.place(n), Placement::Queued);
        assert!(pool.needs_connection(capacity(0)));
        pool.opening(n, false);
        assert_eq!(pool.release(n), Some(n));
    }
    pool
}

#[test]
fn queued_requests_keep_their_order_and_the_connection_released_last_is_reused_first() {
    let mut pool = busy(2);
    assert_eq!((pool.place(7), pool.place(8)), (Placement::Queued, Placement::Queued));
    assert!(!pool.needs_connection(capacity(2)), "the pool is at its limit");
    assert_eq!((pool.release(1), pool.release(0), pool.release(1)), (Some(7), Some(8), None));
    assert_eq!(pool.release(0), None);
    assert_eq!((pool.place(9), pool.place(10)), (Placement::On(0), Placement::On(1)));
}

#[test]
fn a_replica_that_never_answers_borrows_spare_connections_only() {
    let pool = {
        let mut pool = busy(2);
        pool.place(7);
        pool.settings.max_connections = 8;
        pool
    };
    assert!(pool.needs_connection(Capacity { reserved: 5, ..capacity(2) }), "one of eight is spare");
    assert!(!pool.needs_connection(Capacity { reserved: 6, ..capacity(2) }));
    let mut other_pool = self::pool(8);
    other_pool.place(1);
    assert!(
        other_pool.needs_connection(Capacity { reserved: 4, ..capacity(6) }),
        "its fair share is available"
    );
    assert_eq!(other_pool.reserved(capacity(6)), 2);
}

#[test]
fn a_request_beyond_the_queue_limit_is_rejected_until_another_one_leaves_the_queue() {
    let mut pool = busy(1);
    assert!((10..13).all(|n| pool.place(n) == Placement::Queued));
    assert_eq!(pool.place(13), Placement::QueueFull);
    assert!(pool.dequeue(11) && !pool.dequeue(11));
    assert_eq!(
        (pool.place(14), pool.release(0), pool.release(0), pool.release(0)),
        (Placement::Queued, Some(10), Some(12), Some(14))
    );
}

#[test]
fn closing_cancelled_connections_is_rate_limited_and_the_others_are_drained() {
    let mut pool = busy(4);
    assert_eq!(pool.cancel(0, 0, true), Cancellation::Drain(0, 500 * MS), "its response has begun");
    assert_eq!(pool.cancel(0, 1, false), Cancellation::Close(1));
    assert!(pool.remove(1).is_empty());
    assert_eq!(pool.cancel(0, 2, false), Cancellation::Close(2));
    pool.remove(2);
    assert_eq!(pool.cancel(MS, 3, false), Cancellation::Drain(3, 501 * MS));
    assert!(pool.is_draining(3) && pool.place(8) == Placement::Queued);
    assert_eq!(pool.release(3), Some(8), "a drained connection carries the next request");
    assert_eq!(pool.cancel(60 * MS, 8, false), Cancellation::Close(3), "the close budget has been refilled");
    assert_eq!(pool.cancel(60 * MS, 99, false), Cancellation::Unknown);
}

#[test]
fn a_refused_connection_fails_one_request_and_the_last_one_fails_all() {
    let mut pool = pool(4);
    (0..3).for_each(|n| assert_eq!(pool.place(n), Placement::Queued));
    (0..2).for_each(|key| pool.opening(key, false));
    assert_eq!(pool.remove(0), [0]);
    assert_eq!(pool.remove(1), [1, 2]);
    pool.place(5);
    assert!(pool.take_stranded(Capacity { reserved: 0, ..capacity(7) }).is_empty());
    assert_eq!(pool.take_stranded(capacity(8)), [5], "no connection is left, and none can be released");
}

#[test]
fn requests_queued_for_a_draining_replica_are_not_sent() {
    let mut pool = busy(1);
    (10..12).for_each(|n| assert_eq!(pool.place(n), Placement::Queued));
    assert_eq!(pool.take_queue(), [10, 11]);
    assert_eq!(pool.release(0), None);
}

#[test]
fn a_health_check_bypasses_a_full_pool_one_at_a_time() {
    let mut pool = busy(2);
    assert_eq!(pool.place_health_check(capacity(2)), HealthCheckPlacement::Open);
    pool.opening(9, true);
    assert_eq!(pool.place_health_check(capacity(3)), HealthCheckPlacement::Unavailable);
    assert_eq!((pool.release(9), pool.place_health_check(capacity(3))), (None, HealthCheckPlacement::On(9)));
    pool.place(5);
    assert_eq!(pool.release(9), Some(5), "after its response the connection carries shard requests");
    assert_eq!(
        pool.place_health_check(capacity(8)),
        HealthCheckPlacement::Unavailable,
        "no connection is left"
    );
}
