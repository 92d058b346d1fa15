//! The replicated state machine: configuration, plans, operators' orders, audit trail, ledger.
//!
//! [`StateMachine::apply`] takes one committed [`Command`] and returns its [`CommandResult`]. A
//! command carries its own time, so replaying a log gives a byte-identical state on every replica.
//!
//! * [`intent`] is a change that an operator requests; [`plan`] is the computed effect of it.
//! * [`planning`] turns an intent into the effects of a plan or into a typed [`refusal`].
//! * [`orders`] keeps the first answer to each order for resends; [`audit`] records who did what.
//! * [`ledger`] deduplicates non-idempotent calls.
//! * [`rollouts`] holds the latest rollout of each service.
//! * [`engine`] holds the orders to engines, each with a fencing token.

pub mod audit;
pub mod command;
pub mod cost;
pub mod describe;
pub mod engine;
pub mod intent;
pub mod ledger;
pub mod machine;
pub mod orders;
pub mod plan;
pub mod planning;
pub mod refusal;
pub mod rollouts;
pub mod routing;
pub mod undo;

pub use crate::command::Command;
pub use crate::command::CommandResult;
pub use crate::command::Operation;
pub use crate::intent::Intent;
pub use crate::machine::StateMachine;
pub use crate::plan::Plan;
pub use crate::plan::PlanId;
pub use crate::refusal::Refusal;
