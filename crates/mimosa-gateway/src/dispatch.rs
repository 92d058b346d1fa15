//! Placement of language model requests by the control leader.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::Weak;
use std::time::Duration;

use log::info;
use mimosa_protocol::AccountId;
use mimosa_protocol::InstanceId;
use mimosa_protocol::ServiceId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::Tokens;
use mimosa_route::message::GatewayMessage;
use mimosa_schedule::fleet::GatewayRequestId;
use mimosa_schedule::fleet::Placement;
use mimosa_schedule::fleet::PlacementRefusal;
use mimosa_schedule::fleet::PlacementRequest;
use mimosa_schedule::fleet::RunEnd;
use mimosa_schedule::fleet::RunningRequest;
use mimosa_transport::link::Outbox;
use mimosa_transport::link::SendOutcome;
use tokio::sync::oneshot;

use crate::directory::Leadership;
use crate::local_share::LocalReservation;

mod decision;

use self::decision::Decision;
use self::decision::LEADER_TIMEOUT;
use self::decision::WaitEnd;
use self::decision::wait_for_decision;

/// Time for which requests are placed locally after the leader did not respond.
const LEADER_BACKOFF: Duration = Duration::from_millis(500);

/// Time for which queued requests wait for a successor of a leader that stopped to lead; covers an election.
const SUCCESSION_TIME: Duration = Duration::from_secs(1);
/// Retry delay for clients whose request got no decision before its time was over.
const NO_DECISION_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Client side of the placement protocol: pending requests and running placements.
#[derive(Default)]
pub(crate) struct PlacementClient(Mutex<Inner>);

#[derive(Default)]
struct Inner {
    outboxes: HashMap<InstanceId, Outbox<GatewayMessage>>,
    leader: Option<Leadership>,
    /// Since when the leader is known to have stopped to lead, while there is no successor.
    resigned_at: Option<Timestamp>,
    /// End of the backoff after the leader did not respond.
    backoff_until: Timestamp,
    last_number: u64,
    pending: HashMap<u64, PendingRequest>,
    runs: HashMap<u64, ActiveRun>,
}

/// A request that waits for the leader's decision.
struct PendingRequest {
    queued: Option<oneshot::Sender<()>>,
    decision: Option<oneshot::Sender<Decision>>,
}

/// A placed request that has not ended.
struct ActiveRun {
    service: ServiceId,
    request: PlacementRequest,
    placement: Placement,
    started: Option<Timestamp>,
    /// Whether the run was reported to a leader: in the placement request or afterwards.
    is_reported: bool,
}

/// Outcome of a placement request.
pub(crate) enum PlacementOutcome {
    /// The request may run.
    Placed(PlacedRun),
    /// The leader rejected the request; retry after the given time.
    Rejected(PlacementRefusal, Duration),
    /// No leader responded.
    NoLeader {
        /// Whether a leader had queued the request before.
        has_waited: bool,
    },
}

/// Handle of a placed request. Dropping it reports an aborted run to the leader.
pub(crate) struct PlacedRun {
    client: Weak<PlacementClient>,
    number: u64,
    pub(crate) placement: Placement,
    /// Memory that the gateway reserved for it as no leader responded.
    pub(crate) reservation: Option<LocalReservation>,
    ended: bool,
}

impl PlacementClient {
    /// Registers the connection to a control instance, and replaces an earlier one.
    pub(crate) fn on_connected(&self, instance: &InstanceId, outbox: Outbox<GatewayMessage>) {
        let mut inner = self.lock();
        inner.outboxes.insert(instance.clone(), outbox);
    }

    /// Removes the connection to a control instance.
    pub(crate) fn on_disconnected(&self, instance: &InstanceId) {
        let mut inner = self.lock();
        inner.outboxes.remove(instance);
        if inner.is_leader(instance) {
            inner.redirect_pending();
        }
    }

    /// Sets the current leader. Reports all runs to a new leader, and in a new term of the same one, as it
    /// starts without any.
    pub(crate) fn set_leader(&self, now: Timestamp, leader: Option<Leadership>) {
        let mut inner = self.lock();
        if inner.leader == leader {
            return;
        }
        inner.leader = leader;
        inner.resigned_at = None;
        inner.backoff_until = Timestamp::ZERO;
        inner.redirect_pending();
        inner.report_runs(now, |_| true);
    }

