//! The `key` command, which generates an operator key.

use std::process::ExitCode;

use lexopt::Arg;
use lexopt::Parser;
use miette::IntoDiagnostic;
use mimosa_protocol::secret::OPERATOR_KEY_PREFIX;
use mimosa_protocol::secret::Secret;

use super::Command;
use super::usage_error;

pub const COMMAND: Command = Command {
    name: "key",
    description: "Makes a key for an operator and the digest for the settings",
    usage: "",
    details: "The first line is the secret, the second its digest for [[control.operators]].\n\n",
    examples: &["key"],
    run,
};

fn run(mut args: Parser) -> miette::Result<ExitCode> {
    match args
        .next()
        .map_err(|e| usage_error(COMMAND.name, e.to_string()))?
    {
        Some(Arg::Long("help") | Arg::Short('h')) => print!("{}", COMMAND.help()),
        Some(other) => return Err(usage_error(COMMAND.name, other.unexpected().to_string()).into()),
        None => {
            let secret = generate_operator_key()?;
            println!("key={}", secret.expose_secret());
            println!("key_digest={}", secret.digest());
        }
    }
    Ok(ExitCode::SUCCESS)
}

/// A new operator key from 24 random bytes.
///
/// # Errors
///
/// If the system provides no random bytes.
pub fn generate_operator_key() -> miette::Result<Secret> {
    let mut random = [0; 24];
    getrandom::fill(&mut random).into_diagnostic()?;
    Ok(Secret::from_random(OPERATOR_KEY_PREFIX, &random))
}
