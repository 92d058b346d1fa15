//! The state of a queue: this entry's requests in it, and the scheduler that decides on them.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Weak;

use mimosa_protocol::Epoch;
use mimosa_protocol::InstanceId;
use mimosa_protocol::Refusal;
use mimosa_protocol::RefusalReason;
use mimosa_protocol::RequestId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::Tokens;
use mimosa_schedule::Action;
use mimosa_schedule::AttemptEnd;
use mimosa_schedule::Event;
use mimosa_schedule::Grant;
use mimosa_schedule::Submission;
use mimosa_schedule::event::AttemptReport;
use mimosa_schedule::event::EntryReport;
use mimosa_schedule::event::View;
use mimosa_schedule::fence::FenceError;
use mimosa_schedule::fence::GrantFence;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use super::PendingGrant;
use super::Placement;
use super::ServiceQueue;
use super::local_scheduler::Decision;
use super::local_scheduler::LocalScheduler;
use crate::peers::message::PeerMessage;
use crate::peers::message::QueueKey;

/// A message and its receiver.
pub(crate) type OutgoingMessage = (InstanceId, PeerMessage);

/// The state of a queue, kept under its lock.
pub(crate) struct QueueState {
    pub(crate) key: QueueKey,
    pub(crate) own_id: InstanceId,
    pub(crate) weak_self: Weak<ServiceQueue>,
    pub(crate) view: Option<View>,
    /// The scheduler, while this entry holds its role.
    pub(crate) local_scheduler: Option<LocalScheduler>,
    /// The entry that events are sent to otherwise.
    pub(crate) remote_scheduler: Option<InstanceId>,
    /// Rejects grants of earlier schedulers, expired grants and duplicates.
    pub(crate) fence: GrantFence,
    pub(crate) waiting: HashMap<RequestId, WaitingRequest>,
    pub(crate) running: HashMap<RequestId, RunningRequest>,
    /// Messages to send once the lock is released.
    pub(crate) outbox: Vec<OutgoingMessage>,
}

/// A request without a grant, and where its outcome is sent.
pub(crate) struct WaitingRequest {
    submission: Submission,
    tx: oneshot::Sender<Placement>,
}

/// A request that was granted endpoints and has not ended.
pub(crate) struct RunningRequest {
    pub(crate) started_at: Timestamp,
    pub(crate) report: AttemptReport,
    abort: Arc<Notify>,
}

impl QueueState {
    /// Stores a request until it is granted or refused, and sends it to the scheduler.
    pub(crate) fn submit(
        &mut self,
        now: Timestamp,
        submission: Submission,
        tx: oneshot::Sender<Placement>,
    ) {
        let waiting = WaitingRequest {
            submission: submission.clone(),
            tx,
        };
        self.waiting.insert(submission.request, waiting);
        self.send_to_scheduler(now, Event::Submit(submission));
    }

    /// Applies an event to this entry's requests and sends it to the scheduler.
    pub(crate) fn notify(&mut self, now: Timestamp, event: Event) {
        self.record_event(&event);
        self.send_to_scheduler(now, event);
    }

    /// Applies an event to this entry's own requests, so that the next report contains it.
    fn record_event(&mut self, event: &Event) {
        match event {
            Event::Ended { request, .. } | Event::Cancel { request } => {
                self.waiting.remove(request);
                self.running.remove(request);
            }
            Event::Prefilled { request } => {
                self.update_attempt(*request, |report| report.prefilled = true);
            }
            Event::Transferred { request } => {
                self.update_attempt(*request, |report| report.transferred = true);
            }
            Event::Progress { request, output } => {
                self.update_attempt(*request, |report| report.output = *output);
            }
            _ => {}
        }
    }

    fn update_attempt(&mut self, request: RequestId, change: impl FnOnce(&mut AttemptReport)) {
        if let Some(running) = self.running.get_mut(&request) {
            change(&mut running.report);
        }
    }

    /// Sends an event to the scheduler, here or at another entry. Without a scheduler the event is
    /// dropped; the next report carries the same state.
    fn send_to_scheduler(&mut self, now: Timestamp, event: Event) {
        if let Some(local_scheduler) = &mut self.local_scheduler {
            let decisions = local_scheduler.handle(now, event);
            self.apply_decisions(now, decisions);
        } else if let Some(scheduler) = self.remote_scheduler.clone() {
            self.push_scheduler_request(scheduler, self.own_id.clone(), false, event);
        }
    }

    fn push_scheduler_request(
        &mut self,
        to: InstanceId,
        owner: InstanceId,
        forwarded: bool,
        event: Event,
    ) {
        let message = PeerMessage::SchedulerRequest {
            queue: self.key.clone(),
            owner,
            forwarded,
            event: Box::new(event),
        };
        self.outbox.push((to, message));
    }

    /// Handles an event from another entry, or forwards it once to the scheduler.
    pub(crate) fn on_scheduler_request(
        &mut self,
        now: Timestamp,
        owner: InstanceId,
        forwarded: bool,
        event: Event,
    ) {
        if let Some(local_scheduler) = &mut self.local_scheduler {
            let epoch = local_scheduler.epoch();
            if matches!(&event, Event::Report(report) if report.epoch < epoch) {
                let queue = self.key.clone();
                let message = PeerMessage::SchedulerAnnouncement { queue, epoch };
                self.outbox.push((owner.clone(), message));
            }
            let decisions = local_scheduler.handle_for(now, &owner, event);
            self.apply_decisions(now, decisions);
        } else if let (Some(scheduler), false) = (self.remote_scheduler.clone(), forwarded) {
            self.push_scheduler_request(scheduler, owner, true, event);
        }
    }

