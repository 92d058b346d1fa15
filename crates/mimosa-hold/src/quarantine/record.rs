//! What is known about one fingerprint.

use std::collections::BTreeMap;

use mimosa_protocol::EndpointId;
use mimosa_protocol::Incarnation;
use mimosa_protocol::Timestamp;
use mimosa_protocol::data;

use crate::quarantine::QuarantineSettings;
use crate::quarantine::Verdict;

/// Crashes kept for one fingerprint.
const MAX_CRASHES: usize = 4;
/// Crashes after which a request is out.
const CRASHES: usize = 2;

data! {
    /// Names a crash: the life of an endpoint that ended.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct CrashId {
        /// The endpoint.
        pub endpoint: EndpointId,
        /// The life.
        pub incarnation: Incarnation,
    }

    /// What is known about one fingerprint. Merges in any order and any number of times.
    #[derive(Default)]
    pub struct Record {
        crashes: BTreeMap<CrashId, Timestamp>,
        cleared: Option<Timestamp>,
    }
}

impl Record {
    /// Crashes that are remembered.
    pub fn crashes(&self) -> usize {
        self.crashes.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.cleared.is_none()
    }

    /// The crashes that it is suspected of.
    pub fn ids(&self) -> impl Iterator<Item = &CrashId> {
        self.crashes.keys()
    }

    /// Adds a crash. The earliest sighting counts. Returns whether anything changed.
    pub(super) fn add(&mut self, id: CrashId, at: Timestamp) -> bool {
        if self.cleared.is_some_and(|cleared| at <= cleared) {
            return false;
        }
        let known = self.crashes.get(&id).copied();
        let full = known.is_none() && self.crashes.len() >= MAX_CRASHES;
        if full || known.is_some_and(|known| known <= at) {
            return false;
        }
        self.crashes.insert(id, at);
        true
    }

    /// Clears it of all crashes up to a moment. Returns whether anything changed.
    pub(super) fn clear(&mut self, now: Timestamp) -> bool {
        if self.crashes.is_empty() {
            return false;
        }
        self.cleared = self.cleared.max(Some(now));
        self.crashes.retain(|_, at| *at > now);
        true
    }

    /// Takes in another record of the same fingerprint. Returns whether anything changed.
    pub(super) fn merge(
        &mut self,
        other: &Self,
        now: Timestamp,
        settings: &QuarantineSettings,
    ) -> bool {
        let before = self.clone();
        self.cleared = self.cleared.max(other.cleared);
        let cleared = self.cleared;
        self.crashes
            .retain(|_, at| cleared.is_none_or(|cleared| *at > cleared));
        for (id, at) in &other.crashes {
            self.add(id.clone(), *at);
        }
        self.expire(now, settings);
        *self != before
    }

    /// Forgets what expired.
    pub(super) fn expire(&mut self, now: Timestamp, settings: &QuarantineSettings) {
        self.crashes
            .retain(|_, at| now.since(*at) < settings.memory);
        self.cleared = self
            .cleared
            .filter(|cleared| now.since(*cleared) < settings.memory);
    }

    /// Whether a request with this record may run. `certain` tells of a crash whether nothing
    /// else is suspected of it.
    pub(super) fn verdict(
        &self,
        now: Timestamp,
        settings: &QuarantineSettings,
        certain: impl Fn(&CrashId) -> bool,
    ) -> Verdict {
        let counted: Vec<(&CrashId, Timestamp)> = self
            .crashes
            .iter()
            .map(|(id, at)| (id, *at))
            .filter(|(_, at)| now.since(*at) < settings.memory)
            .collect();
        let Some(last) = counted.iter().map(|(_, at)| *at).max() else {
            return Verdict::Clear;
        };
        let hold = if counted.iter().any(|(id, _)| certain(id)) {
            settings.memory
        } else {
            settings.doubt
        };
        let until = last + hold;
        if counted.len() < CRASHES || now >= until {
            Verdict::Isolated
        } else {
            Verdict::Quarantined { until }
        }
    }
}
