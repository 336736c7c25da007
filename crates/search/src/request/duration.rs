//! Durations in OpenSearch's notation.

use derive_more::{Display, Error};

/// Why a text is not a valid duration.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum DurationError {
    /// The text has no known unit.
    #[display("'{text}' should be a number with a unit: d, h, m, s, ms, micros or nanos")]
    Unit {
        /// The text.
        text: String,
    },
    /// The duration is 0 or out of range.
    #[display("'{text}' should be above 0, and less than 292 years")]
    Range {
        /// The text.
        text: String,
    },
}

/// Parses a duration and returns it in nanoseconds.
///
/// ```
/// use orchidvalve_search::request::parse_time;
///
/// assert_eq!(parse_time("480ms"), Ok(480_000_000));
/// assert!(parse_time("480").unwrap_err().to_string().contains("unit"));
/// ```
///
/// # Errors
///
/// The text is not a number with a unit, or is out of range.
pub fn parse_time(text: &str) -> Result<i64, DurationError> {
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let unit = match &text[digits..] {
        "nanos" => 1,
        "micros" => 1_000,
        "ms" => 1_000_000,
        "s" => 1_000_000_000,
        "m" => 60_000_000_000,
        "h" => 3_600_000_000_000,
        "d" => 86_400_000_000_000,
        _ => return Err(DurationError::Unit { text: text.to_owned() }),
    };
    let count = text[..digits].parse::<i64>().ok();
    let nanos = count.and_then(|count| count.checked_mul(unit)).filter(|&nanos| nanos > 0);
    nanos.ok_or_else(|| DurationError::Range { text: text.to_owned() })
}
