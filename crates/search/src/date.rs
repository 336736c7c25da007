//! Dates: ISO 8601, milliseconds and seconds since 1970, the named formats, and date maths such as `now-7d/d`.

use chrono::{DateTime, Datelike, Days, FixedOffset, Months, NaiveDate, NaiveDateTime, NaiveTime, TimeDelta};

/// The formats that a range may name.
pub const FORMATS: [&str; 7] = [
    "strict_date_optional_time",
    "date_optional_time",
    "strict_date",
    "date",
    "yyyy-MM-dd",
    "epoch_millis",
    "epoch_second",
];

/// Milliseconds since 1970. `format`: one of [`FORMATS`], or several with `||` between; none for the default,
/// `strict_date_optional_time||epoch_millis`. `now`: milliseconds. `up`: whether what is left open, by rounding
/// or by a date without a time, means its last millisecond.
///
/// ```
/// use orchidvalve_search::date::read;
///
/// let day = 86_400_000;
/// assert_eq!(read("1970-01-03", None, 0, false), Ok(2 * day));
/// assert_eq!(read("1970-01-03||+1d/d", None, 0, true), Ok(4 * day - 1));
/// assert_eq!(read("now-7d/d", None, 10 * day + 5, false), Ok(3 * day));
/// assert!(read("03.01.1970", None, 0, false).unwrap_err().contains("no date"));
/// ```
pub fn read(text: &str, format: Option<&str>, now: i64, up: bool) -> Result<i64, String> {
    let (anchor, maths) = match text.strip_prefix("now") {
        Some(maths) => (moment(now).ok_or("now is out of range")?, maths),
        None => match text.split_once("||") {
            Some((date, maths)) => (plain(date, format, false)?, maths),
            None => return plain(text, format, up).map(|at| at.and_utc().timestamp_millis()),
        },
    };
    let at = apply(anchor, maths, up).map_err(|fault| format!("'{text}': {fault}"))?;
    Ok(at.and_utc().timestamp_millis())
}

/// Refuses a format that is none of the known ones.
pub fn check_format(format: &str) -> Result<(), String> {
    match format.split("||").find(|one| !FORMATS.contains(one)) {
        Some(unknown) => Err(format!("unknown date format '{unknown}'; known: {}", FORMATS.join(", "))),
        None => Ok(()),
    }
}

fn moment(millis: i64) -> Option<NaiveDateTime> {
    DateTime::from_timestamp_millis(millis).map(|at| at.naive_utc())
}

fn plain(text: &str, format: Option<&str>, up: bool) -> Result<NaiveDateTime, String> {
    let formats = format.unwrap_or("strict_date_optional_time||epoch_millis");
    let found = formats.split("||").find_map(|format| match format {
        "epoch_millis" => whole(text).and_then(moment),
        "epoch_second" => whole(text).and_then(|s| s.checked_mul(1000)).and_then(moment),
        "strict_date" | "date" | "yyyy-MM-dd" => day(text).map(|day| ends(day, up)),
        _ => iso(text, up),
    });
    found.ok_or_else(|| format!("'{text}' is no date of the format {formats}"))
}

fn whole(text: &str) -> Option<i64> {
    let digits = text.strip_prefix('-').unwrap_or(text);
    (!digits.is_empty() && digits.bytes().all(|b| b.is_ascii_digit())).then(|| text.parse().ok())?
}

fn ends(day: NaiveDate, up: bool) -> NaiveDateTime {
    let last = NaiveTime::from_hms_milli_opt(23, 59, 59, 999).unwrap_or_default();
    day.and_time(if up { last } else { NaiveTime::default() })
}

/// Four digits, two, two: other widths are refused, as 1-2-3 means different days to different readers.
fn day(text: &str) -> Option<NaiveDate> {
    let form = b"dddd-dd-dd";
    let fits = |(b, f): (u8, u8)| if f == b'd' { b.is_ascii_digit() } else { b == f };
    (text.len() == form.len() && text.bytes().zip(*form).all(fits)).then_some(())?;
    let part = |from: usize, to: usize| text[from..to].parse::<u32>().ok();
    NaiveDate::from_ymd_opt(part(0, 4)? as i32, part(5, 7)?, part(8, 10)?)
}

/// A day; or a day, `T`, a time with minutes, seconds or parts of them, and a zone or none, which is UTC.
fn iso(text: &str, up: bool) -> Option<NaiveDateTime> {
    let Some((date, time)) = text.split_once('T') else { return day(text).map(|day| ends(day, up)) };
    let date = day(date)?;
    let (time, zone) = match time.find(['Z', '+', '-']) {
        Some(at) => (&time[..at], offset(&time[at..])?),
        None => (time, FixedOffset::east_opt(0)?),
    };
    let (time, left_open) = clock(time)?;
    let at = date.and_time(time).checked_sub_offset(zone)?;
    at.checked_add_signed(TimeDelta::milliseconds(if up { left_open } else { 0 }))
}

