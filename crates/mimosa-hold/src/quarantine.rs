//! Identifies requests that crash the endpoints that run them, also when they are sent again or
//! through other entries.
//!
//! A crash is identified by the endpoint and the incarnation that ended, so that entries that saw
//! the same crash count it once. If none of the requests that ran was a suspect before, all of them
//! become suspects. A suspect then runs only where no other suspect runs; if the endpoint crashes
//! again, the crash is attributed only to the suspects among the requests that ran. A suspect that
//! completes is cleared, which leaves fewer suspects for its crashes.
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
use xxhash_rust::xxh3::xxh3_128;

mod record;

pub use crate::quarantine::record::CrashId;
pub use crate::quarantine::record::Record;

/// Settings of a [`Quarantine`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineSettings {
    /// How long a crash counts against a request, and how long a request is quarantined after two
    /// crashes if it is the only suspect of one of them.
    pub crash_retention: Duration,
    /// How long a request is quarantined after two crashes that each have other suspects as well;
    /// after that it may run isolated.
    pub ambiguous_quarantine: Duration,
    /// Records kept; beyond it those with the fewest crashes are dropped.
    pub max_records: usize,
}

impl Default for QuarantineSettings {
    fn default() -> Self {
        Self {
            crash_retention: Duration::from_secs(1_800),
            ambiguous_quarantine: Duration::from_secs(60),
            max_records: 4_096,
        }
    }
}

data! {
    /// Identifies requests with the same account, service and content.
    #[derive(Copy, Default, Hash, PartialOrd, Ord)]
    #[serde(transparent)]
    pub struct Fingerprint(pub u128);

    /// Whether a request may run.
    #[derive(Copy)]
    pub enum Verdict {
        /// It may run on any endpoint.
        Clear,
        /// It may run only on an endpoint where no other suspect runs.
        Isolated,
        /// It may not run for now.
        Quarantined {
            /// When the quarantine ends.
            until: Timestamp,
        },
    }

    /// Changed records, to be sent to other entries.
    #[derive(Default)]
    pub struct Delta {
        /// The changed records by fingerprint.
        pub records: Vec<(Fingerprint, Record)>,
    }
}

impl Fingerprint {
    /// Computes the fingerprint of a request: a 128-bit XXH3 hash, equal at all entries.
    pub fn of(account: Option<&AccountId>, service: &ServiceId, content: &[u8]) -> Self {
        Self::of_slices(account, service, &[content])
    }

