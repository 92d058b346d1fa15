//! The request pipeline of an entry instance.
//!
//! A request passes identify, classify, limit, place, attempt and relay; each filter passes it on or
//! ends it with a typed [`mimosa_protocol::Refusal`]. The deciding parts come from other crates; this
//! crate is their driver: it reads the clock, owns sockets and tasks and carries out their actions.

mod access;
mod admission;
mod attempt;
mod body;
mod call;
mod engine;
mod filter;
mod follow;
mod holds;
mod limits;
mod metrics;
mod peers;
mod place;
mod plain;
mod probe;
mod problem;
mod relay;
mod retry;
mod route;
mod server;
mod shared;
mod sse;
mod suspects;
mod table;

pub use crate::server::EntryServer;
pub use crate::server::Running;
pub use mimosa_transport::clock::Clock;
