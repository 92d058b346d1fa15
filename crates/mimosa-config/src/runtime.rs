//! How a process uses the machine.

use crate::reader::Faults;
use crate::reader::Reader;

/// How a process uses the machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RuntimeSettings {
    /// Threads that serve requests; 0 means one for each core. One thread saves the hand-over
    /// between threads on a machine with a part of a core.
    pub threads: usize,
}

impl RuntimeSettings {
    pub(crate) fn read(mut reader: Reader<'_, '_>, faults: &mut Faults) -> Self {
        let default = Self::default();
        let settings = Self {
            threads: reader.or("threads", default.threads, faults),
        };
        reader.finish(faults);
        settings
    }
}
