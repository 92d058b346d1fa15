//! Sends the reports of this instance's entries to the other control instances: changes after at
//! most one interval, and all reports periodically.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use mimosa_protocol::InstanceId;

use crate::entry_registry::EntryRegistry;
use crate::entry_registry::EntryReport;
use crate::peer::PeerMessage;
use crate::peer::outbound::Outbound;

const UPDATE_INTERVAL: Duration = Duration::from_millis(250);
/// Intervals between two full reports. These repeat lost messages and refresh `last_heard_at`, by
/// which silent entries are recognised.
const INTERVALS_PER_FULL_REPORT: u32 = 20;

/// Sends reports until the task is aborted.
pub async fn run(entry_registry: Arc<EntryRegistry>, outbound: Arc<Outbound>) {
    let mut sent = BTreeMap::new();
    let mut intervals = 0;
    loop {
        tokio::time::sleep(UPDATE_INTERVAL).await;
        intervals += 1;
        if intervals % INTERVALS_PER_FULL_REPORT == 0 {
            sent.clear();
        }
        let local = entry_registry.local_reports();
        let changed: Vec<_> = local
            .iter()
            .filter(|(instance, report)| has_changed(&sent, instance, report))
            .map(|(instance, report)| (instance.clone(), report.clone()))
            .collect();
        if !changed.is_empty() {
            outbound.send_all(&PeerMessage::EntryReports(changed));
        }
        sent = local;
    }
}

fn has_changed(
    sent: &BTreeMap<InstanceId, EntryReport>,
    instance: &InstanceId,
    report: &EntryReport,
) -> bool {
    sent.get(instance).is_none_or(|previous| {
        (previous.incarnation, previous.revision, previous.connected)
            != (report.incarnation, report.revision, report.connected)
    })
}
