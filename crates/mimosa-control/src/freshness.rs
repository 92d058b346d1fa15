//! Periodic proofs that this instance is current, shared by all entry connections.

use std::sync::Arc;
use std::time::Duration;

use mimosa_protocol::Revision;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;

use crate::replicator::Replicator;
use crate::shared::SharedState;

/// Proof that this instance held every committed change when a read barrier started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessProof {
    /// A revision at least as new as the newest one committed at `started_at`.
    pub revision: Revision,
    /// When the read barrier started.
    pub started_at: Instant,
}

/// Runs a read barrier at each heartbeat and publishes a proof for each success.
pub async fn run(
    replicator: Arc<dyn Replicator>,
    shared: Arc<SharedState>,
    heartbeat: Duration,
    proofs: watch::Sender<Option<FreshnessProof>>,
) {
    let mut ticks = tokio::time::interval(heartbeat);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        ticks.tick().await;
        let started_at = Instant::now();
        if replicator.read_barrier().await.is_err() {
            continue;
        }
        let revision = shared.read(|machine| machine.configuration().revision);
        proofs.send_replace(Some(FreshnessProof {
            revision,
            started_at,
        }));
    }
}
