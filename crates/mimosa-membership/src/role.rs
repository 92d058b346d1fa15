//! Roles of a data centre. Rendezvous hashing assigns each role to one member of the view.

use std::fmt;

use mimosa_protocol::AccountId;
use mimosa_protocol::InstanceId;
use mimosa_protocol::ServiceId;
use mimosa_protocol::data;
use mimosa_protocol::hash::rendezvous_weight;

use crate::view::View;

/// Number of shards that the accounts of a data centre are divided into for rate limiting. Equals
/// the number of partitions in `mimosa-limit`.
pub const ACCOUNT_SHARDS: u64 = 64;

data! {
    /// A group of accounts whose rates the same entry limits; below [`ACCOUNT_SHARDS`].
    #[derive(Copy, Hash, PartialOrd, Ord)]
    pub struct Shard(pub u16);

    /// A task that one entry performs for the whole data centre.
    #[derive(Hash, PartialOrd, Ord)]
    pub enum Role {
        /// Schedules the requests of a service.
        Scheduler(ServiceId),
        /// Limits the rates of the accounts of a shard.
        RateKeeper(Shard),
        /// Registers the holds of this entry and cancels them if it fails; never assigned to the
        /// entry itself.
        HoldMonitor(InstanceId),
        /// Keeps the connection of the data centre to the control instances.
        ConfigurationRelay,
    }
}

impl Shard {
    /// The shard of an account. Equals the number of its partition in `mimosa-limit`.
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
    /// The member that holds a role; `None` if no member is eligible. Hashes the displayed name of
    /// the role, so a change of that text moves the role.
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
