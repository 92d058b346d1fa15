//! The `gateway` command, which runs a gateway: it routes requests to discovered endpoints.

use std::process::ExitCode;
use std::sync::Arc;

use lexopt::Parser;
use mimosa_config::Settings;
use mimosa_gateway::Gateway;
use mimosa_platform::PlatformDocument;
use mimosa_platform::PlatformHeaders;

use super::Command;
use super::load_daemon_settings;
use super::usage_error;
use crate::reload::SettingsFile;
use crate::reload::Signals;
use crate::runtime;
use crate::settings;

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
    match load_daemon_settings(&COMMAND, &mut args)? {
        Some(file) => runtime::run_with(file.settings().runtime, serve(file)),
        None => Ok(ExitCode::SUCCESS),
    }
}

async fn serve(file: SettingsFile) -> miette::Result<ExitCode> {
    let signals = Signals::register()?;
    let features = settings::features(file.settings());
    let Settings {
        instance,
        limits,
        gateway,
        ..
    } = file.settings().clone();
    let gateway = gateway
        .ok_or_else(|| usage_error(COMMAND.name, "the settings file has no [gateway] section"))?;
    let gateway = settings::gateway(&instance, &limits, gateway, features);
    let dialect = Arc::new(PlatformHeaders);
    let running = Gateway::start(gateway, dialect, Arc::new(PlatformDocument)).await?;
    println!("callers={}", running.address());
    file.watch(signals, |settings| {
        if let Some(gateway) = &settings.gateway {
            running.reload(settings::gateway_reloadable(gateway));
        }
    })
    .await;
    running.shutdown().await;
    Ok(ExitCode::SUCCESS)
}
