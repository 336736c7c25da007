//! `minimum_should_match`: a number or a percentage; a negative one says how many may be missing.

use crate::error::SearchError;
use crate::json::{Cursor, Json};

/// How many of a list of clauses or words must match.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MinimumShouldMatch {
    Count(i64),
    Percent(i64),
}

impl MinimumShouldMatch {
    pub fn parse(at: &Cursor) -> Result<MinimumShouldMatch, SearchError> {
        let error = || at.error("should be a whole number or a percentage such as \"75%\"; no combinations");
        match at.value {
            Json::Integer(count) => Ok(MinimumShouldMatch::Count(*count)),
            Json::String(text) => match text.strip_suffix('%') {
                Some(percent) => {
                    let percent = percent.parse().ok().filter(|percent| (-100..=100).contains(percent));
                    percent.map(MinimumShouldMatch::Percent)
                }
                None => text.parse().ok().map(MinimumShouldMatch::Count),
            }
            .ok_or_else(error),
            _ => Err(error()),
        }
    }

    /// Returns the number out of `total` that must match.
    pub fn of(self, total: usize) -> usize {
        let total = total as i64;
        let minimum = match self {
            MinimumShouldMatch::Count(count) if count < 0 => total.saturating_add(count),
            MinimumShouldMatch::Count(count) => count,
            MinimumShouldMatch::Percent(percent) if percent < 0 => total - total * -percent / 100,
            MinimumShouldMatch::Percent(percent) => total * percent / 100,
        };
        minimum.max(0) as usize
    }
}
