//! Decides when to send the list of entries to an entry.

use mimosa_protocol::message::ListedEntry;

use crate::clock;
use crate::entry_registry::EntryRegistry;

/// Number of freshness proofs after which an unchanged list is sent again.
const REFRESH_AFTER_PROOFS: u32 = 20;

/// What was last sent to one entry.
#[derive(Debug, Default)]
pub(super) struct EntryList {
    sent_version: Option<u64>,
    proofs_since_sent: u32,
}

impl EntryList {
    /// To be called for each freshness proof: returns the list if it changed or is due for a
    /// refresh.
    pub(super) fn due(&mut self, entry_registry: &EntryRegistry) -> Option<Vec<ListedEntry>> {
        let version = entry_registry.version();
        self.proofs_since_sent += 1;
        if self.sent_version == Some(version) && self.proofs_since_sent < REFRESH_AFTER_PROOFS {
            return None;
        }
        self.sent_version = Some(version);
        self.proofs_since_sent = 0;
        Some(entry_registry.connected_entries(clock::now()))
    }
}
