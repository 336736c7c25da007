//! Decisions of the scaling planner: when it adds servers, when it removes them, and when it does nothing.

mod scaling_support;

use std::collections::BTreeMap;

use orchidvalve_control_plane::scaling_planner::{SETTLE_MS, ScalingBounds, ScalingOrder};
use scaling_support::{BOUNDS, Planning, SERVICE, SLOTS, ZONES};

/// Long enough for a plan to remove a server if nothing prevents it, in milliseconds.
const REMOVAL_MS: u64 = 60_000;
/// Total slots of the initial servers.
const ALL_SLOTS: u32 = 48 * SLOTS;

fn counts(orders: &[ScalingOrder]) -> BTreeMap<&str, u32> {
    orders.iter().map(|order| (order.zone.as_str(), order.desired_count)).collect()
}

#[test]
fn needed_servers_are_kept() {
    for running in [200, ALL_SLOTS * 3 / 4, ALL_SLOTS] {
        assert_eq!(Planning::with_demand(running, 0).carry_out_for(REMOVAL_MS * 5), [], "{running}");
    }
}

#[test]
fn a_service_without_demand_so_far_is_left_alone() {
    assert_eq!(Planning::new().carry_out_for(REMOVAL_MS * 5), []);
}

#[test]
fn spare_servers_are_removed_one_at_a_time_down_to_the_minimum() {
    let mut planning = Planning::with_demand(30, 0);
    let mut last: Option<u64> = None;
    let mut orders = Vec::new();
    while planning.now < 1_000_000 + REMOVAL_MS * 5 {
        let now = planning.now;
        let plan = planning.plan();
        assert!(plan.len() <= 1, "{plan:?}");
        for order in plan {
            assert_eq!(order.desired_count + 1, planning.counts[&order.zone]);
            assert!(last.is_none_or(|last| now >= last + 5_000));
            last = Some(now);
            planning.set_count(&order.zone, order.desired_count);
            orders.push(order);
        }
        let (least, most) = (planning.counts.values().min(), planning.counts.values().max());
        assert!(most.unwrap() - least.unwrap() <= 1, "zones have unequal counts: {:?}", planning.counts);
    }
    assert_eq!(orders.len(), 8);
    assert_eq!(planning.total(), 4 * BOUNDS.min_count);
}

#[test]
fn no_server_is_removed_before_the_window_is_full() {
    let mut planning = Planning::with_demand(30, 0);
    assert_eq!(planning.plan_for(SETTLE_MS.max(20_000)), []);
    assert_eq!(planning.plan_for(1_000).len(), 1);
}

#[test]
fn one_peak_keeps_the_servers_for_minutes() {
    let mut planning = Planning::with_demand(30, 0);
    planning.set_demand(250, 0);
    planning.plan();
    planning.set_demand(30, 0);
    assert_eq!(planning.carry_out_for(290_000), []);
    assert!(!planning.carry_out_for(60_000).is_empty());
}

#[test]
fn removals_stop_above_the_minimum_while_work_is_running() {
    // 10 servers in each zone would have 240 slots, 73% of them in use.
    let mut planning = Planning::with_demand(175, 0);
    planning.carry_out_for(REMOVAL_MS * 10);
    assert_eq!(planning.total(), 42);
}

#[test]
fn a_backlog_that_finishes_in_time_adds_no_servers() {
    let mut planning = Planning::new();
    for _ in 0..10 {
        for tenth in 0..60 {
            let left = 640u32.saturating_sub(tenth * 16);
            planning.set_demand(left.min(ALL_SLOTS), left.saturating_sub(ALL_SLOTS));
            assert_eq!(planning.plan(), []);
        }
    }
}

#[test]
fn work_that_piles_up_adds_servers_evenly_in_all_zones() {
    let mut planning = Planning::with_demand(100, 0);
    planning.plan_for(8_000);
    planning.set_demand(ALL_SLOTS, 300);
    let began = planning.now;
    let mut orders = Vec::new();
    while orders.is_empty() {
        orders = planning.plan();
        assert!(planning.now < began + 6_000);
    }
    assert_eq!(counts(&orders), ZONES.iter().map(|zone| (*zone, 18)).collect());
}

