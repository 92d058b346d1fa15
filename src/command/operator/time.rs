//! Formats timestamps in UTC.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

const SECONDS_PER_DAY: u64 = 86_400;
const DAYS_IN_400_YEARS: u64 = 146_097;
/// Days from 1 March of the year 0 to 1 January 1970.
const DAYS_TO_UNIX_EPOCH: u64 = 719_468;

/// Formats microseconds since 1970 as `2026-01-31 07:45:12.250 UTC`.
pub fn format_utc(micros: u64) -> String {
    let seconds = micros / 1_000_000;
    let (year, month, day) = civil_date(seconds / SECONDS_PER_DAY);
    let second_of_day = seconds % SECONDS_PER_DAY;
    format!(
        "{year:04}-{month:02}-{day:02} {:02}:{:02}:{:02}.{:03} UTC",
        second_of_day / 3_600,
        second_of_day / 60 % 60,
        second_of_day % 60,
        micros / 1_000 % 1_000
    )
}

/// The current time in microseconds since 1970. The default order number, as it increases from
/// order to order.
pub fn unix_micros() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    elapsed.as_micros() as u64
}

/// Year, month and day of a number of days since 1970. Calculates with years that start in March,
/// so that the leap day is the last day of the year.
fn civil_date(days: u64) -> (u64, u64, u64) {
    let days = days + DAYS_TO_UNIX_EPOCH;
    let (era, day_of_era) = (days / DAYS_IN_400_YEARS, days % DAYS_IN_400_YEARS);
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = if month_from_march < 10 {
        month_from_march + 3
    } else {
        month_from_march - 9
    };
    let year = year_of_era + era * 400 + u64::from(month <= 2);
    (year, month, day)
}
