//! Drives the quarantine of requests that crash endpoints, shared by all entries of the data
//! centre.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use mimosa_hold::part_quarantine::PartQuarantine;
use mimosa_hold::part_quarantine::PartQuarantineSettings;
use mimosa_hold::part_quarantine::RequestParts;
use mimosa_hold::part_quarantine::Suspects;
use mimosa_hold::quarantine::CrashId;
use mimosa_hold::quarantine::Delta;
use mimosa_hold::quarantine::Quarantine;
use mimosa_hold::quarantine::QuarantineSettings;
use mimosa_hold::quarantine::Verdict;
use mimosa_protocol::EndpointId;
use mimosa_protocol::Incarnation;
use mimosa_protocol::InstanceId;
use mimosa_protocol::Refusal;
use mimosa_protocol::RefusalReason;
use mimosa_protocol::RequestId;
use mimosa_protocol::ServiceId;
use mimosa_protocol::Timestamp;

use crate::model_request::ModelRequest;
use crate::peers::message::PeerMessage;
use crate::shared::Shared;

/// Interval between gossip rounds.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of records in a gossip round; the rest follow in later rounds.
const MAX_GOSSIP_RECORDS: usize = 64;

/// Interval at which the suspects are sent while some are quarantined, for entries that missed them.
const SUSPECTS_INTERVAL: Duration = Duration::from_secs(5);

/// The quarantine and the last known incarnation of each endpoint.
pub(crate) struct QuarantineTracker {
    inner: Mutex<Inner>,
}

struct Inner {
    quarantine: Quarantine,
    parts: PartQuarantine,
    /// The requests that run and whose answers are not past their start.
    starting: HashMap<RequestId, StartingRun>,
    suspects_changed: bool,
    suspects_sent_at: Timestamp,
    incarnations: HashMap<EndpointId, Incarnation>,
    /// The last crash of each endpoint of a plain service, which reports no incarnation.
    plain_crashes: HashMap<EndpointId, Timestamp>,
    /// Position of the last record sent to the other entries.
    gossiped_position: u64,
    gossiped_at: Timestamp,
}

/// A run whose loss would count against the parts of its prompt.
struct StartingRun {
    service: ServiceId,
    parts: Arc<RequestParts>,
    began: Timestamp,
}

impl Inner {
    /// Records the crash of a process, and the runs that it took along.
    fn record_crash(&mut self, now: Timestamp, endpoint: &EndpointId, incarnation: Incarnation) {
        let lost = self.quarantine.crashed(now, endpoint.clone(), incarnation);
        let process = CrashId {
            endpoint: endpoint.clone(),
            incarnation,
        };
        for run in lost
            .iter()
            .filter_map(|request| self.starting.remove(request))
        {
            let ran_for = now.since(run.began);
            self.suspects_changed |=
                self.parts
                    .record_lost(now, &run.service, &run.parts, &process, ran_for);
        }
    }

    /// The suspects to send to other entries now; none if they have not changed recently.
    fn suspects_to_send(&mut self, now: Timestamp) -> Suspects {
        self.parts.expire(now);
        let is_due =
            self.parts.quarantined() > 0 && now.since(self.suspects_sent_at) >= SUSPECTS_INTERVAL;
        if !self.suspects_changed && !is_due {
            return Suspects::default();
        }
        self.suspects_changed = false;
        self.suspects_sent_at = now;
        self.parts.suspects(now)
    }

    /// Records that the answer of a request is past its start.
    fn record_sound(&mut self, now: Timestamp, request: RequestId) {
        if let Some(run) = self.starting.remove(&request) {
            self.suspects_changed |= self.parts.clear(now, &run.parts);
            self.suspects_changed |= self.parts.count_sound_run(&run.service);
        }
    }
}

/// A call to a plain service, for the quarantine.
pub(crate) struct TrackedCall {
    pub(crate) service: ServiceId,
    pub(crate) parts: Arc<RequestParts>,
    pub(crate) endpoint: EndpointId,
    pub(crate) address: SocketAddr,
    pub(crate) began: Timestamp,
}

impl TrackedCall {
    /// Records that the call was answered completely.
    pub(crate) fn record_sound(&self, shared: &Shared) {
        shared.quarantine.record_sound_call(shared.now(), self);
    }

    /// Records that the endpoint broke the connection of the call. Whether its process ended is checked
    /// in the background, because single answers are lost as well.
    pub(crate) fn record_lost(self, shared: &Arc<Shared>) {
        let shared = Arc::clone(shared);
        let lost_at = shared.now();
        tokio::spawn(async move {
            let has_ended = shared.engine_client.refuses_connections(self.address).await;
            self.record_check(&shared, lost_at, has_ended);
        });
    }

    /// Records that the call was lost with the endpoint's process.
    pub(crate) fn record_ended(&self, shared: &Shared) {
        self.record_check(shared, shared.now(), true);
    }

    fn record_check(&self, shared: &Shared, lost_at: Timestamp, has_ended: bool) {
        log::info!(
            "service {}: endpoint {} broke the connection of a call after {} ms, its process {}",
            self.service,
            self.endpoint,
            lost_at.since(self.began).as_millis(),
            if has_ended { "ended" } else { "goes on" }
        );
        if has_ended {
            shared.quarantine.record_lost_call(lost_at, self);
        }
    }
}

