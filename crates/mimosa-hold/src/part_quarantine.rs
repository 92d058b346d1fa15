//! Identifies parts of prompts that crash endpoints, whatever else the requests with them contain.
//!
//! An endpoint crashes when it starts an answer on such a part. Each run that is lost with its
//! endpoint at the start of its answer counts against the parts of its prompt, and against the
//! request as a whole, which may be sent again. Runs that got further are sound and clear their
//! parts. Sound runs are lost as well when they start beside the cause, so a part is quarantined
//! only if all of these hold:
//!
//! * Several endpoints crashed, each under a run that began after the previous crash. Crashes with
//!   a common cause, such as the loss of a data centre, count once.
//! * Several different requests with the part were lost.
//! * No run with the part was sound since the first of these crashes.
//! * Other runs were sound meanwhile. Otherwise the service fails for all requests.
//!
//! A sound part that occurs in the same requests as the cause has the same crashes, and perhaps one
//! of another cause. A request is rejected only if suspects that it does not contain leave more than
//! one crash of its own unexplained, so that requests with sound parts run and clear them.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use mimosa_protocol::ServiceId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::data;

use crate::quarantine::CrashId;
use crate::quarantine::Fingerprint;

/// Clearings are reported with a delay; a difference up to this is not a new one.
const CLEARING_TOLERANCE: Duration = Duration::from_secs(1);
/// A suspect explains the crashes of another one only if its own runs had not lasted longer than
/// this multiple: the cause of a crash has just begun.
const MAX_AGE_RATIO: u32 = 2;

/// Settings of a [`PartQuarantine`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartQuarantineSettings {
    /// Crashes, and for parts also different requests, after which a suspect is quarantined.
    pub crashes: usize,
    /// Crashes from which a suspect stays quarantined although another one explains its other
    /// crashes: one may have had a cause of its own, such as the loss of a data centre.
    pub unexplained_crashes: usize,
    /// Sound runs of the service since the first crash that a quarantine requires.
    pub sound_runs: u64,
    /// How long a crash counts, and how long a quarantine lasts after the last crash.
    pub retention: Duration,
    /// Crashes from which other instances must know a suspect. Instances that count together what
    /// each of them sees need 1; with a leader that counts, one crash before the quarantine is enough.
    pub sent_crashes: usize,
    /// How long a clearing is sent to other instances.
    pub clearing_retention: Duration,
    /// Suspects sent to other instances; beyond it those with the fewest crashes are left out.
    pub max_sent: usize,
    /// Suspects kept; beyond it those with the fewest crashes are dropped.
    pub max_suspects: usize,
    /// Crashes kept per suspect; beyond it the oldest is dropped.
    pub max_crashes: usize,
}

impl Default for PartQuarantineSettings {
    fn default() -> Self {
        Self {
            crashes: 3,
            unexplained_crashes: 2,
            sound_runs: 2,
            retention: Duration::from_secs(1_800),
            sent_crashes: 2,
            clearing_retention: Duration::from_secs(60),
            max_sent: 256,
            max_suspects: 4_096,
            max_crashes: 16,
        }
    }
}

data! {
    /// What a request has in common with others that may crash endpoints for the same reason.
    #[derive(Default)]
    pub struct RequestParts {
        /// Fingerprint of the whole request, equal if it is sent again.
        pub whole: Fingerprint,
        /// Fingerprints of the parts of its prompt that other requests may contain.
        pub parts: Vec<Fingerprint>,
    }

    /// Suspects, to be sent to other instances. Times are relative, because clocks differ.
    #[derive(Default)]
    pub struct Suspects {
        /// The suspects by fingerprint.
        pub suspects: Vec<(Fingerprint, Suspect)>,
    }

    /// Crashes of one part, or of one request, in a [`Suspects`] message.
    pub struct Suspect {
        /// Service whose endpoints crashed.
        pub service: ServiceId,
        /// The crashes since the last clearing.
        pub crashes: Vec<SuspectCrash>,
        /// Time since the last sound run after crashes; `None` without one.
        pub cleared_for: Option<Duration>,
        /// Whether requests with this suspect are rejected.
        pub is_quarantined: bool,
    }

    /// One crash of a suspect.
    pub struct SuspectCrash {
        /// The process that crashed.
        pub id: CrashId,
        /// Fingerprint of the lost request.
        pub request: Fingerprint,
        /// Time since the crash.
        pub age: Duration,
        /// Time from the start of the lost run to the crash; the shortest of several runs.
        pub ran_for: Duration,
    }
}

