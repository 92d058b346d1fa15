//! Resumption of event streams at another endpoint after a failure or a stall.
//!
//! An endpoint that sends nothing may have lost a stream or may have put it off. A silent stream
//! therefore stays open while its rest is requested elsewhere, and is closed with the first event from
//! there; if it goes on first, or there is none, it is kept.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Body as _;
use hyper::body::Frame;
use mimosa_hold::events::EventBuffer;
use mimosa_hold::events::MAX_EVENT_BYTES;
use tokio::time::Instant;
use tokio::time::Sleep;
use tokio::time::sleep;

use crate::response::Body;
use crate::response::BodyError;
use crate::resume::successor::Requested;
use crate::resume::successor::SuccessorOutcome;

mod successor;

pub(crate) use crate::resume::successor::ResumeContext;

/// Minimum stall time after which a stream is requested elsewhere.
const MIN_STALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Stall timeout as a multiple of the event gap target. Clients disconnect after 8 times the
/// target.
const STALL_TIMEOUT_GAPS: u32 = 4;
/// Longest time for which two endpoints work on a request: less than the 400 ms after which a second
/// run counts as running twice.
const MAX_OVERLAP: Duration = Duration::from_millis(350);
/// Delay of the stall timer from which on this process, or its client, may have been paused
/// meanwhile, so that nothing shows whether the endpoint was silent.
const PAUSE_DELAY: Duration = Duration::from_millis(100);
/// Time after a pause in which events that arrived meanwhile are read.
const CATCH_UP_TIME: Duration = Duration::from_millis(250);

type NextFrame = Option<Result<Frame<Bytes>, BodyError>>;

/// The rest of a stream at another endpoint.
enum Successor {
    NotRequested(Box<ResumeContext>),
    Requested(Requested),
    /// The endpoint has begun its answer, but has sent no new event yet.
    Begun(BegunStream),
    /// After the end of the stream, and temporarily while the successor is replaced.
    None,
}

struct BegunStream {
    body: Body,
    events: EventBuffer,
    context: Box<ResumeContext>,
    overlap_timer: Pin<Box<Sleep>>,
}

impl BegunStream {
    /// Closes the stream, whose endpoint then stops.
    fn give_up(self, reason: &str) -> Successor {
        self.context.record("abandoned", reason);
        Successor::NotRequested(self.context)
    }
}

/// Response body whose endpoint may change.
struct ResumableBody {
    /// The stream that is forwarded; `None` after it broke off.
    current: Option<Body>,
    /// Holds back incomplete events of the current stream.
    events: EventBuffer,
    successor: Successor,
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
            current: Some(body),
            events: EventBuffer::after(last_event_id),
            successor: Successor::NotRequested(Box::new(context)),
            stall_timeout,
            stall_timer: Box::pin(sleep(stall_timeout)),
        };
        resumable.boxed_unsync()
    })
}

impl ResumableBody {
    fn reset_stall_timer(&mut self) {
        self.set_stall_timer(Instant::now(), self.stall_timeout);
    }

    fn set_stall_timer(&mut self, now: Instant, time: Duration) {
        self.stall_timer.as_mut().reset(now + time);
    }

    /// Requests the rest of the stream from another endpoint, if the request may run again. Returns
    /// whether it does.
    fn request_successor(&mut self, cause: &str) -> bool {
        match std::mem::replace(&mut self.successor, Successor::None) {
            Successor::NotRequested(context) => {
                let last_event_id = self.events.last_id().map(str::to_owned);
                let is_current_open = self.current.is_some();
                self.successor = match context.request(cause, last_event_id, is_current_open) {
                    Ok(requested) => Successor::Requested(requested),
                    Err(context) => Successor::NotRequested(context),
                };
            }
            other => self.successor = other,
        }
        matches!(self.successor, Successor::Requested(_))
    }

    /// Gives up the stream at the other endpoint, as the current one goes on.
    fn abandon_successor(&mut self, cx: &mut Context<'_>) {
        self.successor = match std::mem::replace(&mut self.successor, Successor::None) {
            Successor::Requested(mut requested) => {
                requested.cancel();
                match requested.poll(cx) {
                    Poll::Ready((context, _)) => Successor::NotRequested(context),
                    Poll::Pending => Successor::Requested(requested),
                }
            }
            Successor::Begun(begun) => begun.give_up("the first stream goes on"),
            other => other,
        };
    }

    /// Replaces the current stream, which closes its connection and stops the endpoint's work.
    fn switch_to(&mut self, begun: BegunStream) {
        let BegunStream {
            body,
            events,
            mut context,
            ..
        } = begun;
        context.adopt_last_endpoint();
        self.current = Some(body);
        self.events = events;
        self.successor = Successor::NotRequested(context);
        self.reset_stall_timer();
    }

    /// Handles the loss of the current stream. Returns an error for the client if the rest cannot be
    /// requested elsewhere.
    fn lose_current(&mut self, cause: &str, error: BodyError) -> Result<(), BodyError> {
        self.current = None;
        match std::mem::replace(&mut self.successor, Successor::None) {
            Successor::Begun(begun) => {
                self.switch_to(begun);
                return Ok(());
            }
            // One that was cancelled ends without a stream; the next one is requested then.
            Successor::Requested(requested) => {
                self.successor = Successor::Requested(requested);
                return Ok(());
            }
            other => self.successor = other,
        }
        match self.request_successor(cause) {
            true => Ok(()),
            false => {
                self.successor = Successor::None;
                Err(error)
            }
        }
    }

