//! Relays a streamed response to the caller with backpressure, and counts its tokens.

use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use bytes::Bytes;
use futures_util::stream;
use http_body_util::BodyExt;
use mimosa_protocol::Refusal;
use mimosa_protocol::RefusalReason;
use mimosa_protocol::Tokens;
use mimosa_schedule::AttemptEnd;
use tokio::sync::Notify;

use crate::admission::Reservation;
use crate::attempt::Attempt;
use crate::metrics::RequestRecord;
use crate::problem;
use crate::sse::Scanner;

/// Minimum number of output tokens between progress reports to the scheduler.
const PROGRESS_STEP: Tokens = Tokens(32);

/// A response being streamed. Dropping it cancels the attempt.
pub(crate) struct Relay {
    pub(crate) body: Body,
    pub(crate) attempt: Option<Attempt>,
    pub(crate) reservation: Option<Reservation>,
    pub(crate) record: RequestRecord,
    /// Time without data from the endpoint after which the stream counts as failed.
    pub(crate) idle_timeout: Duration,
    pub(crate) scanner: Scanner,
    /// Output tokens in the latest progress report.
    pub(crate) reported_output: Tokens,
    /// Notified when the scheduler aborts the attempt.
    pub(crate) abort: Arc<Notify>,
}

/// The next part of a stream.
enum StreamEvent {
    Bytes(Bytes),
    End,
    Failed(RefusalReason),
}

impl Relay {
    /// Reads the first chunk; `None` if the stream ends or fails before it. Until the first chunk
    /// is relayed, the request can still be retried at another endpoint.
    pub(crate) async fn first_chunk(&mut self) -> Option<Bytes> {
        match self.next_event().await {
            StreamEvent::Bytes(bytes) => Some(bytes),
            StreamEvent::End | StreamEvent::Failed(_) => None,
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
                StreamEvent::End => Some((
                    Ok(relay.error_event(RefusalReason::EndpointFailed)),
                    (None, None),
                )),
                StreamEvent::Failed(reason) => Some((Ok(relay.error_event(reason)), (None, None))),
            }
        });
        Body::from_stream(chunks)
    }

    async fn next_event(&mut self) -> StreamEvent {
        loop {
            let frame = tokio::select! {
                frame = tokio::time::timeout(self.idle_timeout, self.body.frame()) => frame,
                () = self.abort.notified() => return StreamEvent::Failed(RefusalReason::EndpointFailed),
            };
            match frame {
                Err(_) => return StreamEvent::Failed(RefusalReason::Timeout),
                Ok(None) => return StreamEvent::End,
                Ok(Some(Err(_))) => return StreamEvent::Failed(RefusalReason::EndpointFailed),
                Ok(Some(Ok(frame))) => {
                    if let Ok(bytes) = frame.into_data() {
                        self.record_output(&bytes);
                        return StreamEvent::Bytes(bytes);
                    }
                }
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