impl RequestParts {
    fn fingerprints(&self) -> impl Iterator<Item = Fingerprint> {
        self.parts.iter().copied().chain([self.whole])
    }
}

#[derive(Clone, Debug)]
struct Crash {
    at: Timestamp,
    ran_for: Duration,
    request: Fingerprint,
}

#[derive(Clone, Debug)]
struct Record {
    service: ServiceId,
    crashes: BTreeMap<CrashId, Crash>,
    cleared: Option<Timestamp>,
    /// Sound runs of the service before the first crash.
    sound_runs_before: u64,
    is_quarantined: bool,
}

impl Record {
    fn new(service: ServiceId, sound_runs_before: u64) -> Self {
        Self {
            service,
            crashes: BTreeMap::new(),
            cleared: None,
            sound_runs_before,
            is_quarantined: false,
        }
    }

    fn last_crash(&self) -> Option<Timestamp> {
        self.crashes.values().map(|crash| crash.at).max()
    }

    /// When the quarantine ends; `None` without one.
    fn quarantined_until(&self, settings: &PartQuarantineSettings) -> Option<Timestamp> {
        let last = self.last_crash().filter(|_| self.is_quarantined)?;
        Some(last + settings.retention)
    }

    fn is_quarantined_at(&self, now: Timestamp, settings: &PartQuarantineSettings) -> bool {
        let until = self.quarantined_until(settings);
        until.is_some_and(|until| now < until)
    }

    fn count(&self, fingerprint: Fingerprint) -> usize {
        count_crashes(fingerprint, self.crashes.values())
    }

    /// Whether other instances must know the crashes.
    fn is_relevant(&self, fingerprint: Fingerprint, settings: &PartQuarantineSettings) -> bool {
        self.is_quarantined || self.count(fingerprint) >= settings.sent_crashes
    }

    /// Forgets the crashes up to a sound run. Those that remain may be too few for a quarantine.
    fn clear(
        &mut self,
        at: Timestamp,
        fingerprint: Fingerprint,
        settings: &PartQuarantineSettings,
    ) -> bool {
        let is_new = self
            .cleared
            .is_none_or(|cleared| at > cleared + CLEARING_TOLERANCE);
        let before = self.crashes.len();
        self.crashes.retain(|_, crash| crash.at > at);
        let is_changed = self.crashes.len() != before || is_new;
        if is_changed {
            self.cleared = self.cleared.max(Some(at));
            self.is_quarantined &= self.count(fingerprint) >= settings.crashes;
        }
        is_changed
    }

    /// Adds a crash. Returns whether it was unknown.
    fn add(&mut self, id: CrashId, crash: Crash, max_crashes: usize) -> bool {
        let is_outdated = self.cleared.is_some_and(|cleared| crash.at <= cleared);
        if is_outdated {
            return false;
        }
        if let Some(known) = self.crashes.get_mut(&id) {
            known.ran_for = known.ran_for.min(crash.ran_for);
            return false;
        }
        self.crashes.insert(id, crash);
        if self.crashes.len() > max_crashes {
            let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.at);
            if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
                self.crashes.remove(&oldest);
            }
        }
        true
    }

    /// Whether this suspect may be the cause of the crashes that it has in common with another one: it
    /// has more crashes beside them than the other one, or its runs there had begun as shortly before.
    fn explains_common_crashes(&self, other: &Self) -> bool {
        let common = other.crashes.iter().filter_map(|(id, crash)| {
            let own = self.crashes.get(id)?;
            Some((own.ran_for, crash.ran_for))
        });
        let (own_time, other_time) = common.fold(
            (Duration::ZERO, Duration::ZERO),
            |(own_time, other_time), (own, other)| (own_time + own, other_time + other),
        );
        self.service == other.service
            && (own_time <= other_time * MAX_AGE_RATIO
                || self.separate_from(other) > other.separate_from(self))
    }

    /// Number of separate crashes that the other suspect has no part in.
    fn separate_from(&self, other: &Self) -> usize {
        let crashes = self.crashes.iter();
        let own = crashes.filter(|(id, _)| !other.crashes.contains_key(id));
        separate(own.map(|(_, crash)| crash)).count()
    }

    fn expire(&mut self, now: Timestamp, settings: &PartQuarantineSettings) {
        self.crashes
            .retain(|_, crash| now.since(crash.at) < settings.retention);
        self.cleared = self
            .cleared
            .filter(|at| now.since(*at) < settings.clearing_retention);
        self.is_quarantined &= !self.crashes.is_empty();
    }

    fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.cleared.is_none()
    }

    fn to_suspect(&self, now: Timestamp) -> Suspect {
        let crashes = self.crashes.iter();
        Suspect {
            service: self.service.clone(),
            crashes: crashes
                .map(|(id, crash)| SuspectCrash {
                    id: id.clone(),
                    request: crash.request,
                    age: now.since(crash.at),
                    ran_for: crash.ran_for,
                })
                .collect(),
            cleared_for: self.cleared.map(|at| now.since(at)),
            is_quarantined: self.is_quarantined,
        }
    }
}

