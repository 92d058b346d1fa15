//! Reloads the settings file of a running daemon when it changes.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use log::error;
use log::info;
use log::warn;
use miette::IntoDiagnostic;
use mimosa_config::Settings;
use mimosa_protocol::Error;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;

/// Interval for checking the file for changes that no SIGHUP announces. A check reads about one
/// kilobyte.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Signal handlers of a daemon. They are installed before anything else: by default, a signal
/// during startup would end the process without a shutdown.
pub struct Signals {
    interrupt: Signal,
    terminate: Signal,
    hangup: Signal,
}

impl Signals {
    /// Installs the handlers on the current runtime.
    ///
    /// # Errors
    ///
    /// If a handler cannot be installed.
    pub fn register() -> miette::Result<Self> {
        let listen = |kind| signal(kind).into_diagnostic();
        Ok(Self {
            interrupt: listen(SignalKind::interrupt())?,
            terminate: listen(SignalKind::terminate())?,
            hangup: listen(SignalKind::hangup())?,
        })
    }
}

/// A settings file that is watched for changes.
pub struct SettingsFile {
    path: PathBuf,
    /// Content at the last successful read, valid or not.
    text: String,
    /// Settings from the last valid content.
    settings: Settings,
    /// Whether the last read failed; consecutive read errors are logged once.
    is_unreadable: bool,
}

impl SettingsFile {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// [`Error::File`] if it cannot be read, [`Error::Settings`] if it is invalid.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let text = read_file(path)?;
        Ok(Self {
            settings: Settings::parse(path, &text)?,
            path: path.to_owned(),
            text,
            is_unreadable: false,
        })
    }

    /// The settings from the last valid content of the file.
    pub const fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Calls `on_change` with the new settings after each change of the file, until SIGINT or
    /// SIGTERM. SIGHUP checks the file immediately. An invalid file is logged and ignored.
    pub async fn watch(mut self, mut signals: Signals, mut on_change: impl FnMut(&Settings)) {
        let mut polls = interval(POLL_INTERVAL);
        polls.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = signals.interrupt.recv() => return,
                _ = signals.terminate.recv() => return,
                _ = signals.hangup.recv() => {
                    info!("event=reload cause=SIGHUP");
                    self.poll(&mut on_change);
                }
                _ = polls.tick() => self.poll(&mut on_change),
            }
        }
    }

    /// Reads the file and applies or rejects a change.
    fn poll(&mut self, on_change: &mut impl FnMut(&Settings)) {
        match self.reread() {
            Ok(None) => {}
            Ok(Some(settings)) => {
                if self.settings.needs_restart_for(&settings) {
                    warn!("event=reload outcome=partly reason=\"some changes need a restart\"");
                } else {
                    info!("event=reload outcome=taken");
                }
                on_change(&settings);
                self.settings = settings;
            }
            Err(e) => {
                if !self.is_unreadable {
                    log_rejection(&e);
                }
                self.is_unreadable = matches!(e, Error::File { .. });
            }
        }
    }

    /// The new settings, or `None` if the file has not changed since the last read.
    fn reread(&mut self) -> Result<Option<Settings>, Error> {
        let text = read_file(&self.path)?;
        self.is_unreadable = false;
        if text == self.text {
            return Ok(None);
        }
        let parsed = Settings::parse(&self.path, &text);
        self.text = text;
        parsed.map(Some)
    }
}

fn read_file(path: &Path) -> Result<String, Error> {
    fs::read_to_string(path).map_err(|source| Error::File {
        action: "read",
        path: path.to_owned(),
        source,
    })
}

/// Logs why the file was not applied, with one line per invalid setting.
fn log_rejection(e: &Error) {
    error!("event=reload outcome=refused reason=\"{e}\"");
    if let Error::Settings { faults, .. } = e {
        for fault in faults {
            error!("event=reload fault=\"{fault}\"");
        }
    }
}
