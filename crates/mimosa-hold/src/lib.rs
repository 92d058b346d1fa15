//! Leases on engine memory, retry budgets, crash suspicion and answer matching.
//!
//! * [`owner`] and [`monitor`] see to it that no [`hold`] on an endpoint outlives its owner.
//! * [`retry`] decides what follows a failed attempt, within a budget for each service.
//! * [`attempt`] matches answers to attempts, so that late or crossed ones reach nobody.
//! * [`quarantine`] recognises requests that crash the endpoints that run them.

pub mod attempt;
pub mod hold;
pub mod monitor;
pub mod owner;
pub mod quarantine;
pub mod retry;