/// The crashes of runs that began after the previous one of these, oldest first; the others may have
/// a common cause.
fn separate<'a>(crashes: impl Iterator<Item = &'a Crash>) -> impl Iterator<Item = &'a Crash> {
    let mut crashes: Vec<_> = crashes.collect();
    crashes.sort_by_key(|crash| crash.at);
    let mut last = None;
    crashes.into_iter().filter(move |crash| {
        let is_separate = last.is_none_or(|last| crash.at.minus(crash.ran_for) > last);
        if is_separate {
            last = Some(crash.at);
        }
        is_separate
    })
}

/// Number of separate crashes of a suspect: of different requests for a part, of any for a whole
/// request.
fn count_crashes<'a>(suspect: Fingerprint, crashes: impl Iterator<Item = &'a Crash>) -> usize {
    let requests = separate(crashes).map(|crash| crash.request);
    let (own, other): (Vec<_>, Vec<_>) = requests.partition(|request| *request == suspect);
    let different: BTreeSet<_> = other.into_iter().collect();
    own.len().max(different.len())
}

/// The suspects known to one instance.
#[derive(Clone, Debug, Default)]
pub struct PartQuarantine {
    settings: PartQuarantineSettings,
    records: BTreeMap<Fingerprint, Record>,
    /// The suspects with enough crashes that are not quarantined; few, unlike the records.
    candidates: BTreeSet<Fingerprint>,
    /// Number of sound runs of each service.
    sound_runs: BTreeMap<ServiceId, u64>,
}