    /// Handles a state of an instance that does not lead in a term. If it was the leader, it has dropped its
    /// queue: the requests are placed without it unless there is a successor soon.
    pub(crate) fn on_resigned(&self, now: Timestamp, instance: &InstanceId, term: u64) {
        let mut inner = self.lock();
        let was_leader = inner
            .leader
            .as_ref()
            .is_some_and(|leader| leader.instance == *instance && leader.term <= term);
        if !was_leader {
            return;
        }
        let since = *inner.resigned_at.get_or_insert(now);
        if now.since(since) >= SUCCESSION_TIME && !inner.pending.is_empty() {
            info!(
                "dependency=scheduler instance={instance} state=resigned pending={}",
                inner.pending.len()
            );
            inner.backoff_until = now + LEADER_BACKOFF;
            inner.redirect_pending();
        }
    }

    /// Sends a message to the leader. A message that cannot be sent is dropped.
    pub(crate) fn send_to_leader(&self, message: GatewayMessage) {
        if !self.lock().send(message) {
            info!("dependency=scheduler message=dropped");
        }
    }

    /// Sends a message to a control instance. A message that cannot be sent is dropped.
    pub(crate) fn send_to(&self, instance: &InstanceId, message: GatewayMessage) {
        let inner = self.lock();
        let outbox = inner.outboxes.get(instance);
        let sent = outbox.map(|outbox| outbox.send(message));
        if sent != Some(SendOutcome::Queued) {
            info!("dependency=control instance={instance} message=dropped");
        }
    }

    /// Reports all runs if the instance is the leader; called when its connection is established.
    pub(crate) fn report_running(&self, now: Timestamp, instance: &InstanceId) {
        let mut inner = self.lock();
        if inner.is_leader(instance) {
            inner.report_runs(now, |_| true);
        }
    }

    /// Replies to a heartbeat of the leader with the requests that wait or run.
    pub(crate) fn report_active(&self, now: Timestamp, instance: &InstanceId) {
        let mut inner = self.lock();
        if inner.is_leader(instance) {
            inner.resigned_at = None;
            inner.report_runs(now, |run| !run.is_reported);
            let numbers = inner.pending.keys().chain(inner.runs.keys());
            let numbers = numbers.copied().collect();
            inner.send(GatewayMessage::ReportActive { numbers });
        }
    }

    /// Whether the gateway is connected to the leader.
    pub(crate) fn has_leader(&self) -> bool {
        let inner = self.lock();
        let leader = inner.leader.as_ref();
        leader.is_some_and(|leader| inner.outboxes.contains_key(&leader.instance))
    }

    pub(crate) fn on_queued(&self, number: u64) {
        let queued = self
            .lock()
            .pending
            .get_mut(&number)
            .and_then(|request| request.queued.take());
        if let Some(queued) = queued {
            queued.send(()).ok();
        }
    }

    pub(crate) fn on_placed(&self, number: u64, placement: Placement) {
        self.decide(number, Decision::Placed(placement));
    }

    pub(crate) fn on_rejected(&self, number: u64, reason: PlacementRefusal, retry_after: Duration) {
        self.decide(number, Decision::Rejected(reason, retry_after));
    }

    /// Handles that the receiver of a request does not lead, or that the leader does not know a request that
    /// waits for it.
    pub(crate) fn on_not_leader(&self, number: u64) {
        let was_queued = {
            let inner = self.lock();
            let request = inner.pending.get(&number);
            request.is_some_and(|request| request.queued.is_none())
        };
        self.decide(number, Decision::LeaderChanged { was_queued });
    }