#[test]
fn a_backlog_that_cannot_finish_in_time_adds_servers_early() {
    let mut planning = Planning::new();
    // Demand decreases by 160 per second.
    for step in 0..40 {
        planning.set_demand(ALL_SLOTS, 1_600 - step * 40);
        planning.plan();
    }
    planning.set_demand(ALL_SLOTS, 1_500);
    let began = planning.now;
    let mut orders = Vec::new();
    while orders.is_empty() {
        orders = planning.plan();
        assert!(planning.now < began + 2_000);
    }
    assert_eq!(orders.len(), 4);
}

#[test]
fn no_further_servers_are_added_before_the_added_ones_serve() {
    let mut planning = Planning::with_demand(100, 0);
    planning.plan_for(8_000);
    planning.set_demand(ALL_SLOTS, 900);
    assert_eq!(planning.plan_for(5_500).len(), 4);
    assert_eq!(planning.plan_for(6_500), [], "the platform is still starting them");
    let more = planning.plan_for(2_000);
    assert!(!more.is_empty(), "the added servers did not appear");
    assert!(more.iter().all(|order| order.desired_count <= BOUNDS.max_count));
}

#[test]
fn servers_are_added_up_to_the_maximum() {
    let mut planning = Planning::with_demand(100, 0);
    planning.plan_for(8_000);
    for _ in 0..40 {
        let slots = planning.total() * SLOTS;
        planning.set_demand(slots, 5_000);
        planning.carry_out_for(2_000);
    }
    assert_eq!(planning.total(), 4 * BOUNDS.max_count);
    assert_eq!(planning.carry_out_for(REMOVAL_MS), []);
}

#[test]
fn added_servers_are_removed_when_they_are_spare() {
    let mut planning = Planning::with_demand(100, 0);
    planning.plan_for(8_000);
    planning.set_demand(ALL_SLOTS, 300);
    planning.carry_out_for(6_000);
    assert!(planning.total() > 48);
    planning.set_demand(100, 0);
    planning.carry_out_for(250_000);
    assert_eq!(planning.total(), 48, "the initial servers stay: demand was high minutes ago");
}

#[test]
fn removed_servers_are_ordered_back_at_the_first_sign_of_need() {
    let mut planning = Planning::with_demand(30, 0);
    planning.carry_out_for(REMOVAL_MS * 2);
    assert_eq!(planning.total(), 40);
    planning.set_demand(206, 0);
    let orders = planning.plan();
    assert_eq!(counts(&orders), ZONES.iter().map(|zone| (*zone, 12)).collect());
}

#[test]
fn a_lost_zone_stops_removals_until_it_returns() {
    let mut planning = Planning::with_demand(30, 0);
    planning.plan_for(15_000);
    planning.set_count("apapa", 0);
    assert_eq!(planning.carry_out_for(REMOVAL_MS), []);
    planning.set_count("apapa", 12);
    assert_eq!(planning.carry_out_for(4_500), []);
    assert!(!planning.carry_out_for(10_000).is_empty());
}

#[test]
fn the_loss_of_a_single_server_stops_removals() {
    let mut planning = Planning::with_demand(30, 0);
    planning.plan_for(15_000);
    planning.set_count("lekki", 11);
    assert_eq!(planning.carry_out_for(REMOVAL_MS), []);
}

#[test]
fn other_zones_grow_to_replace_a_lost_zone() {
    let mut planning = Planning::with_demand(250, 0);
    planning.plan_for(15_000);
    planning.set_count("apapa", 0);
    planning.set_demand(36 * SLOTS, 400);
    let orders = planning.plan_for(6_000);
    assert_eq!(counts(&orders), [("ikeja", 18), ("lekki", 18), ("surulere", 18)].into());
}

#[test]
fn no_server_is_removed_while_weights_are_loaded() {
    let mut planning = Planning::with_demand(30, 0);
    planning.is_rolling_out = true;
    assert_eq!(planning.plan_for(REMOVAL_MS), []);
    planning.is_rolling_out = false;
    assert_eq!(planning.plan_for(2_000).len(), 1);
}

