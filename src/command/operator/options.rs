//! The options shared by all operator commands.

use std::env;
use std::fs;
use std::path::PathBuf;

use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;
use mimosa_protocol::Error;
use mimosa_protocol::Result;
use mimosa_protocol::secret::Secret;
use serde_json::Value;

use crate::command::Command;

/// Environment variable with the admin URLs of control instances, separated by commas.
pub const ADMIN_VARIABLE: &str = "MIMOSASWITCH_ADMIN";
/// Environment variable with the operator key.
pub const KEY_VARIABLE: &str = "MIMOSASWITCH_OPERATOR_KEY";

/// Description of the shared options for `--help`.
pub const HELP: &str = "\
Options:
  --admin URL[,URL...]  admin addresses of control instances, tried in turn;
                        or the environment variable MIMOSASWITCH_ADMIN
  --key-file FILE       file with the operator's key;
                        or the key in MIMOSASWITCH_OPERATOR_KEY
  --json                print the answer as JSON
  --help                print this text

Exit codes: 0 done, 1 refused or failed, 2 wrong command line
";

/// Parsed options and arguments of an operator command.
#[derive(Debug, Default)]
pub struct Options {
    /// Whether to print the response as JSON.
    pub json: bool,
    /// Whether `--help` was given.
    pub help: bool,
    /// Positional arguments.
    pub arguments: Vec<String>,
    /// Names and values of the options specific to the command, in the order given.
    pub values: Vec<(String, String)>,
    admin: Option<String>,
    key_file: Option<PathBuf>,
}

impl Options {
    /// Parses a command line. The options in `value_options` are specific to the command and take a
    /// value.
    ///
    /// # Errors
    ///
    /// [`Error::Usage`] if an option is unknown or has no value.
    pub fn parse(command: &Command, value_options: &[&str], mut parser: Parser) -> Result<Self> {
        let invalid = |e: lexopt::Error| usage_error(command.name, e.to_string());
        let mut options = Self::default();
        while let Some(arg) = parser.next().map_err(invalid)? {
            match arg {
                Arg::Long("json") => options.json = true,
                Arg::Long("help") | Arg::Short('h') => options.help = true,
                Arg::Long("admin") => {
                    options.admin = Some(string_value(&mut parser).map_err(invalid)?);
                }
                Arg::Long("key-file") => {
                    options.key_file = Some(string_value(&mut parser).map_err(invalid)?.into());
                }
                Arg::Long(name) if value_options.contains(&name) => {
                    let name = name.to_owned();
                    let value = string_value(&mut parser).map_err(invalid)?;
                    options.values.push((name, value));
                }
                Arg::Value(argument) => options.arguments.push(argument.string().map_err(invalid)?),
                other => return Err(invalid(other.unexpected())),
            }
        }
        Ok(options)
    }

    /// Prints a response on standard output: with `--json` as it is, otherwise rendered as text.
    pub fn print(&self, response: &Value, render: impl Fn(&Value) -> String) {
        if self.json {
            println!("{response:#}");
        } else {
            println!("{}", render(response));
        }
    }

    /// The value of an option specific to the command; the last one if it was repeated.
    pub fn value(&self, name: &str) -> Option<&str> {
        self.values
            .iter()
            .rev()
            .find(|(each, _)| each == name)
            .map(|(_, value)| value.as_str())
    }

    /// The admin URLs of control instances, in the order to try.
    ///
    /// # Errors
    ///
    /// [`Error::Usage`] if none is set.
    pub fn admin_urls(&self, command: &str) -> Result<Vec<String>> {
        let urls = self
            .admin
            .clone()
            .or_else(|| env::var(ADMIN_VARIABLE).ok())
            .unwrap_or_default();
        let admin_urls: Vec<String> = urls
            .split(',')
            .map(|url| url.trim().trim_end_matches('/'))
            .filter(|url| !url.is_empty())
            .map(with_scheme)
            .collect();
        if admin_urls.is_empty() {
            return Err(usage_error(
                command,
                format!("give --admin URL or set {ADMIN_VARIABLE}"),
            ));
        }
        Ok(admin_urls)
    }

    /// The operator key, from a file or the environment. It is not accepted on the command line,
    /// which other users can read.
    ///
    /// # Errors
    ///
    /// [`Error::Usage`] if none is set, [`Error::File`] if its file cannot be read.
    pub fn key(&self, command: &str) -> Result<Secret> {
        let text = match &self.key_file {
            Some(path) => fs::read_to_string(path).map_err(|source| Error::File {
                action: "read",
                path: path.clone(),
                source,
            })?,
            None => env::var(KEY_VARIABLE).map_err(|_| {
                usage_error(command, format!("give --key-file or set {KEY_VARIABLE}"))
            })?,
        };
        Ok(Secret::new(text.trim()))
    }
}

/// An error in the arguments of a command, for which the program exits with code 2.
pub fn usage_error(command: &str, reason: impl Into<String>) -> Error {
    Error::Usage {
        command: command.to_owned(),
        reason: reason.into(),
    }
}

fn string_value(parser: &mut Parser) -> Result<String, lexopt::Error> {
    parser.value()?.string()
}

fn with_scheme(url: &str) -> String {
    if url.contains("://") {
        return url.to_owned();
    }
    format!("http://{url}")
}
