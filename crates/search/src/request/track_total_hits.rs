//! `track_total_hits`: up to which number matching documents are counted.

use serde_json::{Value, json};

use crate::error::SearchError;
use crate::json::{Cursor, Json};

/// The number up to which hits are counted exactly if the request does not set `track_total_hits`.
const DEFAULT_LIMIT: usize = 10_000;

/// Up to which number matching documents are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrackTotalHits {
    /// Count all of them.
    All,
    /// Do not count.
    Nothing,
    /// Count exactly up to this number.
    UpTo(usize),
}

impl Default for TrackTotalHits {
    fn default() -> TrackTotalHits {
        TrackTotalHits::UpTo(DEFAULT_LIMIT)
    }
}

impl TrackTotalHits {
    pub(super) fn parse(at: &Cursor) -> Result<TrackTotalHits, SearchError> {
        match at.value {
            Json::Bool(true) => Ok(TrackTotalHits::All),
            Json::Bool(false) => Ok(TrackTotalHits::Nothing),
            _ => {
                let limit = usize::try_from(at.as_i64()?).ok();
                let limit = limit.map(TrackTotalHits::UpTo);
                limit.ok_or_else(|| at.error("should be true, false, or 0 and above"))
            }
        }
    }

    pub(super) fn to_json(self) -> Value {
        match self {
            TrackTotalHits::All => json!(true),
            TrackTotalHits::Nothing => json!(false),
            TrackTotalHits::UpTo(limit) => json!(limit),
        }
    }
}
