//! Asks the leader where a request of a model may run.

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
use mimosa_schedule::fleet::Ask;
use mimosa_schedule::fleet::Held;
use mimosa_schedule::fleet::Placement;
use mimosa_schedule::fleet::RunEnd;
use mimosa_schedule::fleet::Ticket;
use mimosa_schedule::fleet::Unplaced;
use mimosa_transport::link::Outbox;
use mimosa_transport::link::SendOutcome;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Time in which the leader says at least that a request waits: some round trips inside a region.
const LEADER_PATIENCE: Duration = Duration::from_millis(150);
/// How long the next requests are placed without a leader that did not answer.
const LEADER_PAUSE: Duration = Duration::from_millis(500);

/// The requests that this gateway asked the leader to place.
#[derive(Default)]
pub(crate) struct Dispatch(Mutex<Inner>);

#[derive(Default)]
struct Inner {
    links: HashMap<InstanceId, Outbox<GatewayMessage>>,
    leader: Option<InstanceId>,
    /// Until when the leader is not asked.
    silent_until: Timestamp,
    next: u64,
    asked: HashMap<u64, Asked>,
    runs: HashMap<u64, RunState>,
}

/// A request that waits for the leader's answer.
struct Asked {
    queued: Option<oneshot::Sender<()>>,
    answer: Option<oneshot::Sender<Answer>>,
}

/// A request that the leader placed.
struct RunState {
    service: ServiceId,
    ask: Ask,
    placement: Placement,
    started: Option<Timestamp>,
    /// Whether the leader knows of it.
    is_told: bool,
}

enum Answer {
    Placed(Placement),
    Unplaced(Unplaced, Duration),
    /// Another instance leads now.
    Moved,
}

/// What became of an ask.
pub(crate) enum Verdict {
    /// It may run.
    Placed(Run),
    /// It may not run.
    Unplaced(Unplaced, Duration),
    /// No leader answers.
    Alone,
}

/// A placed request. Dropping it tells the leader that the run broke.
pub(crate) struct Run {
    dispatch: Weak<Dispatch>,
    number: u64,
    pub(crate) placement: Placement,
    ended: bool,
}

impl Dispatch {
    /// A connection to a control instance stands.
    pub(crate) fn connected(&self, instance: &InstanceId, outbox: Outbox<GatewayMessage>) {
        let mut inner = self.lock();
        inner.links.insert(instance.clone(), outbox);
    }

    /// A connection to a control instance is gone.
    pub(crate) fn disconnected(&self, instance: &InstanceId) {
        let mut inner = self.lock();
        inner.links.remove(instance);
        if inner.leader.as_ref() == Some(instance) {
            inner.move_asked();
        }
    }

    /// Another control instance leads.
    pub(crate) fn leader_is(&self, now: Timestamp, leader: Option<&InstanceId>) {
        let mut inner = self.lock();
        if inner.leader.as_ref() == leader {
            return;
        }
        inner.leader = leader.cloned();
        inner.silent_until = Timestamp::ZERO;
        inner.move_asked();
        inner.tell_held(now, |_| true);
    }

    /// Tells the leader what runs, after the connection to it was made.
    pub(crate) fn tell_held(&self, now: Timestamp, instance: &InstanceId) {
        let mut inner = self.lock();
        if inner.leader.as_ref() == Some(instance) {
            inner.tell_held(now, |_| true);
        }
    }

    /// Answers a heartbeat of a control instance, if it leads: what waits or runs.
    pub(crate) fn tell_holding(&self, now: Timestamp, instance: &InstanceId) {
        let mut inner = self.lock();
        if inner.leader.as_ref() == Some(instance) {
            inner.tell_held(now, |run| !run.is_told);
            let numbers = inner.asked.keys().chain(inner.runs.keys());
            let numbers = numbers.copied().collect();
            inner.send(GatewayMessage::Holding { numbers });
        }
    }

    /// Whether there is a connection to the leader.
    pub(crate) fn has_leader(&self) -> bool {
        let inner = self.lock();
        let leader = inner.leader.as_ref();
        leader.is_some_and(|leader| inner.links.contains_key(leader))
    }

