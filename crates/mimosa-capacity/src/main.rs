//! Runs all measurements and prints the table that `docs/CAPACITY.md` quotes.

use std::io;
use std::io::Write;

use mimosa_capacity::measure;
use mimosa_capacity::meter;
use mimosa_capacity::table;

fn main() -> io::Result<()> {
    let mut out = io::stdout().lock();
    writeln!(out, "{}\n", meter::machine_summary())?;
    writeln!(out, "{}", table::header())?;
    for measures in measure::ALL {
        for measure in measures() {
            writeln!(out, "{measure}")?;
        }
        out.flush()?;
    }
    writeln!(out, "\n{}", meter::peak_memory())
}