#[test]
fn no_server_is_removed_while_or_right_after_demand_is_unknown() {
    let mut planning = Planning::with_demand(30, 0);
    planning.plan_for(15_000);
    planning.is_demand_complete = false;
    assert_eq!(planning.plan_for(REMOVAL_MS), []);
    planning.is_demand_complete = true;
    assert_eq!(planning.plan_for(19_000), [], "the window is not full");
    assert_eq!(planning.plan_for(2_000).len(), 1);
}

#[test]
fn booting_servers_do_not_count_and_stop_removals() {
    let mut planning = Planning::with_demand(100, 0);
    planning.plan_for(8_000);
    planning.set_demand(ALL_SLOTS, 300);
    let orders = planning.plan_for(5_500);
    assert_eq!(orders.len(), 4);
    planning.set_demand(10, 0);
    assert_eq!(planning.plan_for(REMOVAL_MS * 2), [], "the ordered servers have not appeared yet");
}

#[test]
fn changed_bounds_take_effect_at_once() {
    let mut planning = Planning::with_demand(200, 0);
    planning.plan();
    let lower = ScalingBounds { min_count: 4, max_count: 8, ..BOUNDS };
    planning.bounds.insert(SERVICE.to_owned(), lower);
    let orders = planning.plan();
    assert_eq!(counts(&orders), ZONES.iter().map(|zone| (*zone, 8)).collect());
    orders.iter().for_each(|order| planning.set_count(&order.zone, order.desired_count));
    assert_eq!(planning.plan(), []);
    planning.bounds.insert(SERVICE.to_owned(), ScalingBounds { min_count: 14, max_count: 20, ..BOUNDS });
    assert_eq!(counts(&planning.plan()), ZONES.iter().map(|zone| (*zone, 14)).collect());
}

#[test]
fn changed_bounds_take_effect_even_while_demand_is_unknown() {
    let mut planning = Planning::with_demand(200, 0);
    planning.plan();
    planning.is_demand_complete = false;
    planning.bounds.insert(SERVICE.to_owned(), ScalingBounds { max_count: 11, ..BOUNDS });
    assert_eq!(planning.plan().len(), 4);
}

#[test]
fn servers_added_while_demand_was_unknown_count_for_changed_bounds() {
    let mut planning = Planning::with_demand(200, 0);
    planning.plan();
    planning.is_demand_complete = false;
    planning.set_count("apapa", 16);
    planning.bounds.insert(SERVICE.to_owned(), ScalingBounds { min_count: 13, ..BOUNDS });
    let orders = planning.plan();
    assert_eq!(counts(&orders), [("ikeja", 13), ("lekki", 13), ("surulere", 13)].into());
}

#[test]
fn a_service_whose_bounds_were_removed_is_left_alone() {
    let mut planning = Planning::with_demand(30, 0);
    planning.plan_for(15_000);
    planning.bounds.clear();
    assert_eq!(planning.plan_for(REMOVAL_MS), []);
}

#[test]
fn a_new_head_waits_for_orders_of_the_former_one_to_take_effect() {
    let mut planning = Planning::with_demand(ALL_SLOTS, 600);
    assert_eq!(planning.plan_for(7_000), []);
    let mut planning = Planning::with_demand(30, 0);
    for zone in ZONES {
        planning.set_count(zone, 30);
    }
    assert_eq!(
        planning.plan_for(7_000),
        [],
        "counts beyond the bounds may come from orders of the former head"
    );
    assert_eq!(counts(&planning.plan_for(1_000)), ZONES.iter().map(|zone| (*zone, 24)).collect());
}

#[test]
fn a_new_head_lowers_no_count_while_servers_are_lost() {
    let mut planning = Planning::with_demand(30, 0);
    planning.set_count("apapa", 3);
    planning.plan_for(10_000);
    planning.set_count("apapa", 12);
    let orders = planning.carry_out_for(REMOVAL_MS * 3);
    assert!(orders.iter().all(|order| order.desired_count >= BOUNDS.min_count));
    let mut planning = Planning::with_demand(200, 0);
    planning.set_count("apapa", 3);
    assert_eq!(
        planning.carry_out_for(REMOVAL_MS),
        [],
        "no order may be below the count that the platform knows"
    );
}

