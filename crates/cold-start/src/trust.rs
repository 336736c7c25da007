//! What a list is worth by its age. A server that an old list names may have drained, gone, or come back cold under
//! another id: it must answer probes before it gets work, more of them the older the list. The steps double, as what
//! an hour changes beyond half an hour is less than what the first minutes do.

use crate::{Nanos, StartSettings};

/// Steps of doubt at most: eight probes in a row say as much of a server as a list could.
pub const MAX_UNVERIFIED_STEPS: u32 = 4;

/// 0 for a list as good as discovery's answer; else one step for the first `half_life` beyond `fresh_for`, and one more
/// each time that its age beyond has doubled. A server of doubt `d` answers `2^(d-1)` probes before it gets work.
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

/// Whether a list is too old to be adopted while something better may still come.
pub fn is_too_old(age: Nanos, settings: &StartSettings) -> bool {
    age > settings.max_age
}
