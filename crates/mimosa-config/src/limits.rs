//! Memory and descriptor limits of a process, for all roles.

use std::fs;

use mimosa_memory::sizes::ProcessLimits;
use mimosa_protocol::ByteSize;

use crate::reader::Faults;
use crate::reader::TableReader;
use crate::value::SizeText;

/// Smallest memory limit; a process at rest needs 11 MB.
const MIN_MEMORY: u64 = 16_000_000;
/// Smallest descriptor limit. Files take 200, connections to control instances, metrics and probes
/// up to 64.
const MIN_DESCRIPTORS: u64 = 300;
/// Memory and descriptors assumed where the system does not tell.
const ASSUMED_MEMORY: u64 = 1 << 30;
const ASSUMED_DESCRIPTORS: u64 = 1_024;

/// The table `[limits]`: what the process may use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimitSettings {
    /// Memory after which the process is killed; `None` uses half of the machine's memory.
    pub memory: Option<ByteSize>,
    /// Size of the memory account; `None` derives it from `memory`.
    pub account: Option<ByteSize>,
    /// Number of file descriptors; `None` uses the limit of the process.
    pub descriptors: Option<u64>,
}

impl LimitSettings {
    pub(crate) fn read(mut reader: TableReader<'_, '_>, faults: &mut Faults) -> Self {
        let size = |text: Option<SizeText>| text.map(|SizeText(bytes)| ByteSize(bytes));
        let settings = Self {
            memory: size(reader.optional("memory", faults)),
            account: size(reader.optional("account", faults)),
            descriptors: reader.optional("descriptors", faults),
        };
        if settings.memory.is_some_and(|memory| memory.0 < MIN_MEMORY) {
            let reason = "'memory' is less than a process needs";
            let help = "set the limit of the machine, at least 16MB";
            faults.add(reader.span("memory"), reason, help);
        }
        if let Some(account) = settings.account {
            let memory = settings.memory.map_or(u64::MAX, |memory| memory.0);
            if account.0 == 0 || account.0 > memory / 4 * 3 {
                let reason = "'account' leaves no room for the process itself";
                let help = "set at most three quarters of 'memory', or omit it";
                faults.add(reader.span("account"), reason, help);
            }
        }
        if settings
            .descriptors
            .is_some_and(|each| each < MIN_DESCRIPTORS)
        {
            let reason = "'descriptors' leaves none for client connections";
            let help = "set at least 300; 200 are kept for files and 64 for internal connections";
            faults.add(reader.span("descriptors"), reason, help);
        }
        reader.report_unknown_fields(faults);
        settings
    }

    /// The limits, completed with those of the machine and the process.
    pub fn resolve(&self) -> ProcessLimits {
        ProcessLimits {
            memory: match self.memory {
                Some(memory) => memory.0,
                None => machine_memory().unwrap_or(ASSUMED_MEMORY) / 2,
            },
            is_limited: self.memory.is_some(),
            account: self.account.map(|account| account.0),
            // Where a platform manages the descriptors, the limit that the kernel shows is not in force.
            descriptors: self
                .descriptors
                .or_else(descriptor_limit)
                .unwrap_or(ASSUMED_DESCRIPTORS),
        }
    }
}

/// Memory of the machine in bytes.
fn machine_memory() -> Option<u64> {
    let text = fs::read_to_string("/proc/meminfo").ok()?;
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("MemTotal:"))?;
    let kilobytes: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kilobytes << 10)
}

/// Number of descriptors that the process may open; `None` if it is unknown or unlimited.
fn descriptor_limit() -> Option<u64> {
    let text = fs::read_to_string("/proc/self/limits").ok()?;
    let mut lines = text.lines();
    let line = lines.find_map(|line| line.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}
