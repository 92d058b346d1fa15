//! Plans: the computed effects of an intent, for an operator to review before confirming.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use mimosa_protocol::Change;
use mimosa_protocol::OperatorId;
use mimosa_protocol::OrderNumber;
use mimosa_protocol::Revision;
use mimosa_protocol::Timestamp;
use mimosa_protocol::data;
use serde::Deserialize;
use serde::Serialize;

use crate::cost::Cost;
use crate::engine::EngineOrderKind;
use crate::intent::Intent;

/// Unconfirmed plans kept; the oldest is evicted first.
pub const MAX_PENDING_PLANS: usize = 256;

/// Identifies a plan. Numbers rise from 1 and are never reused.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct PlanId(pub u64);

data! {
    /// A plan. A confirm puts all its changes in force atomically.
    pub struct Plan {
        /// The number by which a confirm names the plan.
        pub id: PlanId,
        /// The operator who requested it. Another operator may confirm it.
        pub operator: OperatorId,
        /// The number of the operator's order.
        pub number: OrderNumber,
        /// When the plan was made, by the time of its command.
        pub at: Timestamp,
        /// The revision that the plan was made at; a confirm at any other revision is refused.
        pub revision: Revision,
        /// The requested change.
        pub intent: Intent,
        /// The effects in readable form, for operators and the audit trail.
        pub lines: Vec<ChangeLine>,
        /// The changes of the configuration, in the order in which they apply.
        pub changes: Vec<Change>,
        /// The orders that are sent to engines once the plan is confirmed.
        pub engine_orders: Vec<EngineOrderKind>,
        /// The impact on capacity, requests and keys.
        pub cost: Cost,
        /// How to undo the plan once it is confirmed.
        pub undo: Undo,
    }

    /// One effect in readable form. Never contains the digest of a key.
    pub struct ChangeLine {
        /// The object that changes, as kind and name.
        pub what: String,
        /// Its value before; `None` if it is created.
        pub before: Option<String>,
        /// Its value after; `None` if it is removed.
        pub after: Option<String>,
    }

    /// How to undo a plan.
    #[serde(rename_all = "snake_case")]
    pub enum Undo {
        /// This intent restores the configuration.
        By(Box<Intent>),
        /// No intent restores it; the text names the closest alternative.
        Never(String),
    }

    /// The result of confirming a plan.
    pub struct Confirmation {
        /// The confirmed plan, which cannot be confirmed again.
        pub plan: PlanId,
        /// The revision that its changes are in force from.
        pub revision: Revision,
        /// When the plan was confirmed, by the time of the confirm's command.
        pub at: Timestamp,
    }
}

impl fmt::Display for PlanId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for PlanId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}
