//! Types of values in a settings file.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use mimosa_protocol::hash::Sha256Digest;

/// A duration in the notation `250ms`, `5s`, `2m` or `1h`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DurationText(pub Duration);

impl FromStr for DurationText {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        const HELP: &str = "a duration is a whole number with 'ms', 's', 'm' or 'h'";
        let digits = text.trim_end_matches(|c: char| c.is_ascii_lowercase());
        let number: u64 = digits.parse().map_err(|_| HELP)?;
        let millis = match &text[digits.len()..] {
            "ms" => 1,
            "s" => 1_000,
            "m" => 60_000,
            "h" => 3_600_000,
            _ => return Err(HELP),
        };
        number
            .checked_mul(millis)
            .map(|millis| Self(Duration::from_millis(millis)))
            .ok_or(HELP)
    }
}

impl fmt::Display for DurationText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let millis = self.0.as_millis();
        if millis.is_multiple_of(1_000) {
            write!(f, "{}s", millis / 1_000)
        } else {
            write!(f, "{millis}ms")
        }
    }
}

/// A size in bytes in the notation `512KB`, `96MB` or `64MiB`. `MB` is 10^6 bytes, `MiB` is 2^20.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SizeText(pub u64);

impl FromStr for SizeText {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        const HELP: &str = "a size is a number with 'KB', 'MB', 'GB', 'KiB', 'MiB' or 'GiB'";
        let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
        let number: f64 = digits.parse().map_err(|_| HELP)?;
        let unit: u32 = match &text[digits.len()..] {
            "KB" => 1_000,
            "MB" => 1_000_000,
            "GB" => 1_000_000_000,
            "KiB" => 1 << 10,
            "MiB" => 1 << 20,
            "GiB" => 1 << 30,
            _ => return Err(HELP),
        };
        let is_valid = number.is_finite() && number >= 0.0;
        is_valid
            .then(|| Self((number * f64::from(unit)) as u64))
            .ok_or(HELP)
    }
}

/// A non-negative ratio such as `0.2`, stored in thousandths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ratio(pub u64);

impl FromStr for Ratio {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        const HELP: &str = "a ratio is a number such as 0.2";
        let number: f64 = text.parse().map_err(|_| HELP)?;
        let is_valid = number.is_finite() && number >= 0.0;
        is_valid
            .then(|| Self((number * 1_000.0).round() as u64))
            .ok_or(HELP)
    }
}

impl fmt::Display for Ratio {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}", self.0 / 1_000, self.0 % 1_000)
    }
}

/// A rate in calls per second, such as `40` or `2.5`. Zero means that the rate is unknown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallRate {
    /// Calls per 1000 seconds.
    pub per_kilosecond: u64,
}

impl FromStr for CallRate {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let Ratio(per_kilosecond) = text.parse().map_err(|_| "a rate is a number such as 40")?;
        Ok(Self { per_kilosecond })
    }
}

/// Parses a SHA-256 digest from 64 hexadecimal digits.
pub(crate) fn parse_digest(text: &str) -> Result<Sha256Digest, &'static str> {
    const HELP: &str = "a digest has 64 hexadecimal digits";
    if text.len() != 64 || !text.is_ascii() {
        return Err(HELP);
    }
    let mut digest = [0; 32];
    for (byte, start) in digest.iter_mut().zip((0..).step_by(2)) {
        *byte = u8::from_str_radix(&text[start..start + 2], 16).map_err(|_| HELP)?;
    }
    Ok(Sha256Digest(digest))
}
