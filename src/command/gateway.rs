//! `gateway`: serves callers by routes, in front of discovered endpoints.

use std::process::ExitCode;
use std::sync::Arc;

use lexopt::Parser;
use mimosa_config::Settings;
use mimosa_gateway::Gateway;
use mimosa_platform::PlatformDocument;
use mimosa_platform::PlatformHeaders;

use super::Command;
use super::settings_to_run;
use super::usage;
use crate::runtime;
use crate::settings;

/// The command.
pub const COMMAND: Command = Command {
    name: "gateway",
    description: "Runs a gateway instance, which serves callers by routes",
    usage: "FILE",
    details: "FILE holds the settings. SIGTERM and SIGINT drain the instance and end it.\n\n",
    examples: &["gateway examples/routing/gateway.toml"],
    run,
};

fn run(mut args: Parser) -> miette::Result<ExitCode> {
    match settings_to_run(&COMMAND, &mut args)? {
        Some(settings) => runtime::run_on(settings.runtime, serve(settings)),
        None => Ok(ExitCode::SUCCESS),
    }
}

async fn serve(settings: Settings) -> miette::Result<ExitCode> {
    let gateway = settings
        .gateway
        .ok_or_else(|| usage(COMMAND.name, "the file has no [gateway]"))?;
    let gateway = settings::gateway(&settings.instance, gateway);
    let dialect = Arc::new(PlatformHeaders);
    let running = Gateway::start(gateway, dialect, Arc::new(PlatformDocument)).await?;
    println!("callers={}", running.address());
    runtime::stop_signal_or_reload(|| log::info!("event=reload")).await?;
    running.shutdown().await;
    Ok(ExitCode::SUCCESS)
}
