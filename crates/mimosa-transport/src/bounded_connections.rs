//! Open connections of callers and their bound.
//!
//! At the bound, the connection that has been idle longest is closed to admit a new one; without an idle one,
//! that whose request head is incomplete longest; without either, one whose caller has stalled.

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

use crate::reserved_buffer::ProcessMemory;

/// Interval at which connections are looked for that can be closed by then.
const CLOSE_INTERVAL: Duration = Duration::from_millis(250);

/// What a connection without a complete request waits for, in the order in which connections are closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WaitingFor {
    /// The first byte of a request.
    Request,
    /// The rest of a request head.
    RestOfHead,
}

/// A connection that can be closed to make room.
pub trait Closable: Send + Sync + 'static {
    /// What the connection waits for, and since when; `None` while it handles a request.
    fn waiting_since(&self) -> Option<(WaitingFor, Timestamp)>;

    /// Signal that closes the connection.
    fn closing(&self) -> &EvictionSignal;
}

/// The open connections of a listener.
pub struct BoundedConnections {
    open: Mutex<HashMap<u64, Arc<dyn Closable>>>,
    max: usize,
    next_id: AtomicU64,
    closed_for_room: AtomicU64,
    /// Notified when a connection ends.
    ended: Notify,
}

/// Counts a connection as open until dropped.
pub struct OpenConnection {
    connections: Arc<BoundedConnections>,
    id: u64,
}

impl BoundedConnections {
    /// No connections, with a bound.
    pub fn new(max: usize) -> Arc<Self> {
        Arc::new(Self {
            open: Mutex::default(),
            max,
            next_id: AtomicU64::new(0),
            closed_for_room: AtomicU64::new(0),
            ended: Notify::new(),
        })
    }

    /// Waits until there are fewer connections than the bound, and closes one for it if necessary.
    pub async fn wait_for_room(&self, memory: &ProcessMemory) {
        loop {
            let ended = self.ended.notified();
            if self.has_room(memory) {
                return;
            }
            tokio::select! {
                () = ended => {}
                () = sleep(CLOSE_INTERVAL) => {}
            }
        }
    }

    fn has_room(&self, memory: &ProcessMemory) -> bool {
        let open = self.lock();
        if open.len() < self.max {
            return true;
        }
        let is_closing = open.values().any(|each| each.closing().is_set());
        if !is_closing && (close_first(&open) || memory.account.evict_one(memory.clock.now())) {
            self.closed_for_room.fetch_add(1, Ordering::Relaxed);
        }
        false
    }

    /// Adds a connection.
    pub fn add(self: &Arc<Self>, connection: Arc<dyn Closable>) -> OpenConnection {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        self.lock().insert(id, connection);
        OpenConnection {
            connections: Arc::clone(self),
            id,
        }
    }

    /// Number of open connections.
    pub fn open(&self) -> usize {
        self.lock().len()
    }

    /// Number of connections closed so far to stay below the bound.
    pub fn closed_for_room(&self) -> u64 {
        self.closed_for_room.load(Ordering::Relaxed)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, Arc<dyn Closable>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Closes the connection that is first in the order of the module. Returns whether there was one.
fn close_first(open: &HashMap<u64, Arc<dyn Closable>>) -> bool {
    let waiting = open.values().filter_map(|each| {
        let waiting = each.waiting_since()?;
        Some((waiting, each))
    });
    let first = waiting.min_by_key(|(waiting, _)| *waiting);
    if let Some((_, connection)) = first {
        connection.closing().set();
    }
    first.is_some()
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.connections.lock().remove(&self.id);
        self.connections.ended.notify_waiters();
    }
}
