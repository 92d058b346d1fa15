//! Settings of a process in TOML. All faults of a file are reported at once, each with its position
//! and advice on how to fix it.

mod control;
mod entry;
mod features;
mod gateway;
mod instance;
mod limits;
mod logging;
mod reader;
mod runtime;
mod settings;
mod value;

pub use crate::control::ControlRouting;
pub use crate::control::ControlSettings;
pub use crate::control::Operator;
pub use crate::control::Replica;
pub use crate::entry::EntryLimits;
pub use crate::entry::EntrySettings;
pub use crate::entry::MembershipTimes;
pub use crate::entry::Peer;
pub use crate::features::PlatformSettings;
pub use crate::gateway::GatewaySettings;
pub use crate::instance::InstanceSettings;
pub use crate::limits::LimitSettings;
pub use crate::logging::LogLevel;
pub use crate::logging::LogSettings;
pub use crate::runtime::RuntimeSettings;
pub use crate::settings::Settings;
pub use crate::value::CallRate;
pub use crate::value::DurationText;
pub use crate::value::Ratio;
pub use crate::value::SizeText;
