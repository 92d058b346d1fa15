//! Takes a settings file anew while a daemon runs.

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

/// Time between two looks at the file: it may change without a signal, and a look is one read of
/// about a kilobyte.
const LOOK_PERIOD: Duration = Duration::from_secs(1);

/// The signals of a daemon, watched before it does anything else: one that comes while it starts
/// must not end it without a word.
pub struct Signals {
    interrupt: Signal,
    terminate: Signal,
    hangup: Signal,
}

impl Signals {
    /// Watches them, on the current runtime.
    ///
    /// # Errors
    ///
    /// If they cannot be watched.
    pub fn watch() -> miette::Result<Self> {
        let watched = |kind| signal(kind).into_diagnostic();
        Ok(Self {
            interrupt: watched(SignalKind::interrupt())?,
            terminate: watched(SignalKind::terminate())?,
            hangup: watched(SignalKind::hangup())?,
        })
    }
}

/// A settings file that is followed.
pub struct SettingsFile {
    path: PathBuf,
    text: String,
    settings: Settings,
    /// Whether the last look could not read the file; that is logged once.
    is_unreadable: bool,
}

impl SettingsFile {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// If it cannot be read or has faults.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let text = read(path)?;
        Ok(Self {
            settings: Settings::parse(path, &text)?,
            path: path.to_owned(),
            text,
            is_unreadable: false,
        })
    }

    /// The settings in force.
    pub const fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Hands on the settings after each change of the file, until SIGINT or SIGTERM. SIGHUP makes
    /// it look at once. A file with faults changes nothing.
    pub async fn follow(mut self, mut signals: Signals, mut take: impl FnMut(&Settings)) {
        let mut looks = interval(LOOK_PERIOD);
        looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = signals.interrupt.recv() => return,
                _ = signals.terminate.recv() => return,
                _ = signals.hangup.recv() => {
                    info!("event=reload cause=SIGHUP");
                    self.look(&mut take);
                }
                _ = looks.tick() => self.look(&mut take),
            }
        }
    }

    fn look(&mut self, take: &mut impl FnMut(&Settings)) {
        match self.reread() {
            Ok(None) => {}
            Ok(Some(settings)) => {
                if self.settings.needs_restart_for(&settings) {
                    warn!("event=reload outcome=partly reason=\"some changes need a restart\"");
                } else {
                    info!("event=reload outcome=taken");
                }
                take(&settings);
                self.settings = settings;
            }
            Err(e) => {
                if !self.is_unreadable {
                    log_refusal(&e);
                }
                self.is_unreadable = matches!(e, Error::File { .. });
            }
        }
    }

    /// The settings if the file changed since the last look.
    fn reread(&mut self) -> Result<Option<Settings>, Error> {
        let text = read(&self.path)?;
        self.is_unreadable = false;
        if text == self.text {
            return Ok(None);
        }
        let parsed = Settings::parse(&self.path, &text);
        self.text = text;
        parsed.map(Some)
    }
}

fn read(path: &Path) -> Result<String, Error> {
    fs::read_to_string(path).map_err(|source| Error::File {
        action: "read",
        path: path.to_owned(),
        source,
    })
}

fn log_refusal(e: &Error) {
    error!("event=reload outcome=refused reason=\"{e}\"");
    if let Error::Settings { faults, .. } = e {
        for fault in faults {
            error!("event=reload fault=\"{fault}\"");
        }
    }
}
