//! The adopted routing document and the data centres that are out.

use std::collections::BTreeSet;
use std::sync::Arc;

use mimosa_protocol::DataCentreId;
use mimosa_protocol::data;
use mimosa_route::DocumentVersion;

data! {
    /// The routing part of the state. It is confirmed at once, without a plan.
    #[derive(Default)]
    pub struct RoutingState {
        /// The document in force.
        document: Option<AdoptedDocument>,
        /// Data centres that get no new work.
        out: BTreeSet<DataCentreId>,
        /// The log index of the last change here.
        changed: u64,
    }

    /// A routing document as an operator sent it.
    pub struct AdoptedDocument {
        /// The version that the operator gave it.
        pub version: DocumentVersion,
        /// The document, byte for byte.
        pub bytes: Arc<[u8]>,
    }
}

impl RoutingState {
    /// The document in force.
    pub const fn document(&self) -> Option<&AdoptedDocument> {
        self.document.as_ref()
    }

    /// The data centres that get no new work.
    pub const fn data_centres_out(&self) -> &BTreeSet<DataCentreId> {
        &self.out
    }

    /// The log index of the last change. A higher one is newer.
    pub const fn last_changed(&self) -> u64 {
        self.changed
    }

    /// Adopts a document if its version is higher than the one in force. Returns whether it did.
    pub(crate) fn adopt(&mut self, index: u64, document: AdoptedDocument) -> bool {
        let held = self.document.as_ref().map(|held| held.version);
        if held.is_some_and(|held| held >= document.version) {
            return false;
        }
        self.document = Some(document);
        self.changed = index;
        true
    }

    /// Takes a data centre out or returns it. Returns whether that changed anything.
    pub(crate) fn set_out(&mut self, index: u64, data_centre: DataCentreId, out: bool) -> bool {
        let changed = if out {
            self.out.insert(data_centre)
        } else {
            self.out.remove(&data_centre)
        };
        if changed {
            self.changed = index;
        }
        changed
    }
}
