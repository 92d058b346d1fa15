//! The `control` command, which runs a control instance.

use std::process::ExitCode;
use std::sync::Arc;

use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;
use mimosa_config::ControlRouting;
use mimosa_config::Settings;
use mimosa_control::ControlServer;
use mimosa_control::routing::Integration;
use mimosa_platform::EngineClient;
use mimosa_platform::InstanceList;
use mimosa_platform::OperatorApi;
use mimosa_platform::PlatformDocument;
use mimosa_protocol::Error;

use super::Command;
use super::load_settings;
use super::usage_error;
use crate::reload::SettingsFile;
use crate::reload::Signals;
use crate::runtime;
use crate::settings;

pub const COMMAND: Command = Command {
    name: "control",
    description: "Runs a control instance, which keeps the state that must survive",
    usage: "[--found] FILE",
    details: "FILE holds the settings. SIGTERM and SIGINT end the instance. Changes of seeds and quota\n  \
              tolerances in FILE are taken while it runs, at once on SIGHUP.\n  \
              --found  found a new system of several replicas: once, on its first instance\n\n",
    examples: &[
        "control --found examples/kembang-tekan/control.toml",
        "control examples/kembang-tekan/control.toml",
    ],
    run,
};

fn run(mut args: Parser) -> miette::Result<ExitCode> {
    let Some((file, found)) = parse_args(&mut args)? else {
        return Ok(ExitCode::SUCCESS);
    };
    let file = load_settings(&file)?;
    runtime::run_with(file.settings().runtime, serve(file, found))
}

/// The settings file and whether `--found` was given; `None` if `--help` was given and printed.
fn parse_args(args: &mut Parser) -> Result<Option<(String, bool)>, Error> {
    let mut file = None;
    let mut found = false;
    while let Some(arg) = args
        .next()
        .map_err(|e| usage_error(COMMAND.name, e.to_string()))?
    {
        match arg {
            Arg::Long("help") | Arg::Short('h') => {
                print!("{}", COMMAND.help());
                return Ok(None);
            }
            Arg::Long("found") => found = true,
            Arg::Value(value) if file.is_none() => file = Some(value.string().unwrap_or_default()),
            other => return Err(usage_error(COMMAND.name, other.unexpected().to_string())),
        }
    }
    let file = file.ok_or_else(|| usage_error(COMMAND.name, "an argument is missing"))?;
    Ok(Some((file, found)))
}

async fn serve(file: SettingsFile, found: bool) -> miette::Result<ExitCode> {
    let signals = Signals::register()?;
    let features = settings::features(file.settings());
    let Settings {
        instance,
        limits,
        control,
        ..
    } = file.settings().clone();
    let control = control
        .ok_or_else(|| usage_error(COMMAND.name, "the settings file has no [control] section"))?;
    let platform_services = control.routing.as_ref().map(platform_services);
    let mut control = settings::control(&instance, &limits, control, features);
    control.bootstrap |= found;
    let running = match platform_services {
        Some(platform_services) => {
            let bound = ControlServer::bind(control).await?;
            bound.start_for_gateways(platform_services).await?
        }
        None => ControlServer::start(control).await?,
    };
    println!("admin={}", running.admin_address());
    println!("entries={}", running.entry_address());
    println!("peers={}", running.peer_address());
    file.watch(signals, |settings| {
        if let Some(control) = &settings.control {
            running.reload(&settings::control_reloadable(control));
        }
    })
    .await;
    running.shutdown().await;
    Ok(ExitCode::SUCCESS)
}

/// Platform integration of a control instance that serves gateways: the endpoint list, the operator
/// API and the engine API.
fn platform_services(routing: &ControlRouting) -> Integration {
    Integration {
        format: Arc::new(PlatformDocument),
        source: Arc::new(InstanceList::new(
            routing.endpoint_list,
            routing.list_call_rate.per_kilosecond,
        )),
        operators: Arc::new(OperatorApi),
        engines: Arc::new(EngineClient::default()),
        list_interval: routing.list_interval,
    }
}
