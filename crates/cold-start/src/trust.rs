//! Trust in a list by its age. A server that an old list names may have drained, gone, or restarted under another id:
//! it must answer health checks before it gets work, more of them the older the list. The steps double with age,
//! because an additional hour changes less in an old list than the first minutes do.

use crate::{Nanos, StartSettings};

/// The highest number of steps. Eight consecutive health checks say as much about a server as a list could.
pub const MAX_UNVERIFIED_STEPS: u32 = 4;

/// Returns by how many steps the servers of a list are unverified: 0 for a list that is as good as a response of
/// discovery. Beyond `fresh_for` it is one step, and one more from 1, 3 and 7 times `half_life` on. A server that is
/// unverified by `d` steps must answer `2^(d-1)` health checks before it gets work.
///
/// ```
/// use orchidvalve_cold_start::{StartSettings, trust::unverified_steps};
///
/// let settings = StartSettings::default();
/// let minutes = [0, 1, 5, 6, 16, 60, 600].map(|m| unverified_steps(m * 60_000_000_000, &settings));
/// assert_eq!(minutes, [0, 1, 1, 2, 3, 4, 4]);
/// ```
pub fn unverified_steps(age: Nanos, settings: &StartSettings) -> u32 {
    let beyond = age - settings.fresh_for;
    if beyond <= 0 {
        return 0;
    }
    let halves = (beyond / settings.half_life.max(1)) as u64;
    (1 + (halves + 1).ilog2()).min(MAX_UNVERIFIED_STEPS)
}

/// Whether a list is too old to be adopted while a better one may still be found.
pub fn is_too_old(age: Nanos, settings: &StartSettings) -> bool {
    age > settings.max_age
}
