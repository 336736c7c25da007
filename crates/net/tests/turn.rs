//! The time of a turn: no event that arrived before it is left uncollected.

use std::cell::{Cell, RefCell};

use orchidvalve_net::turn::{MayWait, collect_events};
use rstest::rstest;

/// A process that is suspended for `held` after its wait. An event arrives at `arrives_at`.
struct HeldProcess {
    clock: Cell<u64>,
    held: u64,
    arrives_at: u64,
    collected_at: Cell<Option<u64>>,
    waits: RefCell<Vec<MayWait>>,
}

impl HeldProcess {
    fn new(held: u64, arrives_at: u64) -> HeldProcess {
        HeldProcess {
            clock: Cell::new(0),
            held,
            arrives_at,
            collected_at: Cell::new(None),
            waits: RefCell::new(Vec::new()),
        }
    }

    /// The wait ends at `due`, or when the event arrives; then the process is suspended.
    fn dispatch(&self, due: Option<u64>, wait: MayWait) {
        self.waits.borrow_mut().push(wait);
        if wait == MayWait::UntilDue {
            self.clock.set(due.unwrap_or(u64::MAX).min(self.arrives_at));
        }
        if self.arrives_at <= self.clock.get() && self.collected_at.get().is_none() {
            self.collected_at.set(Some(self.clock.get()));
        }
        if wait == MayWait::UntilDue {
            self.clock.set(self.clock.get() + self.held);
        }
    }

    fn turn(&self, due: Option<u64>) -> u64 {
        let dispatch = |wait| {
            self.dispatch(due, wait);
            Ok::<(), ()>(())
        };
        collect_events(due, || self.clock.get(), dispatch).unwrap()
    }
}

#[rstest]
#[case::held_past_the_deadline(50, Some(100), 120)]
#[case::held_for_long(10_000, Some(100), 9_000)]
#[case::arrived_in_time(0, Some(100), 40)]
#[case::held_after_an_event(500, Some(100), 40)]
#[case::due_already(30, Some(0), 20)]
fn events_that_arrived_before_the_time_of_the_turn_are_collected(
    #[case] held: u64,
    #[case] due: Option<u64>,
    #[case] arrives_at: u64,
) {
    let process = HeldProcess::new(held, arrives_at);
    let time = process.turn(due);
    assert!(arrives_at <= time);
    assert!(process.collected_at.get().is_some(), "not collected by {time}");
}

#[test]
fn events_are_collected_once_if_nothing_is_due() {
    let process = HeldProcess::new(0, 40);
    assert_eq!(process.turn(Some(100)), 40);
    assert_eq!(*process.waits.borrow(), [MayWait::UntilDue]);
    let process = HeldProcess::new(0, 40);
    process.turn(None);
    assert_eq!(*process.waits.borrow(), [MayWait::UntilDue]);
}

#[test]
fn a_failed_wait_is_reported() {
    assert_eq!(collect_events(Some(1), || 0, |_| Err("closed")), Err("closed"));
}
