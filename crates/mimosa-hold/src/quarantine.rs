//! Recognises requests that crash the endpoints that run them, over resends and entries.
//!
//! A crash is named by the endpoint and the life that ended, so entries that saw the same one
//! count it once. Without earlier suspicion all requests that ran become suspects. A suspect must
//! then run where no other suspect runs; if the endpoint crashes again, only the suspects among
//! those that ran are blamed. A suspect that completes is cleared, and those that it was
//! suspected with become more suspicious.
//!
//! The records of all entries merge in any order: crashes and clearings are only added, and both
//! expire.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use mimosa_protocol::AccountId;
use mimosa_protocol::EndpointId;
use mimosa_protocol::Incarnation;
use mimosa_protocol::RequestId;
use mimosa_protocol::ServiceId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::data;
use xxhash_rust::xxh3::Xxh3;

mod record;

pub use crate::quarantine::record::CrashId;
pub use crate::quarantine::record::Record;

/// Settings of a [`Quarantine`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineSettings {
    /// How long a crash counts.
    pub memory: Duration,
    /// How long a request stays out that ran in two crashes, each time beside other suspects;
    /// then it may run alone.
    pub doubt: Duration,
    /// Records kept; beyond it the least suspicious go.
    pub max_records: usize,
}

impl Default for QuarantineSettings {
    fn default() -> Self {
        Self {
            memory: Duration::from_secs(1_800),
            doubt: Duration::from_secs(60),
            max_records: 4_096,
        }
    }
}

data! {
    /// Names requests with the same content of the same account to the same service.
    #[derive(Copy, Hash, PartialOrd, Ord)]
    #[serde(transparent)]
    pub struct Fingerprint(pub u128);

    /// Whether a request may run.
    #[derive(Copy)]
    pub enum Verdict {
        /// Anywhere.
        Clear,
        /// Only on an endpoint where no other suspect runs.
        Isolated,
        /// Not before this moment.
        Quarantined {
            /// When it may be tried again.
            until: Timestamp,
        },
    }

    /// Records that changed, for other entries.
    #[derive(Default)]
    pub struct Delta {
        /// The records.
        pub records: Vec<(Fingerprint, Record)>,
    }
}

