//! Withdrawals of keys that were accepted in a partition without a control quorum.
//!
//! Withdrawals are never undone, so any instance can accept one at once, and the sets of two
//! partitions merge by union. Each entry of the data centre refuses the key from then on. The
//! withdrawal is passed to the control instances once they are reachable, and removed here once the
//! configuration contains it.

use std::collections::BTreeMap;

use mimosa_protocol::Configuration;
use mimosa_protocol::KeyId;
use mimosa_protocol::Timestamp;

/// The result of requesting a withdrawal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WithdrawOutcome {
    /// The key is refused at this instance from now on.
    Applied,
    /// The key was withdrawn already.
    AlreadyWithdrawn,
    /// The configuration here has no such key, so this instance refuses it anyway.
    UnknownKey,
}

/// The withdrawals that the configuration does not contain yet, at most one per key, with their
/// times.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Withdrawals(BTreeMap<KeyId, Timestamp>);

impl Withdrawals {
    /// Accepts a withdrawal from an operator.
    pub fn withdraw(
        &mut self,
        now: Timestamp,
        key: &KeyId,
        configuration: &Configuration,
    ) -> WithdrawOutcome {
        match configuration.keys.get(key) {
            None => WithdrawOutcome::UnknownKey,
            Some(known) if known.withdrawn.is_some() => WithdrawOutcome::AlreadyWithdrawn,
            Some(_) if self.0.contains_key(key) => WithdrawOutcome::AlreadyWithdrawn,
            Some(_) => {
                self.0.insert(key.clone(), now);
                WithdrawOutcome::Applied
            }
        }
    }

    /// Merges the withdrawals of a peer; the earlier time of a key wins. Returns the number of keys
    /// that are new here.
    pub fn merge(&mut self, peer: impl IntoIterator<Item = (KeyId, Timestamp)>) -> usize {
        let before = self.0.len();
        for (key, at) in peer {
            let known = self.0.entry(key).or_insert(at);
            *known = at.min(*known);
        }
        self.0.len() - before
    }

    /// Whether a withdrawal of this key is pending here.
    pub fn contains(&self, key: &KeyId) -> bool {
        self.0.contains_key(key)
    }

    /// Removes the withdrawals that the configuration contains.
    pub fn remove_committed(&mut self, configuration: &Configuration) {
        self.0.retain(|key, _| {
            let known = configuration.keys.get(key);
            known.is_none_or(|key| key.withdrawn.is_none())
        });
    }

    /// The withdrawals to pass on, sorted by key.
    pub fn iter(&self) -> impl Iterator<Item = (&KeyId, Timestamp)> {
        self.0.iter().map(|(key, at)| (key, *at))
    }
}
