//! Parses and formats points in time for operators.

use std::fmt;
use std::str::FromStr;

use hickorydoor::TimeMs;

const MS_PER_S: u64 = 1000;
const MS_PER_DAY: u64 = 86_400 * MS_PER_S;
/// Days in the 400 years after which the Gregorian calendar repeats.
const DAYS_PER_ERA: u64 = 146_097;
const YEARS_PER_ERA: u64 = 400;
/// Days from 0000-03-01 to 1970-01-01.
const UNIX_EPOCH_DAYS: u64 = 719_468;

/// A point in time, written as `YYYY-MM-DD` or `YYYY-MM-DDTHH:MM:SSZ` in UTC, or as milliseconds
/// since the Unix epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timestamp(pub TimeMs);

/// Error for a text that is not a valid [`Timestamp`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseTimestampError;

impl fmt::Display for ParseTimestampError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("must be YYYY-MM-DD, YYYY-MM-DDTHH:MM:SSZ (UTC) or Unix milliseconds")
    }
}

impl FromStr for Timestamp {
    type Err = ParseTimestampError;

    fn from_str(text: &str) -> Result<Self, ParseTimestampError> {
        if let Ok(unix_ms) = text.parse() {
            return Ok(Self(TimeMs::new(unix_ms)));
        }
        let (date, time) = text.split_once('T').unwrap_or((text, "00:00:00Z"));
        let days = parse_date(date).ok_or(ParseTimestampError)?;
        let seconds = parse_time(time).ok_or(ParseTimestampError)?;
        Ok(Self(TimeMs::new(days * MS_PER_DAY + seconds * MS_PER_S)))
    }
}

/// Parses three numbers that are separated by `separator` and have exactly the given widths.
fn parse_fields(text: &str, separator: char, widths: [usize; 3]) -> Option<[u64; 3]> {
    let parts: Vec<&str> = text.split(separator).collect();
    let parts: [&str; 3] = parts.try_into().ok()?;
    let mut fields = [0; 3];
    for ((field, part), width) in fields.iter_mut().zip(parts).zip(widths) {
        if part.len() != width || !part.bytes().all(|byte| byte.is_ascii_digit()) {
            return None;
        }
        *field = part.parse().ok()?;
    }
    Some(fields)
}

/// Returns the seconds since midnight.
fn parse_time(text: &str) -> Option<u64> {
    let [hour, minute, second] = parse_fields(text.strip_suffix('Z')?, ':', [2, 2, 2])?;
    (hour < 24 && minute < 60 && second < 60).then_some((hour * 60 + minute) * 60 + second)
}

/// Returns the days since the Unix epoch.
fn parse_date(text: &str) -> Option<u64> {
    let [year, month, day] = parse_fields(text, '-', [4, 2, 2])?;
    if year < 1970 || !(1..=12).contains(&month) || day == 0 {
        return None;
    }
    let days = days_from_date(year, month, day);
    // A day that its month does not have, such as 2026-02-29, converts back to another date.
    (date_from_days(days) == (year, month, day)).then_some(days)
}

/// Returns the days since the Unix epoch. Years start in March here, which makes the leap day the
/// last day of its year.
const fn days_from_date(year: u64, month: u64, day: u64) -> u64 {
    let year = if month <= 2 { year - 1 } else { year };
    let month_index = (month + 9) % 12;
    let day_of_year = (153 * month_index + 2) / 5 + day - 1;
    let year_of_era = year % YEARS_PER_ERA;
    let day_of_era = year_of_era * 365 + year_of_era / 4 - year_of_era / 100 + day_of_year;
    year / YEARS_PER_ERA * DAYS_PER_ERA + day_of_era - UNIX_EPOCH_DAYS
}

/// Inverse of [`days_from_date`]: returns year, month and day.
const fn date_from_days(days: u64) -> (u64, u64, u64) {
    let days = days + UNIX_EPOCH_DAYS;
    let day_of_era = days % DAYS_PER_ERA;
    let year_of_era =
        (day_of_era - day_of_era / 1460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_index = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_index + 2) / 5 + 1;
    let month = if month_index < 10 { month_index + 3 } else { month_index - 9 };
    let year = year_of_era + days / DAYS_PER_ERA * YEARS_PER_ERA;
    (if month <= 2 { year + 1 } else { year }, month, day)
}

impl fmt::Display for Timestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let unix_ms = self.0.get();
        let (year, month, day) = date_from_days(unix_ms / MS_PER_DAY);
        let seconds = unix_ms % MS_PER_DAY / MS_PER_S;
        let (hour, minute, second) = (seconds / 3600, seconds / 60 % 60, seconds % 60);
        write!(f, "{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}Z")
    }
}
