//! An in-memory log of a single instance, for tests of its users.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use mimosa_consensus::LogIndex;
use mimosa_state::Command;
use mimosa_state::CommandResult;
use mimosa_state::Operation;

use crate::clock;
use crate::replicator::BoxFuture;
use crate::replicator::NotCurrent;
use crate::replicator::ProposeError;
use crate::replicator::ReplicaStatus;
use crate::replicator::Replicator;
use crate::shared::SharedState;

/// Applies each command immediately and always leads. The state is lost at the end of the process.
#[derive(Debug)]
pub struct MemoryReplicator {
    shared: Arc<SharedState>,
    index: AtomicU64,
}

impl MemoryReplicator {
    /// Creates a log that continues after the last applied index of `shared`.
    pub fn new(shared: Arc<SharedState>) -> Self {
        let applied = shared.read(|machine| machine.applied());
        Self {
            shared,
            index: AtomicU64::new(applied),
        }
    }
}

impl Replicator for MemoryReplicator {
    fn propose(&self, operation: Operation) -> BoxFuture<'_, Result<CommandResult, ProposeError>> {
        Box::pin(async move {
            let index = self.index.fetch_add(1, Ordering::Relaxed) + 1;
            let at = clock::now();
            Ok(self.shared.apply(index, Command { at, operation }))
        })
    }

    fn read_barrier(&self) -> BoxFuture<'_, Result<LogIndex, NotCurrent>> {
        Box::pin(async { Ok(LogIndex(self.index.load(Ordering::Relaxed))) })
    }

    fn status(&self) -> ReplicaStatus {
        ReplicaStatus {
            role: "leader".to_owned(),
            votes: true,
            committed: self.index.load(Ordering::Relaxed),
            ..ReplicaStatus::default()
        }
    }

    fn shutdown(&self) -> BoxFuture<'_, ()> {
        Box::pin(async {})
    }

    fn kill(&self) -> BoxFuture<'_, ()> {
        Box::pin(async {})
    }
}
