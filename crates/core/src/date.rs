//! Conversion between Gregorian dates and seconds of Unix time.

use std::fmt;

/// Scans a date and time with an offset, such as `2026-12-05T02:00:00Z`, to seconds of Unix time.
/// Returns `None` for other text and for times before 1970.
pub fn scan_unix_seconds(text: &str) -> Option<u64> {
    text.parse().ok().as_ref().and_then(unix_seconds)
}

/// Converts to seconds of Unix time. Returns `None` for a value without date, time or offset and
/// for times before 1970.
pub(crate) fn unix_seconds(value: &toml::value::Datetime) -> Option<u64> {
    let date = value.date?;
    let time = value.time?;
    let offset_minutes = match value.offset? {
        toml::value::Offset::Z => 0,
        toml::value::Offset::Custom { minutes } => i64::from(minutes),
    };
    let days = days_from_epoch(date.year.into(), date.month.into(), date.day.into());
    let minutes = i64::from(time.hour) * 60 + i64::from(time.minute) - offset_minutes;
    let seconds = days * 86_400 + minutes * 60 + i64::from(time.second.unwrap_or(0));
    u64::try_from(seconds).ok()
}

/// The number of days from 1970-01-01 to a Gregorian date.
fn days_from_epoch(year: i64, month: i64, day: i64) -> i64 {
    // Years are counted from March, so that the leap day is the last day of a year.
    let year = if month <= 2 { year - 1 } else { year };
    let era = year.div_euclid(400);
    let year_of_era = year.rem_euclid(400);
    let day_of_year = (153 * ((month + 9) % 12) + 2) / 5 + day - 1;
    let day_of_era = year_of_era * 365 + year_of_era / 4 - year_of_era / 100 + day_of_year;
    era * 146_097 + day_of_era - 719_468
}

/// Seconds of Unix time, displayed as a TOML date and time in UTC.
#[derive(Debug, Clone, Copy)]
pub struct UnixTime(pub u64);

impl fmt::Display for UnixTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (year, month, day) = date_from_days(self.0 / 86_400);
        let second_of_day = self.0 % 86_400;
        let (hour, minute) = (second_of_day / 3_600, second_of_day / 60 % 60);
        write!(f, "{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{:02}Z", second_of_day % 60)
    }
}

/// Year, month and day of the Gregorian date `days` after 1970-01-01.
fn date_from_days(days: u64) -> (u64, u64, u64) {
    // Years are counted from March, so that the leap day is the last day of a year.
    let days = days + 719_468;
    let day_of_era = days % 146_097;
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = if month_from_march < 10 { month_from_march + 3 } else { month_from_march - 9 };
    let year = days / 146_097 * 400 + year_of_era + u64::from(month <= 2);
    (year, month, day)
}
