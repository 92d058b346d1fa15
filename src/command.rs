//! The commands, one a file.

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

/// Exit code of a wrong command line.
const USAGE_CODE: u8 = 2;

/// One command.
pub struct Command {
    /// The word on the command line.
    pub name: &'static str,
    /// One line for the overview.
    pub description: &'static str,
    /// Arguments, as `--help` shows them.
    pub usage: &'static str,
    /// More for `--help`, or nothing.
    pub details: &'static str,
    /// Command lines that work.
    pub examples: &'static [&'static str],
    /// Runs it with what follows its name.
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

    /// The text of `--help` with the options that several commands share.
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

/// Runs the command that the command line names.
///
/// # Errors
///
/// Whatever the command reports.
pub fn run(mut args: Parser) -> miette::Result<ExitCode> {
    let first = args.next().map_err(|e| usage("COMMAND", e.to_string()))?;
    match first {
        Some(Arg::Long("help") | Arg::Short('h')) | None => {
            print!("{}", overview());
            Ok(ExitCode::SUCCESS)
        }
        Some(Arg::Long("version") | Arg::Short('V')) => {
            println!("mimosaswitch {}", env!("CARGO_PKG_VERSION"));
            Ok(ExitCode::SUCCESS)
        }
        Some(Arg::Value(word)) => dispatch(&word.string().unwrap_or_default(), args),
        Some(other) => Err(usage("COMMAND", other.unexpected().to_string()).into()),
    }
}

fn dispatch(word: &str, args: Parser) -> miette::Result<ExitCode> {
    let command = all().find(|command| command.name == word);
    match command {
        Some(command) => (command.run)(args),
        None => Err(usage("COMMAND", format!("there is no command '{word}'")).into()),
    }
}

/// Every command.
fn all() -> impl Iterator<Item = &'static Command> {
    COMMANDS.iter().chain(operator::COMMANDS)
}

fn overview() -> String {
    let lines: String = all()
        .map(|command| format!("  {:<14} {}\n", command.name, command.description))
        .collect();
    format!(
        "A router for separate prefill and decode pools, and the plain services beside them\n\n\
         Usage: mimosaswitch COMMAND [ARGUMENTS]\n\nCommands:\n{lines}\n\
         'mimosaswitch COMMAND --help' tells more; 'mimosaswitch --version' tells the version.\n\
         Exit codes: 0 done, 1 refused or failed, 2 wrong command line\n"
    )
}

/// A command line that is wrong.
pub fn usage(command: &str, reason: impl Into<String>) -> Error {
    Error::Usage {
        command: command.to_owned(),
        reason: reason.into(),
    }
}

/// The exit code that tells a wrong command line from a failure.
pub fn exit_code_of(report: &miette::Report) -> ExitCode {
    match report.downcast_ref::<Error>() {
        Some(Error::Usage { .. }) => ExitCode::from(USAGE_CODE),
        _ => ExitCode::FAILURE,
    }
}

/// The settings file that a daemon names, with logging started as it says; `None` if the command was
/// asked for its help and printed it.
fn settings_to_run(command: &Command, args: &mut Parser) -> miette::Result<Option<SettingsFile>> {
    let Some(file) = one_word(command, args)? else {
        return Ok(None);
    };
    open_settings(&file).map(Some)
}

/// Loads a settings file and starts logging as it says.
fn open_settings(file: &str) -> miette::Result<SettingsFile> {
    let file = SettingsFile::load(Path::new(file))?;
    logging::start(&file.settings().log)?;
    Ok(file)
}

/// The one word that a command takes, or `None` if it was asked for its help and printed it.
fn one_word(command: &Command, args: &mut Parser) -> Result<Option<String>, Error> {
    let mut word = None;
    while let Some(arg) = args
        .next()
        .map_err(|e| usage(command.name, e.to_string()))?
    {
        match arg {
            Arg::Long("help") | Arg::Short('h') => {
                print!("{}", command.help());
                return Ok(None);
            }
            Arg::Value(value) if word.is_none() => word = Some(value.string().unwrap_or_default()),
            other => return Err(usage(command.name, other.unexpected().to_string())),
        }
    }
    word.map(Some)
        .ok_or_else(|| usage(command.name, "an argument is missing"))
}
