//! Membership of a data centre: heartbeats, the platform's instance list, roles, leases.
//!
//! * [`membership`] runs the membership of one data centre in one entry: [`Membership`].
//! * [`peers`] combines heartbeats with the platform's list; [`view`] is what entries agreed on.
//! * [`agreement`] and `view_change` choose the next view; [`lease`] limits when a role is used.
//! * [`role`] lists the roles and assigns them by rendezvous hashing.
//! * [`relay`] distributes the configuration within a data centre.
//! * [`freshness`] decides whether an entry's configuration is fresh enough to honour keys.
//! * [`withdrawal`] holds the key withdrawals accepted while the control quorum is unreachable.

pub mod agreement;
pub mod freshness;
pub mod lease;
pub mod membership;
pub mod message;
pub mod peers;
mod receive;
pub mod relay;
pub mod role;
pub mod settings;
pub mod view;
mod view_change;
pub mod withdrawal;

pub use crate::lease::NotActing;
pub use crate::membership::Action;
pub use crate::membership::Event;
pub use crate::membership::Membership;
pub use crate::role::Role;
pub use crate::role::Shard;
pub use crate::settings::Settings;
pub use crate::view::Identity;
pub use crate::view::View;
