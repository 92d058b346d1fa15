//! The adopted routing document and the data centres that are out of routing.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use mimosa_protocol::DataCentreId;
use mimosa_protocol::data;
use mimosa_route::DocumentVersion;

data! {
    /// The routing part of the state. Its changes take effect without a plan and a confirm.
    #[derive(Default)]
    pub struct RoutingState {
        document: Option<AdoptedDocument>,
        data_centres_out: BTreeSet<DataCentreId>,
        last_changed: u64,
        /// The log index of the last change of each data centre that was ever out.
        data_centre_changes: BTreeMap<DataCentreId, u64>,
    }

    /// A routing document as an operator sent it.
    pub struct AdoptedDocument {
        /// The version that the operator gave it; higher versions replace lower ones.
        pub version: DocumentVersion,
        /// The unmodified bytes of the document, which gateways get in this form.
        pub bytes: Arc<[u8]>,
    }
}

impl RoutingState {
    /// The document in force; `None` before the first one.
    pub const fn document(&self) -> Option<&AdoptedDocument> {
        self.document.as_ref()
    }

    /// The data centres that get no new requests.
    pub const fn data_centres_out(&self) -> &BTreeSet<DataCentreId> {
        &self.data_centres_out
    }

    /// The log index of the last change of the routing state; zero if there was none.
    pub const fn last_changed(&self) -> u64 {
        self.last_changed
    }

    /// Adopts a document if its version is above the one in force. Returns whether it was adopted.
    pub(crate) fn adopt(&mut self, index: u64, document: AdoptedDocument) -> bool {
        let current = self.document.as_ref().map(|current| current.version);
        if current.is_some_and(|current| current >= document.version) {
            return false;
        }
        self.document = Some(document);
        self.last_changed = index;
        true
    }

    /// Takes a data centre out of routing or returns it. Returns whether the state changed.
    pub(crate) fn set_data_centre_out(
        &mut self,
        index: u64,
        data_centre: DataCentreId,
        out: bool,
    ) -> bool {
        let changed = if out {
            self.data_centres_out.insert(data_centre.clone())
        } else {
            self.data_centres_out.remove(&data_centre)
        };
        if changed {
            self.last_changed = index;
            self.data_centre_changes.insert(data_centre, index);
        }
        changed
    }

    /// Whether the opposite of an order took effect after the log index at which it was received.
    pub(crate) fn supersedes(&self, data_centre: &DataCentreId, out: bool, as_of: u64) -> bool {
        let changed_at = self.data_centre_changes.get(data_centre);
        let is_out = self.data_centres_out.contains(data_centre);
        is_out != out && changed_at.is_some_and(|changed_at| *changed_at > as_of)
    }
}
