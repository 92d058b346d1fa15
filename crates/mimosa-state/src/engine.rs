//! Orders to engines. Each carries a fencing token, so that an engine can reject an outdated order.

use std::collections::BTreeMap;

use mimosa_protocol::EndpointId;
use mimosa_protocol::FencingToken;
use mimosa_protocol::configuration::EndpointRole;
use mimosa_protocol::data;

data! {
    /// The instruction of an order to an engine.
    #[serde(rename_all = "snake_case")]
    pub enum EngineOrderKind {
        /// Load a model.
        LoadModel {
            /// The endpoint whose engine loads the model.
            endpoint: EndpointId,
            /// The name of the model in the weight store.
            model: String,
            /// The version of the model in the weight store.
            version: String,
        },
        /// Change to another role.
        SetRole {
            /// The endpoint whose engine changes its role.
            endpoint: EndpointId,
            /// The new role, which fits the kind of the endpoint's service.
            role: EndpointRole,
        },
    }

    /// An order whose plan was confirmed.
    pub struct EngineOrder {
        /// The index of the log entry that confirmed the plan; rises from order to order.
        pub fencing: FencingToken,
        /// What the engine has to do.
        pub kind: EngineOrderKind,
    }
}

impl EngineOrderKind {
    /// The endpoint whose engine executes the order.
    pub const fn endpoint(&self) -> &EndpointId {
        match self {
            Self::LoadModel { endpoint, .. } | Self::SetRole { endpoint, .. } => endpoint,
        }
    }

    /// The kind, spelled as in JSON. An order replaces only an order of the same kind.
    pub const fn kind_name(&self) -> &'static str {
        match self {
            Self::LoadModel { .. } => "load_model",
            Self::SetRole { .. } => "set_role",
        }
    }
}

/// The newest confirmed order of each kind for each engine, so their number is bounded by the
/// number of endpoints.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct EngineOrders {
    newest: BTreeMap<(EndpointId, String), EngineOrder>,
}

impl EngineOrders {
    /// Stores an order; it replaces an older one of its kind for the same engine.
    pub fn accept(&mut self, fencing: FencingToken, kind: EngineOrderKind) {
        let key = (kind.endpoint().clone(), kind.kind_name().to_owned());
        self.newest.insert(key, EngineOrder { fencing, kind });
    }

    /// Removes the orders to endpoints for which `keep` is false, such as removed ones.
    pub fn retain(&mut self, keep: impl Fn(&EndpointId) -> bool) {
        self.newest.retain(|(endpoint, _), _| keep(endpoint));
    }

    /// The stored orders, sorted by endpoint and kind.
    pub fn iter(&self) -> impl Iterator<Item = &EngineOrder> {
        self.newest.values()
    }
}
