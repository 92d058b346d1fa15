//! What a queue knows of this entry's own requests, and whom it asks.

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

use super::Claim;
use super::Placed;
use super::ServiceQueue;
use super::desk::Decision;
use super::desk::Desk;
use crate::peers::message::PeerMessage;
use crate::peers::message::QueueKey;

/// A message on its way to another entry.
pub(crate) type Letter = (InstanceId, PeerMessage);

/// What a queue knows.
pub(crate) struct Inner {
    pub(crate) key: QueueKey,
    pub(crate) me: InstanceId,
    pub(crate) own: Weak<ServiceQueue>,
    pub(crate) view: Option<View>,
    pub(crate) desk: Option<Desk>,
    pub(crate) scheduler: Option<InstanceId>,
    pub(crate) fence: GrantFence,
    pub(crate) waiting: HashMap<RequestId, Waiting>,
    pub(crate) running: HashMap<RequestId, Running>,
    pub(crate) outbox: Vec<Letter>,
}

/// A request that waits for a grant.
pub(crate) struct Waiting {
    submission: Submission,
    tx: oneshot::Sender<Placed>,
}

/// A request that runs.
pub(crate) struct Running {
    pub(crate) since: Timestamp,
    pub(crate) held: AttemptReport,
    abort: Arc<Notify>,
}

impl Inner {
    /// Joins the queue.
    pub(crate) fn submit(
        &mut self,
        now: Timestamp,
        submission: Submission,
        tx: oneshot::Sender<Placed>,
    ) {
        let waiting = Waiting {
            submission: submission.clone(),
            tx,
        };
        self.waiting.insert(submission.request, waiting);
        self.ask(now, Event::Submit(submission));
    }

    /// Notes what happened to a request of this entry and tells the scheduler.
    pub(crate) fn tell(&mut self, now: Timestamp, event: Event) {
        self.note(&event);
        self.ask(now, event);
    }

    fn note(&mut self, event: &Event) {
        match event {
            Event::Ended { request, .. } | Event::Cancel { request } => {
                self.waiting.remove(request);
                self.running.remove(request);
            }
            Event::Prefilled { request } => {
                self.change(*request, |held| held.prefilled = true);
            }
            Event::Transferred { request } => {
                self.change(*request, |held| held.transferred = true);
            }
            Event::Progress { request, output } => {
                self.change(*request, |held| held.output = *output);
            }
            _ => {}
        }
    }

    fn change(&mut self, request: RequestId, change: impl FnOnce(&mut AttemptReport)) {
        if let Some(running) = self.running.get_mut(&request) {
            change(&mut running.held);
        }
    }

    /// Asks the scheduler, here or elsewhere. Without one the event is dropped: the next report
    /// says the same.
    fn ask(&mut self, now: Timestamp, event: Event) {
        if let Some(desk) = &mut self.desk {
            let decisions = desk.decide(now, event);
            self.carry_out_all(now, decisions);
        } else if let Some(scheduler) = self.scheduler.clone() {
            self.send_ask(scheduler, self.me.clone(), false, event);
        }
    }

    fn send_ask(&mut self, to: InstanceId, owner: InstanceId, forwarded: bool, event: Event) {
        let message = PeerMessage::Ask {
            queue: self.key.clone(),
            owner,
            forwarded,
            event: Box::new(event),
        };
        self.outbox.push((to, message));
    }

    /// Another entry asks.
    pub(crate) fn asked(
        &mut self,
        now: Timestamp,
        owner: InstanceId,
        forwarded: bool,
        event: Event,
    ) {
        if let Some(desk) = &mut self.desk {
            let epoch = desk.epoch();
            if matches!(&event, Event::Report(report) if report.epoch < epoch) {
                let queue = self.key.clone();
                let message = PeerMessage::Scheduling { queue, epoch };
                self.outbox.push((owner.clone(), message));
            }
            let decisions = desk.decide_for(now, &owner, event);
            self.carry_out_all(now, decisions);
        } else if let (Some(scheduler), false) = (self.scheduler.clone(), forwarded) {
            self.send_ask(scheduler, owner, true, event);
        }
    }

