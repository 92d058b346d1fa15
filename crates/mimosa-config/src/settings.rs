//! The complete settings file.

use std::fs;
use std::path::Path;

use mimosa_protocol::Error;
use mimosa_protocol::Features;
use mimosa_protocol::Result;
use toml::de::DeTable;

use crate::control::ControlSettings;
use crate::entry::EntrySettings;
use crate::features;
use crate::features::PlatformSettings;
use crate::gateway::GatewaySettings;
use crate::instance::InstanceSettings;
use crate::limits::LimitSettings;
use crate::logging::LogSettings;
use crate::reader::Faults;
use crate::reader::TableReader;
use crate::runtime::RuntimeSettings;

/// The complete settings file, with at least one of `[entry]`, `[control]` and `[gateway]`.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Identity of the process; mandatory.
    pub instance: InstanceSettings,
    /// Settings of the asynchronous runtime; defaults if the table is missing.
    pub runtime: RuntimeSettings,
    /// How much is logged; defaults if the table is missing.
    pub log: LogSettings,
    /// Limits of memory and descriptors; defaults if the table is missing.
    pub limits: LimitSettings,
    /// What the platform states about the deployment; empty if the table is missing.
    pub platform: PlatformSettings,
    /// Features enabled in addition to those of the platform's contracts; none if the table is
    /// missing.
    pub features: Features,
    /// Settings of the entry role, if the process has it.
    pub entry: Option<EntrySettings>,
    /// Settings of the control role, if the process has it.
    pub control: Option<ControlSettings>,
    /// Settings of the gateway role, if the process has it.
    pub gateway: Option<GatewaySettings>,
}

impl Settings {
    /// Reads and validates a file.
    ///
    /// # Errors
    ///
    /// [`Error::File`] if the file cannot be read, [`Error::Settings`] with all faults in it.
    pub fn load(path: &Path) -> Result<Self> {
        let text = fs::read_to_string(path).map_err(|source| Error::File {
            action: "read",
            path: path.to_owned(),
            source,
        })?;
        Self::parse(path, &text)
    }

    /// Parses and validates the text of a file. `path` is used in error messages only.
    ///
    /// # Errors
    ///
    /// [`Error::Settings`] with all faults in the text.
    pub fn parse(path: &Path, text: &str) -> Result<Self> {
        let mut faults = Faults::new(path.display().to_string(), text);
        let settings = read(text, &mut faults);
        match settings {
            Some(settings) if faults.list.is_empty() => Ok(settings),
            _ => Err(Error::Settings {
                path: path.to_owned(),
                count: faults.list.len(),
                faults: faults.list,
            }),
        }
    }

    /// Whether `new` has changes that a running process cannot reload.
    pub fn needs_restart_for(&self, new: &Self) -> bool {
        self.without_reloadable() != new.without_reloadable()
    }

    /// Returns the settings with defaults for all fields that a running process can reload.
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
    let mut root = TableReader::new("file", document.get_ref(), 0..0);
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
    let limits = root
        .table("limits", faults)
        .map(|reader| LimitSettings::read(reader, faults));
    let platform = root
        .table("platform", faults)
        .map(|reader| PlatformSettings::read(reader, faults));
    let features = root
        .table("features", faults)
        .map(|reader| features::read(reader, faults));
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
        faults.add(0..0, "the file configures no role", help);
    }
    root.report_unknown_fields(faults);
    Some(Settings {
        instance: instance?,
        runtime: runtime.unwrap_or_default(),
        log: log.unwrap_or_default(),
        limits: limits.unwrap_or_default(),
        platform: platform.unwrap_or_default(),
        features: features.unwrap_or_default(),
        entry,
        control: control.flatten(),
        gateway,
    })
}
