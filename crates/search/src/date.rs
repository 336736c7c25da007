//! Dates: ISO 8601, milliseconds and seconds since 1970, the named formats, and date math such as `now-7d/d`.

use chrono::{DateTime, Datelike, Days, FixedOffset, Months, NaiveDate, NaiveDateTime, NaiveTime, TimeDelta};
use derive_more::{Display, Error};

/// The date formats that a range may name.
pub const FORMATS: [&str; 7] = [
    "strict_date_optional_time",
    "date_optional_time",
    "strict_date",
    "date",
    "yyyy-MM-dd",
    "epoch_millis",
    "epoch_second",
];
/// The formats of a date if the request names none.
const DEFAULT_FORMATS: &str = "strict_date_optional_time||epoch_millis";

/// Which moment of its span an imprecise date means: one that was rounded or has no time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rounding {
    /// The first millisecond of the span.
    Down,
    /// The last millisecond of the span.
    Up,
}

/// Why a text is not a valid date.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum DateError {
    /// The time that `now` refers to is out of range.
    #[display("now is out of range")]
    NowOutOfRange,
    /// The text matches none of the formats.
    #[display("'{text}' is no date of the format {formats}")]
    NoDate {
        /// The text.
        text: String,
        /// The formats.
        formats: String,
    },
    /// The format is unknown.
    #[display("unknown date format '{format}'; known: {}", FORMATS.join(", "))]
    UnknownFormat {
        /// The format.
        format: String,
    },
    /// The date math after the date is invalid.
    #[display("'{text}': {error}")]
    Maths {
        /// The text.
        text: String,
        /// The error in the date math.
        #[error(source)]
        error: DateMathError,
    },
}

/// Why date math is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum DateMathError {
    /// A rounding step has a number.
    #[display("'/' takes a unit and no number")]
    NumberOfRounding,
    /// The number of a step is out of range.
    #[display("'{digits}' is too large")]
    TooLarge {
        /// The number.
        digits: String,
    },
    /// A step begins with an invalid character.
    #[display("'{sign}' is no '+', '-' or '/'")]
    UnknownSign {
        /// The character.
        sign: char,
    },
    /// A step has no unit.
    #[display("a unit is missing")]
    MissingUnit,
    /// The unit of a step is unknown, or its result is out of range.
    #[display("'{step}' is no step of time, or leads out of range")]
    Step {
        /// The step.
        step: String,
    },
}

/// Parses a date and returns it in milliseconds since 1970. `format` is one of [`FORMATS`], several separated by `||`,
/// or `None` for the default `strict_date_optional_time||epoch_millis`. `now` is in milliseconds since 1970.
///
/// ```
/// use orchidvalve_search::date::{Rounding, read};
///
/// let day = 86_400_000;
/// assert_eq!(read("1970-01-03", None, 0, Rounding::Down), Ok(2 * day));
/// assert_eq!(read("1970-01-03||+1d/d", None, 0, Rounding::Up), Ok(4 * day - 1));
/// assert_eq!(read("now-7d/d", None, 10 * day + 5, Rounding::Down), Ok(3 * day));
/// assert!(read("03.01.1970", None, 0, Rounding::Down).unwrap_err().to_string().contains("no date"));
/// ```
///
/// # Errors
///
/// The text matches none of the formats, or its date math is invalid.
pub fn read(text: &str, format: Option<&str>, now: i64, rounding: Rounding) -> Result<i64, DateError> {
    let (anchor, maths) = match text.strip_prefix("now") {
        Some(maths) => (from_millis(now).ok_or(DateError::NowOutOfRange)?, maths),
        None => match text.split_once("||") {
            Some((date, maths)) => (read_plain(date, format, Rounding::Down)?, maths),
            None => {
                return read_plain(text, format, rounding).map(|date| date.and_utc().timestamp_millis());
            }
        },
    };
    let date = apply_maths(anchor, maths, rounding)
        .map_err(|error| DateError::Maths { text: text.to_owned(), error })?;
    Ok(date.and_utc().timestamp_millis())
}

/// Checks that all formats are known.
///
/// # Errors
///
/// A format is unknown.
pub fn check_format(format: &str) -> Result<(), DateError> {
    match format.split("||").find(|format| !FORMATS.contains(format)) {
        Some(unknown) => Err(DateError::UnknownFormat { format: unknown.to_owned() }),
        None => Ok(()),
    }
}

