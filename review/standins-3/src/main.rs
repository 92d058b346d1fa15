//! The cases of the third review, each with its own stand-ins of clients, workers and the platform.

use std::env;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use crate::record::Record;

mod added_stream;
mod engine;
mod forgotten_pause;
mod http;
mod lost_close;
mod plain;
mod record;
mod second_burst;
mod seedless_core;
mod silent_stream;
mod system;

/// Verdict of a run.
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let mut args = env::args().skip(1);
    let (Some(case), Some(record), Some(folder)) = (args.next(), args.next(), args.next()) else {
        eprintln!("usage: review-3 CASE RECORD FOLDER");
        return ExitCode::from(2);
    };
    if case == "worker" {
        let worked = record
            .parse()
            .map(|address| lost_close::work(address, folder));
        return ExitCode::from(if worked.is_ok() { 0 } else { 2 });
    }
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    match run(&case, Path::new(&record), folder.into(), has_trouble) {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(e) => {
            eprintln!("the case could not run: {e}");
            ExitCode::from(2)
        }
    }
}

fn run(case: &str, record: &Path, folder: PathBuf, has_trouble: bool) -> io::Result<Verdict> {
    let record = Record::create(record)?;
    record.line(&format!("case {case}, trouble: {has_trouble}"));
    let verdict = match case {
        "silent-stream" => silent_stream::run(&record, folder, has_trouble)?,
        "forgotten-pause" => forgotten_pause::run(&record, folder, has_trouble)?,
        "second-burst" => second_burst::run(&record, folder, has_trouble)?,
        "added-stream" => added_stream::run(&record, folder, has_trouble)?,
        "seedless-core" => seedless_core::run(&record, folder, has_trouble)?,
        "lost-close" => lost_close::run(&record, folder, has_trouble)?,
        _ => return Err(io::ErrorKind::InvalidInput.into()),
    };
    record.line(match verdict {
        Verdict::Held => "verdict: the rule held",
        Verdict::Broken => "verdict: the rule was broken",
    });
    Ok(verdict)
}
