//! Stand-ins and checks of the review cases: clients, operators, workers and the platform's list,
//! around the project's own programs.
//!
//! `review-standins CASE RECORD TROUBLE` runs a case and writes the file RECORD. Exit code 1: the rule
//! was broken, 0: it held, 2: the case could not run. `0` for TROUBLE leaves out the disruption.

mod endless;
mod evacuation;
mod http;
mod network;
mod platform;
mod proxy;
mod record;
mod spot;
mod system;
mod worker;

use std::path::Path;
use std::process::ExitCode;

use crate::record::Record;
use crate::spot::Mode;

/// A worker leaves after a notice.
const SPOT: Mode = Mode {
    has_notice: true,
    streams: 32,
    rounds: 1,
};
/// A worker crashes without one.
const CRASH: Mode = Mode {
    has_notice: false,
    streams: 192,
    rounds: 10,
};

/// Result of a case: whether the rule was broken, or why the case could not run.
pub type Verdict = Result<bool, String>;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    match args.as_slice() {
        ["worker", rest @ ..] => worker::run_process(rest),
        [case, record, trouble] => run_case(case, Path::new(record), *trouble != "0"),
        _ => {
            eprintln!("usage: review-standins CASE RECORD TROUBLE");
            ExitCode::from(2)
        }
    }
}

fn run_case(case: &str, record: &Path, has_trouble: bool) -> ExitCode {
    let record = match Record::create(record) {
        Ok(record) => record,
        Err(e) => {
            eprintln!("cannot write the record: {e}");
            return ExitCode::from(2);
        }
    };
    record.note(&format!("case={case} trouble={has_trouble}"));
    let verdict = match case {
        "evacuation" => evacuation::run(&record, has_trouble),
        "endless" => endless::run(&record, has_trouble),
        "spot" => spot::run(&record, has_trouble, &SPOT),
        "crash" => spot::run(&record, has_trouble, &CRASH),
        _ => Err(format!("unknown case '{case}'")),
    };
    let (text, code) = match verdict {
        Ok(true) => ("BROKEN".to_owned(), 1),
        Ok(false) => ("HELD".to_owned(), 0),
        Err(e) => (format!("could not run: {e}"), 2),
    };
    record.note(&format!("verdict: {text}"));
    println!("{case}: {text}");
    ExitCode::from(code)
}
