//! Drives the quarantine of requests that crash endpoints, across all entries of the data centre.

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

/// Time between two rounds of gossip.
const GOSSIP_PERIOD: Duration = Duration::from_millis(100);
/// Records in one round.
const MAX_RECORDS: usize = 64;

/// The suspects that this entry knows.
pub(crate) struct Suspects {
    inner: Mutex<Inner>,
}

struct Inner {
    quarantine: Quarantine,
    lives: HashMap<EndpointId, Incarnation>,
    told: u64,
    told_at: Timestamp,
}

impl Suspects {
    pub(crate) fn new() -> Self {
        Self {
            inner: Mutex::new(Inner {
                quarantine: Quarantine::new(QuarantineSettings::default()),
                lives: HashMap::new(),
                told: 0,
                told_at: Timestamp::ZERO,
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
    /// A refusal if it is quarantined.
    pub(crate) fn check(&self, now: Timestamp, fingerprint: Fingerprint) -> Result<(), Refusal> {
        match self.lock().quarantine.check(now, fingerprint) {
            Verdict::Clear | Verdict::Isolated => Ok(()),
            Verdict::Quarantined { until } => {
                let refusal = Refusal::not_run(RefusalReason::Quarantined);
                Err(refusal.retry_after(until.since(now)))
            }
        }
    }

    /// A request is sent to an endpoint.
    pub(crate) fn started(
        &self,
        request: RequestId,
        fingerprint: Fingerprint,
        endpoint: EndpointId,
    ) {
        let mut inner = self.lock();
        let life = inner.lives.get(&endpoint).copied().unwrap_or_default();
        inner
            .quarantine
            .started(request, fingerprint, endpoint, life);
    }

    /// Whether the life of an endpoint is known.
    pub(crate) fn knows(&self, endpoint: &EndpointId) -> bool {
        self.lock().lives.contains_key(endpoint)
    }

    /// A request ended without a crash.
    pub(crate) fn stopped(&self, request: RequestId) {
        self.lock().quarantine.stopped(request);
    }

    /// A request ran to its end.
    pub(crate) fn completed(&self, now: Timestamp, request: RequestId) {
        self.lock().quarantine.completed(now, request);
    }

    /// An endpoint answered in a life. A new one means that the one before ended.
    pub(crate) fn seen(&self, now: Timestamp, endpoint: &EndpointId, life: Incarnation) {
        let mut inner = self.lock();
        let before = inner.lives.insert(endpoint.clone(), life);
        if let Some(before) = before.filter(|before| *before != life) {
            inner.quarantine.crashed(now, endpoint.clone(), before);
        }
    }

    /// An endpoint that cut an answer cannot be reached: its life ended.
    pub(crate) fn lost(&self, now: Timestamp, endpoint: &EndpointId) {
        let mut inner = self.lock();
        let life = inner.lives.get(endpoint).copied().unwrap_or_default();
        inner.quarantine.crashed(now, endpoint.clone(), life);
    }

    /// Takes in what another entry knows.
    pub(crate) fn merge(&self, now: Timestamp, from: &InstanceId, delta: &Delta) {
        if self.lock().quarantine.merge(now, delta) {
            log::info!("{from} told of {} suspects", delta.records.len());
        }
    }

    /// Tells the other entries what is new.
    pub(crate) fn tick(&self, shared: &Shared) {
        let now = shared.now();
        let mut inner = self.lock();
        if now.since(inner.told_at) < GOSSIP_PERIOD {
            return;
        }
        inner.told_at = now;
        inner.quarantine.expire(now);
        let (delta, told) = inner.quarantine.delta(inner.told, MAX_RECORDS);
        inner.told = told;
        drop(inner);
        if delta.records.is_empty() {
            return;
        }
        for (peer, _) in shared.network.peers_in(&shared.instance.data_centre) {
            shared
                .network
                .send(&peer, PeerMessage::Suspects(delta.clone()));
        }
    }
}
