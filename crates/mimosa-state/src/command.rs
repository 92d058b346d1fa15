//! What enters the replicated log, and what comes back.

use mimosa_protocol::DataCentreId;
use mimosa_protocol::InstanceId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::data;
use mimosa_protocol::hash::Sha256Digest;
use mimosa_protocol::message::LedgerAnswer;
use mimosa_protocol::message::LedgerBegin;
use mimosa_protocol::message::LedgerFinish;

use crate::intent::Intent;
use crate::orders::OrderId;
use crate::plan::Confirmation;
use crate::plan::Plan;
use crate::plan::PlanId;
use crate::refusal::Refused;
use crate::routing::AdoptedDocument;

data! {
    /// One entry of the replicated log.
    pub struct Command {
        /// When it was proposed.
        pub at: Timestamp,
        /// What to do.
        pub operation: Operation,
    }

    /// What a command does.
    pub enum Operation {
        /// Makes a plan; nothing changes.
        Plan {
            /// The order.
            order: OrderId,
            /// What is asked.
            intent: Intent,
            /// Instances that the proposer could not reach.
            unreachable: Vec<InstanceId>,
        },
        /// Confirms a plan.
        Confirm {
            /// The order.
            order: OrderId,
            /// The plan.
            plan: PlanId,
        },
        /// Records the intent of a non-idempotent call.
        LedgerBegin(LedgerBegin),
        /// Records its end.
        LedgerFinish(LedgerFinish),
        /// Changes nothing.
        Nothing,
        /// Adopts a routing document if its version is higher than the one in force.
        AdoptRouting(AdoptedDocument),
        /// Takes a data centre out of routing, or returns it.
        SetDataCentreOut {
            /// The data centre.
            data_centre: DataCentreId,
            /// Whether it gets no new work.
            out: bool,
        },
    }

    /// What a command led to.
    pub enum CommandResult {
        /// The answer to a plan.
        Planned(Result<Box<Plan>, Refused>),
        /// The answer to a confirm.
        Confirmed(Result<Confirmation, Refused>),
        /// The answer to the intent of a call.
        LedgerBegun(LedgerAnswer),
        /// The end of a call is recorded.
        LedgerFinished,
        /// Nothing changed.
        Nothing,
        /// The answer to a routing change.
        RoutingChanged {
            /// Whether the state is another one now.
            changed: bool,
        },
    }
}

impl Command {
    /// The command as bytes of the log.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("a command has no unencodable part")
    }

    /// Reads a command.
    ///
    /// # Errors
    ///
    /// If the bytes are no command of this version.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}

/// Digest of a plan order's content.
pub fn plan_content(intent: &Intent) -> Sha256Digest {
    content("plan", intent)
}

/// Digest of a confirm order's content.
pub fn confirm_content(plan: PlanId) -> Sha256Digest {
    content("confirm", &plan)
}

fn content(word: &str, value: &impl serde::Serialize) -> Sha256Digest {
    let bytes = postcard::to_stdvec(&(word, value)).expect("an order has no unencodable part");
    Sha256Digest::of(&bytes)
}
