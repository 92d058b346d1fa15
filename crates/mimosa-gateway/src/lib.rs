//! The gateway process: routes client requests to discovered endpoints.
//!
//! A request passes through these modules in order: [`head`] resolves its route and account,
//! [`body`] reads its body, [`plain`] or [`model`] sends it to endpoints selected by
//! [`mimosa_schedule`], and [`relay`] forwards the response.
//!
//! * [`dialect`] abstracts the HTTP headers and bodies that clients and endpoints use.
//! * [`directory`] holds the state received from control instances: routes, endpoints, and data
//!   centres that are taken out of service.
//! * [`control_link`] keeps the directory up to date.
//! * [`rollout`] restricts requests to the versions that a rollout of their service allows.
//! * [`connection`] pools connections to endpoints, whose sockets are [`endpoint_stream`]s; [`takeover`] finds out
//!   whether another process has taken the address of an endpoint; [`client_connection`] enforces time limits on
//!   connections of clients, and [`client_connections`] bounds their number.
//! * [`memory`] holds the memory account; [`answer_window`] counts responses that are read slowly.

mod answer_window;
mod body;
mod client_connection;
mod client_connections;
mod connection;
mod control_link;
mod directory;
mod dispatch;
mod endpoint_stream;
mod head;
mod local_quota;
mod local_share;
mod memory;
mod metrics;
mod model;
mod part_quarantine;
mod plain;
mod quota;
mod relay;
mod response;
mod resume;
mod rollout;
mod serve;
mod shared;
mod speed;
mod takeover;
mod upstream;

pub mod dialect;
pub mod server;
pub mod settings;

pub use crate::server::Gateway;
pub use crate::server::Running;
pub use crate::settings::Settings;
