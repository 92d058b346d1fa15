//! Drives the quarantine of requests that crash endpoints, shared by all entries of the data
//! centre.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use mimosa_hold::quarantine::Delta;
use mimosa_hold::quarantine::Fingerprint;
use mimosa_hold::quarantine::Quarantine;
use mimosa_hold::quarantine::QuarantineSettings;
use mimosa_hold::quarantine::Verdict;
use mimosa_protocol::EndpointId;
use mimosa_protocol::Incarnation;
use mimosa_protocol::InstanceId;
use mimosa_protocol::Refusal;
use mimosa_protocol::RefusalReason;
use mimosa_protocol::RequestId;
use mimosa_protocol::Timestamp;

use crate::peers::message::PeerMessage;
use crate::shared::Shared;

/// Interval between gossip rounds.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of records in a gossip round; the rest follow in later rounds.
const MAX_GOSSIP_RECORDS: usize = 64;

/// The quarantine and the last known incarnation of each endpoint.
pub(crate) struct QuarantineTracker {
    inner: Mutex<Inner>,
}

struct Inner {
    quarantine: Quarantine,
    incarnations: HashMap<EndpointId, Incarnation>,
    /// Position of the last record sent to the other entries.
    gossiped_position: u64,
    gossiped_at: Timestamp,
}

impl QuarantineTracker {
    pub(crate) fn new() -> Self {
        Self {
            inner: Mutex::new(Inner {
                quarantine: Quarantine::new(QuarantineSettings::default()),
                incarnations: HashMap::new(),
                gossiped_position: 0,
                gossiped_at: Timestamp::ZERO,
            }),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of this lock panics")
    }

    /// Checks that a request may run.
    ///
    /// # Errors
    ///
    /// [`RefusalReason::Quarantined`] with the rest of the quarantine as `retry_after`.
    pub(crate) fn check(&self, now: Timestamp, fingerprint: Fingerprint) -> Result<(), Refusal> {
        match self.lock().quarantine.check(now, fingerprint) {
            Verdict::Clear | Verdict::Isolated => Ok(()),
            Verdict::Quarantined { until } => {
                let refusal = Refusal::not_run(RefusalReason::Quarantined);
                Err(refusal.retry_after(until.since(now)))
            }
        }
    }

    /// Records that a request is sent to an endpoint.
    pub(crate) fn record_start(
        &self,
        request: RequestId,
        fingerprint: Fingerprint,
        endpoint: EndpointId,
    ) {
        let mut inner = self.lock();
        let incarnation = inner
            .incarnations
            .get(&endpoint)
            .copied()
            .unwrap_or_default();
        inner
            .quarantine
            .started(request, fingerprint, endpoint, incarnation);
    }

    /// Whether an endpoint has reported its incarnation since this entry started.
    pub(crate) fn knows_incarnation(&self, endpoint: &EndpointId) -> bool {
        self.lock().incarnations.contains_key(endpoint)
    }

    /// Records that a request ended without a crash.
    pub(crate) fn record_end(&self, request: RequestId) {
        self.lock().quarantine.stopped(request);
    }

    /// Records that a request completed, which clears it of suspicion.
    pub(crate) fn record_completion(&self, now: Timestamp, request: RequestId) {
        self.lock().quarantine.completed(now, request);
    }

    /// Records the incarnation that an endpoint reported. A change means that the previous
    /// incarnation crashed.
    pub(crate) fn record_incarnation(
        &self,
        now: Timestamp,
        endpoint: &EndpointId,
        incarnation: Incarnation,
    ) {
        let mut inner = self.lock();
        let previous = inner.incarnations.insert(endpoint.clone(), incarnation);
        if let Some(previous) = previous.filter(|previous| *previous != incarnation) {
            inner.quarantine.crashed(now, endpoint.clone(), previous);
        }
    }

    /// Records a crash of an endpoint that dropped a connection and cannot be reached any more.
    pub(crate) fn record_crash(&self, now: Timestamp, endpoint: &EndpointId) {
        let mut inner = self.lock();
        let incarnation = inner
            .incarnations
            .get(endpoint)
            .copied()
            .unwrap_or_default();
        inner.quarantine.crashed(now, endpoint.clone(), incarnation);
    }

    /// Merges records received from another entry.
    pub(crate) fn merge(&self, now: Timestamp, from: &InstanceId, delta: &Delta) {
        if self.lock().quarantine.merge(now, delta) {
            log::info!(
                "quarantine: merged {} records from entry {from}",
                delta.records.len()
            );
        }
    }

    /// Removes expired records and sends the new ones to the other entries.
    pub(crate) fn tick(&self, shared: &Shared) {
        let now = shared.now();
        let mut inner = self.lock();
        if now.since(inner.gossiped_at) < GOSSIP_INTERVAL {
            return;
        }
        inner.gossiped_at = now;
        inner.quarantine.expire(now);
        let (delta, gossiped_position) = inner
            .quarantine
            .delta(inner.gossiped_position, MAX_GOSSIP_RECORDS);
        inner.gossiped_position = gossiped_position;
        drop(inner);
        if delta.records.is_empty() {
            return;
        }
        for (peer, _) in shared.network.peers_in(&shared.instance.data_centre) {
            shared
                .network
                .send(&peer, PeerMessage::QuarantineDelta(delta.clone()));
        }
    }
}
