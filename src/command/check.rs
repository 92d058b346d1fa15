//! The `check` command, which validates a settings file.

use std::path::Path;
use std::process::ExitCode;

use lexopt::Parser;
use mimosa_config::Settings;

use super::Command;
use super::single_argument;

pub const COMMAND: Command = Command {
    name: "check",
    description: "Validates a settings file and reports every fault in it",
    usage: "FILE",
    details: "",
    examples: &["check examples/kembang-tekan/entry.toml"],
    run,
};

fn run(mut args: Parser) -> miette::Result<ExitCode> {
    let Some(file) = single_argument(&COMMAND, &mut args)? else {
        return Ok(ExitCode::SUCCESS);
    };
    let settings = Settings::load(Path::new(&file))?;
    let roles = [
        settings.entry.map(|_| "entry"),
        settings.control.map(|_| "control"),
        settings.gateway.map(|_| "gateway"),
    ];
    let roles: Vec<_> = roles.into_iter().flatten().collect();
    println!(
        "{file}: {} ({}) is valid",
        settings.instance.id,
        roles.join(", ")
    );
    Ok(ExitCode::SUCCESS)
}
