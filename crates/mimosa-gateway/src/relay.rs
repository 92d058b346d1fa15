//! Forwarding of endpoint responses to clients.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Body as _;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use hyper::header;
use log::info;
use mimosa_hold::events::EventScanner;
use mimosa_protocol::Timestamp;
use mimosa_protocol::Tokens;
use mimosa_schedule::fleet::RunEnd;
use tokio::time::Sleep;
use tokio::time::sleep;

use crate::answer_window;
use crate::connection::Connection;
use crate::directory::EndpointEntry;
use crate::directory::InFlightGuard;
use crate::dispatch::PlacedRun;
use crate::part_quarantine::SOUND_EVENTS;
use crate::part_quarantine::TrackedRun;
use crate::response;
use crate::response::Body;
use crate::response::BodyError;
use crate::rollout::VersionedCall;
use crate::shared::Shared;
use crate::takeover;
use crate::upstream;
use crate::upstream::CallFailure;
use crate::upstream::UpstreamResponse;

/// Largest response that is buffered before it is forwarded. A buffered response is known to be
/// complete, and a failed one can still be replaced by a retry.
const MAX_BUFFERED_BYTES: u64 = 64 << 10;

/// Buffers a small response. Streams it if its length is unknown or too large, or memory is full.
pub(crate) async fn buffer_or_stream(
    shared: &Arc<Shared>,
    upstream_response: UpstreamResponse,
    deadline: Timestamp,
    mut tracked: TrackedRun,
) -> Result<Response<Body>, CallFailure> {
    let length = upstream_response.response.body().size_hint().exact();
    let length = length.filter(|length| *length <= MAX_BUFFERED_BYTES);
    // Held until the response is complete; then the connection of the client accounts for it.
    let reserved = length.and_then(|length| answer_window::reserve_buffer(shared, length));
    if reserved.is_none() {
        let info = StreamInfo {
            deadline,
            tracked: Some(tracked),
            ..StreamInfo::default()
        };
        return Ok(stream(shared, upstream_response, info));
    }
    let UpstreamResponse {
        response,
        connection,
        endpoint,
        in_flight,
        sent,
        versioned,
    } = upstream_response;
    let (mut head, body) = response.into_parts();
    let collected = body.collect().await;
    let now = shared.now();
    drop(in_flight);
    drop(reserved);
    match collected {
        Ok(body) => {
            let is_failed = head.status.is_server_error();
            record_health(&endpoint, now, sent, is_failed);
            if let Some(versioned) = versioned {
                versioned.record_response(shared, now, !is_failed);
            }
            if head.status.is_success() {
                shared.speeds.record_answer(now, &endpoint, now.since(sent));
            }
            endpoint.pool.put(now, connection);
            tracked.record_sound(now, shared);
            upstream::remove_hop_by_hop(&mut head.headers);
            Ok(Response::from_parts(
                head,
                response::full_body(body.to_bytes()),
            ))
        }
        Err(_) => {
            endpoint.health().record_unreachable(now);
            if let Some(versioned) = versioned {
                versioned.record_response(shared, now, false);
            }
            tracked.report_lost(shared, &endpoint, sent);
            Err(upstream::RESPONSE_CUT)
        }
    }
}

fn record_health(endpoint: &EndpointEntry, now: Timestamp, sent: Timestamp, failed: bool) {
    let mut health = endpoint.health();
    if failed {
        health.record_failure(now);
    } else {
        health.record_answer(now, now.since(sent));
    }
}

/// Forwards a response as it arrives, and reports its progress and end.
pub(crate) fn stream(
    shared: &Arc<Shared>,
    upstream_response: UpstreamResponse,
    info: StreamInfo,
) -> Response<Body> {
    let (mut head, body) = upstream_response.response.into_parts();
    let framing = Framing::of(&head.headers, &body);
    let is_event_stream = is_event_stream(head.status, &head.headers, info.run.is_some());
    upstream::remove_hop_by_hop(&mut head.headers);
    if body.size_hint().exact().is_none() {
        head.headers.remove(header::CONTENT_LENGTH);
    }
    let time_left = info.deadline.since(shared.now());
    upstream_response.connection.set_held_up(true);
    let body = RelayBody {
        deadline_timer: Box::pin(sleep(time_left)),
        shared: Arc::clone(shared),
        body,
        connection: Some(upstream_response.connection),
        endpoint: upstream_response.endpoint,
        _in_flight: upstream_response.in_flight,
        sent: upstream_response.sent,
        versioned: upstream_response.versioned,
        is_server_error: head.status.is_server_error(),
        info,
        framing,
        is_event_stream,
        events: EventScanner::default(),
        timing: StreamTiming::default(),
        bytes: 0,
        crash_check: None,
        has_ended: false,
        failed: None,
    };
    Response::from_parts(head, body.boxed_unsync())
}

