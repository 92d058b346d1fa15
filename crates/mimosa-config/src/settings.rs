//! A whole settings file.

use std::fs;
use std::path::Path;

use mimosa_protocol::Error;
use mimosa_protocol::Result;
use toml::de::DeTable;

use crate::control::ControlSettings;
use crate::entry::EntrySettings;
use crate::gateway::GatewaySettings;
use crate::instance::InstanceSettings;
use crate::logging::LogSettings;
use crate::reader::Faults;
use crate::reader::Reader;
use crate::runtime::RuntimeSettings;

/// A whole settings file. It holds `[entry]`, `[control]`, `[gateway]` or several.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Who the process is.
    pub instance: InstanceSettings,
    /// How it uses the machine.
    pub runtime: RuntimeSettings,
    /// What it logs.
    pub log: LogSettings,
    /// The entry role.
    pub entry: Option<EntrySettings>,
    /// The control role.
    pub control: Option<ControlSettings>,
    /// The gateway role.
    pub gateway: Option<GatewaySettings>,
}

impl Settings {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// [`Error::File`] if it cannot be read, [`Error::Settings`] with every fault in it.
    pub fn load(path: &Path) -> Result<Self> {
        let text = fs::read_to_string(path).map_err(|source| Error::File {
            action: "read",
            path: path.to_owned(),
            source,
        })?;
        Self::parse(path, &text)
    }

    /// Checks the text of a file.
    ///
    /// # Errors
    ///
    /// [`Error::Settings`] with every fault in it.
    pub fn parse(path: &Path, text: &str) -> Result<Self> {
        let mut faults = Faults::new(path.display().to_string(), text);
        let settings = read(text, &mut faults);
        match settings {
            Some(settings) if faults.found.is_empty() => Ok(settings),
            _ => Err(Error::Settings {
                path: path.to_owned(),
                count: faults.found.len(),
                faults: faults.found,
            }),
        }
    }

    /// Whether a process with these settings can take some changes only by a restart.
    pub fn needs_restart_for(&self, new: &Self) -> bool {
        self.without_reloadable() != new.without_reloadable()
    }

    /// The same settings with the defaults for everything that a running process takes anew.
    fn without_reloadable(&self) -> Self {
        let control = self.control.as_ref();
        let gateway = self.gateway.as_ref();
        Self {
            control: control.map(ControlSettings::without_reloadable),
            gateway: gateway.map(GatewaySettings::without_reloadable),
            ..self.clone()
        }
    }
}

fn read(text: &str, faults: &mut Faults) -> Option<Settings> {
    let (document, errors) = DeTable::parse_recoverable(text);
    for e in &errors {
        faults.add(
            e.span().unwrap_or(0..0),
            e.message(),
            "see https://toml.io for the notation",
        );
    }
    if !errors.is_empty() {
        return None;
    }
    let mut root = Reader::new("file", document.get_ref(), 0..0);
    let instance = match root.table("instance", faults) {
        Some(reader) => InstanceSettings::read(reader, faults),
        None => {
            faults.add(
                0..0,
                "[instance] is missing",
                "add [instance] with id, data_centre and cluster",
            );
            None
        }
    };
    let runtime = root
        .table("runtime", faults)
        .map(|reader| RuntimeSettings::read(reader, faults));
    let log = root
        .table("log", faults)
        .map(|reader| LogSettings::read(reader, faults));
    let entry = root
        .table("entry", faults)
        .map(|reader| EntrySettings::read(reader, faults));
    let control = root
        .table("control", faults)
        .map(|reader| ControlSettings::read(reader, faults));
    let gateway = root
        .table("gateway", faults)
        .map(|reader| GatewaySettings::read(reader, faults));
    if entry.is_none() && control.is_none() && gateway.is_none() {
        let help = "add [entry], [control] or [gateway]";
        faults.add(0..0, "the file names no role", help);
    }
    root.finish(faults);
    Some(Settings {
        instance: instance?,
        runtime: runtime.unwrap_or_default(),
        log: log.unwrap_or_default(),
        entry,
        control: control.flatten(),
        gateway,
    })
}
