//! The operator commands, which call the admin API of a control instance.

use std::process::ExitCode;

use lexopt::Parser;
use miette::IntoDiagnostic;
use mimosa_protocol::Result;

use crate::command::Command;
use crate::command::operator::options::Options;

pub mod audit;
pub mod client;
pub mod configuration;
pub mod confirm;
pub mod intent;
pub mod options;
pub mod plan;
pub mod plans;
pub mod render;
pub mod rollout;
pub mod status;
pub mod time;

/// The operator commands, in the order of the overview.
pub const COMMANDS: &[Command] = &[
    plan::COMMAND,
    confirm::COMMAND,
    plans::COMMAND,
    status::COMMAND,
    audit::COMMAND,
    rollout::COMMAND,
    configuration::COMMAND,
];

/// Parses the options of a command and runs it, or prints its help.
fn run<F>(
    command: &Command,
    value_options: &[&str],
    parser: Parser,
    execute: impl FnOnce(Options) -> F,
) -> miette::Result<ExitCode>
where
    F: Future<Output = Result<ExitCode>>,
{
    let options = Options::parse(command, value_options, parser)?;
    if options.help {
        print!("{}", command.help_with(options::HELP));
        return Ok(ExitCode::SUCCESS);
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .into_diagnostic()?;
    Ok(runtime.block_on(execute(options))?)
}
