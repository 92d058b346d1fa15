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
//! * [`connection`] pools connections to endpoints; [`client_connection`] enforces time limits on
//!   connections of clients.

mod body;
mod client_connection;
mod connection;
mod control_link;
mod directory;
mod dispatch;
mod head;
mod local_quota;
mod local_share;
mod metrics;
mod model;
mod part_quarantine;
mod plain;
mod quota;
mod relay;
mod response;
mod resume;
mod serve;
mod shared;
mod upstream;

pub mod dialect;
pub mod server;
pub mod settings;

pub use crate::server::Gateway;
pub use crate::server::Running;
pub use crate::settings::Settings;
