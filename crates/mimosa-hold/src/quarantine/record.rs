//! The crash record of one fingerprint.

use std::collections::BTreeMap;

use mimosa_protocol::EndpointId;
use mimosa_protocol::Incarnation;
use mimosa_protocol::Timestamp;
use mimosa_protocol::data;

use crate::quarantine::QuarantineSettings;
use crate::quarantine::Verdict;

/// Crashes kept per fingerprint; further ones are ignored.
const MAX_CRASHES: usize = 4;
/// Crashes after which a request is quarantined.
const QUARANTINE_CRASHES: usize = 2;

data! {
    /// Identifies a process of an endpoint and its crash: each incarnation can crash only once.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct CrashId {
        /// The endpoint that runs, or ran, the process.
        pub endpoint: EndpointId,
        /// The incarnation of the process.
        pub incarnation: Incarnation,
    }

    /// The crashes and the last clearing of one fingerprint. Records merge in any order and any
    /// number of times.
    #[derive(Default)]
    pub struct Record {
        crashes: BTreeMap<CrashId, Timestamp>,
        cleared: Option<Timestamp>,
    }
}

impl Record {
    /// Number of crashes in the record, including expired ones that were not dropped yet.
    pub fn crash_count(&self) -> usize {
        self.crashes.len()
    }

    /// Whether there are neither crashes nor a clearing.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.cleared.is_none()
    }

    /// The crashes in the record, including expired ones that were not dropped yet.
    pub fn crash_ids(&self) -> impl Iterator<Item = &CrashId> {
        self.crashes.keys()
    }

    /// Adds a crash; of several times the earliest counts. Returns whether anything changed.
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

    /// Removes all crashes up to `now`. Returns whether anything changed.
    pub(super) fn clear(&mut self, now: Timestamp) -> bool {
        if self.crashes.is_empty() {
            return false;
        }
        self.cleared = self.cleared.max(Some(now));
        self.crashes.retain(|_, at| *at > now);
        true
    }

    /// Merges another record of the same fingerprint. Returns whether anything changed.
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

    /// Drops expired crashes and an expired clearing.
    pub(super) fn expire(&mut self, now: Timestamp, settings: &QuarantineSettings) {
        self.crashes
            .retain(|_, at| now.since(*at) < settings.crash_retention);
        self.cleared = self
            .cleared
            .filter(|cleared| now.since(*cleared) < settings.crash_retention);
    }

    /// Decides whether a request with this record may run. `is_only_suspect` tells whether a crash
    /// has no other suspect.
    pub(super) fn verdict(
        &self,
        now: Timestamp,
        settings: &QuarantineSettings,
        is_only_suspect: impl Fn(&CrashId) -> bool,
    ) -> Verdict {
        let counted: Vec<(&CrashId, Timestamp)> = self
            .crashes
            .iter()
            .map(|(id, at)| (id, *at))
            .filter(|(_, at)| now.since(*at) < settings.crash_retention)
            .collect();
        let Some(last) = counted.iter().map(|(_, at)| *at).max() else {
            return Verdict::Clear;
        };
        let duration = if counted.iter().any(|(id, _)| is_only_suspect(id)) {
            settings.crash_retention
        } else {
            settings.ambiguous_quarantine
        };
        let until = last + duration;
        if counted.len() < QUARANTINE_CRASHES || now >= until {
            Verdict::Isolated
        } else {
            Verdict::Quarantined { until }
        }
    }
}
