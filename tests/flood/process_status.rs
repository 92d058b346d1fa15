//! Memory and open descriptors of a process, from `/proc`.

use std::fs;
use std::time::Duration;

use tokio::time::sleep;

use crate::process::Process;

const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Polls without growth after which the memory counts as settled.
const SETTLED_POLLS: u32 = 20;
/// Polls after which a process that still grows is taken as it is.
const MAX_SETTLE_POLLS: u32 = 400;
/// Polls within which a process has to release what its former clients held.
const MAX_RELEASE_POLLS: u32 = 200;

/// What `/proc` tells of a process.
#[derive(Clone, Copy, Debug)]
pub struct ProcessStatus {
    /// `VmHWM`.
    pub max_memory_kb: u64,
    /// `VmRSS`.
    pub memory_kb: u64,
    pub descriptors: usize,
}

impl ProcessStatus {
    /// Reads the status.
    ///
    /// # Panics
    ///
    /// If the process has exited.
    pub fn read(process: &Process) -> Self {
        let folder = format!("/proc/{}", process.id());
        let status = fs::read_to_string(format!("{folder}/status")).unwrap_or_default();
        let kilobytes = |name: &str| -> u64 {
            let line = status.lines().find_map(|line| line.strip_prefix(name));
            let value = line.and_then(|line| line.trim().strip_suffix(" kB")?.parse().ok());
            // A process that has exited has no memory fields, also while its parent has not waited for it.
            value.unwrap_or_else(|| panic!("the process has exited, log:\n{}", process.log()))
        };
        Self {
            max_memory_kb: kilobytes("VmHWM:"),
            memory_kb: kilobytes("VmRSS:"),
            descriptors: fs::read_dir(format!("{folder}/fd")).map_or(0, Iterator::count),
        }
    }

    /// The status once the process has taken what has arrived and no longer grows, with the largest number of
    /// descriptors until then.
    pub async fn settled(process: &Process) -> Self {
        let mut status = Self::read(process);
        let mut unchanged = 0;
        for _ in 0..MAX_SETTLE_POLLS {
            sleep(POLL_INTERVAL).await;
            let next = Self::read(process);
            unchanged = match next.memory_kb > status.memory_kb {
                true => 0,
                false => unchanged + 1,
            };
            status = next.max(status);
            if unchanged == SETTLED_POLLS {
                break;
            }
        }
        status
    }

    /// The status once the memory is below a bound, or after the longest time that this may take.
    pub async fn once_below(process: &Process, kilobytes: u64) -> Self {
        for _ in 0..MAX_RELEASE_POLLS {
            if Self::read(process).memory_kb < kilobytes {
                break;
            }
            sleep(POLL_INTERVAL).await;
        }
        Self::read(process)
    }

    /// The larger of each value.
    pub fn max(self, other: Self) -> Self {
        Self {
            max_memory_kb: self.max_memory_kb.max(other.max_memory_kb),
            memory_kb: self.memory_kb.max(other.memory_kb),
            descriptors: self.descriptors.max(other.descriptors),
        }
    }
}
