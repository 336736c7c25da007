//! The scaling planner under random demand, lists and bounds.

mod scaling_support;

use orchidvalve_control_plane::scaling_planner::ScalingBounds;
use proptest::prelude::*;
use scaling_support::{BOUNDS, Planning, SERVICE, SLOTS, ZONES};

/// A change before the next plans.
#[derive(Clone, Debug)]
enum Event {
    Demand { running: u32, waiting: u32 },
    Count { zone: usize, count: u32 },
    Complete(bool),
    RollingOut(bool),
    Bounds { min_count: u32, more: u32 },
    NewHead,
    Wait { ms: u64 },
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let demand = (0..400u32, prop_oneof![Just(0), 0..2_000u32])
        .prop_map(|(running, waiting)| Event::Demand { running, waiting });
    let calm = (0..60u32).prop_map(|running| Event::Demand { running, waiting: 0 });
    let count = (0..ZONES.len(), 0..26u32).prop_map(|(zone, count)| Event::Count { zone, count });
    let bounds = (1..16u32, 0..16u32).prop_map(|(min_count, more)| Event::Bounds { min_count, more });
    let event = prop_oneof![
        4 => demand,
        4 => calm,
        1 => count,
        1 => any::<bool>().prop_map(Event::Complete),
        1 => any::<bool>().prop_map(Event::RollingOut),
        1 => bounds,
        1 => Just(Event::NewHead),
        6 => (0..40_000u64).prop_map(|ms| Event::Wait { ms }),
    ];
    prop::collection::vec(event, 1..40)
}

fn apply(planning: &mut Planning, event: &Event) -> u64 {
    match *event {
        Event::Demand { running, waiting } => planning.set_demand(running, waiting),
        Event::Count { zone, count } => planning.set_count(ZONES[zone], count),
        Event::Complete(is_complete) => planning.is_demand_complete = is_complete,
        Event::RollingOut(is_rolling_out) => planning.is_rolling_out = is_rolling_out,
        Event::Bounds { min_count, more } => {
            let bounds = ScalingBounds { min_count, max_count: min_count + more, ..BOUNDS };
            planning.bounds.insert(SERVICE.to_owned(), bounds);
        }
        Event::NewHead => planning.planner.reset(),
        Event::Wait { ms } => return ms,
    }
    500
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 100, ..ProptestConfig::default() })]

    /// An order that removes servers leaves enough slots for all outstanding work, unless the bounds demand otherwise, and is
    /// given only while demand is known and no weights are being loaded.
    #[test]
    fn orders_stay_within_the_bounds_and_above_outstanding_work(events in events()) {
        let mut planning = Planning::new();
        for event in events {
            let end = planning.now + apply(&mut planning, &event);
            while planning.now < end {
                let before = planning.counts.clone();
                let bounds = planning.bounds[SERVICE];
                for order in planning.plan() {
                    let count = order.desired_count;
                    prop_assert!((bounds.min_count..=bounds.max_count).contains(&count), "{order:?} {bounds:?}");
                    let had = before[&order.zone];
                    planning.set_count(&order.zone, count);
                    let is_bounded = had > bounds.max_count || count == bounds.max_count;
                    if count < had && !is_bounded {
                        prop_assert_eq!(count + 1, had);
                        prop_assert!(planning.demand.outstanding() <= planning.total() * SLOTS);
                        prop_assert!(planning.is_demand_complete && !planning.is_rolling_out);
                    }
                }
            }
        }
    }

}

proptest! {
    #![proptest_config(ProptestConfig { cases: 30, ..ProptestConfig::default() })]

    /// Under constant demand the planner reaches a stable count instead of alternating.
    #[test]
    fn steady_demand_leads_to_a_stable_count(running in 0..500u32, waiting in 0..300u32) {
        let mut planning = Planning::with_demand(running, waiting);
        planning.carry_out_for(600_000);
        prop_assert_eq!(planning.carry_out_for(200_000), []);
    }
}
