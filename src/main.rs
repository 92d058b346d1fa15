//! Entry point of the `mimosaswitch` program.

use std::process::ExitCode;

mod command;
mod logging;
mod reload;
mod runtime;
mod settings;

fn main() -> ExitCode {
    let args = lexopt::Parser::from_env();
    match command::run(args) {
        Ok(code) => code,
        Err(report) => {
            eprintln!("{report:?}");
            command::exit_code_for(&report)
        }
    }
}
