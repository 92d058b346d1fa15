//! Waiting requests as the shares see them, and their ranks.

use std::cmp::Ordering;

use mimosa_protocol::AccountId;
use mimosa_protocol::Timestamp;

/// A waiting request.
#[derive(Clone, Debug)]
pub struct Waiting<'a> {
    /// Account that is charged; requests without one share the charges.
    pub account: &'a Option<AccountId>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Whether it has waited so long that its priority no longer decides.
    pub is_urgent: bool,
    /// Expected cost in token-seconds.
    pub cost: f64,
    /// Whether it will miss its target.
    pub is_late: bool,
    /// Whether an endpoint holds its KV cache, which expires soon.
    pub has_kv_cache: bool,
    /// Whether its client was refused before and returned when it was told to.
    pub is_returning: bool,
    /// Latency target of the first output.
    pub target: Timestamp,
}

/// Position of a request in the queue; lower ranks are placed first. Requests that can meet their
/// target come first, then those with a KV cache, because the work for it would be lost to all
/// accounts. Then the priority decides and, within a priority, the share of the account.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rank {
    pub(super) is_late: bool,
    pub(super) has_no_cache: bool,
    pub(super) priority: u8,
    /// Tag of the account at the start of the request, relative to the virtual time.
    pub(super) start: f64,
    pub(super) target: Timestamp,
}

impl Waiting<'_> {
    pub(super) fn rank(&self, start: f64) -> Rank {
        Rank {
            is_late: self.is_late,
            has_no_cache: !self.has_kv_cache,
            priority: if self.is_urgent { 0 } else { self.priority },
            start,
            target: self.target,
        }
    }

    pub(super) fn has_same_share(&self, other: &Self) -> bool {
        self.priority == other.priority && self.account == other.account
    }

    /// Groups requests by share. Those of one account are in the order in which they are placed:
    /// those in time, those with a KV cache, clients that returned as told, then by target.
    pub(super) fn compare_within_account(&self, other: &Self) -> Ordering {
        let key = |each: &Self| {
            (
                each.is_late,
                !each.has_kv_cache,
                !each.is_returning,
                each.target,
            )
        };
        let shares = self.priority.cmp(&other.priority);
        shares
            .then_with(|| self.account.cmp(other.account))
            .then_with(|| key(self).cmp(&key(other)))
    }
}

impl PartialEq for Rank {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Rank {}

impl PartialOrd for Rank {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Rank {
    fn cmp(&self, other: &Self) -> Ordering {
        let key = |each: &Self| (each.is_late, each.has_no_cache, each.priority);
        key(self)
            .cmp(&key(other))
            .then_with(|| self.start.total_cmp(&other.start))
            .then_with(|| self.target.cmp(&other.target))
    }
}