impl QuarantineTracker {
    pub(crate) fn new() -> Self {
        Self {
            inner: Mutex::new(Inner {
                quarantine: Quarantine::new(QuarantineSettings::default()),
                parts: PartQuarantine::new(PartQuarantineSettings {
                    sent_crashes: 1,
                    ..PartQuarantineSettings::default()
                }),
                starting: HashMap::new(),
                suspects_changed: false,
                suspects_sent_at: Timestamp::ZERO,
                incarnations: HashMap::new(),
                plain_crashes: HashMap::new(),
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
    pub(crate) fn check(&self, now: Timestamp, parts: &RequestParts) -> Result<(), Refusal> {
        let inner = self.lock();
        let whole = match inner.quarantine.check(now, parts.whole) {
            Verdict::Clear | Verdict::Isolated => None,
            Verdict::Quarantined { until } => Some(until),
        };
        match whole.max(inner.parts.quarantined_until(now, parts)) {
            None => Ok(()),
            Some(until) => {
                let refusal = Refusal::not_run(RefusalReason::Quarantined);
                Err(refusal.retry_after(until.since(now)))
            }
        }
    }

    /// Records that a request is sent to an endpoint.
    pub(crate) fn record_start(
        &self,
        now: Timestamp,
        request: RequestId,
        model_request: &ModelRequest,
        endpoint: EndpointId,
    ) {
        let mut inner = self.lock();
        let incarnation = inner
            .incarnations
            .get(&endpoint)
            .copied()
            .unwrap_or_default();
        let run = StartingRun {
            service: model_request.service.clone(),
            parts: Arc::clone(&model_request.parts),
            began: now,
        };
        inner.starting.insert(request, run);
        let whole = model_request.parts.whole;
        inner
            .quarantine
            .started(request, whole, endpoint, incarnation);
    }

    /// Whether an endpoint has reported its incarnation since this entry started.
    pub(crate) fn knows_incarnation(&self, endpoint: &EndpointId) -> bool {
        self.lock().incarnations.contains_key(endpoint)
    }

    /// Records that a request ended without a crash.
    pub(crate) fn record_end(&self, request: RequestId) {
        let mut inner = self.lock();
        inner.quarantine.stopped(request);
        inner.starting.remove(&request);
    }

    /// Records that a request completed, which clears it of suspicion.
    pub(crate) fn record_completion(&self, now: Timestamp, request: RequestId) {
        let mut inner = self.lock();
        inner.quarantine.completed(now, request);
        inner.record_sound(now, request);
    }

    /// Records that the answer of a request is past its start, which clears the parts of its prompt.
    pub(crate) fn record_sound(&self, now: Timestamp, request: RequestId) {
        self.lock().record_sound(now, request);
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
            inner.record_crash(now, endpoint, previous);
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
        inner.record_crash(now, endpoint, incarnation);
    }

    /// Records that a call to a plain service was answered, which clears it.
    fn record_sound_call(&self, now: Timestamp, call: &TrackedCall) {
        let mut inner = self.lock();
        let is_changed = inner.parts.clear(now, &call.parts);
        let is_counted = inner.parts.count_sound_run(&call.service);
        inner.suspects_changed |= is_changed || is_counted;
    }

    /// Records that a call to a plain service was lost with the endpoint's process at `lost_at`. All
    /// calls that began before a crash were lost in the same one.
    fn record_lost_call(&self, lost_at: Timestamp, call: &TrackedCall) {
        let mut inner = self.lock();
        let known = inner.plain_crashes.get(&call.endpoint);
        let crashed_at = known.filter(|at| call.began <= **at).copied();
        let crashed_at = crashed_at.unwrap_or(lost_at);
        inner
            .plain_crashes
            .insert(call.endpoint.clone(), crashed_at);
        let process = CrashId {
            endpoint: call.endpoint.clone(),
            incarnation: Incarnation(crashed_at.as_micros()),
        };
        let ran_for = lost_at.since(call.began);
        let parts = &mut inner.parts;
        let is_changed = parts.record_lost(lost_at, &call.service, &call.parts, &process, ran_for);
        inner.suspects_changed |= is_changed;
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

    /// Merges suspects received from another entry.
    pub(crate) fn merge_suspects(&self, now: Timestamp, from: &InstanceId, suspects: &Suspects) {
        let mut inner = self.lock();
        if inner.parts.merge(now, suspects) {
            log::info!(
                "quarantine: {} prompt parts and requests are quarantined, after a message from entry \
                 {from}",
                inner.parts.quarantined()
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
        let suspects = inner.suspects_to_send(now);
        drop(inner);
        for (peer, _) in shared.network.peers_in(&shared.instance.data_centre) {
            if !delta.records.is_empty() {
                shared
                    .network
                    .send(&peer, PeerMessage::QuarantineDelta(delta.clone()));
            }
            if !suspects.suspects.is_empty() {
                shared
                    .network
                    .send(&peer, PeerMessage::Suspects(suspects.clone()));
            }
        }
    }
}