    /// Requests a placement and waits for the leader's decision. `build_request` gets the current
    /// time and the number of the request.
    pub(crate) async fn request(
        self: &Arc<Self>,
        now: impl Fn() -> Timestamp,
        service: &ServiceId,
        build_request: impl Fn(Timestamp, u64) -> PlacementRequest,
    ) -> PlacementOutcome {
        /// Number of leaders to ask before the request is placed locally.
        const MAX_LEADERS: u32 = 2;
        let mut has_waited = false;
        for _ in 0..MAX_LEADERS {
            let at = now();
            let Some((number, queued, decision, request)) =
                self.send_request(at, service, &build_request)
            else {
                return PlacementOutcome::NoLeader { has_waited };
            };
            let guard = PendingGuard {
                client: self,
                number,
            };
            let time_limit = request.time_to_timeout + LEADER_TIMEOUT;
            match wait_for_decision(queued, decision, time_limit).await {
                WaitEnd::Decided(Decision::Placed(placement)) => {
                    std::mem::forget(guard);
                    return PlacementOutcome::Placed(
                        self.start_run(number, service, request, placement),
                    );
                }
                WaitEnd::Decided(Decision::Rejected(reason, retry_after)) => {
                    return PlacementOutcome::Rejected(reason, retry_after);
                }
                WaitEnd::Decided(Decision::LeaderChanged { was_queued }) => {
                    has_waited |= was_queued;
                }
                WaitEnd::TimeOver => {
                    info!(
                        "dependency=scheduler state=undecided number={number} waited_ms={}",
                        now().since(at).as_millis()
                    );
                    let reason = PlacementRefusal::TooLate;
                    return PlacementOutcome::Rejected(reason, NO_DECISION_RETRY_AFTER);
                }
                WaitEnd::Silent => {
                    info!("dependency=scheduler state=silent");
                    self.lock().backoff_until = now() + LEADER_BACKOFF;
                    return PlacementOutcome::NoLeader { has_waited };
                }
            }
        }
        PlacementOutcome::NoLeader { has_waited }
    }

    /// Asks the leader for part of an account's quota. Returns whether the message was sent; the
    /// response arrives at [`crate::local_quota::LocalQuota`].
    pub(crate) fn borrow_quota(
        &self,
        now: Timestamp,
        account: &AccountId,
        requested: Tokens,
    ) -> bool {
        let inner = self.lock();
        let message = GatewayMessage::BorrowQuota {
            account: account.clone(),
            requested,
        };
        now >= inner.backoff_until && inner.send(message)
    }

    /// Sends a request to the leader. Returns `None` during the backoff or if there is no leader.
    fn send_request(
        &self,
        now: Timestamp,
        service: &ServiceId,
        build_request: impl Fn(Timestamp, u64) -> PlacementRequest,
    ) -> Option<(
        u64,
        oneshot::Receiver<()>,
        oneshot::Receiver<Decision>,
        PlacementRequest,
    )> {
        let mut inner = self.lock();
        if now < inner.backoff_until {
            return None;
        }
        inner.last_number += 1;
        let number = inner.last_number;
        let request = build_request(now, number);
        let message = GatewayMessage::RequestPlacement {
            service: service.clone(),
            ask: request.clone(),
        };
        if !inner.send(message) {
            return None;
        }
        let (queued_tx, queued) = oneshot::channel();
        let (decision_tx, decision) = oneshot::channel();
        let pending = PendingRequest {
            queued: Some(queued_tx),
            decision: Some(decision_tx),
        };
        inner.pending.insert(number, pending);
        Some((number, queued, decision, request))
    }

    /// Records a run that this gateway placed without the leader, so that the next leader accounts
    /// for it.
    pub(crate) fn record_local_run(
        self: &Arc<Self>,
        service: &ServiceId,
        build_request: impl FnOnce(u64) -> PlacementRequest,
        placement: Placement,
    ) -> PlacedRun {
        let number = {
            let mut inner = self.lock();
            inner.last_number += 1;
            inner.last_number
        };
        self.start_run(number, service, build_request(number), placement)
    }

    fn start_run(
        self: &Arc<Self>,
        number: u64,
        service: &ServiceId,
        request: PlacementRequest,
        placement: Placement,
    ) -> PlacedRun {
        let mut inner = self.lock();
        let pending = inner.pending.remove(&number);
        let run = ActiveRun {
            service: service.clone(),
            request,
            placement: placement.clone(),
            started: None,
            is_reported: pending.is_some(),
        };
        inner.runs.insert(number, run);
        PlacedRun {
            client: Arc::downgrade(self),
            number,
            placement,
            reservation: None,
            ended: false,
        }
    }

