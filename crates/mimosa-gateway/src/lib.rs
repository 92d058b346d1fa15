//! The gateway process: serves callers by routes, in front of endpoints that a list names.
//!
//! A request goes through these steps, one module each:
//! [`head`] finds its route and account, [`body`] takes its body in, [`plain`] or [`model`] sends it
//! to endpoints chosen by [`mimosa_schedule`], [`relay`] passes the answer on.
//!
//! * [`dialect`] is the border to the headers that callers and endpoints use.
//! * [`directory`] holds what control instances told: routes, endpoints, data centres that are out.
//! * [`control_link`] keeps it up to date.
//! * [`connection`] keeps the connections to endpoints, [`caller`] those of callers.

mod answer;
mod body;
mod caller;
mod connection;
mod control_link;
mod directory;
mod dispatch;
mod head;
mod metrics;
mod model;
mod plain;
mod purse;
mod quota;
mod relay;
mod resume;
mod serve;
mod shared;
mod upstream;

pub mod dialect;
pub mod events;
pub mod server;
pub mod settings;

pub use crate::server::Gateway;
pub use crate::server::Running;
pub use crate::settings::Settings;
