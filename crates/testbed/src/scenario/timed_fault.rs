//! A fault with the time at which it begins, and its form on the command line.

use std::str::FromStr;
use std::time::Duration;

use derive_more::{Display, Error, From};

use super::faults::{Fault, UnknownFault};

/// Separates the name of a fault from the time at which it begins.
const TIME_SEPARATOR: char = '@';

/// A fault of a scenario and the time at which it begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimedFault {
    /// The fault.
    pub fault: Fault,
    /// Time from the beginning of the first faults until this one begins.
    pub delay: Duration,
}

/// The reason why a text is not a fault with its time.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error, From)]
pub enum InvalidFault {
    /// No fault has the given name.
    #[display("{_0}")]
    Unknown(UnknownFault),
    /// The time is not a number of seconds.
    #[display("{text}: write NAME{TIME_SEPARATOR}SECONDS, with 0 or more seconds after the first faults")]
    #[from(skip)]
    Time {
        /// The name and the malformed time.
        #[error(not(source))]
        text: String,
    },
}

impl FromStr for TimedFault {
    type Err = InvalidFault;

    /// Parses `NAME` or `NAME@SECONDS`.
    fn from_str(text: &str) -> Result<TimedFault, InvalidFault> {
        let Some((name, seconds)) = text.split_once(TIME_SEPARATOR) else {
            return Ok(TimedFault { fault: text.parse()?, delay: Duration::ZERO });
        };
        let delay = seconds.parse().ok().and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
        let delay = delay.ok_or_else(|| InvalidFault::Time { text: text.to_owned() })?;
        Ok(TimedFault { fault: name.parse()?, delay })
    }
}
