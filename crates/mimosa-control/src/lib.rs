//! The control process: replicated state, admin HTTP, configuration subscriptions.
//!
//! [`ControlServer::start`] starts one control instance as tasks of the running `tokio` runtime;
//! the command line, the demo and tests all use it.
//!
//! * [`settings`] says what an instance is told at its start.
//! * [`replicator`] is the border to the replicated log.
//! * [`shared`] holds the applied state.
//! * [`admin`] is the operators' HTTP, [`entry_port`] the entries' TCP.
//! * [`peer`] is the TCP between control instances.
//! * [`entry_registry`] knows which entry follows which revision.

pub mod admin;
pub mod clock;
pub mod entry_port;
pub mod entry_registry;
pub mod freshness;
pub mod peer;
pub mod replicator;
pub mod routing;
pub mod server;
pub mod settings;
pub mod shared;

pub use crate::server::Bound;
pub use crate::server::ControlServer;
pub use crate::server::Running;
pub use crate::settings::Settings;
