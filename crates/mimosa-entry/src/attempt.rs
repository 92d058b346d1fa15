//! One attempt of a placed request: prefill, KV cache transfer, decode.

use std::net::SocketAddr;
use std::sync::Arc;

use mimosa_hold::retry::Progress;
use mimosa_protocol::EndpointId;
use mimosa_protocol::Refusal;
use mimosa_protocol::RefusalReason;
use mimosa_protocol::Tokens;
use mimosa_protocol::configuration::EndpointState;
use mimosa_schedule::AttemptEnd;
use mimosa_schedule::Event;
use mimosa_schedule::Grant;
use mimosa_schedule::Submission;
use tokio::sync::Notify;

use crate::engine::AttemptId;
use crate::engine::EngineFailure;
use crate::engine::EngineResponse;
use crate::model_request::ModelRequest;
use crate::place::Placement;
use crate::place::RequestQueue;
use crate::shared::Shared;

/// Whether a request that a queue refused for this reason may be placed in another data centre.
pub(crate) const fn may_try_another_data_centre(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::TooLate
            | RefusalReason::QueueFull
            | RefusalReason::DataCentreOut
            | RefusalReason::NoEndpoint
    )
}

/// One attempt of a placed request. Dropping it releases its memory at the endpoints first and then
/// reports its end to the scheduler: memory counts as held until the endpoint has released it.
pub(crate) struct Attempt {
    shared: Arc<Shared>,
    queue: Arc<dyn RequestQueue>,
    id: AttemptId,
    grant: Grant,
    abort: Arc<Notify>,
    /// Endpoints that the attempt was sent to and that may hold memory for it.
    contacted: Vec<SocketAddr>,
    /// Endpoints registered with the hold monitor.
    held_endpoints: Vec<EndpointId>,
    /// How far the request itself got. A separate prefill does not run it.
    progress: Progress,
    /// Whether the end was reported or is being reported, so that dropping does not report it
    /// again.
    ended: bool,
    /// Estimated from the size of the prompt until the prefill engine reports the count.
    pub(crate) prompt_tokens: Tokens,
}

/// Why an attempt failed, and at which endpoint.
#[derive(Debug)]
pub(crate) struct AttemptFailure {
    pub(crate) failure: EngineFailure,
    pub(crate) endpoint: EndpointId,
}

impl Attempt {
    /// Waits in the queue until the request is placed.
    ///
    /// # Errors
    ///
    /// The scheduler's refusal, or [`RefusalReason::NoEndpoint`] if the queue was removed while the
    /// request waited.
    pub(crate) async fn place(
        shared: &Arc<Shared>,
        queue: &Arc<dyn RequestQueue>,
        submission: Submission,
        attempt_number: u32,
    ) -> Result<Self, Refusal> {
        let request = submission.request;
        let prompt_tokens = submission.prompt;
        let cancel_guard = CancelOnDrop {
            queue,
            request,
            armed: true,
        };
        let placed = queue.submit(submission).await;
        match placed {
            Ok(Placement::Granted(pending)) => {
                cancel_guard.disarm();
                let (grant, abort) = pending.take();
                Ok(Self {
                    shared: Arc::clone(shared),
                    queue: Arc::clone(queue),
                    id: AttemptId {
                        request,
                        number: attempt_number,
                    },
                    grant,
                    abort,
                    contacted: Vec::new(),
                    held_endpoints: Vec::new(),
                    progress: Progress::NotSent,
                    ended: false,
                    prompt_tokens,
                })
            }
            Ok(Placement::Refused(refusal)) => {
                cancel_guard.disarm();
                Err(refusal)
            }
            Err(_) => Err(Refusal::not_run(RefusalReason::NoEndpoint)),
        }
    }

    /// Whether a separate prefill was sent for this attempt, so that failing now wastes it.
    pub(crate) fn has_sent_prefill(&self) -> bool {
        self.grant.prefill.is_some() && !self.contacted.is_empty()
    }

    pub(crate) const fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    pub(crate) fn id(&self) -> AttemptId {
        self.id
    }

    pub(crate) fn endpoint(&self) -> &EndpointId {
        &self.grant.decode
    }

    /// Notified when the scheduler aborts the attempt or its holds are lost.
    pub(crate) fn abort(&self) -> Arc<Notify> {
        Arc::clone(&self.abort)
    }

