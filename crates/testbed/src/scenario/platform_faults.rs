//! Faults of the platform's interface in a scenario.

use super::steps::{ScheduledStep, Step, after};
use crate::platform::PlatformFault;

/// How long the platform has its fault, in milliseconds.
const PLATFORM_FAULT_MS: u64 = 5_000;
/// How much later a slow platform answers: later than a caller waits for it in some cases.
pub(super) const SLOW_PLATFORM: PlatformFault = PlatformFault::Slow { delay_ms: 1_200 };

/// The platform has a fault for a while.
pub(super) fn platform_fault(fault: PlatformFault) -> Vec<ScheduledStep> {
    vec![after(0, Step::Platform(Some(fault))), after(PLATFORM_FAULT_MS, Step::Platform(None))]
}
