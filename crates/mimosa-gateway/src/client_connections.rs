//! Bound of the number of client connections.
//!
//! At the bound, the connection that has been idle longest is closed to admit a new one; without an
//! idle one, that whose request head is incomplete longest; without either, one whose request body
//! has stalled.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::client_connection::ActivityTracker;
use crate::shared::Shared;

/// Connections above the bound that may exist while closed ones end, as a part of the bound.
const CLOSING_DIVISOR: usize = 16;

/// The open client connections.
#[derive(Default)]
pub(crate) struct ClientConnections {
    open: Mutex<HashMap<u64, Arc<ActivityTracker>>>,
    next_id: AtomicU64,
    closed_for_room: AtomicU64,
}

/// Counts a connection as open until dropped.
pub(crate) struct OpenConnection {
    shared: Arc<Shared>,
    id: u64,
}

impl ClientConnections {
    /// Adds a connection, and closes another one if there are too many. `None` if none can be closed;
    /// the new one must be closed then.
    pub(crate) fn admit(
        shared: &Arc<Shared>,
        tracker: &Arc<ActivityTracker>,
    ) -> Option<OpenConnection> {
        let connections = &shared.client_connections;
        let max = shared.memory.max_connections;
        let mut open = connections.lock();
        if open.len() >= max {
            connections.closed_for_room.fetch_add(1, Ordering::Relaxed);
            let has_closed = close_one(&open) || shared.memory.account.evict_one(shared.now());
            if !has_closed || open.len() > max + max / CLOSING_DIVISOR {
                return None;
            }
        }
        let id = connections.next_id.fetch_add(1, Ordering::Relaxed);
        open.insert(id, Arc::clone(tracker));
        drop(open);
        Some(OpenConnection {
            shared: Arc::clone(shared),
            id,
        })
    }

    /// Number of open connections.
    pub(crate) fn open(&self) -> usize {
        self.lock().len()
    }

    /// Number of connections closed so far to stay below the bound, new ones included.
    pub(crate) fn closed_for_room(&self) -> u64 {
        self.closed_for_room.load(Ordering::Relaxed)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, Arc<ActivityTracker>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Closes the connection that is first in the order of the module. Returns whether there was one.
fn close_one(open: &HashMap<u64, Arc<ActivityTracker>>) -> bool {
    let waiting = open.values().filter(|each| !each.is_closing());
    let first = waiting
        .filter_map(|each| Some((each.waiting_since()?, each)))
        .min_by_key(|(waiting, _)| *waiting);
    if let Some((_, tracker)) = first {
        tracker.close();
    }
    first.is_some()
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.shared.client_connections.lock().remove(&self.id);
    }
}
