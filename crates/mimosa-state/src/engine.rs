//! Orders to engines, numbered by the log so that an engine can refuse an old one.

use std::collections::BTreeMap;

use mimosa_protocol::EndpointId;
use mimosa_protocol::FencingToken;
use mimosa_protocol::configuration::EndpointRole;
use mimosa_protocol::data;

data! {
    /// What an engine is told to do.
    #[serde(rename_all = "snake_case")]
    pub enum EngineOrderKind {
        /// Load a model.
        LoadModel {
            /// The engine.
            endpoint: EndpointId,
            /// The model.
            model: String,
            /// Its version.
            version: String,
        },
        /// Change role.
        SetRole {
            /// The engine.
            endpoint: EndpointId,
            /// The new role.
            role: EndpointRole,
        },
    }

    /// An accepted order.
    pub struct EngineOrder {
        /// The index of the log entry that accepted it: it only rises.
        pub fencing: FencingToken,
        /// What to do.
        pub kind: EngineOrderKind,
    }
}

impl EngineOrderKind {
    /// The engine that it goes to.
    pub const fn endpoint(&self) -> &EndpointId {
        match self {
            Self::LoadModel { endpoint, .. } | Self::SetRole { endpoint, .. } => endpoint,
        }
    }

    /// A stable word: orders of different words do not replace each other.
    pub const fn word(&self) -> &'static str {
        match self {
            Self::LoadModel { .. } => "load_model",
            Self::SetRole { .. } => "set_role",
        }
    }
}

/// The newest accepted order of each kind for each engine. Bounded by the endpoints.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct EngineOrders {
    newest: BTreeMap<(EndpointId, String), EngineOrder>,
}

impl EngineOrders {
    /// Accepts an order; it replaces an older one of its kind.
    pub fn accept(&mut self, fencing: FencingToken, kind: EngineOrderKind) {
        let place = (kind.endpoint().clone(), kind.word().to_owned());
        self.newest.insert(place, EngineOrder { fencing, kind });
    }

    /// Drops the orders of engines that are gone.
    pub fn retain(&mut self, keep: impl Fn(&EndpointId) -> bool) {
        self.newest.retain(|(endpoint, _), _| keep(endpoint));
    }

    /// The newest orders, by endpoint.
    pub fn iter(&self) -> impl Iterator<Item = &EngineOrder> {
        self.newest.values()
    }
}
