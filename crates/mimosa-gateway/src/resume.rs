//! Resumption of event streams at another endpoint after a failure or a stall.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Body as _;
use hyper::body::Frame;
use log::info;
use mimosa_hold::events::EventBuffer;
use mimosa_hold::events::MAX_EVENT_BYTES;
use tokio::time::Instant;
use tokio::time::Sleep;
use tokio::time::sleep;

use crate::head::IdentifiedRequest;
use crate::model;
use crate::model::Attempts;
use crate::relay;
use crate::response::Body;
use crate::response::BodyError;
use crate::response::Failure;
use crate::shared::Shared;
use crate::upstream::ClientRequest;

/// Minimum stall time after which a stream is resumed elsewhere.
const MIN_STALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Stall timeout as a multiple of the event gap target. Clients disconnect after 8 times the
/// target.
const STALL_TIMEOUT_GAPS: u32 = 4;

/// Request of a stream and its attempts so far, needed to resume the stream.
pub(crate) struct ResumeContext {
    pub(crate) shared: Arc<Shared>,
    pub(crate) request: IdentifiedRequest,
    pub(crate) client_request: ClientRequest,
    pub(crate) attempts: Attempts,
}

type ResumeFuture =
    Pin<Box<dyn Future<Output = (Box<ResumeContext>, Result<Body, Failure>)> + Send>>;

enum Source {
    Open(Body, Box<ResumeContext>),
    Resuming(ResumeFuture),
    /// After the end of the stream, and temporarily while the source is replaced.
    Ended,
}

/// Response body whose endpoint may change.
struct ResumableBody {
    source: Source,
    events: EventBuffer,
    stall_timeout: Duration,
    stall_timer: Pin<Box<Sleep>>,
}

/// Wraps a response so that its stream resumes at another endpoint after a failure.
pub(crate) fn resumable(response: Response<Body>, context: ResumeContext) -> Response<Body> {
    let gap = context.request.route.event_gap_target.unwrap_or_default();
    let stall_timeout = MIN_STALL_TIMEOUT.max(gap * STALL_TIMEOUT_GAPS);
    let last_event_id = context
        .shared
        .dialect
        .last_event_id(&context.client_request.headers);
    response.map(|body| {
        let resumable = ResumableBody {
            source: Source::Open(body, Box::new(context)),
            events: EventBuffer::after(last_event_id),
            stall_timeout,
            stall_timer: Box::pin(sleep(stall_timeout)),
        };
        resumable.boxed_unsync()
    })
}

impl ResumableBody {
    /// Closes the current stream and starts to resume it at another endpoint, if the request may
    /// run again. Returns whether it does.
    fn resume(&mut self, cause: &str) -> bool {
        let Source::Open(_, context) = &self.source else {
            return false;
        };
        let attempt_id = &context.request.metadata.attempt_id;
        let is_allowed = context.take_retry();
        info!(
            "request={attempt_id} step=resume cause=\"{cause}\" outcome={} last_event={}",
            if is_allowed { "tried" } else { "refused" },
            self.events.last_id().unwrap_or("none"),
        );
        if !is_allowed {
            context.shared.metrics.record_resume("refused");
            return false;
        }
        self.events.resume();
        let last_event_id = self.events.last_id().map(str::to_owned);
        // Dropping the old response body closes its connection, which stops the endpoint's work.
        if let Source::Open(_, context) = std::mem::replace(&mut self.source, Source::Ended) {
            self.source = Source::Resuming(Box::pin(context.resume_after(last_event_id)));
        }
        true
    }

    fn reset_stall_timer(&mut self) {
        self.stall_timer
            .as_mut()
            .reset(Instant::now() + self.stall_timeout);
    }

