//! Decides when a gateway requests a newer routing document, and from which control instance.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use mimosa_protocol::InstanceId;
use mimosa_protocol::Timestamp;

use crate::model::DocumentVersion;

/// Time to wait for a control instance in the own data centre to announce a new document, before it
/// is requested from a remote one. The local instance receives it a round trip after the leader.
pub const LOCAL_WAIT: Duration = Duration::from_millis(150);
/// Time after the first request before another instance is asked; doubles with each further one.
pub const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time between two requests.
pub const MAX_REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// The announced documents that are newer than the current one.
///
/// The waiting time starts when the first of them is announced: a further version does not delay the
/// request, so that versions in quick succession cannot hold it back.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DocumentFetch {
    behind_since: Timestamp,
    holders: BTreeMap<InstanceId, Holder>,
    last_request: Option<Timestamp>,
    /// Requests since the current document was last replaced.
    requests: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Holder {
    version: DocumentVersion,
    is_local: bool,
    asked_at: Option<Timestamp>,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FetchAction {
    /// Request the document of an instance now.
    Request(InstanceId),
    /// Ask again at this time, or after the next announcement.
    WaitUntil(Timestamp),
    /// Nothing newer is known; ask again after the next announcement.
    Idle,
}

impl DocumentFetch {
    /// Records the document that an instance has. `current` is the version of the current document.
    pub fn announce(
        &mut self,
        now: Timestamp,
        instance: &InstanceId,
        is_local: bool,
        version: Option<DocumentVersion>,
        current: Option<DocumentVersion>,
    ) {
        let newer = version.filter(|version| Some(*version) > current);
        let Some(version) = newer else {
            self.forget(instance);
            return;
        };
        if self.holders.is_empty() {
            self.behind_since = now;
        }
        let holder = self.holders.entry(instance.clone()).or_insert(Holder {
            version,
            is_local,
            asked_at: None,
        });
        holder.version = holder.version.max(version);
    }

    /// Removes an instance whose connection was lost.
    pub fn forget(&mut self, instance: &InstanceId) {
        self.holders.remove(instance);
        self.reset_if_current();
    }

    /// Records that the current document was replaced.
    pub fn received(&mut self, current: DocumentVersion) {
        self.holders.retain(|_, holder| holder.version > current);
        self.last_request = None;
        self.requests = 0;
        self.reset_if_current();
    }

    /// Whether an instance has a newer document than the current one.
    pub fn is_behind(&self) -> bool {
        !self.holders.is_empty()
    }

    /// What to do at this time. A returned request counts as sent.
    pub fn next(&mut self, now: Timestamp) -> FetchAction {
        let Some(due) = self.due() else {
            return FetchAction::Idle;
        };
        if now < due {
            return FetchAction::WaitUntil(due);
        }
        let order = |holder: &Holder| (holder.asked_at, !holder.is_local, Reverse(holder.version));
        let next = self.holders.iter_mut().min_by_key(|(_, each)| order(each));
        let Some((instance, holder)) = next else {
            return FetchAction::Idle;
        };
        holder.asked_at = Some(now);
        self.last_request = Some(now);
        self.requests += 1;
        FetchAction::Request(instance.clone())
    }

    fn due(&self) -> Option<Timestamp> {
        let has_local = self.holders.values().any(|holder| holder.is_local);
        match self.last_request {
            _ if self.holders.is_empty() => None,
            Some(at) => {
                let doublings = self.requests.saturating_sub(1).min(8);
                Some(at + (REQUEST_TIMEOUT * (1 << doublings)).min(MAX_REQUEST_TIMEOUT))
            }
            None if has_local => Some(self.behind_since),
            None => Some(self.behind_since + LOCAL_WAIT),
        }
    }

    fn reset_if_current(&mut self) {
        if self.holders.is_empty() {
            *self = Self::default();
        }
    }
}
