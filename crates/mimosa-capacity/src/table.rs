//! The Markdown table of results, one row per measurement.

use std::fmt;

use crate::fit::least_squares;

/// Column titles, in order.
pub const COLUMNS: [&str; 6] = ["measure", "size", "points", "slope", "intercept", "R²"];

/// A quantity measured at several sizes.
#[derive(Clone, Debug)]
pub struct Measure {
    /// The quantity, with its unit.
    pub name: &'static str,
    /// What the size counts, such as `accounts`.
    pub size: &'static str,
    /// Pairs of size and value.
    pub points: Vec<(f64, f64)>,
}

impl Measure {
    /// A measurement from `(size, value)` points.
    pub fn new(
        name: &'static str,
        size: &'static str,
        points: impl IntoIterator<Item = (usize, f64)>,
    ) -> Self {
        let points = points
            .into_iter()
            .map(|(size, value)| (size as f64, value))
            .collect();
        Self { name, size, points }
    }
}

/// The header of the table: titles and separator row.
pub fn header() -> String {
    let names = COLUMNS.join(" | ");
    let separator = COLUMNS.map(|_| "---").join("|");
    format!("| {names} |\n|{separator}|")
}

impl fmt::Display for Measure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let points: Vec<String> = self
            .points
            .iter()
            .map(|(size, value)| {
                format!(
                    "{}: {}",
                    format_significant(*size),
                    format_significant(*value)
                )
            })
            .collect();
        let points = points.join("; ");
        write!(f, "| {} | {} | {points} ", self.name, self.size)?;
        match least_squares(&self.points) {
            Some(fit) => {
                let (slope, intercept) = (
                    format_significant(fit.slope),
                    format_significant(fit.intercept),
                );
                write!(f, "| {slope} | {intercept} | {:.3} |", fit.r_squared)
            }
            None => write!(f, "| | | |"),
        }
    }
}

/// Formats a number with about three significant digits: from 100 up as an integer, below 0.01 in
/// scientific notation.
pub fn format_significant(value: f64) -> String {
    match value.abs() {
        0.0 => "0".to_owned(),
        magnitude if magnitude >= 100.0 => format!("{value:.0}"),
        magnitude if magnitude >= 10.0 => format!("{value:.1}"),
        magnitude if magnitude >= 1.0 => format!("{value:.2}"),
        magnitude if magnitude >= 0.01 => format!("{value:.4}"),
        _ => format!("{value:.2e}"),
    }
}