impl Fingerprint {
    /// The fingerprint of a request's content.
    pub fn of(account: Option<&AccountId>, service: &ServiceId, content: &[u8]) -> Self {
        let mut hash = Xxh3::new();
        let account = account.map_or("", AccountId::as_str);
        for part in [account.as_bytes(), service.as_str().as_bytes(), content] {
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        Self(hash.digest128())
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Run {
    fingerprint: Fingerprint,
    place: CrashId,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Entry {
    record: Record,
    changed: u64,
}

/// The suspects that one entry knows, and its own runs.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    settings: QuarantineSettings,
    runs: BTreeMap<RequestId, Run>,
    places: BTreeMap<CrashId, BTreeSet<RequestId>>,
    entries: BTreeMap<Fingerprint, Entry>,
    /// How many are suspected of each crash.
    suspects: BTreeMap<CrashId, usize>,
    changes: u64,
}

impl Quarantine {
    /// No suspects.
    pub fn new(settings: QuarantineSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Whether a request may run now. Resends have the same fingerprint.
    pub fn check(&self, now: Timestamp, fingerprint: Fingerprint) -> Verdict {
        self.entries
            .get(&fingerprint)
            .map_or(Verdict::Clear, |entry| {
                let certain = |id: &CrashId| self.suspects.get(id) == Some(&1);
                entry.record.verdict(now, &self.settings, certain)
            })
    }

    /// Whether a suspect may run at an endpoint: no other suspect of this entry is there.
    pub fn fits(&self, now: Timestamp, fingerprint: Fingerprint, place: &CrashId) -> bool {
        match self.check(now, fingerprint) {
            Verdict::Clear => true,
            Verdict::Quarantined { .. } => false,
            Verdict::Isolated => self
                .running(place)
                .all(|run| run.fingerprint == fingerprint || !self.is_suspect(now, run)),
        }
    }

    /// A request began to run on one life of an endpoint. A request runs in one place at a time
    /// for this purpose: the last that it was sent to.
    pub fn started(
        &mut self,
        request: RequestId,
        fingerprint: Fingerprint,
        endpoint: EndpointId,
        incarnation: Incarnation,
    ) {
        self.stopped(request);
        let place = CrashId {
            endpoint,
            incarnation,
        };
        self.places
            .entry(place.clone())
            .or_default()
            .insert(request);
        self.runs.insert(request, Run { fingerprint, place });
    }

    /// A request no longer runs, for whatever reason but a crash: cancelled, refused, moved on.
    pub fn stopped(&mut self, request: RequestId) {
        let Some(run) = self.runs.remove(&request) else {
            return;
        };
        if let Some(requests) = self.places.get_mut(&run.place) {
            requests.remove(&request);
            if requests.is_empty() {
                self.places.remove(&run.place);
            }
        }
    }

    /// Whether a request runs, as far as this entry knows.
    pub fn is_running(&self, request: RequestId) -> bool {
        self.runs.contains_key(&request)
    }

    /// A request ran to its end: it is cleared of all crashes so far.
    pub fn completed(&mut self, now: Timestamp, request: RequestId) {
        let fingerprint = self.runs.get(&request).map(|run| run.fingerprint);
        self.stopped(request);
        let Some(fingerprint) = fingerprint else {
            return;
        };
        if let Some(entry) = self.entries.get_mut(&fingerprint)
            && entry.record.clear(now)
        {
            self.changes += 1;
            entry.changed = self.changes;
            self.count_suspects();
        }
    }

    /// A life of an endpoint ended without warning. Returns the requests that ran on it; they no
    /// longer run.
    pub fn crashed(
        &mut self,
        now: Timestamp,
        endpoint: EndpointId,
        incarnation: Incarnation,
    ) -> Vec<RequestId> {
        let place = CrashId {
            endpoint,
            incarnation,
        };
        let requests: Vec<RequestId> = self
            .places
            .get(&place)
            .into_iter()
            .flatten()
            .copied()
            .collect();
        let ran: BTreeSet<Fingerprint> = self.running(&place).map(|run| run.fingerprint).collect();
        let suspects: BTreeSet<Fingerprint> = self
            .running(&place)
            .filter(|run| self.is_suspect(now, run))
            .map(|run| run.fingerprint)
            .collect();
        let blamed = if suspects.is_empty() { ran } else { suspects };
        for fingerprint in blamed {
            self.add(now, fingerprint, place.clone());
        }
        self.bound(now);
        requests.iter().for_each(|request| self.stopped(*request));
        requests
    }

    /// Takes in what another entry knows. Returns whether it was news.
    pub fn merge(&mut self, now: Timestamp, delta: &Delta) -> bool {
        let before = self.changes;
        for (fingerprint, record) in &delta.records {
            let entry = self.entries.entry(*fingerprint).or_default();
            if entry.record.merge(record, now, &self.settings) {
                self.changes += 1;
                entry.changed = self.changes;
            }
        }
        self.bound(now);
        self.changes != before
    }

    /// What changed after a point, oldest first and at most so many records, and the point that
    /// it leads to. Points start at zero.
    pub fn delta(&self, after: u64, max: usize) -> (Delta, u64) {
        let mut changed: Vec<(u64, Fingerprint, &Record)> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.changed > after)
            .map(|(fingerprint, entry)| (entry.changed, *fingerprint, &entry.record))
            .collect();
        changed.sort_by_key(|(point, ..)| *point);
        changed.truncate(max);
        let point = changed.last().map_or(after, |(point, ..)| *point);
        let records = changed
            .into_iter()
            .map(|(_, fingerprint, record)| (fingerprint, record.clone()))
            .collect();
        (Delta { records }, point)
    }

    /// Forgets what expired.
    pub fn expire(&mut self, now: Timestamp) {
        let settings = self.settings;
        self.entries.retain(|_, entry| {
            entry.record.expire(now, &settings);
            !entry.record.is_empty()
        });
        self.count_suspects();
    }

    /// Fingerprints with a record.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn running(&self, place: &CrashId) -> impl Iterator<Item = &Run> {
        self.places
            .get(place)
            .into_iter()
            .flatten()
            .filter_map(|request| self.runs.get(request))
    }

    fn is_suspect(&self, now: Timestamp, run: &Run) -> bool {
        self.check(now, run.fingerprint) != Verdict::Clear
    }

    fn add(&mut self, now: Timestamp, fingerprint: Fingerprint, id: CrashId) {
        let entry = self.entries.entry(fingerprint).or_default();
        if entry.record.add(id, now) {
            self.changes += 1;
            entry.changed = self.changes;
        }
    }

    fn count_suspects(&mut self) {
        self.suspects.clear();
        for id in self.entries.values().flat_map(|entry| entry.record.ids()) {
            *self.suspects.entry(id.clone()).or_default() += 1;
        }
    }

    /// Keeps the number of records bounded: the least suspicious go first, the oldest of them.
    fn bound(&mut self, now: Timestamp) {
        if self.entries.len() > self.settings.max_records {
            self.expire(now);
        }
        let excess = self.entries.len().saturating_sub(self.settings.max_records);
        let mut order: Vec<(usize, u64, Fingerprint)> = Vec::new();
        if excess > 0 {
            let rank = |(fingerprint, entry): (&Fingerprint, &Entry)| {
                (entry.record.crashes(), entry.changed, *fingerprint)
            };
            order = self.entries.iter().map(rank).collect();
            order.sort();
        }
        for (.., fingerprint) in order.into_iter().take(excess) {
            self.entries.remove(&fingerprint);
        }
        self.count_suspects();
    }
}
