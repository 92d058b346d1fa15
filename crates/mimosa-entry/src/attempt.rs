//! One run of a placed request: prefill, transfer, decode.

use std::net::SocketAddr;
use std::sync::Arc;

use mimosa_protocol::EndpointId;
use mimosa_protocol::Refusal;
use mimosa_protocol::RefusalReason;
use mimosa_protocol::Tokens;
use mimosa_schedule::AttemptEnd;
use mimosa_schedule::Event;
use mimosa_schedule::Grant;
use mimosa_schedule::Submission;
use tokio::sync::Notify;

use crate::call::ModelCall;
use crate::engine::Answer;
use crate::engine::AttemptId;
use crate::engine::EngineFailure;
use crate::place::Placed;
use crate::place::Placer;
use crate::shared::Shared;

/// Whether another data centre may take a request that this one's queue refused.
pub(crate) const fn may_go_elsewhere(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::TooLate
            | RefusalReason::QueueFull
            | RefusalReason::DataCentreOut
            | RefusalReason::NoEndpoint
    )
}

/// One run of a placed request. Dropping it frees what it holds at the endpoints and then in the
/// queue's accounts, in this order: memory counts as held until the endpoint has let go of it.
pub(crate) struct Attempt {
    shared: Arc<Shared>,
    placer: Arc<dyn Placer>,
    id: AttemptId,
    grant: Grant,
    abort: Arc<Notify>,
    touched: Vec<SocketAddr>,
    held: Vec<EndpointId>,
    ended: bool,
    pub(crate) prompt: Tokens,
}

/// A failed attempt and where it failed.
#[derive(Debug)]
pub(crate) struct Failed {
    pub(crate) failure: EngineFailure,
    pub(crate) endpoint: EndpointId,
}

impl Attempt {
    /// Waits in the queue until the request is placed.
    ///
    /// # Errors
    ///
    /// A refusal if it is not placed.
    pub(crate) async fn place(
        shared: &Arc<Shared>,
        placer: &Arc<dyn Placer>,
        submission: Submission,
        number: u32,
    ) -> Result<Self, Refusal> {
        let request = submission.request;
        let prompt = submission.prompt;
        let leave = LeaveQueue {
            placer,
            request,
            armed: true,
        };
        let placed = placer.submit(submission).await;
        match placed {
            Ok(Placed::Granted(claim)) => {
                leave.disarm();
                let (grant, abort) = claim.take();
                Ok(Self {
                    shared: Arc::clone(shared),
                    placer: Arc::clone(placer),
                    id: AttemptId { request, number },
                    grant,
                    abort,
                    touched: Vec::new(),
                    held: Vec::new(),
                    ended: false,
                    prompt,
                })
            }
            Ok(Placed::Refused(refusal)) => {
                leave.disarm();
                Err(refusal)
            }
            Err(_) => Err(Refusal::not_run(RefusalReason::NoEndpoint)),
        }
    }

    /// Whether a prompt was processed for this attempt.
    pub(crate) fn has_prefilled(&self) -> bool {
        self.grant.prefill.is_some() && !self.touched.is_empty()
    }

    pub(crate) fn id(&self) -> AttemptId {
        self.id
    }

    pub(crate) fn endpoint(&self) -> &EndpointId {
        &self.grant.decode
    }

    /// Tells when the scheduler wants the attempt stopped.
    pub(crate) fn abort(&self) -> Arc<Notify> {
        Arc::clone(&self.abort)
    }

    /// Runs a call to a model until the head of its answer has arrived.
    ///
    /// # Errors
    ///
    /// Where and how the endpoint failed.
    pub(crate) async fn run_model(&mut self, call: &ModelCall) -> Result<Answer, Failed> {
        let abort = self.abort();
        tokio::select! {
            answer = self.prefill_and_decode(call) => answer,
            () = abort.notified() => Err(Failed {
                failure: EngineFailure::BUSY,
                endpoint: self.grant.decode.clone(),
            }),
        }
    }

    async fn prefill_and_decode(&mut self, call: &ModelCall) -> Result<Answer, Failed> {
        let request = self.id.request;
        self.hold().await?;
        let kv = match self.grant.prefill.clone() {
            None => None,
            Some(endpoint) => {
                let address = self.send_to(&endpoint, call)?;
                let kv = self.shared.engine.prefill(address, self.id, call).await;
                let kv = kv.map_err(|failure| self.failed(failure, &endpoint))?;
                self.prompt = kv.prompt.unwrap_or(self.prompt);
                self.shared.metrics.prefilled(&call.service, self.prompt);
                self.placer.tell(Event::Prefilled { request });
                Some(kv)
            }
        };
        let endpoint = self.grant.decode.clone();
        let address = self.send_to(&endpoint, call)?;
        let answer = self.shared.engine.decode(address, self.id, call, kv).await;
        let answer = answer.map_err(|failure| self.failed(failure, &endpoint))?;
        self.placer.tell(Event::Transferred { request });
        Ok(answer)
    }

