//! Rollouts: moving a service to a new version while limiting what a bad version can harm.
//!
//! * [`rollout`] defines the phases of a rollout and the view of it that gateways have.
//! * [`message`] defines the reports of gateways and the permits of the leader.
//! * [`comparison`] compares the responses of two versions.
//! * [`trial`] drives one rollout at the leader.
//! * [`permits`] holds the permits of one gateway, [`exposure`] the leader's account of all permits.

pub mod comparison;
pub mod exposure;
pub mod message;
pub mod permits;
pub mod rollout;
pub mod trial;

pub use crate::message::DurationHistogram;
pub use crate::message::OutcomeCounts;
pub use crate::message::PermitGrant;
pub use crate::message::RolloutReport;
pub use crate::rollout::RolloutNumber;
pub use crate::rollout::RolloutPhase;
pub use crate::rollout::RolloutView;