fn from_millis(millis: i64) -> Option<NaiveDateTime> {
    DateTime::from_timestamp_millis(millis).map(|date| date.naive_utc())
}

/// Parses a date without date math.
fn read_plain(text: &str, format: Option<&str>, rounding: Rounding) -> Result<NaiveDateTime, DateError> {
    let formats = format.unwrap_or(DEFAULT_FORMATS);
    let found = formats.split("||").find_map(|format| match format {
        "epoch_millis" => parse_integer(text).and_then(from_millis),
        "epoch_second" => {
            parse_integer(text).and_then(|seconds| seconds.checked_mul(1000)).and_then(from_millis)
        }
        "strict_date" | "date" | "yyyy-MM-dd" => parse_day(text).map(|day| round_day(day, rounding)),
        _ => parse_iso(text, rounding),
    });
    found.ok_or_else(|| DateError::NoDate { text: text.to_owned(), formats: formats.to_owned() })
}

fn parse_integer(text: &str) -> Option<i64> {
    let digits = text.strip_prefix('-').unwrap_or(text);
    (!digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_digit())).then(|| text.parse().ok())?
}

/// Returns the first or the last millisecond of a day.
fn round_day(day: NaiveDate, rounding: Rounding) -> NaiveDateTime {
    day.and_time(match rounding {
        Rounding::Down => NaiveTime::default(),
        Rounding::Up => NaiveTime::from_hms_milli_opt(23, 59, 59, 999).unwrap_or_default(),
    })
}

/// Parses `yyyy-mm-dd`. Other widths are rejected, because 1-2-3 is ambiguous.
fn parse_day(text: &str) -> Option<NaiveDate> {
    let form = b"dddd-dd-dd";
    let fits = |(byte, form): (u8, u8)| if form == b'd' { byte.is_ascii_digit() } else { byte == form };
    (text.len() == form.len() && text.bytes().zip(*form).all(fits)).then_some(())?;
    let part = |from: usize, to: usize| text[from..to].parse::<u32>().ok();
    NaiveDate::from_ymd_opt(part(0, 4)? as i32, part(5, 7)?, part(8, 10)?)
}

/// Parses a number of exactly two digits.
fn parse_two_digits(text: &str) -> Option<u32> {
    (text.len() == 2 && text.bytes().all(|byte| byte.is_ascii_digit())).then(|| text.parse().ok())?
}

/// Parses a day, optionally followed by `T`, a time and a time zone. Without a zone, the time is UTC.
fn parse_iso(text: &str, rounding: Rounding) -> Option<NaiveDateTime> {
    let Some((day, time)) = text.split_once('T') else {
        return parse_day(text).map(|day| round_day(day, rounding));
    };
    let day = parse_day(day)?;
    let (time, zone) = match time.find(['Z', '+', '-']) {
        Some(end) => (&time[..end], parse_offset(&time[end..])?),
        None => (time, FixedOffset::east_opt(0)?),
    };
    let (time, open_ms) = parse_time_of_day(time)?;
    let date = day.and_time(time).checked_sub_offset(zone)?;
    match rounding {
        Rounding::Down => Some(date),
        Rounding::Up => date.checked_add_signed(TimeDelta::milliseconds(open_ms)),
    }
}

/// Parses a time of day. Also returns how many milliseconds its span extends after it: a time without seconds covers a
/// minute, one without minutes an hour.
fn parse_time_of_day(text: &str) -> Option<(NaiveTime, i64)> {
    let (whole, fraction) = match text.split_once('.') {
        Some((whole, fraction)) => (whole, Some(fraction)),
        None => (text, None),
    };
    let fields = whole.split(':').map(parse_two_digits).collect::<Option<Vec<u32>>>()?;
    let (millis, open_ms) = match fraction {
        None => (0, [3_600_000, 60_000, 1_000].get(fields.len().checked_sub(1)?)? - 1),
        Some(fraction) if fields.len() == 3 => (parse_fraction(fraction)?, 0),
        Some(_) => return None,
    };
    let field = |index: usize| fields.get(index).copied().unwrap_or(0);
    Some((NaiveTime::from_hms_milli_opt(field(0), field(1), field(2), millis)?, open_ms))
}

