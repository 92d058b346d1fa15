//! Calls to other control instances that wait for a reply.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use mimosa_consensus::LogIndex;
use tokio::sync::oneshot;

use crate::peer::ProposeOutcome;

/// The receivers of outstanding replies, by call ID.
#[derive(Default)]
pub struct PendingCalls {
    pending: Mutex<Pending>,
}

#[derive(Default)]
struct Pending {
    proposals: BTreeMap<u64, oneshot::Sender<ProposeOutcome>>,
    reads: BTreeMap<u64, oneshot::Sender<Option<LogIndex>>>,
}

impl PendingCalls {
    /// Registers a forwarded command. The receiver gets its outcome.
    pub fn register_proposal(&self, call_id: u64) -> oneshot::Receiver<ProposeOutcome> {
        let (reply, answer) = oneshot::channel();
        self.lock().proposals.insert(call_id, reply);
        answer
    }

    /// Registers a forwarded read. The receiver gets its read index, `None` if the read was
    /// refused.
    pub fn register_read(&self, call_id: u64) -> oneshot::Receiver<Option<LogIndex>> {
        let (reply, answer) = oneshot::channel();
        self.lock().reads.insert(call_id, reply);
        answer
    }

    /// Delivers the outcome of a command. Ignored if the call is no longer registered.
    pub fn complete_proposal(&self, call_id: u64, answer: ProposeOutcome) {
        if let Some(reply) = self.lock().proposals.remove(&call_id) {
            reply.send(answer).ok();
        }
    }

    /// Delivers the reply to a read. Ignored if the call is no longer registered.
    pub fn complete_read(&self, call_id: u64, index: Option<LogIndex>) {
        if let Some(reply) = self.lock().reads.remove(&call_id) {
            reply.send(index).ok();
        }
    }

    /// Unregisters a call that nobody waits for any more.
    pub fn cancel(&self, call_id: u64) {
        let mut pending = self.lock();
        pending.proposals.remove(&call_id);
        pending.reads.remove(&call_id);
    }

    fn lock(&self) -> MutexGuard<'_, Pending> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
