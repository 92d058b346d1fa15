//! Body of an event stream that fails if it ends inside an event.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use mimosa_hold::events::EventScanner;

/// Why the body of an event stream is incomplete.
#[derive(Debug, thiserror::Error)]
pub(super) enum EventStreamError {
    /// The connection to the endpoint broke.
    #[error("the endpoint's stream was truncated: {0}")]
    Connection(#[from] hyper::Error),
    /// The body ended, but not its last event.
    #[error("the endpoint's stream ended inside an event, after {events} complete ones")]
    InsideEvent {
        /// Number of complete events.
        events: u64,
    },
}

/// Forwards a body as it arrives. An endpoint that crashes may close its connection in order, so
/// the framing alone does not show that the stream is complete.
pub(super) struct EventStreamBody {
    body: Incoming,
    events: EventScanner,
}

impl EventStreamBody {
    pub(super) fn new(body: Incoming) -> Self {
        Self {
            body,
            events: EventScanner::default(),
        }
    }

    fn check_end(&self) -> Result<(), EventStreamError> {
        let events = self.events.count();
        match self.events.partial_bytes() {
            0 => Ok(()),
            _ => Err(EventStreamError::InsideEvent { events }),
        }
    }
}

impl Body for EventStreamBody {
    type Data = Bytes;
    type Error = EventStreamError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, EventStreamError>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        let is_end = match &polled {
            Poll::Ready(None) => true,
            Poll::Ready(Some(Ok(frame))) => {
                if let Some(data) = frame.data_ref() {
                    self.events.scan(data);
                }
                self.body.is_end_stream()
            }
            Poll::Ready(Some(Err(_))) | Poll::Pending => false,
        };
        if is_end && let Err(e) = self.check_end() {
            // Reported once; the body is not polled again after an error.
            self.events = EventScanner::default();
            return Poll::Ready(Some(Err(e)));
        }
        polled.map_err(EventStreamError::from)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream() && self.events.partial_bytes() == 0
    }
}
