//! Leases on engine memory, retry budgets, crash attribution and response matching.
//!
//! * [`owner`] and [`monitor`] ensure that no [`hold`] on an endpoint outlives its owner.
//! * [`retry`] decides what follows a failed attempt, within a retry budget per service.
//! * [`attempt`] matches response chunks to attempts and discards late and misdirected ones.
//! * [`events`] finds complete events in streams, which tells where a stream broke off.
//! * [`quarantine`] identifies requests that crash the endpoints that run them.
//! * [`part_quarantine`] identifies parts of prompts that do, in whatever request.

pub mod attempt;
pub mod events;
pub mod hold;
pub mod monitor;
pub mod owner;
pub mod part_quarantine;
pub mod quarantine;
pub mod retry;