    /// Polls the current stream. `Pending` if it has no complete event or broke off.
    fn poll_current(&mut self, cx: &mut Context<'_>) -> Poll<NextFrame> {
        while let Some(body) = &mut self.current {
            match ready!(Pin::new(body).poll_frame(cx)) {
                Some(Ok(frame)) => {
                    let data = frame.into_data().unwrap_or_default();
                    let complete = self.events.push(&data);
                    if self.events.partial_len() > MAX_EVENT_BYTES {
                        const CAUSE: &str = "an event is too large";
                        let error = BodyError::NotResumed(CAUSE);
                        if let Err(e) = self.lose_current(CAUSE, error) {
                            return Poll::Ready(Some(Err(e)));
                        }
                    } else if !complete.is_empty() {
                        // Bytes of an incomplete event are no progress.
                        self.abandon_successor(cx);
                        self.reset_stall_timer();
                        return Poll::Ready(Some(Ok(Frame::data(complete))));
                    }
                }
                Some(Err(e)) => {
                    if let Err(e) = self.lose_current("the answer was cut off", e) {
                        return Poll::Ready(Some(Err(e)));
                    }
                }
                None => return Poll::Ready(self.end()),
            }
        }
        Poll::Pending
    }

    /// Ends the stream; returns the bytes after its last event.
    fn end(&mut self) -> NextFrame {
        self.current = None;
        self.successor = Successor::None;
        let remainder = self.events.take_remainder();
        (!remainder.is_empty()).then(|| Ok(Frame::data(remainder)))
    }

    /// Polls what may replace the current stream. Ready with `None` if the state has changed and all is to
    /// be polled again.
    fn poll_successor(&mut self, cx: &mut Context<'_>) -> Poll<Option<NextFrame>> {
        match &mut self.successor {
            Successor::NotRequested(_) => {
                ready!(self.stall_timer.as_mut().poll(cx));
                self.handle_stall(Instant::now());
                Poll::Ready(None)
            }
            Successor::Requested(requested) => {
                let (context, outcome) = ready!(requested.poll(cx));
                Poll::Ready(self.handle_outcome(context, outcome))
            }
            Successor::Begun(_) => self.poll_begun(cx),
            Successor::None => Poll::Ready(Some(None)),
        }
    }

    /// Handles the end of the stall timer. One that ends late says nothing of the endpoint.
    fn handle_stall(&mut self, now: Instant) {
        let delay = now.saturating_duration_since(self.stall_timer.deadline());
        if delay >= PAUSE_DELAY {
            self.set_stall_timer(now, CATCH_UP_TIME);
        } else {
            self.set_stall_timer(now, self.stall_timeout);
            self.request_successor("the endpoint sends no events");
        }
    }

    fn handle_outcome(
        &mut self,
        context: Box<ResumeContext>,
        outcome: SuccessorOutcome,
    ) -> Option<NextFrame> {
        self.reset_stall_timer();
        match outcome {
            SuccessorOutcome::Begun(body) => {
                let begun = BegunStream {
                    body,
                    events: self.events.successor(),
                    context,
                    overlap_timer: Box::pin(sleep(MAX_OVERLAP)),
                };
                match self.current {
                    Some(_) => self.successor = Successor::Begun(begun),
                    None => self.switch_to(begun),
                }
            }
            SuccessorOutcome::Failed(failure) if self.current.is_none() => {
                self.successor = Successor::None;
                let error = BodyError::NotResumed(failure.reason());
                return Some(Some(Err(error)));
            }
            SuccessorOutcome::Cancelled if self.current.is_none() => {
                self.successor = Successor::NotRequested(context);
                if !self.request_successor("the answer was cut off") {
                    self.successor = Successor::None;
                    let error = BodyError::NotResumed("the answer was cut off");
                    return Some(Some(Err(error)));
                }
            }
            SuccessorOutcome::Failed(_) | SuccessorOutcome::Cancelled => {
                self.successor = Successor::NotRequested(context);
            }
        }
        None
    }

    /// Polls the stream at the other endpoint, which replaces the current one with its first event.
    fn poll_begun(&mut self, cx: &mut Context<'_>) -> Poll<Option<NextFrame>> {
        let Successor::Begun(begun) = &mut self.successor else {
            return Poll::Ready(None);
        };
        let failure = match Pin::new(&mut begun.body).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                let data = frame.into_data().unwrap_or_default();
                let complete = begun.events.push(&data);
                if !complete.is_empty() {
                    if let Successor::Begun(begun) =
                        std::mem::replace(&mut self.successor, Successor::None)
                    {
                        self.switch_to(begun);
                    }
                    return Poll::Ready(Some(Some(Ok(Frame::data(complete)))));
                }
                if begun.events.partial_len() <= MAX_EVENT_BYTES {
                    return Poll::Ready(None);
                }
                "an event is too large"
            }
            Poll::Ready(Some(Err(_))) => "the second stream was cut off",
            // Nothing was left after the last event of the first stream, whose partial event is void.
            Poll::Ready(None) => {
                self.events = std::mem::take(&mut begun.events);
                return Poll::Ready(Some(self.end()));
            }
            Poll::Pending => {
                ready!(begun.overlap_timer.as_mut().poll(cx));
                "the second stream sent no event in time"
            }
        };
        if let Successor::Begun(begun) = std::mem::replace(&mut self.successor, Successor::None) {
            self.successor = begun.give_up(failure);
        }
        self.reset_stall_timer();
        Poll::Ready(None)
    }
}

impl hyper::body::Body for ResumableBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<NextFrame> {
        loop {
            if let Poll::Ready(next) = self.poll_current(cx) {
                return Poll::Ready(next);
            }
            if let Some(next) = ready!(self.poll_successor(cx)) {
                return Poll::Ready(next);
            }
        }
    }
}