    /// Runs a model request until the response headers have arrived.
    ///
    /// # Errors
    ///
    /// The failure and its endpoint. An attempt that is aborted after its decode was sent may have
    /// run.
    pub(crate) async fn run_model(
        &mut self,
        request: &ModelRequest,
    ) -> Result<EngineResponse, AttemptFailure> {
        let abort = self.abort();
        tokio::select! {
            response = self.prefill_and_decode(request) => response,
            () = abort.notified() => Err(AttemptFailure {
                failure: EngineFailure::aborted(self.progress),
                endpoint: self.grant.decode.clone(),
            }),
        }
    }

    async fn prefill_and_decode(
        &mut self,
        request: &ModelRequest,
    ) -> Result<EngineResponse, AttemptFailure> {
        let request_id = self.id.request;
        self.register_holds().await?;
        let kv = match self.grant.prefill.clone() {
            None => None,
            Some(endpoint) => {
                let address = self.resolve_and_record_start(&endpoint, request)?;
                let kv = self
                    .shared
                    .engine_client
                    .prefill(address, self.id, request)
                    .await;
                let kv = kv.map_err(|failure| self.record_failure(failure, &endpoint))?;
                self.prompt_tokens = kv.prompt_tokens.unwrap_or(self.prompt_tokens);
                self.shared
                    .metrics
                    .count_prefill(&request.service, self.prompt_tokens);
                self.queue.notify(Event::Prefilled {
                    request: request_id,
                });
                Some(kv)
            }
        };
        let endpoint = self.grant.decode.clone();
        let address = self.resolve_and_record_start(&endpoint, request)?;
        self.progress = Progress::Sent;
        let response = self
            .shared
            .engine_client
            .decode(address, self.id, request, kv)
            .await;
        let response = response.map_err(|failure| self.record_failure(failure, &endpoint))?;
        self.queue.notify(Event::Transferred {
            request: request_id,
        });
        Ok(response)
    }

    /// Registers the attempt's endpoints with the hold monitor, which cancels the work there if
    /// this entry fails, and waits until it has acknowledged them. Nothing is sent to an endpoint
    /// before that.
    async fn register_holds(&mut self) -> Result<(), AttemptFailure> {
        self.held_endpoints = self
            .grant
            .prefill
            .iter()
            .chain([&self.grant.decode])
            .cloned()
            .collect();
        let shared = Arc::clone(&self.shared);
        let held_endpoints = self.held_endpoints.clone();
        match shared
            .holds
            .register(&shared, self.id, held_endpoints, &self.abort)
            .await
        {
            true => Ok(()),
            false => Err(self.record_failure(EngineFailure::DECLINED, &self.grant.decode)),
        }
    }

    /// Returns the address of an endpoint, and records that the attempt may hold memory there and,
    /// for the quarantine, that the request runs there.
    fn resolve_and_record_start(
        &mut self,
        endpoint: &EndpointId,
        request: &ModelRequest,
    ) -> Result<SocketAddr, AttemptFailure> {
        let address = self.resolve_and_record_contact(endpoint)?;
        let quarantine = &self.shared.quarantine;
        let now = self.shared.now();
        quarantine.record_start(now, self.id.request, request, endpoint.clone());
        if !quarantine.knows_incarnation(endpoint) {
            tokio::spawn(fetch_incarnation(
                Arc::clone(&self.shared),
                endpoint.clone(),
                address,
            ));
        }
        Ok(address)
    }

    /// Requests the load of an endpoint that dropped the connection, to find out whether it
    /// crashed: it did if it has a new incarnation or cannot be reached.
    pub(crate) async fn check_for_crash(&self, failed: &AttemptFailure) {
        let request_id = self.id.request;
        let address = self
            .queue
            .endpoint(&failed.endpoint)
            .map(|endpoint| endpoint.address);
        if let (true, Some(address)) = (failed.failure.endpoint_down, address) {
            let load = self.shared.engine_client.load(address).await;
            let now = self.shared.now();
            let quarantine = &self.shared.quarantine;
            match load {
                Ok(load) => quarantine.record_incarnation(now, &failed.endpoint, load.incarnation),
                Err(_) => quarantine.record_crash(now, &failed.endpoint),
            }
        }
        self.shared.quarantine.record_end(request_id);
    }

    /// Finds out whether the endpoint's process has ended, so that an answer that ended with its
    /// connection may have broken off; reports the endpoint as down if so. A draining endpoint may
    /// end after its last answer.
    pub(crate) async fn has_endpoint_ended(&self) -> bool {
        let endpoint = self.queue.endpoint(&self.grant.decode);
        let Some(endpoint) = endpoint.filter(|each| each.state == EndpointState::Active) else {
            return false;
        };
        let client = &self.shared.engine_client;
        let has_ended = client.refuses_connections(endpoint.address).await;
        if has_ended {
            self.record_failure(EngineFailure::DISCONNECTED, &endpoint.id);
        }
        has_ended
    }

