//! The subcommands, one per file.

use std::path::Path;
use std::process::ExitCode;

use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;
use mimosa_protocol::Error;

use crate::logging;
use crate::reload::SettingsFile;

mod check;
mod control;
mod demo;
mod entry;
mod gateway;
mod key;
pub mod operator;
mod standin;

const USAGE_EXIT_CODE: u8 = 2;

/// A subcommand. Each module defines one as a constant.
pub struct Command {
    /// Its name on the command line.
    pub name: &'static str,
    /// One-line description for the overview.
    pub description: &'static str,
    /// Arguments, as shown by `--help`.
    pub usage: &'static str,
    /// Additional paragraphs for `--help`; may be empty.
    pub details: &'static str,
    /// Example command lines without the program name.
    pub examples: &'static [&'static str],
    /// Runs the command with the arguments after its name.
    pub run: fn(Parser) -> miette::Result<ExitCode>,
}

static COMMANDS: [Command; 7] = [
    demo::COMMAND,
    entry::COMMAND,
    gateway::COMMAND,
    control::COMMAND,
    check::COMMAND,
    key::COMMAND,
    standin::COMMAND,
];

impl Command {
    /// The text of `--help`.
    pub fn help(&self) -> String {
        self.help_with("")
    }

    /// The text of `--help`, with the description of options that several commands share.
    pub fn help_with(&self, options: &str) -> String {
        let examples: String = self
            .examples
            .iter()
            .map(|example| format!("  mimosaswitch {example}\n"))
            .collect();
        let options = if options.is_empty() {
            String::new()
        } else {
            format!("{options}\n")
        };
        format!(
            "{}\n\nUsage: mimosaswitch {} {}\n\n{}{options}Examples:\n{examples}",
            self.description, self.name, self.usage, self.details
        )
    }
}

/// Parses the command line and runs the command.
///
/// # Errors
///
/// [`Error::Usage`] for an unknown command, or the error of the command.
pub fn run(mut args: Parser) -> miette::Result<ExitCode> {
    let first = args
        .next()
        .map_err(|e| usage_error("COMMAND", e.to_string()))?;
    match first {
        Some(Arg::Long("help") | Arg::Short('h')) | None => {
            print!("{}", overview());
            Ok(ExitCode::SUCCESS)
        }
        Some(Arg::Long("version") | Arg::Short('V')) => {
            println!("mimosaswitch {}", env!("CARGO_PKG_VERSION"));
            Ok(ExitCode::SUCCESS)
        }
        Some(Arg::Value(argument)) => dispatch(&argument.string().unwrap_or_default(), args),
        Some(other) => Err(usage_error("COMMAND", other.unexpected().to_string()).into()),
    }
}

fn dispatch(argument: &str, args: Parser) -> miette::Result<ExitCode> {
    let command = all_commands().find(|command| command.name == argument);
    match command {
        Some(command) => (command.run)(args),
        None => Err(usage_error("COMMAND", format!("there is no command '{argument}'")).into()),
    }
}

fn all_commands() -> impl Iterator<Item = &'static Command> {
    COMMANDS.iter().chain(operator::COMMANDS)
}

fn overview() -> String {
    let lines: String = all_commands()
        .map(|command| format!("  {:<14} {}\n", command.name, command.description))
        .collect();
    format!(
        "A router for separate prefill and decode pools, and the plain services beside them\n\n\
         Usage: mimosaswitch COMMAND [ARGUMENTS]\n\nCommands:\n{lines}\n\
         'mimosaswitch COMMAND --help' tells more; 'mimosaswitch --version' tells the version.\n\
         Exit codes: 0 done, 1 refused or failed, 2 wrong command line\n"
    )
}

/// An error in the arguments of a command, for which the program exits with code 2.
pub fn usage_error(command: &str, reason: impl Into<String>) -> Error {
    Error::Usage {
        command: command.to_owned(),
        reason: reason.into(),
    }
}

/// The exit code for an error: 2 for a usage error, 1 otherwise.
pub fn exit_code_for(report: &miette::Report) -> ExitCode {
    match report.downcast_ref::<Error>() {
        Some(Error::Usage { .. }) => ExitCode::from(USAGE_EXIT_CODE),
        _ => ExitCode::FAILURE,
    }
}

/// Loads the settings file of a daemon command and starts logging. `None` if `--help` was given and
/// printed.
fn load_daemon_settings(
    command: &Command,
    args: &mut Parser,
) -> miette::Result<Option<SettingsFile>> {
    let Some(file) = single_argument(command, args)? else {
        return Ok(None);
    };
    load_settings(&file).map(Some)
}

/// Loads a settings file and starts logging with its settings.
fn load_settings(file: &str) -> miette::Result<SettingsFile> {
    let file = SettingsFile::load(Path::new(file))?;
    logging::start(&file.settings().log)?;
    Ok(file)
}

/// The only argument of a command, or `None` if `--help` was given and printed.
fn single_argument(command: &Command, args: &mut Parser) -> Result<Option<String>, Error> {
    let mut argument = None;
    while let Some(arg) = args
        .next()
        .map_err(|e| usage_error(command.name, e.to_string()))?
    {
        match arg {
            Arg::Long("help") | Arg::Short('h') => {
                print!("{}", command.help());
                return Ok(None);
            }
            Arg::Value(value) if argument.is_none() => {
                argument = Some(value.string().unwrap_or_default())
            }
            other => return Err(usage_error(command.name, other.unexpected().to_string())),
        }
    }
    argument
        .map(Some)
        .ok_or_else(|| usage_error(command.name, "an argument is missing"))
}