    /// Tells the other entries under which epoch the queue is scheduled here, so that they report
    /// under it at once.
    pub(crate) fn announce(&mut self, epoch: Epoch, entries: &[InstanceId]) {
        for entry in entries.iter().filter(|entry| **entry != self.me) {
            let queue = self.key.clone();
            self.outbox
                .push((entry.clone(), PeerMessage::Scheduling { queue, epoch }));
        }
    }

    pub(crate) fn carry_out_all(&mut self, now: Timestamp, decisions: Vec<Decision>) {
        for (owner, action) in decisions {
            match owner.filter(|owner| *owner != self.me) {
                None => self.carry_out(now, action),
                Some(owner) => {
                    let queue = self.key.clone();
                    self.outbox
                        .push((owner, PeerMessage::Decided { queue, action }));
                }
            }
        }
    }

    /// Carries out a decision on a request of this entry.
    pub(crate) fn carry_out(&mut self, now: Timestamp, action: Action) {
        match action {
            Action::Start(grant) => self.start(now, grant),
            Action::Refuse { request, refusal } => self.refuse(request, refusal),
            Action::Abort { request } => match self.running.get(&request) {
                Some(running) => running.abort.notify_one(),
                None => self.ask(now, cancelled(request)),
            },
        }
    }

    fn start(&mut self, now: Timestamp, grant: Grant) {
        let request = grant.request;
        match self.fence.accept(now, &grant) {
            Ok(()) => {}
            Err(FenceError::Repeated | FenceError::OldEpoch { .. }) => return,
            Err(FenceError::Expired { .. }) => {
                self.ask(now, cancelled(request));
                let waiting = self.waiting.get(&request);
                let again = waiting.map(|waiting| waiting.submission.clone());
                again
                    .into_iter()
                    .for_each(|again| self.ask(now, Event::Submit(again)));
                return;
            }
        }
        let Some(waiting) = self.waiting.remove(&request) else {
            if !self.running.contains_key(&request) {
                self.ask(now, cancelled(request));
            }
            return;
        };
        self.deliver(now, waiting, grant);
    }

    fn deliver(&mut self, now: Timestamp, waiting: Waiting, grant: Grant) {
        let request = grant.request;
        let abort = Arc::new(Notify::new());
        let held = AttemptReport {
            submission: waiting.submission,
            grant: grant.clone(),
            prefilled: false,
            transferred: false,
            output: Tokens::ZERO,
        };
        let running = Running {
            since: now,
            held,
            abort: Arc::clone(&abort),
        };
        self.running.insert(request, running);
        let claim = Claim::new(grant, abort, Weak::clone(&self.own));
        if let Err(Placed::Granted(claim)) = waiting.tx.send(Placed::Granted(claim)) {
            // Taken here: dropping the claim would lock this queue a second time.
            claim.take();
            self.tell(now, cancelled(request));
        }
    }

    fn refuse(&mut self, request: RequestId, refusal: Refusal) {
        if let Some(waiting) = self.waiting.remove(&request) {
            let _ = waiting.tx.send(Placed::Refused(refusal));
        }
    }

    /// Reports everything in hand to the scheduler; ends what waited too long for one.
    pub(crate) fn report(&mut self, now: Timestamp) {
        self.give_up_waiting(now);
        let idle = self.waiting.is_empty() && self.running.is_empty();
        if idle && self.desk.is_none() && self.fence.epoch() == Epoch::ZERO {
            return;
        }
        let queued = self
            .waiting
            .values()
            .map(|waiting| waiting.submission.clone());
        let attempts = self.running.values().map(|running| running.held.clone());
        let report = EntryReport {
            instance: self.me.clone(),
            epoch: self.fence.epoch(),
            queued: queued.collect(),
            attempts: attempts.collect(),
        };
        self.ask(now, Event::Report(Box::new(report)));
    }

    /// Ends requests for which no scheduler answered within their queue time.
    fn give_up_waiting(&mut self, now: Timestamp) {
        let Some(view) = &self.view else { return };
        let patience = view.service.max_queue_time;
        let late: Vec<_> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| now > waiting.submission.arrived + patience)
            .map(|(request, _)| *request)
            .collect();
        for request in late {
            self.refuse(request, Refusal::not_run(RefusalReason::NoEndpoint));
            self.ask(now, Event::Cancel { request });
        }
    }
}

fn cancelled(request: RequestId) -> Event {
    Event::Ended {
        request,
        end: AttemptEnd::Cancelled,
    }
}
