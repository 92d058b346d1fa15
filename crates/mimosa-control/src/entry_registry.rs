//! The entries known to this control instance and the revision in force at each.

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

/// Time without a report after which an entry counts as disconnected. Longer than the interval of
/// the full reports between control instances.
pub const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(12);

data! {
    /// What an entry last reported, sent between control instances.
    pub struct EntryReport {
        /// The incarnation of its process. A report of a later one replaces this one.
        pub incarnation: Incarnation,
        /// The data centre that it runs in.
        pub data_centre: DataCentreId,
        /// The revision of the configuration by which it decides.
        pub revision: Revision,
        /// Whether it is connected to any control instance.
        pub connected: bool,
        /// When a control instance last received its revision.
        pub last_heard_at: Timestamp,
        /// Where it listens for other entries, once reported.
        pub address: Option<SocketAddr>,
    }
}

/// The latest report of each known entry.
#[derive(Debug, Default)]
pub struct EntryRegistry {
    entries: Mutex<BTreeMap<InstanceId, RegisteredEntry>>,
    changed: Notify,
    version: AtomicU64,
}

#[derive(Clone, Debug)]
struct RegisteredEntry {
    report: EntryReport,
    /// Whether the entry reported to this instance directly.
    is_local: bool,
}

impl EntryRegistry {
    /// Registers a connecting entry. Returns false if a later incarnation of the instance is known;
    /// the connection must then be refused.
    pub fn register(&self, instance: &InstanceId, report: EntryReport) -> bool {
        let mut entries = self.lock();
        let is_stale = entries
            .get(instance)
            .is_some_and(|entry| entry.report.incarnation > report.incarnation);
        if !is_stale {
            let is_local = true;
            entries.insert(instance.clone(), RegisteredEntry { report, is_local });
            self.version.fetch_add(1, Ordering::Relaxed);
        }
        !is_stale
    }

    /// Records where an entry listens for other entries.
    pub fn set_address(
        &self,
        instance: &InstanceId,
        incarnation: Incarnation,
        address: SocketAddr,
    ) {
        if let Some(report) = local_report(&mut self.lock(), instance, incarnation) {
            report.address = Some(address);
        }
        self.version.fetch_add(1, Ordering::Relaxed);
    }

    /// Increases whenever [`EntryRegistry::connected_entries`] may have changed, except by
    /// [`DISCONNECT_TIMEOUT`].
    pub fn version(&self) -> u64 {
        self.version.load(Ordering::Relaxed)
    }

    /// The connected entries with a known address, to be sent to all entries.
    pub fn connected_entries(&self, now: Timestamp) -> Vec<ListedEntry> {
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

    /// Records when an entry reported its revision, and the revision. Ignored if the entry connected
    /// elsewhere or under another incarnation meanwhile.
    pub fn record_revision(
        &self,
        instance: &InstanceId,
        incarnation: Incarnation,
        (reported_at, revision): (Timestamp, Revision),
    ) {
        if let Some(report) = local_report(&mut self.lock(), instance, incarnation) {
            report.last_heard_at = reported_at;
            report.revision = revision;
            report.connected = true;
        }
        self.changed.notify_waiters();
    }

    /// Waits until a revision is in force at every connected entry, at most for `limit`.
    pub async fn wait_until_in_force(&self, revision: Revision, limit: Duration) {
        let in_force_everywhere = async {
            loop {
                let changed = self.changed.notified();
                if self.is_in_force(revision) {
                    return;
                }
                changed.await;
            }
        };
        // A timeout is not an error: the answer lists the entries without the revision.
        let _ = tokio::time::timeout(limit, in_force_everywhere).await;
    }

    fn is_in_force(&self, revision: Revision) -> bool {
        let entries = self.lock();
        let reports = entries.values().map(|entry| &entry.report);
        let mut connected = reports.filter(|report| report.connected);
        connected.all(|report| report.revision >= revision)
    }

    /// Records that the connection of an entry ended. Ignored if the entry connected elsewhere or
    /// under another incarnation meanwhile.
    pub fn mark_disconnected(&self, instance: &InstanceId, incarnation: Incarnation) {
        if let Some(report) = local_report(&mut self.lock(), instance, incarnation) {
            report.connected = false;
        }
        self.version.fetch_add(1, Ordering::Relaxed);
        self.changed.notify_waiters();
    }

    /// Merges the reports of another control instance; the newer report of each entry wins.
    pub fn merge(&self, remote_reports: impl IntoIterator<Item = (InstanceId, EntryReport)>) {
        let mut entries = self.lock();
        remote_reports.into_iter().for_each(|(instance, report)| {
            let is_newer = entries.get(&instance).is_none_or(|entry| {
                let previous = &entry.report;
                (report.incarnation, report.last_heard_at)
                    > (previous.incarnation, previous.last_heard_at)
            });
            if is_newer {
                let is_local = false;
                entries.insert(instance, RegisteredEntry { report, is_local });
            }
        });
        drop(entries);
        self.version.fetch_add(1, Ordering::Relaxed);
        self.changed.notify_waiters();
    }

    /// Removes entries without a report for `after`.
    pub fn remove_silent(&self, now: Timestamp, after: Duration) {
        self.lock()
            .retain(|_, entry| now.since(entry.report.last_heard_at) < after);
    }

    /// All reports, by instance. An entry without a report for [`DISCONNECT_TIMEOUT`] counts as
    /// disconnected, as the control instance it was connected to may be down.
    pub fn reports(&self, now: Timestamp) -> BTreeMap<InstanceId, EntryReport> {
        self.lock()
            .iter()
            .map(|(instance, entry)| (instance.clone(), entry.report.clone()))
            .map(|(instance, report)| {
                let connected =
                    report.connected && now.since(report.last_heard_at) < DISCONNECT_TIMEOUT;
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

    /// The reports that this instance received directly from entries.
    pub fn local_reports(&self) -> BTreeMap<InstanceId, EntryReport> {
        self.lock()
            .iter()
            .filter(|(_, entry)| entry.is_local)
            .map(|(instance, entry)| (instance.clone(), entry.report.clone()))
            .collect()
    }

    /// Known entries that are disconnected, also those without a report for [`DISCONNECT_TIMEOUT`].
    pub fn unreachable(&self, now: Timestamp) -> Vec<InstanceId> {
        self.reports(now)
            .into_iter()
            .filter(|(_, report)| !report.connected)
            .map(|(instance, _)| instance)
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<InstanceId, RegisteredEntry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn local_report<'a>(
    entries: &'a mut BTreeMap<InstanceId, RegisteredEntry>,
    instance: &InstanceId,
    incarnation: Incarnation,
) -> Option<&'a mut EntryReport> {
    entries
        .get_mut(instance)
        .filter(|entry| entry.is_local && entry.report.incarnation == incarnation)
        .map(|entry| &mut entry.report)
}
