//! Tells the newest connection of each sender from those that it replaced.
//!
//! After a freeze or a partition, messages of a replaced connection can arrive after those of its
//! successor; they are outdated.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use mimosa_protocol::InstanceId;
use mimosa_protocol::quantity;

quantity! {
    /// Number of a connection, in the order in which connections were accepted.
    ConnectionNumber(u64);
}

/// The newest connection of each sender.
#[derive(Debug, Default)]
pub struct ConnectionOrder {
    last: AtomicU64,
    newest: Mutex<BTreeMap<InstanceId, ConnectionNumber>>,
}

impl ConnectionOrder {
    /// The number of a connection that was just accepted.
    pub fn next(&self) -> ConnectionNumber {
        ConnectionNumber(self.last.fetch_add(1, Ordering::Relaxed) + 1)
    }

    /// Records the sender of a connection, which replaces the earlier ones of this sender. Returns
    /// false if it was itself replaced.
    pub fn register(&self, sender: &InstanceId, number: ConnectionNumber) -> bool {
        let mut newest = self.newest();
        let is_replaced = newest.get(sender).is_some_and(|newest| *newest > number);
        if !is_replaced {
            newest.insert(sender.clone(), number);
        }
        !is_replaced
    }

    /// Whether no later connection of the sender has been registered.
    pub fn is_newest(&self, sender: &InstanceId, number: ConnectionNumber) -> bool {
        self.newest().get(sender) == Some(&number)
    }

    fn newest(&self) -> MutexGuard<'_, BTreeMap<InstanceId, ConnectionNumber>> {
        self.newest.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
