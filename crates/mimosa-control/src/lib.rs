//! The control process: replicated state, operator HTTP API, configuration subscriptions.
//!
//! [`ControlServer::start`] starts one control instance as tasks of the current `tokio` runtime.
//! The command line, the demo and the tests all use it.
//!
//! * [`settings`] holds the settings of an instance.
//! * [`replicator`] is the interface to the replicated log.
//! * [`shared`] holds the applied state.
//! * [`admin`] is the operator HTTP API, [`entry_port`] the TCP port for entries.
//! * [`peer`] is the TCP protocol between control instances.
//! * [`connection_order`] tells replaced connections from current ones.
//! * [`entry_registry`] tracks the revision in force at each entry.
//! * [`memory`] is the memory account.
//! * [`routing`] serves gateways: request placement, endpoint discovery, quotas.

pub mod admin;
pub mod clock;
pub mod connection_order;
pub mod entry_port;
pub mod entry_registry;
pub mod freshness;
pub mod memory;
pub mod peer;
pub mod replicator;
pub mod routing;
pub mod server;
pub mod settings;
pub mod shared;

pub use crate::server::BoundServer;
pub use crate::server::ControlServer;
pub use crate::server::Running;
pub use crate::settings::Settings;
pub use mimosa_memory::sizes::ProcessLimits;
