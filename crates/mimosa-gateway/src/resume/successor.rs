//! Requests the rest of a stream from another endpoint.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use log::info;
use mimosa_protocol::EndpointId;
use tokio::sync::oneshot;

use crate::head::IdentifiedRequest;
use crate::model;
use crate::model::Attempts;
use crate::relay;
use crate::response::Body;
use crate::response::Failure;
use crate::shared::Shared;
use crate::upstream::ClientRequest;

/// Request of a stream and its attempts so far, needed to resume the stream.
pub(crate) struct ResumeContext {
    pub(super) shared: Arc<Shared>,
    pub(super) request: IdentifiedRequest,
    pub(super) client_request: ClientRequest,
    attempts: Attempts,
    /// The endpoint of the stream that the client gets; `None` if unknown.
    endpoint: Option<EndpointId>,
}

/// What came of a request for the rest of a stream.
pub(super) enum SuccessorOutcome {
    Begun(Body),
    Failed(Failure),
    /// The first stream went on before an answer began.
    Cancelled,
}

type RequestFuture = Pin<Box<dyn Future<Output = (Box<ResumeContext>, SuccessorOutcome)> + Send>>;

/// A request for the rest of a stream whose answer has not begun.
pub(super) struct Requested {
    future: RequestFuture,
    /// `None` once cancelled.
    cancel: Option<oneshot::Sender<()>>,
}

impl Requested {
    /// Gives the request up: it leaves the queue, and its calls are closed. The outcome follows with the
    /// next poll.
    pub(super) fn cancel(&mut self) {
        if let Some(cancel) = self.cancel.take() {
            cancel.send(()).ok();
        }
    }

    pub(super) fn poll(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<(Box<ResumeContext>, SuccessorOutcome)> {
        let (context, outcome) = ready!(self.future.as_mut().poll(cx));
        // Its answer may have begun at the moment of the cancellation.
        let outcome = match self.cancel {
            Some(_) => outcome,
            None => SuccessorOutcome::Cancelled,
        };
        Poll::Ready((context, outcome))
    }
}

impl ResumeContext {
    /// The context of a stream that the last attempt has begun.
    pub(crate) fn new(
        shared: Arc<Shared>,
        request: IdentifiedRequest,
        client_request: ClientRequest,
        attempts: Attempts,
    ) -> Self {
        Self {
            endpoint: attempts.last_endpoint(),
            shared,
            request,
            client_request,
            attempts,
        }
    }

    /// Records that the client gets the stream of the last attempt from now on.
    pub(super) fn adopt_last_endpoint(&mut self) {
        self.record("switched", "the second stream has begun");
        self.endpoint = self.attempts.last_endpoint();
    }

    /// Requests the events after the last one from another endpoint, or returns the context if the
    /// request may not run again. An endpoint whose stream is still open gets no second run.
    pub(super) fn request(
        mut self: Box<Self>,
        cause: &str,
        last_event_id: Option<String>,
        is_open: bool,
    ) -> Result<Requested, Box<Self>> {
        let is_allowed = self.take_retry();
        info!(
            "request={} step=resume cause=\"{cause}\" outcome={} last_event={}",
            self.request.metadata.attempt_id,
            if is_allowed { "tried" } else { "refused" },
            last_event_id.as_deref().unwrap_or("none"),
        );
        if !is_allowed {
            self.shared.metrics.record_resume("refused");
            return Err(self);
        }
        self.attempts.running_at = self.endpoint.clone().filter(|_| is_open);
        let (cancel, cancelled) = oneshot::channel();
        Ok(Requested {
            future: Box::pin(self.resume_after(last_event_id, cancelled)),
            cancel: Some(cancel),
        })
    }

    fn take_retry(&self) -> bool {
        let now = self.shared.now();
        self.attempts.remaining > 0
            && now < self.request.deadline
            && self.shared.take_retry(now, &self.request.service)
    }

    async fn resume_after(
        mut self: Box<Self>,
        last_event_id: Option<String>,
        cancelled: oneshot::Receiver<()>,
    ) -> (Box<Self>, SuccessorOutcome) {
        if let Some(id) = last_event_id {
            let headers = &mut self.client_request.headers;
            self.shared.dialect.set_last_event_id(headers, &id);
        }
        self.request.waiting_since = self.shared.now();
        let Self {
            shared,
            request,
            client_request,
            attempts,
            ..
        } = self.as_mut();
        let result = tokio::select! {
            biased;
            Ok(()) = cancelled => {
                attempts.discard_kv_cache();
                self.record("abandoned", "the first stream goes on");
                return (self, SuccessorOutcome::Cancelled);
            }
            result = model::run_with_retries(shared, request, client_request, attempts) => result,
        };
        let outcome = match result {
            Ok(response) if relay::is_event_stream(response.status(), response.headers(), true) => {
                self.record("started", "an endpoint answers");
                SuccessorOutcome::Begun(response.into_body())
            }
            Ok(response) => {
                self.record("failed", response.status().as_str());
                SuccessorOutcome::Failed(Failure::Lost("the stream does not go on"))
            }
            Err(failure) => {
                self.record("failed", failure.reason());
                SuccessorOutcome::Failed(failure)
            }
        };
        (self, outcome)
    }

    /// Logs and counts a step of the resumption.
    pub(super) fn record(&self, outcome: &str, reason: &str) {
        info!(
            "request={} step=resume outcome={outcome} reason=\"{reason}\"",
            self.request.metadata.attempt_id
        );
        self.shared.metrics.record_resume(outcome);
    }
}
