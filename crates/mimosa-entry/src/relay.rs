//! Relays a streamed response to the caller with backpressure, and counts its tokens.

use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use bytes::Bytes;
use futures_util::stream;
use http_body_util::BodyExt;
use mimosa_hold::events::EventBuffer;
use mimosa_hold::events::MAX_EVENT_BYTES;
use mimosa_protocol::Refusal;
use mimosa_protocol::RefusalReason;
use mimosa_protocol::Tokens;
use mimosa_schedule::AttemptEnd;
use tokio::sync::Notify;

use crate::admission::Reservation;
use crate::attempt::Attempt;
use crate::engine::EngineFailure;
use crate::metrics::RequestRecord;
use crate::problem;
use crate::sse::Scanner;

/// Minimum number of output tokens between progress reports to the scheduler.
const PROGRESS_STEP: Tokens = Tokens(32);

/// Output after which an answer counts as started, which clears the parts of its prompt.
const SOUND_OUTPUT: Tokens = Tokens(8);

/// A response being streamed. Dropping it cancels the attempt.
pub(crate) struct Relay {
    pub(crate) body: Body,
    pub(crate) attempt: Option<Attempt>,
    pub(crate) reservation: Option<Reservation>,
    pub(crate) record: RequestRecord,
    /// Time without a complete event from the endpoint after which the stream counts as failed.
    pub(crate) idle_timeout: Duration,
    /// Holds back incomplete events, so that an error event never follows half of another.
    pub(crate) events: EventBuffer,
    pub(crate) scanner: Scanner,
    /// Whether the answer is past its start.
    pub(crate) is_sound: bool,
    /// Output tokens in the latest progress report.
    pub(crate) reported_output: Tokens,
    /// Notified when the scheduler aborts the attempt.
    pub(crate) abort: Arc<Notify>,
}

/// The next part of a stream.
enum StreamEvent {
    Bytes(Bytes),
    End,
    /// The connection to the endpoint broke, or the stream is malformed.
    Broken,
    Failed(RefusalReason),
}

impl Relay {
    /// Reads the first events. Until they are relayed, the request can still be retried at another
    /// endpoint.
    ///
    /// # Errors
    ///
    /// If the stream ends or fails before one. An endpoint that is silent is not taken for lost.
    pub(crate) async fn first_chunk(&mut self) -> Result<Bytes, EngineFailure> {
        match self.next_event().await {
            StreamEvent::Bytes(bytes) => Ok(bytes),
            StreamEvent::Failed(RefusalReason::Timeout) => Err(EngineFailure::TIMED_OUT),
            StreamEvent::End | StreamEvent::Broken | StreamEvent::Failed(_) => {
                Err(EngineFailure::DISCONNECTED)
            }
        }
    }

    /// Converts the relay into the caller's response body, which starts with the first chunk.
    pub(crate) fn into_body(self, first: Bytes) -> Body {
        let start = (Some(self), Some(first));
        let chunks = stream::unfold(start, |(relay, first)| async move {
            let mut relay = relay?;
            if let Some(first) = first {
                return Some((
                    Ok::<_, std::convert::Infallible>(first),
                    (Some(relay), None),
                ));
            }
            match relay.next_event().await {
                StreamEvent::Bytes(bytes) => Some((Ok(bytes), (Some(relay), None))),
                StreamEvent::End if relay.scanner.is_closed() => {
                    relay.complete();
                    None
                }
                StreamEvent::End | StreamEvent::Broken => {
                    if let Some(attempt) = relay.attempt.take() {
                        attempt.end_broken();
                    }
                    let event = relay.error_event(RefusalReason::EndpointFailed);
                    Some((Ok(event), (None, None)))
                }
                StreamEvent::Failed(reason) => Some((Ok(relay.error_event(reason)), (None, None))),
            }
        });
        Body::from_stream(chunks)
    }

    /// Waits for complete events.
    async fn next_event(&mut self) -> StreamEvent {
        let abort = Arc::clone(&self.abort);
        let idle_timeout = self.idle_timeout;
        tokio::select! {
            event = tokio::time::timeout(idle_timeout, self.read_events()) => {
                event.unwrap_or(StreamEvent::Failed(RefusalReason::Timeout))
            }
            () = abort.notified() => StreamEvent::Failed(RefusalReason::EndpointFailed),
        }
    }

    async fn read_events(&mut self) -> StreamEvent {
        loop {
            let bytes = match self.body.frame().await {
                None => return StreamEvent::End,
                Some(Err(e)) => {
                    log::info!(
                        "request={} step=stream outcome=cut reason=\"{e}\"",
                        self.record.request
                    );
                    return StreamEvent::Broken;
                }
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            self.record_output(&bytes);
            let events = self.events.push(&bytes);
            if self.events.partial_len() > MAX_EVENT_BYTES {
                return StreamEvent::Broken;
            }
            if !events.is_empty() {
                return StreamEvent::Bytes(events);
            }
        }
    }

    fn record_output(&mut self, bytes: &Bytes) {
        self.scanner.read(bytes);
        let output = self.scanner.output();
        self.record.record_output(output);
        let Some(attempt) = &self.attempt else {
            return;
        };
        let prompt = self.scanner.prompt().unwrap_or(attempt.prompt_tokens);
        if let Some(reservation) = &mut self.reservation {
            reservation.record_usage(prompt + output);
        }
        if output >= SOUND_OUTPUT && !self.is_sound {
            self.is_sound = true;
            attempt.record_sound();
        }
        if output >= self.reported_output + PROGRESS_STEP {
            self.reported_output = output;
            attempt.report_progress(output);
        }
    }

    fn complete(&mut self) {
        self.record.complete();
        if let Some(attempt) = self.attempt.take() {
            attempt.end(AttemptEnd::Complete);
        }
    }

    /// Records the response as incomplete and builds the event that tells the caller.
    fn error_event(&mut self, reason: RefusalReason) -> Bytes {
        self.record.incomplete(reason);
        Bytes::from(problem::stream_event(&Refusal::failed(reason)))
    }
}
