//! The time of a turn of an event loop, at which its deadlines are evaluated.

/// Collects events and returns the time of the turn: everything that had arrived by then is collected.
///
/// A process may be suspended for long between the end of its wait and the reading of the clock (stopped, or without a
/// CPU). Events that arrive meanwhile are not among those of that wait, while deadlines that pass meanwhile would seem
/// missed. So if a deadline is due at the time that was read, events are collected once more, without waiting.
///
/// * `due`: the earliest deadline; the caller waits no longer than that.
/// * `now`: reads the clock.
/// * `dispatch`: collects events; its argument determines whether it may wait for them.
///
/// # Errors
///
/// Returns the errors of `dispatch`.
pub fn collect_events<T: Copy + PartialOrd, E>(
    due: Option<T>,
    now: impl FnOnce() -> T,
    mut dispatch: impl FnMut(MayWait) -> Result<(), E>,
) -> Result<T, E> {
    dispatch(MayWait::UntilDue)?;
    let time = now();
    if due.is_some_and(|due| due <= time) {
        dispatch(MayWait::No)?;
    }
    Ok(time)
}

/// Whether `dispatch` may wait for events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MayWait {
    /// It may wait until the earliest deadline.
    UntilDue,
    /// It collects only the events that have occurred already.
    No,
}
