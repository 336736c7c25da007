//! Faults that consist of several failures: a second loss after a replacement, a store node that leaves, restarts
//! after many changes, and servers that respond twice or early.

use super::servers::ServerIndices;
use super::steps::{ScheduledStep, Step, after};
use super::timing::{DOWN_MS, SERVER_FAULT_MS};
use crate::launch::ProcessId;
use crate::server_fault::ServerFault;

/// Time from the loss of a control node to the start of its replacement, in milliseconds.
const REPLACEMENT_MS: u64 = 500;
/// Time after which a returned or new machine is no longer counted as lost (`bounds.catch-up-s`), in milliseconds.
const CATCH_UP_MS: u64 = 4_400;
/// Time until a killed process is restarted, in milliseconds.
const SHORT_DOWN_MS: u64 = 400;

/// Removes a control node for good, adds an empty one at another address, and wipes the disk of another control node
/// as soon as the added one had time to catch up.
pub(super) fn replace_then_wipe(lost: &[ProcessId], wiped: &[ProcessId]) -> Vec<ScheduledStep> {
    let second = REPLACEMENT_MS + CATCH_UP_MS;
    vec![
        after(0, Step::Remove(lost.to_vec())),
        after(REPLACEMENT_MS, Step::AddControl),
        after(second, Step::Kill(wiped.to_vec())),
        after(second + 1, Step::Wipe(wiped.to_vec())),
        after(second + DOWN_MS, Step::Start(wiped.to_vec())),
    ]
}

/// Wipes the disk of a store node and restarts it, and orders another store node to leave before anything can have
/// been copied. The leaving node has the only copy of the partitions that these two share. An added store node can
/// receive them.
pub(super) fn leave_with_only_copy(wiped: &[ProcessId], leaving: &[ProcessId]) -> Vec<ScheduledStep> {
    vec![
        after(0, Step::Kill(wiped.to_vec())),
        after(1, Step::Wipe(wiped.to_vec())),
        after(1, Step::AddStore),
        after(2, Step::TerminateAndRemove(leaving.to_vec())),
        after(SHORT_DOWN_MS, Step::Start(wiped.to_vec())),
    ]
}

/// Restarts a control node while changes continue, and restarts all machines at once after its time to catch up.
pub(super) fn restart_one_then_all(one: &[ProcessId], all: &[ProcessId]) -> Vec<ScheduledStep> {
    let second = SHORT_DOWN_MS + CATCH_UP_MS;
    vec![
        after(0, Step::Kill(one.to_vec())),
        after(SHORT_DOWN_MS, Step::Start(one.to_vec())),
        after(second, Step::Kill(all.to_vec())),
        after(second + SHORT_DOWN_MS, Step::Start(all.to_vec())),
    ]
}

/// Makes all servers respond twice for a while. Application servers also respond before they have read long request
/// bodies.
pub(super) fn duplicate_responses(servers: &ServerIndices) -> Vec<ScheduledStep> {
    let all = || servers.models.iter().chain(&servers.applications);
    let inject = |server: &_, fault| after(0, Step::InjectServerFault(*server, fault));
    let duplicate = all().map(|server| inject(server, ServerFault::DuplicateResponses));
    let early = servers.applications.iter().map(|server| inject(server, ServerFault::EarlyResponse));
    let cleared = all().map(|server| after(SERVER_FAULT_MS, Step::ClearServerFaults(*server)));
    duplicate.chain(early).chain(cleared).collect()
}
