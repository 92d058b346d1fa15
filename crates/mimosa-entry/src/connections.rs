//! Open client connections and their bound.
//!
//! At the bound, the connection that has been idle longest is closed to admit a new one; without an idle one,
//! that whose request head is incomplete longest; without either, one whose client has stalled.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use mimosa_memory::EvictionSignal;
use mimosa_protocol::Timestamp;
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::connection::Connection;
use crate::shared::Shared;

/// Interval at which connections are looked for that can be closed by then.
const CLOSE_INTERVAL: Duration = Duration::from_millis(250);

/// The open client connections.
#[derive(Default)]
pub(crate) struct ClientConnections {
    open: Mutex<HashMap<u64, Arc<Connection>>>,
    next_id: AtomicU64,
    closed_for_room: AtomicU64,
    /// Notified when a connection ends.
    ended: Notify,
}

/// Counts a connection as open until dropped.
pub(crate) struct OpenConnection {
    shared: Arc<Shared>,
    id: u64,
}

impl ClientConnections {
    /// Waits until there are fewer connections than the bound, and closes one for it if necessary.
    pub(crate) async fn wait_for_room(&self, shared: &Shared) {
        loop {
            let ended = self.ended.notified();
            {
                let open = self.lock();
                if open.len() < shared.memory.max_connections {
                    return;
                }
                let is_closing = open.values().any(|each| each.closing().is_set());
                if !is_closing
                    && (close_first(&open) || shared.memory.account.evict_one(shared.now()))
                {
                    self.closed_for_room.fetch_add(1, Ordering::Relaxed);
                }
            }
            tokio::select! {
                () = ended => {}
                () = sleep(CLOSE_INTERVAL) => {}
            }
        }
    }

    /// Adds a connection.
    pub(crate) fn add(shared: &Arc<Shared>, connection: &Arc<Connection>) -> OpenConnection {
        let connections = &shared.connections;
        let id = connections.next_id.fetch_add(1, Ordering::Relaxed);
        connections.lock().insert(id, Arc::clone(connection));
        OpenConnection {
            shared: Arc::clone(shared),
            id,
        }
    }

    /// Number of open connections.
    pub(crate) fn open(&self) -> usize {
        self.lock().len()
    }

    /// Number of connections closed so far to stay below the bound.
    pub(crate) fn closed_for_room(&self) -> u64 {
        self.closed_for_room.load(Ordering::Relaxed)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, Arc<Connection>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Closes the connection that is first in the order of the module. Returns whether there was one.
fn close_first(open: &HashMap<u64, Arc<Connection>>) -> bool {
    let first: Option<(_, &EvictionSignal)> = open
        .values()
        .filter_map(|each| Some((each.waiting_since()?, each.closing())))
        .min_by_key(|(waiting, _): &((bool, Timestamp), _)| *waiting);
    if let Some((_, closing)) = first {
        closing.set();
    }
    first.is_some()
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.shared.connections.lock().remove(&self.id);
        self.shared.connections.ended.notify_waiters();
    }
}
