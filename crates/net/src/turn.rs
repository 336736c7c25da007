//! When a turn of an event loop takes place: the time by which it judges what is due.

/// Collects what has happened, and returns the time of the turn: everything that had arrived by then is collected.
///
/// A process may be held for long between the end of its wait and the reading of the clock (stopped, or without a
/// processor). What arrived meanwhile is not among the events of that wait, but the deadlines that passed meanwhile
/// would look missed. So where something is due by the time that was read, events are collected once more, without a
/// wait.
///
/// * `due`: when the earliest deadline falls due; the caller waits until then at most.
/// * `now`: reads the clock.
/// * `dispatch`: collects events; its argument says whether it may wait for them.
///
/// # Errors
///
/// Those of `dispatch`.
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

/// Whether events may be waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MayWait {
    /// Until the earliest deadline falls due.
    UntilDue,
    /// Only what has happened already is collected.
    No,
}