// Guards against a new head that lowers the count a former one has ordered for a zone of which only a part is left.
#[test]
fn a_new_head_raises_a_damaged_zone_above_the_count_of_the_others() {
    let mut planning = Planning::with_demand(36 * SLOTS, 900);
    planning.set_count("apapa", 9);
    let orders = planning.plan_for(REMOVAL_MS);
    let of_the_zone = orders.iter().filter(|order| order.zone == "apapa");
    assert!(!orders.is_empty());
    assert!(of_the_zone.map(|order| order.desired_count).all(|count| count > 12), "{orders:?}");
}

#[test]
fn a_reset_planner_starts_from_scratch() {
    let mut planning = Planning::with_demand(30, 0);
    planning.plan_for(19_000);
    planning.planner.reset();
    assert_eq!(planning.plan_for(20_000), []);
}

#[test]
fn while_an_order_is_unconfirmed_only_removed_servers_are_ordered_back() {
    let mut planning = Planning::with_demand(30, 0);
    planning.carry_out_for(25_000);
    assert!(planning.total() < 48);
    planning.is_unconfirmed = true;
    assert_eq!(planning.carry_out_for(REMOVAL_MS), []);
    planning.set_demand(280, 0);
    assert!(planning.plan().iter().all(|order| order.desired_count == 12));
}

#[test]
fn servers_added_by_somebody_else_are_not_removed() {
    let mut planning = Planning::with_demand(30, 0);
    planning.carry_out_for(REMOVAL_MS * 2);
    planning.set_demand(150, 0);
    planning.set_count("apapa", 17);
    planning.plan_for(10_000);
    planning.set_demand(planning.total() * SLOTS, 600);
    let orders = planning.plan_for(10_000);
    assert!(!orders.is_empty());
    assert!(orders.iter().all(|order| order.zone != "apapa" || order.desired_count >= 17), "{orders:?}");
}

#[test]
fn no_second_server_is_removed_before_the_first_is_gone() {
    let mut planning = Planning::with_demand(30, 0);
    assert_eq!(planning.plan_for(20_500).len(), 1);
    assert_eq!(planning.plan_for(6_000), [], "the platform has not executed the order");
}

#[test]
fn the_remaining_servers_tolerate_the_loss_of_a_zone() {
    for (running, total) in [(67, 24), (66, 23)] {
        let mut planning = Planning::with_demand(running, 0);
        planning.counts = [("ikeja".to_owned(), 12), ("lekki".to_owned(), 12)].into();
        planning.carry_out_for(REMOVAL_MS * 2);
        assert_eq!(planning.total(), total, "{running}");
    }
}

#[test]
fn just_added_servers_stay_although_the_work_has_ended() {
    let mut planning = Planning::with_demand(100, 0);
    planning.plan_for(8_000);
    planning.set_demand(ALL_SLOTS, 300);
    while planning.total() == 48 {
        planning.carry_out_for(250);
    }
    planning.set_demand(10, 0);
    assert_eq!(planning.carry_out_for(19_000), []);
    assert!(!planning.carry_out_for(10_000).is_empty());
}

#[test]
fn a_refused_order_is_not_repeated_soon() {
    let mut planning = Planning::with_demand(30, 0);
    let orders = planning.plan_for(21_000);
    assert_eq!(orders.len(), 1);
    planning.planner.order_refused(&orders[0], planning.now);
    assert_eq!(planning.plan_for(29_000), []);
}

#[test]
fn noise_does_not_make_the_count_flap() {
    let mut planning = Planning::new();
    let mut state = 12_345u64;
    let mut orders = Vec::new();
    for _ in 0..4_000 {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        planning.set_demand(100 + (state >> 33) as u32 % 100, 0);
        orders.extend(planning.carry_out_for(250));
    }
    let raised = orders.iter().filter(|order| order.desired_count >= 12).count();
    assert_eq!(raised, 0, "{orders:?}");
    assert!(orders.len() <= 8, "{orders:?}");
}
