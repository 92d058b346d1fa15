//! The connection of an operator, which may be closed while it waits for a request.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use mimosa_memory::EvictionSignal;
use mimosa_protocol::Timestamp;
use mimosa_transport::bounded_connections::Closable;
use mimosa_transport::bounded_connections::WaitingFor;
use mimosa_transport::clock::Clock;

/// State of an operator's connection.
pub struct OperatorConnection {
    clock: Clock,
    /// Since when it waits for a request; `None` while it handles one.
    waiting_since: Mutex<Option<Timestamp>>,
    closing: EvictionSignal,
}

/// Marks the connection as waiting when dropped.
pub struct RunningRequest(Arc<OperatorConnection>);

impl OperatorConnection {
    /// A connection that waits for its first request.
    pub fn new(clock: Clock) -> Arc<Self> {
        Arc::new(Self {
            clock,
            waiting_since: Mutex::new(Some(clock.now())),
            closing: EvictionSignal::default(),
        })
    }

    /// Marks the connection as busy until the result is dropped.
    pub fn start_request(self: &Arc<Self>) -> RunningRequest {
        self.set(None);
        RunningRequest(Arc::clone(self))
    }

    fn set(&self, waiting_since: Option<Timestamp>) {
        let state = self.waiting_since.lock();
        *state.unwrap_or_else(PoisonError::into_inner) = waiting_since;
    }
}

impl Closable for OperatorConnection {
    fn waiting_since(&self) -> Option<(WaitingFor, Timestamp)> {
        let state = self.waiting_since.lock();
        let since = *state.unwrap_or_else(PoisonError::into_inner);
        since.map(|since| (WaitingFor::Request, since))
    }

    fn closing(&self) -> &EvictionSignal {
        &self.closing
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.0.set(Some(self.0.clock.now()));
    }
}
