//! Commands of the replicated log and their results.

use std::time::Duration;

use mimosa_protocol::DataCentreId;
use mimosa_protocol::InstanceId;
use mimosa_protocol::ServiceId;
use mimosa_protocol::ServiceVersion;
use mimosa_protocol::Timestamp;
use mimosa_protocol::data;
use mimosa_protocol::hash::Sha256Digest;
use mimosa_protocol::message::LedgerAnswer;
use mimosa_protocol::message::LedgerBegin;
use mimosa_protocol::message::LedgerFinish;
use mimosa_rollout::RolloutNumber;

use crate::intent::Intent;
use crate::orders::OrderId;
use crate::plan::Confirmation;
use crate::plan::Plan;
use crate::plan::PlanId;
use crate::refusal::Refusal;
use crate::rollouts::PhaseChange;
use crate::rollouts::RolloutOrdered;
use crate::rollouts::RolloutRefusal;
use crate::routing::AdoptedDocument;

data! {
    /// One entry of the replicated log.
    pub struct Command {
        /// When the command was proposed, by the proposer's clock.
        pub at: Timestamp,
        /// The operation to apply.
        pub operation: Operation,
    }

    /// The operation of a command.
    pub enum Operation {
        /// Computes and stores a plan; the configuration stays as it is.
        Plan {
            /// Identifies the order, so that a resend gets the first answer.
            order: OrderId,
            /// The requested change.
            intent: Intent,
            /// Instances that the proposer could not reach.
            unreachable: Vec<InstanceId>,
        },
        /// Confirms a plan, which puts its changes in force.
        Confirm {
            /// Identifies the order, so that a resend gets the first answer.
            order: OrderId,
            /// The plan to confirm, which must have been made at the current revision.
            plan: PlanId,
        },
        /// Records the start of a non-idempotent call, before it runs.
        LedgerBegin(LedgerBegin),
        /// Records the outcome of a non-idempotent call.
        LedgerFinish(LedgerFinish),
        /// A no-op, which only advances the log.
        Nothing,
        /// Adopts a routing document if its version is higher than the one in force.
        AdoptRouting(AdoptedDocument),
        /// Takes a data centre out of routing, or returns it, whenever it arrives. No longer proposed;
        /// logs of earlier versions contain it.
        SetDataCentreOut {
            /// Name of the data centre; it need not be in the configuration.
            data_centre: DataCentreId,
            /// `true` to send it no new requests, `false` to return it.
            out: bool,
        },
        /// Takes a data centre out of routing, or returns it, unless the opposite took effect after the
        /// order was received.
        OrderDataCentreOut {
            /// Name of the data centre; it need not be in the configuration.
            data_centre: DataCentreId,
            /// `true` to send it no new requests, `false` to return it.
            out: bool,
            /// The log index up to which everything was committed when the order was received.
            as_of: u64,
        },
        /// Starts a rollout, unless the order repeats an earlier one.
        StartRollout {
            /// The service, which must be in the adopted routing document.
            service: ServiceId,
            /// The new version.
            to: ServiceVersion,
            /// Time from the order to the end.
            duration: Duration,
        },
        /// Raises the exposure that a rollout may have used, before the leader grants it.
        ReserveExposure {
            /// The service of the rollout.
            service: ServiceId,
            /// The rollout.
            number: RolloutNumber,
            /// The reserved total on which the proposer relies.
            expected: u64,
            /// The new total.
            total: u64,
        },
        /// Changes the phase of a rollout.
        ChangeRollout {
            /// The service of the rollout.
            service: ServiceId,
            /// The rollout.
            number: RolloutNumber,
            /// The phase that it enters.
            change: PhaseChange,
        },
    }

    /// The result of applying a command.
    pub enum CommandResult {
        /// The plan of [`Operation::Plan`], or why there is none.
        Planned(Result<Box<Plan>, Refusal>),
        /// The new revision of [`Operation::Confirm`], or why the plan cannot take effect.
        Confirmed(Result<Confirmation, Refusal>),
        /// Whether the call of [`Operation::LedgerBegin`] may run.
        LedgerBegun(LedgerAnswer),
        /// [`Operation::LedgerFinish`] was applied, whether or not it was the first outcome.
        LedgerFinished,
        /// The no-op was applied.
        Nothing,
        /// The result of [`Operation::AdoptRouting`], [`Operation::SetDataCentreOut`] or
        /// [`Operation::OrderDataCentreOut`].
        RoutingChanged {
            /// Whether the routing state differs from the one before.
            changed: bool,
        },
        /// [`Operation::OrderDataCentreOut`] changed nothing, as the opposite took effect after the order
        /// was received.
        RoutingSuperseded,
        /// The rollout that [`Operation::StartRollout`] started or repeats, or why there is none.
        RolloutStarted(Result<RolloutOrdered, RolloutRefusal>),
        /// The result of [`Operation::ReserveExposure`].
        ExposureReserved {
            /// Whether the total was raised.
            accepted: bool,
            /// What is reserved now.
            reserved: u64,
        },
        /// The result of [`Operation::ChangeRollout`].
        RolloutChanged {
            /// Whether the rollout entered the phase.
            changed: bool,
        },
    }
}

impl Command {
    /// Encodes the command as the payload of a log entry.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("every part of a command can be encoded")
    }

    /// Decodes the payload of a log entry.
    ///
    /// # Errors
    ///
    /// If the bytes are not a command in the encoding of this version.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}

/// Digest of the content of a plan order, which identifies a resend.
pub fn plan_digest(intent: &Intent) -> Sha256Digest {
    content_digest("plan", intent)
}

/// Digest of the content of a confirm order, which identifies a resend.
pub fn confirm_digest(plan: PlanId) -> Sha256Digest {
    content_digest("confirm", &plan)
}

fn content_digest(operation: &str, value: &impl serde::Serialize) -> Sha256Digest {
    let bytes =
        postcard::to_stdvec(&(operation, value)).expect("every part of an order can be encoded");
    Sha256Digest::of(&bytes)
}