    fn decide(&self, number: u64, decision: Decision) {
        // The entry stays until the request continues, so that heartbeat replies still include it.
        let take_sender = |inner: &mut Inner| inner.pending.get_mut(&number)?.decision.take();
        let sender = take_sender(&mut self.lock());
        match sender {
            Some(tx) => {
                tx.send(decision).ok();
            }
            // The client disconnected or the request was placed locally in the meantime.
            None if matches!(decision, Decision::Placed(_)) => {
                let end = RunEnd::Aborted;
                self.lock().send(GatewayMessage::Ended { number, end });
            }
            None => {}
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Removes a request from the leader's queue when it is dropped, as on a client disconnect.
struct PendingGuard<'a> {
    client: &'a PlacementClient,
    number: u64,
}

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        let mut inner = self.client.lock();
        if inner.pending.remove(&self.number).is_some() {
            let end = RunEnd::Aborted;
            let number = self.number;
            inner.send(GatewayMessage::Ended { number, end });
        }
    }
}

impl Inner {
    fn is_leader(&self, instance: &InstanceId) -> bool {
        let leader = self.leader.as_ref();
        leader.is_some_and(|leader| leader.instance == *instance)
    }

    /// Sends a message to the leader. Returns whether it was queued for sending.
    fn send(&self, message: GatewayMessage) -> bool {
        let outbox = self
            .leader
            .as_ref()
            .and_then(|leader| self.outboxes.get(&leader.instance));
        let sent = outbox.map(|outbox| outbox.send(message));
        if sent == Some(SendOutcome::Full) {
            info!("dependency=scheduler message=dropped reason=\"the outbox is full\"");
        }
        sent == Some(SendOutcome::Queued)
    }

    /// Makes pending requests ask the next leader.
    fn redirect_pending(&mut self) {
        for (_, mut request) in self.pending.drain() {
            if let Some(decision) = request.decision.take() {
                let was_queued = request.queued.is_none();
                let changed = Decision::LeaderChanged { was_queued };
                decision.send(changed).ok();
            }
        }
    }

    fn report_runs(&mut self, now: Timestamp, predicate: impl Fn(&ActiveRun) -> bool) {
        let mut reported = Vec::new();
        for (number, run) in self.runs.iter().filter(|(_, run)| predicate(run)) {
            let decoding_for = run.started.map(|at| now.since(at));
            let held = RunningRequest {
                request: run.request.clone(),
                decode: run.placement.decode.clone(),
                decoding_for: decoding_for.unwrap_or_default(),
            };
            let service = run.service.clone();
            if self.send(GatewayMessage::ReportRunning { service, held }) {
                reported.push(*number);
            }
        }
        for number in reported {
            if let Some(run) = self.runs.get_mut(&number) {
                run.is_reported = true;
            }
        }
    }
}

impl PlacedRun {
    /// Reports the end of the prefill and its duration to the leader.
    pub(crate) fn report_prefilled(&self, took: Duration) {
        let number = self.number;
        self.send(GatewayMessage::Prefilled { number, took });
    }

    /// Reports the first output to the leader.
    pub(crate) fn report_started(&self, now: Timestamp) {
        if let Some(client) = self.client.upgrade()
            && let Some(run) = client.lock().runs.get_mut(&self.number)
        {
            run.started = Some(now);
        }
        let number = self.number;
        self.send(GatewayMessage::Started { number });
    }

    /// Reports the end of the run to the leader, which frees its capacity.
    pub(crate) fn end(mut self, end: RunEnd) {
        self.finish(end);
    }

    fn finish(&mut self, end: RunEnd) {
        if self.ended {
            return;
        }
        self.ended = true;
        self.reservation = None;
        if let Some(client) = self.client.upgrade() {
            client.lock().runs.remove(&self.number);
        }
        let number = self.number;
        self.send(GatewayMessage::Ended { number, end });
    }

    fn send(&self, message: GatewayMessage) {
        if let Some(client) = self.client.upgrade() {
            client.lock().send(message);
        }
    }
}

impl Drop for PlacedRun {
    fn drop(&mut self) {
        self.finish(RunEnd::Aborted);
    }
}

/// Cluster-wide identifier of a request of this gateway.
pub(crate) fn request_id(gateway: &InstanceId, number: u64) -> GatewayRequestId {
    GatewayRequestId {
        gateway: gateway.clone(),
        number,
    }
}