/// Request that a streamed response belongs to.
#[derive(Default)]
pub(crate) struct StreamInfo {
    /// Attempt identifier for the log; empty if the end of the stream is not logged.
    pub(crate) attempt_id: String,
    /// Shared parts of the prompt, for the log.
    pub(crate) shared_parts: String,
    /// Arrival time of the request.
    pub(crate) arrived: Timestamp,
    /// When the response breaks off if it is not complete, which bounds responses without end.
    pub(crate) deadline: Timestamp,
    /// Whether the stream continues after an event that the client already has.
    pub(crate) resumes: bool,
    /// Run to report progress for; `None` for plain services.
    pub(crate) run: Option<PlacedRun>,
    /// The run for the quarantine.
    pub(crate) tracked: Option<TrackedRun>,
    /// Output tokens per event.
    pub(crate) tokens_per_event: Tokens,
}

/// How an endpoint marks the end of a response body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length,
    Chunked,
    /// The body ends with its connection.
    Close,
}

impl Framing {
    fn of(headers: &HeaderMap, body: &Incoming) -> Self {
        if headers.contains_key(header::TRANSFER_ENCODING) {
            Self::Chunked
        } else if body.size_hint().exact().is_some() {
            Self::Length
        } else {
            Self::Close
        }
    }

    const fn as_str(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::Close => "close",
        }
    }
}

/// Whether the body of a successful response is a stream of events. Model endpoints may leave out
/// the content type.
pub(crate) fn is_event_stream(status: StatusCode, headers: &HeaderMap, is_model: bool) -> bool {
    let content_type = headers.get(header::CONTENT_TYPE);
    status.is_success()
        && content_type.map_or(is_model, |value| {
            value.as_bytes().starts_with(b"text/event-stream")
        })
}

/// Arrival times of the parts of a stream.
#[derive(Default)]
struct StreamTiming {
    first: Option<Timestamp>,
    last: Timestamp,
    longest_pause: Duration,
}

impl StreamTiming {
    fn add(&mut self, now: Timestamp) {
        if self.first.is_none() {
            self.first = Some(now);
        } else {
            self.longest_pause = self.longest_pause.max(now.since(self.last));
        }
        self.last = now;
    }
}

/// Response body in transit. Dropping it before its end closes the connection to the endpoint.
struct RelayBody {
    deadline_timer: Pin<Box<Sleep>>,
    shared: Arc<Shared>,
    body: Incoming,
    connection: Option<Connection>,
    endpoint: Arc<EndpointEntry>,
    _in_flight: InFlightGuard,
    sent: Timestamp,
    versioned: Option<VersionedCall>,
    is_server_error: bool,
    info: StreamInfo,
    framing: Framing,
    is_event_stream: bool,
    events: EventScanner,
    timing: StreamTiming,
    bytes: u64,
    /// Running check whether the endpoint crashed when its response ended.
    crash_check: Option<Pin<Box<dyn Future<Output = bool> + Send>>>,
    /// Whether that check found that the endpoint's process has ended.
    has_ended: bool,
    /// Failure to report after the bytes that arrived with it.
    failed: Option<BodyError>,
}

impl RelayBody {
    fn record(&mut self, data: &Bytes) {
        let is_first = self.bytes == 0;
        self.bytes += data.len() as u64;
        self.timing.add(self.shared.now());
        if let Some(run) = &self.info.run
            && is_first
            && !data.is_empty()
        {
            run.report_started(self.shared.now());
        }
        if self.is_event_stream {
            self.events.scan(data);
            if self.events.count() >= SOUND_EVENTS {
                self.record_sound();
            }
        }
    }

    /// Records that the answer is past its start.
    fn record_sound(&mut self) {
        if let Some(tracked) = &mut self.info.tracked {
            let now = self.shared.now();
            tracked.record_sound(now, &self.shared);
        }
    }

    /// Checks that an event stream does not end inside an event, when its last byte has arrived. An
    /// endpoint that crashes may close its connection in order, so the framing alone does not show
    /// that a stream is complete.
    fn check_events(&self) -> Result<(), BodyError> {
        let events = self.events.count();
        let is_inside_event = self.events.partial_bytes() > 0;
        let is_empty_run = self.info.run.is_some() && events == 0 && !self.info.resumes;
        let is_cut = is_inside_event || (is_empty_run && self.framing == Framing::Close);
        match self.is_event_stream && is_cut {
            true => Err(BodyError::InsideEvent { events }),
            false => Ok(()),
        }
    }

    /// Starts to check whether the endpoint ended with its response, if only the end of the connection
    /// marks the end. A draining endpoint may end after its last response, or be stopped in the middle
    /// of it; the response then counts as truncated, as nothing tells it from one that is.
    fn start_crash_check(&mut self) -> bool {
        if self.framing != Framing::Close {
            return false;
        }
        let shared = Arc::clone(&self.shared);
        let endpoint = Arc::clone(&self.endpoint);
        self.crash_check = Some(Box::pin(async move {
            let pool = endpoint.pool.clone();
            let is_other = |connection| takeover::is_other_process(shared, endpoint, connection);
            pool.has_ended(is_other).await
        }));
        true
    }