    /// Returns the address of an endpoint and records that the attempt may hold memory there.
    fn resolve_and_record_contact(
        &mut self,
        endpoint: &EndpointId,
    ) -> Result<SocketAddr, AttemptFailure> {
        let address = self.address_of(endpoint)?;
        self.contacted.push(address);
        Ok(address)
    }

    /// Returns the address of an endpoint without recording it, as for a plain service, which holds
    /// no memory for an attempt.
    pub(crate) fn address_of(&self, endpoint: &EndpointId) -> Result<SocketAddr, AttemptFailure> {
        let known = self.queue.endpoint(endpoint);
        known
            .map(|endpoint| endpoint.address)
            .ok_or_else(|| self.record_failure(EngineFailure::UNREACHABLE, endpoint))
    }

    /// Builds the failure of an endpoint, and reports the endpoint to the scheduler if it is down.
    pub(crate) fn record_failure(
        &self,
        failure: EngineFailure,
        endpoint: &EndpointId,
    ) -> AttemptFailure {
        if failure.endpoint_down {
            self.shared.mark_failed(endpoint);
            self.queue.notify(Event::EndpointDown {
                endpoint: endpoint.clone(),
            });
        }
        AttemptFailure {
            failure,
            endpoint: endpoint.clone(),
        }
    }

    /// Records that the answer is past its start, which clears the parts of its prompt.
    pub(crate) fn record_sound(&self) {
        let quarantine = &self.shared.quarantine;
        quarantine.record_sound(self.shared.now(), self.id.request);
    }

    /// Ends an attempt whose stream broke off, and finds out whether its endpoint crashed.
    pub(crate) fn end_broken(self) {
        let failed = self.record_failure(EngineFailure::DISCONNECTED, &self.grant.decode);
        tokio::spawn(async move {
            self.check_for_crash(&failed).await;
            self.release_and_end(AttemptEnd::Failed).await;
        });
    }

    pub(crate) fn report_progress(&self, output: Tokens) {
        self.queue.notify(Event::Progress {
            request: self.id.request,
            output,
        });
    }

    /// Ends an attempt whose endpoints hold nothing for it any more, so that no cancellation is
    /// sent to them.
    pub(crate) fn end(mut self, end: AttemptEnd) {
        self.ended = true;
        if end == AttemptEnd::Complete {
            self.shared
                .quarantine
                .record_completion(self.shared.now(), self.id.request);
        }
        let held_endpoints = std::mem::take(&mut self.held_endpoints);
        self.shared
            .holds
            .release(&self.shared, self.id, held_endpoints);
        self.queue.notify(Event::Ended {
            request: self.id.request,
            end,
        });
    }

    /// Ends a failed attempt. Returns when its endpoints have confirmed the cancellation or could
    /// not be reached.
    pub(crate) async fn release_and_end(mut self, end: AttemptEnd) {
        self.ended = true;
        let release = self.release(end);
        release.await;
    }

    fn release(&mut self, end: AttemptEnd) -> impl Future<Output = ()> + use<> {
        let shared = Arc::clone(&self.shared);
        let queue = Arc::clone(&self.queue);
        let contacted = std::mem::take(&mut self.contacted);
        let held_endpoints = std::mem::take(&mut self.held_endpoints);
        let id = self.id;
        async move {
            for address in contacted {
                shared.engine_client.cancel(address, id).await;
            }
            shared.quarantine.record_end(id.request);
            shared.holds.release(&shared, id, held_endpoints);
            queue.notify(Event::Ended {
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

/// Removes a request from the queue if its caller disconnects while it waits.
struct CancelOnDrop<'a> {
    queue: &'a Arc<dyn RequestQueue>,
    request: mimosa_protocol::RequestId,
    armed: bool,
}

impl CancelOnDrop<'_> {
    fn disarm(mut self) {
        self.armed = false;
    }
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        if self.armed {
            let request = self.request;
            self.queue.notify(Event::Cancel { request });
        }
    }
}

/// Fetches the incarnation of an endpoint that this entry uses for the first time, so that a later
/// crash can be detected.
async fn fetch_incarnation(shared: Arc<Shared>, endpoint: EndpointId, address: SocketAddr) {
    if let Ok(load) = shared.engine_client.load(address).await {
        shared
            .quarantine
            .record_incarnation(shared.now(), &endpoint, load.incarnation);
    }
}
