//! When the list of entries is sent to an entry.

use mimosa_protocol::message::ListedEntry;

use crate::clock;
use crate::entry_registry::EntryRegistry;

/// Proofs of freshness after which the list is sent again although nothing changed.
const REFRESH_PROOFS: u32 = 20;

/// What one entry was sent.
#[derive(Debug, Default)]
pub(super) struct EntryList {
    version: Option<u64>,
    proofs: u32,
}

impl EntryList {
    /// The list, if it is due with this proof.
    pub(super) fn due(&mut self, in_force: &EntryRegistry) -> Option<Vec<ListedEntry>> {
        let version = in_force.version();
        self.proofs += 1;
        if self.version == Some(version) && self.proofs < REFRESH_PROOFS {
            return None;
        }
        self.version = Some(version);
        self.proofs = 0;
        Some(in_force.listed(clock::now()))
    }
}