    pub(crate) fn queued(&self, number: u64) {
        let queued = self
            .lock()
            .asked
            .get_mut(&number)
            .and_then(|asked| asked.queued.take());
        if let Some(queued) = queued {
            queued.send(()).ok();
        }
    }

    pub(crate) fn placed(&self, number: u64, placement: Placement) {
        self.answer(number, Answer::Placed(placement));
    }

    pub(crate) fn unplaced(&self, number: u64, why: Unplaced, retry_after: Duration) {
        self.answer(number, Answer::Unplaced(why, retry_after));
    }

    pub(crate) fn not_leading(&self, number: u64) {
        self.answer(number, Answer::Moved);
    }

    /// Asks the leader, and waits until it decides.
    pub(crate) async fn ask(
        self: &Arc<Self>,
        now: impl Fn() -> Timestamp,
        service: &ServiceId,
        ask: impl Fn(Timestamp, u64) -> Ask,
    ) -> Verdict {
        /// A request follows the leadership this often; then it is placed here.
        const MAX_MOVES: u32 = 2;
        for _ in 0..MAX_MOVES {
            let at = now();
            let Some((number, queued, answer, ask)) = self.send_ask(at, service, &ask) else {
                return Verdict::Alone;
            };
            let waiting = Waiting {
                dispatch: self,
                number,
            };
            match wait(queued, answer).await {
                Some(Answer::Placed(placement)) => {
                    std::mem::forget(waiting);
                    return Verdict::Placed(self.run(number, service, ask, placement));
                }
                Some(Answer::Unplaced(why, retry_after)) => {
                    return Verdict::Unplaced(why, retry_after);
                }
                Some(Answer::Moved) => {}
                None => {
                    info!("dependency=scheduler state=silent");
                    self.lock().silent_until = now() + LEADER_PAUSE;
                    return Verdict::Alone;
                }
            }
        }
        Verdict::Alone
    }

    /// Asks the leader for a part of an account's quota. Returns whether it was asked.
    pub(crate) fn borrow(&self, now: Timestamp, account: &AccountId, wanted: Tokens) -> bool {
        let inner = self.lock();
        let message = GatewayMessage::Borrow {
            account: account.clone(),
            wanted,
        };
        now >= inner.silent_until && inner.send(message)
    }

    fn send_ask(
        &self,
        now: Timestamp,
        service: &ServiceId,
        ask: impl Fn(Timestamp, u64) -> Ask,
    ) -> Option<(u64, oneshot::Receiver<()>, oneshot::Receiver<Answer>, Ask)> {
        let mut inner = self.lock();
        if now < inner.silent_until {
            return None;
        }
        inner.next += 1;
        let number = inner.next;
        let ask = ask(now, number);
        let message = GatewayMessage::Ask {
            service: service.clone(),
            ask: ask.clone(),
        };
        if !inner.send(message) {
            return None;
        }
        let (queued_tx, queued) = oneshot::channel();
        let (answer_tx, answer) = oneshot::channel();
        let asked = Asked {
            queued: Some(queued_tx),
            answer: Some(answer_tx),
        };
        inner.asked.insert(number, asked);
        Some((number, queued, answer, ask))
    }

    /// Keeps a run that this gateway placed without the leader, so that the next leader counts it.
    pub(crate) fn keep_alone(
        self: &Arc<Self>,
        service: &ServiceId,
        ask: impl FnOnce(u64) -> Ask,
        placement: Placement,
    ) -> Run {
        let number = {
            let mut inner = self.lock();
            inner.next += 1;
            inner.next
        };
        self.run(number, service, ask(number), placement)
    }

    fn run(
        self: &Arc<Self>,
        number: u64,
        service: &ServiceId,
        ask: Ask,
        placement: Placement,
    ) -> Run {
        let mut inner = self.lock();
        let asked = inner.asked.remove(&number);
        let state = RunState {
            service: service.clone(),
            ask,
            placement: placement.clone(),
            started: None,
            is_told: asked.is_some(),
        };
        inner.runs.insert(number, state);
        Run {
            dispatch: Arc::downgrade(self),
            number,
            placement,
            ended: false,
        }
    }