/// A time of day, and the milliseconds until the next one that could have been written with so many digits.
fn clock(text: &str) -> Option<(NaiveTime, i64)> {
    let (whole, parts) = match text.split_once('.') {
        Some((whole, parts)) => (whole, Some(parts)),
        None => (text, None),
    };
    let fields: Vec<&str> = whole.split(':').collect();
    let two =
        |s: &str| (s.len() == 2 && s.bytes().all(|b| b.is_ascii_digit())).then(|| s.parse::<u32>().ok())?;
    let fields = fields.into_iter().map(two).collect::<Option<Vec<u32>>>()?;
    let (millis, open) = match parts {
        None => (0, [3_600_000, 60_000, 1_000].get(fields.len().checked_sub(1)?)? - 1),
        Some(p)
            if fields.len() == 3 && (1..=9).contains(&p.len()) && p.bytes().all(|b| b.is_ascii_digit()) =>
        {
            let digits = &p[..p.len().min(3)];
            (digits.parse::<u32>().ok()? * 10u32.pow(3 - digits.len() as u32), 0)
        }
        Some(_) => return None,
    };
    let part = |at: usize| fields.get(at).copied().unwrap_or(0);
    Some((NaiveTime::from_hms_milli_opt(part(0), part(1), part(2), millis)?, open))
}

/// `Z`, or `+hh:mm`.
pub fn offset(text: &str) -> Option<FixedOffset> {
    if text == "Z" || text == "UTC" {
        return FixedOffset::east_opt(0);
    }
    let (sign, rest) = match text.as_bytes().first()? {
        b'+' => (1, &text[1..]),
        b'-' => (-1, &text[1..]),
        _ => return None,
    };
    let (hours, minutes) = rest.split_once(':')?;
    let two =
        |s: &str| (s.len() == 2 && s.bytes().all(|b| b.is_ascii_digit())).then(|| s.parse::<i32>().ok())?;
    let (hours, minutes) = (two(hours)?, two(minutes)?);
    (hours <= 18 && minutes < 60).then(|| FixedOffset::east_opt(sign * (hours * 3600 + minutes * 60)))?
}

/// Maths: `+1M`, `-7d`, `/d`, one after the other.
fn apply(mut at: NaiveDateTime, maths: &str, up: bool) -> Result<NaiveDateTime, String> {
    let mut rest = maths;
    while let Some(sign) = rest.chars().next() {
        rest = &rest[sign.len_utf8()..];
        let digits = rest.bytes().take_while(u8::is_ascii_digit).count();
        let count = match (sign, &rest[..digits]) {
            ('/', "") => 0,
            ('/', _) => return Err("'/' takes a unit and no number".to_owned()),
            ('+' | '-', "") => 1,
            ('+' | '-', digits) => digits.parse::<u32>().map_err(|_| format!("'{digits}' is too large"))?,
            _ => return Err(format!("'{sign}' is no '+', '-' or '/'")),
        };
        rest = &rest[digits..];
        let unit = rest.chars().next().ok_or("a unit is missing")?;
        rest = &rest[unit.len_utf8()..];
        at = match sign {
            '/' => round(at, unit, up),
            sign => shift(at, sign == '+', count, unit),
        }
        .ok_or_else(|| format!("'{sign}{count}{unit}' is no step of time, or leads out of range"))?;
    }
    Ok(at)
}

fn shift(at: NaiveDateTime, forward: bool, count: u32, unit: char) -> Option<NaiveDateTime> {
    let by = |seconds: i64| {
        let delta = TimeDelta::try_seconds(seconds.checked_mul(i64::from(count))?)?;
        if forward { at.checked_add_signed(delta) } else { at.checked_sub_signed(delta) }
    };
    let months = |each: u32| {
        let months = Months::new(count.checked_mul(each)?);
        if forward { at.checked_add_months(months) } else { at.checked_sub_months(months) }
    };
    match unit {
        'y' => months(12),
        'M' => months(1),
        'w' => by(7 * 86_400),
        'd' => by(86_400),
        'h' | 'H' => by(3600),
        'm' => by(60),
        's' => by(1),
        _ => None,
    }
}

fn round(at: NaiveDateTime, unit: char, up: bool) -> Option<NaiveDateTime> {
    let day = at.date();
    let midnight = |day: NaiveDate| day.and_time(NaiveTime::default());
    let seconds = |each: i64| {
        let whole = at.and_utc().timestamp().div_euclid(each) * each;
        DateTime::from_timestamp(whole, 0).map(|at| at.naive_utc())
    };
    let floor = match unit {
        'y' => midnight(NaiveDate::from_ymd_opt(day.year(), 1, 1)?),
        'M' => midnight(day.with_day(1)?),
        'w' => midnight(day.checked_sub_days(Days::new(u64::from(day.weekday().num_days_from_monday())))?),
        'd' => midnight(day),
        'h' | 'H' => seconds(3600)?,
        'm' => seconds(60)?,
        's' => seconds(1)?,
        _ => return None,
    };
    if up { shift(floor, true, 1, unit)?.checked_sub_signed(TimeDelta::milliseconds(1)) } else { Some(floor) }
}
