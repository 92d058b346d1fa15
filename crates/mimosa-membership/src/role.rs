//! Roles of a data centre, each held by one entry that rendezvous hashing picks.

use std::fmt;

use mimosa_protocol::AccountId;
use mimosa_protocol::InstanceId;
use mimosa_protocol::ServiceId;
use mimosa_protocol::data;
use mimosa_protocol::hash::rendezvous_weight;

use crate::view::View;

/// Into how many shards a data centre divides its accounts for rate keeping.
pub const ACCOUNT_SHARDS: u64 = 64;

data! {
    /// A group of accounts that share a rate keeper.
    #[derive(Copy, Hash, PartialOrd, Ord)]
    pub struct Shard(pub u16);

    /// A task that one entry of the data centre does for all of them.
    #[derive(Hash, PartialOrd, Ord)]
    pub enum Role {
        /// Schedules a service.
        Scheduler(ServiceId),
        /// Keeps the rates of a shard of the accounts.
        RateKeeper(Shard),
        /// Mirrors the holds of an entry, and is never that entry itself.
        HoldMonitor(InstanceId),
        /// Holds the data centre's link to the control instances.
        ConfigurationRelay,
    }
}

impl Shard {
    /// The shard of an account: the number of its partition in `mimosa-limit`.
    pub fn of(account: &AccountId) -> Self {
        let weight = rendezvous_weight("limit", account.as_str());
        Self((weight % ACCOUNT_SHARDS) as u16)
    }
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Scheduler(service) => write!(f, "scheduler/{service}"),
            Self::RateKeeper(shard) => write!(f, "keeper/{}", shard.0),
            Self::HoldMonitor(instance) => write!(f, "mirror/{instance}"),
            Self::ConfigurationRelay => f.write_str("relay"),
        }
    }
}

impl View {
    /// The member that holds a role; none where nobody is eligible.
    pub fn holder(&self, role: &Role) -> Option<&InstanceId> {
        let name = role.to_string();
        self.members
            .iter()
            .filter(|(_, member)| member.eligible)
            .map(|(instance, _)| instance)
            .filter(|instance| !role.excludes(instance))
            .max_by_key(|instance| rendezvous_weight(&name, instance.as_str()))
    }
}

impl Role {
    fn excludes(&self, candidate: &InstanceId) -> bool {
        matches!(self, Self::HoldMonitor(owner) if owner == candidate)
    }
}
