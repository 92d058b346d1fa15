//! Stand-ins for clients, workers and the platform, and the processes of a small deployment.
//!
//! Only the standard library is used, so that nothing has to be fetched for the build.

pub mod deployment;
pub mod http;
pub mod list;
pub mod proxy;
pub mod record;
pub mod worker;
