//! The `entry` command, which runs an entry instance.

use std::process::ExitCode;

use lexopt::Parser;
use mimosa_config::Settings;
use mimosa_entry::EntryServer;

use super::Command;
use super::load_daemon_settings;
use super::usage_error;
use crate::runtime;

pub const COMMAND: Command = Command {
    name: "entry",
    description: "Runs an entry instance, which serves callers",
    usage: "FILE",
    details: "FILE holds the settings. SIGTERM and SIGINT drain the instance and end it.\n\n",
    examples: &["entry examples/kembang-tekan/entry.toml"],
    run,
};

fn run(mut args: Parser) -> miette::Result<ExitCode> {
    match load_daemon_settings(&COMMAND, &mut args)? {
        Some(file) => runtime::run(serve(file.settings().clone())),
        None => Ok(ExitCode::SUCCESS),
    }
}

async fn serve(settings: Settings) -> miette::Result<ExitCode> {
    let entry = settings
        .entry
        .ok_or_else(|| usage_error(COMMAND.name, "the settings file has no [entry] section"))?;
    let running = EntryServer::start(settings.instance, settings.limits.resolve(), entry).await?;
    println!("callers={}", running.address());
    runtime::shutdown_signal().await?;
    running.shutdown().await;
    Ok(ExitCode::SUCCESS)
}
