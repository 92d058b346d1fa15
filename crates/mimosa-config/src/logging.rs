//! Log settings.

use std::fmt;
use std::str::FromStr;

use crate::reader::Faults;
use crate::reader::TableReader;

/// The minimum severity of logged messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogLevel {
    /// Logging is disabled.
    Off,
    /// Failures that require an operator.
    Error,
    /// Failures that the system handled.
    Warn,
    /// One line per request and per change of the configuration.
    #[default]
    Info,
    /// Internal decisions.
    Debug,
    /// All messages.
    Trace,
}

/// The table `[log]`: how much is logged.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogSettings {
    /// Level of all targets without a level of their own.
    pub level: LogLevel,
    /// Levels of single targets, such as `mimosa_entry = "debug"`.
    pub targets: Vec<(String, LogLevel)>,
}

impl LogSettings {
    pub(crate) fn read(mut reader: TableReader<'_, '_>, faults: &mut Faults) -> Self {
        let level = reader.or("level", LogLevel::default(), faults);
        let targets = reader.string_table("targets", faults);
        reader.report_unknown_fields(faults);
        Self { level, targets }
    }
}

impl FromStr for LogLevel {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "off" => Ok(Self::Off),
            "error" => Ok(Self::Error),
            "warn" => Ok(Self::Warn),
            "info" => Ok(Self::Info),
            "debug" => Ok(Self::Debug),
            "trace" => Ok(Self::Trace),
            _ => Err("a level is off, error, warn, info, debug or trace"),
        }
    }
}

impl fmt::Display for LogLevel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Off => "off",
            Self::Error => "error",
            Self::Warn => "warn",
            Self::Info => "info",
            Self::Debug => "debug",
            Self::Trace => "trace",
        })
    }
}
