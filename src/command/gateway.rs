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
use crate::reload::SettingsFile;
use crate::reload::Signals;
use crate::runtime;
use crate::settings;

/// The command.
pub const COMMAND: Command = Command {
    name: "gateway",
    description: "Runs a gateway instance, which serves callers by routes",
    usage: "FILE",
    details: "FILE holds the settings. SIGTERM and SIGINT drain the instance and end it. Changes of seeds,\n  \
              drain_time, control_silence and retries in FILE are taken while it runs, at once on SIGHUP.\n\n",
    examples: &["gateway examples/routing/gateway.toml"],
    run,
};

fn run(mut args: Parser) -> miette::Result<ExitCode> {
    match settings_to_run(&COMMAND, &mut args)? {
        Some(file) => runtime::run_on(file.settings().runtime, serve(file)),
        None => Ok(ExitCode::SUCCESS),
    }
}

async fn serve(file: SettingsFile) -> miette::Result<ExitCode> {
    let signals = Signals::watch()?;
    let Settings {
        instance, gateway, ..
    } = file.settings().clone();
    let gateway = gateway.ok_or_else(|| usage(COMMAND.name, "the file has no [gateway]"))?;
    let gateway = settings::gateway(&instance, gateway);
    let dialect = Arc::new(PlatformHeaders);
    let running = Gateway::start(gateway, dialect, Arc::new(PlatformDocument)).await?;
    println!("callers={}", running.address());
    file.follow(signals, |settings| {
        if let Some(gateway) = &settings.gateway {
            running.reload(settings::gateway_reloadable(gateway));
        }
    })
    .await;
    running.shutdown().await;
    Ok(ExitCode::SUCCESS)
}
