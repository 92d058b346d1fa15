//! Tells the other control instances what this one hears from its entries: news soon, everything
//! now and then.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use mimosa_protocol::InstanceId;

use crate::entry_registry::EntryRegistry;
use crate::entry_registry::EntryReport;
use crate::peer::PeerMessage;
use crate::peer::outbound::Outbound;

/// Time between two looks for news.
const NEWS_PERIOD: Duration = Duration::from_millis(250);
/// Looks after which everything is told again, so that lost news come through and silent entries
/// grow old.
const LOOKS_PER_FULL_REPORT: u32 = 20;

/// Runs until the task is aborted.
pub async fn run(in_force: Arc<EntryRegistry>, outbound: Arc<Outbound>) {
    let mut told = BTreeMap::new();
    let mut looks = 0;
    loop {
        tokio::time::sleep(NEWS_PERIOD).await;
        looks += 1;
        if looks % LOOKS_PER_FULL_REPORT == 0 {
            told.clear();
        }
        let own = in_force.local_reports();
        let news: Vec<_> = own
            .iter()
            .filter(|(instance, report)| is_news(&told, instance, report))
            .map(|(instance, report)| (instance.clone(), report.clone()))
            .collect();
        if !news.is_empty() {
            outbound.send_all(&PeerMessage::InForce(news));
        }
        told = own;
    }
}

fn is_news(
    told: &BTreeMap<InstanceId, EntryReport>,
    instance: &InstanceId,
    report: &EntryReport,
) -> bool {
    told.get(instance).is_none_or(|known| {
        (known.incarnation, known.revision, known.connected)
            != (report.incarnation, report.revision, report.connected)
    })
}
