//! The tokio runtime of the daemons, and the signals that end them.

use std::process::ExitCode;

use miette::IntoDiagnostic;
use mimosa_config::RuntimeSettings;
use tokio::runtime::Builder;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Runs a daemon on all cores until it ends.
///
/// # Errors
///
/// If the runtime cannot start, or whatever the daemon reports.
pub fn run(daemon: impl Future<Output = miette::Result<ExitCode>>) -> miette::Result<ExitCode> {
    run_on(RuntimeSettings::default(), daemon)
}

/// Runs a daemon on as many threads as its settings say, until it ends.
///
/// # Errors
///
/// If the runtime cannot start, or whatever the daemon reports.
pub fn run_on(
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
/// If the signals cannot be watched.
pub async fn stop_signal() -> miette::Result<()> {
    let mut interrupt = signal(SignalKind::interrupt()).into_diagnostic()?;
    let mut terminate = signal(SignalKind::terminate()).into_diagnostic()?;
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
    Ok(())
}
