//! Types shared by all crates of mimosaswitch. This crate does no I/O.
//!
//! * [`id`], [`size`] and [`time`] define newtypes for identifiers, quantities and timestamps.
//! * [`configuration`] is the configuration that operators change and every entry replicates.
//! * [`change`] defines the changes to it.
//! * [`message`] defines the messages between the processes of a cluster.
//! * [`features`] names the features that a deployment can enable.
//! * [`outcome`] defines how a request can fail.
//! * [`error`] defines the error type of all crates, with diagnostics.

#[macro_use]
mod derive;

pub mod change;
pub mod configuration;
pub mod error;
pub mod features;
pub mod hash;
pub mod id;
pub mod message;
pub mod outcome;
pub mod secret;
pub mod size;
pub mod time;

pub use crate::change::Change;
pub use crate::configuration::Configuration;
pub use crate::error::Error;
pub use crate::error::Result;
pub use crate::features::Features;
pub use crate::id::AccountId;
pub use crate::id::DataCentreId;
pub use crate::id::EndpointId;
pub use crate::id::Epoch;
pub use crate::id::FencingToken;
pub use crate::id::Incarnation;
pub use crate::id::InstanceId;
pub use crate::id::KeyId;
pub use crate::id::OperatorId;
pub use crate::id::OrderNumber;
pub use crate::id::RequestId;
pub use crate::id::Revision;
pub use crate::id::ServiceId;
pub use crate::id::ServiceVersion;
pub use crate::outcome::ExecutionStatus;
pub use crate::outcome::Refusal;
pub use crate::outcome::RefusalReason;
pub use crate::size::ByteRate;
pub use crate::size::ByteSize;
pub use crate::size::KvBlocks;
pub use crate::size::RequestRate;
pub use crate::size::TokenRate;
pub use crate::size::Tokens;
pub use crate::time::Timestamp;
