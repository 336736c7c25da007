//! The texts that servers can have generated, given the executions of an item.

use std::collections::BTreeSet;

use derive_more::Display;

use super::server_log::ExecutionRecord;
use crate::synthetic_text;

/// A defect that is visible in the text alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub(super) enum OutputDefect {
    /// A line is not an event of the item.
    #[display("it has a line that is no event of the item")]
    Foreign,
    /// Events are missing, duplicated or out of order.
    #[display("its events aren't in order")]
    Disordered,
    /// The text ends before the last event.
    #[display("it ends before the last event")]
    Truncated,
}

/// Compares a text with the complete text of an item.
pub(super) fn check_text(id: &str, message: &str, events: u64) -> Result<(), OutputDefect> {
    let mut numbers = Vec::new();
    for line in message.split('\n').filter(|line| !line.is_empty()) {
        numbers.push(synthetic_text::event_number(id, line).ok_or(OutputDefect::Foreign)?);
    }
    let in_order = numbers.iter().zip(1..).all(|(number, expected)| *number == expected);
    match in_order {
        false => Err(OutputDefect::Disordered),
        true if (numbers.len() as u64) < events => Err(OutputDefect::Truncated),
        true if numbers.len() as u64 > events => Err(OutputDefect::Foreign),
        true => Ok(()),
    }
}

/// Returns the version sets of all complete texts that the executions can form. The first execution of a text starts
/// at the beginning, and each following one resumes after the last event used from the one before. Empty if no
/// complete text is possible.
pub(super) fn possible_versions(executions: &[ExecutionRecord], events: u64) -> Vec<BTreeSet<u64>> {
    let mut found = Vec::new();
    for execution in executions.iter().filter(|execution| execution.after_event == 0) {
        follow(executions, execution, &BTreeSet::new(), events, &mut found);
    }
    found
}

/// Follows one execution, and all executions that resume after one of its events, to the end of the text.
fn follow(
    executions: &[ExecutionRecord],
    execution: &ExecutionRecord,
    versions_before: &BTreeSet<u64>,
    events: u64,
    found: &mut Vec<BTreeSet<u64>>,
) {
    let mut versions = versions_before.clone();
    let mut last = execution.after_event;
    for event in &execution.events {
        if event.event != last + 1 {
            return;
        }
        last = event.event;
        versions.insert(event.version);
        if last == events && !found.contains(&versions) {
            found.push(versions.clone());
        }
        let continuations = executions
            .iter()
            .filter(|next| next.after_event == last && next.execution != execution.execution);
        for next in continuations {
            follow(executions, next, &versions, events, found);
        }
    }
}

/// Returns the number of the observation in which the last event of a text was first emitted.
pub(super) fn last_event_emitted(executions: &[ExecutionRecord], events: u64) -> Option<u64> {
    let emitted = executions.iter().flat_map(|execution| &execution.events);
    emitted.filter(|event| event.event == events).map(|event| event.sequence).min()
}
