//! The tokio runtime of the daemons and their shutdown signals.

use std::process::ExitCode;

use miette::IntoDiagnostic;
use mimosa_config::RuntimeSettings;
use tokio::runtime::Builder;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Runs a daemon until it ends, with one worker thread per core.
///
/// # Errors
///
/// If the runtime cannot be created, or the error of the daemon.
pub fn run(daemon: impl Future<Output = miette::Result<ExitCode>>) -> miette::Result<ExitCode> {
    run_with(RuntimeSettings::default(), daemon)
}

/// Runs a daemon until it ends, with the configured number of worker threads: 0 selects one per
/// core, 1 runs all tasks on the calling thread.
///
/// # Errors
///
/// If the runtime cannot be created, or the error of the daemon.
pub fn run_with(
    settings: RuntimeSettings,
    daemon: impl Future<Output = miette::Result<ExitCode>>,
) -> miette::Result<ExitCode> {
    let mut builder = match settings.threads {
        1 => Builder::new_current_thread(),
        _ => Builder::new_multi_thread(),
    };
    if settings.threads > 1 {
        builder.worker_threads(settings.threads);
    }
    builder
        .enable_all()
        .build()
        .into_diagnostic()?
        .block_on(daemon)
}

/// Waits for SIGINT or SIGTERM.
///
/// # Errors
///
/// If the signal handlers cannot be installed.
pub async fn shutdown_signal() -> miette::Result<()> {
    let mut interrupt = signal(SignalKind::interrupt()).into_diagnostic()?;
    let mut terminate = signal(SignalKind::terminate()).into_diagnostic()?;
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
    Ok(())
}
