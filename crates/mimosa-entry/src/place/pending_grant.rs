//! A grant that its request has not received yet.

use std::sync::Arc;
use std::sync::Weak;

use mimosa_schedule::AttemptEnd;
use mimosa_schedule::Event;
use mimosa_schedule::Grant;
use tokio::sync::Notify;

use super::RequestQueue;
use super::ServiceQueue;

/// A grant that its request has not received yet. If it is dropped first, the attempt is reported
/// as cancelled, since nothing was sent.
#[derive(Debug)]
pub(crate) struct PendingGrant {
    grant: Option<Grant>,
    abort: Arc<Notify>,
    queue: Weak<ServiceQueue>,
}

impl PendingGrant {
    pub(crate) fn new(grant: Grant, abort: Arc<Notify>, queue: Weak<ServiceQueue>) -> Self {
        Self {
            grant: Some(grant),
            abort,
            queue,
        }
    }

    /// Takes the grant and its abort signal. From now on the caller must report the attempt's end.
    pub(crate) fn take(mut self) -> (Grant, Arc<Notify>) {
        let grant = self.grant.take().expect("a grant is taken once");
        (grant, Arc::clone(&self.abort))
    }
}

impl Drop for PendingGrant {
    fn drop(&mut self) {
        if let (Some(grant), Some(queue)) = (self.grant.take(), self.queue.upgrade()) {
            queue.notify(Event::Ended {
                request: grant.request,
                end: AttemptEnd::Cancelled,
            });
        }
    }
}