    /// The fingerprint of a request whose content is in several places.
    pub fn of_slices(account: Option<&AccountId>, service: &ServiceId, content: &[&[u8]]) -> Self {
        let mut hash = Xxh3::new();
        let account = account.map_or("", AccountId::as_str);
        let caller = [account.as_bytes(), service.as_str().as_bytes()];
        for part in caller.iter().chain(content) {
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        Self(hash.digest128())
    }

    /// Computes the fingerprint of a part that several requests may contain, of any account.
    pub fn of_part(content: &[u8]) -> Self {
        Self(xxh3_128(content))
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Run {
    fingerprint: Fingerprint,
    process: CrashId,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct TrackedRecord {
    record: Record,
    /// Position of the last change, as in [`Quarantine::delta`].
    position: u64,
}

/// The suspects known to one entry, and the requests it runs.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    settings: QuarantineSettings,
    runs: BTreeMap<RequestId, Run>,
    processes: BTreeMap<CrashId, BTreeSet<RequestId>>,
    records: BTreeMap<Fingerprint, TrackedRecord>,
    /// Number of suspects of each crash.
    suspect_counts: BTreeMap<CrashId, usize>,
    /// Position of the newest change.
    last_position: u64,
}

impl Quarantine {
    /// Creates a quarantine without suspects or running requests.
    pub fn new(settings: QuarantineSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Decides whether a request may run now. A request that is sent again has the same
    /// fingerprint.
    pub fn check(&self, now: Timestamp, fingerprint: Fingerprint) -> Verdict {
        self.records
            .get(&fingerprint)
            .map_or(Verdict::Clear, |tracked| {
                let is_only_suspect = |id: &CrashId| self.suspect_counts.get(id) == Some(&1);
                tracked.record.verdict(now, &self.settings, is_only_suspect)
            })
    }

    /// Whether a request may run in a process of an endpoint. A suspect may if this entry runs no
    /// other suspect there.
    pub fn may_run_at(&self, now: Timestamp, fingerprint: Fingerprint, process: &CrashId) -> bool {
        match self.check(now, fingerprint) {
            Verdict::Clear => true,
            Verdict::Quarantined { .. } => false,
            Verdict::Isolated => self
                .running(process)
                .all(|run| run.fingerprint == fingerprint || !self.is_suspect(now, run)),
        }
    }

    /// Records that a request began to run on an incarnation of an endpoint. A request counts as
    /// running only at the endpoint it was last sent to.
    pub fn started(
        &mut self,
        request: RequestId,
        fingerprint: Fingerprint,
        endpoint: EndpointId,
        incarnation: Incarnation,
    ) {
        self.stopped(request);
        let process = CrashId {
            endpoint,
            incarnation,
        };
        self.processes
            .entry(process.clone())
            .or_default()
            .insert(request);
        self.runs.insert(
            request,
            Run {
                fingerprint,
                process,
            },
        );
    }

    /// Records that a request no longer runs for any reason but a crash, for example because it was
    /// cancelled, refused or moved.
    pub fn stopped(&mut self, request: RequestId) {
        let Some(run) = self.runs.remove(&request) else {
            return;
        };
        if let Some(requests) = self.processes.get_mut(&run.process) {
            requests.remove(&request);
            if requests.is_empty() {
                self.processes.remove(&run.process);
            }
        }
    }

    /// Whether this entry counts a request as running.
    pub fn is_running(&self, request: RequestId) -> bool {
        self.runs.contains_key(&request)
    }

    /// Records that a request completed, which clears it of all crashes so far.
    pub fn completed(&mut self, now: Timestamp, request: RequestId) {
        let fingerprint = self.runs.get(&request).map(|run| run.fingerprint);
        self.stopped(request);
        let Some(fingerprint) = fingerprint else {
            return;
        };
        if let Some(tracked) = self.records.get_mut(&fingerprint)
            && tracked.record.clear(now)
        {
            self.last_position += 1;
            tracked.position = self.last_position;
            self.recount_suspects();
        }
    }

    /// Records the crash of an incarnation of an endpoint. Returns the requests that ran on it,
    /// which no longer count as running.
    pub fn crashed(
        &mut self,
        now: Timestamp,
        endpoint: EndpointId,
        incarnation: Incarnation,
    ) -> Vec<RequestId> {
        let process = CrashId {
            endpoint,
            incarnation,
        };
        let requests: Vec<RequestId> = self
            .processes
            .get(&process)
            .into_iter()
            .flatten()
            .copied()
            .collect();
        let ran: BTreeSet<Fingerprint> =
            self.running(&process).map(|run| run.fingerprint).collect();
        let suspects: BTreeSet<Fingerprint> = self
            .running(&process)
            .filter(|run| self.is_suspect(now, run))
            .map(|run| run.fingerprint)
            .collect();
        let attributed = if suspects.is_empty() { ran } else { suspects };
        for fingerprint in attributed {
            self.add(now, fingerprint, process.clone());
        }
        self.enforce_limit(now);
        requests.iter().for_each(|request| self.stopped(*request));
        requests
    }

    /// Merges the records of another entry. Returns whether anything changed.
    pub fn merge(&mut self, now: Timestamp, delta: &Delta) -> bool {
        let before = self.last_position;
        for (fingerprint, record) in &delta.records {
            let tracked = self.records.entry(*fingerprint).or_default();
            if tracked.record.merge(record, now, &self.settings) {
                self.last_position += 1;
                tracked.position = self.last_position;
            }
        }
        self.enforce_limit(now);
        self.last_position != before
    }

    /// Returns up to `max` records changed after a position, oldest change first, and the position
    /// reached. Positions start at zero.
    pub fn delta(&self, after: u64, max: usize) -> (Delta, u64) {
        let mut changed: Vec<(u64, Fingerprint, &Record)> = self
            .records
            .iter()
            .filter(|(_, tracked)| tracked.position > after)
            .map(|(fingerprint, tracked)| (tracked.position, *fingerprint, &tracked.record))
            .collect();
        changed.sort_by_key(|(position, ..)| *position);
        changed.truncate(max);
        let position = changed.last().map_or(after, |(position, ..)| *position);
        let records = changed
            .into_iter()
            .map(|(_, fingerprint, record)| (fingerprint, record.clone()))
            .collect();
        (Delta { records }, position)
    }

    /// Drops expired crashes and clearings, and records without any.
    pub fn expire(&mut self, now: Timestamp) {
        let settings = self.settings;
        self.records.retain(|_, tracked| {
            tracked.record.expire(now, &settings);
            !tracked.record.is_empty()
        });
        self.recount_suspects();
    }

    /// Number of fingerprints with a record.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no fingerprint has a record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn running(&self, process: &CrashId) -> impl Iterator<Item = &Run> {
        self.processes
            .get(process)
            .into_iter()
            .flatten()
            .filter_map(|request| self.runs.get(request))
    }

    fn is_suspect(&self, now: Timestamp, run: &Run) -> bool {
        self.check(now, run.fingerprint) != Verdict::Clear
    }

    fn add(&mut self, now: Timestamp, fingerprint: Fingerprint, id: CrashId) {
        let tracked = self.records.entry(fingerprint).or_default();
        if tracked.record.add(id, now) {
            self.last_position += 1;
            tracked.position = self.last_position;
        }
    }

    fn recount_suspects(&mut self) {
        self.suspect_counts.clear();
        for id in self
            .records
            .values()
            .flat_map(|tracked| tracked.record.crash_ids())
        {
            *self.suspect_counts.entry(id.clone()).or_default() += 1;
        }
    }

    /// Limits the number of records. Those with the fewest crashes are dropped first, and the least
    /// recently changed of these.
    fn enforce_limit(&mut self, now: Timestamp) {
        if self.records.len() > self.settings.max_records {
            self.expire(now);
        }
        let excess = self.records.len().saturating_sub(self.settings.max_records);
        let mut order: Vec<(usize, u64, Fingerprint)> = Vec::new();
        if excess > 0 {
            let rank = |(fingerprint, tracked): (&Fingerprint, &TrackedRecord)| {
                (tracked.record.crash_count(), tracked.position, *fingerprint)
            };
            order = self.records.iter().map(rank).collect();
            order.sort();
        }
        for (.., fingerprint) in order.into_iter().take(excess) {
            self.records.remove(&fingerprint);
        }
        self.recount_suspects();
    }
}
