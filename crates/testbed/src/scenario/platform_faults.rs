//! Faults of the platform's API in a scenario.

use super::steps::{ScheduledStep, Step, after};
use crate::platform::PlatformFault;

/// Duration of a fault of the platform, in milliseconds.
const PLATFORM_FAULT_MS: u64 = 5_000;
/// A delay of the responses that exceeds the timeout of some callers.
pub(super) const SLOW_PLATFORM: PlatformFault = PlatformFault::Slow { delay_ms: 1_200 };

/// Returns the steps that set a fault of the platform and end it after [`PLATFORM_FAULT_MS`].
pub(super) fn platform_fault(fault: PlatformFault) -> Vec<ScheduledStep> {
    vec![after(0, Step::Platform(Some(fault))), after(PLATFORM_FAULT_MS, Step::Platform(None))]
}
