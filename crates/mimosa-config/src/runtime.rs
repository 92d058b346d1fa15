//! Settings of the asynchronous runtime.

use crate::reader::Faults;
use crate::reader::TableReader;

/// The table `[runtime]`: settings of the asynchronous runtime.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RuntimeSettings {
    /// Number of worker threads; 0 selects one per core. On a machine with a fraction of a core, a
    /// single thread avoids the cost of handing work over between threads.
    pub threads: usize,
}

impl RuntimeSettings {
    pub(crate) fn read(mut reader: TableReader<'_, '_>, faults: &mut Faults) -> Self {
        let default = Self::default();
        let settings = Self {
            threads: reader.or("threads", default.threads, faults),
        };
        reader.report_unknown_fields(faults);
        settings
    }
}