    fn answer(&self, number: u64, answer: Answer) {
        // The entry stays until the request goes on, so that it counts as held meanwhile.
        let asked = |inner: &mut Inner| inner.asked.get_mut(&number)?.answer.take();
        let waiting = asked(&mut self.lock());
        match waiting {
            Some(tx) => {
                tx.send(answer).ok();
            }
            // The caller left or was served without the leader meanwhile.
            None if matches!(answer, Answer::Placed(_)) => {
                let end = RunEnd::Broken;
                self.lock().send(GatewayMessage::Ended { number, end });
            }
            None => {}
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn wait(
    queued: oneshot::Receiver<()>,
    mut answer: oneshot::Receiver<Answer>,
) -> Option<Answer> {
    let first = timeout(LEADER_PATIENCE, async {
        tokio::select! {
            biased;
            answer = &mut answer => answer.ok(),
            _ = queued => None,
        }
    });
    match first.await {
        Ok(Some(answer)) => Some(answer),
        Ok(None) => answer.await.ok(),
        Err(_) => None,
    }
}

/// Takes a request out of the leader's queue when its caller leaves.
struct Waiting<'a> {
    dispatch: &'a Dispatch,
    number: u64,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut inner = self.dispatch.lock();
        if inner.asked.remove(&self.number).is_some() {
            let end = RunEnd::Broken;
            let number = self.number;
            inner.send(GatewayMessage::Ended { number, end });
        }
    }
}

impl Inner {
    fn send(&self, message: GatewayMessage) -> bool {
        let link = self
            .leader
            .as_ref()
            .and_then(|leader| self.links.get(leader));
        let sent = link.map(|outbox| outbox.send(message));
        if sent == Some(SendOutcome::Full) {
            info!("dependency=scheduler message=dropped reason=\"the outbox is full\"");
        }
        sent == Some(SendOutcome::Queued)
    }

    /// Lets the requests that wait ask the next leader.
    fn move_asked(&mut self) {
        for (_, mut asked) in self.asked.drain() {
            if let Some(answer) = asked.answer.take() {
                answer.send(Answer::Moved).ok();
            }
        }
    }

    fn tell_held(&mut self, now: Timestamp, wanted: impl Fn(&RunState) -> bool) {
        let mut told = Vec::new();
        for (number, run) in self.runs.iter().filter(|(_, run)| wanted(run)) {
            let decoding_for = run.started.map(|at| now.since(at));
            let held = Held {
                ask: run.ask.clone(),
                decode: run.placement.decode.clone(),
                decoding_for: decoding_for.unwrap_or_default(),
            };
            let service = run.service.clone();
            if self.send(GatewayMessage::Held { service, held }) {
                told.push(*number);
            }
        }
        for number in told {
            if let Some(run) = self.runs.get_mut(&number) {
                run.is_told = true;
            }
        }
    }
}

impl Run {
    /// The prompt was processed.
    pub(crate) fn prefilled(&self, took: Duration) {
        let number = self.number;
        self.tell(GatewayMessage::Prefilled { number, took });
    }

    /// The first output arrived.
    pub(crate) fn started(&self, now: Timestamp) {
        if let Some(dispatch) = self.dispatch.upgrade()
            && let Some(run) = dispatch.lock().runs.get_mut(&self.number)
        {
            run.started = Some(now);
        }
        let number = self.number;
        self.tell(GatewayMessage::Started { number });
    }

    /// The run ended.
    pub(crate) fn end(mut self, end: RunEnd) {
        self.finish(end);
    }

    fn finish(&mut self, end: RunEnd) {
        if self.ended {
            return;
        }
        self.ended = true;
        if let Some(dispatch) = self.dispatch.upgrade() {
            dispatch.lock().runs.remove(&self.number);
        }
        let number = self.number;
        self.tell(GatewayMessage::Ended { number, end });
    }

    fn tell(&self, message: GatewayMessage) {
        if let Some(dispatch) = self.dispatch.upgrade() {
            dispatch.lock().send(message);
        }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        self.finish(RunEnd::Broken);
    }
}

/// A ticket of this gateway.
pub(crate) fn ticket(gateway: &InstanceId, number: u64) -> Ticket {
    Ticket {
        gateway: gateway.clone(),
        number,
    }
}