    /// Announces to the other entries the epoch under which the queue is scheduled here, so that
    /// they send reports under it at once.
    pub(crate) fn announce(&mut self, epoch: Epoch, entries: &[InstanceId]) {
        for entry in entries.iter().filter(|entry| **entry != self.own_id) {
            let queue = self.key.clone();
            self.outbox.push((
                entry.clone(),
                PeerMessage::SchedulerAnnouncement { queue, epoch },
            ));
        }
    }

    pub(crate) fn apply_decisions(&mut self, now: Timestamp, decisions: Vec<Decision>) {
        for (owner, action) in decisions {
            match owner.filter(|owner| *owner != self.own_id) {
                None => self.apply_decision(now, action),
                Some(owner) => {
                    let queue = self.key.clone();
                    self.outbox
                        .push((owner, PeerMessage::SchedulerDecision { queue, action }));
                }
            }
        }
    }

    /// Applies a decision on a request of this entry.
    pub(crate) fn apply_decision(&mut self, now: Timestamp, action: Action) {
        match action {
            Action::Start(grant) => self.start(now, grant),
            Action::Refuse { request, refusal } => self.refuse(request, refusal),
            Action::Abort { request } => match self.running.get(&request) {
                Some(running) => running.abort.notify_one(),
                None => self.send_to_scheduler(now, cancelled(request)),
            },
        }
    }

    /// Accepts a grant. Grants of earlier schedulers and duplicates are ignored; an expired grant
    /// is returned to the scheduler and its request submitted again.
    fn start(&mut self, now: Timestamp, grant: Grant) {
        let request = grant.request;
        match self.fence.accept(now, &grant) {
            Ok(()) => {}
            Err(FenceError::Repeated | FenceError::OldEpoch { .. }) => return,
            Err(FenceError::Expired { .. }) => {
                self.send_to_scheduler(now, cancelled(request));
                let waiting = self.waiting.get(&request);
                let submission = waiting.map(|waiting| waiting.submission.clone());
                submission
                    .into_iter()
                    .for_each(|submission| self.send_to_scheduler(now, Event::Submit(submission)));
                return;
            }
        }
        let Some(waiting) = self.waiting.remove(&request) else {
            if !self.running.contains_key(&request) {
                self.send_to_scheduler(now, cancelled(request));
            }
            return;
        };
        self.deliver(now, waiting, grant);
    }

    fn deliver(&mut self, now: Timestamp, waiting: WaitingRequest, grant: Grant) {
        let request = grant.request;
        let abort = Arc::new(Notify::new());
        let report = AttemptReport {
            submission: waiting.submission,
            grant: grant.clone(),
            prefilled: false,
            transferred: false,
            output: Tokens::ZERO,
        };
        let running = RunningRequest {
            started_at: now,
            report,
            abort: Arc::clone(&abort),
        };
        self.running.insert(request, running);
        let pending = PendingGrant::new(grant, abort, Weak::clone(&self.weak_self));
        if let Err(Placement::Granted(pending)) = waiting.tx.send(Placement::Granted(pending)) {
            // Dropping an untaken grant would lock this queue again, which deadlocks.
            pending.take();
            self.notify(now, cancelled(request));
        }
    }

    fn refuse(&mut self, request: RequestId, refusal: Refusal) {
        if let Some(waiting) = self.waiting.remove(&request) {
            let _ = waiting.tx.send(Placement::Refused(refusal));
        }
    }

    /// Reports all requests to the scheduler, after refusing those that waited too long for one.
    pub(crate) fn report(&mut self, now: Timestamp) {
        self.expire_waiting(now);
        let idle = self.waiting.is_empty() && self.running.is_empty();
        if idle && self.local_scheduler.is_none() && self.fence.epoch() == Epoch::ZERO {
            return;
        }
        let queued = self
            .waiting
            .values()
            .map(|waiting| waiting.submission.clone());
        let attempts = self.running.values().map(|running| running.report.clone());
        let report = EntryReport {
            instance: self.own_id.clone(),
            epoch: self.fence.epoch(),
            queued: queued.collect(),
            attempts: attempts.collect(),
        };
        self.send_to_scheduler(now, Event::Report(Box::new(report)));
    }

    /// Refuses requests that no scheduler decided on within their maximum queue time.
    fn expire_waiting(&mut self, now: Timestamp) {
        let Some(view) = &self.view else { return };
        let max_queue_time = view.service.max_queue_time;
        let expired: Vec<_> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| now > waiting.submission.arrived + max_queue_time)
            .map(|(request, _)| *request)
            .collect();
        for request in expired {
            self.refuse(request, Refusal::not_run(RefusalReason::NoEndpoint));
            self.send_to_scheduler(now, Event::Cancel { request });
        }
    }
}

fn cancelled(request: RequestId) -> Event {
    Event::Ended {
        request,
        end: AttemptEnd::Cancelled,
    }
}
