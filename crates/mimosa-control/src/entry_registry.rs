//! Which entry follows which revision, as far as this control instance hears.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use mimosa_protocol::DataCentreId;
use mimosa_protocol::Incarnation;
use mimosa_protocol::InstanceId;
use mimosa_protocol::Revision;
use mimosa_protocol::Timestamp;
use mimosa_protocol::data;
use mimosa_protocol::message::ListedEntry;
use tokio::sync::Notify;

/// Silence after which an entry counts as not connected. Longer than the time between two full
/// reports of a control instance to the others.
pub const SILENCE: Duration = Duration::from_secs(12);

data! {
    /// What is known of an entry.
    pub struct EntryReport {
        /// Its life.
        pub incarnation: Incarnation,
        /// Where it stands.
        pub data_centre: DataCentreId,
        /// The revision in force there.
        pub revision: Revision,
        /// Whether it is connected to some control instance.
        pub connected: bool,
        /// When it was last heard.
        pub last_heard_at: Timestamp,
        /// Where it listens for other entries, once it said so.
        pub address: Option<SocketAddr>,
    }
}

/// The entries that this instance knows.
#[derive(Debug, Default)]
pub struct EntryRegistry {
    entries: Mutex<BTreeMap<InstanceId, Known>>,
    changed: Notify,
    version: AtomicU64,
}

/// A report and whether this instance heard it itself.
#[derive(Clone, Debug)]
struct Known {
    report: EntryReport,
    is_own: bool,
}

impl EntryRegistry {
    /// An entry connected. Returns whether it may: an earlier life of the same instance may not.
    pub fn register(&self, instance: &InstanceId, report: EntryReport) -> bool {
        let mut entries = self.lock();
        let older = entries
            .get(instance)
            .is_some_and(|known| known.report.incarnation > report.incarnation);
        if !older {
            let is_own = true;
            entries.insert(instance.clone(), Known { report, is_own });
            self.version.fetch_add(1, Ordering::Relaxed);
        }
        !older
    }

    /// An entry said where it listens for other entries.
    pub fn listens(&self, instance: &InstanceId, incarnation: Incarnation, address: SocketAddr) {
        if let Some(known) = life(&mut self.lock(), instance, incarnation) {
            known.address = Some(address);
        }
        self.version.fetch_add(1, Ordering::Relaxed);
    }

    /// Rises whenever [`EntryRegistry::listed`] may have changed, but for entries that fell silent.
    pub fn version(&self) -> u64 {
        self.version.load(Ordering::Relaxed)
    }

    /// The connected entries, for each other.
    pub fn listed(&self, now: Timestamp) -> Vec<ListedEntry> {
        let reports = self.reports(now).into_iter();
        reports
            .filter(|(_, report)| report.connected)
            .filter_map(|(instance, report)| {
                Some(ListedEntry {
                    instance,
                    data_centre: report.data_centre,
                    address: report.address?,
                })
            })
            .collect()
    }

    /// An entry reported the revision in force there.
    pub fn reported(
        &self,
        instance: &InstanceId,
        incarnation: Incarnation,
        at: (Timestamp, Revision),
    ) {
        if let Some(known) = life(&mut self.lock(), instance, incarnation) {
            known.last_heard_at = at.0;
            known.revision = at.1;
            known.connected = true;
        }
        self.changed.notify_waiters();
    }

    /// Waits until a revision is in force at every connected entry, but no longer than a time.
    pub async fn wait_for(&self, revision: Revision, longest: Duration) {
        let all_follow = async {
            loop {
                let changed = self.changed.notified();
                if self.is_in_force(revision) {
                    return;
                }
                changed.await;
            }
        };
        // Running out of time is no failure: the answer names the entries that lack it.
        let _ = tokio::time::timeout(longest, all_follow).await;
    }

    fn is_in_force(&self, revision: Revision) -> bool {
        let entries = self.lock();
        let reports = entries.values().map(|known| &known.report);
        let mut connected = reports.filter(|report| report.connected);
        connected.all(|report| report.revision >= revision)
    }

    /// An entry's connection ended.
    pub fn disconnected(&self, instance: &InstanceId, incarnation: Incarnation) {
        if let Some(known) = life(&mut self.lock(), instance, incarnation) {
            known.connected = false;
        }
        self.version.fetch_add(1, Ordering::Relaxed);
        self.changed.notify_waiters();
    }

    /// Takes in what another control instance heard; the newer report of each entry stays.
    pub fn merge(&self, others: impl IntoIterator<Item = (InstanceId, EntryReport)>) {
        let mut entries = self.lock();
        others.into_iter().for_each(|(instance, report)| {
            let newer = entries.get(&instance).is_none_or(|known| {
                let known = &known.report;
                (report.incarnation, report.last_heard_at)
                    > (known.incarnation, known.last_heard_at)
            });
            if newer {
                let is_own = false;
                entries.insert(instance, Known { report, is_own });
            }
        });
        drop(entries);
        self.version.fetch_add(1, Ordering::Relaxed);
        self.changed.notify_waiters();
    }

    /// Forgets entries that were not heard for long.
    pub fn forget(&self, now: Timestamp, after: Duration) {
        self.lock()
            .retain(|_, known| now.since(known.report.last_heard_at) < after);
    }

    /// Everything known, by instance. An entry that was not heard for [`SILENCE`] counts as not
    /// connected: the control instance that it was connected to may be gone.
    pub fn reports(&self, now: Timestamp) -> BTreeMap<InstanceId, EntryReport> {
        self.lock()
            .iter()
            .map(|(instance, known)| (instance.clone(), known.report.clone()))
            .map(|(instance, report)| {
                let connected = report.connected && now.since(report.last_heard_at) < SILENCE;
                (
                    instance,
                    EntryReport {
                        connected,
                        ..report
                    },
                )
            })
            .collect()
    }

    /// What this instance heard itself.
    pub fn local_reports(&self) -> BTreeMap<InstanceId, EntryReport> {
        self.lock()
            .iter()
            .filter(|(_, known)| known.is_own)
            .map(|(instance, known)| (instance.clone(), known.report.clone()))
            .collect()
    }

    /// Entries that are known and not connected.
    pub fn unreachable(&self, now: Timestamp) -> Vec<InstanceId> {
        self.reports(now)
            .into_iter()
            .filter(|(_, report)| !report.connected)
            .map(|(instance, _)| instance)
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<InstanceId, Known>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn life<'a>(
    entries: &'a mut BTreeMap<InstanceId, Known>,
    instance: &InstanceId,
    incarnation: Incarnation,
) -> Option<&'a mut EntryReport> {
    entries
        .get_mut(instance)
        .filter(|known| known.is_own && known.report.incarnation == incarnation)
        .map(|known| &mut known.report)
}
