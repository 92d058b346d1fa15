//! Reads the endpoint list on the leader, on behalf of all gateways.

use std::sync::Arc;
use std::time::Duration;

use log::info;
use log::warn;
use mimosa_route::EndpointList;
use mimosa_transport::reserved_buffer::ProcessMemory;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::replicator::Replicator;
use crate::routing::EndpointSource;
use crate::routing::published::PublishedList;

/// Time limit of reading the complete list. Long enough for lists of many pages, which are read at
/// the rate that the source allows.
const READ_TIMEOUT: Duration = Duration::from_secs(6);

/// Interval of the checks whether a read is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Reads the list while this instance leads and publishes each change, until the task is aborted.
pub async fn run(
    source: Arc<dyn EndpointSource>,
    memory: ProcessMemory,
    replicator: Arc<dyn Replicator>,
    interval: Duration,
    published: watch::Sender<Arc<PublishedList>>,
) {
    let mut is_failing = false;
    let mut last_read: Option<(u64, Instant)> = None;
    loop {
        sleep(CHECK_INTERVAL.min(interval)).await;
        let status = replicator.status();
        // A new leader reads immediately.
        let is_due =
            last_read.is_none_or(|(term, at)| term != status.term || at.elapsed() >= interval);
        if status.role != "leader" || !is_due {
            continue;
        }
        last_read = Some((status.term, Instant::now()));
        let listed = match timeout(READ_TIMEOUT, source.list(&memory)).await {
            Ok(Ok(listed)) => listed,
            Ok(Err(e)) => {
                if !is_failing {
                    warn!("dependency=endpoint_list state=lost reason=\"{e}\"");
                }
                is_failing = true;
                continue;
            }
            Err(_) => {
                if !is_failing {
                    warn!("dependency=endpoint_list state=lost reason=\"no answer in time\"");
                }
                is_failing = true;
                continue;
            }
        };
        if is_failing {
            info!("dependency=endpoint_list state=regained");
        }
        is_failing = false;
        published.send_if_modified(|current| {
            let read = EndpointList {
                term: status.term,
                sequence: current.list.sequence + 1,
                endpoints: listed,
            };
            let Some(updated) = current.updated(Instant::now(), read) else {
                return false;
            };
            info!(
                "endpoints={} term={} sequence={}",
                updated.list.endpoints.len(),
                updated.list.term,
                updated.list.sequence
            );
            *current = Arc::new(updated);
            true
        });
    }
}