    fn poll_end(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.connection.is_none() {
            return Poll::Ready(None);
        }
        if self.crash_check.is_none() {
            if let Err(e) = self.check_events() {
                self.end("cut");
                return Poll::Ready(Some(Err(e)));
            }
            if !self.start_crash_check() {
                self.end("complete");
                return Poll::Ready(None);
            }
        }
        self.has_ended = match &mut self.crash_check {
            Some(check) => ready!(check.as_mut().poll(cx)),
            None => false,
        };
        self.crash_check = None;
        if self.has_ended {
            self.end("cut");
            return Poll::Ready(Some(Err(BodyError::EndpointEnded)));
        }
        self.end("complete");
        Poll::Ready(None)
    }

    /// Counts the outcome for the comparison of versions.
    fn record_version(&mut self, now: Timestamp, outcome: &str) {
        let Some(versioned) = self.versioned.take() else {
            return;
        };
        let events = self.events.count();
        match outcome {
            "complete" if self.info.run.is_some() && events > 0 && !self.is_server_error => {
                let output = events * self.info.tokens_per_event.0;
                versioned.record_sized(&self.shared, now, output);
            }
            "complete" => versioned.record_response(&self.shared, now, !self.is_server_error),
            "cut" | "deadline" => versioned.record_response(&self.shared, now, false),
            _ => {}
        }
    }

    fn end(&mut self, outcome: &str) {
        let now = self.shared.now();
        if let Some(connection) = self.connection.take() {
            match outcome {
                "complete" => {
                    record_health(&self.endpoint, now, self.sent, false);
                    self.endpoint.pool.put(now, connection);
                    self.record_sound();
                }
                "cut" => {
                    self.endpoint.health().record_unreachable(now);
                    match &self.info.tracked {
                        Some(tracked) if self.has_ended => {
                            let endpoint = &self.endpoint.listed;
                            tracked.report_ended(&self.shared, endpoint, self.sent, now);
                        }
                        Some(tracked) => {
                            tracked.report_lost(&self.shared, &self.endpoint, self.sent);
                        }
                        None => {}
                    }
                }
                _ => {}
            }
            self.record_version(now, outcome);
            if let Some(run) = self.info.run.take() {
                let output = Tokens(self.events.count() * self.info.tokens_per_event.0);
                run.end(match outcome {
                    "complete" => RunEnd::Complete(output),
                    "cut" => RunEnd::EndpointLost(self.endpoint.listed.id.clone()),
                    _ => RunEnd::Aborted,
                });
            }
            self.shared
                .metrics
                .record_stream_end(self.framing.as_str(), outcome);
            if !self.info.attempt_id.is_empty() {
                info!(
                    "request={} step=stream outcome={outcome} endpoint={} events={} bytes={} \
                     framing={} partial_bytes={} first_ms={} longest_pause_ms={} took_ms={} parts={}",
                    self.info.attempt_id,
                    self.endpoint.listed.id,
                    self.events.count(),
                    self.bytes,
                    self.framing.as_str(),
                    self.events.partial_bytes(),
                    self.timing
                        .first
                        .unwrap_or(now)
                        .since(self.info.arrived)
                        .as_millis(),
                    self.timing.longest_pause.as_millis(),
                    now.since(self.info.arrived).as_millis(),
                    self.info.shared_parts
                );
            }
        }
    }
}

impl hyper::body::Body for RelayBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.connection.is_some() && self.deadline_timer.as_mut().poll(cx).is_ready() {
            self.end("deadline");
            return Poll::Ready(Some(Err(BodyError::DeadlinePassed)));
        }
        if let Some(e) = self.failed.take() {
            return Poll::Ready(Some(Err(e)));
        }
        if self.crash_check.is_some() {
            return self.poll_end(cx);
        }
        let mut polled = Pin::new(&mut self.body).poll_frame(cx);
        if let Some(connection) = &self.connection {
            connection.set_held_up(polled.is_ready());
        }
        match &mut polled {
            Poll::Ready(None) => return self.poll_end(cx),
            Poll::Ready(Some(Err(_))) => self.end("cut"),
            Poll::Ready(Some(Ok(frame))) => {
                if let Some(data) = frame.data_ref() {
                    self.record(data);
                }
                if self.body.is_end_stream() {
                    match self.check_events() {
                        Ok(()) => self.end("complete"),
                        Err(e) => {
                            self.end("cut");
                            // Without its last byte the body stays shorter than its content length.
                            if let Some(data) = frame.data_mut() {
                                data.truncate(data.len().saturating_sub(1));
                            }
                            self.failed = Some(e);
                        }
                    }
                }
            }
            Poll::Pending => {}
        }
        polled.map_err(BodyError::from)
    }

    fn is_end_stream(&self) -> bool {
        self.failed.is_none() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for RelayBody {
    fn drop(&mut self) {
        self.end("left");
    }
}