    /// Polls the open stream. Returns `None` if no complete event is available yet or the stream is
    /// being resumed.
    fn poll_open(&mut self, cx: &mut Context<'_>) -> Poll<Option<NextFrame>> {
        let Source::Open(body, _) = &mut self.source else {
            return Poll::Ready(Some(None));
        };
        match Pin::new(body).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                let data = frame.into_data().unwrap_or_default();
                let complete = self.events.push(&data);
                if self.events.partial_len() > MAX_EVENT_BYTES {
                    let is_resuming = self.resume("an event is too large");
                    let error = BodyError::NotResumed("an event is too large");
                    return Poll::Ready((!is_resuming).then_some(Some(Err(error))));
                }
                // Bytes of an incomplete event are no progress.
                if complete.is_empty() {
                    return self.poll_stall(cx);
                }
                self.reset_stall_timer();
                Poll::Ready(Some(Some(Ok(Frame::data(complete)))))
            }
            Poll::Ready(Some(Err(e))) => {
                let is_resuming = self.resume("the answer was cut off");
                Poll::Ready((!is_resuming).then_some(Some(Err(e))))
            }
            Poll::Ready(None) => {
                self.source = Source::Ended;
                let remainder = self.events.take_remainder();
                Poll::Ready(Some(
                    (!remainder.is_empty()).then(|| Ok(Frame::data(remainder))),
                ))
            }
            Poll::Pending => {
                ready!(self.stall_timer.as_mut().poll(cx));
                self.resume_stalled();
                Poll::Ready(None)
            }
        }
    }

    /// Handles received bytes without a complete event: the stream is polled again, after it was
    /// resumed if it has stalled.
    fn poll_stall(&mut self, cx: &mut Context<'_>) -> Poll<Option<NextFrame>> {
        if self.stall_timer.as_mut().poll(cx).is_ready() {
            self.resume_stalled();
        }
        Poll::Ready(None)
    }

    /// Resumes a stalled stream elsewhere. One that may not be resumed stays open.
    fn resume_stalled(&mut self) {
        self.reset_stall_timer();
        self.resume("the endpoint sends no events");
    }
}

impl ResumeContext {
    fn take_retry(&self) -> bool {
        let now = self.shared.now();
        self.attempts.remaining > 0
            && now < self.request.deadline
            && self.shared.take_retry(now, &self.request.service)
    }

    /// Requests the rest of the stream from another endpoint.
    async fn resume_after(
        mut self: Box<Self>,
        last_event_id: Option<String>,
    ) -> (Box<Self>, Result<Body, Failure>) {
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
        } = self.as_mut();
        let attempt_id = &request.metadata.attempt_id;
        let resumed = match model::run_with_retries(shared, request, client_request, attempts).await
        {
            Ok(response) if relay::is_event_stream(response.status(), response.headers(), true) => {
                info!("request={attempt_id} step=resume outcome=started");
                shared.metrics.record_resume("started");
                Ok(response.into_body())
            }
            Ok(response) => {
                let status = response.status().as_u16();
                info!("request={attempt_id} step=resume outcome=failed status={status}");
                shared.metrics.record_resume("failed");
                Err(Failure::Lost("the stream does not go on"))
            }
            Err(failure) => {
                let reason = failure.reason();
                info!("request={attempt_id} step=resume outcome=failed reason=\"{reason}\"");
                shared.metrics.record_resume("failed");
                Err(failure)
            }
        };
        (self, resumed)
    }
}

type NextFrame = Option<Result<Frame<Bytes>, BodyError>>;

impl hyper::body::Body for ResumableBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<NextFrame> {
        loop {
            match &mut self.source {
                Source::Open(..) => {
                    if let Some(next) = ready!(self.poll_open(cx)) {
                        return Poll::Ready(next);
                    }
                }
                Source::Resuming(future) => {
                    let (context, resumed) = ready!(future.as_mut().poll(cx));
                    self.reset_stall_timer();
                    match resumed {
                        Ok(body) => self.source = Source::Open(body, context),
                        Err(failure) => {
                            self.source = Source::Ended;
                            let error = BodyError::NotResumed(failure.reason());
                            return Poll::Ready(Some(Err(error)));
                        }
                    }
                }
                Source::Ended => return Poll::Ready(None),
            }
        }
    }
}
