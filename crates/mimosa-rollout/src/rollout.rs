//! The phases of a rollout and the view of it that gateways have.

use std::fmt;

use mimosa_protocol::ServiceId;
use mimosa_protocol::ServiceVersion;
use mimosa_protocol::data;
use mimosa_protocol::quantity;

quantity! {
    /// Identifies a rollout: the log index of its order.
    RolloutNumber(u64);
}

/// The phase of a rollout. Operators see the first two as running.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum RolloutPhase {
    /// The new version gets a limited share of the requests, each with a permit.
    Testing,
    /// All new requests go to the new version, while the old versions finish theirs.
    Moving,
    /// The move is complete; the old versions get no requests.
    Completed,
    /// The new version was withdrawn and gets no requests.
    RolledBack,
}

data! {
    /// What a gateway knows of a rollout: which versions may get new requests.
    pub struct RolloutView {
        /// The service that moves to another version.
        pub service: ServiceId,
        /// The rollout; a higher number replaces earlier rollouts of the service.
        pub number: RolloutNumber,
        /// The new version.
        pub to: ServiceVersion,
        /// The versions that are replaced: no new requests in [`RolloutPhase::Moving`] and
        /// [`RolloutPhase::Completed`]. Empty until the leader has seen the service's endpoints.
        pub from: Vec<ServiceVersion>,
        /// Versions that earlier rollouts of the service withdrew or replaced. They get no requests in
        /// any phase, as their endpoints may still be listed.
        pub barred: Vec<ServiceVersion>,
        /// The current phase.
        pub phase: RolloutPhase,
    }
}

impl RolloutPhase {
    /// Whether the rollout has not ended.
    pub const fn is_running(self) -> bool {
        matches!(self, Self::Testing | Self::Moving)
    }
}

impl fmt::Display for RolloutPhase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Testing => "testing",
            Self::Moving => "moving",
            Self::Completed => "completed",
            Self::RolledBack => "rolled_back",
        })
    }
}

impl RolloutView {
    /// Whether endpoints of a version may get requests without a permit.
    pub fn allows(&self, version: Option<&ServiceVersion>) -> bool {
        let Some(version) = version else { return true };
        if *version == self.to {
            return matches!(self.phase, RolloutPhase::Moving | RolloutPhase::Completed);
        }
        let is_replaced = match self.phase {
            RolloutPhase::Moving | RolloutPhase::Completed => self.from.contains(version),
            RolloutPhase::Testing | RolloutPhase::RolledBack => false,
        };
        !is_replaced && !self.barred.contains(version)
    }
}
