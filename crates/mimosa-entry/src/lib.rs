//! The request pipeline of an entry instance.
//!
//! A request is authenticated, checked against its account's rate limit, queued, attempted at its
//! endpoints and relayed to the caller. Each stage either passes it on or ends it with a typed
//! [`mimosa_protocol::Refusal`]. The decisions are made by pure state machines in other crates;
//! this crate drives them: it reads the clock, owns the sockets and tasks and carries out their
//! actions.

mod access;
mod admission;
mod attempt;
mod body;
mod configuration_store;
mod connection;
mod engine;
mod filter;
mod follow;
mod holds;
mod memory;
mod metrics;
mod model_request;
mod peers;
mod place;
mod plain;
mod probe;
mod problem;
mod rate_limits;
mod relay;
mod retry;
mod route;
mod server;
mod shared;
mod sse;
mod suspects;

pub use crate::server::EntryServer;
pub use crate::server::Running;
pub use mimosa_memory::sizes::ProcessLimits;
pub use mimosa_transport::clock::Clock;
