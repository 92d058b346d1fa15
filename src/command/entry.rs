//! `entry`: serves callers.

use std::process::ExitCode;

use lexopt::Parser;
use mimosa_config::Settings;
use mimosa_entry::EntryServer;

use super::Command;
use super::settings_to_run;
use super::usage;
use crate::runtime;

/// The command.
pub const COMMAND: Command = Command {
    name: "entry",
    description: "Runs an entry instance, which serves callers",
    usage: "FILE",
    details: "FILE holds the settings. SIGTERM and SIGINT drain the instance and end it.\n\n",
    examples: &["entry examples/kembang-tekan/entry.toml"],
    run,
};

fn run(mut args: Parser) -> miette::Result<ExitCode> {
    match settings_to_run(&COMMAND, &mut args)? {
        Some(file) => runtime::run(serve(file.settings().clone())),
        None => Ok(ExitCode::SUCCESS),
    }
}

async fn serve(settings: Settings) -> miette::Result<ExitCode> {
    let entry = settings
        .entry
        .ok_or_else(|| usage(COMMAND.name, "the file has no [entry]"))?;
    let running = EntryServer::start(settings.instance, entry).await?;
    println!("callers={}", running.address());
    runtime::stop_signal().await?;
    running.shutdown().await;
    Ok(ExitCode::SUCCESS)
}
