//! Delivery of scaling orders: one in flight, repeated while the outcome is unknown, replaced by later decisions.

use orchidvalve_control_plane::scaling_orders::{ScalingOrders, ScalingOutcome};
use orchidvalve_control_plane::scaling_planner::ScalingOrder;

fn order(zone: &str, desired_count: u32) -> ScalingOrder {
    ScalingOrder { service: "s".to_owned(), zone: zone.to_owned(), desired_count }
}

#[test]
fn an_order_is_sent_once_and_confirmed() {
    let mut orders = ScalingOrders::default();
    assert_eq!(orders.next_due(), None);
    orders.decide(&order("a", 5), 10);
    assert!(!orders.has_due(9));
    assert_eq!(orders.take_due(10), Some(order("a", 5)));
    assert_eq!(orders.take_due(10), None, "it is in flight");
    assert_eq!(orders.next_due(), None);
    orders.completed(&order("a", 5), ScalingOutcome::Accepted, 20);
    assert_eq!((orders.take_due(100_000), orders.has_open("s")), (None, false));
}

#[test]
fn an_order_with_an_unknown_outcome_is_repeated_after_growing_pauses() {
    let mut orders = ScalingOrders::default();
    orders.decide(&order("a", 5), 0);
    let mut now = 0;
    let mut pauses = Vec::new();
    for _ in 0..7 {
        assert_eq!(orders.take_due(now), Some(order("a", 5)));
        orders.completed(&order("a", 5), ScalingOutcome::Unknown, now);
        let due = orders.next_due().unwrap();
        assert_eq!(orders.take_due(due - 1), None);
        pauses.push(due - now);
        now = due;
    }
    assert_eq!(pauses, [500, 1_000, 2_000, 4_000, 8_000, 8_000, 8_000]);
}

#[test]
fn a_later_decision_replaces_a_waiting_one() {
    let mut orders = ScalingOrders::default();
    orders.decide(&order("a", 5), 0);
    assert!(orders.take_due(0).is_some());
    orders.completed(&order("a", 5), ScalingOutcome::Unknown, 0);
    orders.decide(&order("a", 7), 100);
    assert_eq!(orders.take_due(100), Some(order("a", 7)), "it must not wait for the pause of the former one");
}

#[test]
fn a_later_decision_waits_for_the_call_in_flight() {
    for outcome in [ScalingOutcome::Accepted, ScalingOutcome::Unknown, ScalingOutcome::Refused] {
        let mut orders = ScalingOrders::default();
        orders.decide(&order("a", 5), 0);
        assert!(orders.take_due(0).is_some());
        orders.decide(&order("a", 7), 100);
        assert_eq!(orders.take_due(100), None);
        orders.completed(&order("a", 5), outcome, 200);
        assert_eq!(orders.take_due(200), Some(order("a", 7)));
    }
}

#[test]
fn a_decision_equal_to_the_call_in_flight_is_not_sent_twice() {
    let mut orders = ScalingOrders::default();
    orders.decide(&order("a", 5), 0);
    assert!(orders.take_due(0).is_some());
    orders.decide(&order("a", 7), 100);
    orders.decide(&order("a", 5), 150);
    orders.completed(&order("a", 5), ScalingOutcome::Accepted, 200);
    assert_eq!(orders.take_due(10_000), None);
}

#[test]
fn a_refused_order_is_not_repeated() {
    let mut orders = ScalingOrders::default();
    orders.decide(&order("a", 5), 0);
    assert!(orders.take_due(0).is_some());
    orders.completed(&order("a", 5), ScalingOutcome::Refused, 0);
    assert_eq!(orders.take_due(100_000), None);
}

#[test]
fn zones_are_independent_and_the_longest_due_order_is_sent_first() {
    let mut orders = ScalingOrders::default();
    orders.decide(&order("b", 1), 0);
    orders.decide(&order("a", 2), 5);
    assert_eq!(orders.take_due(5), Some(order("b", 1)));
    assert_eq!(orders.take_due(5), Some(order("a", 2)));
}

#[test]
fn cleared_orders_are_not_sent() {
    let mut orders = ScalingOrders::default();
    orders.decide(&order("a", 5), 0);
    let sent = orders.take_due(0).unwrap();
    orders.clear();
    orders.completed(&sent, ScalingOutcome::Unknown, 10);
    assert_eq!(orders.take_due(100_000), None);
}

#[test]
fn the_status_determines_the_outcome() {
    let outcomes = [Some(200), Some(400), Some(403), Some(429), Some(500), Some(503), None]
        .map(ScalingOutcome::from_status);
    use ScalingOutcome::{Accepted, Refused, Unknown};
    assert_eq!(outcomes, [Accepted, Refused, Refused, Unknown, Unknown, Unknown, Unknown]);
}