/// Parses the decimals of a second, one to nine digits, to milliseconds.
fn parse_fraction(text: &str) -> Option<u32> {
    let is_valid = (1..=9).contains(&text.len()) && text.bytes().all(|byte| byte.is_ascii_digit());
    let digits = if is_valid { &text[..text.len().min(3)] } else { return None };
    Some(digits.parse::<u32>().ok()? * 10u32.pow(3 - digits.len() as u32))
}

/// Parses the offset of a time zone: `Z`, `UTC` or `+hh:mm`.
pub fn parse_offset(text: &str) -> Option<FixedOffset> {
    if text == "Z" || text == "UTC" {
        return FixedOffset::east_opt(0);
    }
    let (sign, rest) = match text.as_bytes().first()? {
        b'+' => (1, &text[1..]),
        b'-' => (-1, &text[1..]),
        _ => return None,
    };
    let (hours, minutes) = rest.split_once(':')?;
    let (hours, minutes) = (parse_two_digits(hours)? as i32, parse_two_digits(minutes)? as i32);
    (hours <= 18 && minutes < 60).then(|| FixedOffset::east_opt(sign * (hours * 3600 + minutes * 60)))?
}

/// Applies date math such as `+1M`, `-7d` and `/d`, step by step.
fn apply_maths(
    mut date: NaiveDateTime,
    maths: &str,
    rounding: Rounding,
) -> Result<NaiveDateTime, DateMathError> {
    let mut rest = maths;
    while let Some(sign) = rest.chars().next() {
        rest = &rest[sign.len_utf8()..];
        let digits = rest.bytes().take_while(u8::is_ascii_digit).count();
        let count = match (sign, &rest[..digits]) {
            ('/', "") => 0,
            ('/', _) => return Err(DateMathError::NumberOfRounding),
            ('+' | '-', "") => 1,
            ('+' | '-', digits) => {
                let too_large = |_| DateMathError::TooLarge { digits: digits.to_owned() };
                digits.parse::<u32>().map_err(too_large)?
            }
            _ => return Err(DateMathError::UnknownSign { sign }),
        };
        rest = &rest[digits..];
        let unit = rest.chars().next().ok_or(DateMathError::MissingUnit)?;
        rest = &rest[unit.len_utf8()..];
        date = match sign {
            '/' => round(date, unit, rounding),
            sign => shift(date, sign == '+', count, unit),
        }
        .ok_or_else(|| DateMathError::Step { step: format!("{sign}{count}{unit}") })?;
    }
    Ok(date)
}

fn shift(date: NaiveDateTime, forward: bool, count: u32, unit: char) -> Option<NaiveDateTime> {
    let by_seconds = |seconds: i64| {
        let delta = TimeDelta::try_seconds(seconds.checked_mul(i64::from(count))?)?;
        if forward { date.checked_add_signed(delta) } else { date.checked_sub_signed(delta) }
    };
    let by_months = |each: u32| {
        let months = Months::new(count.checked_mul(each)?);
        if forward { date.checked_add_months(months) } else { date.checked_sub_months(months) }
    };
    match unit {
        'y' => by_months(12),
        'M' => by_months(1),
        'w' => by_seconds(7 * 86_400),
        'd' => by_seconds(86_400),
        'h' | 'H' => by_seconds(3600),
        'm' => by_seconds(60),
        's' => by_seconds(1),
        _ => None,
    }
}

/// Returns the first or the last millisecond of the unit that contains the date.
fn round(date: NaiveDateTime, unit: char, rounding: Rounding) -> Option<NaiveDateTime> {
    let day = date.date();
    let midnight = |day: NaiveDate| day.and_time(NaiveTime::default());
    let floor_seconds = |each: i64| {
        let floor = date.and_utc().timestamp().div_euclid(each) * each;
        DateTime::from_timestamp(floor, 0).map(|date| date.naive_utc())
    };
    let floor = match unit {
        'y' => midnight(NaiveDate::from_ymd_opt(day.year(), 1, 1)?),
        'M' => midnight(day.with_day(1)?),
        'w' => midnight(day.checked_sub_days(Days::new(u64::from(day.weekday().num_days_from_monday())))?),
        'd' => midnight(day),
        'h' | 'H' => floor_seconds(3600)?,
        'm' => floor_seconds(60)?,
        's' => floor_seconds(1)?,
        _ => return None,
    };
    match rounding {
        Rounding::Down => Some(floor),
        Rounding::Up => shift(floor, true, 1, unit)?.checked_sub_signed(TimeDelta::milliseconds(1)),
    }
}
