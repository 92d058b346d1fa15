//! Heartbeats, the platform list joined with them, roles by rendezvous hashing, leases.
//!
//! * [`roster`] runs the membership of one data centre in one entry: [`Membership`].
//! * [`peers`] joins heartbeats with the platform's list; [`view`] is what the entries agreed on.
//! * [`agreement`] and [`succession`] choose the next view; [`lease`] bounds when a role is acted in.
//! * [`role`] lists the roles and picks their holders.
//! * [`relay`] spreads the configuration in a data centre.
//! * [`freshness`] decides whether an entry's table is fresh enough to honour keys.
//! * [`withdrawal`] holds the withdrawals that a cut-off part accepted.

pub mod agreement;
pub mod freshness;
pub mod lease;
pub mod message;
pub mod peers;
mod receive;
pub mod relay;
pub mod role;
pub mod roster;
pub mod settings;
mod succession;
pub mod view;
pub mod withdrawal;

pub use crate::lease::NotActing;
pub use crate::role::Role;
pub use crate::role::Shard;
pub use crate::roster::Action;
pub use crate::roster::Event;
pub use crate::roster::Membership;
pub use crate::settings::Settings;
pub use crate::view::Identity;
pub use crate::view::View;