    /// Waits until another entry knows what this attempt is about to hold.
    async fn hold(&mut self) -> Result<(), Failed> {
        self.held = self
            .grant
            .prefill
            .iter()
            .chain([&self.grant.decode])
            .cloned()
            .collect();
        let shared = Arc::clone(&self.shared);
        let held = self.held.clone();
        match shared
            .holds
            .place(&shared, self.id, held, &self.abort)
            .await
        {
            true => Ok(()),
            false => Err(self.failed(EngineFailure::BUSY, &self.grant.decode)),
        }
    }

    /// Looks an endpoint up and notes that the request runs there from now on.
    fn send_to(&mut self, endpoint: &EndpointId, call: &ModelCall) -> Result<SocketAddr, Failed> {
        let address = self.touch(endpoint)?;
        let suspects = &self.shared.suspects;
        suspects.started(self.id.request, call.fingerprint, endpoint.clone());
        if !suspects.knows(endpoint) {
            tokio::spawn(learn_life(
                Arc::clone(&self.shared),
                endpoint.clone(),
                address,
            ));
        }
        Ok(address)
    }

    /// Finds out whether an endpoint that cut an answer crashed.
    pub(crate) async fn examine(&self, failed: &Failed) {
        let request = self.id.request;
        let address = self
            .placer
            .endpoint(&failed.endpoint)
            .map(|endpoint| endpoint.address);
        if let (true, Some(address)) = (failed.failure.lost, address) {
            let load = self.shared.engine.load(address).await;
            let now = self.shared.now();
            let suspects = &self.shared.suspects;
            match load {
                Ok(load) => suspects.seen(now, &failed.endpoint, load.incarnation),
                Err(_) => suspects.lost(now, &failed.endpoint),
            }
        }
        self.shared.suspects.stopped(request);
    }

    /// Looks an endpoint up and remembers that the attempt may hold something there.
    fn touch(&mut self, endpoint: &EndpointId) -> Result<SocketAddr, Failed> {
        let address = self.look_up(endpoint)?;
        self.touched.push(address);
        Ok(address)
    }

    /// Looks an endpoint up that holds nothing of an attempt, such as a plain service.
    pub(crate) fn look_up(&self, endpoint: &EndpointId) -> Result<SocketAddr, Failed> {
        let known = self.placer.endpoint(endpoint);
        known
            .map(|endpoint| endpoint.address)
            .ok_or_else(|| self.failed(EngineFailure::UNREACHABLE, endpoint))
    }

    /// Notes a failure and tells the policy if the endpoint seems to be gone.
    pub(crate) fn failed(&self, failure: EngineFailure, endpoint: &EndpointId) -> Failed {
        if failure.lost {
            self.shared.doubt(endpoint);
            self.placer.tell(Event::EndpointDown {
                endpoint: endpoint.clone(),
            });
        }
        Failed {
            failure,
            endpoint: endpoint.clone(),
        }
    }

    pub(crate) fn progress(&self, output: Tokens) {
        self.placer.tell(Event::Progress {
            request: self.id.request,
            output,
        });
    }

    /// Ends an attempt whose endpoints hold nothing any more.
    pub(crate) fn end(mut self, end: AttemptEnd) {
        self.ended = true;
        if end == AttemptEnd::Complete {
            self.shared
                .suspects
                .completed(self.shared.now(), self.id.request);
        }
        let held = std::mem::take(&mut self.held);
        self.shared.holds.release(&self.shared, self.id, held);
        self.placer.tell(Event::Ended {
            request: self.id.request,
            end,
        });
    }

    /// Ends a failed attempt; returns when its endpoints let go or could not be reached.
    pub(crate) async fn give_up(mut self, end: AttemptEnd) {
        self.ended = true;
        let release = self.release(end);
        release.await;
    }

    fn release(&mut self, end: AttemptEnd) -> impl Future<Output = ()> + use<> {
        let shared = Arc::clone(&self.shared);
        let placer = Arc::clone(&self.placer);
        let touched = std::mem::take(&mut self.touched);
        let held = std::mem::take(&mut self.held);
        let id = self.id;
        async move {
            for address in touched {
                shared.engine.cancel(address, id).await;
            }
            shared.suspects.stopped(id.request);
            shared.holds.release(&shared, id, held);
            placer.tell(Event::Ended {
                request: id.request,
                end,
            });
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if !self.ended {
            tokio::spawn(self.release(AttemptEnd::Cancelled));
        }
    }
}

/// Takes a request out of the queue if its caller leaves while it waits.
struct LeaveQueue<'a> {
    placer: &'a Arc<dyn Placer>,
    request: mimosa_protocol::RequestId,
    armed: bool,
}

impl LeaveQueue<'_> {
    fn disarm(mut self) {
        self.armed = false;
    }
}

impl Drop for LeaveQueue<'_> {
    fn drop(&mut self) {
        if self.armed {
            let request = self.request;
            self.placer.tell(Event::Cancel { request });
        }
    }
}

/// Learns the life of an endpoint that this entry uses for the first time.
async fn learn_life(shared: Arc<Shared>, endpoint: EndpointId, address: SocketAddr) {
    if let Ok(load) = shared.engine.load(address).await {
        shared
            .suspects
            .seen(shared.now(), &endpoint, load.incarnation);
    }
}