impl PartQuarantine {
    /// Creates a quarantine without suspects.
    pub fn new(settings: PartQuarantineSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Until when a request is rejected; `None` if it may run.
    pub fn quarantined_until(&self, now: Timestamp, request: &RequestParts) -> Option<Timestamp> {
        if self.records.is_empty() {
            return None;
        }
        let quarantined = request.fingerprints().filter_map(|fingerprint| {
            let record = self.records.get(&fingerprint)?;
            let until = record.quarantined_until(&self.settings)?;
            let is_rejected =
                now < until && !self.is_explained(now, (fingerprint, record), request);
            is_rejected.then_some(until)
        });
        quarantined.max()
    }

    /// Whether quarantined suspects that a request does not contain explain the crashes of one that
    /// it contains, but for fewer than [`PartQuarantineSettings::unexplained_crashes`].
    fn is_explained(
        &self,
        now: Timestamp,
        (fingerprint, record): (Fingerprint, &Record),
        request: &RequestParts,
    ) -> bool {
        let contained: BTreeSet<_> = request.fingerprints().collect();
        let others = self
            .records
            .iter()
            .filter(|(other, _)| !contained.contains(other));
        let quarantined = others.filter(|(_, other)| other.is_quarantined_at(now, &self.settings));
        let mut unexplained = record.crashes.clone();
        for (_, other) in quarantined {
            if other.explains_common_crashes(record) {
                unexplained.retain(|id, _| !other.crashes.contains_key(id));
            }
        }
        unexplained.len() < record.crashes.len()
            && count_crashes(fingerprint, unexplained.values()) < self.settings.unexplained_crashes
    }

    /// Whether a sound run with these parts clears a suspect, and so must be reported.
    pub fn is_suspect(&self, request: &RequestParts) -> bool {
        !self.records.is_empty()
            && request.fingerprints().any(|fingerprint| {
                let record = self.records.get(&fingerprint);
                record.is_some_and(|record| !record.crashes.is_empty())
            })
    }

    /// Records that a run was lost with its endpoint at the start of its answer, `ran_for` after it
    /// had been sent there. Returns whether [`Self::suspects`] changed.
    pub fn record_lost(
        &mut self,
        now: Timestamp,
        service: &ServiceId,
        request: &RequestParts,
        process: &CrashId,
        ran_for: Duration,
    ) -> bool {
        let sound_runs = self.sound_runs.get(service).copied().unwrap_or_default();
        let mut is_changed = false;
        for fingerprint in request.fingerprints() {
            let record = self
                .records
                .entry(fingerprint)
                .or_insert_with(|| Record::new(service.clone(), sound_runs));
            if record.crashes.is_empty() {
                record.service = service.clone();
                record.sound_runs_before = sound_runs;
            }
            let crash = Crash {
                at: now,
                ran_for,
                request: request.whole,
            };
            let is_new = record.add(process.clone(), crash, self.settings.max_crashes);
            if record.crashes.len() >= self.settings.crashes {
                self.candidates.insert(fingerprint);
            }
            is_changed |= is_new && record.is_relevant(fingerprint, &self.settings);
        }
        self.enforce_limit(now);
        self.update(service) || is_changed
    }

    /// Records that a run with these parts was sound, which clears them. Returns whether
    /// [`Self::suspects`] changed.
    pub fn clear(&mut self, now: Timestamp, request: &RequestParts) -> bool {
        let mut is_changed = false;
        for fingerprint in request.fingerprints() {
            let Some(record) = self.records.get_mut(&fingerprint) else {
                continue;
            };
            if record.crashes.is_empty() {
                continue;
            }
            // Other instances only have to forget what they were sent.
            if record.is_relevant(fingerprint, &self.settings) {
                is_changed |= record.clear(now, fingerprint, &self.settings);
            } else {
                self.records.remove(&fingerprint);
            }
        }
        is_changed
    }

    /// Clears suspects of which another instance saw a sound run at a time of the past. Returns
    /// whether [`Self::suspects`] changed.
    pub fn clear_suspects(
        &mut self,
        sound: impl IntoIterator<Item = (Fingerprint, Timestamp)>,
    ) -> bool {
        let mut is_changed = false;
        for (fingerprint, at) in sound {
            if let Some(record) = self.records.get_mut(&fingerprint) {
                is_changed |= record.clear(at, fingerprint, &self.settings);
            }
        }
        is_changed
    }

    /// Clears suspects whose last sound run is known here, and returns these with its time. Other
    /// instances must know them as well.
    pub fn clear_remembered(&mut self, sound: &RecentSoundRuns) -> Vec<(Fingerprint, Timestamp)> {
        let mut cleared = Vec::new();
        for (fingerprint, record) in &mut self.records {
            let Some(at) = sound.last(*fingerprint) else {
                continue;
            };
            if record.crashes.values().any(|crash| crash.at <= at) {
                record.clear(at, *fingerprint, &self.settings);
                cleared.push((*fingerprint, at));
            }
        }
        cleared
    }

    /// Counts a sound run of a service, with or without suspects. Returns whether [`Self::suspects`]
    /// changed.
    pub fn count_sound_run(&mut self, service: &ServiceId) -> bool {
        match self.sound_runs.get_mut(service) {
            Some(count) => *count += 1,
            None => {
                self.sound_runs.insert(service.clone(), 1);
            }
        }
        self.update(service)
    }

    /// Quarantines the candidates of a service that meet all conditions. Returns whether there are new
    /// quarantined ones.
    fn update(&mut self, service: &ServiceId) -> bool {
        let sound_runs = self.sound_runs.get(service).copied().unwrap_or_default();
        let settings = self.settings;
        let records = &mut self.records;
        let mut is_changed = false;
        self.candidates.retain(|fingerprint| {
            let Some(record) = records.get_mut(fingerprint) else {
                return false;
            };
            if record.crashes.len() < settings.crashes || record.is_quarantined {
                return false;
            }
            let is_due = record.service == *service
                && sound_runs >= record.sound_runs_before + settings.sound_runs
                && record.count(*fingerprint) >= settings.crashes;
            record.is_quarantined = is_due;
            is_changed |= is_due;
            !is_due
        });
        is_changed
    }

    /// Merges the suspects of another instance. Returns whether anything changed.
    pub fn merge(&mut self, now: Timestamp, suspects: &Suspects) -> bool {
        let mut is_changed = false;
        for (fingerprint, suspect) in &suspects.suspects {
            let sound_runs = self.sound_runs.get(&suspect.service).copied();
            let sound_runs = sound_runs.unwrap_or_default();
            let record = self
                .records
                .entry(*fingerprint)
                .or_insert_with(|| Record::new(suspect.service.clone(), sound_runs));
            if let Some(age) = suspect.cleared_for {
                is_changed |= record.clear(now.minus(age), *fingerprint, &self.settings);
            }
            if record.crashes.is_empty() {
                record.sound_runs_before = sound_runs;
            }
            for crash in &suspect.crashes {
                let known = Crash {
                    at: now.minus(crash.age),
                    ran_for: crash.ran_for,
                    request: crash.request,
                };
                is_changed |= record.add(crash.id.clone(), known, self.settings.max_crashes);
            }
            if record.crashes.len() >= self.settings.crashes {
                self.candidates.insert(*fingerprint);
            }
            if suspect.is_quarantined && !record.is_quarantined && !record.crashes.is_empty() {
                record.is_quarantined = true;
                is_changed = true;
            }
        }
        self.enforce_limit(now);
        is_changed
    }

    /// The suspects that other instances must know: those with several crashes, the quarantined ones
    /// and the cleared ones.
    pub fn suspects(&self, now: Timestamp) -> Suspects {
        let settings = &self.settings;
        let records = self.records.iter();
        let mut relevant: Vec<_> = records
            .filter(|(fingerprint, record)| {
                record.cleared.is_some() || record.is_relevant(**fingerprint, settings)
            })
            .collect();
        relevant.sort_by_key(|(_, record)| Reverse((record.is_quarantined, record.crashes.len())));
        relevant.truncate(settings.max_sent);
        let suspects = relevant.into_iter();
        Suspects {
            suspects: suspects
                .map(|(fingerprint, record)| (*fingerprint, record.to_suspect(now)))
                .collect(),
        }
    }

    /// Number of parts and requests with crashes or a clearing.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether nothing has crashes or a clearing.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Number of quarantined parts and requests.
    pub fn quarantined(&self) -> usize {
        let records = self.records.values();
        records.filter(|record| record.is_quarantined).count()
    }

    /// Drops expired crashes and clearings, and records without any.
    pub fn expire(&mut self, now: Timestamp) {
        let settings = self.settings;
        self.records.retain(|_, record| {
            record.expire(now, &settings);
            !record.is_empty()
        });
    }

    /// Limits the number of records. Those with the fewest crashes are dropped first, and the
    /// longest unchanged of these; an eighth at once, as the selection sorts all.
    fn enforce_limit(&mut self, now: Timestamp) {
        let max = self.settings.max_suspects;
        if self.records.len() <= max {
            return;
        }
        self.expire(now);
        let excess = self.records.len().saturating_sub(max - max / 8);
        let rank = |(fingerprint, record): (&Fingerprint, &Record)| {
            (record.crashes.len(), record.last_crash(), *fingerprint)
        };
        let mut order: Vec<_> = self.records.iter().map(rank).collect();
        order.sort_unstable();
        for (.., fingerprint) in order.into_iter().take(excess) {
            self.records.remove(&fingerprint);
        }
    }
}

/// When runs with each prompt part, or of each request without parts, were last sound, for the most
/// recent ones. Tells whether a suspect that was unknown until now was sound after its first crashes.
#[derive(Clone, Debug, Default)]
pub struct RecentSoundRuns {
    newer: HashMap<Fingerprint, Timestamp>,
    older: HashMap<Fingerprint, Timestamp>,
}

impl RecentSoundRuns {
    /// Entries in each of the two halves, of which the older one is dropped when the
    /// newer one is full.
    const HALF_CAPACITY: usize = 1_024;

    /// Records a sound run with these parts. Requests without parts are often equal, unlike prompts.
    pub fn record(&mut self, now: Timestamp, request: &RequestParts) {
        let whole = request.parts.is_empty().then_some(request.whole);
        for part in request.parts.iter().copied().chain(whole) {
            self.newer.insert(part, now);
        }
        if self.newer.len() >= Self::HALF_CAPACITY {
            self.older = std::mem::take(&mut self.newer);
        }
    }

    fn last(&self, part: Fingerprint) -> Option<Timestamp> {
        let last = self.newer.get(&part).or_else(|| self.older.get(&part));
        last.copied()
    }
}
