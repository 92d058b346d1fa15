//! The leader reads the list of endpoints for everybody.

use std::sync::Arc;
use std::time::Duration;

use log::info;
use log::warn;
use mimosa_route::EndpointList;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::replicator::Replicator;
use crate::routing::EndpointSource;
use crate::routing::published::Published;

/// Longest time for one read of the whole list. A list of many pages is read at the pace that its
/// source asks for.
const READ_TIMEOUT: Duration = Duration::from_secs(6);

/// Time between two looks at whether a read is due.
const LOOK_PERIOD: Duration = Duration::from_millis(50);

/// Reads the list while this instance leads, and publishes each change, until the task is aborted.
pub async fn run(
    source: Arc<dyn EndpointSource>,
    replicator: Arc<dyn Replicator>,
    every: Duration,
    published: watch::Sender<Arc<Published>>,
) {
    let mut failing = false;
    let mut read: Option<(u64, Instant)> = None;
    loop {
        sleep(LOOK_PERIOD.min(every)).await;
        let status = replicator.status();
        // A new leader reads at once.
        let is_due = read.is_none_or(|(term, at)| term != status.term || at.elapsed() >= every);
        if status.role != "leader" || !is_due {
            continue;
        }
        read = Some((status.term, Instant::now()));
        let listed = match timeout(READ_TIMEOUT, source.list()).await {
            Ok(Ok(listed)) => listed,
            Ok(Err(e)) => {
                if !failing {
                    warn!("dependency=endpoint_list state=lost reason=\"{e}\"");
                }
                failing = true;
                continue;
            }
            Err(_) => {
                if !failing {
                    warn!("dependency=endpoint_list state=lost reason=\"no answer in time\"");
                }
                failing = true;
                continue;
            }
        };
        if failing {
            info!("dependency=endpoint_list state=regained");
        }
        failing = false;
        published.send_if_modified(|known| {
            let read = EndpointList {
                term: status.term,
                sequence: known.list.sequence + 1,
                endpoints: listed,
            };
            let Some(next) = known.next(Instant::now(), read) else {
                return false;
            };
            info!(
                "endpoints={} term={} sequence={}",
                next.list.endpoints.len(),
                next.list.term,
                next.list.sequence
            );
            *known = Arc::new(next);
            true
        });
    }
}
