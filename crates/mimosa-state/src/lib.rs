//! The replicated state machine: configuration, plans, operators' orders, audit trail, ledger.
//!
//! [`StateMachine::apply`] takes one committed [`Command`] and returns its [`CommandResult`]. A command
//! carries its own time, so a replay of the same log gives the same state to the byte.
//!
//! * [`intent`] is what an operator asks for, [`plan`] what that would do.
//! * [`planning`] turns one into the other or into a typed [`refusal`].
//! * [`orders`] keeps first answers for resends, [`audit`] who did what.
//! * [`ledger`] holds non-idempotent calls.
//! * [`engine`] holds numbered orders to engines.

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
